// Package stagebench compares ways of bringing data to tasks in a simulated
// cluster: its figures are simulated. The decisions are the product's own
// (internal/staging); machines, file servers and jobs are modelled.
//
// Data sets are read by jobs that come at random; urgent ones read the newest
// version of a set that is published every now and then, is cold everywhere,
// and is announced when it is published.
package stagebench

import (
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

// Ways lists all ways.
var Ways = []Way{Blind, Locality, Staging, Oracle}

// Options say what is simulated. Equal options give equal results, but for
// Result.DecisionUS.
type Options struct {
	Machines int
	Zipf     bool // popular sets are asked for more often
	Seed     uint64
	Seconds  float64
}

// Model figures, ratios to one another: a copy takes copyS at a machine's rate.
const (
	slots             = 4
	machineBps        = 100e6
	copyBytes         = 1e9
	serverBps         = 1.2e9
	machinesPerServer = 50   // machines for each file server; there are two at least
	sets              = 60   // data sets that the others read
	copiesPerMachine  = 12   // copies that a machine holds
	stepS             = 0.1  // seconds
	stopS             = 0.5  // to stop a task
	urgentRunS        = 8.0  // mean run time of an urgent task
	otherRunS         = 60.0 // and of the others
	publishPeriodS    = 90.0 // seconds between two publications
	announceLeadS     = 40.0 // from an announcement to the first task
	startGoalS        = 5.0  // seconds in which urgent tasks are to start
	maxCompared       = 64   // machines that one decision compares
	stagedPerNeeded   = 2.0  // machines that are to hold what is announced, for each that its tasks fill
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

// task is a task that waits or runs.
type task struct {
	urgent       bool
	input        staging.ID
	arrivedAt    float64
	runS         float64
	remainingS   float64
	node         *node
	readyAt      float64 // slot can be used from then on
	started      bool
	waitingSince float64
}

// node is a machine.
type node struct {
	id      string
	tasks   []*task
	copies  map[staging.ID]float64 // last use
	fetches map[staging.ID]*transfer
	ordered map[staging.ID]bool // of the planner, until they are here
	index   int
}

// transfer is a fetch under way.
type transfer struct {
	id             staging.ID
	node           *node
	remainingBytes float64
	peer           *node
	server         int // -1: none
}

// sim is a simulated cluster.
type sim struct {
	options       Options
	strategy      Way
	random        *rand.Rand
	now           float64
	nodes         []*node
	byName        map[string]*node
	byAddress     map[string]*node
	planner       *staging.Planner
	waitingUrgent []*task // that wait, the oldest first
	waitingOther  []*task // that wait, the oldest first
	transfers     []*transfer
	active        map[*node]bool // with fetches of the planner
	nextTick      float64        // when the planner's clock is next advanced
	data          dataSets
	measured      measurements
}

// dataSets are the data sets of a simulation.
type dataSets struct {
	popularity []float64 // weights of the sets that the others read
	version    int       // the newest of the set that urgent tasks read
	published  map[staging.ID]float64
	servers    map[staging.ID][2]int // the file servers that have a version
}

// measurements are what a simulation has measured so far.
type measurements struct {
	delays       []float64 // start delays of urgent tasks, in seconds
	bytes        float64   // moved
	peerBytes    float64   // of these, from machine to machine
	decisionTime time.Duration
	placements   int
}

// Run simulates one way.
func Run(way Way, o Options) Result {
	s := &sim{
		options: o, strategy: way, random: rand.New(rand.NewPCG(o.Seed, 7)),
		byName: map[string]*node{}, byAddress: map[string]*node{}, active: map[*node]bool{},
		data: dataSets{published: map[staging.ID]float64{}, servers: map[staging.ID][2]int{}},
	}
	cfg := staging.Config{Controllers: 1, ServerStreams: int(serverBps / machineBps), PeerStreams: 2, MachineStreams: 1, Rate: machineBps, Report: time.Second}
	if way != Staging {
		cfg.PeerStreams, cfg.ServerStreams, cfg.MachineStreams = 0, 1<<20, 1<<20
	}
	s.planner = staging.New(cfg, func([]staging.ID) string { return "" }, rand.New(rand.NewPCG(o.Seed, 8)))
	for i := range o.Machines {
		n := &node{id: fmt.Sprintf("m%05d", i), copies: map[staging.ID]float64{}, fetches: map[staging.ID]*transfer{}, ordered: map[staging.ID]bool{}, index: i}
		s.nodes = append(s.nodes, n)
		s.byName[n.id], s.byAddress["a"+n.id] = n, n
		s.planner.Join(n.id, "z", "a"+n.id)
	}
	for i := range sets {
		w := 1.0
		if o.Zipf {
			w = 1 / math.Pow(float64(i+1), 1.1)
		}
		s.data.popularity = append(s.data.popularity, w)
		s.publish(setID(i))
	}
	// Some copies are there at the start, as they would be.
	for _, n := range s.nodes {
		for range copiesPerMachine / 2 {
			s.addCopy(n, s.randomSet())
		}
	}
	s.measured.bytes, s.measured.peerBytes = 0, 0
	for s.now = 0; s.now < o.Seconds; s.now += stepS {
		s.addArrivals()
		s.moveBytes()
		s.runTasks()
		at := time.Now()
		s.schedule()
		s.measured.decisionTime += time.Since(at)
	}
	return s.result()
}

func setID(i int) staging.ID { return staging.ID(fmt.Sprintf("set-%d", i)) }

func (s *sim) publish(id staging.ID) {
	s.data.published[id] = s.now
	// Two file servers have each version.
	a := s.random.IntN(s.serverCount())
	b := (a + 1 + s.random.IntN(s.serverCount()-1)) % s.serverCount()
	s.data.servers[id] = [2]int{a, b}
	s.planner.SetCopy(s.nowDuration(), staging.Copy{ID: id, Bytes: copyBytes, Servers: []string{fmt.Sprint("s", a), fmt.Sprint("s", b)}})
}

func (s *sim) serverCount() int { return max(2, s.options.Machines/machinesPerServer) }

func (s *sim) nowDuration() time.Duration { return time.Duration(s.now * float64(time.Second)) }

func (s *sim) randomSet() staging.ID {
	total := 0.0
	for _, w := range s.data.popularity {
		total += w
	}
	x := s.random.Float64() * total
	for i, w := range s.data.popularity {
		if x -= w; x < 0 {
			return setID(i)
		}
	}
	return setID(0)
}

func (s *sim) poisson(mean float64) (n int) {
	for x := s.random.ExpFloat64(); x < mean; x += s.random.ExpFloat64() {
		n++
	}
	return n
}

// addArrivals has jobs and versions arrive. The others fill some 80 % of all slots;
// urgent tasks come in the second half of each period, for a tenth of them.
func (s *sim) addArrivals() {
	all := float64(slots * s.options.Machines)
	for range s.poisson(0.8 * all / otherRunS * stepS) {
		s.waitingOther = append(s.waitingOther, &task{input: s.randomSet(), arrivedAt: s.now, runS: otherRunS * (0.5 + s.random.Float64())})
	}
	if phase := math.Mod(s.now, publishPeriodS); phase < stepS {
		s.data.version++
		id := staging.ID(fmt.Sprintf("new-%d", s.data.version))
		s.publish(id)
	} else if phase > announceLeadS {
		for range s.poisson(0.1 * all / urgentRunS * stepS) {
			s.waitingUrgent = append(s.waitingUrgent, &task{urgent: true, input: staging.ID(fmt.Sprintf("new-%d", s.data.version)), arrivedAt: s.now, runS: urgentRunS * (0.5 + s.random.Float64())})
		}
	}
}

// runTasks runs the tasks.
func (s *sim) runTasks() {
	for _, n := range s.nodes {
		rest := n.tasks[:0]
		for _, t := range n.tasks {
			if !t.started && s.now >= t.readyAt && s.dataReady(n, t.input) {
				t.started = true
				if t.urgent {
					s.measured.delays = append(s.measured.delays, s.now-t.arrivedAt)
				}
			}
			if t.started {
				n.copies[t.input] = s.now
				if t.remainingS -= stepS; t.remainingS <= 0 {
					continue
				}
			}
			rest = append(rest, t)
		}
		n.tasks = rest
	}
}

// dataReady tells whether a task can read its data. The oracle's is there as soon as
// it can have been: one machine's fetch after it was published.
func (s *sim) dataReady(n *node, id staging.ID) bool {
	if s.strategy == Oracle {
		if _, ok := n.copies[id]; ok {
			return true
		}
		// Each machine that holds a copy passes it on as fast as it can, and
		// the file servers give all they have.
		age := (s.now - s.data.published[id]) * machineBps / copyBytes
		if held, _ := s.planner.Holders(id); age < 1 || float64(held) >= 2*serverBps/machineBps*(math.Exp2(age)-1) {
			return false
		}
		s.measured.bytes += copyBytes
		s.addCopy(n, id)
		return true
	}
	_, ok := n.copies[id]
	return ok
}

// assign binds a task to a machine.
func (s *sim) assign(t *task, n *node, ready float64) {
	t.node, t.remainingS, t.readyAt, t.started = n, t.runS, ready, false
	n.tasks = append(n.tasks, t)
	s.measured.placements++
	if _, ok := n.copies[t.input]; ok || s.strategy == Oracle {
		return
	}
	if s.strategy == Blind {
		if n.fetches[t.input] == nil {
			f := &transfer{id: t.input, node: n, remainingBytes: copyBytes, server: s.data.servers[t.input][s.random.IntN(2)]}
			n.fetches[t.input] = f
			s.transfers = append(s.transfers, f)
		}
		return
	}
	class := staging.Normal
	if t.urgent {
		class = staging.Urgent
	}
	s.requestFetch(n, t.input, class)
}

func (s *sim) requestFetch(n *node, id staging.ID, class staging.Class) {
	s.planner.Want(s.nowDuration(), n.id, id, class, "team", 0)
	n.ordered[id], s.active[n] = true, true
}

func (s *sim) result() Result {
	r := Result{Way: s.strategy, Machines: s.options.Machines, Zipf: s.options.Zipf, Urgent: len(s.measured.delays), MovedGB: s.measured.bytes / 1e9, Placements: s.measured.placements}
	for _, t := range s.waitingUrgent { // still waiting: at least so long
		s.measured.delays = append(s.measured.delays, s.now-t.arrivedAt)
	}
	for _, n := range s.nodes {
		for _, t := range n.tasks {
			if t.urgent && !t.started {
				s.measured.delays = append(s.measured.delays, s.now-t.arrivedAt)
			}
		}
	}
	slices.Sort(s.measured.delays)
	if n := len(s.measured.delays); n > 0 {
		r.P50, r.P99 = s.measured.delays[n/2], s.measured.delays[n*99/100]
		in := 0
		for _, d := range s.measured.delays {
			if d <= startGoalS {
				in++
			}
		}
		r.Share = float64(in) / float64(n)
	}
	if s.measured.bytes > 0 {
		r.FromPeers = s.measured.peerBytes / s.measured.bytes
	}
	if s.measured.placements > 0 {
		r.DecisionUS = float64(s.measured.decisionTime.Microseconds()) / float64(s.measured.placements)
	}
	return r
}
