package coordination

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/failover"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// This file applies the rules of internal/failover: when a controller has failed or no longer hears
// a zone, its workers there fail over to another controller in groups, with a single record per
// group.

const (
	// pendingFailoverTimeout is how long a heartbeat waits for the failover of its worker's
	// group. It is shorter than answerTimeout, after which the worker stops waiting.
	pendingFailoverTimeout = 3 * time.Second

	// minFailoverGroupSize is how many workers a group must have for a failover to need fewer
	// writes than individual claims.
	minFailoverGroupSize = 2
)

// ownershipTable holds how many machines each controller owns, which groups have failed over from
// one controller to another, and the failovers that heartbeats wait for.
type ownershipTable struct {
	machinesByOwner map[string]int
	failovers       *failover.Table
	// pending holds the groups whose failover to this controller or another is under way, with
	// the heartbeats that wait for it.
	pending map[failover.Group]*pendingFailover
}

// pendingFailover is a failover whose record is being written or is not applied by the mirror yet.
type pendingFailover struct {
	since      time.Duration
	heartbeats []pendingHeartbeat
}

// pendingHeartbeat is a worker's heartbeat that has not been answered yet.
type pendingHeartbeat struct {
	id        uint64 // the ID of its request
	heartbeat *protocol.Heartbeat
}

// newOwnershipTable returns an empty table.
func newOwnershipTable() ownershipTable {
	return ownershipTable{
		machinesByOwner: map[string]int{},
		failovers:       failover.NewTable(),
		pending:         map[failover.Group]*pendingFailover{},
	}
}

// claimEpoch returns the epoch of the claims that we write now.
func (c *Core) claimEpoch() int {
	return c.machines.ownership.failovers.NextEpoch(c.cfg.Node, c.incarnation)
}

// applyFailover applies a change of a group's failover record in the mirror.
func (c *Core) applyFailover(name string, data json.RawMessage, revision uint64) {
	failovers := c.machines.ownership.failovers
	group, ok := failover.ParseKey(name)
	if !ok {
		c.log.Error("unreadable record", "key", keyFailover+name)
		return
	}
	if data == nil {
		if failovers.Delete(group) {
			c.resolveGroup(group)
		}
		return
	}
	var successor failover.Holder
	if !decode(c.log, name, data, &successor) {
		return
	}
	if failovers.Put(group, successor, revision) {
		c.resolveGroup(group)
	}
}

// advanceFailovers applies the failover records up to the revision at which the mirror is
// complete, and answers the heartbeats that have waited for them.
func (c *Core) advanceFailovers() {
	applied := c.machines.ownership.failovers.Advance(c.state.AppliedRevision())
	sortGroups(applied)
	for _, group := range applied {
		c.resolveGroup(group)
		c.retryPendingHeartbeats(group, false)
	}
}

// sortGroups sorts groups by their keys.
func sortGroups(groups []failover.Group) {
	sort.Slice(groups, func(i, k int) bool { return groups[i].Key() < groups[k].Key() })
}

// resolveGroup determines the owner of each machine of a group anew.
func (c *Core) resolveGroup(group failover.Group) {
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		if slices.ContainsFunc(m.links, func(link failover.Link) bool { return link.Group == group }) {
			c.resolveOwner(m)
		}
	}
}

// retryPendingHeartbeats answers the heartbeats that have waited for a group's failover. If alone
// is set, their workers are claimed individually.
func (c *Core) retryPendingHeartbeats(group failover.Group, alone bool) {
	for _, pending := range c.machines.ownership.takePending(group) {
		c.answerHeartbeat(pending.id, pending.heartbeat, alone)
	}
}

// takePending removes a group's pending failover, if any, and returns the heartbeats that wait
// for it.
func (t *ownershipTable) takePending(group failover.Group) []pendingHeartbeat {
	pending := t.pending[group]
	if pending == nil {
		return nil
	}
	delete(t.pending, group)
	return pending.heartbeats
}

// awaitGroupFailover queues a heartbeat until the failover of its worker's whole group is done,
// and reports whether it has done so. If not, the worker is to be claimed individually.
func (c *Core) awaitGroupFailover(id uint64, m *machine, heartbeat *protocol.Heartbeat) bool {
	group, ok := m.nextGroup()
	if !ok || !c.cfg.Operator.GroupTakeover || m.ownClaim.Token == 0 || !c.allPeersRead(failoverFormat) {
		return false
	}
	ownership := &c.machines.ownership
	pending := ownership.pending[group]
	if pending == nil {
		written := ownership.failovers.Pending(group)
		if !written && !c.shouldFailOver(group, m, heartbeat.Zone) {
			return false
		}
		pending = &pendingFailover{since: c.now}
		ownership.pending[group] = pending
		if !written {
			c.writeFailover(group)
		}
	}
	pending.heartbeats = append(pending.heartbeats, pendingHeartbeat{id, heartbeat})
	return true
}

