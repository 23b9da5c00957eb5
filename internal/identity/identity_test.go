package identity

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

func newAuthority(t *testing.T, site string) *Authority {
	t.Helper()
	a, err := Init(filepath.Join(t.TempDir(), "authority"), site, startTime)
	if err != nil {
		t.Fatal(err)
	}
	a.Now = func() time.Time { return startTime }
	return a
}

// newParty issues a certificate and returns the credentials for it.
func newParty(t *testing.T, a *Authority, who string, log io.Writer) *Credentials {
	t.Helper()
	i, err := Parse(a.Site(), who)
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "party")
	if _, err := a.Issue(i, dir, time.Hour); err != nil {
		t.Fatal(err)
	}
	credentials, err := OpenCredentials(dir, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	credentials.Now = func() time.Time { return startTime.Add(time.Minute) }
	return credentials
}

// startServer starts a server that answers each request with the identity of its sender. It
// returns the server's URL.
func startServer(t *testing.T, credentials *Credentials) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{TLSConfig: credentials.ServerConfig(), ErrorLog: slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelError),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			who, ok := credentials.Authenticate(r)
			if !ok {
				w.WriteHeader(http.StatusForbidden)
				return
			}
			_, _ = io.WriteString(w, who.String())
		})}
	go func() { _ = s.ServeTLS(l, "", "") }()
	t.Cleanup(func() { s.Close() })
	return "https://" + l.Addr().String()
}

func get(c *http.Client, url string) (string, error) {
	r, err := c.Get(url)
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if r.StatusCode != 200 {
		return "", errors.New(r.Status)
	}
	return string(b), err
}

func client(cfg *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}, Timeout: 10 * time.Second}
}

// TestRefusedCertificates guards against accepted connections of clients without a currently
// valid certificate of the site, and against refusals that tell the client the reason.
func TestRefusedCertificates(t *testing.T) {
	a, other := newAuthority(t, "valley"), newAuthority(t, "valley") // the same name, another key
	var log bytes.Buffer
	node := newParty(t, a, "node/one", &log)
	url := startServer(t, node)
	good := newParty(t, a, "customer/office/baker", io.Discard)
	if who, err := get(client(good.ClientConfig(Node, "one")), url); err != nil || who != "customer/office/baker" {
		t.Fatalf("%q, %v", who, err)
	}
	forged := func(change func(c *x509.Certificate)) *tls.Config { // signed with the authority's key, but not as Issue would
		pub, key, _ := ed25519.GenerateKey(rand.Reader)
		u, _ := parseURIs("silvergate://valley/operator/eve")
		c := &x509.Certificate{SerialNumber: big.NewInt(7), NotBefore: startTime.Add(-time.Hour), NotAfter: startTime.Add(time.Hour),
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}, URIs: u}
		change(c)
		der, err := x509.CreateCertificate(rand.Reader, c, a.cert, pub, a.key)
		if err != nil {
			t.Fatal(err)
		}
		return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	}
	revoked := newParty(t, a, "operator/gone", io.Discard)
	if n, err := a.Revoke("operator/gone"); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	list, _ := a.RevocationList()
	if newer, err := node.ReceiveRevocations(list); !newer || err != nil {
		t.Fatal(newer, err)
	}
	for _, c := range []struct {
		name   string
		cfg    *tls.Config
		reason error
	}{
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, nil},
		{"another authority of the same name", newParty(t, other, "operator/eve", io.Discard).ClientConfig(Node, ""), ErrForeign},
		{"expired", forged(func(c *x509.Certificate) { c.NotAfter = startTime }), ErrExpired},
		{"not yet valid", forged(func(c *x509.Certificate) { c.NotBefore = startTime.Add(30 * time.Minute) }), ErrNotYetValid},
		{"revoked", revoked.ClientConfig(Node, ""), ErrRevoked},
		{"two names", forged(func(c *x509.Certificate) {
			u, _ := parseURIs("silvergate://valley/node/one")
			c.URIs = append(c.URIs, u...)
		}), ErrMalformed},
		{"no name", forged(func(c *x509.Certificate) { c.URIs = nil }), ErrMalformed},
		{"another spelling", forged(func(c *x509.Certificate) { c.URIs, _ = parseURIs("silvergate://valley/operator/e%76e") }), ErrMalformed},
		{"another site", forged(func(c *x509.Certificate) { c.URIs, _ = parseURIs("silvergate://hill/operator/eve") }), ErrForeign},
		{"for something else", forged(func(c *x509.Certificate) { c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageCodeSigning} }), ErrForeign},
	} {
		log.Reset()
		cfg := c.cfg.Clone()
		cfg.VerifyConnection = nil // this client accepts any server
		_, err := get(client(cfg), url)
		if err == nil {
			t.Errorf("%s: the request was answered", c.name)
			continue
		}
		for _, word := range []string{"expired", "revoked", "authority", "certificate holds", "silvergate"} {
			if strings.Contains(err.Error(), word) {
				t.Errorf("%s: the client learns the reason: %v", c.name, err)
			}
		}
		if c.reason != nil && !strings.Contains(log.String(), c.reason.Error()) {
			t.Errorf("%s: the reason is not in the log: %s", c.name, log.String())
		}
	}
	if _, err := http.Get(strings.Replace(url, "https:", "http:", 1)); err == nil {
		if r, _ := http.Get(strings.Replace(url, "https:", "http:", 1)); r.StatusCode != http.StatusBadRequest {
			t.Errorf("a request without TLS is answered with %s", r.Status)
		}
	}
	// A client accepts only the party that it asked for.
	for _, d := range []*tls.Config{good.ClientConfig(Node, "two"), good.ClientConfig(Agent, "one")} {
		if _, err := get(client(d), url); err == nil {
			t.Error("the client accepts another party than it asked for")
		}
	}
}

