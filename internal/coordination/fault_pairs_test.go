package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
)

// Pairs of faults that users have named. Each of the faults below coincides with each of the others: they begin at the
// same time, or one begins during the other. docs/design.md ("Meetings of troubles") refers to them by their names.

// faultKind is a fault of a controller, or of the system around it, that lasts for a time.
type faultKind struct {
	name   string
	inject func(s *sim, n *simController, duration time.Duration)
}

// faultKinds lists the faults. Their order is fixed, because a day's pair is chosen by index.
var faultKinds = []faultKind{
	{"a leader cut from state and peers", func(s *sim, n *simController, duration time.Duration) {
		n.unreachableUntil["state"], n.unreachableUntil["peers"] = s.now+duration, s.now+duration
	}},
	{"the same, reset", func(s *sim, n *simController, duration time.Duration) {
		n.unreachableUntil["state"], n.unreachableUntil["peers"], n.resetLinks = s.now+duration, s.now+duration, map[string]bool{"state": true, "peers": true}
		s.after(duration, func() { n.resetLinks = nil })
	}},
	{"refused, then down for all", func(s *sim, n *simController, duration time.Duration) {
		n.refusedUntil = s.now + duration/3
		s.after(duration/3, func() { s.state.downUntil = s.now + seconds(1.2*s.facts.Workers.Cancel) })
	}},
	{"a crash and back within a second", func(s *sim, n *simController, duration time.Duration) {
		for at := time.Duration(0); at < duration; at += s.randomMillis(1000, 20_000) {
			s.after(at, func() { n.crash(s.randomMillis(50, 900)) })
		}
	}},
	{"all end, one returns first", func(s *sim, n *simController, duration time.Duration) {
		for _, o := range s.controllers {
			if o == n {
				o.crash(s.randomMillis(50, 900))
			} else {
				o.crash(duration / 2)
			}
		}
	}},
	{"a leader ends and machines are unresponsive", func(s *sim, n *simController, duration time.Duration) {
		n.crash(s.randomMillis(200, 5000))
		s.forSomeWorkers(0.4, func(w *simWorker) { w.unresponsiveUntil = s.now + duration })
	}},
	{"machines lose some messages", func(s *sim, n *simController, duration time.Duration) {
		s.forSomeWorkers(0.5, func(w *simWorker) { w.messageLoss = 0.5; s.after(duration, func() { w.messageLoss = 0 }) })
	}},
	{"machines hang and go on", func(s *sim, n *simController, duration time.Duration) {
		s.forSomeWorkers(0.4, func(w *simWorker) { w.hungUntil = s.now + s.randomMillis(1000, 1300*s.facts.Workers.Lease) })
	}},
	{"commands are held up", func(s *sim, n *simController, duration time.Duration) {
		for _, o := range s.controllers {
			o.commandsDelayedUntil = s.now + s.randomMillis(2000, 1000*duration.Seconds())
		}
	}},
	{"late transactions", func(s *sim, n *simController, duration time.Duration) {
		s.setShareFor(duration, &s.faults.lateTransactions, 0.25)
	}},
	{"late reports", func(s *sim, n *simController, duration time.Duration) {
		s.setShareFor(duration, &s.faults.duplicateHeartbeats, 0.4)
	}},
	{"the state service is slow", func(s *sim, n *simController, duration time.Duration) {
		for _, o := range s.controllers {
			o.watchDelayedUntil = s.now + duration
		}
	}},
	{"answers of the state service are lost", func(s *sim, n *simController, duration time.Duration) {
		n.repliesLostUntil = s.now + min(duration, 8*time.Second)
	}},
	{"a controller stands still", func(s *sim, n *simController, duration time.Duration) { n.pausedUntil = s.now + duration/2 }},
	{"everybody cancels", func(s *sim, n *simController, duration time.Duration) {
		for _, id := range sortedKeys(s.users) {
			if u := s.users[id]; u.finalStatus == "" && !u.cancelRequested && s.random.IntN(3) == 0 {
				s.after(s.randomMillis(0, 1000*duration.Seconds()), u.cancel)
			}
		}
	}},
	{"machines die", func(s *sim, n *simController, duration time.Duration) {
		s.forSomeWorkers(0.2, func(w *simWorker) { w.die(); w.failed = true })
	}},
	{"machines reach no controller", func(s *sim, n *simController, duration time.Duration) {
		s.forSomeWorkers(0.5, func(w *simWorker) { w.isolatedUntil = s.now + duration })
	}},
	{"answers to transactions alone are lost", func(s *sim, n *simController, duration time.Duration) { s.loseReplies(0.4, duration) }},
	{"old reports are kept for the next leader", func(s *sim, n *simController, duration time.Duration) {
		s.faults.copiedShare = 0.6
		s.after(duration, func() { s.faults.copiedShare = 0; s.deliverCopies(duration / 4) })
	}},
	{"running jobs are called off and machines hang", func(s *sim, n *simController, duration time.Duration) {
		s.cancelRunning(4, s.randomMillis(2000, 900*s.facts.Workers.Lease))
	}},
	{"jobs are called off at their end", func(s *sim, n *simController, duration time.Duration) {
		s.setShareFor(duration, &s.faults.cancelAtEnd, 0.7)
	}},
	{"odd requests", func(s *sim, n *simController, duration time.Duration) { s.sendInvalidRequests(s.now + duration) }},
	{"users look closely", func(s *sim, n *simController, duration time.Duration) {
		s.faults.queryEverywhere = true
		s.after(duration, func() { s.faults.queryEverywhere = false })
	}},
	{"links are slow", func(s *sim, n *simController, duration time.Duration) { s.faults.slowLinksUntil = s.now + duration }},
	{"copies of commands arrive", func(s *sim, n *simController, duration time.Duration) {
		s.setShareFor(duration, &s.faults.copiedCommands, 0.3)
	}},
	{"copies of other requests arrive", func(s *sim, n *simController, duration time.Duration) {
		s.setShareFor(duration, &s.faults.copiedRequests, 0.3)
	}},
	{"a zone is cut off", func(s *sim, n *simController, duration time.Duration) {
		for _, o := range s.controllers {
			if o.zone != "a" {
				o.unreachableUntil["zone:a"] = s.now + duration
				continue
			}
			for _, link := range []string{"state", "peers", "users", "cloud", "zone:b", "zone:c"} {
				o.unreachableUntil[link] = s.now + duration
			}
		}
	}},
}

