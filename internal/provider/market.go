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

// Type is a machine type on offer.
type Type struct {
	SKU       string         `yaml:"sku"`
	CPUs      float64        `yaml:"cpus"`
	GPUs      float64        `yaml:"accelerators"`
	RAM       float64        `yaml:"ramGb"`
	LocalGB   float64        `yaml:"localGb"`
	PullRate  float64        `yaml:"pullGbPerS"`
	Hourly    float64        `yaml:"hourly"`
	SpotPrice float64        `yaml:"spotPrice"`
	StartupS  float64        `yaml:"startupS"`
	Depots    map[string]int `yaml:"depots"` // zone -> machines that can be had
}

// Spot says how spot machines are taken back.
type Spot struct {
	// MeanLifeS is how long one is left, on average; 0: for ever.
	MeanLifeS float64 `yaml:"mean_life_s"`
	// NoticeS is how long before it is told.
	NoticeS float64 `yaml:"notice_s"`
}

// Hire is a request for machines that was granted. Its answer never changes.
type Hire struct {
	Name    string   `json:"name"`
	Stokers []string `json:"stokers"`
}

// Machine is a rented machine. It is stored as it stands.
type Machine struct {
	Name     string  `json:"name"`
	Rig      string  `json:"rig"`
	Depot    string  `json:"depot"`
	Casual   bool    `json:"casual"`
	RentedMS int64   `json:"rentedMs"`           // the day's clock
	RecallMS int64   `json:"recallMs,omitempty"` // when it is taken back; 0: never
	Noticed  bool    `json:"noticed,omitempty"`
	Failed   bool    `json:"failed,omitempty"`
	Leaving  bool    `json:"leaving,omitempty"` // deleted or taken; being ended
	Taken    bool    `json:"taken,omitempty"`   // by the cloud: stays away from the list
	Hourly   float64 `json:"hourly"`

	address string
	started bool
	deaths  []time.Time // of its agent, the latest ones
	retryAt time.Time
}

// Limits of the protocol.
const (
	maxRental = 50
	maxDelete = 100
	maxPage   = 500
	minPaidS  = 60
)

// An agent that keeps dying makes its machine a failed one: deathLimit times
// within deathSpan. Before that it is started again, each time after twice as
// long a pause.
const (
	deathLimit = 5
	deathSpan  = time.Minute
	firstPause = 250 * time.Millisecond
)

// Effects are what a step wants done, in this order: store, then the rest.
type Effects struct {
	Store  []*Machine
	Hire   *Hire
	Start  []string // machines whose agent is to be started
	Notice []string // machines to be told of their end
	End    []string // machines to be ended whole; Gone is called then
}

// Market decides on rentals. It owns the machines' records and does no I/O; the
// day's clock and chance come with the inputs.
type Market struct {
	types    map[string]*Type
	spot     Spot
	rps      float64
	rnd      *rand.Rand
	machines map[string]*Machine
	hires    map[string]*Hire
	next     uint64
	level    float64
	filled   time.Time
	paid     float64 // for machines that are gone
}

// NewMarket makes a market of what is stored.
func NewMarket(types []Type, spot Spot, rps float64, hires []*Hire, machines []*Machine, next uint64, rnd *rand.Rand) *Market {
	m := &Market{types: map[string]*Type{}, spot: spot, rps: rps, rnd: rnd, machines: map[string]*Machine{}, hires: map[string]*Hire{}, next: next, level: 2 * rps}
	for i := range types {
		m.types[types[i].SKU] = &types[i]
	}
	for _, h := range hires {
		m.hires[h.Name] = h
	}
	for _, x := range machines {
		m.machines[x.Name] = x
	}
	return m
}

