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

	"silvergate/internal/bookkeeping"
	"silvergate/internal/config"
	"silvergate/internal/connlimit"
	"silvergate/internal/evidence"
	"silvergate/internal/protocol"
	"silvergate/internal/reach"
)

// Answer is the response to a request from outside.
type Answer struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int
	Urgent     bool // to a worker with urgent work: its connection is kept before others
}

// Send is a message for a peer.
type Send struct {
	To      string
	Message Message
}

// Effects are what a step wants done.
type Effects struct {
	Answers []Answer
	Calls   []protocol.Call
	Sends   []Send
}

// Clock is the time that comes with an input: a steady clock that starts with
// the process, and the time of day.
type Clock struct {
	Steady time.Duration
	Wall   time.Time
}

// Core is one controller.
type Core struct {
	cfg   *config.Settings
	log   *slog.Logger
	rnd   *rand.Rand
	now   time.Duration
	wall  time.Time
	life  int64 // tells this life of the process from earlier ones
	out   Effects
	store *bookkeeping.Client

	nextCall uint64
	calls    map[uint64]func(protocol.Reply)

	jobs     map[string]*record
	open     map[string]*record // jobs that are not over
	plain    int                // open jobs without accelerators
	byAge    []*record          // the same, oldest first
	turns    []*record          // the same, most urgent first, as of the last sweep
	opened   []*record          // since then
	capacity usage              // of all machines, and when it was last summed
	summedAt time.Duration
	machines map[string]*machine
	ours     []*machine // machines that we hold, by name
	holders  holders    // who holds which machines
	teams    map[string]*team
	members  map[string]*member
	formats  map[string]int   // what each controller reads, as last published
	changes  []taskChange     // for applyPage alone
	listed   map[taskKey]bool // for orders alone
	drains   map[string]drain
	writes   pageWrites // what is to be written of tasks
	orphans  map[string]orphan
	early    map[string][]early // handed over before their jobs' records came

	catalogue map[string]*protocol.MachineType
	flavorsAt time.Duration
	flavorsIn bool

	idle    []*machine // machines with room, the idle list
	lines   []*record  // jobs with tasks in lines, in the order of their turns
	lined   int        // tasks in lines
	polls   []poll
	polling bool

	gang       gangLease
	marking    bool
	markedAt   time.Duration
	freeAt     time.Duration // when the last mark was given back
	drawAt     time.Duration
	restarting time.Duration
	claims     int     // being written
	asks       int     // for a status, under way
	moves      float64 // services that may be moved now, see consolidate
	movedAt    time.Duration
	launching  []*machine
	latency    map[string]*hdrhistogram.Histogram
	verbose    bool // debug lines are wanted; saves building them

	permit    uint64
	permitAt  time.Duration
	granting  bool
	published string
	publishAt time.Duration
	ttl       time.Duration
	reach     *reach.Reach // who reaches what; see reach.go
	sweepAt   time.Duration
	readyAt   time.Duration // when the records had been read

	fleet fleet
	view  *view
	data  *data // nil: no data sets
	Stats Stats
}

// Stats counts what an operator wants to know.
type Stats struct {
	Submitted   uint64 `json:"submitted"`
	Cancelled   uint64 `json:"cancelled"`
	Checkins    uint64 `json:"checkins"`
	Claims      uint64 `json:"claims"`
	Takeovers   uint64 `json:"takeovers"` // groups of workers
	Adopted     uint64 `json:"adopted"`
	Placements  uint64 `json:"placements"`
	Endings     uint64 `json:"endings"`
	Conflicts   uint64 `json:"conflicts"`
	Forwards    uint64 `json:"forwards"`
	Preemptions uint64 `json:"preemptions"`
	Rented      uint64 `json:"rented"`
	Deleted     uint64 `json:"deleted"`
	Unavailable uint64 `json:"unavailable"`

	Connections connlimit.Stats `json:"doors"` // connections, as the program tells

	LongestStepMS float64 `json:"longestStepMs"` // how long an answer had to wait for another step, at the most
}

type taskKey struct {
	id    string
	index int
}

