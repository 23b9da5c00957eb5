package coordination

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"silvergate/internal/protocol"
)

// This file decides whether a drained machine may be deleted.
//
// Nothing new starts on a drained machine. Once no task is bound to it, only output of ended attempts
// can still be lost with it. Whether any waits to be shipped is known to the machine alone, so the
// leader asks the machine itself, after its last task is over by the records, and deletes it when it
// answers that nothing waits. No answer, or one that leaves the question open, proves nothing: the
// machine is then held until hold_s after its last task. Because the question is asked anew for each
// deletion, the answer depends neither on why the machine was drained, nor on what other controllers
// know or on their versions, nor on how long this controller has been the leader.

// outputInquiry is what the leader knows of the output on a drained machine without bound tasks.
type outputInquiry struct {
	asking    bool          // a status call is under way
	nextAskAt time.Duration // no status call before this time
	// quietSince is since when nothing contradicts that no output waits: since the machine is empty
	// if all its answers say so, else since the first answer after the last one that was missing or
	// reported unshipped output or a live attempt; 0: that was the last answer.
	quietSince time.Duration
	shipped    bool // the machine has answered that all output is shipped
	// endedFor is for how long the last attempt with unshipped output had been over, as the machine
	// last answered.
	endedFor time.Duration
}

// deletionVerdict says whether a drained machine may be deleted.
type deletionVerdict int

const (
	deletionAllowed deletionVerdict = iota
	deletionAwaitsTasks
	deletionAwaitsOutput // it is not known that no output waits
)

// judgeDeletion decides whether a drained machine may be deleted now.
func (c *Core) judgeDeletion(id string, drain drainRecord) deletionVerdict {
	m := c.machines.byID[id]
	if m == nil || m.token == 0 {
		return deletionAllowed // tasks are launched on claimed machines only, and a claim is deleted after its machine
	}
	beyondUse := drainSeverity[drain.Reason] >= drainSeverity[drainSilent]
	switch {
	case len(m.bound) > 0 && c.keptWhileSilent(m, drain):
		return deletionAwaitsTasks
	case beyondUse && (len(m.bound) > 0 || c.cfg.Operator.Archive == nil):
		return deletionAllowed // the deletion is the evidence on which tasks that are bound to it are released
	case len(m.bound) > 0 || !c.drainSettled(id):
		return deletionAwaitsTasks
	case c.cfg.Operator.Archive == nil || m.output.shipped || c.holdExpired(m):
		return deletionAllowed
	}
	return deletionAwaitsOutput
}

// keptWhileSilent reports whether a silent machine is kept although its deletion would let the tasks that are
// bound to it run elsewhere: it is known to have unshipped output, and none of the tasks is urgent. If it
// is not heard again, its controller releases them when its lease has expired.
func (c *Core) keptWhileSilent(m *machine, drain drainRecord) bool {
	return drain.Reason == drainSilent && !m.urgent() && c.alive(m.claim.Owner) &&
		c.cfg.Operator.Archive != nil && c.scaler.unshipped.announced(m.id)
}

// holdExpired reports whether a machine without bound tasks has been held for its output for as long
// as the settings allow. A controller that was restarted does not know how long the machine has been
// empty, but the machine knows for how long its output has waited.
func (c *Core) holdExpired(m *machine) bool {
	return max(c.now-m.emptySince, m.output.endedFor) >= seconds(c.cfg.Operator.Archive.HoldS)
}

// heldLongEnough reports whether the output on a machine has waited for as long as a machine may be held.
func (c *Core) heldLongEnough(heartbeat *protocol.Heartbeat) bool {
	archive := c.cfg.Operator.Archive
	return archive != nil && heartbeat.UnshippedForS >= archive.HoldS
}

// awaitsOutput reports whether a machine is known to have unshipped output for which it is to be kept.
func (c *Core) awaitsOutput(m *machine) bool {
	return c.cfg.Operator.Archive != nil && c.scaler.unshipped.announced(m.id) && !c.holdExpired(m)
}

// askForOutput asks drained machines without bound tasks for their status, except those that were asked a
// moment ago. Those that were asked the longest ago come first, so that machines which don't answer
// delay no others.
func (c *Core) askForOutput(machines []*machine) {
	slices.SortFunc(machines, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(a.output.nextAskAt, b.output.nextAskAt), cmp.Compare(a.id, b.id))
	})
	for _, m := range machines {
		if c.machines.inquiriesInFlight >= c.maxProbes() {
			return
		}
		if !m.output.asking && c.now >= m.output.nextAskAt && m.claim.Address != "" {
			c.sendOutputInquiry(m)
		}
	}
}

// sendOutputInquiry asks a machine for its status, and not again before the request has timed out.
func (c *Core) sendOutputInquiry(m *machine) {
	if m.output.nextAskAt == 0 {
		m.output.quietSince = max(1, m.emptySince)
	}
	m.output.asking = true
	m.output.nextAskAt = c.now + c.statusTimeout()
	c.machines.inquiriesInFlight++
	c.requestStatus(m, func(reply protocol.Reply) {
		c.machines.inquiriesInFlight--
		m.output.asking = false
		c.handleOutputReply(m, reply)
	})
}

// handleOutputReply handles a machine's reply to an inquiry.
func (c *Core) handleOutputReply(m *machine, reply protocol.Reply) {
	inquiry := &m.output
	var status protocol.Heartbeat
	answered := reply.Status == http.StatusOK && protocol.Decode(reply.Body, &status) == nil && status.Worker == m.id
	if !answered || !reportsQuiet(&status) {
		inquiry.quietSince = 0
	} else if inquiry.quietSince == 0 {
		inquiry.quietSince = c.now
	}
	if answered {
		inquiry.endedFor = seconds(status.UnshippedForS)
	}
	inquiry.shipped = inquiry.quietSince != 0 && (status.Unshipped != nil || c.now-inquiry.quietSince >= c.implicitReportDelay())
	if c.verbose {
		c.log.Debug("asked for output", "machine", m.id, "answered", answered, "shipped", inquiry.shipped, "empty_for", c.now-m.emptySince)
	}
}

// reportsQuiet reports whether a status lists no live attempt and no unshipped output.
func reportsQuiet(status *protocol.Heartbeat) bool {
	if status.Unshipped != nil && *status.Unshipped > 0 {
		return false
	}
	return !slices.ContainsFunc(status.Tasks, func(task protocol.TaskStatus) bool { return task.Status != protocol.TaskEnded })
}

// implicitReportDelay is for how long nothing must have contradicted that no output waits on a machine
// that says nothing about its output, for this to mean that none waits. Agents of earlier versions leave
// out a count of 0, and take up to a sixth of a heartbeat period to count an attempt that has ended.
func (c *Core) implicitReportDelay() time.Duration {
	return seconds(c.cfg.Facts.Workers.Heartbeat / 2)
}
