package coordination

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"silvergate/internal/peer"
	"strings"
	"testing"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/job"
)

// tells tells whether messages from n reach o.
func (n *simController) tells(o *simController) bool {
	now := n.s.now
	return n.unreachableUntil["peers"] <= now && o.unreachableUntil["peers"] <= now && n.unreachableUntil["to:"+o.name] <= now
}

// said is a message as the other side reads it: a version before rows and carried calls
// passes over what it does not know, as gob does.
func (n *simController) said(o *simController, m peer.Message) (peer.Message, bool) {
	s := n.s
	if s.defects.noRelays && m.RelayRequest != nil {
		return m, false
	}
	if s.defects.noCancellationReplies && m.CancellationReply != nil {
		v := *m.CancellationReply
		v.Cancelled, m.CancellationReply = nil, &v
	}
	if m.Heartbeat != nil && (n.beforeRelays || o.beforeRelays || s.faults.randomLinkReports) {
		b := *m.Heartbeat
		switch b.Links = nil; {
		case s.faults.randomLinkReports && !n.beforeRelays && !o.beforeRelays:
			b.Links = s.lie()
		}
		m.Heartbeat = &b
	}
	if o.beforeRelays {
		m.RelayRequest, m.RelayResponse, m.Forwarded = nil, nil, nil
	}
	if n.beforeRelays && (m.RelayRequest != nil || m.RelayResponse != nil || m.Forwarded != nil) {
		s.violation("versions", "%s sends what its version does not know", n.name)
	}
	return m, true
}

// lie draws rows that mean nothing.
func (s *sim) lie() []connectivity.LinkReport {
	var out []connectivity.LinkReport
	for range 1 + s.random.IntN(5) {
		r := connectivity.LinkReport{Node: s.anyController().name, AgeMS: s.random.Int64N(20_000) - 1000, StateServiceMS: s.random.Int64N(6000) - 500, MirrorAgeMS: s.random.Int64N(6000) - 500,
			HearsNoWorkers: s.random.IntN(3) == 0, Throttled: s.random.IntN(2) == 0}
		for _, o := range s.controllers {
			if s.random.IntN(2) == 0 {
				r.HearsPeers = append(r.HearsPeers, o.name)
			}
		}
		if s.random.IntN(3) == 0 {
			r.Zones = []connectivity.ZoneReport{{Zone: s.facts.Zones[0], Workers: s.random.IntN(9) - 1, LastHeardMS: s.random.Int64N(20_000) - 1000, Unreachable: s.random.IntN(2) == 0}}
		}
		out = append(out, r)
	}
	return out
}

// wayLosses counts tasks that were killed by their lease, by whether a way from their
// worker to the state service was up, through one controller, for the whole of it.
type wayLosses struct {
	urgent, other int // there was a way
	cut           int // there was none, or none that could be found in a lease: each try of a controller that holds takes 5 s
	since         map[string]map[string]time.Duration
}

// watchWays notes since when each worker has had a way through each controller:
// worker to controller to state service, or to a peer that has it.
func (s *sim) watchWays() {
	if s.leaseLosses.since == nil {
		s.leaseLosses.since = map[string]map[string]time.Duration{}
	}
	states := map[*simController]bool{}
	for _, n := range s.controllers {
		states[n] = n.core != nil && n.pausedUntil <= s.now && n.unreachableUntil["state"] <= s.now && n.refusedUntil <= s.now && s.state.downUntil <= s.now
	}
	for _, n := range s.controllers {
		served := states[n]
		for _, o := range s.controllers {
			served = served || n.pausedUntil <= s.now && n.core != nil && states[o] && n.tells(o) && o.tells(n)
		}
		up := s.leaseLosses.since[n.name]
		if up == nil {
			up = map[string]time.Duration{}
			s.leaseLosses.since[n.name] = up
		}
		for _, z := range s.facts.Zones {
			switch {
			case !served || n.unreachableUntil["workers"] > s.now || n.unreachableUntil["zone:"+z] > s.now:
				delete(up, z)
			case up[z] == 0:
				up[z] = s.now
			}
		}
	}
	s.after(100*time.Millisecond, s.watchWays)
}

