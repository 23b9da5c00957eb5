package coordination

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// drainRecord bars a machine from new work; placements are conditioned on its
// absence.
type drainRecord struct {
	Reason string `json:"w"`
}

// Reasons for a drain.
const (
	drainIdle      = "idle"
	drainSilent    = "silent"
	drainPreempted = "recall"
	drainFaulty    = "faulty"
	drainFailed    = "failed"
	drainStray     = "stray" // nobody holds it: it never reported, or its claim is gone
	drainLost      = "lost"  // with its controller
)

// drainSeverity orders them: the graver ones do not wait until nothing is bound.
var drainSeverity = map[string]int{drainIdle: 0, drainPreempted: 1, drainFaulty: 2, drainSilent: 3, drainStray: 3, drainLost: 3, drainFailed: 4}

// machineTable owns what is known of all machines: who holds them, their drains, and
// those that this controller holds itself.
type machineTable struct {
	byID           map[string]*machine
	own            []*machine // machines that this controller holds, by name
	ownership      ownershipTable
	drains         map[string]drainRecord
	launchTargets  []*machine // machines with launches to be sent at the end of the step
	claimsInFlight int
	probesInFlight int
	listedBuffer   map[taskKey]bool // reused by reconcile alone
}

func newMachineTable() machineTable {
	return machineTable{
		byID:         map[string]*machine{},
		ownership:    newOwnershipTable(),
		drains:       map[string]drainRecord{},
		listedBuffer: map[taskKey]bool{},
	}
}

// machine is what a controller knows of one machine: who holds it, what its reports say, the
// launches under way to it, the work on it, and what keeps its room.
type machine struct {
	id string
	machineOwnership
	heartbeatState
	launchState
	machineLoad
	roomReservation

	failedJobs    map[string]bool // jobs whose tasks failed here
	idleListIndex int             // place in the idle list, counted from 1; 0: not listed
	listedAt      time.Duration
	unboundSince  time.Duration // since when nothing is bound, for the fleet
	draining      bool          // a drain is being written
	dropRetryAt   time.Duration // its records are being dropped: not again before
	consolidating bool          // its services are being consolidated elsewhere
	sparseSince   time.Duration // since when it holds few services and nothing else; 0: not
}

// heartbeatState is what the holder of a machine knows from its worker's reports and answers.
type heartbeatState struct {
	epoch          uint64
	sequence       uint64
	lastLaunch     fencing.Position // of the newest answer to a direct launch
	tokenSeen      bool             // a report carried our token
	tokenSeenAt    time.Duration    // when one first did
	mirrorComplete bool             // the mirror was complete after that
	heardAt        time.Duration
	answeredAt     time.Duration // arrival of the last report answered with 200
	probing        bool          // asked for its status
	nextProbeAt    time.Duration // not again before
	failedProbes   int           // and did not answer, so many times in a row
	leaseExpired   bool          // its lease is over and its tasks were given up
	preempted      bool

	redirectedToHolder  time.Duration // see shouldRedirectToHolder
	redirectedAt        time.Duration // to another controller, when it reported last
	awaitingHolderSince time.Duration // when it first came here while its own controller was down
}

// launchState are the starts of tasks that are under way to a machine, and the tasks that are
// known to have begun.
type launchState struct {
	inFlight         map[taskAttempt]bool // sent to /orders and not answered yet
	launchInDoubt    bool                 // such a launch got no answer: it may be executed until a new token is seen
	deferredLaunches []taskAttempt        // that wait until the records are known to be complete
	queuedLaunches   []taskAttempt        // for the next direct call
	runningSince     map[taskKey]time.Duration
	pulling          map[taskKey]bool // last reported as waiting for the image
	stops            map[taskKey]taskStop
}

