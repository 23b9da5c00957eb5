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
	slices.SortFunc(out, func(a, b *pull) int { return cmp.Compare(a.copyState.ID, b.copyState.ID) })
	return out
}

func (p *Planner) finishPull(now time.Duration, x *pull) {
	p.Stats.Finished++
	if x.active && now > x.startedAt {
		if r := float64(x.copyState.Bytes) / (now - x.startedAt).Seconds(); x.rate == 0 && r > 0 {
			p.rate += (r - p.rate) / 64
		}
	}
	p.removePull(x)
}

// removePull removes a fetch from its machine and from the queues.
func (p *Planner) removePull(x *pull) {
	p.stopPull(x)
	p.dequeue(x)
	if x.machine.pulls[x.copyState] == x {
		delete(x.machine.pulls, x.copyState)
		x.copyState.fetching--
	}
}

// stopPull makes a fetch inactive and returns its share of the budgets.
func (p *Planner) stopPull(x *pull) {
	if !x.active {
		return
	}
	x.active = false
	if x.peer != nil {
		x.peer.serving--
		x.peer = nil
	}
	if x.server != "" {
		p.serverFetches[x.server]--
		if i := slices.Index(p.preemptible[x.server], x); i >= 0 {
			p.preemptible[x.server] = slices.Delete(p.preemptible[x.server], i, i+1)
		}
		x.server = ""
	}
	if x.class < Urgent {
		x.machine.running--
		p.unpark(x.machine)
	}
}

// unpark moves a machine's parked fetches back to the queues of their classes.
func (p *Planner) unpark(m *machine) {
	for _, x := range m.parked {
		p.enqueue(x)
	}
	m.parked = nil
}

// The longest pause after a failed fetch is at first one report period and doubles
// with each further failure, at most maxPauseDoublings times. The pause is at random
// between half of the longest and the longest.
const maxPauseDoublings = 6

// failPull schedules a retry of a failed fetch after a pause, from another source
// if there is one.
func (p *Planner) failPull(now time.Duration, x *pull) {
	p.Stats.Failed++
	if x.active {
		if x.avoid == nil {
			x.avoid = map[string]bool{}
		}
		if x.peer != nil {
			x.avoid[x.peer.address] = true
		} else if x.server != "" {
			x.avoid[x.server] = true
		}
		p.stopPull(x)
		p.enqueue(x)
	}
	pause := p.cfg.ReportPeriod << min(x.failures, maxPauseDoublings)
	x.failures++
	x.notBefore = now + pause/2 + time.Duration(p.random.Float64()*float64(pause/2))
}

func (p *Planner) enqueue(x *pull) {
	p.waiting[x.class] = append(p.waiting[x.class], x)
}

func (p *Planner) dequeue(x *pull) {
	if i := slices.Index(p.waiting[x.class], x); i >= 0 {
		p.waiting[x.class] = slices.Delete(p.waiting[x.class], i, i+1)
	}
	if i := slices.Index(x.machine.parked, x); i >= 0 {
		x.machine.parked = slices.Delete(x.machine.parked, i, i+1)
	}
}

// maxScanned bounds how many waiting fetches, and how many holders, one decision
// considers.
const maxScanned = 64

// dispatch starts as many waiting fetches as the budgets allow: higher classes
// first, and within a class by turns of the teams.
func (p *Planner) dispatch(now time.Duration) {
	for class := Urgent; class >= Prefetch; class-- {
		for p.startNext(now, class) {
		}
	}
}

