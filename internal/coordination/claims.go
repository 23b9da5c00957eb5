package coordination

import (
	"encoding/json"
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/stateclient"
)

// claimRecord is the record by which a controller owns a machine; its mod revision is the
// machine's fencing token. It is rewritten only to take a new token.
type claimRecord struct {
	Owner       string `json:"o"`
	Incarnation int64  `json:"l"`
	Address     string `json:"a"`
	MachineType string `json:"t"`
	Zone        string `json:"z"`
	Spot        bool   `json:"s,omitempty"`
	// Epoch is that of the owner's claims, see internal/failover; 0 from versions without
	// failover of groups.
	Epoch int `json:"e,omitempty"`
}

// maxClaimRetries is how many times a claim is tried again after a conflict or an unknown
// outcome.
const maxClaimRetries = 1

// machineOwnership is who owns a machine, by its own claim and by the groups that have
// failed over from one controller to another.
type machineOwnership struct {
	claim     claimRecord     // with the owner by all records, not by the claim's alone
	token     uint64          // the fencing token by which it is owned; 0: it has no claim
	ownClaim  failover.Claim  // by its own record alone
	links     []failover.Link // the groups that its ownership depends on
	claimedAt time.Duration   // when its owner came to be known
	claiming  bool            // a claim is being written
	adopted   bool            // claimed by an earlier incarnation of ours, whose token we go on with
}

// failedOver tells whether the machine has come to its owner by a failover of its group.
func (o *machineOwnership) failedOver() bool {
	return failover.Ownership{Links: o.links}.FailedOver()
}

// nextGroup is the group by which the machine would fail over to another controller; ok is
// false if it can't.
func (o *machineOwnership) nextGroup() (group failover.Group, ok bool) {
	return failover.Ownership{Links: o.links}.NextGroup()
}

// ownershipCompares is what a transaction is conditional on for a machine to be owned as it
// is: its claim, the groups by which it has failed over, and that it has not failed over by
// the next one.
func (m *machine) ownershipCompares() []protocol.Compare {
	compares := make([]protocol.Compare, 0, 2+len(m.links))
	compares = append(compares, protocol.Compare{Key: keyClaim + m.id, ModRevision: m.ownClaim.Token})
	for _, link := range m.links {
		compares = append(compares, protocol.Compare{Key: keyFailover + link.Group.Key(), ModRevision: link.Revision})
	}
	return compares
}

// isOwn tells whether this incarnation of this controller owns the machine.
func (c *Core) isOwn(m *machine) bool {
	return m.token != 0 && m.claim.Owner == c.cfg.Node && (m.claim.Incarnation == c.incarnation || m.adopted)
}

// ownedByEarlierIncarnation tells whether an earlier incarnation of ours has claimed the
// machine, and nobody since.
func (c *Core) ownedByEarlierIncarnation(m *machine) bool {
	return m.token != 0 && m.claim.Owner == c.cfg.Node && !c.isOwn(m)
}

// applyClaim takes a change of a machine's claim record from the mirror.
func (c *Core) applyClaim(id string, data json.RawMessage, revision uint64) {
	m := c.machine(id)
	if data == nil {
		c.removeClaim(m)
		return
	}
	var claim claimRecord
	if !decode(c.log, id, data, &claim) {
		return
	}
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]--
		m.token = 0
	}
	m.claim = claim
	m.ownClaim = failover.Claim{
		Holder: failover.Holder{Node: claim.Owner, Incarnation: claim.Incarnation, Epoch: claim.Epoch},
		Token:  revision,
	}
	c.resolveOwner(m)
}

// removeClaim takes the deletion of a machine's claim record from the mirror.
func (c *Core) removeClaim(m *machine) {
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]--
	}
	m.token = 0
	m.ownClaim = failover.Claim{}
	m.links = nil
	m.tokenSeen = false
	m.reoccupy()
	c.scheduler.removeFromIdleList(m)
	c.forgetUnclaimed(m)
	c.updateOwnership(m)
}

// forgetUnclaimed drops what is known of a machine without a claim. Guards against room
// that was reserved on a machine that is forgotten meanwhile: given back to one that
// is added anew under its name, it made more room than there is.
func (c *Core) forgetUnclaimed(m *machine) {
	if m.token == 0 && len(m.bound) == 0 && m.reserved == 0 && c.machines.byID[m.id] == m {
		delete(c.machines.byID, m.id)
		c.staging.machineLost(m.id)
	}
}

// updateOwnership updates the count of each controller's machines and the list of our own
// after a claim has changed.
func (c *Core) updateOwnership(m *machine) {
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]++
	}
	c.machines.updateOwn(m, c.isOwn(m))
}

