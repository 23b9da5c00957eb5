package coordination

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
)

// failoverResult is the outcome of a simulation in which one controller crashes for good, or all
// crash for a few seconds.
type failoverResult struct {
	workers       int           // workers owned by the controllers that crashed
	changes       int           // claims and failover records written within a minute of the crash
	failovers     int           // failover records among the changes
	halfAnswered  time.Duration // time until half of the workers were answered
	mostAnswered  time.Duration // time until nine tenths of them were answered
	allAnswered   time.Duration // time until 99% of them were answered
	expiredLeases int           // leases that expired on workers with tasks
}

func (d failoverResult) String() string {
	return fmt.Sprintf("%d workers, %d changes (%d failovers), answered after %.1f, %.1f, %.1f s (half, 90%%, 99%%), %d leases ended with tasks",
		d.workers, d.changes, d.failovers, d.halfAnswered.Seconds(), d.mostAnswered.Seconds(), d.allAnswered.Seconds(), d.expiredLeases)
}

// newMultipliedSim returns a large deployment with a multiple of its usual machines and work.
func newMultipliedSim(t *testing.T, seed uint64, multiple int) *sim {
	t.Helper()
	s := newLargeDeploymentSim(t, seed)
	for k := range s.cloud.capacity {
		s.cloud.capacity[k] *= multiple
	}
	for i := range s.facts.Teams {
		s.facts.Teams[i].GPUsMax *= float64(multiple)
	}
	s.advertised = s.facts
	for i := range multiple {
		s.submitLargeLoadFrom(10_000*i, 100*time.Second)
	}
	return s
}

// workersOwnedBy returns the workers that are up and owned by one of the controllers.
func (s *sim) workersOwnedBy(controllers []*simController) map[*simWorker]bool {
	workers := map[*simWorker]bool{}
	for _, n := range controllers {
		for _, m := range n.core.machines.own {
			if w := s.cloud.machines[m.id]; w != nil && w.up {
				workers[w] = true
			}
		}
	}
	return workers
}

// measureAnswerTimes simulates a minute and returns the times after which the workers were answered,
// in ascending order. Workers that were answered or are no longer up are removed from workers, so
// that it contains those without an answer in the end.
func (s *sim) measureAnswerTimes(workers map[*simWorker]bool) []time.Duration {
	startedAt := s.now
	var answered []time.Duration
	var observe func()
	observe = func() {
		for w := range workers {
			switch {
			case !w.up:
				delete(workers, w)
			case w.lastAnsweredAt > startedAt:
				answered = append(answered, s.now-startedAt)
				delete(workers, w)
			}
		}
		if s.now < startedAt+time.Minute {
			s.after(100*time.Millisecond, observe)
		}
	}
	observe()
	s.run(startedAt + time.Minute)
	slices.Sort(answered)
	return answered
}

// simulateFailover simulates a large deployment with a multiple of its usual machines and work. The
// first controller crashes for good or, if all is set, all controllers crash for some seconds. If
// grouped is set, workers fail over in groups, otherwise one by one.
func simulateFailover(t *testing.T, seed uint64, multiple int, grouped, all bool) failoverResult {
	t.Helper()
	s := newMultipliedSim(t, seed, multiple)
	s.options.perWorkerFailover = !grouped
	s.run(120 * time.Second)
	crashing := s.controllers[:1]
	downtime := time.Hour
	if all {
		crashing = s.controllers
		downtime = 3 * time.Second
	}
	lost := s.workersOwnedBy(crashing)
	before := s.faultCounts
	for _, n := range crashing {
		n.crash(downtime)
	}
	answered := s.measureAnswerTimes(lost)
	workers := len(answered) + len(lost) // without those whose machines were deleted in the meantime
	answeredAt := func(share float64) time.Duration {
		i := int(share*float64(workers)+0.5) - 1
		if i < 0 || i >= len(answered) {
			return time.Minute
		}
		return answered[i]
	}
	s.reportViolations(t)
	failovers := s.faultCounts.groupFailovers - before.groupFailovers
	return failoverResult{
		workers:       workers,
		changes:       failovers + s.faultCounts.replacedClaims - before.replacedClaims,
		failovers:     failovers,
		halfAnswered:  answeredAt(0.5),
		mostAnswered:  answeredAt(0.9),
		allAnswered:   answeredAt(0.99),
		expiredLeases: s.faultCounts.expiredLeases - before.expiredLeases,
	}
}

// machineMultiples returns the multiples of the machines with which TestGroupTakeover runs: those
// of SIM_TIMES, or 3.
func machineMultiples(t *testing.T) []int {
	t.Helper()
	list := os.Getenv("SIM_TIMES")
	if list == "" {
		return []int{3}
	}
	var out []int
	for _, field := range strings.Split(list, ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, n)
	}
	return out
}

