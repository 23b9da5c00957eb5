package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// Key names an attempt of a task on this machine.
type Key struct {
	Job   string
	Index int
	Try   int
}

// Load is the wire name of the task.
func (k Key) Load() string { return job.TaskName(k.Job, k.Index) }

// String is the key as job.index.try, which also names the attempt's folder.
func (k Key) String() string { return fmt.Sprintf("%s.%d.%d", k.Job, k.Index, k.Try) }

// phase is where an attempt stands. The first ones are reported as they are
// named in the protocol.
type phase int

const (
	describing phase = iota // its job's description is being asked for
	fetching                // its image is
	waiting                 // for the other tasks of its gang
	running
	finished // gang: its program completed, those of others did not yet
	saving   // told to stop, and may save
	saved    // gang: it has saved, others have not yet
	ending   // told to end; its processes are not gone yet
	ended
)

// wire is how each phase is reported. One that is ending still takes its room.
var wire = [...]protocol.TaskState{describing: protocol.TaskPulling, fetching: protocol.TaskPulling, waiting: protocol.TaskWaiting,
	running: protocol.TaskRunning, finished: protocol.TaskRunning, saving: protocol.TaskCheckpointing, saved: protocol.TaskCheckpointing,
	ending: protocol.TaskRunning, ended: protocol.TaskEnded}

// gangNames is how each phase is shown to the agents of a gang's other tasks.
var gangNames = [...]string{describing: "pulling", fetching: "pulling", waiting: "waiting", running: "running", finished: "finished",
	saving: "saving", saved: "saved", ending: "ending", ended: "ended"}

// gangDone is shown for a task of a gang that is complete.
const gangDone = "done"

type load struct {
	key   Key
	desc  *protocol.JobDescription // nil while describing
	phase phase
	cause string
	saved bool
	since time.Duration // of the phase
	told  time.Duration // first told to stop
	until time.Duration // saving: when it is ended all the same
	fate  string        // ending: the cause to report when it is gone
	whole time.Duration // gang: when all of it was last seen as it should be
	ask   time.Duration // gang: when the others are asked next
	next  time.Duration // when it is to save by itself
	needs bool          // inputs that are not here yet
	seal  string        // that came with the launch; for the archive
	peers map[int]string
}

// process tells whether the attempt has a program that runs.
func (l *load) process() bool {
	return l.phase == running || l.phase == saving || l.phase == ending
}

