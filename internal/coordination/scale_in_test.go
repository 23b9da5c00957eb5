package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// fleetLeader returns the fleet leader, or nil if there is none.
func (s *sim) fleetLeader() *simController {
	for _, n := range s.controllers {
		if n.core != nil && n.core.isLeader() {
			return n
		}
	}
	return nil
}

// TestNoMachineIsReturnedThatIsInUse guards against the deletion of a machine with running tasks.
// The leader's mirror lags while it drains a machine as idle. Its own drain shows in the mirror at
// once, so the leader could have the machine deleted before the watch delivers placements that were
// committed ahead of the drain.
func TestNoMachineIsReturnedThatIsInUse(t *testing.T) {
	drained := 0
	for seed := uint64(45_000); seed < 45_006; seed++ {
		s := newSim(t, seed, 0)
		s.after(time.Second, func() {
			for i := range 6 {
				s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 1, CPUs: 2, GPUs: 1, MemoryGB: 8}, 0, 0)
			}
		})
		s.run(50 * time.Second)
		leader := s.fleetLeader()
		leader.watchDelayedUntil = time.Hour // the leader's watch responses are delayed from here on
		s.hooks.onLaunch = func(w *simWorker, o protocol.Command) {
			m := leader.core.machines.byID[w.name]
			if m == nil || m.token == 0 || len(m.bound) > 0 || leader.core.isOwn(m) {
				return
			}
			drained++
			leader.core.beginStep(leader.clock())
			leader.core.drainMachine(m, drainIdle)
			leader.applyEffects(leader.core.endStep())
		}
		for i := range 12 {
			s.submit(&job.Spec{ID: fmt.Sprintf("wk-7%05d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 2, CPUs: 2, GPUs: 1, MemoryGB: 8}, 30, 0)
		}
		s.run(80 * time.Second)
		s.hooks.onLaunch = nil
		if s.faultCounts.deletedInUse > 0 {
			t.Errorf("seed %d: %d tasks ran on machines that were deleted as idle", seed, s.faultCounts.deletedInUse)
		}
		s.reportViolations(t)
	}
	if drained == 0 {
		t.Error("no machine was drained while the leader's mirror lagged: the test exercised nothing")
	}
}

// TestATornMirrorReturnsNothing guards against deletions while the mirror is being rescanned page by
// page. The scan may read a task that is bound to a machine but miss the machine's claim, which was
// written meanwhile. A machine with tasks and no claim looks like one to be deleted.
func TestATornMirrorReturnsNothing(t *testing.T) {
	for _, v := range []struct {
		name string
		torn bool
	}{
		{"the records are being read anew", true},
		{"the records are complete", false},
	} {
		t.Run(v.name, func(t *testing.T) {
			torn := v.torn
			s := newSim(t, 45_100, 0)
			s.run(20 * time.Second)
			leader := s.fleetLeader()
			c := leader.core
			// A job with one task that runs on a machine whose claim is missing from the mirror.
			spec := encode(storedJob{&job.Spec{ID: "wk-700000", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 1, CPUs: 1, MemoryGB: 1}, job.Open, 1, leader.name})
			page := json.RawMessage(writePage([]job.Task{{Phase: job.Bound, Attempt: 1, Machine: "i-900000", Epoch: 1}}))
			write := func(key string, data json.RawMessage) {
				s.state.revision++
				s.state.apply(key, data, 0, s.state.revision)
			}
			deletions := 0
			count := func(e Effects) Effects {
				for _, k := range e.Calls {
					if k.Path == protocol.PathRentalsDelete {
						deletions++
					}
				}
				return e
			}
			if torn { // the watch is too old, so the mirror is rescanned; the page of claims is read before the claim is written
				leader.unreachableUntil["state"] = s.now + 1500*time.Millisecond // the watch is lost during this time
				s.run(s.now + 1500*time.Millisecond)
				for i := range 2 * s.state.eventHistory {
					write(fmt.Sprintf("sg/s/x%d", i), json.RawMessage("0"))
				}
				claimed := false
				for at := s.now; s.now < at+20*time.Second && !claimed; {
					s.run(s.now + time.Millisecond)
					if c.state.Rescanning() {
						claimed = true
						write(keyClaim+"i-900000", encode(claimRecord{"n9", 1, "w:i-900000", "small", "a", false, 1}))
						write(keyJob+"wk-700000", spec)
						write(pageKey("wk-700000", 0), page)
						s.state.apply(keyClaim+"i-900000", nil, 0, s.state.revision) // the rescan does not see the claim
					}
				}
				if !claimed {
					t.Fatal("the mirror was not rescanned")
				}
			} else { // the same without a rescan: the claim is missing, the task is bound
				write(keyJob+"wk-700000", spec)
				write(pageKey("wk-700000", 0), page)
			}
			for end := s.now + 2*time.Second; s.now < end; {
				s.run(s.now + 10*time.Millisecond)
				if torn && !c.state.Rescanning() && c.state.Consistent() {
					break
				}
				if m := c.machines.byID["i-900000"]; m == nil || len(m.bound) == 0 {
					continue
				}
				c.beginStep(leader.clock())
				c.deleteMachines()
				leader.applyEffects(count(c.endStep()))
			}
			if torn && deletions > 0 || !torn && deletions == 0 {
				t.Errorf("torn %v: %d deletions were requested", torn, deletions)
			}
		})
	}
}

// TestALateDeletionHitsNothingInUse guards against deletions without a drain record. The leader
// requests the deletion of machines that it considers strays or lost with their controller, and the
// request is delayed; meanwhile the machines send heartbeats, could be claimed and could get work.
// The drain record that precedes every deletion prevents this, whichever controller leads by then.
func TestALateDeletionHitsNothingInUse(t *testing.T) {
	for _, v := range []struct {
		name string
		lost bool
	}{{"machines that came up too late", false}, {"machines of a controller that is gone", true}} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			delayed := 0
			for seed := uint64(45_200); seed < 45_206; seed++ {
				s := newSim(t, seed, 0)
				submitJobs := func(from, n int) {
					for i := range n {
						s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", from+i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8}, 20, 0)
					}
				}
				s.after(time.Second, func() { submitJobs(0, 8) })
				s.faults.delaysDeletion = func(names []string) bool {
					delay := false
					for _, name := range names {
						w := s.cloud.machines[name]
						if w == nil || w.dead || s.state.drainReasons[keyDrain+name] == drainIdle {
							continue
						}
						delay = true
						if !w.up { // the machine boots at this moment
							s.after(s.randomMillis(0, 500), w.boot)
						}
						w.hungUntil = s.now
						delayed++
					}
					if delay { // the leader, which sent the request, crashes or is paused, and new jobs arrive
						l := s.fleetLeader()
						if l != nil && s.random.IntN(2) == 0 {
							l.crash(s.randomMillis(1000, 20_000))
						} else if l != nil {
							l.pausedUntil = s.now + s.randomMillis(1000, 20_000)
						}
						submitJobs(700_000+int(s.now/time.Millisecond), 3)
					}
					return delay
				}
				if v.lost {
					s.run(40 * time.Second)
					n := s.busiestController()
					if n == s.fleetLeader() {
						n = s.otherControllers(n)[0]
					}
					for _, w := range s.cloud.sortedMachines() {
						if n.owns(w) {
							w.hungUntil = s.now + time.Hour // until its deletion is requested
						}
					}
					n.crash(time.Hour)
				}
				s.run(4 * time.Minute)
				if s.faultCounts.deletedInUse > 0 {
					t.Errorf("seed %d: %d tasks were running on machines when a deletion requested before they started was carried out", seed, s.faultCounts.deletedInUse)
				}
				s.reportViolations(t)
			}
			if delayed == 0 {
				t.Error("no deletion was delayed: the test exercised nothing")
			}
		})
	}
}

