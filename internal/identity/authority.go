package identity

import (
	"bufio"
	"bytes"
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// Names in an authority's folder, and in a party's.
const (
	authorityKey  = "authority.key"
	authorityFile = "authority.crt"
	issuedFile    = "issued.jsonl"
	lockFile      = "lock"
	revokedFile   = RevokedFile
	certFile      = "cert.pem"
)

// RevokedFile is the list of revocations in an authority's folder, and in a
// party's.
const RevokedFile = "revoked.crl"

// Lifetimes of what is issued.
const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// DefaultLifetime is a certificate's lifetime unless another is asked for.
	DefaultLifetime = 30 * 24 * time.Hour
	// ClockSkew is how much earlier than issued a certificate holds: clocks differ.
	ClockSkew = 5 * time.Minute
)

// Authority issues a site's certificates. Its folder must be nobody else's to
// read; whoever holds the key can be anyone on the site.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  crypto.Signer
	// Now is the day's clock.
	Now func() time.Time
}

// Issued is a certificate on record.
type Issued struct {
	Serial    string    `json:"serial"`
	Identity  string    `json:"identity"`
	NotBefore time.Time `json:"notBefore"`
	NotAfter  time.Time `json:"notAfter"`
	Revoked   bool      `json:"revoked,omitempty"`
}

// Init makes a site's authority in a folder that has none; the error is
// fs.ErrExist if it has one.
func Init(dir, site string, now time.Time) (*Authority, error) {
	if !ValidName(site) {
		return nil, fmt.Errorf("site %.40q: not a name of letters, digits, '-', '_' and '.'", site)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	unlock, err := lock(dir)
	if err != nil {
		return nil, err
	}
	defer unlock()
	if _, err := os.Stat(filepath.Join(dir, authorityFile)); err == nil {
		return nil, fmt.Errorf("%s has an authority already: %w", dir, fs.ErrExist)
	}
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: "silvergate authority of " + site, Organization: []string{site}},
		NotBefore: now.Add(-ClockSkew), NotAfter: now.Add(authorityLifetime), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, pub, key)
	if err != nil {
		return nil, err
	}
	// The certificate is last: a folder without it has no authority yet.
	if err := writeKey(filepath.Join(dir, authorityKey), key); err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(dir, authorityFile), "CERTIFICATE", der, 0o644); err != nil {
		return nil, err
	}
	a, err := Open(dir)
	if err != nil {
		return nil, err
	}
	a.Now = func() time.Time { return now }
	err = a.writeRevocationList(nil, 1)
	a.Now = time.Now
	return a, err
}

// Open takes the authority in a folder.
func Open(dir string) (*Authority, error) {
	raw, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, fmt.Errorf("%s has no authority; make one with silvergate certs init: %w", dir, err)
	}
	cert, err := parseCert(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, authorityFile), err)
	}
	key, err := readKey(filepath.Join(dir, authorityKey))
	if err != nil {
		return nil, err
	}
	if pub, ok := key.Public().(ed25519.PublicKey); !ok || !pub.Equal(cert.PublicKey) {
		return nil, fmt.Errorf("%s: not the key of %s", filepath.Join(dir, authorityKey), authorityFile)
	}
	return &Authority{dir: dir, cert: cert, key: key, Now: time.Now}, nil
}

// Site is the name of the site whose authority it is.
func (a *Authority) Site() string { return a.cert.Subject.Organization[0] }

// Issue writes a new certificate and key for a party into a folder, beside the
// site's own certificate and its revocations. What was there is replaced: the
// party goes on with the new one without a restart. It says nothing of addresses:
// who serves is judged by identity. A lifetime of 0 is DefaultLifetime.
func (a *Authority) Issue(who Identity, to string, lifetime time.Duration) (Issued, error) {
	if who.Site == "" {
		who.Site = a.Site()
	}
	if err := who.Check(); err != nil {
		return Issued{}, err
	}
	if who.Site != a.Site() {
		return Issued{}, fmt.Errorf("this is the authority of %s, not of %s", a.Site(), who.Site)
	}
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	unlock, err := lock(a.dir)
	if err != nil {
		return Issued{}, err
	}
	defer unlock()
	issued, der, key, err := a.sign(who, lifetime)
	if err != nil {
		return Issued{}, err
	}
	// On record before it can be used: what is not on record can't be revoked.
	if err := a.appendIssued(issued); err != nil {
		return Issued{}, err
	}
	if err := a.writeParty(to, der, key); err != nil {
		return Issued{}, err
	}
	return issued, nil
}

