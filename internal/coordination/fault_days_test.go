package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
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

var faultDays = []faultDay{
	{name: "a leader ends while machines with long tasks can't be reached",
		workload: submitLongJobs(14), duration: 60 * time.Second,
		inject: func(s *sim) {
			l := s.busiestController()
			for _, w := range s.cloud.sortedMachines() {
				if w.up && l.holds(w) {
					s.faultCounts.affected += len(w.tasks)
					w.hungUntil = s.now + s.leaseTimes(0.4+0.8*s.random.Float64())
				}
			}
			l.crash(40 * time.Second)
			s.after(s.randomMillis(0, 8000), func() { s.cancelShare(0.3, time.Second, nil) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 }, violation: "ran_twice"},

	{name: "one-task jobs come four a second, a quarter of them cancelled",
		workload: func(s *sim) { s.after(10*time.Second, func() { s.submitSmallJobs(140 * time.Second) }) }, duration: 110 * time.Second,
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
				t.Errorf("the state service refused %d requests over its limits", s.state.throttled)
			}
			for _, n := range s.controllers {
				c := n.core
				left := len(c.jobs.open) + len(c.scheduler.queuedJobs) + len(c.queries.statusQueries) + len(c.scheduler.earlyHandoffs) + len(c.jobs.orphanPages) + c.state.Backlog() + len(c.calls.pending)/20
				tasks := 0
				for _, r := range c.jobs.byID {
					for _, p := range r.pages {
						tasks += len(p.tasks)
					}
				}
				if left > 0 || tasks > 0 {
					t.Errorf("%s keeps %d open things and %d tasks of jobs that are over", n.name, left, tasks)
				}
			}
		},
		defect: func(s *sim) { s.defects.readOnlyComparesHold, s.faults.queryEverywhere = true, true }, violation: ""},

	{name: "users ask at all nodes within milliseconds",
		duration: 110 * time.Second,
		setup:    func(s *sim) { s.faults.queryEverywhere, s.faults.cancelAtEnd = true, 0.3 },
		inject: func(s *sim) {
			s.anyController().watchDelayedUntil = s.now + 25*time.Second
			s.after(30*time.Second, func() { s.busiestController().refusedUntil = s.now + 20*time.Second })
			s.after(55*time.Second, func() { s.busiestController().crash(s.randomMillis(200, 3000)); s.faults.lateTransactions = 0.2 })
			s.after(75*time.Second, func() { s.faults.lateTransactions = 0; s.loseReplies(0.4, 20*time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.concurrentQueries / 500 },
		defect:      func(s *sim) { s.defects.readOnlyComparesHold = true }, violation: ""},

	{name: "a cancellation, a question or a repeated submission meets the end of the last task",
		duration:    60 * time.Second,
		setup:       func(s *sim) { s.faults.queryEverywhere, s.faults.cancelAtEnd = true, 0.9 },
		inject:      func(s *sim) {},
		occurrences: func(s *sim) int { return s.faultCounts.requestsAtEnd / 5 },
		defect:      func(s *sim) { s.defects.readOnlyComparesHold = true }, violation: ""},

	{name: "a transaction is carried out at once and only its answer is lost",
		duration: 100 * time.Second,
		setup:    func(s *sim) { s.faults.queryEverywhere = true },
		inject: func(s *sim) {
			s.faultCounts.lostRepliesByKind = map[string]int{}
			kinds := []string{keyJob, keyPage, keyTeam, keyClaim, keyDrain, keyRental, keyFleet, keyGang, keyMember}
			until := s.now + 90*time.Second
			// Up to twelve of each kind; crashes have others act on what was written.
			s.faults.losesReply = func(n *simController, t protocol.Txn) bool {
				for _, k := range kinds {
					often := 0.4
					if k == keyRental || k == keyClaim || k == keyDrain {
						often = 0.9 // there are few
					}
					if s.now < until && writesKind(t, k) && s.faultCounts.lostRepliesByKind[k] < 12 && s.random.Float64() < often {
						s.faultCounts.lostRepliesByKind[k]++
						return true
					}
				}
				return false
			}
			for _, at := range []time.Duration{12, 40, 70} {
				s.after(at*time.Second, func() { s.busiestController().crash(s.randomMillis(100, 3000)); s.cancelShare(0.2, 5*time.Second, nil) })
			}
		},
		occurrences: func(s *sim) int {
			for _, k := range []string{keyJob, keyPage, keyClaim, keyRental, keyMember} {
				if s.faultCounts.lostRepliesByKind[k] == 0 {
					return 0
				}
			}
			return len(s.faultCounts.lostRepliesByKind)
		},
		defect: func(s *sim) { s.state.ignoresCompares = true }, violation: ""},

	{name: "every team is at its limit, jobs are cancelled whose machines hang, and the leader changes",
		workload: func(s *sim) {
			for i := range 24 {
				sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: []string{"red", "blue"}[i%2], Shape: job.Array, Priority: job.Normal, Tasks: 4, CPUs: 2, GPUs: 0.5, MemoryGB: 8}
				if i%4 < 2 {
					sp.Shape, sp.Class, sp.Tasks = job.Gang, "gng", 2
				}
				s.submit(sp, 50, 0)
			}
		},
		duration: 70 * time.Second,
		setup: func(s *sim) {
			s.facts.Teams = []config.Team{{Name: "red", GPUsMax: 5}, {Name: "blue", GPUsMax: 6}}
			s.advertised = s.facts
		},
		inject: func(s *sim) {
			l := s.busiestController()
			for i, w := range s.cloud.sortedMachines() {
				if !w.up || len(w.tasks) == 0 {
					continue
				}
				s.faultCounts.affected++
				switch i % 3 {
				case 0:
					w.hungUntil = s.now + s.leaseTimes(0.3+0.9*s.random.Float64())
				case 1:
					w.unresponsiveUntil = s.now + s.leaseTimes(0.3+1.2*s.random.Float64())
				}
			}
			z := s.facts.Zones[s.random.IntN(2)]
			for _, n := range s.controllers {
				n.unreachableUntil["zone:"+z] = s.now + s.leaseTimes(1.3)
			}
			s.cancelShare(0.5, 2*time.Second, nil)
			s.after(s.randomMillis(0, 3000), func() { l.crash(s.randomMillis(500, 20_000)) })
			s.after(s.randomMillis(15_000, 30_000), func() { s.busiestController().crash(time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 }, violation: "quota"},

	{name: "jobs are cancelled in the seconds in which one controller's work changes hands",
		workload: submitLongJobs(24), duration: 90 * time.Second,
		setup: func(s *sim) { s.faults.cancelAtFailover = 0.4 },
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
		defect:      func(s *sim) { s.defects.ignoreKills = true }, violation: "ran_cancelled"},

	{name: "new machines are up within two seconds and get work at once while writes lag, and the leader ends",
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
						if l := s.leading(); l != nil {
							l.crash(s.randomMillis(200, 5000))
						}
					})
				})
			}
		},
		occurrences: func(s *sim) int { return s.faultCounts.earlyBoots },
		check: func(t *testing.T, s *sim) {
			if s.faultCounts.deletedInUse > 0 {
				t.Errorf("%d tasks ran on machines that were returned", s.faultCounts.deletedInUse)
			}
			s.run(s.now + 3*time.Minute)
			for _, w := range s.cloud.sortedMachines() {
				t.Errorf("%s is still paid for, up %v, nine minutes after the day", w.name, w.up)
			}
		},
		defect: func(s *sim) { s.state.ignoresCompares = true }, violation: ""},

	{name: "an old report reaches every controller just as a new leader begins",
		workload: submitLongJobs(16), duration: 90 * time.Second,
		setup: func(s *sim) { s.faults.copiedShare = 0.4 },
		inject: func(s *sim) {
			for _, at := range []time.Duration{0, 25, 50} {
				s.after(at*time.Second, func() {
					l := s.busiestController()
					for _, w := range s.cloud.sortedMachines() { // some are in their next session by then
						if w.up && l.holds(w) && s.random.IntN(3) == 0 {
							w.unresponsiveUntil = s.now + s.leaseTimes(1.2)
						}
					}
					down := s.randomMillis(300, 8000)
					l.crash(down)
					s.deliverCopies(6 * time.Second)
					s.after(down, func() { s.deliverCopies(500 * time.Millisecond) }) // before it has read the records, too
				})
			}
			s.after(75*time.Second, func() { s.faults.copiedShare = 0 })
			s.after(5*time.Second, func() { s.submitMixedJobs(100 * time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.lateHeartbeats / 20 },
		defect:      func(s *sim) { s.defects.forgedHeartbeats = true }, violation: "not_done"},

	{name: "a report is held back until a new leader has acted, and then arrives there",
		workload: submitLongJobs(16), duration: 80 * time.Second,
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
		defect:      func(s *sim) { s.defects.forgedHeartbeats = true }, violation: "not_done"},

	{name: "there is more work than room, urgent and not, over slow links",
		workload: func(s *sim) {
			for i := range 30 {
				sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Priority(i % 4), Tasks: 6, CPUs: 4, GPUs: 1, MemoryGB: 8}
				s.submit(sp, 18, 0)
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
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 }, violation: "ran_twice"},

	{name: "a zone with workers and a controller is cut off for longer than the lease",
		workload: submitLongJobs(20), duration: 70 * time.Second,
		inject: func(s *sim) {
			in := s.controllers[0] // its zone is a
			until := s.now + max(s.leaseTimes(1.2), seconds((1+0.3*s.random.Float64())*s.facts.Workers.Cancel))
			for _, k := range []string{"state", "peers", "users", "cloud"} {
				in.unreachableUntil[k] = until
			}
			for _, n := range s.controllers {
				for _, z := range s.facts.Zones {
					if n.zone == "a" != (z == "a") {
						n.unreachableUntil["zone:"+z] = until
					}
				}
				if n.zone == "a" {
					for _, k := range []string{"state", "peers", "users", "cloud"} {
						n.unreachableUntil[k] = until
					}
				}
			}
			s.faultCounts.affected = s.countRunning(func(w *simWorker, _ *simUser) bool { return w.zone == "a" })
			s.cancelShare(0.4, 5*time.Second, nil)
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Cancel = 10_000 }, violation: "ran_cancelled"},

	{name: "a leader is cut from state service and controllers, workers and users reach it, and jobs are cancelled through another",
		workload: submitLongJobs(20), duration: 90 * time.Second,
		setup: func(s *sim) { s.faults.queryEverywhere = true },
		inject: func(s *sim) {
			l := s.busiestController()
			long := seconds(1.4 * s.facts.Workers.Cancel)
			l.unreachableUntil["state"], l.unreachableUntil["peers"] = s.now+long, s.now+long
			for _, o := range s.otherControllers(l) { // nor can its workers go elsewhere
				o.unreachableUntil["workers"] = s.now + long
			}
			s.faultCounts.affected = s.countRunning(func(w *simWorker, _ *simUser) bool { return l.holds(w) })
			s.after(3*time.Second, func() { s.cancelShare(0.5, 10*time.Second, s.otherControllers(l)[0]) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.advertised.Workers.Cancel = 10_000 }, violation: "ran_cancelled"},

	{name: "the state service is slow, refuses the leader, and then everybody for longer than cancel_s while users cancel and ask",
		workload: submitLongJobs(20), duration: 130 * time.Second,
		setup: func(s *sim) { s.faults.queryEverywhere = true },
		inject: func(s *sim) {
			for _, n := range s.controllers {
				n.watchDelayedUntil = s.now + 20*time.Second
			}
			l := s.busiestController()
			s.after(15*time.Second, func() { l.refusedUntil = s.now + 12*time.Second })
			s.after(16*time.Second, func() { s.faultCounts.affected = s.cancelShare(0.4, 14*time.Second, nil) })
			s.after(27*time.Second, func() { s.state.downUntil = s.now + seconds(1.2*s.facts.Workers.Cancel) })
			s.after(40*time.Second, func() { s.cancelShare(0.3, 30*time.Second, nil) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected },
		defect:      func(s *sim) { s.state.ignoresCompares = true }, violation: ""},

	{name: "leaders change ten times in two minutes",
		workload: submitLongJobs(16), duration: 130 * time.Second,
		setup:       func(s *sim) { s.faults.queryEverywhere = true },
		inject:      func(s *sim) { s.crashLeaderRepeatedly(); s.submitMixedJobs(120 * time.Second) },
		occurrences: func(s *sim) int { return s.faultCounts.leaderCrashes / 10 },
		defect:      func(s *sim) { s.defects.readOnlyComparesHold = true }, violation: ""},

	{name: "leaders change ten times in two minutes, inside an outage",
		workload: submitLongJobs(16), duration: 150 * time.Second,
		inject: func(s *sim) {
			s.crashLeaderRepeatedly()
			s.after(20*time.Second, func() { s.state.downUntil = s.now + 70*time.Second })
			s.after(30*time.Second, func() { s.cancelShare(0.3, 40*time.Second, nil) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.leaderCrashes / 10 },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 }, violation: "ran_twice"},

	{name: "workers can't open connections, while direct commands reach them",
		workload: submitLongJobs(16), duration: 90 * time.Second,
		inject: func(s *sim) {
			for i, at := range []time.Duration{0, 45} {
				s.after(at*time.Second, func() {
					s.forSomeWorkers(0.6, func(w *simWorker) { w.isolatedUntil = s.now + s.leaseTimes(0.2+1.6*s.random.Float64()) })
					if i == 1 {
						s.after(s.randomMillis(0, 10_000), func() { s.busiestController().crash(s.randomMillis(500, 6000)) })
					}
					s.after(s.randomMillis(0, 8000), func() { s.cancelShare(0.2, time.Second, nil) })
				})
			}
			s.after(time.Second, func() { s.submitMixedJobs(90 * time.Second) })
		},
		occurrences: func(s *sim) int { return min(s.faultCounts.unsentHeartbeats/10, s.faultCounts.directWhileIsolated) },
		defect:      func(s *sim) { s.advertised.Workers.Lease = 2 }, violation: "ran_twice"},

	{name: "a command or its answer is held up for seconds, and the machine then goes on",
		workload: submitLongJobs(12), duration: 90 * time.Second,
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
		defect:      func(s *sim) { s.defects.ignoreKills = true }, violation: "ran_cancelled"},

	{name: "jobs that run are called off at once, and some of their machines hang",
		workload: submitLongJobs(24), duration: 90 * time.Second,
		inject: func(s *sim) {
			for i, at := range []time.Duration{0, 40} {
				s.after(at*time.Second, func() {
					s.cancelRunning(8, s.leaseTimes(0.3+0.6*s.random.Float64()))
					if i == 1 {
						s.after(s.randomMillis(0, 2000), func() { s.busiestController().crash(s.randomMillis(500, 9000)) })
					}
				})
			}
			s.after(5*time.Second, func() { s.submitMixedJobs(100 * time.Second) })
		},
		occurrences: func(s *sim) int { return s.faultCounts.hungAtCancel },
		defect:      func(s *sim) { s.defects.ignoreKills = true }, violation: "ran_cancelled"},

	{name: "jobs bound to one zone, arrays too, lose machines",
		workload: func(s *sim) {
			for i := range 16 {
				sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: "blue", Shape: []job.Shape{job.Array, job.Array, job.Gang, job.Service}[i%4], Priority: job.Normal,
					Tasks: 2 + i%4, CPUs: 2, GPUs: 0.5, MemoryGB: 8, OneZone: i%3 > 0, Spot: i%2 == 0}
				if i%3 == 0 {
					sp.Zone = []string{"a", "b"}[i%2]
				}
				s.submit(sp, 25+40*s.random.Float64(), 0)
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
							w.hungUntil = s.now + s.leaseTimes(0.5+s.random.Float64())
						default:
							w.unresponsiveUntil = s.now + s.leaseTimes(0.5+s.random.Float64())
						}
					})
					s.after(s.randomMillis(0, 6000), func() { s.busiestController().crash(s.randomMillis(500, 4000)) })
				})
			}
		},
		occurrences: func(s *sim) int { return s.faultCounts.affected / 5 },
		defect:      func(s *sim) { s.defects.wrongZones = true }, violation: "wrong_place"},

	{name: "all controllers are away for longer than the lease",
		workload: submitLongJobs(20), duration: 90 * time.Second,
		inject: func(s *sim) {
			s.cancelShare(0.2, 300*time.Millisecond, nil)
			s.after(350*time.Millisecond, func() {
				for _, n := range s.controllers {
					n.crash(s.leaseTimes(1.1 + 0.6*s.random.Float64()))
				}
			})
		},
		occurrences: func(s *sim) int { return s.faultCounts.expiredLeases },
		defect:      func(s *sim) { s.defects.ignoreLeaseExpiry = true }, violation: "ran_twice"},
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