// TestWhoRentsIsReplaced pauses the fleet leader, crashes it or cuts one of its links, repeatedly,
// while machines are rented and deleted. Two controllers never lead at the same time. Requests of a
// replaced leader are completed by its successor under the same name, or affect no machine in use.
// The fleet is without a leader for at most the leader's lease and two heartbeat periods. In the end
// no machine is rented.
func TestWhoRentsIsReplaced(t *testing.T) {
	for _, v := range []struct {
		name             string
		fault            func(s *sim, l *simController)
		keepsLeadership  bool // peers relay the leader's calls, so it may keep leading
		renewalMayBeLate bool // a delayed lease renewal may be carried out: the record lives for another term, without the leader knowing
	}{
		{"it stands still", func(s *sim, l *simController) { l.pausedUntil = s.now + s.randomMillis(8000, 20_000) }, false, false},
		{"it ends in the middle of a call", func(s *sim, l *simController) {
			s.faults.delaysDeletion = func([]string) bool { s.faults.delaysDeletion = nil; l.crash(s.randomMillis(300, 9000)); return true }
		}, false, false},
		{"it ends as a rental is recorded", func(s *sim, l *simController) {
			s.faults.losesReply = func(n *simController, t protocol.Txn) bool {
				if n != l || !writesKind(t, keyRental) {
					return false
				}
				s.faults.losesReply = nil
				s.after(s.randomMillis(0, 400), func() { l.crash(s.randomMillis(300, 9000)) })
				return true
			}
		}, false, false},
		{"it loses the state service", func(s *sim, l *simController) { l.unreachableUntil["state"] = s.now + s.randomMillis(10_000, 30_000) }, true, true},
		{"it loses the state service and the others", func(s *sim, l *simController) {
			l.unreachableUntil["state"], l.unreachableUntil["peers"] = s.now+20*time.Second, s.now+20*time.Second
		}, false, true},
		{"it is refused", func(s *sim, l *simController) { l.refusedUntil = s.now + s.randomMillis(10_000, 30_000) }, true, false},
		{"the cloud does not answer it", func(s *sim, l *simController) { l.unreachableUntil["cloud"] = s.now + s.randomMillis(15_000, 40_000) }, false, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			longest, replaced, incidents := time.Duration(0), 0, 0
			for seed := uint64(45_300); seed < 45_304; seed++ {
				s := newOutageSim(t, seed, outageScenario{controllers: 3 + 2*int(seed%2), workers: "well"})
				s.options.skipLaunchOrderCheck = true
				s.faults.quickBoots = seed%2 == 0
				s.submitMixedJobs(140 * time.Second)
				for i := range 4 {
					s.after(time.Duration(30+28*i)*time.Second, func() {
						if l := s.fleetLeader(); l != nil {
							incidents++
							v.fault(s, l)
						}
					})
				}
				var last *simController
				since, longestGap := time.Duration(0), time.Duration(0)
				var watch func()
				watch = func() {
					leads := 0
					for _, n := range s.controllers {
						if n.core != nil && n.pausedUntil <= s.now && n.core.isLeader() {
							if leads++; n != last {
								last = n
								replaced++
							}
						}
					}
					if leads > 1 {
						t.Errorf("seed %d: %d controllers lead the fleet at %v", seed, leads, s.now)
					}
					if leads > 0 || s.now < 20*time.Second {
						since = s.now
					}
					longestGap = max(longestGap, s.now-since)
					s.after(50*time.Millisecond, watch)
				}
				watch()
				s.finish(t, 180*time.Second)
				bound := s.leaseMultiple(1.0/3) + seconds(2*s.facts.Workers.Heartbeat)
				if v.renewalMayBeLate {
					bound += s.leaseMultiple(1.0 / 3)
				}
				if longestGap > bound {
					t.Errorf("seed %d: the fleet had no leader for %v, the bound is %v", seed, longestGap, bound)
				}
				longest = max(longest, longestGap)
				s.run(s.now + 3*time.Minute)
				for _, w := range s.cloud.sortedMachines() {
					t.Errorf("seed %d: machine %s is still rented, up: %v", seed, w.name, w.up)
				}
				if s.faultCounts.deletedInUse > 0 {
					t.Errorf("seed %d: %d tasks ran on machines that were deleted", seed, s.faultCounts.deletedInUse)
				}
				s.reportViolations(t)
			}
			if incidents < 12 || replaced < 8 && !v.keepsLeadership {
				t.Errorf("the fault was injected %d times, and the leader changed %d times", incidents, replaced)
			}
			t.Logf("longest time without a leader: %v, %d changes of the leader", longest, replaced)
		})
	}
}

