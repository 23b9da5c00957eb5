package agent

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// wire is how each phase is reported. One that is ending still takes its room.
var wire = [...]protocol.TaskState{describing: protocol.TaskPulling, fetching: protocol.TaskPulling, waiting: protocol.TaskWaiting,
	running: protocol.TaskRunning, finished: protocol.TaskRunning, checkpointing: protocol.TaskCheckpointing, checkpointed: protocol.TaskCheckpointing,
	ending: protocol.TaskRunning, ended: protocol.TaskEnded}

// gangNames is how each phase is shown to the agents of a gang's other tasks.
var gangNames = [...]string{describing: "pulling", fetching: "pulling", waiting: "waiting", running: "running", finished: "finished",
	checkpointing: "saving", checkpointed: "saved", ending: "ending", ended: "ended"}

// gangDone is shown for a task of a gang that is complete.
const gangDone = "done"

// Controller is a controller.
type Controller struct {
	Name    string `yaml:"node_name"`
	Address string `yaml:"address"`
}

// Room is what a machine has.
type Room struct {
	CPUs float64 `yaml:"cpus"`
	GPUs float64 `yaml:"accelerators"`
	RAM  float64 `yaml:"ramGb"`
}

// Periods are the workers' periods, as the controllers' settings give them.
type Periods struct {
	Heartbeat float64 `yaml:"report_s"`
	Lease     float64 `yaml:"lease_s"`
	GangWait  float64 `yaml:"gang_wait_s"`
	GangPeer  float64 `yaml:"gang_peer_s"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Intervals of the protocol that no setting changes.
const (
	soonest           = 500 * time.Millisecond // between two reports
	patience          = 4 * time.Second        // for the answer to a report
	nextController    = time.Second            // before the next controller is tried
	maxHeartbeatBytes = 40 << 10               // of a report's tasks, in bytes; a request may have 64 KiB, the store's part too
	taskLineBytes     = 120                    // of a task in a report, at the most
)

// HeartbeatSend is a report to be sent.
type HeartbeatSend struct {
	Controller Controller
	Body       []byte
	Epoch      uint64
	SentAt     time.Duration
}

// Effects are what a step wants done.
type Effects struct {
	Heartbeat  *HeartbeatSend
	Describe   []string      // jobs whose descriptions are to be asked for
	Fetch      []string      // images wanted, by name
	Leave      []string      // images that no task waits for any more
	Inputs     []TaskAttempt // attempts whose inputs are to be brought here
	Start      []TaskAttempt
	Checkpoint []TaskAttempt // told to save and go on
	Stop       []TaskAttempt // told to save and end
	Kill       []TaskAttempt // to be ended at once, whole
	AskGang    []TaskAttempt // gang tasks whose others are to be asked
	Forget     []TaskAttempt
	EndAll     bool   // all tasks are to be ended; Cleared is called when they are gone
	Token      uint64 // a higher token than ever before, to be kept
	Store      *protocol.StoreOrders
	Lease      time.Duration
}

// Worker is a worker's side of the protocol: a state machine without I/O. Time
// and events go in, Effects come out. It owns the attempts on its machine.
type Worker struct {
	identity    protocol.Heartbeat // the fields that stay
	room        Room
	periods     Periods
	controllers []Controller
	random      *rand.Rand

	now          time.Duration
	effects      Effects
	epoch        uint64
	sequence     uint64
	fencingToken uint64
	epochBegan   time.Duration
	answeredAt   time.Duration // sending time of the last answered report of this session
	endingEpoch  bool          // the session is over; its tasks are being ended
	preemptionAt time.Duration
	preempted    bool

	controller      int
	inflight        bool
	nextHeartbeatAt time.Duration
	lastHeartbeatAt time.Duration
	heartbeatSent   bool
	changed         bool
	tokenChangedAt  time.Duration // when a higher token last counted as a change

	store     *protocol.StoreReport
	unshipped int

	tasks          map[TaskAttempt]*taskState
	descriptions   map[string]*protocol.JobDescription
	describing     map[string]bool // jobs being described
	imagesHere     map[string]bool // images that are here
	imagesFetching map[string]bool // images being fetched
	doneAt         map[TaskAttempt]time.Duration
}

// NewWorker makes a worker that begins a session. baton is the highest token
// that an earlier process on this machine has kept.
func NewWorker(me protocol.Heartbeat, room Room, p Periods, nodes []Controller, epoch, fencingToken uint64, rnd *rand.Rand) *Worker {
	me.Tasks = nil
	return &Worker{identity: me, room: room, periods: p, controllers: nodes, random: rnd, epoch: epoch, fencingToken: fencingToken, controller: rnd.IntN(len(nodes)),
		tasks: map[TaskAttempt]*taskState{}, descriptions: map[string]*protocol.JobDescription{}, describing: map[string]bool{}, imagesHere: map[string]bool{},
		imagesFetching: map[string]bool{}, doneAt: map[TaskAttempt]time.Duration{}}
}

func (w *Worker) lease() time.Duration { return seconds(w.periods.Lease) }

// leaseEnds is when the session ends unless a report is answered.
func (w *Worker) leaseEnds() time.Duration { return max(w.epochBegan, w.answeredAt) + w.lease() }

func (w *Worker) takeEffects() Effects {
	e := w.effects
	e.Lease = w.leaseEnds()
	w.effects = Effects{}
	return e
}

func (w *Worker) sorted() []*taskState {
	out := make([]*taskState, 0, len(w.tasks))
	for _, l := range w.tasks {
		out = append(out, l)
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
	next := w.leaseEnds() + 1
	if w.endingEpoch {
		return w.now + soonest
	}
	if !w.inflight {
		next = min(next, w.heartbeatTime())
	}
	for _, l := range w.tasks {
		switch l.phase {
		case waiting:
			next = min(next, l.phaseSince+seconds(w.periods.GangWait), l.nextGangCheckAt)
		case running:
			if l.description.Shape == job.Gang && l.description.Tasks > 1 {
				next = min(next, l.nextGangCheckAt)
			}
			if l.nextCheckpointAt > 0 {
				next = min(next, l.nextCheckpointAt)
			}
		case finished, checkpointed:
			next = min(next, l.nextGangCheckAt)
		case checkpointing:
			next = min(next, l.killAt)
		}
	}
	return max(next, w.now+time.Millisecond)
}

// heartbeatTime is when the next report is to be sent.
func (w *Worker) heartbeatTime() time.Duration {
	if w.changed && w.heartbeatSent {
		return min(w.nextHeartbeatAt, max(w.lastHeartbeatAt+soonest, w.now))
	}
	return w.nextHeartbeatAt
}

// Tick lets time pass.
func (w *Worker) Tick(now time.Duration) Effects {
	w.advance(now)
	return w.takeEffects()
}

func (w *Worker) advance(now time.Duration) {
	w.now = max(w.now, now)
	if w.endingEpoch {
		return
	}
	if w.now > w.leaseEnds() {
		// Nobody may count on what is here from now on. The new session
		// begins when all of it is gone, and not before: its first report is
		// the evidence of that.
		w.endingEpoch = true
		w.effects.EndAll = true
		return
	}
	for _, l := range w.sorted() {
		w.advanceTask(l)
	}
	for k, at := range w.doneAt {
		if w.now-at > 2*w.lease() {
			delete(w.doneAt, k)
		}
	}
	if !w.inflight && w.now >= w.heartbeatTime() {
		w.heartbeat()
	}
}

// pass lets time pass for one attempt.
func (w *Worker) advanceTask(l *taskState) {
	if l.phase == checkpointing && w.now >= l.killAt {
		w.end(l, protocol.CauseStopped)
	}
	if l.phase == running && l.nextCheckpointAt > 0 && w.now >= l.nextCheckpointAt {
		l.nextCheckpointAt = w.now + seconds(l.description.CheckpointIntervalS)
		w.effects.Checkpoint = append(w.effects.Checkpoint, l.id)
	}
	if !w.gang(l) {
		return
	}
	w.judge(l)
	if asks := l.phase == waiting || l.phase == running || l.phase == finished || l.phase == checkpointed; asks && w.now >= l.nextGangCheckAt {
		l.nextGangCheckAt = w.now + seconds(w.periods.GangPeer/4)
		w.effects.AskGang = append(w.effects.AskGang, l.id)
	}
}

func (w *Worker) set(l *taskState, p phase) {
	l.phase, l.phaseSince = p, w.now
	w.changed = true
}

// over ends an attempt that has no process.
func (w *Worker) endWithoutProcess(l *taskState, cause string) {
	l.cause = cause
	w.set(l, ended)
	l.peers = nil
	if cause == protocol.CauseDone && w.gang(l) {
		w.doneAt[l.id] = w.now
	}
	w.idleImage(l)
}

// idleImage gives a fetch up that no task waits for any more.
func (w *Worker) idleImage(l *taskState) {
	if l.description == nil || !w.imagesFetching[l.description.Image] {
		return
	}
	for _, o := range w.tasks {
		if o.phase == fetching && o.description.Image == l.description.Image {
			return
		}
	}
	delete(w.imagesFetching, l.description.Image)
	// What one step begins and gives up again is not begun at all: effects of
	// a step have no order among kinds.
	if i := slices.Index(w.effects.Fetch, l.description.Image); i >= 0 {
		w.effects.Fetch = slices.Delete(w.effects.Fetch, i, i+1)
		return
	}
	w.effects.Leave = append(w.effects.Leave, l.description.Image)
}

// end ends an attempt that has a process; it is over when that is gone.
func (w *Worker) end(l *taskState, cause string) {
	l.finalCause = cause
	w.set(l, ending)
	w.effects.Kill = append(w.effects.Kill, l.id)
}

func (w *Worker) start(l *taskState) {
	w.set(l, running)
	l.gangCompleteAt = w.now
	if l.description.CheckpointIntervalS > 0 {
		l.nextCheckpointAt = w.now + seconds(l.description.CheckpointIntervalS)
	}
	w.effects.Start = append(w.effects.Start, l.id)
}

// current writes the report as things stand.
func (w *Worker) current() protocol.Heartbeat {
	w.sequence++
	r := w.identity
	r.DataStore, r.Unshipped = w.store, w.unshipped
	r.AgentEpoch, r.Sequence, r.FencingToken = w.epoch, w.sequence, w.fencingToken
	if w.preempted {
		left := max(0, (w.preemptionAt - w.now).Seconds())
		r.PreemptionNoticeS = &left
	}
	r.Tasks = make([]protocol.TaskStatus, 0, len(w.tasks))
	for _, l := range w.sorted() {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: l.id.TaskName(), Attempt: l.id.Attempt, Status: wire[l.phase], Cause: l.cause, Checkpointed: l.checkpointed})
	}
	return r
}

func (w *Worker) heartbeat() {
	w.inflight, w.heartbeatSent, w.changed = true, true, false
	w.lastHeartbeatAt = w.now
	w.effects.Heartbeat = &HeartbeatSend{Controller: w.controllers[w.controller], Body: protocol.Encode(w.current()), Epoch: w.epoch, SentAt: w.now}
}

// Answered takes what came of a report: status 0 when no answer came in time.
func (w *Worker) Answered(now time.Duration, s *HeartbeatSend, status int, body []byte) Effects {
	w.advance(now)
	w.inflight = false
	switch status {
	case http.StatusOK:
		w.nextHeartbeatAt = w.now + seconds(w.periods.Heartbeat*(0.75+0.5*w.random.Float64()))
		var a protocol.HeartbeatResponse
		if s.Epoch != w.epoch || w.endingEpoch || w.now-s.SentAt > patience || protocol.Decode(body, &a) != nil || a.FencingToken == 0 || a.FencingToken < w.fencingToken {
			break // dropped: neither obeyed nor renewing
		}
		w.answeredAt = max(w.answeredAt, s.SentAt)
		w.seeToken(a.FencingToken)
		w.carryOut(a.Commands)
		w.effects.Store = a.DataStore
	case http.StatusMisdirectedRequest:
		var r protocol.Redirect
		_ = protocol.Decode(body, &r)
		to := slices.IndexFunc(w.controllers, func(n Controller) bool { return n.Name == r.Controller })
		if to >= 0 && to != w.controller {
			w.controller = to
			w.nextHeartbeatAt = w.now + time.Duration(w.random.Float64()*float64(soonest))
			break
		}
		w.tryNextController()
	default:
		w.tryNextController()
	}
	return w.takeEffects()
}

func (w *Worker) tryNextController() {
	w.controller = (w.controller + 1) % len(w.controllers)
	w.nextHeartbeatAt = w.now + nextController
}

// seeToken takes a token that is no lower than any before.
func (w *Worker) seeToken(t uint64) {
	if t == w.fencingToken {
		return
	}
	w.fencingToken = t
	w.effects.Token = t
	if w.tokenChangedAt == 0 || w.now-w.tokenChangedAt >= w.lease()/2 {
		w.tokenChangedAt = w.now
		w.changed = true
	}
}

// describe goes on with an attempt whose job is known now.
func (w *Worker) describe(l *taskState, d *protocol.JobDescription) {
	if l.id.Index >= d.Tasks {
		w.endWithoutProcess(l, protocol.CauseUnknown)
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
		w.endWithoutProcess(l, protocol.CauseNoRoom)
		return
	}
	l.description = d
	l.phase = fetching
	if l.needsInputs = len(d.Inputs) > 0; l.needsInputs {
		w.effects.Inputs = append(w.effects.Inputs, l.id)
	}
	if w.imagesHere[d.Image] {
		w.ready(l)
	} else if !w.imagesFetching[d.Image] {
		w.imagesFetching[d.Image] = true
		if i := slices.Index(w.effects.Leave, d.Image); i >= 0 {
			w.effects.Leave = slices.Delete(w.effects.Leave, i, i+1) // it goes on
			return
		}
		w.effects.Fetch = append(w.effects.Fetch, d.Image)
	}
}

// Live tells whether an attempt is here and not over.
func (w *Worker) Live(k TaskAttempt) bool {
	l := w.tasks[k]
	return l != nil && l.phase != ended && !w.endingEpoch
}

// ready goes on with an attempt whose image is here.
func (w *Worker) ready(l *taskState) {
	switch {
	case l.needsInputs:
	case l.description.Complete:
		w.endWithoutProcess(l, protocol.CauseDone)
	case w.gang(l):
		w.set(l, waiting)
		l.nextGangCheckAt = w.now
	default:
		w.start(l)
	}
}

// Wanted tells whether a task that is not over needs an image.
func (w *Worker) Wanted(kit string) bool {
	for _, l := range w.tasks {
		if l.description != nil && l.description.Image == kit && l.phase != ended {
			return true
		}
	}
	return false
}

// Epoch is the number of the present session.
func (w *Worker) Epoch() uint64 { return w.epoch }

// Description is the job's, nil if no attempt of it is here.
func (w *Worker) Description(id string) *protocol.JobDescription { return w.descriptions[id] }

// Descriptions lists the jobs of which attempts are here, in no order.
func (w *Worker) Descriptions() []*protocol.JobDescription {
	return slices.Collect(maps.Values(w.descriptions))
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
	for _, l := range w.tasks {
		if l.phase != ended {
			live++
		}
	}
	return len(w.tasks), live
}