// New makes a core. life must differ between two lives of the same controller.
func New(cfg *config.Settings, log *slog.Logger, rnd *rand.Rand, life int64) *Core {
	c := &Core{
		cfg: cfg, log: log, rnd: rnd, life: life,
		calls: map[uint64]func(protocol.Reply){}, jobs: map[string]*record{}, machines: map[string]*machine{},
		teams: map[string]*team{}, members: map[string]*member{}, formats: map[string]int{}, listed: map[taskKey]bool{}, drains: map[string]drain{}, writes: newPageWrites(),
		orphans: map[string]orphan{}, early: map[string][]early{}, catalogue: map[string]*protocol.MachineType{}, open: map[string]*record{}, holders: newHolders(), latency: map[string]*hdrhistogram.Histogram{},
	}
	for i := range cfg.Facts.Teams {
		t := &cfg.Facts.Teams[i]
		c.teams[t.Name] = &team{cfg: t}
	}
	c.verbose = log.Enabled(context.Background(), slog.LevelDebug)
	c.ttl = seconds(cfg.Facts.Workers.Lease / 3)
	c.fleet.init()
	c.fleet.unshipped = newUnshipped(c)
	c.view = newView(c)
	c.data = newData(c)
	c.store = bookkeeping.New(&cfg.Facts, 1+len(cfg.Peers))
	c.store.Send = c.toState
	c.reach = newReach(cfg, life, c.store.StaleAfter())
	c.store.Apply = c.apply
	return c
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *Core) call(k protocol.Call, done func(protocol.Reply)) {
	c.nextCall++
	k.ID = c.nextCall
	c.calls[k.ID] = done
	c.out.Calls = append(c.out.Calls, k)
	if name := [...]string{"state", "cloud", "worker"}[k.Target]; !strings.HasPrefix(k.Path, protocol.PathWatch) {
		at := c.now
		c.calls[k.ID] = func(r protocol.Reply) {
			c.measure(name, c.now-at)
			done(r)
		}
	}
}

// begin and end bracket every step.
func (c *Core) begin(t Clock) {
	c.now, c.wall = t.Steady, t.Wall
	c.store.Advance(c.now)
	c.reach.Advance(c.now)
}

func (c *Core) end() Effects {
	c.heedTakeovers()
	c.flush()
	c.store.Tick(c.now)
	c.sendPolls()
	c.sendLaunches()
	e := c.out
	c.out = Effects{}
	return e
}

// Request takes a request from a user, a worker or a health check.
func (c *Core) Request(t Clock, id uint64, method, path string, body []byte) Effects {
	c.begin(t)
	c.route(id, method, path, body)
	return c.end()
}

// Reply takes what came of a call.
func (c *Core) Reply(t Clock, r protocol.Reply) Effects {
	c.begin(t)
	if done := c.calls[r.ID]; done != nil {
		delete(c.calls, r.ID)
		done(r)
	}
	return c.end()
}

// Peer takes a message from another controller.
func (c *Core) Peer(t Clock, from string, m Message) Effects {
	c.begin(t)
	c.peerMessage(from, m)
	return c.end()
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
	if !c.store.Loaded() || c.store.NeedsTick() || c.writes.delayed || (len(c.polls) > 0 && !c.polling) {
		return Pace
	}
	return max(Pace, c.sweepAt-c.now)
}

// Tick lets time pass.
func (c *Core) Tick(t Clock) Effects {
	c.begin(t)
	c.links()
	c.membership()
	c.catalogueTick()
	if c.store.Loaded() && c.now >= c.sweepAt {
		c.sweepAt = c.now + c.sweepPeriod()
		if c.readyAt == 0 {
			c.readyAt = c.now
		}
		c.expireTakeovers()
		c.foldEndings()
		c.watchMachines()
		for id, e := range c.early {
			if c.now-e[0].at > c.cfg.Operator.PublishInterval {
				delete(c.early, id)
			}
		}
		c.updateTurns()
		c.schedule()
		c.preempt()
		c.consolidate()
		c.restart()
		c.fleetTick()
		c.data.tick()
	}
	return c.end()
}

func (c *Core) answer(id uint64, status int, v any, retryAfter int) {
	c.out.Answers = append(c.out.Answers, Answer{ID: id, Status: status, Body: encode(v), RetryAfter: retryAfter})
}

// retryAfter is when a request that is refused has a chance: when what waits for
// the state service will have gone, and a second at least. Of a service that can't
// be reached nobody knows.
func (c *Core) retryAfter() int {
	return min(maxRetry, 1+int(c.store.QueueDelay().Seconds()))
}

// maxRetry is the longest wait that users heed (PROTOCOL).
const maxRetry = 30

func (c *Core) refuse(id uint64, status int, why string) {
	retry := 0
	if status == 503 {
		retry = c.retryAfter()
		c.Stats.Unavailable++
	}
	c.answer(id, status, protocol.ErrorResponse{Error: why}, retry)
}

