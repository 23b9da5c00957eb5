package coordination

import (
	"slices"
	"sort"
	"time"

	"silvergate/internal/protocol"
)

// maxAnnouncedMachines is the maximum number of machines that a peer heartbeat announces; further
// machines are announced when others have shipped their output.
const maxAnnouncedMachines = 100

// announcementPeriods is how many heartbeat periods an announcement is valid for.
const announcementPeriods = 3

// unshippedOutput tracks machines with output of finished tasks that the archive has not
// acknowledged. Until a deadline, such a machine is not deleted for being idle. Nothing else
// waits for the output: the machine's room is free as soon as the records say so, and new work is
// placed on it in the meantime.
//
// A machine announces unshipped output in its heartbeats to its own controller. That controller
// announces the machine in its peer heartbeats to the leader, which deletes machines. A lost peer
// heartbeat costs at most the output that the machine's agent can't ship in the seconds before the
// machine is switched off.
type unshippedOutput struct {
	core  *Core
	own   map[string]bool               // machines of this controller whose last heartbeat announced unshipped output
	known map[string]outputAnnouncement // all machines with an announcement, also of other controllers
}

// outputAnnouncement records since when a machine has had unshipped output, and when the machine was
// last announced.
type outputAnnouncement struct{ since, announcedAt time.Duration }

// newUnshippedOutput returns an empty table.
func newUnshippedOutput(core *Core) *unshippedOutput {
	return &unshippedOutput{core: core, own: map[string]bool{}, known: map[string]outputAnnouncement{}}
}

// handleWorkerHeartbeat updates the table from a heartbeat of one of our machines.
func (u *unshippedOutput) handleWorkerHeartbeat(m *machine, heartbeat *protocol.Heartbeat) {
	u.traceReport(m, heartbeat)
	if heartbeat.Unshipped == nil || *heartbeat.Unshipped == 0 {
		delete(u.own, m.id)
		delete(u.known, m.id)
		return
	}
	u.own[m.id] = true
	u.recordAnnouncement(m.id)
}

// traceReport logs what a heartbeat says about output, if the heartbeat lists an ended attempt or the
// number of attempts with unshipped output has changed.
func (u *unshippedOutput) traceReport(m *machine, heartbeat *protocol.Heartbeat) {
	if u.core.cfg.Operator.Archive == nil || !u.core.verbose {
		return
	}
	reported := heartbeat.Unshipped != nil && *heartbeat.Unshipped > 0
	listsEnded := slices.ContainsFunc(heartbeat.Tasks, func(status protocol.TaskStatus) bool { return status.Status == protocol.TaskEnded })
	if listsEnded || u.own[m.id] != reported {
		u.core.log.Debug("output reported", "machine", m.id, "sequence", heartbeat.Sequence, "unshipped", reported, "lists_ended", listsEnded)
	}
}

// handlePeerHeartbeat handles the list of machines in a peer's heartbeat.
func (u *unshippedOutput) handlePeerHeartbeat(machines []string) {
	for _, id := range machines {
		u.recordAnnouncement(id)
	}
}

// recordAnnouncement records that a machine has been announced as having unshipped output.
func (u *unshippedOutput) recordAnnouncement(id string) {
	entry, known := u.known[id]
	if !known || u.expired(entry) {
		entry.since = u.core.now
	}
	entry.announcedAt = u.core.now
	u.known[id] = entry
}

// expired reports whether an announcement is too old to count: a machine that does not repeat it
// has shipped its output or is lost.
func (u *unshippedOutput) expired(entry outputAnnouncement) bool {
	lifetime := seconds(announcementPeriods * u.core.cfg.Facts.Workers.Heartbeat)
	return u.core.now-entry.announcedAt > lifetime
}

// machinesToAnnounce returns, in order, this controller's own machines with unshipped output for a
// peer heartbeat.
func (u *unshippedOutput) machinesToAnnounce() []string {
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

// mustKeep reports whether a machine without work must be kept because of its unshipped output.
// Once the deadline has passed, the machine need not be kept any longer, and mustKeep logs this.
func (u *unshippedOutput) mustKeep(id string) bool {
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
