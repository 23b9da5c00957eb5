package provider

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"silvergate/internal/protocol"
)

// MachineType is a machine type on offer.
type MachineType struct {
	Name            string         `yaml:"sku"`
	CPUs            float64        `yaml:"cpus"`
	GPUs            float64        `yaml:"accelerators"`
	MemoryGB        float64        `yaml:"ramGb"`
	LocalGB         float64        `yaml:"localGb"`
	ImagePullGBPerS float64        `yaml:"pullGbPerS"`
	OnDemandPrice   float64        `yaml:"hourly"`
	SpotPrice       float64        `yaml:"spotPrice"`
	StartupS        float64        `yaml:"startupS"`
	Zones           map[string]int `yaml:"depots"` // zone -> machines on offer
}

// Spot says when spot machines are preempted.
type Spot struct {
	// MeanLifetimeS is the mean time until a spot machine is preempted, in seconds; 0: never.
	MeanLifetimeS float64 `yaml:"mean_life_s"`
	// NoticeS is how many seconds before the preemption the machine's agent gets notice.
	NoticeS float64 `yaml:"notice_s"`
}

// RentalRecord is a granted request for machines. A repeated request gets the same machines.
type RentalRecord struct {
	Name     string   `json:"name"`
	Machines []string `json:"stokers"`
}

// Machine is a rented machine. Its exported fields are stored.
type Machine struct {
	Name         string  `json:"name"`
	MachineType  string  `json:"rig"`
	Zone         string  `json:"depot"`
	Spot         bool    `json:"casual"`
	RentedMS     int64   `json:"rentedMs"`           // wall clock
	PreemptionMS int64   `json:"recallMs,omitempty"` // when it is preempted; 0: never
	Noticed      bool    `json:"noticed,omitempty"`
	Failed       bool    `json:"failed,omitempty"`
	Ending       bool    `json:"leaving,omitempty"` // deleted or preempted; being ended
	Preempted    bool    `json:"taken,omitempty"`   // by the cloud; not listed any more
	Hourly       float64 `json:"hourly"`

	address string
	started bool
	deaths  []time.Time // of its agent, within deathWindow
	retryAt time.Time
}

// Limits of the protocol.
const (
	maxRental = 50
	maxDelete = 100
	maxPage   = 500
	minPaidS  = 60
)

// A machine fails when its agent dies deathLimit times within deathWindow. Until then the agent
// is started again after a pause: initialBackoff, doubled once for each death within deathWindow.
const (
	deathLimit     = 5
	deathWindow    = time.Minute
	initialBackoff = 250 * time.Millisecond
)

// Effects are what the caller of a step has to carry out, in this order: store, then the rest.
type Effects struct {
	Store  []*Machine
	Rental *RentalRecord
	Start  []string // machines whose agent is to be started
	Notice []string // machines that get notice of their end
	End    []string // machines to be ended with all their tasks; MachineEnded must be called after that
}

// Market decides on rentals. It owns the machines' records and does no I/O; the
// wall clock and the source of random numbers are inputs.
type Market struct {
	types      map[string]*MachineType
	spot       Spot
	rps        float64
	random     *rand.Rand
	machines   map[string]*Machine
	rentals    map[string]*RentalRecord
	next       uint64
	tokens     float64
	refilledAt time.Time
	paid       float64 // cost of the machines that are gone
}

// NewMarket returns a market with the stored records, which it owns from then on.
func NewMarket(types []MachineType, spot Spot, rps float64, rentals []*RentalRecord, machines []*Machine, next uint64, rnd *rand.Rand) *Market {
	m := &Market{types: map[string]*MachineType{}, spot: spot, rps: rps, random: rnd, machines: map[string]*Machine{}, rentals: map[string]*RentalRecord{}, next: next, tokens: 2 * rps}
	for i := range types {
		m.types[types[i].Name] = &types[i]
	}
	for _, rental := range rentals {
		m.rentals[rental.Name] = rental
	}
	for _, x := range machines {
		m.machines[x.Name] = x
	}
	return m
}

