package coordination

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silvergate/internal/connlimit"
)

// PathStats is the path at which operators read the counters.
const PathStats = "/stats"

// Stats holds a controller's counters for operators.
type Stats struct {
	Submitted       uint64 `json:"submitted"`
	Cancelled       uint64 `json:"cancelled"`
	Heartbeats      uint64 `json:"checkins"`
	Claims          uint64 `json:"claims"`
	Failovers       uint64 `json:"takeovers"` // groups of workers that failed over to this controller
	Adopted         uint64 `json:"adopted"`
	Placements      uint64 `json:"placements"`
	Completions     uint64 `json:"endings"`
	Conflicts       uint64 `json:"conflicts"`
	Handoffs        uint64 `json:"forwards"`
	Preemptions     uint64 `json:"preemptions"`
	MachinesRented  uint64 `json:"rented"`
	MachinesDeleted uint64 `json:"deleted"`
	// UnshippedDeletions counts the machines that were deleted although it was not known that no
	// output waited there.
	UnshippedDeletions uint64 `json:"deletedUnshipped"`
	Unavailable        uint64 `json:"unavailable"`

	CommandStats

	Connections connlimit.Stats `json:"doors"` // filled in by the program

	LongestStepMS float64 `json:"longestStepMs"` // longest time that an answer had to wait for another step
}

// CommandStats holds the counters of commands to workers, and of the evidence on attempts.
type CommandStats struct {
	DirectLaunches  uint64 `json:"directLaunches"`  // launches sent by direct commands
	TokensRaised    uint64 `json:"tokensRaised"`    // fencing tokens raised above the claim's, without a write
	Forgets         uint64 `json:"forgets"`         // commands to forget an ended attempt
	Releases        uint64 `json:"releases"`        // releases proposed on a proof other than the attempt's end
	UnboundAttempts uint64 `json:"unboundAttempts"` // stops of live attempts that the records don't bind to their machine
}

// statsResponse is the response at PathStats.
type statsResponse struct {
	Node       string                    `json:"node"`
	UptimeS    float64                   `json:"uptimeS"`
	StateAgeS  float64                   `json:"stateAgeS"`
	Leading    bool                      `json:"leading"`
	Machines   int                       `json:"machines"`
	Idle       int                       `json:"idleList"`
	Waiting    int                       `json:"waitingTasks"`
	OpenJobs   int                       `json:"openJobs"`
	StateQueue int                       `json:"stateQueue"`
	Counters   Stats                     `json:"counters"`
	Latency    map[string]latencySummary `json:"latency"`
	Links      linkStats                 `json:"reach"`
}

// latencySummary summarizes the latency of the calls to one system.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
}

func summarize(h *hdrhistogram.Histogram) latencySummary {
	milliseconds := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }
	return latencySummary{
		Count: h.TotalCount(),
		P50:   milliseconds(50),
		P95:   milliseconds(95),
		P99:   milliseconds(99),
	}
}

func (c *Core) stats() statsResponse {
	latency := map[string]latencySummary{}
	for name, h := range c.calls.latency {
		latency[name] = summarize(h)
	}
	return statsResponse{
		Node:       c.cfg.Node,
		UptimeS:    c.now.Seconds(),
		StateAgeS:  (c.now - c.state.FreshAt()).Seconds(),
		Leading:    c.isLeader(),
		Machines:   len(c.machines.own),
		Idle:       len(c.scheduler.idle),
		Waiting:    c.scheduler.queuedTasks,
		OpenJobs:   len(c.jobs.open),
		StateQueue: c.state.Backlog(),
		Counters:   c.Stats,
		Latency:    latency,
		Links:      c.linkStats(),
	}
}

// maxLatency is the longest latency that is recorded; longer ones count as this.
const maxLatency = time.Minute

// recordLatency records the duration of a call to a system, in microseconds with two significant
// digits.
func (c *Core) recordLatency(name string, d time.Duration) {
	h := c.calls.latency[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), 2)
		c.calls.latency[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}
