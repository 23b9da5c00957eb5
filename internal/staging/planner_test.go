package staging

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Generated inputs come from a fixed seed, so that a verdict repeats.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.checks", "400")
	os.Exit(m.Run())
}

func digest(ids []ID) string { return fmt.Sprint(ids) }

func newPlanner(servers int) *Planner {
	return New(Config{Controllers: 1, ServerStreams: servers, PeerStreams: 2, MachineStreams: 2, Rate: 1e6, Report: time.Second}, digest, rand.New(rand.NewPCG(1, 2)))
}

// audit demands what holds after every step: accounts match what is under way,
// budgets are kept, and nothing urgent waits for what is free or held by less
// urgent work.
func audit(p *Planner, now time.Duration) error {
	servers, serving, running, users := map[string]int{}, map[*machine]int{}, map[*machine]int{}, map[string]int{}
	waiting := map[*pull]int{}
	for class, q := range p.waiting {
		for _, x := range q {
			waiting[x]++
			if x.class != Class(class) {
				return fmt.Errorf("a fetch of class %d waits among those of %d", x.class, class)
			}
		}
	}
	total := 0
	for _, m := range p.all {
		for _, x := range m.parked {
			if waiting[x]++; x.class == Urgent || x.m != m || m.running < p.cfg.MachineStreams {
				return fmt.Errorf("%s of %s is parked with %d under way", x.d.ID, m.id, m.running)
			}
		}
	}
	for i, m := range p.all {
		if m.at != i || p.machines[m.id] != m {
			return fmt.Errorf("%s is not where it should be", m.id)
		}
		for d, x := range m.pulls {
			total++
			if m.held[d] {
				return fmt.Errorf("%s fetches %s, which it holds", m.id, d.ID)
			}
			if x.going == (waiting[x] == 1) || waiting[x] > 1 {
				return fmt.Errorf("%s of %s: under way %v, in %d queues", d.ID, m.id, x.going, waiting[x])
			}
			delete(waiting, x)
			if !x.going {
				continue
			}
			if (x.peer == nil) == (x.server == "") {
				return fmt.Errorf("a fetch with two sources or none")
			}
			if x.peer != nil {
				serving[x.peer]++
				if p.machines[x.peer.id] != x.peer {
					return fmt.Errorf("%s fetches from a machine that is gone", m.id)
				}
			} else {
				servers[x.server]++
				if x.class < Urgent {
					users[x.server]++
				}
			}
			if x.class < Urgent {
				running[m]++
			}
		}
	}
	if len(waiting) > 0 {
		return fmt.Errorf("%d fetches wait for no machine", len(waiting))
	}
	for _, m := range p.all {
		if m.serving != serving[m] || m.serving > p.cfg.PeerStreams || m.running != running[m] {
			return fmt.Errorf("%s: serving %d of %d, running %d of %d", m.id, m.serving, serving[m], m.running, running[m])
		}
	}
	for s, n := range p.servers {
		if n != servers[s] || n > p.perServer() || len(p.users[s]) != users[s] {
			return fmt.Errorf("%s: %d fetches of %d, %d of %d not urgent", s, n, servers[s], len(p.users[s]), users[s])
		}
	}
	for _, x := range p.waiting[Urgent] {
		if now < x.hold {
			continue
		}
		for _, s := range x.d.Servers {
			if !x.avoid[s] && (p.servers[s] < p.perServer() || users[s] > 0) {
				return fmt.Errorf("an urgent fetch waits while %s has %d fetches, %d of them not urgent", s, p.servers[s], users[s])
			}
		}
		for _, m := range x.d.holders {
			if m.address != "" && m.serving < p.cfg.PeerStreams && !x.avoid[m.address] && len(x.d.holders) <= scanned {
				return fmt.Errorf("an urgent fetch waits while %s could serve it", m.id)
			}
		}
	}
	return nil
}

