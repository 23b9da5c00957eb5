package coordination

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/reach"
)

// fleet rents and returns machines. One controller at a time does so, under a
// lease in the state service; a deposed one can do no harm beyond cost, since
// names of rentals are never reused and releases need evidence.
type fleet struct {
	owner    string
	life     int64
	stamp    uint64
	rentals  map[string]*rental
	taking   bool
	seq      int
	calls    bucket
	lastFill time.Duration

	listed   map[string]protocol.Listed
	listing  map[string]protocol.Listed
	listFrom string
	listBusy bool
	listAt   time.Duration // when the last whole list was asked for

	refused  map[place]time.Duration // no capacity, not to be asked before
	strikes  map[place]int
	gone     map[string]time.Duration // deletion asked for
	fenced   map[string]bool          // and answered
	deleting map[string]bool
	lost     map[string]time.Duration // claimed by the dead, since when
	// inherited is how many machines an earlier life of ours held, at the most, since we have started.
	inherited int
	planAt    time.Duration
	seen      map[string]sight // by controller
	unkept    *unkept
}

// sight is in which zones a controller hears machines of its own, and in which
// none of them any more; and which of its machines do not hear it.
type sight struct {
	at        time.Duration
	lit, dark []string
	deaf      []string
}

// see takes what this controller hears. A zone is dark when nothing of it was
// heard for a while.
func (f *fleet) see(node string, now time.Duration, zones map[string]*zoneHeard, deaf []string, while time.Duration) {
	v := sight{at: now, deaf: deaf}
	for _, z := range sortedKeys(zones) {
		switch h := zones[z]; {
		case now-h.newest <= while:
			v.lit = append(v.lit, z)
		case h.held >= 4:
			v.dark = append(v.dark, z)
		}
	}
	f.seen[node] = v
}

// zoneDark tells whether a zone seems to be cut off: no controller that can be
// heard hears a machine there, and one has lost all it held there, or the zone's
// own controllers are gone. What is rented or counted on there is of no use until
// it is back. It is a guess that costs money or time and never a rule.
func (c *Core) zoneDark(zone string) bool {
	dark := false
	for _, v := range c.fleet.seen {
		if c.now-v.at > seconds(c.cfg.Facts.Workers.Report) {
			continue
		}
		if slices.Contains(v.lit, zone) {
			return false
		}
		dark = dark || slices.Contains(v.dark, zone)
	}
	locals, gone := 0, 0
	for _, p := range c.cfg.Peers {
		if p.Zone == zone {
			locals++
			if !c.alive(p.Node) && c.held[p.Node] > 0 {
				gone++
			}
		}
	}
	return dark || locals > 0 && gone == locals && c.cfg.Zone != zone
}

type place struct {
	rig   string
	depot string
	spot  bool
}

// rental is recorded before the request is sent, so that whoever leads next
// sends the same request again instead of a new one.
type rental struct {
	Rig    string   `json:"t"`
	Depot  string   `json:"z"`
	Spot   bool     `json:"s,omitempty"`
	Number int      `json:"n"`
	At     int64    `json:"at"`
	Names  []string `json:"names,omitempty"`
	busy   bool
	next   time.Duration
}

type bucket struct{ rate, level float64 }

type lease struct {
	Owner string `json:"o"`
	Life  int64  `json:"l"`
}

func (f *fleet) init() {
	f.rentals, f.seen = map[string]*rental{}, map[string]sight{}
	f.refused, f.strikes = map[place]time.Duration{}, map[place]int{}
	f.fenced = map[string]bool{}
	f.gone, f.deleting, f.lost = map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}
	f.listed, f.listing = map[string]protocol.Listed{}, map[string]protocol.Listed{}
}

func (f *fleet) applyLease(data json.RawMessage, stamp uint64) {
	f.owner, f.life, f.stamp = "", 0, 0
	if data != nil {
		var l lease
		if protocol.Decode(data, &l) == nil {
			f.owner, f.life, f.stamp = l.Owner, l.Life, stamp
		}
	}
}

