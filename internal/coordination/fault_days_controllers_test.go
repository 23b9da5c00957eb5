package coordination

import (
	"time"

	"silvergate/internal/protocol"
)

// Fault days on which controllers or the state service fail or can't be reached.

func leaderCrashWithHungMachinesDay() faultDay {
	return faultDay{
		name:     "a leader ends while machines with long tasks can't be reached",
		workload: submitLongJobs(14),
		duration: 60 * time.Second,
		inject: func(s *sim) {
			leader := s.busiestController()
			for _, w := range s.cloud.sortedMachines() {
				if w.up && leader.owns(w) {
					s.faultCounts.affected += len(w.tasks)
					w.hungUntil = s.now + s.leaseMultiple(0.4+0.8*s.random.Float64())
				}
			}
			leader.crash(40 * time.Second)
			s.after(s.randomMillis(0, 8000), func() { s.cancelShare(0.3, time.Second, nil) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 },
		violation:   "ran_twice",
	}
}

func lostTransactionRepliesDay() faultDay {
	return faultDay{
		name:     "a transaction is carried out at once and only its answer is lost",
		duration: 100 * time.Second,
		setup:    func(s *sim) { s.faults.queryEverywhere = true },
		inject: func(s *sim) {
			s.faultCounts.lostRepliesByKind = map[string]int{}
			kinds := []string{keyJob, keyPage, keyTeam, keyClaim, keyDrain, keyRental, keyFleet, keyGang, keyMember}
			until := s.now + 90*time.Second
			// Loses at most twelve replies of each kind. The crashes make other controllers act on what was written.
			s.faults.losesReply = func(n *simController, txn protocol.Txn) bool {
				for _, kind := range kinds {
					probability := 0.4
					if kind == keyRental || kind == keyClaim || kind == keyDrain {
						probability = 0.9 // these records are rarely written
					}
					if s.now < until && writesKind(txn, kind) && s.faultCounts.lostRepliesByKind[kind] < 12 && s.random.Float64() < probability {
						s.faultCounts.lostRepliesByKind[kind]++
						return true
					}
				}
				return false
			}
			for _, at := range []time.Duration{12, 40, 70} {
				s.after(at*time.Second, func() { s.busiestController().crash(s.randomMillis(100, 3000)); s.cancelShare(0.2, 5*time.Second, nil) })
				s.after((at+8)*time.Second, func() { // its workers change hands, as claims are rarely renewed
					s.busiestController().unreachableUntil["workers"] = s.now + s.leaseMultiple(0.7)
				})
			}
		},
		occurrences: func(s *sim) int {
			for _, kind := range []string{keyJob, keyPage, keyClaim, keyRental, keyMember} {
				if s.faultCounts.lostRepliesByKind[kind] == 0 {
					return 0
				}
			}
			return len(s.faultCounts.lostRepliesByKind)
		},
		defect:    func(s *sim) { s.state.ignoresCompares = true },
		violation: "",
	}
}

func partitionedZoneDay() faultDay {
	return faultDay{
		name:     "a zone with workers and a controller is cut off for longer than the lease",
		workload: submitLongJobs(20),
		duration: 70 * time.Second,
		inject: func(s *sim) {
			partitioned := s.controllers[0] // in zone a
			until := s.now + max(s.leaseMultiple(1.2), seconds((1+0.3*s.random.Float64())*s.facts.Workers.Cancel))
			for _, link := range []string{"state", "peers", "users", "cloud"} {
				partitioned.unreachableUntil[link] = until
			}
			for _, n := range s.controllers {
				for _, zone := range s.facts.Zones {
					if n.zone == "a" != (zone == "a") {
						n.unreachableUntil["zone:"+zone] = until
					}
				}
				if n.zone == "a" {
					for _, link := range []string{"state", "peers", "users", "cloud"} {
						n.unreachableUntil[link] = until
					}
				}
			}
			s.faultCounts.affected = s.countRunning(func(w *simWorker, _ *simUser) bool { return w.zone == "a" })
			s.cancelShare(0.4, 5*time.Second, nil)
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Cancel = 10_000 },
		violation:   "ran_cancelled",
	}
}

func partitionedLeaderDay() faultDay {
	return faultDay{
		name:     "a leader is cut from state service and controllers, workers and users reach it, and jobs are cancelled through another",
		workload: submitLongJobs(20),
		duration: 90 * time.Second,
		setup:    func(s *sim) { s.faults.queryEverywhere = true },
		inject: func(s *sim) {
			leader := s.busiestController()
			long := seconds(1.4 * s.facts.Workers.Cancel)
			leader.unreachableUntil["state"], leader.unreachableUntil["peers"] = s.now+long, s.now+long
			for _, o := range s.otherControllers(leader) { // so that the busiest controller's workers can't switch to another one
				o.unreachableUntil["workers"] = s.now + long
			}
			s.faultCounts.affected = s.countRunning(func(w *simWorker, _ *simUser) bool { return leader.owns(w) })
			s.after(3*time.Second, func() { s.cancelShare(0.5, 10*time.Second, s.otherControllers(leader)[0]) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Cancel = 10_000 },
		violation:   "ran_cancelled",
	}
}

func stateServiceDegradesThenFailsDay() faultDay {
	return faultDay{
		name:     "the state service is slow, refuses the leader, and then everybody for longer than cancel_s while users cancel and ask",
		workload: submitLongJobs(20),
		duration: 130 * time.Second,
		setup:    func(s *sim) { s.faults.queryEverywhere = true },
		inject: func(s *sim) {
			for _, n := range s.controllers {
				n.watchDelayedUntil = s.now + 20*time.Second
			}
			leader := s.busiestController()
			s.after(15*time.Second, func() { leader.refusedUntil = s.now + 12*time.Second })
			s.after(16*time.Second, func() { s.faultCounts.affected = s.cancelShare(0.4, 14*time.Second, nil) })
			s.after(27*time.Second, func() { s.state.downUntil = s.now + seconds(1.2*s.facts.Workers.Cancel) })
			s.after(40*time.Second, func() { s.cancelShare(0.3, 30*time.Second, nil) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.state.ignoresCompares = true },
		violation:   "",
	}
}

func repeatedLeaderCrashesDay() faultDay {
	return faultDay{
		name:        "leaders change ten times in two minutes",
		workload:    submitLongJobs(16),
		duration:    130 * time.Second,
		setup:       func(s *sim) { s.faults.queryEverywhere = true },
		inject:      func(s *sim) { s.crashBusiestRepeatedly(); s.submitMixedJobs(120 * time.Second) },
		occurrences: func(s *sim) int { return s.faultCounts.busiestCrashes / 10 },
		defect:      func(s *sim) { s.defects.readOnlyComparesHold = true },
		violation:   "",
	}
}

func repeatedLeaderCrashesInOutageDay() faultDay {
	return faultDay{
		name:     "leaders change ten times in two minutes, inside an outage",
		workload: submitLongJobs(16),
		duration: 150 * time.Second,
		inject: func(s *sim) {
			s.crashBusiestRepeatedly()
			s.after(20*time.Second, func() { s.state.downUntil = s.now + 70*time.Second })
			s.after(30*time.Second, func() { s.cancelShare(0.3, 40*time.Second, nil) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.busiestCrashes / 10 },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 },
		violation:   "ran_twice",
	}
}

func allControllersDownDay() faultDay {
	return faultDay{
		name:     "all controllers are away for longer than the lease",
		workload: submitLongJobs(20),
		duration: 90 * time.Second,
		inject: func(s *sim) {
			s.cancelShare(0.2, 300*time.Millisecond, nil)
			s.after(350*time.Millisecond, func() {
				for _, n := range s.controllers {
					n.crash(s.leaseMultiple(1.1 + 0.6*s.random.Float64()))
				}
			})
		},
		occurrences: func(s *sim) int { return s.faultCounts.expiredLeases },
		defect:      func(s *sim) { s.defects.ignoreLeaseExpiry = true },
		violation:   "ran_twice",
	}
}
