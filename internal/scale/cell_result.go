package scale

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is a cell's state at a moment, AtS seconds after its users began. Starts,
// Heartbeats and LeaseKilled are totals since then.
type Sample struct {
	AtS         float64 `json:"atS"`
	Starts      int     `json:"starts"`    // task starts
	Running     int     `json:"running"`   // tasks that run
	Workers     int     `json:"workers"`   // workers that are up
	Answered    int     `json:"answered"`  // workers whose heartbeat was answered within the last two heartbeat periods
	Heartbeats  int64   `json:"reports"`   // heartbeats sent
	LeaseKilled int     `json:"leaseKill"` // tasks killed because a lease ended
}

// Latency summarizes a histogram of times, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// CellResult is what a cell process measured.
type CellResult struct {
	Number          int                `json:"number"`
	Samples         []Sample           `json:"samples"`
	Violations      map[string]int     `json:"broken"`
	FirstViolations []string           `json:"firstBroken,omitempty"`
	Accepted        int                `json:"accepted"`
	GivenUp         int                `json:"givenUp"`
	Finished        int                `json:"finished"`
	Starts          int                `json:"starts"`
	LeaseKilled     int                `json:"leaseKilled"`
	ExpiredEpochs   int64              `json:"sessions"`
	Submit          Latency            `json:"submit"`
	FirstStart      map[string]Latency `json:"firstStart"` // from submission to the job's first task start, by urgency
	TaskStart       map[string]Latency `json:"taskStart"`  // from submission to each task's first start, by urgency
	Heartbeats      int64              `json:"reports"`
	Answers         map[string]int64   `json:"answers"`       // outcomes of heartbeats, by kind
	AnswerMs        float64            `json:"answerMs"`      // mean time until a heartbeat is answered
	BytesPerS       float64            `json:"bytesPerS"`     // mean heartbeat traffic of a worker, both ways
	CloudRequests   int                `json:"cloudRequests"` // requests to the cloud, of which CloudRefused were refused
	CloudRefused    int                `json:"cloudRefused"`
	// Agents is what the cell's real agents have used.
	Agents AgentsResult `json:"agents"`
}

// AgentsResult is what the processes of a cell's real agents have used, without their tasks.
type AgentsResult struct {
	Count  int     `json:"count"`
	CoreMs float64 `json:"coreMs"` // mean of all agents: processor time for each second of uptime, in ms
	PeakMB float64 `json:"peakMb"` // resident memory of the largest agent
}

// maxLatency is the longest time that a histogram records. Longer times count as this long.
const maxLatency = time.Hour

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 3) }

// clampMicros returns d in microseconds, within the range of the histograms.
func clampMicros(d time.Duration) int64 {
	return min(max(1, d.Microseconds()), maxLatency.Microseconds())
}

func recordLatency(by map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	if by[name] == nil {
		by[name] = newHistogram()
	}
	_ = by[name].RecordValue(clampMicros(d))
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(95)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}

func summarizeLatencies(by map[string]*hdrhistogram.Histogram) map[string]Latency {
	out := map[string]Latency{}
	for name, h := range by {
		out[name] = summarizeLatency(h)
	}
	return out
}

// result returns what the cell has measured.
func (c *cell) result() *CellResult {
	accepted, givenUp, finished := c.users.counts()
	broken, first := c.checker.violations()
	stats := &c.fleet.Stats
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &CellResult{Number: c.layout.number, Samples: c.measured.samples, Violations: broken, FirstViolations: first, Accepted: accepted, GivenUp: givenUp, Finished: finished,
		Starts: c.measured.starts, LeaseKilled: c.measured.leaseKilled, ExpiredEpochs: stats.ExpiredEpochs.Load(), Submit: summarizeLatency(c.measured.acceptance), FirstStart: summarizeLatencies(c.measured.firstStart), TaskStart: summarizeLatencies(c.measured.taskStart),
		Heartbeats: stats.Heartbeats.Load(), CloudRequests: c.cloud.requests, CloudRefused: c.cloud.refused, Agents: c.agentsResult(),
		Answers: map[string]int64{"answered": stats.Answered.Load(), "redirected": stats.Redirected.Load(), "refused": stats.Refused.Load(), "unanswered": stats.Unanswered.Load()}}
	if n := stats.Answered.Load(); n > 0 {
		r.AnswerMs = float64(stats.AnswerNanos.Load()) / float64(n) / 1e6
	}
	if c.measured.workerUptime > 0 {
		r.BytesPerS = float64(stats.BytesOut.Load()+stats.BytesIn.Load()) / c.measured.workerUptime
	}
	return r
}

// WriteJSON writes a value to a file as JSON. It writes another file and renames it, so
// that a reader never sees a part of the value.
func WriteJSON(path string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
