package connectivity

import (
	"slices"
	"time"
)

// Peer holds what is known about one peer.
type Peer struct {
	Controller
	LinkReport
	HeartbeatAge time.Duration // since its last own heartbeat arrived here
	ReportAge    time.Duration // of the link report, received directly or passed on by another peer
	Relays       bool          // its version can relay calls
	RelayBackoff bool          // relaying through it failed a moment ago
}

// maxAge is the age of a heartbeat or report that never came, and the upper bound of reported ages.
const maxAge = 365 * 24 * time.Hour

// Snapshot is one controller's view of all links at one moment.
type Snapshot struct {
	Self                          string
	HeartbeatInterval, StaleAfter time.Duration // see Config
	Peers                         []Peer
}

// Snapshot returns the present view of all links, on which decisions are based.
func (t *Tracker) Snapshot() Snapshot {
	s := Snapshot{Self: t.cfg.Self, HeartbeatInterval: t.cfg.HeartbeatInterval, StaleAfter: t.cfg.StaleAfter, Peers: make([]Peer, 0, len(t.cfg.Peers))}
	for _, controller := range t.cfg.Peers {
		peer := Peer{Controller: controller, HeartbeatAge: maxAge, ReportAge: maxAge}
		if known := t.peers[controller.Node]; known != nil {
			peer.LinkReport, peer.Relays, peer.ReportAge = known.report, known.relays, t.now-known.reportedAt
			if known.heartbeatAt > 0 {
				peer.HeartbeatAge = t.now - known.heartbeatAt
			}
		}
		peer.RelayBackoff = t.now < t.relayBackoff[controller.Node]
		s.Peers = append(s.Peers, peer)
	}
	return s
}

// Find returns the peer of the given name, or nil if there is none.
func (s *Snapshot) Find(name string) *Peer {
	for i := range s.Peers {
		if s.Peers[i].Controller.Node == name {
			return &s.Peers[i]
		}
	}
	return nil
}

// Connected reports whether messages pass both ways between us and a peer: its heartbeats arrive here,
// and they say that ours arrive there.
func (s *Snapshot) Connected(peer *Peer) bool {
	return s.heard(peer) && slices.Contains(peer.HearsPeers, s.Self)
}

// heard reports whether the peer's own heartbeats arrive here.
func (s *Snapshot) heard(peer *Peer) bool { return peer.HeartbeatAge < s.HeartbeatInterval }

// mirrorFresh reports whether a peer's records are fresh enough for it to answer workers.
func (s *Snapshot) mirrorFresh(peer *Peer) bool {
	return milliseconds(peer.MirrorAgeMS) <= s.HeartbeatInterval/2
}

// milliseconds converts an age that a peer reported, clamped to between 0 and maxAge.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxAge.Milliseconds())) * time.Millisecond
}
