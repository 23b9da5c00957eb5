package connectivity

import (
	"fmt"
	"testing"
)

// TestHostileReportsAreBounded guards against a heartbeat with thousands of reports, names or unknown
// controllers that fills the memory: only a bounded part is stored, and only for peers.
func TestHostileReportsAreBounded(t *testing.T) {
	tracker := newTracker()
	reports := []LinkReport{{Node: "n3", HearsPeers: make([]string, 5000), Zones: make([]ZoneReport, 5000), MirrorAgeMS: 1}}
	for i := range 5000 {
		reports = append(reports, LinkReport{Node: fmt.Sprint("x", i)}, LinkReport{Node: "n2", AgeMS: -1}, LinkReport{Node: "n0", StateServiceMS: 1 << 62})
	}
	tracker.ReceiveHeartbeat("n1", 0, false, reports)
	tracker.ReceiveHeartbeat("nobody", 0, false, reports)
	own := tracker.peers["n1"].report
	if len(tracker.peers) > 4 || tracker.peers["n3"] != nil || len(own.HearsPeers) > maxNames || len(own.Zones) > maxNames {
		t.Errorf("%d peers are stored, n1 with %+v", len(tracker.peers), own)
	}
	if tracker.peers["n2"] != nil && tracker.peers["n2"].reportedAt > 0 {
		t.Error("a report with a negative age was accepted")
	}
}
