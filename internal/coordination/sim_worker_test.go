package coordination

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"time"

	"silvergate/internal/dataset"
	"silvergate/internal/datastore"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// simTask is one attempt of a task on a worker.
type simTask struct {
	jobID      string
	index      int
	attempt    int
	status     protocol.TaskState
	cause      string
	generation int // incremented when the task is ended from outside, which voids its scheduled events
}

// isActive reports whether the task has begun and has not ended.
func (task *simTask) isActive() bool {
	return task.status == protocol.TaskRunning || task.status == protocol.TaskWaiting || task.status == protocol.TaskCheckpointing
}

// simWorker is a rented machine and the agent on it.
type simWorker struct {
	workerFaults
	s              *sim
	name           string
	address        string
	machineType    string
	zone           string
	spot           bool
	rentedAt       time.Duration
	up             bool
	dead           bool
	failed         bool // the cloud lists it as failed
	preempted      bool // taken back by the cloud without notice
	agentEpoch     uint64
	epochStartedAt time.Duration
	sequence       uint64        // of the last heartbeat
	fencingToken   uint64        // highest seen
	tokenChangedAt time.Duration // when a higher token last caused an early heartbeat; 0: never
	lastAnsweredAt time.Duration // when the last answered heartbeat was sent
	controller     int           // index of the controller that it sends heartbeats to
	tasks          map[string]*simTask
	dataSetCopies  map[string]bool // by copy ID: true if complete, false while being fetched
	output         simWorkerOutput
}

// die ends the machine and all tasks on it.
func (w *simWorker) die() {
	w.dead = true
	w.up = false
	w.endTasks()
}

// endTasks ends all tasks on the machine, and the worker knows them no more.
func (w *simWorker) endTasks() {
	for _, task := range w.tasks {
		w.attemptEnds(task)
		task.status, task.generation = protocol.TaskEnded, task.generation+1
	}
	w.tasks = map[string]*simTask{}
}

// beginEpoch begins the next agent epoch.
func (w *simWorker) beginEpoch() {
	w.agentEpoch++
	w.epochStartedAt = w.s.now
}

// boot starts the agent.
func (w *simWorker) boot() {
	if w.dead {
		return
	}
	w.up, w.agentEpoch, w.epochStartedAt, w.lastAnsweredAt = true, 1, w.s.now, w.s.now
	w.s.countEarlyBoot(w)
	w.controller = w.s.random.IntN(len(w.s.controllers))
	w.sendHeartbeat()
	w.watchLease()
}

// watchLease ends all tasks and begins a new agent epoch when no heartbeat sent within the last lease period was
// answered.
func (w *simWorker) watchLease() {
	if w.dead {
		return
	}
	expiresAt := max(w.lastAnsweredAt, w.epochStartedAt) + seconds(w.s.facts.Workers.Lease)
	if w.s.now > expiresAt {
		w.countLeaseLosses()
		w.countLeaseKills()
		if len(w.tasks) > 0 {
			w.s.faultCounts.expiredLeases++
		}
		if !w.s.defects.ignoreLeaseExpiry {
			w.endTasks()
		}
		w.beginEpoch()
		expiresAt = w.epochStartedAt + seconds(w.s.facts.Workers.Lease)
	}
	w.s.after(expiresAt-w.s.now+time.Millisecond, w.watchLease)
}

