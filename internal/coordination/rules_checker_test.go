package coordination

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// reportViolations fails the test for each rule that was broken on the day, and checks the state at its end.
func (s *sim) reportViolations(t *testing.T) {
	t.Helper()
	for _, violation := range s.violations {
		t.Error(violation)
	}
	s.saveRecordings(t)
	// Guards against a drain record whose reason alternates: in inc-41e3 these writes used up the whole rate limit
	// of the state service. A drain is only replaced by one of higher severity, so it is written at most once for
	// each severity.
	severities := map[int]bool{}
	for _, severity := range drainSeverity {
		severities[severity] = true
	}
	for _, key := range sortedKeys(s.state.drainWrites) {
		if writes := s.state.drainWrites[key]; writes > len(severities) {
			t.Errorf("%s was written %d times", key, writes)
		}
	}
	if s.counts.taskStarts == 0 {
		t.Error("no task started")
	}
	for _, n := range s.controllers {
		if n.core != nil {
			n.core.checkUsageCounts(t, n.name)
		}
	}
}

// checkUsageCounts compares the usage that the core counts for each machine with the sum of the tasks bound and the
// reservations made there, without tasks that are known to have left the machine.
func (c *Core) checkUsageCounts(t *testing.T, name string) {
	t.Helper()
	sums := map[string]usage{}
	for id, m := range c.machines.byID {
		for k, r := range m.bound {
			if m.vacated[k] == nil {
				sums[id] = sums[id].plus(r.spec, 1)
			}
		}
		for k := range m.vacated {
			if m.bound[k] == nil {
				t.Errorf("%s: task %v is recorded as having left %s, but it is not bound there", name, k, id)
			}
		}
	}
	for _, r := range c.jobs.byID {
		for _, h := range r.reservations {
			sums[h.machine] = sums[h.machine].plus(r.spec, 1)
		}
	}
	for id, m := range c.machines.byID {
		if sum := sums[id]; math.Abs(sum.CPUs-m.cpus) > 1e-3 || math.Abs(sum.GPUs-m.gpus) > 1e-3 {
			t.Errorf("%s: machine %s counts %v CPUs and %v GPUs as used, but its tasks and reservations add up to %+v", name, id, m.cpus, m.gpus, sum)
		}
	}
}

// checkStart checks the rules that the start of a task can break.
func (s *sim) checkStart(w *simWorker, u *simUser, task *simTask) {
	spec := u.spec
	name := fmt.Sprintf("%s/%d attempt %d on %s", task.jobID, task.index, task.attempt, w.name)
	zones := map[string]int{}
	gpus := spec.GPUs
	for _, worker := range s.workers {
		for _, other := range worker.tasks {
			if !other.isActive() {
				continue
			}
			otherSpec := s.users[other.jobID].spec
			if other.jobID == task.jobID {
				zones[worker.zone]++
				if other.index == task.index {
					s.addViolation("ran_twice", "%s also runs on %s", name, worker.name)
				}
			}
			if otherSpec.Team == spec.Team {
				gpus += otherSpec.GPUs
			}
		}
	}
	for _, team := range s.facts.Teams {
		if team.Name == spec.Team && team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6 {
			s.addViolation("quota", "%s: team %s uses %v GPUs", name, team.Name, gpus)
		}
	}
	if !spec.AllowsMachineType(w.machineType) || (w.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != w.zone) ||
		(spec.Spread && zones[w.zone]+1 > spec.SpreadLimit()) || (spec.OneZone && len(zones) > 0 && zones[w.zone] == 0) {
		s.addViolation("wrong_place", "%s", name)
	}
	if u.cancelledAt > 0 && s.now-u.cancelledAt > seconds(s.facts.Workers.Cancel) {
		s.addViolation("ran_cancelled", "%s starts more than cancel_s after the cancellation of its job", name)
	}
}