// CheckTypes names the first field that can't be.
func CheckTypes(types []Type) error {
	if len(types) == 0 {
		return errors.New("types: missing")
	}
	seen := map[string]bool{}
	for i, t := range types {
		at := fmt.Sprintf("types[%d]", i)
		switch {
		case !protocol.ValidName(t.SKU) || seen[t.SKU]:
			return fmt.Errorf("%s.sku: missing, repeated or not a name", at)
		case !(t.CPUs > 0) || !(t.RAM > 0) || !(t.LocalGB > 0) || !(t.PullRate > 0):
			return fmt.Errorf("%s: cpus, ramGb, localGb and pullGbPerS must be above 0", at)
		case !(t.GPUs >= 0) || !(t.StartupS >= 0) || !(t.Hourly >= 0) || !(t.SpotPrice >= 0):
			return fmt.Errorf("%s: amounts must not be negative", at)
		case len(t.Depots) == 0:
			return fmt.Errorf("%s.depots: missing", at)
		}
		seen[t.SKU] = true
		for z, n := range t.Depots {
			if !protocol.ValidName(z) || n < 0 {
				return fmt.Errorf("%s.depots.%s: not a zone's name, or a negative number", at, z)
			}
		}
	}
	return nil
}

// Admit tells whether a request is within the rate; bursts of two seconds'
// worth are.
func (m *Market) Admit(now time.Time) bool {
	if !m.filled.IsZero() {
		m.level = min(2*m.rps, m.level+m.rps*max(0, now.Sub(m.filled).Seconds()))
	}
	m.filled = now
	if m.level < 1 {
		return false
	}
	m.level--
	return true
}

