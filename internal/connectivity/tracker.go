// Package connectivity tracks which controller reaches which others, the state service, the
// cloud and the workers, and decides how to go around lost links: through which peer to call the
// state service when our own link to it is down, to which peer to redirect workers, and
// through which intermediary to ask a peer to confirm cancellations.
//
// It learns this from calls that are made anyway and from link reports that controllers add to
// their heartbeats. All of it is advice: a report that is late, lost or untrue costs time and
// breaks no rule, since every decision that matters is guarded by a condition that the state
// service checks, by a worker's fencing token, or by the cancel horizon.
//
// The package does no I/O, reads no clock and takes no lock. A Tracker has one owner, the core.
// Decisions about peers are functions of a Snapshot. All times are of the owner's clock, as
// passed to Advance.
package connectivity

import "time"

// Config configures a Tracker.
type Config struct {
	Self              string
	Incarnation       int64 // distinguishes this process from earlier ones of the same controller
	Peers             []Controller
	HeartbeatInterval time.Duration // between two heartbeats of a worker; peer heartbeats come three times as often
	StaleAfter        time.Duration // the age of the mirror from which at least one watch has certainly failed
}

// Controller names a controller and its zone.
type Controller struct{ Node, Zone string }

// Tracker holds one controller's view of all links. Create it with New.
type Tracker struct {
	cfg             Config
	now             time.Duration
	resumedAt       time.Duration // when this process last resumed after a stall
	nextHeartbeatAt time.Duration
	nextRebalanceAt time.Duration
	state           stateLink
	cloud           cloudLink
	workers         workerLinks
	peers           map[string]*peerState
	relayBackoff    map[string]time.Duration // by peer: its relaying failed, and it is not used before this time
	confirmedAt     map[string]time.Duration // by peer: the time up to which it has named all its cancellations
	cancelled       map[string]bool          // cancelled jobs that peers named and no record shows yet
	relays          relayTable
	loggedLink      string // the last link state that LinkChange returned
	Stats           Stats
}

// Stats counts events for operators.
type Stats struct {
	RelaysServed      uint64 `json:"carried"`    // peers' calls that we made for them
	RelaysDeclined    uint64 `json:"declined"`   // peers' calls that we declined to make
	RelaysSent        uint64 `json:"relayed"`    // our calls that went through a peer
	RelaysLost        uint64 `json:"lost"`       // our calls through a peer that expired without an answer
	LinkLosses        uint64 `json:"downs"`      // how often our own link to the state service was lost
	WorkersRedirected uint64 `json:"handedOn"`   // workers redirected to a controller that can serve them
	MessagesForwarded uint64 `json:"sideways"`   // queries and replies forwarded between peers
	Stalls            uint64 `json:"stoodStill"` // how often this process stalled
}

// New returns a Tracker that knows nothing yet.
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

// stallThreshold returns the gap between two steps above which the process counts as stalled: a tick
// comes at least every report_s/12.
func (t *Tracker) stallThreshold() time.Duration { return max(time.Second, t.cfg.HeartbeatInterval/4) }

// Advance sets the current time. The core calls it at every step. A gap above stallThreshold shows that
// this process stalled, so that nobody's silence is counted from before the gap.
func (t *Tracker) Advance(now time.Duration) {
	if now-t.now > t.stallThreshold() && t.now > 0 {
		t.resumedAt = now
		t.Stats.Stalls++
	}
	t.now = now
}

// silence returns the time that has passed since the given time, but at most the time since the end of
// the last stall, as this process heard nothing during the stall.
func (t *Tracker) silence(since time.Duration) time.Duration { return t.now - max(since, t.resumedAt) }

// HeartbeatDue reports whether to send peers a heartbeat, which is due a third of a worker's
// heartbeat interval after the last one. If it is due, the next one is scheduled.
func (t *Tracker) HeartbeatDue() bool {
	if t.now < t.nextHeartbeatAt {
		return false
	}
	t.nextHeartbeatAt = t.now + t.cfg.HeartbeatInterval/3
	return true
}

// MayRebalance reports whether one of our workers may be redirected now to even out the controllers'
// shares. If so, the next one may be redirected only after pause.
func (t *Tracker) MayRebalance(pause time.Duration) bool {
	if t.now < t.nextRebalanceAt {
		return false
	}
	t.nextRebalanceAt = t.now + pause
	return true
}
