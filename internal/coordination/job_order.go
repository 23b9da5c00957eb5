package coordination

import (
	"cmp"
	"math"
	"slices"

	"silvergate/internal/job"
)

// compareUrgency orders jobs: by priority, within their team's guarantee before beyond it, by
// latest start, by age. It is negative when x goes before y.
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

// jobSizeWeight is how much longer than its share of the fleet's time a job
// waits for smaller ones.
const jobSizeWeight = 8

// neverBegunAdvance is how far ahead of all others a job goes that has not begun for too
// long, in seconds: further than any latest start is from 0, that of a job for which none
// was computed yet.
const neverBegunAdvance = 1e10

// updateJobOrder computes each job's latest start, which orders jobs of one priority, and
// sorts the unfinished jobs into jobs.openByUrgency, most urgent first.
func (c *Core) updateJobOrder() {
	c.updateCapacity()
	for _, team := range c.jobs.teams {
		team.demand = usage{}
	}
	now := float64(c.wallTime.UnixMilli()) / 1000
	for _, r := range c.jobs.openByAge {
		if r.final() {
			continue // by a peer's cancellation reply
		}
		// What a team asks for within its guarantee goes before what others
		// borrow, at the same priority.
		if team := c.jobs.teamOf(r); team != nil {
			team.demand = team.demand.plus(r.spec, float64(r.spec.Tasks-r.finished))
			r.withinGuarantee = team.withinGuarantee(team.demand)
		}
		r.latestStart = c.latestStart(r, now)
	}
	// Few jobs change places from one time to the next, which the sort makes
	// use of.
	c.jobs.openByUrgency = append(c.jobs.openByUrgency, c.jobs.added...)
	clear(c.jobs.added)
	c.jobs.added = c.jobs.added[:0]
	c.jobs.openByUrgency = slices.DeleteFunc(c.jobs.openByUrgency, (*jobRecord).final)
	slices.SortFunc(c.jobs.openByUrgency, compareUrgency)
	c.saveQuotaForGangs()
}

// updateCapacity sums up the capacity of all claimed machines, once a heartbeat period.
func (c *Core) updateCapacity() {
	s := &c.scheduler
	if s.capacityAt != 0 && c.now-s.capacityAt <= seconds(c.cfg.Facts.Workers.Report) {
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

// latestStart is the latest time, in seconds of the Unix epoch, at which a job can start and
// still meet its deadline or its class's objective, put back by a multiple of the time the
// fleet would need for what is left of it, so that large jobs do not hold up many small
// ones. A job that is late already lets those go first that can still be in
// time. Time passes for all alike, so no job waits for ever.
func (c *Core) latestStart(r *jobRecord, now float64) float64 {
	submittedAt := float64(r.submittedAtMS) / 1000
	// Guards against the largest jobs, which wait for smaller ones, and jobs that are late,
	// which let those go first that can still be in time: where work keeps coming, neither
	// would begin. One task is what this takes ahead of its place, as a job that has begun
	// has its usual place again.
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

// targetDuration is the time a job has to finish, in seconds: its deadline, or the tightest
// objective of its class, or the loosest of all.
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

// quotaSavingShare is how long the limit is saved for a gang, as a share of the time in which
// jobs are to begin.
const quotaSavingShare = 0.4

// saveQuotaForGangs picks for each limited team the first gang that its limit keeps from
// starting. What comes after the gang by urgency leaves what the gang needs of the limit
// alone. Exception "saving for a gang": thesis 2.1, tasks are independent; here whatever one
// task leaves of a limit was taken by the next small one, and a gang of the same team never
// began.
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
		if !isGang(r) || r.bound > 0 || len(r.reservations) > 0 || c.paused(r) {
			continue
		}
		if !c.quotaSavingDue(r, now) {
			continue
		}
		// Once the limit has been saved for a gang, it is until the gang has begun: others
		// were placed in the moment in which it could begin.
		n := float64(r.spec.Tasks)
		hindered := wasSavedFor[r] || !team.withinLimit(team.charged.plus(r.spec, n))
		if hindered && team.withinLimit(byServices[team].plus(r.spec, n)) {
			team.savingFor = r
		}
	}
}

// usageByServices sums up what the bound tasks of services use, which do not end, by team.
func (c *Core) usageByServices() map[*team]usage {
	used := map[*team]usage{}
	for _, r := range c.jobs.openByUrgency {
		if team := c.jobs.teamOf(r); team != nil && r.spec.Shape == job.Service {
			used[team] = used[team].plus(r.spec, float64(r.bound))
		}
	}
	return used
}

// quotaSavingDue tells whether the limit may be saved for a gang now. Nobody shall wait
// beside room for long, and it may be machines that the gang lacks: so the limit is saved for
// a share of the time in which jobs are to begin, then not for as long, and after that twice,
// four times as long.
func (c *Core) quotaSavingDue(r *jobRecord, now float64) bool {
	within := c.cfg.Operator.BeginWithin.Seconds()
	periods := (now-float64(r.submittedAtMS)/1000-within)/(quotaSavingShare*within) + 2 // it goes first from 2 on
	return periods >= 2 && periods-math.Exp2(math.Floor(math.Log2(periods))) <= 1
}

// leavesQuotaFor tells whether a use that comes of placing a task of a job is within the
// team's limit, beside what is saved for a gang that goes before it.
func (t *team) leavesQuotaFor(r *jobRecord, u usage) bool {
	if gang := t.savingFor; gang != nil && gang != r && compareUrgency(gang, r) < 0 {
		u = u.plus(gang.spec, float64(gang.spec.Tasks))
	}
	return t.withinLimit(u)
}
