// Package peer holds the messages that controllers send to one another: the types
// that the code works with, and the frozen wire forms that are sent over links and
// written to recordings (wire.go).
//
// No message is needed for safety. Messages save time; every decision that matters is
// guarded by a condition that the state service checks, by a worker's fencing token, or
// by the cancellation horizon.
package peer

import (
	"time"

	"silvergate/internal/connectivity"
)

// Message is one message between controllers. Exactly one field is set, or none in a
// received message of a kind that a later version has added. Links carry the result of
// Wire; a Message itself must not be encoded with gob.
type Message struct {
	Heartbeat         *Heartbeat
	CancellationQuery *CancellationQuery
	CancellationReply *CancellationReply
	Handoff           *TaskHandoff
	HandoffReturn     *TaskHandoff // tasks handed off that the receiver has no machine for
	RoomRequest       *RoomRequest
	RoomOffer         *RoomOffer
	RelayRequest      *connectivity.RelayRequest  // asks the receiver to call the state service for the sender
	RelayResponse     *connectivity.RelayResponse // the result of such a call
	Forwarded         *ForwardedMessage
}

// Heartbeat tells peers how old the sender's last proof of a complete mirror is, whether
// the rate limits of the state service delay the sender's work, and from which zones it
// receives heartbeats.
type Heartbeat struct {
	MirrorAgeMS          int64
	Throttled            bool     // the state service's rate limits delay the sender's work
	ReachableZones       []string // zones in which the sender receives heartbeats of its own machines
	UnreachableZones     []string // zones in which it no longer receives any from its own machines
	UnresponsiveMachines []string // machines that don't receive the sender's responses, so that it can't give them work
	UnshippedMachines    []string // machines with output that the archive does not have yet
	// Links holds the sender's own link report, followed by the reports of other
	// controllers that it knows. It is empty from versions without link reports.
	Links []connectivity.LinkReport
}

// CancellationQuery asks a peer for the cancellations that it knows of and that the
// asker's mirror, which is complete up to AppliedRevision, lacks.
type CancellationQuery struct {
	// AskedAt is the time of the query by the asker's steady clock. The reply repeats it,
	// so that a message that was delayed proves nothing newer.
	AskedAt time.Duration
	// AppliedRevision is the state service's revision up to which the asker's mirror is
	// complete.
	AppliedRevision uint64
	// Incarnation distinguishes the asker's process from its earlier ones, which had other
	// clocks.
	Incarnation int64
}

// CancellationReply answers a CancellationQuery with all cancellations that it asks for.
type CancellationReply struct {
	AskedAt   time.Duration // repeated from the query
	Cancelled []string      // ids of jobs
	// Incarnation is that of the asker, or 0 from versions without incarnations.
	Incarnation int64
}

// TaskHandoff hands tasks of a job to a peer, which places them or queues them.
type TaskHandoff struct {
	Job   string // its id
	Tasks []int  // their indexes
}

// RoomRequest asks a peer for room for a gang. Machines are the machines that the sender
// has chosen, on which the receiver stops other tasks if necessary. If there are none, any
// idle machines of the receiver will do.
type RoomRequest struct {
	Job      string   // its id
	Machines []string // their names
}

// RoomOffer names machines that the sender reserves for a gang for a limited time.
type RoomOffer struct {
	Job      string // its id
	Machines []OfferedMachine
}

// OfferedMachine is a machine with the epoch of its agent as the sender knows it. An
// attempt is placed for that epoch.
type OfferedMachine struct {
	Machine string // its name
	Epoch   uint64
}

// ForwardedMessage is a cancellation query or its reply that is sent through a third
// controller because the two can't reach one another. Either Query or Reply is set.
type ForwardedMessage struct {
	From, To string // names of controllers
	Query    *CancellationQuery
	Reply    *CancellationReply
}