// sign makes a key and a certificate for a party, in DER.
func (a *Authority) sign(who Identity, lifetime time.Duration) (issued Issued, der []byte, key ed25519.PrivateKey, err error) {
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Issued{}, nil, nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return Issued{}, nil, nil, err
	}
	now := a.Now()
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: who.String(), Organization: []string{who.Site}},
		NotBefore:             now.Add(-ClockSkew),
		NotAfter:              minTime(now.Add(lifetime), a.cert.NotAfter),
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true,
		URIs:                  []*url.URL{who.URI()},
	}
	der, err = x509.CreateCertificate(rand.Reader, template, a.cert, pub, a.key)
	if err != nil {
		return Issued{}, nil, nil, err
	}
	issued = Issued{Serial: serial.Text(16), Identity: who.String(), NotBefore: template.NotBefore.UTC(), NotAfter: template.NotAfter.UTC()}
	return issued, der, key, nil
}

// writeParty writes a party's files: the site's certificate, the revocations, and
// the party's own certificate with its key.
func (a *Authority) writeParty(to string, der []byte, key ed25519.PrivateKey) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	crl, err := os.ReadFile(filepath.Join(a.dir, revokedFile))
	if err != nil {
		return err
	}
	// Key and certificate are one file's contents, so that no reader ever sees
	// the one without the other.
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	both := append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw})...)
	for _, f := range []struct {
		name string
		data []byte
		mode fs.FileMode
	}{{authorityFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o644}, {revokedFile, crl, 0o644}, {certFile, both, 0o600}} {
		if err := renameio.WriteFile(filepath.Join(to, f.name), f.data, f.mode); err != nil {
			return err
		}
	}
	return nil
}

// Ensure issues a certificate into a folder unless one is there that has more than
// a third of its lifetime left.
func (a *Authority) Ensure(who Identity, to string) error {
	who.Site = a.Site()
	if c, err := readCert(filepath.Join(to, certFile)); err == nil {
		i, err := certIdentity(c)
		if err == nil && i == who && c.CheckSignatureFrom(a.cert) == nil && c.NotAfter.Sub(a.Now())*3 > c.NotAfter.Sub(c.NotBefore) {
			return nil
		}
	}
	_, err := a.Issue(who, to, 0)
	return err
}

// appendIssued appends a line to the list of what was issued, and syncs it.
func (a *Authority) appendIssued(issued Issued) error {
	raw, err := json.Marshal(issued)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(a.dir, issuedFile), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	// A line that a crash cut off has no end; the next must not continue it.
	if end, err := f.Seek(0, 2); err == nil && end > 0 {
		last := make([]byte, 1)
		if _, err := f.ReadAt(last, end-1); err == nil && last[0] != '\n' {
			raw = append([]byte{'\n'}, raw...)
		}
	}
	if _, err := f.Write(append(raw, '\n')); err != nil {
		return err
	}
	return f.Sync()
}

