// Package stagebench compares ways of bringing data to tasks in a simulated
// cluster: its figures are simulated. The decisions are the product's own
// (internal/staging); machines, file servers and jobs are modelled.
//
// Data sets are read by jobs that come at random; urgent ones read the newest
// version of a set that is published every now and then, is cold everywhere,
// and is announced when it is published.
package stagebench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"silvergate/internal/staging"
)

// Way is a way of bringing data to tasks.
type Way string

// Ways, from the least to the most that is known.
const (
	Blind    Way = "blind"    // any machine with room; it fetches when the task is there
	Locality Way = "locality" // machines that hold the data first
	Staging  Way = "staging"  // and data is brought ahead, from machine to machine
	Oracle   Way = "oracle"   // knows every task and its machine: data moves when it exists
)

// Ways lists them.
var Ways = []Way{Blind, Locality, Staging, Oracle}

// Options say what is simulated.
type Options struct {
	Machines int
	Zipf     bool // popular sets are asked for more often
	Seed     uint64
	Seconds  float64
}

// Model figures, ratios to one another: a copy takes copyS at a machine's rate.
const (
	slots      = 4
	machineBps = 100e6
	copyBytes  = 1e9
	serverBps  = 1.2e9
	perServer  = 50   // machines for each file server; there are two at least
	sets       = 60   // data sets that the others read
	keeps      = 12   // copies that a machine holds
	step       = 0.1  // seconds
	stopS      = 0.5  // to stop a task
	urgentRunS = 8.0  // mean run time of an urgent task
	otherRunS  = 60.0 // and of the others
	every      = 90.0 // seconds between two publications
	lead       = 40.0 // from an announcement to the first task
	aim        = 5.0  // seconds in which urgent tasks are to start
	look       = 64   // machines that one decision compares
	spare      = 2.0  // machines that are to hold what is announced, for each that its tasks fill
)

// Result is what came of a run.
type Result struct {
	Way        Way
	Machines   int
	Zipf       bool
	Urgent     int
	P50, P99   float64 // start delay of urgent tasks, seconds
	Share      float64 // of them that started within the aim
	MovedGB    float64
	FromPeers  float64 // share of bytes
	DecisionUS float64 // of processor time for each placement, measured
	Placements int
}

type task struct {
	urgent  bool
	copy    staging.ID
	arrived float64
	run     float64
	left    float64
	m       *node
	ready   float64 // slot can be used from then on
	started bool
	since   float64
}

type node struct {
	id    string
	tasks []*task
	held  map[staging.ID]float64 // last use
	pulls map[staging.ID]*flow
	wants map[staging.ID]bool // of the planner, until they are here
	at    int
}

type flow struct {
	id     staging.ID
	m      *node
	left   float64
	peer   *node
	server int // -1: none
}

type sim struct {
	o       Options
	way     Way
	rnd     *rand.Rand
	now     float64
	nodes   []*node
	byName  map[string]*node
	byAddr  map[string]*node
	p       *staging.Planner
	urgent  []*task
	other   []*task
	flows   []*flow
	active  map[*node]bool // with pulls of the planner
	popular []float64
	version int
	born    map[staging.ID]float64
	delays  []float64
	moved   float64
	peers   float64
	spent   time.Duration
	tickAt  float64
	placed  int
	where   map[staging.ID][2]int // the file servers that have a version
}

// Run simulates one way.
func Run(way Way, o Options) Result {
	s := &sim{o: o, way: way, rnd: rand.New(rand.NewPCG(o.Seed, 7)), byName: map[string]*node{}, byAddr: map[string]*node{},
		active: map[*node]bool{}, born: map[staging.ID]float64{}, where: map[staging.ID][2]int{}}
	cfg := staging.Config{Controllers: 1, ServerStreams: int(serverBps / machineBps), PeerStreams: 2, MachineStreams: 1, Rate: machineBps, Report: time.Second}
	if way != Staging {
		cfg.PeerStreams, cfg.ServerStreams, cfg.MachineStreams = 0, 1<<20, 1<<20
	}
	s.p = staging.New(cfg, func([]staging.ID) string { return "" }, rand.New(rand.NewPCG(o.Seed, 8)))
	for i := range o.Machines {
		n := &node{id: fmt.Sprintf("m%05d", i), held: map[staging.ID]float64{}, pulls: map[staging.ID]*flow{}, wants: map[staging.ID]bool{}, at: i}
		s.nodes = append(s.nodes, n)
		s.byName[n.id], s.byAddr["a"+n.id] = n, n
		s.p.Join(n.id, "z", "a"+n.id)
	}
	for i := range sets {
		w := 1.0
		if o.Zipf {
			w = 1 / math.Pow(float64(i+1), 1.1)
		}
		s.popular = append(s.popular, w)
		s.publish(setID(i))
	}
	// Some copies are there at the start, as they would be.
	for _, n := range s.nodes {
		for range keeps / 2 {
			s.arrive(n, s.pick())
		}
	}
	s.moved, s.peers = 0, 0
	for s.now = 0; s.now < o.Seconds; s.now += step {
		s.come()
		s.flow()
		s.progress()
		at := time.Now()
		s.schedule()
		s.spent += time.Since(at)
	}
	return s.result()
}

