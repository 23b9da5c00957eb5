// Package coordination is silvergate's core: one state machine per controller.
// Inputs go in with the time; answers, calls and peer messages come out.
// There is no I/O, clock or goroutine in it.
//
// The state service is the truth. The core mirrors its records, decides from
// the mirror, and changes records only by conditional transactions, so a stale
// mirror costs a retry and never a rule.
package coordination

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silvergate/internal/config"
	"silvergate/internal/connectivity"
	"silvergate/internal/connlimit"
	"silvergate/internal/fencing"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/stateclient"
)

// Response is the response to a request from outside.
type Response struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int
	Urgent     bool // to a worker with urgent work: its connection is kept before others
}

// Outgoing is a message for a peer.
type Outgoing struct {
	To      string
	Message peer.Message
}

// Effects are what a step wants done.
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
// concern, and collects the effects of a step.
type Core struct {
	cfg         *config.Settings
	log         *slog.Logger
	verbose     bool // debug lines are wanted; saves building them
	random      *rand.Rand
	now         time.Duration
	wallTime    time.Time
	incarnation int64 // tells this process of the controller from earlier ones
	effects     Effects

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

// sweepTimes are the times of the periodic look at all state.
type sweepTimes struct {
	nextAt   time.Duration
	loadedAt time.Duration // of the first sweep after the records had been read
}

// Stats counts what an operator wants to know.
type Stats struct {
	Submitted       uint64 `json:"submitted"`
	Cancelled       uint64 `json:"cancelled"`
	Heartbeats      uint64 `json:"checkins"`
	Claims          uint64 `json:"claims"`
	Failovers       uint64 `json:"takeovers"` // groups of workers
	Adopted         uint64 `json:"adopted"`
	Placements      uint64 `json:"placements"`
	Completions     uint64 `json:"endings"`
	Conflicts       uint64 `json:"conflicts"`
	Handoffs        uint64 `json:"forwards"`
	Preemptions     uint64 `json:"preemptions"`
	MachinesRented  uint64 `json:"rented"`
	MachinesDeleted uint64 `json:"deleted"`
	Unavailable     uint64 `json:"unavailable"`

	Connections connlimit.Stats `json:"doors"` // connections, as the program tells

	LongestStepMS float64 `json:"longestStepMs"` // how long an answer had to wait for another step, at the most
}

type taskKey struct {
	job   string
	index int
}

// New makes a core. life must differ between two lives of the same controller.
func New(cfg *config.Settings, log *slog.Logger, rnd *rand.Rand, incarnation int64) *Core {
	c := &Core{
		cfg:         cfg,
		log:         log,
		random:      rnd,
		incarnation: incarnation,
		calls:       newCallTable(),
		membership:  newMembership(cfg),
		catalogue:   newCatalogue(),
		jobs:        newJobTable(),
		writer:      newPageWriter(),
		machines:    newMachineTable(),
		scheduler:   newScheduler(),
	}
	for i := range cfg.Facts.Teams {
		t := &cfg.Facts.Teams[i]
		c.jobs.teams[t.Name] = &team{cfg: t}
	}
	c.verbose = log.Enabled(context.Background(), slog.LevelDebug)
	c.scaler = newFleetScaler(newUnshippedOutput(c))
	c.queries = newQueryHandler(c)
	c.staging = newStagingCoordinator(c)
	c.state = stateclient.New(&cfg.Facts, 1+len(cfg.Peers))
	c.state.Send = c.callState
	c.links = newLinkTracker(cfg, incarnation, c.state.StaleAfter())
	c.state.Apply = c.applyChange
	return c
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *Core) call(k protocol.Call, done func(protocol.Reply)) {
	c.calls.nextID++
	k.ID = c.calls.nextID
	c.calls.pending[k.ID] = done
	c.effects.Calls = append(c.effects.Calls, k)
	if name := k.Target.String(); !strings.HasPrefix(k.Path, protocol.PathWatch) {
		at := c.now
		c.calls.pending[k.ID] = func(r protocol.Reply) {
			c.recordLatency(name, c.now-at)
			done(r)
		}
	}
}

// beginStep and end bracket every step.
func (c *Core) beginStep(t Timestamp) {
	c.now, c.wallTime = t.Steady, t.Wall
	c.state.Advance(c.now)
	c.links.Advance(c.now)
}

func (c *Core) endStep() Effects {
	c.advanceFailovers()
	c.flush()
	c.state.Tick(c.now)
	c.sendStatusQueries()
	c.sendLaunches()
	e := c.effects
	c.effects = Effects{}
	return e
}

// Request takes a request from a user, a worker or a health check.
func (c *Core) Request(t Timestamp, id uint64, method, path string, body []byte) Effects {
	c.beginStep(t)
	c.route(id, method, path, body)
	return c.endStep()
}

// Reply takes what came of a call.
func (c *Core) Reply(t Timestamp, r protocol.Reply) Effects {
	c.beginStep(t)
	if done := c.calls.pending[r.ID]; done != nil {
		delete(c.calls.pending, r.ID)
		done(r)
	}
	return c.endStep()
}

// Peer takes a message from another controller.
func (c *Core) Peer(t Timestamp, from string, m peer.Message) Effects {
	c.beginStep(t)
	c.handlePeerMessage(from, m)
	return c.endStep()
}

// sweepPeriod is the time between two looks at everything, a fraction of the
// workers' report period.
func (c *Core) sweepPeriod() time.Duration { return seconds(c.cfg.Facts.Workers.Report / 12) }

// Pace is the time between two ticks while something waits for the clock.
const Pace = 50 * time.Millisecond

// Due tells how long the core can do without a tick: until its next sweep, or
// for Pace while a request, a page or a question waits for the clock. An idle
// controller is thus woken as seldom as its sweeps need, since each waking
// costs more than what it does.
func (c *Core) Due() time.Duration {
	if !c.state.Loaded() || c.state.NeedsTick() || c.writer.needsTick || (len(c.queries.statusQueries) > 0 && !c.queries.statusQueryInFlight) {
		return Pace
	}
	return max(Pace, c.sweep.nextAt-c.now)
}

// Tick lets time pass.
func (c *Core) Tick(t Timestamp) Effects {
	c.beginStep(t)
	c.checkLinks()
	c.sendPeerHeartbeats()
	c.maintainMembership()
	c.refreshCatalogue()
	if c.state.Loaded() && c.now >= c.sweep.nextAt {
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
	return c.endStep()
}

func (c *Core) respond(id uint64, status int, v any, retryAfter int) {
	c.effects.Responses = append(c.effects.Responses, Response{ID: id, Status: status, Body: encode(v), RetryAfter: retryAfter})
}

// retryAfter is when a request that is refused has a chance: when what waits for
// the state service will have gone, and a second at least. Of a service that can't
// be reached nobody knows.
func (c *Core) retryAfter() int {
	return min(maxRetryAfter, 1+int(c.state.QueueDelay().Seconds()))
}

// maxRetryAfter is the longest wait that users heed (PROTOCOL).
const maxRetryAfter = 30

func (c *Core) refuse(id uint64, status int, why string) {
	retry := 0
	if status == 503 {
		retry = c.retryAfter()
		c.Stats.Unavailable++
	}
	c.respond(id, status, protocol.ErrorResponse{Error: why}, retry)
}

func (c *Core) route(id uint64, method, path string, body []byte) {
	switch {
	case path == protocol.PathHeartbeat:
		if method != "POST" {
			c.refuse(id, 405, "use POST")
			return
		}
		c.handleHeartbeat(id, body)
	case path == protocol.PathHealth:
		if method != "GET" {
			c.refuse(id, 405, "use GET")
			return
		}
		c.healthCheck(id)
	case path == PathStats:
		if method != "GET" {
			c.refuse(id, 405, "use GET")
			return
		}
		c.respond(id, 200, c.stats(), 0)
	case path == protocol.PathJobs:
		if method != "POST" {
			c.refuse(id, 405, "use POST")
			return
		}
		c.submit(id, body)
	case strings.HasPrefix(path, protocol.PathJobs+"/"):
		ref, verb, hasVerb := strings.Cut(path[len(protocol.PathJobs)+1:], "/")
		switch {
		case hasVerb && method == "GET" && c.queries.job(id, ref, verb):
		case hasVerb && verb != protocol.PathCancel:
			c.refuse(id, 404, "no such path")
		case hasVerb && method != "POST", !hasVerb && method != "GET":
			c.refuse(id, 405, "method not allowed")
		case !protocol.ValidJobID(ref):
			c.refuse(id, 404, "no such job")
		case hasVerb:
			c.cancel(id, ref, 0)
		default:
			c.queryJob(id, ref)
		}
	case method == "GET" && c.queries.list(id, path):
	case c.staging.route(id, method, path, body):
	default:
		c.refuse(id, 404, "no such path")
	}
}

// PathStats is where operators read the counters.
const PathStats = "/stats"

// stats is what operators see of a controller.
func (c *Core) stats() any {
	type latency struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50Ms"`
		P95   float64 `json:"p95Ms"`
		P99   float64 `json:"p99Ms"`
	}
	lat := map[string]latency{}
	for name, h := range c.calls.latency {
		lat[name] = latency{h.TotalCount(), float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(95)) / 1000, float64(h.ValueAtQuantile(99)) / 1000}
	}
	return struct {
		Node       string             `json:"node"`
		UptimeS    float64            `json:"uptimeS"`
		StateAgeS  float64            `json:"stateAgeS"`
		Leading    bool               `json:"leading"`
		Machines   int                `json:"machines"`
		Idle       int                `json:"idleList"`
		Waiting    int                `json:"waitingTasks"`
		OpenJobs   int                `json:"openJobs"`
		StateQueue int                `json:"stateQueue"`
		Counters   Stats              `json:"counters"`
		Latency    map[string]latency `json:"latency"`
		Reach      linkStats          `json:"reach"`
	}{c.cfg.Node, c.now.Seconds(), (c.now - c.state.FreshAt()).Seconds(), c.isLeader(), len(c.machines.own), len(c.scheduler.idle), c.scheduler.queuedTasks, len(c.jobs.open), c.state.Backlog(), c.Stats, lat, c.linkStats()}
}

