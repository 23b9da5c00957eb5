package coordination

import (
	"fmt"
	"maps"
	"sort"
	"strconv"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// slot is a machine in a packing, with what is left of it.
type slot struct {
	id       string
	offering offering
	cpus     float64
	gpus     float64
	memoryGB float64
	bound    bool // tasks are bound to it
	used     bool // the packing has put tasks onto it
	planned  bool // it is to be rented
}

// fits tells whether a task may and can be put into the slot.
func (s *slot) fits(spec *job.Spec) bool {
	if !spec.AllowsMachineType(s.offering.machineType) || (spec.Zone != "" && spec.Zone != s.offering.zone) || (s.offering.spot && !spec.Spot) {
		return false
	}
	return s.hasRoomFor(spec)
}

// hasRoomFor tells whether what is left of the slot holds a task.
func (s *slot) hasRoomFor(spec *job.Spec) bool {
	return spec.CPUs <= s.cpus+tolerance && spec.GPUs <= s.gpus+tolerance && spec.MemoryGB <= s.memoryGB+tolerance
}

// add takes what a task needs from the slot.
func (s *slot) add(spec *job.Spec) {
	s.cpus -= spec.CPUs
	s.gpus -= spec.GPUs
	s.memoryGB -= spec.MemoryGB
	s.used = true
}

// planFleet packs the open work onto the machines there are and those that are booting.
// Machines are rented for what does not fit; what is not used is drained after a while.
func (c *Core) planFleet() {
	p := c.newBinPacking()
	p.addMachines()
	p.addCloudMachines()
	p.addRentals()
	p.sortSlots()
	p.packJobs()
	c.scaleOut(p.toRent, p.urgent)
	c.scaleIn(p.slots)
	if c.verbose {
		c.log.Debug("fleet plan", "machines", len(p.slots), "booting", p.booting, "renting", len(p.toRent), "unmet", p.unplaceable, "kinds", c.machineSummary())
	}
}

// binPacking is one plan: the machines that there are, that boot and that are to be rented,
// with the open work put onto them.
type binPacking struct {
	core             *Core
	slots            []*slot
	known            map[string]bool // machines that have a slot, or a claim
	machinesByZone   map[string]int
	unreachableZones map[string]bool // see zoneUnreachable
	unresponsive     map[string]bool // machines to which no work can be given
	booting          int
	toRent           map[offering]int
	urgent           map[offering]bool // production work waits for these
	unplaceable      int               // tasks for which nothing can be rented
	firstOpenSlot    int               // slots before this one have nothing left for any open job
}

func (c *Core) newBinPacking() *binPacking {
	p := &binPacking{
		core:             c,
		known:            map[string]bool{},
		machinesByZone:   map[string]int{},
		unreachableZones: map[string]bool{},
		unresponsive:     map[string]bool{},
		toRent:           map[offering]int{},
		urgent:           map[offering]bool{},
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

// unreachableZoneLoad is counted as the machines of an unreachable zone: nothing is rented
// there while there is another way.
const unreachableZoneLoad = 1 << 20

// addSlot makes a slot of a machine; m is nil while it has no claim.
func (p *binPacking) addSlot(id string, where offering, m *machine) {
	machineType, ok := p.core.catalogue.types[where.machineType]
	if !ok {
		return
	}
	s := &slot{id: id, offering: where, cpus: machineType.CPUs, gpus: machineType.GPUs, memoryGB: machineType.MemoryGB}
	if m != nil {
		s.cpus = machineType.CPUs - m.cpus
		s.gpus = machineType.GPUs - m.gpus
		s.memoryGB = machineType.MemoryGB - m.ram
		s.bound = len(m.bound) > 0
	}
	p.slots = append(p.slots, s)
}

// addMachines adds the machines that are claimed and can be used.
func (p *binPacking) addMachines() {
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
		p.addSlot(id, offering{m.claim.MachineType, m.claim.Zone, m.claim.Spot}, m)
	}
}

// addCloudMachines adds the machines that the cloud lists and nobody has claimed yet.
func (p *binPacking) addCloudMachines() {
	f := &p.core.scaler
	for id, listed := range f.cloudMachines {
		if _, deleted := f.deletedAt[id]; deleted || p.known[id] || listed.Status == protocol.StatusFailed {
			continue
		}
		p.known[id] = true
		p.booting++
		p.addSlot(id, offering{listed.MachineType, listed.Zone, listed.Spot}, nil)
	}
}

// addRentals adds the machines of rentals that are recorded, or answered and not listed yet.
func (p *binPacking) addRentals() {
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
			p.addSlot(id, r.offering(), nil)
		}
	}
}

