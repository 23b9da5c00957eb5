package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/job"
)

// smallArray returns an array job whose tasks fit any machine with an accelerator.
func smallArray(id string, tasks int) *job.Spec {
	return &job.Spec{ID: id, Class: "arr", Team: "blue", Shape: job.Array, Tasks: tasks, Priority: job.Normal,
		CPUs: 4, GPUs: 1, MemoryGB: 8}
}

// TestJobsThatFailEverywhereCostOthersNothing guards against two effects of broken jobs, which fail
// on every machine: healthy machines were deleted as faulty because two broken jobs had failed on
// each, and machines were rented for the broken jobs. On carbura-iasi-ops with 8 of 100 jobs
// broken, 642 machines were rented instead of 385.
func TestJobsThatFailEverywhereCostOthersNothing(t *testing.T) {
	simulate := func(broken bool) (rented, drains, failures int) {
		s := newSim(t, 71, 0)
		for i := range 6 {
			s.submit(smallArray(fmt.Sprintf("wk-7%05d", i), 6), 10, 0)
		}
		var brokenJobs []*simUser
		for i := range 6 {
			u := s.submit(smallArray(fmt.Sprintf("wk-8%05d", i), 4), 10, 150*time.Second)
			u.failsEverywhere = broken
			brokenJobs = append(brokenJobs, u)
		}
		s.run(200 * time.Second)
		for key := range s.state.drainWrites {
			if s.state.drainReasons[key] == drainFaulty {
				drains++
			}
		}
		for i, u := range brokenJobs {
			failures += u.failures
			if want := map[bool]string{true: "cancelled", false: "done"}[broken]; u.finalStatus != want {
				t.Errorf("job %d, broken %v, is %q", i, broken, u.finalStatus)
			}
		}
		for _, id := range sortedKeys(s.users) {
			if u := s.users[id]; strings.HasPrefix(id, "wk-7") && u.finalStatus != "done" {
				t.Errorf("%s is %q while other jobs fail everywhere, want done", id, u.finalStatus)
			}
		}
		s.reportViolations(t)
		return s.cloud.nextMachine, drains, failures
	}
	plain, _, _ := simulate(false)
	rented, drains, failures := simulate(true)
	t.Logf("%d machines rented, %d without broken jobs; %d drained as faulty; %d failures of 24 tasks", rented, plain, drains, failures)
	if drains > 0 || 2*rented > 3*plain || failures < 24 || failures > 24*3 {
		t.Errorf("%d machines were drained as faulty, %d rented instead of %d, %d failures of 24 tasks", drains, rented, plain, failures)
	}
}

// TestAFaultyMachineIsStillFound checks that a machine is drained as faulty if jobs that work
// elsewhere fail on it.
func TestAFaultyMachineIsStillFound(t *testing.T) {
	s := newSim(t, 73, 0)
	for i := range 8 {
		s.submit(smallArray(fmt.Sprintf("wk-7%05d", i), 8), 6, 0)
	}
	s.run(25 * time.Second)
	var bad *simWorker
	for _, w := range s.cloud.sortedMachines() {
		if w.up && len(w.tasks) > 0 {
			bad = w
		}
	}
	bad.faulty = true
	for i := range 8 {
		s.submit(smallArray(fmt.Sprintf("wk-8%05d", i), 4), 6, 0)
	}
	s.run(80 * time.Second)
	if s.state.drainReasons[keyDrain+bad.name] != drainFaulty {
		t.Errorf("every task fails on %s, which is drained as %q", bad.name, s.state.drainReasons[keyDrain+bad.name])
	}
	s.finish(t, 100*time.Second)
	s.reportViolations(t)
}
