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

// Each meeting of troubles on the operators' page that has no test of its own elsewhere (docs/design.md, "Meetings of troubles",
// has the whole table) is a day here: brought about on purpose, on 3 and 5 controllers, with several
// seeds; counted, so that a day on which it did not take place fails; and broken on purpose, so that its checkers are seen to work.

type meetingDay struct {
	name  string
	load  func(s *sim)               // nil: jobs of all shapes
	bring func(s *sim)               // at 50 s
	over  time.Duration              // after that
	met   func(s *sim) int           // how often the meeting took place
	check func(t *testing.T, s *sim) // beside the rules; may be nil
	spoil func(s *sim)               // the defect
	rule  string                     // what a checker says of it
	world func(s *sim)               // before the day; may be nil
}

// longTasks submits jobs of all shapes whose tasks run for minutes.
func longTasks(n int) func(s *sim) {
	return func(s *sim) {
		for i := range n {
			sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "long", Team: []string{"red", "blue"}[i%2], Shape: job.Array, Priority: job.Normal, Tasks: 1 + i%3, CPUs: 2, GPUs: 0.5, MemoryGB: 8}
			switch i % 4 {
			case 1:
				sp.Shape, sp.Class, sp.Priority = job.Service, "svc", job.Production
			case 2:
				sp.Shape, sp.Class, sp.OneZone = job.Gang, "gng", i%8 == 2
			case 3:
				sp.OneZone, sp.Spread = i%8 == 3, i%8 == 7
			}
			s.submit(sp, 60+60*s.rnd.Float64(), 0)
		}
	}
}

// everybodyCancels has a share of the users call their jobs off within a time, by way of a node if one is given.
func (s *sim) everybodyCancels(share float64, within time.Duration, via *simNode) (n int) {
	for _, id := range sortedKeys(s.users) {
		if u := s.users[id]; u.accepted && !u.asked && u.final == "" && s.rnd.Float64() < share {
			n++
			u.via = via
			s.after(s.ms(0, 1000*within.Seconds()), u.cancel)
		}
	}
	return n
}

