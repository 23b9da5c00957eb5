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
)

// offering is what the cloud provides: machines of a type in a zone, spot or on demand.
type offering struct {
	machineType string
	zone        string
	spot        bool
}

// price is what a machine of the offering costs.
func (o offering) price(t *protocol.MachineType) float64 {
	if o.spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// rentalState is what is known of rentals and of the cloud's refusals.
type rentalState struct {
	rentals        map[string]*rental         // by the name of the request
	rentalSequence int                        // of the last request that we have named
	refusedUntil   map[offering]time.Duration // no capacity: not to be requested before
	refusals       map[offering]int           // in a row
}

func newRentalState() rentalState {
	return rentalState{
		rentals:      map[string]*rental{},
		refusedUntil: map[offering]time.Duration{},
		refusals:     map[offering]int{},
	}
}

// rental is the record of a request for machines. It is written before the request is sent,
// so that whoever leads next sends the same request again instead of a new one.
type rental struct {
	MachineType   string        `json:"t"`
	Zone          string        `json:"z"`
	Spot          bool          `json:"s,omitempty"`
	Count         int           `json:"n"`
	RequestedAtMS int64         `json:"at"`
	Machines      []string      `json:"names,omitempty"`
	inFlight      bool          // the request is being sent, or the record deleted
	retryAt       time.Duration // the request is not to be sent before
}

func (r *rental) offering() offering { return offering{r.MachineType, r.Zone, r.Spot} }

// maxRentalCount is the most machines that a request may have (PROTOCOL).
const maxRentalCount = 50

// applyRental takes a change of a rental's record; data is nil when it is deleted.
func (f *rentalState) applyRental(name string, data json.RawMessage) {
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
	offerings := sortedOfferings(toRent)
	// As many requests as the cloud takes until about the next plan, in rounds
	// over the offerings; what it refuses costs a call and two changes each.
	calls := max(len(offerings), int(f.cloudCalls.rate*leaderRateFactor*1.5))
	unanswered := f.unansweredOfferings()
	offerings = slices.DeleteFunc(offerings, func(offer offering) bool { return unanswered[offer] || f.leadershipInFlight })
	for len(offerings) > 0 && calls > 0 {
		remaining := offerings[:0]
		for _, offer := range offerings {
			if calls--; calls < 0 {
				break
			}
			c.recordRental(offer, min(toRent[offer], maxRentalCount), urgent[offer])
			if toRent[offer] -= maxRentalCount; toRent[offer] > 0 {
				remaining = append(remaining, offer)
			}
			f.refusedUntil[offer] = max(f.refusedUntil[offer], c.now+time.Second) // until the record shows
		}
		offerings = remaining
	}
}

// sortedOfferings lists offerings by machine type and zone, on demand before spot.
func sortedOfferings(toRent map[offering]int) (offerings []offering) {
	for offer := range toRent {
		offerings = append(offerings, offer)
	}
	sort.Slice(offerings, func(i, j int) bool {
		a, b := offerings[i], offerings[j]
		if a.machineType+a.zone != b.machineType+b.zone {
			return a.machineType+a.zone < b.machineType+b.zone
		}
		return !a.spot && b.spot
	})
	return offerings
}

// unansweredOfferings are those of rentals that the cloud has not answered yet.
func (f *rentalState) unansweredOfferings() map[offering]bool {
	unanswered := map[offering]bool{}
	for _, r := range f.rentals {
		if r.Machines == nil {
			unanswered[r.offering()] = true
		}
	}
	return unanswered
}

// recordRental writes the record of a rental, on the condition that we still lead.
func (c *Core) recordRental(offer offering, count int, urgent bool) {
	f := &c.scaler
	f.rentalSequence++
	// The revision of the leader's record never comes again, so neither does the name.
	name := "r-" + strconv.FormatUint(f.leaderRevision, 10) + "-" + strconv.Itoa(f.rentalSequence)
	record := encode(rental{
		MachineType:   offer.machineType,
		Zone:          offer.zone,
		Spot:          offer.spot,
		Count:         count,
		RequestedAtMS: c.wallTime.UnixMilli(),
	})
	class := ratelimit.OtherWork
	if urgent {
		class = ratelimit.UrgentWork
	}
	c.state.Txn(class,
		[]protocol.Compare{{Key: keyRental + name}, {Key: keyFleet, ModRevision: f.leaderRevision}},
		[]protocol.Op{{Put: keyRental + name, Value: record}},
		ignoreOutcome)
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
		if r.inFlight || c.now < r.retryAt || f.cloudCalls.tokens < 1 {
			continue
		}
		r.inFlight = true
		request := protocol.RentalRequest{RequestID: name, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
		c.callCloud(http.MethodPost, protocol.PathRentals, request, func(reply protocol.Reply) { c.handleRentalReply(name, r, reply) })
	}
}

// handleRentalReply takes the cloud's answer to a request for machines.
func (c *Core) handleRentalReply(name string, r *rental, reply protocol.Reply) {
	r.inFlight = false
	var rented protocol.MachineNames
	switch {
	case reply.Status == http.StatusOK && protocol.Decode(reply.Body, &rented) == nil:
		c.recordRented(name, r, rented.Machines)
	case reply.Status == http.StatusServiceUnavailable && string(reply.Body) != "" && !isTransientCloudError(reply.Body):
		c.backOffOffering(r.offering())
		c.dropRental(name)
	case reply.Status == http.StatusBadRequest:
		c.log.Error("the cloud refused a rental as malformed", "rental", name)
		c.dropRental(name)
	default:
		r.retryAt = c.now + time.Second
	}
}

// recordRented adds the names of the machines that the cloud has provisioned to the record.
func (c *Core) recordRented(name string, r *rental, machines []string) {
	c.Stats.MachinesRented += uint64(len(machines))
	c.log.Info("rented", "rental", name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot, "machines", machines)
	if len(machines) < r.Count {
		c.backOffOffering(r.offering())
	} else {
		c.scaler.refusals[r.offering()] = 0
	}
	if len(machines) == 0 {
		c.dropRental(name)
		return
	}
	r.Machines = machines
	c.state.Txn(ratelimit.OtherWork,
		[]protocol.Compare{{Key: keyRental + name, ModRevision: c.state.ModRevision(keyRental + name)}},
		[]protocol.Op{{Put: keyRental + name, Value: encode(r)}},
		ignoreOutcome)
}

// isTransientCloudError tells whether the cloud refused a request for another reason than a
// lack of capacity.
func isTransientCloudError(body []byte) bool {
	var p protocol.ErrorResponse
	return protocol.Decode(body, &p) != nil || p.Error != "no capacity"
}

// maxRefusalBackoff bounds how long an offering is left alone, as a multiple of two
// heartbeat periods.
const maxRefusalBackoff = 5

// backOff leaves an offering alone from now on for as many periods as it was refused in a row.
func (f *rentalState) backOff(offer offering, now, period time.Duration) {
	f.refusals[offer]++
	f.refusedUntil[offer] = now + period*time.Duration(min(f.refusals[offer], maxRefusalBackoff))
}

// backOffOffering leaves an offering alone that the cloud has refused.
func (c *Core) backOffOffering(offer offering) {
	c.scaler.backOff(offer, c.now, seconds(2*c.cfg.Facts.Workers.Report))
}

// dropRental deletes a rental's record.
func (c *Core) dropRental(name string) {
	c.state.Txn(ratelimit.OtherWork,
		[]protocol.Compare{{Key: keyRental + name, ModRevision: c.state.ModRevision(keyRental + name)}},
		[]protocol.Op{{Delete: keyRental + name}},
		ignoreOutcome)
}

// settleRental drops a rental's record once its machines have all sent a heartbeat, been
// deleted, or been given up.
func (c *Core) settleRental(name string, r *rental) {
	machineType := c.catalogue.types[r.MachineType]
	if machineType == nil {
		return
	}
	ageS := float64(c.wallTime.UnixMilli()-r.RequestedAtMS) / 1000
	overdue := ageS > c.startupDeadlineS(machineType)
	awaited := false
	for _, id := range r.Machines {
		if !c.awaitsFirstHeartbeat(id) {
			continue
		}
		awaited = true
		if overdue {
			c.scaler.toDrain[id] = drainStray
		}
	}
	if !awaited && !r.inFlight {
		r.inFlight = true
		c.dropRental(name)
	}
}

// awaitsFirstHeartbeat tells whether a provisioned machine has yet to send a heartbeat.
func (c *Core) awaitsFirstHeartbeat(id string) bool {
	if _, deleted := c.scaler.deletedAt[id]; deleted {
		return false
	}
	m := c.machines.byID[id]
	return m == nil || m.token == 0
}
