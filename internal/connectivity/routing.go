package connectivity

import (
	"hash/fnv"
	"slices"
	"time"
)

// CanServeZone tells whether a peer can answer a zone's workers, by a link report that is no older
// than within: its records are fresh, and it hears the zone.
//
// The rule that this must not break: none. Status 421 is advice: who is sent to the wrong place
// is refused there and tries the next, and only a claim lets a controller answer.
func CanServeZone(s *Snapshot, peer *Peer, zone string, within time.Duration) bool {
	return peer.ReportAge < within && s.mirrorFresh(peer) && HearsZone(s, peer, zone)
}

// HearsZone tells whether a peer hears a zone's workers at this moment, as far as its link report
// goes: one of those that it holds there has been heard within its silence limit. One that holds
// none, and has not lost them, is taken to.
//
// Guards against a worker that is sent back to the controller that it comes from because it
// could not reach it: with a few others like it on its way, its lease runs out.
func HearsZone(s *Snapshot, peer *Peer, zone string) bool {
	for _, z := range peer.Zones {
		if z.Zone != zone {
			continue
		}
		silent := z.Workers > 0 && milliseconds(z.LastHeardMS) > silenceLimit(s.HeartbeatInterval, z.Workers)
		if z.Unreachable || silent {
			return false
		}
	}
	return !peer.HearsNoWorkers
}

// minProvingWorkers is how many workers of a zone a controller must hold for its link report to
// prove that it hears the zone.
const minProvingWorkers = 4

// ProvenToHearZone tells whether a peer is known to hear a zone, and not merely not known to miss
// it: it holds several workers there and hears them (of one or two, what is heard is
// seconds old). A worker whose controller did not answer it is sent to no other: each
// wrong guess takes it seconds of a lease that has begun to run out.
//
// Not one whose link to any zone flaps: one that is lost, and was heard a moment ago all the
// same. It holds the workers that came while the link was up, and they prove nothing.
func ProvenToHearZone(s *Snapshot, peer *Peer, zone string) bool {
	if slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Unreachable && milliseconds(z.LastHeardMS) < 2*s.HeartbeatInterval }) {
		return false
	}
	return HearsZone(s, peer, zone) && slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Zone == zone && z.Workers >= minProvingWorkers })
}

// ChooseReceiver names the peer that a worker is best sent to by a controller that can't
// answer it for long: one of its zone first, and by the worker's name among those that are
// equal, so that none is overloaded. Not the one that it comes from, which did not answer it.
// "" if none is known.
func ChooseReceiver(s *Snapshot, zone, worker, from string, within time.Duration) string {
	var sameZone, all []string
	for i := range s.Peers {
		if peer := &s.Peers[i]; peer.Controller.Node != from && CanServeZone(s, peer, zone, within) {
			all = append(all, peer.Controller.Node)
			if peer.Controller.Zone == zone {
				sameZone = append(sameZone, peer.Controller.Node)
			}
		}
	}
	if len(sameZone) > 0 {
		all = sameZone
	}
	if len(all) == 0 {
		return ""
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(worker))
	return all[int(sum.Sum32()%uint32(len(all)))]
}

// PeersServe tells whether another controller can do what needs records no older than limit, by a
// heartbeat of its own: then a balancer that leaves us out loses nothing.
func (t *Tracker) PeersServe(limit time.Duration) bool {
	s := t.Snapshot()
	return slices.ContainsFunc(s.Peers, func(peer Peer) bool { return s.heard(&peer) && milliseconds(peer.MirrorAgeMS) < limit })
}

// Workload is what a worker runs, most urgent first.
type Workload int

// Workloads of a worker.
const (
	UrgentWorkload Workload = iota
	OtherWorkload
	NoWorkload
)

var workloadNames = [...]string{"urgent", "other", "none"}

// String is the workload's name, "unknown" for a value that is none.
func (w Workload) String() string {
	if w < 0 || int(w) >= len(workloadNames) {
		return "unknown"
	}
	return workloadNames[w]
}

// ShouldHandOver tells whether a controller without the state service and without anybody who
// relays for it sends a worker on now: urgent ones at once, others from a third of
// the time left on, empty ones from two thirds, so that claims are written where they
// arrive in the order of what they save. alone is how long it has been so, left how long
// workers may still be answered here.
//
// The rule that this must not break: the cancel horizon, which is not its to decide:
// who stays is answered within it alone.
func ShouldHandOver(w Workload, alone, left time.Duration) bool {
	return 3*alone >= time.Duration(w)*(alone+left)
}

// MayRecover tells whether a worker's owner may be back soon and go on without a
// new claim, its last heartbeat being no older than within. Not one that is silent after it said
// that it reaches the state service through others alone, or hears no workers: what it lacked it
// still lacks.
func MayRecover(s *Snapshot, owner *Peer, within time.Duration) bool {
	return owner.HeartbeatAge <= within && !owner.HearsNoWorkers && milliseconds(owner.StateServiceMS) <= s.StaleAfter
}

// HolderReachable tells whether a worker's owner is there and hears workers, as far as its
// heartbeats tell.
//
// The rule that this must not break: the cancel horizon, which the owner judges itself.
func (t *Tracker) HolderReachable(owner string) bool {
	s := t.Snapshot()
	peer := s.Find(owner)
	return peer != nil && s.heard(peer) && !peer.HearsNoWorkers
}

// ZoneLost tells whether a peer says, a moment ago, that it has lost a zone's workers or all: it
// heard none for too long, and none since for long enough.
//
// The rule that this must not break: none. Who takes its workers over does so by a record.
func ZoneLost(s *Snapshot, owner, zone string) bool {
	peer := s.Find(owner)
	if peer == nil || peer.ReportAge >= s.HeartbeatInterval {
		return false
	}
	return peer.HearsNoWorkers || slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Zone == zone && z.Unreachable })
}

// ChooseIntermediary names a peer by way of which another can be queried that we can't query
// ourselves: both hear one another. "" if there is none, or if none is needed.
//
// The rule that this must not break: the cancel horizon. A query names its asker's
// clock and incarnation, so a reply that is late, or meant for an earlier incarnation, proves
// nothing new; who passes it on adds nothing to it.
func ChooseIntermediary(s *Snapshot, to string) string {
	if target := s.Find(to); target == nil || s.Connected(target) {
		return ""
	}
	for i := range s.Peers {
		peer := &s.Peers[i]
		if peer.Controller.Node != to && peer.Relays && s.Connected(peer) && slices.Contains(peer.HearsPeers, to) {
			return peer.Controller.Node
		}
	}
	return ""
}