// TestWhatWasClaimedSinceIsNotCondemned guards against draining a machine that was claimed while the
// drain waited for the rate limit.
func TestWhatWasClaimedSinceIsNotCondemned(t *testing.T) {
	s := newSim(t, 45_400, 0)
	s.submit(&job.Spec{ID: "wk-000001", Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 2, CPUs: 2, GPUs: 1, MemoryGB: 8}, 0, 0)
	s.run(50 * time.Second)
	leader := s.fleetLeader()
	c := leader.core
	c.beginStep(leader.clock())
	for _, w := range s.cloud.sortedMachines() {
		if w.up {
			c.scaler.toDrain[w.name] = []string{drainStray, drainLost}[len(c.scaler.toDrain)%2]
		}
	}
	c.scaler.toDrain["i-900000"] = drainStray
	if len(c.scaler.toDrain) < 2 {
		t.Fatal("no machine is up")
	}
	c.drainUnownedMachines()
	leader.applyEffects(c.endStep())
	s.run(52 * time.Second)
	for key := range s.state.drainWrites {
		if key != keyDrain+"i-900000" {
			t.Errorf("drain record %s was written with reason %s, though the machine is claimed", key, s.state.drainReasons[key])
		}
	}
	if s.state.drainWrites[keyDrain+"i-900000"] != 1 {
		t.Error("the machine that no controller has claimed was not drained exactly once")
	}
}
