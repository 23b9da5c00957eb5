package coordination

import (
	"sort"
	"time"

	"silvergate/internal/protocol"
)

// maxAnnouncedMachines bounds the list of a peer heartbeat; machines beyond it are announced
// when others have shipped their output.
const maxAnnouncedMachines = 100

// announcementPeriods is how many heartbeat periods an announcement is valid for.
const announcementPeriods = 3

// unshippedOutput knows of machines with output of finished tasks that the archive
// has not acknowledged. Such a machine is not deleted for being idle until its
// deadline. Room is free as soon as the records say so, and nothing else waits: the
// machine takes new work meanwhile.
//
// A machine announces it to its own controller in its heartbeats; that one announces it to the
// leader, which deletes machines, in its peer heartbeats. A peer heartbeat that is lost costs at
// most output that the machine's agent could not ship in the seconds that it has when it is
// switched off.
type unshippedOutput struct {
	core  *Core
	own   map[string]bool               // machines of this controller that announced it last
	known map[string]outputAnnouncement // all machines that have announced it
}

// outputAnnouncement is since when a machine has had output to ship, and when it last announced it.
type outputAnnouncement struct{ since, announcedAt time.Duration }

// newUnshippedOutput makes a table without machines.
func newUnshippedOutput(core *Core) *unshippedOutput {
	return &unshippedOutput{core: core, own: map[string]bool{}, known: map[string]outputAnnouncement{}}
}

// handleWorkerHeartbeat takes what a machine's heartbeat says of its output.
func (u *unshippedOutput) handleWorkerHeartbeat(m *machine, heartbeat *protocol.Heartbeat) {
	if heartbeat.Unshipped == 0 {
		delete(u.own, m.id)
		delete(u.known, m.id)
		return
	}
	u.own[m.id] = true
	u.recordAnnouncement(m.id)
}

// handlePeerHeartbeat takes the list of machines in a peer's heartbeat.
func (u *unshippedOutput) handlePeerHeartbeat(machines []string) {
	for _, id := range machines {
		u.recordAnnouncement(id)
	}
}

// recordAnnouncement takes that a machine has output to ship.
func (u *unshippedOutput) recordAnnouncement(id string) {
	entry, known := u.known[id]
	if !known || u.expired(entry) {
		entry.since = u.core.now
	}
	entry.announcedAt = u.core.now
	u.known[id] = entry
}

// expired tells whether an announcement is too old to count: a machine that has not repeated
// it has shipped its output, or is lost.
func (u *unshippedOutput) expired(entry outputAnnouncement) bool {
	lifetime := seconds(announcementPeriods * u.core.cfg.Facts.Workers.Report)
	return u.core.now-entry.announcedAt > lifetime
}

// toAnnounce lists this controller's own machines for a peer heartbeat, in order.
func (u *unshippedOutput) toAnnounce() []string {
	var machines []string
	for id := range u.own {
		m := u.core.machines.byID[id]
		if m == nil || !u.core.isOwn(m) {
			delete(u.own, id)
			continue
		}
		machines = append(machines, id)
	}
	sort.Strings(machines)
	return machines[:min(len(machines), maxAnnouncedMachines)]
}

// holds tells whether a machine without work is to be kept for its output. Output that is
// given up at the deadline is named in the controller's log.
func (u *unshippedOutput) holds(id string) bool {
	archive := u.core.cfg.Operator.Archive
	entry, known := u.known[id]
	if archive == nil || !known {
		return false
	}
	if u.expired(entry) {
		delete(u.known, id)
		return false
	}
	waited := u.core.now - entry.since
	if waited < seconds(archive.HoldS) {
		return true
	}
	u.core.log.Warn("a machine is returned with output that the archive has not acknowledged", "machine", id, "waited", waited)
	return false
}
