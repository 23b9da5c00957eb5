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

type simTask struct {
	jobID      string
	index      int
	attempt    int
	status     string
	cause      string
	generation int
}

func (l *simTask) isActive() bool {
	return l.status == protocol.TaskRunning || l.status == protocol.TaskWaiting || l.status == protocol.TaskCheckpointing
}

// simWorker is a rented machine with its agent.
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
	preempted      bool // taken by the cloud, without notice
	agentEpoch     uint64
	epochStartedAt time.Duration
	sequence       uint64        // of its heartbeats
	fencingToken   uint64        // highest seen
	lastAnsweredAt time.Duration // sending time of the last answered heartbeat
	controller     int           // index of the one that it reports to
	tasks          map[string]*simTask
	dataSetCopies  map[string]bool // complete, or (false) being fetched
}

func (w *simWorker) die() {
	w.dead = true
	w.up = false
	for _, l := range w.tasks {
		l.status, l.generation = protocol.TaskEnded, l.generation+1
	}
	w.tasks = map[string]*simTask{}
}

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

func (w *simWorker) watchLease() {
	if w.dead {
		return
	}
	over := max(w.lastAnsweredAt, w.epochStartedAt) + seconds(w.s.facts.Workers.Lease)
	if w.s.now > over {
		w.judgeLoss()
		w.countLeaseKills()
		if len(w.tasks) > 0 {
			w.s.faultCounts.expiredLeases++
		}
		if !w.s.defects.ignoreLeaseExpiry {
			for _, l := range w.tasks {
				l.status, l.generation = protocol.TaskEnded, l.generation+1
			}
			w.tasks = map[string]*simTask{}
		}
		w.agentEpoch++
		w.epochStartedAt = w.s.now
		over = w.epochStartedAt + seconds(w.s.facts.Workers.Lease)
	}
	w.s.after(over-w.s.now+time.Millisecond, w.watchLease)
}

func (w *simWorker) heartbeat() protocol.Heartbeat {
	w.sequence++
	r := protocol.Heartbeat{Worker: w.name, Address: w.address, MachineType: w.machineType, Zone: w.reportedZone(), Spot: w.spot, AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken, Tasks: []protocol.TaskStatus{}}
	if w.unshippedUntil > w.s.now {
		r.Unshipped = 1
	}
	if w.s.defects.emptyTaskLists {
		return r
	}
	var names []string
	for n := range w.tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		l := w.tasks[n]
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: l.jobID + "/" + strconv.Itoa(l.index), Attempt: l.attempt, Status: l.status, Cause: l.cause})
	}
	if w.s.options.dataSets != nil {
		r.DataStore = &protocol.StoreReport{Listed: w.s.random.IntN(2) == 0} // lists are seldom whole in time
		var held []dataset.ID
		for _, id := range sortedKeys(w.dataSetCopies) {
			if w.dataSetCopies[id] {
				held = append(held, dataset.ID(id))
				if r.DataStore.Listed {
					r.DataStore.Copies = append(r.DataStore.Copies, id)
				}
			}
		}
		r.DataStore.Digest = datastore.DigestOf(held)
	}
	return r
}

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
		w.controller = (w.controller + 1) % len(s.controllers)
		s.faultCounts.unsentHeartbeats++
		s.after(time.Second, w.sendHeartbeat)
		return
	}
	reply := w.heartbeat()
	shift, sent := w.agentEpoch, s.now
	n := s.controllers[w.controller]
	link := "workers"
	if n.unreachableUntil["zone:"+w.zone] > s.now {
		link = "zone:" + w.zone
	}
	if s.faults.duplicateHeartbeats > 0 && s.random.Float64() < s.faults.duplicateHeartbeats {
		s.after(s.randomMillis(2000, 1300*s.facts.Workers.Lease), func() { n.deliver("POST", protocol.PathHeartbeat, encode(reply), func(int, []byte) {}) })
	}
	s.keepHeartbeatCopy(w, reply)
	ask := func(done func(int, []byte)) { n.request(link, "POST", protocol.PathHeartbeat, encode(reply), done) }
	if s.holdBackHeartbeat(w, reply) {
		ask = func(done func(int, []byte)) { s.after(4*time.Second, func() { done(0, nil) }) }
	}
	ask(func(st int, body []byte) {
		if s.output.trace != nil {
			fmt.Fprintf(s.output.trace, "%8.3f CHECKIN stoker=%s node=%s shift=%d tally=%d baton=%d sent=%.3f status=%d %s\n", s.now.Seconds(), w.name, n.name, shift, reply.Sequence, reply.FencingToken, sent.Seconds(), st, body)
		}
		if w.dead {
			return
		}
		next := seconds(s.facts.Workers.Report * (0.75 + 0.5*s.random.Float64()))
		switch {
		case w.missesMessage(): // no answer has come
			w.controller = (w.controller + 1) % len(s.controllers)
			next = max(0, sent+4*time.Second-s.now) + time.Second
		case st == 200:
			var a protocol.HeartbeatResponse
			_ = json.Unmarshal(body, &a)
			// A hung machine takes nothing in, and drops what is over 4 s old.
			if s.now >= w.hungUntil && a.FencingToken >= w.fencingToken && a.FencingToken > 0 && shift == w.agentEpoch && s.now-sent <= 4*time.Second {
				if a.FencingToken > w.fencingToken {
					next = 500 * time.Millisecond
				}
				w.fencingToken, w.lastAnsweredAt = a.FencingToken, sent
				if a.DataStore != nil {
					for _, f := range a.DataStore.Fetch {
						w.fetchCopy(f.CopyID())
					}
				}
				w.execute(a.Commands)
			}
		case st == 421:
			var r protocol.Redirect
			_ = json.Unmarshal(body, &r)
			w.controller = (w.controller + 1) % len(s.controllers)
			for i, o := range s.controllers {
				if o.name == r.Controller {
					w.controller = i
				}
			}
			next = s.randomMillis(0, 500)
		default:
			w.controller = (w.controller + 1) % len(s.controllers)
			next = time.Second
		}
		s.after(next, w.sendHeartbeat)
	})
}

