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

// File names in an authority's folder and in a party's.
const (
	authorityKey  = "authority.key"
	authorityFile = "authority.crt"
	issuedFile    = "issued.jsonl"
	lockFile      = "lock"
	revokedFile   = RevokedFile
	certFile      = "cert.pem"
)

// RevokedFile is the file name of the list of revocations in an authority's folder and in a
// party's.
const RevokedFile = "revoked.crl"

// Validity of certificates.
const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// DefaultLifetime is a certificate's lifetime if Issue is called without one.
	DefaultLifetime = 30 * 24 * time.Hour
	// ClockSkew is the time by which the start of a certificate's validity precedes its
	// issue, because clocks differ.
	ClockSkew = 5 * time.Minute
)

// Authority issues a site's certificates. Only the folder's owner may be able to read the
// folder, because the key in it can sign a certificate for any identity of the site.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  crypto.Signer
	// Now returns the time of day.
	Now func() time.Time
}

// IssuedCertificate is the record of an issued certificate.
type IssuedCertificate struct {
	Serial    string    `json:"serial"`
	Identity  string    `json:"identity"`
	NotBefore time.Time `json:"notBefore"`
	NotAfter  time.Time `json:"notAfter"`
	Revoked   bool      `json:"revoked,omitempty"`
}

// Init creates a site's authority in a folder. The error wraps fs.ErrExist if the folder has
// an authority already.
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
		return nil, fmt.Errorf("%s already has an authority: %w", dir, fs.ErrExist)
	}
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: "silvergate authority of " + site, Organization: []string{site}},
		NotBefore: now.Add(-ClockSkew), NotAfter: now.Add(authorityLifetime), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, pub, key)
	if err != nil {
		return nil, err
	}
	// The certificate is written last: a folder without it has no authority yet.
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

// Open opens the authority in a folder.
func Open(dir string) (*Authority, error) {
	raw, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, fmt.Errorf("%s has no authority; create one with silvergate certs init: %w", dir, err)
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
		return nil, fmt.Errorf("%s: the key does not belong to %s", filepath.Join(dir, authorityKey), authorityFile)
	}
	return &Authority{dir: dir, cert: cert, key: key, Now: time.Now}, nil
}

// Site returns the name of the authority's site.
func (a *Authority) Site() string { return a.cert.Subject.Organization[0] }

// Issue writes a new certificate and key for a party into a folder, together with the
// authority's certificate and the list of revocations. It replaces older files: a running
// party uses the new certificate without a restart. The certificate contains no addresses:
// clients verify a server by its identity. A lifetime of 0 means DefaultLifetime.
func (a *Authority) Issue(who Identity, to string, lifetime time.Duration) (IssuedCertificate, error) {
	if who.Site == "" {
		who.Site = a.Site()
	}
	if err := who.Check(); err != nil {
		return IssuedCertificate{}, err
	}
	if who.Site != a.Site() {
		return IssuedCertificate{}, fmt.Errorf("the authority is for site %s, not for site %s", a.Site(), who.Site)
	}
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	unlock, err := lock(a.dir)
	if err != nil {
		return IssuedCertificate{}, err
	}
	defer unlock()
	issued, der, key, err := a.sign(who, lifetime)
	if err != nil {
		return IssuedCertificate{}, err
	}
	// The certificate is recorded before it can be used: one without a record can't be
	// revoked.
	if err := a.appendIssued(issued); err != nil {
		return IssuedCertificate{}, err
	}
	if err := a.writeParty(to, der, key); err != nil {
		return IssuedCertificate{}, err
	}
	return issued, nil
}

// sign makes a key for a party and a signed certificate, in DER.
func (a *Authority) sign(who Identity, lifetime time.Duration) (issued IssuedCertificate, der []byte, key ed25519.PrivateKey, err error) {
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return IssuedCertificate{}, nil, nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return IssuedCertificate{}, nil, nil, err
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
		return IssuedCertificate{}, nil, nil, err
	}
	issued = IssuedCertificate{Serial: serial.Text(16), Identity: who.String(), NotBefore: template.NotBefore.UTC(), NotAfter: template.NotAfter.UTC()}
	return issued, der, key, nil
}

// writeParty writes a party's files: the authority's certificate, the list of revocations,
// and the party's own certificate with its key.
func (a *Authority) writeParty(to string, der []byte, key ed25519.PrivateKey) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	crl, err := os.ReadFile(filepath.Join(a.dir, revokedFile))
	if err != nil {
		return err
	}
	// Key and certificate go into one file, so that no reader ever sees a key without its
	// certificate, or the reverse.
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	certAndKey := append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw})...)
	for _, f := range []struct {
		name string
		data []byte
		mode fs.FileMode
	}{{authorityFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o644}, {revokedFile, crl, 0o644}, {certFile, certAndKey, 0o600}} {
		if err := renameio.WriteFile(filepath.Join(to, f.name), f.data, f.mode); err != nil {
			return err
		}
	}
	return nil
}

// Ensure issues a certificate into a folder, unless the folder has a certificate that the
// authority signed for the same identity and that has more than a third of its lifetime left.
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

// appendIssued appends a record to the list of issued certificates and syncs the file.
func (a *Authority) appendIssued(issued IssuedCertificate) error {
	raw, err := json.Marshal(issued)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(a.dir, issuedFile), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	// If a crash cut off the last line, the new record must not continue that line.
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

// List returns the issued certificates, oldest first.
func (a *Authority) List() ([]IssuedCertificate, error) {
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
	out := []IssuedCertificate{}
	for sc := bufio.NewScanner(bytes.NewReader(raw)); sc.Scan(); {
		var i IssuedCertificate
		if json.Unmarshal(sc.Bytes(), &i) == nil { // skip a line that was cut off; its certificate was never handed out
			i.Revoked = revoked[i.Serial]
			out = append(out, i)
		}
	}
	return out, nil
}

// ErrUnknown is returned for a certificate that the authority never issued.
var ErrUnknown = errors.New("the authority issued no such certificate")

// Revoke adds certificates to the list of revocations: the one with the given serial number,
// or all of the given identity. It returns how many it added.
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
		return nil, errors.New("list of revocations: its number is missing or too large")
	}
	return l, nil
}

func parseCert(raw []byte) (*x509.Certificate, error) {
	b, _ := pem.Decode(raw)
	if b == nil || b.Type != "CERTIFICATE" {
		return nil, errors.New("the file contains no PEM certificate")
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

// readKey reads a private key. It refuses a file that others can read.
func readKey(path string) (crypto.Signer, error) {
	raw, err := ReadPrivate(path)
	if err != nil {
		return nil, err
	}
	b, _ := pem.Decode(raw)
	if b == nil {
		return nil, fmt.Errorf("%s: the file contains no PEM key", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(b.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s, ok := k.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("%s: the key can't sign", path)
	}
	return s, nil
}

// ReadPrivate reads a file, at most its first megabyte. It refuses a file to which others
// than its owner have access.
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
		return nil, fmt.Errorf("%s: others than the owner have access (mode %o); set its mode to 0600", path, info.Mode().Perm())
	}
	raw := make([]byte, min(info.Size(), 1<<20))
	n, err := f.ReadAt(raw, 0)
	if n < len(raw) && err != nil {
		return nil, err
	}
	return raw, nil
}

// lock locks an authority's folder, so that two commands can't change it at once. The
// returned function unlocks it.
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
