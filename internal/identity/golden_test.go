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

// The golden folders were written by an earlier build: a site's authority, which has
// issued three certificates at goldenTime and revoked one, and the folders of two
// parties. The keys in them are those of no site.
const (
	goldenAuthority = "testdata/golden/authority"
	goldenNode      = "testdata/golden/node"    // node/one
	goldenRevoked   = "testdata/golden/revoked" // customer/office/baker
)

var goldenTime = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// copyPrivate copies a folder and makes its files their owner's alone, as they were
// written: a checkout does not keep that.
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

func openKeeper(t *testing.T, from string) *Keeper {
	t.Helper()
	keeper, err := NewKeeper(copyPrivate(t, from), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	keeper.Now = func() time.Time { return goldenTime.Add(time.Minute) }
	return keeper
}

func TestGoldenAuthority(t *testing.T) {
	dir := copyPrivate(t, goldenAuthority)
	authority, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	authority.Now = func() time.Time { return goldenTime.Add(time.Minute) }
	if authority.Site() != "valley" {
		t.Errorf("the site is %s", authority.Site())
	}
	list, err := authority.List()
	if err != nil {
		t.Fatal(err)
	}
	// The list is written as it was, but for the revocation, which is of another file.
	var rewritten bytes.Buffer
	for i, want := range []struct {
		identity string
		life     time.Duration
		revoked  bool
	}{{"node/one", 30 * 24 * time.Hour, false}, {"customer/office/baker", time.Hour, true}, {"agent/machine-9", 2 * time.Hour, false}} {
		if i >= len(list) {
			t.Fatalf("%d certificates are listed", len(list))
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
		t.Errorf("the list is written as\n%s, not\n%s", rewritten.Bytes(), stored)
	}
	for i, from := range []string{goldenNode, goldenRevoked} {
		if serial := goldenCertificate(t, from).SerialNumber.Text(16); list[i].Serial != serial {
			t.Errorf("the serial number is listed as %s, not %s", list[i].Serial, serial)
		}
	}

	// It goes on: what it revokes now is known to who has the earlier list.
	keeper := openKeeper(t, goldenNode)
	if added, err := authority.Revoke(list[0].Serial); err != nil || added != 1 {
		t.Fatalf("%d revoked: %v", added, err)
	}
	revocations, err := authority.RevocationList()
	if err != nil {
		t.Fatal(err)
	}
	if newer, err := keeper.Learn(revocations); err != nil || !newer {
		t.Errorf("the new list is newer: %v, %v", newer, err)
	}
	if _, err := keeper.Verify(goldenCertificate(t, goldenNode)); !errors.Is(err, ErrRevoked) {
		t.Errorf("a certificate that is revoked now: %v", err)
	}
}

func TestGoldenParty(t *testing.T) {
	keeper := openKeeper(t, goldenNode)
	if self := keeper.Me().String(); self != "node/one" {
		t.Errorf("its certificate is of %s", self)
	}
	who, err := keeper.Verify(goldenCertificate(t, goldenNode))
	if err != nil || who != keeper.Me() {
		t.Errorf("its certificate is judged as %s: %v", who, err)
	}
	if who, err := ReadIdentity(goldenRevoked); err != nil || who.String() != "customer/office/baker" {
		t.Errorf("the other certificate is of %s: %v", who, err)
	}
	// The party's own list is older than the revocation.
	revoked := goldenCertificate(t, goldenRevoked)
	if who, err := keeper.Verify(revoked); err != nil || who.String() != "customer/office/baker" {
		t.Errorf("before the revocation is known: %s, %v", who, err)
	}
	if newer, err := keeper.Learn(goldentest.Read(t, goldenAuthority+"/revoked.crl")); err != nil || !newer {
		t.Errorf("the authority's list is newer: %v, %v", newer, err)
	}
	if _, err := keeper.Verify(revoked); !errors.Is(err, ErrRevoked) {
		t.Errorf("when the revocation is known: %v", err)
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
		keeper.Now = func() time.Time { return test.now }
		if _, err := keeper.Verify(goldenCertificate(t, goldenNode)); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, not %v", test.name, err, test.want)
		}
	}
}
