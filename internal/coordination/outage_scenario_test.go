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

// The day on which two troubles meet at the cancel horizon: the state service refuses the
// controller that holds most workers, alone; another one confirms cancellations to users; then
// the state service is down for all, for longer than cancel_s, while the workers keep to the
// old controller. The tasks run for many minutes and end by nothing else.
type outageScenario struct {
	controllers     int
	links           string // between controllers: "up", "refused" for the length of the day, "third" (the two reach one another by way of a third alone)
	cancelWhen      string // the cancellations are confirmed: "before" the refusal, "during" it, at its very "end", or "unanswered": committed by a transaction whose answer is lost
	confirmerFate   string // what becomes of the confirming controller: "lives", "dead" until the end, "restarted" at once and unable to read
	leader          string // the old one: "well", "frozen" or "restarted" in the middle
	workers         string // "well", "hung", "deaf", "partly" deaf, or they report "rarely"
	delayedLaunches bool   // direct launches of jobs that are cancelled come after more than cancel_s
	checkpointing   bool   // the gangs are saving, and take long
	stayWithHolder  bool   // no worker reaches another controller
	shortCancel     bool   // cancel_s is hardly longer than lease_s
	simultaneous    bool   // the cancellations come at the very moment of the refusal, and the outage a second later

	defect func(s *sim) // breaks something on purpose; nil: nothing
}

func (m outageScenario) String() string {
	return fmt.Sprintf("{nodes:%d links:%s when:%s after:%s leader:%s workers:%s held:%v saving:%v stay:%v shortest:%v moment:%v}",
		m.controllers, m.links, m.cancelWhen, m.confirmerFate, m.leader, m.workers, m.delayedLaunches, m.checkpointing, m.stayWithHolder, m.shortCancel, m.simultaneous)
}

// dimensions are the values of a meeting's fields.
var scenarioValues = struct{ links, when, after, leader, workers []string }{
	[]string{"up", "refused", "third"}, []string{"before", "during", "end", "unanswered"}, []string{"lives", "dead", "restarted"},
	[]string{"well", "frozen", "restarted"}, []string{"well", "hung", "deaf", "partly", "rarely"},
}

// outcome is what such a day came to.
type outcome struct {
	confirmed     int
	longestActive time.Duration // from a confirmation to the last task gone
	leaseKills    int           // of the old controller's tasks, jobs that nobody cancelled, on machines that were well: killed by leases
	survivors     int           // and those that run on at the end
}

// meetingSim is a calm site whose controllers' and workers' clocks are apart by what PROTOCOL allows.
func newOutageSim(t testing.TB, seed uint64, m outageScenario) *sim {
	s := newSim(t, seed, 0)
	for i := 3; i < m.controllers; i++ {
		n := newSimController(s, i)
		s.controllers = append(s.controllers, n)
		s.after(s.randomMillis(0, 500), n.start)
	}
	s.facts.Count = len(s.controllers)
	s.facts.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 30}, {Name: "blue"}}
	s.facts.Limits.MaxSockets = 400
	w := &s.facts.Workers
	w.Lease = 12 + 24*s.random.Float64()
	w.Report = w.Lease / (4 + 3*s.random.Float64())
	if m.workers == "rarely" {
		w.Report = w.Lease / 2.5
	}
	w.Cancel = w.Lease * (1.3 + 1.5*s.random.Float64())
	if m.shortCancel {
		w.Cancel = w.Lease*1.02 + 4
	}
	s.advertised = s.facts
	if m.defect != nil {
		m.defect(s)
	}
	for _, n := range s.controllers {
		n.clockDrift = 0.0005 * (2*s.random.Float64() - 1)
	}
	return s
}

