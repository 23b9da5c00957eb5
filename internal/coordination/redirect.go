package coordination

import (
	"silvergate/internal/connectivity"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"slices"
)

// This file decides which controller a worker is to report to.

// lessLoadedPeer names a peer that a reporting worker is sent to. A controller in the
// worker's own zone comes first, so that a zone that is cut off keeps its
// tasks: inside it, they are answered on. Among those of the zone, or among all
// where it has none, the controllers hold about as many workers each, since
// reports and takeovers cost processor time. Workers that need a claim in any
// case are sent on at once, others at a slow pace. Two reports a second is
// what a controller is left alone with.
func (c *Core) lessLoadedPeer(m *machine, zone string) string {
	// Guards against a peer that only its peers can reach: a worker that comes
	// back after it was sent away stays.
	if m.redirectedAt > 0 && c.now-m.redirectedAt < 2*c.leaseExpiry() {
		return ""
	}
	in := c.cfg.Zone == zone
	var near, all []string
	nearHeld, allHeld := 0, len(c.machines.own)+c.machines.claimsInFlight
	if in {
		nearHeld = allHeld
	}
	now := c.links.Snapshot()
	// One that comes because its controller did not answer, or that runs urgent work, goes
	// only where its zone is known to be heard.
	sure := m.token != 0 && !c.isOwn(m) || m.urgent()
	// Or to its own controller that has restarted since, and goes on without a new claim;
	// unless we have had it look for that one already.
	home := func(name string) bool {
		return m.token != 0 && m.claim.Owner == name && m.claim.Incarnation != c.membership.members[name].Incarnation && m.awaitingHolderSince == 0
	}
	for i := range now.Peers {
		p := &now.Peers[i]
		name := p.Controller.Node
		if c.membership.members[name] == nil || p.HeartbeatAge > now.HeartbeatInterval || !connectivity.CanServeZone(&now, p, zone, now.HeartbeatInterval) || sure && p.Relays && !home(name) && !connectivity.ProvenToHearZone(&now, p, zone) {
			continue
		}
		all, allHeld = append(all, name), allHeld+c.machines.ownership.machinesByOwner[name]
		if p.Zone == zone {
			near, nearHeld = append(near, name), nearHeld+c.machines.ownership.machinesByOwner[name]
		}
	}
	group, held, size := near, nearHeld, len(near)
	if in {
		size++
	} else if len(near) == 0 {
		group, held, size = all, allHeld, 1+len(all)
	}
	if len(group) == 0 || size == 0 {
		return ""
	}
	if !c.isOwn(m) && m.token != 0 && slices.Contains(near, m.claim.Owner) {
		m.redirectedAt = c.now
		return m.claim.Owner // may go on without a new claim
	}
	fair := float64(held) / float64(size)
	if in || len(near) == 0 {
		spare := 2 * c.cfg.Facts.Workers.Report
		most := 1.125*fair + spare
		if c.isOwn(m) {
			most = 1.5*fair + spare
		}
		if float64(len(c.machines.own)+c.machines.claimsInFlight) < most {
			return ""
		}
	}
	if c.isOwn(m) {
		// A tenth of the share of changes goes into evening out.
		if len(m.inFlight) > 0 || len(m.stops) > 0 || !c.links.MayRebalance(seconds(10*float64(1+len(c.cfg.Peers))/c.cfg.Facts.State.WriteRPS)) {
			return ""
		}
	}
	to, least := "", 0
	for _, i := range c.random.Perm(len(group)) {
		if n := c.machines.ownership.machinesByOwner[group[i]]; to == "" || n < least {
			to, least = group[i], n
		}
	}
	m.redirectedAt = c.now
	return to
}

// adoptClaim takes up a worker that an earlier life of ours has claimed, with the
// token that the worker knows, so that a restart costs no changes: the claims
// of a whole fleet would take the state service's rate for half a minute.
//
// Guards against direct launches of the earlier life that may be carried out
// minutes late. That life forgot or released nothing while a launch of it was
// unanswered, so what can still come are launches of attempts that are bound.
// The worker must list those of its session, as a launch of what it has does nothing; and
// all that it lists is treated as launches under way: none is forgotten or
// released for being absent before a new token is seen, which is taken when one
// of them ends.
func (c *Core) adoptClaim(m *machine, r *protocol.Heartbeat) {
	if c.isOwn(m) || m.claiming || m.token == 0 || m.claim.Owner != c.cfg.Node || m.claim.Incarnation == c.incarnation || r.FencingToken != m.token {
		return
	}
	listed := map[taskAttempt]bool{}
	for _, l := range r.Tasks {
		if id, i, err := job.ParseTaskName(l.Task); err == nil {
			listed[taskAttempt{taskKey{id, i}, l.Attempt}] = true
		}
	}
	for k := range m.bound {
		if a, ok := c.boundHere(m, k); ok && !fencing.Adoptable(heartbeatHead(r), a, listed[taskAttempt{k, a.Number}]) {
			return
		}
	}
	// Our records were read after that life had ended, with all that it did.
	m.adopted, m.launchInDoubt, m.mirrorComplete = true, false, true
	m.epoch, m.sequence, m.heardAt, m.answeredAt = 0, 0, c.now, 0
	m.inFlight = listed // also what has ended: it may not be forgotten yet
	c.updateOwnMachines(m)
	c.Stats.Adopted++
}

