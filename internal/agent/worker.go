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

// reportedStates maps each phase to the state that heartbeats report. An ending attempt is
// reported as running because it still occupies its resources.
var reportedStates = [...]protocol.TaskState{describing: protocol.TaskPulling, fetching: protocol.TaskPulling, waiting: protocol.TaskWaiting,
	running: protocol.TaskRunning, finished: protocol.TaskRunning, checkpointing: protocol.TaskCheckpointing, checkpointed: protocol.TaskCheckpointing,
	ending: protocol.TaskRunning, ended: protocol.TaskEnded}

// gangStateNames maps each phase to the state that the agents of a gang's other tasks see.
var gangStateNames = [...]string{describing: "pulling", fetching: "pulling", waiting: "waiting", running: "running", finished: "finished",
	checkpointing: "saving", checkpointed: "saved", ending: "ending", ended: "ended"}

// gangDone is the state that other agents see for a gang task whose whole gang has completed.
const gangDone = "done"

// Controller names a controller and where it listens for workers.
type Controller struct {
	Name    string `yaml:"node_name"`
	Address string `yaml:"address"`
}

// Room is the capacity of a machine: processors, accelerators and memory in GB. It is named like its
// setting, because errors of the YAML decoder show the type's name.
type Room struct {
	CPUs float64 `yaml:"cpus"`
	GPUs float64 `yaml:"accelerators"`
	RAM  float64 `yaml:"ramGb"`
}