// judgeLoss counts what a worker's lease ends.
func (w *simWorker) judgeLoss() {
	s := w.s
	lease := seconds(s.facts.Workers.Lease)
	if s.leaseLosses.since == nil || w.hungUntil > s.now-lease {
		return
	}
	way, held := false, 0
	for _, up := range s.leaseLosses.since {
		way = way || up[w.zone] > 0 && s.now-up[w.zone] >= lease
	}
	for _, n := range s.controllers {
		// One that crashes at the same time holds them up like one that can't be reached: they
		// wait for it to go on without new claims.
		if n.unreachableUntil["workers"] > s.now-lease || n.unreachableUntil["zone:"+w.zone] > s.now-lease {
			held++
		}
		if n.core == nil || n.startedAt > s.now-lease || n.pausedUntil > s.now-lease {
			held++
		}
	}
	way = way && seconds(1.25*s.facts.Workers.Report)+time.Duration(held)*5*time.Second+2*time.Second < lease
	for _, l := range w.tasks {
		switch u := s.users[l.jobID]; {
		case !l.isActive() || u == nil:
		case !way:
			s.leaseLosses.cut++
		case u.spec.Priority == job.Production:
			s.leaseLosses.urgent++
		default:
			s.leaseLosses.other++
		}
		if s.output.trace != nil {
			fmt.Fprintf(s.output.trace, "%8.3f LEASE stoker=%s zone=%s load=%s/%d way=%v answered=%.3f\n", s.now.Seconds(), w.name, w.zone, l.jobID, l.index, way, w.lastAnsweredAt.Seconds())
		}
	}
}

// cuts are the ways in which a link of one controller can fail.
func (s *sim) cuts() []string {
	out := []string{"state", "state reset", "refused", "workers", "workers reset", "state flaps", "workers flap", "peers", "cloud", "users", "stands still"}
	for _, z := range s.facts.Zones[:1+len(s.controllers)/5*2] { // on few controllers one stands for all
		out = append(out, "zone:"+z)
	}
	for _, o := range s.controllers {
		out = append(out, "to:"+o.name)
	}
	return out
}

// cutLink makes a link of a controller fail for a time.
func (s *sim) cutLink(n *simController, kind string, long time.Duration) {
	if s.output.trace != nil {
		fmt.Fprintf(s.output.trace, "%8.3f CUT node=%s %s for %v\n", s.now.Seconds(), n.name, kind, long)
	}
	link, reset := strings.CutSuffix(kind, " reset")
	switch {
	case kind == "refused":
		n.refusedUntil = s.now + long
	case kind == "stands still": // all its links hold, and nobody is at home
		n.pausedUntil = s.now + long
	case strings.Contains(kind, " flap"):
		link, _, _ = strings.Cut(kind, " ")
		for at := time.Duration(0); at < long; at += 6 * time.Second {
			s.after(at, func() { n.unreachableUntil[link] = s.now + 4*time.Second })
		}
	default:
		n.unreachableUntil[link] = s.now + long
		if n.resetLinks == nil {
			n.resetLinks = map[string]bool{}
		}
		n.resetLinks[link] = reset
	}
}

// cutDay is a day of a calm site on which links of controllers fail together.
func cutDay(s *sim, die int, cuts ...func()) {
	s.advertised.Limits.MaxSockets, s.facts.Limits.MaxSockets = 200, 200
	for i := range 4 {
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i+1), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 3, CPUs: 2, GPUs: 0.5, MemoryGB: 8}, 0, 0)
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i+11), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Low, Tasks: 6, CPUs: 2, GPUs: 0.5, MemoryGB: 8}, 90, 0)
	}
	s.watchWays()
	s.after(50*time.Second, func() {
		for _, c := range cuts {
			c()
		}
	})
	s.after(54*time.Second, func() {
		for _, w := range s.cloud.sortedMachines() {
			if die--; w.up && die >= 0 {
				w.die()
				w.failed = true
			}
		}
	})
	s.run(130 * time.Second)
}

// TestPairsOfCuts has every pair of cuts meet, on three controllers, with and without
// a loss of machines. Every rule is judged, and no urgent task may be killed
// by its lease on a machine that had a way to the state service the whole time.
func TestPairsOfCuts(t *testing.T) {
	kinds := newSim(t, 1, 0).cuts()
	type cut struct {
		node int
		kind string
	}
	var all []cut
	for node := range 3 {
		for _, k := range kinds {
			if k != fmt.Sprintf("to:n%d", node) {
				all = append(all, cut{node, k})
			}
		}
	}
	seed := uint64(9000)
	for i, a := range all {
		seed += 2 * uint64(len(all)-i)
		t.Run(fmt.Sprintf("n%d %s", a.node, a.kind), func(t *testing.T) {
			t.Parallel()
			other, lost, days := 0, 0, 0
			for j, b := range all[i+1:] {
				for k, die := range []int{0, 3} {
					s := newSim(t, seed+uint64(2*j+k), 0)
					cutDay(s, die, func() { s.cutLink(s.controllers[a.node], a.kind, 40*time.Second) }, func() { s.cutLink(s.controllers[b.node], b.kind, 40*time.Second) })
					days++
					if len(s.violations) > 0 || s.leaseLosses.urgent > 0 {
						t.Errorf("with n%d %s, %d machines lost: %d urgent tasks killed that had a way; %v", b.node, b.kind, die, s.leaseLosses.urgent, s.violations)
					}
					other, lost = other+s.leaseLosses.other, lost+s.leaseLosses.cut
				}
			}
			t.Logf("%d days: %d lesser tasks killed that had a way, %d that had none", days, other, lost)
		})
	}
}

