package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// TestUrgentWorkGetsRoomFromGangs guards against replicas of production services
// that waited 50 s for machines to boot, after a third of a site's machines was
// lost, while gangs of lower priority went on (carbura-iasi-fleet, day zone).
func TestUrgentWorkGetsRoomFromGangs(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		s := newSim(seed, 0)
		for k := range s.cloud.free {
			s.cloud.free[k] = 0
			if k.rig == "large" && k.depot == "a" && !k.spot {
				s.cloud.free[k] = 2
			}
		}
		s.facts.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
		s.told = s.facts
		gang := s.submit(&job.Spec{ID: "wk-000001", Class: "gng", Team: "red", Shape: job.Gang, Priority: job.High, Tasks: 2, CPUs: 8, GPUs: 8, MemoryGB: 8, Types: []string{"large"}}, 60, 0)
		s.run(30 * time.Second)
		on := func(id string) (n int) {
			for _, w := range s.work {
				for _, l := range w.loads {
					if l.id == id && l.on() {
						n++
					}
				}
			}
			return n
		}
		if on("wk-000001") != 2 {
			t.Fatalf("seed %d: the gang does not run: %d", seed, on("wk-000001"))
		}
		for i := range 3 {
			s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", 2+i), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 2, CPUs: 1, GPUs: 1, MemoryGB: 1}, 0, 30*time.Second)
		}
		s.run(45 * time.Second)
		if n := on("wk-000002") + on("wk-000003") + on("wk-000004"); n < 6 {
			t.Errorf("seed %d: %d of 6 replicas run while a gang of lower priority does: %d", seed, n, on("wk-000001"))
		}
		s.run(260 * time.Second) // the services are over
		if gang.final != "done" {
			t.Errorf("seed %d: the gang is not done: %q", seed, gang.final)
		}
		s.report(t)
	}
}
