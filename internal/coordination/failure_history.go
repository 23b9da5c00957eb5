package coordination

import (
	"silvergate/internal/faultattribution"
	"silvergate/internal/job"
)

// taskFailure is a failure of a task, as its page shows it.
type taskFailure struct {
	was      job.Task // before the failure
	failures int      // of the task, with this one
}

// recordFailure takes up that a task has failed where it was bound. The records show it to
// every controller, so that whichever owns the job, provisions for it or owns the machine
// comes to the same judgement.
func (c *Core) recordFailure(r *jobRecord, failure taskFailure) {
	r.maxFailures = max(r.maxFailures, failure.failures)
	m := c.machines.byID[failure.was.Machine]
	if failure.was.Phase != job.Bound || m == nil {
		return // read anew: where it failed is not known
	}
	if r.failedOn == nil {
		r.failedOn = map[string]bool{}
		r.firstFailureAt = c.now
	}
	r.failedOn[m.id] = true
	if pause := c.failureHistory(r).Pause(seconds(c.cfg.Facts.Workers.Report)); pause > 0 {
		r.retryAt = max(r.retryAt, c.now+pause)
	}
	if !c.isOwn(m) {
		return
	}
	m.failedJobs[r.spec.ID] = true
	if c.machineFaulty(m) {
		c.drainMachine(m, drainFaulty)
	}
}

// machineFaulty reports whether the jobs that failed on a machine show it to be faulty.
func (c *Core) machineFaulty(m *machine) bool {
	var jobs []faultattribution.Job
	for id := range m.failedJobs {
		if r := c.jobs.byID[id]; r != nil {
			jobs = append(jobs, c.failureHistory(r))
		}
	}
	return faultattribution.Faulty(jobs)
}

// failureHistory returns what is known of a job's failures.
func (c *Core) failureHistory(r *jobRecord) faultattribution.Job {
	settleTime := seconds(faultattribution.Settles * c.cfg.Facts.Workers.Report)
	return faultattribution.Job{
		Machines: len(r.failedOn),
		Rounds:   r.maxFailures,
		Finished: r.finished,
		Settled:  c.now-r.firstFailureAt > settleTime,
	}
}

// paused reports whether no task of a job is to be started now: after a failure, or while a
// job that seems to fail everywhere has a task running to find out. Production work is only
// made to wait after a failure.
func (c *Core) paused(r *jobRecord) bool {
	if c.now < r.retryAt {
		return true
	}
	if r.spec.Priority == job.Production || isGang(r) || !c.failureHistory(r).Suspect() {
		return false
	}
	return r.bound > 0 || len(r.reservations) > 0
}