// misses tells whether what is said to the worker now is lost.
func (w *simWorker) missesMessage() bool {
	return w.unresponsiveUntil > w.s.now || w.messageLoss > 0 && w.s.random.Float64() < w.messageLoss
}

func (w *simWorker) serveDirect(k protocol.Call, reply func(int, []byte)) {
	s := w.s
	if w.dead || !w.up || w.missesMessage() {
		return
	}
	if s.now < w.hungUntil { // taken in when the machine goes on
		s.faultCounts.delayedCommands++
		s.after(w.hungUntil-s.now+time.Millisecond, func() { w.serveDirect(k, reply) })
		return
	}
	if w.isolatedUntil > s.now {
		s.faultCounts.directWhileIsolated++
	}
	if k.Path == protocol.PathStatus {
		reply(200, encode(w.heartbeat()))
		return
	}
	var d protocol.DirectCommands
	_ = json.Unmarshal(k.Body, &d)
	if d.FencingToken < w.fencingToken || d.AgentEpoch != w.agentEpoch {
		reply(409, encode(w.heartbeat()))
		return
	}
	w.fencingToken = d.FencingToken
	w.execute(d.Commands)
	reply(200, encode(w.heartbeat()))
}

func (w *simWorker) execute(orders []protocol.Command) {
	s := w.s
	for _, o := range orders {
		key := o.Task + "#" + strconv.Itoa(o.Attempt)
		id, index, err := job.ParseTaskName(o.Task)
		if err != nil {
			continue
		}
		switch o.Verb {
		case protocol.VerbLaunch:
			if s.hooks.onLaunch != nil {
				s.hooks.onLaunch(w, o)
			}
			if w.tasks[key] != nil {
				continue
			}
			l := &simTask{jobID: id, index: index, attempt: o.Attempt, status: protocol.TaskPulling}
			u := s.users[id]
			if u == nil {
				l.status, l.cause = protocol.TaskEnded, protocol.CauseUnknown
				w.tasks[key] = l
				continue
			}
			if w.runsTask(id, index) {
				l.status, l.cause = protocol.TaskEnded, protocol.CauseBusy
				w.tasks[key] = l
				continue
			}
			if !w.hasRoom(u.spec) {
				l.status, l.cause = protocol.TaskEnded, protocol.CauseNoRoom
				w.tasks[key] = l
				continue
			}
			w.tasks[key] = l
			if u.dataSetCopy != "" && w.dataSetCopies[u.dataSetCopy] {
				s.counts.warmStarts++
			} else if u.dataSetCopy != "" {
				s.counts.coldStarts++
			}
			gen := l.generation
			s.after(s.randomMillis(200, 4000), func() { w.beginTask(u, l, gen) })
		case protocol.VerbKill:
			if s.hooks.onKill != nil {
				s.hooks.onKill(w, o)
			}
			if l := w.tasks[key]; l != nil && !s.defects.ignoreKills && l.status != protocol.TaskEnded {
				l.status, l.cause, l.generation = protocol.TaskEnded, protocol.CauseStopped, l.generation+1
			}
		case protocol.VerbForget:
			if l := w.tasks[key]; l != nil && l.status == protocol.TaskEnded {
				delete(w.tasks, key)
			}
		}
	}
}

