package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/job"
	"silvergate/internal/peer"
)

// reachesPeer reports whether messages from n reach o.
func (n *simController) reachesPeer(o *simController) bool {
	now := n.s.now
	return n.unreachableUntil["peers"] <= now && o.unreachableUntil["peers"] <= now && n.unreachableUntil["to:"+o.name] <= now
}

// decodedBy returns a message as the receiver o decodes it: a version before link reports and relayed
// calls ignores fields that it does not know, as gob does. ok is false if the message is lost.
func (n *simController) decodedBy(o *simController, message peer.Message) (read peer.Message, ok bool) {
	s := n.s
	if s.defects.noRelays && message.RelayRequest != nil {
		return message, false
	}
	if s.defects.noCancellationReplies && message.CancellationReply != nil {
		reply := *message.CancellationReply
		reply.Cancelled = nil
		message.CancellationReply = &reply
	}
	if message.Heartbeat != nil && (n.beforeRelays || o.beforeRelays || s.faults.randomLinkReports) {
		heartbeat := *message.Heartbeat
		heartbeat.Links = nil
		if s.faults.randomLinkReports && !n.beforeRelays && !o.beforeRelays {
			heartbeat.Links = s.generateLinkReports()
		}
		message.Heartbeat = &heartbeat
	}
	if o.beforeRelays {
		message.RelayRequest = nil
		message.RelayResponse = nil
		message.Forwarded = nil
	}
	if n.beforeRelays && (message.RelayRequest != nil || message.RelayResponse != nil || message.Forwarded != nil) {
		s.addViolation("versions", "%s sends message fields that its version does not have", n.name)
	}
	return message, true
}

// generateLinkReports returns link reports with random, meaningless values.
func (s *sim) generateLinkReports() []connectivity.LinkReport {
	var out []connectivity.LinkReport
	for range 1 + s.random.IntN(5) {
		report := connectivity.LinkReport{
			Node:           s.anyController().name,
			AgeMS:          s.random.Int64N(20_000) - 1000,
			StateServiceMS: s.random.Int64N(6000) - 500,
			MirrorAgeMS:    s.random.Int64N(6000) - 500,
			HearsNoWorkers: s.random.IntN(3) == 0,
			Throttled:      s.random.IntN(2) == 0,
		}
		for _, o := range s.controllers {
			if s.random.IntN(2) == 0 {
				report.HearsPeers = append(report.HearsPeers, o.name)
			}
		}
		if s.random.IntN(3) == 0 {
			report.Zones = []connectivity.ZoneReport{{
				Zone:        s.facts.Zones[0],
				Workers:     s.random.IntN(9) - 1,
				LastHeardMS: s.random.Int64N(20_000) - 1000,
				Unreachable: s.random.IntN(2) == 0,
			}}
		}
		out = append(out, report)
	}
	return out
}

// leaseLossCounts counts the tasks that were killed because their worker's lease expired, by whether a
// path from the worker through one controller to the state service was up for the whole lease.
type leaseLossCounts struct {
	urgent, other int // tasks killed although there was a path
	withoutPath   int // tasks killed without a path, or without one that could be found within a lease
	// upSince is since when the path through each controller to each zone has been up; paths that
	// are down have no entry.
	upSince map[string]map[string]time.Duration
}

// watchPaths records since when each zone has had a path through each controller: from the workers
// to the controller and on to the state service, either directly or through a peer.
func (s *sim) watchPaths() {
	if s.leaseLosses.upSince == nil {
		s.leaseLosses.upSince = map[string]map[string]time.Duration{}
	}
	reachesState := map[*simController]bool{}
	for _, n := range s.controllers {
		reachesState[n] = n.core != nil && n.pausedUntil <= s.now && n.unreachableUntil["state"] <= s.now && n.refusedUntil <= s.now && s.state.downUntil <= s.now
	}
	for _, n := range s.controllers {
		served := reachesState[n]
		for _, o := range s.controllers {
			served = served || n.pausedUntil <= s.now && n.core != nil && reachesState[o] && n.reachesPeer(o) && o.reachesPeer(n)
		}
		up := s.leaseLosses.upSince[n.name]
		if up == nil {
			up = map[string]time.Duration{}
			s.leaseLosses.upSince[n.name] = up
		}
		for _, zone := range s.facts.Zones {
			switch {
			case !served || n.unreachableUntil["workers"] > s.now || n.unreachableUntil["zone:"+zone] > s.now:
				delete(up, zone)
			case up[zone] == 0:
				up[zone] = s.now
			}
		}
	}
	s.after(100*time.Millisecond, s.watchPaths)
}