// CheckTypes returns an error that names the first field with an impossible value.
func CheckTypes(types []MachineType) error {
	if len(types) == 0 {
		return errors.New("types: missing")
	}
	seen := map[string]bool{}
	for i, t := range types {
		at := fmt.Sprintf("types[%d]", i)
		switch {
		case !protocol.ValidName(t.Name) || seen[t.Name]:
			return fmt.Errorf("%s.sku: missing, repeated or not a name", at)
		case !(t.CPUs > 0) || !(t.MemoryGB > 0) || !(t.LocalGB > 0) || !(t.ImagePullGBPerS > 0):
			return fmt.Errorf("%s: cpus, ramGb, localGb and pullGbPerS must be above 0", at)
		case !(t.GPUs >= 0) || !(t.StartupS >= 0) || !(t.OnDemandPrice >= 0) || !(t.SpotPrice >= 0):
			return fmt.Errorf("%s: amounts must not be negative", at)
		case len(t.Zones) == 0:
			return fmt.Errorf("%s.depots: missing", at)
		}
		seen[t.Name] = true
		for z, n := range t.Zones {
			if !protocol.ValidName(z) || n < 0 {
				return fmt.Errorf("%s.depots.%s: not a zone's name, or a negative number", at, z)
			}
		}
	}
	return nil
}

