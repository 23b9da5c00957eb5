// Package peer holds the messages that controllers send to one another: the types
// that the code works with, and the frozen forms that cross the links and stand in
// recordings (wire.go).
//
// No message is needed for safety. Messages save time; every decision that matters ends
// at a condition that the state service checks, at a worker's fencing token, or at the
// cancellation horizon.
package peer

import (
	"time"

	"silvergate/internal/connectivity"
)

// Message is one message between controllers. Exactly one field is set; a message
// of a kind that a later version has added is empty. A link carries its Wire form; a
// Message itself must not be encoded with gob.
type Message struct {
	Heartbeat         *Heartbeat
	CancellationQuery *CancellationQuery
	CancellationReply *CancellationReply
	Handoff           *TaskHandoff
	HandoffReturn     *TaskHandoff // tasks handed off that the receiver has no machine for
	RoomRequest       *RoomRequest
	RoomOffer         *RoomOffer
	RelayRequest      *connectivity.RelayRequest  // a call of the state service for the sender
	RelayResponse     *connectivity.RelayResponse // the result of one
	Forwarded         *ForwardedMessage
}

// Heartbeat tells peers how old the sender's last proof of a complete mirror is, whether
// its work waits for the state service's rates, and which zones it hears.
type Heartbeat struct {
	MirrorAgeMS          int64
	Throttled            bool     // work waits for the state service's rates
	ReachableZones       []string // zones of which the sender hears machines of its own
	UnreachableZones     []string // zones of which it hears none of them any more
	UnresponsiveMachines []string // machines that do not hear the sender: no work can be given to them
	UnshippedMachines    []string // machines with output that the archive does not have yet
	// Links are the sender's own link report and those it knows of others, the sender's
	// first. It is empty from versions without link reports.
	Links []connectivity.LinkReport
}

// CancellationQuery asks a peer which cancellations it knows of that the asker's mirror,
// complete up to AppliedRevision, does not hold.
type CancellationQuery struct {
	// AskedAt is the asker's steady clock. It comes back with the reply, so that a
	// message that was held back proves nothing new.
	AskedAt time.Duration
	// AppliedRevision is the state service's revision up to which the asker's mirror is
	// complete.
	AppliedRevision uint64
	// Incarnation tells the asker's process from earlier ones, whose clocks were others.
	Incarnation int64
}

// CancellationReply answers a CancellationQuery with all of them.
type CancellationReply struct {
	AskedAt   time.Duration // of the query
	Cancelled []string      // ids of jobs
	// Incarnation is the asker's, 0 from versions that don't know it.
	Incarnation int64
}

// TaskHandoff hands tasks of a job to a peer, which places them or queues them.
type TaskHandoff struct {
	Job   string // its id
	Tasks []int  // their indexes
}

// RoomRequest asks a peer for room for a gang. Machines are those that the sender has
// chosen, to be cleared if need be; with none, any idle room will do.
type RoomRequest struct {
	Job      string   // its id
	Machines []string // their names
}

// RoomOffer names machines that the sender holds back for a gang for a while.
type RoomOffer struct {
	Job      string // its id
	Machines []OfferedMachine
}

// OfferedMachine is a machine with the epoch of its agent that the sender knows: an
// attempt is placed for that epoch.
type OfferedMachine struct {
	Machine string // its name
	Epoch   uint64
}

// ForwardedMessage is a cancellation query or its reply that goes through a third
// controller, as the two can't reach one another. Either Query or Reply is set.
type ForwardedMessage struct {
	From, To string // names of controllers
	Query    *CancellationQuery
	Reply    *CancellationReply
}
