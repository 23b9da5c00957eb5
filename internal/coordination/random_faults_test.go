package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

func TestQuietDayEndsEverything(t *testing.T) {
	s := newSim(t, 1, 0)
	s.submitMixedJobs(2 * time.Minute)
	s.finish(t, 3*time.Minute)
	s.reportViolations(t)
}

// TestRulesHoldUnderTrouble plays days with drawn faults: lost, late and
// half-executed messages, crashes, cuts, outages, hangs, faulty and dying
// machines, alone and together.
func TestRulesHoldUnderTrouble(t *testing.T) {
	days := uint64(40)
	if testing.Short() {
		days = 3
	}
	for seed := uint64(100); seed < 100+days; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 0.004)
			s.traceDay(t, seed)
			s.submitMixedJobs(4 * time.Minute)
			s.after(20*time.Second, func() { s.injectFaults(4 * time.Minute) })
			s.finish(t, 5*time.Minute)
			s.reportViolations(t)
		})
	}
}

// TestCheckerCatchesBrokenVariants shows that the checker can fail: each
// variant breaks one pillar of the design, by telling the controllers
// something untrue or by a state service that ignores conditions.
func TestCheckerCatchesBrokenVariants(t *testing.T) {
	for _, v := range []struct {
		name, rule string
		seeds      uint64
		spoil      func(s *sim)
		during     func(s *sim)
	}{
		{"state service ignores conditions", "", 3, func(s *sim) { s.state.ignoresCompares = true }, nil},
		{"leases believed shorter than they are", "ran_twice", 6, func(s *sim) { s.advertised.Workers.Lease = 2 }, func(s *sim) {
			for _, w := range s.cloud.sortedMachines() {
				s.controllers[w.controller].unreachableUntil["workers"] = s.now + 15*time.Second
			}
		}},
		{"a limit believed higher than it is", "quota", 3, func(s *sim) {
			s.advertised.Teams = []config.Team{{Name: "red", GPUsMax: 100}, {Name: "blue"}}
		}, nil},
		{"cancellations believed to have ages", "ran_cancelled", 3, func(s *sim) { s.advertised.Workers.Cancel = 1000 }, func(s *sim) {
			// The busiest controller keeps its workers but not the state
			// service, and everybody cancels.
			var busiest *simController
			most := -1
			for i, n := range s.controllers {
				tasks := 0
				for _, w := range s.cloud.sortedMachines() {
					if w.controller == i {
						tasks += len(w.tasks)
					}
				}
				if tasks > most {
					busiest, most = n, tasks
				}
			}
			busiest.unreachableUntil["state"] = s.now + 100*time.Second
			busiest.unreachableUntil["peers"] = s.now + 100*time.Second
			s.after(3*time.Second, func() {
				for _, id := range sortedKeys(s.users) {
					s.users[id].cancel()
				}
			})
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			for seed := uint64(1); seed <= v.seeds; seed++ {
				s := newSim(t, seed, 0.002)
				v.spoil(s)
				for i := range 8 {
					s.submit(&job.Spec{ID: fmt.Sprintf("wk-8%05d", i), Class: "svc", Team: "blue", Shape: job.Service, Tasks: 1,
						Priority: job.Production, CPUs: 1, GPUs: 1, MemoryGB: 1}, 0, 0)
				}
				s.submitMixedJobs(2 * time.Minute)
				if v.during != nil {
					s.after(40*time.Second, func() { v.during(s) })
				}
				s.run(3 * time.Minute)
				for _, b := range s.violations {
					if strings.Contains(b, v.rule) {
						return
					}
				}
			}
			t.Errorf("the checker saw no broken rule %q", v.rule)
		})
	}
}
