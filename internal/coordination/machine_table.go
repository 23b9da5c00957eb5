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

// machineTable holds the state of all known machines: their owners, their drains, and the list of
// those that this controller owns.
type machineTable struct {
	byID           map[string]*machine
	own            []*machine // the machines that this controller owns, by name
	ownership      ownershipTable
	drains         map[string]drainRecord
	launchTargets  []*machine // machines with queued launches, which are sent at the end of the step
	claimsInFlight int
	probesInFlight int
	// inquiriesInFlight counts the calls that ask drained machines for their output.
	inquiriesInFlight int
	listedBuffer      map[taskKey]bool // scratch space of reconcile
}

// newMachineTable returns an empty table.
func newMachineTable() machineTable {
	return machineTable{
		byID:         map[string]*machine{},
		ownership:    newOwnershipTable(),
		drains:       map[string]drainRecord{},
		listedBuffer: map[taskKey]bool{},
	}
}

// machine is what a controller knows about one machine: its owner, the state reported by its
// heartbeats, the launches sent to it, the tasks on it, and the job that its room is reserved
// for.
type machine struct {
	id string
	machineOwnership
	heartbeatState
	launchState
	machineAllocation
	roomReservation

	failedJobs    map[string]bool // jobs of which a task failed on this machine
	idleListIndex int             // position in the idle list, counted from 1; 0: not listed
	listedAt      time.Duration   // when it was added to the idle list
	idleSince     time.Duration   // since when the fleet plan has had no use for it, for scaling in
	emptySince    time.Duration   // since when the records bind no task to it, as far as this process knows
	output        outputInquiry   // its unshipped output, while it is drained and empty
	draining      bool            // a drain record is being written
	dropRetryAt   time.Duration   // its records are being deleted; no further attempt before this time
	consolidating bool            // its services are being moved to other machines
	sparseSince   time.Duration   // since when it is sparse, see isSparse; 0: it is not
}

// heartbeatState is what the owner of a machine knows from the heartbeats of its worker and the
// worker's replies to calls.
type heartbeatState struct {
	epoch          uint64           // the agent epoch of the worker
	sequence       uint64           // the sequence number of the newest heartbeat in that epoch
	lastLaunch     fencing.Position // the position of the newest reply to a direct launch
	tokenSeen      bool             // a heartbeat carried our fencing token, or one to which we raised it
	tokenSeenAt    time.Duration    // when a heartbeat first carried it
	mirrorComplete bool             // the mirror was complete at some time after tokenSeenAt
	heardAt        time.Duration    // arrival of the last heartbeat
	answeredAt     time.Duration    // arrival of the last heartbeat that was answered with 200
	probing        bool             // a status probe is under way
	nextProbeAt    time.Duration    // no probe before this time
	failedProbes   int              // consecutive probes without a reply
	leaseExpired   bool             // the worker's lease has expired and its tasks were released
	preempted      bool             // the cloud has announced the machine's preemption

	redirectedToOwnerAt time.Duration // when the worker was last redirected to its owner, see shouldRedirectToOwner
	redirectedAt        time.Duration // when a heartbeat was last redirected to another controller
	awaitingOwnerSince  time.Duration // when the worker first came here while its own controller was down
}

// launchState holds the launches that were sent to a machine or wait to be, the progress of its
// tasks, and the stops that are wanted.
type launchState struct {
	inFlight map[taskAttempt]time.Duration // when each was sent directly; those without a reply yet
	// directLaunches holds the newest direct launch of each attempt, until it is void.
	directLaunches   map[taskAttempt]fencing.DirectLaunch
	launchInDoubt    bool          // a direct launch got no reply: it may be executed until a new token is seen
	deferredLaunches []taskAttempt // launches that wait until the records are known to be complete
	queuedLaunches   []taskAttempt // to be sent with the next direct call
	runningSince     map[taskKey]time.Duration
	pulling          map[taskKey]bool // tasks last reported as waiting for their image
	stops            map[taskKey]taskStop
}

// machineAllocation holds the tasks on a machine and the resources that are used or reserved
// there.
type machineAllocation struct {
	machineType     *protocol.MachineType // cached by machineTypeOf; nil while the type is unknown
	bound           map[taskKey]*jobRecord
	boundAt         map[taskKey]binding     // when each task was bound
	vacated         map[taskKey]*jobRecord  // still bound in the records, but known to have ended: their room is free
	reserved        int                     // number of tasks for which room is reserved
	unforgotten     int                     // tasks that are not bound any more, but may still be listed by our worker
	services        int                     // number of bound service tasks
	boundByPriority [job.Production + 1]int // number of bound tasks that can be stopped individually, by priority
	cpus            float64                 // processors in use or reserved
	gpus            float64                 // accelerators in use or reserved
	memoryGB        float64                 // memory in use or reserved, in GB
	serviceShare    float64                 // usage by services, see addUsage
	// imageReadyAt is when each image is expected to be on the machine.
	imageReadyAt map[string]time.Duration
}

