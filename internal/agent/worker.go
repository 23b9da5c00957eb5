package agent

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// reportedStates is how each phase is reported. One that is ending still takes its room.
var reportedStates = [...]protocol.TaskState{describing: protocol.TaskPulling, fetching: protocol.TaskPulling, waiting: protocol.TaskWaiting,
	running: protocol.TaskRunning, finished: protocol.TaskRunning, checkpointing: protocol.TaskCheckpointing, checkpointed: protocol.TaskCheckpointing,
	ending: protocol.TaskRunning, ended: protocol.TaskEnded}

// gangStateNames is how each phase is shown to the agents of a gang's other tasks.
var gangStateNames = [...]string{describing: "pulling", fetching: "pulling", waiting: "waiting", running: "running", finished: "finished",
	checkpointing: "saving", checkpointed: "saved", ending: "ending", ended: "ended"}

// gangDone is shown for a task of a gang that is complete.
const gangDone = "done"

// Controller names a controller and where it listens for workers.
type Controller struct {
	Name    string `yaml:"node_name"`
	Address string `yaml:"address"`
}

// Room is what a machine has: processors, accelerators and memory in GB.
type Room struct {
	CPUs float64 `yaml:"cpus"`
	GPUs float64 `yaml:"accelerators"`
	RAM  float64 `yaml:"ramGb"`
}

