package coordination

import (
	"strings"
	"testing"
	"time"
)

// TestRulesHoldWhenAZoneIsCutOff plays days that favour the fault of a task that ran
// twice: a controller, with or without its workers, is partitioned for up to more than
// twice a lease; its transactions arrive late; afterwards its watch is answered late, in
// part, while peers claim its machines and task releases under the old fencing tokens
// wait. SIM_DAYS plays more of them.
func TestRulesHoldWhenAZoneIsCutOff(t *testing.T) {
	runSeeds(t, 5000, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 0.004)
		s.options.unorderedLaunches = true
		s.traceDay(t, seed)
		s.submitMixedJobs(3 * time.Minute)
		s.after(20*time.Second, func() { s.injectPartitions(3 * time.Minute) })
		s.run(4 * time.Minute)
		s.reportViolations(t)
	})
}

// TestCutOffControllerDoesNotCondemnMachines guards against a fault found on
// carbura-iasi's day "troubles": a controller that could not reach the state
// service saw its workers move to its peers, called them silent from its stale
// mirror, and had the healthy machines deleted once it was back.
func TestCutOffControllerDoesNotCondemnMachines(t *testing.T) {
	s := newSim(t, 5, 0)
	s.submitMixedJobs(time.Minute)
	s.run(50 * time.Second)
	up := len(s.cloud.sortedMachines())
	s.controllers[1].unreachableUntil["state"] = s.now + 35*time.Second
	s.run(95 * time.Second)
	for key, v := range s.state.keys {
		if strings.HasPrefix(key, keyDrain) && strings.Contains(string(v.value), drainSilent) {
			t.Errorf("%s: %s", key, v.value)
		}
	}
	if up == 0 {
		t.Fatal("no machines were rented")
	}
	s.reportViolations(t)
}

// TestZoneThatIsCutOffIsSeenAtOnce guards against deleting the machines whose heartbeats
// are the oldest: in the first seconds of a partition they alone were overdue, and were
// deleted (34 of shiftbook-akl-fleet's, day zone).
func TestZoneThatIsCutOffIsSeenAtOnce(t *testing.T) {
	now, report := 100*time.Second, 8*time.Second
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
		if got := c.z.unreachable(now, report); got != c.cut {
			t.Errorf("%s: cut %v", c.name, got)
		}
	}
}