// checkCancelledJobs checks, twice a second, that no task of a job is active more than cancel_s after the job's
// cancellation was confirmed.
func (s *sim) checkCancelledJobs() {
	for _, w := range s.workers {
		for _, task := range w.tasks {
			u := s.users[task.jobID]
			if u != nil && task.isActive() && u.cancelledAt > 0 && s.now-u.cancelledAt > seconds(s.facts.Workers.Cancel) {
				s.addViolation("ran_cancelled", "%s/%d still runs on %s", task.jobID, task.index, w.name)
			}
		}
	}
	s.after(500*time.Millisecond, s.checkCancelledJobs)
}

// recordCancelledActivity records until when tasks of cancelled jobs stay active.
func (s *sim) recordCancelledActivity() {
	for _, w := range s.workers {
		for _, task := range w.tasks {
			if u := s.users[task.jobID]; u != nil && u.cancelledAt > 0 && task.isActive() {
				u.lastActiveAt = s.now
			}
		}
	}
	s.after(100*time.Millisecond, s.recordCancelledActivity)
}

// zoneWait identifies a waiting task and a zone in which its job may be placed.
type zoneWait struct {
	taskKey
	zone string
}

// checkLaunchOrder checks the launches among the effects of a step. Work of lower priority must not be launched on a
// machine if, when it was bound there, a production task that fits the machine had waited in this controller's queues
// for longer than a heartbeat period and could be placed in that zone. Work that was bound earlier may be launched,
// even if the launch is sent late, with the worker's next heartbeat, as after a restart. The check sees the order as
// an outside observer does, whatever decided it: queues, handoffs, or changes that waited for the state service's
// rate limit.
func (n *simController) checkLaunchOrder(e Effects) {
	n.updateWaits()
	if len(n.waitingSince) == 0 || n.s.options.skipLaunchOrderCheck {
		return
	}
	for _, call := range e.Calls {
		var direct protocol.DirectCommands
		if call.Path != protocol.PathCommands || json.Unmarshal(call.Body, &direct) != nil {
			continue
		}
		for _, m := range n.core.machines.own {
			if m.claim.Address == call.Address {
				n.checkLaunches(m, direct.Commands)
			}
		}
	}
	for _, response := range e.Responses {
		var answer protocol.HeartbeatResponse
		if worker := n.heartbeatSenders[response.ID]; worker != "" && response.Status == 200 && json.Unmarshal(response.Body, &answer) == nil {
			n.checkLaunches(n.core.machines.byID[worker], answer.Commands)
		}
	}
}

// updateWaits records since when each production task has waited without interruption in each zone.
func (n *simController) updateWaits() {
	c, s := n.core, n.s
	waits := map[zoneWait]time.Duration{}
	for _, r := range c.scheduler.queuedJobs {
		u := s.users[r.spec.ID]
		if u == nil || u.spec.Priority < job.Production {
			continue
		}
		for _, queued := range r.queue {
			if !c.placeable(r, queued.key.index) {
				continue
			}
			for _, zone := range s.facts.Zones {
				if !c.zoneAllowed(r, zone) {
					continue
				}
				wait := zoneWait{queued.key, zone}
				since, known := n.waitingSince[wait]
				if !known {
					since = s.now
				}
				waits[wait] = since
			}
		}
	}
	n.waitingSince = waits
}

// checkLaunches checks the launches that are sent to a machine against the waiting production tasks.
func (n *simController) checkLaunches(m *machine, commands []protocol.Command) {
	c, s := n.core, n.s
	for _, command := range commands {
		jobID, index, err := job.ParseTaskName(command.Task)
		if err != nil || command.Verb != protocol.VerbLaunch || m == nil || s.users[jobID].spec.Priority == job.Production {
			continue
		}
		s.counts.launchesChecked++
		launched := c.jobs.byID[jobID].spec
		boundAt := n.startedAt + m.boundAt[taskKey{jobID, index}].boundAt
		for wait, since := range n.waitingSince {
			waited := boundAt - since
			if wait.zone != m.claim.Zone || waited <= seconds(s.facts.Workers.Heartbeat) {
				continue
			}
			m.addUsage(launched, -1)
			fits := c.fits(c.jobs.byID[wait.job], m) && !c.unschedulable(m)
			m.addUsage(launched, 1)
			if fits {
				s.addViolation("lower priority first", "%s is launched on %s, although %s/%d fits there and had waited for %v",
					command.Task, m.id, wait.job, wait.index, waited)
			}
		}
	}
}

