package coordination

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"silvergate/internal/reach"
	"silvergate/internal/takeover"
)

// claim is the record that makes a worker ours; its stamp is the worker's
// token. It is rewritten only to take a new token.
type claim struct {
	Owner   string `json:"o"`
	Life    int64  `json:"l"`
	Address string `json:"a"`
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	// Epoch is that of the holder's claims, see internal/takeover; 0 from versions that
	// know of no take-overs by the group.
	Epoch int `json:"e,omitempty"`
}

// drain bars a machine from new work; placements are conditioned on its
// absence.
type drain struct {
	Why string `json:"w"`
}

// Reasons for a drain.
const (
	drainIdle   = "idle"
	drainSilent = "silent"
	drainRecall = "recall"
	drainFaulty = "faulty"
	drainFailed = "failed"
	drainStray  = "stray" // nobody holds it: it never reported, or its claim is gone
	drainLost   = "lost"  // with its controller
)

// drainSeverity orders them: the graver ones do not wait until nothing is bound.
var drainSeverity = map[string]int{drainIdle: 0, drainRecall: 1, drainFaulty: 2, drainSilent: 3, drainStray: 3, drainLost: 3, drainFailed: 4}

type machine struct {
	id       string
	claim    claim            // with who holds it by all records
	stamp    uint64           // the token by which it is held; 0: it has no claim
	own      takeover.Claim   // by its own record alone
	links    []takeover.Link  // the groups that its holder stands on
	kind     *protocol.Flavor // of its type, nil while that is not known
	bound    map[taskKey]*record
	services int                     // bound tasks of services
	levels   [job.Production + 1]int // bound tasks that can be stopped alone, by priority
	cpus     float64                 // in use or reserved
	gpus     float64
	ram      float64
	steady   float64                  // what services hold: accelerators, or processors where they use none
	images   map[string]time.Duration // when each will be there, as far as is known

	// What the holder knows.
	session             uint64
	tally               uint64
	launchedAt          evidence.Mark // of the newest answer to a direct launch
	shown               bool          // a report carried our token
	heard               time.Duration
	answered            time.Duration // arrival of the last report answered with 200
	asking              bool          // asked for its status
	askAt               time.Duration // not again before
	mute                int           // and did not answer, so many times in a row
	released            bool          // its lease is over and its tasks were given up
	recalled            bool
	claiming            bool
	claimedAt           time.Duration             // when its claim came to be known
	redirectedToHolder  time.Duration             // to its holder, see hasHolder
	adopted             bool                      // claimed by an earlier life of ours, whose token we go on with
	awaitingHolderSince time.Duration             // when it first came here while its own controller was down
	redirectedAt        time.Duration             // to another controller, when it reported last
	direct              map[attempt]bool          // launches sent to /orders and not answered yet
	tainted             bool                      // such a launch got no answer: it may be executed until a new token is seen
	shownAt             time.Duration             // when a report first carried our token
	proved              bool                      // the mirror was complete after that
	deferredLaunches    []attempt                 // launches that wait for that
	queuedLaunches      []attempt                 // launches for the next direct call
	begun               map[taskKey]time.Duration // first seen running
	boundAt             map[taskKey]binding       // when it was bound
	pulling             map[taskKey]bool          // last reported as waiting for the image
	stops               map[taskKey]stop
	reserved            int                 // tasks for which room is reserved
	gone                map[taskKey]*record // bound by the records, but known to have left: their room is free
	errors              map[string]bool     // jobs whose tasks failed here
	listed              int                 // place in the idle list, counted from 1; 0: not listed
	joined              time.Duration
	idleAt              time.Duration // since when nothing is bound, for the fleet
	holdFor             string        // the job for which others were stopped here
	holdTill            time.Duration // and how long nothing else may take the room
	holdBy              string        // the controller whose gang it is kept for
	draining            bool          // a drain is being written
	forgetting          time.Duration // its records are being dropped: not again before
	emptying            bool          // its services are being gathered elsewhere
	sparseAt            time.Duration // since when it holds few services and nothing else; 0: not
}

