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

// failoverResult is what came of a day on which one controller ends for good, or all end.
type failoverResult struct {
	workers       int           // of the controllers that ended
	changes       int           // claims and failovers written within a minute of it
	failovers     int           // of them
	halfAnswered  time.Duration // until half of the workers were answered
	mostAnswered  time.Duration // until nine tenths of them were
	allAnswered   time.Duration // until 99% of them were
	expiredLeases int           // leases of workers with tasks that ended
}

func (d failoverResult) String() string {
	return fmt.Sprintf("%d workers, %d changes (%d failovers), answered after %.1f, %.1f, %.1f s (half, 90%%, 99%%), %d leases ended with tasks",
		d.workers, d.changes, d.failovers, d.halfAnswered.Seconds(), d.mostAnswered.Seconds(), d.allAnswered.Seconds(), d.expiredLeases)
}

// newMultipliedSim is a grown deployment with times as many machines and as much work.
func newMultipliedSim(t *testing.T, seed uint64, multiple int) *sim {
	t.Helper()
	s := grownSim(t, seed)
	for k := range s.cloud.capacity {
		s.cloud.capacity[k] *= multiple
	}
	for i := range s.facts.Teams {
		s.facts.Teams[i].GPUsMax *= float64(multiple)
	}
	s.advertised = s.facts
	for i := range multiple {
		s.loadGrownFrom(10_000*i, 100*time.Second)
	}
	return s
}

// workersOwnedBy are the workers that are up and owned by one of the controllers.
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

// measureAnswerTimes plays a minute, and returns after how long each of the workers was answered, in
// order. What is left in workers has not been answered; workers that ended are taken out.
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

