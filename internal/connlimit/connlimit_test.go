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
	idle  bool // it waits for the next one
}

// server is a Limiter and the connections that it was told of.
type server struct {
	limiter *Limiter
	total   int
	open    []*connection
}

func (s *server) drawIndex(t *rapid.T) int { return rapid.IntRange(0, len(s.open)-1).Draw(t, "which") }

func (s *server) openOne(t *rapid.T) {
	full := len(s.open) >= s.total
	if s.limiter.Open() == full {
		t.Fatalf("%d of %d are open, accepted: %v", len(s.open), s.total, !full)
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
	s.limiter.Use(c.class, class)
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
		t.Fatal("a worker that was redirected keeps its connection")
	}
}

func (s *server) close(index int) {
	s.limiter.Close(s.open[index].class)
	s.open = slices.Delete(s.open, index, index+1)
}

// check holds the promises: idle workers keep within their share, and the count is right.
func (s *server) check(t *rapid.T) {
	idle, byClass := 0, [Classes]int{}
	for _, c := range s.open {
		byClass[c.class]++
		if c.class == Worker && c.idle {
			idle++
		}
	}
	if share := s.limiter.limits.Workers; idle > share {
		t.Fatalf("%d workers wait on connections, of %d", idle, share)
	}
	if byClass != s.limiter.count || s.limiter.Stats().Open != len(s.open) {
		t.Fatalf("%v are open, %v counted", byClass, s.limiter.count)
	}
}

// TestLimiterKeepsItsPromises draws connections that open, have requests, are answered and
// close, in any order and number, as when a peer goes down.
func TestLimiterKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(8, 80).Draw(t, "total")
		s := &server{limiter: New(Share(total)), total: total}
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

// connectWorkers has so many workers connect, send a heartbeat and be answered, and returns how
// many keep their connection.
func connectWorkers(t *testing.T, l *Limiter, workers int, urgent bool) (kept int) {
	t.Helper()
	for range workers {
		if !l.Open() {
			t.Fatal("a worker is refused though others only wait")
		}
		l.Use(Fresh, Worker)
		if l.KeepAlive(Worker, true, urgent) {
			kept++
		} else {
			l.Close(Worker)
		}
	}
	return kept
}

// TestUsersGetInHoweverManyWorkersThereAre guards against a site with more
// workers than sockets: its users, health checks and operators were crowded out
// and half of its work was lost (shiftbook-akl-fleet with four times the machines,
// simulated: mark 0.17).
func TestUsersGetInHoweverManyWorkersThereAre(t *testing.T) {
	const total = 800
	l := New(Share(total))
	kept := connectWorkers(t, l, 10*total, false)
	if kept != total/2-total/16 || !l.WorkersNearLimit() {
		t.Errorf("%d of %d connections are kept by workers, near the limit: %v", kept, total, l.WorkersNearLimit())
	}
	kept += connectWorkers(t, l, total, true) // they get what is left of the share
	if kept != total/2 {
		t.Errorf("%d of %d connections are kept by workers with urgent work", kept, total)
	}
	users := 0
	for range total {
		if !l.Open() {
			break
		}
		users++
		l.Use(Fresh, User)
	}
	if users != total/2 || l.Stats().Refused != 1 {
		t.Errorf("%d users got in", users)
	}
	if l.KeepAlive(User, true, false) {
		t.Error("a user's connection is kept though nothing is free")
	}
}

func TestClassNames(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  string
	}{{Fresh, "fresh"}, {User, "user"}, {Worker, "worker"}, {Operator, "operator"}, {Classes, "unknown"}} {
		t.Run(c.want, func(t *testing.T) {
			if got := c.class.String(); got != c.want {
				t.Errorf("%d is %q", uint8(c.class), got)
			}
		})
	}
}
