package coordination

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
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
		s := newSim(t, seed, 0)
		for k := range s.cloud.capacity {
			s.cloud.capacity[k] = 0
			if k.machineType == "large" && k.zone == "a" && !k.spot {
				s.cloud.capacity[k] = 3
			}
		}
		s.facts.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
		s.advertised = s.facts
		gang := s.submit(&job.Spec{ID: "wk-000001", Class: "gng", Team: "red", Shape: job.Gang, Priority: job.High, Tasks: 2, CPUs: 8, GPUs: 8, MemoryGB: 8, MachineTypes: []string{"large"}}, 120, 0)
		s.run(30 * time.Second)
		for i := range 3 {
			s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", 2+i), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 2, CPUs: 1, GPUs: 1, MemoryGB: 1, MachineTypes: []string{"large"}}, 0, 70*time.Second)
		}
		s.run(60 * time.Second)
		on := func(ids ...string) (n int) {
			for _, w := range s.workers {
				for _, l := range w.tasks {
					if slices.Contains(ids, l.jobID) && l.isActive() && !w.dead {
						n++
					}
				}
			}
			return n
		}
		replicas := []string{"wk-000002", "wk-000003", "wk-000004"}
		if on("wk-000001") != 2 || on(replicas...) != 6 {
			t.Fatalf("seed %d: %d of 2 tasks of the gang and %d of 6 replicas run", seed, on("wk-000001"), on(replicas...))
		}
		for _, w := range s.cloud.sortedMachines() {
			if slices.ContainsFunc(sortedKeys(w.tasks), func(key string) bool { return w.tasks[key].jobID == replicas[0] }) {
				w.die()
				w.preempted = true
			}
		}
		s.run(85 * time.Second)
		if n := on(replicas...); n < 6 {
			t.Errorf("seed %d: %d of 6 replicas run, and %d tasks of a gang of lower priority", seed, n, on("wk-000001"))
		}
		s.run(360 * time.Second) // the services are over
		if gang.finalStatus != "done" {
			t.Errorf("seed %d: the gang is not done: %q", seed, gang.finalStatus)
		}
		s.reportViolations(t)
	}
}

// TestZoneThatIsCutOffIsSeenAtOnce guards against the machines that reported
// longest ago: in the first seconds of a cut they alone were overdue, and were
// returned (34 of shiftbook-akl-fleet's, day zone).
func TestZoneThatIsCutOffIsSeenAtOnce(t *testing.T) {
	now, report := 100*time.Second, 8*time.Second
	for _, c := range []struct {
		name string
		z    zoneHeartbeats
		cut  bool
	}{
		{"no report of a hundred for a second", zoneHeartbeats{machines: 100, overdue: 12, lastHeartbeat: now - time.Second}, true},
		{"a hundred, the last just now", zoneHeartbeats{machines: 100, overdue: 12, lastHeartbeat: now - 100*time.Millisecond}, false},
		{"half of a hundred quiet", zoneHeartbeats{machines: 100, overdue: 50, lastHeartbeat: now - 200*time.Millisecond}, false},
		{"most quiet, one heard just now", zoneHeartbeats{machines: 100, overdue: 80, lastHeartbeat: now}, true},
		{"three machines, all quiet", zoneHeartbeats{machines: 3, overdue: 3, lastHeartbeat: now - 30*time.Second}, false},
		{"five machines, all quiet", zoneHeartbeats{machines: 5, overdue: 5, lastHeartbeat: now - 11*time.Second}, true},
	} {
		if got := c.z.unreachable(now, report); got != c.cut {
			t.Errorf("%s: cut %v", c.name, got)
		}
	}
}

// TestMostOfAControllersMachinesHang guards against a controller that took itself
// for cut off when more than half of its machines hung: they were returned twice
// as late, and their free room was planned with meanwhile (carbura-iasi-fleet,
// day zone: replicas without room for 45 s).
func TestMostOfAControllersMachinesHang(t *testing.T) {
	s := grownSim(t, 41)
	s.advertised.Limits.MaxSockets = 2000
	s.loadGrown(140 * time.Second)
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
	found := func() (n int) {
		for id := range hung {
			if s.state.drainWrites[keyDrain+id] > 0 {
				n++
			}
		}
		return n
	}
	s.run(100*time.Second + seconds(3*s.facts.Workers.Report))
	n := found()
	t.Logf("%d of %d hung machines found, of %d", n, len(hung), len(c.machines.own))
	if len(hung) < 20 || n < len(hung)*9/10 {
		t.Errorf("%d of %d hung machines are found three report periods later", n, len(hung))
	}
	s.finish(t, 160*time.Second)
	s.reportViolations(t)
}

// TestUrgentWorkGoesFirst loses a third of the machines, in a zone or anywhere,
// crashes all controllers or hangs a tenth, while more is submitted than fits. No
// work of lower priority is launched where production work waits that fits; told
// that production is idle work, the controllers do just that, and the checker says so.
func TestUrgentWorkGoesFirst(t *testing.T) {
	day := func(seed uint64, misled bool) *sim {
		s := grownSim(t, seed)
		s.defects.productionAsLow = misled
		s.loadGrown(130 * time.Second)
		s.after(80*time.Second, func() {
			kind := seed % 4
			for i, w := range s.cloud.sortedMachines() {
				switch {
				case kind == 0 && i%3 == 0, kind == 1 && w.zone == "b":
					w.die()
					w.preempted = true
					name := w.name
					s.after(30*time.Second, func() { delete(s.cloud.machines, name) })
				case kind == 2 && i%10 == 0:
					w.hungUntil = s.now + 40*time.Second
				}
			}
			if kind == 3 {
				for _, n := range s.controllers {
					n.crash(3 * time.Second)
				}
			}
			n := 0
			for range 30 { // and as many services again
				n++
				s.submit(&job.Spec{ID: fmt.Sprintf("wk-6%05d", n), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production,
					Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8, Spread: true}, 0, 60*time.Second)
			}
		})
		s.run(130 * time.Second)
		return s
	}
	days := uint64(8)
	if v, err := strconv.Atoi(os.Getenv("SIM_DAYS")); err == nil {
		days = uint64(v)
	}
	judged := make(chan int, days)
	t.Run("days", func(t *testing.T) {
		for seed := range days {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := day(200+seed, false)
				s.reportViolations(t)
				judged <- s.counts.launchesJudged
			})
		}
	})
	close(judged)
	n := 0
	for k := range judged {
		n += k
	}
	t.Logf("%d launches of lower work while production work waited, on %d days", n, days)
	if n == 0 {
		t.Error("nothing was judged")
	}
	for seed := uint64(0); ; seed++ {
		s := day(200+seed, true)
		if slices.ContainsFunc(s.violations, func(b string) bool { return strings.Contains(b, "lesser first") }) {
			break
		}
		if seed == 8 {
			t.Fatal("the checker does not see that idle work goes first")
		}
	}
}
