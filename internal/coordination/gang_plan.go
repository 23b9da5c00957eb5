package coordination

import (
	"time"

	"silvergate/internal/job"
)

// A gang needs room for all of its tasks at once. The fleet planner packs it whole, and rents machines
// until they hold it. If the cloud has no more machines to give, and those that there are could not hold
// the gang even if all other work that ends had ended, machines kept for it would be paid for in vain: they
// are given back, and rentals for it are tried again after a while, and then less and less often.

// gangShortage is what the planner remembers of a gang for which the fleet has lacked room.
type gangShortage struct {
	attemptAt      time.Duration // when the present attempt to rent machines for it began; until then, none are rented or kept
	attempts       int           // how many attempts have failed
	exhaustedSince time.Duration // since when the cloud has had no more machines in this attempt; 0: it may have some
}

// Periods of a shortage, in units of gang_wait_s.
const (
	shortageGrace   = 0.5 // how long machines are kept in the first attempt, once the cloud has no more
	shortageBackoff = 2   // time between the first two attempts; it doubles with each further one
)

// maxShortageDoublings is how many times the time between two attempts doubles.
const maxShortageDoublings = 5

// forgetShortages deletes the shortages of jobs that have started or are over.
func (f *fleetScaler) forgetShortages(open map[string]*jobRecord) {
	for id := range f.shortages {
		if r := open[id]; r == nil || r.bound > 0 {
			delete(f.shortages, id)
		}
	}
}

// shortageOf returns the shortage of a gang for which the fleet lacks room. The first attempt to rent
// machines for it begins now.
func (f *fleetScaler) shortageOf(id string, now time.Duration) *gangShortage {
	if f.shortages[id] == nil {
		f.shortages[id] = &gangShortage{attemptAt: now}
	}
	return f.shortages[id]
}

// packGang packs the n unplaced tasks of a gang. spec is the job's, with the zone that was chosen for it,
// if any. If the fleet can't hold the gang, it packs none of them.
func (p *fleetPlan) packGang(r *jobRecord, spec *job.Spec, n int) {
	c := p.core
	p.avoided = c.machinesAvoidedBy(r)
	defer func() { p.avoided = nil }()
	before := p.checkpoint()
	defer p.endCheckpoint()
	if shortage := c.scaler.shortages[r.spec.ID]; shortage != nil && c.now < shortage.attemptAt {
		p.packOntoFleet(r, spec, n, before)
		return
	}
	zones := tasksByZone(r)
	left := p.packTasks(spec, n, zones)
	if left == 0 && p.planned == before.planned {
		return // the fleet holds the gang
	}
	shortage := c.scaler.shortageOf(r.spec.ID, c.now)
	if !p.cloudExhausted(spec, zones, shortage.attemptAt) || p.fleetCouldHold(r, n) {
		shortage.exhaustedSince = 0
		return
	}
	if shortage.attemptFailed(c.now, c.cfg.Facts.Workers.GangWait) {
		c.log.Info("the fleet can't hold a gang", "job", r.spec.ID, "tasks", n, "attempts", shortage.attempts, "retry_in", shortage.attemptAt-c.now)
		p.rollBack(before)
	}
}

// packOntoFleet packs a gang if the machines that there are have room for all of it.
func (p *fleetPlan) packOntoFleet(r *jobRecord, spec *job.Spec, n int, before packingCheckpoint) {
	p.rentalsStopped = true
	left := p.packTasks(spec, n, tasksByZone(r))
	p.rentalsStopped = false
	if left > 0 {
		p.rollBack(before)
	}
}

// attemptFailed is called while the cloud has no more machines for the gang and the fleet can't hold it.
// It reports whether the attempt has failed, the first one after a grace period, and schedules the next.
func (g *gangShortage) attemptFailed(now time.Duration, gangWaitS float64) bool {
	if g.exhaustedSince == 0 {
		g.exhaustedSince = now
	}
	if g.attempts == 0 && now-g.exhaustedSince < seconds(shortageGrace*gangWaitS) {
		return false
	}
	doublings := min(g.attempts, maxShortageDoublings)
	g.attemptAt = now + seconds(shortageBackoff*gangWaitS*float64(int(1)<<doublings))
	g.attempts++
	g.exhaustedSince = 0
	return true
}

// cloudExhausted reports whether the cloud has refused, wholly or in part, every offering that a job's
// next task may use, since the given time, and no request for one of them is under way.
func (p *fleetPlan) cloudExhausted(spec *job.Spec, tasksByZone map[string]int, since time.Duration) bool {
	f := &p.core.scaler
	unanswered := f.unansweredOfferings()
	for offer := range p.usableOfferings(spec, tasksByZone) {
		refusedAt, refused := f.refusedAt[offer]
		if !refused || refusedAt < since || unanswered[offer] || f.recordingAt(offer, p.core.now) {
			return false
		}
	}
	return true
}

// fleetCouldHold reports whether the machines that there are, and those that boot, would hold n tasks of
// a gang once all other work but services has ended.
func (p *fleetPlan) fleetCouldHold(r *jobRecord, n int) bool {
	tasksInZone := map[string]int{}
	total := 0
	for _, s := range p.slots {
		if s.planned || p.avoided[s.id] {
			continue
		}
		zone := s.offering.zone
		limit := n
		if r.spec.Spread {
			limit = min(limit, r.spec.SpreadLimit()-r.tasksByZone[zone]-tasksInZone[zone])
		}
		tasks := p.tasksWhenCleared(s, r.spec, limit)
		tasksInZone[zone] += tasks
		total += tasks
		if r.spec.OneZone && tasksInZone[zone] >= n || !r.spec.OneZone && total >= n {
			return true
		}
	}
	return false
}

// tasksWhenCleared returns how many tasks of a job, at most limit, a machine would hold with its services
// alone.
func (p *fleetPlan) tasksWhenCleared(s *slot, spec *job.Spec, limit int) int {
	if !s.allows(spec) {
		return 0
	}
	cleared := newSlot(s.offering, p.types[s.offering.machineType])
	if m := p.core.machines.byID[s.id]; m != nil && m.services > 0 {
		for _, key := range m.boundTasks() {
			if r := m.bound[key]; r.spec.Shape == job.Service {
				cleared.add(r.spec)
			}
		}
	}
	return cleared.tasksThatFit(spec, limit)
}
