package coordination

import (
	"encoding/json"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// gangScheduler owns the reservation that lets one waiting gang at a time hold room.
type gangScheduler struct {
	reservation       gangReservation // the mirrored record, whoever owns it
	inFlight          bool            // the record is being written or deleted
	reservedAt        time.Duration   // when this controller last wrote it
	releasedAt        time.Duration   // when the record was last deleted
	nextRoomRequestAt time.Duration   // no room is requested from peers before this time
}

// gangReservation is the record that names the waiting gang that may hold room.
type gangReservation struct {
	Job         string `json:"j"`
	Owner       string `json:"o"`
	Incarnation int64  `json:"l"`
}

// applyReservation applies a change of the reservation's record; data is nil if it was deleted.
func (g *gangScheduler) applyReservation(data json.RawMessage, now time.Duration) {
	if g.reservation.Job != "" && data == nil {
		g.releasedAt = now
	}
	g.reservation = gangReservation{}
	if data != nil {
		_ = protocol.Decode(data, &g.reservation)
	}
}

// holdsGangReservation reports whether this controller holds the reservation for a job.
func (c *Core) holdsGangReservation(r *jobRecord) bool {
	return c.gangs.reservation.Job == r.spec.ID && c.gangs.reservation.Owner == c.cfg.Node
}

// updateGangReservation acquires the reservation for the first waiting gang, if this controller
// is responsible for it, and releases it once the gang no longer waits. open lists the open jobs,
// most urgent first.
func (c *Core) updateGangReservation(open []*jobRecord) {
	if c.gangs.inFlight || c.membership.lease == 0 {
		return
	}
	if c.gangs.reservation.Job != "" {
		c.checkGangReservation(open)
		return
	}
	r := c.nextWaitingGang(open, func(*jobRecord) bool { return true })
	if r != nil && !c.isResponsibleFor(r) && c.now-c.gangs.releasedAt > seconds(c.cfg.Facts.Workers.Heartbeat/4) {
		// The controller responsible for the first waiting gang has had time to
		// acquire the reservation and did not.
		r = c.nextWaitingGang(open, c.isResponsibleFor)
	}
	if r != nil && c.isResponsibleFor(r) {
		c.acquireGangReservation(r)
	}
}

// isResponsibleFor reports whether this controller is currently responsible for a job.
func (c *Core) isResponsibleFor(r *jobRecord) bool {
	return c.responsibleController(r.owner) == c.cfg.Node
}

// checkGangReservation releases the reservation if this controller holds it and it is no longer
// of use.
func (c *Core) checkGangReservation(open []*jobRecord) {
	if c.gangs.reservation.Owner != c.cfg.Node {
		return
	}
	r := c.jobs.byID[c.gangs.reservation.Job]
	ofThisIncarnation := c.gangs.reservation.Incarnation == c.incarnation
	// Guards against a gang that holds the reservation although there is no block for it,
	// while gangs that need fewer machines or another zone wait for the reservation.
	noBlock := r != nil && len(r.blockMachines) == 0 && c.now-c.gangs.reservedAt > c.holdTime() &&
		c.nextWaitingGang(open, func(other *jobRecord) bool { return other != r }) != nil
	// A gang that has found no room for a long time leaves the reservation to others.
	timedOut := noBlock || c.now-c.gangs.reservedAt > seconds(2*c.cfg.Facts.Workers.GangWait)
	waiting := r != nil && !r.final() && r.notStarted()
	// Guards against a reservation that no controller acts on: a controller that stood in
	// for the job's owner releases it when the owner returns.
	if ofThisIncarnation && waiting && !timedOut && c.isResponsibleFor(r) {
		return
	}
	if timedOut && r != nil && ofThisIncarnation {
		backoff := c.cfg.Facts.Workers.GangWait / 4
		if !noBlock {
			r.failedReservations = min(r.failedReservations+1, maxReservationBackoff)
			backoff = c.cfg.Facts.Workers.GangWait * float64(r.failedReservations)
		}
		r.nextReservationAt = c.now + seconds(backoff)
	}
	c.releaseGangReservation()
}

// maxReservationBackoff is the longest time for which a gang that found no room leaves the
// reservation to others, as a multiple of gang_wait_s.
const maxReservationBackoff = 4

// acquireGangReservation writes the reservation's record for a gang, under this controller's
// membership lease.
func (c *Core) acquireGangReservation(r *jobRecord) {
	c.gangs.inFlight = true
	c.gangs.reservedAt = c.now
	record := encode(gangReservation{r.spec.ID, c.cfg.Node, c.incarnation})
	c.state.Txn(ratelimit.OtherWork,
		[]protocol.Compare{{Key: keyGang}},
		[]protocol.Op{{Put: keyGang, Value: record, Lease: c.membership.lease}},
		c.gangs.finishWrite)
}

// releaseGangReservation deletes the reservation's record unless it has changed since the mirror
// read it.
func (c *Core) releaseGangReservation() {
	c.gangs.inFlight = true
	c.state.Txn(ratelimit.OtherWork,
		[]protocol.Compare{{Key: keyGang, ModRevision: c.state.ModRevision(keyGang)}},
		[]protocol.Op{{Delete: keyGang}},
		c.gangs.finishWrite)
}

// finishWrite ends a write of the record; the outcome is ignored, as the mirror shows the result.
func (g *gangScheduler) finishWrite(stateclient.TxnOutcome, []string, uint64) { g.inFlight = false }

// nextWaitingGang returns the first waiting gang that wanted accepts and whose team's limit
// allows it to start, or nil.
func (c *Core) nextWaitingGang(open []*jobRecord, wanted func(*jobRecord) bool) *jobRecord {
	for _, r := range open {
		if !isGang(r) || !wanted(r) || !r.awaitsRoom() || c.now < r.retryAt || c.now < r.nextReservationAt {
			continue
		}
		team := c.jobs.teamOf(r)
		if team != nil && team.withinLimit(team.charged.plus(r.spec, float64(r.unplacedTasks()))) {
			return r
		}
	}
	return nil
}
