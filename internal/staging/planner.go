// Package staging decides which machine fetches which data, from which source and when. It is
// a state machine without I/O: its inputs are the machines' reports and the versions' records,
// each with the current time, and its outputs are fetch orders and expected times.
//
// It keeps track of which machines hold which copies, and of the budgets of their sources.
// This is soft state: a controller that takes over rebuilds it from reports, and a machine
// without orders fetches the inputs of its tasks by itself. An order is only a hint of when to
// fetch and from which source.
//
// Urgent fetches go first and take budget from the others at once. Within a class, teams take
// turns by the bytes that were granted to them, so that none starves another.
package staging

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// ID identifies a copy of one version of a data set.
type ID string

// Class is the priority class of a fetch; a higher class goes first.
type Class int

// Classes.
const (
	Prefetch Class = iota // for work that is announced or may come
	Normal                // for tasks that wait
	Urgent                // for urgent tasks that wait
)

// Copy describes a version of a data set.
type Copy struct {
	ID      ID
	Bytes   int64
	Servers []string // addresses of the file servers that have the version
}

// Config holds the planner's settings.
type Config struct {
	// Controllers is the number of controllers; they share the budgets equally.
	Controllers int
	// ServerStreams is how many copies are fetched from one file server at a
	// time, over all controllers. PeerStreams is how many are fetched from one
	// machine at a time. MachineStreams is how many non-urgent copies one
	// machine fetches at a time.
	ServerStreams, PeerStreams, MachineStreams int
	// Rate is the assumed rate of one fetch, in bytes per second, until rates
	// are measured.
	Rate float64
	// ReportPeriod is the workers' report period.
	ReportPeriod time.Duration
}

// Order tells a machine to have a fetch under way. One of Peer and Server is set.
type Order struct {
	ID      ID
	Urgent  bool
	Peer    string // address of the machine to fetch from
	Server  string // address of the file server to fetch from
	Servers []string
}

// Report is a machine's report of its store.
type Report struct {
	Digest string // of the list of copies that the machine holds
	List   []ID   // all copies that the machine holds, if Listed is set
	Listed bool
	Pulls  []Pull
	Failed []ID // fetches that failed, also for want of room
}

// Pull is a machine's report of a fetch that it has under way.
type Pull struct {
	ID    ID
	Done  int64
	Total int64
	Rate  float64
}

type machine struct {
	id, zone, address string
	digest            string
	listed            bool // the machine has listed its copies
	held              map[*copyState]bool
	pulls             map[*copyState]*pull
	serving           int     // fetches that other machines have under way from this one
	running           int     // its own non-urgent fetches under way
	parked            []*pull // non-urgent fetches that wait until one of the running ones ends
	rate              float64
	index             int // in Planner.machineList
}

type copyState struct {
	Copy
	holders     []*machine
	holderIndex map[*machine]int // index in holders
	fetching    int              // number of machines that are to fetch the copy
}

// pull is the fetch of a copy that a machine is to make.
type pull struct {
	machine       *machine
	copyState     *copyState
	class         Class
	team          string
	deadline      time.Duration // when the copy should be there; 0: as soon as possible
	deadlineClass Class         // the class to which Tick raises the fetch so that it meets the deadline
	wantedAt      time.Duration
	active        bool
	startedAt     time.Duration // when the fetch became active
	reportedAt    time.Duration // when the machine last reported it
	doneBytes     int64
	rate          float64
	peer          *machine
	server        string
	avoid         map[string]bool // addresses of sources that failed
	notBefore     time.Duration   // the fetch is not started before this time
	failures      int
}

// Planner decides which copies the machines of one controller fetch.
type Planner struct {
	cfg           Config
	random        *rand.Rand
	digest        func([]ID) string
	machines      map[string]*machine
	machineList   []*machine
	copies        map[ID]*copyState
	serverFetches map[string]int // fetches under way from each file server
	grantedBytes  map[string]float64
	waiting       [Urgent + 1][]*pull
	preemptible   map[string][]*pull // non-urgent fetches under way, by file server
	rate          float64            // bytes per second of one fetch, smoothed over all machines
	// Stats counts the planner's decisions.
	Stats Stats
}