// sortSlots puts machines with bound tasks first, so that empty ones can be deleted.
func (p *binPacking) sortSlots() {
	sort.Slice(p.slots, func(i, j int) bool {
		a, b := p.slots[i], p.slots[j]
		if a.bound != b.bound {
			return a.bound
		}
		if a.offering.spot != b.offering.spot {
			return a.offering.spot // what may use spot machines leaves the others alone
		}
		return a.id < b.id
	})
}

// packJobs packs the open jobs, most urgent first.
func (p *binPacking) packJobs() {
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
			spec = c.pinZone(r, n, p.slots, p.toRent, p.machinesByZone)
		}
		p.packTasks(spec, n, tasksByZone(r))
	}
}

// tasksToPack is how many tasks of a job are to be packed within its team's limit; uses is
// what the teams use with what has been packed already.
func (p *binPacking) tasksToPack(r *jobRecord, uses map[string]usage) (n int) {
	c := p.core
	tm := c.jobs.teams[r.spec.Team]
	if tm == nil || c.paused(r) { // nothing is rented for a job that is not retried now
		return 0
	}
	used, ok := uses[r.spec.Team]
	if !ok {
		used = tm.charged
	}
	// More than two pages' worth at a time need not be planned for.
	pending := min(r.spec.Tasks-r.bound-r.finished, 2*c.tasksPerPage())
	if !isGang(r) {
		pending = c.failureHistory(r).AtOnce(pending)
	}
	for ; n < pending && tm.withinLimit(used.plus(r.spec, 1)); n++ {
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

// packTasks packs n tasks of a job; tasksByZone counts its tasks in each zone if it must be
// spread, and is nil otherwise.
func (p *binPacking) packTasks(spec *job.Spec, n int, tasksByZone map[string]int) {
	p.skipFullSlots()
	at := p.firstOpenSlot // a job's tasks are alike: what can't take one takes none
	for ; n > 0; n-- {
		for at < len(p.slots) && !(p.slots[at].fits(spec) && spreadAllows(spec, tasksByZone, p.slots[at].offering.zone)) {
			at++
		}
		if at < len(p.slots) {
			p.slots[at].add(spec)
			if tasksByZone != nil {
				tasksByZone[p.slots[at].offering.zone]++
			}
			continue
		}
		where, found := p.core.cheapestOffering(spec, p.toRent, tasksByZone, p.machinesByZone)
		if !found {
			p.unplaceable += n
			return
		}
		p.planMachine(where, spec)
		if tasksByZone != nil {
			tasksByZone[where.zone]++
		}
	}
}

// spreadAllows tells whether another task of a job may go to a zone; tasksByZone is nil for a
// job that need not be spread.
func spreadAllows(spec *job.Spec, tasksByZone map[string]int, zone string) bool {
	return tasksByZone == nil || tasksByZone[zone] < spec.SpreadLimit()
}

// skipFullSlots passes over slots that have nothing left for any open job.
func (p *binPacking) skipFullSlots() {
	for p.firstOpenSlot < len(p.slots) {
		s := p.slots[p.firstOpenSlot]
		if s.cpus >= tolerance && s.memoryGB >= tolerance && (p.core.jobs.openCPUOnly > 0 || s.gpus >= tolerance) {
			return
		}
		p.firstOpenSlot++
	}
}

// planMachine adds a machine that is to be rented, with a task of a job on it.
func (p *binPacking) planMachine(where offering, spec *job.Spec) {
	machineType := p.core.catalogue.types[where.machineType]
	s := &slot{offering: where, cpus: machineType.CPUs, gpus: machineType.GPUs, memoryGB: machineType.MemoryGB, planned: true}
	s.add(spec)
	p.slots = append(p.slots, s)
	p.toRent[where]++
	p.urgent[where] = p.urgent[where] || spec.Priority == job.Production
}

// cheapestOffering picks where to rent for a task: the offering that costs least for each
// task on it and was not refused a short while ago, in the zone with the fewest machines.
// Costs that differ by less than priceTolerance count as equal.
func (c *Core) cheapestOffering(spec *job.Spec, toRent map[offering]int, tasksByZone, machinesByZone map[string]int) (offering, bool) {
	var best offering
	bestCost, bestLoad, found := 0.0, 0, false
	for _, typeName := range sortedKeys(c.catalogue.types) {
		machineType := c.catalogue.types[typeName]
		if !spec.AllowsMachineType(typeName) || !typeHolds(machineType, spec) {
			continue
		}
		perMachine := tasksPerMachine(machineType, spec)
		for _, where := range offeringsFor(typeName, machineType, spec) {
			if c.now < c.scaler.refusedUntil[where] || !spreadAllows(spec, tasksByZone, where.zone) {
				continue
			}
			cost := where.price(machineType) / perMachine
			load := toRent[where] + machinesByZone[where.zone]
			cheaper := cost < bestCost*(1-priceTolerance)
			alike := cost < bestCost*(1+priceTolerance)
			if !found || cheaper || alike && load < bestLoad {
				best, bestCost, bestLoad, found = where, cost, load, true
			}
		}
	}
	return best, found
}

// priceTolerance is the share by which costs may differ and still count as equal.
const priceTolerance = 0.001

// offeringsFor lists the offerings of a machine type that a job may use, spot first.
func offeringsFor(typeName string, machineType *protocol.MachineType, spec *job.Spec) (offerings []offering) {
	for _, spot := range []bool{true, false} {
		if spot && !spec.Spot {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				offerings = append(offerings, offering{typeName, zone, spot})
			}
		}
	}
	return offerings
}

// tasksPerMachine is how many tasks of a job a machine of a type holds, one at least.
func tasksPerMachine(t *protocol.MachineType, s *job.Spec) float64 {
	fit := 1e9 // for a job that asks for nothing
	for _, d := range [][2]float64{{t.CPUs, s.CPUs}, {t.GPUs, s.GPUs}, {t.MemoryGB, s.MemoryGB}} {
		if d[1] > 0 {
			fit = min(fit, float64(int(d[0]/d[1]+tolerance)))
		}
	}
	return max(fit, 1)
}

// pinZone picks the zone in which a one-zone job's tasks are packed: where
// some are already, or else where most of them find room. It returns the job's
// specification with that zone.
func (c *Core) pinZone(r *jobRecord, n int, slots []*slot, toRent map[offering]int, machinesByZone map[string]int) *job.Spec {
	best, bestFit := r.spec, -1
	for _, zone := range c.cfg.Facts.Zones {
		pinned := *r.spec
		pinned.Zone = zone
		fit := 0
		for _, s := range slots {
			for room := *s; fit < n && room.fits(&pinned); fit++ {
				room.add(&pinned)
			}
		}
		_, rentable := c.cheapestOffering(&pinned, toRent, nil, machinesByZone)
		if r.tasksByZone[zone] > 0 {
			return &pinned
		}
		if (fit == n || rentable) && fit > bestFit {
			best, bestFit = &pinned, fit
		}
	}
	return best
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
