package coordination

import (
	"cmp"
	"slices"

	"silvergate/internal/job"
)

// Exception "preemption": the thesis's tasks never leave a server before they
// are done. Here a waiting task of higher priority has tasks of lower priority stopped on one
// of our machines, which is chosen so that the least work is lost.

// preempt stops tasks to make room for queued tasks that no free room can hold, and for gangs
// whose teams' limits are used up.
func (c *Core) preempt() {
	for _, r := range c.scheduler.queuedJobs {
		if r.spec.Priority > job.Low && !isGang(r) {
			c.preemptForJob(r)
		}
	}
	for _, name := range sortedKeys(c.jobs.teams) {
		c.preemptForQuota(c.jobs.teams[name])
	}
}

// preemptForJob stops tasks to make room for a job's queued tasks.
func (c *Core) preemptForJob(r *jobRecord) {
	for _, queued := range r.queue {
		if c.now < queued.nextPreemptionAt || !c.placeable(r, queued.key.index) {
			continue
		}
		m, victims := c.cheapestVictims(r, false)
		ranBefore := r.task(c, queued.key.index).Attempt > 0
		if m == nil && ranBefore {
			m, victims = c.gangVictims(r)
		}
		if m == nil {
			return // a job's tasks are alike: there is no room for the others either
		}
		c.preemptOn(r, queued, m, victims)
	}
}

// preemptedForQuota is the reason for stopping a task whose team's limit is saved for a gang.
const preemptedForQuota = "preempted for its team's limit"

// preemptForQuota stops tasks of a team whose limit is saved for a gang (see saveQuotaForGangs): of the
// tasks of lower priority than the gang, those that lose the least work. In each round, a controller
// stops its share of what the gang lacks, and at least one task, because every controller does so and
// learns only from the records what the others have stopped.
func (c *Core) preemptForQuota(team *team) {
	r := team.savingFor
	if r == nil {
		return
	}
	lacking := team.excess(team.charged.plus(r.spec, float64(r.unplacedTasks())))
	if lacking == (usage{}) {
		return
	}
	share := 1 / float64(1+len(c.cfg.Peers))
	lacking = usage{CPUs: lacking.CPUs * share, GPUs: lacking.GPUs * share}
	for _, v := range c.quotaVictims(r) {
		c.stopTask(v.machine, v.key, preemptedForQuota)
		c.Stats.Preemptions++
		lacking = lacking.plus(v.job.spec, -1)
		if lacking.CPUs <= quotaTolerance && lacking.GPUs <= quotaTolerance {
			return
		}
	}
}