// Stats counts the decisions of a planner.
type Stats struct {
	Requested, Cancelled, Started, Finished, Preempted, Failed uint64
	FromPeers, FromServers                                     uint64
}

// New returns a planner. digest is the function by which machines compute the
// digest of the list of their copies.
func New(cfg Config, digest func([]ID) string, rnd *rand.Rand) *Planner {
	return &Planner{cfg: cfg, random: rnd, digest: digest, machines: map[string]*machine{}, copies: map[ID]*copyState{}, serverFetches: map[string]int{},
		grantedBytes: map[string]float64{}, preemptible: map[string][]*pull{}, rate: cfg.Rate}
}

// streamsPerServer returns this controller's share of a file server's streams.
func (p *Planner) streamsPerServer() int {
	return max(1, p.cfg.ServerStreams/max(1, p.cfg.Controllers))
}

// SetCopy adds a version or updates its record.
func (p *Planner) SetCopy(now time.Duration, c Copy) {
	if d := p.copies[c.ID]; d != nil {
		d.Copy = c
		p.dispatch(now)
		return
	}
	p.copies[c.ID] = &copyState{Copy: c, holderIndex: map[*machine]int{}}
}

// SetMachine adds a machine of this controller or updates its zone and address.
func (p *Planner) SetMachine(id, zone, address string) {
	m := p.machines[id]
	if m == nil {
		m = &machine{id: id, held: map[*copyState]bool{}, pulls: map[*copyState]*pull{}, index: len(p.machineList)}
		p.machines[id] = m
		p.machineList = append(p.machineList, m)
	}
	m.zone, m.address = zone, address
}

// RemoveMachine removes a machine with its fetches. Machines that fetched from it are
// given other sources.
func (p *Planner) RemoveMachine(now time.Duration, id string) {
	m := p.machines[id]
	if m == nil {
		return
	}
	for _, x := range p.sortedPulls(m) {
		p.removePull(x)
	}
	for d := range m.held {
		p.removeHolder(m, d)
	}
	delete(p.machines, id)
	last := p.machineList[len(p.machineList)-1]
	p.machineList[m.index], last.index = last, m.index
	p.machineList = p.machineList[:len(p.machineList)-1]
	for _, o := range p.machineList { // fetches from the removed machine wait for another source
		for _, x := range p.sortedPulls(o) {
			if x.peer == m {
				p.stopPull(x)
				p.enqueue(x)
			}
		}
	}
	p.dispatch(now)
}

func (p *Planner) addHolder(m *machine, d *copyState) {
	if m.held[d] {
		return
	}
	m.held[d] = true
	d.holderIndex[m] = len(d.holders)
	d.holders = append(d.holders, m)
}

func (p *Planner) removeHolder(m *machine, d *copyState) {
	delete(m.held, d)
	at, ok := d.holderIndex[m]
	if !ok {
		return
	}
	last := d.holders[len(d.holders)-1]
	d.holders[at], d.holderIndex[last] = last, at
	d.holders = d.holders[:len(d.holders)-1]
	delete(d.holderIndex, m)
}

