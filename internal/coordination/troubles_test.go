package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
)

// The meetings of two troubles that users have named, brought about by drawing: each of
// the troubles below meets each of the others, begun at the same time or one in the middle of the other.

// trouble is something that goes wrong for a time.
type troubleKind struct {
	name string
	do   func(s *sim, n *simNode, long time.Duration)
}

func (s *sim) someWorkers(share float64, do func(*simWorker)) {
	for _, w := range s.cloud.sorted() {
		if w.up && s.rnd.Float64() < share {
			do(w)
		}
	}
}

var troubleKinds = []troubleKind{
	{"a leader cut from state and peers", func(s *sim, n *simNode, long time.Duration) {
		n.cut["state"], n.cut["peers"] = s.now+long, s.now+long
	}},
	{"the same, reset", func(s *sim, n *simNode, long time.Duration) {
		n.cut["state"], n.cut["peers"], n.reset = s.now+long, s.now+long, map[string]bool{"state": true, "peers": true}
		s.after(long, func() { n.reset = nil })
	}},
	{"refused, then down for all", func(s *sim, n *simNode, long time.Duration) {
		n.refused = s.now + long/3
		s.after(long/3, func() { s.kv.down = s.now + seconds(1.2*s.facts.Workers.Cancel) })
	}},
	{"a crash and back within a second", func(s *sim, n *simNode, long time.Duration) {
		for at := time.Duration(0); at < long; at += s.ms(1000, 20_000) {
			s.after(at, func() { n.crash(s.ms(50, 900)) })
		}
	}},
	{"all end, one returns first", func(s *sim, n *simNode, long time.Duration) {
		for _, o := range s.nodes {
			if o == n {
				o.crash(s.ms(50, 900))
			} else {
				o.crash(long / 2)
			}
		}
	}},
	{"a leader ends and machines are deaf", func(s *sim, n *simNode, long time.Duration) {
		n.crash(s.ms(200, 5000))
		s.someWorkers(0.4, func(w *simWorker) { w.deaf = s.now + long })
	}},
	{"machines hear only some", func(s *sim, n *simNode, long time.Duration) {
		s.someWorkers(0.5, func(w *simWorker) { w.partly = 0.5; s.after(long, func() { w.partly = 0 }) })
	}},
	{"machines hang and go on", func(s *sim, n *simNode, long time.Duration) {
		s.someWorkers(0.4, func(w *simWorker) { w.hung = s.now + s.ms(1000, 1300*s.facts.Workers.Lease) })
	}},
	{"commands are held up", func(s *sim, n *simNode, long time.Duration) {
		for _, o := range s.nodes {
			o.holding = s.now + s.ms(2000, 1000*long.Seconds())
		}
	}},
	{"late transactions", func(s *sim, n *simNode, long time.Duration) {
		s.lateTxns = 0.25
		s.after(long, func() { s.lateTxns = 0 })
	}},
	{"late reports", func(s *sim, n *simNode, long time.Duration) {
		s.copies = 0.4
		s.after(long, func() { s.copies = 0 })
	}},
	{"the state service is slow", func(s *sim, n *simNode, long time.Duration) {
		for _, o := range s.nodes {
			o.lag = s.now + long
		}
	}},
	{"answers of the state service are lost", func(s *sim, n *simNode, long time.Duration) { n.mislays = s.now + min(long, 8*time.Second) }},
	{"a controller stands still", func(s *sim, n *simNode, long time.Duration) { n.frozen = s.now + long/2 }},
	{"everybody cancels", func(s *sim, n *simNode, long time.Duration) {
		for _, id := range sortedKeys(s.users) {
			if u := s.users[id]; u.final == "" && !u.asked && s.rnd.IntN(3) == 0 {
				s.after(s.ms(0, 1000*long.Seconds()), u.cancel)
			}
		}
	}},
	{"machines die", func(s *sim, n *simNode, long time.Duration) {
		s.someWorkers(0.2, func(w *simWorker) { w.die(); w.failed = true })
	}},
	{"machines are mute", func(s *sim, n *simNode, long time.Duration) {
		s.someWorkers(0.5, func(w *simWorker) { w.mute = s.now + long })
	}},
	{"answers to transactions alone are lost", func(s *sim, n *simNode, long time.Duration) { s.loseAnswers(0.4, long) }},
	{"old reports are kept for the next leader", func(s *sim, n *simNode, long time.Duration) {
		s.met.kept = 0.6
		s.after(long, func() { s.met.kept = 0; s.oldReports(long / 4) })
	}},
	{"running jobs are called off and machines hang", func(s *sim, n *simNode, long time.Duration) {
		s.cancelNow(4, s.ms(2000, 900*s.facts.Workers.Lease))
	}},
	{"jobs are called off at their end", func(s *sim, n *simNode, long time.Duration) {
		s.met.endCancel = 0.7
		s.after(long, func() { s.met.endCancel = 0 })
	}},
	{"odd requests", func(s *sim, n *simNode, long time.Duration) { s.oddRequests(s.now + long) }},
	{"users look closely", func(s *sim, n *simNode, long time.Duration) {
		s.met.looks = true
		s.after(long, func() { s.met.looks = false })
	}},
	{"links are slow", func(s *sim, n *simNode, long time.Duration) { s.met.slow = s.now + long }},
	{"a zone is cut off", func(s *sim, n *simNode, long time.Duration) {
		for _, o := range s.nodes {
			if o.zone != "a" {
				o.cut["zone:a"] = s.now + long
				continue
			}
			for _, k := range []string{"state", "peers", "users", "cloud", "zone:b", "zone:c"} {
				o.cut[k] = s.now + long
			}
		}
	}},
}