// play plays the day.
func (m outageScenario) play(t *testing.T, seed uint64) (*sim, outcome) {
	s := newOutageSim(t, seed, m)
	s.traceDay(t, seed)
	long, n := 3600.0, 0
	submit := func(shape job.Shape, p job.Priority, tasks int) {
		n++
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", n), Class: "long", Team: []string{"red", "blue"}[n%2], Shape: shape, Priority: p, Tasks: tasks, CPUs: 2, GPUs: 0.5, MemoryGB: 8}, long, 0)
	}
	for range 4 {
		submit(job.Service, job.Production, 3)
		submit(job.Array, job.Low, 5)
		submit(job.Gang, job.High, 2)
	}
	s.followCancelled()
	refusedFor := 25 * time.Second
	if m.simultaneous {
		refusedFor = time.Second
	}
	s.run(55 * time.Second)
	leader := s.busiestController()
	var others []*simController
	for _, o := range s.controllers {
		if o != leader {
			others = append(others, o)
		}
	}
	confirms := others[s.random.IntN(len(others))]
	at, end := 60*time.Second, 60*time.Second+refusedFor
	outage := seconds(1.3 * s.facts.Workers.Cancel)
	if m.delayedLaunches {
		s.after(0, func() {
			leader.commandsDelayedUntil = end + seconds(1.1*s.facts.Workers.Cancel)
			for range 3 {
				submit(job.Array, job.Normal, 4)
			}
		})
	}
	s.after(at-s.now, func() {
		for _, w := range s.cloud.sortedMachines() {
			m := leader.core.machines.byID[w.name]
			w.observed = m != nil && leader.core.isOwn(m)
		}
		leader.refusedUntil = end
		for _, o := range others {
			if m.stayWithHolder {
				o.unreachableUntil["workers"] = end + outage
			}
		}
		for _, a := range s.controllers {
			for _, b := range s.controllers {
				if a != b && (m.links == "refused" || m.links == "third" && (a == leader && b == confirms || a == confirms && b == leader)) {
					a.unreachableUntil["to:"+b.name] = end + outage
				}
			}
		}
	})
	when := map[string]time.Duration{"before": at - s.randomMillis(0, 60), "during": at + refusedFor/2, "end": end - s.randomMillis(0, 100), "unanswered": end - s.randomMillis(100, 4000)}[m.cancelWhen]
	if m.simultaneous {
		when = at + s.randomMillis(-20, 20)
	}
	s.after(when-s.now, func() {
		if m.cancelWhen == "unanswered" {
			confirms.repliesLostUntil = s.now + 2*time.Second
		}
		for i, id := range sortedKeys(s.users) {
			if u := s.users[id]; i%2 == 0 || i > 12 {
				u.cancelVia = confirms
				u.cancel()
			}
		}
	})
	var told func()
	told = func() {
		for _, u := range s.users {
			if u.cancelledAt > 0 {
				down := s.randomMillis(300, 3000)
				if m.confirmerFate == "dead" {
					down = end + outage - s.now
				}
				s.after(s.randomMillis(0, 300), func() {
					if m.confirmerFate == "restarted" {
						confirms.unreachableUntil["state"] = s.now + down + 10*time.Second // it is back, and can't read
					}
					confirms.crash(down)
				})
				return
			}
		}
		s.after(10*time.Millisecond, told)
	}
	if m.confirmerFate != "lives" {
		told()
	}
	s.after(end-s.now, func() { s.state.downUntil = end + outage })
	s.after(end+s.randomMillis(0, 6000)-s.now, func() {
		switch m.leader {
		case "frozen":
			leader.pausedUntil = s.now + s.randomMillis(3000, 20_000)
		case "restarted":
			leader.crash(s.randomMillis(200, 4000))
		}
		for i, w := range s.cloud.sortedMachines() {
			switch {
			case !w.observed:
			case m.workers == "hung" && i%2 == 0:
				w.hungUntil = s.now + s.randomMillis(2000, 700*s.facts.Workers.Lease)
			case m.workers == "deaf" && i%2 == 0:
				w.unresponsiveUntil = s.now + s.randomMillis(5000, 2000*s.facts.Workers.Lease)
			case m.workers == "partly":
				w.messageLoss = 0.5
			}
			for _, l := range w.tasks {
				if u := s.users[l.jobID]; m.checkpointing && u != nil && u.spec.Shape == job.Gang && l.status == protocol.TaskRunning {
					l.status = protocol.TaskCheckpointing
				}
			}
		}
	})
	s.run(end + outage + 5*time.Second)
	var o outcome
	for _, u := range s.users {
		if u.cancelledAt > 0 {
			o.confirmed++
			o.longestActive = max(o.longestActive, u.lastActiveAt-u.cancelledAt)
		}
	}
	for _, w := range s.workers {
		for _, l := range w.tasks {
			if u := s.users[l.jobID]; w.observed && u != nil && l.isActive() && !u.cancelRequested {
				o.survivors++
			}
		}
	}
	o.leaseKills = s.counts.leaseKills
	return s, o
}

