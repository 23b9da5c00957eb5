package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
)

// TestNothingWaitsForRoomOnDeafMachines guards against a plan that counts on unresponsive
// machines, whose heartbeats arrive and that hear no answer: nothing was rented for what
// waited until they heard again.
func TestNothingWaitsForRoomOnDeafMachines(t *testing.T) {
	for seed := uint64(48_100); seed < 48_104; seed++ {
		s := newSim(t, seed, 0)
		for k := range s.cloud.free {
			s.cloud.free[k] = map[string]int{"large": 4}[k.machineType]
		}
		service := &job.Spec{ID: "wk-000001", Class: "svc", Team: "blue", Shape: job.Service, Tasks: 1, CPUs: 4, GPUs: 1, MemoryGB: 8, Priority: job.Production}
		s.after(time.Second, func() { s.submit(service, 0, 0) })
		s.run(40 * time.Second)
		for _, w := range s.cloud.sorted() {
			w.deaf = s.now + 90*time.Second
		}
		s.run(65 * time.Second) // the service's lease has ended, and its machine shows no token
		u := s.submit(&job.Spec{ID: "wk-000002", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8, Priority: job.Normal}, 5, 0)
		s.run(120 * time.Second)
		if u.begun == 0 || u.began > 110*time.Second {
			t.Errorf("seed %d: nothing began within 45 s, %d of 4 tasks in the end", seed, u.begun)
		}
		s.report(t)
	}
}
