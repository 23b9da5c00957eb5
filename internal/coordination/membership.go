package coordination

import (
	"encoding/json"
	"sort"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// member is a controller's published state: its life and the length of its
// idle list, which is the thesis's probe.
type member struct {
	Incarnation  int64 `json:"l"`
	IdleMachines int   `json:"i"`
	Machines     int   `json:"m"`
	Format       int   `json:"f,omitempty"` // the highest that it reads
}

// membership owns this controller's member key, its lease, and what the other
// controllers have published under theirs.
type membership struct {
	members        map[string]*member
	formats        map[string]int // the newest record format that each controller reads, as last published
	lease          uint64
	leaseTTL       time.Duration
	leaseRenewedAt time.Duration
	leaseInFlight  bool
	published      string
	nextPublishAt  time.Duration
}

func newMembership(cfg *config.Settings) membership {
	return membership{
		members:  map[string]*member{},
		formats:  map[string]int{},
		leaseTTL: seconds(cfg.Facts.Workers.Lease / 3),
	}
}

// noIncarnation is no controller's life.
const noIncarnation = -1

// unknownMirrorAge is the age that a controller gives before it has read the records.
const unknownMirrorAge = time.Hour

func (c *Core) applyMember(name string, data json.RawMessage) {
	if data == nil {
		delete(c.membership.members, name)
		return
	}
	var m member
	if decode(c.log, name, data, &m) {
		c.membership.members[name] = &m
		c.membership.formats[name] = m.Format
		// Guards against an older publication, also of an earlier life, that is carried out after
		// a newer one: it has no condition, and what is published is written again only when it changes.
		if name == c.cfg.Node && string(data) != c.membership.published {
			c.membership.published = ""
		}
	}
}

// alive tells whether a controller holds its member key.
func (c *Core) alive(name string) bool {
	return name == c.cfg.Node || c.membership.members[name] != nil
}

// keepMembership keeps our lease, publishes our list length and tells the peers.
func (c *Core) keepMembership() {
	if c.links.HeartbeatDue() {
		c.updatePeerDemand()
		own, told := c.scaler.zoneViews[c.cfg.Node], c.scaler.unshipped.toAnnounce()
		age := c.mirrorAge()
		rows := c.links.LinkReports(age, c.state.Throttled())
		blind := c.state.Loaded() && c.now-c.state.FreshAt() > seconds(c.cfg.Facts.Workers.Report)
		for _, p := range c.cfg.Peers {
			if blind {
				c.queryCancellations(p.Node)
			}
			c.send(p.Node, peer.Message{Heartbeat: &peer.Heartbeat{MirrorAgeMS: age.Milliseconds(), Throttled: c.state.Throttled(), ReachableZones: own.reachable, UnreachableZones: own.unreachable, UnresponsiveMachines: own.unresponsive, UnshippedMachines: told, Links: rows}})
		}
	}
	if !c.state.Loaded() || c.membership.leaseInFlight {
		return
	}
	if c.membership.lease == 0 {
		c.membership.leaseInFlight = true
		at := c.now
		c.state.GrantLease(c.membership.leaseTTL, func(p uint64) {
			c.membership.leaseInFlight = false
			if p != 0 {
				c.membership.lease, c.membership.leaseRenewedAt, c.membership.published = p, at, ""
			} else {
				c.membership.leaseRenewedAt = c.now
			}
		})
		return
	}
	if c.now-c.membership.leaseRenewedAt > c.membership.leaseTTL/3 {
		c.membership.leaseInFlight = true
		at := c.now
		c.state.KeepAlive(c.membership.lease, func(ok, gone bool) {
			c.membership.leaseInFlight = false
			if ok {
				c.membership.leaseRenewedAt = at
			}
			if gone {
				c.membership.lease = 0
			}
		})
	}
	data := encode(member{c.incarnation, len(c.scheduler.idle), len(c.machines.own), latestFormat})
	if string(data) != c.membership.published && c.now >= c.membership.nextPublishAt {
		c.membership.nextPublishAt = c.now + c.cfg.Operator.PublishInterval
		c.membership.published = string(data)
		c.state.Txn(ratelimit.Background, nil, []protocol.Op{{Put: keyMember + c.cfg.Node, Value: data, Lease: c.membership.lease}},
			func(o stateclient.TxnOutcome, _ []string, _ uint64) {
				if o == stateclient.LeaseExpired {
					c.membership.lease = 0
				}
				if o != stateclient.Committed {
					c.membership.published = ""
				}
			})
	}
}

func (c *Core) handlePeerMessage(from string, m peer.Message) {
	switch {
	case m.Heartbeat != nil:
		c.links.ReceiveHeartbeat(from, time.Duration(m.Heartbeat.MirrorAgeMS)*time.Millisecond, m.Heartbeat.Throttled, m.Heartbeat.Links)
		c.scaler.zoneViews[from] = zoneView{c.now, m.Heartbeat.ReachableZones, m.Heartbeat.UnreachableZones, m.Heartbeat.UnresponsiveMachines}
		c.scaler.unshipped.handlePeerHeartbeat(m.Heartbeat.UnshippedMachines)
		c.updatePeerDemand()
	case m.RelayRequest != nil:
		c.relayForPeer(from, m.RelayRequest)
	case m.RelayResponse != nil:
		if done := c.links.CompleteRelay(from, m.RelayResponse); done != nil {
			done()
		}
	case m.Forwarded != nil:
		c.forwardMessage(from, m.Forwarded)
	case m.CancellationQuery != nil && c.state.Loaded():
		c.send(from, peer.Message{CancellationReply: c.knownCancellations(m.CancellationQuery)})
	case m.CancellationReply != nil:
		c.applyCancellations(from, m.CancellationReply)
	case m.Handoff != nil && c.state.Loaded():
		c.receiveHandoff(from, m.Handoff)
	case m.HandoffReturn != nil && c.state.Loaded():
		c.handoffReturned(m.HandoffReturn)
	case m.RoomRequest != nil && c.state.Loaded():
		c.offerRoom(from, m.RoomRequest)
	case m.RoomOffer != nil && c.state.Loaded():
		c.acceptOffer(m.RoomOffer)
	}
}

// responsibleController names the controller that looks after a job: the one that took
// it while that lives, else the next living one by name.
func (c *Core) responsibleController(home string) string {
	if c.alive(home) {
		return home
	}
	names := []string{c.cfg.Node}
	for n := range c.membership.members {
		if n != c.cfg.Node {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		if n > home {
			return n
		}
	}
	return names[0]
}

// knownCancellations names the cancellations that an asker's records lack. Not before our own are
// read: an earlier life of ours may have told users what this one does not know yet.
func (c *Core) knownCancellations(a *peer.CancellationQuery) *peer.CancellationReply {
	v := &peer.CancellationReply{AskedAt: a.AskedAt, Incarnation: a.Incarnation}
	for _, id := range sortedKeys(c.jobs.byID) {
		if r := c.jobs.byID[id]; r.status == job.Cancelled && r.revision > a.AppliedRevision {
			v.Cancelled = append(v.Cancelled, id)
		}
	}
	return v
}

// applyCancellations takes a peer's word on cancellations: as of the question, it has
// told users of none beside those that we have seen and those it names.
func (c *Core) applyCancellations(from string, v *peer.CancellationReply) {
	for _, id := range v.Cancelled {
		switch r := c.jobs.byID[id]; {
		case r == nil:
			c.links.NoteCancelled(id)
		case !r.final():
			r.status = job.Cancelled // committed, as the peer knows of it
			c.stopTasksOf(r)
		}
	}
	if v.Incarnation == 0 || v.Incarnation == c.incarnation {
		c.links.ConfirmCancellations(from, v.AskedAt)
	}
}

// cancellationProof is the time of the last proof that no cancellation was acknowledged
// which we don't know of.
func (c *Core) cancellationProof() time.Duration { return c.links.CancellationProof(c.state.FreshAt()) }