// attempt is one attempt of a task.
type attempt struct {
	taskKey
	try int
}

// binding is when a task was bound: by our clock, and the revision, 0 if that is not
// known.
type binding struct {
	at    time.Duration
	since uint64
}

type stop struct {
	grace float64
	why   string
	at    time.Duration
}

func (c *Core) machine(id string) *machine {
	m := c.machines[id]
	if m == nil {
		m = &machine{id: id, bound: map[taskKey]*record{}, images: map[string]time.Duration{},
			stops: map[taskKey]stop{}, gone: map[taskKey]*record{}, direct: map[attempt]bool{}, begun: map[taskKey]time.Duration{}, pulling: map[taskKey]bool{}, boundAt: map[taskKey]binding{}, errors: map[string]bool{}, idleAt: c.now}
		c.machines[id] = m
	}
	return m
}

// unknownKind stands for a type that the catalogue lacks; it holds nothing.
var unknownKind protocol.Flavor

// kind is a machine's type.
func (c *Core) kind(m *machine) *protocol.Flavor {
	if m.kind == nil || m.kind.SKU != m.claim.Type {
		if m.kind = c.catalogue[m.claim.Type]; m.kind == nil {
			return &unknownKind
		}
	}
	return m.kind
}

// keep holds a machine's room back for a job; by names the controller that
// wants to be told when it is free.
func (m *machine) keep(id string, until time.Duration, by string) {
	m.holdFor, m.holdTill, m.holdBy = id, until, by
}

func (m *machine) use(s *job.Spec, n float64) {
	m.cpus += n * s.CPUs
	m.gpus += n * s.GPUs
	m.ram += n * s.MemoryGB
	if s.Shape == job.Service {
		m.steady += n * max(s.GPUs, s.CPUs/1e3)
	}
}

func (c *Core) mine(m *machine) bool {
	return m.stamp != 0 && m.claim.Owner == c.cfg.Node && (m.claim.Life == c.life || m.adopted)
}

// earlier tells whether an earlier life of ours has claimed the machine, and nobody since.
func (c *Core) earlier(m *machine) bool {
	return m.stamp != 0 && m.claim.Owner == c.cfg.Node && !c.mine(m)
}

// barred tells whether new work may not go to the machine.
func (c *Core) barred(m *machine) bool {
	_, drained := c.drains[m.id]
	return drained || m.draining || m.recalled || m.released || m.emptying || m.claiming || !m.shown
}

func (c *Core) applyClaim(id string, data json.RawMessage, stamp uint64) {
	m := c.machine(id)
	if data == nil {
		c.unclaim(m)
		return
	}
	var k claim
	if !decode(c.log, id, data, &k) {
		return
	}
	if m.stamp != 0 {
		c.holders.count[m.claim.Owner]--
		m.stamp = 0
	}
	m.claim, m.own = k, takeover.Claim{Holder: takeover.Holder{Node: k.Owner, Life: k.Life, Epoch: k.Epoch}, Token: stamp}
	c.resolve(m)
}

// unclaim takes that a machine's claim is gone.
func (c *Core) unclaim(m *machine) {
	if m.stamp != 0 {
		c.holders.count[m.claim.Owner]--
	}
	m.stamp, m.own, m.links = 0, takeover.Claim{}, nil
	m.shown = false
	m.reoccupy()
	c.unlist(m)
	c.forgetGone(m)
	c.hold(m)
}

// forgetGone drops what is known of a machine without a claim. Guards against room
// that was reserved on a machine that is forgotten meanwhile: given back to one that
// is met anew under its name, it made more room than there is.
func (c *Core) forgetGone(m *machine) {
	if m.stamp == 0 && len(m.bound) == 0 && m.reserved == 0 && c.machines[m.id] == m {
		delete(c.machines, m.id)
		c.data.lost(m.id)
	}
}

// hold keeps the list of our machines and the count of everybody's in step
// with a changed claim.
func (c *Core) hold(m *machine) {
	if m.stamp != 0 {
		c.holders.count[m.claim.Owner]++
	}
	c.own(m)
}

