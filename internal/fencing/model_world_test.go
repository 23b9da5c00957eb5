package fencing

import (
	"silvergate/internal/failover"
)

// The model has two controllers, two machines, one task, a state service that keeps its
// history, and faults of the environment. A watch returns any prefix of the changes since
// its last answer, at any time; transactions are applied late, without an answer or not at
// all; heartbeats are delayed; answers are dropped; direct launches are executed late, and executed
// again, answered or not, for as long as the worker accepts their token and epoch;
// workers' leases end; controllers freeze (no step of theirs has to happen), are cut off
// and crash; machines are deleted. The model has no clock: a worker's lease may end at any
// time, and the worker's owner may conclude that it has ended once that is certain (see
// machineSteps).
//
// The invariant is stronger than the rule that a task must not run twice: every running
// attempt is the one that the records bind to that machine in that epoch.
//
// Throughout the model c is the index of a controller and m that of a machine.

// Sizes of the world.
const (
	controllers  = 2
	machines     = 2
	revisions    = 12
	attempts     = 3
	incarnations = 2
	maxLinks     = 3 // the most links that an ownership depends on
)

// Keys of the state service: the machines' claims, then the task, then one failover
// record for the group of each incarnation of each controller.
const (
	taskKey  = machines
	groupKey = machines + 1
	keys     = groupKey + controllers*incarnations
)

// change is the content of one revision: a claim or a failover record (owner, incarnation),
// the task (the other fields), or the job's cancellation.
type change struct {
	key                     uint8 // counts from 1; 0: the job's cancellation
	owner, incarnation      uint8 // owner counts from 1
	bound                   bool
	attempt, machine, epoch uint8 // of the task; attempt is the last one if the task is not bound
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

// outcome is the result of a transaction at the state service.
type outcome uint8

const (
	underWay outcome = iota
	committed
	refused
)

type txn struct {
	kind                                     txnKind
	machine, attempt, epoch, ifTask, ifClaim uint8
	ifLinks                                  [maxLinks]linkRevision // checked together with ifClaim
	group                                    uint8                  // the key that a failover writes
	renewal                                  bool                   // the claim renews one of the same controller
	outcome                                  outcome
}

// linkRevision is a group's key and the revision of its record; the zero value is no link.
type linkRevision struct{ key, revision uint8 }

// unconditional is the value of ifClaim in a transaction without a condition on the claim.
const unconditional = 255

// directLaunch is a launch under way. It is abandoned once its sender has given up on it.
type directLaunch struct {
	pending, abandoned             bool
	claim                          uint8 // the owner's token by the records when the launch was sent
	machine, token, epoch, attempt uint8
}

// launchMark is the token and the agent's epoch of a direct launch; the zero value is no launch.
type launchMark struct{ token, epoch uint8 }

// workerView is what a controller knows of a machine.
type workerView struct {
	tokenSeen, mirrorComplete, launchInDoubt, adopted bool
	tokenSeenAtWatch                                  bool // the token had been seen when the current watch was opened
	epoch, sequence, answeredSequence, answeredEpoch  uint8
	unanswered                                        uint8                    // bit set of attempts with an unanswered direct launch
	commandToken                                      uint8                    // the token of commands, if it was raised above the owner's
	launches                                          [attempts + 1]launchMark // the newest direct launch of each attempt
	launchEpoch, launchSequence                       uint8                    // of the newest answer to a direct launch
}

// proposal is a release that a controller wants to write, and its evidence.
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
	launches                                    [2]directLaunch // at most two at a time
	unwanted                                    bool            // the controller wants the task stopped
	knowsCancelled                              bool            // learnt from the records or from a peer
}

type heartbeat struct {
	pending, afterHorizon            bool // afterHorizon: sent after the horizon had passed, as a lease runs from the sending
	receiver, epoch, sequence, token uint8
	attempts                         [attempts + 1]attemptState
}

// attemptState is the state of an attempt on a machine.
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
	token, launch, forget, kill uint8 // forget and kill are bit sets of attempts
}

type worker struct {
	deleted                                 bool
	epoch, token, sequence, renewedSequence uint8
	attempts                                [attempts + 1]attemptState
	executed                                [attempts + 1]launchMark // direct launches, of which copies may arrive
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
	// The stages of the job's cancellation: committed, confirmed to its user, past the horizon, past cancel_s.
	cancelled, confirmed, horizonPassed, deadlinePassed bool
}

// bounds keep an exploration finite.
type bounds struct {
	machines, revisions, attempts, epochs, sequences, crashes, deletions, delays uint8
	failovers                                                                    uint8
	cancellation                                                                 bool
	reliable                                                                     bool // no message is lost and no lease ends
}

// current returns a key's current value and its revision.
func (s *world) current(key uint8) (change, uint8) {
	for revision := s.revision; revision > 0; revision-- {
		if s.history[revision].key == key+1 {
			return s.history[revision], revision
		}
	}
	return change{}, 0
}

// known returns the newest value of a key that a controller knows.
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

// model runs the product's code in a bounded world, with deliberate defects.
type model struct {
	bounds  bounds
	defects defect
}

// ownership is a machine's owner, as a controller knows it.
type ownership struct {
	owner, incarnation, token uint8 // owner counts from 1; 0: nobody
	links                     [maxLinks]linkRevision
	nextGroup                 uint8 // the key of the group with which the machine may fail over; 0: it can't
}

// All machines have the same name and zone, so that an incarnation's machines are in one group.
const (
	workerName = "w"
	workerZone = "z"
)

func failoverHolder(c, incarnation uint8) failover.Holder {
	return failover.Holder{Node: string('0' + rune(c)), Incarnation: int64(incarnation), Epoch: 1}
}

// groupForKey returns the group whose failover record is stored under a key.
func groupForKey(key uint8) failover.Group {
	at := key - groupKey
	return failover.GroupOf(failoverHolder(at/incarnations, at%incarnations+1), workerName, workerZone)
}

// ownershipOf resolves a machine's owner with the product's own failover table.
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

// failoverTable builds the failover table from the records that a controller knows. It also
// returns the key of each group.
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

// tokenOf returns the fencing token of a machine's owner, as a controller knows it.
func (md *model) tokenOf(s *world, c, m uint8) uint8 { return md.ownershipOf(s, c, m).token }