// TestGroupTakeover crashes a controller that owns a fifth of some 850 machines for good. Its
// workers fail over to the other controllers with a few records in place of a claim for each
// worker, and nine tenths of them are answered within three quarters of a lease.
//
// SIM_TIMES lists other multiples of the machines to run with. If it is set, the crash of all
// controllers is simulated, too.
func TestGroupTakeover(t *testing.T) {
	for _, n := range machineMultiples(t) {
		grouped := simulateFailover(t, 71, n, true, false)
		alone := simulateFailover(t, 71, n, false, false)
		t.Logf("%d times, one ends, by the group: %s", n, grouped)
		t.Logf("%d times, one ends, one by one:   %s", n, alone)
		if grouped.failovers == 0 || alone.failovers > 0 || grouped.changes*3 > alone.changes {
			t.Errorf("%d times: %d changes with group failover, %d one by one", n, grouped.changes, alone.changes)
		}
		if lease := seconds(newLargeDeploymentSim(t, 1).facts.Workers.Lease); grouped.mostAnswered > 3*lease/4 {
			t.Errorf("%d times: nine tenths of the workers were answered after %s, a lease is %s", n, grouped.mostAnswered, lease)
		}
		if os.Getenv("SIM_TIMES") == "" {
			continue
		}
		t.Logf("%d times, all end, by the group: %s", n, simulateFailover(t, 72, n, true, true))
		t.Logf("%d times, all end, one by one:   %s", n, simulateFailover(t, 72, n, false, true))
	}
}

// TestGroupFailoverSetting checks that group failover is on by default and that the operators'
// setting turns it off.
func TestGroupFailoverSetting(t *testing.T) {
	if !config.DefaultOperator().GroupTakeover {
		t.Error("group failover is off by default")
	}
	operator, err := config.ParseOperator([]byte("group_takeover: false\n"))
	if err != nil || operator.GroupTakeover {
		t.Errorf("group_takeover: false is read as %v, error %v", operator.GroupTakeover, err)
	}
}

// withoutFailovers returns a transaction as the version before group failover writes it: its claims
// have no epoch, its member records name the earlier record format, and it has no condition on a
// failover record.
func withoutFailovers(txn protocol.Txn) protocol.Txn {
	txn.Compares = slices.DeleteFunc(slices.Clone(txn.Compares), func(compare protocol.Compare) bool {
		return strings.HasPrefix(compare.Key, keyFailover)
	})
	txn.Ops = slices.Clone(txn.Ops)
	for i, op := range txn.Ops {
		switch {
		case strings.HasPrefix(op.Put, keyClaim):
			txn.Ops[i].Value = withoutEpoch(op.Put, op.Value)
		case strings.HasPrefix(op.Put, keyMember):
			var record member
			_ = json.Unmarshal(op.Value, &record)
			record.Format = compactPageFormat
			txn.Ops[i].Value = encode(record)
		}
	}
	return txn
}

// hideFailovers removes failover records, and the epochs in claims, from a reply of the state
// service to that version.
func hideFailovers(reply func(int, []byte)) func(int, []byte) {
	return func(status int, body []byte) {
		var watch protocol.WatchResult
		var page protocol.KeyValuePage
		switch {
		case status != 200:
		case json.Unmarshal(body, &watch) == nil && len(watch.Events) > 0:
			body = encode(withoutFailoverEvents(watch))
		case json.Unmarshal(body, &page) == nil && len(page.KeyValues) > 0:
			body = encode(withoutFailoverRecords(page))
		}
		reply(status, body)
	}
}

// withoutFailoverEvents returns a watch's answer without the events of failover records.
func withoutFailoverEvents(watch protocol.WatchResult) protocol.WatchResult {
	watch.Events = slices.DeleteFunc(watch.Events, func(event protocol.WatchEvent) bool {
		return strings.HasPrefix(event.Put+event.Delete, keyFailover)
	})
	for i, event := range watch.Events {
		watch.Events[i].Value = withoutEpoch(event.Put, event.Value)
	}
	return watch
}

// withoutFailoverRecords returns a page of records without failover records.
func withoutFailoverRecords(page protocol.KeyValuePage) protocol.KeyValuePage {
	page.KeyValues = slices.DeleteFunc(page.KeyValues, func(record protocol.KeyValue) bool {
		return strings.HasPrefix(record.Key, keyFailover)
	})
	if len(page.KeyValues) == 0 {
		page.Truncated = false
	}
	for i, record := range page.KeyValues {
		page.KeyValues[i].Value = withoutEpoch(record.Key, record.Value)
	}
	return page
}