func setID(i int) staging.ID { return staging.ID(fmt.Sprintf("set-%d", i)) }

func (s *sim) publish(id staging.ID) {
	s.born[id] = s.now
	// Two file servers have each version.
	a := s.rnd.IntN(s.servers())
	b := (a + 1 + s.rnd.IntN(s.servers()-1)) % s.servers()
	s.where[id] = [2]int{a, b}
	s.p.SetCopy(s.clock(), staging.Copy{ID: id, Bytes: copyBytes, Servers: []string{fmt.Sprint("s", a), fmt.Sprint("s", b)}})
}

func (s *sim) servers() int { return max(2, s.o.Machines/perServer) }

func (s *sim) clock() time.Duration { return time.Duration(s.now * float64(time.Second)) }

func (s *sim) pick() staging.ID {
	total := 0.0
	for _, w := range s.popular {
		total += w
	}
	x := s.rnd.Float64() * total
	for i, w := range s.popular {
		if x -= w; x < 0 {
			return setID(i)
		}
	}
	return setID(0)
}

func (s *sim) poisson(mean float64) (n int) {
	for x := s.rnd.ExpFloat64(); x < mean; x += s.rnd.ExpFloat64() {
		n++
	}
	return n
}

// come has jobs and versions come. The others fill some 80 % of all slots;
// urgent tasks come in the second half of each period, for a tenth of them.
func (s *sim) come() {
	all := float64(slots * s.o.Machines)
	for range s.poisson(0.8 * all / otherRunS * step) {
		s.other = append(s.other, &task{copy: s.pick(), arrived: s.now, run: otherRunS * (0.5 + s.rnd.Float64())})
	}
	if phase := math.Mod(s.now, every); phase < step {
		s.version++
		id := staging.ID(fmt.Sprintf("new-%d", s.version))
		s.publish(id)
	} else if phase > lead {
		for range s.poisson(0.1 * all / urgentRunS * step) {
			s.urgent = append(s.urgent, &task{urgent: true, copy: staging.ID(fmt.Sprintf("new-%d", s.version)), arrived: s.now, run: urgentRunS * (0.5 + s.rnd.Float64())})
		}
	}
}

// flow moves bytes: each fetch gets the smaller share of its two ends.
func (s *sim) flow() {
	if s.way != Blind && s.way != Oracle {
		for _, n := range s.nodes {
			if s.active[n] {
				s.sync(n)
			}
		}
	}
	srv, in, out := make([]int, s.servers()), map[*node]int{}, map[*node]int{}
	for _, f := range s.flows {
		in[f.m]++
		if f.peer != nil {
			out[f.peer]++
		} else {
			srv[f.server]++
		}
	}
	var done []*flow
	rest := s.flows[:0]
	for _, f := range s.flows {
		rate := machineBps / float64(in[f.m])
		if f.peer != nil {
			rate = min(rate, machineBps/float64(out[f.peer]))
			s.peers += min(f.left, rate*step)
		} else {
			rate = min(rate, serverBps/float64(srv[f.server]))
		}
		s.moved += min(f.left, rate*step)
		if f.left -= rate * step; f.left <= 0 {
			done = append(done, f)
		} else {
			rest = append(rest, f)
		}
	}
	s.flows = rest
	slices.SortFunc(done, func(a, b *flow) int { return cmp.Or(cmp.Compare(a.m.at, b.m.at), cmp.Compare(a.id, b.id)) })
	for _, f := range done {
		delete(f.m.pulls, f.id)
		s.arrive(f.m, f.id)
	}
}

// sync makes a machine's fetches what the planner wants.
func (s *sim) sync(n *node) {
	orders := s.p.Orders(n.id)
	going := map[staging.ID]bool{}
	for _, o := range orders {
		going[o.ID] = true
		f := n.pulls[o.ID]
		if f == nil {
			f = &flow{id: o.ID, m: n, left: copyBytes, server: -1}
			n.pulls[o.ID] = f
			s.flows = append(s.flows, f)
		}
		if f.peer, f.server = s.byAddr[o.Peer], -1; f.peer == nil {
			_, _ = fmt.Sscanf(o.Server, "s%d", &f.server)
		}
		s.p.Held(s.clock(), n.id, staging.Report{Digest: "", Pulls: []staging.Pull{{ID: o.ID, Done: int64(copyBytes - f.left), Total: copyBytes}}})
	}
	for id, f := range n.pulls {
		if !going[id] { // displaced: what it has is kept in this model's next fetch
			if i := slices.Index(s.flows, f); i >= 0 {
				s.flows = slices.Delete(s.flows, i, i+1)
			}
			delete(n.pulls, id)
		}
	}
	if len(n.wants) == 0 {
		delete(s.active, n)
	}
}

