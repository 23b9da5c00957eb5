package coordination

import (
	"strconv"
	"testing"
	"time"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// The start after all controllers went down, at the size of a grown site: what it costs against what it must, and what
// is ordered that was not to be.

// blackStart is what a start came to.
type blackStart struct {
	up       int              // machines
	tasks    int              // on them at the return
	claims   uint64           // written by the lives that began then
	changes  uint64           // of the state service
	refused  int              // requests above its limits
	again    int              // launches of what the worker had already
	over     int              // launches for jobs that were over, as their users had been told
	twice    int              // tasks started anew although they ran on a machine that was there
	kills    int              // of attempts that the records bind to that machine in that session
	answered [3]time.Duration // until 50, 90 and 99% of the workers were answered by anybody
}

// watchStart counts from now on.
func (s *sim) watchStart(b *blackStart, until time.Duration) {
	refused, rev := s.kv.refused, s.kv.rev
	from := s.now
	heard := map[*simWorker]bool{}
	all := s.cloud.sorted()
	var up []*simWorker
	for _, w := range all {
		if w.up && !w.dead {
			up = append(up, w)
		}
	}
	b.up = len(up)
	s.launched = func(w *simWorker, o protocol.Command) {
		id, _, _ := job.ParseTaskName(o.Task)
		if l := w.loads[o.Task+"#"+strconv.Itoa(o.Attempt)]; l != nil {
			b.again++
		}
		if u := s.users[id]; u != nil && u.final != "" {
			b.over++
		}
	}
	s.met.killed = func(w *simWorker, o protocol.Command) {
		id, index, _ := job.ParseTaskName(o.Task)
		u := s.users[id]
		if l := w.loads[o.Task+"#"+strconv.Itoa(o.Attempt)]; l == nil || !l.on() || u == nil || u.asked {
			return
		}
		if t := s.recordOf(id, index); t != nil && t.Machine == w.name && t.Epoch == w.shift && t.Attempt == o.Attempt {
			b.kills++
		}
	}
	var watch func()
	watch = func() {
		for _, w := range up {
			if !heard[w] && w.answered > from {
				heard[w] = true
			}
		}
		for i, share := range []int{50, 90, 99} {
			if b.answered[i] == 0 && len(heard)*100 >= share*len(up) {
				b.answered[i] = s.now - from
			}
		}
		b.refused, b.changes = s.kv.refused-refused, s.kv.rev-rev
		if s.now < until {
			s.after(100*time.Millisecond, watch)
		}
	}
	watch()
}

// recordOf is a task as the state service has it.
func (s *sim) recordOf(id string, index int) *job.Task {
	for _, n := range s.nodes {
		if n.core == nil {
			continue
		}
		size := n.core.tasksPerPage()
		u := s.users[id]
		tasks := make([]job.Task, min(size, u.spec.Tasks-index/size*size))
		changes, err := pagecodec.Decode(s.kv.keys[pageKey(id, index/size)].data, tasks, nil)
		if err != nil {
			return nil
		}
		for _, ch := range changes {
			tasks[ch.Index] = ch.Task
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
			for _, n := range s.nodes {
				n.crash(3 * time.Second)
			}
			return 3 * time.Second
		}, ""},
		{"one after the other, back in another order", func(s *sim) time.Duration {
			for i, n := range s.nodes {
				s.after(time.Duration(i)*time.Second, func() { n.crash(time.Duration(12-2*i) * time.Second) })
			}
			return 8 * time.Second
		}, ""},
		{"again and again", func(s *sim) time.Duration {
			for i := range 4 {
				s.after(time.Duration(4*i)*time.Second, func() {
					for _, n := range s.nodes {
						n.crash(s.ms(500, 2500))
					}
				})
			}
			return 14 * time.Second
		}, ""},
		{"for longer than the lease", func(s *sim) time.Duration {
			for _, n := range s.nodes {
				n.crash(s.lease(1.5))
			}
			return s.lease(1.5)
		}, ""},
		{"with the state service", func(s *sim) time.Duration {
			s.kv.down = s.now + 9*time.Second
			for _, n := range s.nodes {
				n.crash(3 * time.Second)
			}
			return 9 * time.Second
		}, ""},
		{"after a third of the machines died", func(s *sim) time.Duration {
			for i, w := range s.cloud.sorted() {
				if i%3 == 0 {
					w.die()
					w.failed = true
				}
			}
			for _, n := range s.nodes {
				n.crash(2 * time.Second)
			}
			return 2 * time.Second
		}, ""},
		{"and reports list nothing", func(s *sim) time.Duration {
			s.met.emptyLists = true
			for _, n := range s.nodes {
				n.crash(3 * time.Second)
			}
			return 3 * time.Second
		}, "again"},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			s := grownSim(t, 50_000)
			s.unordered = true
			s.loadGrown(200 * time.Second)
			s.run(100 * time.Second)
			var b blackStart
			back := v.down(s)
			s.run(s.now + back)
			for _, w := range s.cloud.sorted() {
				for _, l := range w.loads {
					if l.on() {
						b.tasks++
					}
				}
			}
			again := 0
			for _, u := range s.users {
				again -= u.again
			}
			s.watchStart(&b, s.now+60*time.Second)
			s.run(s.now + 60*time.Second)
			s.launched, s.met.killed = nil, nil
			for _, u := range s.users {
				again += u.again
			}
			b.twice = again
			for _, n := range s.nodes {
				b.claims += n.core.Stats.Claims
			}
			t.Logf("%+v", b)
			for i, l := range b.answered {
				if within := s.lease([]float64{0.4, 0.5, 0.6}[i]); l == 0 || l > within {
					t.Errorf("%d%% of the workers were answered after %v, want %v", []int{50, 90, 99}[i], l, within)
				}
			}
			if b.again > 0 && v.rule == "" || b.over > 0 {
				t.Errorf("%d launches of what was there, %d for what was over", b.again, b.over)
			}
			if b.twice > b.kills { // what was stopped made room for other work, or moved
				t.Errorf("%d tasks were started anew that had run on machines that were there, %d were stopped", b.twice, b.kills)
			}
			if b.refused > b.up/10 {
				t.Errorf("%d requests above the state service's limits", b.refused)
			}
			if v.rule != "" {
				if b.again == 0 {
					t.Error("workers whose reports list nothing are not launched again: the count sees nothing")
				}
				return
			}
			s.run(s.now + 30*time.Second)
			s.report(t)
		})
	}
}
