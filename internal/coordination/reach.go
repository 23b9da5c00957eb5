package coordination

import (
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
	"silvergate/internal/reach"
)

// This file is the seam to internal/reach: it brings observations in and carries
// out what is decided there.

func newReach(cfg *config.Settings, life int64, late time.Duration) *reach.Reach {
	r := reach.Config{Self: cfg.Node, Life: life, Report: seconds(cfg.Facts.Workers.Report), Late: late}
	for _, p := range cfg.Peers {
		r.Peers = append(r.Peers, reach.Name{Node: p.Node, Zone: p.Zone})
	}
	return reach.New(r)
}

func (c *Core) send(to string, m Message) { c.out.Sends = append(c.out.Sends, Send{to, m}) }

// toState makes a call of the state service: on our own link, or through a peer while
// that is down.
func (c *Core) toState(k protocol.Call, done func(protocol.Reply)) {
	if via := c.reach.Route(); via != "" {
		c.send(via, Message{Carry: c.reach.Ask(via, k, done)})
		return
	}
	c.direct(k, done)
}

// direct makes a call of the state service on our own link.
func (c *Core) direct(k protocol.Call, done func(protocol.Reply)) {
	c.call(k, func(r protocol.Reply) {
		c.reach.StateAnswered(r.Status)
		done(r)
	})
}

// links gives up on carried calls that are late, and tries our own link while a peer
// carries for us.
func (c *Core) links() {
	for _, done := range c.reach.Expire() {
		done()
	}
	if how, via, changed := c.reach.News(); changed {
		c.log.Info("the link to the state service", "now", how, "via", via, "deaf", c.reach.Deaf())
	}
	if c.reach.Probe() {
		c.call(protocol.Call{Target: protocol.ToStateService, Method: "GET", Path: protocol.PathKeys + "/" + keyFleet, Timeout: time.Second},
			func(r protocol.Reply) { c.reach.Probed(r.Status) })
	}
	for _, zone := range c.reach.Silent() {
		c.listen(zone)
	}
}

// listen asks a worker of a zone for its status, a different one each time, when all that
// we held there are with others: no report would ever show that we hear again.
func (c *Core) listen(zone string) {
	if c.asks >= 2 {
		return
	}
	var first *machine
	for _, m := range c.machines {
		if m.claim.Address == "" || m.claim.Zone != zone || m.stamp == 0 || m.asking || c.now < m.askAt {
			continue
		}
		if first == nil || m.askAt < first.askAt || m.askAt == first.askAt && m.id < first.id {
			first = m
		}
	}
	if first != nil {
		c.askStatus(first)
	}
}

// carry makes a call of the state service for a peer.
func (c *Core) carry(from string, k *reach.Carry) {
	call, refused := c.reach.Take(from, k)
	if refused != nil {
		c.send(from, Message{Carried: refused})
		return
	}
	c.direct(call, func(r protocol.Reply) { c.send(from, Message{Carried: c.reach.Done(from, k, r)}) })
}

// Pass is a question about cancellations, or its answer, that goes by way of a third
// controller as the two can't reach one another.
type Pass struct {
	From, To string
	Ask      *Ask
	Vouch    *Vouch
}

// askPeer asks a peer for its word on cancellations, by way of a third where it must be.
func (c *Core) askPeer(name string) {
	a := &Ask{c.now, c.store.AppliedRevision(), c.life}
	now := c.reach.Picture()
	if by := reach.Third(&now, name); by != "" {
		c.send(by, Message{Pass: &Pass{From: c.cfg.Node, To: name, Ask: a}})
	}
	c.send(name, Message{Ask: a})
}

// pass hands on what goes by way of us, one step and no further, or takes what is for us.
func (c *Core) pass(from string, p *Pass) {
	switch {
	case p.To != c.cfg.Node && p.From == from:
		c.reach.Stats.Sideways++
		c.send(p.To, Message{Pass: p})
	case p.To != c.cfg.Node:
	case p.Ask != nil && c.store.Loaded():
		c.send(from, Message{Pass: &Pass{From: c.cfg.Node, To: p.From, Vouch: c.vouch(p.Ask)}})
	case p.Vouch != nil && p.Vouch.Life == c.life:
		c.vouched(p.From, p.Vouch)
	}
}

// recordsAge is how old our records are, as peers and operators are told.
func (c *Core) recordsAge() time.Duration {
	if !c.store.Loaded() {
		return starting
	}
	return c.now - c.store.FreshAt()
}

// shareOut tells the budget how many peers want more than their share.
func (c *Core) shareOut() {
	now := c.reach.Picture()
	c.store.SetPeerDemand(reach.Claimants(&now, c.alive))
}

// betterPlaced names a peer that a worker is sent to while we can't reach the state
// service by any way: one that can serve it, by a word that is new. If there is no new
// word, and nobody carries for us, one that could when it was last heard, and in an order
// that has urgent work claimed there before our own time to answer is over.
func (c *Core) betterPlaced(r *protocol.Heartbeat) string {
	limit := seconds(c.cfg.Facts.Workers.Report)
	alone := c.now - c.store.FreshAt() - limit
	if alone < 0 || !c.store.Loaded() {
		return ""
	}
	now, m, from := c.reach.Picture(), c.machine(r.Worker), ""
	if m.stamp != 0 && !c.mine(m) {
		from = m.claim.Owner
	}
	if to := reach.Receiver(&now, r.Zone, r.Worker, from, limit); to != "" {
		c.reach.Stats.HandedOn++
		return to
	}
	left := c.horizon() - (c.now - c.proof())
	// Guards against a controller that takes an outage for a cut of its own and sends
	// its workers round: one that comes back stays while it can be answered.
	if left > 0 && m.redirectedAt > 0 && c.now-m.redirectedAt < 2*c.leaseOver() {
		return ""
	}
	level := reach.Empty
	switch {
	case m.urgent():
		level = reach.Urgent
	case len(m.bound) > 0:
		level = reach.Busy
	}
	if left > 0 && c.mine(m) && !reach.HandOver(level, alone, left) {
		return ""
	}
	to := reach.Receiver(&now, r.Zone, r.Worker, from, c.leaseOver())
	if to != "" {
		m.redirectedAt = c.now
		c.reach.Stats.HandedOn++
	}
	return to
}

// reachStats is what operators see of the links.
type reachStats struct {
	reach.Stats
	State string      `json:"state"` // direct, relayed or lost
	Via   string      `json:"via,omitempty"`
	Deaf  bool        `json:"deaf"`
	Rows  []reach.Row `json:"rows"`
}

func (c *Core) reachStats() reachStats {
	how, via := c.reach.Link()
	return reachStats{Stats: c.reach.Stats, State: how, Via: via, Deaf: c.reach.Deaf(), Rows: c.reach.Rows(c.recordsAge(), c.store.Throttled())}
}
