package agent

import (
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// gang tells whether the attempt has others that it depends on.
func (w *Worker) gang(task *taskState) bool {
	return task.description != nil && task.description.Shape == job.Gang && task.description.Tasks > 1
}

// judge decides what a gang's task does next, from what is known of the others.
func (w *Worker) judge(task *taskState) {
	peer := seconds(w.periods.GangPeer)
	switch task.phase {
	case waiting:
		switch {
		case task.all("waiting", "running", "finished", gangDone):
			w.start(task)
		case w.now-task.phaseSince >= seconds(w.periods.GangWait):
			w.endWithoutProcess(task, protocol.CauseGangTimeout)
		}
	case running:
		if task.all("waiting", "running", "finished", "saving", "saved", gangDone) {
			task.gangCompleteAt = w.now
		} else if w.now-task.gangCompleteAt > peer {
			w.end(task, protocol.CauseGangMemberLost)
		}
	case finished:
		switch {
		case task.all("finished", gangDone):
			w.endWithoutProcess(task, protocol.CauseDone)
		case task.all("running", "finished", gangDone):
			task.gangCompleteAt = w.now
		case w.now-task.gangCompleteAt > peer:
			w.endWithoutProcess(task, protocol.CauseGangMemberLost)
		}
	case checkpointed:
		switch {
		case task.all("saved", "ended"):
			task.checkpointed = true
			w.endWithoutProcess(task, protocol.CauseStopped)
		case task.all("saving", "saved", "ended") && w.now < task.killAt:
		case w.now-task.stopRequestedAt > peer:
			w.endWithoutProcess(task, protocol.CauseGangMemberLost)
		}
	}
}

// Peers takes what the agents of a gang's other tasks say.
func (w *Worker) Peers(now time.Duration, k TaskAttempt, states map[int]string) Effects {
	w.now = max(w.now, now)
	if task := w.tasks[k]; task != nil && task.phase != ended && !w.epoch.ending {
		task.peers = states
	}
	w.advance(now)
	return w.takeEffects()
}

// Gang lists the attempts of a gang on this machine, for the others' agents.
func (w *Worker) Gang(id string, attempt int) map[int]string {
	out := map[int]string{}
	for k := range w.doneAt {
		if k.Job == id && k.Attempt == attempt {
			out[k.Index] = gangDone
		}
	}
	for k, task := range w.tasks {
		if k.Job != id || k.Attempt != attempt || w.epoch.ending {
			continue
		}
		switch {
		case task.phase != ended:
			out[k.Index] = gangNames[task.phase]
		case task.cause == protocol.CauseDone:
			out[k.Index] = gangDone
		case task.checkpointed:
			out[k.Index] = "ended"
		}
	}
	return out
}
