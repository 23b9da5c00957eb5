package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/renameio/v2"
)

// Reasons for which Verify, and with it each connection and request, refuses the other end.
// They are logged and not sent to the other end.
var (
	// ErrNoCertificate is returned when the other end has sent no certificate.
	ErrNoCertificate = errors.New("no certificate")
	// ErrForeign is returned for a certificate that another authority has signed,
	// or that names another site.
	ErrForeign = errors.New("the certificate is not from this site's authority")
	// ErrExpired is returned for a certificate that is no longer valid.
	ErrExpired = errors.New("the certificate is expired")
	// ErrNotYetValid is returned for a certificate that is not valid yet.
	ErrNotYetValid = errors.New("the certificate is not valid yet")
	// ErrRevoked is returned for a certificate on the list of revocations.
	ErrRevoked = errors.New("the certificate is revoked")
	// ErrMalformed is returned for a certificate without exactly one valid identity.
	ErrMalformed = errors.New("the certificate does not name one valid identity")
	// ErrWrongParty is returned for a connection to a party of another kind or name than the
	// client asked for.
	ErrWrongParty = errors.New("the other end is not the expected party")
)

// Keeper holds one party's certificate, and the authority's certificate and the list of
// revocations with which it verifies other parties' certificates. It is safe for concurrent
// use.
type Keeper struct {
	dir   string
	log   *slog.Logger
	self  Identity
	root  *x509.Certificate
	roots *x509.CertPool
	// Now returns the time of day.
	Now func() time.Time

	own     atomic.Pointer[tls.Certificate]
	revoked atomic.Pointer[revocations]

	mu        sync.Mutex // held while files are reread or written
	lastCheck time.Time
	modTimes  map[string]time.Time // modification times, by file
}

type revocations struct {
	raw     []byte
	number  int64
	serials map[string]bool
}

// reloadInterval is the shortest time between two checks for changed files. A renewed
// certificate or a list of revocations in a file takes effect within it.
const reloadInterval = time.Second

// NewKeeper returns a Keeper for the certificate in a folder that Authority.Issue wrote.
func NewKeeper(dir string, log *slog.Logger) (*Keeper, error) {
	k := &Keeper{dir: dir, log: log, Now: time.Now, modTimes: map[string]time.Time{}}
	raw, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, fmt.Errorf("certificates: %w", err)
	}
	if k.root, err = parseCert(raw); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, authorityFile), err)
	}
	if len(k.root.Subject.Organization) != 1 {
		return nil, fmt.Errorf("%s: not a certificate of an authority", filepath.Join(dir, authorityFile))
	}
	k.roots = x509.NewCertPool()
	k.roots.AddCert(k.root)
	if err := k.readOwn(); err != nil {
		return nil, err
	}
	if err := k.readRevoked(); err != nil {
		return nil, err
	}
	return k, nil
}

// Me returns the identity that the certificate was issued to.
func (k *Keeper) Me() Identity { return k.self }

func (k *Keeper) readOwn() error {
	path := filepath.Join(k.dir, certFile)
	raw, err := ReadPrivate(path)
	if err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	c, err := tls.X509KeyPair(raw, raw)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if c.Leaf == nil {
		if c.Leaf, err = x509.ParseCertificate(c.Certificate[0]); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	who, err := certIdentity(c.Leaf)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if k.self != (Identity{}) && who != k.self {
		return fmt.Errorf("%s: the identity changed from %s to %s", path, k.self, who)
	}
	k.self = who
	k.own.Store(&c)
	return nil
}

func (k *Keeper) readRevoked() error {
	raw, err := os.ReadFile(filepath.Join(k.dir, revokedFile))
	if err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	_, err = k.updateRevocations(raw)
	return err
}

// updateRevocations replaces the list of revocations by raw if that is newer. newer reports
// whether it is.
func (k *Keeper) updateRevocations(raw []byte) (newer bool, err error) {
	l, err := parseRevocationList(raw, k.root)
	if err != nil {
		return false, err
	}
	r := &revocations{raw: raw, number: l.Number.Int64(), serials: map[string]bool{}}
	for _, e := range l.RevokedCertificateEntries {
		r.serials[e.SerialNumber.Text(16)] = true
	}
	for {
		old := k.revoked.Load()
		if old != nil && old.number >= r.number {
			return false, nil
		}
		if k.revoked.CompareAndSwap(old, r) {
			return true, nil
		}
	}
}

// Revocations returns the newest known list of revocations, to be sent to other parties. The
// list is signed, so it does not matter which party it comes from.
func (k *Keeper) Revocations() []byte {
	k.reloadChanged()
	return k.revoked.Load().raw
}

// MaxRevocations is the largest size of a list of revocations, in bytes.
const MaxRevocations = 4 << 20

// Learn replaces the list of revocations by raw, which any party may have sent, and writes it
// to disk if it is newer than the known one. newer reports whether it is.
func (k *Keeper) Learn(raw []byte) (newer bool, err error) {
	if len(raw) > MaxRevocations {
		return false, fmt.Errorf("list of revocations: larger than %d bytes", MaxRevocations)
	}
	newer, err = k.updateRevocations(raw)
	if !newer || err != nil {
		return newer, err
	}
	k.log.Info("received a newer list of revocations", "number", k.revoked.Load().number, "revoked", len(k.revoked.Load().serials))
	k.mu.Lock()
	defer k.mu.Unlock()
	return true, renameio.WriteFile(filepath.Join(k.dir, revokedFile), raw, 0o644)
}

// reloadChanged rereads the files that have changed, at most once in reloadInterval.
func (k *Keeper) reloadChanged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.lastCheck) < reloadInterval {
		return
	}
	k.lastCheck = now
	for _, f := range []struct {
		name string
		read func() error
	}{{certFile, k.readOwn}, {revokedFile, k.readRevoked}} {
		info, err := os.Stat(filepath.Join(k.dir, f.name))
		if err != nil {
			continue // the contents that were read before stay in use
		}
		if was, ok := k.modTimes[f.name]; ok && was.Equal(info.ModTime()) {
			continue
		}
		k.modTimes[f.name] = info.ModTime()
		if err := f.read(); err != nil {
			k.log.Error("reading a changed certificate file failed; its earlier contents stay in use", "file", f.name, "error", err)
		}
	}
}

