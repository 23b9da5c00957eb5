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

// reportViolations fails the test for each rule that was broken on the day, and for what is wrong at its end.
func (s *sim) reportViolations(t *testing.T) {
	t.Helper()
	for _, violation := range s.violations {
		t.Error(violation)
	}
	s.saveRecordings(t)
	// Guards against reasons that alternate in a machine's drain: inc-41e3 spent the state service's whole
	// rate on them. A drain is replaced by those of higher severity only, so once for each severity.
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
		t.Error("nothing ran")
	}
	for _, n := range s.controllers {
		if n.core != nil {
			n.core.checkUsageCounts(t, n.name)
		}
	}
}

// checkUsageCounts compares the usage that is counted for each machine with what is bound
// and reserved there, without tasks that are known to have left.
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
				t.Errorf("%s: %v has left %s, where it is not bound", name, k, id)
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
			t.Errorf("%s: %s counts %v processors and %v accelerators as taken, %+v are", name, id, m.cpus, m.gpus, sum)
		}
	}
}

// checkStart checks the rules that a task's start can break.
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
					s.violation("ran_twice", "%s is on %s", name, worker.name)
				}
			}
			if otherSpec.Team == spec.Team {
				gpus += otherSpec.GPUs
			}
		}
	}
	for _, team := range s.facts.Teams {
		if team.Name == spec.Team && team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6 {
			s.violation("quota", "%s: team %s uses %v", name, team.Name, gpus)
		}
	}
	if !spec.AllowsMachineType(w.machineType) || (w.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != w.zone) ||
		(spec.Spread && zones[w.zone]+1 > spec.SpreadLimit()) || (spec.OneZone && len(zones) > 0 && zones[w.zone] == 0) {
		s.violation("wrong_place", "%s", name)
	}
	if u.cancelledAt > 0 && s.now-u.cancelledAt > seconds(s.facts.Workers.Cancel) {
		s.violation("ran_cancelled", "%s starts", name)
	}
}

// checkCancelledJobs checks that nothing of a job is active cancel_s after its cancellation was confirmed.
func (s *sim) checkCancelledJobs() {
	for _, w := range s.workers {
		for _, task := range w.tasks {
			u := s.users[task.jobID]
			if u != nil && task.isActive() && u.cancelledAt > 0 && s.now-u.cancelledAt > seconds(s.facts.Workers.Cancel) {
				s.violation("ran_cancelled", "%s/%d is on %s", task.jobID, task.index, w.name)
			}
		}
	}
	s.after(500*time.Millisecond, s.checkCancelledJobs)
}

// followCancelled notes how long tasks of cancelled jobs stay active.
func (s *sim) followCancelled() {
	for _, w := range s.workers {
		for _, task := range w.tasks {
			if u := s.users[task.jobID]; u != nil && u.cancelledAt > 0 && task.isActive() {
				u.lastActiveAt = s.now
			}
		}
	}
	s.after(100*time.Millisecond, s.followCancelled)
}

// zoneWait is a task that waits, and a zone in which its job's limits let it start.
type zoneWait struct {
	taskKey
	zone string
}

// checkLaunchOrder checks the launches among a step's effects: work of lower priority must not be launched on a
// machine to which it was bound while a production task that fits there had waited in this controller's queues,
// free to be placed in that zone, for longer than a heartbeat's period. (What was bound before is launched even if
// that is sent late, with the worker's next heartbeat, as after a restart.) It is the order as an outsider sees it,
// whatever decided it: queues, hand-offs, changes that waited for the state service's rate.
func (n *simController) checkLaunchOrder(e Effects) {
	n.updateWaits()
	if len(n.waitingSince) == 0 || n.s.options.unorderedLaunches {
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

// updateWaits notes since when each production task has waited in each zone without a break.
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

// checkLaunches checks the launches that are sent to a machine against what waits.
func (n *simController) checkLaunches(m *machine, commands []protocol.Command) {
	c, s := n.core, n.s
	for _, command := range commands {
		jobID, index, err := job.ParseTaskName(command.Task)
		if err != nil || command.Verb != protocol.VerbLaunch || m == nil || s.users[jobID].spec.Priority == job.Production {
			continue
		}
		s.counts.launchesJudged++
		launched := c.jobs.byID[jobID].spec
		boundAt := n.startedAt + m.boundAt[taskKey{jobID, index}].boundAt
		for wait, since := range n.waitingSince {
			waited := boundAt - since
			if wait.zone != m.claim.Zone || waited <= seconds(s.facts.Workers.Report) {
				continue
			}
			m.addUsage(launched, -1)
			fits := c.fits(c.jobs.byID[wait.job], m) && !c.unschedulable(m)
			m.addUsage(launched, 1)
			if fits {
				s.violation("lesser first", "%s is launched on %s, where %s/%d would fit that had waited for %v", command.Task, m.id, wait.job, wait.index, waited)
			}
		}
	}
}

// countLeaseKills counts tasks that a lease ends although their job goes on and the machine is healthy.
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

// countLateStart counts tasks that begin after their user was told that the job is cancelled. Within cancel_s
// that breaks no rule.
func (s *sim) countLateStart(u *simUser) {
	if u.cancelledAt > 0 {
		s.faultCounts.lateStarts++
	}
}

// countDeletionInUse counts machines that are deleted while tasks run there that were not given up: no controller
// drains the machine as silent, failed, faulty or recalled, and the job is not over.
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

// isOutdated tells whether no controller's records bind the attempt to its machine any more.
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

// countRunning counts the active tasks that are wanted.
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

// idleCapacityWait is since when a job has waited although there was room, without a break.
type idleCapacityWait struct {
	since        time.Duration
	tasksStarted int
}

// maxCapacityWait is how long a job may wait although there is room.
const maxCapacityWait = 90 * time.Second

// watchIdleCapacity checks that no job waits although there is room: a machine would fit it, its team is under its
// limit, and nothing of it has started for maxCapacityWait. A gang needs room for all its tasks.
func (s *sim) watchIdleCapacity() {
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
		if w.up && !w.dead && !drained && !w.faulty && w.unshippedUntil <= s.now && max(w.hungUntil, w.unresponsiveUntil, w.isolatedUntil) <= s.now && w.messageLoss == 0 {
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
			s.violation("waits beside room", "%s (%s of %d, team %s)", id, u.spec.Shape, u.spec.Tasks, u.spec.Team)
			u.capacityWait.since = s.now
		}
	}
	s.after(time.Second, s.watchIdleCapacity)
}

// couldStart tells whether one waiting task of the job would find room, or all of a gang.
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
