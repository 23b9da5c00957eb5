package agent

import (
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// hasGangPeers reports whether the attempt belongs to a gang with other tasks.
func (w *Worker) hasGangPeers(task *taskState) bool {
	return task.description != nil && task.description.Shape == job.Gang && task.description.Tasks > 1
}

// advanceGangTask performs the transitions of a gang's task that follow from the states of the other tasks.
func (w *Worker) advanceGangTask(task *taskState) {
	peerTimeout := seconds(w.periods.GangPeer)
	switch task.phase {
	case waiting:
		switch {
		case task.allPeersIn("waiting", "running", "finished", gangDone):
			w.start(task)
		case w.now-task.phaseSince >= seconds(w.periods.GangWait):
			w.endWithoutProcess(task, protocol.CauseGangTimeout)
		}
	case running:
		if task.allPeersIn("waiting", "running", "finished", "saving", "saved", gangDone) {
			task.gangCompleteAt = w.now
		} else if w.now-task.gangCompleteAt > peerTimeout {
			w.endProcess(task, protocol.CauseGangMemberLost)
		}
	case finished:
		switch {
		case task.allPeersIn("finished", gangDone):
			w.endWithoutProcess(task, protocol.CauseDone)
		case task.allPeersIn("running", "finished", gangDone):
			task.gangCompleteAt = w.now
		case w.now-task.gangCompleteAt > peerTimeout:
			w.endWithoutProcess(task, protocol.CauseGangMemberLost)
		}
	case checkpointed:
		switch {
		case task.allPeersIn("saved", "ended"):
			task.checkpointed = true
			w.endWithoutProcess(task, protocol.CauseStopped)
		case task.allPeersIn("saving", "saved", "ended") && w.now < task.killAt:
		case w.now-task.stopRequestedAt > peerTimeout:
			w.endWithoutProcess(task, protocol.CauseGangMemberLost)
		}
	}
}

// GangStatesReceived records the states that the agents of a gang's other tasks have returned.
func (w *Worker) GangStatesReceived(now time.Duration, k TaskAttempt, states map[int]string) Effects {
	w.now = max(w.now, now)
	if task := w.tasks[k]; task != nil && task.phase != ended && !w.epoch.ending {
		task.peerStates = states
	}
	w.advance(now)
	return w.takeEffects()
}

// GangStates returns, by task index, the states of a gang's attempts on this machine, for the
// agents of its other tasks.
func (w *Worker) GangStates(id string, attempt int) map[int]string {
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
			out[k.Index] = gangStateNames[task.phase]
		case task.cause == protocol.CauseDone:
			out[k.Index] = gangDone
		case task.checkpointed:
			out[k.Index] = "ended"
		}
	}
	return out
}
