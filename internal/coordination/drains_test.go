package coordination

import (
	"testing"
	"time"
)

// TestMostOfAControllersMachinesHang guards against a controller that considers itself partitioned
// when more than half of its machines hang. The machines were deleted twice as late, and until then
// the planner counted on their free capacity (scenario carbura-iasi-fleet, day zone: replicas had
// no room for 45 s).
func TestMostOfAControllersMachinesHang(t *testing.T) {
	s := newLargeDeploymentSim(t, 41)
	s.advertised.Limits.MaxSockets = 2000
	s.submitLargeLoad(140 * time.Second)
	s.run(100 * time.Second)
	c := s.controllers[0].core
	hung := map[string]bool{}
	for i, m := range c.machines.own {
		if i%5 < 3 {
			for _, w := range s.cloud.sortedMachines() {
				if w.name == m.id {
					w.hungUntil = s.now + 60*time.Second
					hung[m.id] = true
				}
			}
		}
	}
	countDrained := func() (n int) {
		for id := range hung {
			if s.state.drainWrites[keyDrain+id] > 0 {
				n++
			}
		}
		return n
	}
	s.run(100*time.Second + seconds(3*s.facts.Workers.Heartbeat))
	n := countDrained()
	t.Logf("%d of %d hung machines were drained, of %d machines in all", n, len(hung), len(c.machines.own))
	if len(hung) < 20 || n < len(hung)*9/10 {
		t.Errorf("%d of %d hung machines were drained within three heartbeat periods", n, len(hung))
	}
	s.finish(t, 160*time.Second)
	s.reportViolations(t)
}

// TestDrainsDoNotTakeTurns guards against a fault found on inc-41e3. A machine that had been emptied
// by consolidation and deleted fell silent, and the reasons "idle" and "silent" replaced each other
// in its drain record at every sweep until its records were deleted.
func TestDrainsDoNotTakeTurns(t *testing.T) {
	s := newSim(t, 47, 0)
	s.submitServices(8, 2)
	s.run(60 * time.Second)
	for _, n := range s.controllers {
		n.unreachableUntil["cloud"] = s.now + time.Hour // nothing is deleted
	}
	var gone *machine
	for _, n := range s.controllers {
		for _, m := range n.core.machines.own {
			if len(m.bound) > 0 && gone == nil {
				gone = m
			}
		}
	}
	for _, k := range gone.boundTasks() {
		s.users[k.job].cancel()
	}
	s.run(66 * time.Second)
	if len(gone.bound) > 0 {
		t.Fatalf("%v are still bound", gone.boundTasks())
	}
	gone.consolidating = true
	s.run(70 * time.Second)
	s.workers[gone.claim.Address].die()
	s.run(100 * time.Second)
	if n := s.state.drainWrites[keyDrain+gone.id]; n == 0 || n > 2 {
		t.Errorf("the drain record of %s was written %d times, want 1 or 2", gone.id, n)
	}
}
