// Package stagebench compares ways of bringing data to tasks in a simulated
// cluster, so its figures are simulated. The decisions are made by the real
// code (internal/staging); machines, file servers and jobs are modelled.
//
// Jobs arrive at random and read data sets. Urgent jobs read the newest version
// of one set, of which a new version is published every publishPeriodS seconds.
// No machine holds the new version at first, and it is announced when it is
// published.
package stagebench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"silvergate/internal/staging"
)

// Strategy is a way of bringing data to tasks.
type Strategy string

// Strategies, in the order of how much they know.
const (
	Blind    Strategy = "blind"    // any machine with room, which fetches the data once the task is assigned to it
	Locality Strategy = "locality" // machines that hold the data are preferred
	Staging  Strategy = "staging"  // like Locality, and data is staged ahead, also from machine to machine
	Oracle   Strategy = "oracle"   // knows every task and its machine in advance: data moves as soon as it exists
)

// Strategies lists all strategies.
var Strategies = []Strategy{Blind, Locality, Staging, Oracle}

// Options are the parameters of a simulation. Equal options give equal results,
// except for Result.DecisionUS.
type Options struct {
	Machines int
	Zipf     bool // the sets' popularity follows Zipf's law; otherwise all are equally popular
	Seed     uint64
	Seconds  float64
}

// Parameters of the model. Only their ratios matter: a copy takes copyBytes /
// machineBps seconds at a machine's rate.
const (
	slots             = 4
	machineBps        = 100e6
	copyBytes         = 1e9
	serverBps         = 1.2e9
	machinesPerServer = 50   // machines for each file server; there are at least two file servers
	sets              = 60   // data sets that non-urgent tasks read
	copiesPerMachine  = 12   // copies that a machine can hold
	stepS             = 0.1  // length of a simulation step
	stopS             = 0.5  // time to stop a task
	urgentRunS        = 8.0  // mean run time of an urgent task
	otherRunS         = 60.0 // mean run time of a non-urgent task
	publishPeriodS    = 90.0 // time between two publications
	announceLeadS     = 40.0 // time from an announcement to its first task
	startGoalS        = 5.0  // time within which urgent tasks should start
	maxCompared       = 64   // machines that one decision compares
	stagedPerNeeded   = 2.0  // machines that are to hold an announced copy, for each machine that its tasks fill
)

// Result holds the figures of a run.
type Result struct {
	Way        Strategy
	Machines   int
	Zipf       bool
	Urgent     int
	P50, P99   float64 // start delay of urgent tasks, seconds
	Share      float64 // share of urgent tasks that started within startGoalS
	MovedGB    float64
	FromPeers  float64 // share of the moved bytes that came from other machines
	DecisionUS float64 // measured time for each placement, in microseconds
	Placements int
}

// task is a waiting or running task.
type task struct {
	urgent       bool
	copy         staging.ID
	arrivedAt    float64
	runS         float64
	remainingS   float64
	node         *node
	readyAt      float64 // when the slot can be used
	started      bool
	waitingSince float64
}

// node is a simulated machine.
type node struct {
	id        string
	tasks     []*task
	copies    map[staging.ID]float64 // by ID, with the time of the last use
	fetches   map[staging.ID]*transfer
	requested map[staging.ID]bool // copies requested from the planner that have not arrived yet
	index     int
}

// transfer is a fetch under way from a machine or a file server.
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
	strategy      Strategy
	random        *rand.Rand
	now           float64
	nodes         []*node
	byName        map[string]*node
	byAddress     map[string]*node
	planner       *staging.Planner
	waitingUrgent []*task // the oldest first
	waitingOther  []*task // the oldest first
	transfers     []*transfer
	active        map[*node]bool // nodes that have fetches of the planner
	nextTick      float64        // when the planner's clock is next advanced
	data          dataSets
	measured      measurements
}

// dataSets are the data sets of a simulation.
type dataSets struct {
	popularity []float64 // weights of the sets that non-urgent tasks read
	version    int       // newest version of the set that urgent tasks read
	published  map[staging.ID]float64
	servers    map[staging.ID][2]int // the two file servers that have a version
}

// measurements holds the figures of a simulation so far.
type measurements struct {
	delays       []float64 // start delays of urgent tasks, in seconds
	bytes        float64   // bytes moved
	peerBytes    float64   // bytes moved from machine to machine, included in bytes
	decisionTime time.Duration
	placements   int
}

