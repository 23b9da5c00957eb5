package node

import (
	"errors"
	"fmt"
	"net/netip"

	"silvergate/internal/archive"
	"silvergate/internal/identity"
)

// Config holds the settings of a node, in the form of its YAML file.
type Config struct {
	// Name is the node's name among Members; Listen is the address that it listens on.
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
	// Dir is the data directory, which holds the vault; Certs is the directory of the node's
	// certificate.
	Dir   string `yaml:"dir"`
	Certs string `yaml:"certs"`
	// GrantKey is the path of the file with the key that controllers seal grants with.
	GrantKey string   `yaml:"grant_key"`
	Members  []Member `yaml:"members"`  // all nodes, including this one
	Replicas int      `yaml:"replicas"` // number of nodes that store each record
	// Revocations is the path of the authority's list of revocations, if this machine can
	// read it.
	Revocations string `yaml:"revocations"`
	// SyncS is the longest pause between two rounds of comparisons with the other nodes, in
	// seconds: when it starts, a node draws its pause from between half of SyncS and SyncS.
	// SyncMBPerS limits the exchange of missing records, in megabytes per second; 0: no
	// limit.
	SyncS      float64 `yaml:"sync_s"`
	SyncMBPerS float64 `yaml:"sync_mb_per_s"`
	// ScrubMBPerS is the rate at which stored records are read and checked, in
	// megabytes per second; 0: never.
	ScrubMBPerS float64 `yaml:"scrub_mb_per_s"`
	// PendingMB limits the total body size of the requests whose records are being received
	// or written, in units of 1 MiB. A request that would exceed it gets status 503.
	PendingMB float64           `yaml:"pending_mb"`
	Retention archive.Retention `yaml:"retention"`
	// TombstoneS is how long the remaining records of an expired attempt are kept, in seconds:
	// its grant, its end and its expiry records.
	TombstoneS float64 `yaml:"tombstone_s"`
}

// Member is a node's name and its address, an IP address with a port.
type Member struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// DefaultConfig returns the default values of the settings that a file may omit.
func DefaultConfig() Config {
	return Config{Replicas: 3, SyncS: 10, SyncMBPerS: 20, ScrubMBPerS: 2, PendingMB: 64, TombstoneS: 90 * 24 * 3600}
}

// CheckMembers returns an error that names the first invalid member, or nil.
func CheckMembers(members []Member) error {
	if len(members) == 0 {
		return errors.New("members: missing")
	}
	seen := map[string]bool{}
	for i, m := range members {
		if !identity.ValidName(m.Name) || seen[m.Name] {
			return fmt.Errorf("members[%d].name: missing, repeated or not a name", i)
		}
		seen[m.Name] = true
		if _, err := netip.ParseAddrPort(m.Address); err != nil {
			return fmt.Errorf("members[%d].address: %q is not an IP address with a port", i, m.Address)
		}
	}
	return nil
}

// Check returns an error that names the first invalid field, or nil.
func (c *Config) Check() error {
	if err := CheckMembers(c.Members); err != nil {
		return err
	}
	self := false
	for _, m := range c.Members {
		self = self || m.Name == c.Name
	}
	switch {
	case !self:
		return errors.New("name: missing, or not one of members")
	case c.Dir == "":
		return errors.New("dir: missing")
	case c.Certs == "":
		return errors.New("certs: missing")
	case c.GrantKey == "":
		return errors.New("grant_key: missing")
	case c.Replicas < 1:
		return errors.New("replicas: must be at least 1")
	case !(c.SyncS > 0):
		return errors.New("sync_s: must be above 0")
	case !(c.SyncMBPerS >= 0) || !(c.ScrubMBPerS >= 0):
		return errors.New("sync_mb_per_s, scrub_mb_per_s: must not be negative")
	case !(c.PendingMB >= 8):
		return errors.New("pending_mb: must be at least 8")
	case !(c.TombstoneS > 0):
		return errors.New("tombstone_s: must be above 0")
	}
	if bad := c.Retention.Check(); bad != "" {
		return errors.New("retention.rules: " + bad)
	}
	return nil
}
