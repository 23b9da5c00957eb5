package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// Fault days that users cause: many requests, requests at the moment of a change, and more jobs than capacity.

func smallJobsInQuickSuccessionDay() faultDay {
	return faultDay{
		name:        "one-task jobs come four a second, a quarter of them cancelled",
		workload:    func(s *sim) { s.after(10*time.Second, func() { s.submitSmallJobs(140 * time.Second) }) },
		duration:    110 * time.Second,
		inject:      func(s *sim) { s.after(30*time.Second, func() { s.busiestController().crash(2 * time.Second) }) },
		occurrences: func(s *sim) int { return len(s.users) / 500 },
		check: func(t *testing.T, s *sim) {
			late := 0
			for _, u := range s.users {
				if u.acceptedAfter > 5*time.Second {
					late++
				}
			}
			if late > len(s.users)/20 {
				t.Errorf("%d of %d submissions took more than 5 s to be accepted", late, len(s.users))
			}
			if s.state.throttled > 60 {
				t.Errorf("the state service refused %d requests that exceeded its rate limits", s.state.throttled)
			}
			for _, n := range s.controllers {
				c := n.core
				remaining := len(c.jobs.open) + len(c.scheduler.queuedJobs) + len(c.queries.statusQueries) + len(c.scheduler.earlyHandoffs) + len(c.jobs.orphanPages) + c.state.Backlog() + len(c.calls.pending)/20
				tasks := 0
				for _, r := range c.jobs.byID {
					for _, p := range r.pages {
						tasks += len(p.tasks)
					}
				}
				if remaining > 0 || tasks > 0 {
					t.Errorf("%s still has %d open entries and %d tasks of jobs that have ended", n.name, remaining, tasks)
				}
			}
		},
		defect:    func(s *sim) { s.defects.readOnlyComparesHold, s.faults.queryEverywhere = true, true },
		violation: "",
	}
}

