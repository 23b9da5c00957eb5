package coordination

import (
	"encoding/json"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// fleetScaler provisions and deletes machines, and holds what each controller reports about the zones.
// Only one controller at a time changes the fleet: the fleet leader, which holds a lease in the
// state service. A former leader that still acts can only cause cost, because rental names are
// never reused and a task is released only with evidence that it has ended.
type fleetScaler struct {
	fleetLeadership
	cloudScanner
	rentalState
	deletionState

	// inheritedMachines is the largest result of countInheritedMachines since this incarnation
	// started.
	inheritedMachines int
	nextPlanAt        time.Duration
	zoneViews         map[string]zoneView      // by controller
	shortages         map[string]*gangShortage // by job: gangs that the fleet can't hold
	unshipped         *unshippedOutput
}

func newFleetScaler(unshipped *unshippedOutput) fleetScaler {
	return fleetScaler{
		cloudScanner:  newCloudScanner(),
		rentalState:   newRentalState(),
		deletionState: newDeletionState(),
		zoneViews:     map[string]zoneView{},
		shortages:     map[string]*gangShortage{},
		unshipped:     unshipped,
	}
}

// fleetLeadership mirrors the leader record and tracks this controller's own writes to it.
type fleetLeadership struct {
	leader             string
	leaderIncarnation  int64
	leaderRevision     uint64 // of the record; 0 if there is no record
	leaderLease        uint64 // lease under which this controller last wrote the record
	leadershipInFlight bool   // this controller is writing or deleting the record
}

// leadership is the stored record that names the fleet leader.
type leadership struct {
	Leader      string `json:"o"`
	Incarnation int64  `json:"l"`
}

// applyLeadership applies a change of the leader record; data is nil if the record was deleted.
func (f *fleetLeadership) applyLeadership(data json.RawMessage, revision uint64) {
	f.leader, f.leaderIncarnation, f.leaderRevision = "", 0, 0
	if data != nil {
		var l leadership
		if protocol.Decode(data, &l) == nil {
			f.leader, f.leaderIncarnation, f.leaderRevision = l.Leader, l.Incarnation, revision
		}
	}
}

// isLeader reports whether this controller leads the fleet: the leader record names this
// incarnation, and this controller still holds the lease under which it wrote the record and
// has renewed it in time.
//
// The lease check guards against a controller that was paused, lost its lease and got a new one:
// its mirror still showed the record, which had been deleted with the first lease, and for a
// second or more two controllers considered themselves the leader.
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

// runFleetScaler acquires the leadership if no controller holds it, and scales the fleet while
// this controller leads. A leader that can't reach the cloud resigns if a peer can.
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
		f.nextPlanAt = c.now + seconds(c.cfg.Facts.Workers.Heartbeat/6)
		c.planFleet()
	}
}

// acquireLeadership writes the leader record under this controller's membership lease if there
// is no leader record.
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

// resignLeadership deletes the leader record if it names this controller. It guards against a
// leader that can reach everything except the cloud: no machine would be provisioned or deleted
// until that link works again.
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
				c.log.Info("resigned fleet leadership: the cloud does not answer")
			}
		})
}
