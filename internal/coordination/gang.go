package coordination

// A gang is a job whose tasks start together: the controller responsible for the job binds
// all tasks in one transaction, on machines of its own and on such as peers have offered. A
// lease in the state service reserves room for one waiting gang at a time. Only that gang
// keeps the room it has found and requests more from peers; others look for room and
// release it.

import (
	"sort"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/peer"
)

// isGang tells whether a job must start several tasks at once.
func isGang(r *jobRecord) bool { return r.spec.Shape == job.Gang && r.spec.Tasks > 1 }

// peerOffer is a peer's promise of room for a gang on a machine that it owns, under one
// claim and in one agent epoch.
type peerOffer struct {
	epoch         uint64
	claimRevision uint64
	expiresAt     time.Duration
}

// holdTime is how long room is kept for a gang: until it must have been requested
// again.
func (c *Core) holdTime() time.Duration { return 2 * c.cfg.Operator.PublishInterval }

// usable tells whether the job may be bound to a machine in an agent epoch now:
// the machine is ours, or its owner has offered it under the present claim.
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
	team := c.jobs.teamOf(r)
	need := r.spec.Tasks - r.finished
	if team == nil || !team.withinLimit(team.charged.plus(r.spec, float64(need))) {
		return
	}
	zones := []string{""}
	if r.spec.OneZone {
		zones = c.cfg.Facts.Zones
	}
	mostPicked := 0
	var bestZone string
	for _, zone := range zones {
		picked := c.reserveGang(r, zone)
		if len(picked) == need {
			c.proposeGang(r, picked)
			return
		}
		for _, i := range picked {
			c.unreserve(r, i)
		}
		if len(picked) > mostPicked {
			mostPicked, bestZone = len(picked), zone
		}
	}
	if !c.holdsGangReservation(r) || c.requestBlock(r, zones, need) {
		return
	}
	c.holdRoom(r, bestZone)
	c.requestIdleRoom(r)
}

// proposeGang proposes the placements of all tasks of a gang, for which room is reserved.
func (c *Core) proposeGang(r *jobRecord, tasks []int) {
	for _, i := range tasks {
		m := c.machines.byID[r.reservations[i].machine]
		epoch := m.epoch
		if !c.isOwn(m) {
			epoch = r.offers[m.id].epoch
		}
		c.propose(r, i, taskTransition{placement: true, machine: m.id, epoch: epoch, attempt: r.lastAttempt + 1})
	}
	c.log.Debug("starting gang", "job", r.spec.ID, "tasks", len(tasks))
}

// holdRoom has the gang with the reservation keep what room it finds in a zone.
func (c *Core) holdRoom(r *jobRecord, zone string) {
	picked := c.reserveGang(r, zone)
	for _, i := range picked {
		m := c.machines.byID[r.reservations[i].machine]
		m.reserveRoom(r.spec.ID, c.now+c.holdTime(), "")
	}
	for _, i := range picked {
		c.unreserve(r, i)
	}
}

// requestIdleRoom asks every peer for room on its idle machines for a gang.
func (c *Core) requestIdleRoom(r *jobRecord) {
	if c.now < c.gangs.nextRoomRequestAt {
		return
	}
	c.gangs.nextRoomRequestAt = c.now + c.cfg.Operator.PublishInterval
	for _, p := range c.cfg.Peers {
		request := &peer.RoomRequest{Job: r.spec.ID}
		c.send(p.Node, peer.Message{RoomRequest: request})
	}
}

// reserveGang reserves room for as many of a gang's tasks as it finds in a zone, or
// anywhere if zone is empty, and returns the indexes of those tasks.
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

