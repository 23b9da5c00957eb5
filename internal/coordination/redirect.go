package coordination

import (
	"net/http"
	"slices"

	"silvergate/internal/connectivity"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// This file decides which controller a worker should send its heartbeats to.

const (
	// maxFairShare is how many times its fair share of machines a controller may own before it
	// redirects workers that need a claim in any case.
	maxFairShare = 1.125

	// maxFairShareOwn is the same limit for workers that the controller already owns.
	maxFairShareOwn = 1.5

	// spareHeartbeatRate is an allowance on top of both limits, in heartbeats per second: a
	// controller with fewer never redirects workers to even out the shares.
	spareHeartbeatRate = 2

	// rebalanceWriteDivisor divides a controller's share of the state service's write rate: a
	// tenth of it may be spent on rebalancing.
	rebalanceWriteDivisor = 10
)

// redirect answers a worker's request by naming the controller that it should send its heartbeat
// to.
func (c *Core) redirect(id uint64, controller string) {
	c.respond(id, http.StatusMisdirectedRequest, protocol.Redirect{Controller: controller}, 0)
}

// redirectCandidates are the controllers among which the workers are distributed.
type redirectCandidates struct {
	sameZone        []string // peers in the worker's zone that can serve it
	all             []string // peers in any zone that can serve it
	sameZoneWorkers int      // number of workers owned by sameZone, and by us if we are in the zone
	allWorkers      int      // number of workers owned by all, and by us
}

// lessLoadedPeer returns the peer that a worker is redirected to, or "" if the worker should stay.
// Controllers in the worker's own zone are preferred, so that a zone that is cut off keeps its
// tasks: heartbeats inside the zone are still answered. The workers are distributed evenly among
// the controllers of the zone, or among all controllers if the zone has none, because heartbeats
// and failovers cost processor time. Workers that need a claim in any case are redirected at
// once, others at a slow pace.
func (c *Core) lessLoadedPeer(m *machine, zone string) string {
	// Guards against a peer that other controllers can reach but workers can't: a worker that
	// comes back soon after it was redirected stays.
	if m.redirectedAt > 0 && c.now-m.redirectedAt < 2*c.leaseExpiry() {
		return ""
	}
	var zoneBuffer, buffer [typicalPeerCount]string
	candidates := redirectCandidates{sameZone: zoneBuffer[:0], all: buffer[:0]}
	candidates = c.addRedirectCandidates(candidates, m, zone)
	sameZone := c.cfg.Zone == zone
	group := candidates.sameZone
	workers := candidates.sameZoneWorkers
	controllers := len(group)
	switch {
	case sameZone:
		controllers++
	case len(candidates.sameZone) == 0:
		group = candidates.all
		workers = candidates.allWorkers
		controllers = 1 + len(group)
	}
	if len(group) == 0 {
		return ""
	}
	if !c.isOwn(m) && m.token != 0 && slices.Contains(candidates.sameZone, m.claim.Owner) {
		m.redirectedAt = c.now
		return m.claim.Owner // may keep the worker without a new claim
	}
	weShare := sameZone || len(candidates.sameZone) == 0
	if weShare && !c.aboveFairShare(m, float64(workers)/float64(controllers)) {
		return ""
	}
	if c.isOwn(m) && !c.mayRebalance(m) {
		return ""
	}
	m.redirectedAt = c.now
	return c.leastLoaded(group)
}

// typicalPeerCount is the capacity of the candidate buffers, which save two allocations per
// heartbeat. With more peers, append allocates.
const typicalPeerCount = 8

// addRedirectCandidates adds the peers that can serve a worker of a zone.
func (c *Core) addRedirectCandidates(candidates redirectCandidates, m *machine, zone string) redirectCandidates {
	candidates.allWorkers = c.ownWorkers()
	if c.cfg.Zone == zone {
		candidates.sameZoneWorkers = c.ownWorkers()
	}
	snapshot := c.links.Snapshot()
	for i := range snapshot.Peers {
		peer := &snapshot.Peers[i]
		if !c.canRedirectTo(&snapshot, peer, m, zone) {
			continue
		}
		name := peer.Controller.Node
		workers := c.machines.ownership.machinesByOwner[name]
		candidates.all = append(candidates.all, name)
		candidates.allWorkers += workers
		if peer.Zone == zone {
			candidates.sameZone = append(candidates.sameZone, name)
			candidates.sameZoneWorkers += workers
		}
	}
	return candidates
}

// canRedirectTo reports whether a worker may be redirected to a peer.
func (c *Core) canRedirectTo(snapshot *connectivity.Snapshot, peer *connectivity.Peer, m *machine, zone string) bool {
	name := peer.Controller.Node
	if c.membership.members[name] == nil || peer.HeartbeatAge > snapshot.HeartbeatInterval {
		return false
	}
	if !connectivity.CanServeZone(snapshot, peer, zone, snapshot.HeartbeatInterval) {
		return false
	}
	// A worker that comes here because its controller did not answer, or that runs urgent work,
	// is redirected only to a peer that is known to hear its zone, or to its own controller if
	// that has restarted since. This does not apply to peers of a version that can't relay calls.
	needsProof := m.token != 0 && !c.isOwn(m) || m.urgent()
	if !needsProof || !peer.Relays || c.isRestartedOwner(name, m) {
		return true
	}
	return connectivity.ProvenToHearZone(snapshot, peer, zone)
}

// isRestartedOwner reports whether a controller owns a machine and has restarted since it claimed
// it, so that it can keep the machine without a new claim. It returns false if we have already had
// the worker wait for that controller, see awaitsOwner.
func (c *Core) isRestartedOwner(name string, m *machine) bool {
	if m.token == 0 || m.claim.Owner != name || m.awaitingOwnerSince != 0 {
		return false
	}
	return m.claim.Incarnation != c.membership.members[name].Incarnation
}

// ownWorkers returns the number of workers that we own or are claiming.
func (c *Core) ownWorkers() int { return len(c.machines.own) + c.machines.claimsInFlight }

// aboveFairShare reports whether we own so many more workers than our fair share that a worker
// should be redirected.
func (c *Core) aboveFairShare(m *machine, fairShare float64) bool {
	spare := spareHeartbeatRate * c.cfg.Facts.Workers.Heartbeat
	limit := maxFairShare*fairShare + spare
	if c.isOwn(m) {
		limit = maxFairShareOwn*fairShare + spare
	}
	return float64(c.ownWorkers()) >= limit
}

// mayRebalance reports whether a worker of ours may be redirected now to even out the shares. A
// tenth of a controller's share of the state service's write rate is spent on that.
func (c *Core) mayRebalance(m *machine) bool {
	if len(m.inFlight) > 0 || len(m.stops) > 0 {
		return false
	}
	controllers := float64(1 + len(c.cfg.Peers))
	pause := seconds(rebalanceWriteDivisor * controllers / c.cfg.Facts.State.WriteRPS)
	return c.links.MayRebalance(pause)
}

// leastLoaded returns the controller that owns the fewest machines, chosen at random among equals.
func (c *Core) leastLoaded(controllers []string) string {
	least := ""
	leastWorkers := 0
	for _, i := range c.random.Perm(len(controllers)) {
		workers := c.machines.ownership.machinesByOwner[controllers[i]]
		if least == "" || workers < leastWorkers {
			least = controllers[i]
			leastWorkers = workers
		}
	}
	return least
}

// redirectTargetWhileCutOff returns the peer that a worker is redirected to while we can't reach
// the state service, either directly or through a peer, or "" if there is none. It prefers a peer
// whose recent heartbeat shows that it can serve the worker. If there is none, it returns a peer
// that could serve the worker when it was last heard, if that was within leaseExpiry. While we may
// still answer the worker, the second choice is made for urgent work first, see ShouldRedirect, so
// that peers claim these workers first.
func (c *Core) redirectTargetWhileCutOff(heartbeat *protocol.Heartbeat) string {
	period := seconds(c.cfg.Facts.Workers.Heartbeat)
	cutOffFor := c.now - c.state.FreshAt() - period
	if cutOffFor < 0 || !c.state.Loaded() {
		return ""
	}
	snapshot := c.links.Snapshot()
	m := c.machine(heartbeat.Worker)
	owner := ""
	if m.token != 0 && !c.isOwn(m) {
		owner = m.claim.Owner
	}
	if peer := connectivity.ChooseReceiver(&snapshot, heartbeat.Zone, heartbeat.Worker, owner, period); peer != "" {
		c.links.Stats.WorkersRedirected++
		return peer
	}
	remaining := c.cancelHorizon() - (c.now - c.cancellationProof())
	// Guards against a controller that mistakes an outage for the loss of its own link and
	// redirects its workers in circles: a worker that comes back stays while we may answer it.
	if remaining > 0 && m.redirectedAt > 0 && c.now-m.redirectedAt < 2*c.leaseExpiry() {
		return ""
	}
	if remaining > 0 && c.isOwn(m) && !connectivity.ShouldRedirect(m.workload(), cutOffFor, remaining) {
		return ""
	}
	peer := connectivity.ChooseReceiver(&snapshot, heartbeat.Zone, heartbeat.Worker, owner, c.leaseExpiry())
	if peer != "" {
		m.redirectedAt = c.now
		c.links.Stats.WorkersRedirected++
	}
	return peer
}

// workload returns how urgent the work on a machine is.
func (m *machine) workload() connectivity.Workload {
	switch {
	case m.urgent():
		return connectivity.UrgentWorkload
	case len(m.bound) > 0:
		return connectivity.OtherWorkload
	}
	return connectivity.NoWorkload
}

// awaitsOwner reports whether a worker should wait a little longer for its own controller: one in
// its zone that was up a moment ago and, if it comes back, keeps the worker without a new claim.
// Waiting for at most a quarter of the lease leaves time to claim the worker here.
func (c *Core) awaitsOwner(m *machine, heartbeat *protocol.Heartbeat) bool {
	if m.token == 0 || !c.showsOwnersToken(m, heartbeat) {
		return false
	}
	snapshot := c.links.Snapshot()
	owner := snapshot.Find(m.claim.Owner)
	if owner == nil || owner.Zone != heartbeat.Zone {
		return false
	}
	if owner.HeartbeatAge < snapshot.HeartbeatInterval && owner.MirrorAgeMS < unknownMirrorAge.Milliseconds() {
		return false // the owner is up, and has redirected the worker
	}
	// Guards against waiting for a controller that is cut off: its workers arrive here after a
	// heartbeat period and a timeout, with little of their lease left. A controller that was
	// restarted is back before that.
	if !connectivity.MayRecover(&snapshot, owner, seconds(c.cfg.Facts.Workers.Lease/3)) {
		return false
	}
	if m.awaitingOwnerSince == 0 {
		m.awaitingOwnerSince = c.now
	}
	return c.now-m.awaitingOwnerSince < seconds(c.cfg.Facts.Workers.Lease/4)
}

// fenceLaunchesOfFinalJobs requires a new token for a worker's next answer while a direct launch
// for a job in a final state may still be executed on it. Until the call times out, nothing else
// shows that the launch is late, and an answer under the old token would allow the worker to start
// the cancelled task and run it for the length of another lease. A launch of an attempt that the worker already lists has
// arrived, and executing it again does nothing.
func (c *Core) fenceLaunchesOfFinalJobs(m *machine, heartbeat *protocol.Heartbeat) {
	if !c.isOwn(m) || m.launchInDoubt {
		return
	}
	for attempt := range m.inFlight {
		if c.knownFinal(attempt.job) && !listsAttempt(heartbeat, attempt) {
			m.launchInDoubt = true
			return
		}
	}
}

// listsAttempt reports whether a heartbeat lists an attempt.
func listsAttempt(heartbeat *protocol.Heartbeat, attempt taskAttempt) bool {
	name := job.TaskName(attempt.job, attempt.index)
	return slices.ContainsFunc(heartbeat.Tasks, func(status protocol.TaskStatus) bool {
		return status.Task == name && status.Attempt == attempt.number
	})
}

// shouldRedirectToOwner reports whether a worker should be redirected to its owner, which is
// reachable, rather than be claimed here. In an outage of the state service only the owner can
// answer the worker; and a worker that was claimed a moment ago, and has not received the answer
// to that yet, gets it from its new owner.
//
// Guards against two faults. A worker that lost a single answer in an outage let its lease expire
// while it tried the other controllers, each of which refused its claim only after 3 s. And
// machines that received no answers for so long that their leases expired tried every controller,
// and each controller wrote a claim.
//
// A worker is redirected to its owner at most once per lease. An owner that may no longer answer
// refuses the worker at once. When the worker then comes back, it waits here until its claim is
// refused, so that the workers of a whole site do not move back and forth. A worker that comes back
// within the lease was not answered by its owner: when such a worker was redirected each time, it
// spent its whole lease between a controller whose link to the state service flapped and one that
// could not hear its zone.
func (c *Core) shouldRedirectToOwner(m *machine, heartbeat *protocol.Heartbeat) bool {
	if m.token == 0 || c.isOwn(m) || !c.links.OwnerReachable(m.claim.Owner) {
		return false
	}
	if !c.cutOff() && !c.awaitsFirstAnswer(m, heartbeat) {
		return false
	}
	if m.redirectedToOwnerAt > 0 && c.now-m.redirectedToOwnerAt < c.leaseExpiry() {
		return false
	}
	m.redirectedToOwnerAt = c.now
	return true
}

// awaitsFirstAnswer reports whether a worker has a new owner whose first answer it has not
// received yet and should wait for.
func (c *Core) awaitsFirstAnswer(m *machine, heartbeat *protocol.Heartbeat) bool {
	if heartbeat.FencingToken >= m.token || c.now-m.claimedAt >= seconds(c.cfg.Facts.Workers.Lease/3) {
		return false
	}
	if len(heartbeat.Tasks) == 0 {
		return true
	}
	// For a worker that runs tasks, a claim is worth trying here: its owner may be unable to
	// hear it. But the workers of a group that has just failed over should go to their new owner,
	// because elsewhere each of them would need a claim, unless the new owner reports that it
	// does not hear the zone.
	snapshot := c.links.Snapshot()
	return m.failedOver() && !connectivity.ZoneLost(&snapshot, m.claim.Owner, m.claim.Zone)
}
