package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// catalogue holds the cloud's machine types. Submissions can't be judged without them.
type catalogue struct {
	types           map[string]*protocol.MachineType
	dueAt           time.Duration
	requestInFlight bool
}

func newCatalogue() catalogue {
	return catalogue{types: map[string]*protocol.MachineType{}}
}

// update takes the machine types that the cloud or the record tells of.
func (g *catalogue) update(types *protocol.MachineTypes) {
	for _, t := range types.MachineTypes {
		if known := g.types[t.Name]; known != nil {
			*known = t // machines point to it
		} else {
			g.types[t.Name] = &t
		}
	}
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