// HandleReport processes a machine's report of its store. It returns true if the machine
// must list its copies, because it has not listed any yet or its digest differs from
// the one that came with its last list.
func (p *Planner) HandleReport(now time.Duration, id string, r Report) (list bool) {
	m := p.machines[id]
	if m == nil {
		return false
	}
	if r.Listed {
		listedNow := map[*copyState]bool{}
		for _, c := range r.List {
			d := p.copies[c]
			if d == nil { // the version's record has not arrived yet
				d = &copyState{Copy: Copy{ID: c}, holderIndex: map[*machine]int{}}
				p.copies[c] = d
			}
			listedNow[d] = true
			p.addHolder(m, d)
		}
		for _, d := range sortedCopies(m.held) {
			if !listedNow[d] {
				p.removeHolder(m, d)
			}
		}
		m.digest, m.listed = r.Digest, true
	} else if r.Digest != m.digest || !m.listed {
		list = true
	}
	for _, d := range sortedCopies(m.held) {
		if x := m.pulls[d]; x != nil {
			p.finishPull(now, x)
		}
	}
	for _, q := range r.Pulls {
		d := p.copies[q.ID]
		if d == nil {
			continue
		}
		if d.Bytes == 0 {
			d.Bytes = q.Total
		}
		if x := m.pulls[d]; x != nil {
			x.doneBytes, x.reportedAt = max(x.doneBytes, q.Done), now
			if q.Rate > 0 {
				x.rate = q.Rate
				p.rate += (q.Rate - p.rate) / 64
				if m.rate == 0 {
					m.rate = q.Rate
				}
				m.rate += (q.Rate - m.rate) / 4
			}
		}
	}
	for _, c := range r.Failed {
		if d := p.copies[c]; d != nil && m.pulls[d] != nil {
			p.failPull(now, m.pulls[d])
		}
	}
	p.dispatch(now)
	return list
}

