package connectivity

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFlappingLinkChangesRelaySeldom takes the link to the state service up and down at drawn
// intervals. The path of calls must change a bounded number of times, a relay must be chosen
// within StaleAfter and two steps after the link went down, and the direct link must be used again
// once it stays up.
func TestFlappingLinkChangesRelaySeldom(t *testing.T) {
	const (
		step       = 100 * time.Millisecond
		maxChanges = 16
	)
	rapid.Check(t, func(t *rapid.T) {
		tracker := newTracker()
		up, changes, via, downFor := true, 0, "", time.Duration(0)
		left := 0
		for now := step; now <= 60*time.Second; now += step {
			if left--; left < 0 {
				up, left = !up, rapid.IntRange(1, 60).Draw(t, "for")
			}
			tracker.Advance(now)
			if now%(interval/3/step*step) == 0 {
				hearPeers(tracker)
			}
			if tracker.ShouldProbe() {
				tracker.RecordProbeReply(map[bool]int{true: 404, false: 503}[up])
			}
			if up && via == "" {
				tracker.RecordStateReply(200)
			}
			if downFor += step; up {
				downFor = 0
			}
			if downFor > tracker.cfg.StaleAfter+2*step && tracker.Relay() == "" {
				t.Fatalf("the link has been down for %v and no peer relays", downFor)
			}
			if to := tracker.Relay(); to != via {
				changes++
				via = to
			}
		}
		if changes > maxChanges {
			t.Fatalf("the path of calls changed %d times in a minute", changes)
		}
		for now := 60 * time.Second; now <= 60*time.Second+maxUptime+2*time.Second; now += step {
			tracker.Advance(now)
			hearPeers(tracker)
			if tracker.ShouldProbe() {
				tracker.RecordProbeReply(404)
			}
			if tracker.Relay() == "" {
				tracker.RecordStateReply(200)
			}
		}
		if to := tracker.Relay(); to != "" {
			t.Fatalf("the link stays up, and %s still relays", to)
		}
	})
}

// TestStallIsNotSilence guards against a process that stalled or was suspended and, when it resumes,
// concludes that all others were silent.
func TestStallIsNotSilence(t *testing.T) {
	const step = 300 * time.Millisecond
	tracker := newTracker()
	workers := map[string]int{"a": 50}
	zoneUnreachable := func() bool { return tracker.LinkReports(0, false)[0].Zones[0].Unreachable }
	for now := time.Duration(0); now < 10*time.Second; now += step {
		tracker.Advance(now)
		tracker.RecordStateReply(200)
		tracker.SetWorkers(workers, nil)
		tracker.RecordWorkerContact("a")
	}
	tracker.Advance(50 * time.Second)
	tracker.SetWorkers(workers, nil)
	if tracker.StateServiceLost() || tracker.HearsNoWorkers() || zoneUnreachable() || tracker.Stats.Stalls != 1 {
		t.Fatalf("lost %v after a stall, hears no workers %v, %+v", tracker.StateServiceLost(), tracker.HearsNoWorkers(), tracker.LinkReports(0, false)[0])
	}
	for now := 50 * time.Second; now < 54*time.Second; now += step {
		tracker.Advance(now)
		tracker.SetWorkers(workers, nil)
	}
	if !tracker.StateServiceLost() || !tracker.HearsNoWorkers() || !zoneUnreachable() {
		t.Fatal("four seconds of silence after a stall were not detected")
	}
}

// TestLostZoneIsBackOnceHeardSteadily checks that a zone whose workers other controllers have claimed
// stays lost until it has been heard for two heartbeat intervals, and for longer when it is lost again.
func TestLostZoneIsBackOnceHeardSteadily(t *testing.T) {
	tracker := newTracker()
	now := time.Duration(0)
	pass := func(d time.Duration, workers int, heard bool) {
		for end := now + d; now < end; now += 250 * time.Millisecond {
			tracker.Advance(now)
			if heard {
				tracker.RecordWorkerContact("a")
			}
			tracker.SetWorkers(map[string]int{"a": workers, "b": 0}, nil)
		}
	}
	lost := func() bool {
		return slices.ContainsFunc(tracker.LinkReports(0, false)[0].Zones, func(z ZoneReport) bool { return z.Zone == "a" && z.Unreachable })
	}
	pass(5*time.Second, 30, true)
	if lost() || tracker.HearsNoWorkers() {
		t.Fatal("the zone is lost while its workers are heard")
	}
	pass(3*time.Second, 30, false)
	pass(10*time.Second, 0, false) // claimed by others
	if !lost() || !slices.Equal(tracker.SilentZones(), []string{"a"}) {
		t.Fatalf("the zone is not lost after its silence; silent zones: %v", tracker.SilentZones())
	}
	pass(2*interval-time.Second, 0, true)
	if !lost() {
		t.Fatal("the zone is back before it was heard for two heartbeat intervals")
	}
	pass(2*time.Second, 0, true)
	if lost() || len(tracker.SilentZones()) > 0 {
		t.Fatal("the zone was heard for two heartbeat intervals and is still lost")
	}
	pass(time.Second, 30, true)
	pass(3*time.Second, 30, false)
	pass(2*interval+time.Second, 30, true)
	if !lost() {
		t.Fatal("the zone was lost twice in half a minute and is back as soon as the first time")
	}
	pass(2*interval, 30, true)
	if lost() {
		t.Fatal("the zone was heard for four heartbeat intervals and is still lost")
	}
}