// awaitsHolder tells whether a worker should look for its own controller a little
// longer: one in its zone that was there a moment ago and, if it comes back,
// goes on without a new claim. A quarter of the lease leaves time to take the
// worker over.
func (c *Core) awaitsHolder(m *machine, r *protocol.Heartbeat) bool {
	if m.token == 0 || r.FencingToken != m.token {
		return false
	}
	now := c.links.Snapshot()
	p := now.Find(m.claim.Owner)
	if p == nil || p.Zone != r.Zone {
		return false
	}
	if p.HeartbeatAge < now.HeartbeatInterval && p.MirrorAgeMS < unknownMirrorAge.Milliseconds() {
		return false // it is there, and has sent the worker on
	}
	// Guards against workers of a controller that is cut off: they come
	// after a report period and a wait for its answer, with little left of
	// their lease. One that was restarted is back before that.
	if !connectivity.MayRecover(&now, p, seconds(c.cfg.Facts.Workers.Lease/3)) {
		return false
	}
	if m.awaitingHolderSince == 0 {
		m.awaitingHolderSince = c.now
	}
	return c.now-m.awaitingHolderSince < seconds(c.cfg.Facts.Workers.Lease/4)
}

// fenceLaunchesOfFinalJobs has the worker answered with a new token alone while a direct launch for a job
// that is over may still be carried out on it: until the call is given up nothing else
// shows that it is late, and an answer under the old token would let it start what was cancelled
// for a lease longer. What the worker lists has come; a launch of that does nothing.
func (c *Core) fenceLaunchesOfFinalJobs(m *machine, r *protocol.Heartbeat) {
	if !c.isOwn(m) || m.launchInDoubt || len(m.inFlight) == 0 {
		return
	}
	for a := range m.inFlight {
		if !c.knownFinal(a.job) {
			continue
		}
		name := job.TaskName(a.job, a.index)
		if !slices.ContainsFunc(r.Tasks, func(l protocol.TaskStatus) bool { return l.Task == name && l.Attempt == a.number }) {
			m.launchInDoubt = true
			return
		}
	}
}

// shouldRedirectToHolder tells whether a worker is better sent to the living controller that holds it than
// claimed: in an outage nobody else can answer it, and one that has just been claimed and has not
// heard so yet is heard there, not here.
//
// Guards against a worker whose one answer was lost in an outage and whose lease ran out
// on its way round, 3 s for each claim that was refused in the end; and against machines that hear
// nobody for so long that their leases end: each went round the controllers, and each of those wrote a claim.
//
// Once in a lease: a holder that may not answer any more refuses it at once, and what
// waits for the claim's refusal here keeps a whole site's workers from going to and fro. One that comes back within
// it was not answered there: sent home each time, it spent its whole lease between a controller whose
// link to the state service flapped and one that could not hear its zone.
func (c *Core) shouldRedirectToHolder(m *machine, r *protocol.Heartbeat) bool {
	if m.token == 0 || c.isOwn(m) || !c.links.HolderReachable(m.claim.Owner) {
		return false
	}
	// With work on it a claim is worth its try here: its holder may be the one that can't be heard.
	// A whole group that has just been taken over is told by those that come to its holder: elsewhere each would need a claim.
	// But not if it says that it does not hear the zone.
	now := c.links.Snapshot()
	passed := m.failedOver() && !connectivity.ZoneLost(&now, m.claim.Owner, m.claim.Zone)
	unheard := (len(r.Tasks) == 0 || passed) && r.FencingToken < m.token && c.now-m.claimedAt < seconds(c.cfg.Facts.Workers.Lease/3)
	if !c.cutOff() && !unheard || m.redirectedToHolder > 0 && c.now-m.redirectedToHolder < c.leaseExpiry() {
		return false
	}
	m.redirectedToHolder = c.now
	return true
}