// TestDrawnCuts draws three to six cuts at a time on five controllers and a hundred
// machines and more, with the rates of a real state service. SIM_DAYS plays more days.
func TestDrawnCuts(t *testing.T) {
	runSeeds(t, 9500, 16, func(t *testing.T, seed uint64) {
		s := drawnCuts(t, seed)
		s.reportViolations(t)
		if s.leaseLosses.urgent > 0 {
			t.Errorf("%d urgent tasks killed that had a way", s.leaseLosses.urgent)
		}
		t.Logf("killed by their lease: %d urgent and %d others that had a way, %d that had none", s.leaseLosses.urgent, s.leaseLosses.other, s.leaseLosses.cut)
	})
}

func drawnCuts(t *testing.T, seed uint64) *sim {
	s := grownSim(t, seed)
	s.traceDay(t, seed)
	s.options.unorderedLaunches = true // cuts and late watches: see judgeOrder
	s.loadGrown(3 * time.Minute)
	s.watchWays()
	kinds := s.cuts()
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

// TestWaysAreJudged has the checker of ways find what it is for: when nobody carries
// calls, two of three controllers that lose the state service while the third loses its
// workers lose urgent tasks that had a way.
func TestWaysAreJudged(t *testing.T) {
	day := func(noCarrier bool) *sim {
		s := newSim(t, 9900, 0)
		s.defects.noRelays = noCarrier
		cutDay(s, 0, func() { s.cutLink(s.controllers[0], "state", time.Minute) }, func() { s.cutLink(s.controllers[1], "state", time.Minute) },
			func() { s.cutLink(s.controllers[2], "workers", time.Minute) })
		return s
	}
	if s := day(false); s.leaseLosses.urgent+s.leaseLosses.other > 0 || len(s.violations) > 0 {
		t.Errorf("%+v %v", s.leaseLosses, s.violations)
	}
	if s := day(true); s.leaseLosses.urgent == 0 {
		t.Error("nobody carries calls, and nothing was found")
	}
}

// TestRenterWithoutTheCloudGivesWay cuts the controller that rents off from the cloud alone: another
// rents soon, and it stays so. Where the cloud answers nobody, the lease stays where it is.
func TestRenterWithoutTheCloudGivesWay(t *testing.T) {
	for _, all := range []bool{false, true} {
		s := newSim(t, 9950, 0)
		s.submitMixedJobs(3 * time.Minute)
		s.run(50 * time.Second)
		var first *simController
		for _, n := range s.controllers {
			if n.core.isLeader() {
				first = n
			}
		}
		for _, n := range s.controllers {
			if n == first || all {
				s.cutLink(n, "cloud", time.Minute)
			}
		}
		changes, last, rentable := 0, first, time.Duration(0)
		for now := 50 * time.Second; now < 150*time.Second; now += 500 * time.Millisecond {
			s.run(now)
			for _, n := range s.controllers {
				if !n.core.isLeader() {
					continue
				}
				if n != last {
					changes, last = changes+1, n
				}
				if n.unreachableUntil["cloud"] <= now {
					rentable += 500 * time.Millisecond
				}
			}
		}
		if all && changes != 0 || !all && (changes != 1 || rentable < 80*time.Second) {
			t.Errorf("all cut off: %v; the lease changed hands %d times, and its holder could rent for %v of 100 s", all, changes, rentable)
		}
		s.reportViolations(t)
	}
}

// TestRulesDoNotDependOnRows has beats tell drawn rows, on days with drawn cuts.
func TestRulesDoNotDependOnRows(t *testing.T) {
	runSeeds(t, 9700, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 0.004)
		s.options.unorderedLaunches, s.faults.randomLinkReports = true, true
		s.submitMixedJobs(3 * time.Minute)
		s.after(20*time.Second, func() { s.injectFaults(3 * time.Minute) })
		s.after(30*time.Second, func() { s.injectPartitions(3 * time.Minute) })
		s.run(4 * time.Minute)
		s.reportViolations(t)
	})
}

