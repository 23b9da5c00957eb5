package connectivity

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestChooseRelayTakesWhoCanRelay checks on drawn snapshots that a peer that can relay is chosen if there
// is one, and that the current relay is kept while it can.
func TestChooseRelayTakesWhoCanRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, current := drawSnapshot(t), drawNode(t, "current")
		canRelay := func(peer Peer) bool {
			return peer.Relays && !peer.RelayBackoff && s.Connected(&peer) && peer.StateServiceMS <= 2500
		}
		switch to := ChooseRelay(s, current); {
		case to == "" && slices.ContainsFunc(s.Peers, canRelay):
			t.Fatal("a peer can relay, and none was chosen")
		case to == "":
		case !canRelay(*mustFind(t, s, to)):
			t.Fatalf("%+v can't relay", mustFind(t, s, to))
		case to != current && slices.ContainsFunc(s.Peers, func(peer Peer) bool { return peer.Controller.Node == current && canRelay(peer) }):
			t.Fatal("the current relay can still relay, and another peer was chosen")
		}
	})
}

// TestChooseReceiverTakesWhoCanServe checks on drawn snapshots that a peer that can serve the worker is
// chosen if there is one, and always the same one.
func TestChooseReceiverTakesWhoCanServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, from := drawSnapshot(t), drawNode(t, "from")
		within := time.Duration(rapid.IntRange(0, 40_000).Draw(t, "within")) * time.Millisecond
		worker := rapid.StringMatching("i-0000000[0-9]").Draw(t, "worker")
		to := ChooseReceiver(s, "a", worker, from, within)
		if to == "" {
			if slices.ContainsFunc(s.Peers, func(peer Peer) bool { return peer.Controller.Node != from && CanServeZone(s, &peer, "a", within) }) {
				t.Fatal("a peer can serve the worker, and none was chosen")
			}
			return
		}
		peer := mustFind(t, s, to)
		lost := slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Zone == "a" && z.Unreachable })
		if to == from || peer.HearsNoWorkers || peer.ReportAge >= within || peer.MirrorAgeMS > 2000 || lost {
			t.Fatalf("a worker that comes from %q is redirected to %+v", from, peer)
		}
		if again := ChooseReceiver(s, "a", worker, from, within); again != to {
			t.Fatalf("the same worker is redirected to %s and to %s", to, again)
		}
	})
}

// TestProvenToHearZoneNeedsWorkers checks that only a peer that hears the zone and has at least
// minProvingWorkers workers there is proven to hear it.
func TestProvenToHearZoneNeedsWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		for i := range s.Peers {
			peer := &s.Peers[i]
			several := slices.ContainsFunc(peer.Zones, func(z ZoneReport) bool { return z.Zone == "a" && z.Workers >= minProvingWorkers })
			if ProvenToHearZone(s, peer, "a") && (!HearsZone(s, peer, "a") || !several) {
				t.Fatalf("%+v is proven to hear zone a", peer)
			}
		}
	})
}

// TestProvenToHearZoneNeedsSteadyLinks guards against workers that are redirected to a controller
// which heard their zone only in the two seconds in which its flapping link was up.
func TestProvenToHearZoneNeedsSteadyLinks(t *testing.T) {
	s := Snapshot{Self: "n0", HeartbeatInterval: interval}
	for _, c := range []struct {
		name        string
		lastHeardMS int64 // age of the last heartbeat from zone c, which is lost
		want        bool
	}{
		{"another zone comes and goes", 3878, false},
		{"another zone is cut off", 60_000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := Peer{Controller: Controller{"n1", "b"}, LinkReport: LinkReport{Zones: []ZoneReport{
				{Zone: "a", Workers: 6, LastHeardMS: 272},
				{Zone: "c", Workers: 1, LastHeardMS: c.lastHeardMS, Unreachable: true},
			}}}
			if got := ProvenToHearZone(&s, &peer, "a"); got != c.want {
				t.Errorf("proven to hear zone a: %v, want %v", got, c.want)
			}
		})
	}
}

// TestChooseIntermediaryHearsBothSides checks that an intermediary is chosen only for a peer that is not
// connected to us, and that the intermediary is connected to us and hears that peer.
func TestChooseIntermediaryHearsBothSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		for i := range s.Peers {
			target := &s.Peers[i]
			by := ChooseIntermediary(s, target.Controller.Node)
			if by == "" {
				continue
			}
			between := mustFind(t, s, by)
			if by == target.Controller.Node || s.Connected(target) || !slices.Contains(between.HearsPeers, target.Controller.Node) || !s.Connected(between) {
				t.Fatalf("%s can't be queried through the intermediary %s", target.Controller.Node, by)
			}
		}
	})
}

// TestMayRecoverNeedsWorkingLinks checks that no worker waits for an owner whose links were down when it
// was last heard.
func TestMayRecoverNeedsWorkingLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		within := time.Duration(rapid.IntRange(0, 40_000).Draw(t, "within")) * time.Millisecond
		for i := range s.Peers {
			owner := &s.Peers[i]
			if MayRecover(s, owner, within) && (owner.HearsNoWorkers || owner.StateServiceMS > 2500 || owner.HeartbeatAge > within) {
				t.Fatalf("a worker waits for %+v", owner)
			}
		}
	})
}

// TestRateDemandCountsEachPeerOnce checks on drawn snapshots that the counts don't exceed the number of
// peers.
func TestRateDemandCountsEachPeerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		alive := func(node string) bool { return node != "n2" }
		if throttled, idle := RateDemand(s, alive); throttled < 0 || idle < 0 || throttled+idle > len(s.Peers) {
			t.Fatalf("%d throttled and %d idle of %d peers", throttled, idle, len(s.Peers))
		}
	})
}

// TestShouldRedirectInOrder checks that workers with urgent work are redirected at once, none before a
// worker with more urgent work, and all by the time at which they may not be answered any more.
func TestShouldRedirectInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "window")) * time.Millisecond
		alone := time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "alone"))
		left := window - alone
		went := true // whether the previous, more urgent workload goes
		for w := UrgentWorkload; w <= NoWorkload; w++ {
			goes := ShouldRedirect(w, alone, left)
			if goes && !went {
				t.Fatalf("workload %v is redirected before %v", w, w-1)
			}
			if later := min(window, alone+time.Millisecond); goes && !ShouldRedirect(w, later, window-later) {
				t.Fatal("a worker that is redirected now would stay a moment later")
			}
			went = goes
		}
		if !ShouldRedirect(UrgentWorkload, alone, left) || left == 0 && !went {
			t.Fatal("a worker with urgent work is not redirected at once, or one without work not in time")
		}
	})
}

func TestWorkloadNames(t *testing.T) {
	for w, want := range map[Workload]string{UrgentWorkload: "urgent", OtherWorkload: "other", NoWorkload: "none", NoWorkload + 1: "unknown", -1: "unknown"} {
		t.Run(want, func(t *testing.T) {
			if got := w.String(); got != want {
				t.Errorf("the name of workload %d is %q", int(w), got)
			}
		})
	}
}