func (f *fleet) applyRental(name string, data json.RawMessage) {
	if data == nil {
		delete(f.rentals, name)
		return
	}
	r := f.rentals[name]
	if r == nil {
		r = &rental{}
		f.rentals[name] = r
	}
	r.Names = nil
	_ = protocol.Decode(data, r)
}

// catalogueTick keeps the machine types, on every controller: submissions
// can't be judged without them.
func (c *Core) catalogueTick() {
	f := &c.fleet
	if f.calls.rate == 0 {
		f.calls.rate = c.cfg.Facts.Cloud.RPS / 10
		f.calls.level = 1
	}
	rate := f.calls.rate
	if c.leads() {
		rate *= 7 // the others call only until they know the machine types
	}
	f.calls.level = min(max(1, rate), f.calls.level+rate*(c.now-f.lastFill).Seconds())
	f.lastFill = c.now
	if c.flavorsIn || f.calls.level < 1 {
		return
	}
	if len(c.catalogue) > 0 && !c.leads() {
		if !c.reach.AskCloud(f.owner) {
			return
		}
	} else if c.now < c.flavorsAt {
		return
	}
	c.flavorsIn = true
	c.cloud(http.MethodGet, protocol.PathFlavors, nil, func(r protocol.Reply) {
		c.flavorsIn = false
		var v protocol.Flavors
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &v) != nil || len(v.Rigs) == 0 {
			c.flavorsAt = c.now + time.Second
			return
		}
		c.flavorsAt = c.now + seconds(10*c.cfg.Facts.Workers.Report)
		c.setCatalogue(&v)
		if c.store.Ready() && c.store.Stamp(keyFlavors) == 0 {
			c.store.Txn(budget.Rest, []protocol.Cond{{Key: keyFlavors}}, []protocol.Op{{Write: keyFlavors, Data: encode(v)}},
				func(bookkeeping.Outcome, []string, uint64) {})
		}
	})
}

func (c *Core) cloud(method, path string, body any, done func(protocol.Reply)) {
	c.fleet.calls.level--
	var raw []byte
	if body != nil {
		raw = encode(body)
	}
	c.call(protocol.Call{Target: protocol.ToCloud, Method: method, Path: path, Body: raw, Timeout: 5 * time.Second}, func(r protocol.Reply) {
		c.reach.CloudAnswered(r.Status)
		done(r)
	})
}

func (c *Core) leads() bool {
	return c.fleet.stamp != 0 && c.fleet.owner == c.cfg.Node && c.fleet.life == c.life && c.permit != 0 && c.now-c.permitAt < c.ttl*9/10
}

// fleetTick takes the lease if it is free and acts while holding it.
func (c *Core) fleetTick() {
	f := &c.fleet
	if c.reach.NoCloud() {
		now := c.reach.Picture()
		if reach.OtherRents(&now) {
			c.yieldFleet()
			return
		}
	}
	if f.stamp == 0 && c.permit != 0 && !f.taking {
		f.taking = true
		c.store.Txn(budget.Work, []protocol.Cond{{Key: keyFleet}},
			[]protocol.Op{{Write: keyFleet, Data: encode(lease{c.cfg.Node, c.life}), Permit: c.permit}},
			func(o bookkeeping.Outcome, _ []string, _ uint64) {
				f.taking = false
				if o == bookkeeping.OK {
					c.log.Info("leading the fleet")
				}
			})
	}
	if !c.leads() || len(c.catalogue) == 0 {
		return
	}
	c.list()
	c.deletions()
	c.sendRentals()
	if c.now >= f.planAt {
		f.planAt = c.now + seconds(c.cfg.Facts.Workers.Report/6)
		c.plan()
	}
}

