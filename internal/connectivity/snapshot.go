package connectivity

import (
	"slices"
	"time"
)

// Peer is what is known of one controller.
type Peer struct {
	Controller
	LinkReport
	HeartbeatAge time.Duration // since its own heartbeat came here
	ReportAge    time.Duration // of the link report, by whichever way it came
	Relays       bool          // it knows how to relay calls
	RelayBackoff bool          // relaying failed there a moment ago
}

// maxAge is the age of what was maxAge heard.
const maxAge = 365 * 24 * time.Hour

// Snapshot is who reaches what, as known to one controller at one moment.
type Snapshot struct {
	Self                          string
	HeartbeatInterval, StaleAfter time.Duration // see Config
	Peers                         []Peer
}

// Snapshot is what is known now, for decisions.
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

// Find is a peer by its name, nil if there is none of that name.
func (s *Snapshot) Find(name string) *Peer {
	for i := range s.Peers {
		if s.Peers[i].Controller.Node == name {
			return &s.Peers[i]
		}
	}
	return nil
}

// Connected tells whether messages pass both ways between us and a peer: its heartbeats come,
// and say that ours do.
func (s *Snapshot) Connected(peer *Peer) bool {
	return s.heard(peer) && slices.Contains(peer.HearsPeers, s.Self)
}

// heard tells whether a peer's own heartbeats come.
func (s *Snapshot) heard(peer *Peer) bool { return peer.HeartbeatAge < s.HeartbeatInterval }

// mirrorFresh tells whether a peer's records are fresh enough to answer workers by them.
func (s *Snapshot) mirrorFresh(peer *Peer) bool {
	return milliseconds(peer.MirrorAgeMS) <= s.HeartbeatInterval/2
}

// milliseconds is an age that a peer tells, held within bounds.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxAge.Milliseconds())) * time.Millisecond
}