// simulateFailover plays a grown deployment with times as many machines and as much work, of which
// the first controller ends for good, or all end for some seconds. With grouped, workers fail
// over by the group.
func simulateFailover(t *testing.T, seed uint64, multiple int, grouped, all bool) failoverResult {
	t.Helper()
	s := newMultipliedSim(t, seed, multiple)
	s.options.perWorkerFailover = !grouped
	s.run(120 * time.Second)
	ending := s.controllers[:1]
	downtime := time.Hour
	if all {
		ending = s.controllers
		downtime = 3 * time.Second
	}
	lost := s.workersOwnedBy(ending)
	before := s.faultCounts
	for _, n := range ending {
		n.crash(downtime)
	}
	answered := s.measureAnswerTimes(lost)
	workers := len(answered) + len(lost) // without those that were returned meanwhile
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

// machineMultiples are the machineMultiples of the machines that TestGroupTakeover plays.
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

// TestGroupTakeover has a controller with a fifth of some 850 machines end for good: its
// workers fail over to the others by some records, where each took a claim of its own, and are
// answered within three quarters of a lease.
//
// SIM_TIMES plays it at that many times the machines, and all controllers' end, too.
func TestGroupTakeover(t *testing.T) {
	for _, n := range machineMultiples(t) {
		grouped := simulateFailover(t, 71, n, true, false)
		alone := simulateFailover(t, 71, n, false, false)
		t.Logf("%d times, one ends, by the group: %s", n, grouped)
		t.Logf("%d times, one ends, one by one:   %s", n, alone)
		if grouped.failovers == 0 || alone.failovers > 0 || grouped.changes*3 > alone.changes {
			t.Errorf("%d times: %d changes by the group, %d one by one", n, grouped.changes, alone.changes)
		}
		if lease := seconds(grownSim(t, 1).facts.Workers.Lease); grouped.mostAnswered > 3*lease/4 {
			t.Errorf("%d times: nine tenths are answered after %s, and a lease is %s", n, grouped.mostAnswered, lease)
		}
		if os.Getenv("SIM_TIMES") == "" {
			continue
		}
		t.Logf("%d times, all end, by the group: %s", n, simulateFailover(t, 72, n, true, true))
		t.Logf("%d times, all end, one by one:   %s", n, simulateFailover(t, 72, n, false, true))
	}
}

// TestGroupFailoverSetting has the operators' setting turn failover of groups off, which is on by
// default.
func TestGroupFailoverSetting(t *testing.T) {
	if !config.DefaultOperator().GroupTakeover {
		t.Error("failover of groups is off by default")
	}
	operator, err := config.ParseOperator([]byte("group_takeover: false\n"))
	if err != nil || operator.GroupTakeover {
		t.Errorf("group_takeover: false is read as %v, error %v", operator.GroupTakeover, err)
	}
}

// withoutFailovers is a transaction as the version before failover of groups writes it: its claims
// and member records know of none, and nothing is conditional on any.
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

// hideFailovers has that version see no record of a failover, nor an epoch in a claim.
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

// withoutFailoverEvents is an answer of the watch without the changes of records of failovers.
func withoutFailoverEvents(watch protocol.WatchResult) protocol.WatchResult {
	watch.Events = slices.DeleteFunc(watch.Events, func(event protocol.WatchEvent) bool {
		return strings.HasPrefix(event.Put+event.Delete, keyFailover)
	})
	for i, event := range watch.Events {
		watch.Events[i].Value = withoutEpoch(event.Put, event.Value)
	}
	return watch
}

// withoutFailoverRecords is a page of records without those of failovers.
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

// withoutEpoch is a record's value, without the epoch if it is a claim.
func withoutEpoch(key string, data json.RawMessage) json.RawMessage {
	if !strings.HasPrefix(key, keyClaim) || data == nil {
		return data
	}
	var claim claimRecord
	_ = json.Unmarshal(data, &claim)
	claim.Epoch = 0
	return encode(claim)
}

// TestVersionsWithAndWithoutFailovers rolls a site from the version before failover of groups to this one
// and back, while controllers end and lose their workers. As long as a controller of the earlier
// version is there none fails a group over, and what had failed over by groups is claimed one by one.
func TestVersionsWithAndWithoutFailovers(t *testing.T) {
	for _, seed := range []uint64{81, 82, 83} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := grownSim(t, seed)
			s.options.unorderedLaunches = true
			for _, n := range s.controllers {
				n.beforeGroupFailover = true
			}
			s.loadGrown(330 * time.Second)
			roll := func(at time.Duration, legacy bool) {
				for i, n := range s.controllers {
					s.after(at+time.Duration(8*i)*time.Second, func() { n.beforeGroupFailover = legacy; n.crash(2 * time.Second) })
				}
			}
			end := func(at time.Duration, i int) { s.after(at, func() { s.controllers[i].crash(25 * time.Second) }) }
			cut := func(at time.Duration, i int) {
				s.after(at, func() { s.cutLink(s.controllers[i], "workers", 25*time.Second) })
			}
			end(40*time.Second, 0)
			roll(70*time.Second, false)
			cut(80*time.Second, 4)
			end(95*time.Second, 1)
			written := 0 // failovers while all run this version
			s.after(112*time.Second, func() { written = s.countFailovers() })
			end(125*time.Second, 0)
			cut(165*time.Second, 3)
			s.after(215*time.Second, func() { written = s.countFailovers() - written })
			roll(220*time.Second, true)
			end(235*time.Second, 2)
			s.run(260 * time.Second)
			before := s.countFailovers()
			end(270*time.Second-s.now, 3)
			s.run(300 * time.Second)
			if after := s.countFailovers(); after != before || written == 0 {
				t.Errorf("%d failovers among this version; %d among the earlier one", written, after-before)
			}
			s.finish(t, 350*time.Second)
			s.reportViolations(t)
		})
	}
}

// countFailovers counts the records of failovers that were ever written.
func (s *sim) countFailovers() int { return s.faultCounts.groupFailovers }

// TestAGroupThatFailsOverTwice has the claims of an incarnation whose workers have failed over be of a
// new epoch, so that they fail over by the group after a second loss, too; and records that no
// machine's ownership depends on are dropped.
func TestAGroupThatFailsOverTwice(t *testing.T) {
	s := grownSim(t, 84)
	s.loadGrown(260 * time.Second)
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
		t.Errorf("%d records of failovers are left, %d are in use", left, len(used))
	}
}

// TestAControllerThatHearsNoWorkersFailsNoGroupOver plays the drawn day on which one did: cut off from all workers,
// it failed a group over by a heartbeat that was delayed on its way, and the others redirected the group's
// workers to it until their leases ended, two urgent tasks among theirs.
func TestAControllerThatHearsNoWorkersFailsNoGroupOver(t *testing.T) {
	s := runRandomLinkCuts(t, 9698)
	s.reportViolations(t)
	if s.leaseLosses.urgent > 0 || s.leaseLosses.other > 0 {
		t.Errorf("%d urgent tasks and %d others were killed that had a path", s.leaseLosses.urgent, s.leaseLosses.other)
	}
}
