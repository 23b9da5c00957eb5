package connectivity

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

const (
	interval   = 4 * time.Second // of a worker's heartbeats
	staleAfter = 2500 * time.Millisecond
)

// newTracker returns the tracker of controller n0 of five, whose peers are n1 to n4.
func newTracker() *Tracker {
	cfg := Config{Self: "n0", Incarnation: 7, HeartbeatInterval: interval, StaleAfter: staleAfter}
	for i := 1; i < 5; i++ {
		cfg.Peers = append(cfg.Peers, Controller{fmt.Sprintf("n%d", i), []string{"a", "b"}[i%2]})
	}
	return New(cfg)
}

// hearPeers delivers a heartbeat of every peer, each of which hears n0.
func hearPeers(tracker *Tracker) {
	for _, p := range tracker.cfg.Peers {
		tracker.ReceiveHeartbeat(p.Node, 0, false, []LinkReport{{Node: p.Node, HearsPeers: []string{"n0"}}})
	}
}

// drawPeer draws a peer with any report, including values that no correct controller sends.
func drawPeer(t *rapid.T, name string) Peer {
	age := rapid.SampledFrom([]int64{-5, 0, 900, 2400, 2600, 60_000, 1 << 60})
	zone := rapid.SampledFrom([]string{"a", "b", ""})
	zoneReport := rapid.Custom(func(t *rapid.T) ZoneReport {
		return ZoneReport{
			Zone:        zone.Draw(t, "reported zone"),
			Workers:     rapid.IntRange(-2, 9).Draw(t, "workers"),
			LastHeardMS: age.Draw(t, "last heard"),
			Unreachable: rapid.Bool().Draw(t, "unreachable"),
		}
	})
	return Peer{
		Controller:   Controller{name, zone.Draw(t, "zone")},
		HeartbeatAge: time.Duration(rapid.IntRange(0, 9000).Draw(t, "heartbeat age")) * time.Millisecond,
		ReportAge:    time.Duration(rapid.IntRange(0, 60_000).Draw(t, "report age")) * time.Millisecond,
		Relays:       rapid.Bool().Draw(t, "relays"),
		RelayBackoff: rapid.Bool().Draw(t, "relay backoff"),
		LinkReport: LinkReport{
			Node:           name,
			StateServiceMS: age.Draw(t, "state service"),
			MirrorAgeMS:    age.Draw(t, "mirror age"),
			HearsNoWorkers: rapid.Bool().Draw(t, "hears no workers"),
			Throttled:      rapid.Bool().Draw(t, "throttled"),
			HearsPeers:     rapid.SliceOfN(rapid.SampledFrom([]string{"n0", "n1", "n2", "n3"}), 0, 3).Draw(t, "hears peers"),
			Zones:          rapid.SliceOfN(zoneReport, 0, 3).Draw(t, "zones"),
		},
	}
}

// drawSnapshot draws a snapshot of up to four peers.
func drawSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{Self: "n0", HeartbeatInterval: interval, StaleAfter: staleAfter}
	for i := 1; i <= rapid.IntRange(0, 4).Draw(t, "peers"); i++ {
		s.Peers = append(s.Peers, drawPeer(t, fmt.Sprintf("n%d", i)))
	}
	return s
}

// drawNode draws the name of a peer, the name of no peer, or an empty name.
func drawNode(t *rapid.T, label string) string {
	return rapid.SampledFrom([]string{"", "n1", "n2", "n9"}).Draw(t, label)
}

// mustFind returns the peer that a decision chose, and fails the test if there is no such peer.
func mustFind(t *rapid.T, s *Snapshot, name string) *Peer {
	peer := s.Find(name)
	if peer == nil {
		t.Fatalf("chose %q, which is not a peer", name)
	}
	return peer
}
