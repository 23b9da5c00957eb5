package coordination

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

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

// maxRentalCount is the most machines that a request may ask for (PROTOCOL).
const maxRentalCount = 50

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
