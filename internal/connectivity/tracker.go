// Package connectivity keeps which controller reaches what, and decides on it: through
// whom the state service is called when our own link to it is down, where workers
// are best sent, whose confirmation of cancellations is asked for by way of a third.
//
// What it knows comes from calls that are made anyway and from link reports that
// controllers add to their heartbeats. It is advice: a report that is late, lost or untrue
// costs time and breaks no rule, since every way ends at a condition that the
// state service checks, at a worker's fencing token, or at the cancel horizon.
//
// There is no I/O or clock in it, and no lock. A Tracker has one owner, the core; what it
// decides about peers are functions of a Snapshot. All times are of the owner's clock, as
// Advance tells them.
package connectivity

import "time"

// Config is what a Tracker is made for.
type Config struct {
	Self              string
	Incarnation       int64 // tells this process from earlier ones of the same controller
	Peers             []Controller
	HeartbeatInterval time.Duration // between two heartbeats of a worker; peer heartbeats come three times as often
	StaleAfter        time.Duration // the age from which a mirror that is watched has missed an answer
}

// Controller is a controller and its zone.
type Controller struct{ Node, Zone string }

// Tracker is one controller's view of all links. Use New.
type Tracker struct {
	cfg             Config
	now             time.Duration
	resumedAt       time.Duration // when we last went on after a stall
	nextHeartbeatAt time.Duration
	nextRebalanceAt time.Duration
	state           stateLink
	cloud           cloudLink
	workers         workerLinks
	peers           map[string]*peerState
	relayBackoff    map[string]time.Duration // peers whose relaying failed: not before
	confirmedAt     map[string]time.Duration // as of when a peer has named all cancellations
	cancelled       map[string]bool          // cancelled jobs that peers named and no record shows yet
	relays          relayTable
	loggedLink      string // the last that operators were told
	Stats           Stats
}

// Stats counts what an operator wants to know.
type Stats struct {
	RelaysServed      uint64 `json:"carried"`    // calls of peers that were made here
	RelaysDeclined    uint64 `json:"declined"`   // calls of peers that were not
	RelaysSent        uint64 `json:"relayed"`    // own calls that went through a peer
	RelaysLost        uint64 `json:"lost"`       // own calls through a peer without an answer
	LinkLosses        uint64 `json:"downs"`      // how often the state service was taken for unreachable
	WorkersRedirected uint64 `json:"handedOn"`   // workers sent to a controller that can serve them
	MessagesForwarded uint64 `json:"sideways"`   // queries and replies passed on for others
	Stalls            uint64 `json:"stoodStill"` // how often this process stalled
}

// New makes a Tracker that knows nothing yet.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:          cfg,
		peers:        map[string]*peerState{},
		relayBackoff: map[string]time.Duration{},
		confirmedAt:  map[string]time.Duration{},
		cancelled:    map[string]bool{},
		workers:      workerLinks{zones: map[string]*workerLink{}},
		relays:       relayTable{pending: map[uint64]*pendingRelay{}},
	}
}

// stallThreshold is the least gap between two steps that counts as a stall: a tick comes
// at least every report_s/12.
func (t *Tracker) stallThreshold() time.Duration { return max(time.Second, t.cfg.HeartbeatInterval/4) }

// Advance lets time pass. It comes with every step. A gap shows that it was us who
// stalled, so that nobody's silence counts from before it.
func (t *Tracker) Advance(now time.Duration) {
	if now-t.now > t.stallThreshold() && t.now > 0 {
		t.resumedAt = now
		t.Stats.Stalls++
	}
	t.now = now
}

// silence is how long nothing was heard since a moment, times in which we stalled
// and did not listen left out.
func (t *Tracker) silence(since time.Duration) time.Duration { return t.now - max(since, t.resumedAt) }

// HeartbeatDue tells whether peers are to be sent a heartbeat, a third of a worker's
// heartbeat interval after the last one; if so, the next is due that much later.
func (t *Tracker) HeartbeatDue() bool {
	if t.now < t.nextHeartbeatAt {
		return false
	}
	t.nextHeartbeatAt = t.now + t.cfg.HeartbeatInterval/3
	return true
}

// MayRebalance tells whether a worker of ours may be sent elsewhere to even out; if so, the
// next may only after pause.
func (t *Tracker) MayRebalance(pause time.Duration) bool {
	if t.now < t.nextRebalanceAt {
		return false
	}
	t.nextRebalanceAt = t.now + pause
	return true
}