// Node is a controller.
type Node struct {
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
	Report   float64 `yaml:"report_s"`
	Lease    float64 `yaml:"lease_s"`
	GangWait float64 `yaml:"gang_wait_s"`
	GangPeer float64 `yaml:"gang_peer_s"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Intervals of the protocol that no setting changes.
const (
	soonest   = 500 * time.Millisecond // between two reports
	patience  = 4 * time.Second        // for the answer to a report
	nextNode  = time.Second            // before the next controller is tried
	maxReport = 40 << 10               // of a report's tasks, in bytes; a request may have 64 KiB, the store's part too
	lineBytes = 120                    // of a task in a report, at the most
)

// Send is a report to be sent.
type Send struct {
	Node  Node
	Body  []byte
	Shift uint64
	At    time.Duration
}

// Effects are what a step wants done.
type Effects struct {
	Report   *Send
	Describe []string // jobs whose descriptions are to be asked for
	Fetch    []string // images wanted, by name
	Leave    []string // images that no task waits for any more
	Inputs   []Key    // attempts whose inputs are to be brought here
	Start    []Key
	Save     []Key // told to save and go on
	Stop     []Key // told to save and end
	Kill     []Key // to be ended at once, whole
	Ask      []Key // gang tasks whose others are to be asked
	Forget   []Key
	Clear    bool   // all tasks are to be ended; Cleared is called when they are gone
	Token    uint64 // a higher token than ever before, to be kept
	Store    *protocol.StoreOrders
	Lease    time.Duration
}

// Worker is a worker's side of the protocol: a state machine without I/O. Time
// and events go in, Effects come out. It owns the attempts on its machine.
type Worker struct {
	me      protocol.Heartbeat // the fields that stay
	room    Room
	periods Periods
	nodes   []Node
	rnd     *rand.Rand

	now      time.Duration
	out      Effects
	shift    uint64
	tally    uint64
	baton    uint64
	began    time.Duration
	answered time.Duration // sending time of the last answered report of this session
	clearing bool          // the session is over; its tasks are being ended
	recall   time.Duration
	recalled bool

	node      int
	inflight  bool
	reportAt  time.Duration
	lastSent  time.Duration
	sentOnce  bool
	changed   bool
	tokenTold time.Duration // when a higher token last counted as a change

	store     *protocol.StoreReport
	unshipped int

	loads map[Key]*load
	specs map[string]*protocol.JobDescription
	asked map[string]bool // jobs being described
	image map[string]bool // images that are here
	pulls map[string]bool // images being fetched
	done  map[Key]time.Duration
}

// NewWorker makes a worker that begins a session. baton is the highest token
// that an earlier process on this machine has kept.
func NewWorker(me protocol.Heartbeat, room Room, p Periods, nodes []Node, shift, baton uint64, rnd *rand.Rand) *Worker {
	me.Tasks = nil
	return &Worker{me: me, room: room, periods: p, nodes: nodes, rnd: rnd, shift: shift, baton: baton, node: rnd.IntN(len(nodes)),
		loads: map[Key]*load{}, specs: map[string]*protocol.JobDescription{}, asked: map[string]bool{}, image: map[string]bool{},
		pulls: map[string]bool{}, done: map[Key]time.Duration{}}
}

func (w *Worker) lease() time.Duration { return seconds(w.periods.Lease) }

// leaseEnds is when the session ends unless a report is answered.
func (w *Worker) leaseEnds() time.Duration { return max(w.began, w.answered) + w.lease() }

func (w *Worker) take() Effects {
	e := w.out
	e.Lease = w.leaseEnds()
	w.out = Effects{}
	return e
}

func (w *Worker) sorted() []*load {
	out := make([]*load, 0, len(w.loads))
	for _, l := range w.loads {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *load) int {
		switch {
		case a.key.Job != b.key.Job:
			return strings.Compare(a.key.Job, b.key.Job)
		case a.key.Index != b.key.Index:
			return a.key.Index - b.key.Index
		}
		return a.key.Try - b.key.Try
	})
	return out
}

// Due is when the worker must look at the clock again.
func (w *Worker) Due() time.Duration {
	next := w.leaseEnds() + 1
	if w.clearing {
		return w.now + soonest
	}
	if !w.inflight {
		next = min(next, w.reportTime())
	}
	for _, l := range w.loads {
		switch l.phase {
		case waiting:
			next = min(next, l.since+seconds(w.periods.GangWait), l.ask)
		case running:
			if l.desc.Shape == job.Gang && l.desc.Tasks > 1 {
				next = min(next, l.ask)
			}
			if l.next > 0 {
				next = min(next, l.next)
			}
		case finished, saved:
			next = min(next, l.ask)
		case saving:
			next = min(next, l.until)
		}
	}
	return max(next, w.now+time.Millisecond)
}

// reportTime is when the next report is to be sent.
func (w *Worker) reportTime() time.Duration {
	if w.changed && w.sentOnce {
		return min(w.reportAt, max(w.lastSent+soonest, w.now))
	}
	return w.reportAt
}

// Tick lets time pass.
func (w *Worker) Tick(now time.Duration) Effects {
	w.advance(now)
	return w.take()
}

func (w *Worker) advance(now time.Duration) {
	w.now = max(w.now, now)
	if w.clearing {
		return
	}
	if w.now > w.leaseEnds() {
		// Nobody may count on what is here from now on. The new session
		// begins when all of it is gone, and not before: its first report is
		// the evidence of that.
		w.clearing = true
		w.out.Clear = true
		return
	}
	for _, l := range w.sorted() {
		w.pass(l)
	}
	for k, at := range w.done {
		if w.now-at > 2*w.lease() {
			delete(w.done, k)
		}
	}
	if !w.inflight && w.now >= w.reportTime() {
		w.report()
	}
}

// pass lets time pass for one attempt.
func (w *Worker) pass(l *load) {
	if l.phase == saving && w.now >= l.until {
		w.end(l, protocol.CauseStopped)
	}
	if l.phase == running && l.next > 0 && w.now >= l.next {
		l.next = w.now + seconds(l.desc.CheckpointIntervalS)
		w.out.Save = append(w.out.Save, l.key)
	}
	if !w.gang(l) {
		return
	}
	w.judge(l)
	if asks := l.phase == waiting || l.phase == running || l.phase == finished || l.phase == saved; asks && w.now >= l.ask {
		l.ask = w.now + seconds(w.periods.GangPeer/4)
		w.out.Ask = append(w.out.Ask, l.key)
	}
}

// gang tells whether the attempt has others that it depends on.
func (w *Worker) gang(l *load) bool {
	return l.desc != nil && l.desc.Shape == job.Gang && l.desc.Tasks > 1
}

// all tells whether every other task of the gang is in one of the states.
func (l *load) all(states ...string) bool {
	for i := range l.desc.Tasks {
		if i != l.key.Index && !slices.Contains(states, l.peers[i]) {
			return false
		}
	}
	return true
}

// judge decides what a gang's task does next, from what is known of the others.
func (w *Worker) judge(l *load) {
	peer := seconds(w.periods.GangPeer)
	switch l.phase {
	case waiting:
		switch {
		case l.all("waiting", "running", "finished", gangDone):
			w.start(l)
		case w.now-l.since >= seconds(w.periods.GangWait):
			w.over(l, protocol.CauseLeaseExpired)
		}
	case running:
		if l.all("waiting", "running", "finished", "saving", "saved", gangDone) {
			l.whole = w.now
		} else if w.now-l.whole > peer {
			w.end(l, protocol.CauseGangMemberLost)
		}
	case finished:
		switch {
		case l.all("finished", gangDone):
			w.over(l, protocol.CauseDone)
		case l.all("running", "finished", gangDone):
			l.whole = w.now
		case w.now-l.whole > peer:
			w.over(l, protocol.CauseGangMemberLost)
		}
	case saved:
		switch {
		case l.all("saved", "ended"):
			l.saved = true
			w.over(l, protocol.CauseStopped)
		case l.all("saving", "saved", "ended") && w.now < l.until:
		case w.now-l.told > peer:
			w.over(l, protocol.CauseGangMemberLost)
		}
	}
}

func (w *Worker) set(l *load, p phase) {
	l.phase, l.since = p, w.now
	w.changed = true
}

// over ends an attempt that has no process.
func (w *Worker) over(l *load, cause string) {
	l.cause = cause
	w.set(l, ended)
	l.peers = nil
	if cause == protocol.CauseDone && w.gang(l) {
		w.done[l.key] = w.now
	}
	w.idleImage(l)
}

// idleImage gives a fetch up that no task waits for any more.
func (w *Worker) idleImage(l *load) {
	if l.desc == nil || !w.pulls[l.desc.Image] {
		return
	}
	for _, o := range w.loads {
		if o.phase == fetching && o.desc.Image == l.desc.Image {
			return
		}
	}
	delete(w.pulls, l.desc.Image)
	// What one step begins and gives up again is not begun at all: effects of
	// a step have no order among kinds.
	if i := slices.Index(w.out.Fetch, l.desc.Image); i >= 0 {
		w.out.Fetch = slices.Delete(w.out.Fetch, i, i+1)
		return
	}
	w.out.Leave = append(w.out.Leave, l.desc.Image)
}

// end ends an attempt that has a process; it is over when that is gone.
func (w *Worker) end(l *load, cause string) {
	l.fate = cause
	w.set(l, ending)
	w.out.Kill = append(w.out.Kill, l.key)
}

func (w *Worker) start(l *load) {
	w.set(l, running)
	l.whole = w.now
	if l.desc.CheckpointIntervalS > 0 {
		l.next = w.now + seconds(l.desc.CheckpointIntervalS)
	}
	w.out.Start = append(w.out.Start, l.key)
}

// current writes the report as things stand.
func (w *Worker) current() protocol.Heartbeat {
	w.tally++
	r := w.me
	r.DataStore, r.Unshipped = w.store, w.unshipped
	r.AgentEpoch, r.Sequence, r.FencingToken = w.shift, w.tally, w.baton
	if w.recalled {
		left := max(0, (w.recall - w.now).Seconds())
		r.PreemptionNoticeS = &left
	}
	r.Tasks = make([]protocol.TaskStatus, 0, len(w.loads))
	for _, l := range w.sorted() {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: l.key.Load(), Attempt: l.key.Try, Status: wire[l.phase], Cause: l.cause, Checkpointed: l.saved})
	}
	return r
}

func (w *Worker) report() {
	w.inflight, w.sentOnce, w.changed = true, true, false
	w.lastSent = w.now
	w.out.Report = &Send{Node: w.nodes[w.node], Body: protocol.Encode(w.current()), Shift: w.shift, At: w.now}
}

// Answered takes what came of a report: status 0 when no answer came in time.
func (w *Worker) Answered(now time.Duration, s *Send, status int, body []byte) Effects {
	w.advance(now)
	w.inflight = false
	switch status {
	case http.StatusOK:
		w.reportAt = w.now + seconds(w.periods.Report*(0.75+0.5*w.rnd.Float64()))
		var a protocol.HeartbeatResponse
		if s.Shift != w.shift || w.clearing || w.now-s.At > patience || protocol.Decode(body, &a) != nil || a.FencingToken == 0 || a.FencingToken < w.baton {
			break // dropped: neither obeyed nor renewing
		}
		w.answered = max(w.answered, s.At)
		w.token(a.FencingToken)
		w.obey(a.Commands)
		w.out.Store = a.DataStore
	case http.StatusMisdirectedRequest:
		var r protocol.Redirect
		_ = protocol.Decode(body, &r)
		to := slices.IndexFunc(w.nodes, func(n Node) bool { return n.Name == r.Controller })
		if to >= 0 && to != w.node {
			w.node = to
			w.reportAt = w.now + time.Duration(w.rnd.Float64()*float64(soonest))
			break
		}
		w.tryNext()
	default:
		w.tryNext()
	}
	return w.take()
}

func (w *Worker) tryNext() {
	w.node = (w.node + 1) % len(w.nodes)
	w.reportAt = w.now + nextNode
}

// token takes a token that is no lower than any before.
func (w *Worker) token(t uint64) {
	if t == w.baton {
		return
	}
	w.baton = t
	w.out.Token = t
	if w.tokenTold == 0 || w.now-w.tokenTold >= w.lease()/2 {
		w.tokenTold = w.now
		w.changed = true
	}
}

// ErrClearing is returned while the tasks of a session that is over are being
// ended: any report would say too much or too little.
var ErrClearing = errors.New("the session has ended; its tasks are being stopped")

// Status answers GET /status.
func (w *Worker) Status(now time.Duration) ([]byte, Effects, error) {
	w.advance(now)
	if w.clearing {
		return nil, w.take(), ErrClearing
	}
	return protocol.Encode(w.current()), w.take(), nil
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
		return status, protocol.Encode(protocol.ErrorResponse{Error: why}), w.take()
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return refuse(http.StatusBadRequest, "the body is malformed: "+err.Error())
	}
	switch {
	case d.Baton == nil:
		return refuse(http.StatusBadRequest, "baton: missing")
	case d.Shift == nil:
		return refuse(http.StatusBadRequest, "shift: missing")
	case w.clearing:
		return refuse(http.StatusServiceUnavailable, ErrClearing.Error())
	case *d.Baton < w.baton || *d.Shift != w.shift:
		return http.StatusConflict, protocol.Encode(w.current()), w.take()
	}
	w.token(*d.Baton)
	w.obey(d.Orders)
	return http.StatusOK, protocol.Encode(w.current()), w.take()
}

// obey executes orders one after the other.
func (w *Worker) obey(orders []protocol.Command) {
	for _, o := range orders {
		id, index, err := job.ParseTaskName(o.Task)
		if err != nil || !protocol.ValidJobID(id) {
			continue
		}
		k := Key{id, index, o.Attempt}
		l := w.loads[k]
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
			delete(w.loads, k)
			w.drop(id)
			w.out.Forget = append(w.out.Forget, k)
			w.changed = true
		}
	}
}

// drop forgets a job's description with its last attempt.
func (w *Worker) drop(id string) {
	for k := range w.loads {
		if k.Job == id {
			return
		}
	}
	delete(w.specs, id)
}

func (w *Worker) launch(k Key, seal string) {
	if (len(w.loads)+1)*lineBytes > maxReport {
		// Guards against a report that no request could carry: refusals are
		// listed too. What is not listed is launched again with a later
		// answer, when others were forgotten.
		return
	}
	l := &load{key: k, since: w.now, seal: seal}
	refuse := ""
	for _, o := range w.loads {
		if o.key.Job == k.Job && o.key.Index == k.Index && o.phase != ended {
			refuse = protocol.CauseBusy
		}
	}
	w.loads[k] = l
	w.changed = true
	if refuse != "" {
		w.over(l, refuse)
		return
	}
	if d := w.specs[k.Job]; d != nil {
		w.describe(l, d)
	} else if !w.asked[k.Job] {
		w.asked[k.Job] = true
		w.out.Describe = append(w.out.Describe, k.Job)
	}
}

// describe goes on with an attempt whose job is known now.
func (w *Worker) describe(l *load, d *protocol.JobDescription) {
	if l.key.Index >= d.Tasks {
		w.over(l, protocol.CauseUnknown)
		return
	}
	used := Room{}
	for _, o := range w.loads {
		if o.desc != nil && o.phase != ended {
			used = Room{used.CPUs + o.desc.CPUs, used.GPUs + o.desc.GPUs, used.RAM + o.desc.MemoryGB}
		}
	}
	const eps = 1e-6 // sums of decimal amounts
	if used.CPUs+d.CPUs > w.room.CPUs+eps || used.GPUs+d.GPUs > w.room.GPUs+eps || used.RAM+d.MemoryGB > w.room.RAM+eps {
		w.over(l, protocol.CauseNoRoom)
		return
	}
	l.desc = d
	l.phase = fetching
	if l.needs = len(d.Inputs) > 0; l.needs {
		w.out.Inputs = append(w.out.Inputs, l.key)
	}
	if w.image[d.Image] {
		w.ready(l)
	} else if !w.pulls[d.Image] {
		w.pulls[d.Image] = true
		if i := slices.Index(w.out.Leave, d.Image); i >= 0 {
			w.out.Leave = slices.Delete(w.out.Leave, i, i+1) // it goes on
			return
		}
		w.out.Fetch = append(w.out.Fetch, d.Image)
	}
}

// Brought takes that an attempt's inputs are all here, whole, or can't be had;
// full says that there is no room for them.
func (w *Worker) Brought(now time.Duration, k Key, err error, full bool) Effects {
	w.advance(now)
	l := w.loads[k]
	if w.clearing || l == nil || l.phase != fetching || !l.needs {
		return w.take()
	}
	l.needs = false
	switch {
	case full:
		w.over(l, protocol.CauseNoRoom)
	case err != nil:
		w.over(l, protocol.CauseError)
	case w.image[l.desc.Image]:
		w.ready(l)
	}
	return w.take()
}

// Stored takes what the reports are to say of the store; told has it said soon.
func (w *Worker) Stored(r *protocol.StoreReport, told bool) {
	w.store = r
	w.changed = w.changed || told
}

// Seal is what came with an attempt's launch for the archive.
func (w *Worker) Seal(k Key) string {
	if l := w.loads[k]; l != nil {
		return l.seal
	}
	return ""
}

// SetUnshipped takes how many attempts that are over have output which is not shipped.
func (w *Worker) SetUnshipped(n int) { w.unshipped = n }

// Live tells whether an attempt is here and not over.
func (w *Worker) Live(k Key) bool {
	l := w.loads[k]
	return l != nil && l.phase != ended && !w.clearing
}

// ready goes on with an attempt whose image is here.
func (w *Worker) ready(l *load) {
	switch {
	case l.needs:
	case l.desc.Complete:
		w.over(l, protocol.CauseDone)
	case w.gang(l):
		w.set(l, waiting)
		l.ask = w.now
	default:
		w.start(l)
	}
}

// Described takes a job's description; a nil one with unknown set when no
// controller knows the job. A nil one without it is asked for again.
func (w *Worker) Described(now time.Duration, id string, d *protocol.JobDescription, unknown bool) Effects {
	w.advance(now)
	delete(w.asked, id)
	if w.clearing {
		return w.take()
	}
	if d != nil {
		w.specs[id] = d
	}
	for _, l := range w.sorted() {
		switch {
		case l.key.Job != id || l.phase != describing:
		case d != nil:
			w.describe(l, d)
		case unknown:
			w.over(l, protocol.CauseUnknown)
		case !w.asked[id]:
			w.asked[id] = true
			w.out.Describe = append(w.out.Describe, id)
		}
	}
	w.drop(id)
	return w.take()
}

// Fetched takes that an image is here, or can't be had.
func (w *Worker) Fetched(now time.Duration, kit string, err error) Effects {
	w.advance(now)
	delete(w.pulls, kit)
	if w.clearing {
		if err == nil {
			w.image[kit] = true
		}
		return w.take()
	}
	if err == nil {
		w.image[kit] = true
	}
	for _, l := range w.sorted() {
		switch {
		case l.phase != fetching || l.desc.Image != kit:
		case err != nil:
			w.over(l, protocol.CauseError)
		default:
			w.ready(l)
		}
	}
	return w.take()
}

// Evicted takes that an image is not here any more.
func (w *Worker) Evicted(kit string) { delete(w.image, kit) }

// Wanted tells whether a task that is not over needs an image.
func (w *Worker) Wanted(kit string) bool {
	for _, l := range w.loads {
		if l.desc != nil && l.desc.Image == kit && l.phase != ended {
			return true
		}
	}
	return false
}

func (w *Worker) kill(l *load, grace float64) {
	switch l.phase {
	case describing, fetching, waiting:
		w.over(l, protocol.CauseStopped)
	case finished:
		// Guards against a gang of which some tasks are done and one was
		// stopped: its program has completed, and the others may have seen so.
		// What becomes of it shows within gang_peer_s.
	case saved:
		if grace == 0 {
			w.over(l, protocol.CauseStopped)
		}
	case saving:
		if grace == 0 {
			w.end(l, protocol.CauseStopped)
		}
	case running:
		l.told = w.now
		if l.desc.CheckpointIntervalS > 0 && grace >= l.desc.CheckpointSaveS && grace > 0 {
			l.until = w.now + seconds(grace)
			w.set(l, saving)
			w.out.Stop = append(w.out.Stop, l.key)
			return
		}
		w.end(l, protocol.CauseStopped)
	}
}

// Exit is how an attempt's program ended.
type Exit struct {
	Code  int  // 0: success
	Saved bool // a checkpoint was completed after it was told to stop
}

// Exited takes that all processes of an attempt are gone.
func (w *Worker) Exited(now time.Duration, k Key, x Exit) Effects {
	w.advance(now)
	l := w.loads[k]
	if w.clearing || l == nil || !l.process() {
		return w.take()
	}
	switch {
	case l.phase == ending:
		w.over(l, l.fate)
	case l.phase == saving && x.Saved && w.gang(l):
		w.set(l, saved)
		l.ask = w.now
	case l.phase == saving:
		l.saved = x.Saved
		w.over(l, protocol.CauseStopped)
	case l.desc.Shape == job.Service || x.Code != 0:
		w.over(l, protocol.CauseError) // replicas have no end of their own
	case w.gang(l):
		w.set(l, finished)
		l.whole, l.ask = w.now, w.now
	default:
		w.over(l, protocol.CauseDone)
	}
	return w.take()
}

// Peers takes what the agents of a gang's other tasks say.
func (w *Worker) Peers(now time.Duration, k Key, states map[int]string) Effects {
	w.now = max(w.now, now)
	if l := w.loads[k]; l != nil && l.phase != ended && !w.clearing {
		l.peers = states
	}
	w.advance(now)
	return w.take()
}

// Gang lists the attempts of a gang on this machine, for the others' agents.
func (w *Worker) Gang(id string, try int) map[int]string {
	out := map[int]string{}
	for k := range w.done {
		if k.Job == id && k.Try == try {
			out[k.Index] = gangDone
		}
	}
	for k, l := range w.loads {
		if k.Job != id || k.Try != try || w.clearing {
			continue
		}
		switch {
		case l.phase != ended:
			out[k.Index] = gangNames[l.phase]
		case l.cause == protocol.CauseDone:
			out[k.Index] = gangDone
		case l.saved:
			out[k.Index] = "ended"
		}
	}
	return out
}

// Recall takes the cloud's notice: the machine is taken at that time.
func (w *Worker) Recall(now, at time.Duration) Effects {
	w.now = max(w.now, now)
	if !w.recalled {
		w.changed = true
	}
	w.recall, w.recalled = at, true
	w.advance(now)
	return w.take()
}

// Cleared takes that nothing of the last session runs any more. The caller has
// made the new session's number durable.
func (w *Worker) Cleared(now time.Duration) Effects {
	w.now = max(w.now, now)
	if w.clearing {
		w.clearing = false
		for _, l := range w.sorted() {
			w.out.Forget = append(w.out.Forget, l.key)
		}
		w.loads, w.specs = map[Key]*load{}, map[string]*protocol.JobDescription{}
		w.asked, w.done = map[string]bool{}, map[Key]time.Duration{}
		w.shift++
		w.began = w.now
		w.changed = true
	}
	w.advance(now)
	return w.take()
}

// Session is the number of the present session.
func (w *Worker) Session() uint64 { return w.shift }

// Description is the job's, nil if no attempt of it is here.
func (w *Worker) Description(id string) *protocol.JobDescription { return w.specs[id] }

// Descriptions lists the jobs of which attempts are here, in no order.
func (w *Worker) Descriptions() []*protocol.JobDescription {
	return slices.Collect(maps.Values(w.specs))
}

// Attempts lists the attempts of a job that are here, in no order.
func (w *Worker) Attempts(id string) (out []Key) {
	for k := range w.loads {
		if k.Job == id {
			out = append(out, k)
		}
	}
	return out
}

// Restarted begins the next session as a restarted agent does: all that ran is gone.
func (w *Worker) Restarted(now time.Duration) Effects {
	w.clearing = true
	return w.Cleared(now)
}

// Count tells how many attempts are here and how many of them are not over.
func (w *Worker) Count() (all, live int) {
	for _, l := range w.loads {
		if l.phase != ended {
			live++
		}
	}
	return len(w.loads), live
}
