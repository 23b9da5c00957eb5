package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestRulesHoldWithDataSets simulates days with random faults on which jobs read data sets. Besides
// the rules that hold on every simulated day, it requires that most tasks start on machines that hold
// their inputs, although most machines don't hold them.
func TestRulesHoldWithDataSets(t *testing.T) {
	warm, cold, cancelled := 0, 0, 0
	for seed := uint64(300); seed < 308; seed++ {
		s := newSim(t, seed, 0.004)
		for i := range 4 {
			s.options.dataSets = append(s.options.dataSets, protocol.DataSet{Set: fmt.Sprint("set", i), Version: "1", Digest: strings.Repeat(fmt.Sprint(i), 64), Bytes: 800e6, Sources: []string{"127.0.0.1:1"}})
		}
		for i := range s.options.dataSets {
			var register func()
			register = func() {
				s.anyController().request("users", "POST", protocol.PathDataSets, encode(s.options.dataSets[i]), func(st int, body []byte) {
					switch st {
					case 200, 201:
					case 503, 0:
						s.after(500*time.Millisecond, register)
					default:
						s.addViolation("data sets", "%d %s", st, body)
					}
				})
			}
			s.after(4*time.Second, register)
		}
		s.after(20*time.Second, func() {
			zone := "a"
			s.anyController().request("users", "POST", protocol.PathStagings, encode(protocol.Staging{ID: "x", Set: "set0", Version: "latest", Team: "red", Priority: "urgent", ByS: 30, Machines: 2, Zone: &zone}),
				func(st int, body []byte) {
					if st != 201 && st != 503 && st != 0 {
						s.addViolation("announcements", "%d %s", st, body)
					}
				})
		})
		s.submitMixedJobs(3 * time.Minute)
		s.after(30*time.Second, func() { s.injectFaults(3 * time.Minute) })
		s.finish(t, 4*time.Minute)
		s.reportViolations(t)
		warm, cold = warm+s.counts.warmStarts, cold+s.counts.coldStarts
		for _, n := range s.controllers {
			cancelled += int(n.core.staging.planner.Stats.Cancelled)
			if copies := len(n.core.staging.prefetchJobs); copies > 0 {
				t.Errorf("seed %d: %s still prefetches %d copies for jobs that are over", seed, n.name, copies)
			}
		}
	}
	t.Logf("%d launches on machines that held the inputs, %d on others, %d orders cancelled", warm, cold, cancelled)
	// Guards against fetches that continue although their tasks were placed on other machines.
	if cancelled == 0 {
		t.Error("no fetch order was cancelled")
	}
	if warm < cold {
		t.Errorf("%d launches on machines that held the inputs, but %d on others", warm, cold)
	}
}

// TestAnnouncementEndsWhenMet guards against copies that are retained for an announcement although
// its tasks have been placed.
func TestAnnouncementEndsWhenMet(t *testing.T) {
	s := newSim(t, 1, 0)
	s.options.dataSets = []protocol.DataSet{{Set: "set0", Version: "1"}}
	s.run(time.Second)
	c := s.controllers[0].core
	a := &announcement{Staging: protocol.Staging{Set: "set0", Version: "1", Team: "red", Priority: "urgent", Machines: 3}}
	put := func(id, team string, p job.Priority, input string, bound, finished int) {
		c.jobs.byID[id] = &jobRecord{mirroredJob: mirroredJob{spec: &job.Spec{ID: id, Team: team, Priority: p, Inputs: []string{input}}}, bound: bound, finished: finished}
	}
	put("other-set", "red", job.High, "set1/1", 9, 0)
	put("other-team", "blue", job.High, "set0/1", 9, 0)
	put("lesser", "red", job.Normal, "set0/1", 9, 0)
	put("first", "red", job.High, "set0/1", 1, 1)
	if c.staging.announcementMet(a) {
		t.Error("the announcement counts as met with two of three tasks placed")
	}
	put("second", "red", job.Production, "set0/1", 1, 0)
	if !c.staging.announcementMet(a) {
		t.Error("the announcement does not count as met with three of three tasks placed")
	}
}
