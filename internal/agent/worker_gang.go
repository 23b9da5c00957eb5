package agent

import (
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// hasGangPeers tells whether the attempt has others that it depends on.
func (w *Worker) hasGangPeers(task *taskState) bool {
	return task.description != nil && task.description.Shape == job.Gang && task.description.Tasks > 1
}

// advanceGangTask decides what a gang's task does next, from what is known of the others.
func (w *Worker) advanceGangTask(task *taskState) {
	peer := seconds(w.periods.GangPeer)
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
		} else if w.now-task.gangCompleteAt > peer {
			w.endProcess(task, protocol.CauseGangMemberLost)
		}
	case finished:
		switch {
		case task.allPeersIn("finished", gangDone):
			w.endWithoutProcess(task, protocol.CauseDone)
		case task.allPeersIn("running", "finished", gangDone):
			task.gangCompleteAt = w.now
		case w.now-task.gangCompleteAt > peer:
			w.endWithoutProcess(task, protocol.CauseGangMemberLost)
		}
	case checkpointed:
		switch {
		case task.allPeersIn("saved", "ended"):
			task.checkpointed = true
			w.endWithoutProcess(task, protocol.CauseStopped)
		case task.allPeersIn("saving", "saved", "ended") && w.now < task.killAt:
		case w.now-task.stopRequestedAt > peer:
			w.endWithoutProcess(task, protocol.CauseGangMemberLost)
		}
	}
}

// Peers takes what the agents of a gang's other tasks say.
func (w *Worker) Peers(now time.Duration, k TaskAttempt, states map[int]string) Effects {
	w.now = max(w.now, now)
	if task := w.tasks[k]; task != nil && task.phase != ended && !w.epoch.ending {
		task.peerStates = states
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
			out[k.Index] = gangStateNames[task.phase]
		case task.cause == protocol.CauseDone:
			out[k.Index] = gangDone
		case task.checkpointed:
			out[k.Index] = "ended"
		}
	}
	return out
}