// roomReservation reserves a machine's room for the job for which other tasks were stopped there.
type roomReservation struct {
	reservedFor   string        // the job
	reservedUntil time.Duration // no other job may use the room before this time
	reservedBy    string        // the controller that schedules the gang for which the room is reserved
}

// taskAttempt identifies one attempt of a task.
type taskAttempt struct {
	taskKey
	number int
}

// binding is when a task was bound, by our clock and by the state service's revision. The revision
// is 0 if it is unknown.
type binding struct {
	boundAt  time.Duration
	revision uint64
}

// taskStop is a requested stop of a bound task.
type taskStop struct {
	gracePeriod float64 // in seconds
	reason      string
	at          time.Duration
}

// newMachine returns a machine about which nothing is known yet.
func newMachine(id string, now time.Duration) *machine {
	return &machine{
		id:         id,
		failedJobs: map[string]bool{},
		idleSince:  now,
		emptySince: now,
		launchState: launchState{
			inFlight:       map[taskAttempt]time.Duration{},
			directLaunches: map[taskAttempt]fencing.DirectLaunch{},
			runningSince:   map[taskKey]time.Duration{},
			pulling:        map[taskKey]bool{},
			stops:          map[taskKey]taskStop{},
		},
		machineAllocation: machineAllocation{
			bound:        map[taskKey]*jobRecord{},
			boundAt:      map[taskKey]binding{},
			vacated:      map[taskKey]*jobRecord{},
			imageReadyAt: map[string]time.Duration{},
		},
	}
}

// findOrAdd returns the machine with the given name, and adds it if it is new.
func (t *machineTable) findOrAdd(id string, now time.Duration) *machine {
	m := t.byID[id]
	if m == nil {
		m = newMachine(id, now)
		t.byID[id] = m
	}
	return m
}

// updateOwn adds a machine to the list of own machines or removes it, as own says.
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

// machine returns the machine with the given name, and adds it to the table if it is new.
func (c *Core) machine(id string) *machine { return c.machines.findOrAdd(id, c.now) }

// unknownMachineType stands in for a type that the catalogue does not list; no task fits on it.
var unknownMachineType protocol.MachineType

// machineTypeOf returns the catalogue entry of a machine's type.
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

// reserveRoom reserves a machine's room for a job until the given time. When the room is free,
// controller is notified, unless it is "".
func (m *machine) reserveRoom(jobID string, until time.Duration, controller string) {
	m.reservedFor = jobID
	m.reservedUntil = until
	m.reservedBy = controller
}

// addUsage adds the resources of a number of tasks of a job, or subtracts them if the number is
// negative. The service share counts accelerators; for a service without any, each processor counts
// as a thousandth of one.
func (m *machine) addUsage(spec *job.Spec, tasks float64) {
	m.cpus += tasks * spec.CPUs
	m.gpus += tasks * spec.GPUs
	m.memoryGB += tasks * spec.MemoryGB
	if spec.Shape == job.Service {
		m.serviceShare += tasks * max(spec.GPUs, spec.CPUs/1e3)
	}
}

// vacate frees the room of a task that a heartbeat under our token shows to have ended, before
// its completion is committed: the machine has the room whatever becomes of the record, and under
// load the commit takes seconds for which urgent work would have to wait. Until the commit the
// task still counts against its team's quota.
func (m *machine) vacate(key taskKey, record *jobRecord) {
	if m.vacated[key] == nil && m.bound[key] == record {
		m.vacated[key] = record
		m.addUsage(record.spec, -1)
	}
}

// reoccupy undoes vacate for all tasks, because what was learned under a claim is no longer valid
// once the claim is lost.
func (m *machine) reoccupy() {
	for _, record := range m.vacated {
		m.addUsage(record.spec, 1)
	}
	clear(m.vacated)
}

// unlisted returns the tasks that are bound to the machine but not in listed, in order. All tasks
// in listed must be bound to the machine.
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

// urgent reports whether any production task other than a gang's is bound to the machine.
func (m *machine) urgent() bool { return m.boundByPriority[job.Production] > 0 }

// rateClass returns the rate limit class of writes to the machine's records, which is that of the
// most urgent task on the machine.
func (m *machine) rateClass() ratelimit.Class {
	switch {
	case m.urgent():
		return ratelimit.UrgentClaims
	case len(m.bound) > 0:
		return ratelimit.BusyClaims
	}
	return ratelimit.IdleClaims
}