// Periods are the workers' periods in seconds, as the controllers' settings give
// them.
type Periods struct {
	Heartbeat float64 `yaml:"report_s"`
	Lease     float64 `yaml:"lease_s"`
	GangWait  float64 `yaml:"gang_wait_s"`
	GangPeer  float64 `yaml:"gang_peer_s"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Intervals of the protocol that no setting changes.
const (
	minHeartbeatInterval = 500 * time.Millisecond // between two heartbeats
	answerTimeout        = 4 * time.Second        // for the answer to a heartbeat
	controllerRetryDelay = time.Second            // before the next controller is tried
	maxHeartbeatBytes    = 40 << 10               // of a heartbeat's tasks, in bytes; a request may have 64 KiB, the store's part too
	maxTaskStatusBytes   = 120                    // of a task in a heartbeat, at the most
)

// HeartbeatSend is a heartbeat to be sent.
type HeartbeatSend struct {
	Controller Controller
	Body       []byte
	Epoch      uint64
	SentAt     time.Duration
}

// Effects are what a step wants done.
type Effects struct {
	Heartbeat       *HeartbeatSend
	Describe        []string      // jobs whose descriptions are to be asked for
	Fetch           []string      // images wanted, by name
	Leave           []string      // images that no task waits for any more
	FetchInputs     []TaskAttempt // attempts whose inputs are to be brought here
	Start           []TaskAttempt
	Checkpoint      []TaskAttempt // to save a checkpoint and go on
	Stop            []TaskAttempt // to save a checkpoint and end
	Kill            []TaskAttempt // to be ended at once, whole
	AskGang         []TaskAttempt // gang tasks whose others are to be asked
	Forget          []TaskAttempt
	EndAll          bool   // all tasks are to be ended; EpochEnded is called when they are gone
	Token           uint64 // a higher fencing token than ever before, to be kept
	StagingCommands *protocol.StoreOrders
	LeaseEnd        time.Duration
}

// Worker is a worker's side of the protocol: a state machine without I/O. Time
// and events go in, Effects come out. It owns the attempts on its machine.
type Worker struct {
	identity    protocol.Heartbeat // the fields that stay
	room        Room
	periods     Periods
	controllers []Controller
	random      *rand.Rand

	now            time.Duration
	effects        Effects
	epoch          agentEpoch
	sequence       uint64 // of the last heartbeat written
	fencingToken   uint64
	tokenChangedAt time.Duration // when a higher token last counted as a change
	preemption     preemptionNotice
	heartbeats     heartbeatSchedule

	storeReport *protocol.StoreReport
	unshipped   int

	tasks  map[TaskAttempt]*taskState
	jobs   jobDescriptions
	images imageStates
	doneAt map[TaskAttempt]time.Duration
}

// agentEpoch is the present agent epoch: the time in which tasks run under one
// unbroken lease.
type agentEpoch struct {
	number     uint64
	startedAt  time.Duration
	answeredAt time.Duration // sending time of the last answered heartbeat of this epoch
	ending     bool          // the epoch is over; its tasks are being ended
}

// preemptionNotice is the cloud's notice that it takes the machine back.
type preemptionNotice struct {
	at       time.Duration
	received bool
}

// heartbeatSchedule says when the next heartbeat leaves, and to whom.
type heartbeatSchedule struct {
	controller int // index of the controller that is tried next
	inflight   bool
	nextAt     time.Duration
	lastAt     time.Duration
	sent       bool // there was a heartbeat before
	changed    bool // something changed since the last one
}

// jobDescriptions are the descriptions of jobs of which attempts are here.
type jobDescriptions struct {
	descriptions map[string]*protocol.JobDescription
	describing   map[string]bool // being asked for
}

// imageStates are the images on the machine, by name.
type imageStates struct {
	present  map[string]bool
	fetching map[string]bool
}

// NewWorker makes a worker that begins the given agent epoch. fencingToken is the
// highest one
// that an earlier process on this machine has kept.
func NewWorker(me protocol.Heartbeat, room Room, p Periods, nodes []Controller, epoch, fencingToken uint64, rnd *rand.Rand) *Worker {
	me.Tasks = nil
	return &Worker{
		identity: me, room: room, periods: p, controllers: nodes, random: rnd,
		epoch: agentEpoch{number: epoch}, fencingToken: fencingToken,
		heartbeats: heartbeatSchedule{controller: rnd.IntN(len(nodes))},
		tasks:      map[TaskAttempt]*taskState{},
		jobs:       jobDescriptions{descriptions: map[string]*protocol.JobDescription{}, describing: map[string]bool{}},
		images:     imageStates{present: map[string]bool{}, fetching: map[string]bool{}},
		doneAt:     map[TaskAttempt]time.Duration{},
	}
}

func (w *Worker) lease() time.Duration { return seconds(w.periods.Lease) }

// leaseEnd is when the agent epoch ends unless a heartbeat is answered.
func (w *Worker) leaseEnd() time.Duration {
	return max(w.epoch.startedAt, w.epoch.answeredAt) + w.lease()
}

func (w *Worker) takeEffects() Effects {
	e := w.effects
	e.LeaseEnd = w.leaseEnd()
	w.effects = Effects{}
	return e
}

func (w *Worker) sortedTasks() []*taskState {
	out := make([]*taskState, 0, len(w.tasks))
	for _, task := range w.tasks {
		out = append(out, task)
	}
	slices.SortFunc(out, func(a, b *taskState) int {
		switch {
		case a.id.Job != b.id.Job:
			return strings.Compare(a.id.Job, b.id.Job)
		case a.id.Index != b.id.Index:
			return a.id.Index - b.id.Index
		}
		return a.id.Attempt - b.id.Attempt
	})
	return out
}

// Due is when the worker must look at the clock again.
func (w *Worker) Due() time.Duration {
	next := w.leaseEnd() + 1
	if w.epoch.ending {
		return w.now + minHeartbeatInterval
	}
	if !w.heartbeats.inflight {
		next = min(next, w.heartbeatTime())
	}
	for _, task := range w.tasks {
		switch task.phase {
		case waiting:
			next = min(next, task.phaseSince+seconds(w.periods.GangWait), task.nextGangCheckAt)
		case running:
			if task.description.Shape == job.Gang && task.description.Tasks > 1 {
				next = min(next, task.nextGangCheckAt)
			}
			if task.nextCheckpointAt > 0 {
				next = min(next, task.nextCheckpointAt)
			}
		case finished, checkpointed:
			next = min(next, task.nextGangCheckAt)
		case checkpointing:
			next = min(next, task.killAt)
		}
	}
	return max(next, w.now+time.Millisecond)
}

// heartbeatTime is when the next heartbeat is to be sent.
func (w *Worker) heartbeatTime() time.Duration {
	if w.heartbeats.changed && w.heartbeats.sent {
		return min(w.heartbeats.nextAt, max(w.heartbeats.lastAt+minHeartbeatInterval, w.now))
	}
	return w.heartbeats.nextAt
}

// Tick lets time pass.
func (w *Worker) Tick(now time.Duration) Effects {
	w.advance(now)
	return w.takeEffects()
}

func (w *Worker) advance(now time.Duration) {
	w.now = max(w.now, now)
	if w.epoch.ending {
		return
	}
	if w.now > w.leaseEnd() {
		// Nobody may count on what is here from now on. The new epoch
		// begins when all of it is gone, and not before: its first heartbeat is
		// the evidence of that.
		w.epoch.ending = true
		w.effects.EndAll = true
		return
	}
	for _, task := range w.sortedTasks() {
		w.advanceTask(task)
	}
	for k, at := range w.doneAt {
		if w.now-at > 2*w.lease() {
			delete(w.doneAt, k)
		}
	}
	if !w.heartbeats.inflight && w.now >= w.heartbeatTime() {
		w.sendHeartbeat()
	}
}

// advanceTask lets time pass for one attempt.
func (w *Worker) advanceTask(task *taskState) {
	if task.phase == checkpointing && w.now >= task.killAt {
		w.endProcess(task, protocol.CauseStopped)
	}
	if task.phase == running && task.nextCheckpointAt > 0 && w.now >= task.nextCheckpointAt {
		task.nextCheckpointAt = w.now + seconds(task.description.CheckpointIntervalS)
		w.effects.Checkpoint = append(w.effects.Checkpoint, task.id)
	}
	if !w.hasGangPeers(task) {
		return
	}
	w.advanceGangTask(task)
	if asks := task.phase == waiting || task.phase == running || task.phase == finished || task.phase == checkpointed; asks && w.now >= task.nextGangCheckAt {
		task.nextGangCheckAt = w.now + seconds(w.periods.GangPeer/4)
		w.effects.AskGang = append(w.effects.AskGang, task.id)
	}
}

func (w *Worker) setPhase(task *taskState, p phase) {
	task.phase, task.phaseSince = p, w.now
	w.heartbeats.changed = true
}

// endWithoutProcess ends an attempt that has no process.
func (w *Worker) endWithoutProcess(task *taskState, cause string) {
	task.cause = cause
	w.setPhase(task, ended)
	task.peerStates = nil
	if cause == protocol.CauseDone && w.hasGangPeers(task) {
		w.doneAt[task.id] = w.now
	}
	w.cancelUnusedFetch(task)
}

// cancelUnusedFetch gives a fetch up that no task waits for any more.
func (w *Worker) cancelUnusedFetch(task *taskState) {
	if task.description == nil || !w.images.fetching[task.description.Image] {
		return
	}
	for _, o := range w.tasks {
		if o.phase == fetching && o.description.Image == task.description.Image {
			return
		}
	}
	delete(w.images.fetching, task.description.Image)
	// What one step begins and gives up again is not begun at all: effects of
	// a step have no order among kinds.
	if i := slices.Index(w.effects.Fetch, task.description.Image); i >= 0 {
		w.effects.Fetch = slices.Delete(w.effects.Fetch, i, i+1)
		return
	}
	w.effects.Leave = append(w.effects.Leave, task.description.Image)
}

// endProcess ends an attempt that has a process; it is over when that is gone.
func (w *Worker) endProcess(task *taskState, cause string) {
	task.finalCause = cause
	w.setPhase(task, ending)
	w.effects.Kill = append(w.effects.Kill, task.id)
}

func (w *Worker) start(task *taskState) {
	w.setPhase(task, running)
	task.gangCompleteAt = w.now
	if task.description.CheckpointIntervalS > 0 {
		task.nextCheckpointAt = w.now + seconds(task.description.CheckpointIntervalS)
	}
	w.effects.Start = append(w.effects.Start, task.id)
}

// applyDescription goes on with an attempt whose job is known now.
func (w *Worker) applyDescription(task *taskState, d *protocol.JobDescription) {
	if task.id.Index >= d.Tasks {
		w.endWithoutProcess(task, protocol.CauseUnknown)
		return
	}
	used := Room{}
	for _, o := range w.tasks {
		if o.description != nil && o.phase != ended {
			used = Room{used.CPUs + o.description.CPUs, used.GPUs + o.description.GPUs, used.RAM + o.description.MemoryGB}
		}
	}
	const eps = 1e-6 // sums of decimal amounts
	if used.CPUs+d.CPUs > w.room.CPUs+eps || used.GPUs+d.GPUs > w.room.GPUs+eps || used.RAM+d.MemoryGB > w.room.RAM+eps {
		w.endWithoutProcess(task, protocol.CauseNoRoom)
		return
	}
	task.description = d
	task.phase = fetching
	if task.needsInputs = len(d.Inputs) > 0; task.needsInputs {
		w.effects.FetchInputs = append(w.effects.FetchInputs, task.id)
	}
	if w.images.present[d.Image] {
		w.startIfReady(task)
	} else if !w.images.fetching[d.Image] {
		w.images.fetching[d.Image] = true
		if i := slices.Index(w.effects.Leave, d.Image); i >= 0 {
			w.effects.Leave = slices.Delete(w.effects.Leave, i, i+1) // it goes on
			return
		}
		w.effects.Fetch = append(w.effects.Fetch, d.Image)
	}
}

// Live tells whether an attempt is here and not over.
func (w *Worker) Live(k TaskAttempt) bool {
	task := w.tasks[k]
	return task != nil && task.phase != ended && !w.epoch.ending
}

// startIfReady goes on with an attempt whose image is here.
func (w *Worker) startIfReady(task *taskState) {
	switch {
	case task.needsInputs:
	case task.description.Complete:
		w.endWithoutProcess(task, protocol.CauseDone)
	case w.hasGangPeers(task):
		w.setPhase(task, waiting)
		task.nextGangCheckAt = w.now
	default:
		w.start(task)
	}
}

// NeedsImage tells whether a task that is not over needs an image.
func (w *Worker) NeedsImage(image string) bool {
	for _, task := range w.tasks {
		if task.description != nil && task.description.Image == image && task.phase != ended {
			return true
		}
	}
	return false
}

// Epoch is the number of the present agent epoch.
func (w *Worker) Epoch() uint64 { return w.epoch.number }

// Description is the job's, nil if no attempt of it is here.
func (w *Worker) Description(id string) *protocol.JobDescription { return w.jobs.descriptions[id] }

// Descriptions lists the jobs of which attempts are here, in no order.
func (w *Worker) Descriptions() []*protocol.JobDescription {
	return slices.Collect(maps.Values(w.jobs.descriptions))
}

// Attempts lists the attempts of a job that are here, in no order.
func (w *Worker) Attempts(id string) (out []TaskAttempt) {
	for k := range w.tasks {
		if k.Job == id {
			out = append(out, k)
		}
	}
	return out
}

// Count tells how many attempts are here and how many of them are not over.
func (w *Worker) Count() (all, live int) {
	for _, task := range w.tasks {
		if task.phase != ended {
			live++
		}
	}
	return len(w.tasks), live
}