// quotaVictims returns the tasks of a gang's team that may be stopped for the gang, by ascending loss of
// work. It looks at the first maxCandidates suitable machines, and returns none while tasks of the team
// are being stopped on one of them for its limit.
func (c *Core) quotaVictims(r *jobRecord) (victims []victim) {
	seen := 0
	for m := range c.fromRandomStart(c.machines.own) {
		if seen == maxCandidates {
			break
		}
		if isPreemptingForQuota(m, r.spec.Team) {
			return nil
		}
		if len(m.bound) == m.services || len(m.stops) > 0 || !m.tokenSeen || m.leaseExpired {
			continue
		}
		seen++
		for _, k := range m.boundTasks() {
			v := m.bound[k]
			if v.spec.Team != r.spec.Team || !mayBeStopped(r, m, k, false) {
				continue
			}
			victims = append(victims, victim{key: k, job: v, machine: m, cost: c.lostWork(m, k, v)})
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	return victims
}

// isPreemptingForQuota reports whether a task of a team is being stopped on a machine because of
// the team's limit.
func isPreemptingForQuota(m *machine, teamName string) bool {
	for k, stop := range m.stops {
		if v := m.bound[k]; stop.reason == preemptedForQuota && v != nil && v.spec.Team == teamName {
			return true
		}
	}
	return false
}

// preemptedGang is the reason for stopping a task of a gang, which ends the whole gang.
const preemptedGang = "preempted with its gang"

// preemptOn stops tasks on a machine to make room for a queued task. The worker reports the ends of
// the stopped tasks at once. If the queued task still has no room after a heartbeat period, another
// machine is tried.
func (c *Core) preemptOn(r *jobRecord, queued *queuedTask, m *machine, victims []taskKey) {
	queued.nextPreemptionAt = c.now + seconds(c.cfg.Facts.Workers.Heartbeat)
	m.reserveRoom(r.spec.ID, queued.nextPreemptionAt, "")
	for _, k := range victims {
		reason := "preempted"
		if isGang(m.bound[k]) {
			reason = preemptedGang
		}
		c.stopTask(m, k, reason)
		c.Stats.Preemptions++
	}
	c.log.Debug("preempting tasks", "for", r.spec.ID, "machine", m.id, "victims", len(victims))
}

// preemptOnWarmMachine stops tasks on a machine that has a service's image, and queues the
// service's task for that machine. It does so if the image would first have to be fetched on
// picked, the idle machine picked for the task, and reports whether it did.
// Exception "warm room for services": a service, which must never be down, is worth more
// than the few seconds of work of lower priority that this loses.
func (c *Core) preemptOnWarmMachine(r *jobRecord, index int, picked *machine) bool {
	if r.spec.Shape != job.Service || r.spec.Priority <= job.Low || r.queuedByIndex[index] != nil {
		return false
	}
	if c.fetchTime(r.spec, picked) <= c.cfg.Facts.Workers.Heartbeat/2 {
		return false
	}
	m, victims := c.cheapestVictims(r, true)
	if m == nil {
		return false
	}
	queued := &queuedTask{key: taskKey{r.spec.ID, index}, machine: m.id}
	c.scheduler.enqueueTask(r, queued)
	c.preemptOn(r, queued, m, victims)
	return true
}

// cheapestVictims returns the machine where making room for a task of a job costs least, and the
// tasks to stop there. It compares the first maxCandidates suitable machines, starting at a
// random one. If warm is set, only machines that have the image are suitable.
func (c *Core) cheapestVictims(r *jobRecord, warm bool) (*machine, []taskKey) {
	var best *machine
	var bestVictims []taskKey
	bestCost := 0.0
	var bestRank placementRank
	seen := 0
	for m := range c.fromRandomStart(c.machines.own) {
		if seen == maxCandidates {
			break
		}
		if !m.hasTasksBelow(r.spec.Priority) || !c.mayPreemptOn(r, m) {
			continue
		}
		if warm && c.fetchTime(r.spec, m) > 0 {
			continue
		}
		victims, cost, ok := c.pickVictims(r, m, 1, false)
		if !ok {
			continue
		}
		seen++
		cost += c.fetchTime(r.spec, m)
		rank := placementRank{}
		if r.spec.Shape == job.Service {
			rank = c.rankMachine(r, m)
		}
		if best == nil || rank.before(bestRank) || (rank == bestRank && cost < bestCost) {
			best, bestVictims, bestCost, bestRank = m, victims, cost, rank
		}
	}
	return best, bestVictims
}

// hasTasksBelow reports whether tasks with a priority below the given one are bound to a machine.
func (m *machine) hasTasksBelow(priority job.Priority) bool {
	for p := job.Low; p < priority; p++ {
		if m.boundByPriority[p] > 0 {
			return true
		}
	}
	return false
}

// mayPreemptOn reports whether tasks may be stopped on a machine to make room for a job's tasks.
func (c *Core) mayPreemptOn(r *jobRecord, m *machine) bool {
	if len(m.stops) > 0 || c.now < m.reservedUntil || c.unschedulable(m) {
		return false
	}
	return c.couldHold(r, m) && c.zoneAllowed(r, m.claim.Zone)
}

// gangVictims returns a machine and the tasks to stop there, including tasks of gangs, to make
// room for production work that has run before: after the loss of a third of the machines,
// production work must run again before training does. Gangs are not stopped for new production
// work, which waits for room: stopping them for it too cost the class antrenare more than the
// class ruteplan gained (carbura-iasi-fleet, calm). They are not stopped for work of other
// priorities, because the end of one task ends its whole gang. Only one gang is stopped at a
// time: the room on this machine, and a little later on the gang's other machines, is enough
// for several waiting tasks.
func (c *Core) gangVictims(r *jobRecord) (*machine, []taskKey) {
	if r.spec.Priority < job.Production || c.isPreemptingGang() {
		return nil, nil
	}
	var best *machine
	var bestVictims []taskKey
	bestCost := 0.0
	seen := 0
	for m := range c.fromRandomStart(c.machines.own) {
		if seen == maxCandidates {
			break
		}
		if len(m.bound) == m.services || !c.mayPreemptOn(r, m) {
			continue
		}
		victims, cost, ok := c.pickVictims(r, m, 1, true)
		if !ok {
			continue
		}
		seen++
		cost += c.fetchTime(r.spec, m)
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	return best, bestVictims
}

// isPreemptingGang reports whether a gang's task is being stopped on one of our machines to make
// room.
func (c *Core) isPreemptingGang() bool {
	for _, m := range c.machines.own {
		for _, stop := range m.stops {
			if stop.reason == preemptedGang {
				return true
			}
		}
	}
	return false
}

// pickVictims picks the tasks to stop on a machine to make room for a number of tasks of a job, and
// returns them with the work lost, in seconds of task time. If gangs is set, tasks of gangs may be among
// them. ok is false if nothing has to be stopped, or if stopping every evictable task would not
// make enough room.
func (c *Core) pickVictims(r *jobRecord, m *machine, tasks int, gangs bool) (victims []taskKey, cost float64, ok bool) {
	room := c.freeRoom(m)
	for _, v := range c.evictionCandidates(r, m, gangs) {
		if room.tasksThatFit(r.spec, tasks) == tasks {
			break
		}
		room.remove(v.job.spec)
		victims = append(victims, v.key)
		cost += v.cost
	}
	ok = len(victims) > 0 && room.tasksThatFit(r.spec, tasks) == tasks
	return victims, cost, ok
}

// victim is a task that may be stopped, and the work that is lost with it.
type victim struct {
	key     taskKey
	job     *jobRecord
	machine *machine
	cost    float64 // seconds of task time
}

// mayBeStopped reports whether a task that is bound to a machine may be stopped for a job's task: it has
// a lower priority and has not ended. Tasks of gangs may be stopped only if gangs is set.
func mayBeStopped(r *jobRecord, m *machine, k taskKey, gangs bool) bool {
	v := m.bound[k]
	return v.spec.Priority < r.spec.Priority && (gangs || !isGang(v)) && !v.final() && m.vacated[k] == nil
}

// evictionCandidates lists the tasks on a machine that may be stopped for a job's task, by
// ascending priority, and those of equal priority by ascending cost.
func (c *Core) evictionCandidates(r *jobRecord, m *machine, gangs bool) []victim {
	var candidates []victim
	for k, v := range m.bound {
		if !mayBeStopped(r, m, k, gangs) {
			continue
		}
		cost := c.lostWork(m, k, v)
		if isGang(v) {
			cost *= float64(v.spec.Tasks)
		}
		candidates = append(candidates, victim{key: k, job: v, machine: m, cost: cost})
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.job.spec.Priority, b.job.spec.Priority), cmp.Compare(a.cost, b.cost), a.key.compare(b.key))
	})
	return candidates
}

// lostWork returns the work that is lost by stopping a task, in seconds: the time since its
// start, but no more than its checkpoint interval if it saves checkpoints.
func (c *Core) lostWork(m *machine, k taskKey, r *jobRecord) float64 {
	at, ok := m.runningSince[k]
	if !ok {
		return 0
	}
	ran := (c.now - at).Seconds()
	if r.spec.CheckpointIntervalS > 0 {
		return min(ran, r.spec.CheckpointIntervalS)
	}
	return ran
}