// TestRollingRestartFromTheVersionBefore has one and two of three controllers run the
// version before rows while links fail, and then all the new one.
func TestRollingRestartFromTheVersionBefore(t *testing.T) {
	for old := 1; old <= 2; old++ {
		s := newSim(t, uint64(9800+old), 0.002)
		s.options.unorderedLaunches = true
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

// TestMessagesOfOtherVersions has gob carry messages between this version and the one
// before, whose types are written down here.
func TestMessagesOfOtherVersions(t *testing.T) {
	type oldBeat struct {
		FreshMS           int64
		Hungry            bool
		Lit, Dark, Unkept []string
	}
	type oldAsk struct {
		At     time.Duration
		Ledger uint64
	}
	type oldMessage struct {
		Beat *oldBeat
		Ask  *oldAsk
	}
	var link bytes.Buffer
	enc, dec := gob.NewEncoder(&link), gob.NewDecoder(&link)
	for _, m := range []peer.Message{{Heartbeat: &peer.Heartbeat{MirrorAgeMS: 7, Links: []connectivity.LinkReport{{Node: "n1", HearsPeers: []string{"n2"}}}}}, {RelayRequest: &connectivity.RelayRequest{ID: 3}},
		{Forwarded: &peer.ForwardedMessage{From: "n1"}}, {CancellationQuery: &peer.CancellationQuery{AskedAt: 5, AppliedRevision: 9, Incarnation: 4}}} {
		if err := enc.Encode(m.Wire()); err != nil {
			t.Fatal(err)
		}
		var o oldMessage
		if err := dec.Decode(&o); err != nil {
			t.Fatalf("the version before can't read %+v: %v", m, err)
		}
		if m.Heartbeat != nil && (o.Beat == nil || o.Beat.FreshMS != 7) || m.CancellationQuery != nil && (o.Ask == nil || o.Ask.Ledger != 9) || m.RelayRequest != nil && (o.Beat != nil || o.Ask != nil) {
			t.Errorf("%+v was read as %+v", m, o)
		}
	}
	if err := enc.Encode(oldMessage{Beat: &oldBeat{FreshMS: 8, Hungry: true}}); err != nil {
		t.Fatal(err)
	}
	var w peer.WireMessage
	err := dec.Decode(&w)
	m := w.Message()
	if err != nil || m.Heartbeat == nil || m.Heartbeat.MirrorAgeMS != 8 || m.Heartbeat.Links != nil {
		t.Errorf("a beat of the version before: %+v %v", m.Heartbeat, err)
	}
}

// FuzzPeerMessages feeds a controller what a link may bring, decoded as the program does.
func FuzzPeerMessages(f *testing.F) {
	for _, m := range []peer.Message{{Heartbeat: &peer.Heartbeat{MirrorAgeMS: 7, Links: []connectivity.LinkReport{{Node: "n1", AgeMS: -1, HearsPeers: []string{"n2"}}}}},
		{RelayRequest: &connectivity.RelayRequest{ID: 3, Method: "GET", Path: "/watch?under=sg/", TimeoutMS: 500}}, {RelayResponse: &connectivity.RelayResponse{ID: 1, Incarnation: 2, Status: 200}},
		{Forwarded: &peer.ForwardedMessage{From: "n1", To: "n0", Query: &peer.CancellationQuery{AskedAt: 1}}}, {Forwarded: &peer.ForwardedMessage{From: "n2", To: "n1"}}, {CancellationReply: &peer.CancellationReply{AskedAt: 1 << 60, Cancelled: []string{"x"}}},
		{Handoff: &peer.TaskHandoff{Job: "wk-000001", Tasks: []int{-1, 1 << 40}}}} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(m.Wire()); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var w peer.WireMessage
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&w) != nil {
			return
		}
		m := w.Message()
		s := newSim(t, 9990, 0)
		s.run(4 * time.Second) // the records are read
		n := s.controllers[0]
		for _, from := range []string{"n1", "nobody"} {
			n.applyEffects(n.recorded.Peer(n.clock(), from, m))
		}
		s.run(8 * time.Second)
		if len(s.violations) > 0 {
			t.Error(s.violations)
		}
	})
}