// yieldFleet gives the lease up, or leaves it alone when it is free. Guards against a leader that only
// the cloud can't be reached by: nothing would be rented or returned until that link is
// mended, with everything else well.
func (c *Core) yieldFleet() {
	f := &c.fleet
	if f.stamp == 0 || f.owner != c.cfg.Node || f.taking {
		return
	}
	f.taking = true
	c.store.Txn(budget.Work, []protocol.Cond{{Key: keyFleet, Stamp: f.stamp}}, []protocol.Op{{Drop: keyFleet}},
		func(o bookkeeping.Outcome, _ []string, _ uint64) {
			f.taking = false
			if o == bookkeeping.OK {
				c.log.Info("leaving the fleet to another: the cloud does not answer us")
			}
		})
}

// list reads the cloud's list, page by page.
func (c *Core) list() {
	f := &c.fleet
	if f.listBusy || f.calls.level < 1 || (f.listFrom == "" && c.now < f.listAt) {
		return
	}
	f.listBusy = true
	if f.listFrom == "" {
		f.listing = map[string]protocol.Listed{}
		f.listAt = c.now + seconds(c.cfg.Facts.Cloud.ListLag/3)
	}
	c.cloud(http.MethodGet, protocol.PathRentals+"?from="+url.QueryEscape(f.listFrom)+"&page=500", nil, func(r protocol.Reply) {
		f.listBusy = false
		var l protocol.RentalList
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &l) != nil {
			f.listFrom = ""
			return
		}
		for _, m := range l.Stokers {
			f.listing[m.Ref] = m
			f.listFrom = m.Ref
		}
		if !l.Truncated || len(l.Stokers) == 0 {
			f.listed, f.listFrom = f.listing, ""
			c.listIn()
		}
	})
}

// listIn looks at a whole list: failed machines are evidence, others that
// nobody uses are strays.
func (c *Core) listIn() {
	f := &c.fleet
	for _, id := range sortedKeys(f.listed) {
		l := f.listed[id]
		if t, ok := f.gone[id]; ok && c.now-t < seconds(4*c.cfg.Facts.Cloud.ListLag) {
			continue
		}
		t, known := c.catalogue[l.Rig]
		m := c.machines[id]
		switch {
		case l.Status == protocol.StatusFailed:
			c.machineGone(id)
			f.deleting[id] = true
		case m != nil && m.stamp != 0:
		case known && c.sees() && l.AgeS > 4*t.StartupS+c.cfg.Facts.Workers.Lease:
			// Never came up, or came up and nobody hears it.
			c.log.Info("returning a machine that never reported", "stoker", id, "ageS", l.AgeS)
			f.deleting[id] = true
		}
	}
}

// machineGone releases everything on a machine of which the cloud has said
// that it is no more.
func (c *Core) machineGone(id string) {
	m := c.machines[id]
	if m == nil {
		return
	}
	for _, k := range m.tasks() {
		rec := m.bound[k]
		t := rec.task(c, k.index)
		if !c.ending(rec, k.index) {
			c.propose(rec, k.index, change{machine: id, session: t.Session, try: t.Try, kind: evidence.Cloud})
		}
	}
}

