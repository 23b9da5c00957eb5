package coordination

import (
	"fmt"
	"maps"
	"strconv"

	"silvergate/internal/protocol"
)

// planFleet packs the open work onto the machines there are and those that are booting.
// Machines are provisioned for what does not fit; what is not used is drained after a while.
func (c *Core) planFleet() {
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

// fleetPlan is one plan of the fleet: it fills a packing with the machines that there are and
// that boot, and packs the open jobs.
type fleetPlan struct {
	*binPacking
	core             *Core
	known            map[string]bool // machines that have a slot, or a claim
	unreachableZones map[string]bool // see zoneUnreachable
	unresponsive     map[string]bool // machines to which no work can be given
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
			p.unresponsive[id] = c.now-v.at < seconds(c.cfg.Facts.Workers.Report)
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

// unreachableZoneLoad is counted as the machines of an unreachable zone: nothing is provisioned
// there while there is another way.
const unreachableZoneLoad = 1 << 20

// addMachines adds the machines that are claimed and can be used.
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
			m.unboundSince = c.now // nobody can use it now; it is not idle by choice
			continue
		}
		s := p.addSlot(id, offering{m.claim.MachineType, m.claim.Zone, m.claim.Spot})
		if s != nil {
			s.cpus -= m.cpus
			s.gpus -= m.gpus
			s.memoryGB -= m.ram
			s.bound = len(m.bound) > 0
		}
	}
}

// addCloudMachines adds the machines that the cloud lists and nobody has claimed yet.
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

// addRentals adds the machines of rentals that are recorded, or answered and not listed yet.
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

// packJobs packs the open jobs, most urgent first.
func (p *fleetPlan) packJobs() {
	c := p.core
	uses := map[string]usage{}
	for _, r := range c.jobs.openByUrgency {
		if r.final() {
			continue
		}
		n := p.tasksToPack(r, uses)
		if n == 0 {
			continue
		}
		spec := r.spec
		if spec.OneZone && spec.Zone == "" && n > 1 {
			spec = p.pinZone(r.spec, n, c.cfg.Facts.Zones, r.tasksByZone)
		}
		p.packTasks(spec, n, tasksByZone(r))
	}
}

// tasksToPack is how many tasks of a job are to be packed within its team's limit; uses is
// what the teams use with what has been packed already.
func (p *fleetPlan) tasksToPack(r *jobRecord, uses map[string]usage) (n int) {
	c := p.core
	team := c.jobs.teamOf(r)
	if team == nil || c.paused(r) { // nothing is provisioned for a job that is not retried now
		return 0
	}
	used, ok := uses[r.spec.Team]
	if !ok {
		used = team.charged
	}
	// More than two pages' worth at a time need not be planned for.
	pending := min(r.spec.Tasks-r.bound-r.finished, 2*c.tasksPerPage())
	if !isGang(r) {
		pending = c.failureHistory(r).AtOnce(pending)
	}
	for ; n < pending && team.withinLimit(used.plus(r.spec, 1)); n++ {
		used = used.plus(r.spec, 1)
	}
	uses[r.spec.Team] = used
	return n
}

// tasksByZone counts the bound tasks in each zone of a job that must be spread, nil for any other.
func tasksByZone(r *jobRecord) map[string]int {
	if !r.spec.Spread {
		return nil
	}
	counts := map[string]int{}
	maps.Copy(counts, r.tasksByZone)
	return counts
}

// machineSummary tells, for the log, how many machines of each type there are, how many of
// their GPUs are taken, and how many of those by services.
func (c *Core) machineSummary() string {
	type summary struct {
		machines                 int
		gpus, taken, forServices float64
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
		s.taken += m.gpus
		s.forServices += m.serviceShare
	}
	out := ""
	for _, kind := range sortedKeys(byKind) {
		s := byKind[kind]
		out += fmt.Sprintf("%s:%d %g/%g steady %g; ", kind, s.machines, s.taken, s.gpus, s.forServices)
	}
	return out
}
