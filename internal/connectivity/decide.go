package connectivity

import (
	"hash/fnv"
	"slices"
	"time"
)

// Peer is what is known of one controller.
type Peer struct {
	Controller
	LinkReport
	HeartbeatAge time.Duration // since its own beat came here
	ReportAge    time.Duration // of the row, by whichever way it came
	Relays       bool          // it knows how to carry calls
	RelayBackoff bool          // carrying failed there a moment ago
}

const never = 365 * 24 * time.Hour

// Snapshot is who reaches what, as known to one controller at one moment.
type Snapshot struct {
	Self                          string
	HeartbeatInterval, StaleAfter time.Duration
	Peers                         []Peer
}

// Find is a peer by its name, nil if there is none of that name.
func (p *Snapshot) Find(name string) *Peer {
	for i := range p.Peers {
		if p.Peers[i].Controller.Node == name {
			return &p.Peers[i]
		}
	}
	return nil
}

// Connected tells whether messages pass both ways between us and a peer: its beats come,
// and say that ours do.
func (p *Snapshot) Connected(q *Peer) bool {
	return q.HeartbeatAge < p.HeartbeatInterval && slices.Contains(q.HearsPeers, p.Self)
}

// ChooseRelay names the peer through which the state service is asked while our own link
// to it is down, "" if there is none: one that messages reach both ways and that
// the service answers itself. One that hears no workers has the time for it and goes first,
// then whoever follows us by name, so that not all choose the same. A carrier that
// works is kept.
//
// The rule that this must not break: none. A call that a peer carries is a call on a longer
// way; what may happen to it there (lost, late, its answer lost) may happen without it.
func ChooseRelay(p *Snapshot, kept string) string {
	best, rank := "", 0
	for i := range p.Peers {
		q := &p.Peers[i]
		if !q.Relays || q.RelayBackoff || !p.Connected(q) || milliseconds(q.StateServiceMS) > p.StaleAfter {
			continue
		}
		n := 0
		if q.Controller.Node == kept {
			n += 4
		}
		if q.HearsNoWorkers {
			n += 2
		}
		if q.Controller.Node > p.Self {
			n++
		}
		if best == "" || n > rank {
			best, rank = q.Controller.Node, n
		}
	}
	return best
}

// CanServeZone tells whether a peer can answer a zone's workers, by a word that is no older
// than within: its records are fresh, and it hears the zone.
//
// The rule that this must not break: none. 421 is advice: who is sent to the wrong place
// is refused there and tries the next, and only a claim lets a controller answer.
func CanServeZone(p *Snapshot, q *Peer, zone string, within time.Duration) bool {
	return q.ReportAge < within && milliseconds(q.MirrorAgeMS) <= p.HeartbeatInterval/2 && HearsZone(p, q, zone)
}

// HearsZone tells whether a peer hears a zone's workers at this moment, as far as its word
// goes: one of those that it holds there has reported within its patience. One that holds
// none, and has not lost them, is taken to.
//
// Guards against a worker that is sent back to the controller that it comes from because it
// could not reach it: with a few others like it on its way, its lease runs out.
func HearsZone(p *Snapshot, q *Peer, zone string) bool {
	for _, z := range q.Zones {
		if z.Zone == zone && (z.Unreachable || z.Workers > 0 && milliseconds(z.LastHeardMS) > silenceLimit(p.HeartbeatInterval, z.Workers)) {
			return false
		}
	}
	return !q.HearsNoWorkers
}

// minProvingWorkers is how many workers of a zone a controller must hold for its word to prove
// that it hears the zone.
const minProvingWorkers = 4

// ProvenToHearZone tells whether a peer is known to hear a zone, and not merely not known to be deaf
// to it: it holds several workers there and hears them (of one or two, what is heard is
// seconds old). A worker whose controller did not answer it is sent to no other: each
// wrong guess takes it seconds of a lease that has begun to run out.
//
// Not one whose link to any zone flaps: one that is lost, and was heard a moment ago all the
// same. It holds the workers that came while the link was up, and they prove nothing.
func ProvenToHearZone(p *Snapshot, q *Peer, zone string) bool {
	if slices.ContainsFunc(q.Zones, func(z ZoneReport) bool { return z.Unreachable && milliseconds(z.LastHeardMS) < 2*p.HeartbeatInterval }) {
		return false
	}
	return HearsZone(p, q, zone) && slices.ContainsFunc(q.Zones, func(z ZoneReport) bool { return z.Zone == zone && z.Workers >= minProvingWorkers })
}