// arrive makes a copy visible, and room for it.
func (s *sim) arrive(n *node, id staging.ID) {
	n.held[id] = s.now
	delete(n.wants, id)
	for len(n.held) > keeps {
		oldest := staging.ID("")
		for h, at := range n.held {
			if !n.uses(h) && h != id && (oldest == "" || at < n.held[oldest] || at == n.held[oldest] && h < oldest) {
				oldest = h
			}
		}
		if oldest == "" {
			break
		}
		delete(n.held, oldest)
		var list []staging.ID
		for h := range n.held {
			list = append(list, h)
		}
		slices.Sort(list)
		s.p.Held(s.clock(), n.id, staging.Report{List: list, Listed: true})
	}
	s.p.Arrived(s.clock(), n.id, id)
}

func (n *node) uses(id staging.ID) bool {
	for _, t := range n.tasks {
		if t.copy == id {
			return true
		}
	}
	return false
}

// progress runs the tasks.
func (s *sim) progress() {
	for _, n := range s.nodes {
		rest := n.tasks[:0]
		for _, t := range n.tasks {
			if !t.started && s.now >= t.ready && s.here(n, t.copy) {
				t.started = true
				if t.urgent {
					s.delays = append(s.delays, s.now-t.arrived)
				}
			}
			if t.started {
				n.held[t.copy] = s.now
				if t.left -= step; t.left <= 0 {
					continue
				}
			}
			rest = append(rest, t)
		}
		n.tasks = rest
	}
}

// here tells whether a task can read its data. The oracle's is there as soon as
// it can have been: one machine's fetch after it was published.
func (s *sim) here(n *node, id staging.ID) bool {
	if s.way == Oracle {
		if _, ok := n.held[id]; ok {
			return true
		}
		// Each machine that holds a copy passes it on as fast as it can, and
		// the file servers give all they have.
		age := (s.now - s.born[id]) * machineBps / copyBytes
		if held, _ := s.p.Holders(id); age < 1 || float64(held) >= 2*serverBps/machineBps*(math.Exp2(age)-1) {
			return false
		}
		s.moved += copyBytes
		s.arrive(n, id)
		return true
	}
	_, ok := n.held[id]
	return ok
}

// begin binds a task to a machine.
func (s *sim) begin(t *task, n *node, ready float64) {
	t.m, t.left, t.ready, t.started = n, t.run, ready, false
	n.tasks = append(n.tasks, t)
	s.placed++
	if _, ok := n.held[t.copy]; ok || s.way == Oracle {
		return
	}
	if s.way == Blind {
		if n.pulls[t.copy] == nil {
			f := &flow{id: t.copy, m: n, left: copyBytes, server: s.where[t.copy][s.rnd.IntN(2)]}
			n.pulls[t.copy] = f
			s.flows = append(s.flows, f)
		}
		return
	}
	class := staging.Normal
	if t.urgent {
		class = staging.Urgent
	}
	s.want(n, t.copy, class)
}

func (s *sim) want(n *node, id staging.ID, class staging.Class) {
	s.p.Want(s.clock(), n.id, id, class, "team", 0)
	n.wants[id], s.active[n] = true, true
}

func (s *sim) schedule() {
	if s.way == Staging {
		s.ahead()
		if s.now >= s.tickAt {
			s.tickAt = s.now + 1
			s.p.Tick(s.clock())
		}
	}
	s.urgent = s.drain(s.urgent)
	s.other = s.drain(s.other)
}

// drain places what can be placed, the oldest first.
func (s *sim) drain(q []*task) []*task {
	var rest []*task
	misses := 0
	for i, t := range q {
		if misses > look { // nothing is free
			return append(rest, q[i:]...)
		}
		if !s.place(t) {
			rest = append(rest, t)
			misses++
		}
	}
	return rest
}

