package agent

import (
	"net/http"
	"slices"
	"time"

	"silvergate/internal/protocol"
)

// buildHeartbeat returns a heartbeat with the current state and the next sequence number.
func (w *Worker) buildHeartbeat() protocol.Heartbeat {
	w.sequence++
	r := w.identity
	r.DataStore = w.storeReport
	unshipped, endedFor := w.unshippedAttempts()
	r.Unshipped, r.UnshippedForS = &unshipped, endedFor.Seconds()
	r.AgentEpoch, r.Sequence, r.FencingToken = w.epoch.number, w.sequence, w.fencingToken
	if w.preemption.received {
		left := max(0, (w.preemption.at - w.now).Seconds())
		r.PreemptionNoticeS = &left
	}
	r.Tasks = make([]protocol.TaskStatus, 0, len(w.tasks))
	for _, task := range w.sortedTasks() {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: task.id.TaskName(), Attempt: task.id.Attempt,
			Status: reportedStates[task.phase], Cause: task.cause, Checkpointed: task.checkpointed})
	}
	return r
}

// unshippedAttempts returns how many attempts that are not live have output that is not completely
// shipped, and the time since the last of them has ended. They are counted when a heartbeat is written, so
// that the heartbeat that first lists an attempt as ended, or no longer lists it, also says that its output
// waits.
func (w *Worker) unshippedAttempts() (count int, endedFor time.Duration) {
	for _, attempt := range w.followedAttempts() {
		if w.Live(attempt.ID) {
			continue
		}
		if count == 0 || attempt.EndedFor < endedFor {
			endedFor = attempt.EndedFor
		}
		count++
	}
	return count, endedFor
}

func (w *Worker) sendHeartbeat() {
	w.heartbeats.inflight, w.heartbeats.sent, w.heartbeats.changed = true, true, false
	w.heartbeats.lastAt = w.now
	w.effects.Heartbeat = &HeartbeatSend{Controller: w.controllers[w.heartbeats.controller], Body: protocol.Encode(w.buildHeartbeat()),
		Epoch: w.epoch.number, SentAt: w.now}
}

// HeartbeatAnswered records the outcome of a heartbeat; status is 0 if there was no answer.
func (w *Worker) HeartbeatAnswered(now time.Duration, s *HeartbeatSend, status int, body []byte) Effects {
	w.advance(now)
	w.heartbeats.inflight = false
	switch status {
	case http.StatusOK:
		w.heartbeats.nextAt = w.now + seconds(w.periods.Heartbeat*(0.75+0.5*w.random.Float64()))
		var a protocol.HeartbeatResponse
		if s.Epoch != w.epoch.number || w.epoch.ending || w.now-s.SentAt > answerTimeout ||
			protocol.Decode(body, &a) != nil || a.FencingToken == 0 || a.FencingToken < w.fencingToken {
			break // dropped: its commands are not carried out, and it does not renew the lease
		}
		w.epoch.answeredAt = max(w.epoch.answeredAt, s.SentAt)
		w.acceptToken(a.FencingToken)
		w.execute(a.Commands)
		w.effects.StagingCommands = a.DataStore
	case http.StatusMisdirectedRequest:
		var r protocol.Redirect
		_ = protocol.Decode(body, &r)
		to := slices.IndexFunc(w.controllers, func(n Controller) bool { return n.Name == r.Controller })
		if to >= 0 && to != w.heartbeats.controller {
			w.heartbeats.controller = to
			w.heartbeats.nextAt = w.now + time.Duration(w.random.Float64()*float64(minHeartbeatInterval))
			break
		}
		w.tryNextController()
	default:
		w.tryNextController()
	}
	return w.takeEffects()
}

func (w *Worker) tryNextController() {
	w.heartbeats.controller = (w.heartbeats.controller + 1) % len(w.controllers)
	w.heartbeats.nextAt = w.now + controllerRetryDelay
}

// acceptToken records a fencing token that is no lower than any before.
func (w *Worker) acceptToken(token uint64) {
	if token == w.fencingToken {
		return
	}
	w.fencingToken = token
	w.effects.Token = token
	if w.tokenChangedAt == 0 || w.now-w.tokenChangedAt >= w.lease()/2 {
		w.tokenChangedAt = w.now
		w.heartbeats.changed = true
	}
}