// deletions returns machines: drained ones once nothing is bound to them,
// silent and faulty ones at once. The cloud's 200 is the evidence that
// whatever was on them is gone.
func (c *Core) deletions() {
	f := &c.fleet
	for id, d := range c.drains {
		m := c.machines[id]
		if m == nil || m.stamp == 0 || len(m.bound) == 0 && c.fencedOff(id) || d.Why == drainSilent || d.Why == drainFailed {
			f.deleting[id] = true
		}
	}
	var odd []string // most machines are looked after by a living controller
	for id, m := range c.machines {
		if _, gone := f.gone[id]; gone || m.stamp == 0 || !c.alive(m.claim.Owner) {
			odd = append(odd, id)
		} else if f.lost[id] != 0 {
			delete(f.lost, id)
		}
	}
	sort.Strings(odd)
	for _, id := range odd {
		m := c.machines[id]
		if t, ok := f.gone[id]; ok && (m.stamp != 0 || len(m.bound) > 0) && f.fenced[id] && c.now-t < seconds(2*c.cfg.Facts.Cloud.ListLag) {
			// Known to be gone: releases that failed are proposed again, and
			// the records go once nothing is bound any more.
			c.machineGone(id)
			c.forgetMachine(id)
			continue
		}
		if !c.sees() {
			continue
		}
		// Guards against tasks bound for ever: whoever deleted the machine
		// may have died before their release was committed.
		if m.stamp == 0 && len(m.bound) > 0 {
			f.deleting[id] = true
			continue
		}
		// Machines of dead controllers that report to nobody else.
		if m.stamp == 0 || c.alive(m.claim.Owner) { // a living owner looks after them itself
			delete(f.lost, id)
			continue
		}
		if f.lost[id] == 0 {
			f.lost[id] = c.now
		} else if c.now-f.lost[id] > c.horizon()+seconds(3*c.cfg.Facts.Workers.Report) {
			// A controller that is only cut off sends its workers on when
			// its horizon is reached; what has not moved by then is lost.
			f.deleting[id] = true
		}
	}
	if len(f.deleting) == 0 || f.calls.level < 1 {
		return
	}
	var names []string
	for id := range f.deleting {
		if t, ok := f.gone[id]; !ok || c.now-t > seconds(2*c.cfg.Facts.Cloud.ListLag) {
			names = append(names, id)
		}
	}
	sort.Strings(names)
	if len(names) > 100 {
		names = names[:100]
	}
	clear(f.deleting)
	if len(names) == 0 {
		return
	}
	for _, id := range names {
		f.gone[id] = c.now // not again while this is under way
		delete(f.fenced, id)
	}
	c.cloud(http.MethodPost, protocol.PathDelete, protocol.Names{Stokers: names}, func(r protocol.Reply) {
		if r.Status != http.StatusOK {
			for _, id := range names {
				f.deleting[id] = true
				delete(f.gone, id)
			}
			return
		}
		c.Stats.Deleted += uint64(len(names))
		c.log.Info("machines returned", "stokers", names)
		for _, id := range names {
			f.fenced[id] = true
			c.machineGone(id)
			c.forgetMachine(id)
		}
	})
}

// fencedOff tells whether nothing can be placed on a drained machine any more that our mirror does not show. Placements are
// conditional on the absence of the drain, so what there is was committed before it, and the mirror has reached it.
//
// Guards against a deletion that overtakes the records: our own drain is in the mirror with its answer, ahead of
// what others had placed there before it.
func (c *Core) fencedOff(id string) bool { return c.store.Ledger() >= c.store.Stamp(keyDrain+id) }

// sees tells whether the records that we have can be judged by: they are whole, and new. A machine that nobody seems to hold may have
// been claimed since, and one whose claim has not been read may be anybody's.
func (c *Core) sees() bool {
	return c.store.Whole() && c.now-c.store.Fresh() < seconds(c.cfg.Facts.Workers.Report)
}

// forgetMachine drops the records of a machine that is gone, once nothing is
// bound to it.
func (c *Core) forgetMachine(id string) {
	if m := c.machines[id]; m != nil && (len(m.bound) > 0 || m.forgetting > c.now) {
		return
	} else if m != nil {
		m.forgetting = c.now + time.Second
	}
	var conds []protocol.Cond
	var ops []protocol.Op
	for _, key := range []string{keyClaim + id, keyDrain + id} {
		if s := c.store.Stamp(key); s != 0 {
			conds = append(conds, protocol.Cond{Key: key, Stamp: s})
			ops = append(ops, protocol.Op{Drop: key})
		}
	}
	if len(ops) > 0 {
		c.store.Txn(budget.Work, conds, ops, func(bookkeeping.Outcome, []string, uint64) {})
	}
}

