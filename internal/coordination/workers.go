package coordination

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/takeover"
)

// drain bars a machine from new work; placements are conditioned on its
// absence.
type drain struct {
	Why string `json:"w"`
}

// Reasons for a drain.
const (
	drainIdle   = "idle"
	drainSilent = "silent"
	drainRecall = "recall"
	drainFaulty = "faulty"
	drainFailed = "failed"
	drainStray  = "stray" // nobody holds it: it never reported, or its claim is gone
	drainLost   = "lost"  // with its controller
)

// drainSeverity orders them: the graver ones do not wait until nothing is bound.
var drainSeverity = map[string]int{drainIdle: 0, drainRecall: 1, drainFaulty: 2, drainSilent: 3, drainStray: 3, drainLost: 3, drainFailed: 4}

// machine is what a controller knows of one machine: who holds it, what its reports say, the
// launches under way to it, the work on it, and what keeps its room.
type machine struct {
	id string
	tenure
	contact
	launches
	load
	roomHold

	errors     map[string]bool // jobs whose tasks failed here
	listed     int             // place in the idle list, counted from 1; 0: not listed
	joined     time.Duration
	idleAt     time.Duration // since when nothing is bound, for the fleet
	draining   bool          // a drain is being written
	forgetting time.Duration // its records are being dropped: not again before
	emptying   bool          // its services are being consolidated elsewhere
	sparseAt   time.Duration // since when it holds few services and nothing else; 0: not
}

// contact is what the holder of a machine knows from its worker's reports and answers.
type contact struct {
	session    uint64
	tally      uint64
	launchedAt evidence.Position // of the newest answer to a direct launch
	shown      bool              // a report carried our token
	shownAt    time.Duration     // when one first did
	proved     bool              // the mirror was complete after that
	heard      time.Duration
	answered   time.Duration // arrival of the last report answered with 200
	asking     bool          // asked for its status
	askAt      time.Duration // not again before
	mute       int           // and did not answer, so many times in a row
	released   bool          // its lease is over and its tasks were given up
	recalled   bool

	redirectedToHolder  time.Duration // see hasHolder
	redirectedAt        time.Duration // to another controller, when it reported last
	awaitingHolderSince time.Duration // when it first came here while its own controller was down
}

// launches are the starts of tasks that are under way to a machine, and the tasks that are
// known to have begun.
type launches struct {
	direct           map[attempt]bool // sent to /orders and not answered yet
	tainted          bool             // such a launch got no answer: it may be executed until a new token is seen
	deferredLaunches []attempt        // that wait until the records are known to be complete
	queuedLaunches   []attempt        // for the next direct call
	begun            map[taskKey]time.Duration
	pulling          map[taskKey]bool // last reported as waiting for the image
	stops            map[taskKey]stop
}

// load is the work on a machine, by the records and by what is planned.
type load struct {
	kind     *protocol.MachineType // of its type, nil while that is not known
	bound    map[taskKey]*record
	boundAt  map[taskKey]binding     // when it was bound
	gone     map[taskKey]*record     // bound by the records, but known to have left: their room is free
	reserved int                     // tasks for which room is reserved
	services int                     // bound tasks of services
	levels   [job.Production + 1]int // bound tasks that can be stopped alone, by priority
	cpus     float64                 // in use or reserved
	gpus     float64
	ram      float64
	steady   float64                  // what services hold: accelerators, or processors where they use none
	images   map[string]time.Duration // when each will be there, as far as is known
}

// roomHold keeps a machine's room for a job for which others were stopped there.
type roomHold struct {
	holdFor  string        // the job
	holdTill time.Duration // how long nothing else may take the room
	holdBy   string        // the controller whose gang it is kept for
}

// attempt is one attempt of a task.
type attempt struct {
	taskKey
	try int
}

// binding is when a task was bound: by our clock, and the revision, 0 if that is not
// known.
type binding struct {
	at    time.Duration
	since uint64
}

type stop struct {
	grace float64
	why   string
	at    time.Duration
}

func (c *Core) machine(id string) *machine {
	m := c.machines[id]
	if m == nil {
		m = &machine{id: id, errors: map[string]bool{}, idleAt: c.now,
			launches: launches{direct: map[attempt]bool{}, begun: map[taskKey]time.Duration{}, pulling: map[taskKey]bool{}, stops: map[taskKey]stop{}},
			load:     load{bound: map[taskKey]*record{}, boundAt: map[taskKey]binding{}, gone: map[taskKey]*record{}, images: map[string]time.Duration{}}}
		c.machines[id] = m
	}
	return m
}

// unknownKind stands for a type that the catalogue lacks; it holds nothing.
var unknownKind protocol.MachineType

// kind is a machine's type.
func (c *Core) kind(m *machine) *protocol.MachineType {
	if m.kind == nil || m.kind.Name != m.claim.Type {
		if m.kind = c.catalogue[m.claim.Type]; m.kind == nil {
			return &unknownKind
		}
	}
	return m.kind
}

