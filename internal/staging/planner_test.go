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

// TestMain fixes the seed of the generated inputs, so that results are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.checks", "400")
	os.Exit(m.Run())
}

func digest(ids []ID) string { return fmt.Sprint(ids) }

func newPlanner(servers int) *Planner {
	return New(Config{Controllers: 1, ServerStreams: servers, PeerStreams: 2, MachineStreams: 2, Rate: 1e6, ReportPeriod: time.Second},
		digest, rand.New(rand.NewPCG(1, 2)))
}

// checkInvariants checks what must hold after every step: the counters match the
// fetches under way, the budgets are kept, and no urgent fetch waits for a source
// that is free or that a less urgent fetch uses.
func checkInvariants(p *Planner, now time.Duration) error {
	servers, serving, running, users := map[string]int{}, map[*machine]int{}, map[*machine]int{}, map[string]int{}
	waiting := map[*pull]int{}
	for class, q := range p.waiting {
		for _, x := range q {
			waiting[x]++
			if x.class != Class(class) {
				return fmt.Errorf("a fetch of class %d is in the queue of class %d", x.class, class)
			}
		}
	}
	total := 0
	for _, m := range p.machineList {
		for _, x := range m.parked {
			if waiting[x]++; x.class == Urgent || x.machine != m || m.running < p.cfg.MachineStreams {
				return fmt.Errorf("the fetch of %s by %s is parked with %d fetches under way", x.copyState.ID, m.id, m.running)
			}
		}
	}
	for i, m := range p.machineList {
		if m.index != i || p.machines[m.id] != m {
			return fmt.Errorf("machine %s is not at its index in the list, or not in the map", m.id)
		}
		for d, x := range m.pulls {
			total++
			if m.held[d] {
				return fmt.Errorf("%s fetches %s, which it holds", m.id, d.ID)
			}
			if x.active == (waiting[x] == 1) || waiting[x] > 1 {
				return fmt.Errorf("the fetch of %s by %s: under way %v, in %d queues", d.ID, m.id, x.active, waiting[x])
			}
			delete(waiting, x)
			if !x.active {
				continue
			}
			if (x.peer == nil) == (x.server == "") {
				return fmt.Errorf("a fetch has two sources or none")
			}
			if x.peer != nil {
				serving[x.peer]++
				if p.machines[x.peer.id] != x.peer {
					return fmt.Errorf("%s fetches from a machine that was removed", m.id)
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
		return fmt.Errorf("%d queued fetches belong to no machine", len(waiting))
	}
	for _, m := range p.machineList {
		if m.serving != serving[m] || m.serving > p.cfg.PeerStreams || m.running != running[m] {
			return fmt.Errorf("%s: serving counter %d for %d fetches, running counter %d for %d fetches", m.id, m.serving, serving[m], m.running, running[m])
		}
	}
	for s, n := range p.serverFetches {
		if n != servers[s] || n > p.streamsPerServer() || len(p.preemptible[s]) != users[s] {
			return fmt.Errorf("%s: fetch counter %d for %d fetches, %d of %d non-urgent ones listed", s, n, servers[s], len(p.preemptible[s]), users[s])
		}
	}
	for _, x := range p.waiting[Urgent] {
		if now < x.notBefore {
			continue
		}
		for _, s := range x.copyState.Servers {
			if !x.avoid[s] && (p.serverFetches[s] < p.streamsPerServer() || users[s] > 0) {
				return fmt.Errorf("an urgent fetch waits while file server %s has %d fetches, %d of them not urgent", s, p.serverFetches[s], users[s])
			}
		}
		for _, m := range x.copyState.holders {
			if m.address != "" && m.serving < p.cfg.PeerStreams && !x.avoid[m.address] && len(x.copyState.holders) <= maxScanned {
				return fmt.Errorf("an urgent fetch waits while machine %s could serve it", m.id)
			}
		}
	}
	return nil
}

// step applies one event to the planner: op is its kind, m the machine, c the copy
// and k a parameter of the event.
func step(p *Planner, now time.Duration, op, m, c, k int) {
	id, cp := fmt.Sprint("m", m), ID(fmt.Sprint("c", c))
	switch op {
	case 0:
		p.SetMachine(id, fmt.Sprint("z", m%2), "addr"+id)
	case 1:
		p.RemoveMachine(now, id)
	case 2:
		p.RequestFetch(now, id, cp, Class(k%3), fmt.Sprint("t", k%2), 0)
	case 3:
		p.CopyArrived(now, id, cp)
	case 4: // the machine lists its copies; a crash may have lost some
		var list []ID
		for i := range 4 {
			if k>>i&1 == 1 {
				list = append(list, ID(fmt.Sprint("c", i)))
			}
		}
		p.HandleReport(now, id, Report{Digest: digest(list), List: list, Listed: true})
	case 5:
		p.HandleReport(now, id, Report{Digest: "other", Failed: []ID{cp}, Pulls: []Pull{{cp, 10, 100, 5e5}}})
	case 6:
		p.CancelFetch(now, id, cp)
	case 7: // the version's record changes
		p.SetCopy(now, Copy{ID: cp, Bytes: 1 << 20, Servers: []string{"s0", fmt.Sprint("s", k%2)}[:1+k%2]})
	case 8:
		p.Tick(now)
	}
}

// TestBudgetsAndUrgencyHoldUnderAnything checks the invariants after each of many
// random events.
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
			if err := checkInvariants(p, now); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestEveryInterleaving checks the invariants in all sequences of four events (three
// with -short) of two machines and two copies: requests of the lowest class and
// urgent ones, copies that arrive, lost machines, failed fetches, evicted copies, a
// cancelled fetch, and a version whose record changes.
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
				if err := checkInvariants(p, now); err != nil {
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

// TestTeamsTakeTurns guards against a team that starves another: one team requests
// fifty fetches and another then five, which must not wait for the fifty.
func TestTeamsTakeTurns(t *testing.T) {
	p := newPlanner(2)
	for i := range 60 {
		p.SetMachine(fmt.Sprint("m", i), "z", "")
		p.SetCopy(0, Copy{ID: ID(fmt.Sprint("c", i)), Bytes: 1 << 20, Servers: []string{"s"}})
	}
	for i := range 50 {
		p.RequestFetch(0, fmt.Sprint("m", i), ID(fmt.Sprint("c", i)), Normal, "flood", 0)
	}
	for i := 50; i < 55; i++ {
		p.RequestFetch(time.Second, fmt.Sprint("m", i), ID(fmt.Sprint("c", i)), Normal, "few", 0)
	}
	var order []string
	for len(order) < 14 {
		for _, m := range p.machineList {
			for _, x := range p.sortedPulls(m) {
				if x.active {
					order = append(order, x.team)
					p.CopyArrived(2*time.Second, m.id, x.copyState.ID)
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
		t.Errorf("%d of the five fetches of the team with few are among the first 14: %v", few, order)
	}
}

// TestPrefetchesRiseInTime checks that a fetch for announced work waits behind many
// others until just enough time is left, and then rises.
func TestPrefetchesRiseInTime(t *testing.T) {
	p := newPlanner(1)
	for i := range 20 {
		p.SetMachine(fmt.Sprint("m", i), "z", "")
		p.SetCopy(0, Copy{ID: ID(fmt.Sprint("c", i)), Bytes: 10e6, Servers: []string{"s"}}) // ten seconds each at 1 MB/s
		p.RequestFetch(0, fmt.Sprint("m", i), ID(fmt.Sprint("c", i)), Normal, "flood", 0)
	}
	p.SetCopy(0, Copy{ID: "morning", Bytes: 10e6, Servers: []string{"s"}})
	p.Prefetch(0, "m0", "morning", Urgent, "few", 60*time.Second)
	began := time.Duration(0)
	for now := time.Duration(0); now < 60*time.Second && began == 0; now += time.Second {
		for _, m := range p.machineList {
			for _, o := range p.Orders(m.id) {
				p.HandleReport(now, m.id, Report{Pulls: []Pull{{ID: o.ID}}})
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

// TestLongQueuesMove guards against a long queue whose head blocks the fetches
// behind it: those with another source or machine must start.
func TestLongQueuesMove(t *testing.T) {
	p := newPlanner(1)
	p.SetCopy(0, Copy{ID: "stuck", Bytes: 100, Servers: []string{"a"}})
	p.SetCopy(0, Copy{ID: "free", Bytes: 100, Servers: []string{"b"}})
	for i := range 300 {
		p.SetMachine(fmt.Sprint("m", i), "z", "")
		p.RequestFetch(0, fmt.Sprint("m", i), "stuck", Normal, "t", 0)
	}
	p.SetMachine("last", "z", "")
	p.RequestFetch(0, "last", "free", Normal, "t", 0)
	for i := range 10 {
		p.Tick(time.Duration(i) * time.Second / 10)
	}
	if len(p.Orders("last")) != 1 {
		t.Error("a fetch whose source is free waits behind fetches whose source is busy")
	}
	// Many fetches of one machine don't block another machine either.
	p = newPlanner(1)
	p.SetMachine("many", "z", "")
	for i := range 300 {
		c := ID(fmt.Sprint("c", i))
		p.SetCopy(0, Copy{ID: c, Bytes: 100, Servers: []string{fmt.Sprint("s", i)}})
		p.RequestFetch(0, "many", c, Normal, "t", 0)
	}
	p.SetMachine("other", "z", "")
	p.RequestFetch(0, "other", "c299", Normal, "t", 0)
	if len(p.Orders("other")) != 1 || len(p.Orders("many")) != p.cfg.MachineStreams {
		t.Errorf("the other machine has %d fetches and the machine with many requests has %d", len(p.Orders("other")), len(p.Orders("many")))
	}
}

// TestChoose checks the choice for given times of the three options.
func TestChoose(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		fetch, free, stop, waited time.Duration
		want                      Option
	}{
		{10 * s, 4 * s, Never, 0, WaitForHolder},
		{10 * s, 4 * s, Never, 7 * s, FetchInputs}, // has waited long enough
		{10 * s, 12 * s, Never, 0, FetchInputs},
		{10 * s, 4 * s, 1 * s, 0, PreemptHolder},
		{1 * s, 4 * s, 2 * s, 0, FetchInputs},
		{0, 0, 0, 0, FetchInputs},
		{10 * s, Never, Never, 0, FetchInputs},
		{10 * s, 4 * s, 6 * s, 0, PreemptHolder},
		{10 * s, s / 2, 6 * s, 0, WaitForHolder},
		{10 * s, s / 2, 6 * s, s, PreemptHolder}, // the room that was about to be free went to another task
	} {
		if got := Choose(c.fetch, c.free, c.stop, c.waited); got != c.want {
			t.Errorf("%+v: chose option %d", c, got)
		}
	}
	// Whatever times are offered, a task waits no longer than a fetch takes.
	rapid.Check(t, func(t *rapid.T) {
		fetch := time.Duration(rapid.IntRange(1, 60).Draw(t, "fetch")) * s
		waited := time.Duration(0)
		for {
			free := time.Duration(rapid.IntRange(0, 90).Draw(t, "free")) * s
			if Choose(fetch, free, Never, waited) != WaitForHolder {
				break
			}
			waited += max(free, 100*time.Millisecond)
		}
		if waited > fetch+100*time.Millisecond {
			t.Fatalf("waited %v for a fetch of %v", waited, fetch)
		}
	})
}

// TestPlace compares the chosen machines with those that sorting all machines gives.
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
		at := func(c Candidate) time.Duration { return max(c.FreeIn, cost[c.Machine]) }
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
			t.Fatalf("placed on %v, expected %v", got, want)
		}
	})
}

// TestOnlyHolderIsDrained guards against a fetch that is lost because the only
// machine that holds the copy is drained during the fetch. The machine serves the
// copy as long as it is there. Once it is gone the fetch waits, without being
// given up or counted as under way, and continues from the next machine or file
// server that has the copy.
func TestOnlyHolderIsDrained(t *testing.T) {
	p := newPlanner(2)
	p.SetCopy(0, Copy{ID: "only", Bytes: 10e6})
	p.SetMachine("holder", "a", "10.0.0.1:9000")
	p.SetMachine("task", "b", "10.0.0.2:9000")
	p.HandleReport(0, "holder", Report{Digest: "?", Listed: true, List: []ID{"only"}})
	p.RequestFetch(0, "task", "only", Urgent, "red", 0)
	from := func() string {
		out := ""
		for _, o := range p.Orders("task") {
			out += o.Peer + o.Server
		}
		return out
	}
	if got := from(); got != "10.0.0.1:9000" {
		t.Fatalf("the task's machine fetches from %q, not from the only holder", got)
	}
	// The drained machine takes no tasks, but still reports and serves.
	p.HandleReport(time.Second, "holder", Report{Digest: "?", Listed: true, List: []ID{"only"}})
	p.HandleReport(time.Second, "task", Report{Digest: "?", Listed: true, Pulls: []Pull{{ID: "only", Done: 4e6, Total: 10e6, Rate: 1e6}}})
	p.Tick(time.Second)
	if got := from(); got != "10.0.0.1:9000" {
		t.Errorf("the task's machine fetches from %q while the only holder drains", got)
	}
	p.RemoveMachine(2*time.Second, "holder")
	p.Tick(3 * time.Second)
	if got := from(); got != "" {
		t.Errorf("the task's machine fetches from %q, which is gone", got)
	}
	if err := checkInvariants(p, 3*time.Second); err != nil {
		t.Error(err)
	}
	// Another machine turns out to hold it, or a file server publishes it again.
	p.SetMachine("other", "a", "10.0.0.3:9000")
	p.HandleReport(4*time.Second, "other", Report{Digest: "?", Listed: true, List: []ID{"only"}})
	p.Tick(4 * time.Second)
	if got := from(); got != "10.0.0.3:9000" {
		t.Errorf("the task's machine fetches from %q when another machine has the copy", got)
	}
	p.RemoveMachine(5*time.Second, "other")
	p.SetCopy(6*time.Second, Copy{ID: "only", Bytes: 10e6, Servers: []string{"10.9.0.1:80"}})
	p.Tick(6 * time.Second)
	if got := from(); got != "10.9.0.1:80" {
		t.Errorf("the task's machine fetches from %q when a file server has the copy again", got)
	}
}
