package coordination

import (
	"encoding/json"
	"sort"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// member is a controller's published state: its life and the length of its
// idle list, which is the thesis's probe.
type member struct {
	Life     int64 `json:"l"`
	Idle     int   `json:"i"`
	Machines int   `json:"m"`
	Format   int   `json:"f,omitempty"` // of pages that it reads
}

// Message is what controllers tell each other. It only saves time.
type Message struct {
	Beat    *Beat
	Ask     *Ask
	Vouch   *Vouch
	Forward *Forward
	Return  *Forward // tasks handed over that the receiver has no machine for
	Draw    *Draw
	Offer   *Offer
}

// Beat tells peers how old the sender's last proof of a fresh mirror is, whether
// its work waits for the state service's rates, and in which zones it hears
// machines of its own, or none of them any more.
type Beat struct {
	FreshMS   int64
	Hungry    bool
	Lit, Dark []string
	Unkept    []string // machines with output that the archive does not have yet
}

// Ask asks a peer which cancellations it knows of that the asker's mirror,
// complete up to Ledger, does not hold. At is the asker's steady clock and comes
// back with the answer, so that a message that was held back proves nothing new.
type Ask struct {
	At     time.Duration
	Ledger uint64
}

// Vouch answers with all of them.
type Vouch struct {
	At        time.Duration
	Cancelled []string
}

// Forward hands tasks of a job to a peer, which places them or keeps them in
// its lines.
type Forward struct {
	Job   string
	Tasks []int
}

// starting is the age that a controller gives before it has read the records.
const starting = time.Hour

type beat struct {
	at     time.Duration
	fresh  time.Duration
	hungry bool
}

// shareOut tells the budget how many peers want more than their share. One that
// has not been heard may want it too, or be gone: its record tells.
func (c *Core) shareOut() {
	n := 0
	for _, p := range c.cfg.Peers {
		b := c.beats[p.Node]
		if heard := b.at > 0 && c.now-b.at < seconds(c.cfg.Facts.Workers.Report); heard && b.hungry || !heard && c.members[p.Node] != nil {
			n++
		}
	}
	c.store.Peers(n)
}

func (c *Core) applyMember(name string, data json.RawMessage) {
	if data == nil {
		delete(c.members, name)
		return
	}
	var m member
	if decode(c.log, name, data, &m) {
		c.members[name] = &m
		c.formats[name] = m.Format
	}
}

// alive tells whether a controller holds its member key.
func (c *Core) alive(name string) bool { return name == c.cfg.Node || c.members[name] != nil }

// membership keeps our lease, publishes our list length and tells the peers.
func (c *Core) membership() {
	if c.now >= c.beatAt {
		c.beatAt = c.now + seconds(c.cfg.Facts.Workers.Report/3)
		c.shareOut()
		own, told := c.fleet.seen[c.cfg.Node], c.fleet.unkept.told()
		age := c.now - c.store.Fresh()
		if !c.store.Ready() {
			age = starting
		}
		blind := c.store.Ready() && c.now-c.store.Fresh() > seconds(c.cfg.Facts.Workers.Report)
		for _, p := range c.cfg.Peers {
			if blind {
				c.out.Sends = append(c.out.Sends, Send{p.Node, Message{Ask: &Ask{c.now, c.store.Ledger()}}})
			}
			c.out.Sends = append(c.out.Sends, Send{p.Node, Message{Beat: &Beat{age.Milliseconds(), c.store.Hungry(), own.lit, own.dark, told}}})
		}
	}
	if !c.store.Ready() || c.granting {
		return
	}
	if c.permit == 0 {
		c.granting = true
		at := c.now
		c.store.Grant(c.ttl, func(p uint64) {
			c.granting = false
			if p != 0 {
				c.permit, c.permitAt, c.published = p, at, ""
			} else {
				c.permitAt = c.now
			}
		})
		return
	}
	if c.now-c.permitAt > c.ttl/3 {
		c.granting = true
		at := c.now
		c.store.Touch(c.permit, func(ok, gone bool) {
			c.granting = false
			if ok {
				c.permitAt = at
			}
			if gone {
				c.permit = 0
			}
		})
	}
	data := encode(member{c.life, len(c.idle), len(c.ours), pageFormat})
	if string(data) != c.published && c.now >= c.publishAt {
		c.publishAt = c.now + c.cfg.Operator.PublishInterval
		c.published = string(data)
		c.store.Txn(budget.Rest, nil, []protocol.Op{{Write: keyMember + c.cfg.Node, Data: data, Permit: c.permit}},
			func(o bookkeeping.Outcome, _ []string, _ uint64) {
				if o == bookkeeping.NoLease {
					c.permit = 0
				}
				if o != bookkeeping.OK {
					c.published = ""
				}
			})
	}
}

func (c *Core) peerMessage(from string, m Message) {
	switch {
	case m.Beat != nil:
		c.beats[from] = beat{c.now, time.Duration(m.Beat.FreshMS) * time.Millisecond, m.Beat.Hungry}
		c.fleet.seen[from] = sight{c.now, m.Beat.Lit, m.Beat.Dark}
		c.fleet.unkept.beat(m.Beat.Unkept)
		c.shareOut()
	case m.Ask != nil && c.store.Ready():
		// Not before the records are read: an earlier life of ours may have
		// told users what this one does not know yet.
		v := &Vouch{At: m.Ask.At}
		for _, id := range sortedKeys(c.jobs) {
			if r := c.jobs[id]; r.status == job.Cancelled && r.stamp > m.Ask.Ledger {
				v.Cancelled = append(v.Cancelled, id)
			}
		}
		c.out.Sends = append(c.out.Sends, Send{from, Message{Vouch: v}})
	case m.Vouch != nil:
		c.vouched(from, m.Vouch)
	case m.Forward != nil && c.store.Ready():
		c.receive(from, m.Forward)
	case m.Return != nil && c.store.Ready():
		c.returned(m.Return)
	case m.Draw != nil && c.store.Ready():
		c.drawFor(from, m.Draw)
	case m.Offer != nil && c.store.Ready():
		c.offered(m.Offer)
	}
}

// successor names the controller that looks after a job: the one that took
// it while that lives, else the next living one by name.
func (c *Core) successor(home string) string {
	if c.alive(home) {
		return home
	}
	names := []string{c.cfg.Node}
	for n := range c.members {
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

// vouches is what peers have said about cancellations.
type vouches struct {
	at        map[string]time.Duration // by peer: as of when
	cancelled map[string]bool          // jobs that we have no record of yet
}

// vouched takes a peer's word on cancellations: as of the question, it has
// told users of none beside those that we have seen and those it names.
func (c *Core) vouched(from string, v *Vouch) {
	for _, id := range v.Cancelled {
		switch r := c.jobs[id]; {
		case r == nil:
			c.vouches.cancelled[id] = true
		case !r.final():
			r.status = job.Cancelled // committed, as the peer knows of it
		}
	}
	if v.At <= c.now && v.At > c.vouches.at[from] {
		c.vouches.at[from] = v.At
	}
}

// proof is the time of the last proof that no cancellation was acknowledged
// which we don't know of: our own complete mirror, or the word of every peer.
// Nobody else tells users anything.
func (c *Core) proof() time.Duration {
	oldest := c.now
	for _, p := range c.cfg.Peers {
		oldest = min(oldest, c.vouches.at[p.Node])
	}
	return max(c.store.Fresh(), oldest)
}
