package coordination

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// fleetRecords returns the records of a site with the given number of machines. Each machine runs
// eight tasks; a job has 25 tasks, and a fifth of the jobs are services. As many further jobs
// are over.
func fleetRecords(machines int, owner string) (keys []string, data map[string][]byte) {
	data = map[string][]byte{keyMachineTypes: encode(protocol.MachineTypes{MachineTypes: []protocol.MachineType{{Name: "large", CPUs: 64, GPUs: 8, MemoryGB: 256, ImagePullGBPerS: 1, OnDemandPrice: 12, SpotPrice: 4, StartupS: 40, Zones: []string{"a", "b"}}}})}
	for i := range machines {
		data[fmt.Sprintf("%si-%06d", keyClaim, i)] = encode(claimRecord{owner, 1, fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), "large", []string{"a", "b"}[i%2], i%2 == 0, 1})
	}
	const tasksPerJob = 25
	for j := range machines * 8 / tasksPerJob * 2 {
		sp := &job.Spec{ID: fmt.Sprintf("wk-%06d", j), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Low, Tasks: tasksPerJob, CPUs: 4, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 4, Spot: true}
		if j%5 == 0 {
			sp.Class, sp.Shape, sp.Priority = "svc", job.Service, job.Production
		}
		rec := storedJob{sp, job.Open, 1_700_000_000_000 + int64(j), owner}
		tasks := make([]job.Task, tasksPerJob)
		for i := range tasks {
			if j%2 == 1 {
				rec.Status = job.Done
				tasks[i] = job.Task{Phase: job.Finished, Attempt: 1}
			} else {
				tasks[i] = job.Task{Phase: job.Bound, Attempt: 1, Machine: fmt.Sprintf("i-%06d", (j/2*tasksPerJob+i)/8), Epoch: 1}
			}
		}
		data[keyJob+sp.ID], data[pageKey(sp.ID, 0)] = encode(rec), writePage(tasks)
	}
	for k := range data {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys, data
}

// startCore starts a controller with the given records. It returns the number of requests in which
// the controller read them, and the total and the longest time of its steps until it has answered
// a health check, a user and a worker of its earlier incarnation.
func startCore(tb testing.TB, keys []string, data map[string][]byte) (requests int, total, longest time.Duration) {
	facts := newSim(tb, 1, 0).facts
	facts.Teams = []config.Team{{Name: "blue"}}
	cfg := &config.Settings{Node: "n0", Zone: "a", Facts: facts, Operator: config.DefaultOperator()}
	c := New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 2)), 2)
	at := time.Duration(0)
	clock := func() Timestamp { return Timestamp{at, time.UnixMilli(1_700_000_100_000 + at.Milliseconds())} }
	step := func(do func() Effects) Effects {
		begin := time.Now()
		e := do()
		d := time.Since(begin)
		total, longest = total+d, max(longest, d)
		return e
	}
	healthy, served, answered := false, false, false
	var pending []protocol.Call
	var lastID uint64 = 1 << 40
	request := func(method, path string, body []byte) int {
		lastID++
		e := step(func() Effects { return c.Request(clock(), lastID, method, path, body) })
		pending = append(pending, e.Calls...)
		for _, a := range e.Responses {
			if a.ID == lastID {
				return a.Status
			}
		}
		return 0
	}
	for range 5000 {
		at += 10 * time.Millisecond
		pending = append(pending, step(func() Effects { return c.Tick(clock()) }).Calls...)
		for len(pending) > 0 {
			k := pending[0]
			pending = pending[1:]
			r := protocol.Reply{ID: k.ID, Sent: true, Status: http.StatusOK, Body: []byte(`{"ledger":7,"permit":1,"news":[]}`)}
			if u, _ := url.Parse(k.Path); k.Target == protocol.ToStateService && u.Path == protocol.PathKeys {
				requests++
				p := protocol.KeyValuePage{Revision: 7}
				size := 0
				for i := sort.SearchStrings(keys, u.Query().Get("from")); i < len(keys); i++ {
					if keys[i] == u.Query().Get("from") {
						continue
					}
					if size += len(data[keys[i]]) + 80; len(p.KeyValues) == 1000 || size > 512<<10 {
						p.Truncated = true
						break
					}
					p.KeyValues = append(p.KeyValues, protocol.KeyValue{Key: keys[i], Value: data[keys[i]], ModRevision: 5})
				}
				r.Body = encode(p)
			} else if strings.HasPrefix(k.Path, protocol.PathWatch) || k.Target == protocol.ToCloud {
				if k.Path != protocol.PathMachineTypes {
					continue
				}
				r.Status = http.StatusServiceUnavailable
			}
			pending = append(pending, step(func() Effects { return c.Reply(clock(), r) }).Calls...)
		}
		if !healthy {
			healthy = request(http.MethodGet, protocol.PathHealth, nil) == http.StatusOK
		}
		if !served {
			served = request(http.MethodGet, protocol.PathJobs+"/wk-000001", nil) == http.StatusOK // a job that is over
		}
		if healthy && !answered {
			heartbeat := protocol.Heartbeat{Worker: "i-000000", Address: "10.1.0.0:9000", MachineType: "large", Zone: "a", Spot: true, AgentEpoch: 1, Sequence: 9, FencingToken: 5}
			for i := range 8 {
				heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: job.TaskName("wk-000000", i), Attempt: 1, Status: protocol.TaskRunning})
			}
			answered = request(http.MethodPost, protocol.PathHeartbeat, encode(heartbeat)) == http.StatusOK
		}
		if healthy && served && answered {
			return requests, total, longest
		}
	}
	tb.Fatalf("the controller did not start: health check answered %v, user answered %v, worker answered %v", healthy, served, answered)
	return
}

// TestStartReadsInPages guards against a start whose work grows faster than the records: a
// controller must load the records with no more requests than the protocol's pages need, and adopt
// the workers of its earlier incarnation.
func TestStartReadsInPages(t *testing.T) {
	keys, data := fleetRecords(1000, "n0")
	requests, _, _ := startCore(t, keys, data)
	if minRequests := (len(keys) + 999) / 1000; requests > minRequests+2 {
		t.Errorf("%d requests for %d records", requests, len(keys))
	}
}

// BenchmarkStart measures the time of a controller's steps from its start to its first answers to
// a health check, a user and a worker.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		keys, data := fleetRecords(n, "n0")
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			var sum, most time.Duration
			var requests int
			for range b.N {
				r, total, longest := startCore(b, keys, data)
				requests, sum, most = r, sum+total, max(most, longest)
			}
			b.ReportMetric(sum.Seconds()*1e3/float64(b.N), "ms/start")
			b.ReportMetric(most.Seconds()*1e3, "ms-longest-step")
			b.ReportMetric(float64(requests), "requests")
			b.ReportMetric(float64(len(keys)), "records")
		})
	}
}