func (s *sim) others(n *simNode) (out []*simNode) {
	for _, o := range s.nodes {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// running counts tasks that are on machines for which want says so.
func (s *sim) running(want func(w *simWorker, u *simUser) bool) (n int) {
	for _, w := range s.work {
		for _, l := range w.loads {
			if u := s.users[l.id]; u != nil && l.on() && want(w, u) {
				n++
			}
		}
	}
	return n
}

// holds tells whether a controller holds a worker, by its own records.
func (n *simNode) holds(w *simWorker) bool {
	if n.core == nil {
		return false
	}
	m := n.core.machines.byID[w.name]
	return m != nil && n.core.isOwn(m)
}

func (s *sim) lease(times float64) time.Duration { return seconds(times * s.facts.Workers.Lease) }

var meetingDays = []meetingDay{
	{name: "a leader ends while machines with long tasks can't be reached",
		load: longTasks(14), over: 60 * time.Second,
		bring: func(s *sim) {
			l := s.busiest()
			for _, w := range s.cloud.sorted() {
				if w.up && l.holds(w) {
					s.met.changing += len(w.loads)
					w.hung = s.now + s.lease(0.4+0.8*s.rnd.Float64())
				}
			}
			l.crash(40 * time.Second)
			s.after(s.ms(0, 8000), func() { s.everybodyCancels(0.3, time.Second, nil) })
		},
		met:   func(s *sim) int { return s.met.changing },
		spoil: func(s *sim) { s.told.Workers.Lease = 2 }, rule: "ran_twice"},

	{name: "one-task jobs come four a second, a quarter of them cancelled",
		load: func(s *sim) { s.after(10*time.Second, func() { s.fourASecond(140 * time.Second) }) }, over: 110 * time.Second,
		bring: func(s *sim) { s.after(30*time.Second, func() { s.busiest().crash(2 * time.Second) }) },
		met:   func(s *sim) int { return len(s.users) / 500 },
		check: func(t *testing.T, s *sim) {
			late := 0
			for _, u := range s.users {
				if u.answeredAfter > 5*time.Second {
					late++
				}
			}
			if late > len(s.users)/20 {
				t.Errorf("%d of %d submissions took more than 5 s to be accepted", late, len(s.users))
			}
			if s.kv.refused > 60 {
				t.Errorf("the state service refused %d requests over its limits", s.kv.refused)
			}
			for _, n := range s.nodes {
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
		spoil: func(s *sim) { s.met.agrees, s.met.looks = true, true }, rule: ""},

	{name: "users ask at all nodes within milliseconds",
		over:  110 * time.Second,
		world: func(s *sim) { s.met.looks, s.met.endCancel = true, 0.3 },
		bring: func(s *sim) {
			s.anyNode().lag = s.now + 25*time.Second
			s.after(30*time.Second, func() { s.busiest().refused = s.now + 20*time.Second })
			s.after(55*time.Second, func() { s.busiest().crash(s.ms(200, 3000)); s.lateTxns = 0.2 })
			s.after(75*time.Second, func() { s.lateTxns = 0; s.loseAnswers(0.4, 20*time.Second) })
		},
		met:   func(s *sim) int { return s.met.asked / 500 },
		spoil: func(s *sim) { s.met.agrees = true }, rule: ""},

	{name: "a cancellation, a question or a repeated submission meets the end of the last task",
		over:  60 * time.Second,
		world: func(s *sim) { s.met.looks, s.met.endCancel = true, 0.9 },
		bring: func(s *sim) {},
		met:   func(s *sim) int { return s.met.atEnd / 5 },
		spoil: func(s *sim) { s.met.agrees = true }, rule: ""},

	{name: "a transaction is carried out at once and only its answer is lost",
		over:  100 * time.Second,
		world: func(s *sim) { s.met.looks = true },
		bring: func(s *sim) {
			s.met.byKind = map[string]int{}
			kinds := []string{keyJob, keyPage, keyTeam, keyClaim, keyDrain, keyRental, keyFleet, keyGang, keyMember}
			until := s.now + 90*time.Second
			// Up to twelve of each kind; crashes have others act on what was written.
			s.met.loses = func(n *simNode, t protocol.Txn) bool {
				for _, k := range kinds {
					often := 0.4
					if k == keyRental || k == keyClaim || k == keyDrain {
						often = 0.9 // there are few
					}
					if s.now < until && touches(t, k) && s.met.byKind[k] < 12 && s.rnd.Float64() < often {
						s.met.byKind[k]++
						return true
					}
				}
				return false
			}
			for _, at := range []time.Duration{12, 40, 70} {
				s.after(at*time.Second, func() { s.busiest().crash(s.ms(100, 3000)); s.everybodyCancels(0.2, 5*time.Second, nil) })
			}
		},
		met: func(s *sim) int {
			for _, k := range []string{keyJob, keyPage, keyClaim, keyRental, keyMember} {
				if s.met.byKind[k] == 0 {
					return 0
				}
			}
			return len(s.met.byKind)
		},
		spoil: func(s *sim) { s.kv.blind = true }, rule: ""},

	{name: "every team is at its limit, jobs are cancelled whose machines hang, and the leader changes",
		load: func(s *sim) {
			for i := range 24 {
				sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: []string{"red", "blue"}[i%2], Shape: job.Array, Priority: job.Normal, Tasks: 4, CPUs: 2, GPUs: 0.5, MemoryGB: 8}
				if i%4 < 2 {
					sp.Shape, sp.Class, sp.Tasks = job.Gang, "gng", 2
				}
				s.submit(sp, 50, 0)
			}
		},
		over: 70 * time.Second,
		world: func(s *sim) {
			s.facts.Teams = []config.Team{{Name: "red", GPUsMax: 5}, {Name: "blue", GPUsMax: 6}}
			s.told = s.facts
		},
		bring: func(s *sim) {
			l := s.busiest()
			for i, w := range s.cloud.sorted() {
				if !w.up || len(w.loads) == 0 {
					continue
				}
				s.met.changing++
				switch i % 3 {
				case 0:
					w.hung = s.now + s.lease(0.3+0.9*s.rnd.Float64())
				case 1:
					w.deaf = s.now + s.lease(0.3+1.2*s.rnd.Float64())
				}
			}
			z := s.facts.Zones[s.rnd.IntN(2)]
			for _, n := range s.nodes {
				n.cut["zone:"+z] = s.now + s.lease(1.3)
			}
			s.everybodyCancels(0.5, 2*time.Second, nil)
			s.after(s.ms(0, 3000), func() { l.crash(s.ms(500, 20_000)) })
			s.after(s.ms(15_000, 30_000), func() { s.busiest().crash(time.Second) })
		},
		met:   func(s *sim) int { return s.met.changing },
		spoil: func(s *sim) { s.told.Workers.Lease = 2 }, rule: "quota"},

	{name: "jobs are cancelled in the seconds in which one controller's work changes hands",
		load: longTasks(24), over: 90 * time.Second,
		world: func(s *sim) { s.met.handOver = 0.4 },
		bring: func(s *sim) {
			for i, n := range s.nodes {
				s.after(time.Duration(16*i)*time.Second, func() {
					n.cut["workers"] = s.now + 14*time.Second
					if i%2 == 0 {
						n.holding = s.now + 12*time.Second
					}
				})
			}
			s.after(5*time.Second, func() { s.load(100 * time.Second) })
		},
		met:   func(s *sim) int { return s.met.changing },
		spoil: func(s *sim) { s.met.noKills = true }, rule: "ran_cancelled"},

	{name: "new machines are up within two seconds and get work at once while writes lag, and the leader ends",
		over:  60 * time.Second,
		world: func(s *sim) { s.met.quickBoots = true },
		bring: func(s *sim) {
			s.met.writesLag = s.now + 45*time.Second
			for i := range 5 {
				s.after(time.Duration(9*i)*time.Second, func() {
					for j := range 6 {
						s.submit(&job.Spec{ID: fmt.Sprintf("wk-71%02d%02d", i, j), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 6, CPUs: 4, GPUs: 1, MemoryGB: 8, Spot: j%2 == 0}, 12, 0)
					}
					s.after(s.ms(0, 4000), func() {
						if l := s.leading(); l != nil {
							l.crash(s.ms(200, 5000))
						}
					})
				})
			}
		},
		met: func(s *sim) int { return s.met.early },
		check: func(t *testing.T, s *sim) {
			if s.met.inUse > 0 {
				t.Errorf("%d tasks ran on machines that were returned", s.met.inUse)
			}
			s.run(s.now + 3*time.Minute)
			for _, w := range s.cloud.sorted() {
				t.Errorf("%s is still paid for, up %v, nine minutes after the day", w.name, w.up)
			}
		},
		spoil: func(s *sim) { s.kv.blind = true }, rule: ""},

	{name: "an old report reaches every controller just as a new leader begins",
		load: longTasks(16), over: 90 * time.Second,
		world: func(s *sim) { s.met.kept = 0.4 },
		bring: func(s *sim) {
			for _, at := range []time.Duration{0, 25, 50} {
				s.after(at*time.Second, func() {
					l := s.busiest()
					for _, w := range s.cloud.sorted() { // some are in their next session by then
						if w.up && l.holds(w) && s.rnd.IntN(3) == 0 {
							w.deaf = s.now + s.lease(1.2)
						}
					}
					down := s.ms(300, 8000)
					l.crash(down)
					s.oldReports(6 * time.Second)
					s.after(down, func() { s.oldReports(500 * time.Millisecond) }) // before it has read the records, too
				})
			}
			s.after(75*time.Second, func() { s.met.kept = 0 })
			s.after(5*time.Second, func() { s.load(100 * time.Second) })
		},
		met:   func(s *sim) int { return s.met.delivered / 20 },
		spoil: func(s *sim) { s.met.forged = true }, rule: "not_done"},

	{name: "a report is held back until a new leader has acted, and then arrives there",
		load: longTasks(16), over: 80 * time.Second,
		bring: func(s *sim) {
			for _, at := range []time.Duration{0, 30} {
				s.after(at*time.Second, func() {
					s.met.held = 0.5
					s.after(4*time.Second, func() { s.busiest().crash(s.ms(5000, 20_000)) })
					s.after(20*time.Second, func() { s.met.held = 0 })
				})
			}
			s.after(5*time.Second, func() { s.load(100 * time.Second) })
		},
		met:   func(s *sim) int { return s.met.delivered },
		spoil: func(s *sim) { s.met.forged = true }, rule: "not_done"},

	{name: "there is more work than room, urgent and not, over slow links",
		load: func(s *sim) {
			for i := range 30 {
				sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Priority(i % 4), Tasks: 6, CPUs: 4, GPUs: 1, MemoryGB: 8}
				s.submit(sp, 18, 0)
			}
		},
		over:  70 * time.Second,
		world: func(s *sim) { s.met.short = true },
		bring: func(s *sim) {
			s.met.slow = s.now + 60*time.Second
			for _, u := range s.users {
				if u.accepted && u.begun < u.spec.Tasks {
					s.met.changing++
				}
			}
			s.after(20*time.Second, func() { s.busiest().crash(4 * time.Second) })
			s.after(25*time.Second, func() { s.everybodyCancels(0.2, 10*time.Second, nil) })
		},
		met:   func(s *sim) int { return s.met.changing / 5 },
		spoil: func(s *sim) { s.told.Workers.Lease = 2 }, rule: "ran_twice"},

	{name: "a zone with workers and a controller is cut off for longer than the lease",
		load: longTasks(20), over: 70 * time.Second,
		bring: func(s *sim) {
			in := s.nodes[0] // its zone is a
			until := s.now + max(s.lease(1.2), seconds((1+0.3*s.rnd.Float64())*s.facts.Workers.Cancel))
			for _, k := range []string{"state", "peers", "users", "cloud"} {
				in.cut[k] = until
			}
			for _, n := range s.nodes {
				for _, z := range s.facts.Zones {
					if n.zone == "a" != (z == "a") {
						n.cut["zone:"+z] = until
					}
				}
				if n.zone == "a" {
					for _, k := range []string{"state", "peers", "users", "cloud"} {
						n.cut[k] = until
					}
				}
			}
			s.met.changing = s.running(func(w *simWorker, _ *simUser) bool { return w.zone == "a" })
			s.everybodyCancels(0.4, 5*time.Second, nil)
		},
		met:   func(s *sim) int { return s.met.changing },
		spoil: func(s *sim) { s.told.Workers.Cancel = 10_000 }, rule: "ran_cancelled"},

	{name: "a leader is cut from state service and controllers, workers and users reach it, and jobs are cancelled through another",
		load: longTasks(20), over: 90 * time.Second,
		world: func(s *sim) { s.met.looks = true },
		bring: func(s *sim) {
			l := s.busiest()
			long := seconds(1.4 * s.facts.Workers.Cancel)
			l.cut["state"], l.cut["peers"] = s.now+long, s.now+long
			for _, o := range s.others(l) { // nor can its workers go elsewhere
				o.cut["workers"] = s.now + long
			}
			s.met.changing = s.running(func(w *simWorker, _ *simUser) bool { return l.holds(w) })
			s.after(3*time.Second, func() { s.everybodyCancels(0.5, 10*time.Second, s.others(l)[0]) })
		},
		met:   func(s *sim) int { return s.met.changing },
		spoil: func(s *sim) { s.told.Workers.Cancel = 10_000 }, rule: "ran_cancelled"},

	{name: "the state service is slow, refuses the leader, and then everybody for longer than cancel_s while users cancel and ask",
		load: longTasks(20), over: 130 * time.Second,
		world: func(s *sim) { s.met.looks = true },
		bring: func(s *sim) {
			for _, n := range s.nodes {
				n.lag = s.now + 20*time.Second
			}
			l := s.busiest()
			s.after(15*time.Second, func() { l.refused = s.now + 12*time.Second })
			s.after(16*time.Second, func() { s.met.changing = s.everybodyCancels(0.4, 14*time.Second, nil) })
			s.after(27*time.Second, func() { s.kv.down = s.now + seconds(1.2*s.facts.Workers.Cancel) })
			s.after(40*time.Second, func() { s.everybodyCancels(0.3, 30*time.Second, nil) })
		},
		met:   func(s *sim) int { return s.met.changing },
		spoil: func(s *sim) { s.kv.blind = true }, rule: ""},

	{name: "leaders change ten times in two minutes",
		load: longTasks(16), over: 130 * time.Second,
		world: func(s *sim) { s.met.looks = true },
		bring: func(s *sim) { s.tenChanges(); s.load(120 * time.Second) },
		met:   func(s *sim) int { return s.met.changes / 10 },
		spoil: func(s *sim) { s.met.agrees = true }, rule: ""},

	{name: "leaders change ten times in two minutes, inside an outage",
		load: longTasks(16), over: 150 * time.Second,
		bring: func(s *sim) {
			s.tenChanges()
			s.after(20*time.Second, func() { s.kv.down = s.now + 70*time.Second })
			s.after(30*time.Second, func() { s.everybodyCancels(0.3, 40*time.Second, nil) })
		},
		met:   func(s *sim) int { return s.met.changes / 10 },
		spoil: func(s *sim) { s.told.Workers.Lease = 2 }, rule: "ran_twice"},

	{name: "workers can't open connections, while direct commands reach them",
		load: longTasks(16), over: 90 * time.Second,
		bring: func(s *sim) {
			for i, at := range []time.Duration{0, 45} {
				s.after(at*time.Second, func() {
					s.someWorkers(0.6, func(w *simWorker) { w.mute = s.now + s.lease(0.2+1.6*s.rnd.Float64()) })
					if i == 1 {
						s.after(s.ms(0, 10_000), func() { s.busiest().crash(s.ms(500, 6000)) })
					}
					s.after(s.ms(0, 8000), func() { s.everybodyCancels(0.2, time.Second, nil) })
				})
			}
			s.after(time.Second, func() { s.load(90 * time.Second) })
		},
		met:   func(s *sim) int { return min(s.met.unopened/10, s.met.direct) },
		spoil: func(s *sim) { s.told.Workers.Lease = 2 }, rule: "ran_twice"},

	{name: "a command or its answer is held up for seconds, and the machine then goes on",
		load: longTasks(12), over: 90 * time.Second,
		bring: func(s *sim) {
			for _, at := range []time.Duration{0, 25, 50} {
				s.after(at*time.Second, func() {
					for _, n := range s.nodes {
						n.holding = s.now + s.ms(2000, 15_000)
					}
					s.someWorkers(0.4, func(w *simWorker) { w.hung = s.now + s.ms(2000, 800*s.facts.Workers.Lease) })
					s.everybodyCancels(0.2, 6*time.Second, nil)
					s.after(6*time.Second, func() { s.busiest().crash(time.Second) })
				})
			}
			s.load(110 * time.Second)
		},
		met:   func(s *sim) int { return s.met.heldUp / 3 },
		spoil: func(s *sim) { s.met.noKills = true }, rule: "ran_cancelled"},

	{name: "jobs that run are called off at once, and some of their machines hang",
		load: longTasks(24), over: 90 * time.Second,
		bring: func(s *sim) {
			for i, at := range []time.Duration{0, 40} {
				s.after(at*time.Second, func() {
					s.cancelNow(8, s.lease(0.3+0.6*s.rnd.Float64()))
					if i == 1 {
						s.after(s.ms(0, 2000), func() { s.busiest().crash(s.ms(500, 9000)) })
					}
				})
			}
			s.after(5*time.Second, func() { s.load(100 * time.Second) })
		},
		met:   func(s *sim) int { return s.met.hungNow },
		spoil: func(s *sim) { s.met.noKills = true }, rule: "ran_cancelled"},

	{name: "jobs bound to one zone, arrays too, lose machines",
		load: func(s *sim) {
			for i := range 16 {
				sp := &job.Spec{ID: fmt.Sprintf("wk-3%05d", i), Class: "arr", Team: "blue", Shape: []job.Shape{job.Array, job.Array, job.Gang, job.Service}[i%4], Priority: job.Normal,
					Tasks: 2 + i%4, CPUs: 2, GPUs: 0.5, MemoryGB: 8, OneZone: i%3 > 0, Spot: i%2 == 0}
				if i%3 == 0 {
					sp.Zone = []string{"a", "b"}[i%2]
				}
				s.submit(sp, 25+40*s.rnd.Float64(), 0)
			}
		},
		over: 70 * time.Second,
		bring: func(s *sim) {
			for i, at := range []time.Duration{0, 20, 40} {
				s.after(at*time.Second, func() {
					s.someWorkers(0.4, func(w *simWorker) {
						s.met.changing += len(w.loads)
						switch i {
						case 0:
							w.die()
							w.failed = true
						case 1:
							w.hung = s.now + s.lease(0.5+s.rnd.Float64())
						default:
							w.deaf = s.now + s.lease(0.5+s.rnd.Float64())
						}
					})
					s.after(s.ms(0, 6000), func() { s.busiest().crash(s.ms(500, 4000)) })
				})
			}
		},
		met:   func(s *sim) int { return s.met.changing / 5 },
		spoil: func(s *sim) { s.met.astray = true }, rule: "wrong_place"},

	{name: "all controllers are away for longer than the lease",
		load: longTasks(20), over: 90 * time.Second,
		bring: func(s *sim) {
			s.everybodyCancels(0.2, 300*time.Millisecond, nil)
			s.after(350*time.Millisecond, func() {
				for _, n := range s.nodes {
					n.crash(s.lease(1.1 + 0.6*s.rnd.Float64()))
				}
			})
		},
		met:   func(s *sim) int { return s.met.ended },
		spoil: func(s *sim) { s.met.noLease = true }, rule: "ran_twice"},
}

// tenChanges has the controller with the most workers end every ten seconds or so, and be back soon.
func (s *sim) tenChanges() {
	for i := range 11 {
		s.after(time.Duration(11*i)*time.Second, func() {
			s.met.changes++
			s.busiest().crash(s.ms(300, 9000))
		})
	}
}

// fourASecond submits one-task jobs, a quarter of which are cancelled.
func (s *sim) fourASecond(until time.Duration) {
	n := 0
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		cancel := time.Duration(0)
		if s.rnd.IntN(4) == 0 {
			cancel = s.ms(20, 5000)
		}
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-3%05d", n), Class: "arr", Team: []string{"red", "blue"}[n%2], Shape: job.Array, Priority: job.Priority(n % 3), Tasks: 1, CPUs: 1, GPUs: 0.25, MemoryGB: 2, Spot: true},
			2+4*s.rnd.Float64(), cancel)
		n++
		s.after(s.ms(150, 350), next)
	}
	next()
}

