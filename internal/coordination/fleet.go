package coordination

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/protocol"
	"silvergate/internal/reach"
)

// fleet rents and returns machines. One controller at a time does so, under a
// lease in the state service; a deposed one can do no harm beyond cost, since
// names of rentals are never reused and releases need evidence.
type fleet struct {
	owner    string
	life     int64
	stamp    uint64
	permit   uint64 // that we last asked for the lease with
	rentals  map[string]*rental
	taking   bool
	seq      int
	calls    bucket
	lastFill time.Duration

	listed   map[string]protocol.RentedMachine
	listing  map[string]protocol.RentedMachine
	listFrom string
	listBusy bool
	listAt   time.Duration // when the last whole list was asked for

	refused  map[place]time.Duration // no capacity, not to be asked before
	strikes  map[place]int
	gone     map[string]time.Duration // deletion asked for
	fenced   map[string]bool          // and answered
	deleting map[string]bool
	// condemned are machines that nobody looks after, and why they are to be returned; see condemn.
	condemned  map[string]string
	condemning bool
	lost       map[string]time.Duration // claimed by the dead, since when
	// inherited is how many machines an earlier life of ours held, at the most, since we have started.
	inherited int
	planAt    time.Duration
	seen      map[string]sight // by controller
	unshipped *unshipped
}

// sight is in which zones a controller hears machines of its own, and in which
// none of them any more; and which of its machines do not hear it.
type sight struct {
	at        time.Duration
	lit, dark []string
	deaf      []string
}

// see takes what this controller hears. A zone is dark when nothing of it was
// heard for a while.
func (f *fleet) see(node string, now time.Duration, zones map[string]*zoneHeard, deaf []string, while time.Duration) {
	v := sight{at: now, deaf: deaf}
	for _, z := range sortedKeys(zones) {
		switch h := zones[z]; {
		case now-h.newest <= while:
			v.lit = append(v.lit, z)
		case h.held >= 4:
			v.dark = append(v.dark, z)
		}
	}
	f.seen[node] = v
}

// zoneDark tells whether a zone seems to be cut off: no controller that can be
// heard hears a machine there, and one has lost all it held there, or the zone's
// own controllers are gone. What is rented or counted on there is of no use until
// it is back. It is a guess that costs money or time and never a rule.
func (c *Core) zoneDark(zone string) bool {
	dark := false
	for _, v := range c.fleet.seen {
		if c.now-v.at > seconds(c.cfg.Facts.Workers.Report) {
			continue
		}
		if slices.Contains(v.lit, zone) {
			return false
		}
		dark = dark || slices.Contains(v.dark, zone)
	}
	locals, gone := 0, 0
	for _, p := range c.cfg.Peers {
		if p.Zone == zone {
			locals++
			if !c.alive(p.Node) && c.holders.count[p.Node] > 0 {
				gone++
			}
		}
	}
	return dark || locals > 0 && gone == locals && c.cfg.Zone != zone
}

type place struct {
	rig   string
	depot string
	spot  bool
}

// rental is recorded before the request is sent, so that whoever leads next
// sends the same request again instead of a new one.
type rental struct {
	Rig    string   `json:"t"`
	Depot  string   `json:"z"`
	Spot   bool     `json:"s,omitempty"`
	Number int      `json:"n"`
	At     int64    `json:"at"`
	Names  []string `json:"names,omitempty"`
	busy   bool
	next   time.Duration
}

type bucket struct{ rate, level float64 }

type lease struct {
	Owner string `json:"o"`
	Life  int64  `json:"l"`
}

func (f *fleet) init() {
	f.rentals, f.seen = map[string]*rental{}, map[string]sight{}
	f.refused, f.strikes = map[place]time.Duration{}, map[place]int{}
	f.fenced = map[string]bool{}
	f.gone, f.deleting, f.lost, f.condemned = map[string]time.Duration{}, map[string]bool{}, map[string]time.Duration{}, map[string]string{}
	f.listed, f.listing = map[string]protocol.RentedMachine{}, map[string]protocol.RentedMachine{}
}

