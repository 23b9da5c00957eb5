package coordination

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
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

// zoneView is in which zones a controller hears machines of its own, and in which
// none of them any more; and which of its machines do not hear it.
type zoneView struct {
	at                     time.Duration
	reachable, unreachable []string
	unresponsive           []string
}

// updateZoneView takes what this controller hears. A zone is dark when nothing of it was
// heard for a while.
func (f *fleetScaler) updateZoneView(node string, now time.Duration, zones map[string]*zoneHeartbeats, unresponsive []string, while time.Duration) {
	v := zoneView{at: now, unresponsive: unresponsive}
	for _, z := range sortedKeys(zones) {
		switch h := zones[z]; {
		case now-h.lastHeartbeat <= while:
			v.reachable = append(v.reachable, z)
		case h.machines >= 4:
			v.unreachable = append(v.unreachable, z)
		}
	}
	f.zoneViews[node] = v
}

// zoneUnreachable tells whether a zone seems to be cut off: no controller that can be
// heard hears a machine there, and one has lost all it held there, or the zone's
// own controllers are gone. What is rented or counted on there is of no use until
// it is back. It is a guess that costs money or time and never a rule.
func (c *Core) zoneUnreachable(zone string) bool {
	lost := false
	for _, v := range c.scaler.zoneViews {
		if c.now-v.at > seconds(c.cfg.Facts.Workers.Report) {
			continue
		}
		if slices.Contains(v.reachable, zone) {
			return false
		}
		lost = lost || slices.Contains(v.unreachable, zone)
	}
	inZone, down := 0, 0
	for _, p := range c.cfg.Peers {
		if p.Zone == zone {
			inZone++
			if !c.alive(p.Node) && c.machines.ownership.machinesByOwner[p.Node] > 0 {
				down++
			}
		}
	}
	return lost || inZone > 0 && down == inZone && c.cfg.Zone != zone
}

type offering struct {
	machineType string
	zone        string
	spot        bool
}

// rental is recorded before the request is sent, so that whoever leads next
// sends the same request again instead of a new one.
type rental struct {
	MachineType   string   `json:"t"`
	Zone          string   `json:"z"`
	Spot          bool     `json:"s,omitempty"`
	Count         int      `json:"n"`
	RequestedAtMS int64    `json:"at"`
	Machines      []string `json:"names,omitempty"`
	inFlight      bool
	retryAt       time.Duration
}

type bucket struct{ rate, level float64 }

type leadership struct {
	Leader      string `json:"o"`
	Incarnation int64  `json:"l"`
}

func (f *fleetScaler) init() {
	f.rentals, f.zoneViews = map[string]*rental{}, map[string]zoneView{}
	f.refusedUntil, f.refusals = map[offering]time.Duration{}, map[offering]int{}
	f.deletionConfirmed = map[string]bool{}
	f.deletedAt, f.toDelete, f.orphanedSince, f.toDrain = map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}, map[string]string{}
	f.cloudMachines, f.cloudScan = map[string]protocol.RentedMachine{}, map[string]protocol.RentedMachine{}
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

func (f *fleetScaler) applyRental(name string, data json.RawMessage) {
	if data == nil {
		delete(f.rentals, name)
		return
	}
	r := f.rentals[name]
	if r == nil {
		r = &rental{}
		f.rentals[name] = r
	}
	r.Machines = nil
	_ = protocol.Decode(data, r)
}

// catalogueTick keeps the machine types, on every controller: submissions
// can't be judged without them.
func (c *Core) refreshCatalogue() {
	f := &c.scaler
	if f.cloudCalls.rate == 0 {
		f.cloudCalls.rate = c.cfg.Facts.Cloud.RPS / 10
		f.cloudCalls.level = 1
	}
	rate := f.cloudCalls.rate
	if c.isLeader() {
		rate *= 7 // the others call only until they know the machine types
	}
	f.cloudCalls.level = min(max(1, rate), f.cloudCalls.level+rate*(c.now-f.cloudCallsFilledAt).Seconds())
	f.cloudCallsFilledAt = c.now
	if c.catalogue.requestInFlight || f.cloudCalls.level < 1 {
		return
	}
	if len(c.catalogue.types) > 0 && !c.isLeader() {
		if !c.links.ShouldProbeCloud(f.leader) {
			return
		}
	} else if c.now < c.catalogue.dueAt {
		return
	}
	c.catalogue.requestInFlight = true
	c.callCloud(http.MethodGet, protocol.PathMachineTypes, nil, func(r protocol.Reply) {
		c.catalogue.requestInFlight = false
		var v protocol.MachineTypes
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &v) != nil || len(v.MachineTypes) == 0 {
			c.catalogue.dueAt = c.now + time.Second
			return
		}
		c.catalogue.dueAt = c.now + seconds(10*c.cfg.Facts.Workers.Report)
		c.catalogue.update(&v)
		if c.state.Loaded() && c.state.ModRevision(keyFlavors) == 0 {
			c.state.Txn(ratelimit.Background, []protocol.Compare{{Key: keyFlavors}}, []protocol.Op{{Put: keyFlavors, Value: encode(v)}},
				func(stateclient.TxnOutcome, []string, uint64) {})
		}
	})
}

