package coordination

import (
	"fmt"
	"maps"
	"strconv"

	"silvergate/internal/protocol"
)

// planFleet packs the tasks of open jobs onto the existing machines and those that are booting.
// It provisions machines for tasks that do not fit, and drains machines that have been unused
// for a while.
func (c *Core) planFleet() {
	c.scaler.forgetShortages(c.jobs.open)
	p := c.newFleetPlan()
	p.addMachines()
	p.addCloudMachines()
	p.addRentals()
	p.sortSlots()
	p.packJobs()
	c.scaleOut(p.toRent, p.urgent)
	c.scaleIn(p.slots)
	if c.verbose {
		c.log.Debug("fleet plan", "machines", len(p.slots), "booting", p.booting, "renting", len(p.toRent),
			"unmet", p.unplaceable, "kinds", c.machineSummary())
	}
}

// fleetPlan is one run of the fleet planner: it adds the existing and the booting machines to a
// bin packing and packs the open jobs onto them.
type fleetPlan struct {
	*binPacking
	core             *Core
	known            map[string]bool // machines that are claimed or have a slot
	unreachableZones map[string]bool // zones for which zoneUnreachable holds
	unresponsive     map[string]bool // machines that a controller reports as unresponsive: they get no work
	booting          int
}

func (c *Core) newFleetPlan() *fleetPlan {
	refused := func(offer offering) bool { return c.now < c.scaler.refusedUntil[offer] }
	p := &fleetPlan{
		binPacking:       newBinPacking(c.catalogue.types, refused, c.jobs.openCPUOnly > 0),
		core:             c,
		known:            map[string]bool{},
		unreachableZones: map[string]bool{},
		unresponsive:     map[string]bool{},
	}
	for _, v := range c.scaler.zoneViews {
		for _, id := range v.unresponsive {
			p.unresponsive[id] = c.now-v.at < seconds(c.cfg.Facts.Workers.Heartbeat)
		}
	}
	for _, zone := range c.cfg.Facts.Zones {
		if c.zoneUnreachable(zone) {
			p.unreachableZones[zone] = true
			p.machinesByZone[zone] = unreachableZoneLoad
		}
	}
	return p
}

// unreachableZoneLoad is the number of machines that the plan assumes in an unreachable zone, so
// that it provisions machines there only if no other zone will do.
const unreachableZoneLoad = 1 << 20

// addMachines adds the claimed machines that can be used.
func (p *fleetPlan) addMachines() {
	c := p.core
	for id, m := range c.machines.byID {
		p.known[id] = m.token != 0
		if m.token != 0 {
			p.machinesByZone[m.claim.Zone]++
		}
		if _, drained := c.machines.drains[id]; drained || m.token == 0 || m.draining {
			continue
		}
		if p.unreachableZones[m.claim.Zone] || p.unresponsive[id] || c.isOwn(m) && m.leaseExpired {
			m.idleSince = c.now // the machine can't be used now, so this time doesn't count as idle
			continue
		}
		s := p.addSlot(id, offering{m.claim.MachineType, m.claim.Zone, m.claim.Spot})
		if s != nil {
			s.cpus -= m.cpus
			s.gpus -= m.gpus
			s.memoryGB -= m.memoryGB
			s.tasks = c.taskCount(m)
			s.bound = len(m.bound) > 0
		}
	}
}

// addCloudMachines adds the machines that the cloud lists and that no controller has claimed yet.
func (p *fleetPlan) addCloudMachines() {
	f := &p.core.scaler
	for id, listed := range f.cloudMachines {
		if _, deleted := f.deletedAt[id]; deleted || p.known[id] || listed.Status == protocol.StatusFailed {
			continue
		}
		p.known[id] = true
		p.booting++
		p.addSlot(id, offering{listed.MachineType, listed.Zone, listed.Spot})
	}
}

