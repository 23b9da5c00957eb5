package coordination

import (
	"encoding/json"
	"sort"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/reach"
)

// member is a controller's published state: its life and the length of its
// idle list, which is the thesis's probe.
type member struct {
	Life     int64 `json:"l"`
	Idle     int   `json:"i"`
	Machines int   `json:"m"`
	Format   int   `json:"f,omitempty"` // the highest that it reads
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
	Carry   *reach.Carry   // a call of the state service for the sender
	Carried *reach.Carried // what came of it
	Pass    *Pass          // a question or word that goes by way of a third
}

// Beat tells peers how old the sender's last proof of a fresh mirror is, whether
// its work waits for the state service's rates, and in which zones it hears
// machines of its own, or none of them any more.
type Beat struct {
	FreshMS   int64
	Hungry    bool
	Lit, Dark []string
	Deaf      []string    // machines that do not hear the sender: no work can be given to them
	Unkept    []string    // machines with output that the archive does not have yet
	Rows      []reach.Row // who reaches what: the sender first; none from versions without internal/reach
}

// Ask asks a peer which cancellations it knows of that the asker's mirror,
// complete up to Ledger, does not hold. At is the asker's steady clock and comes
// back with the answer, so that a message that was held back proves nothing new.
//
// Life tells the asker's life from an earlier one, whose clock was another.
type Ask struct {
	At     time.Duration
	Ledger uint64
	Life   int64
}

// Vouch answers with all of them. Life is the asker's, 0 from versions that don't know it.
type Vouch struct {
	At        time.Duration
	Cancelled []string
	Life      int64
}

// nobody is no controller's life.
const nobody = -1

// Forward hands tasks of a job to a peer, which places them or keeps them in
// its lines.
type Forward struct {
	Job   string
	Tasks []int
}

// starting is the age that a controller gives before it has read the records.
const starting = time.Hour

func (c *Core) applyMember(name string, data json.RawMessage) {
	if data == nil {
		delete(c.members, name)
		return
	}
	var m member
	if decode(c.log, name, data, &m) {
		c.members[name] = &m
		c.formats[name] = m.Format
		// Guards against an older publication, also of an earlier life, that is carried out after
		// a newer one: it has no condition, and what is published is written again only when it changes.
		if name == c.cfg.Node && string(data) != c.published {
			c.published = ""
		}
	}
}

// alive tells whether a controller holds its member key.
func (c *Core) alive(name string) bool { return name == c.cfg.Node || c.members[name] != nil }

// membership keeps our lease, publishes our list length and tells the peers.
func (c *Core) membership() {
	if c.reach.BeatDue() {
		c.shareOut()
		own, told := c.fleet.seen[c.cfg.Node], c.fleet.unshipped.told()
		age := c.recordsAge()
		rows := c.reach.Rows(age, c.store.Throttled())
		blind := c.store.Loaded() && c.now-c.store.FreshAt() > seconds(c.cfg.Facts.Workers.Report)
		for _, p := range c.cfg.Peers {
			if blind {
				c.askPeer(p.Node)
			}
			c.send(p.Node, Message{Beat: &Beat{FreshMS: age.Milliseconds(), Hungry: c.store.Throttled(), Lit: own.lit, Dark: own.dark, Deaf: own.deaf, Unkept: told, Rows: rows}})
		}
	}
	if !c.store.Loaded() || c.granting {
		return
	}
	if c.permit == 0 {
		c.granting = true
		at := c.now
		c.store.GrantLease(c.ttl, func(p uint64) {
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
		c.store.KeepAlive(c.permit, func(ok, gone bool) {
			c.granting = false
			if ok {
				c.permitAt = at
			}
			if gone {
				c.permit = 0
			}
		})
	}
	data := encode(member{c.life, len(c.idle), len(c.ours), latestFormat})
	if string(data) != c.published && c.now >= c.publishAt {
		c.publishAt = c.now + c.cfg.Operator.PublishInterval
		c.published = string(data)
		c.store.Txn(budget.Background, nil, []protocol.Op{{Put: keyMember + c.cfg.Node, Value: data, Lease: c.permit}},
			func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
				if o == bookkeeping.LeaseExpired {
					c.permit = 0
				}
				if o != bookkeeping.Committed {
					c.published = ""
				}
			})
	}
}

func (c *Core) peerMessage(from string, m Message) {
	switch {
	case m.Beat != nil:
		c.reach.Beat(from, time.Duration(m.Beat.FreshMS)*time.Millisecond, m.Beat.Hungry, m.Beat.Rows)
		c.fleet.seen[from] = sight{c.now, m.Beat.Lit, m.Beat.Dark, m.Beat.Deaf}
		c.fleet.unshipped.beat(m.Beat.Unkept)
		c.shareOut()
	case m.Carry != nil:
		c.carry(from, m.Carry)
	case m.Carried != nil:
		if done := c.reach.Answer(from, m.Carried); done != nil {
			done()
		}
	case m.Pass != nil:
		c.pass(from, m.Pass)
	case m.Ask != nil && c.store.Loaded():
		c.send(from, Message{Vouch: c.vouch(m.Ask)})
	case m.Vouch != nil:
		c.vouched(from, m.Vouch)
	case m.Forward != nil && c.store.Loaded():
		c.receive(from, m.Forward)
	case m.Return != nil && c.store.Loaded():
		c.returned(m.Return)
	case m.Draw != nil && c.store.Loaded():
		c.drawFor(from, m.Draw)
	case m.Offer != nil && c.store.Loaded():
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

// vouch names the cancellations that an asker's records lack. Not before our own are
// read: an earlier life of ours may have told users what this one does not know yet.
func (c *Core) vouch(a *Ask) *Vouch {
	v := &Vouch{At: a.At, Life: a.Life}
	for _, id := range sortedKeys(c.jobs) {
		if r := c.jobs[id]; r.status == job.Cancelled && r.stamp > a.Ledger {
			v.Cancelled = append(v.Cancelled, id)
		}
	}
	return v
}

// vouched takes a peer's word on cancellations: as of the question, it has
// told users of none beside those that we have seen and those it names.
func (c *Core) vouched(from string, v *Vouch) {
	for _, id := range v.Cancelled {
		switch r := c.jobs[id]; {
		case r == nil:
			c.reach.Name(id)
		case !r.final():
			r.status = job.Cancelled // committed, as the peer knows of it
			c.forestall(r)
		}
	}
	if v.Life == 0 || v.Life == c.life {
		c.reach.Vouched(from, v.At)
	}
}

// proof is the time of the last proof that no cancellation was acknowledged
// which we don't know of.
func (c *Core) proof() time.Duration { return c.reach.Proof(c.store.FreshAt()) }