// List tells what was issued, the oldest first.
func (a *Authority) List() ([]Issued, error) {
	raw, err := os.ReadFile(filepath.Join(a.dir, issuedFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	l, err := a.readRevocationList()
	if err != nil {
		return nil, err
	}
	revoked := map[string]bool{}
	for _, e := range l.RevokedCertificateEntries {
		revoked[e.SerialNumber.Text(16)] = true
	}
	out := []Issued{}
	for sc := bufio.NewScanner(bytes.NewReader(raw)); sc.Scan(); {
		var i Issued
		if json.Unmarshal(sc.Bytes(), &i) == nil { // a cut line was never used
			i.Revoked = revoked[i.Serial]
			out = append(out, i)
		}
	}
	return out, nil
}

// ErrUnknown is returned for a certificate that was never issued here.
var ErrUnknown = errors.New("no such certificate was issued here")

// Revoke puts certificates on the list of revocations: the one with that serial
// number, or all of the identity with that name. It returns how many were added.
func (a *Authority) Revoke(serialOrIdentity string) (int, error) {
	unlock, err := lock(a.dir)
	if err != nil {
		return 0, err
	}
	defer unlock()
	all, err := a.List()
	if err != nil {
		return 0, err
	}
	old, err := a.readRevocationList()
	if err != nil {
		return 0, err
	}
	list := old.RevokedCertificateEntries
	found, added := false, 0
	for _, i := range all {
		if i.Serial != serialOrIdentity && i.Identity != serialOrIdentity {
			continue
		}
		found = true
		if n, ok := new(big.Int).SetString(i.Serial, 16); ok && !i.Revoked {
			list = append(list, x509.RevocationListEntry{SerialNumber: n, RevocationTime: a.Now().UTC()})
			added++
		}
	}
	if !found {
		return 0, fmt.Errorf("%s: %w", serialOrIdentity, ErrUnknown)
	}
	if added == 0 {
		return 0, nil
	}
	return added, a.writeRevocationList(list, old.Number.Int64()+1)
}

// RevocationList returns the newest signed list of revocations.
func (a *Authority) RevocationList() ([]byte, error) {
	return os.ReadFile(filepath.Join(a.dir, revokedFile))
}

func (a *Authority) readRevocationList() (*x509.RevocationList, error) {
	raw, err := a.RevocationList()
	if err != nil {
		return nil, err
	}
	return parseRevocationList(raw, a.cert)
}

func (a *Authority) writeRevocationList(list []x509.RevocationListEntry, number int64) error {
	der, err := x509.CreateRevocationList(rand.Reader, &x509.RevocationList{RevokedCertificateEntries: list, Number: big.NewInt(number),
		ThisUpdate: a.Now(), NextUpdate: a.cert.NotAfter}, a.cert, a.key)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(a.dir, revokedFile), der, 0o644)
}

func parseRevocationList(raw []byte, issuer *x509.Certificate) (*x509.RevocationList, error) {
	l, err := x509.ParseRevocationList(raw)
	if err != nil {
		return nil, fmt.Errorf("list of revocations: %w", err)
	}
	if err := l.CheckSignatureFrom(issuer); err != nil {
		return nil, fmt.Errorf("list of revocations: %w", err)
	}
	if l.Number == nil || !l.Number.IsInt64() {
		return nil, errors.New("list of revocations: it has no number")
	}
	return l, nil
}

func parseCert(raw []byte) (*x509.Certificate, error) {
	b, _ := pem.Decode(raw)
	if b == nil || b.Type != "CERTIFICATE" {
		return nil, errors.New("no certificate in it")
	}
	return x509.ParseCertificate(b.Bytes)
}

func newSerial() (*big.Int, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err == nil && n.Sign() == 0 {
		n.SetInt64(1)
	}
	return n, err
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func writePEM(path, kind string, der []byte, mode fs.FileMode) error {
	return renameio.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

func writeKey(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(path, "PRIVATE KEY", der, 0o600)
}

// readKey reads a key and refuses one that others can read.
func readKey(path string) (crypto.Signer, error) {
	raw, err := ReadPrivate(path)
	if err != nil {
		return nil, err
	}
	b, _ := pem.Decode(raw)
	if b == nil {
		return nil, fmt.Errorf("%s: no key in it", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(b.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s, ok := k.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("%s: not a key that signs", path)
	}
	return s, nil
}

// ReadPrivate reads a file, up to a megabyte, that must be its owner's alone.
func ReadPrivate(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: others can read it (mode %o); make it 0600", path, info.Mode().Perm())
	}
	raw := make([]byte, min(info.Size(), 1<<20))
	n, err := f.ReadAt(raw, 0)
	if n < len(raw) && err != nil {
		return nil, err
	}
	return raw, nil
}

// lock keeps two commands from changing an authority at once.
func lock(dir string) (func(), error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = unix.Flock(int(f.Fd()), unix.LOCK_EX)
		if err != syscall.EINTR {
			break
		}
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return func() { f.Close() }, nil
}
