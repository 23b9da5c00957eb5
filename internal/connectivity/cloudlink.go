package connectivity

import (
	"slices"
	"time"
)

// cloudLink is our own link to the cloud.
type cloudLink struct {
	answeredAt      time.Duration // the last real answer
	unansweredSince time.Duration // the first call since then that got none; 0: none
	nextProbeAt     time.Duration // not to be asked only for its answer's sake before
}

// cloudTimeout is how long the cloud may be silent to who asks it every few seconds: a call that
// nobody answers takes 5 s, and the next one proves that it was not that call alone.
const cloudTimeout = 8 * time.Second

// CloudAnswered takes the status of a call of the cloud, 0 if there was no answer. In an outage it
// answers 503 to all.
func (t *Tracker) CloudAnswered(status int) {
	switch link := &t.cloud; {
	case isServiceAnswer(status):
		link.answeredAt, link.unansweredSince = t.now, 0
	case link.unansweredSince == 0:
		link.unansweredSince = t.now
	}
}

// CloudUnreachable tells whether the cloud does not answer us, though we ask.
func (t *Tracker) CloudUnreachable() bool {
	return t.cloud.unansweredSince > 0 && t.silence(t.cloud.answeredAt) > cloudTimeout && t.silence(t.cloud.unansweredSince) > cloudTimeout/4
}

// ShouldProbeCloud tells whether the cloud is to be asked whether it answers us, which nothing else
// shows of a controller that does not rent: the one that does (leader) says that it gets no answer,
// or we got none ourselves. It is at most once in a worker's heartbeat interval.
func (t *Tracker) ShouldProbeCloud(leader string) bool {
	if t.now < t.cloud.nextProbeAt || t.silence(t.cloud.answeredAt) < t.cfg.HeartbeatInterval {
		return false
	}
	if snapshot := t.Snapshot(); !t.CloudUnreachable() && !LeaderLostCloud(&snapshot, leader) {
		return false
	}
	t.cloud.nextProbeAt = t.now + t.cfg.HeartbeatInterval
	return true
}

// LeaderLostCloud tells whether the controller that rents says that the cloud does not answer it.
func LeaderLostCloud(s *Snapshot, leader string) bool {
	peer := s.Find(leader)
	return peer != nil && s.heard(peer) && peer.CloudUnreachable
}

// PeerReachesCloud tells whether a controller that the cloud does not answer leaves renting to others:
// one of them has fresh records and got an answer a moment ago. Else it is the cloud that is down.
//
// The rule that this must not break: one controller rents. Who gives up drops the lease's record,
// conditional on its revision, and who takes it creates the record; what was under way is on
// record under its name, and is asked again by that name.
func PeerReachesCloud(s *Snapshot) bool {
	return slices.ContainsFunc(s.Peers, func(peer Peer) bool {
		return peer.Relays && s.heard(&peer) && !peer.CloudUnreachable &&
			milliseconds(peer.CloudMS) < 2*s.HeartbeatInterval && s.mirrorFresh(&peer)
	})
}