func concurrentQueriesDay() faultDay {
	return faultDay{
		name:     "users ask at all nodes within milliseconds",
		duration: 110 * time.Second,
		setup:    func(s *sim) { s.faults.queryEverywhere, s.faults.cancelAtEnd = true, 0.3 },
		inject: func(s *sim) {
			s.anyController().watchDelayedUntil = s.now + 25*time.Second
			s.after(30*time.Second, func() { s.busiestController().refusedUntil = s.now + 20*time.Second })
			s.after(55*time.Second, func() { s.busiestController().crash(s.randomMillis(200, 3000)); s.faults.lateTransactions = 0.2 })
			s.after(75*time.Second, func() { s.faults.lateTransactions = 0; s.loseReplies(0.4, 20*time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.concurrentQueries / 500 },
		defect:      func(s *sim) { s.defects.readOnlyComparesHold = true },
		violation:   "",
	}
}

func requestsAtJobEndDay() faultDay {
	return faultDay{
		name:        "a cancellation, a question or a repeated submission meets the end of the last task",
		duration:    60 * time.Second,
		setup:       func(s *sim) { s.faults.queryEverywhere, s.faults.cancelAtEnd = true, 0.9 },
		inject:      func(s *sim) {},
		occurrences: func(s *sim) int { return s.faultCounts.requestsAtEnd / 5 },
		defect:      func(s *sim) { s.defects.readOnlyComparesHold = true },
		violation:   "",
	}
}

func teamLimitsWithHungMachinesDay() faultDay {
	return faultDay{
		name: "every team is at its limit, jobs are cancelled whose machines hang, and the leader changes",
		workload: func(s *sim) {
			for i := range 24 {
				spec := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: []string{"red", "blue"}[i%2], Shape: job.Array, Priority: job.Normal, Tasks: 4, CPUs: 2, GPUs: 0.5, MemoryGB: 8}
				if i%4 < 2 {
					spec.Shape, spec.Class, spec.Tasks = job.Gang, "gng", 2
				}
				s.submit(spec, 50, 0)
			}
		},
		duration: 70 * time.Second,
		setup: func(s *sim) {
			s.facts.Teams = []config.Team{{Name: "red", GPUsMax: 5}, {Name: "blue", GPUsMax: 6}}
			s.advertised = s.facts
		},
		inject: func(s *sim) {
			leader := s.busiestController()
			for i, w := range s.cloud.sortedMachines() {
				if !w.up || len(w.tasks) == 0 {
					continue
				}
				s.faultCounts.affected++
				switch i % 3 {
				case 0:
					w.hungUntil = s.now + s.leaseMultiple(0.3+0.9*s.random.Float64())
				case 1:
					w.unresponsiveUntil = s.now + s.leaseMultiple(0.3+1.2*s.random.Float64())
				}
			}
			zone := s.facts.Zones[s.random.IntN(2)]
			for _, n := range s.controllers {
				n.unreachableUntil["zone:"+zone] = s.now + s.leaseMultiple(1.3)
			}
			s.cancelShare(0.5, 2*time.Second, nil)
			s.after(s.randomMillis(0, 3000), func() { leader.crash(s.randomMillis(500, 20_000)) })
			s.after(s.randomMillis(15_000, 30_000), func() { s.busiestController().crash(time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 },
		violation:   "quota",
	}
}

func cancellationsAtFailoverDay() faultDay {
	return faultDay{
		name:     "jobs are cancelled in the seconds in which one controller's work changes hands",
		workload: submitLongJobs(24),
		duration: 90 * time.Second,
		setup:    func(s *sim) { s.faults.cancelAtFailover = 0.4 },
		inject: func(s *sim) {
			for i, n := range s.controllers {
				s.after(time.Duration(16*i)*time.Second, func() {
					n.unreachableUntil["workers"] = s.now + 14*time.Second
					if i%2 == 0 {
						n.commandsDelayedUntil = s.now + 12*time.Second
					}
				})
			}
			s.after(5*time.Second, func() { s.submitMixedJobs(100 * time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.defects.ignoreKills = true },
		violation:   "ran_cancelled",
	}
}

func scarceCapacityOverSlowLinksDay() faultDay {
	return faultDay{
		name: "there is more work than room, urgent and not, over slow links",
		workload: func(s *sim) {
			for i := range 30 {
				spec := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Priority(i % 4), Tasks: 6, CPUs: 4, GPUs: 1, MemoryGB: 8}
				s.submit(spec, 18, 0)
			}
		},
		duration: 70 * time.Second,
		setup:    func(s *sim) { s.faults.scarceCapacity = true },
		inject: func(s *sim) {
			s.faults.slowLinksUntil = s.now + 60*time.Second
			for _, u := range s.users {
				if u.accepted && u.tasksStarted < u.spec.Tasks {
					s.faultCounts.affected++
				}
			}
			s.after(20*time.Second, func() { s.busiestController().crash(4 * time.Second) })
			s.after(25*time.Second, func() { s.cancelShare(0.2, 10*time.Second, nil) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected / 5 },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 },
		violation:   "ran_twice",
	}
}

func cancellationsWithHungMachinesDay() faultDay {
	return faultDay{
		name:     "jobs that run are called off at once, and some of their machines hang",
		workload: submitLongJobs(24),
		duration: 90 * time.Second,
		inject: func(s *sim) {
			for i, at := range []time.Duration{0, 40} {
				s.after(at*time.Second, func() {
					s.cancelRunning(8, s.leaseMultiple(0.3+0.6*s.random.Float64()))
					if i == 1 {
						s.after(s.randomMillis(0, 2000), func() { s.busiestController().crash(s.randomMillis(500, 9000)) })
					}
				})
			}
			s.after(5*time.Second, func() { s.submitMixedJobs(100 * time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.hungAtCancel },
		defect:      func(s *sim) { s.defects.ignoreKills = true },
		violation:   "ran_cancelled",
	}
}
