package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// catalogue holds the cloud's machine types, which are needed to validate submissions.
type catalogue struct {
	types           map[string]*protocol.MachineType
	nextRefreshAt   time.Duration // when to request the machine types again
	requestInFlight bool
}

func newCatalogue() catalogue {
	return catalogue{types: map[string]*protocol.MachineType{}}
}

// update adds or replaces machine types read from the cloud or from the stored record.
func (g *catalogue) update(types *protocol.MachineTypes) {
	for _, t := range types.MachineTypes {
		if known := g.types[t.Name]; known != nil {
			*known = t // in place, because machines hold pointers to it
		} else {
			g.types[t.Name] = &t
		}
	}
}

// refreshCatalogue reads the machine types from the cloud. Every controller does so, because it
// can't validate submissions without them; afterwards only the leader and controllers that probe
// the cloud link repeat it.
func (c *Core) refreshCatalogue() {
	c.refillCloudCalls()
	if c.catalogue.requestInFlight || c.scaler.cloudCalls.tokens < 1 {
		return
	}
	if len(c.catalogue.types) > 0 && !c.isLeader() {
		if !c.links.ShouldProbeCloud(c.scaler.leader) {
			return
		}
	} else if c.now < c.catalogue.nextRefreshAt {
		return
	}
	c.catalogue.requestInFlight = true
	c.callCloud(http.MethodGet, protocol.PathMachineTypes, nil, func(r protocol.Reply) {
		c.catalogue.requestInFlight = false
		var types protocol.MachineTypes
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &types) != nil || len(types.MachineTypes) == 0 {
			c.catalogue.nextRefreshAt = c.now + time.Second
			return
		}
		c.catalogue.nextRefreshAt = c.now + seconds(10*c.cfg.Facts.Workers.Heartbeat)
		c.catalogue.update(&types)
		if c.state.Loaded() && c.state.ModRevision(keyMachineTypes) == 0 {
			c.state.Txn(ratelimit.Background,
				[]protocol.Compare{{Key: keyMachineTypes}},
				[]protocol.Op{{Put: keyMachineTypes, Value: encode(types)}},
				ignoreOutcome)
		}
	})
}
