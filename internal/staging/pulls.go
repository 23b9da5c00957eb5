package staging

import (
	"cmp"
	"slices"
	"time"
)

func (p *Planner) sortedPulls(m *machine) []*pull {
	out := make([]*pull, 0, len(m.pulls))
	for _, x := range m.pulls {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *pull) int { return cmp.Compare(a.d.ID, b.d.ID) })
	return out
}

func (p *Planner) finish(now time.Duration, x *pull) {
	p.Stats.Finished++
	if x.going && now > x.start {
		if r := float64(x.d.Bytes) / (now - x.start).Seconds(); x.rate == 0 && r > 0 {
			p.rate += (r - p.rate) / 64
		}
	}
	p.drop(x)
}

// drop forgets a fetch.
func (p *Planner) drop(x *pull) {
	p.halt(x)
	p.dequeue(x)
	if x.m.pulls[x.d] == x {
		delete(x.m.pulls, x.d)
		x.d.coming--
	}
}

// halt gives back what a fetch takes of budgets.
func (p *Planner) halt(x *pull) {
	if !x.going {
		return
	}
	x.going = false
	if x.peer != nil {
		x.peer.serving--
		x.peer = nil
	}
	if x.server != "" {
		p.servers[x.server]--
		if i := slices.Index(p.users[x.server], x); i >= 0 {
			p.users[x.server] = slices.Delete(p.users[x.server], i, i+1)
		}
		x.server = ""
	}
	if x.class < Urgent {
		x.m.running--
		p.unpark(x.m)
	}
}

// unpark has a machine's fetches wait for sources again.
func (p *Planner) unpark(m *machine) {
	for _, x := range m.parked {
		p.enqueue(x)
	}
	m.parked = nil
}

// Pauses after a fetch that failed, in report periods: the first, doubling.
const maxFails = 6

// fail has a fetch tried again later, from another source if there is one.
func (p *Planner) fail(now time.Duration, x *pull) {
	p.Stats.Failed++
	if x.going {
		if x.avoid == nil {
			x.avoid = map[string]bool{}
		}
		if x.peer != nil {
			x.avoid[x.peer.address] = true
		} else if x.server != "" {
			x.avoid[x.server] = true
		}
		p.halt(x)
		p.enqueue(x)
	}
	pause := p.cfg.Report << min(x.fails, maxFails)
	x.fails++
	x.hold = now + pause/2 + time.Duration(p.rnd.Float64()*float64(pause/2))
}

func (p *Planner) enqueue(x *pull) {
	p.waiting[x.class] = append(p.waiting[x.class], x)
}

func (p *Planner) dequeue(x *pull) {
	if i := slices.Index(p.waiting[x.class], x); i >= 0 {
		p.waiting[x.class] = slices.Delete(p.waiting[x.class], i, i+1)
	}
	if i := slices.Index(x.m.parked, x); i >= 0 {
		x.m.parked = slices.Delete(x.m.parked, i, i+1)
	}
}

// scanned bounds how many waiting fetches, and how many holders, one decision
// looks at.
const scanned = 64

// dispatch starts what budgets allow: urgent ones first, then by turns of teams.
func (p *Planner) dispatch(now time.Duration) {
	for class := Urgent; class >= Ahead; class-- {
		for p.startOne(now, class) {
		}
	}
}

// startOne starts the fetch of a class whose turn it is.
func (p *Planner) startOne(now time.Duration, class Class) bool {
	var best *pull
	var peer *machine
	server := ""
	q := p.waiting[class]
	seen := 0
	for i := 0; i < len(q) && seen < scanned; {
		x := q[i]
		if class < Urgent && x.m.running >= p.cfg.MachineStreams {
			// It waits with its machine, out of the others' way.
			q = slices.Delete(q, i, i+1)
			x.m.parked = append(x.m.parked, x)
			continue
		}
		i++
		seen++
		if now < x.hold {
			continue
		}
		if best != nil && !p.earlier(x, best) {
			continue
		}
		if from, s, ok := p.source(x); ok {
			best, peer, server = x, from, s
		}
	}
	p.waiting[class] = q
	if best == nil {
		// Guards against a long queue whose head can't start, for want of a
		// source: the next look begins behind it.
		if seen < len(q) {
			p.waiting[class] = append(q[seen:len(q):len(q)], q[:seen]...)
		}
		return false
	}
	p.dequeue(best)
	best.going, best.start, best.seen = true, now, now
	best.peer, best.server = peer, server
	if peer != nil {
		peer.serving++
		p.Stats.FromPeers++
	} else {
		p.servers[server]++
		p.Stats.FromServers++
		if class < Urgent {
			p.users[server] = append(p.users[server], best)
		}
	}
	if class < Urgent {
		best.m.running++
	}
	p.given[best.team] = max(p.given[best.team], p.floor()) + float64(best.d.Bytes-best.done)
	p.Stats.Started++
	return true
}

// floor is what the team that was given least has; one that comes new begins
// there, or it would be owed all that others were given before it came.
func (p *Planner) floor() float64 {
	low := -1.0
	for class := range p.waiting {
		for i, x := range p.waiting[class] {
			if g, ok := p.given[x.team]; ok && (low < 0 || g < low) {
				low = g
			}
			if i > scanned {
				break
			}
		}
	}
	return max(low, 0)
}

func (p *Planner) earlier(a, b *pull) bool {
	if x, y := p.given[a.team], p.given[b.team]; a.team != b.team && x != y {
		return x < y
	}
	if a.by != b.by {
		return b.by == 0 || a.by != 0 && a.by < b.by
	}
	return a.since < b.since
}

// source picks whom a fetch is to ask: a machine of its zone that holds the
// copy, or any, or a file server; an urgent one takes another's place there.
func (p *Planner) source(x *pull) (peer *machine, server string, ok bool) {
	if n := len(x.d.holders); n > 0 {
		start := p.rnd.IntN(n)
		for i := range min(n, scanned) {
			m := x.d.holders[(start+i)%n]
			if m.address == "" || m.serving >= p.cfg.PeerStreams || x.avoid[m.address] {
				continue
			}
			if peer == nil || m.zone == x.m.zone && peer.zone != x.m.zone {
				if peer = m; m.zone == x.m.zone {
					break
				}
			}
		}
		if peer != nil {
			return peer, "", true
		}
	}
	tried := 0
	for _, s := range x.d.Servers {
		if x.avoid[s] {
			tried++
			continue
		}
		if p.servers[s] < p.perServer() && (server == "" || p.servers[s] < p.servers[server]) {
			server = s
		}
	}
	if server != "" {
		return nil, server, true
	}
	if tried > 0 && tried == len(x.d.Servers) {
		x.avoid = nil // all failed once: from the beginning
		return p.source(x)
	}
	if x.class < Urgent {
		return nil, "", false
	}
	for _, s := range x.d.Servers {
		if users := p.users[s]; len(users) > 0 {
			// The one that has got least loses least: what is there is kept,
			// but its place in the line is not.
			least := slices.MinFunc(users, func(a, b *pull) int {
				return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.done, b.done), cmp.Compare(a.m.id, b.m.id))
			})
			p.Stats.Displaced++
			p.halt(least)
			p.enqueue(least)
			return nil, s, true
		}
	}
	return nil, "", false
}
