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

// Credentials holds one party's certificate, and the authority's certificate and the list of
// revocations with which it verifies other parties' certificates. It is safe for concurrent
// use.
type Credentials struct {
	dir      string
	log      *slog.Logger
	identity Identity
	root     *x509.Certificate
	roots    *x509.CertPool
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

// OpenCredentials returns the credentials in a folder that Authority.Issue wrote.
func OpenCredentials(dir string, log *slog.Logger) (*Credentials, error) {
	c := &Credentials{dir: dir, log: log, Now: time.Now, modTimes: map[string]time.Time{}}
	raw, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, fmt.Errorf("certificates: %w", err)
	}
	if c.root, err = parseCert(raw); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, authorityFile), err)
	}
	if len(c.root.Subject.Organization) != 1 {
		return nil, fmt.Errorf("%s: not a certificate of an authority", filepath.Join(dir, authorityFile))
	}
	c.roots = x509.NewCertPool()
	c.roots.AddCert(c.root)
	if err := c.readOwn(); err != nil {
		return nil, err
	}
	if err := c.readRevoked(); err != nil {
		return nil, err
	}
	return c, nil
}

// Identity returns the identity that the certificate was issued to.
func (c *Credentials) Identity() Identity { return c.identity }

func (c *Credentials) readOwn() error {
	path := filepath.Join(c.dir, certFile)
	raw, err := ReadPrivate(path)
	if err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	pair, err := tls.X509KeyPair(raw, raw)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	who, err := certIdentity(pair.Leaf)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if c.identity != (Identity{}) && who != c.identity {
		return fmt.Errorf("%s: the identity changed from %s to %s", path, c.identity, who)
	}
	c.identity = who
	c.own.Store(&pair)
	return nil
}

func (c *Credentials) readRevoked() error {
	raw, err := os.ReadFile(filepath.Join(c.dir, revokedFile))
	if err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	_, err = c.updateRevocations(raw)
	return err
}

// updateRevocations replaces the list of revocations by raw if that is newer. newer reports
// whether it is.
func (c *Credentials) updateRevocations(raw []byte) (newer bool, err error) {
	l, err := parseRevocationList(raw, c.root)
	if err != nil {
		return false, err
	}
	r := &revocations{raw: raw, number: l.Number.Int64(), serials: map[string]bool{}}
	for _, e := range l.RevokedCertificateEntries {
		r.serials[e.SerialNumber.Text(16)] = true
	}
	for {
		old := c.revoked.Load()
		if old != nil && old.number >= r.number {
			return false, nil
		}
		if c.revoked.CompareAndSwap(old, r) {
			return true, nil
		}
	}
}

// Revocations returns the newest known list of revocations, to be sent to other parties. The
// list is signed, so it does not matter which party it comes from.
func (c *Credentials) Revocations() []byte {
	c.reloadChanged()
	return c.revoked.Load().raw
}

// MaxRevocations is the largest size of a list of revocations, in bytes.
const MaxRevocations = 4 << 20

// ReceiveRevocations replaces the list of revocations by raw, which any party may have sent, and
// writes it to disk if it is newer than the known one. newer reports whether it is.
func (c *Credentials) ReceiveRevocations(raw []byte) (newer bool, err error) {
	if len(raw) > MaxRevocations {
		return false, fmt.Errorf("list of revocations: larger than %d bytes", MaxRevocations)
	}
	newer, err = c.updateRevocations(raw)
	if !newer || err != nil {
		return newer, err
	}
	c.log.Info("received a newer list of revocations", "number", c.revoked.Load().number, "revoked", len(c.revoked.Load().serials))
	c.mu.Lock()
	defer c.mu.Unlock()
	return true, renameio.WriteFile(filepath.Join(c.dir, revokedFile), raw, 0o644)
}

// reloadChanged rereads the files that have changed, at most once in reloadInterval.
func (c *Credentials) reloadChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.lastCheck) < reloadInterval {
		return
	}
	c.lastCheck = now
	for _, f := range []struct {
		name string
		read func() error
	}{{certFile, c.readOwn}, {revokedFile, c.readRevoked}} {
		info, err := os.Stat(filepath.Join(c.dir, f.name))
		if err != nil {
			continue // the contents that were read before stay in use
		}
		if was, ok := c.modTimes[f.name]; ok && was.Equal(info.ModTime()) {
			continue
		}
		c.modTimes[f.name] = info.ModTime()
		if err := f.read(); err != nil {
			c.log.Error("reading a changed certificate file failed; its earlier contents stay in use", "file", f.name, "error", err)
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
func (c *Credentials) Verify(certificate *x509.Certificate) (Identity, error) {
	if certificate == nil {
		return Identity{}, ErrNoCertificate
	}
	now := c.Now()
	switch {
	case now.Before(certificate.NotBefore):
		return Identity{}, ErrNotYetValid
	case now.After(certificate.NotAfter):
		return Identity{}, ErrExpired
	}
	// The validity period was checked above, to return different errors for its two ends.
	if _, err := certificate.Verify(x509.VerifyOptions{Roots: c.roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}); err != nil {
		return Identity{}, fmt.Errorf("%w: %w", ErrForeign, err)
	}
	c.reloadChanged()
	if c.revoked.Load().serials[certificate.SerialNumber.Text(16)] {
		return Identity{}, ErrRevoked
	}
	who, err := certIdentity(certificate)
	if err == nil && who.Site != c.identity.Site {
		err = ErrForeign
	}
	return who, err
}

// verifyConnection verifies the certificate of the other end of a connection.
func (c *Credentials) verifyConnection(s *tls.ConnectionState) (Identity, error) {
	if s == nil || len(s.PeerCertificates) == 0 {
		return Identity{}, ErrNoCertificate
	}
	return c.Verify(s.PeerCertificates[0])
}

// tlsConfig returns the TLS configuration that clients and servers share. check decides
// whether a verified identity is accepted, and peer describes the other end in logs. The
// library's verification of the certificate chain is not used: it would tell the other end
// what is wrong with its certificate.
func (c *Credentials) tlsConfig(check func(Identity) error, peer string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection verifies
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c.reloadChanged()
			return c.own.Load(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c.reloadChanged()
			return c.own.Load(), nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			who, err := c.verifyConnection(&s)
			if err == nil {
				err = check(who)
			}
			if err != nil {
				c.log.Warn("connection refused", "with", peer, "who", who.String(), "reason", err)
				return errRefused
			}
			return nil
		},
	}
}

var errRefused = errors.New("refused")

// ServerConfig returns the TLS configuration of a server that accepts all parties of the site.
func (c *Credentials) ServerConfig() *tls.Config {
	return c.tlsConfig(func(Identity) error { return nil }, "a client")
}

// ClientConfig returns the TLS configuration of a client that accepts only servers of the given
// kind and, if name is not empty, only the server with that name.
func (c *Credentials) ClientConfig(kind Kind, name string) *tls.Config {
	return c.tlsConfig(func(who Identity) error {
		if who.Kind != kind || name != "" && who.Name != name {
			return fmt.Errorf("%w: %s/%s", ErrWrongParty, kind, name)
		}
		return nil
	}, string(kind)+"/"+name)
}

// Authenticate returns the identity that sent a request, and whether its certificate is valid now.
// It verifies the certificate again because a connection may outlive the certificate with which it
// was accepted. It logs the reason for a refusal.
func (c *Credentials) Authenticate(r *http.Request) (Identity, bool) {
	who, err := c.verifyConnection(r.TLS)
	if err != nil {
		c.log.Warn("request refused", "from", r.RemoteAddr, "who", who.String(), "reason", err)
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