// own keeps the list of our machines.
func (c *Core) own(m *machine) {
	at := sort.Search(len(c.ours), func(i int) bool { return c.ours[i].id >= m.id })
	there := at < len(c.ours) && c.ours[at].id == m.id
	switch {
	case c.mine(m) && !there:
		c.ours = slices.Insert(c.ours, at, m)
	case !c.mine(m) && there:
		c.ours = slices.Delete(c.ours, at, at+1)
	}
}

func (c *Core) applyDrain(id string, data json.RawMessage) {
	if data == nil {
		delete(c.drains, id)
		return
	}
	var d drain
	if decode(c.log, id, data, &d) {
		c.drains[id] = d
		if m := c.machines[id]; m != nil {
			c.unlist(m)
		}
	}
}

// checkin takes a worker's report.
func (c *Core) checkin(id uint64, body []byte) {
	c.Stats.Checkins++
	r, err := protocol.ParseReport(body)
	if err != nil {
		c.refuse(id, 400, err.Error())
		return
	}
	if !c.store.Ready() {
		c.refuse(id, 503, "starting")
		return
	}
	c.reach.WorkerHeard(r.Depot)
	c.hear(id, r, false)
}

// hear answers a report, at once or after a claim or the take-over of its worker's group.
// alone has the worker claimed alone where it needs a claim.
func (c *Core) hear(id uint64, r *protocol.Report, alone bool) {
	if peer := c.betterPlaced(r); peer != "" {
		c.answer(id, 421, protocol.Redirect{Dispatcher: peer}, 0)
		return
	}
	if c.now-c.proof() > c.horizon() {
		// A cancellation may have been acknowledged that we can't see.
		c.refuse(id, 503, "cut off from the state service")
		return
	}
	m := c.machine(r.Stoker)
	if peer := c.better(m, r.Depot); peer != "" {
		c.answer(id, 421, protocol.Redirect{Dispatcher: peer}, 0)
		return
	}
	c.adopt(m, r)
	c.voidLaunches(m, r)
	if c.standing(m).Hear(head(r)) != evidence.Claim && !(m.passed() && c.earlierVersion()) {
		c.accept(id, m, r)
		return
	}
	if m.claiming {
		c.refuse(id, 503, "being claimed")
		return
	}
	if c.awaitsHolder(m, r) {
		c.refuse(id, 503, "its own controller may be back soon")
		return
	}
	if c.hasHolder(m, r) {
		c.answer(id, 421, protocol.Redirect{Dispatcher: m.claim.Owner}, 0)
		return
	}
	if c.cutOff() && c.isolated() {
		// Others may serve it: it must not wait here for a claim that can't be written. (In an outage
		// that all see the wait costs nothing, and keeps workers from going round in haste.)
		c.refuse(id, 503, "cut off from the state service")
		return
	}
	if !alone && c.takeGroup(id, m, r) {
		return
	}
	c.take(m, r, 0, func(m *machine, ok bool) {
		if !ok {
			c.refuse(id, 503, "the claim failed")
			return
		}
		c.accept(id, m, r)
	})
}

