package agent

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// ErrEndingEpoch is returned after the end of an agent epoch while its tasks are still being
// killed: any status would report too many or too few of them.
var ErrEndingEpoch = errors.New("the session has ended; its tasks are being stopped")

// Status answers GET /status.
func (w *Worker) Status(now time.Duration) ([]byte, Effects, error) {
	w.advance(now)
	if w.epoch.ending {
		return nil, w.takeEffects(), ErrEndingEpoch
	}
	return protocol.Encode(w.buildHeartbeat()), w.takeEffects(), nil
}

// ExecuteDirectCommands answers POST /orders, which carries commands sent directly by a controller.
func (w *Worker) ExecuteDirectCommands(now time.Duration, body []byte) (status int, answer []byte, e Effects) {
	w.advance(now)
	var d struct {
		FencingToken *uint64            `json:"baton"`
		AgentEpoch   *uint64            `json:"shift"`
		Commands     []protocol.Command `json:"orders"`
	}
	refuse := func(status int, why string) (int, []byte, Effects) {
		return status, protocol.Encode(protocol.ErrorResponse{Error: why}), w.takeEffects()
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return refuse(http.StatusBadRequest, "the body is malformed: "+err.Error())
	}
	switch {
	case d.FencingToken == nil:
		return refuse(http.StatusBadRequest, "baton: missing")
	case d.AgentEpoch == nil:
		return refuse(http.StatusBadRequest, "shift: missing")
	case w.epoch.ending:
		return refuse(http.StatusServiceUnavailable, ErrEndingEpoch.Error())
	case *d.FencingToken < w.fencingToken || *d.AgentEpoch != w.epoch.number:
		return http.StatusConflict, protocol.Encode(w.buildHeartbeat()), w.takeEffects()
	}
	w.acceptToken(*d.FencingToken)
	w.execute(d.Commands)
	return http.StatusOK, protocol.Encode(w.buildHeartbeat()), w.takeEffects()
}

// execute carries out commands in order.
func (w *Worker) execute(commands []protocol.Command) {
	for _, command := range commands {
		id, index, err := job.ParseTaskName(command.Task)
		if err != nil || !protocol.ValidJobID(id) {
			continue
		}
		k := TaskAttempt{id, index, command.Attempt}
		task := w.tasks[k]
		switch {
		case command.Verb == protocol.VerbLaunch && task == nil:
			w.launch(k, command.Grant)
		case command.Verb == protocol.VerbKill && task != nil:
			grace := 0.0
			if command.GracePeriodS != nil {
				grace = *command.GracePeriodS
			}
			w.kill(task, grace)
		case command.Verb == protocol.VerbForget && task != nil && task.phase == ended:
			delete(w.tasks, k)
			w.dropDescription(id)
			w.effects.Forget = append(w.effects.Forget, k)
			w.heartbeats.changed = true
		}
	}
}

// dropDescription deletes a job's description if the job has no attempts on this machine any more.
func (w *Worker) dropDescription(id string) {
	for k := range w.tasks {
		if k.Job == id {
			return
		}
	}
	delete(w.jobs.descriptions, id)
}

func (w *Worker) launch(k TaskAttempt, grant string) {
	if (len(w.tasks)+1)*maxTaskStatusBytes > maxTaskListBytes {
		// Guards against a heartbeat that exceeds the size of a request, because
		// heartbeats list refused attempts, too. The controller repeats the launch of
		// an unlisted attempt in a later answer, when others were forgotten.
		return
	}
	task := &taskState{id: k, phaseSince: w.now, grant: grant}
	refuse := ""
	for _, o := range w.tasks {
		if o.id.Job == k.Job && o.id.Index == k.Index && o.phase != ended {
			refuse = protocol.CauseBusy
		}
	}
	w.tasks[k] = task
	w.heartbeats.changed = true
	if refuse != "" {
		w.endWithoutProcess(task, refuse)
		return
	}
	if d := w.jobs.descriptions[k.Job]; d != nil {
		w.applyDescription(task, d)
	} else if !w.jobs.describing[k.Job] {
		w.jobs.describing[k.Job] = true
		w.effects.FetchDescriptions = append(w.effects.FetchDescriptions, k.Job)
	}
}

func (w *Worker) kill(task *taskState, grace float64) {
	switch task.phase {
	case describing, fetching, waiting:
		w.endWithoutProcess(task, protocol.CauseStopped)
	case finished:
		// Guards against a gang in which some tasks are done and one is stopped:
		// this task's program has completed, and the other agents may have seen
		// that. The outcome is known within gang_peer_s.
	case checkpointed:
		if grace == 0 {
			w.endWithoutProcess(task, protocol.CauseStopped)
		}
	case checkpointing:
		if grace == 0 {
			w.endProcess(task, protocol.CauseStopped)
		}
	case running:
		task.stopRequestedAt = w.now
		if task.description.CheckpointIntervalS > 0 && grace >= task.description.CheckpointSaveS && grace > 0 {
			task.killAt = w.now + seconds(grace)
			w.setPhase(task, checkpointing)
			w.effects.Stop = append(w.effects.Stop, task.id)
			return
		}
		w.endProcess(task, protocol.CauseStopped)
	}
}
