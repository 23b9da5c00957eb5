package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/connectivity"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// This file connects the core with internal/connectivity: it passes observations to it and
// carries out its decisions.

// stateProbeTimeout is how long a probe of our own link to the state service may take.
const stateProbeTimeout = time.Second

// newLinkTracker returns the tracker of this controller's links. A mirror counts as stale when it
// is older than staleAfter.
func newLinkTracker(cfg *config.Settings, incarnation int64, staleAfter time.Duration) *connectivity.Tracker {
	links := connectivity.Config{
		Self:              cfg.Node,
		Incarnation:       incarnation,
		HeartbeatInterval: seconds(cfg.Facts.Workers.Heartbeat),
		StaleAfter:        staleAfter,
	}
	for _, controller := range cfg.Peers {
		links.Peers = append(links.Peers, connectivity.Controller{Node: controller.Node, Zone: controller.Zone})
	}
	return connectivity.New(links)
}

// callState calls the state service, on our own link or, while that is down, relayed by a peer.
func (c *Core) callState(call protocol.Call, done func(protocol.Reply)) {
	if via := c.links.Relay(); via != "" {
		c.send(via, peer.Message{RelayRequest: c.links.StartRelay(via, call, done)})
		return
	}
	c.callStateDirectly(call, done)
}

// callStateDirectly calls the state service on our own link.
func (c *Core) callStateDirectly(call protocol.Call, done func(protocol.Reply)) {
	c.call(call, func(reply protocol.Reply) {
		c.links.RecordStateReply(reply.Status)
		done(reply)
	})
}

// checkLinks ends relayed calls that have timed out, probes our own link to the state service
// while a peer relays for us, and probes workers in zones from which we hear none.
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
	c.call(call, func(reply protocol.Reply) { c.links.RecordProbeReply(reply.Status) })
}

// updatePeerDemand passes to the rate budget how many peers want more than their share.
func (c *Core) updatePeerDemand() {
	snapshot := c.links.Snapshot()
	c.state.SetPeerDemand(connectivity.RateDemand(&snapshot, c.alive))
}

// unknownMirrorAge is the mirror age that a controller reports before it has loaded the records.
const unknownMirrorAge = time.Hour

// mirrorAge returns the age of our mirror, as reported to peers and operators.
func (c *Core) mirrorAge() time.Duration {
	if !c.state.Loaded() {
		return unknownMirrorAge
	}
	return c.now - c.state.FreshAt()
}

// linkStats are the link statistics for operators.
type linkStats struct {
	connectivity.Stats
	State          string                    `json:"state"` // direct, relayed or lost
	Via            string                    `json:"via,omitempty"`
	HearsNoWorkers bool                      `json:"deaf"`
	Reports        []connectivity.LinkReport `json:"rows"`
}

// linkStats returns the link statistics for operators.
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