// shouldFailOver reports whether we should become the owner of the whole group of a machine
// whose worker has sent us a heartbeat from a zone.
//
// Guards against a controller that can no longer hear the zone itself and fails a group over to
// itself because of a delayed heartbeat: all workers of the group were then redirected to a
// controller that did not hear them.
func (c *Core) shouldFailOver(group failover.Group, m *machine, zone string) bool {
	if c.links.LostZone(zone) {
		return false
	}
	return c.ownerCannotServe(m) && c.machines.groupSize(group) >= minFailoverGroupSize
}

// ownerCannotServe reports whether a machine's owner is a peer that can no longer answer its
// workers, because it has failed or reports that it does not hear the machine's zone. A peer that
// has restarted does not count: it keeps its workers without writing any record.
func (c *Core) ownerCannotServe(m *machine) bool {
	owner := m.claim.Owner
	if owner == c.cfg.Node {
		return false
	}
	member := c.membership.members[owner]
	if member == nil {
		return true
	}
	snapshot := c.links.Snapshot()
	return member.Incarnation == m.claim.Incarnation && connectivity.ZoneLost(&snapshot, owner, m.claim.Zone)
}

// groupSize returns the number of machines that are in a group now.
func (t *machineTable) groupSize(group failover.Group) int {
	size := 0
	for _, m := range t.byID {
		if len(m.links) > 0 && m.links[len(m.links)-1].Group == group {
			size++
		}
	}
	return size
}

// writeFailover writes the record that makes us the owner of a group. Whatever happens to the
// transaction, the mirror shows its outcome. If the owner has failed, the transaction is
// conditional on the absence of its member key, because a controller that is back keeps its
// workers.
func (c *Core) writeFailover(group failover.Group) {
	compares := []protocol.Compare{{Key: keyFailover + group.Key()}}
	if !c.alive(group.Node) {
		compares = append(compares, protocol.Compare{Key: keyMember + group.Node})
	}
	successor := failover.Holder{Node: c.cfg.Node, Incarnation: c.incarnation, Epoch: c.claimEpoch()}
	ops := []protocol.Op{{Put: keyFailover + group.Key(), Value: encode(successor)}}
	c.state.Txn(ratelimit.UrgentClaims, compares, ops, func(outcome stateclient.TxnOutcome, failed []string, _ uint64) {
		ownerIsBack := slices.Contains(failed, keyMember+group.Node)
		switch {
		case outcome == stateclient.Committed:
			c.Stats.Failovers++
			c.log.Info("failing workers over", "from", group.Node, "zone", group.Zone, "workers", c.machines.groupSize(group))
		case outcome == stateclient.Conflict && !ownerIsBack:
			// Another controller wrote the record first; the mirror will show it.
		case outcome == stateclient.Unknown:
			// The record may have been written; the mirror will show it.
		default:
			c.retryPendingHeartbeats(group, true)
		}
	})
}

// expirePendingFailovers refuses heartbeats that have waited longer than pendingFailoverTimeout.
func (c *Core) expirePendingFailovers() {
	ownership := &c.machines.ownership
	var expired []failover.Group
	for group, pending := range ownership.pending {
		if c.now-pending.since > pendingFailoverTimeout {
			expired = append(expired, group)
		}
	}
	sortGroups(expired)
	for _, group := range expired {
		for _, pending := range ownership.takePending(group) {
			c.refuse(pending.id, http.StatusServiceUnavailable, "its group is being taken over")
		}
	}
}

// dropUnusedFailovers deletes the failover records that no machine's ownership depends on any more.
func (c *Core) dropUnusedFailovers() {
	failovers := c.machines.ownership.failovers
	if failovers.Len() == 0 || !c.mirrorFresh() {
		return
	}
	unused := failovers.Unused(c.machines.groupsInUse())
	sortGroups(unused)
	var compares []protocol.Compare
	var ops []protocol.Op
	for _, group := range unused[:min(len(unused), c.cfg.Facts.State.TxnOps)] {
		key := keyFailover + group.Key()
		compares = append(compares, protocol.Compare{Key: key, ModRevision: failovers.Revision(group)})
		ops = append(ops, protocol.Op{Delete: key})
	}
	if len(ops) > 0 {
		c.state.Txn(ratelimit.Background, compares, ops, ignoreOutcome)
	}
}

// groupsInUse returns the groups that the ownership of any machine depends on.
func (t *machineTable) groupsInUse() map[failover.Group]bool {
	inUse := map[failover.Group]bool{}
	for _, m := range t.byID {
		for _, link := range m.links {
			inUse[link.Group] = true
		}
	}
	return inUse
}
