package coordination

import (
	"encoding/json"
	"sort"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// member is what a controller publishes of itself under its lease. The length of its idle
// list is what others choose a controller for a task by.
type member struct {
	Incarnation  int64 `json:"l"`
	IdleMachines int   `json:"i"`
	Machines     int   `json:"m"`
	Format       int   `json:"f,omitempty"` // the newest record format that it reads
}

// membership owns this controller's member key, its lease, and what the other
// controllers have published under theirs.
type membership struct {
	members        map[string]*member
	formats        map[string]int // the newest record format that each controller reads, as last published
	lease          uint64         // our lease; 0: we have none
	leaseTTL       time.Duration
	leaseRenewedAt time.Duration
	leaseInFlight  bool   // a lease is being granted or renewed
	published      string // our member record as last written; "": it must be written
	nextPublishAt  time.Duration
}

// newMembership makes the membership of a controller that has no lease yet.
func newMembership(cfg *config.Settings) membership {
	return membership{
		members:  map[string]*member{},
		formats:  map[string]int{},
		leaseTTL: seconds(cfg.Facts.Workers.Lease / 3),
	}
}

// apply takes a member record from the mirror; own tells that it is this controller's.
func (s *membership) apply(name string, record *member, data json.RawMessage, own bool) {
	s.members[name] = record
	s.formats[name] = record.Format
	// Guards against an older publication, also of an earlier incarnation, that is executed after
	// a newer one: it has no condition, and what is published is written again only when it changes.
	if own && string(data) != s.published {
		s.published = ""
	}
}

// recordLease takes a lease that was asked for at a time.
func (s *membership) recordLease(lease uint64, askedAt time.Duration) {
	s.lease = lease
	s.leaseRenewedAt = askedAt
	s.published = ""
}

// applyMember takes a change of a controller's member record from the mirror.
func (c *Core) applyMember(name string, data json.RawMessage) {
	if data == nil {
		delete(c.membership.members, name)
		return
	}
	var record member
	if decode(c.log, name, data, &record) {
		c.membership.apply(name, &record, data, name == c.cfg.Node)
	}
}

// alive tells whether a controller holds its member key.
func (c *Core) alive(name string) bool {
	return name == c.cfg.Node || c.membership.members[name] != nil
}

// hasPeerBelowFormat tells whether a peer is there that does not read a record format.
func (c *Core) hasPeerBelowFormat(format int) bool {
	for _, controller := range c.cfg.Peers {
		record := c.membership.members[controller.Node]
		if record != nil && record.Format < format {
			return true
		}
	}
	return false
}

// responsibleController names the controller that is responsible for a job: its owner while
// that is live, else the next live controller by name.
func (c *Core) responsibleController(owner string) string {
	if c.alive(owner) {
		return owner
	}
	names := []string{c.cfg.Node}
	for name := range c.membership.members {
		if name != c.cfg.Node {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if name > owner {
			return name
		}
	}
	return names[0]
}

// maintainMembership keeps our lease and publishes our member record under it.
func (c *Core) maintainMembership() {
	if !c.state.Loaded() || c.membership.leaseInFlight {
		return
	}
	if c.membership.lease == 0 {
		c.acquireLease()
		return
	}
	if c.now-c.membership.leaseRenewedAt > c.membership.leaseTTL/3 {
		c.renewLease()
	}
	c.publishMember()
}

// acquireLease asks the state service for a lease.
func (c *Core) acquireLease() {
	c.membership.leaseInFlight = true
	askedAt := c.now
	c.state.GrantLease(c.membership.leaseTTL, func(lease uint64) {
		c.membership.leaseInFlight = false
		if lease == 0 {
			c.membership.leaseRenewedAt = c.now
			return
		}
		c.membership.recordLease(lease, askedAt)
	})
}

// renewLease renews our lease, and notes if it has expired.
func (c *Core) renewLease() {
	c.membership.leaseInFlight = true
	askedAt := c.now
	c.state.KeepAlive(c.membership.lease, func(renewed, expired bool) {
		c.membership.leaseInFlight = false
		if renewed {
			c.membership.leaseRenewedAt = askedAt
		}
		if expired {
			c.membership.lease = 0
		}
	})
}

// publishMember writes our member record if it has changed, and not more often than the
// operators' setting allows.
func (c *Core) publishMember() {
	record := member{
		Incarnation:  c.incarnation,
		IdleMachines: len(c.scheduler.idle),
		Machines:     len(c.machines.own),
		Format:       latestFormat,
	}
	data := encode(record)
	if string(data) == c.membership.published || c.now < c.membership.nextPublishAt {
		return
	}
	c.membership.nextPublishAt = c.now + c.cfg.Operator.PublishInterval
	c.membership.published = string(data)
	ops := []protocol.Op{{Put: keyMember + c.cfg.Node, Value: data, Lease: c.membership.lease}}
	c.state.Txn(ratelimit.Background, nil, ops, func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
		if outcome == stateclient.LeaseExpired {
			c.membership.lease = 0
		}
		if outcome != stateclient.Committed {
			c.membership.published = ""
		}
	})
}