func (c *Core) callCloud(method, path string, body any, done func(protocol.Reply)) {
	c.scaler.cloudCalls.level--
	var raw []byte
	if body != nil {
		raw = encode(body)
	}
	c.call(protocol.Call{Target: protocol.ToCloud, Method: method, Path: path, Body: raw, Timeout: 5 * time.Second}, func(r protocol.Reply) {
		c.links.CloudAnswered(r.Status)
		done(r)
	})
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

// scanCloud reads the cloud's list, page by page.
func (c *Core) scanCloud() {
	f := &c.scaler
	if f.cloudScanInFlight || f.cloudCalls.level < 1 || (f.cloudScanFrom == "" && c.now < f.nextCloudScanAt) {
		return
	}
	f.cloudScanInFlight = true
	if f.cloudScanFrom == "" {
		f.cloudScan = map[string]protocol.RentedMachine{}
		f.nextCloudScanAt = c.now + seconds(c.cfg.Facts.Cloud.ListLag/3)
	}
	c.callCloud(http.MethodGet, protocol.PathRentals+"?from="+url.QueryEscape(f.cloudScanFrom)+"&page=500", nil, func(r protocol.Reply) {
		f.cloudScanInFlight = false
		var l protocol.RentalList
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &l) != nil {
			f.cloudScanFrom = ""
			return
		}
		for _, m := range l.Machines {
			f.cloudScan[m.Name] = m
			f.cloudScanFrom = m.Name
		}
		if !l.Truncated || len(l.Machines) == 0 {
			f.cloudMachines, f.cloudScanFrom = f.cloudScan, ""
			c.reconcileCloudList()
		}
	})
}

// sendRentals sends recorded requests until each has got an answer.
func (c *Core) sendRentals() {
	f := &c.scaler
	for _, name := range sortedKeys(f.rentals) {
		r := f.rentals[name]
		if r.Machines != nil {
			c.settleRental(name, r)
			continue
		}
		if r.inFlight || c.now < r.retryAt || f.cloudCalls.level < 1 {
			continue
		}
		r.inFlight = true
		where := offering{r.MachineType, r.Zone, r.Spot}
		c.callCloud(http.MethodPost, protocol.PathRentals, protocol.RentalRequest{RequestID: name, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Count: r.Count}, func(reply protocol.Reply) {
			r.inFlight = false
			var n protocol.MachineNames
			switch {
			case reply.Status == http.StatusOK && protocol.Decode(reply.Body, &n) == nil:
				c.Stats.MachinesRented += uint64(len(n.Machines))
				c.log.Info("rented", "rental", name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot, "machines", n.Machines)
				if len(n.Machines) < r.Count {
					c.backOffOffering(where)
				} else {
					f.refusals[where] = 0
				}
				if len(n.Machines) == 0 {
					c.dropRental(name)
					return
				}
				r.Machines = n.Machines
				c.state.Txn(ratelimit.OtherWork, []protocol.Compare{{Key: keyRental + name, ModRevision: c.state.ModRevision(keyRental + name)}},
					[]protocol.Op{{Put: keyRental + name, Value: encode(r)}}, func(stateclient.TxnOutcome, []string, uint64) {})
			case reply.Status == http.StatusServiceUnavailable && string(reply.Body) != "" && !isTransientCloudError(reply.Body):
				c.backOffOffering(where)
				c.dropRental(name)
			case reply.Status == http.StatusBadRequest:
				c.log.Error("the cloud refused a rental as malformed", "rental", name)
				c.dropRental(name)
			default:
				r.retryAt = c.now + time.Second
			}
		})
	}
}