// machineLoad is the work on a machine, by the records and by what is planned.
type machineLoad struct {
	machineType     *protocol.MachineType // of its type, nil while that is not known
	bound           map[taskKey]*jobRecord
	boundAt         map[taskKey]binding     // when it was bound
	vacated         map[taskKey]*jobRecord  // bound by the records, but known to have left: their room is free
	reserved        int                     // tasks for which room is reserved
	services        int                     // bound tasks of services
	boundByPriority [job.Production + 1]int // bound tasks that can be stopped alone, by priority
	cpus            float64                 // in use or reserved
	gpus            float64
	ram             float64
	serviceShare    float64                  // what services hold: accelerators, or processors where they use none
	imageReadyAt    map[string]time.Duration // when each will be there, as far as is known
}

// roomReservation keeps a machine's room for a job for which others were stopped there.
type roomReservation struct {
	holdFor  string        // the job
	holdTill time.Duration // how long nothing else may take the room
	holdBy   string        // the controller whose gang it is kept for
}

// taskAttempt is one attempt of a task.
type taskAttempt struct {
	taskKey
	number int
}

// binding is when a task was bound: by our clock, and the revision, 0 if that is not
// known.
type binding struct {
	boundAt  time.Duration
	revision uint64
}

type taskStop struct {
	gracePeriod float64
	reason      string
	at          time.Duration
}

func (c *Core) machine(id string) *machine {
	m := c.machines.byID[id]
	if m == nil {
		m = &machine{id: id, failedJobs: map[string]bool{}, unboundSince: c.now,
			launchState: launchState{inFlight: map[taskAttempt]bool{}, runningSince: map[taskKey]time.Duration{}, pulling: map[taskKey]bool{}, stops: map[taskKey]taskStop{}},
			machineLoad: machineLoad{bound: map[taskKey]*jobRecord{}, boundAt: map[taskKey]binding{}, vacated: map[taskKey]*jobRecord{}, imageReadyAt: map[string]time.Duration{}}}
		c.machines.byID[id] = m
	}
	return m
}

// unknownMachineType stands for a type that the catalogue lacks; it holds nothing.
var unknownMachineType protocol.MachineType

// machineTypeOf is a machine's type.
func (c *Core) machineTypeOf(m *machine) *protocol.MachineType {
	if m.machineType == nil || m.machineType.Name != m.claim.MachineType {
		if m.machineType = c.catalogue.types[m.claim.MachineType]; m.machineType == nil {
			return &unknownMachineType
		}
	}
	return m.machineType
}

// reserveRoom holds a machine's room back for a job; by names the controller that
// wants to be told when it is free.
func (m *machine) reserveRoom(id string, until time.Duration, by string) {
	m.holdFor, m.holdTill, m.holdBy = id, until, by
}

func (m *machine) addUsage(s *job.Spec, n float64) {
	m.cpus += n * s.CPUs
	m.gpus += n * s.GPUs
	m.ram += n * s.MemoryGB
	if s.Shape == job.Service {
		m.serviceShare += n * max(s.GPUs, s.CPUs/1e3)
	}
}

func (c *Core) isOwn(m *machine) bool {
	return m.token != 0 && m.claim.Owner == c.cfg.Node && (m.claim.Incarnation == c.incarnation || m.adopted)
}

// heldByEarlierIncarnation tells whether an earlier life of ours has claimed the machine, and nobody since.
func (c *Core) heldByEarlierIncarnation(m *machine) bool {
	return m.token != 0 && m.claim.Owner == c.cfg.Node && !c.isOwn(m)
}

// unschedulable tells whether new work may not go to the machine.
func (c *Core) unschedulable(m *machine) bool {
	_, drained := c.machines.drains[m.id]
	return drained || m.draining || m.preempted || m.leaseExpired || m.consolidating || m.claiming || !m.tokenSeen
}

func (c *Core) applyClaim(id string, data json.RawMessage, revision uint64) {
	m := c.machine(id)
	if data == nil {
		c.removeClaim(m)
		return
	}
	var k claimRecord
	if !decode(c.log, id, data, &k) {
		return
	}
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]--
		m.token = 0
	}
	m.claim, m.ownClaim = k, failover.Claim{Holder: failover.Holder{Node: k.Owner, Incarnation: k.Incarnation, Epoch: k.Epoch}, Token: revision}
	c.resolveOwner(m)
}

