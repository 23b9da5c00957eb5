package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// TestEverythingBegins guards against jobs that never begin under a steady stream of small jobs: a
// gang whose team is at its limit, because the next small task uses the quota that an ended task
// frees, and the largest or a late job, because other jobs go before it. Each must begin within
// four minutes, while small jobs go on beginning.
func TestEverythingBegins(t *testing.T) {
	for _, test := range []struct {
		name string
		runs float64 // runtime of the small jobs' tasks, in seconds
		slow *job.Spec
	}{
		{"a gang of a team at its limit", 10, &job.Spec{Class: "gng", Shape: job.Gang, Tasks: 3, CPUs: 4, GPUs: 2, Priority: job.Normal}},
		{"a gang of a team at its limit, whose other tasks run long and are less urgent", 300, &job.Spec{Class: "gng", Shape: job.Gang, Tasks: 3, CPUs: 4, GPUs: 2, Priority: job.High}},
		{"the largest job", 10, &job.Spec{Class: "arr", Shape: job.Array, Tasks: 300, CPUs: 4, GPUs: 1, Priority: job.Normal}},
		{"a job that is late", 10, &job.Spec{Class: "arr", Shape: job.Array, Tasks: 12, CPUs: 4, GPUs: 1, Priority: job.Normal}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(48_000); seed < 48_004; seed++ {
				s := newSim(t, seed, 0)
				for k := range s.cloud.capacity {
					s.cloud.capacity[k] *= 2
				}
				s.facts.Teams = []config.Team{{Name: "red", GPUsMax: 8}, {Name: "blue"}}
				s.advertised = s.facts
				n := 0
				var next func()
				next = func() {
					s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", n), Class: "arr", Team: "red", Shape: job.Array, Tasks: 3, CPUs: 4, GPUs: 1, MemoryGB: 8, Priority: job.Normal}, test.runs, 0)
					n++
					s.after(s.randomMillis(2000, 3600), next)
				}
				s.after(time.Second, next)
				spec := *test.slow
				spec.ID, spec.Team, spec.MemoryGB = "wk-700000", "red", 8
				var user *simUser
				s.after(60*time.Second, func() { user = s.submit(&spec, 20, 0) })
				s.run(60*time.Second + largestJobStartLimit)
				if user.tasksStarted == 0 {
					t.Errorf("seed %d: the job has not begun", seed)
				}
				begun := 0
				for _, other := range s.users {
					if other != user && other.tasksStarted > 0 && other.firstStartAt > 60*time.Second {
						begun++
					}
				}
				if want := min(40, int(400/test.runs)); begun < want {
					t.Errorf("seed %d: only %d small jobs began in the same time", seed, begun)
				}
				s.reportViolations(t)
			}
		})
	}
}
