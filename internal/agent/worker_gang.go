package agent

import (
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// gang tells whether the attempt has others that it depends on.
func (w *Worker) gang(l *taskState) bool {
	return l.description != nil && l.description.Shape == job.Gang && l.description.Tasks > 1
}

// judge decides what a gang's task does next, from what is known of the others.
func (w *Worker) judge(l *taskState) {
	peer := seconds(w.periods.GangPeer)
	switch l.phase {
	case waiting:
		switch {
		case l.all("waiting", "running", "finished", gangDone):
			w.start(l)
		case w.now-l.phaseSince >= seconds(w.periods.GangWait):
			w.endWithoutProcess(l, protocol.CauseGangTimeout)
		}
	case running:
		if l.all("waiting", "running", "finished", "saving", "saved", gangDone) {
			l.gangCompleteAt = w.now
		} else if w.now-l.gangCompleteAt > peer {
			w.end(l, protocol.CauseGangMemberLost)
		}
	case finished:
		switch {
		case l.all("finished", gangDone):
			w.endWithoutProcess(l, protocol.CauseDone)
		case l.all("running", "finished", gangDone):
			l.gangCompleteAt = w.now
		case w.now-l.gangCompleteAt > peer:
			w.endWithoutProcess(l, protocol.CauseGangMemberLost)
		}
	case checkpointed:
		switch {
		case l.all("saved", "ended"):
			l.checkpointed = true
			w.endWithoutProcess(l, protocol.CauseStopped)
		case l.all("saving", "saved", "ended") && w.now < l.killAt:
		case w.now-l.stopRequestedAt > peer:
			w.endWithoutProcess(l, protocol.CauseGangMemberLost)
		}
	}
}

// Peers takes what the agents of a gang's other tasks say.
func (w *Worker) Peers(now time.Duration, k TaskAttempt, states map[int]string) Effects {
	w.now = max(w.now, now)
	if l := w.tasks[k]; l != nil && l.phase != ended && !w.epoch.ending {
		l.peers = states
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
	for k, l := range w.tasks {
		if k.Job != id || k.Attempt != attempt || w.epoch.ending {
			continue
		}
		switch {
		case l.phase != ended:
			out[k.Index] = gangNames[l.phase]
		case l.cause == protocol.CauseDone:
			out[k.Index] = gangDone
		case l.checkpointed:
			out[k.Index] = "ended"
		}
	}
	return out
}
