package coordination

import (
	"cmp"
	"math"
	"slices"

	"silvergate/internal/job"
)

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
	return older(x, y)
}

// jobSizeWeight is how much longer than its share of the fleet's time a job
// waits for smaller ones.
const jobSizeWeight = 8

// overdue is how far ahead of all others a job goes that has not begun for too long, in seconds: further than any turn is
// from that of a job that has none yet, 0.
const overdue = 1e10

// updateJobOrder computes when each job's turn comes among jobs of its priority:
// the latest time at which it can start and still meet its deadline or its
// class's aim at finishing, put back by a multiple of the time the fleet would
// need for what is left of it, so that large jobs do not hold up many small
// ones. A job that is late already lets those go first that can still be in
// time. Time passes for all alike, so no job waits for ever.
// The unfinished jobs are then in c.turns, most urgent first.
func (c *Core) updateJobOrder() {
	if c.scheduler.capacityAt == 0 || c.now-c.scheduler.capacityAt > seconds(c.cfg.Facts.Workers.Report) {
		c.scheduler.capacity, c.scheduler.capacityAt = usage{}, c.now
		for _, m := range c.machines.byID {
			if m.token != 0 {
				f := c.machineTypeOf(m)
				c.scheduler.capacity = usage{c.scheduler.capacity.CPUs + f.CPUs, c.scheduler.capacity.GPUs + f.GPUs}
			}
		}
	}
	for _, tm := range c.jobs.teams {
		tm.demand = usage{}
	}
	now := float64(c.wallTime.UnixMilli()) / 1000
	for _, r := range c.jobs.openByAge {
		if r.final() {
			continue // by a peer's word, see vouched
		}
		// What a team asks for within its guarantee goes before what others
		// borrow, at the same priority.
		s := r.spec
		if tm := c.jobs.teams[s.Team]; tm != nil {
			tm.demand = tm.demand.plus(s, float64(s.Tasks-r.finished))
			r.withinGuarantee = tm.withinGuarantee(tm.demand)
		}
		workLeft := float64(s.Tasks-r.finished-r.bound) * s.EstimateS
		share := 0.0
		if s.GPUs > 0 && c.scheduler.capacity.GPUs > 0 {
			share = workLeft * s.GPUs / c.scheduler.capacity.GPUs
		} else if c.scheduler.capacity.CPUs > 0 {
			share = workLeft * s.CPUs / c.scheduler.capacity.CPUs
		}
		latest := float64(r.submittedAtMS)/1000 + r.targetDuration - s.EstimateS
		r.latestStart = latest + jobSizeWeight*share
		if now > latest {
			r.latestStart += r.targetDuration
		}
		// Guards against the largest jobs, which wait for smaller ones, and jobs that are late, which let those go
		// first that can still be in time: where work keeps coming, neither would begin. One
		// task is what this takes ahead of its turn, as a job that has begun has its usual turn again.
		if r.lastAttempt == 0 && now-float64(r.submittedAtMS)/1000 > c.cfg.Operator.BeginWithin.Seconds() {
			r.latestStart = float64(r.submittedAtMS)/1000 - overdue
		}
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

// targetDuration is the time a job has to finish: its deadline, or the tightest aim of
// its class, or the loosest of all.
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

// quotaSavingShare is how long the limit is saved for a gang, as a share of the time in which jobs are to begin.
const quotaSavingShare = 0.4

// saveQuotaForGangs picks for each limited team the first gang that its limit keeps from starting. What comes after
// it in the order of turns leaves what it needs of the limit alone. Exception "saving for a gang": thesis 2.1,
// tasks are independent; here whatever one task leaves of a limit was taken by the next small one, and a
// gang of the same team never began.
//
// Nobody shall wait beside room for long, and it may be machines that the gang lacks: so the limit is saved for a share of the time
// in which jobs are to begin, then not for as long, and after that twice, four times as long.
func (c *Core) saveQuotaForGangs() {
	wasSavedFor, byServices := map[*jobRecord]bool{}, map[*team]usage{}
	for _, tm := range c.jobs.teams {
		wasSavedFor[tm.savingFor], tm.savingFor = true, nil
	}
	for _, r := range c.jobs.openByUrgency {
		if tm := c.jobs.teams[r.spec.Team]; tm != nil && r.spec.Shape == job.Service {
			byServices[tm] = byServices[tm].plus(r.spec, float64(r.bound))
		}
	}
	now, within := float64(c.wallTime.UnixMilli())/1000, c.cfg.Operator.BeginWithin.Seconds()
	for _, r := range c.jobs.openByUrgency {
		tm := c.jobs.teams[r.spec.Team]
		if tm == nil || tm.savingFor != nil || !hasQuota(tm) || !isGang(r) || r.bound > 0 || len(r.reservations) > 0 || c.paused(r) {
			continue
		}
		periods := (now-float64(r.submittedAtMS)/1000-within)/(quotaSavingShare*within) + 2 // its turn comes first from 2 on
		if periods < 2 || periods-math.Exp2(math.Floor(math.Log2(periods))) > 1 {
			continue
		}
		n := float64(r.spec.Tasks)
		// Once it has been saved for, until it has begun: others were placed in the moment in which it could begin.
		if (wasSavedFor[r] || !tm.withinLimit(tm.charged.plus(r.spec, n))) && tm.withinLimit(byServices[tm].plus(r.spec, n)) {
			tm.savingFor = r
		}
	}
}

// leavesQuotaFor tells whether a use that comes of placing a task of a job is within the team's limit, beside what is saved for a gang that
// goes before it.
func (t *team) leavesQuotaFor(r *jobRecord, u usage) bool {
	if s := t.savingFor; s != nil && s != r && compareUrgency(s, r) < 0 {
		u = u.plus(s.spec, float64(s.spec.Tasks))
	}
	return t.withinLimit(u)
}