// countLeaseKills counts, on observed workers, the active tasks that lease expiry ends although nobody cancelled their
// job and the machine is healthy.
func (w *simWorker) countLeaseKills() {
	if !w.observed || w.hungUntil > w.s.now-seconds(w.s.facts.Workers.Lease) || w.unresponsiveUntil > w.s.now-seconds(w.s.facts.Workers.Lease) {
		return
	}
	for _, task := range w.tasks {
		if u := w.s.users[task.jobID]; u != nil && task.isActive() && !u.cancelRequested {
			w.s.counts.leaseKills++
		}
	}
}

// countLateStart counts a task that starts after the cancellation of its job was confirmed to the user. Within
// cancel_s of the confirmation this breaks no rule.
func (s *sim) countLateStart(u *simUser) {
	if u.cancelledAt > 0 {
		s.faultCounts.lateStarts++
	}
}

// countDeletionInUse counts the tasks that are on a machine at its deletion and were not given up: the machine is up,
// does not hang and was not drained as silent, failed, faulty or preempted, the job is neither over nor being
// cancelled, and a controller still binds the attempt to the machine.
func (s *sim) countDeletionInUse(w *simWorker) {
	switch s.state.drainReasons[keyDrain+w.name] {
	case "", drainIdle, drainStray, drainLost:
	default:
		return
	}
	if w.dead || !w.up || s.now < w.hungUntil {
		return
	}
	for _, key := range sortedKeys(w.tasks) {
		if u := s.users[w.tasks[key].jobID]; u != nil && w.tasks[key].status != protocol.TaskEnded && u.finalStatus == "" && !u.cancelRequested && !w.isOutdated(w.tasks[key]) {
			s.faultCounts.deletedInUse++
			if s.output.trace != nil {
				fmt.Fprintf(s.output.trace, "%8.3f INUSE %s deleted with %s\n", s.now.Seconds(), w.name, key)
			}
		}
	}
}

// isOutdated reports whether no controller's records still bind the attempt to this machine.
func (w *simWorker) isOutdated(task *simTask) bool {
	for _, n := range w.s.controllers {
		if n.core == nil {
			continue
		}
		if r := n.core.jobs.byID[task.jobID]; r != nil {
			if t := r.task(n.core, task.index); t != nil && t.Phase == job.Bound && t.Machine == w.name && t.Attempt == task.attempt {
				return false
			}
		}
	}
	return true
}

// countRunning returns the number of active tasks for which want is true.
func (s *sim) countRunning(want func(w *simWorker, u *simUser) bool) (n int) {
	for _, w := range s.workers {
		for _, task := range w.tasks {
			if u := s.users[task.jobID]; u != nil && task.isActive() && want(w, u) {
				n++
			}
		}
	}
	return n
}

// idleCapacityWait records since when a job has waited without interruption although there was capacity for it, and
// the number of its task starts at that time.
type idleCapacityWait struct {
	since        time.Duration
	tasksStarted int
}

// maxCapacityWait is how long a job may wait although there is capacity for it.
const maxCapacityWait = 90 * time.Second