func sortedCopies(m map[*copyState]bool) []*copyState {
	out := make([]*copyState, 0, len(m))
	for d := range m {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *copyState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// CopyArrived records that a machine holds a copy before the machine lists it.
func (p *Planner) CopyArrived(now time.Duration, id string, c ID) {
	m, d := p.machines[id], p.copies[c]
	if m == nil || d == nil {
		return
	}
	p.addHolder(m, d)
	if x := m.pulls[d]; x != nil {
		p.finishPull(now, x)
	}
	p.dispatch(now) // other machines may now fetch from this one
}

// RequestFetch requests that a machine fetches a copy for a team, unless the machine holds
// it. A further request with a higher class raises the fetch to that class.
func (p *Planner) RequestFetch(now time.Duration, id string, c ID, class Class, team string, by time.Duration) {
	m, d := p.machines[id], p.copies[c]
	if m == nil || d == nil || m.held[d] {
		return
	}
	x := m.pulls[d]
	switch {
	case x == nil:
		x = &pull{machine: m, copyState: d, class: class, team: team, deadline: by, wantedAt: now}
		m.pulls[d] = x
		d.fetching++
		p.Stats.Requested++
		p.enqueue(x)
	case class > x.class:
		if x.active {
			if x.class < Urgent && class == Urgent {
				m.running--
				p.unpark(m)
				if i := slices.Index(p.preemptible[x.server], x); i >= 0 {
					p.preemptible[x.server] = slices.Delete(p.preemptible[x.server], i, i+1)
				}
			}
			x.class = class
		} else {
			p.dequeue(x)
			x.class, x.notBefore = class, 0
			p.enqueue(x)
		}
		x.team, x.deadline = team, by
	default:
		return
	}
	p.dispatch(now)
}

// Prefetch requests that a machine fetches a copy for work that is announced for the time by.
// The fetch has the lowest class until just enough time is left, then rises to the work's class.
func (p *Planner) Prefetch(now time.Duration, id string, c ID, deadlineClass Class, team string, by time.Duration) {
	p.RequestFetch(now, id, c, Prefetch, team, by)
	if m, d := p.machines[id], p.copies[c]; m != nil && d != nil {
		if x := m.pulls[d]; x != nil && x.deadline > 0 {
			x.deadlineClass = max(x.deadlineClass, deadlineClass)
		}
	}
}

// mustRise reports whether a fetch must be raised to its deadlineClass now to meet
// its deadline. It allows twice the time that the remaining bytes take.
func (p *Planner) mustRise(now time.Duration, x *pull) bool {
	return x.deadline > 0 && x.class < x.deadlineClass && p.rate > 0 &&
		now >= x.deadline-time.Duration(2*float64(x.copyState.Bytes-x.doneBytes)/p.rate*float64(time.Second))
}

// CancelFetch cancels a fetch that is no longer needed.
func (p *Planner) CancelFetch(now time.Duration, id string, c ID) {
	m, d := p.machines[id], p.copies[c]
	if m == nil || d == nil || m.pulls[d] == nil {
		return
	}
	p.removePull(m.pulls[d])
	p.Stats.Cancelled++
	p.dispatch(now)
}

// Tick advances the planner's time: it restarts fetches that their machine no longer reports,
// raises those that would miss their deadline, and starts those whose pause is over.
func (p *Planner) Tick(now time.Duration) {
	for _, m := range p.machineList {
		if len(m.pulls) == 0 {
			continue
		}
		for _, x := range p.sortedPulls(m) {
			// An order can be lost with the answer that carried it, and a
			// machine can give up a fetch without reporting it.
			if x.active && now-x.reportedAt > 4*p.cfg.ReportPeriod {
				p.failPull(now, x)
			}
			if p.mustRise(now, x) {
				p.RequestFetch(now, m.id, x.copyState.ID, x.deadlineClass, x.team, x.deadline)
			}
		}
	}
	p.dispatch(now)
}

// Orders returns the fetches that a machine is to have under way, urgent ones
// first. The machine must pause any other fetch that no task of it needs.
func (p *Planner) Orders(id string) []Order {
	m := p.machines[id]
	if m == nil || len(m.pulls) == 0 {
		return nil
	}
	var out []Order
	for _, x := range p.sortedPulls(m) {
		if !x.active {
			continue
		}
		o := Order{ID: x.copyState.ID, Urgent: x.class == Urgent, Server: x.server, Servers: x.copyState.Servers}
		if x.peer != nil {
			o.Peer = x.peer.address
		}
		out = append(out, o)
	}
	slices.SortStableFunc(out, func(a, b Order) int {
		switch {
		case a.Urgent == b.Urgent:
			return 0
		case a.Urgent:
			return -1
		}
		return 1
	})
	return out
}

// ExpectedTime returns the expected time until a machine holds all of the copies: the time to
// fetch their remaining bytes at the machine's rate, one copy after the other.
func (p *Planner) ExpectedTime(now time.Duration, id string, copies []ID) time.Duration {
	if len(copies) == 0 {
		return 0
	}
	m := p.machines[id]
	left := 0.0
	for _, c := range copies {
		d := p.copies[c]
		if d == nil {
			continue
		}
		if m != nil && m.held[d] {
			continue
		}
		left += float64(d.Bytes)
		if m != nil {
			if x := m.pulls[d]; x != nil && x.active {
				left -= float64(x.doneBytes)
				if x.rate > 0 && now > x.reportedAt {
					left -= min(float64(d.Bytes-x.doneBytes), x.rate*(now-x.reportedAt).Seconds())
				}
			}
		}
	}
	rate := p.rate
	if m != nil && m.rate > 0 {
		rate = m.rate
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(left / rate * float64(time.Second))
}

// Holds reports whether a machine holds all of the copies.
func (p *Planner) Holds(id string, copies []ID) bool {
	m := p.machines[id]
	for _, c := range copies {
		if d := p.copies[c]; m == nil || d == nil || !m.held[d] {
			return false
		}
	}
	return true
}

// HolderCounts returns how many machines hold a copy, and how many are to fetch it.
func (p *Planner) HolderCounts(c ID) (held, coming int) {
	if d := p.copies[c]; d != nil {
		return len(d.holders), d.fetching
	}
	return 0, 0
}

// ForEachHolder calls each for the holders of a copy, beginning with a random one, until
// each returns false or maxScanned holders were visited.
func (p *Planner) ForEachHolder(c ID, each func(machine string) bool) {
	d := p.copies[c]
	if d == nil || len(d.holders) == 0 {
		return
	}
	start := p.random.IntN(len(d.holders))
	for i := range min(len(d.holders), maxScanned) {
		if !each(d.holders[(start+i)%len(d.holders)].id) {
			return
		}
	}
}