func (c *Core) route(id uint64, method, path string, body []byte) {
	switch {
	case path == protocol.PathHeartbeat:
		if method != "POST" {
			c.refuse(id, 405, "use POST")
			return
		}
		c.checkin(id, body)
	case path == protocol.PathHealth:
		if method != "GET" {
			c.refuse(id, 405, "use GET")
			return
		}
		c.up(id)
	case path == PathStats:
		if method != "GET" {
			c.refuse(id, 405, "use GET")
			return
		}
		c.answer(id, 200, c.stats(), 0)
	case path == protocol.PathJobs:
		if method != "POST" {
			c.refuse(id, 405, "use POST")
			return
		}
		c.submit(id, body)
	case strings.HasPrefix(path, protocol.PathJobs+"/"):
		ref, verb, hasVerb := strings.Cut(path[len(protocol.PathJobs)+1:], "/")
		switch {
		case hasVerb && method == "GET" && c.view.job(id, ref, verb):
		case hasVerb && verb != protocol.PathCancel:
			c.refuse(id, 404, "no such path")
		case hasVerb && method != "POST", !hasVerb && method != "GET":
			c.refuse(id, 405, "method not allowed")
		case !protocol.ValidJobID(ref):
			c.refuse(id, 404, "no such job")
		case hasVerb:
			c.cancel(id, ref, 0)
		default:
			c.poll(id, ref)
		}
	case method == "GET" && c.view.list(id, path):
	case c.data.route(id, method, path, body):
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
	for name, h := range c.latency {
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
		Reach      reachStats         `json:"reach"`
	}{c.cfg.Node, c.now.Seconds(), (c.now - c.store.FreshAt()).Seconds(), c.leads(), len(c.ours), len(c.idle), c.lined, len(c.open), c.store.Backlog(), c.Stats, lat, c.reachStats()}
}

// measure records how long a call took, in a histogram that covers a minute
// to two digits.
func (c *Core) measure(name string, d time.Duration) {
	h := c.latency[name]
	if h == nil {
		h = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
		c.latency[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Microseconds()), time.Minute.Microseconds()))
}

// Keys of the records.
const (
	keyJob      = bookkeeping.MirroredPrefix + "j/"
	keyPage     = bookkeeping.MirroredPrefix + "p/"
	keyClaim    = bookkeeping.MirroredPrefix + "c/"
	keyTeam     = bookkeeping.MirroredPrefix + "q/"
	keyMember   = bookkeeping.MirroredPrefix + "m/"
	keyDrain    = bookkeeping.MirroredPrefix + "x/"
	keyRental   = bookkeeping.MirroredPrefix + "h/"
	keyTakeover = bookkeeping.MirroredPrefix + "t/"
	keyEndings  = bookkeeping.MirroredPrefix + "e/"
	keyFleet    = bookkeeping.MirroredPrefix + "fleet"
	keyGang     = bookkeeping.MirroredPrefix + "gang"
	keyFlavors  = bookkeeping.MirroredPrefix + "flavors"
	keyExtra    = bookkeeping.UnmirroredPrefix + "d/"
)

// apply takes a change of the mirror.
func (c *Core) apply(key string, data json.RawMessage, stamp uint64) {
	kind := key
	if i := strings.IndexByte(key[len(bookkeeping.MirroredPrefix):], '/'); i >= 0 {
		kind = key[:len(bookkeeping.MirroredPrefix)+i+1]
	}
	name := key[len(kind):]
	switch kind {
	case keyJob:
		c.applyJob(name, data, stamp)
	case keyPage:
		c.applyPage(name, data, stamp)
	case keyClaim:
		c.applyClaim(name, data, stamp)
	case keyTakeover:
		c.applyTakeover(name, data, stamp)
	case keyEndings:
		c.applyEndings(name, data)
	case keyTeam:
		c.applyTeam(name, data, stamp)
	case keyMember:
		c.applyMember(name, data)
	case keyDrain:
		c.applyDrain(name, data)
	case keyData:
		c.data.applySet(name, data)
	case keyStaging:
		c.data.applyStaging(name, data, stamp)
	case keyRental:
		c.fleet.applyRental(name, data)
	case keyFleet:
		c.fleet.applyLease(data, stamp)
	case keyGang:
		c.applyGang(data)
	case keyFlavors:
		if len(c.catalogue) == 0 && data != nil {
			var f protocol.MachineTypes
			if protocol.Decode(data, &f) == nil {
				c.setCatalogue(&f)
			}
		}
	}
}

func decode(log *slog.Logger, key string, data json.RawMessage, v any) bool {
	if err := protocol.DecodeState(data, v); err != nil {
		log.Error("unreadable record", "key", key, "err", err)
		return false
	}
	return true
}

func encode(v any) json.RawMessage { return protocol.Encode(v) }

// horizon is how old the last proof about cancellations may be for workers to be answered.
func (c *Core) horizon() time.Duration {
	w := &c.cfg.Facts.Workers
	return evidence.CancelHorizon(seconds(w.Cancel), seconds(w.Lease))
}

// leaseOver is how long after an answered report's arrival its worker has
// certainly killed everything: lease_s and the most two clocks can drift.
func (c *Core) leaseOver() time.Duration { return seconds(c.cfg.Facts.Workers.Lease * 1.01) }

// pageTasks is how many tasks a page holds: a bound task takes less than 64
// bytes with the usual names, and four times that never passes value_kb.
func (c *Core) pageTasks() int { return max(1, int(c.cfg.Facts.State.ValueKB*1024/128)) }

// limited tells whether the team has any limit at all.
func limited(t *team) bool { return t.cfg.CPUsMax > 0 || t.cfg.GPUsMax > 0 }