// better names a peer that a reporting worker is sent to. A controller in the
// worker's own zone comes first, so that a zone that is cut off keeps its
// tasks: inside it, they are answered on. Among those of the zone, or among all
// where it has none, the controllers hold about as many workers each, since
// reports and takeovers cost processor time. Workers that need a claim in any
// case are sent on at once, others at a slow pace. Two reports a second is
// what a controller is left alone with.
func (c *Core) better(m *machine, zone string) string {
	// Guards against a peer that only its peers can reach: a worker that comes
	// back after it was sent away stays.
	if m.redirectedAt > 0 && c.now-m.redirectedAt < 2*c.leaseOver() {
		return ""
	}
	in := c.cfg.Zone == zone
	var near, all []string
	nearHeld, allHeld := 0, len(c.ours)+c.claims
	if in {
		nearHeld = allHeld
	}
	now := c.reach.Picture()
	// One that comes because its controller did not answer, or that runs urgent work, goes
	// only where its zone is known to be heard.
	sure := m.stamp != 0 && !c.mine(m) || m.urgent()
	// Or to its own controller that has restarted since, and goes on without a new claim;
	// unless we have had it look for that one already.
	home := func(name string) bool {
		return m.stamp != 0 && m.claim.Owner == name && m.claim.Life != c.members[name].Life && m.awaitingHolderSince == 0
	}
	for i := range now.Peers {
		p := &now.Peers[i]
		name := p.Name.Node
		if c.members[name] == nil || p.Word > now.Report || !reach.Serves(&now, p, zone, now.Report) || sure && p.Carries && !home(name) && !reach.Proven(&now, p, zone) {
			continue
		}
		all, allHeld = append(all, name), allHeld+c.holders.count[name]
		if p.Zone == zone {
			near, nearHeld = append(near, name), nearHeld+c.holders.count[name]
		}
	}
	group, held, size := near, nearHeld, len(near)
	if in {
		size++
	} else if len(near) == 0 {
		group, held, size = all, allHeld, 1+len(all)
	}
	if len(group) == 0 || size == 0 {
		return ""
	}
	if !c.mine(m) && m.stamp != 0 && slices.Contains(near, m.claim.Owner) {
		m.redirectedAt = c.now
		return m.claim.Owner // may go on without a new claim
	}
	fair := float64(held) / float64(size)
	if in || len(near) == 0 {
		spare := 2 * c.cfg.Facts.Workers.Report
		most := 1.125*fair + spare
		if c.mine(m) {
			most = 1.5*fair + spare
		}
		if float64(len(c.ours)+c.claims) < most {
			return ""
		}
	}
	if c.mine(m) {
		// A tenth of the share of changes goes into evening out.
		if len(m.direct) > 0 || len(m.stops) > 0 || !c.reach.Shed(seconds(10*float64(1+len(c.cfg.Peers))/c.cfg.Facts.State.WriteRPS)) {
			return ""
		}
	}
	to, least := "", 0
	for _, i := range c.rnd.Perm(len(group)) {
		if n := c.holders.count[group[i]]; to == "" || n < least {
			to, least = group[i], n
		}
	}
	m.redirectedAt = c.now
	return to
}

// adopt takes up a worker that an earlier life of ours has claimed, with the
// token that the worker knows, so that a restart costs no changes: the claims
// of a whole fleet would take the state service's rate for half a minute.
//
// Guards against direct launches of the earlier life that may be carried out
// minutes late. That life forgot or released nothing while a launch of it was
// unanswered, so what can still come are launches of attempts that are bound.
// The worker must list those of its session, as a launch of what it has does nothing; and
// all that it lists is treated as launches under way: none is forgotten or
// released for being absent before a new token is seen, which is taken when one
// of them ends.
func (c *Core) adopt(m *machine, r *protocol.Report) {
	if c.mine(m) || m.claiming || m.stamp == 0 || m.claim.Owner != c.cfg.Node || m.claim.Life == c.life || r.Baton != m.stamp {
		return
	}
	listed := map[attempt]bool{}
	for _, l := range r.Loads {
		if id, i, err := job.SplitTaskName(l.Load); err == nil {
			listed[attempt{taskKey{id, i}, l.Try}] = true
		}
	}
	for k := range m.bound {
		if a, ok := c.boundHere(m, k); ok && !evidence.Adoptable(head(r), a, listed[attempt{k, a.Try}]) {
			return
		}
	}
	// Our records were read after that life had ended, with all that it did.
	m.adopted, m.tainted, m.proved = true, false, true
	m.session, m.tally, m.heard, m.answered = 0, 0, c.now, 0
	m.direct = listed // also what has ended: it may not be forgotten yet
	c.own(m)
	c.Stats.Adopted++
}

