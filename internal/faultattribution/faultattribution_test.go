package faultattribution

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func randomJob(t *rapid.T) Job {
	return Job{
		MachinesWithFailures: rapid.IntRange(1, 5).Draw(t, "machines"),
		MaxTaskFailures:      rapid.IntRange(1, 100).Draw(t, "rounds"),
		CompletedTasks:       rapid.IntRange(0, 3).Draw(t, "finished"),
		Settled:              rapid.Bool().Draw(t, "settled"),
	}
}

// TestFaultyCountsJobsThatMayWork generates jobs that failed on a machine. It guards against blaming a machine for
// jobs that fail everywhere, and against overlooking a faulty machine.
func TestFaultyCountsJobsThatMayWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := rapid.SliceOf(rapid.Custom(randomJob)).Draw(t, "jobs")
		var counted []Job
		working := 0
		for _, j := range jobs {
			if !j.Suspect() && (j.Settled || j.CompletedTasks > 0) {
				counted = append(counted, j)
			}
			if j.CompletedTasks > 0 {
				working++
			}
		}
		faulty := Faulty(jobs)
		if faulty != Faulty(counted) {
			t.Error("jobs that fail everywhere count against a machine")
		}
		if (working >= 2 || len(counted) >= 3) != faulty && !(working == 1 && len(counted) == 2) {
			t.Errorf("%d jobs known to work and %d others that count: faulty is %v", working, len(counted)-working, faulty)
		}
		if faulty && !Faulty(append(jobs, randomJob(t))) {
			t.Error("a faulty machine is no longer faulty after one more failure")
		}
	})
}

func TestFaultyWeighsJobs(t *testing.T) {
	var (
		working    = Job{MachinesWithFailures: 1, MaxTaskFailures: 1, CompletedTasks: 1}
		unknown    = Job{MachinesWithFailures: 1, MaxTaskFailures: 1, Settled: true}
		mayFail    = Job{MachinesWithFailures: 1, MaxTaskFailures: 1}
		everywhere = Job{MachinesWithFailures: 2, MaxTaskFailures: 1, Settled: true}
	)
	for _, c := range []struct {
		name string
		jobs []Job
		want bool
	}{
		{"no job", nil, false},
		{"one that works", []Job{working}, false},
		{"two that work", []Job{working, working}, true},
		{"one that works and one unknown", []Job{working, unknown}, true},
		{"two unknown", []Job{unknown, unknown}, false},
		{"three unknown", []Job{unknown, unknown, unknown}, true},
		{"many that may fail elsewhere within moments", []Job{mayFail, mayFail, mayFail, mayFail}, false},
		{"many that fail everywhere", []Job{everywhere, everywhere, everywhere, everywhere}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Faulty(c.jobs); got != c.want {
				t.Errorf("faulty is %v, want %v", got, c.want)
			}
		})
	}
}

// TestRetryBackoffGrowsUpToABound guards against jobs whose retries churn machines, and against
// backoffs without a limit.
func TestRetryBackoffGrowsUpToABound(t *testing.T) {
	const interval = 4 * time.Second
	if p := (Job{MachinesWithFailures: 1, MaxTaskFailures: 9}).RetryBackoff(interval); p != 0 {
		t.Errorf("a job that failed on one machine waits %v", p)
	}
	last := time.Duration(0)
	for rounds := range 200 {
		p := (Job{MachinesWithFailures: 2, MaxTaskFailures: rounds}).RetryBackoff(interval)
		if p < last || p < 2*interval || p > 64*interval {
			t.Errorf("after %d failures the backoff is %v, the previous one was %v", rounds, p, last)
		}
		last = p
	}
}

func TestMaxStartingTasksTriesSuspectJobsWithOneTask(t *testing.T) {
	const otherwise = 128
	for _, c := range []struct {
		name string
		job  Job
		want int
	}{
		{"fails everywhere", Job{MachinesWithFailures: 2}, 1},
		{"works", Job{MachinesWithFailures: 2, CompletedTasks: 1}, otherwise},
		{"failed on one machine", Job{MachinesWithFailures: 1}, otherwise},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.job.MaxStartingTasks(otherwise); got != c.want {
				t.Errorf("%d tasks are tried at a time, want %d", got, c.want)
			}
		})
	}
}