// hadPath reports whether a worker had a path for the whole of its lease and could find it within
// that time: each attempt at a controller that hangs takes 5 s.
func (w *simWorker) hadPath() bool {
	s := w.s
	lease := seconds(s.facts.Workers.Lease)
	up := false
	for _, since := range s.leaseLosses.upSince {
		up = up || since[w.zone] > 0 && s.now-since[w.zone] >= lease
	}
	hanging := 0
	for _, n := range s.controllers {
		// A controller that crashed within the lease delays workers like one that can't be
		// reached: they wait until it is back and keeps them without new claims.
		if n.unreachableUntil["workers"] > s.now-lease || n.unreachableUntil["zone:"+w.zone] > s.now-lease {
			hanging++
		}
		if n.core == nil || n.startedAt > s.now-lease || n.pausedUntil > s.now-lease {
			hanging++
		}
	}
	search := seconds(1.25*s.facts.Workers.Heartbeat) + time.Duration(hanging)*5*time.Second + 2*time.Second
	return up && search < lease
}

// countLeaseLosses counts the tasks that are killed because the worker's lease has expired.
func (w *simWorker) countLeaseLosses() {
	s := w.s
	lease := seconds(s.facts.Workers.Lease)
	if s.leaseLosses.upSince == nil || w.hungUntil > s.now-lease {
		return
	}
	path := w.hadPath()
	for _, task := range w.tasks {
		switch u := s.users[task.jobID]; {
		case !task.isActive() || u == nil:
		case !path:
			s.leaseLosses.withoutPath++
		case u.spec.Priority == job.Production:
			s.leaseLosses.urgent++
		default:
			s.leaseLosses.other++
		}
		if s.output.trace != nil {
			fmt.Fprintf(s.output.trace, "%8.3f LEASE worker=%s zone=%s task=%s/%d path=%v answered=%.3f\n", s.now.Seconds(), w.name, w.zone, task.jobID, task.index, path, w.lastAnsweredAt.Seconds())
		}
	}
}

// linkCutKinds returns the ways in which a link of one controller can fail, for cutLink.
func (s *sim) linkCutKinds() []string {
	out := []string{"state", "state reset", "refused", "workers", "workers reset", "state flaps", "workers flap", "peers", "cloud", "users", "stands still"}
	for _, z := range s.facts.Zones[:1+len(s.controllers)/5*2] { // with few controllers one zone stands for all
		out = append(out, "zone:"+z)
	}
	for _, o := range s.controllers {
		out = append(out, "to:"+o.name)
	}
	return out
}

// cutLink makes a link of a controller fail for a duration, in one of the ways of linkCutKinds.
func (s *sim) cutLink(n *simController, kind string, duration time.Duration) {
	if s.output.trace != nil {
		fmt.Fprintf(s.output.trace, "%8.3f CUT node=%s %s for %v\n", s.now.Seconds(), n.name, kind, duration)
	}
	link, reset := strings.CutSuffix(kind, " reset")
	switch {
	case kind == "refused":
		n.refusedUntil = s.now + duration
	case kind == "stands still": // all its links are up, but the process is paused
		n.pausedUntil = s.now + duration
	case strings.Contains(kind, " flap"):
		link, _, _ = strings.Cut(kind, " ")
		for at := time.Duration(0); at < duration; at += 6 * time.Second {
			s.after(at, func() { n.unreachableUntil[link] = s.now + 4*time.Second })
		}
	default:
		n.unreachableUntil[link] = s.now + duration
		if n.resetLinks == nil {
			n.resetLinks = map[string]bool{}
		}
		n.resetLinks[link] = reset
	}
}

// runLinkCuts simulates a site without other faults on which the given cuts happen at the same time
// and, shortly after, lostMachines machines die.
func runLinkCuts(s *sim, lostMachines int, cuts ...func()) {
	s.advertised.Limits.MaxSockets, s.facts.Limits.MaxSockets = 200, 200
	for i := range 4 {
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i+1), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 3, CPUs: 2, GPUs: 0.5, MemoryGB: 8}, 0, 0)
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i+11), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Low, Tasks: 6, CPUs: 2, GPUs: 0.5, MemoryGB: 8}, 90, 0)
	}
	s.watchPaths()
	s.after(50*time.Second, func() {
		for _, cut := range cuts {
			cut()
		}
	})
	s.after(54*time.Second, func() {
		for _, w := range s.cloud.sortedMachines() {
			if lostMachines--; w.up && lostMachines >= 0 {
				w.die()
				w.failed = true
			}
		}
	})
	s.run(130 * time.Second)
}

