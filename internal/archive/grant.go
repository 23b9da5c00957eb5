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

// Owner is the team and the customer that a job belongs to; fixed when the job is
// accepted.
type Owner struct {
	Team string `json:"team"`
	// Customer is the customer within the team; "" is the team's own work.
	Customer string `json:"customer,omitempty"`
}

// Grant is a controller's sealed statement that an attempt was bound to a machine, and
// whose its job is. An agent can't make one: both halves are sealed with a key that
// controllers and archive nodes share. The one half comes with the launch, which
// only the claim's holder sends and only after the commit; the other with the job's
// description. A grant holds for as long as the attempt's output is worth shipping,
// also after the agent epoch in which it was launched has ended.
type Grant struct {
	Attempt
	Terms
	At int64 `json:"atMs"` // when the machine began with it, Unix time in milliseconds by its own clock: not sealed
	// LaunchSeal is over the attempt, TermsSeal over the job and the terms.
	LaunchSeal string `json:"launchSeal"`
	TermsSeal  string `json:"termsSeal"`
}

// Terms are what a job's description says of all its attempts that the archive needs.
type Terms struct {
	Owner
	Class   string `json:"class"`
	Urgency string `json:"urgency"`
	Shape   string `json:"shape"`
	// Keep are patterns of files to keep, relative to a task's working directory.
	Keep []string `json:"keep,omitempty"`
}

// TermsOf returns the terms of the job that a description describes.
func TermsOf(d *protocol.JobDescription) Terms {
	t := Terms{Owner: Owner{Team: d.Team}, Class: d.Class, Urgency: d.Priority, Shape: protocol.ShapeName(d.Shape)}
	if x := d.Extra; x != nil {
		t.Customer, t.Keep = x.Customer, x.Keep
	}
	return t
}

// GrantKey is the key that controllers and archive nodes share to seal grants and to
// check them.
type GrantKey []byte

// KeySize is the least length of a grant key, in bytes.
const KeySize = 32

// LoadGrantKey reads a key: 64 or more hexadecimal digits in a file that only its
// owner may read. Anything else is an error.
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

// seal is the keyed sum over what is sealed; what says which half it is.
func (k GrantKey) seal(what string, v ...any) string {
	m := hmac.New(sha256.New, k)
	m.Write([]byte(what))
	for _, x := range v {
		m.Write([]byte{0})
		m.Write(Encode(x))
	}
	return hex.EncodeToString(m.Sum(nil)[:sealSize])
}

// sealSize is how much of a sum a seal is, in bytes: it travels with each launch.
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

// Verify reads a grant and checks its seals. A grant that is not valid is an error.
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
		return g, fmt.Errorf("%w: its owner has no name", errInvalidGrant)
	}
	return g, nil
}

// validOwner tells whether an owner can have a certificate; a team whose name can't
// stand in one is read by operators alone.
func validOwner(o Owner) bool {
	return o.Team != "" && len(o.Team) <= 200 && (o.Customer == "" || identity.ValidName(o.Customer))
}
