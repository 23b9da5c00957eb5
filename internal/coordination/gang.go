package coordination

// A gang is a job whose tasks start together: the controller responsible for the job binds
// all tasks in one transaction, on its own machines and on machines that peers have offered.
// A record in the state service, written under a lease, holds the reservation for one waiting
// gang at a time. Only that gang holds the room it has found and requests more from peers; other
// gangs release the room that they find unless it is enough for all their tasks.

import (
	"sort"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/peer"
)

// isGang reports whether a job must start several tasks at once.
func isGang(r *jobRecord) bool { return r.spec.Shape == job.Gang && r.spec.Tasks > 1 }

// peerOffer is a peer's promise of room for a gang on a machine that the peer owns. It is valid
// for one claim and one agent epoch of the machine.
type peerOffer struct {
	epoch         uint64
	claimRevision uint64
	expiresAt     time.Duration
}

// holdTime returns how long room is held for a gang after a request: long enough for the
// request to be repeated.
func (c *Core) holdTime() time.Duration { return 2 * c.cfg.Operator.PublishInterval }

// canBindTo reports whether a job's tasks may be bound to a machine in an agent epoch now: the
// machine is ours, or its owner has offered it under the current claim.
func (c *Core) canBindTo(r *jobRecord, m *machine, epoch uint64) bool {
	if c.isOwn(m) {
		return m.epoch == epoch && !c.unschedulable(m)
	}
	_, drained := c.machines.drains[m.id]
	o, ok := r.offers[m.id]
	return ok && !drained && o.claimRevision == m.token && o.epoch == epoch && c.now < o.expiresAt
}

// startGang starts a gang if there is room for all its tasks and none of them is still bound
// from an earlier attempt or being placed.
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

// proposeGang proposes the placements of a gang's tasks, for all of which room is reserved.
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

// holdRoom holds the room that is found in a zone for the gang with the reservation.
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

// requestIdleRoom requests room for a gang on the idle machines of every peer.
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

// reserveGang reserves room for as many of a gang's tasks as fit in a zone, or in all zones
// together if zone is empty, and returns the indexes of those tasks.
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
			if c.canBindTo(r, m, epoch) {
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

// requestBlock requests a block for the gang with the reservation: the machines that can be
// cleared for it at the least loss of work. It reports whether there is a block. Exception
// "whole blocks": tasks that are placed one by one fragment machines, and a gang that only
// waits for idle machines rarely finds enough of them at once. The mirror shows what runs on
// every machine; the owner of a chosen machine stops the tasks of lower priority there, holds the
// room, and offers it once it is free. A block is kept until one of its machines is lost or
// drained or half of gang_wait_s has passed; for as long again only room on idle machines is
// requested.
func (c *Core) requestBlock(r *jobRecord, zones []string, need int) bool {
	blockTimeout := seconds(c.cfg.Facts.Workers.GangWait / 2)
	if len(r.blockMachines) > 0 && c.now-r.blockChosenAt >= blockTimeout {
		if c.now-r.blockChosenAt < 2*blockTimeout {
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

// blockIntact reports whether a block was chosen for a gang and none of its machines is lost or
// drained.
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

// sendBlockRequests clears those machines of a gang's block that are ours, and asks the owners
// of the others to clear theirs.
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
	tasks     int     // how many of the gang's tasks the machine holds once cleared
	cost      float64 // seconds of work lost and of waiting for the image
}

// cheapestBlock picks machines for a whole gang, regardless of their owners, in the zone where
// clearing them costs least.
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

// mayBeCleared reports whether a machine may be part of a gang's block.
func (c *Core) mayBeCleared(r *jobRecord, m *machine) bool {
	if _, drained := c.machines.drains[m.id]; m.token == 0 || drained || !c.couldHold(r, m) {
		return false
	}
	if c.isOwn(m) && c.unschedulable(m) || !c.alive(m.claim.Owner) {
		return false
	}
	return m.reservedFor == r.spec.ID || c.now >= m.reservedUntil
}

// blockCandidate computes how many of a gang's tasks, need at most, a machine holds once the
// work of lower priority there is stopped, and what that costs.
func (c *Core) blockCandidate(r *jobRecord, m *machine, need int) blockCandidate {
	machineType := c.machineTypeOf(m)
	room := slot{cpus: machineType.CPUs - m.cpus, gpus: machineType.GPUs - m.gpus, memoryGB: machineType.MemoryGB - m.memoryGB}
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

// cheapestCandidates picks the candidates with the least cost per task until they hold the
// gang, and returns their machines, their total cost and how many tasks they hold.
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

// clearMachine holds a machine's room for a gang and stops the tasks that are in the way.
// requester is the controller that is notified when the room is free.
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

// offerHeldRoom starts the gang that a machine's room is held for, or offers the room to the
// peer that requested it for the gang.
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

// offerRoom answers a peer's request for room for its gang. If the request names machines, it
// clears them and offers those that have room already; otherwise it offers our idle machines.
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

// offerBlock clears machines for a peer's gang and returns those that already have room.
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

// offerIdleMachines holds room on idle machines for a peer's gang and returns the machines.
func (c *Core) offerIdleMachines(r *jobRecord) (offered []peer.OfferedMachine) {
	for _, m := range c.scheduler.idle {
		if !c.unschedulable(m) && c.fits(r, m) && len(offered) < r.spec.Tasks {
			m.reserveRoom(r.spec.ID, c.now+c.holdTime(), "")
			offered = append(offered, peer.OfferedMachine{Machine: m.id, Epoch: m.epoch})
		}
	}
	return offered
}

// acceptOffer records the room that a peer offers for a gang, and starts the gang if there is
// enough room.
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