// TestPairsOfCuts combines every pair of link cuts on three controllers, with and without a loss of
// machines. All rules are checked, and no urgent task may be killed by an expired lease on a
// machine that had a path to the state service for the whole lease.
func TestPairsOfCuts(t *testing.T) {
	kinds := newSim(t, 1, 0).linkCutKinds()
	type cut struct {
		controller int
		kind       string
	}
	var all []cut
	for controller := range 3 {
		for _, k := range kinds {
			if k != fmt.Sprintf("to:n%d", controller) {
				all = append(all, cut{controller, k})
			}
		}
	}
	seed := uint64(9000)
	for i, a := range all {
		seed += 2 * uint64(len(all)-i)
		t.Run(fmt.Sprintf("n%d %s", a.controller, a.kind), func(t *testing.T) {
			t.Parallel()
			other, lost, days := 0, 0, 0
			for j, b := range all[i+1:] {
				for k, die := range []int{0, 3} {
					s := newSim(t, seed+uint64(2*j+k), 0)
					runLinkCuts(s, die, func() { s.cutLink(s.controllers[a.controller], a.kind, 40*time.Second) }, func() { s.cutLink(s.controllers[b.controller], b.kind, 40*time.Second) })
					days++
					if len(s.violations) > 0 || s.leaseLosses.urgent > 0 {
						t.Errorf("with n%d %s, %d machines lost: %d urgent tasks killed that had a path; %v", b.controller, b.kind, die, s.leaseLosses.urgent, s.violations)
					}
					other, lost = other+s.leaseLosses.other, lost+s.leaseLosses.withoutPath
				}
			}
			t.Logf("%d days: %d other tasks killed that had a path, %d that had none", days, other, lost)
		})
	}
}

// TestDrawnCuts makes three to six random link cuts at a time on five controllers with more than a
// hundred machines and the rates of a real state service. SIM_DAYS sets the number of runs.
func TestDrawnCuts(t *testing.T) {
	runSeeds(t, 9500, 16, func(t *testing.T, seed uint64) {
		s := runRandomLinkCuts(t, seed)
		s.reportViolations(t)
		if s.leaseLosses.urgent > 0 {
			t.Errorf("%d urgent tasks were killed although their workers had a path", s.leaseLosses.urgent)
		}
		t.Logf("killed by their lease: %d urgent and %d others that had a path, %d that had none", s.leaseLosses.urgent, s.leaseLosses.other, s.leaseLosses.withoutPath)
	})
}

// runRandomLinkCuts simulates a deployment in which links are cut, controllers crash, and machines are
// lost or hang at random.
func runRandomLinkCuts(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newLargeDeploymentSim(t, seed)
	s.traceDay(t, seed)
	s.options.skipLaunchOrderCheck = true // cuts and late watches: see checkLaunchOrder
	s.submitLargeLoad(3 * time.Minute)
	s.watchPaths()
	kinds := s.linkCutKinds()
	var next func()
	next = func() {
		if s.now > 150*time.Second {
			return
		}
		for range 3 + s.random.IntN(4) {
			s.cutLink(s.anyController(), kinds[s.random.IntN(len(kinds))], s.randomMillis(10_000, 60_000))
		}
		switch s.random.IntN(4) {
		case 0:
			s.anyController().crash(s.randomMillis(500, 5000))
		case 1:
			for i, w := range s.cloud.sortedMachines() {
				if i%12 == 0 && w.up {
					w.die()
					w.failed = true
				}
			}
		case 2:
			for i, w := range s.cloud.sortedMachines() {
				if i%15 == 0 {
					w.hungUntil = s.now + s.randomMillis(5000, 40_000)
				}
			}
		}
		s.after(s.randomMillis(30_000, 60_000), next)
	}
	s.after(60*time.Second, next)
	s.run(210 * time.Second)
	return s
}

