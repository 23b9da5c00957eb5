package connectivity

import (
	"hash/fnv"
	"slices"
	"time"
)

// CanServeZone reports whether a peer can answer a zone's workers: its link report is younger than
// within, its records are fresh, and it hears the zone.
//
// No safety rule depends on the result. Status 421 is advice: a worker that is redirected to the
// wrong controller is refused there and tries the next one, and a controller may answer a worker
// only under a claim.
func CanServeZone(s *Snapshot, peer *Peer, zone string, within time.Duration) bool {
	return peer.ReportAge < within && s.mirrorFresh(peer) && HearsZone(s, peer, zone)
}

// HearsZone reports whether a peer's link report shows that it hears a zone's workers now: it has
// heard one of its workers there within silenceLimit. A peer without workers there is assumed to
// hear the zone unless it has lost the zone or all its workers.
//
// Guards against a worker that left a controller that it could not reach and is sent back to that
// controller: after a few such detours the worker's lease runs out.
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

// ProvenToHearZone reports whether a peer's link report proves that it hears a zone: it holds at
// least minProvingWorkers workers there and hears them. HearsZone is weaker, as it also accepts a
// peer of which nothing is known against it. With one or two workers the last heartbeat is seconds
// old and proves little. A worker that its controller did not answer is redirected only to
// a proven peer, as each wrong guess costs it seconds of a lease that has begun to run out.
//
// A peer proves nothing while its link to any zone flaps, that is, while a zone is lost and yet was
// heard a moment ago: the workers that it holds may have come while the link was up.
func ProvenToHearZone(s *Snapshot, peer *Peer, zone string) bool {
	if slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Unreachable && milliseconds(z.LastHeardMS) < 2*s.HeartbeatInterval }) {
		return false
	}
	return HearsZone(s, peer, zone) && slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Zone == zone && z.Workers >= minProvingWorkers })
}

// ChooseReceiver returns the name of the peer to which to redirect a worker that this controller
// will soon be unable to answer, or "" if no peer is known to serve the worker's zone. Peers in that
// zone come first; among equals a hash of the worker's name decides, so that no peer is
// overloaded. The controller that the worker comes from (from) is excluded, as it did not answer.
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

// PeersServe reports whether the recent heartbeat of some peer shows that its records are younger than
// limit. If so, a load balancer that leaves us out loses nothing.
func (t *Tracker) PeersServe(limit time.Duration) bool {
	s := t.Snapshot()
	return slices.ContainsFunc(s.Peers, func(peer Peer) bool { return s.heard(&peer) && milliseconds(peer.MirrorAgeMS) < limit })
}

// Workload is how urgent a worker's tasks are, most urgent first.
type Workload int

// The workloads: a worker runs urgent tasks, only other tasks, or no tasks.
const (
	UrgentWorkload Workload = iota
	OtherWorkload
	NoWorkload
)

var workloadNames = [...]string{"urgent", "other", "none"}

// String returns the workload's name, or "unknown" for an undefined value.
func (w Workload) String() string {
	if w < 0 || int(w) >= len(workloadNames) {
		return "unknown"
	}
	return workloadNames[w]
}

// ShouldRedirect reports whether to redirect a worker now, in a controller that can reach the state
// service neither directly nor through a peer. alone is how long that has lasted; left is how long
// the controller may still answer workers. Workers with urgent work go at once, those with other
// work after a third of alone+left, and those without work after two thirds, so that their new
// controllers first write the claims that save the most.
//
// The result can't violate the cancel horizon, which is checked elsewhere: the workers that
// stay are answered only within it.
func ShouldRedirect(w Workload, alone, left time.Duration) bool {
	return 3*alone >= time.Duration(w)*(alone+left)
}

// MayRecover reports whether a worker's owner may be back soon and go on without a new claim: its last
// heartbeat is no older than within, and its last report said that it reached the state service
// directly and heard workers. An owner whose last report said otherwise is assumed to be still
// without the link that it lacked then.
func MayRecover(s *Snapshot, owner *Peer, within time.Duration) bool {
	return owner.HeartbeatAge <= within && !owner.HearsNoWorkers && milliseconds(owner.StateServiceMS) <= s.StaleAfter
}

// OwnerReachable reports whether a worker's owner has sent us a recent heartbeat and does not report
// that it hears no workers.
//
// The result can't violate the cancel horizon, which the owner checks itself.
func (t *Tracker) OwnerReachable(owner string) bool {
	s := t.Snapshot()
	peer := s.Find(owner)
	return peer != nil && s.heard(peer) && !peer.HearsNoWorkers
}

// ZoneLost reports whether a recent link report of a peer says that it has lost a zone's workers, or
// all workers: it heard none for too long, and not steadily enough since.
//
// No safety rule depends on the result. A controller takes over the peer's workers only by
// writing a record.
func ZoneLost(s *Snapshot, owner, zone string) bool {
	peer := s.Find(owner)
	if peer == nil || peer.ReportAge >= s.HeartbeatInterval {
		return false
	}
	return peer.HearsNoWorkers || slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Zone == zone && z.Unreachable })
}

// ChooseIntermediary returns the name of a peer that can forward a query to another peer with which
// we can't exchange messages: the intermediary is connected to us and hears that peer. It returns
// "" if there is no such peer or no intermediary is needed.
//
// The choice can't violate the cancel horizon: a query carries its sender's clock reading and
// incarnation, so a reply that is late, or meant for an earlier incarnation, proves nothing new,
// and the intermediary adds nothing to the reply.
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
