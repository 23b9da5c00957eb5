// Package faultattribution distinguishes faulty machines from jobs that fail on every machine.
//
// A failed task shows that either its machine or its job is faulty, but not which. A job that
// was submitted with a mistake fails wherever it runs until its user cancels it. If the machines
// were blamed for that, a few such jobs would cause healthy machines to be returned to the cloud
// one after the other, together with the tasks of other jobs on them. The functions are pure:
// they decide on data that the records show to every controller alike, and use no state, no I/O
// and no clock.
package faultattribution

import "time"

// Job summarizes the failures of a job of which a task has failed.
type Job struct {
	MachinesWithFailures int  // number of machines on which tasks of the job failed
	MaxTaskFailures      int  // the most failures of any one task of the job
	CompletedTasks       int  // number of completed tasks
	Settled              bool // the job has had time to fail on a second machine, see SettleIntervals
}

// SettleIntervals is the time after a job's first failure, in heartbeat intervals of workers, by which a
// job that fails everywhere has most likely failed on a second machine.
const SettleIntervals = 3

// Suspect reports whether the job itself seems to be at fault: it failed on more than one
// machine, and none of its tasks has ever completed.
func (j Job) Suspect() bool { return j.MachinesWithFailures > 1 && j.CompletedTasks == 0 }

// Weights of a job's failure as evidence against a machine, in halves.
const (
	noWeight   = 0
	halfWeight = 1
	fullWeight = 2
)

// weight returns the weight of the job's failure as evidence against the machine: none if the
// job is suspect, or may soon become so; full if the job is known to work; half if it has failed
// on this machine alone, as it may still fail everywhere.
func (j Job) weight() int {
	switch {
	case j.Suspect():
		return noWeight
	case j.CompletedTasks > 0:
		return fullWeight
	case j.Settled:
		return halfWeight
	}
	return noWeight
}

// faultyWeight is the total weight, in halves, from which a machine counts as faulty: two jobs
// known to work, one known to work and one not known to work, or three not known to work.
const faultyWeight = 3

// Faulty reports whether a machine is faulty, given the jobs that failed on it.
func Faulty(jobs []Job) bool {
	sum := 0
	for _, j := range jobs {
		sum += j.weight()
	}
	return sum >= faultyWeight
}

// maxDoublings bounds how often the backoff is doubled.
const maxDoublings = 6

// RetryBackoff returns the backoff before a failed job is retried, given the heartbeat interval of
// workers. A job that failed on one machine alone is retried at once. For any other job the
// backoff doubles with each failure of the task that failed most often, up to 64 intervals, so
// that its retries don't churn machines.
func (j Job) RetryBackoff(interval time.Duration) time.Duration {
	if j.MachinesWithFailures < 2 {
		return 0
	}
	return interval << min(max(j.MaxTaskFailures, 1), maxDoublings)
}

// MaxStartingTasks returns how many tasks of the job may be starting at a time. otherwise is the number
// for a job that is not suspect. A suspect job is tried with one task; once that task completes,
// the job is no longer suspect.
func (j Job) MaxStartingTasks(otherwise int) int {
	if j.Suspect() {
		return min(1, otherwise)
	}
	return otherwise
}
