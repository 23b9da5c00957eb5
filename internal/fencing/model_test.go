package fencing

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/modelcheck"
)

// The model: two controllers, two machines and one task, a state service that keeps
// its history, and what the world may do. Watches bring any prefix of what happened
// since, at any time; transactions are applied late, without an answer or not at all;
// reports are held back; answers are dropped; direct orders are carried out late;
// workers' leases end; controllers freeze (nothing of theirs need happen), are cut off
// and crash; machines are deleted. Time is not counted: a lease may end at any
// moment, and the holder may know it as soon as it must have.
//
// The promise is stronger than the rule that a task must not run twice: whatever runs
// is what the records bind there, in that session.

const (
	controllers = 2
	machines    = 2
	revisions   = 12
	attempts    = 3
	lives       = 2
	taskKey     = machines     // keys: the machines' claims, then the task,
	groupKey    = machines + 1 // then the take-overs of the group of each life of each controller
	keys        = groupKey + controllers*lives
	chain       = 3 // groups that a holder stands on, at the most
)

// change is one revision: a claim or a take-over (owner, life) or the task (bound, try,
// machine, session).
type change struct{ key, a, b, c, d uint8 }

// Kinds of transactions.
const (
	claiming = iota + 1
	releasing
	placing
	grouping // the take-over of a whole group
)

type txn struct {
	kind, m, try, session, ifTask, ifClaim uint8
	ifGroups                               [chain]stamped // beside ifClaim
	group                                  uint8          // the key that a take-over writes
	again                                  bool           // the claim renews one of ours
	done                                   uint8
}

// stamped is a key and its stamp; the zero value is none.
type stamped struct{ key, stamp uint8 }

const unconditional = 255

// launch is a direct order under way; late: its sender has given up on it.
type launch struct {
	on, late               bool
	m, token, session, try uint8
}

// view is what a controller knows of a machine.
type view struct {
	shown, proved, tainted, adopted      bool
	before                               bool // shown before the open watch was opened
	session, tally, answered, answeredIn uint8
	direct                               uint8 // attempts with an unanswered direct launch, as bits
	directIn, directAt                   uint8 // of the newest answer to a direct launch
}

type proposal struct{ kind, m, session, try, token uint8 }

type controller struct {
	life, ledger, opened uint8
	known                [keys]uint8
	since                uint8
	v                    [machines]view
	p                    proposal
	claim, page, late    txn
	direct               [2]launch // two at a time at the most
	unwanted             bool
	knows                bool // that the job is cancelled, from the records or by a peer's word
}

type report struct {
	on, after              bool // after: sent when the horizon had passed, as a lease counts from that
	c, shift, tally, baton uint8
	loads                  [attempts + 1]uint8
}

// States of a load.
const (
	nothing = iota
	running
	ended
)

type exchange struct {
	r                           report
	answered                    bool
	token, launch, forget, kill uint8
}

type worker struct {
	gone                           bool
	session, baton, tally, renewed uint8
	loads                          [attempts + 1]uint8
	x                              exchange
	held                           report
	fresh                          bool // its session began, or its lease was renewed, after the horizon
}

type world struct {
	rev                       uint8
	hist                      [revisions + 1]change
	c                         [controllers]controller
	w                         [machines]worker
	crashes, deletions, holds uint8
	takeovers                 uint8
	// The job's cancellation: committed, confirmed to its user; then the horizon passes, and then cancel_s.
	cancelled, told, over, due bool
}

// bounds keep a walk finite.
type bounds struct {
	machines, revs, tries, sessions, tallies, crashes, deletions, holds uint8
	takeovers                                                           uint8
	cancels                                                             bool
	quiet                                                               bool // no message is lost and no lease ends
}

// defect is what is broken on purpose; the zero value is the code as it is.
type defect struct {
	name, in                                                 string // in: the walk that finds it soonest
	noClaim, noToken, noStamp, noLedger, unproved, anyDirect bool
	noDirect, oneSlot, overtaken, adoptAll, adoptBlind       bool
	leaseUnshown, unheard                                    bool
	noUnlisted, noVoid, noKill, noHorizon                    bool
	heedAtOnce, noGroups, noClaimGroups                      bool
}

// truth is a key's present value and stamp.
func (s *world) truth(key uint8) (change, uint8) { return s.at(key, s.rev) }

func (s *world) at(key, rev uint8) (change, uint8) {
	for i := rev; i > 0; i-- {
		if s.hist[i].key == key+1 {
			return s.hist[i], i
		}
	}
	return change{}, 0
}

// of is a key's value as a controller knows it.
func (s *world) of(c, key uint8) change {
	if stamp := s.c[c].known[key]; stamp > 0 {
		return s.hist[stamp]
	}
	return change{}
}

func (s *world) write(ch change) uint8 {
	s.rev++
	s.hist[s.rev] = ch
	return s.rev
}

type model struct {
	b bounds
	d defect
}

// holder is who holds a machine, as a controller knows it.
type holder struct {
	owner, life, token uint8 // owner counts from 1; 0: nobody
	groups             [chain]stamped
	next               uint8 // the key of the group by which it may pass on; 0: it can't
}

// groupOf is the group of a life's machines; all of them are in one.
func groupOf(key uint8) failover.Group {
	at := key - groupKey
	h := failover.Holder{Node: string('0' + rune(at/lives)), Incarnation: int64(at%lives) + 1, Epoch: 1}
	return failover.GroupOf(h, "w", "z")
}