// Run simulates one strategy for bringing data to tasks.
func Run(strategy Strategy, o Options) Result {
	s := &sim{
		options: o, strategy: strategy, random: rand.New(rand.NewPCG(o.Seed, 7)),
		byName: map[string]*node{}, byAddress: map[string]*node{}, active: map[*node]bool{},
		data: dataSets{published: map[staging.ID]float64{}, servers: map[staging.ID][2]int{}},
	}
	cfg := staging.Config{Controllers: 1, ServerStreams: int(serverBps / machineBps), PeerStreams: 2, MachineStreams: 1,
		Rate: machineBps, ReportPeriod: time.Second}
	if strategy != Staging {
		cfg.PeerStreams, cfg.ServerStreams, cfg.MachineStreams = 0, 1<<20, 1<<20
	}
	s.planner = staging.New(cfg, func([]staging.ID) string { return "" }, rand.New(rand.NewPCG(o.Seed, 8)))
	for i := range o.Machines {
		n := &node{id: fmt.Sprintf("m%05d", i), copies: map[staging.ID]float64{}, fetches: map[staging.ID]*transfer{}, requested: map[staging.ID]bool{}, index: i}
		s.nodes = append(s.nodes, n)
		s.byName[n.id], s.byAddress["a"+n.id] = n, n
		s.planner.SetMachine(n.id, "z", "a"+n.id)
	}
	for i := range sets {
		w := 1.0
		if o.Zipf {
			w = 1 / math.Pow(float64(i+1), 1.1)
		}
		s.data.popularity = append(s.data.popularity, w)
		s.publish(setID(i))
	}
	// Machines hold some copies at the start, as they would in a running cluster.
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

// addArrivals adds the tasks and versions that arrive in a step. Non-urgent tasks fill
// about 80 % of all slots. Urgent tasks arrive from announceLeadS after each
// publication to the next one, and fill a tenth of all slots.
func (s *sim) addArrivals() {
	all := float64(slots * s.options.Machines)
	for range s.poisson(0.8 * all / otherRunS * stepS) {
		s.waitingOther = append(s.waitingOther, &task{copy: s.randomSet(), arrivedAt: s.now, runS: otherRunS * (0.5 + s.random.Float64())})
	}
	if phase := math.Mod(s.now, publishPeriodS); phase < stepS {
		s.data.version++
		id := staging.ID(fmt.Sprintf("new-%d", s.data.version))
		s.publish(id)
	} else if phase > announceLeadS {
		for range s.poisson(0.1 * all / urgentRunS * stepS) {
			s.waitingUrgent = append(s.waitingUrgent, &task{urgent: true, copy: staging.ID(fmt.Sprintf("new-%d", s.data.version)), arrivedAt: s.now,
				runS: urgentRunS * (0.5 + s.random.Float64())})
		}
	}
}

// runTasks starts the assigned tasks whose slot and data are ready, advances the running
// ones by a step and removes those that end.
func (s *sim) runTasks() {
	for _, n := range s.nodes {
		rest := n.tasks[:0]
		for _, t := range n.tasks {
			if !t.started && s.now >= t.readyAt && s.dataReady(n, t.copy) {
				t.started = true
				if t.urgent {
					s.measured.delays = append(s.measured.delays, s.now-t.arrivedAt)
				}
			}
			if t.started {
				n.copies[t.copy] = s.now
				if t.remainingS -= stepS; t.remainingS <= 0 {
					continue
				}
			}
			rest = append(rest, t)
		}
		n.tasks = rest
	}
}

// dataReady reports whether a task can read its data on a machine. With Oracle the data
// is there at the earliest possible time: once one machine could have fetched it since it
// was published.
func (s *sim) dataReady(n *node, id staging.ID) bool {
	if s.strategy == Oracle {
		if _, ok := n.copies[id]; ok {
			return true
		}
		// Each machine that holds a copy passes it on at its full rate, and the two
		// file servers send at their full rate. So the number of copies about doubles
		// in the time that one copy takes. age is in units of that time.
		age := (s.now - s.data.published[id]) * machineBps / copyBytes
		if held, _ := s.planner.HolderCounts(id); age < 1 || float64(held) >= 2*serverBps/machineBps*(math.Exp2(age)-1) {
			return false
		}
		s.measured.bytes += copyBytes
		s.addCopy(n, id)
		return true
	}
	_, ok := n.copies[id]
	return ok
}

// assign assigns a task to a slot of a machine, which can be used from readyAt on, and
// requests the fetch of the task's data.
func (s *sim) assign(t *task, n *node, readyAt float64) {
	t.node, t.remainingS, t.readyAt, t.started = n, t.runS, readyAt, false
	n.tasks = append(n.tasks, t)
	s.measured.placements++
	if _, ok := n.copies[t.copy]; ok || s.strategy == Oracle {
		return
	}
	if s.strategy == Blind {
		if n.fetches[t.copy] == nil {
			f := &transfer{id: t.copy, node: n, remainingBytes: copyBytes, server: s.data.servers[t.copy][s.random.IntN(2)]}
			n.fetches[t.copy] = f
			s.transfers = append(s.transfers, f)
		}
		return
	}
	class := staging.Normal
	if t.urgent {
		class = staging.Urgent
	}
	s.requestFetch(n, t.copy, class)
}

func (s *sim) requestFetch(n *node, id staging.ID, class staging.Class) {
	s.planner.RequestFetch(s.nowDuration(), n.id, id, class, "team", 0)
	n.requested[id], s.active[n] = true, true
}

func (s *sim) result() Result {
	r := Result{Way: s.strategy, Machines: s.options.Machines, Zipf: s.options.Zipf, Urgent: len(s.measured.delays),
		MovedGB: s.measured.bytes / 1e9, Placements: s.measured.placements}
	for _, t := range s.waitingUrgent { // tasks that still wait: their delay is at least this long
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
		withinGoal := 0
		for _, d := range s.measured.delays {
			if d <= startGoalS {
				withinGoal++
			}
		}
		r.Share = float64(withinGoal) / float64(n)
	}
	if s.measured.bytes > 0 {
		r.FromPeers = s.measured.peerBytes / s.measured.bytes
	}
	if s.measured.placements > 0 {
		r.DecisionUS = float64(s.measured.decisionTime.Microseconds()) / float64(s.measured.placements)
	}
	return r
}
