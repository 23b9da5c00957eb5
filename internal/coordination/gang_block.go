package coordination

import (
	"maps"
	"sort"

	"silvergate/internal/job"
	"silvergate/internal/peer"
)

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
		ids, cost, found := cheapestCandidates(r.spec, r.tasksByZone, byZone[zone], need)
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
	room := c.freeRoom(m)
	cost := c.fetchTime(r.spec, m)
	for k, v := range m.bound {
		if v.spec.Priority < r.spec.Priority && !isGang(v) && m.vacated[k] == nil {
			room.remove(v.spec)
			cost += (c.now - m.boundAt[k].boundAt).Seconds()
		}
	}
	return blockCandidate{m.id, m.claim.Zone, room.tasksThatFit(r.spec, need), cost}
}

// cheapestCandidates picks the candidates with the least cost per task until they hold the
// gang, and returns their machines, their total cost and how many tasks they hold. tasksByZone counts
// the gang's tasks that are placed already.
func cheapestCandidates(spec *job.Spec, tasksByZone map[string]int, candidates []blockCandidate, need int) (ids []string, cost float64, found int) {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		return a.cost/float64(a.tasks) < b.cost/float64(b.tasks)
	})
	tasksInZone := maps.Clone(tasksByZone)
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

// clearMachine holds a machine's room for a gang and stops the tasks that are in the way of as many of
// the gang's tasks as the machine could hold then. requester is the controller that is notified when
// room is free.
func (c *Core) clearMachine(r *jobRecord, m *machine, requester string) {
	if c.unschedulable(m) || (m.reservedFor != r.spec.ID && c.now < m.reservedUntil) {
		return
	}
	m.reserveRoom(r.spec.ID, c.now+c.holdTime(), requester)
	tasks := c.blockCandidate(r, m, r.unplacedTasks()).tasks
	free := c.freeRoom(m)
	if len(m.stops) > 0 || free.tasksThatFit(r.spec, tasks) == tasks {
		return
	}
	victims, _, ok := c.pickVictims(r, m, tasks, false)
	if !ok {
		return
	}
	for _, k := range victims {
		c.stopTask(m, k, "cleared for a gang")
		c.Stats.Preemptions++
	}
}
