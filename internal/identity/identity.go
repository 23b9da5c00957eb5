// Package identity is a site's small certificate authority. It issues certificates to the
// components and users of a site, and authenticates the other end of a connection.
//
// An Identity names a party, a component or a user. It is the only URI in the subject
// alternative names of the party's certificate. An Authority manages a folder with the
// site's key, the list of issued certificates and the list of revocations. Credentials
// manages one party's certificate: it rereads the certificate when the file changes, keeps the
// newest list of revocations that it receives, and makes TLS configurations that accept only
// parties with a certificate of the site. A refusal is logged with its reason, but the other
// end does not learn the reason.
package identity

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Kind is the role of a party in a site.
type Kind string

// Kinds of parties.
const (
	Node     Kind = "node"     // an archive node
	Agent    Kind = "agent"    // a machine's agent, by the machine's name
	Operator Kind = "operator" // a person who may read everything
	Team     Kind = "team"     // a reader of all that belongs to a team
	Customer Kind = "customer" // a customer of a team
)

// Scheme is the scheme of identity URIs.
const Scheme = "silvergate"

// Identity is the party that a certificate was issued to.
type Identity struct {
	Site string
	Kind Kind
	// Name is the party's name. For a team and for a customer it is the team's name.
	Name string
	// Customer is the customer's name within the team, for customers only.
	Customer string
}

// maxName is the largest length of a name in bytes: names are used in keys and file names.
const maxName = 100

// ValidName reports whether s is a valid name for a site, a party, a team or a customer.
func ValidName(s string) bool {
	if s == "" || len(s) > maxName || s[0] == '.' || s[0] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return true
}

// Check returns an error that names the first invalid part, or nil if the identity is valid.
func (i Identity) Check() error {
	switch {
	case !ValidName(i.Site):
		return fmt.Errorf("site %.40q: not a name of letters, digits, '-', '_' and '.'", i.Site)
	case !ValidName(i.Name):
		return fmt.Errorf("name %.40q: not a name of letters, digits, '-', '_' and '.'", i.Name)
	}
	switch i.Kind {
	case Node, Agent, Operator, Team:
		if i.Customer != "" {
			return fmt.Errorf("a %s must not have a customer's name", i.Kind)
		}
	case Customer:
		if !ValidName(i.Customer) {
			return fmt.Errorf("customer %.40q: not a name of letters, digits, '-', '_' and '.'", i.Customer)
		}
	default:
		return fmt.Errorf("kind %.40q: must be node, agent, operator, team or customer", i.Kind)
	}
	return nil
}

// URI returns the identity as it is written in a certificate.
func (i Identity) URI() *url.URL {
	p := "/" + string(i.Kind) + "/" + i.Name
	if i.Kind == Customer {
		p += "/" + i.Customer
	}
	return &url.URL{Scheme: Scheme, Host: i.Site, Path: p}
}

// String returns the identity as people write it: KIND/NAME, or customer/TEAM/CUSTOMER.
func (i Identity) String() string { return strings.TrimPrefix(i.URI().Path, "/") }

var errURI = errors.New("not an identity, which has the form " + Scheme + "://SITE/KIND/NAME")

// ParseURI parses the URI of an identity. Each identity has only one valid spelling.
func ParseURI(u *url.URL) (Identity, error) {
	var i Identity
	if u == nil {
		return i, errURI
	}
	f := strings.Split(u.Path, "/")
	if u.Scheme != Scheme || len(f) < 3 || len(f) > 4 || f[0] != "" {
		return i, errURI
	}
	i = Identity{Site: u.Host, Kind: Kind(f[1]), Name: f[2]}
	if len(f) == 4 {
		i.Customer = f[3]
	}
	if err := i.Check(); err != nil {
		return Identity{}, err
	}
	// Guards against other spellings: with escapes, a user, a query or a fragment.
	if i.URI().String() != u.String() || u.User != nil || u.RawPath != "" {
		return Identity{}, errURI
	}
	return i, nil
}

// Parse parses an identity of a site in the form that String returns.
func Parse(site, s string) (Identity, error) {
	f := strings.Split(s, "/")
	if len(f) < 2 || len(f) > 3 {
		return Identity{}, fmt.Errorf("%.80q: write KIND/NAME, or customer/TEAM/CUSTOMER", s)
	}
	i := Identity{Site: site, Kind: Kind(f[0]), Name: f[1]}
	if len(f) == 3 {
		i.Customer = f[2]
	}
	return i, i.Check()
}
