package coordination

import (
	"strings"
	"testing"
	"time"
)

// TestRulesHoldWhenAZoneIsCutOff simulates conditions under which a task is likely to run twice. A
// controller, with or without its workers, is partitioned for up to more than twice a lease, and its
// transactions arrive late. Afterwards its watch is answered late and in part, while peers claim its
// machines and task releases under the old fencing tokens are pending. SIM_DAYS sets the number of
// runs.
func TestRulesHoldWhenAZoneIsCutOff(t *testing.T) {
	runSeeds(t, 5000, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 0.004)
		s.options.skipLaunchOrderCheck = true
		s.traceDay(t, seed)
		s.submitMixedJobs(3 * time.Minute)
		s.after(20*time.Second, func() { s.injectPartitions(3 * time.Minute) })
		s.run(4 * time.Minute)
		s.reportViolations(t)
	})
}

// TestCutOffControllerDoesNotCondemnMachines guards against a fault found on carbura-iasi's day
// "troubles". The workers of a controller that could not reach the state service moved to its peers.
// By its stale mirror the controller considered them silent, and it had the healthy machines deleted
// once it could reach the state service again.
func TestCutOffControllerDoesNotCondemnMachines(t *testing.T) {
	s := newSim(t, 5, 0)
	s.submitMixedJobs(time.Minute)
	s.run(50 * time.Second)
	up := len(s.cloud.sortedMachines())
	s.controllers[1].unreachableUntil["state"] = s.now + 35*time.Second
	s.run(95 * time.Second)
	for key, v := range s.state.keys {
		if strings.HasPrefix(key, keyDrain) && strings.Contains(string(v.value), drainSilent) {
			t.Errorf("a healthy machine was drained as silent: %s: %s", key, v.value)
		}
	}
	if up == 0 {
		t.Fatal("no machines were rented")
	}
	s.reportViolations(t)
}

// TestZoneThatIsCutOffIsSeenAtOnce guards against deleting the machines with the oldest heartbeats
// when a zone is cut off: in the first seconds only they were overdue, and they were deleted (34
// machines of shiftbook-akl-fleet, day zone).
func TestZoneThatIsCutOffIsSeenAtOnce(t *testing.T) {
	now, period := 100*time.Second, 8*time.Second
	for _, c := range []struct {
		name string
		z    zoneHeartbeats
		cut  bool
	}{
		{"no report of a hundred for a second", zoneHeartbeats{machines: 100, overdue: 12, lastHeartbeat: now - time.Second}, true},
		{"a hundred, the last just now", zoneHeartbeats{machines: 100, overdue: 12, lastHeartbeat: now - 100*time.Millisecond}, false},
		{"half of a hundred quiet", zoneHeartbeats{machines: 100, overdue: 50, lastHeartbeat: now - 200*time.Millisecond}, false},
		{"most quiet, one heard just now", zoneHeartbeats{machines: 100, overdue: 80, lastHeartbeat: now}, true},
		{"three machines, all quiet", zoneHeartbeats{machines: 3, overdue: 3, lastHeartbeat: now - 30*time.Second}, false},
		{"five machines, all quiet", zoneHeartbeats{machines: 5, overdue: 5, lastHeartbeat: now - 11*time.Second}, true},
	} {
		if got := c.z.unreachable(now, period); got != c.cut {
			t.Errorf("%s: the zone counts as unreachable: %v", c.name, got)
		}
	}
}
