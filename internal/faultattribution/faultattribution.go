// Package faultattribution tells machines that are faulty from jobs that fail on every machine.
//
// A task that fails says that one of the two is faulty, and not which. A job that was
// submitted with a mistake fails wherever it runs until its user cancels it; taken for
// the machines' fault, a few such jobs have healthy machines returned one after the
// other, with all that others run there. These are decisions alone, of what the records
// show to every controller alike: no state, no I/O, no clock.
package faultattribution

import "time"

// Job is what is known of a job of which a task has failed.
type Job struct {
	Machines int  // on which tasks of it failed
	Rounds   int  // the most failures of one of its tasks
	Finished int  // tasks that have completed
	Settled  bool // it had time to fail elsewhere too, see Settles
}

// Settles is how long after a job's first failure, in heartbeat intervals of workers, a job that
// fails everywhere has most likely failed on a second machine.
const Settles = 3

// Suspect tells whether the job itself seems to be at fault: it failed on more than one
// machine, and nothing of it has ever completed.
func (j Job) Suspect() bool { return j.Machines > 1 && j.Finished == 0 }

// Weights of a job's failure on a machine, in halves.
const (
	noWeight   = 0
	halfWeight = 1
	fullWeight = 2
)

// weight is how much a failure of the job says against the machine: nothing if the job is
// suspect, or may become so within moments; a whole if it is known to work; a half if it has
// failed only here, for it may still fail everywhere.
func (j Job) weight() int {
	switch {
	case j.Suspect():
		return noWeight
	case j.Finished > 0:
		return fullWeight
	case j.Settled:
		return halfWeight
	}
	return noWeight
}

// faultyWeight is the weight, in halves, from which a machine counts as faulty: two jobs
// that work, one that works and one that nothing is known of, or three of those.
const faultyWeight = 3

// Faulty tells whether a machine is at fault, given the jobs that failed on it.
func Faulty(jobs []Job) bool {
	sum := 0
	for _, j := range jobs {
		sum += j.weight()
	}
	return sum >= faultyWeight
}

// maxDoublings bounds how often a pause is doubled.
const maxDoublings = 6

// Pause is the backoff of a job that has failed, before it is tried again, given the heartbeat
// interval of workers: one that failed on one machine alone does not wait, another longer and
// longer, so that it does not churn machines, up to 64 intervals.
func (j Job) Pause(interval time.Duration) time.Duration {
	if j.Machines < 2 {
		return 0
	}
	return interval << min(max(j.Rounds, 1), maxDoublings)
}

// AtOnce is how many tasks of the job may be starting at a time, of as many as may
// otherwise: a suspect job is tried with one, and whole again once that completes.
func (j Job) AtOnce(otherwise int) int {
	if j.Suspect() {
		return min(1, otherwise)
	}
	return otherwise
}
