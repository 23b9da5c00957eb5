// Package coordination is the core of a silvergate controller: one deterministic
// state machine per controller, without I/O, clock or goroutines. Each input comes with
// the current time and yields responses, calls and peer messages.
//
// The state service is the source of truth. The core mirrors its records, decides
// from the mirror, and changes records only by conditional transactions: a stale
// mirror costs a retry and never breaks an invariant.
//
// Scheduling follows the thesis that docs/design.md cites. Comments refer to the steps of its
// algorithm; "Exception" and a name in quotes mark a departure from it.
package coordination

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silvergate/internal/config"
	"silvergate/internal/connectivity"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/stateclient"
)

// Response is the response to an HTTP request.
type Response struct {
	ID         uint64 // ID of the request
	Status     int    // HTTP status
	Body       []byte // JSON
	RetryAfter int    // seconds; 0: none
	Urgent     bool   // goes to a worker with urgent work, whose connection is kept in preference to others
}

// Outgoing is a message for a peer.
type Outgoing struct {
	To      string
	Message peer.Message
}

// Effects are the outputs of a step, each list in order. The caller owns them.
type Effects struct {
	Responses []Response
	Calls     []protocol.Call
	Sends     []Outgoing
}

// Timestamp is the time of an input, by a monotonic clock that starts with the process
// and by the wall clock.
type Timestamp struct {
	Steady time.Duration
	Wall   time.Time
}

// Core is the state machine of one controller. It routes each input to the parts that own
// the affected state, and collects the effects of a step. It is not safe for concurrent use.
type Core struct {
	environment
	stepTime
	effects Effects

	state      *stateclient.Client
	links      *connectivity.Tracker
	calls      callTable
	sweep      sweepTimes
	membership membership
	catalogue  catalogue

	jobs      jobTable
	writer    pageWriter
	machines  machineTable
	scheduler scheduler
	gangs     gangScheduler
	scaler    fleetScaler
	queries   *queryHandler
	staging   *stagingCoordinator // nil if there are no data sets

	Stats Stats
}

// environment holds the arguments of New; they do not change.
type environment struct {
	cfg         *config.Settings
	log         *slog.Logger
	verbose     bool // debug logging is enabled; if not, debug lines are not built
	random      *rand.Rand
	incarnation int64 // distinguishes this process of the controller from earlier ones
}

// stepTime is the time of the current step.
type stepTime struct {
	now      time.Duration // since the process began
	wallTime time.Time
}

// callTable holds the calls that were sent and have no reply yet.
type callTable struct {
	nextID  uint64
	pending map[uint64]func(protocol.Reply)
	latency map[string]*hdrhistogram.Histogram // by target system
}

func newCallTable() callTable {
	return callTable{
		pending: map[uint64]func(protocol.Reply){},
		latency: map[string]*hdrhistogram.Histogram{},
	}
}

// sweepTimes are the times of the periodic sweep over all state.
type sweepTimes struct {
	nextAt   time.Duration
	loadedAt time.Duration // time of the first sweep after the records were loaded
}

// taskKey names a task: the job's id and the task's index in it.
type taskKey struct {
	job   string
	index int
}

// New returns a core. Two processes of the same controller must have different
// incarnations. All random choices come from rnd, so that replaying a recording with the
// same seed has the same effects.
func New(cfg *config.Settings, log *slog.Logger, rnd *rand.Rand, incarnation int64) *Core {
	c := &Core{
		environment: environment{
			cfg:         cfg,
			log:         log,
			verbose:     log.Enabled(context.Background(), slog.LevelDebug),
			random:      rnd,
			incarnation: incarnation,
		},
		calls:      newCallTable(),
		membership: newMembership(cfg),
		catalogue:  newCatalogue(),
		jobs:       newJobTable(),
		writer:     newPageWriter(),
		machines:   newMachineTable(),
		scheduler:  newScheduler(),
	}
	for i := range cfg.Facts.Teams {
		t := &cfg.Facts.Teams[i]
		c.jobs.teams[t.Name] = &team{cfg: t}
	}
	c.scaler = newFleetScaler(newUnshippedOutput(c))
	c.queries = newQueryHandler(c)
	c.staging = newStagingCoordinator(c)
	c.state = stateclient.New(&cfg.Facts, 1+len(cfg.Peers))
	c.state.Send = c.callState
	c.links = newLinkTracker(cfg, incarnation, c.state.StaleAfter())
	c.state.Apply = c.applyChange
	return c
}

// seconds converts a setting in seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// call sends a request to another system; done is called with the reply in a later step.
func (c *Core) call(k protocol.Call, done func(protocol.Reply)) {
	c.calls.nextID++
	k.ID = c.calls.nextID
	c.calls.pending[k.ID] = done
	c.effects.Calls = append(c.effects.Calls, k)
	if strings.HasPrefix(k.Path, protocol.PathWatch) {
		return // a watch is answered when something changes: its latency means nothing
	}
	target := k.Target.String()
	sentAt := c.now
	c.calls.pending[k.ID] = func(r protocol.Reply) {
		c.recordLatency(target, c.now-sentAt)
		done(r)
	}
}

// beginStep sets the time of a step. Every step begins with it and ends with endStep.
func (c *Core) beginStep(t Timestamp) {
	c.now, c.wallTime = t.Steady, t.Wall
	c.state.Advance(c.now)
	c.links.Advance(c.now)
}