// awaitsHolder tells whether a worker should look for its own controller a little
// longer: one in its zone that was there a moment ago and, if it comes back,
// goes on without a new claim. A quarter of the lease leaves time to take the
// worker over.
func (c *Core) awaitsHolder(m *machine, r *protocol.Report) bool {
	if m.stamp == 0 || r.Baton != m.stamp {
		return false
	}
	now := c.reach.Picture()
	p := now.Find(m.claim.Owner)
	if p == nil || p.Zone != r.Depot {
		return false
	}
	if p.Word < now.Report && p.FreshMS < starting.Milliseconds() {
		return false // it is there, and has sent the worker on
	}
	// Guards against workers of a controller that is cut off: they come
	// after a report period and a wait for its answer, with little left of
	// their lease. One that was restarted is back before that.
	if !reach.MayReturn(&now, p, seconds(c.cfg.Facts.Workers.Lease/3)) {
		return false
	}
	if m.awaitingHolderSince == 0 {
		m.awaitingHolderSince = c.now
	}
	return c.now-m.awaitingHolderSince < seconds(c.cfg.Facts.Workers.Lease/4)
}

// voidLaunches has the worker answered with a new token alone while a direct launch for a job
// that is over may still be carried out on it: until the call is given up nothing else
// shows that it is late, and an answer under the old token would let it start what was cancelled
// for a lease longer. What the worker lists has come; a launch of that does nothing.
func (c *Core) voidLaunches(m *machine, r *protocol.Report) {
	if !c.mine(m) || m.tainted || len(m.direct) == 0 {
		return
	}
	for a := range m.direct {
		if !c.over(a.id) {
			continue
		}
		name := job.TaskName(a.id, a.index)
		if !slices.ContainsFunc(r.Loads, func(l protocol.Load) bool { return l.Load == name && l.Try == a.try }) {
			m.tainted = true
			return
		}
	}
}

// hasHolder tells whether a worker is better sent to the living controller that holds it than
// claimed: in an outage nobody else can answer it, and one that has just been claimed and has not
// heard so yet is heard there, not here.
//
// Guards against a worker whose one answer was lost in an outage and whose lease ran out
// on its way round, 3 s for each claim that was refused in the end; and against machines that hear
// nobody for so long that their leases end: each went round the controllers, and each of those wrote a claim.
//
// Once in a lease: a holder that may not answer any more refuses it at once, and what
// waits for the claim's refusal here keeps a whole site's workers from going to and fro. One that comes back within
// it was not answered there: sent home each time, it spent its whole lease between a controller whose
// link to the state service flapped and one that could not hear its zone.
func (c *Core) hasHolder(m *machine, r *protocol.Report) bool {
	if m.stamp == 0 || c.mine(m) || !c.reach.HolderHeard(m.claim.Owner) {
		return false
	}
	// With work on it a claim is worth its try here: its holder may be the one that can't be heard.
	// A whole group that has just been taken over is told by those that come to its holder: elsewhere each would need a claim.
	unheard := (len(r.Loads) == 0 || m.passed()) && r.Baton < m.stamp && c.now-m.claimedAt < seconds(c.cfg.Facts.Workers.Lease/3)
	if !c.cutOff() && !unheard || m.redirectedToHolder > 0 && c.now-m.redirectedToHolder < c.leaseOver() {
		return false
	}
	m.redirectedToHolder = c.now
	return true
}

// urgent tells whether production work is bound to the machine.
func (m *machine) urgent() bool { return m.levels[job.Production] > 0 }

// class is what a change of a machine's records is for: the most urgent work on it.
func (m *machine) class() budget.Class {
	switch {
	case m.urgent():
		return budget.Claims
	case len(m.bound) > 0:
		return budget.Holders
	}
	return budget.Spare
}

