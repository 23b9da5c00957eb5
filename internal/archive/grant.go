package archive

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"

	"silvergate/internal/identity"
)

// Owner is whose a job is: fixed when it is accepted.
type Owner struct {
	Team string `json:"team"`
	// Customer is the customer within the team; "" is the team's own work.
	Customer string `json:"customer,omitempty"`
}

// Grant is a controller's word that an attempt was bound to a machine, and whose
// it is. An agent can't make one: it is sealed with a key that controllers and
// archive nodes share. It holds for as long as the attempt's output is worth
// shipping, also for sessions that are over.
type Grant struct {
	Attempt
	Owner
	Class   string `json:"class"`
	Urgency string `json:"urgency"`
	Shape   string `json:"shape"`
	Session uint64 `json:"session,omitempty"` // token of the claim under which it was given
	At      int64  `json:"atMs"`
	Keep    []Keep `json:"keep,omitempty"` // files that the job wants kept
	Seal    string `json:"seal"`
}

// Keep is a pattern of files to keep, relative to a task's working directory.
type Keep = string

// GrantKey seals grants.
type GrantKey []byte

// KeySize is the least that a key may have, in bytes.
const KeySize = 32

// LoadGrantKey reads a key: 64 or more hexadecimal digits in a file that is its
// owner's alone.
func LoadGrantKey(path string) (GrantKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("grant_key: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("grant_key: %s: others can read it (mode %o); make it 0600", path, info.Mode().Perm())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("grant_key: %w", err)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) < KeySize {
		return nil, fmt.Errorf("grant_key: %s: must be %d or more hexadecimal digits", path, 2*KeySize)
	}
	return key, nil
}

func (k GrantKey) sum(g Grant) string {
	g.Seal = ""
	m := hmac.New(sha256.New, k)
	m.Write(Encode(g))
	return hex.EncodeToString(m.Sum(nil))
}

// Sign seals a grant.
func (k GrantKey) Sign(g Grant) Grant {
	g.Seal = k.sum(g)
	return g
}

var errGrant = errors.New("not a grant of this site's controllers")

// Open reads a grant and checks its seal.
func (k GrantKey) Open(raw []byte) (Grant, error) {
	var g Grant
	if err := decode(raw, &g); err != nil {
		return g, errGrant
	}
	if !hmac.Equal([]byte(g.Seal), []byte(k.sum(g))) {
		return g, errGrant
	}
	if err := g.Attempt.Check(); err != nil {
		return g, err
	}
	if !ownerOK(g.Owner) {
		return g, fmt.Errorf("%w: its owner has no name", errGrant)
	}
	return g, nil
}

// ownerOK tells whether an owner can have a certificate; a team whose name can't
// stand in one is read by operators alone.
func ownerOK(o Owner) bool {
	return o.Team != "" && len(o.Team) <= 200 && (o.Customer == "" || identity.ValidName(o.Customer))
}