// Periods are the intervals and timeouts of workers, in seconds, as set in the
// controllers' settings.
type Periods struct {
	Heartbeat float64 `yaml:"report_s"`
	Lease     float64 `yaml:"lease_s"`
	GangWait  float64 `yaml:"gang_wait_s"`
	GangPeer  float64 `yaml:"gang_peer_s"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Constants of the protocol that no setting changes.
const (
	minHeartbeatInterval = 500 * time.Millisecond // between two heartbeats
	answerTimeout        = 4 * time.Second        // for the answer to a request, such as a heartbeat
	controllerRetryDelay = time.Second            // before the next controller is tried
	maxTaskListBytes     = 40 << 10               // for the tasks in a heartbeat, in bytes; a request is limited to 64 KiB, which includes the store report
	maxTaskStatusBytes   = 120                    // upper bound for one task in a heartbeat
)

// HeartbeatSend is a heartbeat to be sent to a controller.
type HeartbeatSend struct {
	Controller Controller
	Body       []byte
	Epoch      uint64
	SentAt     time.Duration
}

// Effects are the actions that a step requests from its caller.
type Effects struct {
	Heartbeat         *HeartbeatSend
	FetchDescriptions []string      // jobs whose descriptions are to be fetched
	FetchImages       []string      // names of images to be fetched
	CancelFetches     []string      // names of images whose fetch is to be cancelled: no task waits for them any more
	FetchInputs       []TaskAttempt // attempts whose inputs are to be fetched
	Start             []TaskAttempt
	Checkpoint        []TaskAttempt // to save a checkpoint and continue
	Stop              []TaskAttempt // to save a checkpoint and end
	Kill              []TaskAttempt // to be killed at once, with all their processes
	AskGang           []TaskAttempt // gang tasks whose peers are to be queried
	Forget            []TaskAttempt
	EndAll            bool   // all tasks are to be killed; the caller then calls EpochEnded
	Token             uint64 // a new highest fencing token, to be persisted; 0: none
	StagingCommands   *protocol.StoreOrders
	LeaseEnd          time.Duration
}

// Worker is a worker's side of the protocol: a state machine without I/O. Its
// methods take the time and an event, and return Effects. It owns the attempts on
// its machine.
type Worker struct {
	identity    protocol.Heartbeat // the heartbeat fields that never change
	resources   Room
	periods     Periods
	controllers []Controller
	random      *rand.Rand

	now            time.Duration
	effects        Effects
	epoch          agentEpoch
	sequence       uint64 // of the last heartbeat written
	fencingToken   uint64
	tokenChangedAt time.Duration // when a higher token last caused an early heartbeat
	preemption     preemptionNotice
	heartbeats     heartbeatSchedule

	storeReport *protocol.StoreReport
	// followedAttempts returns the attempts whose output is not completely shipped, live ones
	// included.
	followedAttempts func() []FollowedAttempt

	tasks  map[TaskAttempt]*taskState
	jobs   jobDescriptions
	images imageStates
	doneAt map[TaskAttempt]time.Duration
}

// agentEpoch is the current agent epoch: the period in which tasks run under one
// uninterrupted lease.
type agentEpoch struct {
	number     uint64
	startedAt  time.Duration
	answeredAt time.Duration // sending time of the last answered heartbeat of this epoch
	ending     bool          // the epoch is over; its tasks are being ended
}

// preemptionNotice is the cloud's notice that it will take the machine back.
type preemptionNotice struct {
	at       time.Duration
	received bool
}

// heartbeatSchedule determines when the next heartbeat is sent, and to which controller.
type heartbeatSchedule struct {
	controller int // index of the controller that is tried next
	inflight   bool
	nextAt     time.Duration
	lastAt     time.Duration
	sent       bool // a heartbeat was sent before
	changed    bool // the state to report changed since the last heartbeat
}

// jobDescriptions holds the descriptions of the jobs that have attempts on this machine.
type jobDescriptions struct {
	descriptions map[string]*protocol.JobDescription
	describing   map[string]bool // jobs whose description is being fetched
}

// imageStates records, by name, which images are on the machine and which are being fetched.
type imageStates struct {
	present  map[string]bool
	fetching map[string]bool
}

// FollowedAttempt is an attempt whose output is not completely shipped to the archive.
type FollowedAttempt struct {
	ID       TaskAttempt
	EndedFor time.Duration // the time since its end; 0: its end is not recorded yet
}

// NewWorker returns a worker that begins the given agent epoch. fencingToken is the
// highest token that an earlier process on this machine has persisted.
func NewWorker(identity protocol.Heartbeat, resources Room, p Periods, controllers []Controller, epoch, fencingToken uint64, random *rand.Rand) *Worker {
	identity.Tasks = nil
	return &Worker{
		identity: identity, resources: resources, periods: p, controllers: controllers, random: random,
		epoch: agentEpoch{number: epoch}, fencingToken: fencingToken,
		heartbeats: heartbeatSchedule{controller: random.IntN(len(controllers))},
		tasks:      map[TaskAttempt]*taskState{},
		jobs:       jobDescriptions{descriptions: map[string]*protocol.JobDescription{}, describing: map[string]bool{}},
		images:     imageStates{present: map[string]bool{}, fetching: map[string]bool{}},
		doneAt:     map[TaskAttempt]time.Duration{},

		followedAttempts: func() []FollowedAttempt { return nil },
	}
}

func (w *Worker) lease() time.Duration { return seconds(w.periods.Lease) }

// leaseEnd returns the time at which the agent epoch ends unless a heartbeat is answered before.
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

// NextTick returns the time by which Tick must be called next.
func (w *Worker) NextTick() time.Duration {
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

// heartbeatTime returns the time at which the next heartbeat is to be sent.
func (w *Worker) heartbeatTime() time.Duration {
	if w.heartbeats.changed && w.heartbeats.sent {
		return min(w.heartbeats.nextAt, max(w.heartbeats.lastAt+minHeartbeatInterval, w.now))
	}
	return w.heartbeats.nextAt
}

// Tick advances the worker's clock to now and performs what is due, such as sending a heartbeat.
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
		// From now on nobody may rely on the tasks of this epoch. The new epoch
		// must not begin before all of them are gone, because its first heartbeat
		// is the evidence that they are.
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

// advanceTask performs the transitions of one attempt that are due at the current time.
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

// endWithoutProcess marks an attempt without a running process as ended.
func (w *Worker) endWithoutProcess(task *taskState, cause string) {
	task.cause = cause
	w.setPhase(task, ended)
	task.peerStates = nil
	if cause == protocol.CauseDone && w.hasGangPeers(task) {
		w.doneAt[task.id] = w.now
	}
	w.cancelUnusedFetch(task)
}

// cancelUnusedFetch cancels the fetch of an attempt's image if no task waits for the image any more.
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
	// A fetch that is both requested and cancelled in one step is not started at
	// all, because the kinds of effects of a step have no order among them.
	if i := slices.Index(w.effects.FetchImages, task.description.Image); i >= 0 {
		w.effects.FetchImages = slices.Delete(w.effects.FetchImages, i, i+1)
		return
	}
	w.effects.CancelFetches = append(w.effects.CancelFetches, task.description.Image)
}

// endProcess kills an attempt that has a process; the attempt is over when all its processes
// are gone.
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

// applyDescription stores the description of an attempt's job and starts fetching its image and
// inputs. It ends the attempt if the index is not one of the job's or the resources don't
// suffice.
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
	const tolerance = 1e-6 // for rounding errors in sums of decimal amounts
	if used.CPUs+d.CPUs > w.resources.CPUs+tolerance || used.GPUs+d.GPUs > w.resources.GPUs+tolerance || used.RAM+d.MemoryGB > w.resources.RAM+tolerance {
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
		if i := slices.Index(w.effects.CancelFetches, d.Image); i >= 0 {
			w.effects.CancelFetches = slices.Delete(w.effects.CancelFetches, i, i+1) // the fetch that was about to be cancelled continues
			return
		}
		w.effects.FetchImages = append(w.effects.FetchImages, d.Image)
	}
}

// Live reports whether an attempt is on this machine and neither the attempt nor its agent epoch
// is over.
func (w *Worker) Live(k TaskAttempt) bool {
	task := w.tasks[k]
	return task != nil && task.phase != ended && !w.epoch.ending
}

// MayHaveProcesses reports whether processes of an attempt may be on this machine, now or later.
func (w *Worker) MayHaveProcesses(k TaskAttempt) bool {
	task := w.tasks[k]
	return w.epoch.ending || task != nil && task.phase != ended
}

// startIfReady starts an attempt whose image is present, unless inputs are still missing. An
// attempt of a completed job ends as done, and an attempt of a gang waits for the gang's other tasks.
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

// NeedsImage reports whether a task that is not over needs an image.
func (w *Worker) NeedsImage(image string) bool {
	for _, task := range w.tasks {
		if task.description != nil && task.description.Image == image && task.phase != ended {
			return true
		}
	}
	return false
}

// Epoch returns the number of the current agent epoch.
func (w *Worker) Epoch() uint64 { return w.epoch.number }

// Description returns a job's description, or nil if it has not been fetched or no attempt of the
// job is on this machine.
func (w *Worker) Description(id string) *protocol.JobDescription { return w.jobs.descriptions[id] }

// Descriptions returns, in no order, the fetched descriptions of the jobs that have attempts on
// this machine.
func (w *Worker) Descriptions() []*protocol.JobDescription {
	return slices.Collect(maps.Values(w.jobs.descriptions))
}

// Attempts returns, in no order, the attempts of a job on this machine.
func (w *Worker) Attempts(id string) (out []TaskAttempt) {
	for k := range w.tasks {
		if k.Job == id {
			out = append(out, k)
		}
	}
	return out
}

// Count returns the number of attempts on this machine and how many of them are not over.
func (w *Worker) Count() (all, live int) {
	for _, task := range w.tasks {
		if task.phase != ended {
			live++
		}
	}
	return len(w.tasks), live
}
