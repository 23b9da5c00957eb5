package connectivity

import (
	"slices"
	"time"
)

// cloudLink is our own link to the cloud.
type cloudLink struct {
	answeredAt      time.Duration // time of the cloud's last own answer, see isServiceAnswer
	unansweredSince time.Duration // time of the first call since then without such an answer; 0: none
	nextProbeAt     time.Duration // earliest time of the next call that only probes the link
}

// cloudTimeout is how long the cloud may be silent towards a controller that calls it every few
// seconds. An unanswered call takes 5 s; a second one shows that the first was not a single failure.
const cloudTimeout = 8 * time.Second

// RecordCloudReply records the status of a call to the cloud, 0 if there was no answer. In an outage the
// cloud answers every call with 503, which counts as no answer.
func (t *Tracker) RecordCloudReply(status int) {
	switch link := &t.cloud; {
	case isServiceAnswer(status):
		link.answeredAt, link.unansweredSince = t.now, 0
	case link.unansweredSince == 0:
		link.unansweredSince = t.now
	}
}

// CloudUnreachable reports whether the cloud has stopped answering our calls.
func (t *Tracker) CloudUnreachable() bool {
	return t.cloud.unansweredSince > 0 && t.silence(t.cloud.answeredAt) > cloudTimeout && t.silence(t.cloud.unansweredSince) > cloudTimeout/4
}

// ShouldProbeCloud reports whether to call the cloud only to find out whether it answers us. A
// controller that does not rent machines learns this in no other way. A probe is due when the
// controller that rents (leader) reports that the cloud does not answer it, or when the cloud does
// not answer us, at most once per worker heartbeat interval.
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

// LeaderLostCloud reports whether the controller that rents machines, leader, says that the cloud
// does not answer it.
func LeaderLostCloud(s *Snapshot, leader string) bool {
	peer := s.Find(leader)
	return peer != nil && s.heard(peer) && peer.CloudUnreachable
}

// PeerReachesCloud reports whether some peer has fresh records and had an answer from the cloud
// a moment ago. If so, a controller that the cloud does not answer leaves renting to the others; if
// not, it is the cloud that is down.
//
// The result can't violate the rule that only one controller rents: the one that gives up deletes
// the leader record, conditional on its revision, and its successor creates a new one. Rentals
// that were under way are on record by name, and are requested again under the same name.
func PeerReachesCloud(s *Snapshot) bool {
	return slices.ContainsFunc(s.Peers, func(peer Peer) bool {
		return peer.Relays && s.heard(&peer) && !peer.CloudUnreachable &&
			milliseconds(peer.CloudMS) < 2*s.HeartbeatInterval && s.mirrorFresh(&peer)
	})
}