func (f *fleet) applyLease(data json.RawMessage, stamp uint64) {
	f.owner, f.life, f.stamp = "", 0, 0
	if data != nil {
		var l lease
		if protocol.Decode(data, &l) == nil {
			f.owner, f.life, f.stamp = l.Owner, l.Life, stamp
		}
	}
}

func (f *fleet) applyRental(name string, data json.RawMessage) {
	if data == nil {
		delete(f.rentals, name)
		return
	}
	r := f.rentals[name]
	if r == nil {
		r = &rental{}
		f.rentals[name] = r
	}
	r.Names = nil
	_ = protocol.Decode(data, r)
}

// catalogueTick keeps the machine types, on every controller: submissions
// can't be judged without them.
func (c *Core) catalogueTick() {
	f := &c.fleet
	if f.calls.rate == 0 {
		f.calls.rate = c.cfg.Facts.Cloud.RPS / 10
		f.calls.level = 1
	}
	rate := f.calls.rate
	if c.leads() {
		rate *= 7 // the others call only until they know the machine types
	}
	f.calls.level = min(max(1, rate), f.calls.level+rate*(c.now-f.lastFill).Seconds())
	f.lastFill = c.now
	if c.flavorsIn || f.calls.level < 1 {
		return
	}
	if len(c.catalogue) > 0 && !c.leads() {
		if !c.reach.AskCloud(f.owner) {
			return
		}
	} else if c.now < c.flavorsAt {
		return
	}
	c.flavorsIn = true
	c.cloud(http.MethodGet, protocol.PathMachineTypes, nil, func(r protocol.Reply) {
		c.flavorsIn = false
		var v protocol.MachineTypes
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &v) != nil || len(v.MachineTypes) == 0 {
			c.flavorsAt = c.now + time.Second
			return
		}
		c.flavorsAt = c.now + seconds(10*c.cfg.Facts.Workers.Report)
		c.setCatalogue(&v)
		if c.store.Loaded() && c.store.ModRevision(keyFlavors) == 0 {
			c.store.Txn(budget.Background, []protocol.Compare{{Key: keyFlavors}}, []protocol.Op{{Put: keyFlavors, Value: encode(v)}},
				func(bookkeeping.TxnOutcome, []string, uint64) {})
		}
	})
}

func (c *Core) cloud(method, path string, body any, done func(protocol.Reply)) {
	c.fleet.calls.level--
	var raw []byte
	if body != nil {
		raw = encode(body)
	}
	c.call(protocol.Call{Target: protocol.ToCloud, Method: method, Path: path, Body: raw, Timeout: 5 * time.Second}, func(r protocol.Reply) {
		c.reach.CloudAnswered(r.Status)
		done(r)
	})
}

// leads tells whether we rent: the lease's record names this life, and the grant that it was written under is the one that we hold
// and have renewed in time.
//
// Guards against a controller that stood still, lost its grant, and got another: its mirror still showed the record that
// had gone with the first one, and for a second or more two took themselves for the one that rents.
func (c *Core) leads() bool {
	f := &c.fleet
	return f.stamp != 0 && f.owner == c.cfg.Node && f.life == c.life && c.permit != 0 && c.permit == f.permit && c.now-c.permitAt < c.ttl*9/10
}

// fleetTick takes the lease if it is free and acts while holding it.
func (c *Core) fleetTick() {
	f := &c.fleet
	if c.reach.NoCloud() {
		now := c.reach.Picture()
		if reach.OtherRents(&now) {
			c.yieldFleet()
			return
		}
	}
	if f.stamp == 0 && c.permit != 0 && !f.taking {
		f.taking, f.permit = true, c.permit
		c.store.Txn(budget.OtherWork, []protocol.Compare{{Key: keyFleet}},
			[]protocol.Op{{Put: keyFleet, Value: encode(lease{c.cfg.Node, c.life}), Lease: c.permit}},
			func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
				f.taking = false
				if o == bookkeeping.Committed {
					c.log.Info("leading the fleet")
				}
			})
	}
	if !c.leads() || len(c.catalogue) == 0 {
		return
	}
	c.list()
	c.deletions()
	c.sendRentals()
	if c.now >= f.planAt {
		c.dropTakeovers()
		f.planAt = c.now + seconds(c.cfg.Facts.Workers.Report/6)
		c.plan()
	}
}