// draw draws a meeting.
func drawScenario(s *sim) outageScenario {
	one := func(of []string) string { return of[s.random.IntN(len(of))] }
	coin := func() bool { return s.random.IntN(2) == 0 }
	return outageScenario{3 + 2*s.random.IntN(2), one(scenarioValues.links), one(scenarioValues.when), one(scenarioValues.after), one(scenarioValues.leader), one(scenarioValues.workers), coin(), coin(), coin(), s.random.IntN(4) == 0, s.random.IntN(3) == 0, nil}
}

// judge fails the test if a rule broke, and tells how near the day came to cancel_s.
func (m outageScenario) judge(t *testing.T, s *sim, o outcome) {
	t.Helper()
	for _, b := range s.violations {
		t.Error(b)
	}
	limit := seconds(s.facts.Workers.Cancel)
	if o.longestActive > limit {
		t.Errorf("a task is there %v after its job's cancellation was confirmed, cancel_s is %v", o.longestActive, limit)
	}
	t.Logf("%s: %d confirmed, the last task gone after %.1f s of %.1f (lease_s %.1f, report_s %.1f); %d killed for caution, %d run on",
		m, o.confirmed, o.longestActive.Seconds(), limit.Seconds(), s.facts.Workers.Lease, s.facts.Workers.Report, o.leaseKills, o.survivors)
}

// TestRefusedThenDown plays the day with each of its variants alone, and then with drawn
// ones of all; SIM_DAYS plays more of those.
func TestRefusedThenDown(t *testing.T) {
	usual := outageScenario{3, "up", "during", "lives", "well", "well", false, false, true, false, false, nil}
	var all []outageScenario
	for _, d := range []struct {
		values []string
		set    func(m *outageScenario, v string)
	}{
		{scenarioValues.links, func(m *outageScenario, v string) { m.links = v }},
		{scenarioValues.links, func(m *outageScenario, v string) { m.links, m.stayWithHolder = v, false }},
		{scenarioValues.when, func(m *outageScenario, v string) { m.cancelWhen = v }},
		{scenarioValues.after, func(m *outageScenario, v string) { m.confirmerFate = v }},
		{scenarioValues.leader, func(m *outageScenario, v string) { m.leader = v }},
		{scenarioValues.workers, func(m *outageScenario, v string) { m.workers = v }},
	} {
		for _, v := range d.values {
			m := usual
			d.set(&m, v)
			all = append(all, m)
		}
	}
	for i := range 4 {
		m := usual
		m.delayedLaunches, m.checkpointing, m.shortCancel, m.simultaneous = i == 0, i == 1, i == 2, i == 3
		all = append(all, m)
	}
	for _, links := range scenarioValues.links {
		m := usual
		m.simultaneous, m.links, m.delayedLaunches = true, links, true
		all = append(all, m)
	}
	for i, m := range all {
		for _, nodes := range []int{3, 5} {
			m.controllers = nodes
			t.Run(fmt.Sprintf("%d %d", i, nodes), func(t *testing.T) {
				t.Parallel()
				s, o := m.play(t, uint64(20_000+i))
				m.judge(t, s, o)
				if o.confirmed == 0 {
					t.Error("nothing was confirmed: the day is none")
				}
			})
		}
	}
	runSeeds(t, 21_000, 40, func(t *testing.T, seed uint64) {
		m := drawScenario(newSim(t, seed, 0))
		s, o := m.play(t, seed)
		m.judge(t, s, o)
	})
}

// TestTheMeetingIsJudged breaks what the day stands on, one thing at a time, and has the checker find it.
func TestTheMeetingIsJudged(t *testing.T) {
	base := outageScenario{3, "up", "during", "lives", "well", "well", false, false, true, false, false, nil}
	for _, v := range []struct {
		name  string
		m     func(m *outageScenario)
		spoil func(s *sim)
	}{
		{"cancellations are believed to have ages", func(m *outageScenario) { m.confirmerFate, m.links = "dead", "refused" }, func(s *sim) { s.advertised.Workers.Cancel = 10_000 }},
		{"peers name no cancellations, and nobody carries calls", func(*outageScenario) {}, func(s *sim) { s.defects.noCancellationReplies, s.defects.noRelays = true, true }},
	} {
		t.Run(v.name, func(t *testing.T) {
			for seed := uint64(23_000); seed < 23_012; seed++ {
				m := base
				v.m(&m)
				m.defect = v.spoil
				s, o := m.play(t, seed)
				if o.longestActive > seconds(s.facts.Workers.Cancel) && strings.Contains(strings.Join(s.violations, ""), "ran_cancelled") {
					return
				}
			}
			t.Error("the checker saw no cancelled task that lived on")
		})
	}
}
