package coordination

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// A batch is one transaction on pages of tasks. Every placement and ending of a
// limited team also changes the team's record, which is in one transaction at a
// time; so pages of one team and class go together, and a mass failure costs the
// state service about one change for each page in place of two.
type batch struct {
	team    *team
	charge  bool // the team's record is changed too
	use     usage
	named   map[string]bool // keys that conds names already
	conds   []protocol.Compare
	ops     []protocol.Op
	size    int // of the transaction at the most, in bytes
	parts   []part
	yielded []string // machines whose room urgent work is to have
	class   budget.Class
}

// part is what a batch takes of a page's queue.
type part struct {
	p     *page
	taken []change
}

// Sizes of what a transaction carries, at the most and about.
const (
	taskBytes = 64
	jobBytes  = 1 << 10
	condBytes = 64
	txnBytes  = 60 << 10 // of 64 KiB, the rest for the frame
)

// flush sends transactions for pages that have changes and none under way, as
// long as the budget lasts. A transaction is built when it can be sent and not
// before: what comes up meanwhile goes with it, and it is conditional on the
// latest mirror. A team's record is in one transaction of ours at a time.
func (c *Core) flush() {
	c.flushEndings()
	c.writes.delayed = len(c.writes.queued) > 0 || len(c.writes.dirty) > 0 && c.now < c.writes.flushAt
	if len(c.writes.dirty) > 0 && c.now < c.writes.flushAt {
		return
	}
	c.store.ReleaseReservations()
	if len(c.writes.dirty) == 0 || !c.store.Loaded() {
		return
	}
	var denied [budget.NumClasses]bool
	ripe := c.ripe()
	for i, p := range ripe {
		class := p.class()
		if denied[class] || p.busy || !c.writes.dirty[p] { // it went with another
			continue
		}
		if !c.store.Reserve(class, opsOfPage) {
			denied[class], c.writes.delayed = true, true
			// About when the share of the rate allows the next request.
			c.writes.flushAt = c.now + seconds(float64(1+len(c.cfg.Peers))/c.cfg.Facts.State.RPS)
			continue
		}
		c.flushPages(p, ripe[i+1:])
		c.store.Tick(c.now)
	}
}

// opsOfPage is what a page alone may change: itself, its team and its job.
const opsOfPage = 3

// class is what a page's changes are for.
func (p *page) class() budget.Class {
	if p.rec.spec.Priority == job.Production {
		return budget.UrgentWork
	}
	return budget.OtherWork
}

// ripe lists the pages that could be written now: production first, then
// those that have waited longest, so that under pressure each write carries as
// many changes as any.
func (c *Core) ripe() []*page {
	var out []*page
	for p := range c.writes.dirty {
		switch {
		case p.busy: // its answer is awaited
		case c.now < p.retry:
			c.writes.delayed = true
		default:
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *page) int {
		switch x, y := a.class(), b.class(); {
		case x != y:
			return cmp.Compare(x, y)
		case a.since != b.since:
			return cmp.Compare(a.since, b.since)
		case a.rec != b.rec:
			return turnOrder(a.rec, b.rec)
		}
		return cmp.Compare(a.num, b.num)
	})
	return out
}

// flushPages sends a page's changes and, where that saves changes, those of
// further pages of the same team and class.
func (c *Core) flushPages(first *page, more []*page) {
	tm := c.teams[first.rec.spec.Team]
	b := &batch{team: tm, charge: tm != nil && limited(tm), named: map[string]bool{}, class: first.class()}
	if first.tasks != nil && b.charge && tm.busy {
		return
	}
	if tm != nil {
		b.use = tm.use
	}
	c.addPage(b, first)
	if b.charge && len(b.parts) > 0 {
		jobs := map[*record]bool{first.rec: true}
		for _, p := range more {
			// One page of a job at a time: its zones and its end are judged
			// with the other pages as the mirror has them.
			if p.class() != b.class || p.rec.spec.Team != first.rec.spec.Team || p.tasks == nil || jobs[p.rec] || p.busy {
				continue
			}
			if !c.hasPlace(b, p) || !c.store.CanSend(b.class, len(b.ops)+opsOfPage) {
				break
			}
			jobs[p.rec] = true
			c.addPage(b, p)
		}
	}
	if len(b.parts) > 0 {
		c.commit(b)
	}
	for _, id := range b.yielded {
		c.freed(id)
	}
}

// yields tells whether a placement gives its room to production work that has
// come to wait here since it was chosen.
//
// Guards against lesser work that starts first because its place was chosen
// before: in a storm its commit may wait for seconds, and room that is only
// reserved is none that urgent work could have cleared.
func (c *Core) yields(r *record, m *machine) bool {
	if r.spec.Priority == job.Production || !c.mine(m) || multi(r) {
		return false
	}
	m.use(r.spec, -1)
	defer m.use(r.spec, 1)
	for _, u := range c.lines {
		if u.spec.Priority == job.Production && c.fits(u, m) &&
			slices.ContainsFunc(u.line, func(w *waiter) bool { return c.placeable(u, w.key.index) }) {
			return true
		}
	}
	return false
}