// step does one of the things that can happen, chosen by numbers.
func step(p *Planner, now time.Duration, op, m, c, k int) {
	id, cp := fmt.Sprint("m", m), ID(fmt.Sprint("c", c))
	switch op {
	case 0:
		p.Join(id, fmt.Sprint("z", m%2), "addr"+id)
	case 1:
		p.Lost(now, id)
	case 2:
		p.Want(now, id, cp, Class(k%3), fmt.Sprint("t", k%2), 0)
	case 3:
		p.Arrived(now, id, cp)
	case 4: // a report in full; a crash may have lost a copy
		var list []ID
		for i := range 4 {
			if k>>i&1 == 1 {
				list = append(list, ID(fmt.Sprint("c", i)))
			}
		}
		p.Held(now, id, Report{Digest: digest(list), List: list, Listed: true})
	case 5:
		p.Held(now, id, Report{Digest: "other", Failed: []ID{cp}, Pulls: []Pull{{cp, 10, 100, 5e5}}})
	case 6:
		p.Unwant(now, id, cp)
	case 7: // a version is superseded: another one is known, and wanted
		p.SetCopy(now, Copy{ID: cp, Bytes: 1 << 20, Servers: []string{"s0", fmt.Sprint("s", k%2)}[:1+k%2]})
	case 8:
		p.Tick(now)
	}
}

