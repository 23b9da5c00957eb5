package coordination

import (
	"net/http"
	"slices"

	"silvergate/internal/connectivity"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// This file decides which controller a worker is to send its heartbeats to.

const (
	// maxFairShare is how much more than its fair share of machines a controller may own before
	// workers that need a claim in any case are redirected.
	maxFairShare = 1.125

	// maxFairShareOwn is the same for workers that are already its own.
	maxFairShareOwn = 1.5

	// spareHeartbeatRate is how many heartbeats a second a controller is left alone with,
	// whatever its share is.
	spareHeartbeatRate = 2

	// rebalanceWriteDivisor is the divisor of the rate of writes that may be spent on
	// rebalancing: a tenth of it.
	rebalanceWriteDivisor = 10
)

// redirect answers a worker's request with the controller that it is to send its heartbeat to.
func (c *Core) redirect(id uint64, controller string) {
	c.respond(id, http.StatusMisdirectedRequest, protocol.Redirect{Controller: controller}, 0)
}

// redirectCandidates are the controllers among which a worker's heartbeats are shared out.
type redirectCandidates struct {
	sameZone        []string // peers in the worker's zone that can serve it
	all             []string // peers of any zone that can
	sameZoneWorkers int      // the workers of those in the zone, with our own if we are there
	allWorkers      int      // the workers of all, with our own
}

// lessLoadedPeer names a peer that a worker is redirected to, "" if it is to stay. A controller
// in the worker's own zone comes first, so that a zone that is cut off keeps its
// tasks: inside it, their heartbeats go on being answered. Among those of the zone, or among all
// where it has none, the controllers own about as many workers each, since
// heartbeats and failovers cost processor time. Workers that need a claim in any
// case are redirected at once, others at a slow pace.
func (c *Core) lessLoadedPeer(m *machine, zone string) string {
	// Guards against a peer that only its peers can reach: a worker that comes
	// back after it was redirected stays.
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
		return m.claim.Owner // may go on without a new claim
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

// typicalPeerCount is how many peers fit the buffers of candidates, which save every heartbeat
// two allocations; with more peers append allocates.
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

// canRedirectTo tells whether a worker may be redirected to a peer.
func (c *Core) canRedirectTo(snapshot *connectivity.Snapshot, peer *connectivity.Peer, m *machine, zone string) bool {
	name := peer.Controller.Node
	if c.membership.members[name] == nil || peer.HeartbeatAge > snapshot.HeartbeatInterval {
		return false
	}
	if !connectivity.CanServeZone(snapshot, peer, zone, snapshot.HeartbeatInterval) {
		return false
	}
	// A worker that comes because its controller did not answer, or that runs urgent work, is
	// redirected only to a peer that is known to hear its zone; or to its own controller that
	// has restarted since.
	needsProof := m.token != 0 && !c.isOwn(m) || m.urgent()
	if !needsProof || !peer.Relays || c.isRestartedOwner(name, m) {
		return true
	}
	return connectivity.ProvenToHearZone(snapshot, peer, zone)
}

// isRestartedOwner tells whether a controller owns a machine and has restarted since, so that
// it goes on without a new claim; but not if we have had the worker look for it already.
func (c *Core) isRestartedOwner(name string, m *machine) bool {
	if m.token == 0 || m.claim.Owner != name || m.awaitingOwnerSince != 0 {
		return false
	}
	return m.claim.Incarnation != c.membership.members[name].Incarnation
}

// ownWorkers counts the workers that we own or are claiming.
func (c *Core) ownWorkers() int { return len(c.machines.own) + c.machines.claimsInFlight }

// aboveFairShare tells whether we own so many more workers than our fair share that a worker
// is to be redirected.
func (c *Core) aboveFairShare(m *machine, fairShare float64) bool {
	spare := spareHeartbeatRate * c.cfg.Facts.Workers.Report
	limit := maxFairShare*fairShare + spare
	if c.isOwn(m) {
		limit = maxFairShareOwn*fairShare + spare
	}
	return float64(c.ownWorkers()) >= limit
}

// mayRebalance tells whether a worker of ours may be redirected now to even out the shares. A
// tenth of a controller's share of the state service's writes is spent on that.
func (c *Core) mayRebalance(m *machine) bool {
	if len(m.inFlight) > 0 || len(m.stops) > 0 {
		return false
	}
	controllers := float64(1 + len(c.cfg.Peers))
	pause := seconds(rebalanceWriteDivisor * controllers / c.cfg.Facts.State.WriteRPS)
	return c.links.MayRebalance(pause)
}

// leastLoaded picks at random one of the controllers that own the fewest machines.
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

// redirectTargetWhileCutOff names a peer that a worker is redirected to while we can't reach the
// state service by any way, "" if there is none: one that can serve it, by a recent heartbeat.
// If none is recent, and no peer relays for us, one that could when it was last heard, and in
// an order that has urgent work claimed there before our own time to answer is over.
func (c *Core) redirectTargetWhileCutOff(heartbeat *protocol.Heartbeat) string {
	period := seconds(c.cfg.Facts.Workers.Report)
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
	// Guards against a controller that takes an outage for a cut of its own and redirects
	// its workers in circles: one that comes back stays while it can be answered.
	if remaining > 0 && m.redirectedAt > 0 && c.now-m.redirectedAt < 2*c.leaseExpiry() {
		return ""
	}
	if remaining > 0 && c.isOwn(m) && !connectivity.ShouldHandOver(m.workload(), cutOffFor, remaining) {
		return ""
	}
	peer := connectivity.ChooseReceiver(&snapshot, heartbeat.Zone, heartbeat.Worker, owner, c.leaseExpiry())
	if peer != "" {
		m.redirectedAt = c.now
		c.links.Stats.WorkersRedirected++
	}
	return peer
}

// workload is how urgent the work on a machine is.
func (m *machine) workload() connectivity.Workload {
	switch {
	case m.urgent():
		return connectivity.UrgentWorkload
	case len(m.bound) > 0:
		return connectivity.OtherWorkload
	}
	return connectivity.NoWorkload
}

// awaitsOwner tells whether a worker should look for its own controller a little
// longer: one in its zone that was there a moment ago and, if it comes back,
// goes on without a new claim. A quarter of the lease leaves time to claim the worker here.
func (c *Core) awaitsOwner(m *machine, heartbeat *protocol.Heartbeat) bool {
	if m.token == 0 || heartbeat.FencingToken != m.token {
		return false
	}
	snapshot := c.links.Snapshot()
	owner := snapshot.Find(m.claim.Owner)
	if owner == nil || owner.Zone != heartbeat.Zone {
		return false
	}
	if owner.HeartbeatAge < snapshot.HeartbeatInterval && owner.MirrorAgeMS < unknownMirrorAge.Milliseconds() {
		return false // it is there, and has redirected the worker
	}
	// Guards against workers of a controller that is cut off: they come
	// after a heartbeat period and a wait for its answer, with little left of
	// their lease. One that was restarted is back before that.
	if !connectivity.MayRecover(&snapshot, owner, seconds(c.cfg.Facts.Workers.Lease/3)) {
		return false
	}
	if m.awaitingOwnerSince == 0 {
		m.awaitingOwnerSince = c.now
	}
	return c.now-m.awaitingOwnerSince < seconds(c.cfg.Facts.Workers.Lease/4)
}

// fenceLaunchesOfFinalJobs has a worker answered only under a new token while a direct launch
// for a job that is over may still be executed on it: until the call is given up nothing else
// shows that it is late, and an answer under the old token would let it start what was cancelled
// for a lease longer. What the worker lists has arrived; a launch of that does nothing.
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

// listsAttempt tells whether a heartbeat lists an attempt.
func listsAttempt(heartbeat *protocol.Heartbeat, attempt taskAttempt) bool {
	name := job.TaskName(attempt.job, attempt.index)
	return slices.ContainsFunc(heartbeat.Tasks, func(status protocol.TaskStatus) bool {
		return status.Task == name && status.Attempt == attempt.number
	})
}

// shouldRedirectToOwner tells whether a worker is better redirected to the reachable controller
// that owns it than claimed: in an outage nobody else can answer it, and one that has just been
// claimed and has not received that answer yet is answered there, not here.
//
// Guards against a worker whose one answer was lost in an outage and whose lease ran out
// on its way round, 3 s for each claim that was refused in the end; and against machines that hear
// nobody for so long that their leases end: each went round the controllers, and each of those wrote a claim.
//
// Once in a lease: an owner that may not answer any more refuses it at once, and what
// waits for the claim's refusal here keeps a whole site's workers from going to and fro. One that comes back within
// it was not answered there: redirected to its owner each time, it spent its whole lease between a controller whose
// link to the state service flapped and one that could not hear its zone.
func (c *Core) shouldRedirectToOwner(m *machine, heartbeat *protocol.Heartbeat) bool {
	if m.token == 0 || c.isOwn(m) || !c.links.HolderReachable(m.claim.Owner) {
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

// awaitsFirstAnswer tells whether a worker has a new owner that it has not heard of yet, and
// should.
func (c *Core) awaitsFirstAnswer(m *machine, heartbeat *protocol.Heartbeat) bool {
	if heartbeat.FencingToken >= m.token || c.now-m.claimedAt >= seconds(c.cfg.Facts.Workers.Lease/3) {
		return false
	}
	if len(heartbeat.Tasks) == 0 {
		return true
	}
	// With work on it a claim is worth trying here: its owner may be the one that can't be heard.
	// But the workers of a whole group that has just failed over learn of it from their new owner:
	// elsewhere each would need a claim. Unless that one says that it does not hear the zone.
	snapshot := c.links.Snapshot()
	return m.failedOver() && !connectivity.ZoneLost(&snapshot, m.claim.Owner, m.claim.Zone)
}
