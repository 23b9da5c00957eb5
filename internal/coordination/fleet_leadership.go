package coordination

import (
	"encoding/json"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// fleetScaler rents and returns machines. One controller at a time does so, under a
// lease in the state service; a deposed one can do no harm beyond cost, since
// names of rentals are never reused and releases need evidence.
type fleetScaler struct {
	leader             string
	leaderIncarnation  int64
	leaderRevision     uint64
	leaderLease        uint64 // that we last asked for the lease with
	rentals            map[string]*rental
	leadershipInFlight bool
	rentalSequence     int
	cloudCalls         bucket
	cloudCallsFilledAt time.Duration

	cloudMachines     map[string]protocol.RentedMachine
	cloudScan         map[string]protocol.RentedMachine
	cloudScanFrom     string
	cloudScanInFlight bool
	nextCloudScanAt   time.Duration // when the last whole list was asked for

	refusedUntil      map[offering]time.Duration // no capacity, not to be asked before
	refusals          map[offering]int
	deletedAt         map[string]time.Duration // deletion asked for
	deletionConfirmed map[string]bool          // and answered
	toDelete          map[string]bool
	// condemned are machines that nobody looks after, and why they are to be returned; see condemn.
	toDrain       map[string]string
	drainInFlight bool
	orphanedSince map[string]time.Duration // claimed by the dead, since when
	// inherited is how many machines an earlier life of ours held, at the most, since we have started.
	inherited  int
	nextPlanAt time.Duration
	zoneViews  map[string]zoneView // by controller
	unshipped  *unshippedOutput
}

func (f *fleetScaler) init() {
	f.rentals, f.zoneViews = map[string]*rental{}, map[string]zoneView{}
	f.refusedUntil, f.refusals = map[offering]time.Duration{}, map[offering]int{}
	f.deletionConfirmed = map[string]bool{}
	f.deletedAt, f.toDelete, f.orphanedSince, f.toDrain = map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}, map[string]string{}
	f.cloudMachines, f.cloudScan = map[string]protocol.RentedMachine{}, map[string]protocol.RentedMachine{}
}

type leadership struct {
	Leader      string `json:"o"`
	Incarnation int64  `json:"l"`
}

func (f *fleetScaler) applyLeadership(data json.RawMessage, revision uint64) {
	f.leader, f.leaderIncarnation, f.leaderRevision = "", 0, 0
	if data != nil {
		var l leadership
		if protocol.Decode(data, &l) == nil {
			f.leader, f.leaderIncarnation, f.leaderRevision = l.Leader, l.Incarnation, revision
		}
	}
}

// isLeader tells whether we rent: the lease's record names this life, and the grant that it was written under is the one that we hold
// and have renewed in time.
//
// Guards against a controller that stood still, lost its grant, and got another: its mirror still showed the record that
// had gone with the first one, and for a second or more two took themselves for the one that rents.
func (c *Core) isLeader() bool {
	f := &c.scaler
	return f.leaderRevision != 0 && f.leader == c.cfg.Node && f.leaderIncarnation == c.incarnation && c.membership.lease != 0 && c.membership.lease == f.leaderLease && c.now-c.membership.leaseRenewedAt < c.membership.leaseTTL*9/10
}

// fleetTick takes the lease if it is free and acts while holding it.
func (c *Core) runFleetScaler() {
	f := &c.scaler
	if c.links.CloudUnreachable() {
		now := c.links.Snapshot()
		if connectivity.PeerReachesCloud(&now) {
			c.resignLeadership()
			return
		}
	}
	if f.leaderRevision == 0 && c.membership.lease != 0 && !f.leadershipInFlight {
		f.leadershipInFlight, f.leaderLease = true, c.membership.lease
		c.state.Txn(ratelimit.OtherWork, []protocol.Compare{{Key: keyFleet}},
			[]protocol.Op{{Put: keyFleet, Value: encode(leadership{c.cfg.Node, c.incarnation}), Lease: c.membership.lease}},
			func(o stateclient.TxnOutcome, _ []string, _ uint64) {
				f.leadershipInFlight = false
				if o == stateclient.Committed {
					c.log.Info("acquired fleet leadership")
				}
			})
	}
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

// resignLeadership gives the lease up, or leaves it alone when it is free. Guards against a leader that only
// the cloud can't be reached by: nothing would be rented or returned until that link is
// mended, with everything else well.
func (c *Core) resignLeadership() {
	f := &c.scaler
	if f.leaderRevision == 0 || f.leader != c.cfg.Node || f.leadershipInFlight {
		return
	}
	f.leadershipInFlight = true
	c.state.Txn(ratelimit.OtherWork, []protocol.Compare{{Key: keyFleet, ModRevision: f.leaderRevision}}, []protocol.Op{{Delete: keyFleet}},
		func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			f.leadershipInFlight = false
			if o == stateclient.Committed {
				c.log.Info("resigning fleet leadership: the cloud does not answer")
			}
		})
}
