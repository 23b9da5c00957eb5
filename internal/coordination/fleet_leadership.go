package coordination

import (
	"encoding/json"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// fleetScaler provisions and deletes machines, and knows what all controllers report of the zones.
// One controller at a time changes the fleet: the fleet's leader, under a lease in the state
// service. A deposed leader can do no harm beyond cost, since names of rentals are never
// reused and releases need evidence.
type fleetScaler struct {
	fleetLeadership
	cloudScanner
	rentalState
	deletionState

	// inherited is how many machines an earlier incarnation of this controller held, at the
	// most, since we have started.
	inherited  int
	nextPlanAt time.Duration
	zoneViews  map[string]zoneView // by controller
	unshipped  *unshippedOutput
}

func newFleetScaler(unshipped *unshippedOutput) fleetScaler {
	return fleetScaler{
		cloudScanner:  newCloudScanner(),
		rentalState:   newRentalState(),
		deletionState: newDeletionState(),
		zoneViews:     map[string]zoneView{},
		unshipped:     unshipped,
	}
}

// fleetLeadership is what the record says of the leader, and our own writes of it.
type fleetLeadership struct {
	leader             string
	leaderIncarnation  int64
	leaderRevision     uint64 // of the record; 0: there is none
	leaderLease        uint64 // under which we last wrote the record
	leadershipInFlight bool   // the record is being written or deleted by us
}

// leadership is the record of the fleet's leader.
type leadership struct {
	Leader      string `json:"o"`
	Incarnation int64  `json:"l"`
}

// applyLeadership takes a change of the leader's record; data is nil when it is deleted.
func (f *fleetLeadership) applyLeadership(data json.RawMessage, revision uint64) {
	f.leader, f.leaderIncarnation, f.leaderRevision = "", 0, 0
	if data != nil {
		var l leadership
		if protocol.Decode(data, &l) == nil {
			f.leader, f.leaderIncarnation, f.leaderRevision = l.Leader, l.Incarnation, revision
		}
	}
}

// isLeader tells whether we lead the fleet: the record names this incarnation, and the lease
// under which it was written is the one that we hold and have renewed in time.
//
// Guards against a controller that stood still, lost its lease, and got another: its mirror
// still showed the record that had been deleted with the first one, and for a second or more two
// controllers took themselves for the leader.
func (c *Core) isLeader() bool {
	f := &c.scaler
	if f.leaderRevision == 0 || f.leader != c.cfg.Node || f.leaderIncarnation != c.incarnation {
		return false
	}
	if c.membership.lease == 0 || c.membership.lease != f.leaderLease {
		return false
	}
	return c.now-c.membership.leaseRenewedAt < c.membership.leaseTTL*9/10
}

// runFleetScaler takes the lead if nobody has it, and acts while leading.
func (c *Core) runFleetScaler() {
	f := &c.scaler
	if c.links.CloudUnreachable() {
		now := c.links.Snapshot()
		if connectivity.PeerReachesCloud(&now) {
			c.resignLeadership()
			return
		}
	}
	c.acquireLeadership()
	if !c.isLeader() || len(c.catalogue.types) == 0 {
		return
	}
	c.scanCloud()
	c.deleteMachines()
	c.sendRentals()
	if c.now >= f.nextPlanAt {
		c.dropUnusedFailovers()
		f.nextPlanAt = c.now + seconds(c.cfg.Facts.Workers.Report/6)
		c.planFleet()
	}
}

// acquireLeadership writes the leader's record, under the lease of our membership, if there
// is none.
func (c *Core) acquireLeadership() {
	f := &c.scaler
	if f.leaderRevision != 0 || c.membership.lease == 0 || f.leadershipInFlight {
		return
	}
	f.leadershipInFlight = true
	f.leaderLease = c.membership.lease
	record := encode(leadership{c.cfg.Node, c.incarnation})
	c.state.Txn(ratelimit.OtherWork,
		[]protocol.Compare{{Key: keyFleet}},
		[]protocol.Op{{Put: keyFleet, Value: record, Lease: c.membership.lease}},
		func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			f.leadershipInFlight = false
			if o == stateclient.Committed {
				c.log.Info("acquired fleet leadership")
			}
		})
}

// resignLeadership deletes the leader's record if it is ours. Guards against a leader that
// fails to reach only the cloud: nothing would be provisioned or deleted until that link is
// mended, with everything else well.
func (c *Core) resignLeadership() {
	f := &c.scaler
	if f.leaderRevision == 0 || f.leader != c.cfg.Node || f.leadershipInFlight {
		return
	}
	f.leadershipInFlight = true
	c.state.Txn(ratelimit.OtherWork,
		[]protocol.Compare{{Key: keyFleet, ModRevision: f.leaderRevision}},
		[]protocol.Op{{Delete: keyFleet}},
		func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			f.leadershipInFlight = false
			if o == stateclient.Committed {
				c.log.Info("resigning fleet leadership: the cloud does not answer")
			}
		})
}
