package coordination

// A gang is a job whose tasks start together: once there is room for all of them, the controller
// responsible for the job binds them, on its own machines and on machines that peers have offered. A
// gang that fits into one transaction is bound by one; a larger one, whose tasks wait for each other on
// their machines, by several.
// A record in the state service, written under a lease, holds the reservation for one waiting
// gang at a time. Only that gang holds the room it has found and requests more from peers; other
// gangs release the room that they find unless it is enough for all their tasks.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
)

// isGang reports whether a job must start several tasks at once.
func isGang(r *jobRecord) bool { return r.spec.Shape == job.Gang && r.spec.Tasks > 1 }

// holdTime returns how long room is held for a gang after a request: long enough for the
// request to be repeated.
func (c *Core) holdTime() time.Duration { return 2 * c.cfg.Operator.PublishInterval }

// canBindTo reports whether a job's tasks may be bound to a machine in an agent epoch now: the
// machine is ours, or its owner has offered it under the current claim.
func (c *Core) canBindTo(r *jobRecord, m *machine, epoch uint64) bool {
	if c.isOwn(m) {
		return m.epoch == epoch && !c.unschedulable(m)
	}
	_, drained := c.machines.drains[m.id]
	o, ok := r.offers[m.id]
	return ok && !drained && o.claimRevision == m.token && o.epoch == epoch && c.now < o.expiresAt
}

// partlyPlaced reports whether some tasks of a gang's latest attempt are bound and the others were
// never placed in it. A gang may need several transactions, of which some may fail. It can't have
// started then, so the others are placed with the same attempt number.
func (r *jobRecord) partlyPlaced() bool {
	if !isGang(r) || r.bound == 0 || r.unplacedTasks() <= 0 {
		return false
	}
	for _, p := range r.pages {
		for i := range p.tasks {
			t := &p.tasks[i]
			if t.Phase != job.Finished && (t.Phase == job.Bound) != (t.Attempt == r.lastAttempt) {
				return false
			}
		}
	}
	return true
}

// notStarted reports whether a gang's latest attempt has not started, and all tasks of earlier ones have
// ended.
func (r *jobRecord) notStarted() bool { return r.bound == 0 || r.partlyPlaced() }

// awaitsRoom reports whether a gang, none of whose tasks is being placed, may be started or its start
// completed once there is room.
func (r *jobRecord) awaitsRoom() bool {
	return len(r.reservations) == 0 && !r.gangCompleted() && r.notStarted()
}

// gangZones returns the zones in which a gang may start, each of which has to hold all its tasks; "" is
// all zones together.
func (c *Core) gangZones(r *jobRecord) []string {
	if !r.spec.OneZone {
		return []string{""}
	}
	for _, zone := range c.cfg.Facts.Zones {
		if r.tasksByZone[zone] > 0 {
			return []string{zone}
		}
	}
	return c.cfg.Facts.Zones
}

// gangCompleted reports whether the job is a gang of which a task has completed. The tasks of a gang
// complete together, so the others have completed too, whatever their workers report or fail to.
func (r *jobRecord) gangCompleted() bool { return isGang(r) && r.finished > 0 }

// completeGang proposes the completion of a gang's pending tasks, once another of its tasks has completed.
// Those that are bound are completed when they are released.
//
// Guards against a gang that is never done: a task whose completion was committed does not start again, so
// the others waited for it in vain, attempt after attempt.
func (c *Core) completeGang(r *jobRecord) {
	for index := range r.pendingTasks() {
		if !c.releasePending(r, index) {
			c.propose(r, index, taskTransition{withGang: true, done: true, proof: fencing.Ended})
		}
	}
}

// startGang starts a gang, or completes its start, if it awaits room and there is room for all its
// unplaced tasks.
func (c *Core) startGang(r *jobRecord) {
	if c.now < r.retryAt || !r.awaitsRoom() {
		return
	}
	team := c.jobs.teamOf(r)
	need := r.unplacedTasks()
	if team == nil || !team.withinLimit(team.charged.plus(r.spec, float64(need))) {
		return
	}
	zones := c.gangZones(r)
	candidates := c.gangCandidates(r)
	var best gangRoom
	for _, zone := range zones {
		room := c.findGangRoom(r, candidates, zone, need)
		if room.tasks == need {
			c.placeGang(r, room)
			return
		}
		if room.tasks > best.tasks {
			best = room
		}
	}
	if !c.holdsGangReservation(r) || c.requestBlock(r, zones, need) {
		return
	}
	for _, share := range best.shares {
		share.machine.reserveRoom(r.spec.ID, c.now+c.holdTime(), "")
	}
	c.requestIdleRoom(r)
}

// gangRoom is room that was found for a gang.
type gangRoom struct {
	shares []gangShare
	tasks  int // that the machines hold together
}

// gangShare is the part of a gang that a machine has room for.
type gangShare struct {
	machine *machine
	tasks   int
}

// findGangRoom finds room for up to need tasks of a gang on the machines among the candidates that are in
// a zone, or on all of them if zone is empty.
func (c *Core) findGangRoom(r *jobRecord, candidates []string, zone string, need int) (room gangRoom) {
	tasksByZone := maps.Clone(r.tasksByZone)
	for _, id := range candidates {
		if room.tasks == need {
			break
		}
		m := c.machines.byID[id]
		if m == nil || (zone != "" && m.claim.Zone != zone) || !c.fits(r, m) || !c.canBindTo(r, m, c.gangEpoch(r, m)) {
			continue
		}
		limit := need - room.tasks
		if r.spec.Spread {
			limit = min(limit, r.spec.SpreadLimit()-tasksByZone[m.claim.Zone])
		}
		free := c.freeRoom(m)
		tasks := free.tasksThatFit(r.spec, limit)
		if tasks == 0 {
			continue
		}
		tasksByZone[m.claim.Zone] += tasks
		room.shares = append(room.shares, gangShare{m, tasks})
		room.tasks += tasks
	}
	return room
}

// gangCandidates returns in order the names of the machines that may have room for a gang: our idle
// machines and those that peers offer, last those that the gang avoids.
func (c *Core) gangCandidates(r *jobRecord) []string {
	ids := make([]string, 0, len(c.scheduler.idle)+len(r.offers))
	for _, m := range c.scheduler.idle {
		ids = append(ids, m.id)
	}
	for id, offer := range r.offers {
		if c.now < offer.expiresAt {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if avoided := c.machinesAvoidedBy(r); len(avoided) > 0 {
		slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(rankAvoided(avoided, a), rankAvoided(avoided, b)) })
	}
	return ids
}

// gangEpoch returns the agent epoch for which tasks of a gang are bound to a machine.
func (c *Core) gangEpoch(r *jobRecord, m *machine) uint64 {
	if c.isOwn(m) {
		return m.epoch
	}
	return r.offers[m.id].epoch
}

// placeGang reserves room for all unplaced tasks of a gang and proposes their placements, all with the
// same attempt number.
func (c *Core) placeGang(r *jobRecord, room gangRoom) {
	attempt := c.nextAttempt(r)
	share, placed := 0, 0
	for index := range r.pendingTasks() {
		m := room.shares[share].machine
		c.reserve(r, index, m)
		c.propose(r, index, taskTransition{placement: true, machine: m.id, epoch: c.gangEpoch(r, m), attempt: attempt})
		if placed++; placed == room.shares[share].tasks {
			share, placed = share+1, 0
		}
		if share == len(room.shares) {
			break
		}
	}
	c.log.Debug("starting gang", "job", r.spec.ID, "tasks", room.tasks)
}
