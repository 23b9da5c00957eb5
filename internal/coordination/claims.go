package coordination

import (
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/protocol"
)

// claimRecord is the record that makes a worker ours; its stamp is the worker's
// token. It is rewritten only to take a new token.
type claimRecord struct {
	Owner       string `json:"o"`
	Incarnation int64  `json:"l"`
	Address     string `json:"a"`
	MachineType string `json:"t"`
	Zone        string `json:"z"`
	Spot        bool   `json:"s,omitempty"`
	// Epoch is that of the holder's claims, see internal/failover; 0 from versions that
	// know of no take-overs by the group.
	Epoch int `json:"e,omitempty"`
}

// machineOwnership is who holds a machine, by its own claim and by the groups that have passed from one
// controller to another.
type machineOwnership struct {
	claim     claimRecord     // with who holds it by all records
	token     uint64          // the token by which it is held; 0: it has no claim
	ownClaim  failover.Claim  // by its own record alone
	links     []failover.Link // the groups that its holder stands on
	claimedAt time.Duration   // when its holder came to be known
	claiming  bool            // a claim is being written
	adopted   bool            // claimed by an earlier life of ours, whose token we go on with
}

// failedOver tells whether the machine has come to its holder by its group.
func (t *machineOwnership) failedOver() bool { return failover.Ownership{Links: t.links}.FailedOver() }

// nextGroup is the group by which the machine would pass to another controller; ok is false if it
// can't.
func (t *machineOwnership) nextGroup() (g failover.Group, ok bool) {
	return failover.Ownership{Links: t.links}.NextGroup()
}

// ownershipCompares is what a transaction is conditional on for a machine to be held as it is: its
// claim, the groups by which it has passed, and that it has not passed by the next one.
func (m *machine) ownershipCompares() []protocol.Compare {
	compares := make([]protocol.Compare, 0, 2+len(m.links))
	compares = append(compares, protocol.Compare{Key: keyClaim + m.id, ModRevision: m.ownClaim.Token})
	for _, l := range m.links {
		compares = append(compares, protocol.Compare{Key: keyTakeover + l.Group.Key(), ModRevision: l.Revision})
	}
	return compares
}