func TestBudgetsAndUrgencyHoldUnderAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlanner(rapid.IntRange(1, 3).Draw(t, "streams"))
		now := time.Duration(0)
		for i := range 4 {
			p.SetCopy(0, Copy{ID: ID(fmt.Sprint("c", i)), Bytes: 1 << 20, Servers: []string{"s0", "s1"}[:1+i%2]})
		}
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			step(p, now, rapid.SampledFrom([]int{0, 0, 1, 2, 2, 2, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "op"),
				rapid.IntRange(0, 5).Draw(t, "machine"), rapid.IntRange(0, 3).Draw(t, "copy"), rapid.IntRange(0, 15).Draw(t, "k"))
			p.dispatch(now)
			if err := audit(p, now); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestEveryInterleaving tries all sequences of five events of two machines and
// two copies: wishes of each class, arrivals, losses, failures, eviction,
// a crash of either machine, and a version that is superseded.
func TestEveryInterleaving(t *testing.T) {
	type event struct{ op, m, c, k int }
	var events []event
	for m := range 2 {
		events = append(events, event{0, m, 0, 0}, event{1, m, 0, 0}, event{4, m, 0, 0}, event{4, m, 0, 1})
		for c := range 2 {
			events = append(events, event{2, m, c, 0}, event{2, m, c, 2}, event{3, m, c, 0}, event{5, m, c, 0})
		}
	}
	events = append(events, event{7, 0, 1, 1}, event{6, 0, 0, 0})
	depth := 4
	if testing.Short() {
		depth = 3
	}
	runs := 0
	seq := make([]int, depth)
	var try func(at int)
	try = func(at int) {
		if at == depth {
			runs++
			p := newPlanner(1)
			p.SetCopy(0, Copy{ID: "c0", Bytes: 100, Servers: []string{"s0"}})
			p.SetCopy(0, Copy{ID: "c1", Bytes: 100, Servers: []string{"s0"}})
			step(p, 0, 0, 0, 0, 0)
			step(p, 0, 0, 1, 0, 0)
			for i, e := range seq {
				now := time.Duration(i) * 100 * time.Millisecond
				step(p, now, events[e].op, events[e].m, events[e].c, events[e].k)
				if err := audit(p, now); err != nil {
					t.Fatalf("%v after %v", err, seq[:i+1])
				}
			}
			return
		}
		for e := range events {
			seq[at] = e
			try(at + 1)
		}
	}
	try(0)
	t.Logf("%d sequences", runs)
}

// TestTeamsTakeTurns floods the planner for one team and has another want a few:
// these must not wait for the flood.
func TestTeamsTakeTurns(t *testing.T) {
	p := newPlanner(2)
	for i := range 60 {
		p.Join(fmt.Sprint("m", i), "z", "")
		p.SetCopy(0, Copy{ID: ID(fmt.Sprint("c", i)), Bytes: 1 << 20, Servers: []string{"s"}})
	}
	for i := range 50 {
		p.Want(0, fmt.Sprint("m", i), ID(fmt.Sprint("c", i)), Normal, "flood", 0)
	}
	for i := 50; i < 55; i++ {
		p.Want(time.Second, fmt.Sprint("m", i), ID(fmt.Sprint("c", i)), Normal, "few", 0)
	}
	var order []string
	for len(order) < 14 {
		for _, m := range p.all {
			for _, x := range p.sortedPulls(m) {
				if x.going {
					order = append(order, x.team)
					p.Arrived(2*time.Second, m.id, x.d.ID)
				}
			}
		}
	}
	few := 0
	for _, team := range order[:14] {
		if team == "few" {
			few++
		}
	}
	if few != 5 {
		t.Errorf("%d of the five small wishes among the first 14: %v", few, order)
	}
}

// TestPromisesRiseInTime has announced data wait behind a flood, until there is
// just time enough left.
func TestPromisesRiseInTime(t *testing.T) {
	p := newPlanner(1)
	for i := range 20 {
		p.Join(fmt.Sprint("m", i), "z", "")
		p.SetCopy(0, Copy{ID: ID(fmt.Sprint("c", i)), Bytes: 10e6, Servers: []string{"s"}}) // ten seconds each
		p.Want(0, fmt.Sprint("m", i), ID(fmt.Sprint("c", i)), Normal, "flood", 0)
	}
	p.SetCopy(0, Copy{ID: "morning", Bytes: 10e6, Servers: []string{"s"}})
	p.Promise(0, "m0", "morning", Urgent, "few", 60*time.Second)
	began := time.Duration(0)
	for now := time.Duration(0); now < 60*time.Second && began == 0; now += time.Second {
		for _, m := range p.all {
			for _, o := range p.Orders(m.id) {
				p.Held(now, m.id, Report{Pulls: []Pull{{ID: o.ID}}})
				if o.ID == "morning" {
					began = now
				}
			}
		}
		p.Tick(now)
	}
	if began < 38*time.Second || began > 42*time.Second {
		t.Errorf("the announced fetch of ten seconds, due at 60 s, began at %v", began)
	}
}

// TestLongQueuesMove guards against a head of the queue that can't start: what is
// behind it, with another source or machine, must.
func TestLongQueuesMove(t *testing.T) {
	p := newPlanner(1)
	p.SetCopy(0, Copy{ID: "stuck", Bytes: 100, Servers: []string{"a"}})
	p.SetCopy(0, Copy{ID: "free", Bytes: 100, Servers: []string{"b"}})
	for i := range 300 {
		p.Join(fmt.Sprint("m", i), "z", "")
		p.Want(0, fmt.Sprint("m", i), "stuck", Normal, "t", 0)
	}
	p.Join("last", "z", "")
	p.Want(0, "last", "free", Normal, "t", 0)
	for i := range 10 {
		p.Tick(time.Duration(i) * time.Second / 10)
	}
	if len(p.Orders("last")) != 1 {
		t.Error("a fetch whose source is free waits behind others")
	}
	// One machine's many wishes are in nobody's way either.
	p = newPlanner(1)
	p.Join("many", "z", "")
	for i := range 300 {
		c := ID(fmt.Sprint("c", i))
		p.SetCopy(0, Copy{ID: c, Bytes: 100, Servers: []string{fmt.Sprint("s", i)}})
		p.Want(0, "many", c, Normal, "t", 0)
	}
	p.Join("other", "z", "")
	p.Want(0, "other", "c299", Normal, "t", 0)
	if len(p.Orders("other")) != 1 || len(p.Orders("many")) != p.cfg.MachineStreams {
		t.Errorf("%d and %d fetches", len(p.Orders("other")), len(p.Orders("many")))
	}
}

// TestChoose checks the rule against the three ways' times.
func TestChoose(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		fetch, free, stop, waited time.Duration
		want                      Option
	}{
		{10 * s, 4 * s, Never, 0, WaitThere},
		{10 * s, 4 * s, Never, 7 * s, FetchHere}, // waited long enough
		{10 * s, 12 * s, Never, 0, FetchHere},
		{10 * s, 4 * s, 1 * s, 0, ClearThere},
		{1 * s, 4 * s, 2 * s, 0, FetchHere},
		{0, 0, 0, 0, FetchHere},
		{10 * s, Never, Never, 0, FetchHere},
		{10 * s, 4 * s, 6 * s, 0, ClearThere},
		{10 * s, s / 2, 6 * s, 0, WaitThere},
		{10 * s, s / 2, 6 * s, s, ClearThere}, // what was to be free went to another
	} {
		if got := Choose(c.fetch, c.free, c.stop, c.waited); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	// However the offers come, a task waits no longer than a fetch takes.
	rapid.Check(t, func(t *rapid.T) {
		fetch := time.Duration(rapid.IntRange(1, 60).Draw(t, "fetch")) * s
		waited := time.Duration(0)
		for {
			free := time.Duration(rapid.IntRange(0, 90).Draw(t, "free")) * s
			if Choose(fetch, free, Never, waited) != WaitThere {
				break
			}
			waited += max(free, 100*time.Millisecond)
		}
		if waited > fetch+100*time.Millisecond {
			t.Fatalf("waited %v for a fetch of %v", waited, fetch)
		}
	})
}

// TestPlace compares the choice with sorting all.
func TestPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Candidate
		cost, there := map[string]time.Duration{}, map[string]bool{}
		for i := range rapid.IntRange(0, 12).Draw(t, "machines") {
			m := fmt.Sprint("m", i)
			list = append(list, Candidate{m, time.Duration(rapid.IntRange(0, 9).Draw(t, "free")) * time.Second})
			if there[m] = rapid.Bool().Draw(t, "there"); !there[m] {
				cost[m] = time.Duration(rapid.IntRange(1, 9).Draw(t, "cost")) * time.Second
			}
		}
		n := rapid.IntRange(0, 6).Draw(t, "n")
		got := Place(list, n, func(m string) time.Duration { return cost[m] }, func(m string) bool { return there[m] })
		at := func(c Candidate) time.Duration { return max(c.Free, cost[c.Machine]) }
		slices.SortStableFunc(list, func(a, b Candidate) int {
			if x, y := at(a), at(b); x != y {
				return int(x - y)
			}
			return slices.Compare([]byte(a.Machine), []byte(b.Machine))
		})
		var want []string
		for _, c := range list[:min(n, len(list))] {
			if !there[c.Machine] {
				want = append(want, c.Machine)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%v, expected %v", got, want)
		}
	})
}