// Admit reports whether a request is within the rate. Bursts of up to two seconds'
// worth of requests are admitted.
func (m *Market) Admit(now time.Time) bool {
	if !m.refilledAt.IsZero() {
		m.tokens = min(2*m.rps, m.tokens+m.rps*max(0, now.Sub(m.refilledAt).Seconds()))
	}
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// MachineTypes returns the machine types on offer, sorted by name.
func (m *Market) MachineTypes() protocol.MachineTypes {
	catalogue := protocol.MachineTypes{MachineTypes: []protocol.MachineType{}}
	for _, t := range m.types {
		zones := []string{}
		for z := range t.Zones {
			zones = append(zones, z)
		}
		slices.Sort(zones)
		catalogue.MachineTypes = append(catalogue.MachineTypes, protocol.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, LocalGB: t.LocalGB, ImagePullGBPerS: t.ImagePullGBPerS,
			OnDemandPrice: t.OnDemandPrice, SpotPrice: t.SpotPrice, StartupS: t.StartupS, Zones: zones})
	}
	slices.SortFunc(catalogue.MachineTypes, func(a, b protocol.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return catalogue
}

// ErrNoCapacity refuses a rental that may succeed later.
var ErrNoCapacity = errors.New("no capacity")

// occupied returns the number of machines of a type in a zone, without failed ones.
func (m *Market) occupied(machineType, zone string) (n int) {
	for _, x := range m.machines {
		if x.MachineType == machineType && x.Zone == zone && !x.Failed {
			n++
		}
	}
	return n
}

// Rent grants a request, or repeats the answer if it has granted the request before. The
// error is ErrNoCapacity when the same request may succeed later.
func (m *Market) Rent(now time.Time, r protocol.RentalRequest) ([]string, Effects, error) {
	var e Effects
	if rental := m.rentals[r.RequestID]; rental != nil {
		return rental.Machines, e, nil
	}
	t := m.types[r.MachineType]
	if t == nil {
		return nil, e, fmt.Errorf("rig: no type %q", r.MachineType)
	}
	capacity, ok := t.Zones[r.Zone]
	if !ok {
		return nil, e, fmt.Errorf("depot: type %s can't be had in %q", r.MachineType, r.Zone)
	}
	n := min(r.Count, capacity-m.occupied(r.MachineType, r.Zone))
	if n <= 0 {
		return nil, e, ErrNoCapacity
	}
	rental := &RentalRecord{Name: r.RequestID, Machines: []string{}}
	price := t.OnDemandPrice
	if r.Spot {
		price = t.SpotPrice
	}
	for range n {
		m.next++
		x := &Machine{Name: fmt.Sprintf("i-%08d", m.next), MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, RentedMS: now.UnixMilli(), Hourly: price}
		if r.Spot && m.spot.MeanLifetimeS > 0 {
			x.PreemptionMS = now.UnixMilli() + int64(m.random.ExpFloat64()*m.spot.MeanLifetimeS*1000)
		}
		m.machines[x.Name] = x
		rental.Machines = append(rental.Machines, x.Name)
		e.Store = append(e.Store, x)
	}
	m.rentals[rental.Name] = rental
	e.Rental = rental
	return rental.Machines, e, nil
}

// Delete ends machines and returns those to wait for, which include machines that are being
// ended already. Unknown names are ignored.
func (m *Market) Delete(names []string) (wait []string, e Effects) {
	for _, n := range names {
		x := m.machines[n]
		if x == nil || slices.Contains(wait, n) {
			continue
		}
		wait = append(wait, n)
		if !x.Ending {
			x.Ending = true
			e.Store = append(e.Store, x)
			e.End = append(e.End, n)
		}
	}
	return wait, e
}

// MachineEnded records that nothing of a machine is left.
func (m *Market) MachineEnded(now time.Time, name string) {
	if x := m.machines[name]; x != nil {
		m.paid += m.cost(x, now)
		delete(m.machines, name)
	}
}

// cost is what a machine has cost so far. At least minPaidS seconds are
// charged; a failed machine is free.
func (m *Market) cost(x *Machine, now time.Time) float64 {
	if x.Failed {
		return 0
	}
	return x.Hourly / 3600 * max(minPaidS, float64(now.UnixMilli()-x.RentedMS)/1000)
}

// Paid returns what all machines have cost so far, in the currency of the hourly prices.
func (m *Market) Paid(now time.Time) float64 {
	sum := m.paid
	for _, x := range m.machines {
		sum += m.cost(x, now)
	}
	return sum
}

// Preempt gives machines notice now; Tick ends them when the notice is over.
func (m *Market) Preempt(now time.Time, names []string, notice time.Duration) (e Effects) {
	for _, n := range names {
		if x := m.machines[n]; x != nil && !x.Ending {
			x.PreemptionMS, x.Noticed = now.Add(notice).UnixMilli(), true
			e.Store = append(e.Store, x)
			e.Notice = append(e.Notice, n)
		}
	}
	return e
}

// Tick returns what is due now: machines come up, agents that died are started again, and
// machines get notice of their preemption and are ended.
func (m *Market) Tick(now time.Time) (e Effects) {
	ms := now.UnixMilli()
	for _, n := range m.names() {
		x := m.machines[n]
		switch {
		case x.Ending || x.Failed:
		case x.PreemptionMS > 0 && ms >= x.PreemptionMS:
			x.Ending, x.Preempted = true, true
			e.Store = append(e.Store, x)
			e.End = append(e.End, n)
		case x.PreemptionMS > 0 && !x.Noticed && ms >= x.PreemptionMS-int64(m.spot.NoticeS*1000):
			x.Noticed = true
			e.Store = append(e.Store, x)
			e.Notice = append(e.Notice, n)
		case !x.started && ms >= x.RentedMS+int64(m.startup(x)*1000) && !now.Before(x.retryAt):
			x.started = true
			e.Start = append(e.Start, n)
		}
	}
	return e
}

func (m *Market) startup(x *Machine) float64 {
	if t := m.types[x.MachineType]; t != nil {
		return t.StartupS
	}
	return 0
}

func (m *Market) names() []string {
	out := make([]string, 0, len(m.machines))
	for n := range m.machines {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// AgentUp records that a machine's agent runs; address is empty until it is known.
func (m *Market) AgentUp(name, address string) {
	if x := m.machines[name]; x != nil {
		x.started, x.address = true, address
	}
}

// AgentDied records that a machine's agent is gone although the provider did not end it, or
// could not be started.
func (m *Market) AgentDied(now time.Time, name string) (e Effects) {
	x := m.machines[name]
	if x == nil || x.Ending || x.Failed || !x.started {
		return e
	}
	x.started = false
	x.deaths = append(x.deaths, now)
	for len(x.deaths) > 0 && now.Sub(x.deaths[0]) > deathWindow {
		x.deaths = x.deaths[1:]
	}
	x.retryAt = now.Add(initialBackoff << len(x.deaths))
	if len(x.deaths) >= deathLimit {
		x.Failed = true
		e.Store = append(e.Store, x)
	}
	return e
}

// List returns the page of machines, sorted by name, whose names come after from.
func (m *Market) List(now time.Time, from string, page int) protocol.RentalList {
	out := protocol.RentalList{Machines: []protocol.RentedMachine{}}
	for _, n := range m.names() {
		x := m.machines[n]
		if n <= from || x.Preempted {
			continue
		}
		if len(out.Machines) == page {
			out.Truncated = true
			break
		}
		status := protocol.StatusBooting
		switch {
		case x.Failed:
			status = protocol.StatusFailed
		case x.address != "":
			status = protocol.StatusRunning
		}
		out.Machines = append(out.Machines, protocol.RentedMachine{Name: n, Address: x.address, MachineType: x.MachineType, Zone: x.Zone, Spot: x.Spot, Status: status,
			AgeS: math.Max(0, float64(now.UnixMilli()-x.RentedMS)/1000)})
	}
	return out
}
