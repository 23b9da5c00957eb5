package coordination

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/failover"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// This file is the seam to internal/failover: workers whose controller is gone, or does not
// hear their zone any more, pass to another by the group, by one record for all of them.

// ownershipTable is who holds which machines: how many each controller does, by which groups they
// have passed from one to another, and the take-overs that reports of workers wait for.
type ownershipTable struct {
	machinesByOwner map[string]int
	failovers       *failover.Table
	// awaited are the groups whose take-over is under way here, with the reports that it is
	// to answer.
	pending map[failover.Group]*pendingFailover
}

// pendingFailover is a take-over that is being written, or that is not heeded yet.
type pendingFailover struct {
	since      time.Duration
	heartbeats []pendingHeartbeat
}

// pendingHeartbeat is a worker's report that is not answered yet.
type pendingHeartbeat struct {
	id        uint64
	heartbeat *protocol.Heartbeat
}

func newOwnershipTable() ownershipTable {
	return ownershipTable{machinesByOwner: map[string]int{}, failovers: failover.NewTable(), pending: map[failover.Group]*pendingFailover{}}
}

// failoverTimeout is how long a report waits for the take-over of its worker's group: the
// worker gives up on the answer after 4 s.
const failoverTimeout = 3 * time.Second

// minFailoverGroup is how many workers a group must have left for a take-over to save changes.
const minFailoverGroup = 2

// claimEpoch is the epoch of the claims that we write now.
func (c *Core) claimEpoch() int {
	return c.machines.ownership.failovers.NextEpoch(c.cfg.Node, c.incarnation)
}

// resolveOwner finds who holds a machine by its own claim and the take-overs of groups, and takes
// the machine up or gives it up where that has changed.
func (c *Core) resolveOwner(m *machine) {
	held := c.machines.ownership.failovers.Resolve(m.id, m.claim.Zone, m.ownClaim)
	m.links = held.Links
	if held.Token == m.token {
		return
	}
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]--
	}
	m.claim.Owner, m.claim.Incarnation, m.token, m.claimedAt = held.Node, held.Incarnation, held.Token, c.now
	m.tokenSeen, m.mirrorComplete, m.leaseExpired, m.adopted, m.awaitingHolderSince = false, false, false, false, 0
	m.queuedLaunches, m.deferredLaunches = nil, nil
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

// resetForNewToken takes that a machine is held under a new token: whatever was sent under an earlier
// one is void once the new one is seen, and nothing is believed before that.
func (m *machine) resetForNewToken(now time.Duration) {
	m.launchInDoubt = false
	clear(m.inFlight)
	m.epoch, m.sequence, m.heardAt, m.answeredAt = 0, 0, now, 0
}

// applyFailover takes a record of a group that has passed to another controller.
func (c *Core) applyFailover(name string, data json.RawMessage, revision uint64) {
	g, ok := failover.ParseKey(name)
	if !ok {
		c.log.Error("unreadable record", "key", keyTakeover+name)
		return
	}
	if data == nil {
		if c.machines.ownership.failovers.Delete(g) {
			c.resolveGroup(g)
		}
		return
	}
	var successor failover.Holder
	if decode(c.log, name, data, &successor) && c.machines.ownership.failovers.Put(g, successor, revision) {
		c.resolveGroup(g)
	}
}

// advanceFailovers heeds the records up to which the mirror has become complete, and answers the
// reports that have waited for them.
func (c *Core) advanceFailovers() {
	heeded := c.machines.ownership.failovers.Advance(c.state.AppliedRevision())
	sortGroups(heeded)
	for _, g := range heeded {
		c.resolveGroup(g)
		c.retryPendingHeartbeats(g, false)
	}
}

func sortGroups(groups []failover.Group) {
	sort.Slice(groups, func(i, k int) bool { return groups[i].Key() < groups[k].Key() })
}

// resolveGroup finds anew who holds the machines of a group.
func (c *Core) resolveGroup(g failover.Group) {
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		if slices.ContainsFunc(m.links, func(l failover.Link) bool { return l.Group == g }) {
			c.resolveOwner(m)
		}
	}
}

// retryPendingHeartbeats takes the reports up again that have waited for a group; alone has their workers
// claimed one by one.
func (c *Core) retryPendingHeartbeats(g failover.Group, alone bool) {
	w := c.machines.ownership.pending[g]
	if w == nil {
		return
	}
	delete(c.machines.ownership.pending, g)
	for _, r := range w.heartbeats {
		c.answerHeartbeat(r.id, r.heartbeat, alone)
	}
}

// hasPeerBelowFormat tells whether a peer is there that does not read a format.
func (c *Core) hasPeerBelowFormat(format int) bool {
	for _, p := range c.cfg.Peers {
		if m := c.membership.members[p.Node]; m != nil && m.Format < format {
			return true
		}
	}
	return false
}

