package coordination

import (
	"fmt"
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
			c.drain(m, drainIdle, protocol.Cond{Key: keyFleet, Stamp: f.stamp}) // one that was replaced returns nothing
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
