package reach

import (
	"hash/fnv"
	"slices"
	"time"
)

// Peer is what is known of one controller.
type Peer struct {
	Name
	Row
	Word    time.Duration // since its own beat came here
	Age     time.Duration // of the row, by whichever way it came
	Carries bool          // it knows how to carry calls
	Cooling bool          // carrying failed there a moment ago
}

const never = 365 * 24 * time.Hour

// Picture is who reaches what, as known to one controller at one moment.
type Picture struct {
	Self         string
	Report, Late time.Duration
	Peers        []Peer
}

// Find is a peer by its name, nil if there is none of that name.
func (p *Picture) Find(name string) *Peer {
	for i := range p.Peers {
		if p.Peers[i].Name.Node == name {
			return &p.Peers[i]
		}
	}
	return nil
}

// Near tells whether messages pass both ways between us and a peer: its beats come,
// and say that ours do.
func (p *Picture) Near(q *Peer) bool {
	return q.Word < p.Report && slices.Contains(q.Hears, p.Self)
}

// Carrier names the peer through which the state service is asked while our own link
// to it is down, "" if there is none: one that messages reach both ways and that
// the service answers itself. One that hears no workers has the time for it and goes first,
// then whoever follows us by name, so that not all choose the same. A carrier that
// works is kept.
//
// The rule that this must not break: none. A call that a peer carries is a call on a longer
// way; what may happen to it there (lost, late, its answer lost) may happen without it.
func Carrier(p *Picture, kept string) string {
	best, rank := "", 0
	for i := range p.Peers {
		q := &p.Peers[i]
		if !q.Carries || q.Cooling || !p.Near(q) || ms(q.StateMS) > p.Late {
			continue
		}
		n := 0
		if q.Name.Node == kept {
			n += 4
		}
		if q.Deaf {
			n += 2
		}
		if q.Name.Node > p.Self {
			n++
		}
		if best == "" || n > rank {
			best, rank = q.Name.Node, n
		}
	}
	return best
}

// Serves tells whether a peer can answer a zone's workers, by a word that is no older
// than within: its records are fresh, and it hears the zone.
//
// The rule that this must not break: none. 421 is advice: who is sent to the wrong place
// is refused there and tries the next, and only a claim lets a controller answer.
func Serves(p *Picture, q *Peer, zone string, within time.Duration) bool {
	return q.Age < within && ms(q.FreshMS) <= p.Report/2 && Hears(p, q, zone)
}

// Hears tells whether a peer hears a zone's workers at this moment, as far as its word
// goes: one of those that it holds there has reported within its patience. One that holds
// none, and has not lost them, is taken to.
//
// Guards against a worker that is sent back to the controller that it comes from because it
// could not reach it: with a few others like it on its way, its lease runs out.
func Hears(p *Picture, q *Peer, zone string) bool {
	for _, z := range q.Zones {
		if z.Zone == zone && (z.Lost || z.Held > 0 && ms(z.HeardMS) > patience(p.Report, z.Held)) {
			return false
		}
	}
	return !q.Deaf
}

// witnesses is how many workers of a zone a controller must hold for its word to prove
// that it hears the zone.
const witnesses = 4

// Proven tells whether a peer is known to hear a zone, and not merely not known to be deaf
// to it: it holds several workers there and hears them (of one or two, what is heard is
// seconds old). A worker whose controller did not answer it is sent to no other: each
// wrong guess takes it seconds of a lease that has begun to run out.
//
// Not one whose link to any zone flaps: one that is lost, and was heard a moment ago all the
// same. It holds the workers that came while the link was up, and they prove nothing.
func Proven(p *Picture, q *Peer, zone string) bool {
	if slices.ContainsFunc(q.Zones, func(z ZoneWord) bool { return z.Lost && ms(z.HeardMS) < 2*p.Report }) {
		return false
	}
	return Hears(p, q, zone) && slices.ContainsFunc(q.Zones, func(z ZoneWord) bool { return z.Zone == zone && z.Held >= witnesses })
}