// heartbeat returns the worker's next heartbeat.
func (w *simWorker) heartbeat() protocol.Heartbeat {
	w.sequence++
	heartbeat := protocol.Heartbeat{Worker: w.name, Address: w.address, MachineType: w.machineType, Zone: w.reportedZone(), Spot: w.spot, AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken, Tasks: []protocol.TaskStatus{}}
	w.reportOutput(&heartbeat)
	if w.output.takenBackAt > 0 {
		left := max(0, (w.output.takenBackAt - w.s.now).Seconds())
		heartbeat.PreemptionNoticeS = &left
	}
	if w.s.defects.emptyTaskLists {
		return heartbeat
	}
	var names []string
	for name := range w.tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		task := w.tasks[name]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: task.jobID + "/" + strconv.Itoa(task.index), Attempt: task.attempt, Status: task.status, Cause: task.cause})
	}
	if w.s.options.dataSets != nil {
		heartbeat.DataStore = &protocol.StoreReport{Listed: w.s.random.IntN(2) == 0} // only some reports list all copies
		var held []dataset.ID
		for _, id := range sortedKeys(w.dataSetCopies) {
			if w.dataSetCopies[id] {
				held = append(held, dataset.ID(id))
				if heartbeat.DataStore.Listed {
					heartbeat.DataStore.Copies = append(heartbeat.DataStore.Copies, id)
				}
			}
		}
		heartbeat.DataStore.Digest = datastore.DigestOf(held)
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat and handles its answer. The next heartbeat is scheduled after the answer, or after
// the wait for an answer has timed out.
func (w *simWorker) sendHeartbeat() {
	s := w.s
	if w.dead {
		return
	}
	if s.now < w.hungUntil {
		s.after(w.hungUntil-s.now, w.sendHeartbeat)
		return
	}
	if s.now < w.isolatedUntil {
		w.nextController()
		s.faultCounts.unsentHeartbeats++
		s.after(time.Second, w.sendHeartbeat)
		return
	}
	heartbeat := w.heartbeat()
	sent := s.now
	n := s.controllers[w.controller]
	link := "workers"
	if n.unreachableUntil["zone:"+w.zone] > s.now {
		link = "zone:" + w.zone
	}
	if s.faults.duplicateHeartbeats > 0 && s.random.Float64() < s.faults.duplicateHeartbeats {
		s.after(s.randomMillis(2000, 1300*s.facts.Workers.Lease), func() {
			n.deliver("POST", protocol.PathHeartbeat, encode(heartbeat), func(int, []byte) {})
		})
	}
	s.storeHeartbeatCopy(w, heartbeat)
	answered := func(status int, body []byte) {
		w.traceHeartbeat(n, heartbeat, sent, status, body)
		if !w.dead {
			s.after(w.heartbeatAnswered(heartbeat, sent, status, body), w.sendHeartbeat)
		}
	}
	if s.holdBackHeartbeat(w, heartbeat) {
		s.after(4*time.Second, func() { answered(0, nil) })
		return
	}
	n.request(link, "POST", protocol.PathHeartbeat, encode(heartbeat), answered)
}

// traceHeartbeat writes an answered or timed-out heartbeat to the trace.
func (w *simWorker) traceHeartbeat(n *simController, heartbeat protocol.Heartbeat, sent time.Duration, status int, body []byte) {
	if trace := w.s.output.trace; trace != nil {
		fmt.Fprintf(trace, "%8.3f HEARTBEAT worker=%s controller=%s epoch=%d sequence=%d token=%d sent=%.3f status=%d %s\n",
			w.s.now.Seconds(), w.name, n.name, heartbeat.AgentEpoch, heartbeat.Sequence, heartbeat.FencingToken, sent.Seconds(), status, body)
	}
}

// heartbeatAnswered handles the answer to a heartbeat, with status 0 if there is none, and returns the delay until
// the next heartbeat.
func (w *simWorker) heartbeatAnswered(heartbeat protocol.Heartbeat, sent time.Duration, status int, body []byte) time.Duration {
	s := w.s
	next := seconds(s.facts.Workers.Heartbeat * (0.75 + 0.5*s.random.Float64()))
	switch {
	case w.missesMessage(): // as if no answer had come
		w.nextController()
		return max(0, sent+4*time.Second-s.now) + time.Second
	case status == 200:
		var response protocol.HeartbeatResponse
		_ = json.Unmarshal(body, &response)
		if w.applyResponse(response, heartbeat.AgentEpoch, sent) {
			return 500 * time.Millisecond
		}
		return next
	case status == 421:
		var redirect protocol.Redirect
		_ = json.Unmarshal(body, &redirect)
		w.nextController()
		for i, n := range s.controllers {
			if n.name == redirect.Controller {
				w.controller = i
			}
		}
		return s.randomMillis(0, 500)
	default:
		w.nextController()
		return time.Second
	}
}

// nextController switches the worker to the next controller.
func (w *simWorker) nextController() {
	w.controller = (w.controller + 1) % len(w.s.controllers)
}

// applyResponse carries out a heartbeat response unless it is outdated, and reports whether the response raised the
// fencing token so that the worker sends its next heartbeat early, which it does at most once per half of its lease. A
// hung machine ignores responses, and after it resumes it drops those to heartbeats that were sent over 4 s ago.
func (w *simWorker) applyResponse(response protocol.HeartbeatResponse, epoch uint64, sent time.Duration) bool {
	now := w.s.now
	if now < w.hungUntil || response.FencingToken < w.fencingToken || response.FencingToken == 0 || epoch != w.agentEpoch || now-sent > 4*time.Second {
		return false
	}
	newToken := response.FencingToken > w.fencingToken
	w.fencingToken, w.lastAnsweredAt = response.FencingToken, sent
	if response.DataStore != nil {
		for _, fetch := range response.DataStore.Fetch {
			w.fetchCopy(fetch.CopyID())
		}
	}
	w.execute(response.Commands)
	if !newToken || w.tokenChangedAt > 0 && now-w.tokenChangedAt < w.s.leaseMultiple(0.5) {
		return false
	}
	w.tokenChangedAt = now
	return true
}

// missesMessage reports whether a message that reaches the worker now is lost.
func (w *simWorker) missesMessage() bool {
	return w.unresponsiveUntil > w.s.now || w.messageLoss > 0 && w.s.random.Float64() < w.messageLoss
}

// serveDirect handles a direct request from a controller: a status query or commands.
func (w *simWorker) serveDirect(call protocol.Call, reply func(int, []byte)) {
	s := w.s
	if w.dead || !w.up || w.missesMessage() {
		return
	}
	if s.now < w.hungUntil { // handled when the machine resumes
		s.faultCounts.delayedCommands++
		s.after(w.hungUntil-s.now+time.Millisecond, func() { w.serveDirect(call, reply) })
		return
	}
	if w.isolatedUntil > s.now {
		s.faultCounts.directWhileIsolated++
	}
	if call.Path == protocol.PathStatus {
		reply(200, encode(w.heartbeat()))
		return
	}
	var direct protocol.DirectCommands
	_ = json.Unmarshal(call.Body, &direct)
	if !w.accepts(direct) {
		reply(409, encode(w.heartbeat()))
		return
	}
	w.fencingToken = direct.FencingToken
	w.execute(direct.Commands)
	reply(200, encode(w.heartbeat()))
	s.copyCommands(w, direct)
}

// accepts reports whether direct commands name the agent epoch, and no lower token than the highest that was seen.
func (w *simWorker) accepts(direct protocol.DirectCommands) bool {
	return direct.FencingToken >= w.fencingToken && direct.AgentEpoch == w.agentEpoch
}

// simTaskKey returns the key in simWorker.tasks of the attempt that a command names.
func simTaskKey(command protocol.Command) string {
	return command.Task + "#" + strconv.Itoa(command.Attempt)
}

// restart ends the agent and all its tasks; it is back at once, in its next agent epoch.
func (w *simWorker) restart() {
	w.endTasks()
	w.beginEpoch()
}

// execute carries out commands in order.
func (w *simWorker) execute(commands []protocol.Command) {
	for _, command := range commands {
		key := simTaskKey(command)
		jobID, index, err := job.ParseTaskName(command.Task)
		if err != nil {
			continue
		}
		task := w.tasks[key]
		switch command.Verb {
		case protocol.VerbLaunch:
			if w.s.hooks.onLaunch != nil {
				w.s.hooks.onLaunch(w, command)
			}
			if task == nil {
				w.launch(key, &simTask{jobID: jobID, index: index, attempt: command.Attempt, status: protocol.TaskPulling})
			}
		case protocol.VerbKill:
			if w.s.hooks.onKill != nil {
				w.s.hooks.onKill(w, command)
			}
			if task != nil && !w.s.defects.ignoreKills && task.status != protocol.TaskEnded {
				w.attemptEnds(task)
				task.status, task.cause, task.generation = protocol.TaskEnded, protocol.CauseStopped, task.generation+1
			}
		case protocol.VerbForget:
			if task != nil && task.status == protocol.TaskEnded {
				delete(w.tasks, key)
			}
		}
	}
}

// launch adds a task, which begins some seconds later. A task that can't run on this worker ends at once, and its
// cause says why.
func (w *simWorker) launch(key string, task *simTask) {
	s := w.s
	u := s.users[task.jobID]
	switch {
	case u == nil:
		task.status, task.cause = protocol.TaskEnded, protocol.CauseUnknown
	case w.runsTask(task.jobID, task.index):
		task.status, task.cause = protocol.TaskEnded, protocol.CauseBusy
	case !w.hasRoom(u.spec):
		task.status, task.cause = protocol.TaskEnded, protocol.CauseNoRoom
	}
	w.tasks[key] = task
	if task.status == protocol.TaskEnded {
		return
	}
	if u.dataSetCopy != "" && w.dataSetCopies[u.dataSetCopy] {
		s.counts.warmStarts++
	} else if u.dataSetCopy != "" {
		s.counts.coldStarts++
	}
	generation := task.generation
	s.after(s.randomMillis(200, 4000), func() { w.beginTask(u, task, generation) })
}

// fetchCopy fetches a copy of a data set, which takes several seconds. Some fetches fail.
func (w *simWorker) fetchCopy(id string) {
	if _, known := w.dataSetCopies[id]; known {
		return
	}
	if w.dataSetCopies == nil {
		w.dataSetCopies = map[string]bool{}
	}
	w.dataSetCopies[id] = false
	w.s.after(w.s.randomMillis(4000, 12_000), func() {
		if w.s.random.IntN(10) == 0 {
			delete(w.dataSetCopies, id)
		} else {
			w.dataSetCopies[id] = true
		}
	})
}

// runsTask reports whether an attempt of the task is on this worker and has not ended.
func (w *simWorker) runsTask(id string, index int) bool {
	for _, task := range w.tasks {
		if task.jobID == id && task.index == index && task.status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

// runsJob reports whether a task of the job is on this worker and has not ended.
func (w *simWorker) runsJob(id string) bool {
	for _, task := range w.tasks {
		if task.jobID == id && task.status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

// hasRoom reports whether one more task of the job fits on the machine.
func (w *simWorker) hasRoom(spec *job.Spec) bool {
	machine := w.s.cloud.machineTypes[w.machineType]
	gpus, cpus := spec.GPUs, spec.CPUs
	for _, task := range w.tasks {
		if task.status != protocol.TaskEnded {
			gpus, cpus = gpus+w.s.users[task.jobID].spec.GPUs, cpus+w.s.users[task.jobID].spec.CPUs
		}
	}
	return gpus <= machine.GPUs && cpus <= machine.CPUs
}

// beginTask starts a task after its image was pulled, once its input is complete: from now on the task runs on the
// machine.
func (w *simWorker) beginTask(u *simUser, task *simTask, generation int) {
	s := w.s
	if w.dead || task.generation != generation || task.status != protocol.TaskPulling {
		return
	}
	if s.now < w.hungUntil {
		s.after(w.hungUntil-s.now+time.Millisecond, func() { w.beginTask(u, task, generation) })
		return
	}
	if u.dataSetCopy != "" && !w.dataSetCopies[u.dataSetCopy] { // tasks read complete copies only
		w.fetchCopy(u.dataSetCopy)
		s.after(time.Second, func() { w.beginTask(u, task, generation) })
		return
	}
	s.counts.taskStarts++
	if s.output.trace != nil {
		fmt.Fprintf(s.output.trace, "%8.3f START task=%s/%d attempt=%d worker=%s epoch=%d token=%d\n", s.now.Seconds(), task.jobID, task.index, task.attempt, w.name, w.agentEpoch, w.fencingToken)
	}
	s.checkStart(w, u, task)
	s.countLateStart(u)
	u.recordStart(task.index, w)
	task.status = protocol.TaskRunning
	if u.done[task.index] {
		task.status, task.cause = protocol.TaskEnded, protocol.CauseDone
		return
	}
	if w.faulty || u.failsEverywhere {
		u.failures++
		w.endTask(task, protocol.CauseError)
		return
	}
	if u.spec.Shape == job.Service {
		return
	}
	if s.waitsForGang(u.spec) {
		w.joinGang(u, task)
		return
	}
	s.after(seconds(u.runtimeS+u.runtimeStepS*float64(task.index)), func() { w.finishTask(u, task, task.generation) })
}

// endTask ends a task by itself.
func (w *simWorker) endTask(task *simTask, cause string) {
	w.attemptEnds(task)
	task.status, task.cause = protocol.TaskEnded, cause
}

// finishTask completes a task.
func (w *simWorker) finishTask(u *simUser, task *simTask, generation int) {
	if w.dead || task.generation != generation || task.status != protocol.TaskRunning {
		return
	}
	if w.s.now < w.hungUntil {
		w.s.after(w.hungUntil-w.s.now+time.Millisecond, func() { w.finishTask(u, task, generation) })
		return
	}
	w.endTask(task, protocol.CauseDone)
	if u.spec.Shape == job.Gang {
		u.completeAll()
	}
	u.done[task.index] = true
	u.taskEnded()
}

// reportedZone returns the zone that the worker reports, which the wrongZones defect makes wrong for some workers.
func (w *simWorker) reportedZone() string {
	if !w.s.defects.wrongZones || len(w.name) == 0 || w.name[len(w.name)-1]%3 > 0 {
		return w.zone
	}
	return map[string]string{"a": "b", "b": "a", "c": "a"}[w.zone]
}
