package coordination

import (
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/job"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// This file sends and handles the messages between controllers.

// noIncarnation is an incarnation that no controller has.
const noIncarnation = -1

// send adds a message to a peer to the effects of the step.
func (c *Core) send(to string, message peer.Message) {
	c.effects.Sends = append(c.effects.Sends, Outgoing{to, message})
}

// sendPeerHeartbeats sends our heartbeat to all peers when it is due. While our mirror is
// stale, it queries the peers for cancellations as well.
func (c *Core) sendPeerHeartbeats() {
	if !c.links.HeartbeatDue() {
		return
	}
	c.updatePeerDemand()
	ownView := c.scaler.zoneViews[c.cfg.Node]
	unshipped := c.scaler.unshipped.machinesToAnnounce()
	mirrorAge := c.mirrorAge()
	links := c.links.LinkReports(mirrorAge, c.state.Throttled())
	mirrorStale := c.state.Loaded() && c.now-c.state.FreshAt() > seconds(c.cfg.Facts.Workers.Heartbeat)
	for _, controller := range c.cfg.Peers {
		if mirrorStale {
			c.queryCancellations(controller.Node)
		}
		c.send(controller.Node, peer.Message{Heartbeat: &peer.Heartbeat{
			MirrorAgeMS:          mirrorAge.Milliseconds(),
			Throttled:            c.state.Throttled(),
			ReachableZones:       ownView.reachable,
			UnreachableZones:     ownView.unreachable,
			UnresponsiveMachines: ownView.unresponsive,
			UnshippedMachines:    unshipped,
			Links:                links,
		}})
	}
}

// handlePeerMessage handles a message from a peer. Messages whose handling depends on the
// records are ignored until the records have been loaded.
func (c *Core) handlePeerMessage(from string, message peer.Message) {
	switch {
	case message.Heartbeat != nil:
		c.handlePeerHeartbeat(from, message.Heartbeat)
	case message.RelayRequest != nil:
		c.handleRelayRequest(from, message.RelayRequest)
	case message.RelayResponse != nil:
		c.handleRelayResponse(from, message.RelayResponse)
	case message.Forwarded != nil:
		c.handleForwarded(from, message.Forwarded)
	case message.CancellationQuery != nil && c.state.Loaded():
		c.handleCancellationQuery(from, message.CancellationQuery)
	case message.CancellationReply != nil:
		c.handleCancellationReply(from, message.CancellationReply)
	case message.Handoff != nil && c.state.Loaded():
		c.receiveHandoff(from, message.Handoff)
	case message.HandoffReturn != nil && c.state.Loaded():
		c.handleHandoffReturn(message.HandoffReturn)
	case message.RoomRequest != nil && c.state.Loaded():
		c.offerRoom(from, message.RoomRequest)
	case message.RoomOffer != nil && c.state.Loaded():
		c.acceptOffer(message.RoomOffer)
	}
}

// handlePeerHeartbeat records what a peer's heartbeat reports about its links, zones and machines.
func (c *Core) handlePeerHeartbeat(from string, heartbeat *peer.Heartbeat) {
	mirrorAge := time.Duration(heartbeat.MirrorAgeMS) * time.Millisecond
	c.links.ReceiveHeartbeat(from, mirrorAge, heartbeat.Throttled, heartbeat.Links)
	c.scaler.zoneViews[from] = zoneView{
		at:           c.now,
		reachable:    heartbeat.ReachableZones,
		unreachable:  heartbeat.UnreachableZones,
		unresponsive: heartbeat.UnresponsiveMachines,
	}
	c.scaler.unshipped.handlePeerHeartbeat(heartbeat.UnshippedMachines)
	c.updatePeerDemand()
}

// handleRelayRequest makes a call to the state service on behalf of a peer, or refuses it.
func (c *Core) handleRelayRequest(from string, request *connectivity.RelayRequest) {
	call, refusal := c.links.AcceptRelay(from, request)
	if refusal != nil {
		c.send(from, peer.Message{RelayResponse: refusal})
		return
	}
	c.callStateDirectly(call, func(reply protocol.Reply) {
		c.send(from, peer.Message{RelayResponse: c.links.FinishRelay(from, request, reply)})
	})
}

// handleRelayResponse handles the reply to a call that a peer has made on our behalf.
func (c *Core) handleRelayResponse(from string, response *connectivity.RelayResponse) {
	if done := c.links.CompleteRelay(from, response); done != nil {
		done()
	}
}

// handleForwarded handles a message that a peer forwarded to us, or forwards one to another
// peer. It forwards a message only on behalf of the peer that it came from, so that no message
// passes through more than one intermediary.
func (c *Core) handleForwarded(from string, message *peer.ForwardedMessage) {
	if message.To != c.cfg.Node {
		if message.From == from {
			c.links.Stats.MessagesForwarded++
			c.send(message.To, peer.Message{Forwarded: message})
		}
		return
	}
	switch {
	case message.Query != nil && c.state.Loaded():
		c.send(from, peer.Message{Forwarded: &peer.ForwardedMessage{From: c.cfg.Node, To: message.From, Reply: c.knownCancellations(message.Query)}})
	case message.Reply != nil && message.Reply.Incarnation == c.incarnation:
		c.handleCancellationReply(message.From, message.Reply)
	}
}

// queryCancellations queries a peer for the cancellations that our records lack, and also sends
// the query through an intermediary if we can't hear the peer.
func (c *Core) queryCancellations(name string) {
	query := &peer.CancellationQuery{AskedAt: c.now, AppliedRevision: c.state.AppliedRevision(), Incarnation: c.incarnation}
	snapshot := c.links.Snapshot()
	if intermediary := connectivity.ChooseIntermediary(&snapshot, name); intermediary != "" {
		c.send(intermediary, peer.Message{Forwarded: &peer.ForwardedMessage{From: c.cfg.Node, To: name, Query: query}})
	}
	c.send(name, peer.Message{CancellationQuery: query})
}

// handleCancellationQuery answers a peer's query for cancellations.
func (c *Core) handleCancellationQuery(from string, query *peer.CancellationQuery) {
	c.send(from, peer.Message{CancellationReply: c.knownCancellations(query)})
}

// knownCancellations returns the cancellations that the querying peer's records lack. It must not
// be called before our own records are loaded: an earlier incarnation of this controller may have
// acknowledged cancellations to users that the current one does not know yet.
func (c *Core) knownCancellations(query *peer.CancellationQuery) *peer.CancellationReply {
	reply := &peer.CancellationReply{AskedAt: query.AskedAt, Incarnation: query.Incarnation}
	for _, id := range sortedKeys(c.jobs.byID) {
		record := c.jobs.byID[id]
		if record.status == job.Cancelled && record.revision > query.AppliedRevision {
			reply.Cancelled = append(reply.Cancelled, id)
		}
	}
	return reply
}

// handleCancellationReply handles a peer's reply to a cancellation query. The reply proves that,
// as of the query, the peer has acknowledged no cancellations to users except those in our
// records and those that the reply names.
func (c *Core) handleCancellationReply(from string, reply *peer.CancellationReply) {
	for _, id := range reply.Cancelled {
		c.recordCancellation(id)
	}
	if reply.Incarnation == 0 || reply.Incarnation == c.incarnation {
		c.links.ConfirmCancellations(from, reply.AskedAt)
	}
}

// recordCancellation records that a peer has named a job as cancelled, and stops those of the job's
// tasks that are not known to have started.
func (c *Core) recordCancellation(id string) {
	record := c.jobs.byID[id]
	if record == nil {
		c.links.RecordCancelled(id)
		return
	}
	if record.final() {
		return
	}
	record.status = job.Cancelled // the cancellation is committed, since the peer knows of it
	c.stopUnstartedTasks(record)
}

// cancellationProof returns the latest time for which it is proven that this controller knows all
// cancellations that had been acknowledged to users by then.
func (c *Core) cancellationProof() time.Duration { return c.links.CancellationProof(c.state.FreshAt()) }
