package coordination

import (
	"sort"
	"time"

	"silvergate/internal/protocol"
)

// unshippedOutput knows of machines with output of tasks that are over and that the archive
// has not acknowledged. Such a machine is not returned for want of work until its
// deadline. Room is free as soon as the records say so, and nothing else waits: the
// machine takes new work meanwhile.
//
// A machine tells its own controller in its reports; that one tells the leader, who
// returns machines, with its beats. A beat that is lost costs at most output that
// its agent could not ship in the seconds that it has when it is switched off.
type unshippedOutput struct {
	core *Core
	// ours is what machines of this controller said last, known what is known of
	// all machines: since when, and when it was last said.
	own   map[string]bool
	known map[string]unshippedSince
}

type unshippedSince struct{ since, announcedAt time.Duration }

// maxAnnounced bounds a beat's list; machines beyond it are told of when others are
// done.
const maxAnnouncedMachines = 100

func newUnshippedOutput(c *Core) *unshippedOutput {
	return &unshippedOutput{core: c, own: map[string]bool{}, known: map[string]unshippedSince{}}
}

// report takes a machine's report in.
func (u *unshippedOutput) handleWorkerHeartbeat(m *machine, r *protocol.Heartbeat) {
	if r.Unshipped == 0 {
		delete(u.own, m.id)
		delete(u.known, m.id)
		return
	}
	u.own[m.id] = true
	u.announce(m.id)
}

func (u *unshippedOutput) announce(id string) {
	w, ok := u.known[id]
	if !ok || u.core.now-w.announcedAt > u.announcementLifetime() {
		w.since = u.core.now
	}
	w.announcedAt = u.core.now
	u.known[id] = w
}

// fresh is how long a word holds: what is silent for longer is done, or lost.
func (u *unshippedOutput) announcementLifetime() time.Duration {
	return seconds(3 * u.core.cfg.Facts.Workers.Report)
}

// toAnnounce lists this controller's own, for a beat.
func (u *unshippedOutput) toAnnounce() (out []string) {
	for id := range u.own {
		if m := u.core.machines.byID[id]; m == nil || !u.core.isOwn(m) {
			delete(u.own, id)
			continue
		}
		out = append(out, id)
	}
	sort.Strings(out)
	return out[:min(len(out), maxAnnouncedMachines)]
}

// handlePeerHeartbeat takes a peer's list in.
func (u *unshippedOutput) handlePeerHeartbeat(ids []string) {
	for _, id := range ids {
		u.announce(id)
	}
}

// holds tells whether a machine without work is to be kept for its output. What is
// given up at the deadline is on the controller's log.
func (u *unshippedOutput) holds(id string) bool {
	a := u.core.cfg.Operator.Archive
	w, ok := u.known[id]
	if a == nil || !ok {
		return false
	}
	if u.core.now-w.announcedAt > u.announcementLifetime() {
		delete(u.known, id)
		return false
	}
	if u.core.now-w.since < seconds(a.HoldS) {
		return true
	}
	u.core.log.Warn("a machine is returned with output that the archive has not acknowledged", "machine", id, "waited", u.core.now-w.since)
	return false
}