// take writes the claim for a new token.
func (c *Core) take(m *machine, r *protocol.Report, tries int, done func(*machine, bool)) {
	m.claiming = true
	c.claims++
	again := c.mine(m) && c.proved(m) // nobody else can have held it since
	k := claim{c.cfg.Node, c.life, r.Address, r.Rig, r.Depot, r.Casual, c.ownEpoch()}
	class := m.class()
	c.store.Txn(class, c.holding(m),
		[]protocol.Op{{Write: keyClaim + m.id, Data: encode(k)}}, func(o bookkeeping.Outcome, _ []string, _ uint64) {
			m.claiming = false
			c.claims--
			// The machine may have been forgotten and met again meanwhile.
			m = c.machine(m.id)
			switch {
			case o == bookkeeping.OK:
				m.renewed(c.now)
				m.proved = again && tries == 0
				c.Stats.Claims++
				done(m, true)
			case (o == bookkeeping.Conflict || o == bookkeeping.Unknown) && tries < 1:
				m.claiming = true
				c.store.Get(class, keyClaim+m.id, func(ok bool) {
					m.claiming = false
					switch {
					case !ok:
						done(m, false)
					default:
						c.take(m, r, tries+1, done)
					}
				})
			default:
				done(m, false)
			}
		})
}

// accept answers a report under our claim.
func (c *Core) accept(id uint64, m *machine, r *protocol.Report) {
	if !c.mine(m) {
		c.refuse(id, 503, "the claim was lost")
		return
	}
	hearing := c.standing(m).Hear(head(r))
	if hearing == evidence.Stale {
		// Its list is old and its sender has given up on it.
		c.refuse(id, 503, "an older report")
		return
	}
	m.session, m.tally, m.heard, m.mute = r.Shift, r.Tally, c.now, 0
	m.recalled = r.RecallS != nil
	if r.Baton == m.stamp && !m.shown {
		m.shown, m.shownAt = true, c.now
	}
	ans := protocol.CheckinAnswer{Baton: m.stamp, Orders: []protocol.Order{}}
	if hearing != evidence.Believe {
		ans.Orders = c.killFinal(m, r)
		c.outlived(m, r)
	} else {
		ans.Orders = c.orders(m, r)
		m.released = false
		if m.recalled {
			c.drain(m, drainRecall)
		}
		c.join(m)
	}
	c.fleet.unshipped.report(m, r)
	ans.Store = c.data.report(m, r.Store)
	m.answered = c.now
	c.out.Answers = append(c.out.Answers, Answer{ID: id, Status: 200, Body: encode(ans), Urgent: m.urgent()})
}

// outlived releases what a report that is not believed shows to be of an earlier session.
func (c *Core) outlived(m *machine, r *protocol.Report) {
	for _, k := range m.tasks() {
		rec := m.bound[k]
		a, ok := c.boundHere(m, k)
		if !ok || c.ending(rec, k.index) {
			continue
		}
		if act, kind := evidence.Outlived(head(r), a); act == evidence.Release {
			c.propose(rec, k.index, change{machine: m.id, session: a.Session, try: a.Try, kind: kind})
		}
	}
}

// killFinal stops what belongs to jobs that are over. It is safe whatever the records
// lack, as final states never change.
//
// Guards against cancelled tasks that lived on: the answer to a report that is not
// believed renews the lease, and the horizon stands on every cancellation that we know
// of being told with the answer. A controller whose watch was late answered so for
// twenty seconds, and the next one after it.
//
// Also what is bound to the machine and not listed: a report that a direct launch has overtaken lacks what
// runs by now, and its answer renews the lease. (The model found it; a stop of what is not there does nothing.)
func (c *Core) killFinal(m *machine, r *protocol.Report) []protocol.Order {
	orders := []protocol.Order{}
	listed := map[string]bool{}
	for i := range r.Loads {
		l := &r.Loads[i]
		listed[l.Load] = true
		id, _, err := job.SplitTaskName(l.Load)
		if err == nil && l.Status != protocol.LoadEnded && c.over(id) {
			orders = append(orders, kill(l, 0))
		}
	}
	for _, k := range m.tasks() {
		name := job.TaskName(k.id, k.index)
		if a, ok := c.boundHere(m, k); ok && m.bound[k].final() && a.Session == r.Shift && !listed[name] {
			orders = append(orders, kill(&protocol.Load{Load: name, Try: a.Try}, 0))
		}
	}
	return orders
}