// certIdentity returns the identity that a certificate was issued to.
func certIdentity(c *x509.Certificate) (Identity, error) {
	if len(c.URIs) != 1 {
		return Identity{}, ErrMalformed
	}
	i, err := ParseURI(c.URIs[0])
	if err != nil {
		return i, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return i, nil
}

// Verify returns the identity that a certificate belongs to, or why the certificate is not
// accepted now. All such decisions are made here.
func (k *Keeper) Verify(c *x509.Certificate) (Identity, error) {
	if c == nil {
		return Identity{}, ErrNoCertificate
	}
	now := k.Now()
	switch {
	case now.Before(c.NotBefore):
		return Identity{}, ErrNotYetValid
	case now.After(c.NotAfter):
		return Identity{}, ErrExpired
	}
	// The validity period is checked above, where each side has an error of its own.
	if _, err := c.Verify(x509.VerifyOptions{Roots: k.roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}); err != nil {
		return Identity{}, fmt.Errorf("%w: %w", ErrForeign, err)
	}
	k.reloadChanged()
	if k.revoked.Load().serials[c.SerialNumber.Text(16)] {
		return Identity{}, ErrRevoked
	}
	who, err := certIdentity(c)
	if err == nil && who.Site != k.self.Site {
		err = ErrForeign
	}
	return who, err
}

// verifyConnection verifies the certificate of the other end of a connection.
func (k *Keeper) verifyConnection(s *tls.ConnectionState) (Identity, error) {
	if s == nil || len(s.PeerCertificates) == 0 {
		return Identity{}, ErrNoCertificate
	}
	return k.Verify(s.PeerCertificates[0])
}

// tlsConfig returns the TLS configuration that clients and servers share. check decides
// whether a verified identity is accepted, and where describes the other end in logs. The
// library's verification of the certificate chain is not used: it would tell the other end
// what is wrong with its certificate.
func (k *Keeper) tlsConfig(check func(Identity) error, where string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection verifies
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			k.reloadChanged()
			return k.own.Load(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			k.reloadChanged()
			return k.own.Load(), nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			who, err := k.verifyConnection(&s)
			if err == nil {
				err = check(who)
			}
			if err != nil {
				k.log.Warn("connection refused", "with", where, "who", who.String(), "reason", err)
				return errRefused
			}
			return nil
		},
	}
}

var errRefused = errors.New("refused")

// Serve returns the TLS configuration of a server that accepts all parties of the site.
func (k *Keeper) Serve() *tls.Config {
	return k.tlsConfig(func(Identity) error { return nil }, "a client")
}

// Dial returns the TLS configuration of a client that accepts only servers of the given kind
// and, if name is not empty, only the server with that name.
func (k *Keeper) Dial(kind Kind, name string) *tls.Config {
	return k.tlsConfig(func(who Identity) error {
		if who.Kind != kind || name != "" && who.Name != name {
			return fmt.Errorf("%w: %s/%s", ErrWrongParty, kind, name)
		}
		return nil
	}, string(kind)+"/"+name)
}

// Who returns the identity that sent a request, and whether its certificate is valid now. It
// verifies the certificate again because a connection may outlive the certificate with which
// it was accepted. It logs the reason for a refusal.
func (k *Keeper) Who(r *http.Request) (Identity, bool) {
	who, err := k.verifyConnection(r.TLS)
	if err != nil {
		k.log.Warn("request refused", "from", r.RemoteAddr, "who", who.String(), "reason", err)
	}
	return who, err == nil
}

// ReadIdentity returns the identity that the certificate in a folder was issued to.
func ReadIdentity(dir string) (Identity, error) {
	c, err := readCert(filepath.Join(dir, certFile))
	if err != nil {
		return Identity{}, err
	}
	return certIdentity(c)
}

func readCert(path string) (*x509.Certificate, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := parseCert(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}
