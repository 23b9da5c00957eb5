// Package coordination is silvergate's core: one deterministic state machine per
// controller. Inputs go in with the time; responses, calls and peer messages come
// out. There is no I/O, clock or goroutine in it.
//
// The state service is the source of truth. The core mirrors its records, decides
// from the mirror, and changes records only by conditional transactions: a stale
// mirror costs a retry and never breaks an invariant.
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

// Response is the response to a request from outside.
type Response struct {
	ID         uint64 // of the request
	Status     int    // HTTP
	Body       []byte // JSON
	RetryAfter int    // seconds; 0: none
	Urgent     bool   // to a worker with urgent work: its connection is kept before others
}

// Outgoing is a message for a peer.
type Outgoing struct {
	To      string
	Message peer.Message
}

// Effects are what a step wants done, each list in its order. They belong to the caller.
type Effects struct {
	Responses []Response
	Calls     []protocol.Call
	Sends     []Outgoing
}

// Timestamp is the time that comes with an input: a steady clock that starts with
// the process, and the time of day.
type Timestamp struct {
	Steady time.Duration
	Wall   time.Time
}

// Core is one controller. It routes inputs to the parts that own the state they
// concern, and collects the effects of a step. It is not safe for concurrent use.
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
	staging   *stagingCoordinator // nil: no data sets

	Stats Stats
}

// environment is what a core is made with; it does not change.
type environment struct {
	cfg         *config.Settings
	log         *slog.Logger
	verbose     bool // debug lines are wanted; saves building them
	random      *rand.Rand
	incarnation int64 // tells this process of the controller from earlier ones
}

// stepTime is the time of the step under way.
type stepTime struct {
	now      time.Duration // since the process began
	wallTime time.Time
}

// callTable holds the calls that were sent and not answered yet.
type callTable struct {
	nextID  uint64
	pending map[uint64]func(protocol.Reply)
	latency map[string]*hdrhistogram.Histogram // by the system called
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
	loadedAt time.Duration // of the first sweep after the records had been read
}

// taskKey names a task: the job's id and the task's index in it.
type taskKey struct {
	job   string
	index int
}

// New makes a core. Two processes of the same controller must have different
// incarnations. All choices at random are drawn from rnd, so that a recording
// with the same seed replays to the same effects.
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

// seconds converts a setting in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// call sends a request to another system; done gets its reply in a later step.
func (c *Core) call(k protocol.Call, done func(protocol.Reply)) {
	c.calls.nextID++
	k.ID = c.calls.nextID
	c.calls.pending[k.ID] = done
	c.effects.Calls = append(c.effects.Calls, k)
	if strings.HasPrefix(k.Path, protocol.PathWatch) {
		return // a watch takes as long as nothing changes: its latency says nothing
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

// endStep sends what waited for the end of the step and returns the effects.
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
// The response has the same id; it is part of these effects or of later ones.
func (c *Core) Request(t Timestamp, id uint64, method, path string, body []byte) Effects {
	c.beginStep(t)
	c.route(httpRequest{id: id, method: method, path: path, body: body})
	return c.endStep()
}

// Reply handles the reply to a call, or its failure.
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
func (c *Core) sweepPeriod() time.Duration { return seconds(c.cfg.Facts.Workers.Report / 12) }

// TickInterval is the time between two ticks while something waits for time to pass.
const TickInterval = 50 * time.Millisecond

// Due tells how long the core can do without a tick: until its next sweep, or
// for TickInterval while a request, a page or a status query waits for time to pass. An
// idle controller is thus woken as seldom as its sweeps need, since each waking
// costs more than what it does.
func (c *Core) Due() time.Duration {
	if c.needsFrequentTicks() {
		return TickInterval
	}
	return max(TickInterval, c.sweep.nextAt-c.now)
}

// needsFrequentTicks tells whether something is to be done before the next sweep.
func (c *Core) needsFrequentTicks() bool {
	statusQueriesWait := len(c.queries.statusQueries) > 0 && !c.queries.statusQueryInFlight
	return !c.state.Loaded() || c.state.NeedsTick() || c.writer.needsTick || statusQueriesWait
}

// Tick lets time pass: it does what is due, and sweeps over all state once in each sweep period.
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

// sweepAll looks at all jobs and machines, and does what time alone makes due. The order
// of its parts is part of the core's behaviour: each sees what the earlier ones did.
func (c *Core) sweepAll() {
	c.sweep.nextAt = c.now + c.sweepPeriod()
	if c.sweep.loadedAt == 0 {
		c.sweep.loadedAt = c.now
	}
	c.expirePendingFailovers()
	c.foldCompletions()
	c.checkSilentMachines()
	c.scheduler.expireEarlyHandoffs(c.now, c.cfg.Operator.PublishInterval)
	c.updateJobOrder()
	c.schedule()
	c.preempt()
	c.consolidate()
	c.moveService()
	c.runFleetScaler()
	c.staging.tick()
}

// respond answers request id with v as JSON; retryAfter is in seconds, 0: none.
func (c *Core) respond(id uint64, status int, v any, retryAfter int) {
	response := Response{ID: id, Status: status, Body: encode(v), RetryAfter: retryAfter}
	c.effects.Responses = append(c.effects.Responses, response)
}

// retryAfter is after how many seconds a refused request has a chance: when the queue
// of requests to the state service will have been sent, and a second at least. When a
// service that can't be reached will be back, nobody knows.
func (c *Core) retryAfter() int {
	return min(maxRetryAfter, 1+int(c.state.QueueDelay().Seconds()))
}

// maxRetryAfter is the longest wait that users heed, in seconds (PROTOCOL).
const maxRetryAfter = 30

// refuse answers request id with an error; clients may retry a 503 after a while.
func (c *Core) refuse(id uint64, status int, message string) {
	retry := 0
	if status == http.StatusServiceUnavailable {
		retry = c.retryAfter()
		c.Stats.Unavailable++
	}
	c.respond(id, status, protocol.ErrorResponse{Error: message}, retry)
}

// refuseWhileLoading refuses request id if the records have not been read since the start,
// and tells whether it did.
func (c *Core) refuseWhileLoading(id uint64) bool {
	if c.state.Loaded() {
		return false
	}
	c.refuse(id, http.StatusServiceUnavailable, "starting")
	return true
}

// leaseExpiry is how long after the arrival of an answered heartbeat its worker has
// certainly killed all its tasks: lease_s and the most that two clocks can drift.
func (c *Core) leaseExpiry() time.Duration { return seconds(c.cfg.Facts.Workers.Lease * 1.01) }

// tasksPerPage is how many tasks a page holds: a bound task takes less than 64
// bytes with the usual names, and four times that never passes value_kb.
func (c *Core) tasksPerPage() int { return max(1, int(c.cfg.Facts.State.ValueKB*1024/128)) }
