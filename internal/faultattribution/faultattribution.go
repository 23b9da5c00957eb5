// Package faultattribution tells machines that are faulty from jobs that fail on every machine.
//
// A task that fails says that one of the two is broken, and not which. A job that was
// submitted with a mistake fails wherever it runs until its user cancels it; taken for
// the machines' fault, a few such jobs have healthy machines returned one after the
// other, with all that others run there. These are decisions alone, of what the records
// show to every controller alike.
package faultattribution

import "time"

// Job is what is known of a job of which a task has failed.
type Job struct {
	Machines int  // on which tasks of it failed
	Rounds   int  // the most failures of one of its tasks
	Finished int  // tasks that have completed
	Settled  bool // it had time to fail elsewhere too, see Settles
}

// Settles is how long after a job's first failure, in report periods, a job that fails
// everywhere has most likely failed on a second machine.
const Settles = 3

// Suspect tells whether the job itself seems to be at fault: it failed on more than one
// machine, and nothing of it has ever completed.
func (j Job) Suspect() bool { return j.Machines > 1 && j.Finished == 0 }

// weight is how much a failure of the job says against the machine, in halves: nothing
// if the job is suspect, or may become so within moments; a whole if it is known to
// work; a half if it has failed only here, for it may still fail everywhere.
func (j Job) weight() int {
	switch {
	case j.Suspect():
		return 0
	case j.Finished > 0:
		return 2
	case j.Settled:
		return 1
	}
	return 0
}

// condemned is the weight, in halves, from which a machine counts as faulty: two jobs
// that work, one that works and one that nothing is known of, or three of those.
const condemned = 3

// Faulty tells whether a machine is at fault, given the jobs that failed on it.
func Faulty(jobs []Job) bool {
	sum := 0
	for _, j := range jobs {
		sum += j.weight()
	}
	return sum >= condemned
}

// doublings bounds how often a pause is doubled.
const doublings = 6

// Pause is how long a job that has failed waits before it is tried again, given the
// workers' report period: one that failed on one machine alone does not wait, another
// longer and longer, so that it does not churn machines, up to 64 periods.
func (j Job) Pause(report time.Duration) time.Duration {
	if j.Machines < 2 {
		return 0
	}
	return report << min(max(j.Rounds, 1), doublings)
}

// AtOnce is how many tasks of the job may be on their way at a time, of as many as may
// otherwise: a suspect job is tried with one, and whole again once that completes.
func (j Job) AtOnce(otherwise int) int {
	if j.Suspect() {
		return min(1, otherwise)
	}
	return otherwise
}
