package coordination

import (
	"slices"
	"sort"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// machineTable owns what is known of all machines: who owns them, their drains, and
// which of them this controller owns itself.
type machineTable struct {
	byID           map[string]*machine
	own            []*machine // the machines that this controller owns, by name
	ownership      ownershipTable
	drains         map[string]drainRecord
	launchTargets  []*machine // machines with launches to be sent at the end of the step
	claimsInFlight int
	probesInFlight int
	listedBuffer   map[taskKey]bool // reused by reconcile alone
}

// newMachineTable makes an empty table.
func newMachineTable() machineTable {
	return machineTable{
		byID:         map[string]*machine{},
		ownership:    newOwnershipTable(),
		drains:       map[string]drainRecord{},
		listedBuffer: map[taskKey]bool{},
	}
}

// machine is what a controller knows of one machine: who owns it, what its heartbeats say,
// the launches on their way to it, the work on it, and for whom its room is reserved.
type machine struct {
	id string
	machineOwnership
	heartbeatState
	launchState
	machineAllocation
	roomReservation

	failedJobs    map[string]bool // jobs whose tasks failed here
	idleListIndex int             // place in the idle list, counted from 1; 0: not listed
	listedAt      time.Duration   // when it was put on the idle list
	unboundSince  time.Duration   // since when nothing is bound to it, for the fleet
	draining      bool            // a drain record is being written
	dropRetryAt   time.Duration   // its records are being dropped: not again before this time
	consolidating bool            // its services are being consolidated elsewhere
	sparseSince   time.Duration   // since when it runs few services and nothing else; 0: it does not
}

// heartbeatState is what the owner of a machine knows from its worker's heartbeats and
// replies.
type heartbeatState struct {
	epoch          uint64           // of the worker's agent
	sequence       uint64           // of the newest heartbeat in that epoch
	lastLaunch     fencing.Position // of the newest reply to a direct launch
	tokenSeen      bool             // a heartbeat carried our fencing token
	tokenSeenAt    time.Duration    // when one first did
	mirrorComplete bool             // the mirror was complete after that
	heardAt        time.Duration    // arrival of the last heartbeat
	answeredAt     time.Duration    // arrival of the last heartbeat that was answered with 200
	probing        bool             // a status probe is under way
	nextProbeAt    time.Duration    // no probe before this time
	failedProbes   int              // probes in a row without a reply
	leaseExpired   bool             // its lease is over and its tasks were given up
	preempted      bool             // it has been given notice by the cloud

	redirectedToOwnerAt time.Duration // when it was last redirected to its owner, see shouldRedirectToOwner
	redirectedAt        time.Duration // when a heartbeat was last redirected to another controller
	awaitingOwnerSince  time.Duration // when it first came here while its own controller was down
}

// launchState is the launches that are on their way to a machine, and the tasks that are
// known to have begun.
type launchState struct {
	inFlight         map[taskAttempt]bool // sent directly and not replied to yet
	launchInDoubt    bool                 // such a launch got no reply: it may be executed until a new token is seen
	deferredLaunches []taskAttempt        // launches that wait until the records are known to be complete
	queuedLaunches   []taskAttempt        // for the next direct call
	runningSince     map[taskKey]time.Duration
	pulling          map[taskKey]bool // last reported as waiting for the image
	stops            map[taskKey]taskStop
}

// machineAllocation is the work on a machine, by the records and by what is planned.
type machineAllocation struct {
	machineType     *protocol.MachineType // cached by machineTypeOf, nil while it is not known
	bound           map[taskKey]*jobRecord
	boundAt         map[taskKey]binding     // when each was bound
	vacated         map[taskKey]*jobRecord  // bound by the records, but known to have left: their room is free
	reserved        int                     // tasks for which room is reserved
	services        int                     // bound tasks of services
	boundByPriority [job.Production + 1]int // bound tasks that can be stopped alone, by priority
	cpus            float64                 // processors in use or reserved
	gpus            float64                 // accelerators in use or reserved
	ram             float64                 // memory in use or reserved, in GB
	serviceShare    float64                 // what services use: accelerators, or processors where they use none
	// imageReadyAt tells when each image will be on the machine, as far as is known.
	imageReadyAt map[string]time.Duration
}

// roomReservation keeps a machine's room for a job for which other tasks were stopped there.
type roomReservation struct {
	reservedFor   string        // the job
	reservedUntil time.Duration // nothing else may use the room before this time
	reservedBy    string        // the controller whose gang it is kept for
}

// taskAttempt is one attempt of a task.
type taskAttempt struct {
	taskKey
	number int
}

// binding is when a task was bound: by our clock, and by the revision, which is 0 if it is
// not known.
type binding struct {
	boundAt  time.Duration
	revision uint64
}

// taskStop is a wanted stop of a bound task.
type taskStop struct {
	gracePeriod float64 // in seconds
	reason      string
	at          time.Duration
}

// newMachine makes a machine of which nothing is known.
func newMachine(id string, now time.Duration) *machine {
	return &machine{
		id:           id,
		failedJobs:   map[string]bool{},
		unboundSince: now,
		launchState: launchState{
			inFlight:     map[taskAttempt]bool{},
			runningSince: map[taskKey]time.Duration{},
			pulling:      map[taskKey]bool{},
			stops:        map[taskKey]taskStop{},
		},
		machineAllocation: machineAllocation{
			bound:        map[taskKey]*jobRecord{},
			boundAt:      map[taskKey]binding{},
			vacated:      map[taskKey]*jobRecord{},
			imageReadyAt: map[string]time.Duration{},
		},
	}
}

// findOrAdd returns the machine of a name, and adds it if it is new.
func (t *machineTable) findOrAdd(id string, now time.Duration) *machine {
	m := t.byID[id]
	if m == nil {
		m = newMachine(id, now)
		t.byID[id] = m
	}
	return m
}

// updateOwn adds a machine to the list of own machines or removes it from there.
func (t *machineTable) updateOwn(m *machine, own bool) {
	index := sort.Search(len(t.own), func(i int) bool { return t.own[i].id >= m.id })
	listed := index < len(t.own) && t.own[index].id == m.id
	switch {
	case own && !listed:
		t.own = slices.Insert(t.own, index, m)
	case !own && listed:
		t.own = slices.Delete(t.own, index, index+1)
	}
}

// machine returns the machine of a name, and adds it to the table if it is new.
func (c *Core) machine(id string) *machine { return c.machines.findOrAdd(id, c.now) }

// unknownMachineType stands for a type that the catalogue lacks; nothing fits on it.
var unknownMachineType protocol.MachineType

// machineTypeOf returns a machine's type by the catalogue.
func (c *Core) machineTypeOf(m *machine) *protocol.MachineType {
	if m.machineType != nil && m.machineType.Name == m.claim.MachineType {
		return m.machineType
	}
	m.machineType = c.catalogue.types[m.claim.MachineType]
	if m.machineType == nil {
		return &unknownMachineType
	}
	return m.machineType
}

// reserveRoom reserves a machine's room for a job; controller is the one that is to be
// notified when it is free.
func (m *machine) reserveRoom(jobID string, until time.Duration, controller string) {
	m.reservedFor = jobID
	m.reservedUntil = until
	m.reservedBy = controller
}

// addUsage adds the resources of tasks tasks of a job, or subtracts them if tasks is negative.
func (m *machine) addUsage(spec *job.Spec, tasks float64) {
	m.cpus += tasks * spec.CPUs
	m.gpus += tasks * spec.GPUs
	m.ram += tasks * spec.MemoryGB
	if spec.Shape == job.Service {
		m.serviceShare += tasks * max(spec.GPUs, spec.CPUs/1e3)
	}
}

// vacate frees the room of a task that a heartbeat under our token shows to have left,
// though its completion is not committed yet: that is a fact about the machine, whatever
// becomes of the record, and under load the commit takes seconds that urgent work
// would wait for. The task stays charged to its team until then.
func (m *machine) vacate(key taskKey, record *jobRecord) {
	if m.vacated[key] == nil && m.bound[key] == record {
		m.vacated[key] = record
		m.addUsage(record.spec, -1)
	}
}

// reoccupy undoes vacate for all tasks: what was known under a claim is lost with it.
func (m *machine) reoccupy() {
	for _, record := range m.vacated {
		m.addUsage(record.spec, 1)
	}
	clear(m.vacated)
}

// unlisted returns the tasks that are bound to the machine and not in listed, in order.
// All that is in listed must be bound.
func (m *machine) unlisted(listed map[taskKey]bool) []taskKey {
	if len(listed) == len(m.bound) {
		return nil
	}
	var out []taskKey
	for key := range m.bound {
		if !listed[key] {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, taskKey.compare)
	return out
}

// urgent tells whether production work is bound to the machine.
func (m *machine) urgent() bool { return m.boundByPriority[job.Production] > 0 }

// class is the rate class of changes of a machine's records: that of the most urgent work
// on it.
func (m *machine) class() ratelimit.Class {
	switch {
	case m.urgent():
		return ratelimit.UrgentClaims
	case len(m.bound) > 0:
		return ratelimit.BusyClaims
	}
	return ratelimit.IdleClaims
}