// held finds a machine's holder with the product's own book of take-overs.
func (md *model) held(s *world, c, m uint8) holder {
	n, own := &s.c[c], s.of(c, m)
	h := holder{owner: own.a, life: own.b, token: n.known[m]}
	if md.b.takeovers == 0 || h.token == 0 {
		return h
	}
	book := failover.NewTable()
	if book.Advance(uint64(n.ledger)); md.d.heedAtOnce {
		book.Advance(revisions)
	}
	keyOf := map[failover.Group]uint8{}
	for key := uint8(groupKey); key < keys; key++ {
		g := groupOf(key)
		keyOf[g] = key
		if stamp := n.known[key]; stamp > 0 {
			heir := s.hist[stamp]
			book.Put(g, failover.Holder{Node: string('0' + rune(heir.a-1)), Incarnation: int64(heir.b), Epoch: 1}, uint64(stamp))
		}
	}
	got := book.Resolve("w", "z", failover.Claim{Holder: failover.Holder{Node: string('0' + rune(own.a-1)), Incarnation: int64(own.b), Epoch: 1}, Token: uint64(h.token)})
	h.owner, h.life, h.token = got.Node[0]-'0'+1, uint8(got.Incarnation), uint8(got.Token)
	for i, l := range got.Links {
		h.groups[i] = stamped{keyOf[l.Group], uint8(l.Revision)}
	}
	if g, ok := got.NextGroup(); ok {
		h.next = keyOf[g]
	}
	return h
}

// token is that by which a controller knows a machine to be held.
func (md *model) token(s *world, c, m uint8) uint8 { return md.held(s, c, m).token }

func (md *model) standing(s *world, c, m uint8) WorkerState {
	n, v := &s.c[c], &s.c[c].v[m]
	k := md.held(s, c, m)
	st := WorkerState{Held: k.owner == c+1 && (k.life == n.life || v.adopted), Adopted: v.adopted, Token: uint64(k.token), AppliedRevision: uint64(n.ledger),
		TokenSeen: v.shown, MirrorComplete: v.proved, LaunchInDoubt: v.tainted, Epoch: uint64(v.session), Sequence: uint64(v.tally),
		LastLaunch: Position{uint64(v.directIn), uint64(v.directAt)}}
	if md.d.overtaken {
		st.LastLaunch = Position{}
	}
	if md.d.noLedger {
		st.AppliedRevision = 1 << 20
	}
	if md.d.unproved {
		st.MirrorComplete = true
	}
	if md.d.leaseUnshown {
		st.TokenSeen = true
	}
	return st
}

// bound is what a controller's records bind to a machine.
func (md *model) bound(s *world, c, m uint8) (Attempt, bool) {
	t := s.of(c, taskKey)
	return Attempt{Number: int(t.b), Epoch: uint64(t.d), BoundAt: uint64(s.c[c].since)}, t.a == 1 && t.c == m
}

// learn brings a key's revision into a controller's mirror. reached is whether the mirror is
// complete up to it with that.
func (md *model) learn(s *world, c, key, stamp uint8, reached bool) {
	n := &s.c[c]
	var before [machines]uint8
	for m := range before {
		before[m] = md.token(s, c, uint8(m))
	}
	if reached {
		n.ledger = stamp
	}
	if news := stamp > n.known[key]; news {
		n.known[key] = stamp
		if key == taskKey {
			n.since, n.unwanted = stamp, false
			md.launchSoon(s, c)
			return
		}
	}
	for m := range before {
		md.reheld(s, c, uint8(m), before[m])
	}
}

// reheld takes that a machine's holder may have changed.
func (md *model) reheld(s *world, c, m, before uint8) {
	n, h := &s.c[c], md.held(s, c, m)
	if h.token == before {
		return
	}
	v := &n.v[m]
	v.shown, v.proved, v.adopted, v.before = false, false, false, false
	if h.owner == c+1 && h.life == n.life && h.token != n.known[m] {
		*v = view{} // it has come to us with its group
	}
}

// launchSoon sends a direct launch of what is newly bound to a machine of ours.
func (md *model) launchSoon(s *world, c uint8) {
	n := &s.c[c]
	for m := uint8(0); m < md.b.machines; m++ {
		if n.knows {
			return // nothing of a job that is over is launched
		}
		a, ok := md.bound(s, c, m)
		slot := 0
		for slot < len(n.direct) && n.direct[slot].on {
			slot++
		}
		if !ok || slot == len(n.direct) {
			continue
		}
		st := md.standing(s, c, m)
		if md.d.anyDirect && st.Held && st.TokenSeen && !st.LaunchInDoubt && a.Epoch == st.Epoch || st.MayLaunchDirectly(a) {
			n.direct[slot] = launch{on: true, m: m, token: md.token(s, c, m), session: n.v[m].session, try: uint8(a.Number)}
			if md.d.oneSlot {
				n.v[m].direct = 0
			}
			n.v[m].direct |= 1 << a.Number
		}
	}
}

