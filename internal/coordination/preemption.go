package coordination

import (
	"cmp"
	"slices"

	"silvergate/internal/job"
)

// Exception "preemption": the thesis's tasks never leave a server before they
// are done. Here a waiting task of higher priority stops lower ones on one
// machine of ours, chosen so that the least work is lost.

// preempt looks for room for the waiters that nothing free can hold.
func (c *Core) preempt() {
	for _, r := range c.scheduler.queuedJobs {
		if r.spec.Priority <= job.Low || isGang(r) {
			continue
		}
		for _, w := range r.queue {
			if c.now < w.nextPreemptionAt || !c.placeable(r, w.key.index) {
				continue
			}
			m, victims := c.cheapestVictims(r, false)
			if m == nil && r.task(c, w.key.index).Attempt > 0 {
				m, victims = c.gangVictims(r) // it ran before
			}
			if m == nil {
				break // the job's tasks are alike
			}
			c.preemptOn(r, w, m, victims)
		}
	}
	for _, name := range sortedKeys(c.jobs.teams) {
		c.preemptForQuota(c.jobs.teams[name])
	}
}

// preemptedForQuota is why a task is stopped whose team's limit is saved for a gang.
const preemptedForQuota = "preempted for its team's limit"

// preemptForQuota stops a task of lower priority of the team whose limit is saved for a gang, the one that loses least. Only one at a
// time: every controller does so, and each learns from the records what the others have done.
func (c *Core) preemptForQuota(tm *team) {
	r := tm.savingFor
	if r == nil || tm.withinLimit(tm.charged.plus(r.spec, float64(r.spec.Tasks))) {
		return
	}
	var best *machine
	var victim taskKey
	cost, seen := 0.0, 0
	start := c.random.IntN(max(1, len(c.machines.own)))
	for i := 0; i < len(c.machines.own) && seen < maxCandidates; i++ {
		m := c.machines.own[(start+i)%len(c.machines.own)]
		for k, s := range m.stops {
			if v := m.bound[k]; s.reason == preemptedForQuota && v != nil && v.spec.Team == r.spec.Team {
				return
			}
		}
		if len(m.bound) == m.services || len(m.stops) > 0 || !m.tokenSeen || m.leaseExpired {
			continue
		}
		seen++
		for _, k := range m.tasks() {
			v := m.bound[k]
			if v.spec.Team != r.spec.Team || v.spec.Priority >= r.spec.Priority || isGang(v) || v.final() || m.vacated[k] != nil {
				continue
			}
			if loss := c.lostWork(m, k, v); best == nil || loss < cost {
				best, victim, cost = m, k, loss
			}
		}
	}
	if best != nil {
		c.stopTask(best, victim, preemptedForQuota)
		c.Stats.Preemptions++
	}
}

// preemptedGang is why a task is stopped that takes its gang with it.
const preemptedGang = "preempted with its gang"

