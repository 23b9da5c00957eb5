package coordination

import (
	"time"

	"silvergate/internal/config"
	"silvergate/internal/connectivity"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// This file is the seam to internal/connectivity: it brings observations in and carries
// out what is decided there.

func newLinkTracker(cfg *config.Settings, incarnation int64, late time.Duration) *connectivity.Tracker {
	r := connectivity.Config{Self: cfg.Node, Incarnation: incarnation, HeartbeatInterval: seconds(cfg.Facts.Workers.Report), StaleAfter: late}
	for _, p := range cfg.Peers {
		r.Peers = append(r.Peers, connectivity.Controller{Node: p.Node, Zone: p.Zone})
	}
	return connectivity.New(r)
}

func (c *Core) send(to string, m peer.Message) {
	c.effects.Sends = append(c.effects.Sends, Outgoing{to, m})
}

// callState makes a call of the state service: on our own link, or through a peer while
// that is down.
func (c *Core) callState(k protocol.Call, done func(protocol.Reply)) {
	if via := c.links.Relay(); via != "" {
		c.send(via, peer.Message{RelayRequest: c.links.StartRelay(via, k, done)})
		return
	}
	c.callStateDirectly(k, done)
}

// callStateDirectly makes a call of the state service on our own link.
func (c *Core) callStateDirectly(k protocol.Call, done func(protocol.Reply)) {
	c.call(k, func(r protocol.Reply) {
		c.links.StateAnswered(r.Status)
		done(r)
	})
}

// checkLinks gives up on carried calls that are late, and tries our own link while a peer
// carries for us.
func (c *Core) checkLinks() {
	for _, done := range c.links.ExpireRelays() {
		done()
	}
	if how, via, changed := c.links.LinkChange(); changed {
		c.log.Info("link to the state service changed", "now", how, "via", via, "hears_no_workers", c.links.HearsNoWorkers())
	}
	if c.links.ShouldProbe() {
		c.call(protocol.Call{Target: protocol.ToStateService, Method: "GET", Path: protocol.PathKeys + "/" + keyFleet, Timeout: time.Second},
			func(r protocol.Reply) { c.links.Probed(r.Status) })
	}
	for _, zone := range c.links.SilentZones() {
		c.probeZone(zone)
	}
}

// probeZone asks a worker of a zone for its status, a different one each time, when all that
// we held there are with others: no report would ever show that we hear again.
func (c *Core) probeZone(zone string) {
	if c.machines.probesInFlight >= 2 {
		return
	}
	var first *machine
	for _, m := range c.machines.byID {
		if m.claim.Address == "" || m.claim.Zone != zone || m.token == 0 || m.probing || c.now < m.nextProbeAt {
			continue
		}
		if first == nil || m.nextProbeAt < first.nextProbeAt || m.nextProbeAt == first.nextProbeAt && m.id < first.id {
			first = m
		}
	}
	if first != nil {
		c.probeWorker(first)
	}
}

// relayForPeer makes a call of the state service for a peer.
func (c *Core) relayForPeer(from string, k *connectivity.RelayRequest) {
	call, refused := c.links.AcceptRelay(from, k)
	if refused != nil {
		c.send(from, peer.Message{RelayResponse: refused})
		return
	}
	c.callStateDirectly(call, func(r protocol.Reply) { c.send(from, peer.Message{RelayResponse: c.links.FinishRelay(from, k, r)}) })
}

// queryCancellations asks a peer for its word on cancellations, by way of a third where it must be.
func (c *Core) queryCancellations(name string) {
	a := &peer.CancellationQuery{AskedAt: c.now, AppliedRevision: c.state.AppliedRevision(), Incarnation: c.incarnation}
	now := c.links.Snapshot()
	if by := connectivity.ChooseIntermediary(&now, name); by != "" {
		c.send(by, peer.Message{Forwarded: &peer.ForwardedMessage{From: c.cfg.Node, To: name, Query: a}})
	}
	c.send(name, peer.Message{CancellationQuery: a})
}

// forwardMessage hands on what goes by way of us, one step and no further, or takes what is for us.
func (c *Core) forwardMessage(from string, p *peer.ForwardedMessage) {
	switch {
	case p.To != c.cfg.Node && p.From == from:
		c.links.Stats.MessagesForwarded++
		c.send(p.To, peer.Message{Forwarded: p})
	case p.To != c.cfg.Node:
	case p.Query != nil && c.state.Loaded():
		c.send(from, peer.Message{Forwarded: &peer.ForwardedMessage{From: c.cfg.Node, To: p.From, Reply: c.knownCancellations(p.Query)}})
	case p.Reply != nil && p.Reply.Incarnation == c.incarnation:
		c.applyCancellations(p.From, p.Reply)
	}
}

// mirrorAge is how old our records are, as peers and operators are told.
func (c *Core) mirrorAge() time.Duration {
	if !c.state.Loaded() {
		return unknownMirrorAge
	}
	return c.now - c.state.FreshAt()
}

// updatePeerDemand tells the budget how many peers want more than their share.
func (c *Core) updatePeerDemand() {
	now := c.links.Snapshot()
	c.state.SetPeerDemand(connectivity.RateDemand(&now, c.alive))
}

// receiverWhileCutOff names a peer that a worker is sent to while we can't reach the state
// service by any way: one that can serve it, by a word that is new. If there is no new
// word, and nobody carries for us, one that could when it was last heard, and in an order
// that has urgent work claimed there before our own time to answer is over.
func (c *Core) receiverWhileCutOff(r *protocol.Heartbeat) string {
	limit := seconds(c.cfg.Facts.Workers.Report)
	alone := c.now - c.state.FreshAt() - limit
	if alone < 0 || !c.state.Loaded() {
		return ""
	}
	now, m, from := c.links.Snapshot(), c.machine(r.Worker), ""
	if m.token != 0 && !c.isOwn(m) {
		from = m.claim.Owner
	}
	if to := connectivity.ChooseReceiver(&now, r.Zone, r.Worker, from, limit); to != "" {
		c.links.Stats.WorkersRedirected++
		return to
	}
	left := c.cancelHorizon() - (c.now - c.cancellationProof())
	// Guards against a controller that takes an outage for a cut of its own and sends
	// its workers round: one that comes back stays while it can be answered.
	if left > 0 && m.redirectedAt > 0 && c.now-m.redirectedAt < 2*c.leaseExpiry() {
		return ""
	}
	level := connectivity.NoWorkload
	switch {
	case m.urgent():
		level = connectivity.UrgentWorkload
	case len(m.bound) > 0:
		level = connectivity.OtherWorkload
	}
	if left > 0 && c.isOwn(m) && !connectivity.ShouldHandOver(level, alone, left) {
		return ""
	}
	to := connectivity.ChooseReceiver(&now, r.Zone, r.Worker, from, c.leaseExpiry())
	if to != "" {
		m.redirectedAt = c.now
		c.links.Stats.WorkersRedirected++
	}
	return to
}

// linkStats is what operators see of the links.
type linkStats struct {
	connectivity.Stats
	State          string                    `json:"state"` // direct, relayed or lost
	Via            string                    `json:"via,omitempty"`
	HearsNoWorkers bool                      `json:"deaf"`
	Reports        []connectivity.LinkReport `json:"rows"`
}

func (c *Core) linkStats() linkStats {
	how, via := c.links.StateServiceLink()
	return linkStats{Stats: c.links.Stats, State: how, Via: via, HearsNoWorkers: c.links.HearsNoWorkers(), Reports: c.links.LinkReports(c.mirrorAge(), c.state.Throttled())}
}