func parseURIs(s string) ([]*url.URL, error) {
	u, err := url.Parse(s)
	return []*url.URL{u}, err
}

// TestRevocationEndsConnections guards against connections that are still served after the
// client's certificate was revoked or has expired, and against lists of revocations that are
// old, badly signed or lost at a restart.
func TestRevocationEndsConnections(t *testing.T) {
	a := newAuthority(t, "valley")
	node := newParty(t, a, "node/one", io.Discard)
	c := client(newParty(t, a, "operator/ann", io.Discard).ClientConfig(Node, ""))
	url := startServer(t, node)
	if _, err := get(c, url); err != nil {
		t.Fatal(err)
	}
	if n, err := a.Revoke("operator/ann"); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if n, err := a.Revoke("operator/ann"); n != 0 || err != nil {
		t.Fatal("revoked twice", n, err)
	}
	if _, err := a.Revoke("operator/bob"); !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	if _, err := get(c, url); err != nil { // the node does not know of the revocation yet
		t.Fatal(err)
	}
	list, _ := a.RevocationList()
	if _, err := node.ReceiveRevocations(list); err != nil {
		t.Fatal(err)
	}
	if _, err := get(c, url); err == nil {
		t.Error("a revoked certificate is served on its old connection")
	}
	old := list
	if n, err := a.Revoke("node/one"); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	list, _ = a.RevocationList()
	if newer, err := node.ReceiveRevocations(list); !newer || err != nil {
		t.Fatal(newer, err)
	}
	if newer, err := node.ReceiveRevocations(old); newer || err != nil {
		t.Error("an older list replaced a newer one", newer, err)
	}
	bad := bytes.Clone(list)
	bad[len(bad)-1] ^= 1
	if _, err := node.ReceiveRevocations(bad); err == nil {
		t.Error("a list with a wrong signature was accepted")
	}
	reopened, err := OpenCredentials(node.dir, node.log)
	if err != nil || !bytes.Equal(reopened.Revocations(), list) {
		t.Error("the list of revocations was not written to disk", err)
	}
	late := client(newParty(t, a, "operator/cat", io.Discard).ClientConfig(Node, ""))
	late.Transport.(*http.Transport).TLSClientConfig.VerifyConnection = nil
	if _, err := get(late, url); err != nil {
		t.Fatal(err)
	}
	node.Now = func() time.Time { return startTime.Add(2 * time.Hour) }
	if _, err := get(late, url); err == nil {
		t.Error("an expired certificate is served on its old connection")
	}
}

