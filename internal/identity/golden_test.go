package identity

import (
	"bytes"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"silvergate/internal/goldentest"
)

// The golden folders were written by an earlier build: the folder of a site's authority,
// which issued three certificates at goldenTime and revoked one, and the folders of two
// parties. No real site uses the keys in them.
const (
	goldenAuthority = "testdata/golden/authority"
	goldenNode      = "testdata/golden/node"    // node/one
	goldenRevoked   = "testdata/golden/revoked" // customer/office/baker
)

var goldenTime = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// copyPrivate copies a folder and makes the files readable by their owner only, as they were
// written. A checkout does not keep these modes.
func copyPrivate(t *testing.T, from string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), filepath.Base(from))
	if err := os.CopyFS(dir, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if err := os.Chmod(filepath.Join(dir, file.Name()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// goldenCertificate reads the certificate in a party's folder.
func goldenCertificate(t *testing.T, dir string) *x509.Certificate {
	t.Helper()
	block, _ := pem.Decode(goldentest.Read(t, dir+"/cert.pem"))
	if block == nil {
		t.Fatalf("%s: no certificate", dir)
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

func openGoldenCredentials(t *testing.T, from string) *Credentials {
	t.Helper()
	credentials, err := OpenCredentials(copyPrivate(t, from), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	credentials.Now = func() time.Time { return goldenTime.Add(time.Minute) }
	return credentials
}

func TestGoldenAuthority(t *testing.T) {
	dir := copyPrivate(t, goldenAuthority)
	authority, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	authority.Now = func() time.Time { return goldenTime.Add(time.Minute) }
	if authority.Site() != "valley" {
		t.Errorf("the site is %s, want valley", authority.Site())
	}
	list, err := authority.List()
	if err != nil {
		t.Fatal(err)
	}
	// The records must be encoded as in the golden list. Revoked is reset first because
	// revocations are stored in another file.
	var rewritten bytes.Buffer
	for i, want := range []struct {
		identity string
		life     time.Duration
		revoked  bool
	}{{"node/one", 30 * 24 * time.Hour, false}, {"customer/office/baker", time.Hour, true}, {"agent/machine-9", 2 * time.Hour, false}} {
		if i >= len(list) {
			t.Fatalf("%d certificates are listed, want 3", len(list))
		}
		issued := list[i]
		if issued.Identity != want.identity || issued.Revoked != want.revoked || !issued.NotBefore.Equal(goldenTime.Add(-5*time.Minute)) || !issued.NotAfter.Equal(goldenTime.Add(want.life)) {
			t.Errorf("%s is listed as %+v", want.identity, issued)
		}
		issued.Revoked = false
		raw, err := json.Marshal(issued)
		if err != nil {
			t.Fatal(err)
		}
		rewritten.Write(append(raw, '\n'))
	}
	if stored := goldentest.Read(t, goldenAuthority+"/issued.jsonl"); !bytes.Equal(rewritten.Bytes(), stored) {
		t.Errorf("the list is written as\n%s, want\n%s", rewritten.Bytes(), stored)
	}
	for i, from := range []string{goldenNode, goldenRevoked} {
		if serial := goldenCertificate(t, from).SerialNumber.Text(16); list[i].Serial != serial {
			t.Errorf("the serial number is listed as %s, want %s", list[i].Serial, serial)
		}
	}

	// The authority can still revoke: a party that has the earlier list accepts the new one.
	credentials := openGoldenCredentials(t, goldenNode)
	if added, err := authority.Revoke(list[0].Serial); err != nil || added != 1 {
		t.Fatalf("%d certificates revoked, want 1: %v", added, err)
	}
	revocations, err := authority.RevocationList()
	if err != nil {
		t.Fatal(err)
	}
	if newer, err := credentials.ReceiveRevocations(revocations); err != nil || !newer {
		t.Errorf("ReceiveRevocations of the new list returned %v, %v", newer, err)
	}
	if _, err := credentials.Verify(goldenCertificate(t, goldenNode)); !errors.Is(err, ErrRevoked) {
		t.Errorf("Verify of a certificate that is now revoked returned %v", err)
	}
}

func TestGoldenParty(t *testing.T) {
	credentials := openGoldenCredentials(t, goldenNode)
	if self := credentials.Identity().String(); self != "node/one" {
		t.Errorf("the certificate is of %s, want node/one", self)
	}
	who, err := credentials.Verify(goldenCertificate(t, goldenNode))
	if err != nil || who != credentials.Identity() {
		t.Errorf("Verify of the own certificate returned %s, %v", who, err)
	}
	if who, err := ReadIdentity(goldenRevoked); err != nil || who.String() != "customer/office/baker" {
		t.Errorf("ReadIdentity of the other folder returned %s, %v", who, err)
	}
	// The party's own list is older than the revocation.
	revoked := goldenCertificate(t, goldenRevoked)
	if who, err := credentials.Verify(revoked); err != nil || who.String() != "customer/office/baker" {
		t.Errorf("before the revocation is known Verify returned %s, %v", who, err)
	}
	if newer, err := credentials.ReceiveRevocations(goldentest.Read(t, goldenAuthority+"/revoked.crl")); err != nil || !newer {
		t.Errorf("ReceiveRevocations of the authority's list returned %v, %v", newer, err)
	}
	if _, err := credentials.Verify(revoked); !errors.Is(err, ErrRevoked) {
		t.Errorf("when the revocation is known Verify returned %v", err)
	}
	for _, test := range []struct {
		name string
		now  time.Time
		want error
	}{
		{"too early", goldenTime.Add(-6 * time.Minute), ErrNotYetValid},
		{"first moment", goldenTime.Add(-5 * time.Minute), nil},
		{"last moment", goldenTime.Add(30 * 24 * time.Hour), nil},
		{"too late", goldenTime.Add(30*24*time.Hour + time.Second), ErrExpired},
	} {
		credentials.Now = func() time.Time { return test.now }
		if _, err := credentials.Verify(goldenCertificate(t, goldenNode)); !errors.Is(err, test.want) {
			t.Errorf("%s: Verify returned %v, want %v", test.name, err, test.want)
		}
	}
}