// hasPlace tells whether a page's changes fit into the transaction.
func (c *Core) hasPlace(b *batch, p *page) bool {
	conds := 2 + 2*len(p.queue)
	return len(b.ops)+opsOfPage <= c.cfg.Facts.State.TxnOps && len(b.conds)+conds+1 <= 4*c.cfg.Facts.State.TxnOps &&
		b.size+len(p.tasks)*taskBytes+jobBytes+conds*condBytes <= txnBytes
}

// addPage takes what can be done of a page's queue into a batch.
func (c *Core) addPage(b *batch, p *page) {
	r := p.rec
	if p.tasks == nil { // nothing of it is bound or can be placed
		c.dropQueue(p)
		return
	}
	d := &draft{c: c, b: b, p: p, tasks: append([]job.Task(nil), p.tasks...), base: p.num * c.pageTasks(), use: b.use,
		conds: []protocol.Compare{{Key: keyJob + p.id, ModRevision: r.stamp}, {Key: pageKey(p.id, p.num), ModRevision: p.stamp}},
		room:  4*c.cfg.Facts.State.TxnOps - 4 - len(b.conds)}
	for _, ch := range p.queue {
		if ch.place {
			d.place(ch)
		} else {
			d.end(ch)
		}
	}
	if d.spoilt {
		d.withoutGang()
		return
	}
	p.queue, p.since = d.rest, c.now
	if len(d.rest) == 0 {
		delete(c.writes.dirty, p)
	}
	if len(d.taken) == 0 && !p.fold {
		d.forget()
		return
	}
	d.write()
}

// dropQueue gives up the changes of a page of a job that is over.
func (c *Core) dropQueue(p *page) {
	for _, ch := range p.queue {
		if ch.place {
			c.unreserve(p.rec, p.num*c.pageTasks()+ch.index)
		}
	}
	p.queue = nil
	delete(c.writes.dirty, p)
}

// draft is what a page adds to a batch.
type draft struct {
	c      *Core
	b      *batch
	p      *page
	tasks  []job.Task // as they will be
	base   int        // number of the page's first task
	use    usage      // of the team
	conds  []protocol.Compare
	room   int      // for conditions
	fresh  []string // keys that the batch did not name before
	taken  []change
	rest   []change // for another transaction
	spoilt bool     // a gang starts whole or not at all
}

// under adds conditions; false: there is no room for them.
//
// Guards against a placement that was not conditional on the absence of a
// drain, since an ending on the same machine had named its claim before.
func (d *draft) under(conditions ...protocol.Compare) bool {
	conditions = slices.DeleteFunc(conditions, func(k protocol.Compare) bool { return d.b.named[k.Key] })
	if len(d.conds)+len(conditions) > d.room {
		return false
	}
	for _, k := range conditions {
		d.b.named[k.Key] = true
		d.fresh = append(d.fresh, k.Key)
		d.conds = append(d.conds, k)
	}
	return true
}

// forget has the batch not know of the draft's conditions.
func (d *draft) forget() {
	for _, key := range d.fresh {
		delete(d.b.named, key)
	}
}

// place takes a placement in, if it still holds.
func (d *draft) place(ch change) {
	c, r, t := d.c, d.p.rec, &d.tasks[ch.index]
	m := c.machines[ch.machine]
	u := d.use.plus(r.spec, 1)
	ok := t.Phase == job.Pending && !r.final() && m != nil && c.usable(r, m, ch.session) && (!d.b.charge || d.b.team.leaves(r, u))
	// Guards against a peer's placement that came into the mirror
	// after this one was proposed: zones are judged again with what
	// the transaction is conditional on.
	ok = ok && c.zoneStillOK(r, d.p, d.tasks, m.claim.Zone)
	if ok && c.yields(r, m) {
		d.b.yielded = append(d.b.yielded, m.id)
		ok = false
	}
	if !ok {
		c.unreserve(r, d.base+ch.index)
		d.spoilt = multi(r)
		return
	}
	if !d.under(append(m.holding(), protocol.Compare{Key: keyDrain + m.id})...) {
		d.rest = append(d.rest, ch)
		return
	}
	d.use = u
	*t = job.Task{Phase: job.Bound, Attempt: t.Attempt + 1, Machine: m.id, Epoch: ch.session, Failures: t.Failures}
	if r.spec.Shape == job.Gang {
		t.Attempt = max(t.Attempt, ch.try)
	}
	d.taken = append(d.taken, ch)
}