// keep holds a machine's room back for a job; by names the controller that
// wants to be told when it is free.
func (m *machine) keep(id string, until time.Duration, by string) {
	m.holdFor, m.holdTill, m.holdBy = id, until, by
}

func (m *machine) use(s *job.Spec, n float64) {
	m.cpus += n * s.CPUs
	m.gpus += n * s.GPUs
	m.ram += n * s.MemoryGB
	if s.Shape == job.Service {
		m.steady += n * max(s.GPUs, s.CPUs/1e3)
	}
}

func (c *Core) mine(m *machine) bool {
	return m.stamp != 0 && m.claim.Owner == c.cfg.Node && (m.claim.Life == c.life || m.adopted)
}

// earlier tells whether an earlier life of ours has claimed the machine, and nobody since.
func (c *Core) earlier(m *machine) bool {
	return m.stamp != 0 && m.claim.Owner == c.cfg.Node && !c.mine(m)
}

// barred tells whether new work may not go to the machine.
func (c *Core) barred(m *machine) bool {
	_, drained := c.drains[m.id]
	return drained || m.draining || m.recalled || m.released || m.emptying || m.claiming || !m.shown
}

func (c *Core) applyClaim(id string, data json.RawMessage, stamp uint64) {
	m := c.machine(id)
	if data == nil {
		c.unclaim(m)
		return
	}
	var k claim
	if !decode(c.log, id, data, &k) {
		return
	}
	if m.stamp != 0 {
		c.holders.count[m.claim.Owner]--
		m.stamp = 0
	}
	m.claim, m.own = k, takeover.Claim{Holder: takeover.Holder{Node: k.Owner, Incarnation: k.Life, Epoch: k.Epoch}, Token: stamp}
	c.resolve(m)
}

// unclaim takes that a machine's claim is gone.
func (c *Core) unclaim(m *machine) {
	if m.stamp != 0 {
		c.holders.count[m.claim.Owner]--
	}
	m.stamp, m.own, m.links = 0, takeover.Claim{}, nil
	m.shown = false
	m.reoccupy()
	c.unlist(m)
	c.forgetGone(m)
	c.hold(m)
}

// forgetGone drops what is known of a machine without a claim. Guards against room
// that was reserved on a machine that is forgotten meanwhile: given back to one that
// is met anew under its name, it made more room than there is.
func (c *Core) forgetGone(m *machine) {
	if m.stamp == 0 && len(m.bound) == 0 && m.reserved == 0 && c.machines[m.id] == m {
		delete(c.machines, m.id)
		c.data.lost(m.id)
	}
}

// hold keeps the list of our machines and the count of everybody's in step
// with a changed claim.
func (c *Core) hold(m *machine) {
	if m.stamp != 0 {
		c.holders.count[m.claim.Owner]++
	}
	c.own(m)
}

// own keeps the list of our machines.
func (c *Core) own(m *machine) {
	at := sort.Search(len(c.ours), func(i int) bool { return c.ours[i].id >= m.id })
	there := at < len(c.ours) && c.ours[at].id == m.id
	switch {
	case c.mine(m) && !there:
		c.ours = slices.Insert(c.ours, at, m)
	case !c.mine(m) && there:
		c.ours = slices.Delete(c.ours, at, at+1)
	}
}

func (c *Core) applyDrain(id string, data json.RawMessage) {
	if data == nil {
		delete(c.drains, id)
		return
	}
	var d drain
	if decode(c.log, id, data, &d) {
		c.drains[id] = d
		if m := c.machines[id]; m != nil {
			c.unlist(m)
		}
	}
}

// urgent tells whether production work is bound to the machine.
func (m *machine) urgent() bool { return m.levels[job.Production] > 0 }

// class is what a change of a machine's records is for: the most urgent work on it.
func (m *machine) class() budget.Class {
	switch {
	case m.urgent():
		return budget.UrgentClaims
	case len(m.bound) > 0:
		return budget.BusyClaims
	}
	return budget.IdleClaims
}

// drain writes a machine's drain record, under further conditions if any.
func (c *Core) drain(m *machine, why string, conds ...protocol.Compare) {
	// Guards against two judgements that take turns on one machine and eat up
	// the state service's rate: only a graver one replaces an earlier one, and
	// only while it makes a difference to what is on the machine.
	if old, ok := c.drains[m.id]; m.draining || ok && (drainSeverity[old.Why] >= drainSeverity[why] || len(m.bound) == 0) {
		return
	}
	m.draining = true
	c.unlist(m)
	c.log.Debug("draining", "stoker", m.id, "why", why)
	// The claim is a condition too: a controller that was cut off must not
	// judge machines that have long reported to another.
	conds = append(conds, protocol.Compare{Key: keyDrain + m.id, ModRevision: c.store.ModRevision(keyDrain + m.id)})
	c.store.Txn(m.class(), append(conds, m.holding()...),
		[]protocol.Op{{Put: keyDrain + m.id, Value: encode(drain{why})}}, func(bookkeeping.TxnOutcome, []string, uint64) {
			m.draining = false
		})
}