// Receiver names the peer that a worker is best sent to by a controller that can't
// answer it for long: one of its zone first, and by the worker's name among those that are
// equal, so that none is drowned. Not the one that it comes from, which did not answer it.
// "" if none is known.
func Receiver(p *Picture, zone, worker, from string, within time.Duration) string {
	var near, all []string
	for i := range p.Peers {
		if q := &p.Peers[i]; q.Name.Node != from && Serves(p, q, zone, within) {
			all = append(all, q.Name.Node)
			if q.Name.Zone == zone {
				near = append(near, q.Name.Node)
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

// OthersServe tells whether another controller can do what needs fresh records, by a word of
// its own: then a balancer that leaves us out loses nothing.
func (r *Reach) OthersServe(limit time.Duration) bool {
	p := r.Picture()
	return slices.ContainsFunc(p.Peers, func(q Peer) bool { return q.Word < p.Report && ms(q.FreshMS) < limit })
}

// Level is what a worker runs, most urgent first.
type Level int

// Levels.
const (
	Urgent Level = iota
	Busy
	Empty
)

// HandOver tells whether a controller without the state service and without anybody who
// carries for it sends a worker on now: urgent ones at once, others from a third of
// the time left on, empty ones from two thirds, so that claims are written where they
// arrive in the order of what they save. alone is how long it has been so, left how long
// workers may still be answered here.
//
// The rule that this must not break: the cancel horizon, which is not its to decide:
// who stays is answered within it alone.
func HandOver(l Level, alone, left time.Duration) bool {
	return 3*alone >= time.Duration(l)*(alone+left)
}

// MayReturn tells whether a worker's own controller may be back soon and go on without a
// new claim. Not one that is silent after it said that it reaches the state service
// through others alone, or hears no workers: what it lacked it still lacks.
func MayReturn(p *Picture, owner *Peer, within time.Duration) bool {
	return owner.Word <= within && !owner.Deaf && ms(owner.StateMS) <= p.Late
}

// HolderHeard tells whether a worker's own controller is there and hears workers, as far as its beats tell.
//
// The rule that this must not break: the cancel horizon, which the holder judges itself.
func (r *Reach) HolderHeard(owner string) bool {
	p := r.Picture()
	q := p.Find(owner)
	return q != nil && q.Word < p.Report && !q.Deaf
}

// Lost tells whether a peer says, a moment ago, that it has lost a zone's workers or all: it
// heard none for too long, and none since for long enough.
//
// The rule that this must not break: none. Who takes its workers over does so by a record.
func Lost(p *Picture, owner, zone string) bool {
	q := p.Find(owner)
	if q == nil || q.Age >= p.Report {
		return false
	}
	return q.Deaf || slices.ContainsFunc(q.Zones, func(z ZoneWord) bool { return z.Zone == zone && z.Lost })
}

// Third names a peer by way of which another can be asked that we can't ask ourselves:
// both hear one another. "" if there is none, or if none is needed.
//
// The rule that this must not break: the cancel horizon. A question names its asker's
// clock and life, so an answer that is late, or meant for an earlier life, proves
// nothing new; who passes it on adds nothing to it.
func Third(p *Picture, to string) string {
	if target := p.Find(to); target == nil || p.Near(target) {
		return ""
	}
	for i := range p.Peers {
		t := &p.Peers[i]
		if t.Name.Node != to && t.Carries && p.Near(t) && slices.Contains(t.Hears, to) {
			return t.Name.Node
		}
	}
	return ""
}

// Renterless tells whether the controller that rents says that the cloud does not answer it.
func Renterless(p *Picture, renter string) bool {
	q := p.Find(renter)
	return q != nil && q.Word < p.Report && q.NoCloud
}

// OtherRents tells whether a controller that the cloud does not answer leaves renting to others: one
// of them has fresh records and got an answer a moment ago. Else it is the cloud that is away.
//
// The rule that this must not break: one controller rents. Who gives up drops the lease's record,
// conditional on its stamp, and who takes it creates the record; what was under way is on
// record under its name, and is asked again by that name.
func OtherRents(p *Picture) bool {
	return slices.ContainsFunc(p.Peers, func(q Peer) bool {
		return q.Carries && q.Word < p.Report && !q.NoCloud && ms(q.CloudMS) < 2*p.Report && ms(q.FreshMS) <= p.Report/2
	})
}

// Claimants counts the peers that may want more than their share of the state service's
// rates: those that say so, and those that are not heard and may use it; and those that have
// nothing to use theirs for: who hears no workers, and who reached the service through
// others alone when it was last heard. alive tells who holds a member record.
//
// The rule that this must not break: none. The service refuses what is over its rates.
func Claimants(p *Picture, alive func(string) bool) (hungry, idle int) {
	for i := range p.Peers {
		q := &p.Peers[i]
		heard := q.Word < p.Report
		switch {
		case heard && q.Hungry:
			hungry++
		case heard && q.Deaf, !heard && (!alive(q.Name.Node) || ms(q.StateMS) > p.Late):
			idle++
		case !heard:
			hungry++
		}
	}
	return hungry, idle
}

func ms(n int64) time.Duration {
	return time.Duration(min(max(n, 0), never.Milliseconds())) * time.Millisecond
}
