package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestMachineGetsNoMoreTasksThanHeartbeatsHold guards against machines that get so many small tasks that their
// heartbeats exceed the size of a request, are refused, and their leases end: tasks without amounts must complete, spread
// over machines.
func TestMachineGetsNoMoreTasksThanHeartbeatsHold(t *testing.T) {
	s := newGangSim(t, 70_100, 2)
	array := s.submit(&job.Spec{ID: "wk-700000", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 6000, Priority: job.Low, Spot: true}, 20, 0)
	gang := s.submit(&job.Spec{ID: "wk-700001", Class: "gng", Team: "blue", Shape: job.Gang, Tasks: 700, Priority: job.High, Spot: true}, 5, 0)
	largest := 0
	for s.now < 4*time.Minute {
		s.run(s.now + time.Second)
		for _, w := range s.cloud.sortedMachines() {
			largest = max(largest, len(encode(w.heartbeat())))
		}
	}
	if largest > protocol.MaxBody {
		t.Errorf("a heartbeat has %d bytes", largest)
	}
	if done := array.countDone(); done < 6000 || gang.countDone() < 700 {
		t.Errorf("%d of 6000 tasks of the array and %d of 700 of the gang are done", done, gang.countDone())
	}
	s.reportViolations(t)
}