// endStep runs the work that is deferred to the end of a step, and returns the effects.
func (c *Core) endStep() Effects {
	c.advanceFailovers()
	c.flush()
	c.state.Tick(c.now)
	c.sendStatusQueries()
	c.sendLaunches()
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// Request handles an HTTP request from a user, an operator, a worker or a health check.
// The response has the same id and is part of the effects of this step or of a later one.
func (c *Core) Request(t Timestamp, id uint64, method, path string, body []byte) Effects {
	c.beginStep(t)
	c.route(httpRequest{id: id, method: method, path: path, body: body})
	return c.endStep()
}

// Reply handles the reply to a call, or the failure of the call.
func (c *Core) Reply(t Timestamp, r protocol.Reply) Effects {
	c.beginStep(t)
	if done := c.calls.pending[r.ID]; done != nil {
		delete(c.calls.pending, r.ID)
		done(r)
	}
	return c.endStep()
}

// Peer handles a message from another controller.
func (c *Core) Peer(t Timestamp, from string, m peer.Message) Effects {
	c.beginStep(t)
	c.handlePeerMessage(from, m)
	return c.endStep()
}

// sweepPeriod is the time between two sweeps over all state, a fraction of the
// workers' heartbeat period.
func (c *Core) sweepPeriod() time.Duration { return seconds(c.cfg.Facts.Workers.Heartbeat / 12) }

// TickInterval is the time between two ticks while work is waiting for time to pass.
const TickInterval = 50 * time.Millisecond

// TimeToNextTick returns how long the core can go without a tick: until its next sweep, or
// TickInterval while a request, a page or a status query waits for time to pass. An
// idle controller thus wakes up only for its sweeps, since a wakeup costs more than the
// work done in it.
func (c *Core) TimeToNextTick() time.Duration {
	if c.needsFrequentTicks() {
		return TickInterval
	}
	return max(TickInterval, c.sweep.nextAt-c.now)
}

// needsFrequentTicks reports whether some work is due before the next sweep.
func (c *Core) needsFrequentTicks() bool {
	statusQueriesWait := len(c.queries.statusQueries) > 0 && !c.queries.statusQueryInFlight
	return !c.state.Loaded() || c.state.NeedsTick() || c.writer.needsTick || statusQueriesWait
}

// Tick advances the time: it does the work that is due, and sweeps over all state once per sweep period.
func (c *Core) Tick(t Timestamp) Effects {
	c.beginStep(t)
	c.checkLinks()
	c.sendPeerHeartbeats()
	c.maintainMembership()
	c.refreshCatalogue()
	if c.state.Loaded() && c.now >= c.sweep.nextAt {
		c.sweepAll()
	}
	return c.endStep()
}

// sweepAll checks all jobs and machines for work that becomes due by the passing of time
// alone. The order of the calls is part of the core's behaviour: each call sees the results
// of those before it.
func (c *Core) sweepAll() {
	c.sweep.nextAt = c.now + c.sweepPeriod()
	if c.sweep.loadedAt == 0 {
		c.sweep.loadedAt = c.now
		c.log.Info("records loaded", "incarnation", c.incarnation, "revision", c.state.AppliedRevision(), "machines", len(c.machines.byID), "open_jobs", len(c.jobs.open))
	}
	c.expirePendingFailovers()
	c.foldCompletions()
	c.checkSilentMachines()
	c.scheduler.expireEarlyHandoffs(c.now, c.cfg.Operator.PublishInterval)
	c.updateJobOrder()
	c.updateMemoryEstimate()
	c.schedule()
	c.preempt()
	c.consolidate()
	c.moveService()
	c.runFleetScaler()
	c.staging.tick()
}

// respond answers request id with v as JSON. retryAfter is in seconds; 0 means none.
func (c *Core) respond(id uint64, status int, v any, retryAfter int) {
	c.respondEncoded(id, status, encode(v), retryAfter)
}

// respondEncoded is like respond, with a body that is JSON already.
func (c *Core) respondEncoded(id uint64, status int, body []byte, retryAfter int) {
	response := Response{ID: id, Status: status, Body: body, RetryAfter: retryAfter}
	c.effects.Responses = append(c.effects.Responses, response)
}

// retryAfter returns after how many seconds a refused request may succeed: when the queued
// requests to the state service will have been sent, and at least one second. It can't
// predict when an unreachable service will be back.
func (c *Core) retryAfter() int {
	return min(maxRetryAfter, 1+int(c.state.QueueDelay().Seconds()))
}

// maxRetryAfter is the longest Retry-After that users honour, in seconds (PROTOCOL).
const maxRetryAfter = 30

// refuse answers request id with an error; a 503 comes with a time after which clients may retry.
func (c *Core) refuse(id uint64, status int, message string) {
	retry := 0
	if status == http.StatusServiceUnavailable {
		retry = c.retryAfter()
		c.Stats.Unavailable++
	}
	c.respond(id, status, protocol.ErrorResponse{Error: message}, retry)
}

// refuseWhileLoading refuses request id if the records have not been loaded since the start,
// and reports whether it did.
func (c *Core) refuseWhileLoading(id uint64) bool {
	if c.state.Loaded() {
		return false
	}
	c.refuse(id, http.StatusServiceUnavailable, "starting")
	return true
}

// leaseExpiry returns the time, counted from the arrival of an answered heartbeat, after
// which the worker has certainly killed all its tasks: lease_s plus the largest drift
// between two clocks.
func (c *Core) leaseExpiry() time.Duration { return seconds(c.cfg.Facts.Workers.Lease * 1.01) }

// tasksPerPage returns how many tasks a page holds, at 128 bytes of value_kb for each task. A
// bound task takes less than 64 bytes with the usual names, so a page has room for twice that.
func (c *Core) tasksPerPage() int { return max(1, int(c.cfg.Facts.State.ValueKB*1024/128)) }
