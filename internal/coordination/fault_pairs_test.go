package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
)

// Pairs of faults that users have named: each of the faults below coincides with each of the others, begun at
// the same time or one during the other. docs/design.md ("Meetings of troubles") refers to them by their names.

// faultKind is something that goes wrong for a time, at a controller or around it.
type faultKind struct {
	name   string
	inject func(s *sim, n *simController, long time.Duration)
}

var faultKinds = []faultKind{
	{"a leader cut from state and peers", func(s *sim, n *simController, long time.Duration) {
		n.unreachableUntil["state"], n.unreachableUntil["peers"] = s.now+long, s.now+long
	}},
	{"the same, reset", func(s *sim, n *simController, long time.Duration) {
		n.unreachableUntil["state"], n.unreachableUntil["peers"], n.resetLinks = s.now+long, s.now+long, map[string]bool{"state": true, "peers": true}
		s.after(long, func() { n.resetLinks = nil })
	}},
	{"refused, then down for all", func(s *sim, n *simController, long time.Duration) {
		n.refusedUntil = s.now + long/3
		s.after(long/3, func() { s.state.downUntil = s.now + seconds(1.2*s.facts.Workers.Cancel) })
	}},
	{"a crash and back within a second", func(s *sim, n *simController, long time.Duration) {
		for at := time.Duration(0); at < long; at += s.randomMillis(1000, 20_000) {
			s.after(at, func() { n.crash(s.randomMillis(50, 900)) })
		}
	}},
	{"all end, one returns first", func(s *sim, n *simController, long time.Duration) {
		for _, o := range s.controllers {
			if o == n {
				o.crash(s.randomMillis(50, 900))
			} else {
				o.crash(long / 2)
			}
		}
	}},
	{"a leader ends and machines are deaf", func(s *sim, n *simController, long time.Duration) {
		n.crash(s.randomMillis(200, 5000))
		s.forSomeWorkers(0.4, func(w *simWorker) { w.unresponsiveUntil = s.now + long })
	}},
	{"machines hear only some", func(s *sim, n *simController, long time.Duration) {
		s.forSomeWorkers(0.5, func(w *simWorker) { w.messageLoss = 0.5; s.after(long, func() { w.messageLoss = 0 }) })
	}},
	{"machines hang and go on", func(s *sim, n *simController, long time.Duration) {
		s.forSomeWorkers(0.4, func(w *simWorker) { w.hungUntil = s.now + s.randomMillis(1000, 1300*s.facts.Workers.Lease) })
	}},
	{"commands are held up", func(s *sim, n *simController, long time.Duration) {
		for _, o := range s.controllers {
			o.commandsDelayedUntil = s.now + s.randomMillis(2000, 1000*long.Seconds())
		}
	}},
	{"late transactions", func(s *sim, n *simController, long time.Duration) {
		s.faults.lateTransactions = 0.25
		s.after(long, func() { s.faults.lateTransactions = 0 })
	}},
	{"late reports", func(s *sim, n *simController, long time.Duration) {
		s.faults.duplicateHeartbeats = 0.4
		s.after(long, func() { s.faults.duplicateHeartbeats = 0 })
	}},
	{"the state service is slow", func(s *sim, n *simController, long time.Duration) {
		for _, o := range s.controllers {
			o.watchDelayedUntil = s.now + long
		}
	}},
	{"answers of the state service are lost", func(s *sim, n *simController, long time.Duration) {
		n.repliesLostUntil = s.now + min(long, 8*time.Second)
	}},
	{"a controller stands still", func(s *sim, n *simController, long time.Duration) { n.pausedUntil = s.now + long/2 }},
	{"everybody cancels", func(s *sim, n *simController, long time.Duration) {
		for _, id := range sortedKeys(s.users) {
			if u := s.users[id]; u.finalStatus == "" && !u.cancelRequested && s.random.IntN(3) == 0 {
				s.after(s.randomMillis(0, 1000*long.Seconds()), u.cancel)
			}
		}
	}},
	{"machines die", func(s *sim, n *simController, long time.Duration) {
		s.forSomeWorkers(0.2, func(w *simWorker) { w.die(); w.failed = true })
	}},
	{"machines are mute", func(s *sim, n *simController, long time.Duration) {
		s.forSomeWorkers(0.5, func(w *simWorker) { w.isolatedUntil = s.now + long })
	}},
	{"answers to transactions alone are lost", func(s *sim, n *simController, long time.Duration) { s.loseReplies(0.4, long) }},
	{"old reports are kept for the next leader", func(s *sim, n *simController, long time.Duration) {
		s.faults.copiedShare = 0.6
		s.after(long, func() { s.faults.copiedShare = 0; s.deliverCopies(long / 4) })
	}},
	{"running jobs are called off and machines hang", func(s *sim, n *simController, long time.Duration) {
		s.cancelRunning(4, s.randomMillis(2000, 900*s.facts.Workers.Lease))
	}},
	{"jobs are called off at their end", func(s *sim, n *simController, long time.Duration) {
		s.faults.cancelAtEnd = 0.7
		s.after(long, func() { s.faults.cancelAtEnd = 0 })
	}},
	{"odd requests", func(s *sim, n *simController, long time.Duration) { s.sendInvalidRequests(s.now + long) }},
	{"users look closely", func(s *sim, n *simController, long time.Duration) {
		s.faults.queryEverywhere = true
		s.after(long, func() { s.faults.queryEverywhere = false })
	}},
	{"links are slow", func(s *sim, n *simController, long time.Duration) { s.faults.slowLinksUntil = s.now + long }},
	{"a zone is cut off", func(s *sim, n *simController, long time.Duration) {
		for _, o := range s.controllers {
			if o.zone != "a" {
				o.unreachableUntil["zone:a"] = s.now + long
				continue
			}
			for _, k := range []string{"state", "peers", "users", "cloud", "zone:b", "zone:c"} {
				o.unreachableUntil[k] = s.now + long
			}
		}
	}},
}

