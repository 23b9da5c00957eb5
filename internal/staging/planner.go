// Package staging decides which machine fetches which data, from whom and when:
// a state machine without I/O. Reports and records go in with the time; stage
// orders and expected times come out.
//
// It owns what is known of copies on machines and the budgets of their sources.
// Nothing in it is truth: a controller that takes over rebuilds it from reports,
// and a machine that is told nothing fetches what its tasks need by itself. An
// order is a hint of when and from whom.
//
// Urgent fetches go first and take a budget from others at once. Within a class,
// teams take turns by the bytes they were given, so none starves another.
package staging

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// ID names a copy: a version of a data set.
type ID string

// Class orders fetches; the larger goes first.
type Class int

// Classes.
const (
	Ahead  Class = iota // for work that is announced or may come
	Normal              // for tasks that wait
	Urgent              // for urgent tasks that wait
)

// Copy is what is known of a version.
type Copy struct {
	ID      ID
	Bytes   int64
	Servers []string // addresses of file servers that have it
}

// Config are the planner's settings.
type Config struct {
	// Controllers share the budgets equally.
	Controllers int
	// ServerStreams is how many copies are fetched from one file server at a
	// time, over all controllers; PeerStreams how many from one machine;
	// MachineStreams how many one machine fetches at a time that are not
	// urgent.
	ServerStreams, PeerStreams, MachineStreams int
	// Rate is the bytes a second of one fetch, until some are measured.
	Rate float64
	// Report is the workers' report period.
	Report time.Duration
}

// Order is a fetch that a machine is to have under way.
type Order struct {
	ID      ID
	Urgent  bool
	Peer    string // address of a machine to fetch from, or
	Server  string // of a file server
	Servers []string
}

// Report is what a machine says of its store.
type Report struct {
	Digest string // of the copies that it holds
	List   []ID   // all of them, if Listed
	Listed bool
	Pulls  []Pull
	Failed []ID // fetches that failed, or for which there is no room
}

// Pull is a fetch that a machine has under way.
type Pull struct {
	ID    ID
	Done  int64
	Total int64
	Rate  float64
}

type machine struct {
	id, zone, address string
	digest            string
	known             bool // its list is
	held              map[*data]bool
	pulls             map[*data]*pull
	serving           int     // copies that others fetch from it
	running           int     // its own fetches that are not urgent and under way
	parked            []*pull // that wait for one of these to end
	rate              float64
	at                int // place in the list of all
}

type data struct {
	Copy
	holders []*machine
	where   map[*machine]int // place in holders
	coming  int              // machines that are to fetch it
}

// pull is a copy that a machine is to fetch.
type pull struct {
	m      *machine
	d      *data
	class  Class
	team   string
	by     time.Duration // when it should be there; 0: as soon as can be
	rise   Class         // what it becomes when it would be late otherwise
	since  time.Duration
	going  bool
	start  time.Duration // of going
	seen   time.Duration // when the machine last reported it
	done   int64
	rate   float64
	peer   *machine
	server string
	avoid  map[string]bool // sources that failed, by address
	hold   time.Duration   // not before
	fails  int
}

// Planner is the state machine.
type Planner struct {
	cfg      Config
	rnd      *rand.Rand
	digest   func([]ID) string
	machines map[string]*machine
	all      []*machine
	copies   map[ID]*data
	servers  map[string]int // fetches under way from each
	given    map[string]float64
	waiting  [Urgent + 1][]*pull
	users    map[string][]*pull // fetches under way that are not urgent, by server
	rate     float64            // of a fetch, smoothed over all machines
	// Stats counts what was decided.
	Stats Stats
}

// Stats counts decisions.
type Stats struct {
	Wanted, Withdrawn, Started, Finished, Displaced, Failed uint64
	FromPeers, FromServers                                  uint64
}

// New makes a planner. digest is how machines sum up the list of their copies.
func New(cfg Config, digest func([]ID) string, rnd *rand.Rand) *Planner {
	return &Planner{cfg: cfg, rnd: rnd, digest: digest, machines: map[string]*machine{}, copies: map[ID]*data{}, servers: map[string]int{},
		given: map[string]float64{}, users: map[string][]*pull{}, rate: cfg.Rate}
}

// perServer is this controller's share of a file server's streams.
func (p *Planner) perServer() int {
	return max(1, p.cfg.ServerStreams/max(1, p.cfg.Controllers))
}

