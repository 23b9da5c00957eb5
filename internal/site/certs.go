package site

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"silvergate/internal/archive"
	"silvergate/internal/identity"
)

// siteName is the name of a single-machine site in its certificates.
const siteName = "site"

// certify creates the site's authority, the key for grants and the parts' certificates, if
// they don't exist, and renews certificates before they expire. Without an archive it does
// nothing.
func (s *Site) certify() error {
	if s.cfg.Archive == nil {
		return nil
	}
	dir := filepath.Join(s.Dir, AuthorityDir)
	a, err := identity.Open(dir)
	if errors.Is(err, os.ErrNotExist) {
		a, err = identity.Init(dir, siteName, time.Now())
	}
	if err != nil {
		return err
	}
	key := filepath.Join(s.Dir, grantKeyFile)
	if _, err := os.Stat(key); errors.Is(err, os.ErrNotExist) {
		raw := make([]byte, archive.KeySize)
		_, _ = rand.Read(raw)
		if err := renameio.WriteFile(key, []byte(hex.EncodeToString(raw)+"\n"), 0o600); err != nil {
			return err
		}
	} else if err != nil {
		return err
	}
	parties := []identity.Identity{{Kind: identity.Operator, Name: operatorName}}
	for i := range s.cfg.Archive.Nodes {
		parties = append(parties, identity.Identity{Kind: identity.Node, Name: archiveName(i)})
	}
	for _, party := range parties {
		if err := a.Ensure(party, filepath.Join(s.Dir, CertsDir, party.Name)); err != nil {
			return err
		}
	}
	return nil
}

// renewCerts checks every hour, until ctx ends, which certificates of the site's own parts must be
// renewed, and renews them.
func (s *Site) renewCerts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Hour):
		}
		if err := s.certify(); err != nil {
			s.log.Error("certificates can't be renewed", "error", err)
		}
	}
}