// sendRentals sends recorded requests until each has got an answer.
func (c *Core) sendRentals() {
	f := &c.fleet
	for _, name := range sortedKeys(f.rentals) {
		r := f.rentals[name]
		if r.Names != nil {
			c.settleRental(name, r)
			continue
		}
		if r.busy || c.now < r.next || f.calls.level < 1 {
			continue
		}
		r.busy = true
		where := place{r.Rig, r.Depot, r.Spot}
		c.cloud(http.MethodPost, protocol.PathRentals, protocol.Rental{Hire: name, Rig: r.Rig, Depot: r.Depot, Casual: r.Spot, Number: r.Number}, func(rep protocol.Reply) {
			r.busy = false
			var n protocol.Names
			switch {
			case rep.Status == http.StatusOK && protocol.Decode(rep.Body, &n) == nil:
				c.Stats.Rented += uint64(len(n.Stokers))
				c.log.Info("rented", "hire", name, "rig", r.Rig, "depot", r.Depot, "casual", r.Spot, "stokers", n.Stokers)
				if len(n.Stokers) < r.Number {
					c.noCapacity(where)
				} else {
					f.strikes[where] = 0
				}
				if len(n.Stokers) == 0 {
					c.dropRental(name)
					return
				}
				r.Names = n.Stokers
				c.store.Txn(budget.Work, []protocol.Cond{{Key: keyRental + name, Stamp: c.store.Stamp(keyRental + name)}},
					[]protocol.Op{{Write: keyRental + name, Data: encode(r)}}, func(bookkeeping.Outcome, []string, uint64) {})
			case rep.Status == http.StatusServiceUnavailable && string(rep.Body) != "" && !isTrouble(rep.Body):
				c.noCapacity(where)
				c.dropRental(name)
			case rep.Status == http.StatusBadRequest:
				c.log.Error("the cloud calls a rental malformed", "hire", name)
				c.dropRental(name)
			default:
				r.next = c.now + time.Second
			}
		})
	}
}

func isTrouble(body []byte) bool {
	var p protocol.Problem
	return protocol.Decode(body, &p) != nil || p.Error != "no capacity"
}

func (c *Core) noCapacity(p place) {
	f := &c.fleet
	f.strikes[p]++
	f.refused[p] = c.now + seconds(2*c.cfg.Facts.Workers.Report)*time.Duration(min(f.strikes[p], 5))
}

func (c *Core) dropRental(name string) {
	c.store.Txn(budget.Work, []protocol.Cond{{Key: keyRental + name, Stamp: c.store.Stamp(keyRental + name)}},
		[]protocol.Op{{Drop: keyRental + name}}, func(bookkeeping.Outcome, []string, uint64) {})
}

// settleRental drops a rental's record once its machines have all reported,
// been returned, or been given up.
func (c *Core) settleRental(name string, r *rental) {
	t := c.catalogue[r.Rig]
	if t == nil {
		return
	}
	late := float64(c.wall.UnixMilli()-r.At)/1000 > 4*t.StartupS+c.cfg.Facts.Workers.Lease
	open := false
	for _, id := range r.Names {
		if !c.expected(id) {
			continue
		}
		open = true
		if late {
			c.fleet.deleting[id] = true
		}
	}
	if !open && !r.busy {
		r.busy = true
		c.dropRental(name)
	}
}

// expected tells whether a rented machine has yet to report.
func (c *Core) expected(id string) bool {
	if _, gone := c.fleet.gone[id]; gone {
		return false
	}
	m := c.machines[id]
	return m == nil || m.stamp == 0
}

// shape of a machine in a plan.
type slot struct {
	id    string
	where place
	cpus  float64
	gpus  float64
	ram   float64
	bound bool
	used  bool
	fresh bool
}

func (s *slot) takes(sp *job.Spec) bool {
	if !sp.TypeAllowed(s.where.rig) || (sp.Zone != "" && sp.Zone != s.where.depot) || (s.where.spot && !sp.Spot) {
		return false
	}
	return sp.CPUs <= s.cpus+tolerance && sp.GPUs <= s.gpus+tolerance && sp.MemoryGB <= s.ram+tolerance
}

