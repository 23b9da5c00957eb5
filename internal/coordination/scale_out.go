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

// offering is a kind of machine that the cloud offers: a machine type in a zone, spot or on demand.
type offering struct {
	machineType string
	zone        string
	spot        bool
}

// price returns the price of one machine of the offering; t is its machine type.
func (o offering) price(t *protocol.MachineType) float64 {
	if o.spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// rentalState mirrors the rental records and tracks the cloud's refusals.
type rentalState struct {
	rentals        map[string]*rental         // by request name
	rentalSequence int                        // number in the name of this controller's last request
	refusedUntil   map[offering]time.Duration // offerings without capacity: not to be requested before
	refusals       map[offering]int           // consecutive refusals
	refusedAt      map[offering]time.Duration // time of the last refusal, unless a request was filled since
	recordedAt     map[offering]time.Duration // when the last rental was recorded
}

func newRentalState() rentalState {
	return rentalState{
		rentals:      map[string]*rental{},
		refusedUntil: map[offering]time.Duration{},
		refusals:     map[offering]int{},
		refusedAt:    map[offering]time.Duration{},
		recordedAt:   map[offering]time.Duration{},
	}
}

// rental is the stored record of a request for machines. The leader writes it before it sends the
// request, so that the next leader repeats the same request instead of sending a new one.
type rental struct {
	MachineType   string        `json:"t"`
	Zone          string        `json:"z"`
	Spot          bool          `json:"s,omitempty"`
	Count         int           `json:"n"`
	RequestedAtMS int64         `json:"at"`
	Machines      []string      `json:"names,omitempty"`
	inFlight      bool          // the request is being sent, or the record is being deleted
	retryAt       time.Duration // earliest time to send the request again
}

func (r *rental) offering() offering { return offering{r.MachineType, r.Zone, r.Spot} }

// maxRentalCount is the maximum number of machines in a request (PROTOCOL).
const maxRentalCount = 50

// applyRental applies a change of a rental record; data is nil if the record was deleted.
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

// scaleOut records new rentals; sendRentals sends them once they are recorded. Records of rentals
// that production work waits for take precedence over other changes.
func (c *Core) scaleOut(toRent map[offering]int, urgent map[offering]bool) {
	f := &c.scaler
	offerings := sortedOfferings(toRent)
	// As many requests as the cloud accepts until about the next plan, in rounds over the
	// offerings. Each refused request costs a call and two changes of records.
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
			f.refusedUntil[offer] = max(f.refusedUntil[offer], c.now+rentalRecordTime)
			f.recordedAt[offer] = c.now
		}
		offerings = remaining
	}
}

// rentalRecordTime is how long it may take until the mirror shows the record of a rental.
const rentalRecordTime = time.Second

// recordingAt reports whether the record of a rental of an offering may not be in the mirror yet.
func (f *rentalState) recordingAt(offer offering, now time.Duration) bool {
	at, recorded := f.recordedAt[offer]
	return recorded && now-at < rentalRecordTime
}

// sortedOfferings returns the offerings sorted by machine type and zone, on demand before spot.
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

// unansweredOfferings returns the offerings of the rentals that the cloud has not answered yet.
func (f *rentalState) unansweredOfferings() map[offering]bool {
	unanswered := map[offering]bool{}
	for _, r := range f.rentals {
		if r.Machines == nil {
			unanswered[r.offering()] = true
		}
	}
	return unanswered
}

// recordRental writes the record of a rental, on the condition that this controller still leads.
func (c *Core) recordRental(offer offering, count int, urgent bool) {
	f := &c.scaler
	f.rentalSequence++
	// A revision of the leader record is never reused, so the name is unique too.
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

// sendRentals sends each recorded request, repeatedly until the cloud has answered it, and settles
// the answered ones.
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

// handleRentalReply handles the cloud's reply to a request for machines. Requests that fail for a
// reason other than a lack of capacity or a malformed request are retried.
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
		c.log.Error("the cloud rejected a rental request as malformed", "rental", name)
		c.dropRental(name)
	default:
		r.retryAt = c.now + time.Second
	}
}

// recordRented adds the names of the machines that the cloud has provisioned to the rental record.
func (c *Core) recordRented(name string, r *rental, machines []string) {
	c.Stats.MachinesRented += uint64(len(machines))
	c.log.Info("rented", "rental", name, "machine_type", r.MachineType, "zone", r.Zone, "spot", r.Spot, "machines", machines)
	if len(machines) < r.Count {
		c.backOffOffering(r.offering())
	} else {
		c.scaler.refusals[r.offering()] = 0
		delete(c.scaler.refusedAt, r.offering())
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

// isTransientCloudError reports whether the cloud refused a request for a reason other than a lack
// of capacity.
func isTransientCloudError(body []byte) bool {
	var p protocol.ErrorResponse
	return protocol.Decode(body, &p) != nil || p.Error != "no capacity"
}

// maxRefusalBackoff is the maximum backoff for a refused offering, in units of two heartbeat periods.
const maxRefusalBackoff = 5

// backOff bars requests for an offering for as many periods as it was refused consecutively, up to
// maxRefusalBackoff.
func (f *rentalState) backOff(offer offering, now, period time.Duration) {
	f.refusals[offer]++
	f.refusedAt[offer] = now
	f.refusedUntil[offer] = now + period*time.Duration(min(f.refusals[offer], maxRefusalBackoff))
}

// backOffOffering bars requests for an offering for a while after the cloud refused it, wholly or
// in part.
func (c *Core) backOffOffering(offer offering) {
	c.scaler.backOff(offer, c.now, seconds(2*c.cfg.Facts.Workers.Heartbeat))
}

// dropRental deletes a rental record.
func (c *Core) dropRental(name string) {
	c.state.Txn(ratelimit.OtherWork,
		[]protocol.Compare{{Key: keyRental + name, ModRevision: c.state.ModRevision(keyRental + name)}},
		[]protocol.Op{{Delete: keyRental + name}},
		ignoreOutcome)
}

// settleRental deletes an answered rental's record once each of its machines has been claimed or its
// deletion has been requested. Machines that are not claimed by their startup deadline are marked for
// draining as strays.
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

// awaitsFirstHeartbeat reports whether a provisioned machine has not been claimed yet, which happens
// with its first heartbeat, and its deletion has not been requested.
func (c *Core) awaitsFirstHeartbeat(id string) bool {
	if _, deleted := c.scaler.deletedAt[id]; deleted {
		return false
	}
	m := c.machines.byID[id]
	return m == nil || m.token == 0
}
