package connlimit

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// connection is an open connection, as the caller of a Limiter sees it.
type connection struct {
	class Class
	busy  bool // a request is under way
	idle  bool // it waits for the next request
}

// server is a Limiter and the open connections that it counts.
type server struct {
	limiter *Limiter
	total   int
	open    []*connection
}

func (s *server) drawIndex(t *rapid.T) int { return rapid.IntRange(0, len(s.open)-1).Draw(t, "which") }

func (s *server) openOne(t *rapid.T) {
	full := len(s.open) >= s.total
	if s.limiter.Open() == full {
		t.Fatalf("%d of %d connections are open, want accepted: %v", len(s.open), s.total, !full)
	}
	if !full {
		s.open = append(s.open, &connection{})
	}
}

func (s *server) request(t *rapid.T) {
	c := s.open[s.drawIndex(t)]
	if c.busy {
		return
	}
	class := rapid.SampledFrom([]Class{User, Worker, Worker, Worker, Operator}).Draw(t, "class")
	s.limiter.Reclassify(c.class, class)
	c.class, c.busy, c.idle = class, true, false
}

func (s *server) answer(t *rapid.T) {
	index := s.drawIndex(t)
	c := s.open[index]
	if !c.busy {
		return
	}
	served := rapid.Bool().Draw(t, "served")
	c.busy, c.idle = false, true
	keep := s.limiter.KeepAlive(c.class, served, rapid.Bool().Draw(t, "urgent"))
	switch {
	case !keep:
		s.close(index)
	case c.class == Worker && !served:
		t.Fatal("a worker that was not served keeps its connection")
	}
}

func (s *server) close(index int) {
	s.limiter.Close(s.open[index].class)
	s.open = slices.Delete(s.open, index, index+1)
}

// check fails the test if idle workers hold more connections than they may, or if the
// Limiter's counts are wrong.
func (s *server) check(t *rapid.T) {
	idle, byClass := 0, [NumClasses]int{}
	for _, c := range s.open {
		byClass[c.class]++
		if c.class == Worker && c.idle {
			idle++
		}
	}
	if limit := s.limiter.limits.Workers; idle > limit {
		t.Fatalf("%d idle connections of workers, limit %d", idle, limit)
	}
	if byClass != s.limiter.count || s.limiter.Stats().Open != len(s.open) {
		t.Fatalf("%v connections are open by class, counted %v", byClass, s.limiter.count)
	}
}

// TestLimiterKeepsItsPromises draws connections that are opened, used, answered and closed
// in any order and number, as happens when a peer goes down, and checks the limits after each step.
func TestLimiterKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(8, 80).Draw(t, "total")
		s := &server{limiter: New(LimitsFor(total)), total: total}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 4 || len(s.open) == 0:
				s.openOne(t)
			case step < 6:
				s.request(t)
			case step < 9:
				s.answer(t)
			default:
				s.close(s.drawIndex(t))
			}
			s.check(t)
		}
	})
}

// connectWorkers opens a connection for each of the given number of workers, answers one heartbeat
// on it, and returns how many workers keep their connection.
func connectWorkers(t *testing.T, l *Limiter, workers int, urgent bool) (kept int) {
	t.Helper()
	for range workers {
		if !l.Open() {
			t.Fatal("a worker's connection is refused although workers hold idle ones")
		}
		l.Reclassify(Fresh, Worker)
		if l.KeepAlive(Worker, true, urgent) {
			kept++
		} else {
			l.Close(Worker)
		}
	}
	return kept
}

// TestUsersGetInHoweverManyWorkersThereAre guards against a site with more workers than
// sockets, whose idle connections leave none for users, health checks and operators: half of
// the site's work was lost (site shiftbook-akl-fleet with four times the machines, simulated: score 0.17).
func TestUsersGetInHoweverManyWorkersThereAre(t *testing.T) {
	const total = 800
	l := New(LimitsFor(total))
	kept := connectWorkers(t, l, 10*total, false)
	if kept != total/2-total/16 || !l.WorkersNearLimit() {
		t.Errorf("%d of %d connections are kept by workers, near the limit: %v", kept, total, l.WorkersNearLimit())
	}
	kept += connectWorkers(t, l, total, true) // they get the rest of the workers' limit
	if kept != total/2 {
		t.Errorf("%d of %d connections are kept by workers with urgent work", kept, total)
	}
	users := 0
	for range total {
		if !l.Open() {
			break
		}
		users++
		l.Reclassify(Fresh, User)
	}
	if users != total/2 || l.Stats().Refused != 1 {
		t.Errorf("%d users got a connection", users)
	}
	if l.KeepAlive(User, true, false) {
		t.Error("a user's connection is kept although none is free")
	}
}

func TestClassNames(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  string
	}{{Fresh, "fresh"}, {User, "user"}, {Worker, "worker"}, {Operator, "operator"}, {NumClasses, "unknown"}} {
		t.Run(c.want, func(t *testing.T) {
			if got := c.class.String(); got != c.want {
				t.Errorf("the name of class %d is %q", uint8(c.class), got)
			}
		})
	}
}
