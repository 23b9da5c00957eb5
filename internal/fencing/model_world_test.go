package fencing

import (
	"silvergate/internal/failover"
)

// The model: two controllers, two machines and one task, a state service that keeps
// its history, and what the environment may do. Watches bring any prefix of what
// happened since, at any time; transactions are applied late, without an answer or not
// at all; heartbeats are delayed; answers are dropped; direct launches are carried out
// late; workers' leases end; controllers freeze (none of their steps need happen), are
// cut off and crash; machines are deleted. Time is not counted: a lease may end at any
// moment, and the owner may know it as soon as it must have.
//
// The invariant is stronger than the rule that a task must not run twice: whatever runs
// is what the records bind there, in that epoch.
//
// Throughout the model c is the index of a controller and m that of a machine.

// Sizes of the world.
const (
	controllers  = 2
	machines     = 2
	revisions    = 12
	attempts     = 3
	incarnations = 2
	maxLinks     = 3 // links that an ownership stands on, at the most
)

// Keys of the state service: the machines' claims, then the task, then the failover
// record of the group of each incarnation of each controller.
const (
	taskKey  = machines
	groupKey = machines + 1
	keys     = groupKey + controllers*incarnations
)

// change is one revision: of a claim or a failover record (owner, incarnation), of the
// task (the other fields), or the job's cancellation.
type change struct {
	key                     uint8 // counts from 1; 0: the job's cancellation
	owner, incarnation      uint8 // owner counts from 1
	bound                   bool
	attempt, machine, epoch uint8 // of the task; attempt is the last one if it is not bound
}

func claimBy(c, incarnation, m uint8) change {
	return change{key: m + 1, owner: c + 1, incarnation: incarnation}
}

func failoverTo(c, incarnation, group uint8) change {
	return change{key: group + 1, owner: c + 1, incarnation: incarnation}
}

func taskBound(attempt, m, epoch uint8) change {
	return change{key: taskKey + 1, bound: true, attempt: attempt, machine: m, epoch: epoch}
}

func taskReleased(attempt uint8) change { return change{key: taskKey + 1, attempt: attempt} }

// txnKind is what a transaction writes.
type txnKind uint8

const (
	noTxn txnKind = iota
	claimTxn
	releaseTxn
	placementTxn
	failoverTxn // of a whole group
)

var txnKindNames = [...]string{"none", "claim", "release", "placement", "failover of the group"}

func (k txnKind) String() string { return txnKindNames[k] }

// outcome is what became of a transaction at the state service.
type outcome uint8

const (
	underWay outcome = iota
	committed
	refused
)

type txn struct {
	kind                                     txnKind
	machine, attempt, epoch, ifTask, ifClaim uint8
	ifLinks                                  [maxLinks]linkRevision // beside ifClaim
	group                                    uint8                  // the key that a failover writes
	renewal                                  bool                   // the claim renews one of ours
	outcome                                  outcome
}

// linkRevision is a group's key and its record's revision; the zero value is none.
type linkRevision struct{ key, revision uint8 }

// unconditional is the ifClaim of a transaction without a condition on the claim.
const unconditional = 255

// directLaunch is a launch under way; abandoned: its sender has given up on it.
type directLaunch struct {
	pending, abandoned             bool
	machine, token, epoch, attempt uint8
}

// workerView is what a controller knows of a machine.
type workerView struct {
	tokenSeen, mirrorComplete, launchInDoubt, adopted bool
	tokenSeenAtWatch                                  bool // the token was seen before the open watch was opened
	epoch, sequence, answeredSequence, answeredEpoch  uint8
	unanswered                                        uint8 // attempts with an unanswered direct launch, as bits
	launchEpoch, launchSequence                       uint8 // of the newest answer to a direct launch
}

// proposal is a release that a controller wants to write, and on what evidence.
type proposal struct {
	proof                          Proof
	machine, epoch, attempt, token uint8
}

type controller struct {
	incarnation, appliedRevision, watchOpenedAt uint8
	known                                       [keys]uint8 // the newest revision known of each key
	taskBoundAt                                 uint8
	views                                       [machines]workerView
	proposal                                    proposal
	claim, taskWrite, lateTxn                   txn
	launches                                    [2]directLaunch // two at a time at the most
	unwanted                                    bool
	knowsCancelled                              bool // from the records or from a peer
}

type heartbeat struct {
	pending, afterHorizon            bool // afterHorizon: sent when the horizon had passed, as a lease counts from the sending
	receiver, epoch, sequence, token uint8
	attempts                         [attempts + 1]attemptState
}

// attemptState is what an attempt is on a machine.
type attemptState uint8

const (
	absent attemptState = iota
	running
	ended
)

var attemptStateNames = [...]string{"absent", "running", "ended"}

