package coordination

import (
	"sort"

	"silvergate/internal/job"
)

// consolidationShare is the share of our services that may be moved in a report
// period. A moved one is away for about a second.
const consolidationShare = 0.025

// Exception "gathering": the thesis's tasks end by themselves, services do
// not. Left alone, a few of them keep many machines half empty. When nothing
// waits, the services of our sparsest machines move to machines of ours that
// hold more of them, have their images and have room, in the same zone where
// zones matter. A few at a time: one a report period, or consolidationShare of them
// where there are many.
func (c *Core) consolidate() {
	if c.lined > 0 {
		for _, m := range c.ours {
			m.emptying = false // the room is wanted
		}
		c.movedAt = c.now
		return
	}
	services, emptying := 0, 0
	for _, m := range c.ours {
		services += m.services
	}
	most := max(1, consolidationShare*float64(services))
	c.moves = min(max(1, most/4), c.moves+most*(c.now-c.movedAt).Seconds()/c.cfg.Facts.Workers.Report)
	c.movedAt = c.now
	var from []*machine
	for _, m := range c.ours {
		if m.emptying {
			switch {
			case len(m.bound) == 0 && c.fleet.unshipped.holds(m.id):
				emptying++
			case len(m.bound) == 0:
				// Guards against a machine that is out of use here while the
				// plan counts on it for a waiting gang: it goes back at once.
				c.drain(m, drainIdle)
			case len(m.stops) > 0:
				emptying++
			case !c.room(m):
				m.emptying = false
			default:
				emptying++
				if c.moves >= 1 {
					c.moves--
					c.stop(m, m.tasks()[0], "moved")
				}
			}
			continue
		}
		if !c.sparse(m) {
			m.sparseAt = 0
			continue
		}
		if m.sparseAt == 0 {
			m.sparseAt = c.now
		}
		// As long as the return of an idle machine is awaited.
		if c.now-m.sparseAt > seconds(idleShare*c.kind(m).StartupS) {
			from = append(from, m)
		}
	}
	// Those with the fewest first, and no more than will be empty soon.
	sort.SliceStable(from, func(i, j int) bool { return from[i].steady < from[j].steady })
	for _, m := range from {
		if float64(emptying) >= max(1, most/4) {
			return
		}
		if c.room(m) {
			m.emptying = true
			emptying++
			c.unlist(m)
			c.log.Debug("gathering", "from", m.id, "services", len(m.bound))
		}
	}
}

// sparse tells whether a machine holds services alone, and few of them.
func (c *Core) sparse(m *machine) bool {
	f := c.kind(m)
	if c.barred(m) || len(m.bound) == 0 || len(m.stops) > 0 || m.steady > f.GPUs/2 {
		return false
	}
	for _, r := range m.bound {
		if r.spec.Shape != job.Service || r.final() {
			return false
		}
	}
	return true
}

// tied tells whether the zones of a job's tasks matter to one another.
func tied(r *record) bool { return r.spec.Tasks > 1 && (r.spec.OneZone || r.spec.Spread) }

// target finds a better machine of ours for a service on m.
func (c *Core) target(r *record, m *machine, used map[*machine]usage) *machine {
	for _, t := range c.ours {
		if t == m || c.barred(t) || t.steady < tolerance || t.steady < m.steady || (t.steady == m.steady && t.id > m.id) ||
			c.fetchTime(r.spec, t) > 0 || !c.couldHold(r, t) || tied(r) && t.claim.Zone != m.claim.Zone {
			continue
		}
		f := c.kind(t)
		u := used[t]
		if t.cpus+u.CPUs+r.spec.CPUs <= f.CPUs+tolerance && t.gpus+u.GPUs+r.spec.GPUs <= f.GPUs+tolerance &&
			t.ram+r.spec.MemoryGB <= f.MemoryGB+tolerance {
			return t
		}
	}
	return nil
}

// room tells whether all services on m have a place elsewhere.
func (c *Core) room(m *machine) bool {
	used := map[*machine]usage{}
	for _, k := range m.tasks() {
		r := m.bound[k]
		t := c.target(r, m, used)
		if t == nil {
			return false
		}
		used[t] = used[t].plus(r.spec, 1)
	}
	return true
}

// Exception "second start": the thesis binds a task once. A service that waits
// for its image on a slow machine moves to one of ours where it can start much
// sooner; it has done nothing yet, so nothing is lost.
func (c *Core) restart() {
	if c.restarting > c.now {
		return
	}
	for _, m := range c.ours {
		if len(m.pulling) == 0 {
			continue
		}
		if len(m.stops) > 0 || m.services == 0 {
			continue
		}
		for _, k := range m.tasks() {
			r := m.bound[k]
			if !m.pulling[k] || r.spec.Shape != job.Service || r.final() {
				continue
			}
			left := max(c.fetchTime(r.spec, m), r.spec.ImageGB/c.kind(m).ImagePullGBPerS-(c.now-m.boundAt[k].at).Seconds())
			t := c.pop(r)
			if t == nil || t == m || c.fetchTime(r.spec, t)+c.cfg.Facts.Workers.Report/2 > left/2 {
				continue
			}
			c.restarting = c.now + seconds(c.cfg.Facts.Workers.Report/2)
			t.keep(r.spec.ID, c.restarting, "")
			c.log.Debug("second start", "load", job.TaskName(k.id, k.index), "from", m.id, "to", t.id, "leftS", left)
			c.stop(m, k, "slow image")
			return
		}
	}
}
