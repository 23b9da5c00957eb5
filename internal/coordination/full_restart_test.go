package coordination

import (
	"testing"
	"time"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// This file tests the restart after all controllers went down, in a deployment of some hundred machines: whether its cost
// is within bounds, and whether commands are sent that should not be.

// restartCounts are the counts of such a restart.
type restartCounts struct {
	machines          int              // machines that were up
	tasks             int              // tasks active on them when the first controller was back
	claims            uint64           // claims written by the new incarnations
	revisions         uint64           // revisions of the state service during the restart
	throttled         int              // requests above the state service's limits
	duplicateLaunches int              // launches of attempts that the worker already had
	launchesAfterEnd  int              // launches for jobs whose users had been told that they had ended
	restarts          int              // restarts of tasks that ran on a machine that still existed
	kills             int              // kills of attempts that the records bind to that machine in that agent epoch
	answered          [3]time.Duration // time until each of answeredShares of the workers was answered by any controller
}

// answeredShares are shares of the workers, in percent. answeredWithin are the times within which these shares must be
// answered, in leases.
var (
	answeredShares = [3]int{50, 90, 99}
	answeredWithin = [3]float64{0.4, 0.5, 0.6}
)

// observeRestart fills counts from now on until the given time.
func (s *sim) observeRestart(counts *restartCounts, until time.Duration) {
	throttled, revision, from := s.state.throttled, s.state.revision, s.now
	var up []*simWorker
	for _, w := range s.cloud.sortedMachines() {
		if w.up && !w.dead {
			up = append(up, w)
		}
	}
	counts.machines = len(up)
	s.hooks.onLaunch = func(w *simWorker, command protocol.Command) { s.countRestartLaunch(counts, w, command) }
	s.hooks.onKill = func(w *simWorker, command protocol.Command) { s.countRestartKill(counts, w, command) }
	var observe func()
	observe = func() {
		answered := 0
		for _, w := range up {
			if w.lastAnsweredAt > from {
				answered++
			}
		}
		for i, share := range answeredShares {
			if counts.answered[i] == 0 && answered*100 >= share*len(up) {
				counts.answered[i] = s.now - from
			}
		}
		counts.throttled, counts.revisions = s.state.throttled-throttled, s.state.revision-revision
		if s.now < until {
			s.after(100*time.Millisecond, observe)
		}
	}
	observe()
}

func (s *sim) countRestartLaunch(counts *restartCounts, w *simWorker, command protocol.Command) {
	jobID, _, _ := job.ParseTaskName(command.Task)
	if w.tasks[simTaskKey(command)] != nil {
		counts.duplicateLaunches++
	}
	if u := s.users[jobID]; u != nil && u.finalStatus != "" {
		counts.launchesAfterEnd++
	}
}

func (s *sim) countRestartKill(counts *restartCounts, w *simWorker, command protocol.Command) {
	jobID, index, _ := job.ParseTaskName(command.Task)
	u := s.users[jobID]
	if task := w.tasks[simTaskKey(command)]; task == nil || !task.isActive() || u == nil || u.cancelRequested {
		return
	}
	if record := s.taskRecord(jobID, index); record != nil && record.Machine == w.name && record.Epoch == w.agentEpoch && record.Attempt == command.Attempt {
		counts.kills++
	}
}

// taskRecord returns a task as stored in the state service, or nil if it can't be read.
func (s *sim) taskRecord(id string, index int) *job.Task {
	for _, n := range s.controllers {
		if n.core == nil {
			continue
		}
		size := n.core.tasksPerPage()
		u := s.users[id]
		tasks := make([]job.Task, min(size, u.spec.Tasks-index/size*size))
		changes, err := pagecodec.Decode(s.state.keys[pageKey(id, index/size)].value, tasks, nil)
		if err != nil {
			return nil
		}
		for _, change := range changes {
			tasks[change.Index] = change.Task
		}
		return &tasks[index%size]
	}
	return nil
}

// restartCases are the ways in which all controllers go down and come back.
var restartCases = []struct {
	name      string
	crash     func(s *sim) time.Duration // crashes the controllers, and returns the time until the first is back
	defective bool                       // simulates a defect that must show as duplicate launches
}{
	{name: "all for three seconds", crash: func(s *sim) time.Duration {
		for _, n := range s.controllers {
			n.crash(3 * time.Second)
		}
		return 3 * time.Second
	}},
	{name: "one after the other, back in another order", crash: func(s *sim) time.Duration {
		for i, n := range s.controllers {
			s.after(time.Duration(i)*time.Second, func() { n.crash(time.Duration(12-2*i) * time.Second) })
		}
		return 8 * time.Second
	}},
	{name: "again and again", crash: func(s *sim) time.Duration {
		for i := range 4 {
			s.after(time.Duration(4*i)*time.Second, func() {
				for _, n := range s.controllers {
					n.crash(s.randomMillis(500, 2500))
				}
			})
		}
		return 14 * time.Second
	}},
	{name: "for longer than the lease", crash: func(s *sim) time.Duration {
		for _, n := range s.controllers {
			n.crash(s.leaseMultiple(1.5))
		}
		return s.leaseMultiple(1.5)
	}},
	{name: "with the state service", crash: func(s *sim) time.Duration {
		s.state.downUntil = s.now + 9*time.Second
		for _, n := range s.controllers {
			n.crash(3 * time.Second)
		}
		return 9 * time.Second
	}},
	{name: "after a third of the machines died", crash: func(s *sim) time.Duration {
		for i, w := range s.cloud.sortedMachines() {
			if i%3 == 0 {
				w.die()
				w.failed = true
			}
		}
		for _, n := range s.controllers {
			n.crash(2 * time.Second)
		}
		return 2 * time.Second
	}},
	{name: "and reports list nothing", crash: func(s *sim) time.Duration {
		s.defects.emptyTaskLists = true
		for _, n := range s.controllers {
			n.crash(3 * time.Second)
		}
		return 3 * time.Second
	}, defective: true},
}

// TestTheStartAfterAllWentDown crashes all controllers and checks what their restart costs.
func TestTheStartAfterAllWentDown(t *testing.T) {
	for _, c := range restartCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newLargeDeploymentSim(t, 50_000)
			s.options.skipLaunchOrderCheck = true
			s.submitLargeLoad(200 * time.Second)
			s.run(100 * time.Second)
			back := c.crash(s)
			s.run(s.now + back)
			counts := s.simulateRestart()
			t.Logf("%+v", counts)
			s.checkRestart(t, counts, c.defective)
			if c.defective {
				return
			}
			s.run(s.now + 30*time.Second)
			s.reportViolations(t)
		})
	}
}

