package coordination

import (
	"iter"
	"maps"
	"slices"
	"sort"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// slot is a machine in a packing, with its remaining resources.
type slot struct {
	id       string
	offering offering
	cpus     float64
	gpus     float64
	memoryGB float64
	tasks    int  // on it, with those that the packing has put there
	bound    bool // tasks are bound to it
	used     bool // the packing has put tasks onto it
	planned  bool // the machine is still to be rented
}

// newSlot returns an empty machine of a type as a slot.
func newSlot(offer offering, t *protocol.MachineType) *slot {
	return &slot{offering: offer, cpus: t.CPUs, gpus: t.GPUs, memoryGB: t.MemoryGB}
}

// allows reports whether a job may use the machine, by its type, its zone, and whether it is a spot machine.
func (s *slot) allows(spec *job.Spec) bool {
	if !spec.AllowsMachineType(s.offering.machineType) || s.offering.spot && !spec.Spot {
		return false
	}
	return spec.Zone == "" || spec.Zone == s.offering.zone
}

// fits reports whether a task is allowed in the slot and has room there.
func (s *slot) fits(spec *job.Spec) bool { return s.allows(spec) && s.hasRoomFor(spec) }

// hasRoomFor reports whether the remaining resources of the slot hold a task.
func (s *slot) hasRoomFor(spec *job.Spec) bool {
	return s.tasks < maxTasksPerMachine && spec.CPUs <= s.cpus+tolerance && spec.GPUs <= s.gpus+tolerance && spec.MemoryGB <= s.memoryGB+tolerance
}

// add subtracts a task's resources from those that remain in the slot.
func (s *slot) add(spec *job.Spec) {
	s.cpus -= spec.CPUs
	s.gpus -= spec.GPUs
	s.memoryGB -= spec.MemoryGB
	s.tasks++
	s.used = true
}

// remove adds the resources of a task that leaves the slot to those that remain.
func (s *slot) remove(spec *job.Spec) {
	s.cpus += spec.CPUs
	s.gpus += spec.GPUs
	s.memoryGB += spec.MemoryGB
	s.tasks--
}

// tasksThatFit returns how many tasks of a job, at most limit, the remaining resources of the slot hold.
func (s *slot) tasksThatFit(spec *job.Spec, limit int) (tasks int) {
	room := *s
	for tasks < limit && room.hasRoomFor(spec) {
		room.add(spec)
		tasks++
	}
	return tasks
}

// binPacking packs tasks onto slots: first fit, in the order of the slots. For tasks that fit
// no slot it chooses the cheapest machines to rent. It does not depend on Core.
type binPacking struct {
	types          map[string]*protocol.MachineType
	refused        func(offering) bool // the cloud has refused to rent out this offering a short while ago
	cpuOnlyWork    bool                // there are open jobs that need no accelerator
	slots          []*slot
	machinesByZone map[string]int
	toRent         map[offering]int
	urgent         map[offering]bool // offerings that production work waits for
	unplaceable    int               // tasks for which no machine can be rented
	firstOpenSlot  int               // slots before this one have no room for any open job
	planned        int               // slots of machines that are still to be rented
	rentalsStopped bool              // no further machines are planned
	avoided        map[string]bool   // machines that the job being packed is not to use
	recordsUndo    bool              // changes of slots are recorded in undo
	undo           []slotChange      // the slots changed since the checkpoint, as they were before
}

// slotChange is a slot and its state before tasks were added to it.
type slotChange struct {
	slot   *slot
	before slot
}

func newBinPacking(types map[string]*protocol.MachineType, refused func(offering) bool, cpuOnlyWork bool) *binPacking {
	return &binPacking{
		types:          types,
		refused:        refused,
		cpuOnlyWork:    cpuOnlyWork,
		machinesByZone: map[string]int{},
		toRent:         map[offering]int{},
		urgent:         map[offering]bool{},
	}
}

// addSlot adds an empty machine and returns its slot, or nil if its type is unknown.
func (p *binPacking) addSlot(id string, offer offering) *slot {
	machineType, ok := p.types[offer.machineType]
	if !ok {
		return nil
	}
	s := newSlot(offer, machineType)
	s.id = id
	p.slots = append(p.slots, s)
	return s
}

// sortSlots sorts machines with bound tasks first, so that empty ones can be deleted.
func (p *binPacking) sortSlots() {
	sort.Slice(p.slots, func(i, j int) bool {
		a, b := p.slots[i], p.slots[j]
		if a.bound != b.bound {
			return a.bound
		}
		if a.offering.spot != b.offering.spot {
			return a.offering.spot // jobs that may use spot machines leave on-demand ones free
		}
		return a.id < b.id
	})
}

// maxPlannedMachines is the most machines that a packing plans to rent: more than the cloud is asked
// for until the next packing, so that the size of a packing does not follow the waiting tasks.
const maxPlannedMachines = 20 * maxRentalCount

// packTasks packs n tasks of a job, and returns how many of them were left. tasksByZone counts the
// job's tasks in each zone if they must be spread over zones, and is nil otherwise.
func (p *binPacking) packTasks(spec *job.Spec, n int, tasksByZone map[string]int) (left int) {
	p.skipFullSlots()
	slotIndex := p.firstOpenSlot // a job's tasks are alike: a slot that does not fit one fits none
	for ; n > 0; n-- {
		for slotIndex < len(p.slots) && !p.usable(p.slots[slotIndex], spec, tasksByZone) {
			slotIndex++
		}
		if slotIndex < len(p.slots) {
			p.recordUndo(p.slots[slotIndex])
			p.slots[slotIndex].add(spec)
			if tasksByZone != nil {
				tasksByZone[p.slots[slotIndex].offering.zone]++
			}
			continue
		}
		offer, found := p.cheapestOffering(spec, tasksByZone)
		if !found || p.rentalsStopped || p.planned >= maxPlannedMachines {
			p.unplaceable += n
			return n
		}
		p.planMachine(offer, spec)
		if tasksByZone != nil {
			tasksByZone[offer.zone]++
		}
	}
	return 0
}

// usable reports whether the next task of the job being packed may be put into a slot.
func (p *binPacking) usable(s *slot, spec *job.Spec, tasksByZone map[string]int) bool {
	return s.fits(spec) && !p.avoided[s.id] && spreadAllows(spec, tasksByZone, s.offering.zone)
}

// packingCheckpoint is a state of a packing to which it can be rolled back.
type packingCheckpoint struct {
	slots       int
	planned     int
	unplaceable int
	toRent      map[offering]int
	urgent      map[offering]bool
}

// checkpoint returns the present state of the packing, and records what is packed from now on, until
// endCheckpoint is called.
func (p *binPacking) checkpoint() packingCheckpoint {
	p.recordsUndo = true
	return packingCheckpoint{len(p.slots), p.planned, p.unplaceable, maps.Clone(p.toRent), maps.Clone(p.urgent)}
}

// endCheckpoint ends the recording of changes. The last checkpoint is void then.
func (p *binPacking) endCheckpoint() {
	p.recordsUndo = false
	p.undo = p.undo[:0]
}

// recordUndo records a slot before tasks of a job are added to it one after the other.
func (p *binPacking) recordUndo(s *slot) {
	n := len(p.undo)
	if p.recordsUndo && (n == 0 || p.undo[n-1].slot != s) {
		p.undo = append(p.undo, slotChange{s, *s})
	}
}

// rollBack undoes what was packed since the checkpoint.
func (p *binPacking) rollBack(to packingCheckpoint) {
	for _, change := range slices.Backward(p.undo) {
		*change.slot = change.before
	}
	p.slots = p.slots[:to.slots]
	p.planned = to.planned
	p.unplaceable = to.unplaceable
	p.toRent = to.toRent
	p.urgent = to.urgent
}

// spreadAllows reports whether another task of a job may go to a zone; tasksByZone is nil for a
// job that need not be spread over zones.
func spreadAllows(spec *job.Spec, tasksByZone map[string]int, zone string) bool {
	return tasksByZone == nil || tasksByZone[zone] < spec.SpreadLimit()
}

// skipFullSlots advances firstOpenSlot past slots that have no room for any open job.
func (p *binPacking) skipFullSlots() {
	for p.firstOpenSlot < len(p.slots) {
		s := p.slots[p.firstOpenSlot]
		if s.tasks < maxTasksPerMachine && s.cpus >= tolerance && s.memoryGB >= tolerance && (p.cpuOnlyWork || s.gpus >= tolerance) {
			return
		}
		p.firstOpenSlot++
	}
}

// planMachine adds a machine that is to be rented, with one task of a job on it.
func (p *binPacking) planMachine(offer offering, spec *job.Spec) {
	s := newSlot(offer, p.types[offer.machineType])
	s.planned = true
	s.add(spec)
	p.slots = append(p.slots, s)
	p.planned++
	p.toRent[offer]++
	p.urgent[offer] = p.urgent[offer] || spec.Priority == job.Production
}

// cheapestOffering picks the offering to rent for a task: of those that were not refused a short
// while ago, the one with the lowest cost per task that a machine holds. Among equal costs it
// picks the zone with the fewest machines; costs that differ by less than priceTolerance count
// as equal.
func (p *binPacking) cheapestOffering(spec *job.Spec, tasksByZone map[string]int) (offering, bool) {
	var best offering
	bestCost, bestLoad, found := 0.0, 0, false
	for offer, machineType := range p.usableOfferings(spec, tasksByZone) {
		if p.refused(offer) {
			continue
		}
		cost := offer.price(machineType) / tasksPerMachine(machineType, spec)
		load := p.toRent[offer] + p.machinesByZone[offer.zone]
		cheaper := cost < bestCost*(1-priceTolerance)
		alike := cost < bestCost*(1+priceTolerance)
		if !found || cheaper || alike && load < bestLoad {
			best, bestCost, bestLoad, found = offer, cost, load, true
		}
	}
	return best, found
}

// usableOfferings yields, in a fixed order, the offerings that the next task of a job may use, with their
// machine types.
func (p *binPacking) usableOfferings(spec *job.Spec, tasksByZone map[string]int) iter.Seq2[offering, *protocol.MachineType] {
	return func(yield func(offering, *protocol.MachineType) bool) {
		for _, typeName := range sortedKeys(p.types) {
			machineType := p.types[typeName]
			if !spec.AllowsMachineType(typeName) || !typeHolds(machineType, spec) {
				continue
			}
			for _, offer := range offeringsFor(typeName, machineType, spec) {
				if spreadAllows(spec, tasksByZone, offer.zone) && !yield(offer, machineType) {
					return
				}
			}
		}
	}
}

// priceTolerance is the relative difference up to which costs count as equal.
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

// tasksPerMachine returns how many tasks of a job a machine of a type holds, at least one.
func tasksPerMachine(t *protocol.MachineType, s *job.Spec) float64 {
	fit := float64(maxTasksPerMachine)
	for _, d := range [][2]float64{{t.CPUs, s.CPUs}, {t.GPUs, s.GPUs}, {t.MemoryGB, s.MemoryGB}} {
		if d[1] > 0 {
			fit = min(fit, float64(int(d[0]/d[1]+tolerance)))
		}
	}
	return max(fit, 1)
}

// pinZone picks the zone in which n tasks of a one-zone job are packed: a zone where tasks of the
// job already are, or else the zone whose machines have room for the most of the n tasks. A zone
// without room for all of them is considered only if more machines can be rented there. pinZone
// returns a copy of the job's specification with that zone, or spec itself if no zone will do.
func (p *binPacking) pinZone(spec *job.Spec, n int, zones []string, tasksByZone map[string]int) *job.Spec {
	best, bestFit := spec, -1
	for _, zone := range zones {
		pinned := *spec
		pinned.Zone = zone
		if tasksByZone[zone] > 0 {
			return &pinned
		}
		fit := 0
		for _, s := range p.slots {
			if s.allows(&pinned) {
				fit += s.tasksThatFit(&pinned, n-fit)
			}
		}
		_, rentable := p.cheapestOffering(&pinned, nil)
		if (fit == n || rentable) && fit > bestFit {
			best, bestFit = &pinned, fit
		}
	}
	return best
}