// receive has a controller take a report; it tells what the answer carries.
func (md *model) receive(s *world, c, m uint8, r report) (x exchange) {
	n, v := &s.c[c], &s.c[c].v[m]
	if s.over && !n.knows && !md.d.noHorizon {
		return x // the last proof is older than the horizon
	}
	head := Heartbeat{Token: uint64(r.baton), Epoch: uint64(r.shift), Sequence: uint64(r.tally)}
	a, isBound := md.bound(s, c, m)
	if k := md.held(s, c, m); k.owner == c+1 && k.life < n.life && !v.adopted && r.baton == k.token && n.claim.kind == 0 &&
		(!isBound || md.d.adoptAll || Adoptable(head, a, r.loads[a.Number] != nothing)) {
		*v = view{adopted: true, proved: true}
		for t, l := range r.loads {
			if l != nothing && !md.d.adoptBlind {
				v.direct |= 1 << t
			}
		}
	}
	for t := range r.loads { // see the core's voidLaunches
		if n.knows && v.direct>>t&1 == 1 && r.loads[t] == nothing && !md.d.noVoid {
			v.tainted = true
		}
	}
	st := md.standing(s, c, m)
	hearing := st.JudgeHeartbeat(head)
	switch hearing {
	case NeedsClaim:
		if n.claim.kind == 0 {
			n.claim = txn{kind: claiming, m: m, ifClaim: n.known[m], ifGroups: md.held(s, c, m).groups, again: st.Held && v.proved}
		}
		return x
	case Stale:
		return x
	}
	v.session, v.tally = r.shift, r.tally
	token := md.token(s, c, m)
	if r.baton == token && !v.shown {
		v.shown = true
	}
	x = exchange{r: r, answered: true, token: token}
	// Our clock starts with the report's arrival: what the worker has sent and begun by
	// now is covered by it, however old this report is.
	v.answered, v.answeredIn = s.w[m].tally, s.w[m].session
	for t, l := range r.loads { // every answer stops what is over
		if n.knows && l == running && !md.d.noKill {
			x.kill |= 1 << t
		}
	}
	if n.knows && isBound && !md.d.noUnlisted && !md.d.noKill {
		x.kill |= 1 << a.Number // also one that the report lacks, as a launch has overtaken it
	}
	if hearing != Trust {
		if !isBound || md.d.unheard {
			if md.d.unheard && isBound && r.loads[a.Number] == nothing { // what an unbelieved list lacks
				n.p = proposal{uint8(NewerEpoch), m, uint8(a.Epoch), uint8(a.Number), token}
			}
			return x
		}
		if act, kind := JudgeEarlierEpoch(head, a); act == Release {
			n.p = proposal{uint8(kind), m, uint8(a.Epoch), uint8(a.Number), token}
		}
		return x
	}
	st = md.standing(s, c, m)
	listed := false
	for t := 1; t <= attempts; t++ {
		if r.loads[t] == nothing {
			continue
		}
		listed = listed || isBound && a.Epoch == uint64(r.shift) && a.Number == t
		act, kind := st.JudgeListed(head, ListedAttempt{Number: t, Ended: r.loads[t] == ended}, a, isBound, v.direct>>t&1 == 1 && !md.d.noDirect)
		switch act {
		case Kill:
			x.kill |= 1 << t
		case Forget:
			x.forget |= 1 << t
		case RenewToken:
			v.tainted = true
		case Release:
			n.p = proposal{uint8(kind), m, uint8(a.Epoch), uint8(a.Number), token}
		case Keep:
			if n.unwanted || n.knows && !md.d.noKill {
				x.kill |= 1 << t
			}
		}
	}
	if isBound && !listed {
		switch act, kind := st.JudgeMissing(head, a, v.direct>>a.Number&1 == 1 && !md.d.noDirect, !n.unwanted && !n.knows, n.p.kind != 0 || n.page.kind != 0); act {
		case Release:
			n.p = proposal{uint8(kind), m, uint8(a.Epoch), uint8(a.Number), token}
		case RenewToken:
			v.tainted = true
		case Launch:
			x.launch = uint8(a.Number)
		}
	}
	return x
}

// start has a worker carry out a launch.
func (w *worker) start(try uint8) {
	if w.loads[try] != nothing {
		return
	}
	w.loads[try] = running
	for t, l := range w.loads {
		if uint8(t) != try && l == running {
			w.loads[try] = ended // refused: busy
		}
	}
}

// execute has a state service carry out a transaction.
func (md *model) execute(s *world, c uint8, t *txn) (done uint8) {
	_, task := s.truth(taskKey)
	_, claim := s.truth(t.m)
	if t.kind == placing && s.cancelled {
		return 2
	}
	if t.kind == grouping {
		if _, stamp := s.truth(t.group); stamp > 0 {
			return 2
		}
		s.write(change{t.group + 1, c + 1, s.c[c].life, 0, 0})
		return 1
	}
	if t.kind != claiming && task != t.ifTask && !md.d.noStamp || t.ifClaim != unconditional && (claim != t.ifClaim || md.passed(s, t)) {
		return 2
	}
	switch t.kind {
	case claiming:
		s.write(change{t.m + 1, c + 1, s.c[c].life, 0, 0})
	case releasing:
		s.write(change{taskKey + 1, 0, t.try, 0, 0})
	case placing:
		s.write(change{taskKey + 1, 1, t.try, t.m, t.session})
	}
	return 1
}

// passed tells whether a machine has changed hands by its group since a transaction was built.
func (md *model) passed(s *world, t *txn) bool {
	if md.d.noGroups && t.kind != claiming || md.d.noClaimGroups && t.kind == claiming {
		return false
	}
	for _, g := range t.ifGroups {
		if g.key == 0 {
			continue
		}
		if _, stamp := s.truth(g.key); stamp != g.stamp {
			return true
		}
	}
	return false
}

func (md *model) next(s *world, emit func(world)) {
	var t world
	try := func(do func()) {
		t = *s
		do()
		emit(t)
	}
	for c := uint8(0); c < controllers; c++ {
		md.nextController(s, &t, c, try)
	}
	for m := uint8(0); m < md.b.machines; m++ {
		if !s.w[m].gone {
			md.nextWorker(s, &t, m, try)
		}
	}
	if md.b.cancels {
		md.nextCancel(s, &t, try)
	}
}