func isTransientCloudError(body []byte) bool {
	var p protocol.ErrorResponse
	return protocol.Decode(body, &p) != nil || p.Error != "no capacity"
}

func (c *Core) backOffOffering(where offering) {
	f := &c.scaler
	f.refusals[where]++
	f.refusedUntil[where] = c.now + seconds(2*c.cfg.Facts.Workers.Report)*time.Duration(min(f.refusals[where], 5))
}

func (c *Core) dropRental(name string) {
	c.state.Txn(ratelimit.OtherWork, []protocol.Compare{{Key: keyRental + name, ModRevision: c.state.ModRevision(keyRental + name)}},
		[]protocol.Op{{Delete: keyRental + name}}, func(stateclient.TxnOutcome, []string, uint64) {})
}

// settleRental drops a rental's record once its machines have all reported,
// been returned, or been given up.
func (c *Core) settleRental(name string, r *rental) {
	machineType := c.catalogue.types[r.MachineType]
	if machineType == nil {
		return
	}
	overdue := float64(c.wallTime.UnixMilli()-r.RequestedAtMS)/1000 > 4*machineType.StartupS+c.cfg.Facts.Workers.Lease
	open := false
	for _, id := range r.Machines {
		if !c.awaitsFirstHeartbeat(id) {
			continue
		}
		open = true
		if overdue {
			c.scaler.toDrain[id] = drainStray
		}
	}
	if !open && !r.inFlight {
		r.inFlight = true
		c.dropRental(name)
	}
}

// awaitsFirstHeartbeat tells whether a rented machine has yet to report.
func (c *Core) awaitsFirstHeartbeat(id string) bool {
	if _, gone := c.scaler.deletedAt[id]; gone {
		return false
	}
	m := c.machines.byID[id]
	return m == nil || m.token == 0
}

// scaleOut records new rentals, those that production work waits for ahead of other
// changes; sendRentals sends them once recorded.
func (c *Core) scaleOut(toRent map[offering]int, urgent map[offering]bool) {
	f := &c.scaler
	pending := map[offering]bool{}
	for _, r := range f.rentals {
		if r.Machines == nil {
			pending[offering{r.MachineType, r.Zone, r.Spot}] = true
		}
	}
	var places []offering
	for w := range toRent {
		places = append(places, w)
	}
	sort.Slice(places, func(i, j int) bool {
		a, b := places[i], places[j]
		return a.machineType+a.zone < b.machineType+b.zone || (a.machineType+a.zone == b.machineType+b.zone && !a.spot && b.spot)
	})
	// As many requests as the cloud takes until about the next plan, in rounds
	// over the places; what it refuses costs a call and two changes each.
	calls := max(len(places), int(f.cloudCalls.rate*7*1.5))
	places = slices.DeleteFunc(places, func(w offering) bool { return pending[w] || f.leadershipInFlight })
	for len(places) > 0 && calls > 0 {
		left := places[:0]
		for _, w := range places {
			if calls--; calls < 0 {
				break
			}
			c.recordRental(w, min(toRent[w], maxRentalCount), urgent[w])
			if toRent[w] -= maxRentalCount; toRent[w] > 0 {
				left = append(left, w)
			}
			f.refusedUntil[w] = max(f.refusedUntil[w], c.now+time.Second) // until the record shows
		}
		places = left
	}
}

// recordRental writes down what is to be rented.
func (c *Core) recordRental(where offering, count int, urgent bool) {
	f := &c.scaler
	f.rentalSequence++
	// The stamp of our tenure's lease key never comes again.
	name := "r-" + strconv.FormatUint(f.leaderRevision, 10) + "-" + strconv.Itoa(f.rentalSequence)
	r := rental{MachineType: where.machineType, Zone: where.zone, Spot: where.spot, Count: count, RequestedAtMS: c.wallTime.UnixMilli()}
	class := ratelimit.OtherWork
	if urgent {
		class = ratelimit.UrgentWork
	}
	c.state.Txn(class, []protocol.Compare{{Key: keyRental + name}, {Key: keyFleet, ModRevision: f.leaderRevision}},
		[]protocol.Op{{Put: keyRental + name, Value: encode(r)}}, func(stateclient.TxnOutcome, []string, uint64) {})
}

// maxRentalCount is the most machines that a request may ask for (PROTOCOL).
const maxRentalCount = 50