// requestBlock asks for the machines that are cleared for the gang with the reservation
// at the least loss, and tells whether there are such. Exception "whole blocks": tasks
// that are placed one by one fragment machines, and a gang that only waits for idle ones
// rarely finds enough at once. The mirror shows what is on every machine; its owner stops
// what is of lower priority there, keeps the room, and offers it when it is
// free. The choice stands until a machine of it is lost or half of gang_wait_s
// has passed; for as long again only room on idle machines is requested.
func (c *Core) requestBlock(r *jobRecord, zones []string, need int) bool {
	patience := seconds(c.cfg.Facts.Workers.GangWait / 2)
	if len(r.blockMachines) > 0 && c.now-r.blockChosenAt >= patience {
		if c.now-r.blockChosenAt < 2*patience {
			return false
		}
		r.blockMachines = nil
	}
	if !c.blockIntact(r) {
		if c.now < r.blockChosenAt+c.cfg.Operator.PublishInterval && r.blockChosenAt > 0 {
			return len(r.blockMachines) > 0
		}
		r.blockMachines = c.cheapestBlock(r, zones, need)
		r.blockChosenAt = c.now
		c.gangs.nextRoomRequestAt = 0
	}
	if len(r.blockMachines) == 0 {
		return false
	}
	if c.now >= c.gangs.nextRoomRequestAt {
		c.gangs.nextRoomRequestAt = c.now + c.cfg.Operator.PublishInterval
		c.sendBlockRequests(r)
	}
	return true
}

// blockIntact tells whether machines were chosen for a gang and none is lost or drained.
func (c *Core) blockIntact(r *jobRecord) bool {
	for _, id := range r.blockMachines {
		m := c.machines.byID[id]
		_, drained := c.machines.drains[id]
		if m == nil || m.token == 0 || drained {
			return false
		}
	}
	return len(r.blockMachines) > 0
}

// sendBlockRequests clears our own machines of a gang's block and asks the owners of the
// others to clear theirs.
func (c *Core) sendBlockRequests(r *jobRecord) {
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
		request := &peer.RoomRequest{Job: r.spec.ID, Machines: byOwner[owner]}
		c.send(owner, peer.Message{RoomRequest: request})
	}
	c.log.Debug("requesting machines for a gang", "job", r.spec.ID, "machines", r.blockMachines)
}

// blockCandidate is a machine that may be cleared for a gang.
type blockCandidate struct {
	machineID string
	zone      string
	tasks     int     // of the gang that it holds once cleared
	cost      float64 // seconds of work lost and of waiting for the image
}

// cheapestBlock picks machines for a whole gang, whoever holds them, in the
// zone where clearing them loses the least work.
func (c *Core) cheapestBlock(r *jobRecord, zones []string, need int) []string {
	anyZone := len(zones) == 1 && zones[0] == ""
	byZone := map[string][]blockCandidate{}
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		if !c.mayBeCleared(r, m) {
			continue
		}
		candidate := c.blockCandidate(r, m, need)
		if candidate.tasks == 0 {
			continue
		}
		zone := candidate.zone
		if anyZone {
			zone = ""
		}
		byZone[zone] = append(byZone[zone], candidate)
	}
	var best []string
	bestCost := 0.0
	for _, zone := range zones {
		ids, cost, found := cheapestCandidates(r.spec, byZone[zone], need)
		if found >= need && (best == nil || cost < bestCost) {
			best, bestCost = ids, cost
		}
	}
	return best
}

// mayBeCleared tells whether a machine may be part of the block of a gang.
func (c *Core) mayBeCleared(r *jobRecord, m *machine) bool {
	if _, drained := c.machines.drains[m.id]; m.token == 0 || drained || !c.couldHold(r, m) {
		return false
	}
	if c.isOwn(m) && c.unschedulable(m) || !c.alive(m.claim.Owner) {
		return false
	}
	return m.reservedFor == r.spec.ID || c.now >= m.reservedUntil
}

// blockCandidate computes how many of a gang's tasks, need at the most, a machine holds
// once work of lower priority is stopped there, and what that loses.
func (c *Core) blockCandidate(r *jobRecord, m *machine, need int) blockCandidate {
	machineType := c.machineTypeOf(m)
	room := slot{cpus: machineType.CPUs - m.cpus, gpus: machineType.GPUs - m.gpus, memoryGB: machineType.MemoryGB - m.ram}
	cost := c.fetchTime(r.spec, m)
	for k, v := range m.bound {
		if v.spec.Priority < r.spec.Priority && !isGang(v) && m.vacated[k] == nil {
			room.cpus += v.spec.CPUs
			room.gpus += v.spec.GPUs
			room.memoryGB += v.spec.MemoryGB
			cost += (c.now - m.boundAt[k].boundAt).Seconds()
		}
	}
	tasks := 0
	for tasks < need && room.hasRoomFor(r.spec) {
		room.add(r.spec)
		tasks++
	}
	return blockCandidate{m.id, m.claim.Zone, tasks, cost}
}

