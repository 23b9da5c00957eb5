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

// outageScenario is a simulated day on which two faults of the state service follow one another so closely that a
// cancellation may miss its deadline, cancel_s. First the state service refuses only the leader, the controller with the most
// workers, while another controller confirms cancellations to users. Then the state service is down for all controllers, for
// longer than cancel_s, while the workers stay with the leader. The tasks run for an hour, so within the day they end only
// when they are stopped.
type outageScenario struct {
	controllers     int
	links           string // between controllers: "up", "refused" until the outage ends, "third" (leader and confirmer reach each other only via a third)
	cancelWhen      string // cancellations are confirmed "before" or "during" the refusal, at its "end", or "unanswered": their transaction's answer is lost
	confirmerFate   string // of the confirming controller: "lives", "dead" until the end, "restarted" at once and unable to read the records
	leader          string // state of the refused controller: "well", or "frozen" or "restarted" during the outage
	workers         string // "well", "hung", "deaf" (unresponsive), "partly" unresponsive, or sending heartbeats "rarely"
	delayedLaunches bool   // direct launches of cancelled jobs arrive after more than cancel_s
	checkpointing   bool   // the gangs are saving a checkpoint, which takes long
	stayWithOwner   bool   // no worker reaches a controller other than its own
	shortCancel     bool   // cancel_s is only a little longer than lease_s
	simultaneous    bool   // the cancellations come within 20 ms of the refusal, and the outage a second later

	defect func(s *sim) // breaks the simulation or the controllers on purpose; may be nil
}

func (m outageScenario) String() string {
	return fmt.Sprintf("{controllers:%d links:%s cancelWhen:%s confirmerFate:%s leader:%s workers:%s delayedLaunches:%v checkpointing:%v stayWithOwner:%v shortCancel:%v simultaneous:%v}",
		m.controllers, m.links, m.cancelWhen, m.confirmerFate, m.leader, m.workers, m.delayedLaunches, m.checkpointing, m.stayWithOwner, m.shortCancel, m.simultaneous)
}

// usualOutage is the scenario without other faults than the refusal and the outage.
var usualOutage = outageScenario{
	controllers: 3, links: "up", cancelWhen: "during", confirmerFate: "lives", leader: "well", workers: "well", stayWithOwner: true,
}

// scenarioValues lists the possible values of a scenario's fields.
var scenarioValues = struct{ links, cancelWhen, confirmerFate, leader, workers []string }{
	links:         []string{"up", "refused", "third"},
	cancelWhen:    []string{"before", "during", "end", "unanswered"},
	confirmerFate: []string{"lives", "dead", "restarted"},
	leader:        []string{"well", "frozen", "restarted"},
	workers:       []string{"well", "hung", "deaf", "partly", "rarely"},
}

// outcome is the result of a simulated scenario.
type outcome struct {
	confirmed     int
	longestActive time.Duration // longest time from a confirmation to the end of the job's last task
	leaseKills    int           // tasks killed by lease expiry on healthy machines of the refused controller, although nobody cancelled their jobs
	survivors     int           // tasks still active at the end on machines of the refused controller, in jobs that nobody cancelled
}

// newOutageSim returns a simulation without random faults, in which each controller's clock drifts at a random rate within the
// protocol's limit.
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
	w.Heartbeat = w.Lease / (4 + 3*s.random.Float64())
	if m.workers == "rarely" {
		w.Heartbeat = w.Lease / 2.5
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

// outageDay is a scenario while it is simulated.
type outageDay struct {
	outageScenario
	s            *sim
	jobs         int            // submitted
	leader       *simController // the controller that is refused
	others       []*simController
	confirmer    *simController // confirms the cancellations
	refusedAt    time.Duration
	outageAt     time.Duration // when the refusal ends and the outage begins
	outageEndsAt time.Duration
}

// simulate simulates the scenario.
func (m outageScenario) simulate(t *testing.T, seed uint64) (*sim, outcome) {
	s := newOutageSim(t, seed, m)
	s.traceDay(t, seed)
	day := &outageDay{outageScenario: m, s: s}
	for range 4 {
		day.submit(job.Service, job.Production, 3)
		day.submit(job.Array, job.Low, 5)
		day.submit(job.Gang, job.High, 2)
	}
	s.recordCancelledActivity()
	s.run(55 * time.Second)
	day.pickControllers()
	day.refusedAt, day.outageAt = 60*time.Second, 85*time.Second
	if m.simultaneous {
		day.outageAt = day.refusedAt + time.Second
	}
	day.outageEndsAt = day.outageAt + seconds(1.3*s.facts.Workers.Cancel)
	if m.delayedLaunches {
		s.after(0, day.delayLaunches)
	}
	s.after(day.refusedAt-s.now, day.refuseLeader)
	s.after(day.randomCancellationTime()-s.now, day.cancelJobs)
	if m.confirmerFate != "lives" {
		day.crashConfirmerOnceConfirmed()
	}
	s.after(day.outageAt-s.now, func() { s.state.downUntil = day.outageEndsAt })
	s.after(day.outageAt+s.randomMillis(0, 6000)-s.now, day.injectDuringOutage)
	s.run(day.outageEndsAt + 5*time.Second)
	return s, day.outcome()
}

// submit submits a job whose tasks run for an hour.
func (d *outageDay) submit(shape job.Shape, priority job.Priority, tasks int) {
	d.jobs++
	d.s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", d.jobs), Class: "long", Team: []string{"red", "blue"}[d.jobs%2], Shape: shape, Priority: priority,
		Tasks: tasks, CPUs: 2, GPUs: 0.5, MemoryGB: 8}, 3600, 0)
}