// fetch brings a copy, which takes a while; some are lost on the way.
func (w *simWorker) fetchCopy(id string) {
	if _, under := w.dataSetCopies[id]; under {
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

func (w *simWorker) runsTask(id string, index int) bool {
	for _, l := range w.tasks {
		if l.jobID == id && l.index == index && l.status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

func (w *simWorker) runsJob(id string) bool {
	for _, l := range w.tasks {
		if l.jobID == id && l.status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

func (w *simWorker) hasRoom(sp *job.Spec) bool {
	t := w.s.cloud.machineTypes[w.machineType]
	g, c := sp.GPUs, sp.CPUs
	for _, l := range w.tasks {
		if l.status != protocol.TaskEnded {
			g, c = g+w.s.users[l.jobID].spec.GPUs, c+w.s.users[l.jobID].spec.CPUs
		}
	}
	return g <= t.GPUs && c <= t.CPUs
}

// begin is the moment from which a task is on its machine.
func (w *simWorker) beginTask(u *simUser, l *simTask, gen int) {
	s := w.s
	if w.dead || l.generation != gen || l.status != protocol.TaskPulling {
		return
	}
	if s.now < w.hungUntil {
		s.after(w.hungUntil-s.now+time.Millisecond, func() { w.beginTask(u, l, gen) })
		return
	}
	if u.dataSetCopy != "" && !w.dataSetCopies[u.dataSetCopy] { // it reads nothing that is not whole
		w.fetchCopy(u.dataSetCopy)
		s.after(time.Second, func() { w.beginTask(u, l, gen) })
		return
	}
	s.counts.taskStarts++
	if s.output.trace != nil {
		fmt.Fprintf(s.output.trace, "%8.3f START load=%s/%d try=%d stoker=%s shift=%d baton=%d\n", s.now.Seconds(), l.jobID, l.index, l.attempt, w.name, w.agentEpoch, w.fencingToken)
	}
	s.checkStart(w, u, l)
	s.countLateStart(u)
	u.start(l.index, w)
	l.status = protocol.TaskRunning
	if u.done[l.index] {
		l.status, l.cause = protocol.TaskEnded, protocol.CauseDone
		return
	}
	if w.faulty || u.failsEverywhere {
		u.failures++
		l.status, l.cause = protocol.TaskEnded, protocol.CauseError
		return
	}
	if u.spec.Shape == job.Service {
		return
	}
	s.after(seconds(u.runtimeS+u.runtimeStepS*float64(l.index)), func() { w.finishTask(u, l, l.generation) })
}

func (w *simWorker) finishTask(u *simUser, l *simTask, gen int) {
	if w.dead || l.generation != gen || l.status != protocol.TaskRunning {
		return
	}
	if w.s.now < w.hungUntil {
		w.s.after(w.hungUntil-w.s.now+time.Millisecond, func() { w.finishTask(u, l, gen) })
		return
	}
	l.status, l.cause = protocol.TaskEnded, protocol.CauseDone
	if u.spec.Shape == job.Gang { // the tasks of a gang complete together
		for i := range u.done {
			u.done[i] = true
		}
	}
	u.done[l.index] = true
	u.taskEnded()
}

// tellsZone is the zone that a worker reports.
func (w *simWorker) reportedZone() string {
	if !w.s.defects.wrongZones || len(w.name) == 0 || w.name[len(w.name)-1]%3 > 0 {
		return w.zone
	}
	return map[string]string{"a": "b", "b": "a", "c": "a"}[w.zone]
}
