package coordination

import (
	"sort"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/peer"
)

// isGang tells whether a job must start several tasks at once.
func isGang(r *jobRecord) bool { return r.spec.Shape == job.Gang && r.spec.Tasks > 1 }

type peerOffer struct {
	epoch         uint64
	claimRevision uint64
	expiresAt     time.Duration
}

// holdTime is how long room is held back: until it must have been asked for
// again.
func (c *Core) holdTime() time.Duration { return 2 * c.cfg.Operator.PublishInterval }

// usable tells whether the job may be bound to a machine in a session now:
// the machine is ours, or its holder has offered it under the present claim.
func (c *Core) usable(r *jobRecord, m *machine, epoch uint64) bool {
	if c.isOwn(m) {
		return m.epoch == epoch && !c.unschedulable(m)
	}
	_, drained := c.machines.drains[m.id]
	o, ok := r.offers[m.id]
	return ok && !drained && o.claimRevision == m.token && o.epoch == epoch && c.now < o.expiresAt
}

// startGang starts a gang if all its tasks find room and nothing of an
// earlier attempt is left.
func (c *Core) startGang(r *jobRecord) {
	if r.bound > 0 || len(r.reservations) > 0 || c.now < r.retryAt {
		return
	}
	tm := c.jobs.teams[r.spec.Team]
	need := r.spec.Tasks - r.finished
	if tm == nil || !tm.withinLimit(tm.charged.plus(r.spec, float64(need))) {
		return
	}
	zones := []string{""}
	if r.spec.OneZone {
		zones = c.cfg.Facts.Zones
	}
	best := 0
	var bestZone string
	for _, z := range zones {
		picked := c.reserveGang(r, z)
		if len(picked) == need {
			for _, i := range picked {
				m := c.machines.byID[r.reservations[i].machine]
				epoch := m.epoch
				if !c.isOwn(m) {
					epoch = r.offers[m.id].epoch
				}
				c.propose(r, i, taskTransition{placement: true, machine: m.id, epoch: epoch, attempt: r.lastAttempt + 1})
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
	if c.gangs.reservation.Job != r.spec.ID || c.gangs.reservation.Owner != c.cfg.Node {
		return
	}
	if c.requestBlock(r, zones, need) {
		return
	}
	// The marked gang keeps what it has found and asks the peers for more.
	picked := c.reserveGang(r, bestZone)
	for _, i := range picked {
		m := c.machines.byID[r.reservations[i].machine]
		m.reserveRoom(r.spec.ID, c.now+c.holdTime(), "")
	}
	for _, i := range picked {
		c.unreserve(r, i)
	}
	if c.now >= c.gangs.nextRoomRequestAt {
		c.gangs.nextRoomRequestAt = c.now + c.cfg.Operator.PublishInterval
		for _, p := range c.cfg.Peers {
			c.effects.Sends = append(c.effects.Sends, Outgoing{p.Node, peer.Message{RoomRequest: &peer.RoomRequest{Job: r.spec.ID}}})
		}
	}
}

// reserveGang reserves room for as many of a gang's tasks as it finds in a zone.
func (c *Core) reserveGang(r *jobRecord, zone string) []int {
	ids := make([]string, 0, len(c.scheduler.idle)+len(r.offers))
	for _, m := range c.scheduler.idle {
		ids = append(ids, m.id)
	}
	for id, o := range r.offers {
		if c.now < o.expiresAt {
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
			m := c.machines.byID[id]
			if m == nil || (zone != "" && m.claim.Zone != zone) || !c.fits(r, m) {
				continue
			}
			epoch := m.epoch
			if !c.isOwn(m) {
				epoch = r.offers[id].epoch
			}
			if c.usable(r, m, epoch) {
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

// requestBlock asks for the machines that are cleared for the marked gang at the
// least loss. Exception "whole blocks": tasks that are popped one by one
// splinter machines, and a gang that only waits for idle ones rarely finds
// enough at once. The mirror shows what is on every machine; who holds it stops
// what is of lower priority there, keeps the room, and offers it when it is
// free. The choice stands until a machine of it is lost or it has taken half a
// gang's patience; for as long again whatever is idle is drawn then.
func (c *Core) requestBlock(r *jobRecord, zones []string, need int) bool {
	patience := seconds(c.cfg.Facts.Workers.GangWait / 2)
	if len(r.blockMachines) > 0 && c.now-r.blockChosenAt >= patience {
		if c.now-r.blockChosenAt < 2*patience {
			return false
		}
		r.blockMachines = nil
	}
	intact := len(r.blockMachines) > 0
	for _, id := range r.blockMachines {
		m := c.machines.byID[id]
		_, drained := c.machines.drains[id]
		intact = intact && m != nil && m.token != 0 && !drained
	}
	if !intact {
		if c.now < r.blockChosenAt+c.cfg.Operator.PublishInterval && r.blockChosenAt > 0 {
			return len(r.blockMachines) > 0
		}
		r.blockMachines, r.blockChosenAt = c.cheapestBlock(r, zones, need), c.now
		c.gangs.nextRoomRequestAt = 0
	}
	if len(r.blockMachines) == 0 {
		return false
	}
	if c.now < c.gangs.nextRoomRequestAt {
		return true
	}
	c.gangs.nextRoomRequestAt = c.now + c.cfg.Operator.PublishInterval
	byOwner := map[string][]string{}
	for _, id := range r.blockMachines {
		m := c.machines.byID[id]
		if c.isOwn(m) {
			c.clearMachine(r, m, c.cfg.Node)
		} else {
			byOwner[m.claim.Owner] = append(byOwner[m.claim.Owner], id)
		}
	}
	for _, owner := range sortedKeys(byOwner) {
		c.effects.Sends = append(c.effects.Sends, Outgoing{owner, peer.Message{RoomRequest: &peer.RoomRequest{Job: r.spec.ID, Machines: byOwner[owner]}}})
	}
	c.log.Debug("requesting machines for a gang", "job", r.spec.ID, "machines", r.blockMachines)
	return true
}

// cheapestBlock picks machines for a whole gang, whoever holds them, in the
// zone where clearing them loses the least work.
func (c *Core) cheapestBlock(r *jobRecord, zones []string, need int) []string {
	type choice struct {
		id    string
		depot string
		tasks int
		cost  float64
	}
	byZone := map[string][]choice{}
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		_, drained := c.machines.drains[id]
		if m.token == 0 || drained || !c.couldHold(r, m) || (c.isOwn(m) && c.unschedulable(m)) || !c.alive(m.claim.Owner) ||
			(m.holdFor != r.spec.ID && c.now < m.holdTill) {
			continue
		}
		f := c.machineTypeOf(m)
		left, cost := slot{cpus: f.CPUs - m.cpus, gpus: f.GPUs - m.gpus, memoryGB: f.MemoryGB - m.ram}, c.fetchTime(r.spec, m)
		for k, v := range m.bound {
			if v.spec.Priority < r.spec.Priority && !isGang(v) && m.vacated[k] == nil {
				left.cpus, left.gpus, left.memoryGB = left.cpus+v.spec.CPUs, left.gpus+v.spec.GPUs, left.memoryGB+v.spec.MemoryGB
				cost += (c.now - m.boundAt[k].boundAt).Seconds()
			}
		}
		tasks := 0
		for left.cpus+tolerance >= r.spec.CPUs && left.gpus+tolerance >= r.spec.GPUs && left.memoryGB+tolerance >= r.spec.MemoryGB && tasks < need {
			left.add(r.spec)
			tasks++
		}
		if tasks > 0 {
			zone := m.claim.Zone
			if len(zones) == 1 && zones[0] == "" {
				zone = ""
			}
			byZone[zone] = append(byZone[zone], choice{id, m.claim.Zone, tasks, cost})
		}
	}
	var best []string
	bestCost := 0.0
	for _, z := range zones {
		candidates := byZone[z]
		sort.SliceStable(candidates, func(i, j int) bool {
			return candidates[i].cost/float64(candidates[i].tasks) < candidates[j].cost/float64(candidates[j].tasks)
		})
		var ids []string
		cost, found := 0.0, 0
		tasksInZone := map[string]int{}
		for i := 0; i < len(candidates) && found < need; i++ {
			tasks := min(candidates[i].tasks, need-found)
			if r.spec.Spread {
				if tasks = min(tasks, r.spec.SpreadLimit()-tasksInZone[candidates[i].depot]); tasks <= 0 {
					continue
				}
				tasksInZone[candidates[i].depot] += tasks
			}
			ids, cost, found = append(ids, candidates[i].id), cost+candidates[i].cost, found+tasks
		}
		if found >= need && (best == nil || cost < bestCost) {
			best, bestCost = ids, cost
		}
	}
	return best
}

// clearMachine keeps a machine's room for a gang and stops what is in the way.
func (c *Core) clearMachine(r *jobRecord, m *machine, by string) {
	if c.unschedulable(m) || (m.holdFor != r.spec.ID && c.now < m.holdTill) {
		return
	}
	m.reserveRoom(r.spec.ID, c.now+c.holdTime(), by)
	if c.fits(r, m) || len(m.stops) > 0 {
		return
	}
	victims, _, ok := c.evict(r, m, false)
	if !ok {
		return
	}
	for _, k := range victims {
		c.stopTask(m, k, "cleared for a gang")
		c.Stats.Preemptions++
	}
}

// offerHeld tells a peer's gang that a machine kept for it is free.
func (c *Core) offerHeldRoom(m *machine) {
	if m.holdBy == "" || c.now >= m.holdTill {
		return
	}
	r := c.jobs.byID[m.holdFor]
	switch {
	case r == nil || r.final() || r.bound > 0 || !c.fits(r, m):
	case m.holdBy == c.cfg.Node:
		c.startGang(r)
	default:
		c.effects.Sends = append(c.effects.Sends, Outgoing{m.holdBy, peer.Message{RoomOffer: &peer.RoomOffer{Job: m.holdFor, Machines: []peer.OfferedMachine{{Machine: m.id, Epoch: m.epoch}}}}})
	}
}

// offerRoom offers a peer's gang room on our idle machines.
func (c *Core) offerRoom(from string, request *peer.RoomRequest) {
	r := c.jobs.byID[request.Job]
	if r == nil || r.final() || r.bound > 0 {
		return
	}
	offer := &peer.RoomOffer{Job: request.Job}
	for _, id := range request.Machines {
		if m := c.machines.byID[id]; m != nil && c.isOwn(m) {
			c.clearMachine(r, m, from)
			if !c.unschedulable(m) && c.fits(r, m) {
				offer.Machines = append(offer.Machines, peer.OfferedMachine{Machine: id, Epoch: m.epoch})
			}
		}
	}
	for _, m := range c.scheduler.idle {
		if request.Machines != nil {
			break
		}
		if !c.unschedulable(m) && c.fits(r, m) && len(offer.Machines) < r.spec.Tasks {
			m.reserveRoom(request.Job, c.now+c.holdTime(), "")
			offer.Machines = append(offer.Machines, peer.OfferedMachine{Machine: m.id, Epoch: m.epoch})
		}
	}
	if len(offer.Machines) > 0 {
		c.effects.Sends = append(c.effects.Sends, Outgoing{from, peer.Message{RoomOffer: offer}})
	}
}

func (c *Core) acceptOffer(offer *peer.RoomOffer) {
	r := c.jobs.byID[offer.Job]
	if r == nil || r.final() {
		return
	}
	if r.offers == nil {
		r.offers = map[string]peerOffer{}
	}
	for _, offered := range offer.Machines {
		if m := c.machines.byID[offered.Machine]; m != nil && m.token != 0 {
			r.offers[offered.Machine] = peerOffer{offered.Epoch, m.token, c.now + c.holdTime()}
		}
	}
	c.startGang(r)
}
