package faultattribution

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawn(t *rapid.T) Job {
	return Job{Machines: rapid.IntRange(1, 5).Draw(t, "machines"), Rounds: rapid.IntRange(1, 100).Draw(t, "rounds"), Finished: rapid.IntRange(0, 3).Draw(t, "finished"), Settled: rapid.Bool().Draw(t, "settled")}
}

// TestWhoIsToBlame draws jobs that failed on a machine.
func TestWhoIsToBlame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := rapid.SliceOf(rapid.Custom(drawn)).Draw(t, "jobs")
		var rest []Job
		works := 0
		for _, j := range jobs {
			if !j.Suspect() && (j.Settled || j.Finished > 0) {
				rest = append(rest, j)
			}
			if j.Finished > 0 {
				works++
			}
		}
		if Faulty(jobs) != Faulty(rest) {
			t.Error("jobs that fail everywhere count against a machine")
		}
		if (works >= 2 || len(rest) >= 3) != Faulty(jobs) && !(works == 1 && len(rest) == 2) {
			t.Errorf("%d jobs that work and %d that nothing is known of: faulty %v", works, len(rest)-works, Faulty(jobs))
		}
		if Faulty(jobs) && !Faulty(append(jobs, drawn(t))) {
			t.Error("one more failure acquits a machine")
		}
	})
}

// TestPausesGrow guards against jobs that churn machines, and against pauses that
// never end.
func TestPausesGrow(t *testing.T) {
	const report = 4 * time.Second
	if p := (Job{Machines: 1, Rounds: 9}).Pause(report); p != 0 {
		t.Errorf("a job that failed on one machine waits %v", p)
	}
	last := time.Duration(0)
	for rounds := range 200 {
		p := (Job{Machines: 2, Rounds: rounds}).Pause(report)
		if p < last || p < 2*report || p > 64*report {
			t.Errorf("after %d rounds the pause is %v, before it was %v", rounds, p, last)
		}
		last = p
	}
	if n := (Job{Machines: 2}).AtOnce(128); n != 1 {
		t.Errorf("%d tasks of a job that fails everywhere are tried at a time", n)
	}
	if n := (Job{Machines: 2, Finished: 1}).AtOnce(128); n != 128 {
		t.Errorf("%d tasks of a job that works are tried at a time", n)
	}
}