// nextCancel is what becomes of a cancellation. Time is not counted, but for this: a worker that nobody
// has answered since the horizon passed has ended everything when cancel_s passes.
func (md *model) nextCancel(s, t *world, try func(func())) {
	switch {
	case !s.cancelled && s.rev < md.b.revs:
		try(func() { t.cancelled = true; t.write(change{}) })
	case s.cancelled && !s.told:
		try(func() { t.told = true })
	case s.told && !s.over:
		try(func() {
			t.over = true
			for m := range t.w {
				t.w[m].fresh = false
			}
		})
	case s.over && !s.due:
		for m := uint8(0); m < md.b.machines; m++ {
			if !s.w[m].gone && !s.w[m].fresh {
				return
			}
		}
		try(func() { t.due = true })
	}
	for c := range s.c {
		if s.cancelled && !s.c[c].knows {
			try(func() { t.c[c].knows = true }) // a peer names it
		}
	}
}

func (md *model) nextController(s, t *world, c uint8, try func(func())) {
	n := &s.c[c]
	// The watch is answered, with any prefix that holds what there was when it was opened.
	for l := max(n.ledger, n.opened); l <= s.rev; l++ {
		if l == n.ledger && (n.v[0].proved || !n.v[0].before) && (n.v[1].proved || !n.v[1].before) && n.v[0].before == n.v[0].shown && n.v[1].before == n.v[1].shown {
			continue // nothing would change
		}
		try(func() {
			n := &t.c[c]
			for rev := n.ledger + 1; rev <= l; rev++ {
				if t.hist[rev].key == 0 {
					n.ledger, n.knows = rev, true
					continue
				}
				md.learn(t, c, t.hist[rev].key-1, rev, true)
			}
			for m := range n.v {
				n.v[m].proved = n.v[m].proved || n.v[m].before && n.v[m].shown
				n.v[m].before = n.v[m].shown
			}
			n.opened = t.rev
		})
	}
	md.nextTxn(s, t, c, try, func(n *controller) *txn { return &n.claim })
	md.nextTxn(s, t, c, try, func(n *controller) *txn { return &n.page })
	if n.late.kind != 0 && s.rev < md.b.revs {
		try(func() {
			md.execute(t, c, &t.c[c].late)
			t.c[c].late = txn{}
		})
	}
	if n.page.kind == 0 && n.p.kind != 0 { // a proposal goes into a transaction
		try(func() {
			n, p := &t.c[c], t.c[c].p
			a, ok := md.bound(t, c, p.m)
			found := Evidence{Proof(p.kind), uint64(p.token)}
			if md.d.noToken {
				found.Token = uint64(md.token(t, c, p.m))
			}
			may, onClaim := md.standing(t, c, p.m).MayRelease(found)
			if !ok || a.Epoch != uint64(p.session) || a.Number != int(p.try) || !may {
				n.p = proposal{}
				return
			}
			n.page = txn{kind: releasing, m: p.m, try: p.try, ifTask: n.known[taskKey], ifClaim: unconditional}
			if onClaim && !md.d.noClaim {
				n.page.ifClaim, n.page.ifGroups = n.known[p.m], md.held(t, c, p.m).groups
			}
		})
	}
	task := s.of(c, taskKey)
	for m := uint8(0); m < md.b.machines; m++ {
		st, v := md.standing(s, c, m), &n.v[m]
		_, bound := md.bound(s, c, m)
		if task.a == 0 && task.b < md.b.tries && n.page.kind == 0 && st.Held && v.shown && (n.claim.kind == 0 || n.claim.m != m) {
			try(func() {
				t.c[c].page = txn{kind: placing, m: m, try: task.b + 1, session: v.session, ifTask: n.known[taskKey], ifClaim: n.known[m],
					ifGroups: md.held(t, c, m).groups}
			})
		}
		if bound && st.Held && !n.unwanted && !md.b.quiet {
			try(func() { t.c[c].unwanted = true })
		}
		// The lease has ended if the worker is in a later session, or somebody else has
		// renewed it: then our clock may say so all the same.
		w := &s.w[m]
		if !md.b.quiet && bound && task.d <= v.session && n.p.kind == 0 && n.page.kind == 0 && (w.gone || w.session > v.answeredIn || w.renewed > v.answered) &&
			st.LeaseExpired(time.Hour, time.Duration(v.answered), time.Minute) {
			try(func() { t.c[c].p = proposal{uint8(LeaseExpired), m, task.d, task.b, md.token(t, c, m)} })
		}
		if h := md.held(s, c, m); h.next > 0 && h.owner != c+1 && n.claim.kind == 0 && s.takeovers < md.b.takeovers {
			try(func() {
				t.c[c].claim = txn{kind: grouping, m: m, group: h.next}
				t.takeovers++
			})
		}
		if bound && w.gone && n.p.kind == 0 && n.page.kind == 0 {
			try(func() { t.c[c].p = proposal{uint8(MachineDeleted), m, task.d, task.b, md.token(t, c, m)} })
		}
	}
	for i, d := range n.direct {
		if !d.on {
			continue
		}
		deliver := func(t *world) {
			if w := &t.w[d.m]; !w.gone && d.token >= w.baton && d.session == w.session {
				w.baton = d.token
				w.start(d.try)
			}
		}
		try(func() { // carried out, answered or not
			deliver(t)
			n, w := &t.c[c], &t.w[d.m]
			w.tally++
			if v := &n.v[d.m]; !d.late && md.token(t, c, d.m) == d.token {
				v.direct &^= 1 << d.try
				v.directIn, v.directAt = w.session, w.tally
			}
			n.direct[i] = launch{}
		})
		if !d.late {
			try(func() {
				deliver(t)
				t.w[d.m].tally++
				md.taint(t, c, d)
				t.c[c].direct[i] = launch{}
			})
			try(func() {
				md.taint(t, c, d)
				t.c[c].direct[i].late = true
			})
		}
	}
	if s.crashes < md.b.crashes {
		for _, late := range []txn{n.late, n.page, n.claim} {
			if late.done != 0 {
				late = txn{}
			}
			try(func() {
				d := t.c[c].direct
				for i := range d {
					d[i].late = d[i].on
				}
				t.c[c] = controller{life: n.life + 1, ledger: t.rev, opened: t.rev, late: late, direct: d, knows: t.cancelled}
				for k := range uint8(keys) {
					_, t.c[c].known[k] = t.truth(k)
				}
				t.crashes++
			})
		}
	}
}