// ChooseReceiver names the peer that a worker is best sent to by a controller that can't
// answer it for long: one of its zone first, and by the worker's name among those that are
// equal, so that none is drowned. Not the one that it comes from, which did not answer it.
// "" if none is known.
func ChooseReceiver(p *Snapshot, zone, worker, from string, within time.Duration) string {
	var near, all []string
	for i := range p.Peers {
		if q := &p.Peers[i]; q.Controller.Node != from && CanServeZone(p, q, zone, within) {
			all = append(all, q.Controller.Node)
			if q.Controller.Zone == zone {
				near = append(near, q.Controller.Node)
			}
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(worker))
	return all[int(h.Sum32()%uint32(len(all)))]
}

// PeersServe tells whether another controller can do what needs fresh records, by a word of
// its own: then a balancer that leaves us out loses nothing.
func (r *Tracker) PeersServe(limit time.Duration) bool {
	p := r.Snapshot()
	return slices.ContainsFunc(p.Peers, func(q Peer) bool { return q.HeartbeatAge < p.HeartbeatInterval && milliseconds(q.MirrorAgeMS) < limit })
}

// Workload is what a worker runs, most urgent first.
type Workload int

// Levels.
const (
	UrgentWorkload Workload = iota
	OtherWorkload
	NoWorkload
)

// ShouldHandOver tells whether a controller without the state service and without anybody who
// carries for it sends a worker on now: urgent ones at once, others from a third of
// the time left on, empty ones from two thirds, so that claims are written where they
// arrive in the order of what they save. alone is how long it has been so, left how long
// workers may still be answered here.
//
// The rule that this must not break: the cancel horizon, which is not its to decide:
// who stays is answered within it alone.
func ShouldHandOver(l Workload, alone, left time.Duration) bool {
	return 3*alone >= time.Duration(l)*(alone+left)
}

// MayRecover tells whether a worker's own controller may be back soon and go on without a
// new claim. Not one that is silent after it said that it reaches the state service
// through others alone, or hears no workers: what it lacked it still lacks.
func MayRecover(p *Snapshot, owner *Peer, within time.Duration) bool {
	return owner.HeartbeatAge <= within && !owner.HearsNoWorkers && milliseconds(owner.StateServiceMS) <= p.StaleAfter
}

// HolderReachable tells whether a worker's own controller is there and hears workers, as far as its beats tell.
//
// The rule that this must not break: the cancel horizon, which the holder judges itself.
func (r *Tracker) HolderReachable(owner string) bool {
	p := r.Snapshot()
	q := p.Find(owner)
	return q != nil && q.HeartbeatAge < p.HeartbeatInterval && !q.HearsNoWorkers
}

// ZoneLost tells whether a peer says, a moment ago, that it has lost a zone's workers or all: it
// heard none for too long, and none since for long enough.
//
// The rule that this must not break: none. Who takes its workers over does so by a record.
func ZoneLost(p *Snapshot, owner, zone string) bool {
	q := p.Find(owner)
	if q == nil || q.ReportAge >= p.HeartbeatInterval {
		return false
	}
	return q.HearsNoWorkers || slices.ContainsFunc(q.Zones, func(z ZoneReport) bool { return z.Zone == zone && z.Unreachable })
}

// ChooseIntermediary names a peer by way of which another can be asked that we can't ask ourselves:
// both hear one another. "" if there is none, or if none is needed.
//
// The rule that this must not break: the cancel horizon. A question names its asker's
// clock and life, so an answer that is late, or meant for an earlier life, proves
// nothing new; who passes it on adds nothing to it.
func ChooseIntermediary(p *Snapshot, to string) string {
	if target := p.Find(to); target == nil || p.Connected(target) {
		return ""
	}
	for i := range p.Peers {
		t := &p.Peers[i]
		if t.Controller.Node != to && t.Relays && p.Connected(t) && slices.Contains(t.HearsPeers, to) {
			return t.Controller.Node
		}
	}
	return ""
}

// LeaderLostCloud tells whether the controller that rents says that the cloud does not answer it.
func LeaderLostCloud(p *Snapshot, leader string) bool {
	q := p.Find(leader)
	return q != nil && q.HeartbeatAge < p.HeartbeatInterval && q.CloudUnreachable
}

// PeerReachesCloud tells whether a controller that the cloud does not answer leaves renting to others: one
// of them has fresh records and got an answer a moment ago. Else it is the cloud that is away.
//
// The rule that this must not break: one controller rents. Who gives up drops the lease's record,
// conditional on its stamp, and who takes it creates the record; what was under way is on
// record under its name, and is asked again by that name.
func PeerReachesCloud(p *Snapshot) bool {
	return slices.ContainsFunc(p.Peers, func(q Peer) bool {
		return q.Relays && q.HeartbeatAge < p.HeartbeatInterval && !q.CloudUnreachable && milliseconds(q.CloudMS) < 2*p.HeartbeatInterval && milliseconds(q.MirrorAgeMS) <= p.HeartbeatInterval/2
	})
}

// RateDemand counts the peers that may want more than their share of the state service's
// rates: those that say so, and those that are not heard and may use it; and those that have
// nothing to use theirs for: who hears no workers, and who reached the service through
// others alone when it was last heard. alive tells who holds a member record.
//
// The rule that this must not break: none. The service refuses what is over its rates.
func RateDemand(p *Snapshot, alive func(string) bool) (throttled, idle int) {
	for i := range p.Peers {
		q := &p.Peers[i]
		heard := q.HeartbeatAge < p.HeartbeatInterval
		switch {
		case heard && q.Throttled:
			throttled++
		case heard && q.HearsNoWorkers, !heard && (!alive(q.Controller.Node) || milliseconds(q.StateServiceMS) > p.StaleAfter):
			idle++
		case !heard:
			throttled++
		}
	}
	return throttled, idle
}

func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), never.Milliseconds())) * time.Millisecond
}