// play plays the day. Nothing is judged here but by the checkers that are always there.
func (d *meetingDay) play(t *testing.T, nodes int, seed uint64, spoil func(s *sim)) *sim {
	s := meetingSim(t, seed, meeting{nodes: nodes, workers: "well"})
	if d.world != nil {
		d.world(s)
	}
	if !s.met.short {
		for k := range s.cloud.free {
			s.cloud.free[k] *= 2
		}
	}
	if spoil != nil {
		spoil(s)
	}
	s.unordered = true
	s.traceTo(t, seed)
	s.after(time.Second, func() {
		if d.load != nil {
			d.load(s)
		} else {
			s.load(50*time.Second + d.over)
		}
	})
	s.after(50*time.Second, func() { d.bring(s) })
	s.knownFrom(50*time.Second + d.over)
	return s
}

// TestMeetingDays plays each, SIM_DAYS of them with other seeds.
func TestMeetingDays(t *testing.T) {
	k := len(meetingDays)
	drawnDays(t, 0, 4*k, func(t *testing.T, i uint64) {
		d, nodes := &meetingDays[int(i)%k], 3+2*int(i/uint64(k)%2)
		s := d.play(t, nodes, 46_000+i, nil)
		s.finish(t, 60*time.Second+d.over)
		s.judgeServed()
		s.report(t)
		if d.check != nil {
			d.check(t, s)
		}
		if d.met(s) == 0 {
			t.Errorf("it did not take place: %+v", s.met)
		}
		if s.met.lateStarts > 0 {
			t.Logf("%d tasks began after their job's cancellation was confirmed", s.met.lateStarts)
		}
		if t.Failed() {
			t.Log(d.name)
		}
	})
}

// TestMeetingDaysAreJudged breaks each day on purpose and has a checker say so.
func TestMeetingDaysAreJudged(t *testing.T) {
	for i := range meetingDays {
		d := &meetingDays[i]
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			said := ""
			for seed := uint64(47_000); seed < 47_008; seed++ {
				s := d.play(t, 3, seed, d.spoil)
				s.run(3*time.Minute + d.over)
				if all := strings.Join(s.broken, "\n"); strings.Contains(all, d.rule) && all != "" {
					return
				} else if said == "" {
					said = all
				}
			}
			t.Errorf("no checker said %q, but %q", d.rule, said)
		})
	}
}