// taint notes that a direct launch was not answered.
func (md *model) taint(s *world, c uint8, d launch) {
	if md.token(s, c, d.m) == d.token {
		s.c[c].v[d.m].tainted = true
	}
}

// nextTxn is what may become of a transaction under way.
func (md *model) nextTxn(s, t *world, c uint8, try func(func()), which func(*controller) *txn) {
	x := *which(&s.c[c])
	switch {
	case x.kind == 0:
	case x.done == 0:
		if s.rev < md.b.revs {
			try(func() { which(&t.c[c]).done = md.execute(t, c, &x) })
		}
		if md.b.quiet {
			return
		}
		try(func() { // given up; it may be applied late
			if t.c[c].late.kind == 0 {
				t.c[c].late = x
			}
			*which(&t.c[c]) = txn{}
		})
	default:
		if !md.b.quiet {
			try(func() { *which(&t.c[c]) = txn{} }) // its answer is lost
		}
		try(func() {
			n := &t.c[c]
			*which(n) = txn{}
			key := uint8(taskKey)
			switch x.kind {
			case claiming:
				key = x.m
			case grouping:
				key = x.group
			}
			_, stamp := t.truth(key)
			if x.done == 2 {
				if x.kind == claiming {
					md.learn(t, c, key, stamp, false) // it is read
				}
				return
			}
			// The answer tells the revision that it made; what came later is not known.
			for stamp = t.rev; stamp > 0; stamp-- {
				if h := t.hist[stamp]; h.key == key+1 && md.made(h, c, n, x) {
					break
				}
			}
			if x.kind == releasing {
				n.p = proposal{}
			}
			md.learn(t, c, key, stamp, false)
			if x.kind == claiming && n.known[key] == stamp {
				n.v[x.m] = view{proved: x.again}
			}
		})
	}
}

// made tells whether a revision is what a transaction wrote.
func (md *model) made(h change, c uint8, n *controller, x txn) bool {
	switch x.kind {
	case claiming, grouping:
		return h.a == c+1 && h.b == n.life
	case releasing:
		return h.a == 0 && h.b == x.try
	}
	return h.a == 1 && h.b == x.try && h.c == x.m
}

func (md *model) nextWorker(s, t *world, m uint8, try func(func())) {
	w := &s.w[m]
	switch x := w.x; {
	case !x.r.on && w.tally < md.b.tallies:
		for c := uint8(0); c < controllers; c++ {
			try(func() {
				w := &t.w[m]
				w.tally++
				w.x = exchange{r: report{true, t.over, c, w.session, w.tally, w.baton, w.loads}}
			})
		}
	case x.r.on && !x.answered:
		try(func() { t.w[m].x = md.receive(t, x.r.c, m, x.r) })
		if !md.b.quiet {
			try(func() { t.w[m].x = exchange{} })
		}
		if !w.held.on && s.holds < md.b.holds {
			try(func() { t.w[m].x, t.w[m].held = exchange{}, x.r; t.holds++ })
		}
	case x.answered:
		if !md.b.quiet {
			try(func() { t.w[m].x = exchange{} }) // late: dropped
		}
		try(func() {
			w := &t.w[m]
			w.x = exchange{}
			if x.token < w.baton || x.r.shift != w.session {
				return
			}
			w.baton, w.renewed, w.fresh = x.token, x.r.tally, w.fresh || x.r.after
			for i := 1; i <= attempts; i++ {
				if x.forget>>i&1 == 1 && w.loads[i] == ended {
					w.loads[i] = nothing
				}
				if x.kill>>i&1 == 1 && w.loads[i] == running {
					w.loads[i] = ended
				}
			}
			if x.launch > 0 {
				w.start(x.launch)
			}
		})
	}
	if w.held.on {
		try(func() {
			md.receive(t, w.held.c, m, w.held)
			t.w[m].held = report{}
		})
	}
	if w.session < md.b.sessions {
		try(func() {
			t.w[m].session++
			t.w[m].fresh = true
			t.w[m].loads = [attempts + 1]uint8{}
		})
	}
	for i := 1; i <= attempts; i++ {
		if w.loads[i] == running {
			try(func() { t.w[m].loads[i] = ended })
		}
	}
	if s.deletions < md.b.deletions {
		try(func() { t.w[m] = worker{gone: true}; t.deletions++ })
	}
}

