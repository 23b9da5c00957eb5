package coordination

import (
	"cmp"
	"math"
	"slices"

	"silvergate/internal/job"
)

// compareUrgency orders jobs by urgency. It is negative if x goes before y. The criteria are, in
// this order: higher priority; within the team's guarantee before beyond it; earlier latest
// start; older.
func compareUrgency(x, y *jobRecord) int {
	switch {
	case x.spec.Priority != y.spec.Priority:
		return cmp.Compare(y.spec.Priority, x.spec.Priority)
	case x.withinGuarantee != y.withinGuarantee && x.withinGuarantee:
		return -1
	case x.withinGuarantee != y.withinGuarantee:
		return 1
	case x.latestStart != y.latestStart:
		return cmp.Compare(x.latestStart, y.latestStart)
	}
	return compareAge(x, y)
}

// jobSizeWeight is the weight of a job's size in its latest start: this multiple of the time that
// the whole fleet would need for the job's remaining work is added, so that smaller jobs go first.
const jobSizeWeight = 8

// neverBegunAdvance, in seconds, is subtracted from the submission time of a job that has waited
// too long to begin, and the difference is its latest start. It is larger than any submission time,
// so that such a job also precedes jobs whose latest start is not computed yet, and thus 0.
const neverBegunAdvance = 1e10

// updateJobOrder computes each open job's latest start, which orders jobs of the same priority,
// and sorts the open jobs into jobs.openByUrgency, most urgent first.
func (c *Core) updateJobOrder() {
	c.updateCapacity()
	for _, team := range c.jobs.teams {
		team.demand = usage{}
	}
	now := float64(c.wallTime.UnixMilli()) / 1000
	for _, r := range c.jobs.openByAge {
		if r.final() {
			continue // cancelled according to a peer's reply
		}
		// At the same priority, jobs within their team's guarantee go before
		// jobs beyond it.
		if team := c.jobs.teamOf(r); team != nil {
			team.demand = team.demand.plus(r.spec, float64(r.spec.Tasks-r.finished))
			r.withinGuarantee = team.withinGuarantee(team.demand)
		}
		r.latestStart = c.latestStart(r, now)
	}
	// Few jobs change places between two sweeps, and the sort is faster on
	// nearly sorted input.
	c.jobs.openByUrgency = append(c.jobs.openByUrgency, c.jobs.addedSinceSweep...)
	clear(c.jobs.addedSinceSweep)
	c.jobs.addedSinceSweep = c.jobs.addedSinceSweep[:0]
	c.jobs.openByUrgency = slices.DeleteFunc(c.jobs.openByUrgency, (*jobRecord).final)
	slices.SortFunc(c.jobs.openByUrgency, compareUrgency)
	c.saveQuotaForGangs()
}

// updateCapacity sums up the capacity of all claimed machines, once per heartbeat period.
func (c *Core) updateCapacity() {
	s := &c.scheduler
	if s.capacityAt != 0 && c.now-s.capacityAt <= seconds(c.cfg.Facts.Workers.Heartbeat) {
		return
	}
	s.capacity = usage{}
	s.capacityAt = c.now
	for _, m := range c.machines.byID {
		if m.token != 0 {
			machineType := c.machineTypeOf(m)
			s.capacity.CPUs += machineType.CPUs
			s.capacity.GPUs += machineType.GPUs
		}
	}
}

// latestStart returns the latest time, in seconds since the Unix epoch, at which a job can start
// and still meet its deadline or its class's objective, plus a multiple of the time that the
// fleet would need for the job's remaining work, so that large jobs do not hold up many small
// ones. The latest start of a job that is late already is postponed further, behind jobs that
// can still be in time. Latest starts are relative to the time of submission, so any job
// eventually goes before newer ones, and none waits forever.
func (c *Core) latestStart(r *jobRecord, now float64) float64 {
	submittedAt := float64(r.submittedAtMS) / 1000
	// Guards against starvation of the largest jobs, which wait for smaller ones, and of late
	// jobs, which wait for jobs that can still be in time: under a steady stream of work,
	// neither would begin. Only one task goes ahead of its turn in this way, since a job that
	// has begun gets its usual latest start again.
	if r.lastAttempt == 0 && now-submittedAt > c.cfg.Operator.BeginWithin.Seconds() {
		return submittedAt - neverBegunAdvance
	}
	s := r.spec
	workLeft := float64(s.Tasks-r.finished-r.bound) * s.EstimateS
	fleetTime := 0.0
	if s.GPUs > 0 && c.scheduler.capacity.GPUs > 0 {
		fleetTime = workLeft * s.GPUs / c.scheduler.capacity.GPUs
	} else if c.scheduler.capacity.CPUs > 0 {
		fleetTime = workLeft * s.CPUs / c.scheduler.capacity.CPUs
	}
	inTime := submittedAt + r.targetDuration - s.EstimateS
	start := inTime + jobSizeWeight*fleetTime
	if now > inTime {
		start += r.targetDuration
	}
	return start
}

