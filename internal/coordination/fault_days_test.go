package coordination

import (
	"strings"
	"testing"
	"time"
)

// Each coincidence of faults on the operators' page that has no test of its own elsewhere (docs/design.md, "Meetings of
// troubles", has the whole table, by these names) is a day here: injected on 3 and 5 controllers, with several seeds; counted,
// so that a day fails on which it did not occur; and played with a defect, so that its checkers are seen to work.

type faultDay struct {
	name        string
	workload    func(s *sim)               // nil: jobs of all shapes
	inject      func(s *sim)               // at 50 s
	duration    time.Duration              // after that
	occurrences func(s *sim) int           // how often the meeting took place
	check       func(t *testing.T, s *sim) // beside the rules; may be nil
	defect      func(s *sim)               // the defect
	violation   string                     // what a checker says of it
	setup       func(s *sim)               // before the day; may be nil
}

// faultDays are in a fixed order: a day's index is part of its seed.
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

// play plays the day. Nothing is judged here but by the checkers that are always there.
func (d *faultDay) play(t *testing.T, nodes int, seed uint64, spoil func(s *sim)) *sim {
	s := newOutageSim(t, seed, outageScenario{controllers: nodes, workers: "well"})
	if d.setup != nil {
		d.setup(s)
	}
	if !s.faults.scarceCapacity {
		for k := range s.cloud.capacity {
			s.cloud.capacity[k] *= 2
		}
	}
	if spoil != nil {
		spoil(s)
	}
	s.options.unorderedLaunches = true
	s.traceDay(t, seed)
	s.after(time.Second, func() {
		if d.workload != nil {
			d.workload(s)
		} else {
			s.submitMixedJobs(50*time.Second + d.duration)
		}
	})
	s.after(50*time.Second, func() { d.inject(s) })
	s.knownFrom(50*time.Second + d.duration)
	return s
}

// TestMeetingDays plays each, SIM_DAYS of them with other seeds.
func TestMeetingDays(t *testing.T) {
	k := len(faultDays)
	runSeeds(t, 0, 4*k, func(t *testing.T, i uint64) {
		d, nodes := &faultDays[int(i)%k], 3+2*int(i/uint64(k)%2)
		s := d.play(t, nodes, 46_000+i, nil)
		s.finish(t, 60*time.Second+d.duration)
		s.judgeServed()
		s.reportViolations(t)
		if d.check != nil {
			d.check(t, s)
		}
		if d.occurrences(s) == 0 {
			t.Errorf("it did not take place: %+v", s.faultCounts)
		}
		if s.faultCounts.lateStarts > 0 {
			t.Logf("%d tasks began after their job's cancellation was confirmed", s.faultCounts.lateStarts)
		}
		if t.Failed() {
			t.Log(d.name)
		}
	})
}

// TestMeetingDaysAreJudged breaks each day on purpose and has a checker say so.
func TestMeetingDaysAreJudged(t *testing.T) {
	for i := range faultDays {
		d := &faultDays[i]
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			said := ""
			for seed := uint64(47_000); seed < 47_008; seed++ {
				s := d.play(t, 3, seed, d.defect)
				s.run(3*time.Minute + d.duration)
				if all := strings.Join(s.violations, "\n"); strings.Contains(all, d.violation) && all != "" {
					return
				} else if said == "" {
					said = all
				}
			}
			t.Errorf("no checker said %q, but %q", d.violation, said)
		})
	}
}