func (md *model) broken(s *world) string {
	task, _ := s.truth(taskKey)
	for m := range s.w {
		for i, l := range s.w[m].loads {
			if l == running && s.due {
				return fmt.Sprintf("attempt %d of a cancelled job runs on machine %d after cancel_s", i, m)
			}
			if l == running && (task.a != 1 || task.c != uint8(m) || task.b != uint8(i) || task.d != s.w[m].session) {
				return fmt.Sprintf("attempt %d runs on machine %d in session %d, the record says %s", i, m, s.w[m].session, task.task())
			}
		}
	}
	return ""
}

func (h change) task() string {
	if h.a == 0 {
		return fmt.Sprintf("pending after attempt %d", h.b)
	}
	return fmt.Sprintf("attempt %d on machine %d in session %d", h.b, h.c, h.d)
}

// label says what a step did, from what differs.
func label(a, b *world) string {
	out := ""
	for rev := a.rev + 1; rev <= b.rev; rev++ {
		if h := b.hist[rev]; h.key == 0 {
			out += fmt.Sprintf("revision %d: the job is cancelled; ", rev)
		} else if h.key == taskKey+1 {
			out += fmt.Sprintf("revision %d: the task is %s; ", rev, h.task())
		} else if h.key > groupKey {
			out += fmt.Sprintf("revision %d: controller %d, life %d, takes over what controller %d, life %d, holds; ", rev, h.a-1, h.b,
				(h.key-1-groupKey)/lives, (h.key-1-groupKey)%lives+1)
		} else {
			out += fmt.Sprintf("revision %d: machine %d is claimed by controller %d, life %d; ", rev, h.key-1, h.a-1, h.b)
		}
	}
	for _, e := range []struct {
		was, is bool
		text    string
	}{{a.told, b.told, "its user is told; "}, {a.over, b.over, "the horizon passes; "}, {a.due, b.due, "cancel_s passes; "}} {
		if e.is && !e.was {
			out += e.text
		}
	}
	for c := range b.c {
		if b.c[c].knows && !a.c[c].knows {
			out += fmt.Sprintf("controller %d knows of the cancellation; ", c)
		}
		x, y := &a.c[c], &b.c[c]
		switch {
		case x.life != y.life:
			out += fmt.Sprintf("controller %d crashes; ", c)
			continue
		case x.ledger != y.ledger:
			out += fmt.Sprintf("controller %d's watch reaches %d of %d; ", c, y.ledger, b.rev)
		case x.opened != y.opened:
			out += fmt.Sprintf("controller %d's watch brings nothing; ", c)
		}
		if y.p.kind != 0 && x.p != y.p {
			out += fmt.Sprintf("controller %d finds %v of attempt %d on machine %d under token %d; ", c, Proof(y.p.kind), y.p.try, y.p.m, y.p.token)
		}
		for i, kind := range [][2]txn{{x.claim, y.claim}, {x.page, y.page}, {x.late, y.late}} {
			what := [...]string{"", "a claim", "a release", "a placement", "a take-over of the group"}
			switch u, v := kind[0], kind[1]; {
			case u.kind == 0 && v.kind != 0 && i < 2:
				out += fmt.Sprintf("controller %d sends %s of machine %d; ", c, what[v.kind], v.m)
			case u.kind == 0 && v.kind != 0:
				out += fmt.Sprintf("controller %d gives up on %s, which may come late; ", c, what[v.kind])
			case u.done == 0 && v.done == 2:
				out += fmt.Sprintf("controller %d's %s is refused; ", c, what[u.kind][2:])
			case u.kind != 0 && v.kind == 0 && u.done == 1 && i < 2:
				out += fmt.Sprintf("controller %d is done with %s; ", c, what[u.kind])
			}
		}
		for i := range x.direct {
			switch u, v := x.direct[i], y.direct[i]; {
			case v.on && !u.on:
				out += fmt.Sprintf("controller %d launches attempt %d on machine %d directly, token %d; ", c, v.try, v.m, v.token)
			case u.on && !v.on:
				out += fmt.Sprintf("controller %d's direct launch of attempt %d arrives; ", c, u.try)
			case v.late && !u.late:
				out += fmt.Sprintf("controller %d gives up on its direct launch of attempt %d; ", c, u.try)
			}
		}
		if y.unwanted && !x.unwanted {
			out += fmt.Sprintf("controller %d wants the task stopped; ", c)
		}
	}
	for m := range b.w {
		x, y := &a.w[m], &b.w[m]
		switch {
		case y.gone != x.gone:
			out += fmt.Sprintf("machine %d is deleted; ", m)
			continue
		case y.session != x.session:
			out += fmt.Sprintf("machine %d's lease ends; ", m)
		case y.held.on && !x.held.on:
			out += fmt.Sprintf("machine %d's report is held back; ", m)
		case x.held.on && !y.held.on:
			out += fmt.Sprintf("controller %d receives machine %d's old report; ", x.held.c, m)
		case y.x.answered:
			if !x.x.answered {
				out += fmt.Sprintf("controller %d answers machine %d with token %d, launch %d, forget %b, kill %b; ", y.x.r.c, m, y.x.token, y.x.launch, y.x.forget, y.x.kill)
			}
		case y.x.r.on && !x.x.r.on:
			out += fmt.Sprintf("machine %d reports %v to controller %d, token %d; ", m, y.x.r.loads[1:], y.x.r.c, y.baton)
		case x.x.r.on && !y.x.r.on:
			out += fmt.Sprintf("machine %d is done with its report; ", m)
		}
		for i := range y.loads {
			if x.loads[i] != y.loads[i] {
				out += fmt.Sprintf("attempt %d on machine %d: %s; ", i, m, [...]string{"gone", "runs", "ended"}[y.loads[i]])
			}
		}
	}
	return out
}