// end takes an ending in, unless another change was ahead of it or its evidence is void.
func (d *draft) end(ch change) {
	c, t := d.c, &d.tasks[ch.index]
	if t.Phase != job.Bound || t.Machine != ch.machine || t.Epoch != ch.session || t.Attempt != ch.try {
		return // overtaken
	}
	m := c.machine(ch.machine)
	// Guards against evidence that outlives its claim: a controller
	// cut off from the state service held the end of a lease to be
	// over, while a peer answered the worker. When the worker came
	// back, the release was committed under the new claim, and the
	// task ran twice.
	ok, onClaim := c.standing(m).MayRelease(evidence.Evidence{Proof: ch.kind, Token: ch.token})
	if !ok {
		c.log.Debug("release refused: the evidence is void", "load", job.TaskName(d.p.id, d.base+ch.index), "try", ch.try, "stoker", m.id, "kind", ch.kind.String(),
			"found", ch.token, "token", m.stamp)
		return
	}
	if onClaim && !d.under(m.holding()...) {
		d.rest = append(d.rest, ch)
		return
	}
	d.use = d.use.plus(d.p.rec.spec, -1)
	next := job.Task{Attempt: t.Attempt, Failures: t.Failures}
	if ch.done {
		next.Phase = job.Finished
	} else if ch.failed {
		next.Failures++
	}
	*t = next
	d.taken = append(d.taken, ch)
}

// withoutGang leaves the page's endings for the next flush, and gives its placements up.
func (d *draft) withoutGang() {
	all := append(d.taken, d.rest...)
	for _, ch := range all {
		if ch.place {
			d.c.unreserve(d.p.rec, d.base+ch.index)
		}
	}
	d.p.queue = withoutPlaces(all)
	if len(d.p.queue) == 0 {
		delete(d.c.writes.dirty, d.p)
	}
	d.forget()
}

// write adds the page, and its job where that changes, to the batch.
func (d *draft) write() {
	c, b, p, r := d.c, d.b, d.p, d.p.rec
	b.ops = append(b.ops, protocol.Op{Put: pageKey(p.id, p.num), Value: c.encodePage(d.tasks)})
	finished := r.finished
	for i := range d.tasks {
		if d.tasks[i].Phase == job.Finished && p.tasks[i].Phase != job.Finished {
			finished++
		}
	}
	spansPages := len(r.pages) > 1 && (r.spec.OneZone || r.spec.Spread)
	switch {
	case finished == r.spec.Tasks && r.status == job.Open:
		// Finished tasks stay finished, so the other pages need no condition.
		b.ops = append(b.ops, protocol.Op{Put: keyJob + p.id, Value: encode(r.stored(job.Done))})
	case spansPages:
		// Zones are judged over all pages; rewriting the job record makes
		// placements of different pages exclude one another.
		b.ops = append(b.ops, protocol.Op{Put: keyJob + p.id, Value: encode(r.stored(r.status))})
	}
	b.conds = append(b.conds, d.conds...)
	b.size += len(d.tasks)*taskBytes + jobBytes + len(d.conds)*condBytes
	b.use = d.use
	b.parts = append(b.parts, part{p, d.taken})
	p.fold = false
}

// commit sends a batch.
func (c *Core) commit(b *batch) {
	tm := b.team
	if b.charge {
		key := keyTeam + tm.cfg.Name
		b.conds = append(b.conds, protocol.Compare{Key: key, ModRevision: tm.stamp})
		b.ops = append(b.ops, protocol.Op{Put: key, Value: encode(b.use)})
		tm.busy = true
	}
	for _, part := range b.parts {
		part.p.busy = true
	}
	c.store.Txn(b.class, b.conds, b.ops, func(o bookkeeping.TxnOutcome, failed []string, _ uint64) {
		if b.charge {
			tm.busy = false
		}
		if o == bookkeeping.Conflict {
			c.Stats.Conflicts++
		}
		for _, part := range b.parts {
			part.p.busy = false
			if o == bookkeeping.Committed {
				c.committed(part)
			} else {
				c.failed(part, o, failed)
			}
		}
	})
}

// committed takes up what a transaction has changed.
func (c *Core) committed(part part) {
	r, base := part.p.rec, part.p.num*c.pageTasks()
	for _, ch := range part.taken {
		if ch.place {
			c.unreserve(r, base+ch.index)
		}
	}
	for _, ch := range part.taken {
		if ch.place {
			c.Stats.Placements++
			continue
		}
		c.Stats.Endings++
		c.freed(ch.machine)
		if c.verbose {
			c.traceEnding(losses.Ended, r, base+ch.index, ch)
		}
		if !ch.done {
			c.again(r, base+ch.index)
		}
	}
}

// failed has endings proposed again. Placements look for a place again, unless it
// was only the team's record that another was ahead with: what was refused for
// that was certainly not done, and the place is as good as before. The mirror needs
// a moment to catch up with whoever was faster, and an unknown outcome shows in it.
func (c *Core) failed(part part, o bookkeeping.TxnOutcome, keys []string) {
	p := part.p
	c.log.Debug("transaction failed", "job", p.id, "page", p.num, "outcome", int(o), "failed", keys)
	crowded := o == bookkeeping.Conflict && len(keys) == 1 && strings.HasPrefix(keys[0], keyTeam)
	wait := seconds(0.05 + 0.1*c.rnd.Float64())
	if crowded {
		wait /= 3
	}
	p.retry = c.now + max(wait, time.Millisecond)
	var again []change
	for _, ch := range part.taken {
		if ch.place && !crowded {
			c.unreserve(p.rec, p.num*c.pageTasks()+ch.index)
			continue
		}
		again = append(again, ch)
	}
	if len(again) > 0 {
		p.queue = append(again, p.queue...)
		c.writes.dirty[p] = true
	}
}
