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

// takeoverDay is what came of a day on which one controller ends for good, or all end.
type takeoverDay struct {
	workers   int           // that were held by those that ended
	changes   int           // claims and take-overs written within a minute of it
	takeovers int           // of them
	half      time.Duration // until half, nine tenths and 99% of the workers were answered
	most      time.Duration
	nearly    time.Duration
	ended     int // sessions with tasks that ended by their leases
}

func (d takeoverDay) String() string {
	return fmt.Sprintf("%d workers, %d changes (%d take-overs), answered after %.1f, %.1f, %.1f s (half, 90%%, 99%%), %d leases ended with tasks",
		d.workers, d.changes, d.takeovers, d.half.Seconds(), d.most.Seconds(), d.nearly.Seconds(), d.ended)
}

// playTakeover plays a grown deployment with times as many machines and as much work.
func playTakeover(t *testing.T, seed uint64, times int, grouped, all bool) takeoverDay {
	s := grownSim(t, seed)
	s.options.perWorkerFailover = !grouped
	for k := range s.cloud.capacity {
		s.cloud.capacity[k] *= times
	}
	for i := range s.facts.Teams {
		s.facts.Teams[i].GPUsMax *= float64(times)
	}
	s.advertised = s.facts
	for i := range times {
		s.loadGrownFrom(10_000*i, 100*time.Second)
	}
	s.run(120 * time.Second)
	ending := s.controllers[:1]
	if all {
		ending = s.controllers
	}
	lost := map[*simWorker]bool{}
	for _, n := range ending {
		for _, m := range n.core.machines.own {
			if w := s.cloud.machines[m.id]; w != nil && w.up {
				lost[w] = true
			}
		}
	}
	d := takeoverDay{workers: len(lost)}
	ended, takeovers, reclaimed, begun := s.faultCounts.expiredLeases, s.faultCounts.groupFailovers, s.faultCounts.replacedClaims, s.now
	for _, n := range ending {
		down := time.Hour
		if all {
			down = 3 * time.Second
		}
		n.crash(down)
	}
	var answered []time.Duration
	var look func()
	look = func() {
		for w := range lost {
			switch {
			case !w.up:
				delete(lost, w)
			case w.lastAnsweredAt > begun:
				answered = append(answered, s.now-begun)
				delete(lost, w)
			}
		}
		if s.now < begun+time.Minute {
			s.after(100*time.Millisecond, look)
		}
	}
	look()
	s.run(begun + time.Minute)
	d.takeovers = s.faultCounts.groupFailovers - takeovers
	d.changes = d.takeovers + s.faultCounts.replacedClaims - reclaimed
	slices.Sort(answered)
	d.workers = len(answered) + len(lost) // without those that were returned meanwhile
	at := func(share float64) time.Duration {
		i := int(share*float64(d.workers)+0.5) - 1
		if i < 0 || i >= len(answered) {
			return time.Minute
		}
		return answered[i]
	}
	d.half, d.most, d.nearly = at(0.5), at(0.9), at(0.99)
	d.ended = s.faultCounts.expiredLeases - ended
	s.reportViolations(t)
	return d
}

// TestGroupTakeover has a controller with a fifth of some 850 machines end for good: its
// workers pass to the others by some records, where each took a claim of its own, and are
// answered within half a lease.
//
// SIM_TIMES plays it at that many times the machines, and all controllers' end, too.
func TestGroupTakeover(t *testing.T) {
	times := []int{3}
	if list := os.Getenv("SIM_TIMES"); list != "" {
		times = nil
		for _, word := range strings.Split(list, ",") {
			n, err := strconv.Atoi(word)
			if err != nil {
				t.Fatal(err)
			}
			times = append(times, n)
		}
	}
	for _, n := range times {
		grouped, alone := playTakeover(t, 71, n, true, false), playTakeover(t, 71, n, false, false)
		t.Logf("%d times, one ends, by the group: %s", n, grouped)
		t.Logf("%d times, one ends, one by one:   %s", n, alone)
		if grouped.takeovers == 0 || alone.takeovers > 0 || grouped.changes*3 > alone.changes {
			t.Errorf("%d times: %d changes by the group, %d one by one", n, grouped.changes, alone.changes)
		}
		if lease := seconds(grownSim(t, 1).facts.Workers.Lease); grouped.most > 3*lease/4 {
			t.Errorf("%d times: nine tenths are answered after %s, and a lease is %s", n, grouped.most, lease)
		}
		if os.Getenv("SIM_TIMES") == "" {
			continue
		}
		t.Logf("%d times, all end, by the group: %s", n, playTakeover(t, 72, n, true, true))
		t.Logf("%d times, all end, one by one:   %s", n, playTakeover(t, 72, n, false, true))
	}
}

// TestTakeoverSwitch: the operators' setting turns it off, and it is on by default.
func TestTakeoverSwitch(t *testing.T) {
	if !config.DefaultOperator().GroupTakeover {
		t.Error("take-overs by the group are off by default")
	}
	o, err := config.ParseOperator([]byte("group_takeover: false\n"))
	if err != nil || o.GroupTakeover {
		t.Errorf("%v %v", o.GroupTakeover, err)
	}
}