// targetDuration returns the time that a job has to finish, in seconds: its deadline, else the
// tightest objective of its class, else the loosest objective of all classes.
func (c *Core) targetDuration(spec *job.Spec) float64 {
	if spec.DeadlineS != nil {
		return *spec.DeadlineS
	}
	tightest, loosest := 0.0, 0.0
	for _, o := range c.cfg.Facts.Objectives {
		loosest = max(loosest, o.Within)
		if o.Class == spec.Class && (o.Kind == "finished" || o.Kind == "wait") && (tightest == 0 || o.Within < tightest) {
			tightest = o.Within
		}
	}
	if tightest > 0 {
		return tightest
	}
	return loosest
}

// quotaSavingShare is the period for which a team's limit is saved for a gang, as a share of the
// time within which jobs are to begin.
const quotaSavingShare = 0.4

// saveQuotaForGangs selects for each team with a limit the most urgent gang that the limit keeps
// from starting. Less urgent jobs of the team then may not use the part of the limit that the
// gang needs. Exception "saving for a gang": in section 2.1 of the thesis, tasks are independent.
// Here, the quota that one task freed was always used by the next small task, and a gang of the
// same team never began.
func (c *Core) saveQuotaForGangs() {
	wasSavedFor := map[*jobRecord]bool{}
	for _, team := range c.jobs.teams {
		wasSavedFor[team.savingFor] = true
		team.savingFor = nil
	}
	byServices := c.usageByServices()
	now := float64(c.wallTime.UnixMilli()) / 1000
	for _, r := range c.jobs.openByUrgency {
		team := c.jobs.teamOf(r)
		if team == nil || team.savingFor != nil || !team.hasLimit() {
			continue
		}
		if !isGang(r) || r.gangCompleted() || !r.notStarted() || c.paused(r) {
			continue
		}
		if !c.quotaSavingDue(r, now) {
			continue
		}
		// Once the limit is saved for a gang, it stays so also when the gang fits: otherwise,
		// other tasks were placed at the moment at which the gang could begin.
		n := float64(r.unplacedTasks())
		hindered := wasSavedFor[r] || !team.withinLimit(team.charged.plus(r.spec, n))
		if hindered && team.withinLimit(byServices[team].plus(r.spec, n)) {
			team.savingFor = r
		}
	}
}

// usageByServices returns the usage of the bound tasks of services by team. Services do not end,
// so a gang can't wait for this part of a limit.
func (c *Core) usageByServices() map[*team]usage {
	used := map[*team]usage{}
	for _, r := range c.jobs.openByUrgency {
		if team := c.jobs.teamOf(r); team != nil && r.spec.Shape == job.Service {
			used[team] = used[team].plus(r.spec, float64(r.bound))
		}
	}
	return used
}

// quotaSavingDue reports whether the limit may be saved for a gang now. Other jobs must not wait
// for long while there is room, and the gang may in fact lack machines rather than quota. So the
// limit is saved for one period, which is quotaSavingShare of the time within which jobs are to
// begin. If the gang has not begun, the next such period starts 2 periods after the start of the
// first, and further ones 4, 8, ... periods after the start of the previous one.
func (c *Core) quotaSavingDue(r *jobRecord, now float64) bool {
	within := c.cfg.Operator.BeginWithin.Seconds()
	periods := (now-float64(r.submittedAtMS)/1000-within)/(quotaSavingShare*within) + 2 // from 2 on, latestStart puts the job first
	return periods >= 2 && periods-math.Exp2(math.Floor(math.Log2(periods))) <= 1
}

// leavesQuotaFor reports whether the usage u that results from placing a task of a job is within
// the team's limit, together with the quota that is saved for a more urgent gang.
func (t *team) leavesQuotaFor(r *jobRecord, u usage) bool {
	if gang := t.savingFor; gang != nil && gang != r && compareUrgency(gang, r) < 0 {
		u = u.plus(gang.spec, float64(gang.unplacedTasks()))
	}
	return t.withinLimit(u)
}
