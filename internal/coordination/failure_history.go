package coordination

import (
	"silvergate/internal/faultattribution"
	"silvergate/internal/job"
)

// taskFailure is a failure of a task, as shown by a change of its page.
type taskFailure struct {
	previous job.Task // the task before the failure
	failures int      // the task's number of failures, including this one
}

// recordFailure records that a task has failed on the machine to which it was bound. Every
// controller sees the failure in the records, so that the owner of the job, the leader that rents
// machines for it and the owner of the machine all reach the same verdict.
func (c *Core) recordFailure(r *jobRecord, failure taskFailure) {
	r.maxFailures = max(r.maxFailures, failure.failures)
	m := c.machines.byID[failure.previous.Machine]
	if failure.previous.Phase != job.Bound || m == nil {
		return // the page was read anew: it is unknown where the task failed
	}
	if r.failedOn == nil {
		r.failedOn = map[string]bool{}
		r.firstFailureAt = c.now
	}
	r.failedOn[m.id] = true
	if pause := c.failureHistory(r).RetryBackoff(seconds(c.cfg.Facts.Workers.Heartbeat)); pause > 0 {
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

// machineFaulty reports whether the jobs that failed on a machine show that the machine is faulty.
func (c *Core) machineFaulty(m *machine) bool {
	var jobs []faultattribution.Job
	for id := range m.failedJobs {
		if r := c.jobs.byID[id]; r != nil {
			jobs = append(jobs, c.failureHistory(r))
		}
	}
	return faultattribution.Faulty(jobs)
}

// failureHistory returns the history of a job's failures for the rules of faultattribution.
func (c *Core) failureHistory(r *jobRecord) faultattribution.Job {
	settleTime := seconds(faultattribution.SettleIntervals * c.cfg.Facts.Workers.Heartbeat)
	return faultattribution.Job{
		MachinesWithFailures: len(r.failedOn),
		MaxTaskFailures:      r.maxFailures,
		CompletedTasks:       r.finished,
		Settled:              c.now-r.firstFailureAt > settleTime,
	}
}

// machinesAvoidedBy returns the machines on which a gang is not to start again as long as there are
// others: one of its tasks has failed there, and it is not suspected to fail everywhere. A gang always uses
// many machines, so it would otherwise fail with each attempt on the same one.
func (c *Core) machinesAvoidedBy(r *jobRecord) map[string]bool {
	if len(r.failedOn) == 0 || c.failureHistory(r).Suspect() {
		return nil
	}
	return r.failedOn
}

// rankAvoided orders machines that are avoided behind the others.
func rankAvoided(avoided map[string]bool, machineID string) int {
	if avoided[machineID] {
		return 1
	}
	return 0
}

// paused reports whether no task of a job may be started now. Once a job has failed on several
// machines, it pauses for a backoff after each failure. A job that is suspected to fail everywhere
// is tried with one task at a time, so it also pauses while one of its tasks is bound or has room
// reserved; this does not apply to production jobs and gangs.
func (c *Core) paused(r *jobRecord) bool {
	if c.now < r.retryAt {
		return true
	}
	if r.spec.Priority == job.Production || isGang(r) || !c.failureHistory(r).Suspect() {
		return false
	}
	return r.bound > 0 || len(r.reservations) > 0
}