// place finds a machine for a task among those that one decision compares.
func (s *sim) place(t *task) bool {
	var free, lower, lowerHere *node
	best, seen := staging.Never, 0
	ids := []staging.ID{t.copy}
	start := s.rnd.IntN(len(s.nodes))
	for i := 0; i < len(s.nodes) && seen < look; i++ {
		n := s.nodes[(start+i)%len(s.nodes)]
		seen++
		if len(n.tasks) < slots {
			cost := time.Duration(0)
			if s.way == Locality || s.way == Staging {
				cost = s.p.Expect(s.clock(), n.id, ids)
			}
			if free == nil || cost < best {
				free, best = n, cost
			}
			if cost == 0 {
				break
			}
		} else if t.urgent && lower == nil && victim(n) >= 0 {
			lower = n
		}
	}
	if s.way == Blind || s.way == Oracle || free != nil && best == 0 {
		switch {
		case free != nil:
			s.begin(t, free, s.now)
		case lower != nil:
			s.evict(lower)
			s.begin(t, lower, s.now+stopS)
		default:
			return false
		}
		return true
	}
	// Machines that hold the data may be better than a free one.
	wait, stop := staging.Never, staging.Never
	s.p.Some(t.copy, func(id string) bool {
		n := s.byName[id]
		if len(n.tasks) < slots {
			free, best, wait = n, 0, 0
			return false
		}
		if t.urgent && lowerHere == nil && victim(n) >= 0 {
			lowerHere, stop = n, time.Duration(stopS*float64(time.Second))
		}
		for _, o := range n.tasks {
			left := time.Duration(o.left * float64(time.Second))
			wait = min(wait, left)
		}
		return true
	})
	if free != nil && best == 0 {
		s.begin(t, free, s.now)
		return true
	}
	fetch := best
	if free == nil {
		if fetch = staging.Never; lower != nil {
			fetch = s.p.Expect(s.clock(), lower.id, ids) + time.Duration(stopS*float64(time.Second))
		}
	}
	if t.since == 0 {
		t.since = s.now
	}
	switch staging.Choose(fetch, wait, stop, time.Duration((s.now-t.since)*float64(time.Second))) {
	case staging.ClearThere:
		s.evict(lowerHere)
		s.begin(t, lowerHere, s.now+stopS)
	case staging.WaitThere:
		return false
	default:
		switch {
		case free != nil:
			s.begin(t, free, s.now)
		case fetch < staging.Never:
			s.evict(lower)
			s.begin(t, lower, s.now+stopS)
		default:
			return false
		}
	}
	return true
}

// victim is the task on a machine that loses least by being stopped, -1 if there
// is none to stop.
func victim(n *node) int {
	at := -1
	for i, t := range n.tasks {
		if !t.urgent && (at < 0 || t.run-t.left < n.tasks[at].run-n.tasks[at].left) {
			at = i
		}
	}
	return at
}

func (s *sim) evict(n *node) {
	i := victim(n)
	t := n.tasks[i]
	n.tasks = slices.Delete(n.tasks, i, i+1)
	s.other = append([]*task{t}, s.other...)
}

// ahead stages for what was announced: the newest version, for as many machines
// as its tasks will keep busy.
func (s *sim) ahead() {
	id := staging.ID(fmt.Sprintf("new-%d", s.version))
	by := s.born[id] + lead
	want := int(math.Ceil(spare * 0.1 * float64(s.o.Machines)))
	a := staging.Announcement{Copy: id, By: time.Duration(by * float64(time.Second)), Machines: want}
	if s.now > by+every/2 || s.clock() < a.Begin(copyBytes, machineBps, 2) {
		return
	}
	held, coming := s.p.Holders(id)
	if held+coming >= want {
		return
	}
	var list []staging.Candidate
	start := s.rnd.IntN(len(s.nodes))
	for i := 0; i < len(s.nodes) && len(list) < look; i++ {
		n := s.nodes[(start+i)%len(s.nodes)]
		if _, ok := n.held[id]; !ok && n.pulls[id] == nil {
			list = append(list, staging.Candidate{Machine: n.id})
		}
	}
	for _, m := range staging.Place(list, want-held-coming, func(m string) time.Duration { return s.p.Expect(s.clock(), m, []staging.ID{id}) }, func(string) bool { return false }) {
		s.p.Promise(s.clock(), m, id, staging.Urgent, "team", a.By)
		n := s.byName[m]
		n.wants[id], s.active[n] = true, true
	}
}

func (s *sim) result() Result {
	r := Result{Way: s.way, Machines: s.o.Machines, Zipf: s.o.Zipf, Urgent: len(s.delays), MovedGB: s.moved / 1e9, Placements: s.placed}
	for _, t := range s.urgent { // still waiting: at least so long
		s.delays = append(s.delays, s.now-t.arrived)
	}
	for _, n := range s.nodes {
		for _, t := range n.tasks {
			if t.urgent && !t.started {
				s.delays = append(s.delays, s.now-t.arrived)
			}
		}
	}
	slices.Sort(s.delays)
	if n := len(s.delays); n > 0 {
		r.P50, r.P99 = s.delays[n/2], s.delays[n*99/100]
		in := 0
		for _, d := range s.delays {
			if d <= aim {
				in++
			}
		}
		r.Share = float64(in) / float64(n)
	}
	if s.moved > 0 {
		r.FromPeers = s.peers / s.moved
	}
	if s.placed > 0 {
		r.DecisionUS = float64(s.spent.Microseconds()) / float64(s.placed)
	}
	return r
}