// TestRenewal guards against a renewal that needs a restart, and against a party that takes
// over another identity, or uses a key that others can read.
func TestRenewal(t *testing.T) {
	a := newAuthority(t, "valley")
	node := newParty(t, a, "node/one", io.Discard)
	first := node.own.Load().Leaf.SerialNumber
	reissue := func(kind Kind, name string) {
		t.Helper()
		if _, err := a.Issue(Identity{Kind: kind, Name: name}, node.dir, time.Hour); err != nil {
			t.Fatal(err)
		}
		node.lastCheck = time.Time{}
		node.modTimes = map[string]time.Time{}
		node.reloadChanged()
	}
	reissue(Node, "one")
	second := node.own.Load().Leaf.SerialNumber
	if second.Cmp(first) == 0 {
		t.Error("the new certificate is not used")
	}
	reissue(Node, "two")
	if node.own.Load().Leaf.SerialNumber.Cmp(second) != 0 || node.Identity().Name != "one" {
		t.Error("the node uses another party's certificate")
	}
	if err := os.Chmod(filepath.Join(node.dir, certFile), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenCredentials(node.dir, node.log); err == nil || !strings.Contains(err.Error(), "0600") {
		t.Errorf("a key that others can read was accepted: %v", err)
	}
}

// TestAuthorityFolder guards against a second authority in a folder, against records that are
// lost because a crash cut off the line before them, against certificates for other sites,
// and against an authority with another one's key.
func TestAuthorityFolder(t *testing.T) {
	a := newAuthority(t, "valley")
	if _, err := Init(a.dir, "valley", startTime); !errors.Is(err, os.ErrExist) {
		t.Errorf("a second Init returned %v", err)
	}
	newParty(t, a, "agent/m-1", io.Discard)
	f, err := os.OpenFile(filepath.Join(a.dir, issuedFile), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = f.WriteString(`{"serial":"ab`)
	f.Close()
	newParty(t, a, "agent/m-2", io.Discard)
	all, err := a.List()
	if err != nil || len(all) != 2 || all[1].Identity != "agent/m-2" {
		t.Errorf("List returned %v, %v", all, err)
	}
	if _, err := a.Issue(Identity{Site: "hill", Kind: Node, Name: "x"}, t.TempDir(), 0); err == nil {
		t.Error("a certificate for another site was issued")
	}
	b := newAuthority(t, "hill")
	raw, _ := os.ReadFile(filepath.Join(b.dir, authorityKey))
	if err := os.WriteFile(filepath.Join(a.dir, authorityKey), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(a.dir); err == nil {
		t.Error("an authority with another authority's key was opened")
	}
}

// TestIdentitiesHaveOneSpelling guards against identities that are parsed differently than
// they were written, with random identities.
func TestIdentitiesHaveOneSpelling(t *testing.T) {
	name := rapid.StringMatching(`[a-zA-Z0-9_][a-zA-Z0-9_.-]{0,30}`)
	rapid.Check(t, func(t *rapid.T) {
		i := Identity{Site: name.Draw(t, "site"), Kind: rapid.SampledFrom([]Kind{Node, Agent, Operator, Team, Customer}).Draw(t, "kind"), Name: name.Draw(t, "name")}
		if i.Kind == Customer {
			i.Customer = name.Draw(t, "customer")
		}
		u, err := url.Parse(i.URI().String())
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ParseURI(u); err != nil || got != i {
			t.Fatalf("%s is parsed as %+v, %v", u, got, err)
		}
		if got, err := Parse(i.Site, i.String()); err != nil || got != i {
			t.Fatalf("%s is parsed as %+v, %v", i, got, err)
		}
	})
}

// FuzzIdentity guards against two spellings of one identity: a URI that ParseURI accepts must
// equal the URI of the identity that ParseURI returns.
func FuzzIdentity(f *testing.F) {
	for _, s := range []string{"silvergate://a/node/b", "silvergate://a/customer/b/c", "silvergate://a/operator/b?x", "silvergate://u@a/node/b", "silvergate://a/node/b/../c", "silvergate://a/node/%62", "SILVERGATE://a/node/b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		u, err := url.Parse(s)
		if err != nil {
			return
		}
		i, err := ParseURI(u)
		if err != nil {
			return
		}
		if i.Check() != nil || i.URI().String() != u.String() {
			t.Errorf("%q is parsed as %+v", s, i)
		}
	})
}

// FuzzCertificate guards against panics on damaged certificates and lists of revocations, and
// against lists without a valid signature.
func FuzzCertificate(f *testing.F) {
	a, err := Init(filepath.Join(f.TempDir(), "authority"), "valley", startTime)
	if err != nil {
		f.Fatal(err)
	}
	list, _ := a.RevocationList()
	f.Add(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), list)
	f.Fuzz(func(t *testing.T, cert, list []byte) {
		if c, err := parseCert(cert); err == nil {
			_, _ = certIdentity(c)
		}
		if l, err := parseRevocationList(list, a.cert); err == nil && l.CheckSignatureFrom(a.cert) != nil {
			t.Error("a list without a valid signature was accepted")
		}
	})
}
