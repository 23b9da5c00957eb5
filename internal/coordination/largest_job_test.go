package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestLargestJobRunsWithinLimits submits a job of 100,000 tasks beside other jobs. The records
// must keep to the limits of the state service, which the simulated service checks, the other
// jobs must run, and cancelling all jobs must end all their tasks.
func TestLargestJobRunsWithinLimits(t *testing.T) {
	s := newSim(t, 21, 0)
	big := s.submit(&job.Spec{ID: "wk-800000", Class: "arr", Team: "blue", Shape: job.Array, Tasks: protocol.MaxTasks,
		Priority: job.Low, CPUs: 1, GPUs: 1, MemoryGB: 1, Spot: true}, 3, 0)
	s.run(30 * time.Second)
	s.submitMixedJobs(time.Minute)
	s.run(90 * time.Second)
	if done := big.countDone(); done < 100 {
		t.Errorf("only %d tasks of the largest job are done", done)
	}
	for _, id := range sortedKeys(s.users) {
		s.users[id].cancel()
	}
	s.run(s.now + seconds(s.facts.Workers.Cancel) + 10*time.Second)
	if big.finalStatus != "cancelled" {
		t.Errorf("the largest job ended as %q, want cancelled", big.finalStatus)
	}
	s.reportViolations(t)
}