// Flavors is the catalogue.
func (m *Market) Flavors() protocol.MachineTypes {
	f := protocol.MachineTypes{MachineTypes: []protocol.MachineType{}}
	for _, t := range m.types {
		depots := []string{}
		for z := range t.Depots {
			depots = append(depots, z)
		}
		slices.Sort(depots)
		f.MachineTypes = append(f.MachineTypes, protocol.MachineType{Name: t.SKU, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.RAM, LocalGB: t.LocalGB, ImagePullGBPerS: t.PullRate,
			OnDemandPrice: t.Hourly, SpotPrice: t.SpotPrice, StartupS: t.StartupS, Zones: depots})
	}
	slices.SortFunc(f.MachineTypes, func(a, b protocol.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return f
}

// ErrNoCapacity is the refusal of a rental that may succeed later.
var ErrNoCapacity = errors.New("no capacity")

// taken counts the machines of a type and zone that are there.
func (m *Market) taken(rig, depot string) (n int) {
	for _, x := range m.machines {
		if x.Rig == rig && x.Depot == depot && !x.Failed {
			n++
		}
	}
	return n
}

// Rent grants a request, or repeats what it answered before.
func (m *Market) Rent(now time.Time, r protocol.RentalRequest) ([]string, Effects, error) {
	var e Effects
	if h := m.hires[r.RequestID]; h != nil {
		return h.Stokers, e, nil
	}
	t := m.types[r.MachineType]
	if t == nil {
		return nil, e, fmt.Errorf("rig: no type %q", r.MachineType)
	}
	room, ok := t.Depots[r.Zone]
	if !ok {
		return nil, e, fmt.Errorf("depot: type %s can't be had in %q", r.MachineType, r.Zone)
	}
	n := min(r.Count, room-m.taken(r.MachineType, r.Zone))
	if n <= 0 {
		return nil, e, ErrNoCapacity
	}
	h := &Hire{Name: r.RequestID, Stokers: []string{}}
	price := t.Hourly
	if r.Spot {
		price = t.SpotPrice
	}
	for range n {
		m.next++
		x := &Machine{Name: fmt.Sprintf("i-%08d", m.next), Rig: r.MachineType, Depot: r.Zone, Casual: r.Spot, RentedMS: now.UnixMilli(), Hourly: price}
		if r.Spot && m.spot.MeanLifeS > 0 {
			x.RecallMS = now.UnixMilli() + int64(m.rnd.ExpFloat64()*m.spot.MeanLifeS*1000)
		}
		m.machines[x.Name] = x
		h.Stokers = append(h.Stokers, x.Name)
		e.Store = append(e.Store, x)
	}
	m.hires[h.Name] = h
	e.Hire = h
	return h.Stokers, e, nil
}

// Delete has machines ended. Unknown names are ignored; those that are being
// ended already are waited for too.
func (m *Market) Delete(names []string) (wait []string, e Effects) {
	for _, n := range names {
		x := m.machines[n]
		if x == nil || slices.Contains(wait, n) {
			continue
		}
		wait = append(wait, n)
		if !x.Leaving {
			x.Leaving = true
			e.Store = append(e.Store, x)
			e.End = append(e.End, n)
		}
	}
	return wait, e
}

// Gone takes that nothing of a machine is left.
func (m *Market) Gone(now time.Time, name string) {
	if x := m.machines[name]; x != nil {
		m.paid += m.cost(x, now)
		delete(m.machines, name)
	}
}

func (m *Market) cost(x *Machine, now time.Time) float64 {
	if x.Failed {
		return 0
	}
	return x.Hourly / 3600 * max(minPaidS, float64(now.UnixMilli()-x.RentedMS)/1000)
}

// Paid is what all machines have cost so far.
func (m *Market) Paid(now time.Time) float64 {
	sum := m.paid
	for _, x := range m.machines {
		sum += m.cost(x, now)
	}
	return sum
}

// Recall has the cloud take machines back after a notice.
func (m *Market) Recall(now time.Time, names []string, notice time.Duration) (e Effects) {
	for _, n := range names {
		if x := m.machines[n]; x != nil && !x.Leaving {
			x.RecallMS, x.Noticed = now.Add(notice).UnixMilli(), true
			e.Store = append(e.Store, x)
			e.Notice = append(e.Notice, n)
		}
	}
	return e
}

// Tick lets time pass: machines come up, agents that died are started again,
// spot machines are told of their end and taken.
func (m *Market) Tick(now time.Time) (e Effects) {
	ms := now.UnixMilli()
	for _, n := range m.names() {
		x := m.machines[n]
		switch {
		case x.Leaving || x.Failed:
		case x.RecallMS > 0 && ms >= x.RecallMS:
			x.Leaving, x.Taken = true, true
			e.Store = append(e.Store, x)
			e.End = append(e.End, n)
		case x.RecallMS > 0 && !x.Noticed && ms >= x.RecallMS-int64(m.spot.NoticeS*1000):
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
	if t := m.types[x.Rig]; t != nil {
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

// Up takes that a machine's agent runs; address is empty until it is known.
func (m *Market) Up(name, address string) {
	if x := m.machines[name]; x != nil {
		x.started, x.address = true, address
	}
}

// Died takes that a machine's agent is gone without having been told to.
func (m *Market) Died(now time.Time, name string) (e Effects) {
	x := m.machines[name]
	if x == nil || x.Leaving || x.Failed || !x.started {
		return e
	}
	x.started = false
	x.deaths = append(x.deaths, now)
	for len(x.deaths) > 0 && now.Sub(x.deaths[0]) > deathSpan {
		x.deaths = x.deaths[1:]
	}
	x.retryAt = now.Add(firstPause << len(x.deaths))
	if len(x.deaths) >= deathLimit {
		x.Failed = true
		e.Store = append(e.Store, x)
	}
	return e
}

// List is a page of the machines in the order of their names, after from.
func (m *Market) List(now time.Time, from string, page int) protocol.RentalList {
	out := protocol.RentalList{Machines: []protocol.RentedMachine{}}
	for _, n := range m.names() {
		x := m.machines[n]
		if n <= from || x.Taken {
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
		out.Machines = append(out.Machines, protocol.RentedMachine{Name: n, Address: x.address, MachineType: x.Rig, Zone: x.Depot, Spot: x.Casual, Status: status,
			AgeS: math.Max(0, float64(now.UnixMilli()-x.RentedMS)/1000)})
	}
	return out
}