// begun is a world in which controller 0 holds machine 0 and the task runs there.
func begun() world {
	var s world
	s.write(change{1, 1, 1, 0, 0})
	s.write(change{taskKey + 1, 1, 1, 0, 1})
	for c := range s.c {
		s.c[c].life, s.c[c].ledger, s.c[c].opened, s.c[c].since = 1, 2, 2, 2
		s.c[c].known = [keys]uint8{0: 1, taskKey: 2}
	}
	s.c[0].v[0] = view{shown: true, proved: true, before: true, session: 1, tally: 1, answered: 1, answeredIn: 1}
	for m := range s.w {
		s.w[m].session = 1
	}
	s.w[0].baton, s.w[0].tally, s.w[0].renewed = 1, 1, 1
	s.w[0].loads[1] = running
	return s
}

// ended is the same when the task has ended there and its release is committed, which
// controller 1 does not know and the worker has not been told.
func endedThere() world {
	s := begun()
	s.w[0].loads[1] = ended
	s.write(change{taskKey + 1, 0, 1, 0, 0})
	s.c[0].ledger, s.c[0].opened, s.c[0].known[taskKey], s.c[0].since = 3, 3, 3, 3
	return s
}

// endedBefore is the same when controller 1 has not even learnt that it was bound.
func endedBefore() world {
	s := endedThere()
	s.c[1].ledger, s.c[1].opened, s.c[1].known[taskKey], s.c[1].since = 1, 1, 0, 0
	return s
}

// endingThere is the same while the release is under way.
func endingThere() world {
	s := begun()
	s.w[0].loads[1] = ended
	s.c[0].page = txn{kind: releasing, try: 1, ifTask: 2, ifClaim: unconditional}
	s.c[0].p = proposal{uint8(Ended), 0, 1, 1, 1}
	return s
}

// launchedThere is the same when controller 0 has sent a direct launch and given up on
// it; a report's answer has launched the attempt, or nothing has.
func launchedThere(runs uint8) func() world {
	return func() world {
		s := begun()
		s.w[0].loads[1] = runs
		s.c[0].direct[0] = launch{on: true, late: true, token: 1, session: 1, try: 1}
		s.c[0].v[0].direct, s.c[0].v[0].tainted = 1<<1, true
		return s
	}
}

// launchingThere is the same while the launch may still be answered.
func launchingThere() world {
	s := launchedThere(running)()
	s.c[0].direct[0].late, s.c[0].v[0].tainted = false, false
	return s
}

// launchingNow is the same, and nothing has launched it yet.
func launchingNow() world {
	s := launchingThere()
	s.w[0].loads[1] = nothing
	return s
}

// claimedAside is a world in which controller 0 has restarted and claimed machine 0 alone,
// out of the group of its earlier life, and controller 1 does not know it yet.
func claimedAside() world {
	s := begun()
	s.write(change{1, 1, 2, 0, 0})
	s.c[0].life, s.c[0].ledger, s.c[0].opened, s.c[0].known[0] = 2, 3, 3, 3
	s.c[0].v[0] = view{shown: true, proved: true, before: true, session: 1, tally: 2, answered: 2, answeredIn: 1}
	s.w[0].baton, s.w[0].tally, s.w[0].renewed = 3, 2, 2
	return s
}

// takenOver is a world in which controller 1 has taken controller 0's group over, the task has
// ended, and its release is under way; controller 0 knows of none of it, and is about to renew
// its token, as the worker has shown it a higher one.
func takenOver() world {
	s := begun()
	s.write(change{groupKey + 1, 2, 1, 0, 0})
	s.takeovers = 1
	s.c[1].ledger, s.c[1].opened, s.c[1].known[groupKey] = 3, 3, 3
	s.c[1].v[0] = view{shown: true, proved: true, before: true, session: 1, tally: 2, answered: 2, answeredIn: 1}
	s.c[1].page = txn{kind: releasing, try: 1, ifTask: 2, ifClaim: unconditional}
	s.c[1].p = proposal{uint8(Ended), 0, 1, 1, 3}
	s.c[0].claim = txn{kind: claiming, ifClaim: 1, ifGroups: [chain]stamped{{key: groupKey}}, again: true}
	s.w[0].baton, s.w[0].tally, s.w[0].renewed = 3, 2, 2
	s.w[0].loads[1] = ended
	s.w[0].tally = 3
	s.w[0].x.r = report{on: true, c: 1, shift: 1, tally: 3, baton: 3, loads: s.w[0].loads}
	return s
}

func (md *model) walk(start func() world, limit int) modelcheck.Result {
	return modelcheck.Run(modelcheck.Model[world]{Start: start(), Next: md.next, Broken: md.broken, Label: label}, limit)
}

// limitOf is how many states a walk may see: SIM_STATES, for walks outside CI.
func limitOf(n int) int {
	if v, err := strconv.Atoi(os.Getenv("SIM_STATES")); err == nil {
		return v
	}
	return n
}

