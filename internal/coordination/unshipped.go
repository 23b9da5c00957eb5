package coordination

import (
	"sort"
	"time"

	"silvergate/internal/protocol"
)

// maxAnnouncedMachines is the maximum number of machines that a peer heartbeat announces; further
// machines are announced when others have shipped their output.
const maxAnnouncedMachines = 100

// announcementPeriods is how many heartbeat periods an announcement is valid for.
const announcementPeriods = 3

// unshippedOutput tracks the machines that are known to have output of ended attempts that the
// archive has not acknowledged. A machine says so in its heartbeats to its own controller, and that
// controller announces the machine in its peer heartbeats to the leader.
//
// The announcements only keep the leader from draining an idle machine that could take new work while
// its output is shipped. A machine that is not announced may have unshipped output all the same:
// whether it may be deleted is decided by judgeDeletion.
type unshippedOutput struct {
	core        *Core
	own         map[string]bool          // machines of this controller whose last heartbeat reported unshipped output
	announcedAt map[string]time.Duration // when each machine was last announced, also those of other controllers
}

// newUnshippedOutput returns an empty table.
func newUnshippedOutput(core *Core) *unshippedOutput {
	return &unshippedOutput{core: core, own: map[string]bool{}, announcedAt: map[string]time.Duration{}}
}

// handleWorkerHeartbeat updates the table from a heartbeat of one of our machines. Output that has waited for
// as long as a machine may be held is not announced.
func (u *unshippedOutput) handleWorkerHeartbeat(m *machine, heartbeat *protocol.Heartbeat) {
	reported := heartbeat.Unshipped != nil && *heartbeat.Unshipped > 0 && !u.core.heldLongEnough(heartbeat)
	if u.core.verbose && reported != u.own[m.id] {
		u.core.log.Debug("unshipped output reported", "machine", m.id, "sequence", heartbeat.Sequence, "reported", reported)
	}
	if !reported {
		delete(u.own, m.id)
		delete(u.announcedAt, m.id)
		return
	}
	u.own[m.id] = true
	u.announcedAt[m.id] = u.core.now
}

// handleCommandReply records unshipped output that the reply to a direct command reports. A reply that reports
// none proves nothing, as it may be older than the last heartbeat.
func (u *unshippedOutput) handleCommandReply(m *machine, reply *protocol.Heartbeat) {
	if reply.Unshipped != nil && *reply.Unshipped > 0 {
		u.handleWorkerHeartbeat(m, reply)
	}
}

// handlePeerHeartbeat handles the list of machines in a peer's heartbeat.
func (u *unshippedOutput) handlePeerHeartbeat(machines []string) {
	for _, id := range machines {
		u.announcedAt[id] = u.core.now
	}
}

// announced reports whether a machine is known to have unshipped output. A machine of another controller
// that does not repeat the announcement has shipped its output or is lost.
func (u *unshippedOutput) announced(id string) bool {
	if u.own[id] {
		return true // as its last heartbeat said, however long ago
	}
	at, known := u.announcedAt[id]
	if !known {
		return false
	}
	lifetime := seconds(announcementPeriods * u.core.cfg.Facts.Workers.Heartbeat)
	if u.core.now-at > lifetime {
		delete(u.announcedAt, id)
		return false
	}
	return true
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
