package agent

import (
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// InputsFetched records that all inputs of an attempt are complete in its folder, or that this
// failed with err. tryElsewhere reports that this machine is the reason, for example because it
// has no space for them.
func (w *Worker) InputsFetched(now time.Duration, k TaskAttempt, err error, tryElsewhere bool) Effects {
	w.advance(now)
	task := w.tasks[k]
	if w.epoch.ending || task == nil || task.phase != fetching || !task.needsInputs {
		return w.takeEffects()
	}
	task.needsInputs = false
	switch {
	case tryElsewhere:
		w.endWithoutProcess(task, protocol.CauseNoRoom)
	case err != nil:
		w.endWithoutProcess(task, protocol.CauseError)
	case w.images.present[task.description.Image]:
		w.startIfReady(task)
	}
	return w.takeEffects()
}

// SetStoreReport sets the part of the heartbeats about the store of data sets. If soon is
// set, the next heartbeat is sent early.
func (w *Worker) SetStoreReport(r *protocol.StoreReport, soon bool) {
	w.storeReport = r
	w.heartbeats.changed = w.heartbeats.changed || soon
}

// Grant returns the archive grant that came with an attempt's launch.
func (w *Worker) Grant(k TaskAttempt) string {
	if task := w.tasks[k]; task != nil {
		return task.grant
	}
	return ""
}

// SetFollowedAttempts sets the function that returns the attempts whose output is not completely
// shipped to the archive, live ones included. Each heartbeat calls it.
func (w *Worker) SetFollowedAttempts(followed func() []FollowedAttempt) {
	w.followedAttempts = followed
}

// DescriptionFetched records the result of fetching a job's description; d is nil if that failed.
// If unknown is set, a controller has answered that there is no such job, and the job's attempts
// end. If it is not, a failed fetch is repeated.
func (w *Worker) DescriptionFetched(now time.Duration, id string, d *protocol.JobDescription, unknown bool) Effects {
	w.advance(now)
	delete(w.jobs.describing, id)
	if w.epoch.ending {
		return w.takeEffects()
	}
	if d != nil {
		w.jobs.descriptions[id] = d
	}
	for _, task := range w.sortedTasks() {
		switch {
		case task.id.Job != id || task.phase != describing:
		case d != nil:
			w.applyDescription(task, d)
		case unknown:
			w.endWithoutProcess(task, protocol.CauseUnknown)
		case !w.jobs.describing[id]:
			w.jobs.describing[id] = true
			w.effects.FetchDescriptions = append(w.effects.FetchDescriptions, id)
		}
	}
	w.dropDescription(id)
	return w.takeEffects()
}

// ImageFetched records that an image is present, or that fetching it failed with err.
func (w *Worker) ImageFetched(now time.Duration, image string, err error) Effects {
	w.advance(now)
	delete(w.images.fetching, image)
	if w.epoch.ending {
		if err == nil {
			w.images.present[image] = true
		}
		return w.takeEffects()
	}
	if err == nil {
		w.images.present[image] = true
	}
	for _, task := range w.sortedTasks() {
		switch {
		case task.phase != fetching || task.description.Image != image:
		case err != nil:
			w.endWithoutProcess(task, protocol.CauseError)
		default:
			w.startIfReady(task)
		}
	}
	return w.takeEffects()
}

// ImageEvicted records that an image is no longer on this machine.
func (w *Worker) ImageEvicted(image string) { delete(w.images.present, image) }

// Exit describes how an attempt's program ended.
type Exit struct {
	Code  int  // 0: success
	Saved bool // a checkpoint was completed after the program was asked to stop
}

// Exited records that all processes of an attempt are gone.
func (w *Worker) Exited(now time.Duration, k TaskAttempt, x Exit) Effects {
	w.advance(now)
	task := w.tasks[k]
	if w.epoch.ending || task == nil || !task.hasProcess() {
		return w.takeEffects()
	}
	switch {
	case task.phase == ending:
		w.endWithoutProcess(task, task.finalCause)
	case task.phase == checkpointing && x.Saved && w.hasGangPeers(task):
		w.setPhase(task, checkpointed)
		task.nextGangCheckAt = w.now
	case task.phase == checkpointing:
		task.checkpointed = x.Saved
		w.endWithoutProcess(task, protocol.CauseStopped)
	case task.description.Shape == job.Service || x.Code != 0:
		w.endWithoutProcess(task, protocol.CauseError) // a replica of a service must not end by itself
	case w.hasGangPeers(task):
		w.setPhase(task, finished)
		task.gangCompleteAt, task.nextGangCheckAt = w.now, w.now
	default:
		w.endWithoutProcess(task, protocol.CauseDone)
	}
	return w.takeEffects()
}

// Preempt records the cloud's notice that it takes the machine back at the given time.
func (w *Worker) Preempt(now, at time.Duration) Effects {
	w.now = max(w.now, now)
	if !w.preemption.received {
		w.heartbeats.changed = true
	}
	w.preemption.at, w.preemption.received = at, true
	w.advance(now)
	return w.takeEffects()
}

// EndEpoch ends the agent epoch as if its lease had expired, and reports whether the epoch was
// still running. If so, the caller must kill all tasks and then call EpochEnded.
func (w *Worker) EndEpoch() bool {
	if w.epoch.ending {
		return false
	}
	w.epoch.ending = true
	return true
}

// EpochEnded records that no process of the last agent epoch is running any more, and begins
// the next epoch. The caller has persisted the new epoch's number.
func (w *Worker) EpochEnded(now time.Duration) Effects {
	w.now = max(w.now, now)
	if w.epoch.ending {
		w.epoch.ending = false
		for _, task := range w.sortedTasks() {
			w.effects.Forget = append(w.effects.Forget, task.id)
		}
		w.tasks, w.jobs.descriptions = map[TaskAttempt]*taskState{}, map[string]*protocol.JobDescription{}
		w.jobs.describing, w.doneAt = map[string]bool{}, map[TaskAttempt]time.Duration{}
		w.epoch.number++
		w.epoch.startedAt = w.now
		w.heartbeats.changed = true
	}
	w.advance(now)
	return w.takeEffects()
}

// Restarted begins the next agent epoch as a restarted agent does: all earlier tasks are gone.
func (w *Worker) Restarted(now time.Duration) Effects {
	w.epoch.ending = true
	return w.EpochEnded(now)
}