func (s *slot) put(sp *job.Spec) {
	s.cpus -= sp.CPUs
	s.gpus -= sp.GPUs
	s.ram -= sp.MemoryGB
	s.used = true
}

// plan packs what waits onto the machines there are and those
// that are booting. What does not fit is rented for; what is not used is
// returned after a while.
func (c *Core) plan() {
	f := &c.fleet
	var slots []*slot
	boot := 0
	add := func(id string, where place, m *machine) {
		t, ok := c.catalogue[where.rig]
		if !ok {
			return
		}
		s := &slot{id: id, where: where, cpus: t.CPUs, gpus: t.GPUs, ram: t.RAM}
		if m != nil {
			s.cpus, s.gpus, s.ram, s.bound = t.CPUs-m.cpus, t.GPUs-m.gpus, t.RAM-m.ram, len(m.bound) > 0
		}
		slots = append(slots, s)
	}
	known := map[string]bool{}
	deaf := map[string]bool{}
	for _, v := range f.seen {
		for _, id := range v.deaf {
			deaf[id] = c.now-v.at < seconds(c.cfg.Facts.Workers.Report)
		}
	}
	zones := map[string]int{} // machines in each
	dark := map[string]bool{}
	for _, z := range c.cfg.Facts.Zones {
		if dark[z] = c.zoneDark(z); dark[z] {
			zones[z] = 1 << 20 // nothing is rented there while there is another way
		}
	}
	for id, m := range c.machines {
		known[id] = m.stamp != 0
		if m.stamp != 0 {
			zones[m.claim.Zone]++
		}
		if _, drained := c.drains[id]; drained || m.stamp == 0 || m.draining {
			continue
		}
		if dark[m.claim.Zone] || deaf[id] || c.mine(m) && m.released {
			m.idleAt = c.now // nobody can use it now; it is not idle by choice
			continue
		}
		add(id, place{m.claim.Type, m.claim.Zone, m.claim.Spot}, m)
	}
	for id, l := range f.listed {
		if _, gone := f.gone[id]; gone || known[id] || l.Status == protocol.StatusFailed {
			continue
		}
		known[id] = true
		boot++
		add(id, place{l.Rig, l.Depot, l.Casual}, nil)
	}
	for name, r := range f.rentals {
		for i := 0; i < r.Number; i++ {
			id := name + "#" + strconv.Itoa(i)
			if r.Names != nil {
				if i >= len(r.Names) {
					break
				}
				id = r.Names[i]
				if known[id] || !c.expected(id) {
					continue
				}
				known[id] = true
			}
			boot++
			add(id, place{r.Rig, r.Depot, r.Spot}, nil)
		}
	}
	// Fuller machines first, so that empty ones can be returned.
	sort.Slice(slots, func(i, j int) bool {
		a, b := slots[i], slots[j]
		if a.bound != b.bound {
			return a.bound
		}
		if a.where.spot != b.where.spot {
			return a.where.spot // what may use spot machines leaves the others alone
		}
		return a.id < b.id
	})
	want, urgent := map[place]int{}, map[place]bool{}
	unmet := 0
	full := 0 // slots before this one have nothing left for any open job
	put := func(sp *job.Spec, n int, avoid map[string]int) {
		for full < len(slots) && (slots[full].cpus < tolerance || slots[full].ram < tolerance || c.plain == 0 && slots[full].gpus < tolerance) {
			full++
		}
		at := full // a job's tasks are alike: what can't take one takes none
		for ; n > 0; n-- {
			for at < len(slots) && !(slots[at].takes(sp) && (avoid == nil || avoid[slots[at].where.depot] < sp.SpreadLimit())) {
				at++
			}
			if at < len(slots) {
				slots[at].put(sp)
				if avoid != nil {
					avoid[slots[at].where.depot]++
				}
				continue
			}
			w, found := c.bestPlace(sp, want, avoid, zones)
			if !found {
				unmet += n
				return
			}
			t := c.catalogue[w.rig]
			s := &slot{where: w, cpus: t.CPUs, gpus: t.GPUs, ram: t.RAM, fresh: true}
			s.put(sp)
			slots = append(slots, s)
			want[w]++
			urgent[w] = urgent[w] || sp.Priority == job.Production
			if avoid != nil {
				avoid[w.depot]++
			}
		}
	}
	uses := map[string]usage{}
	for _, r := range c.turns {
		if r.final() {
			continue
		}
		tm := c.teams[r.spec.Team]
		if tm == nil || c.paused(r) { // nothing is rented for what is not tried now
			continue
		}
		u, ok := uses[r.spec.Team]
		if !ok {
			u = tm.use
		}
		n := 0
		// More than a page's worth at a time need not be planned for.
		pending := min(r.spec.Tasks-r.bound-r.finished, 2*c.pageTasks())
		if !multi(r) {
			pending = c.blame(r).AtOnce(pending)
		}
		for ; n < pending && tm.within(u.plus(r.spec, 1)); n++ {
			u = u.plus(r.spec, 1)
		}
		uses[r.spec.Team] = u
		if n == 0 {
			continue
		}
		var avoid map[string]int
		if r.spec.Spread {
			avoid = map[string]int{}
			for z, k := range r.zones {
				avoid[z] = k
			}
		}
		sp := r.spec
		if sp.OneZone && sp.Zone == "" && n > 1 {
			sp = c.pinZone(r, n, slots, want, zones)
		}
		put(sp, n, avoid)
	}
	c.rent(want, urgent)
	for _, s := range slots {
		m := c.machines[s.id]
		if m == nil || s.fresh {
			continue
		}
		if s.used || s.bound || m.gpus > 0 || m.cpus > 0 {
			m.idleAt = c.now
			continue
		}
		if c.now-m.idleAt > seconds(idleShare*c.kind(m).StartupS) && !c.fleet.unkept.holds(m.id) {
			c.drain(m, drainIdle)
		}
	}
	if c.verbose {
		c.log.Debug("plan", "machines", len(slots), "booting", boot, "renting", len(want), "unmet", unmet, "kinds", c.kinds())
	}
}

