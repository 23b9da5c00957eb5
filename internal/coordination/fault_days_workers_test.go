package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/job"
)

// Fault days on which machines fail or their messages are lost or late.

func quickBootsWithSlowWritesDay() faultDay {
	return faultDay{
		name:     "new machines are up within two seconds and get work at once while writes lag, and the leader ends",
		duration: 60 * time.Second,
		setup:    func(s *sim) { s.faults.quickBoots = true },
		inject: func(s *sim) {
			s.faults.slowWritesUntil = s.now + 45*time.Second
			for i := range 5 {
				s.after(time.Duration(9*i)*time.Second, func() {
					for j := range 6 {
						s.submit(&job.Spec{ID: fmt.Sprintf("wk-71%02d%02d", i, j), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 6, CPUs: 4, GPUs: 1, MemoryGB: 8, Spot: j%2 == 0}, 12, 0)
					}
					s.after(s.randomMillis(0, 4000), func() {
						if leader := s.fleetLeader(); leader != nil {
							leader.crash(s.randomMillis(200, 5000))
						}
					})
				})
			}
		},
		occurrences: func(s *sim) int { return s.faultCounts.earlyBoots },
		check: func(t *testing.T, s *sim) {
			if s.faultCounts.deletedInUse > 0 {
				t.Errorf("%d tasks ran on machines when these were deleted", s.faultCounts.deletedInUse)
			}
			s.run(s.now + 3*time.Minute)
			for _, w := range s.cloud.sortedMachines() {
				t.Errorf("%s is still rented (up: %v) nine minutes after the day", w.name, w.up)
			}
		},
		defect:    func(s *sim) { s.state.ignoresCompares = true },
		violation: "",
	}
}

func duplicateHeartbeatsAtFailoverDay() faultDay {
	return faultDay{
		name:     "an old report reaches every controller just as a new leader begins",
		workload: submitLongJobs(16),
		duration: 90 * time.Second,
		setup:    func(s *sim) { s.faults.copiedShare = 0.4 },
		inject: func(s *sim) {
			for _, at := range []time.Duration{0, 25, 50} {
				s.after(at*time.Second, func() {
					leader := s.busiestController()
					for _, w := range s.cloud.sortedMachines() { // some lose their lease and begin a new agent epoch
						if w.up && leader.owns(w) && s.random.IntN(3) == 0 {
							w.unresponsiveUntil = s.now + s.leaseMultiple(1.2)
						}
					}
					down := s.randomMillis(300, 8000)
					leader.crash(down)
					s.deliverCopies(6 * time.Second)
					s.after(down, func() { s.deliverCopies(500 * time.Millisecond) }) // the restarted controller may not have read its records yet
				})
			}
			s.after(75*time.Second, func() { s.faults.copiedShare = 0 })
			s.after(5*time.Second, func() { s.submitMixedJobs(100 * time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.lateHeartbeats / 20 },
		defect:      func(s *sim) { s.defects.forgedHeartbeats = true },
		violation:   "not_done",
	}
}

func heldBackHeartbeatsDay() faultDay {
	return faultDay{
		name:     "a report is held back until a new leader has acted, and then arrives there",
		workload: submitLongJobs(16),
		duration: 80 * time.Second,
		inject: func(s *sim) {
			for _, at := range []time.Duration{0, 30} {
				s.after(at*time.Second, func() {
					s.faults.heldBackShare = 0.5
					s.after(4*time.Second, func() { s.busiestController().crash(s.randomMillis(5000, 20_000)) })
					s.after(20*time.Second, func() { s.faults.heldBackShare = 0 })
				})
			}
			s.after(5*time.Second, func() { s.submitMixedJobs(100 * time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.lateHeartbeats },
		defect:      func(s *sim) { s.defects.forgedHeartbeats = true },
		violation:   "not_done",
	}
}

func isolatedWorkersDay() faultDay {
	return faultDay{
		name:     "workers can't open connections, while direct commands reach them",
		workload: submitLongJobs(16),
		duration: 90 * time.Second,
		inject: func(s *sim) {
			for i, at := range []time.Duration{0, 45} {
				s.after(at*time.Second, func() {
					s.forSomeWorkers(0.6, func(w *simWorker) { w.isolatedUntil = s.now + s.leaseMultiple(0.2+1.6*s.random.Float64()) })
					if i == 1 {
						s.after(s.randomMillis(0, 10_000), func() { s.busiestController().crash(s.randomMillis(500, 6000)) })
					}
					s.after(s.randomMillis(0, 8000), func() { s.cancelShare(0.2, time.Second, nil) })
				})
			}
			s.after(time.Second, func() { s.submitMixedJobs(90 * time.Second) })
		},
		occurrences: func(s *sim) int { return min(s.faultCounts.unsentHeartbeats/10, s.faultCounts.directWhileIsolated) },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 },
		violation:   "ran_twice",
	}
}

func delayedCommandsDay() faultDay {
	return faultDay{
		name:     "a command or its answer is held up for seconds, and the machine then goes on",
		workload: submitLongJobs(12),
		duration: 90 * time.Second,
		inject: func(s *sim) {
			for _, at := range []time.Duration{0, 25, 50} {
				s.after(at*time.Second, func() {
					for _, n := range s.controllers {
						n.commandsDelayedUntil = s.now + s.randomMillis(2000, 15_000)
					}
					s.forSomeWorkers(0.4, func(w *simWorker) { w.hungUntil = s.now + s.randomMillis(2000, 800*s.facts.Workers.Lease) })
					s.cancelShare(0.2, 6*time.Second, nil)
					s.after(6*time.Second, func() { s.busiestController().crash(time.Second) })
				})
			}
			s.submitMixedJobs(110 * time.Second)
		},
		occurrences: func(s *sim) int { return s.faultCounts.delayedCommands / 3 },
		defect:      func(s *sim) { s.defects.ignoreKills = true },
		violation:   "ran_cancelled",
	}
}

func oneZoneJobsLoseMachinesDay() faultDay {
	return faultDay{
		name: "jobs bound to one zone, arrays too, lose machines",
		workload: func(s *sim) {
			for i := range 16 {
				spec := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: "blue", Shape: []job.Shape{job.Array, job.Array, job.Gang, job.Service}[i%4], Priority: job.Normal,
					Tasks: 2 + i%4, CPUs: 2, GPUs: 0.5, MemoryGB: 8, OneZone: i%3 > 0, Spot: i%2 == 0}
				if i%3 == 0 {
					spec.Zone = []string{"a", "b"}[i%2]
				}
				s.submit(spec, 25+40*s.random.Float64(), 0)
			}
		},
		duration: 70 * time.Second,
		inject: func(s *sim) {
			for i, at := range []time.Duration{0, 20, 40} {
				s.after(at*time.Second, func() {
					s.forSomeWorkers(0.4, func(w *simWorker) {
						s.faultCounts.affected += len(w.tasks)
						switch i {
						case 0:
							w.die()
							w.failed = true
						case 1:
							w.hungUntil = s.now + s.leaseMultiple(0.5+s.random.Float64())
						default:
							w.unresponsiveUntil = s.now + s.leaseMultiple(0.5+s.random.Float64())
						}
					})
					s.after(s.randomMillis(0, 6000), func() { s.busiestController().crash(s.randomMillis(500, 4000)) })
				})
			}
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected / 5 },
		defect:      func(s *sim) { s.defects.wrongZones = true },
		violation:   "wrong_place",
	}
}