// over tells whether a job is known to be over, by its record or by a peer's word.
func (c *Core) over(id string) bool {
	rec := c.jobs[id]
	return rec != nil && rec.final() || c.reach.Named(id)
}

// kill stops what a worker lists, within a time in seconds.
func kill(l *protocol.Load, grace float64) protocol.Order {
	return protocol.Order{Verb: protocol.VerbKill, Load: l.Load, Try: l.Try, WindDownS: &grace}
}

// launch starts an attempt that evidence has let pass.
func (c *Core) launch(m *machine, a attempt) protocol.Order {
	c.traceStart(losses.Launch, a.id, a.index, a.try, m.id)
	return protocol.Order{Verb: protocol.VerbLaunch, Load: job.TaskName(a.id, a.index), Try: a.try, Seal: c.view.sealLaunch(m, a.taskKey, a.try)}
}

// orders compares a report with the records: what should be on the machine is
// launched, what should not be is stopped, and endings are proposed for commit
// and forgotten once committed.
func (c *Core) orders(m *machine, r *protocol.Report) []protocol.Order {
	orders := []protocol.Order{}
	st := c.standing(m)
	m.deferredLaunches = nil // what it lacks is judged again
	listed := c.listed
	clear(listed)
	for i := range r.Loads {
		orders = c.judgeListed(orders, m, st, r, &r.Loads[i], listed)
	}
	for _, k := range m.unlisted(listed) {
		orders = c.judgeLacking(orders, m, st, r, k)
	}
	for k := range m.stops {
		if m.bound[k] == nil {
			delete(m.stops, k)
		}
	}
	return orders
}

// judgeListed judges an attempt that a believed report lists, and adds what the worker is to be told.
// What is bound here as it is listed is noted in listed.
func (c *Core) judgeListed(orders []protocol.Order, m *machine, st evidence.Standing, r *protocol.Report, l *protocol.Load, listed map[taskKey]bool) []protocol.Order {
	id, index, err := job.SplitTaskName(l.Load)
	if err != nil {
		return orders
	}
	k := taskKey{id, index}
	a, bound := c.boundHere(m, k)
	act, _ := st.Listed(head(r), evidence.Load{Try: l.Try, Ended: l.Status == protocol.LoadEnded}, a, bound, m.direct[attempt{k, l.Try}])
	switch act {
	case evidence.Renew:
		m.tainted = true
		return orders
	case evidence.Forget:
		return append(orders, protocol.Order{Verb: protocol.VerbForget, Load: l.Load, Try: l.Try})
	case evidence.Kill:
		return append(orders, kill(l, 0))
	case evidence.Hold:
		return orders // to be forgotten later
	}
	rec := c.jobs[id]
	listed[k] = true
	if c.verbose {
		c.log.Debug("reported", "load", l.Load, "try", l.Try, "status", l.Status, "cause", l.Cause, "stoker", m.id)
	}
	if act == evidence.Release {
		c.ended(m, rec, k, rec.task(c, index), l)
		return orders
	}
	c.noteProgress(m, rec, k, l)
	if rec.final() {
		return append(orders, kill(l, 0))
	}
	if s, ok := m.stops[k]; ok && l.Status != protocol.LoadSaving {
		return append(orders, kill(l, s.grace))
	}
	return orders
}

// noteProgress takes from a report how far an attempt is: running, or waiting for its image.
func (c *Core) noteProgress(m *machine, rec *record, k taskKey, l *protocol.Load) {
	switch l.Status {
	case protocol.LoadRunning:
		if m.began(k, c.now) {
			c.traceStart(losses.Began, k.id, k.index, l.Try, m.id)
		}
		m.images[rec.spec.Image] = min(m.images[rec.spec.Image], c.now)
		delete(m.pulling, k)
	case protocol.LoadPulling:
		m.pulling[k] = true
		if at := c.now + seconds(c.cfg.Facts.Workers.Report); m.images[rec.spec.Image] < at {
			m.images[rec.spec.Image] = at // it takes longer than expected
		}
	}
}