// cheapestCandidates picks the machines of a zone with the least cost a task until they
// hold the gang, and tells how many tasks they hold.
func cheapestCandidates(spec *job.Spec, candidates []blockCandidate, need int) (ids []string, cost float64, found int) {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		return a.cost/float64(a.tasks) < b.cost/float64(b.tasks)
	})
	tasksInZone := map[string]int{}
	for i := 0; i < len(candidates) && found < need; i++ {
		candidate := candidates[i]
		tasks := min(candidate.tasks, need-found)
		if spec.Spread {
			tasks = min(tasks, spec.SpreadLimit()-tasksInZone[candidate.zone])
			if tasks <= 0 {
				continue
			}
			tasksInZone[candidate.zone] += tasks
		}
		ids = append(ids, candidate.machineID)
		cost += candidate.cost
		found += tasks
	}
	return ids, cost, found
}

// clearMachine keeps a machine's room for a gang and stops what is in the way.
func (c *Core) clearMachine(r *jobRecord, m *machine, requester string) {
	if c.unschedulable(m) || (m.reservedFor != r.spec.ID && c.now < m.reservedUntil) {
		return
	}
	m.reserveRoom(r.spec.ID, c.now+c.holdTime(), requester)
	if c.fits(r, m) || len(m.stops) > 0 {
		return
	}
	victims, _, ok := c.pickVictims(r, m, false)
	if !ok {
		return
	}
	for _, k := range victims {
		c.stopTask(m, k, "cleared for a gang")
		c.Stats.Preemptions++
	}
}

// offerHeldRoom starts the gang that a machine's room is kept for, or tells the peer that
// looks after the gang that the room is free.
func (c *Core) offerHeldRoom(m *machine) {
	if m.reservedBy == "" || c.now >= m.reservedUntil {
		return
	}
	r := c.jobs.byID[m.reservedFor]
	switch {
	case r == nil || r.final() || r.bound > 0 || !c.fits(r, m):
	case m.reservedBy == c.cfg.Node:
		c.startGang(r)
	default:
		offer := &peer.RoomOffer{Job: m.reservedFor, Machines: []peer.OfferedMachine{{Machine: m.id, Epoch: m.epoch}}}
		c.send(m.reservedBy, peer.Message{RoomOffer: offer})
	}
}

// offerRoom answers a peer's request for room for its gang: with the machines named in it,
// cleared as far as they are, or with our idle machines if none is named.
func (c *Core) offerRoom(from string, request *peer.RoomRequest) {
	r := c.jobs.byID[request.Job]
	if r == nil || r.final() || r.bound > 0 {
		return
	}
	offer := &peer.RoomOffer{Job: request.Job}
	if request.Machines != nil {
		offer.Machines = c.offerBlock(r, from, request.Machines)
	} else {
		offer.Machines = c.offerIdleMachines(r)
	}
	if len(offer.Machines) > 0 {
		c.send(from, peer.Message{RoomOffer: offer})
	}
}

// offerBlock clears machines for a peer's gang and returns those that have room already.
func (c *Core) offerBlock(r *jobRecord, from string, ids []string) (offered []peer.OfferedMachine) {
	for _, id := range ids {
		m := c.machines.byID[id]
		if m == nil || !c.isOwn(m) {
			continue
		}
		c.clearMachine(r, m, from)
		if !c.unschedulable(m) && c.fits(r, m) {
			offered = append(offered, peer.OfferedMachine{Machine: id, Epoch: m.epoch})
		}
	}
	return offered
}

// offerIdleMachines keeps room on idle machines for a peer's gang and returns them.
func (c *Core) offerIdleMachines(r *jobRecord) (offered []peer.OfferedMachine) {
	for _, m := range c.scheduler.idle {
		if !c.unschedulable(m) && c.fits(r, m) && len(offered) < r.spec.Tasks {
			m.reserveRoom(r.spec.ID, c.now+c.holdTime(), "")
			offered = append(offered, peer.OfferedMachine{Machine: m.id, Epoch: m.epoch})
		}
	}
	return offered
}

// acceptOffer records the room that a peer offers a gang, and starts the gang if it can.
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