// checkIdleCapacity checks every second that no job waits for longer than maxCapacityWait although there is capacity
// for it: a machine has room for one of its tasks, its team is below its limit, and none of its tasks has started in
// that time. A gang needs room for all its tasks.
func (s *sim) checkIdleCapacity() {
	gpusByTeam := map[string]float64{}
	tasksByJob := map[string]map[int]bool{}
	zonesByJob := map[string]map[string]int{}
	for _, w := range s.workers {
		for _, task := range w.tasks {
			u := s.users[task.jobID]
			if u == nil || task.status == protocol.TaskEnded {
				continue
			}
			gpusByTeam[u.spec.Team] += u.spec.GPUs
			if tasksByJob[task.jobID] == nil {
				tasksByJob[task.jobID], zonesByJob[task.jobID] = map[int]bool{}, map[string]int{}
			}
			tasksByJob[task.jobID][task.index] = true
			zonesByJob[task.jobID][w.zone]++
		}
	}
	var usable []*simWorker
	for _, w := range s.cloud.sortedMachines() {
		_, drained := s.state.keys[keyDrain+w.name]
		if w.up && !w.dead && !drained && !w.faulty && w.output.unshippedUntil <= s.now && max(w.hungUntil, w.unresponsiveUntil, w.isolatedUntil) <= s.now && w.messageLoss == 0 {
			usable = append(usable, w)
		}
	}
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		started := u.tasksStarted + u.restarts
		if u.capacityWait.since == 0 || !u.accepted || u.cancelRequested || u.failsEverywhere || u.failures > 0 || u.finalStatus != "" || started != u.capacityWait.tasksStarted || !u.couldStart(usable, tasksByJob[id], zonesByJob[id], gpusByTeam[u.spec.Team]) {
			u.capacityWait = idleCapacityWait{s.now, started}
			continue
		}
		if s.now-u.capacityWait.since > maxCapacityWait {
			s.addViolation("waits despite capacity", "%s (%s of %d tasks, team %s)", id, u.spec.Shape, u.spec.Tasks, u.spec.Team)
			u.capacityWait.since = s.now
		}
	}
	s.after(time.Second, s.checkIdleCapacity)
}

// couldStart reports whether the usable machines have room for one waiting task of the job, or for all tasks of a
// gang, within the team's limit.
func (u *simUser) couldStart(usable []*simWorker, placed map[int]bool, zones map[string]int, gpusOfTeam float64) bool {
	s, spec := u.s, u.spec
	needed := 0
	for i := range u.done {
		if !u.done[i] && !placed[i] {
			needed++
		}
	}
	if needed == 0 || spec.Shape == job.Gang && len(placed) > 0 {
		return false
	}
	if spec.Shape != job.Gang {
		needed = 1
	}
	for _, limit := range s.facts.Teams {
		if limit.Name == spec.Team && limit.GPUsMax > 0 && gpusOfTeam+float64(needed)*spec.GPUs > limit.GPUsMax+1e-6 {
			return false
		}
	}
	for _, zone := range s.facts.Zones {
		found, spread := 0, map[string]int{}
		for _, w := range usable {
			if !spec.AllowsMachineType(w.machineType) || w.spot && !spec.Spot || spec.Zone != "" && spec.Zone != w.zone || spec.OneZone && (w.zone != zone || len(zones) > 0 && zones[w.zone] == 0) {
				continue
			}
			limit := s.cloud.machineTypes[w.machineType]
			gpus, cpus := limit.GPUs, limit.CPUs
			for _, task := range w.tasks {
				if other := s.users[task.jobID]; other != nil && task.status != protocol.TaskEnded {
					gpus, cpus = gpus-other.spec.GPUs, cpus-other.spec.CPUs
				}
			}
			for ; found < needed && spec.GPUs <= gpus && spec.CPUs <= cpus && (!spec.Spread || zones[w.zone]+spread[w.zone] < spec.SpreadLimit()); found++ {
				gpus, cpus = gpus-spec.GPUs, cpus-spec.CPUs
				spread[w.zone]++
			}
		}
		if found >= needed {
			return true
		}
	}
	return false
}
