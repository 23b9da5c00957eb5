package coordination

import (
	"sort"
	"time"

	"silvergate/internal/protocol"
)

// unshipped knows of machines with output of tasks that are over and that the archive
// has not acknowledged. Such a machine is not returned for want of work until its
// deadline. Room is free as soon as the records say so, and nothing else waits: the
// machine takes new work meanwhile.
//
// A machine tells its own controller in its reports; that one tells the leader, who
// returns machines, with its beats. A beat that is lost costs at most output that
// its agent could not ship in the seconds that it has when it is switched off.
type unshipped struct {
	c *Core
	// ours is what machines of this controller said last, known what is known of
	// all machines: since when, and when it was last said.
	ours  map[string]bool
	known map[string]wait
}

type wait struct{ since, said time.Duration }

// toldAtMost bounds a beat's list; machines beyond it are told of when others are
// done.
const toldAtMost = 100

func newUnshipped(c *Core) *unshipped {
	return &unshipped{c: c, ours: map[string]bool{}, known: map[string]wait{}}
}

// report takes a machine's report in.
func (u *unshipped) report(m *machine, r *protocol.Heartbeat) {
	if r.Unshipped == 0 {
		delete(u.ours, m.id)
		delete(u.known, m.id)
		return
	}
	u.ours[m.id] = true
	u.heard(m.id)
}

func (u *unshipped) heard(id string) {
	w, ok := u.known[id]
	if !ok || u.c.now-w.said > u.fresh() {
		w.since = u.c.now
	}
	w.said = u.c.now
	u.known[id] = w
}

// fresh is how long a word holds: what is silent for longer is done, or lost.
func (u *unshipped) fresh() time.Duration { return seconds(3 * u.c.cfg.Facts.Workers.Report) }

// told lists this controller's own, for a beat.
func (u *unshipped) told() (out []string) {
	for id := range u.ours {
		if m := u.c.machines[id]; m == nil || !u.c.mine(m) {
			delete(u.ours, id)
			continue
		}
		out = append(out, id)
	}
	sort.Strings(out)
	return out[:min(len(out), toldAtMost)]
}

// beat takes a peer's list in.
func (u *unshipped) beat(ids []string) {
	for _, id := range ids {
		u.heard(id)
	}
}

// holds tells whether a machine without work is to be kept for its output. What is
// given up at the deadline is on the controller's log.
func (u *unshipped) holds(id string) bool {
	a := u.c.cfg.Operator.Archive
	w, ok := u.known[id]
	if a == nil || !ok {
		return false
	}
	if u.c.now-w.said > u.fresh() {
		delete(u.known, id)
		return false
	}
	if u.c.now-w.since < seconds(a.HoldS) {
		return true
	}
	u.c.log.Warn("a machine is returned with output that the archive has not acknowledged", "stoker", id, "waited", u.c.now-w.since)
	return false
}
