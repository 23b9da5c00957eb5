package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/connectivity"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// This file connects the core with internal/connectivity: it passes observations in and
// carries out what is decided there.

// stateProbeTimeout is how long a probe of our own link to the state service may take.
const stateProbeTimeout = time.Second

// newLinkTracker makes the tracker of this controller's links to its peers; a mirror is stale
// when it is older than staleAfter.
func newLinkTracker(cfg *config.Settings, incarnation int64, staleAfter time.Duration) *connectivity.Tracker {
	links := connectivity.Config{
		Self:              cfg.Node,
		Incarnation:       incarnation,
		HeartbeatInterval: seconds(cfg.Facts.Workers.Report),
		StaleAfter:        staleAfter,
	}
	for _, controller := range cfg.Peers {
		links.Peers = append(links.Peers, connectivity.Controller{Node: controller.Node, Zone: controller.Zone})
	}
	return connectivity.New(links)
}

// callState makes a call of the state service: on our own link, or through a peer while
// that is down.
func (c *Core) callState(call protocol.Call, done func(protocol.Reply)) {
	if via := c.links.Relay(); via != "" {
		c.send(via, peer.Message{RelayRequest: c.links.StartRelay(via, call, done)})
		return
	}
	c.callStateDirectly(call, done)
}

// callStateDirectly makes a call of the state service on our own link.
func (c *Core) callStateDirectly(call protocol.Call, done func(protocol.Reply)) {
	c.call(call, func(reply protocol.Reply) {
		c.links.StateAnswered(reply.Status)
		done(reply)
	})
}

// checkLinks gives up on relayed calls that are late, and probes our own link while a peer
// relays for us.
func (c *Core) checkLinks() {
	for _, done := range c.links.ExpireRelays() {
		done()
	}
	if linkState, via, changed := c.links.LinkChange(); changed {
		c.log.Info("link to the state service changed", "now", linkState, "via", via, "hears_no_workers", c.links.HearsNoWorkers())
	}
	if c.links.ShouldProbe() {
		c.probeStateService()
	}
	for _, zone := range c.links.SilentZones() {
		c.probeZone(zone)
	}
}

// probeStateService reads a small record on our own link.
func (c *Core) probeStateService() {
	call := protocol.Call{Target: protocol.ToStateService, Method: http.MethodGet, Path: protocol.PathKeys + "/" + keyFleet, Timeout: stateProbeTimeout}
	c.call(call, func(reply protocol.Reply) { c.links.Probed(reply.Status) })
}

// updatePeerDemand tells the budget how many peers want more than their share.
func (c *Core) updatePeerDemand() {
	snapshot := c.links.Snapshot()
	c.state.SetPeerDemand(connectivity.RateDemand(&snapshot, c.alive))
}

// unknownMirrorAge is the age that a controller gives before it has read the records.
const unknownMirrorAge = time.Hour

// mirrorAge is how old our records are, as it is reported to peers and operators.
func (c *Core) mirrorAge() time.Duration {
	if !c.state.Loaded() {
		return unknownMirrorAge
	}
	return c.now - c.state.FreshAt()
}

// linkStats is what operators see of the links.
type linkStats struct {
	connectivity.Stats
	State          string                    `json:"state"` // direct, relayed or lost
	Via            string                    `json:"via,omitempty"`
	HearsNoWorkers bool                      `json:"deaf"`
	Reports        []connectivity.LinkReport `json:"rows"`
}

// linkStats returns what operators see of the links.
func (c *Core) linkStats() linkStats {
	linkState, via := c.links.StateServiceLink()
	return linkStats{
		Stats:          c.links.Stats,
		State:          linkState,
		Via:            via,
		HearsNoWorkers: c.links.HearsNoWorkers(),
		Reports:        c.links.LinkReports(c.mirrorAge(), c.state.Throttled()),
	}
}