// kinds tells how many machines of each type there are, how many of their
// accelerators are taken, and how many of those by services.
func (c *Core) kinds() string {
	type sum struct {
		n                 int
		all, used, steady float64
	}
	by := map[string]*sum{}
	for id, m := range c.machines {
		if m.stamp == 0 {
			continue
		}
		k := m.claim.Type
		if m.claim.Spot {
			k += ",spot"
		}
		if _, drained := c.drains[id]; drained {
			k += ",drained"
		}
		if by[k] == nil {
			by[k] = &sum{}
		}
		s := by[k]
		s.n, s.all, s.used, s.steady = s.n+1, s.all+c.kind(m).GPUs, s.used+m.gpus, s.steady+m.steady
	}
	out := ""
	for _, k := range sortedKeys(by) {
		out += fmt.Sprintf("%s:%d %g/%g steady %g; ", k, by[k].n, by[k].used, by[k].all, by[k].steady)
	}
	return out
}

// bestPlace picks where to rent for a task: the cheapest type and kind per
// task that has not just been refused, in the zone with the fewest planned.
func (c *Core) bestPlace(s *job.Spec, want map[place]int, avoid, zones map[string]int) (place, bool) {
	var best place
	bestCost, bestLoad, found := 0.0, 0, false
	for _, sku := range sortedKeys(c.catalogue) {
		t := c.catalogue[sku]
		if !s.TypeAllowed(sku) || !holds(t, s) {
			continue
		}
		fit := perMachine(t, s)
		for _, spot := range []bool{true, false} {
			if spot && !s.Spot {
				continue
			}
			price := t.Hourly
			if spot {
				price = t.SpotPrice
			}
			for _, z := range t.Depots {
				w := place{sku, z, spot}
				if (s.Zone != "" && s.Zone != z) || c.now < c.fleet.refused[w] || (avoid != nil && avoid[z] >= s.SpreadLimit()) {
					continue
				}
				cost, load := price/fit, want[w]+zones[z]
				if !found || cost < bestCost*0.999 || (cost < bestCost*1.001 && load < bestLoad) {
					best, bestCost, bestLoad, found = w, cost, load, true
				}
			}
		}
	}
	return best, found
}