func (d *outageDay) pickControllers() {
	d.leader = d.s.busiestController()
	d.others = d.s.otherControllers(d.leader)
	d.confirmer = d.others[d.s.random.IntN(len(d.others))]
}

// delayLaunches submits new jobs and delays their launches by more than cancel_s.
func (d *outageDay) delayLaunches() {
	d.leader.commandsDelayedUntil = d.outageAt + seconds(1.1*d.s.facts.Workers.Cancel)
	for range 3 {
		d.submit(job.Array, job.Normal, 4)
	}
}

// refuseLeader makes the state service refuse the leader, and cuts the scenario's links.
func (d *outageDay) refuseLeader() {
	for _, w := range d.s.cloud.sortedMachines() {
		w.observed = d.leader.owns(w)
	}
	d.leader.refusedUntil = d.outageAt
	if d.stayWithOwner {
		for _, n := range d.others {
			n.unreachableUntil["workers"] = d.outageEndsAt
		}
	}
	for _, from := range d.s.controllers {
		for _, to := range d.s.controllers {
			between := from == d.leader && to == d.confirmer || from == d.confirmer && to == d.leader
			if from != to && (d.links == "refused" || d.links == "third" && between) {
				from.unreachableUntil["to:"+to.name] = d.outageEndsAt
			}
		}
	}
}

// randomCancellationTime draws a time for every value of cancelWhen, so that scenarios with the same seed differ in nothing else.
func (d *outageDay) randomCancellationTime() time.Duration {
	at := map[string]time.Duration{
		"before":     d.refusedAt - d.s.randomMillis(0, 60),
		"during":     d.refusedAt + (d.outageAt-d.refusedAt)/2,
		"end":        d.outageAt - d.s.randomMillis(0, 100),
		"unanswered": d.outageAt - d.s.randomMillis(100, 4000),
	}[d.cancelWhen]
	if d.simultaneous {
		at = d.refusedAt + d.s.randomMillis(-20, 20)
	}
	return at
}

// cancelJobs cancels half of the jobs, and all those whose launches are delayed.
func (d *outageDay) cancelJobs() {
	if d.cancelWhen == "unanswered" {
		d.confirmer.repliesLostUntil = d.s.now + 2*time.Second
	}
	for i, id := range sortedKeys(d.s.users) {
		if u := d.s.users[id]; i%2 == 0 || i > 12 {
			u.cancelVia = d.confirmer
			u.cancel()
		}
	}
}

// crashConfirmerOnceConfirmed crashes the confirming controller soon after it has confirmed a cancellation to a user.
func (d *outageDay) crashConfirmerOnceConfirmed() {
	s := d.s
	for _, u := range s.users {
		if u.cancelledAt == 0 {
			continue
		}
		down := s.randomMillis(300, 3000)
		if d.confirmerFate == "dead" {
			down = d.outageEndsAt - s.now
		}
		s.after(s.randomMillis(0, 300), func() {
			if d.confirmerFate == "restarted" {
				d.confirmer.unreachableUntil["state"] = s.now + down + 10*time.Second // it can't read the records when it is back
			}
			d.confirmer.crash(down)
		})
		return
	}
	s.after(10*time.Millisecond, d.crashConfirmerOnceConfirmed)
}

// injectDuringOutage injects the faults of the leader and its workers.
func (d *outageDay) injectDuringOutage() {
	s := d.s
	switch d.outageScenario.leader {
	case "frozen":
		d.leader.pausedUntil = s.now + s.randomMillis(3000, 20_000)
	case "restarted":
		d.leader.crash(s.randomMillis(200, 4000))
	}
	for i, w := range s.cloud.sortedMachines() {
		switch {
		case !w.observed:
		case d.workers == "hung" && i%2 == 0:
			w.hungUntil = s.now + s.randomMillis(2000, 700*s.facts.Workers.Lease)
		case d.workers == "deaf" && i%2 == 0:
			w.unresponsiveUntil = s.now + s.randomMillis(5000, 2000*s.facts.Workers.Lease)
		case d.workers == "partly":
			w.messageLoss = 0.5
		}
		for _, task := range w.tasks {
			if u := s.users[task.jobID]; d.checkpointing && u != nil && u.spec.Shape == job.Gang && task.status == protocol.TaskRunning {
				task.status = protocol.TaskCheckpointing
			}
		}
	}
}

