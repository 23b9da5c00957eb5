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

// claimRecord is the record by which a controller owns a machine. Its mod revision is the
// machine's fencing token, and it is rewritten only to obtain a new token.
type claimRecord struct {
	Owner       string `json:"o"`
	Incarnation int64  `json:"l"`
	Address     string `json:"a"`
	MachineType string `json:"t"`
	Zone        string `json:"z"`
	Spot        bool   `json:"s,omitempty"`
	// Epoch is the owner's claim epoch, see internal/failover. It is 0 in claims written by
	// versions without group failover.
	Epoch int `json:"e,omitempty"`
}

// maxClaimRetries is how many times a claim is retried after a conflict or an unknown outcome.
const maxClaimRetries = 1

// machineOwnership records who owns a machine, as given by its own claim and by the groups that
// have failed over from one controller to another.
type machineOwnership struct {
	claim        claimRecord     // the claim, with the owner after failovers in place of the claim's own
	token        uint64          // the owner's fencing token; 0: the machine has no claim
	commandToken uint64          // the fencing token of our commands and answers: token, or what it was raised to
	ownClaim     failover.Claim  // the owner by the claim record alone, before failovers
	links        []failover.Link // the groups that the ownership depends on
	claimedAt    time.Duration   // when we learned of the current owner
	claiming     bool            // a claim is being written
	adopted      bool            // claimed by an earlier incarnation of ours, whose token we keep using
}

// failedOver reports whether the owner got the machine by a failover of its group.
func (o *machineOwnership) failedOver() bool {
	return failover.Ownership{Links: o.links}.FailedOver()
}

// nextGroup returns the group with which the machine would fail over to another controller; ok
// is false if the machine belongs to no group.
func (o *machineOwnership) nextGroup() (group failover.Group, ok bool) {
	return failover.Ownership{Links: o.links}.NextGroup()
}

// ownershipCompares returns the conditions under which a transaction commits only if the
// machine's ownership is unchanged: its claim, the records of the groups that have failed over,
// and the absence of a failover record for its next group.
func (m *machine) ownershipCompares() []protocol.Compare {
	compares := make([]protocol.Compare, 0, 2+len(m.links))
	compares = append(compares, protocol.Compare{Key: keyClaim + m.id, ModRevision: m.ownClaim.Token})
	for _, link := range m.links {
		compares = append(compares, protocol.Compare{Key: keyFailover + link.Group.Key(), ModRevision: link.Revision})
	}
	return compares
}

// isOwn reports whether this incarnation of this controller owns the machine.
func (c *Core) isOwn(m *machine) bool {
	return m.token != 0 && m.claim.Owner == c.cfg.Node && (m.claim.Incarnation == c.incarnation || m.adopted)
}

// ownedByEarlierIncarnation reports whether an earlier incarnation of ours owns the machine: no
// controller has become its owner since, and we have not adopted it.
func (c *Core) ownedByEarlierIncarnation(m *machine) bool {
	return m.token != 0 && m.claim.Owner == c.cfg.Node && !c.isOwn(m)
}

// applyClaim applies a change of a machine's claim record in the mirror.
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

// removeClaim applies the deletion of a machine's claim record in the mirror.
func (c *Core) removeClaim(m *machine) {
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]--
	}
	m.token = 0
	m.commandToken = 0
	clear(m.directLaunches)
	m.ownClaim = failover.Claim{}
	m.links = nil
	m.tokenSeen = false
	m.reoccupy()
	c.scheduler.removeFromIdleList(m)
	c.removeIfUnused(m)
	c.updateOwnership(m)
}

// removeIfUnused removes a machine from the table if it has no claim, no bound tasks and no
// reserved room. Guards against room being returned to the wrong object: if a machine is
// removed while room is reserved on it and then added again under the same name, returning the
// reservation would give the new entry more room than the machine has.
func (c *Core) removeIfUnused(m *machine) {
	if m.token == 0 && len(m.bound) == 0 && m.reserved == 0 && c.machines.byID[m.id] == m {
		delete(c.machines.byID, m.id)
		c.staging.machineLost(m.id)
	}
}

// updateOwnership updates the number of machines of each controller and the list of our own
// machines after a claim has changed.
func (c *Core) updateOwnership(m *machine) {
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]++
	}
	c.machines.updateOwn(m, c.isOwn(m))
}

// resolveOwner determines the owner of a machine from its own claim and the group failovers. If
// the owner has changed, state that was learned under the earlier owner's token is dropped.
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
	m.commandToken = ownership.Token
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
		clear(m.directLaunches)
	case m.failedOver():
		m.resetForNewToken(c.now)
	}
	c.updateOwnership(m)
}

