package coordination

import (
	"encoding/json"
	"sort"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// A gang of several tasks starts whole: its keeper binds all tasks in one
// transaction, on machines of its own and on such as peers have offered. A
// lease in the state service marks one waiting gang. Only that gang keeps the
// room it has found and draws from peers; others look for room and let go.

// gangLease is the record that marks the waiting gang.
type gangLease struct {
	Job   string `json:"j"`
	Owner string `json:"o"`
	Life  int64  `json:"l"`
}

// Draw asks a peer for room for a gang, Offer answers. Machines are those that
// the sender has chosen, to be cleared if need be; with none, whatever is idle
// will do.
type Draw struct {
	Job      string
	Machines []string
}

// Offer names machines that the sender holds back for a gang for a while.
type Offer struct {
	Job      string
	Machines []Offered
}

// Offered is a machine with the session its holder knows.
type Offered struct {
	Machine string
	Session uint64
}

type offer struct {
	session uint64
	stamp   uint64
	until   time.Duration
}

func (c *Core) applyGang(data json.RawMessage) {
	if c.gang.Job != "" && data == nil {
		c.freeAt = c.now
	}
	c.gang = gangLease{}
	if data != nil {
		_ = protocol.Decode(data, &c.gang)
	}
}

// holdTime is how long room is held back: until it must have been asked for
// again.
func (c *Core) holdTime() time.Duration { return 2 * c.cfg.Operator.PublishInterval }

// usable tells whether the job may be bound to a machine in a session now:
// the machine is ours, or its holder has offered it under the present claim.
func (c *Core) usable(r *record, m *machine, session uint64) bool {
	if c.mine(m) {
		return m.session == session && !c.barred(m)
	}
	_, drained := c.drains[m.id]
	o, ok := r.offers[m.id]
	return ok && !drained && o.stamp == m.stamp && o.session == session && c.now < o.until
}

// startGang starts a gang if all its tasks find room and nothing of an
// earlier attempt is left.
func (c *Core) startGang(r *record) {
	if r.bound > 0 || len(r.held) > 0 || c.now < r.backoff {
		return
	}
	tm := c.teams[r.spec.Team]
	need := r.spec.Tasks - r.finished
	if tm == nil || !tm.within(tm.use.plus(r.spec, float64(need))) {
		return
	}
	zones := []string{""}
	if r.spec.OneZone {
		zones = c.cfg.Facts.Zones
	}
	best := 0
	var bestZone string
	for _, z := range zones {
		picked := c.cover(r, z)
		if len(picked) == need {
			for _, i := range picked {
				m := c.machines[r.held[i].machine]
				session := m.session
				if !c.mine(m) {
					session = r.offers[m.id].session
				}
				c.propose(r, i, change{place: true, machine: m.id, session: session, try: r.last + 1})
			}
			c.log.Debug("starting gang", "job", r.spec.ID, "tasks", need)
			return
		}
		for _, i := range picked {
			c.unreserve(r, i)
		}
		if len(picked) > best {
			best, bestZone = len(picked), z
		}
	}
	if c.gang.Job != r.spec.ID || c.gang.Owner != c.cfg.Node {
		return
	}
	if c.drawBlock(r, zones, need) {
		return
	}
	// The marked gang keeps what it has found and asks the peers for more.
	picked := c.cover(r, bestZone)
	for _, i := range picked {
		m := c.machines[r.held[i].machine]
		m.keep(r.spec.ID, c.now+c.holdTime(), "")
	}
	for _, i := range picked {
		c.unreserve(r, i)
	}
	if c.now >= c.drawAt {
		c.drawAt = c.now + c.cfg.Operator.PublishInterval
		for _, p := range c.cfg.Peers {
			c.out.Sends = append(c.out.Sends, Send{p.Node, Message{Draw: &Draw{Job: r.spec.ID}}})
		}
	}
}

// drawBlock asks for the machines that are cleared for the marked gang at the
// least loss. Exception "whole blocks": tasks that are popped one by one
// splinter machines, and a gang that only waits for idle ones rarely finds
// enough at once. The mirror shows what is on every machine; who holds it stops
// what is of lower priority there, keeps the room, and offers it when it is
// free. The choice stands until a machine of it is lost or it has taken half a
// gang's patience; for as long again whatever is idle is drawn then.
func (c *Core) drawBlock(r *record, zones []string, need int) bool {
	half := seconds(c.cfg.Facts.Workers.GangWait / 2)
	if len(r.block) > 0 && c.now-r.blockAt >= half {
		if c.now-r.blockAt < 2*half {
			return false
		}
		r.block = nil
	}
	good := len(r.block) > 0
	for _, id := range r.block {
		m := c.machines[id]
		_, drained := c.drains[id]
		good = good && m != nil && m.stamp != 0 && !drained
	}
	if !good {
		if c.now < r.blockAt+c.cfg.Operator.PublishInterval && r.blockAt > 0 {
			return len(r.block) > 0
		}
		r.block, r.blockAt = c.cheapestBlock(r, zones, need), c.now
		c.drawAt = 0
	}
	if len(r.block) == 0 {
		return false
	}
	if c.now < c.drawAt {
		return true
	}
	c.drawAt = c.now + c.cfg.Operator.PublishInterval
	byOwner := map[string][]string{}
	for _, id := range r.block {
		m := c.machines[id]
		if c.mine(m) {
			c.clear(r, m, c.cfg.Node)
		} else {
			byOwner[m.claim.Owner] = append(byOwner[m.claim.Owner], id)
		}
	}
	for _, owner := range sortedKeys(byOwner) {
		c.out.Sends = append(c.out.Sends, Send{owner, Message{Draw: &Draw{r.spec.ID, byOwner[owner]}}})
	}
	c.log.Debug("drawing a block", "job", r.spec.ID, "stokers", r.block)
	return true
}

// cheapestBlock picks machines for a whole gang, whoever holds them, in the
// zone where clearing them loses the least work.
func (c *Core) cheapestBlock(r *record, zones []string, need int) []string {
	type choice struct {
		id    string
		depot string
		tasks int
		cost  float64
	}
	byZone := map[string][]choice{}
	for _, id := range sortedKeys(c.machines) {
		m := c.machines[id]
		_, drained := c.drains[id]
		if m.stamp == 0 || drained || !c.couldHold(r, m) || (c.mine(m) && c.barred(m)) || !c.alive(m.claim.Owner) ||
			(m.holdFor != r.spec.ID && c.now < m.holdTill) {
			continue
		}
		f := c.kind(m)
		left, cost := slot{cpus: f.CPUs - m.cpus, gpus: f.GPUs - m.gpus, ram: f.MemoryGB - m.ram}, c.fetchTime(r.spec, m)
		for k, v := range m.bound {
			if v.spec.Priority < r.spec.Priority && !multi(v) && m.gone[k] == nil {
				left.cpus, left.gpus, left.ram = left.cpus+v.spec.CPUs, left.gpus+v.spec.GPUs, left.ram+v.spec.MemoryGB
				cost += (c.now - m.boundAt[k].at).Seconds()
			}
		}
		n := 0
		for left.cpus+tolerance >= r.spec.CPUs && left.gpus+tolerance >= r.spec.GPUs && left.ram+tolerance >= r.spec.MemoryGB && n < need {
			left.put(r.spec)
			n++
		}
		if n > 0 {
			zone := m.claim.Zone
			if len(zones) == 1 && zones[0] == "" {
				zone = ""
			}
			byZone[zone] = append(byZone[zone], choice{id, m.claim.Zone, n, cost})
		}
	}
	var best []string
	bestCost := 0.0
	for _, z := range zones {
		list := byZone[z]
		sort.SliceStable(list, func(i, j int) bool { return list[i].cost/float64(list[i].tasks) < list[j].cost/float64(list[j].tasks) })
		var ids []string
		cost, found := 0.0, 0
		depots := map[string]int{}
		for i := 0; i < len(list) && found < need; i++ {
			n := min(list[i].tasks, need-found)
			if r.spec.Spread {
				if n = min(n, r.spec.SpreadLimit()-depots[list[i].depot]); n <= 0 {
					continue
				}
				depots[list[i].depot] += n
			}
			ids, cost, found = append(ids, list[i].id), cost+list[i].cost, found+n
		}
		if found >= need && (best == nil || cost < bestCost) {
			best, bestCost = ids, cost
		}
	}
	return best
}

// clear keeps a machine's room for a gang and stops what is in the way.
func (c *Core) clear(r *record, m *machine, by string) {
	if c.barred(m) || (m.holdFor != r.spec.ID && c.now < m.holdTill) {
		return
	}
	m.keep(r.spec.ID, c.now+c.holdTime(), by)
	if c.fits(r, m) || len(m.stops) > 0 {
		return
	}
	set, _, ok := c.evict(r, m, false)
	if !ok {
		return
	}
	for _, k := range set {
		c.stop(m, k, "cleared for a gang")
		c.Stats.Preemptions++
	}
}

// offerHeld tells a peer's gang that a machine kept for it is free.
func (c *Core) offerHeld(m *machine) {
	if m.holdBy == "" || c.now >= m.holdTill {
		return
	}
	r := c.jobs[m.holdFor]
	switch {
	case r == nil || r.final() || r.bound > 0 || !c.fits(r, m):
	case m.holdBy == c.cfg.Node:
		c.startGang(r)
	default:
		c.out.Sends = append(c.out.Sends, Send{m.holdBy, Message{Offer: &Offer{Job: m.holdFor, Machines: []Offered{{m.id, m.session}}}}})
	}
}

// cover reserves room for as many of a gang's tasks as it finds in a zone.
func (c *Core) cover(r *record, zone string) []int {
	ids := make([]string, 0, len(c.idle)+len(r.offers))
	for _, m := range c.idle {
		ids = append(ids, m.id)
	}
	for id, o := range r.offers {
		if c.now < o.until {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	var picked []int
	for i := 0; i < r.spec.Tasks; i++ {
		if r.task(c, i).Phase != job.Pending {
			continue
		}
		var best *machine
		for _, id := range ids {
			m := c.machines[id]
			if m == nil || (zone != "" && m.claim.Zone != zone) || !c.fits(r, m) {
				continue
			}
			session := m.session
			if !c.mine(m) {
				session = r.offers[id].session
			}
			if c.usable(r, m, session) {
				best = m
				break
			}
		}
		if best == nil {
			break
		}
		c.reserve(r, i, best)
		picked = append(picked, i)
	}
	return picked
}

// drawFor offers a peer's gang room on our idle machines.
func (c *Core) drawFor(from string, d *Draw) {
	r := c.jobs[d.Job]
	if r == nil || r.final() || r.bound > 0 {
		return
	}
	o := &Offer{Job: d.Job}
	for _, id := range d.Machines {
		if m := c.machines[id]; m != nil && c.mine(m) {
			c.clear(r, m, from)
			if !c.barred(m) && c.fits(r, m) {
				o.Machines = append(o.Machines, Offered{id, m.session})
			}
		}
	}
	for _, m := range c.idle {
		if d.Machines != nil {
			break
		}
		if !c.barred(m) && c.fits(r, m) && len(o.Machines) < r.spec.Tasks {
			m.keep(d.Job, c.now+c.holdTime(), "")
			o.Machines = append(o.Machines, Offered{m.id, m.session})
		}
	}
	if len(o.Machines) > 0 {
		c.out.Sends = append(c.out.Sends, Send{from, Message{Offer: o}})
	}
}

func (c *Core) offered(o *Offer) {
	r := c.jobs[o.Job]
	if r == nil || r.final() {
		return
	}
	if r.offers == nil {
		r.offers = map[string]offer{}
	}
	for _, x := range o.Machines {
		if m := c.machines[x.Machine]; m != nil && m.stamp != 0 {
			r.offers[x.Machine] = offer{x.Session, m.stamp, c.now + c.holdTime()}
		}
	}
	c.startGang(r)
}

// markGang takes the lease for the first waiting gang, if that is ours to
// look after, and gives it back once it no longer waits.
func (c *Core) markGang(open []*record) {
	if c.marking || c.permit == 0 {
		return
	}
	if c.gang.Job != "" {
		r := c.jobs[c.gang.Job]
		// Guards against a mark that nobody acts on: a controller that stood
		// in for the job's keeper gives it back when the keeper returns. A
		// gang that finds no room for long lets others try.
		tired := c.now-c.markedAt > seconds(2*c.cfg.Facts.Workers.GangWait)
		// Guards against one gang for which there is no block at all keeping
		// others waiting that need fewer machines or another zone.
		stuck := r != nil && c.gang.Owner == c.cfg.Node && len(r.block) == 0 && c.now-c.markedAt > c.holdTime() && c.nextGang(open, func(o *record) bool { return o != r }) != nil
		tired = tired || stuck
		if c.gang.Owner == c.cfg.Node && (c.gang.Life != c.life || r == nil || r.final() || r.bound > 0 || tired || c.successor(r.home) != c.cfg.Node) {
			c.marking = true
			if tired && r != nil && c.gang.Life == c.life {
				rest := c.cfg.Facts.Workers.GangWait / 4
				if !stuck {
					r.tired = min(r.tired+1, 4)
					rest = c.cfg.Facts.Workers.GangWait * float64(r.tired)
				}
				r.unmarked = c.now + seconds(rest)
			}
			c.store.Txn(budget.OtherWork, []protocol.Compare{{Key: keyGang, ModRevision: c.store.ModRevision(keyGang)}}, []protocol.Op{{Delete: keyGang}},
				func(bookkeeping.TxnOutcome, []string, uint64) { c.marking = false })
		}
		return
	}
	r := c.nextGang(open, func(*record) bool { return true })
	if r != nil && c.successor(r.home) != c.cfg.Node && c.now-c.freeAt > seconds(c.cfg.Facts.Workers.Report/4) {
		// The first one's keeper lets the mark lie: it has had its turn.
		r = c.nextGang(open, func(r *record) bool { return c.successor(r.home) == c.cfg.Node })
	}
	if r != nil && c.successor(r.home) == c.cfg.Node {
		c.marking, c.markedAt = true, c.now
		c.store.Txn(budget.OtherWork, []protocol.Compare{{Key: keyGang}},
			[]protocol.Op{{Put: keyGang, Value: encode(gangLease{r.spec.ID, c.cfg.Node, c.life}), Lease: c.permit}},
			func(bookkeeping.TxnOutcome, []string, uint64) { c.marking = false })
	}
}

// nextGang is the first waiting gang of those wanted.
func (c *Core) nextGang(open []*record, wanted func(*record) bool) *record {
	for _, r := range open {
		if !multi(r) || !wanted(r) || r.bound > 0 || len(r.held) > 0 || c.now < r.backoff || c.now < r.unmarked {
			continue
		}
		tm := c.teams[r.spec.Team]
		if tm != nil && tm.within(tm.use.plus(r.spec, float64(r.spec.Tasks))) {
			return r
		}
	}
	return nil
}
