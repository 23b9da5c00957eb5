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

// TestUrgentWorkGetsRoomFromGangs guards against replicas of production services that waited
// 50 s for machines to boot, after a deployment had lost a third of its machines, while gangs
// of lower priority kept running (carbura-iasi-fleet, day zone).
func TestUrgentWorkGetsRoomFromGangs(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		s := newSim(t, seed, 0)
		for machines := range s.cloud.capacity {
			s.cloud.capacity[machines] = 0
			if machines.machineType == "large" && machines.zone == "a" && !machines.spot {
				s.cloud.capacity[machines] = 3
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
		countActive := func(ids ...string) (n int) {
			for _, w := range s.workers {
				for _, task := range w.tasks {
					if slices.Contains(ids, task.jobID) && task.isActive() && !w.dead {
						n++
					}
				}
			}
			return n
		}
		replicas := []string{"wk-000002", "wk-000003", "wk-000004"}
		if countActive("wk-000001") != 2 || countActive(replicas...) != 6 {
			t.Fatalf("seed %d: %d of 2 tasks of the gang and %d of 6 replicas run", seed, countActive("wk-000001"), countActive(replicas...))
		}
		for _, w := range s.cloud.sortedMachines() {
			if slices.ContainsFunc(sortedKeys(w.tasks), func(key string) bool { return w.tasks[key].jobID == replicas[0] }) {
				w.die()
				w.preempted = true
			}
		}
		s.run(85 * time.Second)
		if n := countActive(replicas...); n < 6 {
			t.Errorf("seed %d: only %d of 6 replicas run, besides %d tasks of a gang of lower priority", seed, n, countActive("wk-000001"))
		}
		s.run(360 * time.Second) // the services have ended
		if gang.finalStatus != "done" {
			t.Errorf("seed %d: the gang is not done: %q", seed, gang.finalStatus)
		}
		s.reportViolations(t)
	}
}

// simulateScarceDay simulates a large deployment with more work than fits. After 80 s 30 more services are submitted and,
// depending on the seed, a third of the machines or those of a zone are lost, a tenth of the machines hang, or all
// controllers crash.
func simulateScarceDay(t *testing.T, seed uint64, productionAsLow bool) *sim {
	t.Helper()
	s := newLargeDeploymentSim(t, seed)
	s.defects.productionAsLow = productionAsLow
	s.submitLargeLoad(130 * time.Second)
	s.after(80*time.Second, func() {
		s.loseCapacity(seed % 4)
		for i := range 30 {
			s.submit(&job.Spec{ID: fmt.Sprintf("wk-6%05d", i+1), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production,
				Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8, Spread: true}, 0, 60*time.Second)
		}
	})
	s.run(130 * time.Second)
	return s
}

func (s *sim) loseCapacity(kind uint64) {
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
}

// TestUrgentWorkGoesFirst simulates days with more work than fits. No task of lower priority may be launched on a machine
// that would fit production work that is waiting. To show that the checker can fail, the test also submits production jobs
// to the controllers as jobs of low priority: the checker must then report a violation.
func TestUrgentWorkGoesFirst(t *testing.T) {
	// day uses the t of the whole test, not that of a subtest: the lines with the days' digests begin with its name.
	day := func(seed uint64, productionAsLow bool) *sim { return simulateScarceDay(t, seed, productionAsLow) }
	days := uint64(8)
	if v, err := strconv.Atoi(os.Getenv("SIM_DAYS")); err == nil {
		days = uint64(v)
	}
	checkedLaunches := make(chan int, days)
	t.Run("days", func(t *testing.T) {
		for seed := range days {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := day(200+seed, false)
				s.reportViolations(t)
				checkedLaunches <- s.counts.launchesChecked
			})
		}
	})
	close(checkedLaunches)
	launches := 0
	for n := range checkedLaunches {
		launches += n
	}
	t.Logf("%d launches of work of lower priority were checked on %d days", launches, days)
	if launches == 0 {
		t.Error("no launch was checked")
	}
	for seed := uint64(0); ; seed++ {
		s := day(200+seed, true)
		if slices.ContainsFunc(s.violations, func(b string) bool { return strings.Contains(b, "lower priority first") }) {
			break
		}
		if seed == 8 {
			t.Fatal("the checker did not detect that work of lower priority was launched before production work")
		}
	}
}