// walks are the worlds that are explored: one machine deeply, two less so, and from
// moments on where little is left to happen.
var walks = []struct {
	name  string
	start func() world
	b     bounds
}{
	{"one machine", begun, bounds{machines: 1, revs: 6, tries: 2, sessions: 2, tallies: 4, crashes: 1, holds: 1}},
	{"one session", begun, bounds{machines: 1, revs: 7, tries: 2, sessions: 1, tallies: 6}},
	{"two machines", begun, bounds{machines: 2, revs: 6, tries: 2, sessions: 2, tallies: 3, crashes: 1, deletions: 1, holds: 1}},
	{"after an ending", endedThere, bounds{machines: 1, revs: 5, tries: 1, sessions: 1, tallies: 5}},
	{"after an ending, far behind", endedBefore, bounds{machines: 1, revs: 5, tries: 1, sessions: 1, tallies: 5}},
	{"during an ending", endingThere, bounds{machines: 1, revs: 4, tries: 1, sessions: 1, tallies: 6}},
	{"after a launch", launchedThere(running), bounds{machines: 1, revs: 4, tries: 1, sessions: 1, tallies: 4, crashes: 1}},
	{"after a launch that has not come", launchedThere(nothing), bounds{machines: 1, revs: 4, tries: 1, sessions: 1, tallies: 4, crashes: 1}},
	{"a cancellation", begun, bounds{machines: 1, revs: 5, tries: 1, sessions: 2, tallies: 4, crashes: 1, holds: 1, cancels: true}},
	{"a cancellation and a launch that may come", launchingNow, bounds{machines: 1, revs: 5, tries: 1, sessions: 2, tallies: 4, cancels: true}},
	{"a cancellation and a launch that was given up", launchedThere(nothing), bounds{machines: 1, revs: 5, tries: 1, sessions: 2, tallies: 4, crashes: 1, cancels: true}},
	{"a take-over", begun, bounds{machines: 1, revs: 6, tries: 2, sessions: 2, tallies: 4, holds: 1, takeovers: 1}},
	{"a take-over beside a claim", claimedAside, bounds{machines: 1, revs: 5, tries: 1, sessions: 1, tallies: 5, takeovers: 1}},
	{"a claim beside a take-over", takenOver, bounds{machines: 1, revs: 5, tries: 1, sessions: 1, tallies: 5, takeovers: 1, quiet: true}},
	{"a take-over and one back", begun, bounds{machines: 1, revs: 7, tries: 1, sessions: 2, tallies: 4, takeovers: 2}},
	{"a take-over of two", begun, bounds{machines: 2, revs: 5, tries: 2, sessions: 2, tallies: 3, takeovers: 1}},
	{"a take-over after an ending, far behind", endedBefore, bounds{machines: 1, revs: 6, tries: 1, sessions: 1, tallies: 5, takeovers: 1}},
	{"a take-over during a launch", launchingThere, bounds{machines: 1, revs: 5, tries: 1, sessions: 1, tallies: 4, takeovers: 1}},
	{"during a launch", launchingThere, bounds{machines: 1, revs: 6, tries: 2, sessions: 1, tallies: 5}},
}

// TestNothingRunsThatIsNotBound walks the model with the code as it is.
func TestNothingRunsThatIsNotBound(t *testing.T) {
	for _, w := range walks {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			r := (&model{b: w.b}).walk(w.start, limitOf(200_000))
			t.Logf("%+v: %v", w.b, r)
			if r.Broken != "" {
				t.Error("the promise is broken")
			}
		})
	}
}

// defects are what the walk must find, each in the fewest steps.
var defects = []defect{
	{name: "a release without the claim's condition", in: "one machine", noClaim: true},
	{name: "evidence that does not name its token", in: "one session", noToken: true},
	{name: "a release without the record's condition, as if built again after an unknown outcome", in: "one session", noStamp: true},
	{name: "reports believed before the mirror has reached the claim", in: "after an ending", noLedger: true, unproved: true},
	{name: "launches of what an earlier holder may have ended", in: "during an ending", unproved: true},
	{name: "direct launches of whatever the record shows", in: "after an ending, far behind", anyDirect: true},
	{name: "an attempt forgotten or released while its direct launch is unanswered", in: "one session", noDirect: true},
	{name: "one place for a task's unanswered launch", in: "during a launch", oneSlot: true},
	{name: "absence proved by a report that a launch has overtaken", in: "one session", overtaken: true},
	{name: "a claim of an earlier life adopted whatever the worker lists", in: "after a launch that has not come", adoptAll: true},
	{name: "an adopted claim without the launches that the earlier life may have left", in: "after a launch", adoptBlind: true},
	{name: "absence proved by a report that is not believed", in: "after a launch that has not come", unheard: true},
	{name: "a lease renewed under the old token while a cancelled launch may come", in: "a cancellation and a launch that may come", noVoid: true},
	{name: "stops for listed attempts alone, when a launch has overtaken the report", in: "a cancellation and a launch that may come", noUnlisted: true},
	{name: "answers that do not stop what is cancelled", in: "a cancellation", noKill: true},
	{name: "answers on a proof that is older than the horizon", in: "a cancellation", noHorizon: true},
	{name: "a lease that ends although the token was never shown", in: "one session", leaseUnshown: true},
	{name: "a take-over that is heeded before the mirror is complete up to it", in: "a take-over beside a claim", heedAtOnce: true},
	{name: "a release without the condition that the group has not passed on", in: "a take-over", noGroups: true},
	{name: "a claim without that condition", in: "a claim beside a take-over", noClaimGroups: true},
}

// TestTheWalkFindsDefects breaks one condition at a time.
func TestTheWalkFindsDefects(t *testing.T) {
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for _, w := range walks {
				if w.name != d.in {
					continue
				}
				r := (&model{b: w.b, d: d}).walk(w.start, limitOf(600_000))
				t.Logf("%+v: %v", w.b, r)
				if r.Broken != "" {
					return
				}
			}
			t.Error("not found")
		})
	}
}