// TestOnlyHolderIsDrained guards against a task whose inputs are on one machine
// alone, which is drained while they are fetched from it: as long as it is there
// it serves; once it is gone the fetch waits, without being given up or counted as
// under way, and goes on from whoever has the copy next.
func TestOnlyHolderIsDrained(t *testing.T) {
	p := newPlanner(2)
	p.SetCopy(0, Copy{ID: "only", Bytes: 10e6})
	p.Join("holder", "a", "10.0.0.1:9000")
	p.Join("task", "b", "10.0.0.2:9000")
	p.Held(0, "holder", Report{Digest: "?", Listed: true, List: []ID{"only"}})
	p.Want(0, "task", "only", Urgent, "red", 0)
	from := func() string {
		out := ""
		for _, o := range p.Orders("task") {
			out += o.Peer + o.Server
		}
		return out
	}
	if got := from(); got != "10.0.0.1:9000" {
		t.Fatalf("fetches from %q, not from the only holder", got)
	}
	// Drained, it takes no tasks, but reports on and serves on.
	p.Held(time.Second, "holder", Report{Digest: "?", Listed: true, List: []ID{"only"}})
	p.Held(time.Second, "task", Report{Digest: "?", Listed: true, Pulls: []Pull{{ID: "only", Done: 4e6, Total: 10e6, Rate: 1e6}}})
	p.Tick(time.Second)
	if got := from(); got != "10.0.0.1:9000" {
		t.Errorf("fetches from %q while the only holder drains", got)
	}
	p.Lost(2*time.Second, "holder")
	p.Tick(3 * time.Second)
	if got := from(); got != "" {
		t.Errorf("fetches from %q, which is gone", got)
	}
	if err := audit(p, 3*time.Second); err != nil {
		t.Error(err)
	}
	// Another machine turns out to hold it, or a file server publishes it again.
	p.Join("other", "a", "10.0.0.3:9000")
	p.Held(4*time.Second, "other", Report{Digest: "?", Listed: true, List: []ID{"only"}})
	p.Tick(4 * time.Second)
	if got := from(); got != "10.0.0.3:9000" {
		t.Errorf("fetches from %q when another machine has the copy", got)
	}
	p.Lost(5*time.Second, "other")
	p.SetCopy(6*time.Second, Copy{ID: "only", Bytes: 10e6, Servers: []string{"10.9.0.1:80"}})
	p.Tick(6 * time.Second)
	if got := from(); got != "10.9.0.1:80" {
		t.Errorf("fetches from %q when a file server has the copy again", got)
	}
}