// yieldFleet gives the lease up, or leaves it alone when it is free. Guards against a leader that only
// the cloud can't be reached by: nothing would be rented or returned until that link is
// mended, with everything else well.
func (c *Core) yieldFleet() {
	f := &c.fleet
	if f.stamp == 0 || f.owner != c.cfg.Node || f.taking {
		return
	}
	f.taking = true
	c.store.Txn(budget.OtherWork, []protocol.Compare{{Key: keyFleet, ModRevision: f.stamp}}, []protocol.Op{{Delete: keyFleet}},
		func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
			f.taking = false
			if o == bookkeeping.Committed {
				c.log.Info("leaving the fleet to another: the cloud does not answer us")
			}
		})
}

// list reads the cloud's list, page by page.
func (c *Core) list() {
	f := &c.fleet
	if f.listBusy || f.calls.level < 1 || (f.listFrom == "" && c.now < f.listAt) {
		return
	}
	f.listBusy = true
	if f.listFrom == "" {
		f.listing = map[string]protocol.RentedMachine{}
		f.listAt = c.now + seconds(c.cfg.Facts.Cloud.ListLag/3)
	}
	c.cloud(http.MethodGet, protocol.PathRentals+"?from="+url.QueryEscape(f.listFrom)+"&page=500", nil, func(r protocol.Reply) {
		f.listBusy = false
		var l protocol.RentalList
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &l) != nil {
			f.listFrom = ""
			return
		}
		for _, m := range l.Machines {
			f.listing[m.Name] = m
			f.listFrom = m.Name
		}
		if !l.Truncated || len(l.Machines) == 0 {
			f.listed, f.listFrom = f.listing, ""
			c.listIn()
		}
	})
}

// sendRentals sends recorded requests until each has got an answer.
func (c *Core) sendRentals() {
	f := &c.fleet
	for _, name := range sortedKeys(f.rentals) {
		r := f.rentals[name]
		if r.Names != nil {
			c.settleRental(name, r)
			continue
		}
		if r.busy || c.now < r.next || f.calls.level < 1 {
			continue
		}
		r.busy = true
		where := place{r.Rig, r.Depot, r.Spot}
		c.cloud(http.MethodPost, protocol.PathRentals, protocol.RentalRequest{RequestID: name, MachineType: r.Rig, Zone: r.Depot, Spot: r.Spot, Count: r.Number}, func(rep protocol.Reply) {
			r.busy = false
			var n protocol.MachineNames
			switch {
			case rep.Status == http.StatusOK && protocol.Decode(rep.Body, &n) == nil:
				c.Stats.Rented += uint64(len(n.Machines))
				c.log.Info("rented", "hire", name, "rig", r.Rig, "depot", r.Depot, "casual", r.Spot, "stokers", n.Machines)
				if len(n.Machines) < r.Number {
					c.noCapacity(where)
				} else {
					f.strikes[where] = 0
				}
				if len(n.Machines) == 0 {
					c.dropRental(name)
					return
				}
				r.Names = n.Machines
				c.store.Txn(budget.OtherWork, []protocol.Compare{{Key: keyRental + name, ModRevision: c.store.ModRevision(keyRental + name)}},
					[]protocol.Op{{Put: keyRental + name, Value: encode(r)}}, func(bookkeeping.TxnOutcome, []string, uint64) {})
			case rep.Status == http.StatusServiceUnavailable && string(rep.Body) != "" && !isTrouble(rep.Body):
				c.noCapacity(where)
				c.dropRental(name)
			case rep.Status == http.StatusBadRequest:
				c.log.Error("the cloud calls a rental malformed", "hire", name)
				c.dropRental(name)
			default:
				r.next = c.now + time.Second
			}
		})
	}
}