// simulateRestart simulates the minute after the first controller is back, and returns its counts.
func (s *sim) simulateRestart() restartCounts {
	var counts restartCounts
	counts.tasks = s.countActive()
	restarts := s.countRestarts()
	s.observeRestart(&counts, s.now+60*time.Second)
	s.run(s.now + 60*time.Second)
	s.hooks = simHooks{}
	counts.restarts = s.countRestarts() - restarts
	for _, n := range s.controllers {
		counts.claims += n.core.Stats.Claims
	}
	return counts
}

// countActive returns the number of active tasks on rented machines.
func (s *sim) countActive() (n int) {
	for _, w := range s.cloud.sortedMachines() {
		for _, task := range w.tasks {
			if task.isActive() {
				n++
			}
		}
	}
	return n
}

// countRestarts returns how many tasks were restarted so far although they had run on a machine that still existed.
func (s *sim) countRestarts() (n int) {
	for _, u := range s.users {
		n += u.restarts
	}
	return n
}

func (s *sim) checkRestart(t *testing.T, counts restartCounts, defective bool) {
	t.Helper()
	for i, after := range counts.answered {
		if within := s.leaseMultiple(answeredWithin[i]); after == 0 || after > within {
			t.Errorf("%d%% of the workers were answered after %v, want %v", answeredShares[i], after, within)
		}
	}
	if counts.duplicateLaunches > 0 && !defective || counts.launchesAfterEnd > 0 {
		t.Errorf("%d launches of attempts that the worker already had, %d for jobs that had ended", counts.duplicateLaunches, counts.launchesAfterEnd)
	}
	if counts.restarts > counts.kills { // a killed task made room for other work or was moved
		t.Errorf("%d tasks were restarted although their machines still existed, but only %d were killed", counts.restarts, counts.kills)
	}
	if counts.throttled > counts.machines/10 {
		t.Errorf("%d requests were above the state service's limits", counts.throttled)
	}
	if defective && counts.duplicateLaunches == 0 {
		t.Error("workers whose heartbeats list no tasks got no duplicate launches: the check detects nothing")
	}
}
