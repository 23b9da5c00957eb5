// Package identity is a site's small authority: it issues certificates to the
// parts and people of a site, and says of a connection who is at its other end.
//
// An Identity is who somebody is; it is the one URI in a certificate's subject
// alternative names. An Authority owns a folder with the site's key, the list of
// what was issued and the revocations. A Keeper owns one party's certificate: it
// reads it again when it changes on disk, keeps the newest revocations it hears
// of, and makes TLS configurations that accept nobody without a certificate of
// the site. A refusal is logged with its reason, and answered without.
package identity

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Kind is what somebody is to a site.
type Kind string

// Kinds of parties.
const (
	Node     Kind = "node"     // an archive node
	Agent    Kind = "agent"    // a machine's agent, by the machine's name
	Operator Kind = "operator" // a person who may read everything
	Team     Kind = "team"     // whoever may read what belongs to a team
	Customer Kind = "customer" // a customer of a team
)

// Scheme is the scheme of identities' URIs.
const Scheme = "silvergate"

// Identity is who a certificate was issued to.
type Identity struct {
	Site string
	Kind Kind
	// Name is the party's own; a team's and a customer's is the team's name.
	Name string
	// Customer is the customer's name within the team, for customers alone.
	Customer string
}

// maxName bounds names: they stand in keys and file names.
const maxName = 100

// ValidName tells whether s can name a site, a party, a team or a customer.
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

// Check names the first part that can't be.
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
			return fmt.Errorf("a %s has no customer's name", i.Kind)
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

// URI is how the identity stands in a certificate.
func (i Identity) URI() *url.URL {
	p := "/" + string(i.Kind) + "/" + i.Name
	if i.Kind == Customer {
		p += "/" + i.Customer
	}
	return &url.URL{Scheme: Scheme, Host: i.Site, Path: p}
}

// String is kind/name, or customer/team/customer: how people write it.
func (i Identity) String() string { return strings.TrimPrefix(i.URI().Path, "/") }

var errURI = errors.New("not an identity: it has the form " + Scheme + "://SITE/KIND/NAME")

// ParseURI reads an identity; there is one way to write each.
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
	// Guards against a second spelling: escapes, a user, a query, a fragment.
	if i.URI().String() != u.String() || u.User != nil || u.RawPath != "" {
		return Identity{}, errURI
	}
	return i, nil
}

// Parse reads what String wrote, for a site.
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