func isTrouble(body []byte) bool {
	var p protocol.ErrorResponse
	return protocol.Decode(body, &p) != nil || p.Error != "no capacity"
}

func (c *Core) noCapacity(p place) {
	f := &c.fleet
	f.strikes[p]++
	f.refused[p] = c.now + seconds(2*c.cfg.Facts.Workers.Report)*time.Duration(min(f.strikes[p], 5))
}

func (c *Core) dropRental(name string) {
	c.store.Txn(budget.OtherWork, []protocol.Compare{{Key: keyRental + name, ModRevision: c.store.ModRevision(keyRental + name)}},
		[]protocol.Op{{Delete: keyRental + name}}, func(bookkeeping.TxnOutcome, []string, uint64) {})
}

// settleRental drops a rental's record once its machines have all reported,
// been returned, or been given up.
func (c *Core) settleRental(name string, r *rental) {
	t := c.catalogue[r.Rig]
	if t == nil {
		return
	}
	late := float64(c.wall.UnixMilli()-r.At)/1000 > 4*t.StartupS+c.cfg.Facts.Workers.Lease
	open := false
	for _, id := range r.Names {
		if !c.expected(id) {
			continue
		}
		open = true
		if late {
			c.fleet.condemned[id] = drainStray
		}
	}
	if !open && !r.busy {
		r.busy = true
		c.dropRental(name)
	}
}

// expected tells whether a rented machine has yet to report.
func (c *Core) expected(id string) bool {
	if _, gone := c.fleet.gone[id]; gone {
		return false
	}
	m := c.machines[id]
	return m == nil || m.stamp == 0
}

// rent records new rentals, those that production work waits for ahead of other
// changes; sendRentals sends them once recorded.
func (c *Core) rent(want map[place]int, urgent map[place]bool) {
	f := &c.fleet
	pending := map[place]bool{}
	for _, r := range f.rentals {
		if r.Names == nil {
			pending[place{r.Rig, r.Depot, r.Spot}] = true
		}
	}
	var places []place
	for w := range want {
		places = append(places, w)
	}
	sort.Slice(places, func(i, j int) bool {
		a, b := places[i], places[j]
		return a.rig+a.depot < b.rig+b.depot || (a.rig+a.depot == b.rig+b.depot && !a.spot && b.spot)
	})
	// As many requests as the cloud takes until about the next plan, in rounds
	// over the places; what it refuses costs a call and two changes each.
	calls := max(len(places), int(f.calls.rate*7*1.5))
	places = slices.DeleteFunc(places, func(w place) bool { return pending[w] || f.taking })
	for len(places) > 0 && calls > 0 {
		left := places[:0]
		for _, w := range places {
			if calls--; calls < 0 {
				break
			}
			c.recordRental(w, min(want[w], rentalSize), urgent[w])
			if want[w] -= rentalSize; want[w] > 0 {
				left = append(left, w)
			}
			f.refused[w] = max(f.refused[w], c.now+time.Second) // until the record shows
		}
		places = left
	}
}

// recordRental writes down what is to be rented.
func (c *Core) recordRental(w place, n int, urgent bool) {
	f := &c.fleet
	f.seq++
	// The stamp of our tenure's lease key never comes again.
	name := "r-" + strconv.FormatUint(f.stamp, 10) + "-" + strconv.Itoa(f.seq)
	r := rental{Rig: w.rig, Depot: w.depot, Spot: w.spot, Number: n, At: c.wall.UnixMilli()}
	class := budget.OtherWork
	if urgent {
		class = budget.UrgentWork
	}
	c.store.Txn(class, []protocol.Compare{{Key: keyRental + name}, {Key: keyFleet, ModRevision: f.stamp}},
		[]protocol.Op{{Put: keyRental + name, Value: encode(r)}}, func(bookkeeping.TxnOutcome, []string, uint64) {})
}

// rentalSize is the most machines that a request may ask for (PROTOCOL).
const rentalSize = 50