// withoutEpoch returns a record's value, without the epoch if the record is a claim.
func withoutEpoch(key string, data json.RawMessage) json.RawMessage {
	if !strings.HasPrefix(key, keyClaim) || data == nil {
		return data
	}
	var claim claimRecord
	_ = json.Unmarshal(data, &claim)
	claim.Epoch = 0
	return encode(claim)
}

// TestVersionsWithAndWithoutFailovers upgrades a site from the version before group failover to this
// one and rolls it back, while controllers crash and lose their workers. As long as any controller
// runs the earlier version, no controller fails a group over, and workers that had failed over in
// groups are claimed one by one.
func TestVersionsWithAndWithoutFailovers(t *testing.T) {
	for _, seed := range []uint64{81, 82, 83} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := newLargeDeploymentSim(t, seed)
			s.options.skipLaunchOrderCheck = true
			for _, n := range s.controllers {
				n.beforeGroupFailover = true
			}
			s.submitLargeLoad(330 * time.Second)
			roll := func(at time.Duration, legacy bool) {
				for i, n := range s.controllers {
					s.after(at+time.Duration(8*i)*time.Second, func() { n.beforeGroupFailover = legacy; n.crash(2 * time.Second) })
				}
			}
			crash := func(at time.Duration, i int) { s.after(at, func() { s.controllers[i].crash(25 * time.Second) }) }
			cut := func(at time.Duration, i int) {
				s.after(at, func() { s.cutLink(s.controllers[i], "workers", 25*time.Second) })
			}
			crash(40*time.Second, 0)
			roll(70*time.Second, false)
			cut(80*time.Second, 4)
			crash(95*time.Second, 1)
			written := 0 // failover records written while all controllers run this version
			s.after(112*time.Second, func() { written = s.countFailovers() })
			crash(125*time.Second, 0)
			cut(165*time.Second, 3)
			s.after(215*time.Second, func() { written = s.countFailovers() - written })
			roll(220*time.Second, true)
			crash(235*time.Second, 2)
			s.run(260 * time.Second)
			before := s.countFailovers()
			crash(270*time.Second-s.now, 3)
			s.run(300 * time.Second)
			if after := s.countFailovers(); after != before || written == 0 {
				t.Errorf("%d failovers while all ran this version, want some; %d after the rollback, want none", written, after-before)
			}
			s.finish(t, 350*time.Second)
			s.reportViolations(t)
		})
	}
}

// countFailovers returns the number of failover records that were ever written.
func (s *sim) countFailovers() int { return s.faultCounts.groupFailovers }

// TestAGroupThatFailsOverTwice checks that an incarnation whose workers have failed over writes its
// next claims in a new epoch, so that the workers fail over in groups after a second loss, too. It
// also checks that failover records are deleted when no machine's ownership depends on them.
func TestAGroupThatFailsOverTwice(t *testing.T) {
	s := newLargeDeploymentSim(t, 84)
	s.submitLargeLoad(260 * time.Second)
	for _, at := range []time.Duration{60, 150} {
		s.after(at*time.Second, func() { s.cutLink(s.controllers[0], "workers", 30*time.Second) })
	}
	s.run(145 * time.Second)
	first := s.countFailovers()
	s.run(220 * time.Second)
	if second := s.countFailovers() - first; first == 0 || second == 0 {
		t.Errorf("%d failovers after the first loss, %d after the second", first, second)
	}
	s.finish(t, 320*time.Second)
	s.run(500 * time.Second)
	s.reportViolations(t)
	left := 0
	for key := range s.state.keys {
		if strings.HasPrefix(key, keyFailover) {
			left++
		}
	}
	used := map[string]bool{}
	for _, m := range s.controllers[0].core.machines.byID {
		for _, l := range m.links {
			if l.Revision > 0 {
				used[l.Group.Key()] = true
			}
		}
	}
	if left != len(used) {
		t.Errorf("%d failover records are left, %d are in use", left, len(used))
	}
}

// TestAControllerThatHearsNoWorkersFailsNoGroupOver repeats the random run in which a controller that
// was cut off from all workers received a delayed heartbeat and failed the worker's group over to
// itself. The other controllers redirected the group's workers to it until their leases expired,
// which killed two urgent tasks among others.
func TestAControllerThatHearsNoWorkersFailsNoGroupOver(t *testing.T) {
	s := runRandomLinkCuts(t, 9698)
	s.reportViolations(t)
	if s.leaseLosses.urgent > 0 || s.leaseLosses.other > 0 {
		t.Errorf("%d urgent and %d other tasks were killed although their workers had a path", s.leaseLosses.urgent, s.leaseLosses.other)
	}
}
