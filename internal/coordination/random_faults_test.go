package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
)

// TestQuietDayEndsEverything checks that all jobs end on a simulated day without faults.
func TestQuietDayEndsEverything(t *testing.T) {
	s := newSim(t, 1, 0)
	s.submitMixedJobs(2 * time.Minute)
	s.finish(t, 3*time.Minute)
	s.reportViolations(t)
}

// TestRulesHoldUnderTrouble simulates days with random faults, alone and combined: lost, late and
// half-executed messages, crashes, network partitions, outages, hangs, and faulty and dying machines.
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

// TestCheckerCatchesBrokenVariants shows that the rule checkers can fail. Each variant breaks one
// assumption of the design, by giving the controllers wrong settings or by a state service that
// ignores the conditions of transactions.
func TestCheckerCatchesBrokenVariants(t *testing.T) {
	for _, v := range []struct {
		name, rule string
		seeds      uint64
		defect     func(s *sim)
		during     func(s *sim) // at 40 s; may be nil
	}{
		{name: "state service ignores conditions", seeds: 3, defect: func(s *sim) { s.state.ignoresCompares = true }},
		{name: "leases believed shorter than they are", rule: "ran_twice", seeds: 6, defect: func(s *sim) { s.advertised.Workers.Lease = 2 },
			during: (*sim).cutWorkersFromTheirControllers},
		{name: "a limit believed higher than it is", rule: "quota", seeds: 3, defect: func(s *sim) {
			s.advertised.Teams = []config.Team{{Name: "red", GPUsMax: 100}, {Name: "blue"}}
		}},
		{name: "cancellations believed to have ages", rule: "ran_cancelled", seeds: 3, defect: func(s *sim) { s.advertised.Workers.Cancel = 1000 },
			during: (*sim).cutBusiestAndCancelAll},
	} {
		t.Run(v.name, func(t *testing.T) {
			for seed := uint64(1); seed <= v.seeds; seed++ {
				s := newSim(t, seed, 0.002)
				v.defect(s)
				s.submitServices(8, 1)
				s.submitMixedJobs(2 * time.Minute)
				if v.during != nil {
					s.after(40*time.Second, func() { v.during(s) })
				}
				s.run(3 * time.Minute)
				for _, violation := range s.violations {
					if strings.Contains(violation, v.rule) {
						return
					}
				}
			}
			t.Errorf("the checker reported no violation of rule %q", v.rule)
		})
	}
}

// cutWorkersFromTheirControllers breaks the links from all controllers with workers to the workers for 15 s.
func (s *sim) cutWorkersFromTheirControllers() {
	for _, w := range s.cloud.sortedMachines() {
		s.controllers[w.controller].unreachableUntil["workers"] = s.now + 15*time.Second
	}
}

// cutBusiestAndCancelAll finds the controller whose workers have the most tasks and cuts its links to the state service
// and to its peers, but not those to its workers. 3 s later every user cancels.
func (s *sim) cutBusiestAndCancelAll() {
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
}