// TestWaysAreJudged checks the checker of paths. Two of three controllers lose the state service
// while the third loses its workers. If no controller relays calls, urgent tasks are killed although
// there was a path, and the checker must count them.
func TestWaysAreJudged(t *testing.T) {
	day := func(noRelays bool) *sim {
		s := newSim(t, 9900, 0)
		s.defects.noRelays = noRelays
		runLinkCuts(s, 0, func() { s.cutLink(s.controllers[0], "state", time.Minute) }, func() { s.cutLink(s.controllers[1], "state", time.Minute) },
			func() { s.cutLink(s.controllers[2], "workers", time.Minute) })
		return s
	}
	if s := day(false); s.leaseLosses.urgent+s.leaseLosses.other > 0 || len(s.violations) > 0 {
		t.Errorf("with relays: lease losses %+v, violations %v", s.leaseLosses, s.violations)
	}
	if s := day(true); s.leaseLosses.urgent == 0 {
		t.Error("no controller relays calls, but no urgent task with a path was counted as killed")
	}
}

// TestLeaderWithoutTheCloudResigns cuts only the leader off from the cloud: another controller
// becomes the leader soon and remains it. If the cloud answers no controller, the leader does not
// change.
func TestLeaderWithoutTheCloudResigns(t *testing.T) {
	for _, v := range []struct {
		name string
		all  bool // all controllers are cut off
	}{{"the leader is cut off", false}, {"all are cut off", true}} {
		t.Run(v.name, func(t *testing.T) {
			s := newSim(t, 9950, 0)
			s.submitMixedJobs(3 * time.Minute)
			s.run(50 * time.Second)
			first := s.lastFleetLeader()
			for _, n := range s.controllers {
				if n == first || v.all {
					s.cutLink(n, "cloud", time.Minute)
				}
			}
			changes, rentable := s.watchLeaders(first, 150*time.Second)
			if v.all && changes != 0 {
				t.Errorf("leadership changed %d times, want none", changes)
			}
			if !v.all && (changes != 1 || rentable < 80*time.Second) {
				t.Errorf("leadership changed %d times, want 1, and the leader could rent for %v of 100 s", changes, rentable)
			}
			s.reportViolations(t)
		})
	}
}

// lastFleetLeader returns the last controller that considers itself the fleet leader, or nil if none does.
func (s *sim) lastFleetLeader() *simController {
	var leader *simController
	for _, n := range s.controllers {
		if n.core.isLeader() {
			leader = n
		}
	}
	return leader
}

// watchLeaders continues the simulation until the given time. It returns how often the leadership
// changed and for how long there was a leader that could reach the cloud.
func (s *sim) watchLeaders(first *simController, until time.Duration) (changes int, rentable time.Duration) {
	last := first
	for now := s.now; now < until; now += 500 * time.Millisecond {
		s.run(now)
		for _, n := range s.controllers {
			if !n.core.isLeader() {
				continue
			}
			if n != last {
				changes++
				last = n
			}
			if n.unreachableUntil["cloud"] <= now {
				rentable += 500 * time.Millisecond
			}
		}
	}
	return changes, rentable
}

// TestRulesDoNotDependOnLinkReports checks that the rules hold when peer heartbeats carry random link
// reports, in runs with random faults and partitions.
func TestRulesDoNotDependOnLinkReports(t *testing.T) {
	runSeeds(t, 9700, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 0.004)
		s.options.skipLaunchOrderCheck, s.faults.randomLinkReports = true, true
		s.submitMixedJobs(3 * time.Minute)
		s.after(20*time.Second, func() { s.injectFaults(3 * time.Minute) })
		s.after(30*time.Second, func() { s.injectPartitions(3 * time.Minute) })
		s.run(4 * time.Minute)
		s.reportViolations(t)
	})
}

// TestRollingRestartFromTheVersionBefore starts with one or two of three controllers on the version
// before link reports and upgrades them one after the other while links fail.
func TestRollingRestartFromTheVersionBefore(t *testing.T) {
	for old := 1; old <= 2; old++ {
		s := newSim(t, uint64(9800+old), 0.002)
		s.options.skipLaunchOrderCheck = true
		for i := range old {
			s.controllers[i].beforeRelays = true
		}
		s.submitMixedJobs(2 * time.Minute)
		for i, n := range s.controllers {
			s.after(time.Duration(40+15*i)*time.Second, func() { n.crash(2 * time.Second); n.beforeRelays = false })
		}
		s.after(25*time.Second, func() { s.cutLink(s.controllers[2], "state", 30*time.Second) })
		s.after(60*time.Second, func() { s.cutLink(s.controllers[1], "workers", 30*time.Second) })
		s.finish(t, 150*time.Second)
		s.reportViolations(t)
	}
}