// injectPair makes two faults coincide three times in a day.
func (s *sim) injectPair(a, b faultKind) {
	for _, at := range []time.Duration{30 * time.Second, 90 * time.Second, 150 * time.Second} {
		s.after(at-s.now, func() {
			n, duration := s.busiestController(), s.randomMillis(8_000, 45_000)
			if s.random.IntN(3) == 0 {
				n = s.anyController()
			}
			if s.output.trace != nil {
				fmt.Fprintf(s.output.trace, "%8.3f FAULTS controller=%s %s + %s for %v\n", s.now.Seconds(), n.name, a.name, b.name, duration)
			}
			a.inject(s, n, duration)
			s.after(s.randomMillis(0, 1000*duration.Seconds()), func() { b.inject(s, n, duration/2) })
		})
	}
}

// faultPair returns the pair of faults of a day. The first days cover each pair once, including each fault with itself,
// and alternate which of the two begins first. Later days go through all ordered pairs.
func faultPair(day uint64) (a, b faultKind) {
	kinds := len(faultKinds)
	first, rest := 0, int(day)
	for ; first < kinds && rest >= kinds-first; first++ {
		rest -= kinds - first
	}
	if first == kinds {
		return faultKinds[int(day)/kinds%kinds], faultKinds[int(day)%kinds]
	}
	if a, b = faultKinds[first], faultKinds[first+rest]; rest%2 == 1 {
		a, b = b, a
	}
	return a, b
}

// TestMeetingsOfTroubles runs a day for each pair of faults; SIM_DAYS sets another number of days.
// No rule may be broken, and after the faults every job must be known, served and done.
func TestMeetingsOfTroubles(t *testing.T) {
	kinds := len(faultKinds)
	runSeeds(t, 0, kinds*(kinds+1)/2, func(t *testing.T, seed uint64) {
		a, b := faultPair(seed)
		s := newSim(t, 31_000+seed, 0.002)
		// The largest jobs need twice the capacity.
		for machines := range s.cloud.capacity {
			s.cloud.capacity[machines] *= 2
		}
		s.facts.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 30}, {Name: "blue"}}
		s.advertised = s.facts
		s.options.skipLaunchOrderCheck = true // controllers learn late what was committed, see checkLaunchOrder
		s.traceDay(t, seed)
		s.submitMixedJobs(200 * time.Second)
		s.after(20*time.Second, func() { s.submitLargeJob(1) })
		s.after(100*time.Second, func() { s.submitLargeJob(2) })
		s.injectPair(a, b)
		s.checkAnswersFrom(290 * time.Second)
		s.finish(t, 300*time.Second)
		s.checkServed()
		s.reportViolations(t)
		if t.Failed() {
			t.Logf("%s + %s", a.name, b.name)
		}
	})
}
