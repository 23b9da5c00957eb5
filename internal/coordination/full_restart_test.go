package coordination

import (
	"strconv"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// The restart after all controllers went down, in a deployment of some hundred machines: what it costs, against what it
// must cost, and which commands are sent that should not be.

// fullRestart is what was counted of such a restart.
type fullRestart struct {
	machines          int              // machines
	tasks             int              // on them at the return
	claims            uint64           // written by the lives that began then
	revisions         uint64           // of the state service
	throttled         int              // requests above its limits
	duplicateLaunches int              // launches of what the worker had already
	launchesAfterEnd  int              // launches for jobs that were over, as their users had been told
	restarts          int              // tasks started anew although they ran on a machine that was there
	kills             int              // of attempts that the records bind to that machine in that session
	answered          [3]time.Duration // until 50, 90 and 99% of the workers were answered by anybody
}

// watchStart counts from now on.
func (s *sim) observeRestart(b *fullRestart, until time.Duration) {
	refused, rev := s.state.throttled, s.state.revision
	from := s.now
	heard := map[*simWorker]bool{}
	all := s.cloud.sortedMachines()
	var up []*simWorker
	for _, w := range all {
		if w.up && !w.dead {
			up = append(up, w)
		}
	}
	b.machines = len(up)
	s.hooks.onLaunch = func(w *simWorker, o protocol.Command) {
		id, _, _ := job.ParseTaskName(o.Task)
		if l := w.tasks[o.Task+"#"+strconv.Itoa(o.Attempt)]; l != nil {
			b.duplicateLaunches++
		}
		if u := s.users[id]; u != nil && u.finalStatus != "" {
			b.launchesAfterEnd++
		}
	}
	s.hooks.onKill = func(w *simWorker, o protocol.Command) {
		id, index, _ := job.ParseTaskName(o.Task)
		u := s.users[id]
		if l := w.tasks[o.Task+"#"+strconv.Itoa(o.Attempt)]; l == nil || !l.isActive() || u == nil || u.cancelRequested {
			return
		}
		if t := s.taskRecord(id, index); t != nil && t.Machine == w.name && t.Epoch == w.agentEpoch && t.Attempt == o.Attempt {
			b.kills++
		}
	}
	var watch func()
	watch = func() {
		for _, w := range up {
			if !heard[w] && w.lastAnsweredAt > from {
				heard[w] = true
			}
		}
		for i, share := range []int{50, 90, 99} {
			if b.answered[i] == 0 && len(heard)*100 >= share*len(up) {
				b.answered[i] = s.now - from
			}
		}
		b.throttled, b.revisions = s.state.throttled-refused, s.state.revision-rev
		if s.now < until {
			s.after(100*time.Millisecond, watch)
		}
	}
	watch()
}

// recordOf is a task as the state service has it.
func (s *sim) taskRecord(id string, index int) *job.Task {
	for _, n := range s.controllers {
		if n.core == nil {
			continue
		}
		size := n.core.tasksPerPage()
		u := s.users[id]
		tasks := make([]job.Task, min(size, u.spec.Tasks-index/size*size))
		changes, err := readPage(s.state.keys[pageKey(id, index/size)].value, tasks, nil)
		if err != nil {
			return nil
		}
		for _, ch := range changes {
			tasks[ch.index] = ch.task
		}
		return &tasks[index%size]
	}
	return nil
}

func TestTheStartAfterAllWentDown(t *testing.T) {
	for _, v := range []struct {
		name string
		down func(s *sim) time.Duration // brings all down, and tells when the first is back
		rule string                     // broken on purpose
	}{
		{"all for three seconds", func(s *sim) time.Duration {
			for _, n := range s.controllers {
				n.crash(3 * time.Second)
			}
			return 3 * time.Second
		}, ""},
		{"one after the other, back in another order", func(s *sim) time.Duration {
			for i, n := range s.controllers {
				s.after(time.Duration(i)*time.Second, func() { n.crash(time.Duration(12-2*i) * time.Second) })
			}
			return 8 * time.Second
		}, ""},
		{"again and again", func(s *sim) time.Duration {
			for i := range 4 {
				s.after(time.Duration(4*i)*time.Second, func() {
					for _, n := range s.controllers {
						n.crash(s.randomMillis(500, 2500))
					}
				})
			}
			return 14 * time.Second
		}, ""},
		{"for longer than the lease", func(s *sim) time.Duration {
			for _, n := range s.controllers {
				n.crash(s.leaseTimes(1.5))
			}
			return s.leaseTimes(1.5)
		}, ""},
		{"with the state service", func(s *sim) time.Duration {
			s.state.downUntil = s.now + 9*time.Second
			for _, n := range s.controllers {
				n.crash(3 * time.Second)
			}
			return 9 * time.Second
		}, ""},
		{"after a third of the machines died", func(s *sim) time.Duration {
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
		}, ""},
		{"and reports list nothing", func(s *sim) time.Duration {
			s.defects.emptyTaskLists = true
			for _, n := range s.controllers {
				n.crash(3 * time.Second)
			}
			return 3 * time.Second
		}, "again"},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			s := grownSim(t, 50_000)
			s.options.unorderedLaunches = true
			s.loadGrown(200 * time.Second)
			s.run(100 * time.Second)
			var b fullRestart
			back := v.down(s)
			s.run(s.now + back)
			for _, w := range s.cloud.sortedMachines() {
				for _, l := range w.tasks {
					if l.isActive() {
						b.tasks++
					}
				}
			}
			again := 0
			for _, u := range s.users {
				again -= u.restarts
			}
			s.observeRestart(&b, s.now+60*time.Second)
			s.run(s.now + 60*time.Second)
			s.hooks.onLaunch, s.hooks.onKill = nil, nil
			for _, u := range s.users {
				again += u.restarts
			}
			b.restarts = again
			for _, n := range s.controllers {
				b.claims += n.core.Stats.Claims
			}
			t.Logf("%+v", b)
			for i, l := range b.answered {
				if within := s.leaseTimes([]float64{0.4, 0.5, 0.6}[i]); l == 0 || l > within {
					t.Errorf("%d%% of the workers were answered after %v, want %v", []int{50, 90, 99}[i], l, within)
				}
			}
			if b.duplicateLaunches > 0 && v.rule == "" || b.launchesAfterEnd > 0 {
				t.Errorf("%d launches of what was there, %d for what was over", b.duplicateLaunches, b.launchesAfterEnd)
			}
			if b.restarts > b.kills { // what was stopped made room for other work, or moved
				t.Errorf("%d tasks were started anew that had run on machines that were there, %d were stopped", b.restarts, b.kills)
			}
			if b.throttled > b.machines/10 {
				t.Errorf("%d requests above the state service's limits", b.throttled)
			}
			if v.rule != "" {
				if b.duplicateLaunches == 0 {
					t.Error("workers whose reports list nothing are not launched again: the count sees nothing")
				}
				return
			}
			s.run(s.now + 30*time.Second)
			s.reportViolations(t)
		})
	}
}