// resolveOwner finds the owner of a machine by its own claim and the failovers of groups. If
// that has changed, what was known under the earlier owner's token is dropped.
func (c *Core) resolveOwner(m *machine) {
	ownership := c.machines.ownership.failovers.Resolve(m.id, m.claim.Zone, m.ownClaim)
	m.links = ownership.Links
	if ownership.Token == m.token {
		return
	}
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]--
	}
	m.claim.Owner = ownership.Node
	m.claim.Incarnation = ownership.Incarnation
	m.token = ownership.Token
	m.claimedAt = c.now
	m.tokenSeen = false
	m.mirrorComplete = false
	m.leaseExpired = false
	m.adopted = false
	m.awaitingOwnerSince = 0
	m.queuedLaunches = nil
	m.deferredLaunches = nil
	m.reoccupy()
	switch {
	case !c.isOwn(m):
		c.scheduler.removeFromIdleList(m)
		clear(m.stops)
	case m.failedOver():
		m.resetForNewToken(c.now)
	}
	c.updateOwnership(m)
}

// resetForNewToken takes that a machine is owned under a new fencing token: whatever was
// sent under an earlier one is void once the new one is seen, and no heartbeat is trusted
// before that.
func (m *machine) resetForNewToken(now time.Duration) {
	m.launchInDoubt = false
	clear(m.inFlight)
	m.resetHeartbeats(now)
}

// resetHeartbeats forgets the earlier heartbeats of a worker as of one that has just become
// ours: it counts as heard now, and never answered.
func (m *machine) resetHeartbeats(now time.Duration) {
	m.epoch = 0
	m.sequence = 0
	m.heardAt = now
	m.answeredAt = 0
}

// claimMachine writes a claim of a machine, whose mod revision is its new fencing token, and
// tells done whether it was committed. The machine that done gets may be another object
// than m. retries counts the attempts that have failed before.
func (c *Core) claimMachine(m *machine, heartbeat *protocol.Heartbeat, retries int, done func(*machine, bool)) {
	m.claiming = true
	c.machines.claimsInFlight++
	renewal := c.isOwn(m) && c.mirrorComplete(m) // nobody else can have owned it since
	claim := claimRecord{
		Owner:       c.cfg.Node,
		Incarnation: c.incarnation,
		Address:     heartbeat.Address,
		MachineType: heartbeat.MachineType,
		Zone:        heartbeat.Zone,
		Spot:        heartbeat.Spot,
		Epoch:       c.claimEpoch(),
	}
	class := m.class()
	ops := []protocol.Op{{Put: keyClaim + m.id, Value: encode(claim)}}
	c.state.Txn(class, m.ownershipCompares(), ops, func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
		m.claiming = false
		c.machines.claimsInFlight--
		// The machine may have been forgotten and added anew meanwhile.
		m = c.machine(m.id)
		if outcome == stateclient.Committed {
			m.resetForNewToken(c.now)
			m.mirrorComplete = renewal && retries == 0
			c.Stats.Claims++
			done(m, true)
			return
		}
		retryable := outcome == stateclient.Conflict || outcome == stateclient.Unknown
		if !retryable || retries >= maxClaimRetries {
			done(m, false)
			return
		}
		m.claiming = true
		c.state.Refresh(class, keyClaim+m.id, func(ok bool) {
			m.claiming = false
			if !ok {
				done(m, false)
				return
			}
			c.claimMachine(m, heartbeat, retries+1, done)
		})
	})
}

// adoptClaim goes on with a machine that an earlier incarnation of ours has claimed, under
// the fencing token that its worker knows, so that a restart costs no changes: the claims
// of a whole fleet would take the state service's rate for half a minute.
//
// Guards against direct launches of the earlier incarnation that may be executed
// minutes late. That incarnation forgot or released nothing while a launch of it was
// without a reply, so what can still come are launches of attempts that are bound.
// The worker must list those of its agent epoch, as a launch of what it has does nothing; and
// all that it lists is treated as launches in flight: none is forgotten or
// released for being absent before a new token is seen, which is taken when one
// of them ends.
func (c *Core) adoptClaim(m *machine, heartbeat *protocol.Heartbeat) {
	if !c.ownedByEarlierIncarnation(m) || m.claiming || m.claim.Incarnation == c.incarnation || heartbeat.FencingToken != m.token {
		return
	}
	listed := map[taskAttempt]bool{}
	for _, status := range heartbeat.Tasks {
		if id, index, err := job.ParseTaskName(status.Task); err == nil {
			listed[taskAttempt{taskKey{id, index}, status.Attempt}] = true
		}
	}
	for key := range m.bound {
		attempt, ok := c.boundHere(m, key)
		if ok && !fencing.Adoptable(heartbeatHead(heartbeat), attempt, listed[taskAttempt{key, attempt.Number}]) {
			return
		}
	}
	m.adopted = true
	m.launchInDoubt = false
	// Our records were read after that incarnation had ended, with all that it did.
	m.mirrorComplete = true
	m.resetHeartbeats(c.now)
	m.inFlight = listed // with attempts that have ended: they may not be forgotten yet
	c.machines.updateOwn(m, c.isOwn(m))
	c.Stats.Adopted++
}
