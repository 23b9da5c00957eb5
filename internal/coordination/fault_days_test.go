package coordination

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Each fault day covers a coincidence of faults from the operators' page that has no test of its own elsewhere.
// docs/design.md ("Meetings of troubles") has the whole table, with the days' names. The faults are injected with 3 and 5
// controllers and several seeds. Each day counts how often they coincided and fails if they did not. Each day is also
// run with a defect, to show that its checkers work.

// faultDay is a simulated day on which faults coincide.
type faultDay struct {
	name        string
	workload    func(s *sim)               // nil: jobs of all shapes
	inject      func(s *sim)               // at 50 s
	duration    time.Duration              // of the faults, from 50 s on
	occurrences func(s *sim) int           // how often the faults coincided; 0 fails the test
	check       func(t *testing.T, s *sim) // further checks at the end of the day; may be nil
	defect      func(s *sim)               // breaks something on purpose
	violation   string                     // rule that the defect breaks; empty: any
	setup       func(s *sim)               // called before the day; may be nil
}

// faultDays lists the fault days. Their order is fixed, because a day's index is part of its seed.
var faultDays = []faultDay{
	leaderCrashWithHungMachinesDay(),
	smallJobsInQuickSuccessionDay(),
	concurrentQueriesDay(),
	requestsAtJobEndDay(),
	lostTransactionRepliesDay(),
	teamLimitsWithHungMachinesDay(),
	cancellationsAtFailoverDay(),
	quickBootsWithSlowWritesDay(),
	duplicateHeartbeatsAtFailoverDay(),
	heldBackHeartbeatsDay(),
	scarceCapacityOverSlowLinksDay(),
	partitionedZoneDay(),
	partitionedLeaderDay(),
	stateServiceDegradesThenFailsDay(),
	repeatedLeaderCrashesDay(),
	repeatedLeaderCrashesInOutageDay(),
	isolatedWorkersDay(),
	delayedCommandsDay(),
	cancellationsWithHungMachinesDay(),
	oneZoneJobsLoseMachinesDay(),
	allControllersDownDay(),
}

// copyDays lists the fault days on which copies arrive. They have a list and seeds of their own, so that the other days
// keep their seeds.
var copyDays = []faultDay{
	copiedCommandsDay(),
	copiedRequestsDay(),
}

// prepare returns the simulation of the day, ready to run. The defect may be nil.
func (d *faultDay) prepare(t *testing.T, controllers int, seed uint64, defect func(s *sim)) *sim {
	t.Helper()
	s := newOutageSim(t, seed, outageScenario{controllers: controllers, workers: "well"})
	if d.setup != nil {
		d.setup(s)
	}
	if !s.faults.scarceCapacity {
		for machines := range s.cloud.capacity {
			s.cloud.capacity[machines] *= 2
		}
	}
	if defect != nil {
		defect(s)
	}
	s.options.skipLaunchOrderCheck = true
	s.traceDay(t, seed)
	s.after(time.Second, func() {
		if d.workload != nil {
			d.workload(s)
		} else {
			s.submitMixedJobs(50*time.Second + d.duration)
		}
	})
	s.after(50*time.Second, func() { d.inject(s) })
	s.checkAnswersFrom(50*time.Second + d.duration)
	return s
}

// simulate runs the day without its defect, and checks it.
func (d *faultDay) simulate(t *testing.T, controllers int, seed uint64) *sim {
	t.Helper()
	s := d.prepare(t, controllers, seed, nil)
	s.finish(t, 60*time.Second+d.duration)
	s.checkServed()
	s.reportViolations(t)
	if d.check != nil {
		d.check(t, s)
	}
	if d.occurrences(s) == 0 {
		t.Errorf("the faults did not coincide: %+v", s.faultCounts)
	}
	return s
}

// TestMeetingDays runs each fault day with 3 and 5 controllers in turn. SIM_DAYS sets the number of days; a larger number
// adds further seeds.
func TestMeetingDays(t *testing.T) {
	days := len(faultDays)
	runSeeds(t, 0, 4*days, func(t *testing.T, i uint64) {
		d, controllers := &faultDays[int(i)%days], 3+2*int(i/uint64(days)%2)
		s := d.simulate(t, controllers, 46_000+i)
		if s.faultCounts.lateStarts > 0 {
			t.Logf("%d tasks began after their job's cancellation was confirmed", s.faultCounts.lateStarts)
		}
		if t.Failed() {
			t.Log(d.name)
		}
	})
}

// TestMeetingDaysAreJudged runs each fault day with its defect and requires that a checker detect it with one of eight
// seeds.
func TestMeetingDaysAreJudged(t *testing.T) {
	for _, d := range slices.Concat(faultDays, copyDays) {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			found := ""
			for seed := uint64(47_000); seed < 47_008; seed++ {
				s := d.prepare(t, 3, seed, d.defect)
				s.run(3*time.Minute + d.duration)
				if all := strings.Join(s.violations, "\n"); strings.Contains(all, d.violation) && all != "" {
					return
				} else if found == "" {
					found = all
				}
			}
			t.Errorf("no checker reported the rule %q; reported instead: %q", d.violation, found)
		})
	}
}