func (d *outageDay) outcome() outcome {
	o := outcome{leaseKills: d.s.counts.leaseKills}
	for _, u := range d.s.users {
		if u.cancelledAt > 0 {
			o.confirmed++
			o.longestActive = max(o.longestActive, u.lastActiveAt-u.cancelledAt)
		}
	}
	o.survivors = d.s.countRunning(func(w *simWorker, u *simUser) bool { return w.observed && !u.cancelRequested })
	return o
}

// randomScenario returns a scenario with random values.
func randomScenario(s *sim) outageScenario {
	one := func(of []string) string { return of[s.random.IntN(len(of))] }
	coin := func() bool { return s.random.IntN(2) == 0 }
	return outageScenario{ // the order of the fields is the order of the random numbers
		controllers:     3 + 2*s.random.IntN(2),
		links:           one(scenarioValues.links),
		cancelWhen:      one(scenarioValues.cancelWhen),
		confirmerFate:   one(scenarioValues.confirmerFate),
		leader:          one(scenarioValues.leader),
		workers:         one(scenarioValues.workers),
		delayedLaunches: coin(),
		checkpointing:   coin(),
		stayWithOwner:   coin(),
		shortCancel:     s.random.IntN(4) == 0,
		simultaneous:    s.random.IntN(3) == 0,
	}
}

// checkOutcome fails the test if a rule was broken, and logs how close the longest active cancelled task came to cancel_s.
func (m outageScenario) checkOutcome(t *testing.T, s *sim, o outcome) {
	t.Helper()
	for _, violation := range s.violations {
		t.Error(violation)
	}
	limit := seconds(s.facts.Workers.Cancel)
	if o.longestActive > limit {
		t.Errorf("a task was active %v after its job's cancellation was confirmed; cancel_s is %v", o.longestActive, limit)
	}
	t.Logf("%s: %d confirmed, the last task ended after %.1f s of %.1f (lease_s %.1f, report_s %.1f); %d other tasks killed by leases, %d still run",
		m, o.confirmed, o.longestActive.Seconds(), limit.Seconds(), s.facts.Workers.Lease, s.facts.Workers.Heartbeat, o.leaseKills, o.survivors)
}

// TestRefusedThenDown guards against tasks that stay active for longer than cancel_s after the cancellation of their job
// was confirmed. It simulates the usual scenario with one field changed at a time, to each of its values, and then 40
// random scenarios, or as many as SIM_DAYS says.
func TestRefusedThenDown(t *testing.T) {
	usual := usualOutage
	var all []outageScenario
	for _, d := range []struct {
		values []string
		set    func(m *outageScenario, v string)
	}{
		{scenarioValues.links, func(m *outageScenario, v string) { m.links = v }},
		{scenarioValues.links, func(m *outageScenario, v string) { m.links, m.stayWithOwner = v, false }},
		{scenarioValues.cancelWhen, func(m *outageScenario, v string) { m.cancelWhen = v }},
		{scenarioValues.confirmerFate, func(m *outageScenario, v string) { m.confirmerFate = v }},
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
		for _, controllers := range []int{3, 5} {
			m.controllers = controllers
			t.Run(fmt.Sprintf("%d %d", i, controllers), func(t *testing.T) {
				t.Parallel()
				s, o := m.simulate(t, uint64(20_000+i))
				m.checkOutcome(t, s, o)
				if o.confirmed == 0 {
					t.Error("no cancellation was confirmed: the scenario did not occur")
				}
			})
		}
	}
	runSeeds(t, 21_000, 40, func(t *testing.T, seed uint64) {
		m := randomScenario(newSim(t, seed, 0))
		s, o := m.simulate(t, seed)
		m.checkOutcome(t, s, o)
	})
}

// TestTheMeetingIsJudged breaks the mechanisms that end cancelled tasks in time in this scenario, and checks that the
// checker detects tasks that stay active for too long.
func TestTheMeetingIsJudged(t *testing.T) {
	base := usualOutage
	for _, v := range []struct {
		name   string
		change func(m *outageScenario)
		defect func(s *sim)
	}{
		{"cancellations are believed to have ages", func(m *outageScenario) { m.confirmerFate, m.links = "dead", "refused" }, func(s *sim) { s.advertised.Workers.Cancel = 10_000 }},
		{"peers name no cancellations, and nobody carries calls", func(*outageScenario) {}, func(s *sim) { s.defects.noCancellationReplies, s.defects.noRelays = true, true }},
	} {
		t.Run(v.name, func(t *testing.T) {
			for seed := uint64(23_000); seed < 23_012; seed++ {
				m := base
				v.change(&m)
				m.defect = v.defect
				s, o := m.simulate(t, seed)
				if o.longestActive > seconds(s.facts.Workers.Cancel) && strings.Contains(strings.Join(s.violations, ""), "ran_cancelled") {
					return
				}
			}
			t.Error("the checker found no cancelled task that was active for longer than cancel_s")
		})
	}
}