// judgeLacking judges what is bound to the machine and not on a believed report's list.
func (c *Core) judgeLacking(orders []protocol.Order, m *machine, st evidence.Standing, r *protocol.Report, k taskKey) []protocol.Order {
	rec := m.bound[k]
	t := rec.task(c, k.index)
	_, stopping := m.stops[k]
	wanted := !rec.final() && !stopping && !m.recalled
	a := attempt{k, t.Try}
	b, _ := c.boundHere(m, k)
	act, kind := st.Lacking(head(r), b, m.direct[a], wanted, c.ending(rec, k.index))
	switch act {
	case evidence.Renew:
		m.tainted = true
	case evidence.Release:
		m.vacate(k, rec)
		c.propose(rec, k.index, change{machine: m.id, session: t.Session, try: t.Try, kind: kind})
		if kind == evidence.Absent {
			delete(m.stops, k)
		}
	case evidence.Launch:
		return append(orders, c.launch(m, a))
	case evidence.Keep:
		if wanted && t.Session == r.Shift {
			m.deferLaunch(a)
		}
	}
	return orders
}

// unlisted is what is bound to the machine and not listed, in order.
func (m *machine) unlisted(listed map[taskKey]bool) []taskKey {
	if len(listed) == len(m.bound) { // what is listed is bound
		return nil
	}
	var out []taskKey
	for k := range m.bound {
		if !listed[k] {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, taskKey.compare)
	return out
}

// ending tells whether an ending of the task is queued or under way.
func (c *Core) ending(r *record, index int) bool {
	n := c.pageTasks()
	p := r.pages[index/n]
	for i := range p.queue {
		if p.queue[i].index == index%n && !p.queue[i].place {
			return true
		}
	}
	return p.busy
}

func (c *Core) ended(m *machine, rec *record, k taskKey, t *job.Task, l *protocol.Load) {
	ch := change{machine: m.id, session: t.Session, try: t.Try, kind: evidence.Ended, done: l.Cause == protocol.CauseDone, failed: l.Cause == protocol.CauseError, cause: l.Cause}
	if ch.failed {
		c.log.Info("task failed", "load", l.Load, "stoker", m.id, "fails", t.Fails+1)
	}
	m.vacate(k, rec)
	c.propose(rec, k.index, ch)
}

// vacate frees the room of a task that a report under our token shows to have left,
// though its ending is not committed yet: that is a fact about the machine, whatever
// becomes of the record, and under load the commit takes seconds that urgent work
// would wait for. The team's charge stays until then.
func (m *machine) vacate(k taskKey, r *record) {
	if m.gone[k] == nil && m.bound[k] == r {
		m.gone[k] = r
		m.use(r.spec, -1)
	}
}

// reoccupy takes that back: with the claim goes what was known under it.
func (m *machine) reoccupy() {
	for _, r := range m.gone {
		m.use(r.spec, 1)
	}
	clear(m.gone)
}

// drain writes a machine's drain record, under further conditions if any.
func (c *Core) drain(m *machine, why string, conds ...protocol.Cond) {
	// Guards against two judgements that take turns on one machine and eat up
	// the state service's rate: only a graver one replaces an earlier one, and
	// only while it makes a difference to what is on the machine.
	if old, ok := c.drains[m.id]; m.draining || ok && (drainSeverity[old.Why] >= drainSeverity[why] || len(m.bound) == 0) {
		return
	}
	m.draining = true
	c.unlist(m)
	c.log.Debug("draining", "stoker", m.id, "why", why)
	// The claim is a condition too: a controller that was cut off must not
	// judge machines that have long reported to another.
	conds = append(conds, protocol.Cond{Key: keyDrain + m.id, Stamp: c.store.Stamp(keyDrain + m.id)})
	c.store.Txn(m.class(), append(conds, c.holding(m)...),
		[]protocol.Op{{Write: keyDrain + m.id, Data: encode(drain{why})}}, func(bookkeeping.Outcome, []string, uint64) {
			m.draining = false
		})
}