// meet has two troubles meet three times in a day.
func (s *sim) meet(a, b troubleKind, until time.Duration) {
	for _, at := range []time.Duration{30 * time.Second, 90 * time.Second, 150 * time.Second} {
		s.after(at-s.now, func() {
			n, long := s.busiest(), s.ms(8_000, 45_000)
			if s.rnd.IntN(3) == 0 {
				n = s.anyNode()
			}
			if s.trace != nil {
				fmt.Fprintf(s.trace, "%8.3f MEET node=%s %s + %s for %v\n", s.now.Seconds(), n.name, a.name, b.name, long)
			}
			a.do(s, n, long)
			s.after(s.ms(0, 1000*long.Seconds()), func() { b.do(s, n, long/2) })
		})
	}
}

// pairOf is the pair of troubles that meet on a day: each two of them once, one in the middle of the other by turns, and on
// later days any.
func pairOf(day uint64) (a, b troubleKind) {
	k := len(troubleKinds)
	i, rest := 0, int(day)
	for ; i < k && rest >= k-i; i++ {
		rest -= k - i
	}
	if i == k {
		return troubleKinds[int(day)/k%k], troubleKinds[int(day)%k]
	}
	if a, b = troubleKinds[i], troubleKinds[i+rest]; rest%2 == 1 {
		a, b = b, a
	}
	return a, b
}

// TestMeetingsOfTroubles has each pair of troubles meet once; with SIM_DAYS, as many days.
// Nothing may break, and after the troubles every job is known, served and done.
func TestMeetingsOfTroubles(t *testing.T) {
	k := len(troubleKinds)
	drawnDays(t, 0, k*(k+1)/2, func(t *testing.T, seed uint64) {
		a, b := pairOf(seed)
		s := newSim(t, 31_000+seed, 0.002)
		// Room for the largest.
		for k := range s.cloud.free {
			s.cloud.free[k] *= 2
		}
		s.facts.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 30}, {Name: "blue"}}
		s.told = s.facts
		s.unordered = true // controllers learn late what was committed: see judgeOrder
		s.traceTo(t, seed)
		s.load(200 * time.Second)
		s.after(20*time.Second, func() { s.largeJob(1) })
		s.after(100*time.Second, func() { s.largeJob(2) })
		s.meet(a, b, 200*time.Second)
		s.knownFrom(290 * time.Second)
		s.finish(t, 300*time.Second)
		s.judgeServed()
		s.report(t)
		if t.Failed() {
			t.Logf("%s + %s", a.name, b.name)
		}
	})
}