// awaitGroupFailover has a report wait for the take-over of its worker's whole group, if that is the
// way; false: the worker is to be claimed alone.
//
// Guards against a controller that has lost the zone itself, and takes a group over by a report that
// was held back on its way: all the group's workers were sent to where nobody heard them.
func (c *Core) awaitGroupFailover(id uint64, m *machine, r *protocol.Heartbeat) bool {
	g, ok := m.nextGroup()
	if !ok || !c.cfg.Operator.GroupTakeover || m.ownClaim.Token == 0 || !c.allPeersRead(failoverFormat) {
		return false
	}
	w := c.machines.ownership.pending[g]
	if w == nil {
		if !c.machines.ownership.failovers.Pending(g) && (c.links.LostZone(r.Zone) || !c.ownerCannotServe(m) || c.groupSize(g) < minFailoverGroup) {
			return false
		}
		w = &pendingFailover{since: c.now}
		c.machines.ownership.pending[g] = w
		if !c.machines.ownership.failovers.Pending(g) {
			c.writeFailover(g)
		}
	}
	w.heartbeats = append(w.heartbeats, pendingHeartbeat{id, r})
	return true
}

// ownerCannotServe tells whether a machine's holder is a peer that can't answer its workers any
// more: it is gone, or it says that it does not hear the machine's zone. One that has
// restarted is neither: it goes on with its workers without a change.
func (c *Core) ownerCannotServe(m *machine) bool {
	owner := m.claim.Owner
	if owner == c.cfg.Node {
		return false
	}
	member := c.membership.members[owner]
	if member == nil {
		return true
	}
	now := c.links.Snapshot()
	return member.Incarnation == m.claim.Incarnation && connectivity.ZoneLost(&now, owner, m.claim.Zone)
}

// groupSize counts the machines of a group.
func (c *Core) groupSize(g failover.Group) (n int) {
	for _, m := range c.machines.byID {
		if len(m.links) > 0 && m.links[len(m.links)-1].Group == g {
			n++
		}
	}
	return n
}

// writeFailover makes us the holder of a group. Whatever happens to the transaction, the mirror
// tells what came of it. Where the holder is gone the record is conditional on that: a
// controller that is back goes on with its workers itself.
func (c *Core) writeFailover(g failover.Group) {
	compares := []protocol.Compare{{Key: keyTakeover + g.Key()}}
	if !c.alive(g.Node) {
		compares = append(compares, protocol.Compare{Key: keyMember + g.Node})
	}
	successor := failover.Holder{Node: c.cfg.Node, Incarnation: c.incarnation, Epoch: c.claimEpoch()}
	c.state.Txn(ratelimit.UrgentClaims, compares, []protocol.Op{{Put: keyTakeover + g.Key(), Value: encode(successor)}}, func(o stateclient.TxnOutcome, failed []string, _ uint64) {
		switch {
		case o == stateclient.Committed:
			c.Stats.Failovers++
			c.log.Info("failing workers over", "from", g.Node, "zone", g.Zone, "workers", c.groupSize(g))
		case o == stateclient.Conflict && !slices.Contains(failed, keyMember+g.Node), o == stateclient.Unknown:
			// Another was first, or it may have been written: the mirror tells.
		default:
			c.retryPendingHeartbeats(g, true)
		}
	})
}

// expirePendingFailovers refuses reports that have waited for too long.
func (c *Core) expirePendingFailovers() {
	var late []failover.Group
	for g, w := range c.machines.ownership.pending {
		if c.now-w.since > failoverTimeout {
			late = append(late, g)
		}
	}
	sortGroups(late)
	for _, g := range late {
		w := c.machines.ownership.pending[g]
		delete(c.machines.ownership.pending, g)
		for _, r := range w.heartbeats {
			c.refuse(r.id, 503, "its group is being taken over")
		}
	}
}

// dropUnusedFailovers drops the records that no machine's holder stands on any more.
func (c *Core) dropUnusedFailovers() {
	if c.machines.ownership.failovers.Len() == 0 || !c.mirrorFresh() {
		return
	}
	inUse := map[failover.Group]bool{}
	for _, m := range c.machines.byID {
		for _, l := range m.links {
			inUse[l.Group] = true
		}
	}
	unused := c.machines.ownership.failovers.Unused(inUse)
	sortGroups(unused)
	var compares []protocol.Compare
	var ops []protocol.Op
	for _, g := range unused[:min(len(unused), c.cfg.Facts.State.TxnOps)] {
		key := keyTakeover + g.Key()
		compares = append(compares, protocol.Compare{Key: key, ModRevision: c.machines.ownership.failovers.Revision(g)})
		ops = append(ops, protocol.Op{Delete: key})
	}
	if len(ops) > 0 {
		c.state.Txn(ratelimit.Background, compares, ops, func(stateclient.TxnOutcome, []string, uint64) {})
	}
}