// resetForNewToken resets a machine's state for a new fencing token: commands that were sent
// under an earlier token become void once the worker has seen the new one, and no heartbeat is
// trusted before that.
func (m *machine) resetForNewToken(now time.Duration) {
	m.launchInDoubt = false
	clear(m.inFlight)
	clear(m.directLaunches)
	m.resetHeartbeats(now)
}

// resetHeartbeats discards the heartbeat state of a worker that has just become ours: its last
// heartbeat counts as received now, and none as answered.
func (m *machine) resetHeartbeats(now time.Duration) {
	m.epoch = 0
	m.sequence = 0
	m.heardAt = now
	m.answeredAt = 0
}

// claimMachine writes a claim for a machine and calls done with whether it was committed. The
// claim's mod revision is the machine's new fencing token. The machine passed to done may be a
// different object from m. retries counts the earlier attempts that have failed.
func (c *Core) claimMachine(m *machine, heartbeat *protocol.Heartbeat, retries int, done func(*machine, bool)) {
	m.claiming = true
	c.machines.claimsInFlight++
	renewal := c.isOwn(m) && c.mirrorComplete(m) // the claim commits only if nobody else has owned the machine since
	claim := claimRecord{
		Owner:       c.cfg.Node,
		Incarnation: c.incarnation,
		Address:     heartbeat.Address,
		MachineType: heartbeat.MachineType,
		Zone:        heartbeat.Zone,
		Spot:        heartbeat.Spot,
		Epoch:       c.claimEpoch(),
	}
	class := m.rateClass()
	ops := []protocol.Op{{Put: keyClaim + m.id, Value: encode(claim)}}
	c.state.Txn(class, m.ownershipCompares(), ops, func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
		m.claiming = false
		c.machines.claimsInFlight--
		// The machine may have been removed from the table and added again in the meantime.
		m = c.machine(m.id)
		if outcome == stateclient.Committed {
			m.resetForNewToken(c.now)
			m.mirrorComplete = renewal && retries == 0
			c.Stats.Claims++
			c.log.Info("machine claimed", "machine", m.id, "token", m.token, "shown", heartbeat.FencingToken, "epoch", heartbeat.AgentEpoch, "renewal", renewal)
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

// adoptClaim adopts a machine that an earlier incarnation of ours has claimed, without writing a new
// claim: claiming a whole fleet would use up the state service's rate for half a minute.
//
// Guards against direct launches of the earlier incarnation that may be executed, or executed once
// more, minutes late. That incarnation had no attempt forgotten, and released none as missing, without
// its direct launches being void, so the only launches that can still arrive are of attempts that are
// bound or listed. The worker must therefore list the bound attempts of its agent epoch, because
// launching an attempt that it already has does nothing. All attempts that it lists are treated as
// launched directly under the highest token that the earlier incarnation can have used: none is
// forgotten but by an answer with a higher one. Our mirror was loaded after that incarnation had
// ended, so no token of its commands exceeds the revision that the mirror has reached.
func (c *Core) adoptClaim(m *machine, heartbeat *protocol.Heartbeat) {
	if !c.ownedByEarlierIncarnation(m) || m.claiming || m.claim.Incarnation == c.incarnation || !c.showsOwnersToken(m, heartbeat) {
		return
	}
	head := heartbeatHead(heartbeat)
	commandToken, launch := c.workerState(m).AdoptedTokens(head)
	listed := map[taskAttempt]fencing.DirectLaunch{}
	for _, status := range heartbeat.Tasks {
		if id, index, err := job.ParseTaskName(status.Task); err == nil {
			listed[taskAttempt{taskKey{id, index}, status.Attempt}] = launch
		}
	}
	for key := range m.bound {
		attempt, ok := c.boundAttempt(m, key)
		_, isListed := listed[taskAttempt{key, attempt.Number}]
		if ok && !fencing.Adoptable(head, attempt, isListed) {
			return
		}
	}
	m.adopted = true
	m.launchInDoubt = false
	// Our mirror was loaded after that incarnation had ended, so it contains everything it wrote.
	m.mirrorComplete = true
	m.resetHeartbeats(c.now)
	m.commandToken = commandToken
	m.directLaunches = listed // includes attempts that have ended: they may not be forgotten yet
	clear(m.inFlight)
	c.machines.updateOwn(m, c.isOwn(m))
	c.Stats.Adopted++
	c.log.Info("machine adopted", "machine", m.id, "token", m.token, "shown", heartbeat.FencingToken, "epoch", heartbeat.AgentEpoch, "listed", len(listed))
}

// showsOwnersToken reports whether a heartbeat shows a token of the machine's owner.
func (c *Core) showsOwnersToken(m *machine, heartbeat *protocol.Heartbeat) bool {
	return c.workerState(m).ShowsOwnersToken(heartbeatHead(heartbeat))
}
