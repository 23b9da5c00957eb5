package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestRestartAdoptsWorkers guards the restart after all controllers crashed. Each controller keeps
// using the claims of its earlier incarnation, without a new claim for every worker. It raises the
// token of its commands, so that a late launch by that incarnation, or a copy of one, can't start an
// attempt again that has ended and is forgotten.
func TestRestartAdoptsWorkers(t *testing.T) {
	var adopted uint64
	const seeds = 12
	for seed := uint64(1); seed <= seeds; seed++ {
		adopted += adoptionsAfterRestart(t, seed)
	}
	// Some workers reach another controller first, which has to claim them.
	if adopted < seeds {
		t.Errorf("%d workers were adopted in %d restarts", adopted, seeds)
	}
}

// adoptionsAfterRestart crashes all controllers of a small deployment and returns how many workers
// they adopt after their restart.
func adoptionsAfterRestart(t *testing.T, seed uint64) (adopted uint64) {
	s := newSim(t, seed, 0)
	s.submitServices(8, 1, "a", "b")
	s.submit(&job.Spec{ID: "wk-700000", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 2, Priority: job.Normal,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Zone: "a"}, 40, 0)
	s.run(50 * time.Second)
	starts := s.counts.taskStarts
	for _, n := range s.controllers {
		n.crash(2 * time.Second)
	}
	s.run(64 * time.Second)
	for _, n := range s.controllers {
		adopted += n.core.Stats.Adopted
	}
	if s.counts.taskStarts != starts {
		t.Errorf("%d tasks were started again", s.counts.taskStarts-starts)
	}
	s.run(150 * time.Second)
	if u := s.users["wk-700000"]; u.finalStatus != "done" {
		t.Errorf("the array is %q", u.finalStatus)
	}
	for _, w := range s.cloud.sortedMachines() {
		for name, task := range w.tasks {
			if task.status == protocol.TaskEnded {
				t.Errorf("%s on %s has ended but was never forgotten", name, w.name)
			}
		}
	}
	s.reportViolations(t)
	return adopted
}

// TestRestartAdoptsWorkersWhoseLeasesEnded guards the restart after an outage longer than a lease. The
// workers are in a new agent epoch, so no earlier command is executed, and the controllers can start
// the tasks again without a new claim for each worker.
func TestRestartAdoptsWorkersWhoseLeasesEnded(t *testing.T) {
	var adopted, claims uint64
	for seed := uint64(1); seed <= 8; seed++ {
		s := newSim(t, seed, 0)
		s.submitServices(8, 1, "a", "b")
		s.run(50 * time.Second)
		starts := s.counts.taskStarts
		for _, n := range s.controllers {
			n.crash(25 * time.Second)
		}
		s.run(100 * time.Second)
		if s.counts.taskStarts < starts+8 {
			t.Errorf("seed %d: %d of 8 tasks were started again", seed, s.counts.taskStarts-starts)
		}
		for _, n := range s.controllers {
			adopted += n.core.Stats.Adopted
			claims += n.core.Stats.Claims
		}
		s.reportViolations(t)
	}
	t.Logf("%d adopted, %d claimed", adopted, claims)
	if adopted == 0 {
		t.Error("no worker was adopted")
	}
}

// TestHungMachineOfARestartedControllerIsReturned guards against services that stay down because
// their machine hangs while its controller restarts: the machine sends no heartbeats, and the new
// incarnation has to find it.
func TestHungMachineOfARestartedControllerIsReturned(t *testing.T) {
	s := newSim(t, 29, 0)
	s.submitServices(12, 2)
	s.run(60 * time.Second)
	for _, n := range s.controllers {
		n.crash(2 * time.Second)
	}
	var hung *simWorker
	for _, w := range s.cloud.sortedMachines() {
		if len(w.tasks) > 0 {
			hung = w
		}
	}
	hung.hungUntil = s.now + 5*time.Minute
	before, busy := s.cloud.sortedMachines(), map[string]bool{}
	for _, w := range before {
		busy[w.name] = len(w.tasks) > 0
	}
	s.run(60*time.Second + seconds(5*s.facts.Workers.Heartbeat))
	if w := s.cloud.machines[hung.name]; w != nil {
		t.Errorf("%s hangs and was not deleted", hung.name)
	}
	for _, w := range before {
		if w != hung && s.cloud.machines[w.name] == nil && busy[w.name] {
			t.Errorf("%s was deleted too", w.name)
		}
	}
	s.reportViolations(t)
}
