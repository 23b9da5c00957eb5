package coordination

import (
	"encoding/json"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// A gang of several tasks starts whole: its keeper binds all tasks in one
// transaction, on machines of its own and on such as peers have offered. A
// lease in the state service marks one waiting gang. Only that gang keeps the
// room it has found and draws from peers; others look for room and let go.

// gangScheduler owns the reservation that lets one waiting gang at a time keep room.
type gangScheduler struct {
	reservation       gangReservation // the record, whoever holds it
	inFlight          bool            // the record is being written or deleted
	reservedAt        time.Duration   // when this controller last wrote it
	releasedAt        time.Duration   // when the record last went
	nextRoomRequestAt time.Duration
}

// gangReservation is the record that marks the waiting gang.
type gangReservation struct {
	Job         string `json:"j"`
	Owner       string `json:"o"`
	Incarnation int64  `json:"l"`
}

// applyReservation takes a change of the reservation's record; data is nil when it is deleted.
func (g *gangScheduler) applyReservation(data json.RawMessage, now time.Duration) {
	if g.reservation.Job != "" && data == nil {
		g.releasedAt = now
	}
	g.reservation = gangReservation{}
	if data != nil {
		_ = protocol.Decode(data, &g.reservation)
	}
}

// updateGangReservation takes the lease for the first waiting gang, if that is ours to
// look after, and gives it back once it no longer waits.
func (c *Core) updateGangReservation(open []*jobRecord) {
	if c.gangs.inFlight || c.membership.lease == 0 {
		return
	}
	if c.gangs.reservation.Job != "" {
		r := c.jobs.byID[c.gangs.reservation.Job]
		// Guards against a mark that nobody acts on: a controller that stood
		// in for the job's keeper gives it back when the keeper returns. A
		// gang that finds no room for long lets others try.
		timedOut := c.now-c.gangs.reservedAt > seconds(2*c.cfg.Facts.Workers.GangWait)
		// Guards against one gang for which there is no block at all keeping
		// others waiting that need fewer machines or another zone.
		noBlock := r != nil && c.gangs.reservation.Owner == c.cfg.Node && len(r.blockMachines) == 0 && c.now-c.gangs.reservedAt > c.holdTime() && c.nextWaitingGang(open, func(o *jobRecord) bool { return o != r }) != nil
		timedOut = timedOut || noBlock
		if c.gangs.reservation.Owner == c.cfg.Node && (c.gangs.reservation.Incarnation != c.incarnation || r == nil || r.final() || r.bound > 0 || timedOut || c.responsibleController(r.owner) != c.cfg.Node) {
			c.gangs.inFlight = true
			if timedOut && r != nil && c.gangs.reservation.Incarnation == c.incarnation {
				backoff := c.cfg.Facts.Workers.GangWait / 4
				if !noBlock {
					r.failedReservations = min(r.failedReservations+1, 4)
					backoff = c.cfg.Facts.Workers.GangWait * float64(r.failedReservations)
				}
				r.nextReservationAt = c.now + seconds(backoff)
			}
			c.state.Txn(ratelimit.OtherWork, []protocol.Compare{{Key: keyGang, ModRevision: c.state.ModRevision(keyGang)}}, []protocol.Op{{Delete: keyGang}},
				func(stateclient.TxnOutcome, []string, uint64) { c.gangs.inFlight = false })
		}
		return
	}
	r := c.nextWaitingGang(open, func(*jobRecord) bool { return true })
	if r != nil && c.responsibleController(r.owner) != c.cfg.Node && c.now-c.gangs.releasedAt > seconds(c.cfg.Facts.Workers.Report/4) {
		// The first one's keeper lets the mark lie: it has had its turn.
		r = c.nextWaitingGang(open, func(r *jobRecord) bool { return c.responsibleController(r.owner) == c.cfg.Node })
	}
	if r != nil && c.responsibleController(r.owner) == c.cfg.Node {
		c.gangs.inFlight, c.gangs.reservedAt = true, c.now
		c.state.Txn(ratelimit.OtherWork, []protocol.Compare{{Key: keyGang}},
			[]protocol.Op{{Put: keyGang, Value: encode(gangReservation{r.spec.ID, c.cfg.Node, c.incarnation}), Lease: c.membership.lease}},
			func(stateclient.TxnOutcome, []string, uint64) { c.gangs.inFlight = false })
	}
}

// nextWaitingGang is the first waiting gang of those wanted.
func (c *Core) nextWaitingGang(open []*jobRecord, wanted func(*jobRecord) bool) *jobRecord {
	for _, r := range open {
		if !isGang(r) || !wanted(r) || r.bound > 0 || len(r.reservations) > 0 || c.now < r.retryAt || c.now < r.nextReservationAt {
			continue
		}
		tm := c.jobs.teams[r.spec.Team]
		if tm != nil && tm.withinLimit(tm.charged.plus(r.spec, float64(r.spec.Tasks))) {
			return r
		}
	}
	return nil
}