// withoutTakeovers is a transaction as the version before take-overs writes it: its claims and
// member records know of none, and nothing is conditional on any.
func withoutTakeovers(t protocol.Txn) protocol.Txn {
	t.Compares = slices.DeleteFunc(slices.Clone(t.Compares), func(k protocol.Compare) bool { return strings.HasPrefix(k.Key, keyTakeover) })
	t.Ops = slices.Clone(t.Ops)
	for i, o := range t.Ops {
		switch {
		case strings.HasPrefix(o.Put, keyClaim):
			var k claimRecord
			_ = json.Unmarshal(o.Value, &k)
			k.Epoch = 0
			t.Ops[i].Value = encode(k)
		case strings.HasPrefix(o.Put, keyMember):
			var m member
			_ = json.Unmarshal(o.Value, &m)
			m.Format = compactPageFormat
			t.Ops[i].Value = encode(m)
		}
	}
	return t
}

// unseenTakeovers has that version see no record of take-overs, nor an epoch in a claim.
func unseenTakeovers(reply func(int, []byte)) func(int, []byte) {
	return func(status int, body []byte) {
		var watch protocol.WatchResult
		var page protocol.KeyValuePage
		switch {
		case status != 200:
		case json.Unmarshal(body, &watch) == nil && len(watch.Events) > 0:
			watch.Events = slices.DeleteFunc(watch.Events, func(n protocol.WatchEvent) bool { return strings.HasPrefix(n.Put+n.Delete, keyTakeover) })
			for i := range watch.Events {
				watch.Events[i].Value = withoutEpoch(watch.Events[i].Put, watch.Events[i].Value)
			}
			body = encode(watch)
		case json.Unmarshal(body, &page) == nil && len(page.KeyValues) > 0:
			if page.KeyValues = slices.DeleteFunc(page.KeyValues, func(e protocol.KeyValue) bool { return strings.HasPrefix(e.Key, keyTakeover) }); len(page.KeyValues) == 0 {
				page.Truncated = false
			}
			for i := range page.KeyValues {
				page.KeyValues[i].Value = withoutEpoch(page.KeyValues[i].Key, page.KeyValues[i].Value)
			}
			body = encode(page)
		}
		reply(status, body)
	}
}

func withoutEpoch(key string, data json.RawMessage) json.RawMessage {
	if !strings.HasPrefix(key, keyClaim) || data == nil {
		return data
	}
	var k claimRecord
	_ = json.Unmarshal(data, &k)
	k.Epoch = 0
	return encode(k)
}

// TestVersionsWithAndWithoutTakeovers rolls a site from the version before take-overs to this one
// and back, while controllers end and lose their workers. As long as a controller of the earlier
// version is there none takes a group over, and what had passed by groups is claimed one by one.
func TestVersionsWithAndWithoutTakeovers(t *testing.T) {
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
			written := 0 // take-overs while all run this version
			s.after(112*time.Second, func() { written = s.countTakeovers() })
			end(125*time.Second, 0)
			cut(165*time.Second, 3)
			s.after(215*time.Second, func() { written = s.countTakeovers() - written })
			roll(220*time.Second, true)
			end(235*time.Second, 2)
			s.run(260 * time.Second)
			before := s.countTakeovers()
			end(270*time.Second-s.now, 3)
			s.run(300 * time.Second)
			if after := s.countTakeovers(); after != before || written == 0 {
				t.Errorf("%d take-overs among this version; %d among the earlier one", written, after-before)
			}
			s.finish(t, 350*time.Second)
			s.reportViolations(t)
		})
	}
}

// countTakeovers counts the records of take-overs that were ever written.
func (s *sim) countTakeovers() int { return s.faultCounts.groupFailovers }

// TestAGroupThatPassesOnTwice: the claims of a life whose workers were taken over are of a new
// epoch, so that a second loss is taken over by the group, too; and records that nothing stands on
// are dropped.
func TestAGroupThatPassesOnTwice(t *testing.T) {
	s := grownSim(t, 84)
	s.loadGrown(260 * time.Second)
	for _, at := range []time.Duration{60, 150} {
		s.after(at*time.Second, func() { s.cutLink(s.controllers[0], "workers", 30*time.Second) })
	}
	s.run(145 * time.Second)
	first := s.countTakeovers()
	s.run(220 * time.Second)
	if second := s.countTakeovers() - first; first == 0 || second == 0 {
		t.Errorf("%d take-overs after the first loss, %d after the second", first, second)
	}
	s.finish(t, 320*time.Second)
	s.run(500 * time.Second)
	s.reportViolations(t)
	left := 0
	for key := range s.state.keys {
		if strings.HasPrefix(key, keyTakeover) {
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
		t.Errorf("%d records of take-overs are left, %d are in use", left, len(used))
	}
}

// TestADeafControllerTakesNoGroupOver plays the drawn day on which one did: cut off from all workers,
// it took a group over by a report that was held back on its way, and the others sent the group's
// workers to it until their leases ended, two urgent tasks among theirs.
func TestADeafControllerTakesNoGroupOver(t *testing.T) {
	s := drawnCuts(t, 9698)
	s.reportViolations(t)
	if s.leaseLosses.urgent > 0 || s.leaseLosses.other > 0 {
		t.Errorf("%d urgent tasks and %d others were killed that had a way", s.leaseLosses.urgent, s.leaseLosses.other)
	}
}
