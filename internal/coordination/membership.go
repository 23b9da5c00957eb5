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

// member is the record that a controller publishes about itself under its lease. Its peers hand tasks
// off to it by the published numbers of idle machines and machines, see pickPeer.
type member struct {
	Incarnation  int64 `json:"l"`
	IdleMachines int   `json:"i"`
	Machines     int   `json:"m"`
	Format       int   `json:"f,omitempty"` // the newest record format that the controller reads
}

// membership maintains this controller's member key and its lease, and holds what the other
// controllers have published under theirs.
type membership struct {
	members        map[string]*member
	formats        map[string]int // the newest record format that each controller reads, as last published
	lease          uint64         // ID of our lease; 0: we have none
	renewalSentAt  time.Duration  // when the last renewal was asked for
	leaseTTL       time.Duration
	leaseRenewedAt time.Duration
	leaseInFlight  bool   // a lease is being granted or renewed
	published      string // our member record as last written; "": it must be written again
	nextPublishAt  time.Duration
}

// newMembership returns the membership of a controller that has no lease yet.
func newMembership(cfg *config.Settings) membership {
	return membership{
		members:  map[string]*member{},
		formats:  map[string]int{},
		leaseTTL: seconds(cfg.Facts.Workers.Lease / 3),
	}
}

// apply applies a member record from the mirror; own is whether it is this controller's record.
func (s *membership) apply(name string, record *member, data json.RawMessage, own bool) {
	s.members[name] = record
	s.formats[name] = record.Format
	// Guards against an older write of the record, possibly by an earlier incarnation, that is
	// executed after a newer one: the writes are unconditional, and the record is otherwise
	// written again only when it changes.
	if own && string(data) != s.published {
		s.published = ""
	}
}

// recordLease stores a lease that was requested at askedAt. Its lifetime counts from that time.
func (s *membership) recordLease(lease uint64, askedAt time.Duration) {
	s.lease = lease
	s.leaseRenewedAt = askedAt
	s.published = ""
}

// applyMember applies a change of a controller's member record in the mirror.
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

// alive reports whether a controller's member key exists; this controller always counts as alive.
func (c *Core) alive(name string) bool {
	return name == c.cfg.Node || c.membership.members[name] != nil
}

// hasPeerBelowFormat reports whether any live peer does not read a record format.
func (c *Core) hasPeerBelowFormat(format int) bool {
	for _, controller := range c.cfg.Peers {
		record := c.membership.members[controller.Node]
		if record != nil && record.Format < format {
			return true
		}
	}
	return false
}

// responsibleController returns the name of the controller that is responsible for a job: its
// owner while that is alive, otherwise the next live controller after it in the order of names.
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

// maintainMembership acquires or renews our lease and publishes our member record under it.
func (c *Core) maintainMembership() {
	if !c.state.Loaded() || c.membership.leaseInFlight {
		return
	}
	if c.membership.lease == 0 {
		c.acquireLease()
		return
	}
	if c.now-c.membership.leaseRenewedAt > c.membership.leaseTTL/3 && c.mayRenewLease() {
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

// mayRenewLease reports whether our lease may be renewed: it is not overdue, or the state service has
// answered since the last attempt.
//
// Guards against a controller that is cut off, and whose renewals are carried out though their answers
// are lost: it does nothing under its lease any more, but its records stayed, and for many seconds no
// other controller led the fleet.
func (c *Core) mayRenewLease() bool {
	overdue := c.now-c.membership.leaseRenewedAt > c.membership.leaseTTL
	return !overdue || c.state.ContactAt() > c.membership.renewalSentAt
}

// renewLease renews our lease, or drops it if it has expired.
func (c *Core) renewLease() {
	c.membership.leaseInFlight = true
	askedAt := c.now
	c.membership.renewalSentAt = askedAt
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

// publishMember writes our member record if it has changed, but not more often than the operators'
// setting PublishInterval allows.
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
