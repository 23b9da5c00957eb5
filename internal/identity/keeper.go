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

// Reasons for which Judge, and with it every connection and request, refuses
// somebody. They are logged and not sent to the other end.
var (
	// ErrNoCertificate is returned when the other end has shown no certificate.
	ErrNoCertificate = errors.New("no certificate")
	// ErrForeign is returned for a certificate that another authority has signed,
	// or that names another site.
	ErrForeign = errors.New("its certificate is not of this site's authority")
	// ErrExpired is returned for a certificate after its time.
	ErrExpired = errors.New("its certificate is expired")
	// ErrNotYetValid is returned for a certificate before its time.
	ErrNotYetValid = errors.New("its certificate does not hold yet")
	// ErrRevoked is returned for a certificate on the list of revocations.
	ErrRevoked = errors.New("its certificate is revoked")
	// ErrMalformed is returned for a certificate without exactly one identity.
	ErrMalformed = errors.New("its certificate names nobody")
	// ErrWrongParty is returned by a connection to a party of another kind or name than
	// was dialled.
	ErrWrongParty = errors.New("it is not what is expected here")
)

// Keeper holds one party's certificate and what it must know to judge others'.
// It is safe for concurrent use.
type Keeper struct {
	dir   string
	log   *slog.Logger
	self  Identity
	root  *x509.Certificate
	roots *x509.CertPool
	// Now is the day's clock.
	Now func() time.Time

	own     atomic.Pointer[tls.Certificate]
	revoked atomic.Pointer[revocations]

	mu        sync.Mutex // of reading again
	lastCheck time.Time
	modTimes  map[string]time.Time // times of change, by file
}

type revocations struct {
	raw     []byte
	number  int64
	serials map[string]bool
}

// reloadInterval is how often the files are looked at: a renewal and a revocation
// that comes by file are effective within it.
const reloadInterval = time.Second

// NewKeeper takes the certificate in a folder that Authority.Issue wrote.
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
		return nil, fmt.Errorf("%s: not an authority's certificate", filepath.Join(dir, authorityFile))
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

// Me is whose certificate it is.
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
		return fmt.Errorf("%s: it was %s and is now %s", path, k.self, who)
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

// updateRevocations goes on with a list of revocations if it is newer than what is known.
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

// Revocations is the newest list that is known, for others: it is signed, so it
// does not matter from whom one has it.
func (k *Keeper) Revocations() []byte {
	k.reloadChanged()
	return k.revoked.Load().raw
}

// MaxRevocations bounds a list of revocations, in bytes.
const MaxRevocations = 4 << 20

// Learn takes a list of revocations from anybody, and keeps it on disk if it is
// newer than what was known.
func (k *Keeper) Learn(raw []byte) (newer bool, err error) {
	if len(raw) > MaxRevocations {
		return false, fmt.Errorf("list of revocations: larger than %d bytes", MaxRevocations)
	}
	newer, err = k.updateRevocations(raw)
	if !newer || err != nil {
		return newer, err
	}
	k.log.Info("newer list of revocations", "number", k.revoked.Load().number, "revoked", len(k.revoked.Load().serials))
	k.mu.Lock()
	defer k.mu.Unlock()
	return true, renameio.WriteFile(filepath.Join(k.dir, revokedFile), raw, 0o644)
}

// reloadChanged reads files again that have changed.
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
			continue // what was read before holds
		}
		if was, ok := k.modTimes[f.name]; ok && was.Equal(info.ModTime()) {
			continue
		}
		k.modTimes[f.name] = info.ModTime()
		if err := f.read(); err != nil {
			k.log.Error("a certificate's file can't be used; the earlier one holds", "file", f.name, "error", err)
		}
	}
}

// certIdentity reads who a certificate was issued to.
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

// Verify says who a certificate belongs to, or why it counts for nothing now. It
// is the one place where that is decided.
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
	// The time is judged above, each way with its own reason.
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

// verifyConnection judges the other end of a connection.
func (k *Keeper) verifyConnection(s *tls.ConnectionState) (Identity, error) {
	if s == nil || len(s.PeerCertificates) == 0 {
		return Identity{}, ErrNoCertificate
	}
	return k.Verify(s.PeerCertificates[0])
}

// tlsConfig is what both ends share. The library's own check of the chain is not
// used: it would tell the other end what is wrong with its certificate.
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

// Serve is the TLS configuration of a server that talks to everybody of the site.
func (k *Keeper) Serve() *tls.Config {
	return k.tlsConfig(func(Identity) error { return nil }, "a client")
}

// Dial is that of a client which wants to reach a party of that kind; with a
// name, that one and no other.
func (k *Keeper) Dial(kind Kind, name string) *tls.Config {
	return k.tlsConfig(func(who Identity) error {
		if who.Kind != kind || name != "" && who.Name != name {
			return fmt.Errorf("%w: %s/%s", ErrWrongParty, kind, name)
		}
		return nil
	}, string(kind)+"/"+name)
}

// Who says who sent a request, as of now: a connection outlives what it was
// accepted with. The reason for a refusal is logged.
func (k *Keeper) Who(r *http.Request) (Identity, bool) {
	who, err := k.verifyConnection(r.TLS)
	if err != nil {
		k.log.Warn("request refused", "from", r.RemoteAddr, "who", who.String(), "reason", err)
	}
	return who, err == nil
}

// ReadIdentity reads who the certificate in a folder was issued to.
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