// meet has two troubles meet three times in a day.
func (s *sim) injectPair(a, b faultKind, until time.Duration) {
	for _, at := range []time.Duration{30 * time.Second, 90 * time.Second, 150 * time.Second} {
		s.after(at-s.now, func() {
			n, long := s.busiestController(), s.randomMillis(8_000, 45_000)
			if s.random.IntN(3) == 0 {
				n = s.anyController()
			}
			if s.output.trace != nil {
				fmt.Fprintf(s.output.trace, "%8.3f MEET node=%s %s + %s for %v\n", s.now.Seconds(), n.name, a.name, b.name, long)
			}
			a.inject(s, n, long)
			s.after(s.randomMillis(0, 1000*long.Seconds()), func() { b.inject(s, n, long/2) })
		})
	}
}

// pairOf is the pair of troubles that meet on a day: each two of them once, one in the middle of the other by turns, and on
// later days any.
func faultPair(day uint64) (a, b faultKind) {
	k := len(faultKinds)
	i, rest := 0, int(day)
	for ; i < k && rest >= k-i; i++ {
		rest -= k - i
	}
	if i == k {
		return faultKinds[int(day)/k%k], faultKinds[int(day)%k]
	}
	if a, b = faultKinds[i], faultKinds[i+rest]; rest%2 == 1 {
		a, b = b, a
	}
	return a, b
}

// TestMeetingsOfTroubles has each pair of troubles meet once; with SIM_DAYS, as many days.
// Nothing may break, and after the troubles every job is known, served and done.
func TestMeetingsOfTroubles(t *testing.T) {
	k := len(faultKinds)
	runSeeds(t, 0, k*(k+1)/2, func(t *testing.T, seed uint64) {
		a, b := faultPair(seed)
		s := newSim(t, 31_000+seed, 0.002)
		// Room for the largest.
		for k := range s.cloud.capacity {
			s.cloud.capacity[k] *= 2
		}
		s.facts.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 30}, {Name: "blue"}}
		s.advertised = s.facts
		s.options.unorderedLaunches = true // controllers learn late what was committed: see judgeOrder
		s.traceDay(t, seed)
		s.submitMixedJobs(200 * time.Second)
		s.after(20*time.Second, func() { s.largeJob(1) })
		s.after(100*time.Second, func() { s.largeJob(2) })
		s.injectPair(a, b, 200*time.Second)
		s.knownFrom(290 * time.Second)
		s.finish(t, 300*time.Second)
		s.judgeServed()
		s.reportViolations(t)
		if t.Failed() {
			t.Logf("%s + %s", a.name, b.name)
		}
	})
}
