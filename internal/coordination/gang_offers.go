package coordination

import (
	"time"

	"silvergate/internal/peer"
)

// peerOffer is a peer's promise of room for a gang on a machine that the peer owns. It is valid
// for one claim and one agent epoch of the machine.
type peerOffer struct {
	epoch         uint64
	claimRevision uint64
	expiresAt     time.Duration
}

// requestIdleRoom requests room for a gang on the idle machines of every peer.
func (c *Core) requestIdleRoom(r *jobRecord) {
	if c.now < c.gangs.nextRoomRequestAt {
		return
	}
	c.gangs.nextRoomRequestAt = c.now + c.cfg.Operator.PublishInterval
	for _, p := range c.cfg.Peers {
		request := &peer.RoomRequest{Job: r.spec.ID}
		c.send(p.Node, peer.Message{RoomRequest: request})
	}
}

// offerHeldRoom starts the gang that a machine's room is held for, or offers the room to the
// peer that requested it for the gang.
func (c *Core) offerHeldRoom(m *machine) {
	if m.reservedBy == "" || c.now >= m.reservedUntil {
		return
	}
	r := c.jobs.byID[m.reservedFor]
	switch {
	case r == nil || r.final() || !r.awaitsRoom() || !c.fits(r, m):
	case m.reservedBy == c.cfg.Node:
		c.startGang(r)
	default:
		offer := &peer.RoomOffer{Job: m.reservedFor, Machines: []peer.OfferedMachine{{Machine: m.id, Epoch: m.epoch}}}
		c.send(m.reservedBy, peer.Message{RoomOffer: offer})
	}
}

// offerRoom answers a peer's request for room for its gang. If the request names machines, it
// clears them and offers those that have room already; otherwise it offers our idle machines.
func (c *Core) offerRoom(from string, request *peer.RoomRequest) {
	r := c.jobs.byID[request.Job]
	if r == nil || r.final() || !r.awaitsRoom() {
		return
	}
	offer := &peer.RoomOffer{Job: request.Job}
	if request.Machines != nil {
		offer.Machines = c.offerBlock(r, from, request.Machines)
	} else {
		offer.Machines = c.offerIdleMachines(r)
	}
	if len(offer.Machines) > 0 {
		c.send(from, peer.Message{RoomOffer: offer})
	}
}

// offerBlock clears machines for a peer's gang and returns those that already have room.
func (c *Core) offerBlock(r *jobRecord, from string, ids []string) (offered []peer.OfferedMachine) {
	for _, id := range ids {
		m := c.machines.byID[id]
		if m == nil || !c.isOwn(m) {
			continue
		}
		c.clearMachine(r, m, from)
		if !c.unschedulable(m) && c.fits(r, m) {
			offered = append(offered, peer.OfferedMachine{Machine: id, Epoch: m.epoch})
		}
	}
	return offered
}

// offerIdleMachines holds room on idle machines for a peer's gang and returns the machines.
func (c *Core) offerIdleMachines(r *jobRecord) (offered []peer.OfferedMachine) {
	for _, m := range c.scheduler.idle {
		if !c.unschedulable(m) && c.fits(r, m) && len(offered) < r.spec.Tasks {
			m.reserveRoom(r.spec.ID, c.now+c.holdTime(), "")
			offered = append(offered, peer.OfferedMachine{Machine: m.id, Epoch: m.epoch})
		}
	}
	return offered
}

// acceptOffer records the room that a peer offers for a gang, and starts the gang if there is
// enough room.
func (c *Core) acceptOffer(offer *peer.RoomOffer) {
	r := c.jobs.byID[offer.Job]
	if r == nil || r.final() {
		return
	}
	if r.offers == nil {
		r.offers = map[string]peerOffer{}
	}
	for _, offered := range offer.Machines {
		if m := c.machines.byID[offered.Machine]; m != nil && m.token != 0 {
			r.offers[offered.Machine] = peerOffer{offered.Epoch, m.token, c.now + c.holdTime()}
		}
	}
	c.startGang(r)
}