// SetCopy takes a version's record.
func (p *Planner) SetCopy(now time.Duration, c Copy) {
	if d := p.copies[c.ID]; d != nil {
		d.Copy = c
		p.dispatch(now)
		return
	}
	p.copies[c.ID] = &data{Copy: c, where: map[*machine]int{}}
}

// Join makes a machine of this controller known.
func (p *Planner) Join(id, zone, address string) {
	m := p.machines[id]
	if m == nil {
		m = &machine{id: id, held: map[*data]bool{}, pulls: map[*data]*pull{}, at: len(p.all)}
		p.machines[id] = m
		p.all = append(p.all, m)
	}
	m.zone, m.address = zone, address
}

// Lost forgets a machine, with all that it fetches and serves.
func (p *Planner) Lost(now time.Duration, id string) {
	m := p.machines[id]
	if m == nil {
		return
	}
	for _, x := range p.sortedPulls(m) {
		p.drop(x)
	}
	for d := range m.held {
		p.unhold(m, d)
	}
	delete(p.machines, id)
	last := p.all[len(p.all)-1]
	p.all[m.at], last.at = last, m.at
	p.all = p.all[:len(p.all)-1]
	for _, o := range p.all { // whoever fetched from it looks elsewhere
		for _, x := range p.sortedPulls(o) {
			if x.peer == m {
				p.halt(x)
				p.enqueue(x)
			}
		}
	}
	p.dispatch(now)
}

func (p *Planner) holds(m *machine, d *data) {
	if m.held[d] {
		return
	}
	m.held[d] = true
	d.where[m] = len(d.holders)
	d.holders = append(d.holders, m)
}

func (p *Planner) unhold(m *machine, d *data) {
	delete(m.held, d)
	at, ok := d.where[m]
	if !ok {
		return
	}
	last := d.holders[len(d.holders)-1]
	d.holders[at], d.where[last] = last, at
	d.holders = d.holders[:len(d.holders)-1]
	delete(d.where, m)
}

// Held takes a machine's report of its store. It returns true when the machine
// is to list its copies, as its digest is not that of what is known.
func (p *Planner) Held(now time.Duration, id string, r Report) (list bool) {
	m := p.machines[id]
	if m == nil {
		return false
	}
	if r.Listed {
		here := map[*data]bool{}
		for _, c := range r.List {
			d := p.copies[c]
			if d == nil { // its record has not come yet
				d = &data{Copy: Copy{ID: c}, where: map[*machine]int{}}
				p.copies[c] = d
			}
			here[d] = true
			p.holds(m, d)
		}
		for _, d := range sortedData(m.held) {
			if !here[d] {
				p.unhold(m, d)
			}
		}
		m.digest, m.known = r.Digest, true
	} else if r.Digest != m.digest || !m.known {
		list = true
	}
	for _, d := range sortedData(m.held) {
		if x := m.pulls[d]; x != nil {
			p.finish(now, x)
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
			x.done, x.seen = max(x.done, q.Done), now
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
			p.fail(now, m.pulls[d])
		}
	}
	p.dispatch(now)
	return list
}

