package archive

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"silvergate/internal/identity"
	"silvergate/internal/protocol"
)

// Owner is the team and the customer that a job belongs to. It is fixed when the job is
// accepted.
type Owner struct {
	Team string `json:"team"`
	// Customer is the customer within the team, or "" for the team's own work.
	Customer string `json:"customer,omitempty"`
}

// Grant is a controller's sealed statement that an attempt was bound to a machine and that
// its job belongs to an owner. An agent can't forge one: both of its seals are made with a
// key that only controllers and archive nodes share. LaunchSeal comes with the command that
// launches the attempt. Only the controller that holds the machine's claim sends this command,
// and only after the attempt's binding to the machine is committed. TermsSeal comes with the
// job's description. A grant does not expire: the attempt's output can be shipped even after
// the agent has lost the lease under which it launched the attempt (its agent epoch has ended).
type Grant struct {
	Attempt
	Terms
	At int64 `json:"atMs"` // when the machine started the attempt, Unix time in milliseconds by its own clock; not sealed
	// LaunchSeal covers the attempt; TermsSeal covers the job and the terms.
	LaunchSeal string `json:"launchSeal"`
	TermsSeal  string `json:"termsSeal"`
}

// Terms are the parts of a job's description that the archive needs for each of its
// attempts.
type Terms struct {
	Owner
	Class   string `json:"class"`
	Urgency string `json:"urgency"`
	Shape   string `json:"shape"`
	// Keep lists patterns of the files to archive, relative to a task's working directory.
	Keep []string `json:"keep,omitempty"`
}

// TermsOf returns the terms in a job's description.
func TermsOf(d *protocol.JobDescription) Terms {
	t := Terms{Owner: Owner{Team: d.Team}, Class: d.Class, Urgency: d.Priority, Shape: protocol.ShapeName(d.Shape)}
	if x := d.Extra; x != nil {
		t.Customer, t.Keep = x.Customer, x.Keep
	}
	return t
}

// GrantKey is the secret key that controllers and archive nodes share to seal and verify
// grants.
type GrantKey []byte

// KeySize is the minimum length of a grant key, in bytes.
const KeySize = 32

// LoadGrantKey reads a key from a file that must be readable by its owner only and hold 64
// or more hexadecimal digits. Anything else is an error.
func LoadGrantKey(path string) (GrantKey, error) {
	raw, err := identity.ReadPrivate(path)
	if err != nil {
		return nil, fmt.Errorf("grant_key: %w", err)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) < KeySize {
		return nil, fmt.Errorf("grant_key: %s: must be %d or more hexadecimal digits", path, 2*KeySize)
	}
	return key, nil
}

// seal returns a truncated HMAC-SHA-256 over the values. domain separates the seals of
// launches from those of terms.
func (k GrantKey) seal(domain string, v ...any) string {
	m := hmac.New(sha256.New, k)
	m.Write([]byte(domain))
	for _, x := range v {
		m.Write([]byte{0})
		m.Write(Encode(x))
	}
	return hex.EncodeToString(m.Sum(nil)[:sealSize])
}

// sealSize is the length of a seal in bytes. The HMAC is truncated because a seal is sent
// with each launch.
const sealSize = 16

// SealLaunch returns the seal of an attempt's launch, in hexadecimal.
func (k GrantKey) SealLaunch(a Attempt) string { return k.seal("launch", a) }

// SealTerms returns the seal of a job's terms, in hexadecimal.
func (k GrantKey) SealTerms(job string, t Terms) string { return k.seal("terms", job, t) }

// Sign returns the grant with both of its seals.
func (k GrantKey) Sign(g Grant) Grant {
	g.LaunchSeal, g.TermsSeal = k.SealLaunch(g.Attempt), k.SealTerms(g.Job, g.Terms)
	return g
}

var errInvalidGrant = errors.New("not a grant of this site's controllers")

// Verify decodes a grant and checks its seals, its attempt and its owner. It returns an
// error if the grant is not valid.
func (k GrantKey) Verify(raw []byte) (Grant, error) {
	var g Grant
	if err := decode(raw, &g); err != nil {
		return g, errInvalidGrant
	}
	if !hmac.Equal([]byte(g.LaunchSeal), []byte(k.SealLaunch(g.Attempt))) || !hmac.Equal([]byte(g.TermsSeal), []byte(k.SealTerms(g.Job, g.Terms))) {
		return g, errInvalidGrant
	}
	if err := g.Attempt.Check(); err != nil {
		return g, err
	}
	if !validOwner(g.Owner) {
		return g, fmt.Errorf("%w: its team or customer is invalid", errInvalidGrant)
	}
	return g, nil
}

// validOwner reports whether a grant may name the owner. The team may have a name that
// can't be in a certificate: only operators and nodes can read such a team's records.
func validOwner(o Owner) bool {
	return o.Team != "" && len(o.Team) <= 200 && (o.Customer == "" || identity.ValidName(o.Customer))
}