// preemptOn stops tasks on a machine for a waiter. Their exits are reported at
// once; should that fail, another machine is tried after a report period.
func (c *Core) preemptOn(r *jobRecord, queued *queuedTask, m *machine, victims []taskKey) {
	queued.nextPreemptionAt = c.now + seconds(c.cfg.Facts.Workers.Report)
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

// preemptOnWarmMachine has a service wait a moment for room where its image is, in place
// of the machine popped for it, where the image would first have to be fetched.
// Exception "warm room for services": what must never be down is worth more
// than the few seconds of lower work that this loses.
func (c *Core) preemptOnWarmMachine(r *jobRecord, index int, picked *machine) bool {
	if r.spec.Shape != job.Service || r.spec.Priority <= job.Low || r.queuedByIndex[index] != nil ||
		c.fetchTime(r.spec, picked) <= c.cfg.Facts.Workers.Report/2 {
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

// cheapestVictims finds the machine where room for the task costs least, among the
// first that will do from a random one on, and what to stop there. With warm,
// only machines that have the image will do.
func (c *Core) cheapestVictims(r *jobRecord, warm bool) (*machine, []taskKey) {
	var best *machine
	var bestVictims []taskKey
	bestCost := 0.0
	var bestRank placementRank
	seen := 0
	start := c.random.IntN(max(1, len(c.machines.own)))
	for i := 0; i < len(c.machines.own) && seen < maxCandidates; i++ {
		m := c.machines.own[(start+i)%len(c.machines.own)]
		lower := 0
		for p := job.Low; p < r.spec.Priority; p++ {
			lower += m.boundByPriority[p]
		}
		if lower == 0 || len(m.stops) > 0 || c.now < m.holdTill || c.unschedulable(m) || !c.couldHold(r, m) || !c.zoneAllowed(r, m.claim.Zone) {
			continue
		}
		if warm && c.fetchTime(r.spec, m) > 0 {
			continue
		}
		victims, cost, ok := c.evict(r, m, false)
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

// gangVictims finds a machine where production work that ran before gets room at a
// gang's cost: what is lost with a third of the machines is up again before training
// is. What is new waits for room, as it did: stopping gangs for it too cost antrenare
// more than ruteplan gained (carbura-iasi-fleet, calm).
// Elsewhere gangs are not stopped, as one task's end ends them all. One at a time:
// the room of a whole machine, and soon that of the gang's others, serves several
// that wait.
func (c *Core) gangVictims(r *jobRecord) (*machine, []taskKey) {
	if r.spec.Priority < job.Production {
		return nil, nil
	}
	for _, m := range c.machines.own {
		for _, s := range m.stops {
			if s.reason == preemptedGang {
				return nil, nil
			}
		}
	}
	var best *machine
	var bestVictims []taskKey
	bestCost := 0.0
	seen := 0
	start := c.random.IntN(max(1, len(c.machines.own)))
	for i := 0; i < len(c.machines.own) && seen < maxCandidates; i++ {
		m := c.machines.own[(start+i)%len(c.machines.own)]
		if len(m.bound) == m.services || len(m.stops) > 0 || c.now < m.holdTill || c.unschedulable(m) || !c.couldHold(r, m) || !c.zoneAllowed(r, m.claim.Zone) {
			continue
		}
		victims, cost, ok := c.evict(r, m, true)
		if !ok {
			continue
		}
		seen++
		if cost += c.fetchTime(r.spec, m); best == nil || cost < bestCost {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	return best, bestVictims
}

// evict picks the tasks of lower priority to stop on a machine, cheapest
// first, and tells what work that loses in seconds of task time. With gangs, those
// of several tasks may be among them.
func (c *Core) evict(r *jobRecord, m *machine, gangs bool) (victims []taskKey, cost float64, ok bool) {
	type victim struct {
		k    taskKey
		rec  *jobRecord
		cost float64
	}
	var candidates []victim
	for k, v := range m.bound {
		if v.spec.Priority >= r.spec.Priority || isGang(v) && !gangs || v.final() || m.vacated[k] != nil {
			continue
		}
		cost := c.lostWork(m, k, v)
		if isGang(v) {
			cost *= float64(v.spec.Tasks)
		}
		candidates = append(candidates, victim{k, v, cost})
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.rec.spec.Priority, b.rec.spec.Priority), cmp.Compare(a.cost, b.cost), a.k.compare(b.k))
	})
	machineType := c.machineTypeOf(m)
	s := r.spec
	cpus, gpus, ram := m.cpus, m.gpus, m.ram
	for _, v := range candidates {
		if cpus+s.CPUs <= machineType.CPUs+tolerance && gpus+s.GPUs <= machineType.GPUs+tolerance && ram+s.MemoryGB <= machineType.MemoryGB+tolerance {
			break
		}
		cpus, gpus, ram = cpus-v.rec.spec.CPUs, gpus-v.rec.spec.GPUs, ram-v.rec.spec.MemoryGB
		victims, cost = append(victims, v.k), cost+v.cost
	}
	ok = len(victims) > 0 && cpus+s.CPUs <= machineType.CPUs+tolerance && gpus+s.GPUs <= machineType.GPUs+tolerance && ram+s.MemoryGB <= machineType.MemoryGB+tolerance
	return victims, cost, ok
}

// lostWork is the work that stopping a task loses: what it has done since its
// start or its last checkpoint.
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