// recordLatency records how long a call took, in a histogram that covers a minute
// to two digits.
func (c *Core) recordLatency(name string, d time.Duration) {
	h := c.calls.latency[name]
	if h == nil {
		h = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
		c.calls.latency[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Microseconds()), time.Minute.Microseconds()))
}

// Keys of the records.
const (
	keyJob      = stateclient.MirroredPrefix + "j/"
	keyPage     = stateclient.MirroredPrefix + "p/"
	keyClaim    = stateclient.MirroredPrefix + "c/"
	keyTeam     = stateclient.MirroredPrefix + "q/"
	keyMember   = stateclient.MirroredPrefix + "m/"
	keyDrain    = stateclient.MirroredPrefix + "x/"
	keyRental   = stateclient.MirroredPrefix + "h/"
	keyTakeover = stateclient.MirroredPrefix + "t/"
	keyEndings  = stateclient.MirroredPrefix + "e/"
	keyFleet    = stateclient.MirroredPrefix + "fleet"
	keyGang     = stateclient.MirroredPrefix + "gang"
	keyFlavors  = stateclient.MirroredPrefix + "flavors"
	keyExtra    = stateclient.UnmirroredPrefix + "d/"
)

// applyChange takes a change of the mirror.
func (c *Core) applyChange(key string, data json.RawMessage, revision uint64) {
	kind := key
	if i := strings.IndexByte(key[len(stateclient.MirroredPrefix):], '/'); i >= 0 {
		kind = key[:len(stateclient.MirroredPrefix)+i+1]
	}
	name := key[len(kind):]
	switch kind {
	case keyJob:
		c.applyJob(name, data, revision)
	case keyPage:
		c.applyPage(name, data, revision)
	case keyClaim:
		c.applyClaim(name, data, revision)
	case keyTakeover:
		c.applyFailover(name, data, revision)
	case keyEndings:
		c.applyCompletionRecord(name, data)
	case keyTeam:
		c.jobs.applyTeam(c.log, name, data, revision)
	case keyMember:
		c.applyMember(name, data)
	case keyDrain:
		c.applyDrain(name, data)
	case keyData:
		c.staging.applySet(name, data)
	case keyStaging:
		c.staging.applyStaging(name, data, revision)
	case keyRental:
		c.scaler.applyRental(name, data)
	case keyFleet:
		c.scaler.applyLeadership(data, revision)
	case keyGang:
		c.gangs.applyReservation(data, c.now)
	case keyFlavors:
		if len(c.catalogue.types) == 0 && data != nil {
			var f protocol.MachineTypes
			if protocol.Decode(data, &f) == nil {
				c.catalogue.update(&f)
			}
		}
	}
}

func decode(log *slog.Logger, key string, data json.RawMessage, v any) bool {
	if err := protocol.DecodeState(data, v); err != nil {
		log.Error("unreadable record", "key", key, "error", err)
		return false
	}
	return true
}

func encode(v any) json.RawMessage { return protocol.Encode(v) }

// cancelHorizon is how old the last proof about cancellations may be for workers to be answered.
func (c *Core) cancelHorizon() time.Duration {
	w := &c.cfg.Facts.Workers
	return fencing.CancelHorizon(seconds(w.Cancel), seconds(w.Lease))
}

// leaseExpiry is how long after an answered report's arrival its worker has
// certainly killed everything: lease_s and the most two clocks can drift.
func (c *Core) leaseExpiry() time.Duration { return seconds(c.cfg.Facts.Workers.Lease * 1.01) }

// tasksPerPage is how many tasks a page holds: a bound task takes less than 64
// bytes with the usual names, and four times that never passes value_kb.
func (c *Core) tasksPerPage() int { return max(1, int(c.cfg.Facts.State.ValueKB*1024/128)) }
