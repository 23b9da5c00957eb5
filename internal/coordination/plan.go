package coordination

import (
	"fmt"
	"maps"
	"sort"
	"strconv"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

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
	if !sp.AllowsMachineType(s.where.rig) || (sp.Zone != "" && sp.Zone != s.where.depot) || (s.where.spot && !sp.Spot) {
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
	p := c.newPacking()
	p.addMachines()
	p.addListed()
	p.addRentals()
	p.sortSlots()
	p.putJobs()
	c.rent(p.want, p.urgent)
	c.returnIdle(p.slots)
	if c.verbose {
		c.log.Debug("plan", "machines", len(p.slots), "booting", p.booting, "renting", len(p.want), "unmet", p.unmet, "kinds", c.kinds())
	}
}

// packing is one plan: the machines that there are, that boot and that are to be rented,
// with what waits put onto them.
type packing struct {
	c       *Core
	slots   []*slot
	known   map[string]bool // machines that have a slot, or a claim
	zones   map[string]int  // machines in each
	dark    map[string]bool // zones that nobody hears
	deaf    map[string]bool // machines to which no work can be given
	booting int
	want    map[place]int // machines to be rented
	urgent  map[place]bool
	unmet   int // tasks for which nothing can be rented
	full    int // slots before this one have nothing left for any open job
}

func (c *Core) newPacking() *packing {
	p := &packing{c: c, known: map[string]bool{}, zones: map[string]int{}, dark: map[string]bool{}, deaf: map[string]bool{}, want: map[place]int{}, urgent: map[place]bool{}}
	for _, v := range c.fleet.seen {
		for _, id := range v.deaf {
			p.deaf[id] = c.now-v.at < seconds(c.cfg.Facts.Workers.Report)
		}
	}
	for _, z := range c.cfg.Facts.Zones {
		if p.dark[z] = c.zoneDark(z); p.dark[z] {
			p.zones[z] = avoidedZone
		}
	}
	return p
}

// avoidedZone is counted as the machines of a dark zone: nothing is rented there while there
// is another way.
const avoidedZone = 1 << 20

// add makes a slot of a machine; m is nil while it has no claim.
func (p *packing) add(id string, where place, m *machine) {
	t, ok := p.c.catalogue[where.rig]
	if !ok {
		return
	}
	s := &slot{id: id, where: where, cpus: t.CPUs, gpus: t.GPUs, ram: t.MemoryGB}
	if m != nil {
		s.cpus, s.gpus, s.ram, s.bound = t.CPUs-m.cpus, t.GPUs-m.gpus, t.MemoryGB-m.ram, len(m.bound) > 0
	}
	p.slots = append(p.slots, s)
}

// addMachines adds the machines that are claimed and can be used.
func (p *packing) addMachines() {
	c := p.c
	for id, m := range c.machines {
		p.known[id] = m.stamp != 0
		if m.stamp != 0 {
			p.zones[m.claim.Zone]++
		}
		if _, drained := c.drains[id]; drained || m.stamp == 0 || m.draining {
			continue
		}
		if p.dark[m.claim.Zone] || p.deaf[id] || c.mine(m) && m.released {
			m.idleAt = c.now // nobody can use it now; it is not idle by choice
			continue
		}
		p.add(id, place{m.claim.Type, m.claim.Zone, m.claim.Spot}, m)
	}
}

// addListed adds the machines that the cloud lists and nobody has claimed yet.
func (p *packing) addListed() {
	f := &p.c.fleet
	for id, l := range f.listed {
		if _, gone := f.gone[id]; gone || p.known[id] || l.Status == protocol.StatusFailed {
			continue
		}
		p.known[id] = true
		p.booting++
		p.add(id, place{l.MachineType, l.Zone, l.Spot}, nil)
	}
}

// addRentals adds the machines of rentals that are asked for, or answered and not listed yet.
func (p *packing) addRentals() {
	for name, r := range p.c.fleet.rentals {
		for i := 0; i < r.Number; i++ {
			id := name + "#" + strconv.Itoa(i)
			if r.Names != nil {
				if i >= len(r.Names) {
					break
				}
				id = r.Names[i]
				if p.known[id] || !p.c.expected(id) {
					continue
				}
				p.known[id] = true
			}
			p.booting++
			p.add(id, place{r.Rig, r.Depot, r.Spot}, nil)
		}
	}
}

// sortSlots puts fuller machines first, so that empty ones can be returned.
func (p *packing) sortSlots() {
	sort.Slice(p.slots, func(i, j int) bool {
		a, b := p.slots[i], p.slots[j]
		if a.bound != b.bound {
			return a.bound
		}
		if a.where.spot != b.where.spot {
			return a.where.spot // what may use spot machines leaves the others alone
		}
		return a.id < b.id
	})
}

// putJobs packs the open jobs, in the order of their turns.
func (p *packing) putJobs() {
	c := p.c
	uses := map[string]usage{}
	for _, r := range c.turns {
		if r.final() {
			continue
		}
		n := p.waiting(r, uses)
		if n == 0 {
			continue
		}
		sp := r.spec
		if sp.OneZone && sp.Zone == "" && n > 1 {
			sp = c.pinZone(r, n, p.slots, p.want, p.zones)
		}
		p.put(sp, n, spreadOf(r))
	}
}

// waiting is how many tasks of a job are to be packed within its team's limit; uses is what the
// teams use with what has been packed already.
func (p *packing) waiting(r *record, uses map[string]usage) (n int) {
	c := p.c
	tm := c.teams[r.spec.Team]
	if tm == nil || c.paused(r) { // nothing is rented for what is not tried now
		return 0
	}
	u, ok := uses[r.spec.Team]
	if !ok {
		u = tm.use
	}
	// More than a page's worth at a time need not be planned for.
	pending := min(r.spec.Tasks-r.bound-r.finished, 2*c.pageTasks())
	if !multi(r) {
		pending = c.blame(r).AtOnce(pending)
	}
	for ; n < pending && tm.within(u.plus(r.spec, 1)); n++ {
		u = u.plus(r.spec, 1)
	}
	uses[r.spec.Team] = u
	return n
}

// spreadOf counts the bound tasks in each zone of a job that must be spread, nil for any other.
func spreadOf(r *record) map[string]int {
	if !r.spec.Spread {
		return nil
	}
	counts := map[string]int{}
	maps.Copy(counts, r.zones)
	return counts
}

// put packs n tasks of a job; avoid counts its tasks in each zone if it must be spread.
func (p *packing) put(sp *job.Spec, n int, avoid map[string]int) {
	p.skipFull()
	at := p.full // a job's tasks are alike: what can't take one takes none
	for ; n > 0; n-- {
		for at < len(p.slots) && !(p.slots[at].takes(sp) && (avoid == nil || avoid[p.slots[at].where.depot] < sp.SpreadLimit())) {
			at++
		}
		if at < len(p.slots) {
			p.slots[at].put(sp)
			if avoid != nil {
				avoid[p.slots[at].where.depot]++
			}
			continue
		}
		where, found := p.c.bestPlace(sp, p.want, avoid, p.zones)
		if !found {
			p.unmet += n
			return
		}
		p.wish(where, sp)
		if avoid != nil {
			avoid[where.depot]++
		}
	}
}

// skipFull passes over slots that have nothing left.
func (p *packing) skipFull() {
	for p.full < len(p.slots) {
		s := p.slots[p.full]
		if s.cpus >= tolerance && s.ram >= tolerance && (p.c.plain > 0 || s.gpus >= tolerance) {
			return
		}
		p.full++
	}
}

// wish has a machine rented, with a task of a job on it.
func (p *packing) wish(where place, sp *job.Spec) {
	t := p.c.catalogue[where.rig]
	s := &slot{where: where, cpus: t.CPUs, gpus: t.GPUs, ram: t.MemoryGB, fresh: true}
	s.put(sp)
	p.slots = append(p.slots, s)
	p.want[where]++
	p.urgent[where] = p.urgent[where] || sp.Priority == job.Production
}

// returnIdle drains the machines that have stood idle for long enough.
func (c *Core) returnIdle(slots []*slot) {
	for _, s := range slots {
		m := c.machines[s.id]
		if m == nil || s.fresh {
			continue
		}
		if s.used || s.bound || m.gpus > 0 || m.cpus > 0 {
			m.idleAt = c.now
			continue
		}
		if c.now-m.idleAt > seconds(idleShare*c.kind(m).StartupS) && !c.fleet.unshipped.holds(m.id) {
			c.drain(m, drainIdle, protocol.Compare{Key: keyFleet, ModRevision: c.fleet.stamp}) // one that was replaced returns nothing
		}
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
		if !s.AllowsMachineType(sku) || !holds(t, s) {
			continue
		}
		fit := perMachine(t, s)
		for _, spot := range []bool{true, false} {
			if spot && !s.Spot {
				continue
			}
			price := t.OnDemandPrice
			if spot {
				price = t.SpotPrice
			}
			for _, z := range t.Zones {
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

// perMachine is how many such tasks a machine of a type holds.
func perMachine(t *protocol.MachineType, s *job.Spec) float64 {
	fit := 1e9
	for _, d := range [][2]float64{{t.CPUs, s.CPUs}, {t.GPUs, s.GPUs}, {t.MemoryGB, s.MemoryGB}} {
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
