package agent

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// ErrEndingEpoch is returned while the tasks of a session that is over are being
// ended: any report would say too much or too little.
var ErrEndingEpoch = errors.New("the session has ended; its tasks are being stopped")

// Status answers GET /status.
func (w *Worker) Status(now time.Duration) ([]byte, Effects, error) {
	w.advance(now)
	if w.endingEpoch {
		return nil, w.takeEffects(), ErrEndingEpoch
	}
	return protocol.Encode(w.current()), w.takeEffects(), nil
}

// Direct answers POST /orders.
func (w *Worker) Direct(now time.Duration, body []byte) (status int, answer []byte, e Effects) {
	w.advance(now)
	var d struct {
		Baton  *uint64            `json:"baton"`
		Shift  *uint64            `json:"shift"`
		Orders []protocol.Command `json:"orders"`
	}
	refuse := func(status int, why string) (int, []byte, Effects) {
		return status, protocol.Encode(protocol.ErrorResponse{Error: why}), w.takeEffects()
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return refuse(http.StatusBadRequest, "the body is malformed: "+err.Error())
	}
	switch {
	case d.Baton == nil:
		return refuse(http.StatusBadRequest, "baton: missing")
	case d.Shift == nil:
		return refuse(http.StatusBadRequest, "shift: missing")
	case w.endingEpoch:
		return refuse(http.StatusServiceUnavailable, ErrEndingEpoch.Error())
	case *d.Baton < w.fencingToken || *d.Shift != w.epoch:
		return http.StatusConflict, protocol.Encode(w.current()), w.takeEffects()
	}
	w.seeToken(*d.Baton)
	w.carryOut(d.Orders)
	return http.StatusOK, protocol.Encode(w.current()), w.takeEffects()
}

// carryOut executes orders one after the other.
func (w *Worker) carryOut(orders []protocol.Command) {
	for _, o := range orders {
		id, index, err := job.ParseTaskName(o.Task)
		if err != nil || !protocol.ValidJobID(id) {
			continue
		}
		k := TaskAttempt{id, index, o.Attempt}
		l := w.tasks[k]
		switch {
		case o.Verb == protocol.VerbLaunch && l == nil:
			w.launch(k, o.Grant)
		case o.Verb == protocol.VerbKill && l != nil:
			grace := 0.0
			if o.GracePeriodS != nil {
				grace = *o.GracePeriodS
			}
			w.kill(l, grace)
		case o.Verb == protocol.VerbForget && l != nil && l.phase == ended:
			delete(w.tasks, k)
			w.drop(id)
			w.effects.Forget = append(w.effects.Forget, k)
			w.changed = true
		}
	}
}

// drop forgets a job's description with its last attempt.
func (w *Worker) drop(id string) {
	for k := range w.tasks {
		if k.Job == id {
			return
		}
	}
	delete(w.descriptions, id)
}

func (w *Worker) launch(k TaskAttempt, seal string) {
	if (len(w.tasks)+1)*taskLineBytes > maxHeartbeatBytes {
		// Guards against a report that no request could carry: refusals are
		// listed too. What is not listed is launched again with a later
		// answer, when others were forgotten.
		return
	}
	l := &taskState{id: k, phaseSince: w.now, grant: seal}
	refuse := ""
	for _, o := range w.tasks {
		if o.id.Job == k.Job && o.id.Index == k.Index && o.phase != ended {
			refuse = protocol.CauseBusy
		}
	}
	w.tasks[k] = l
	w.changed = true
	if refuse != "" {
		w.endWithoutProcess(l, refuse)
		return
	}
	if d := w.descriptions[k.Job]; d != nil {
		w.describe(l, d)
	} else if !w.describing[k.Job] {
		w.describing[k.Job] = true
		w.effects.Describe = append(w.effects.Describe, k.Job)
	}
}

func (w *Worker) kill(l *taskState, grace float64) {
	switch l.phase {
	case describing, fetching, waiting:
		w.endWithoutProcess(l, protocol.CauseStopped)
	case finished:
		// Guards against a gang of which some tasks are done and one was
		// stopped: its program has completed, and the others may have seen so.
		// What becomes of it shows within gang_peer_s.
	case checkpointed:
		if grace == 0 {
			w.endWithoutProcess(l, protocol.CauseStopped)
		}
	case checkpointing:
		if grace == 0 {
			w.end(l, protocol.CauseStopped)
		}
	case running:
		l.stopRequestedAt = w.now
		if l.description.CheckpointIntervalS > 0 && grace >= l.description.CheckpointSaveS && grace > 0 {
			l.killAt = w.now + seconds(grace)
			w.set(l, checkpointing)
			w.effects.Stop = append(w.effects.Stop, l.id)
			return
		}
		w.end(l, protocol.CauseStopped)
	}
}
