package coordination

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// The benchmarks whose names begin with Slope measure the steps of a controller whose cost
// docs/CAPACITY.md multiplies by their number per second:
//
//	go test -run XXX -bench Slope -count 5 ./internal/coordination

// machineHeartbeat returns a heartbeat of a machine as its owner expects it, with the running tasks that
// are bound to the machine and extra ended tasks that are not bound to it.
func machineHeartbeat(c *Core, m *machine, extra int) protocol.Heartbeat {
	r := protocol.Heartbeat{Worker: m.id, Address: m.claim.Address, MachineType: m.claim.MachineType, Zone: m.claim.Zone, Spot: m.claim.Spot,
		AgentEpoch: m.epoch, Sequence: m.sequence, FencingToken: m.token}
	for _, k := range m.boundTasks() {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: job.TaskName(k.job, k.index), Attempt: m.bound[k].task(c, k.index).Attempt, Status: protocol.TaskRunning})
	}
	for i := range extra {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: fmt.Sprintf("wk-999999/%d", i), Attempt: 1, Status: protocol.TaskEnded, Cause: protocol.CauseDone})
	}
	return r
}

// benchmarkHeartbeats handles heartbeats of a machine that list extra ended attempts which are not
// bound to it. Every response tells the machine to forget each of them.
func benchmarkHeartbeats(b *testing.B, extra int) {
	s, c, m := largeDeploymentCore(b)
	r := machineHeartbeat(c, m, extra)
	clock, id := s.controllers[0].clock(), uint64(1e9)
	b.ReportAllocs()
	for b.Loop() {
		r.Sequence++
		id++
		if e := c.Request(clock, id, http.MethodPost, protocol.PathHeartbeat, encode(r)); len(e.Responses) != 1 || e.Responses[0].Status != http.StatusOK {
			b.Fatalf("%+v", e.Responses)
		}
	}
	b.ReportMetric(float64(len(r.Tasks)), "tasks")
}

// BenchmarkSlopeReport measures a heartbeat that reports no changes.
func BenchmarkSlopeReport(b *testing.B) { benchmarkHeartbeats(b, 0) }

// BenchmarkSlopeReportOfTwelve measures a heartbeat with twelve additional tasks to be forgotten.
func BenchmarkSlopeReportOfTwelve(b *testing.B) { benchmarkHeartbeats(b, 12) }

// BenchmarkSlopeWatchedPage measures applying a page of 128 tasks in which one has changed.
func BenchmarkSlopeWatchedPage(b *testing.B) {
	_, c, _ := largeDeploymentCore(b)
	spec := &job.Spec{ID: "wk-888888", Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Low, Tasks: 128, CPUs: 1}
	c.applyJob(spec.ID, encode(storedJob{spec, job.Open, 1, "n0"}), 1)
	tasks := make([]job.Task, 128)
	for i := range tasks {
		tasks[i] = job.Task{Phase: job.Bound, Attempt: 1, Machine: c.machines.own[i%len(c.machines.own)].id, Epoch: 1}
	}
	var pages [2][]byte
	for i := range pages {
		tasks[7].Attempt = 1 + i
		pages[i] = writePage(tasks)
	}
	revision := uint64(1 << 40)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		c.applyPage(spec.ID+"/0", pages[revision%2], revision)
	}
}

// BenchmarkSlopeWatchedClaim measures applying claims of a machine by two controllers in turn.
func BenchmarkSlopeWatchedClaim(b *testing.B) {
	_, c, m := largeDeploymentCore(b)
	k := m.claim
	revision := uint64(1 << 40)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		k.Owner = fmt.Sprintf("n%d", 1+revision%2)
		c.applyClaim(m.id, encode(k), revision)
	}
}

// BenchmarkSlopePoll measures a status query for a job that is over.
func BenchmarkSlopePoll(b *testing.B) {
	s, c, _ := largeDeploymentCore(b)
	over := ""
	for _, id := range sortedKeys(c.jobs.byID) {
		if c.jobs.byID[id].final() {
			over = id
		}
	}
	if over == "" {
		b.Fatal("no job is over")
	}
	clock, id := s.controllers[0].clock(), uint64(1e9)
	b.ReportAllocs()
	for b.Loop() {
		id++
		if e := c.Request(clock, id, http.MethodGet, protocol.PathJobs+"/"+over, nil); len(e.Responses) != 1 {
			b.Fatalf("%+v", e.Responses)
		}
	}
}

// BenchmarkSlopeSubmission measures the handling of a submission up to its transaction: it decodes and
// validates the submission and passes the transaction to the rate limiter.
func BenchmarkSlopeSubmission(b *testing.B) {
	s, c, _ := largeDeploymentCore(b)
	clock, id := s.controllers[0].clock(), uint64(1e9)
	b.ReportAllocs()
	for b.Loop() {
		id++
		body := fmt.Sprintf(`{"ref":"wk-%09d","jobclass":"arr","crew":"blue","shape":"batch","urgency":"standard","loads":100,"cpus":1,"accelerators":0,"ramGb":1,"kit":"img","sizeGb":1,"rigs":null,"depot":null,"oneZone":false,"apart":false,"casual":true,"etaS":10,"waypointS":0,"stowS":0,"dueS":null}`, id)
		c.Request(clock, id, http.MethodPost, protocol.PathJobs, []byte(body))
		clock.Steady += time.Second // lets submissions that wait in the full queue be refused
	}
}

// BenchmarkSlopeTakeover measures applying the failover of a group of machines to another controller, which
// every controller does, and reports the time per machine of the group.
func BenchmarkSlopeTakeover(b *testing.B) {
	const workers = 1000
	newCore := func() (*Core, failover.Group) {
		_, c, m := largeDeploymentCore(b)
		k := m.claim
		k.Owner, k.Incarnation, k.Epoch = "n9", 1, 1
		var g failover.Group
		for i, n := 0, 0; n < workers; i++ {
			name := fmt.Sprintf("i-9%06d", i)
			if group := failover.GroupOf(failover.Holder{Node: "n9", Incarnation: 1, Epoch: 1}, name, k.Zone); group.Number == 0 {
				g, n = group, n+1
				c.applyClaim(name, encode(k), 1<<30)
			}
		}
		return c, g
	}
	c, g := newCore()
	revision := uint64(1 << 40)
	c.machines.ownership.failovers.Advance(1 << 50)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		c.applyFailover(g.Key(), encode(failover.Holder{Node: "n1", Incarnation: 1, Epoch: 1}), revision)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/workers, "ns/worker")
}