func sortedData(m map[*data]bool) []*data {
	out := make([]*data, 0, len(m))
	for d := range m {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *data) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Arrived takes that a machine holds a copy, ahead of its list.
func (p *Planner) Arrived(now time.Duration, id string, c ID) {
	m, d := p.machines[id], p.copies[c]
	if m == nil || d == nil {
		return
	}
	p.holds(m, d)
	if x := m.pulls[d]; x != nil {
		p.finish(now, x)
	}
	p.dispatch(now) // others may fetch from it
}

// Want has a machine fetch a copy for a team, unless it holds it. Wanted again
// by a higher class, it rises to that.
func (p *Planner) Want(now time.Duration, id string, c ID, class Class, team string, by time.Duration) {
	m, d := p.machines[id], p.copies[c]
	if m == nil || d == nil || m.held[d] {
		return
	}
	x := m.pulls[d]
	switch {
	case x == nil:
		x = &pull{m: m, d: d, class: class, team: team, by: by, since: now}
		m.pulls[d] = x
		d.coming++
		p.Stats.Wanted++
		p.enqueue(x)
	case class > x.class:
		if x.going {
			if x.class < Urgent && class == Urgent {
				m.running--
				p.unpark(m)
				if i := slices.Index(p.users[x.server], x); i >= 0 {
					p.users[x.server] = slices.Delete(p.users[x.server], i, i+1)
				}
			}
			x.class = class
		} else {
			p.dequeue(x)
			x.class, x.hold = class, 0
			p.enqueue(x)
		}
		x.team, x.by = team, by
	default:
		return
	}
	p.dispatch(now)
}

// Promise has a machine fetch a copy ahead of work that is announced for a time.
// It goes behind all that waits already, until there is just time enough left:
// then it rises to the class of the work.
func (p *Planner) Promise(now time.Duration, id string, c ID, rise Class, team string, by time.Duration) {
	p.Want(now, id, c, Ahead, team, by)
	if m, d := p.machines[id], p.copies[c]; m != nil && d != nil {
		if x := m.pulls[d]; x != nil && x.by > 0 {
			x.rise = max(x.rise, rise)
		}
	}
}

// due tells whether a fetch must go first now to be in time: twice what is left
// of it is the margin.
func (p *Planner) due(now time.Duration, x *pull) bool {
	return x.by > 0 && x.class < x.rise && p.rate > 0 && now >= x.by-time.Duration(2*float64(x.d.Bytes-x.done)/p.rate*float64(time.Second))
}

// Unwant gives a fetch up that nothing needs any more.
func (p *Planner) Unwant(now time.Duration, id string, c ID) {
	m, d := p.machines[id], p.copies[c]
	if m == nil || d == nil || m.pulls[d] == nil {
		return
	}
	p.drop(m.pulls[d])
	p.Stats.Withdrawn++
	p.dispatch(now)
}

// Tick lets time pass: fetches that a machine does not mention are started
// anew, and those whose pause is over go on.
func (p *Planner) Tick(now time.Duration) {
	for _, m := range p.all {
		if len(m.pulls) == 0 {
			continue
		}
		for _, x := range p.sortedPulls(m) {
			// Guards against orders that were lost with an answer, and
			// against machines that gave up without a word.
			if x.going && now-x.seen > 4*p.cfg.Report {
				p.fail(now, x)
			}
			if p.due(now, x) {
				p.Want(now, m.id, x.d.ID, x.rise, x.team, x.by)
			}
		}
	}
	p.dispatch(now)
}

// Orders lists the fetches that a machine is to have under way, urgent ones
// first. Others that it has under way for no task are to stand still.
func (p *Planner) Orders(id string) []Order {
	m := p.machines[id]
	if m == nil || len(m.pulls) == 0 {
		return nil
	}
	var out []Order
	for _, x := range p.sortedPulls(m) {
		if !x.going {
			continue
		}
		o := Order{ID: x.d.ID, Urgent: x.class == Urgent, Server: x.server, Servers: x.d.Servers}
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

// Expect is how long it will be until a machine holds all of the copies, as far
// as is known: what is left of them at the machine's rate, one after the other.
func (p *Planner) Expect(now time.Duration, id string, copies []ID) time.Duration {
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
			if x := m.pulls[d]; x != nil && x.going {
				left -= float64(x.done)
				if x.rate > 0 && now > x.seen {
					left -= min(float64(d.Bytes-x.done), x.rate*(now-x.seen).Seconds())
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

// Holds tells whether a machine holds all of the copies.
func (p *Planner) Holds(id string, copies []ID) bool {
	m := p.machines[id]
	for _, c := range copies {
		if d := p.copies[c]; m == nil || d == nil || !m.held[d] {
			return false
		}
	}
	return true
}

// Holders is how many machines hold a copy, and how many fetch it.
func (p *Planner) Holders(c ID) (held, coming int) {
	if d := p.copies[c]; d != nil {
		return len(d.holders), d.coming
	}
	return 0, 0
}

// Some calls each for holders of a copy, from a random one on, at most as many
// as one decision looks at, until it returns false.
func (p *Planner) Some(c ID, each func(machine string) bool) {
	d := p.copies[c]
	if d == nil || len(d.holders) == 0 {
		return
	}
	start := p.rnd.IntN(len(d.holders))
	for i := range min(len(d.holders), scanned) {
		if !each(d.holders[(start+i)%len(d.holders)].id) {
			return
		}
	}
}