func (a attemptState) String() string { return attemptStateNames[a] }

// exchange is a worker's heartbeat and the answer to it.
type exchange struct {
	heartbeat                   heartbeat
	answered                    bool
	token, launch, forget, kill uint8 // forget and kill: attempts as bits
}

type worker struct {
	deleted                                 bool
	epoch, token, sequence, renewedSequence uint8
	attempts                                [attempts + 1]attemptState
	exchange                                exchange
	delayed                                 heartbeat
	renewedAfterHorizon                     bool // its epoch began, or its lease was renewed, after the horizon
}

type world struct {
	revision                   uint8
	history                    [revisions + 1]change
	controllers                [controllers]controller
	workers                    [machines]worker
	crashes, deletions, delays uint8
	failovers                  uint8
	// The job's cancellation: committed, confirmed to its user; then the horizon passes, and then cancel_s.
	cancelled, confirmed, horizonPassed, deadlinePassed bool
}

// bounds keep an exploration finite.
type bounds struct {
	machines, revisions, attempts, epochs, sequences, crashes, deletions, delays uint8
	failovers                                                                    uint8
	cancellation                                                                 bool
	reliable                                                                     bool // no message is lost and no lease ends
}

// current is a key's present value and its revision.
func (s *world) current(key uint8) (change, uint8) {
	for revision := s.revision; revision > 0; revision-- {
		if s.history[revision].key == key+1 {
			return s.history[revision], revision
		}
	}
	return change{}, 0
}

// known is a key's value as a controller knows it.
func (s *world) known(c, key uint8) change {
	if revision := s.controllers[c].known[key]; revision > 0 {
		return s.history[revision]
	}
	return change{}
}

func (s *world) commit(ch change) {
	s.revision++
	s.history[s.revision] = ch
}

// model is the product's code in a bounded world, broken on purpose by its defects.
type model struct {
	bounds  bounds
	defects defect
}

// ownership is who owns a machine, as a controller knows it.
type ownership struct {
	owner, incarnation, token uint8 // owner counts from 1; 0: nobody
	links                     [maxLinks]linkRevision
	nextGroup                 uint8 // the key of the group by which it may pass on; 0: it can't
}

// The machines' name and zone: all of an incarnation's machines are in one group.
const (
	workerName = "w"
	workerZone = "z"
)

func failoverHolder(c, incarnation uint8) failover.Holder {
	return failover.Holder{Node: string('0' + rune(c)), Incarnation: int64(incarnation), Epoch: 1}
}

// groupForKey is the group whose failover record is under a key.
func groupForKey(key uint8) failover.Group {
	at := key - groupKey
	return failover.GroupOf(failoverHolder(at/incarnations, at%incarnations+1), workerName, workerZone)
}

// ownershipOf finds a machine's owner with the product's own table of failovers.
func (md *model) ownershipOf(s *world, c, m uint8) ownership {
	self, claim := &s.controllers[c], s.known(c, m)
	o := ownership{owner: claim.owner, incarnation: claim.incarnation, token: self.known[m]}
	if md.bounds.failovers == 0 || o.token == 0 {
		return o
	}
	table, keyOf := md.failoverTable(s, c)
	resolved := table.Resolve(workerName, workerZone, failover.Claim{Holder: failoverHolder(claim.owner-1, claim.incarnation), Token: uint64(o.token)})
	o.owner, o.incarnation, o.token = resolved.Node[0]-'0'+1, uint8(resolved.Incarnation), uint8(resolved.Token)
	for i, link := range resolved.Links {
		o.links[i] = linkRevision{keyOf[link.Group], uint8(link.Revision)}
	}
	if group, ok := resolved.NextGroup(); ok {
		o.nextGroup = keyOf[group]
	}
	return o
}

// failoverTable is the table of failovers by what a controller knows, and the key of each group.
func (md *model) failoverTable(s *world, c uint8) (*failover.Table, map[failover.Group]uint8) {
	self, table := &s.controllers[c], failover.NewTable()
	table.Advance(uint64(self.appliedRevision))
	if md.has(applyFailoverAtOnce) {
		table.Advance(revisions)
	}
	keyOf := map[failover.Group]uint8{}
	for key := uint8(groupKey); key < keys; key++ {
		group := groupForKey(key)
		keyOf[group] = key
		if revision := self.known[key]; revision > 0 {
			successor := s.history[revision]
			table.Put(group, failoverHolder(successor.owner-1, successor.incarnation), uint64(revision))
		}
	}
	return table, keyOf
}

// tokenOf is the fencing token under which a controller knows a machine to be owned.
func (md *model) tokenOf(s *world, c, m uint8) uint8 { return md.ownershipOf(s, c, m).token }