// rent records new rentals, those that production work waits for ahead of other
// changes; sendRentals sends them once recorded.
func (c *Core) rent(want map[place]int, urgent map[place]bool) {
	f := &c.fleet
	pending := map[place]bool{}
	for _, r := range f.rentals {
		if r.Names == nil {
			pending[place{r.Rig, r.Depot, r.Spot}] = true
		}
	}
	var places []place
	for w := range want {
		places = append(places, w)
	}
	sort.Slice(places, func(i, j int) bool {
		a, b := places[i], places[j]
		return a.rig+a.depot < b.rig+b.depot || (a.rig+a.depot == b.rig+b.depot && !a.spot && b.spot)
	})
	// As many requests as the cloud takes until about the next plan, in rounds
	// over the places; what it refuses costs a call and two changes each.
	calls := max(len(places), int(f.calls.rate*7*1.5))
	places = slices.DeleteFunc(places, func(w place) bool { return pending[w] || f.taking })
	for len(places) > 0 && calls > 0 {
		left := places[:0]
		for _, w := range places {
			if calls--; calls < 0 {
				break
			}
			c.recordRental(w, min(want[w], rentalSize), urgent[w])
			if want[w] -= rentalSize; want[w] > 0 {
				left = append(left, w)
			}
			f.refused[w] = max(f.refused[w], c.now+time.Second) // until the record shows
		}
		places = left
	}
}

// recordRental writes down what is to be rented.
func (c *Core) recordRental(w place, n int, urgent bool) {
	f := &c.fleet
	f.seq++
	// The stamp of our tenure's lease key never comes again.
	name := "r-" + strconv.FormatUint(f.stamp, 10) + "-" + strconv.Itoa(f.seq)
	r := rental{Rig: w.rig, Depot: w.depot, Spot: w.spot, Number: n, At: c.wall.UnixMilli()}
	class := budget.Work
	if urgent {
		class = budget.Rescue
	}
	c.store.Txn(class, []protocol.Cond{{Key: keyRental + name}, {Key: keyFleet, Stamp: f.stamp}},
		[]protocol.Op{{Write: keyRental + name, Data: encode(r)}}, func(bookkeeping.Outcome, []string, uint64) {})
}

// rentalSize is the most machines that a request may ask for (PROTOCOL).
const rentalSize = 50

// perMachine is how many such tasks a machine of a type holds.
func perMachine(t *protocol.Flavor, s *job.Spec) float64 {
	fit := 1e9
	for _, d := range [][2]float64{{t.CPUs, s.CPUs}, {t.GPUs, s.GPUs}, {t.RAM, s.MemoryGB}} {
		if d[1] > 0 {
			fit = min(fit, float64(int(d[0]/d[1]+tolerance)))
		}
	}
	return max(fit, 1)
}

// idleShare is how long a machine may stand idle, as a share of the time it
// took to boot.
const idleShare = 0.75

// pinZone picks the zone in which a one-zone job's tasks are planned: where
// some are already, or else where most of them find room.
func (c *Core) pinZone(r *record, n int, slots []*slot, want map[place]int, zones map[string]int) *job.Spec {
	best, bestFit := r.spec, -1
	for _, z := range c.cfg.Facts.Zones {
		sp := *r.spec
		sp.Zone = z
		fit := 0
		for _, s := range slots {
			for room := *s; fit < n && room.takes(&sp); fit++ {
				room.put(&sp)
			}
		}
		_, rentable := c.bestPlace(&sp, want, nil, zones)
		if r.zones[z] > 0 {
			return &sp
		}
		if (fit == n || rentable) && fit > bestFit {
			best, bestFit = &sp, fit
		}
	}
	return best
}
