package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/peer"
)

// TestEarlyHandoffIsKept guards against tasks that stayed unscheduled for two publishing intervals: a
// peer's handoff often arrives before the watch delivers the job's record, and was dropped.
func TestEarlyHandoffIsKept(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(20 * time.Second)
	c := s.controllers[0].core
	spec := &job.Spec{ID: "wk-700000", Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 3, CPUs: 1, GPUs: 1, MemoryGB: 1}
	c.receiveHandoff("n1", &peer.TaskHandoff{Job: spec.ID, Tasks: []int{0, 1, 2}})
	if len(c.scheduler.earlyHandoffs[spec.ID]) != 1 {
		t.Fatal("the handoff was dropped")
	}
	c.applyChange(keyJob+spec.ID, encode(storedJob{spec, job.Open, 1, "n1"}), c.state.AppliedRevision()+1)
	if len(c.scheduler.earlyHandoffs) != 0 {
		t.Error("the handoff was not handled once the job was known")
	}
	sends := len(c.effects.Sends)
	if sends == 0 || c.effects.Sends[sends-1].Message.HandoffReturn == nil {
		t.Error("the controller has no machine for the tasks, but did not return them")
	}
}