// removeClaim takes that a machine's claim is gone.
func (c *Core) removeClaim(m *machine) {
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]--
	}
	m.token, m.ownClaim, m.links = 0, failover.Claim{}, nil
	m.tokenSeen = false
	m.reoccupy()
	c.scheduler.removeFromIdleList(m)
	c.forgetUnclaimed(m)
	c.updateOwnership(m)
}

// forgetUnclaimed drops what is known of a machine without a claim. Guards against room
// that was reserved on a machine that is forgotten meanwhile: given back to one that
// is met anew under its name, it made more room than there is.
func (c *Core) forgetUnclaimed(m *machine) {
	if m.token == 0 && len(m.bound) == 0 && m.reserved == 0 && c.machines.byID[m.id] == m {
		delete(c.machines.byID, m.id)
		c.staging.machineLost(m.id)
	}
}

// updateOwnership keeps the list of our machines and the count of everybody's in step
// with a changed claim.
func (c *Core) updateOwnership(m *machine) {
	if m.token != 0 {
		c.machines.ownership.machinesByOwner[m.claim.Owner]++
	}
	c.updateOwnMachines(m)
}

// updateOwnMachines keeps the list of our machines.
func (c *Core) updateOwnMachines(m *machine) {
	at := sort.Search(len(c.machines.own), func(i int) bool { return c.machines.own[i].id >= m.id })
	there := at < len(c.machines.own) && c.machines.own[at].id == m.id
	switch {
	case c.isOwn(m) && !there:
		c.machines.own = slices.Insert(c.machines.own, at, m)
	case !c.isOwn(m) && there:
		c.machines.own = slices.Delete(c.machines.own, at, at+1)
	}
}

func (c *Core) applyDrain(id string, data json.RawMessage) {
	if data == nil {
		delete(c.machines.drains, id)
		return
	}
	var d drainRecord
	if decode(c.log, id, data, &d) {
		c.machines.drains[id] = d
		if m := c.machines.byID[id]; m != nil {
			c.scheduler.removeFromIdleList(m)
		}
	}
}

// urgent tells whether production work is bound to the machine.
func (m *machine) urgent() bool { return m.boundByPriority[job.Production] > 0 }

// class is what a change of a machine's records is for: the most urgent work on it.
func (m *machine) class() ratelimit.Class {
	switch {
	case m.urgent():
		return ratelimit.UrgentClaims
	case len(m.bound) > 0:
		return ratelimit.BusyClaims
	}
	return ratelimit.IdleClaims
}

// drainMachine writes a machine's drain record, under further conditions if any.
func (c *Core) drainMachine(m *machine, why string, compares ...protocol.Compare) {
	// Guards against two judgements that take turns on one machine and eat up
	// the state service's rate: only a graver one replaces an earlier one, and
	// only while it makes a difference to what is on the machine.
	if old, ok := c.machines.drains[m.id]; m.draining || ok && (drainSeverity[old.Reason] >= drainSeverity[why] || len(m.bound) == 0) {
		return
	}
	m.draining = true
	c.scheduler.removeFromIdleList(m)
	c.log.Debug("draining a machine", "machine", m.id, "reason", why)
	// The claim is a condition too: a controller that was cut off must not
	// judge machines that have long reported to another.
	compares = append(compares, protocol.Compare{Key: keyDrain + m.id, ModRevision: c.state.ModRevision(keyDrain + m.id)})
	c.state.Txn(m.class(), append(compares, m.ownershipCompares()...),
		[]protocol.Op{{Put: keyDrain + m.id, Value: encode(drainRecord{why})}}, func(stateclient.TxnOutcome, []string, uint64) {
			m.draining = false
		})
}