// addRentals adds the machines of recorded rentals: all machines of a rental that the cloud has not
// answered yet, and those machines of an answered rental that are neither listed by the cloud nor
// claimed yet.
func (p *fleetPlan) addRentals() {
	for name, r := range p.core.scaler.rentals {
		for i := 0; i < r.Count; i++ {
			id := name + "#" + strconv.Itoa(i)
			if r.Machines != nil {
				if i >= len(r.Machines) {
					break
				}
				id = r.Machines[i]
				if p.known[id] || !p.core.awaitsFirstHeartbeat(id) {
					continue
				}
				p.known[id] = true
			}
			p.booting++
			p.addSlot(id, r.offering())
		}
	}
}

// packJobs packs the tasks of the open jobs, most urgent job first.
func (p *fleetPlan) packJobs() {
	c := p.core
	usageByTeam := map[string]usage{}
	for _, r := range c.jobs.openByUrgency {
		if r.final() {
			continue
		}
		n := p.tasksToPack(r, usageByTeam)
		if n == 0 {
			continue
		}
		spec := r.spec
		if spec.OneZone && spec.Zone == "" && n > 1 {
			spec = p.pinZone(r.spec, n, c.cfg.Facts.Zones, r.tasksByZone)
		}
		if isGang(r) {
			p.packGang(r, spec, n)
		} else {
			p.packTasks(spec, n, tasksByZone(r))
		}
	}
}

// tasksToPack returns how many tasks of a job to pack without exceeding its team's limit.
// usageByTeam holds each team's usage including the tasks packed so far in this plan.
func (p *fleetPlan) tasksToPack(r *jobRecord, usageByTeam map[string]usage) (n int) {
	c := p.core
	team := c.jobs.teamOf(r)
	if team == nil || c.paused(r) || r.gangCompleted() { // a paused job is not retried now and needs no machines
		return 0
	}
	used, ok := usageByTeam[r.spec.Team]
	if !ok {
		used = team.charged
	}
	pending := r.unplacedTasks()
	if isGang(r) {
		// A gang that exceeds its team's limit needs no machines until the limit is saved for it.
		if !team.withinLimit(used.plus(r.spec, float64(pending))) && team.savingFor != r {
			return 0
		}
	} else {
		// The tasks are independent: there is no need to plan for more than two pages of them at a time.
		pending = c.failureHistory(r).MaxStartingTasks(min(pending, 2*c.tasksPerPage()))
	}
	for ; n < pending && team.withinLimit(used.plus(r.spec, 1)); n++ {
		used = used.plus(r.spec, 1)
	}
	usageByTeam[r.spec.Team] = used
	return n
}

// tasksByZone returns the number of bound tasks in each zone for a job that must be spread over
// zones, and nil for any other job.
func tasksByZone(r *jobRecord) map[string]int {
	if !r.spec.Spread {
		return nil
	}
	counts := map[string]int{}
	maps.Copy(counts, r.tasksByZone)
	return counts
}

// machineSummary returns, for the log, the number of machines of each type, their GPUs in use
// and in total, and the GPUs in use by services.
func (c *Core) machineSummary() string {
	type summary struct {
		machines                int
		gpus, used, forServices float64
	}
	byKind := map[string]*summary{}
	for id, m := range c.machines.byID {
		if m.token == 0 {
			continue
		}
		kind := m.claim.MachineType
		if m.claim.Spot {
			kind += ",spot"
		}
		if _, drained := c.machines.drains[id]; drained {
			kind += ",drained"
		}
		if byKind[kind] == nil {
			byKind[kind] = &summary{}
		}
		s := byKind[kind]
		s.machines++
		s.gpus += c.machineTypeOf(m).GPUs
		s.used += m.gpus
		s.forServices += m.serviceShare
	}
	out := ""
	for _, kind := range sortedKeys(byKind) {
		s := byKind[kind]
		out += fmt.Sprintf("%s:%d %g/%g services %g; ", kind, s.machines, s.used, s.gpus, s.forServices)
	}
	return out
}