// startNext starts the next fetch of a class that has a source, and reports
// whether there was one.
func (p *Planner) startNext(now time.Duration, class Class) bool {
	var best *pull
	var peer *machine
	server := ""
	q := p.waiting[class]
	seen := 0
	for i := 0; i < len(q) && seen < maxScanned; {
		x := q[i]
		if class < Urgent && x.machine.running >= p.cfg.MachineStreams {
			// Park the fetch with its machine, so that it doesn't count towards
			// maxScanned in the queue.
			q = slices.Delete(q, i, i+1)
			x.machine.parked = append(x.machine.parked, x)
			continue
		}
		i++
		seen++
		if now < x.notBefore {
			continue
		}
		if best != nil && !p.precedes(x, best) {
			continue
		}
		if from, s, ok := p.chooseSource(x); ok {
			best, peer, server = x, from, s
		}
	}
	p.waiting[class] = q
	if best == nil {
		// If no source is free for the fetches at the head of a long queue, move
		// them to its end, so that the next scan begins behind them.
		if seen < len(q) {
			p.waiting[class] = append(q[seen:len(q):len(q)], q[:seen]...)
		}
		return false
	}
	p.dequeue(best)
	best.active, best.startedAt, best.reportedAt = true, now, now
	best.peer, best.server = peer, server
	if peer != nil {
		peer.serving++
		p.Stats.FromPeers++
	} else {
		p.serverFetches[server]++
		p.Stats.FromServers++
		if class < Urgent {
			p.preemptible[server] = append(p.preemptible[server], best)
		}
	}
	if class < Urgent {
		best.machine.running++
	}
	p.grantedBytes[best.team] = max(p.grantedBytes[best.team], p.leastGrantedBytes()) + float64(best.copyState.Bytes-best.doneBytes)
	p.Stats.Started++
	return true
}

// leastGrantedBytes returns the bytes granted to the waiting team that was granted least.
// A new team's account starts at this value: from 0, it would go first until it
// had caught up with all that the others were granted before.
func (p *Planner) leastGrantedBytes() float64 {
	low := -1.0
	for class := range p.waiting {
		for i, x := range p.waiting[class] {
			if g, ok := p.grantedBytes[x.team]; ok && (low < 0 || g < low) {
				low = g
			}
			if i > maxScanned {
				break
			}
		}
	}
	return max(low, 0)
}

func (p *Planner) precedes(a, b *pull) bool {
	if x, y := p.grantedBytes[a.team], p.grantedBytes[b.team]; a.team != b.team && x != y {
		return x < y
	}
	if a.deadline != b.deadline {
		return b.deadline == 0 || a.deadline != 0 && a.deadline < b.deadline
	}
	return a.wantedAt < b.wantedAt
}

// chooseSource picks the source of a fetch: preferably a machine of its zone that
// holds the copy, then a machine of another zone, then a file server. An urgent
// fetch preempts a non-urgent one from a file server that has no free stream.
func (p *Planner) chooseSource(x *pull) (peer *machine, server string, ok bool) {
	if n := len(x.copyState.holders); n > 0 {
		start := p.random.IntN(n)
		for i := range min(n, maxScanned) {
			m := x.copyState.holders[(start+i)%n]
			if m.address == "" || m.serving >= p.cfg.PeerStreams || x.avoid[m.address] {
				continue
			}
			if peer == nil || m.zone == x.machine.zone && peer.zone != x.machine.zone {
				if peer = m; m.zone == x.machine.zone {
					break
				}
			}
		}
		if peer != nil {
			return peer, "", true
		}
	}
	tried := 0
	for _, s := range x.copyState.Servers {
		if x.avoid[s] {
			tried++
			continue
		}
		if p.serverFetches[s] < p.streamsPerServer() && (server == "" || p.serverFetches[s] < p.serverFetches[server]) {
			server = s
		}
	}
	if server != "" {
		return nil, server, true
	}
	if tried > 0 && tried == len(x.copyState.Servers) {
		x.avoid = nil // every file server failed once: try all sources again
		return p.chooseSource(x)
	}
	if x.class < Urgent {
		return nil, "", false
	}
	for _, s := range x.copyState.Servers {
		if users := p.preemptible[s]; len(users) > 0 {
			// Displace the fetch that has the fewest bytes, as it loses least:
			// its machine keeps the bytes, but the fetch goes to the end of
			// the queue.
			least := slices.MinFunc(users, func(a, b *pull) int {
				return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.doneBytes, b.doneBytes), cmp.Compare(a.machine.id, b.machine.id))
			})
			p.Stats.Preempted++
			p.stopPull(least)
			p.enqueue(least)
			return nil, s, true
		}
	}
	return nil, "", false
}
