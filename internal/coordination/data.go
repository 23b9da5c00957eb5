package coordination

import (
	"cmp"
	"encoding/json"
	"net/url"
	"slices"
	"strings"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/dataset"
	"silvergate/internal/datastore"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/staging"
)

// data is the seam between the core and the planner of data sets: it turns
// records and reports into what the planner knows, and the planner's answers
// into expected times and orders. It owns the planner and the mirror of the
// versions. A nil one is a site without data sets: every method then does
// nothing, and nothing is different from what it was.
type data struct {
	c         *Core
	p         *staging.Planner
	sets      map[string]*protocol.DataSet // by set/version
	latest    map[string]*protocol.DataSet // by set
	byCopy    map[staging.ID]*protocol.DataSet
	announced map[string]*announcement
	since     map[taskKey]time.Duration // tasks that wait for a machine with their inputs
	ahead     map[ahead]string          // the job for which a copy is brought before a task is bound
	tickAt    time.Duration
}

// ahead is a copy on its way to a machine.
type ahead struct {
	machine string
	copy    staging.ID
}

type announcement struct {
	protocol.Staging
	AtMS   int64 `json:"atMs"` // when it should be there, by the day's clock
	stamp  uint64
	ending bool // its record's end is being written
}

const (
	keyData    = bookkeeping.MirroredPrefix + "d/"
	keyStaging = bookkeeping.MirroredPrefix + "s/"
)

func newData(c *Core) *data {
	s := c.cfg.Operator.Staging
	if s == nil {
		return nil
	}
	cfg := staging.Config{Controllers: 1 + len(c.cfg.Peers), ServerStreams: s.ServerStreams, PeerStreams: s.PeerStreams,
		MachineStreams: s.MachineStreams, Rate: s.RateMBPerS * 1e6, Report: seconds(c.cfg.Facts.Workers.Report)}
	sum := func(ids []staging.ID) string {
		out := make([]dataset.ID, len(ids))
		for i, id := range ids {
			out[i] = dataset.ID(id)
		}
		return datastore.DigestOf(out)
	}
	return &data{c: c, p: staging.New(cfg, sum, c.rnd), sets: map[string]*protocol.DataSet{}, latest: map[string]*protocol.DataSet{}, byCopy: map[staging.ID]*protocol.DataSet{},
		announced: map[string]*announcement{}, since: map[taskKey]time.Duration{}, ahead: map[ahead]string{}}
}

// applySet and applyStaging take records.
func (d *data) applySet(name string, raw json.RawMessage) {
	if d == nil || raw == nil {
		return
	}
	s := &protocol.DataSet{}
	if !decode(d.c.log, keyData+name, raw, s) || s.Check() != nil {
		return
	}
	d.sets[name] = s
	d.byCopy[staging.ID(s.CopyID())] = s
	if l := d.latest[s.Set]; l == nil || s.AtMS > l.AtMS || s.AtMS == l.AtMS && s.Version > l.Version {
		d.latest[s.Set] = s
	}
	d.p.SetCopy(d.c.now, staging.Copy{ID: staging.ID(s.CopyID()), Bytes: s.Bytes, Servers: s.Sources})
}

func (d *data) applyStaging(name string, raw json.RawMessage, stamp uint64) {
	if d == nil {
		return
	}
	if raw == nil {
		delete(d.announced, name)
		return
	}
	a := &announcement{stamp: stamp}
	if decode(d.c.log, keyStaging+name, raw, a) {
		d.announced[name] = a
	}
}

// resolve replaces the inputs' versions by what they stand for now, and tells
// the first that is not known.
func (d *data) resolve(s *job.Spec, x *job.Extra) (missing string) {
	for i := range x.Inputs {
		in := &x.Inputs[i]
		if d == nil {
			return in.Set
		}
		v := d.sets[in.Set+"/"+in.Version]
		if in.Version == protocol.LatestVersion {
			v = d.latest[in.Set]
		}
		if v == nil {
			return in.Set + "/" + in.Version
		}
		in.Version = v.Version
		s.Inputs = append(s.Inputs, v.Set+"/"+v.Version)
	}
	return ""
}

// copies are the versions that a job's tasks read.
func (d *data) copies(s *job.Spec) []staging.ID {
	if d == nil || len(s.Inputs) == 0 {
		return nil
	}
	out := make([]staging.ID, 0, len(s.Inputs))
	for _, name := range s.Inputs {
		if v := d.sets[name]; v != nil {
			out = append(out, staging.ID(v.CopyID()))
		}
	}
	return out
}

// wait is how long a task would wait for its inputs on a machine, in seconds.
func (d *data) wait(s *job.Spec, m *machine) float64 {
	if d == nil || len(s.Inputs) == 0 {
		return 0
	}
	return d.p.Expect(d.c.now, m.id, d.copies(s)).Seconds()
}

// class is how urgent a job's data is.
func class(p job.Priority) staging.Class {
	if p >= job.High {
		return staging.Urgent
	}
	return staging.Normal
}

// bound has the inputs of a task that was placed on a machine of ours fetched.
func (d *data) bound(m *machine, s *job.Spec) {
	if d == nil || len(s.Inputs) == 0 || !d.c.mine(m) {
		return
	}
	for _, id := range d.copies(s) {
		d.p.Want(d.c.now, m.id, id, class(s.Priority), s.Team, 0)
	}
}

// lost forgets a machine.
func (d *data) lost(id string) {
	if d != nil {
		d.p.Lost(d.c.now, id)
	}
}

// report takes what a machine of ours says of its store, and answers with what
// it is to fetch.
func (d *data) report(m *machine, r *protocol.StoreReport) *protocol.StoreOrders {
	if d == nil || r == nil {
		return nil
	}
	d.p.Join(m.id, m.claim.Zone, m.claim.Address)
	in := staging.Report{Digest: r.Digest, Listed: r.Listed}
	for _, id := range r.Copies {
		in.List = append(in.List, staging.ID(id))
	}
	for _, p := range r.Pulls {
		in.Pulls = append(in.Pulls, staging.Pull{ID: staging.ID(p.Copy), Done: p.Done, Total: p.Total, Rate: p.Rate})
	}
	for _, id := range r.Failed {
		in.Failed = append(in.Failed, staging.ID(id))
	}
	out := &protocol.StoreOrders{List: d.p.Held(d.c.now, m.id, in)}
	for _, o := range d.p.Orders(m.id) {
		if len(out.Fetch) == maxStages {
			break // an answer must fit into a line; the rest comes later
		}
		if v := d.byCopy[o.ID]; v != nil {
			out.Fetch = append(out.Fetch, protocol.StoreFetch{DataSet: *v, Urgent: o.Urgent, Peer: o.Peer, Server: o.Server})
		}
	}
	return out
}

// maxStages bounds the stage orders in one answer.
const maxStages = 64

// freeIn is when a machine will have room for a task, as far as the owners'
// estimates tell.
func (c *Core) freeIn(r *record, m *machine) time.Duration {
	if c.fits(r, m) {
		return 0
	}
	soonest := staging.Never
	for _, k := range m.tasks() {
		s := m.bound[k].spec
		if s.Shape == job.Service || s.CPUs < r.spec.CPUs || s.GPUs < r.spec.GPUs {
			continue
		}
		left := seconds(s.EstimateS)
		if at, ok := m.begun[k]; ok {
			left = max(0, left-(c.now-at))
		}
		soonest = min(soonest, left)
	}
	return soonest
}

// elsewhere tells whether a task should not take room on a machine that lacks
// its inputs, since one that holds them will start it sooner: when it is free,
// or when lower work on it is stopped, which is then done. Exception "where the
// data is": the thesis's servers are alike. Entries are still compared among
// those that a pop would look at, and the wait is bounded by the fetch.
func (d *data) elsewhere(r *record, index int, m *machine) bool {
	if d == nil || len(r.spec.Inputs) == 0 || multi(r) {
		return false
	}
	c, k := d.c, taskKey{r.spec.ID, index}
	copies := d.copies(r.spec)
	fetch := d.p.Expect(c.now, m.id, copies)
	if fetch < c.sweepPeriod() {
		delete(d.since, k)
		return false
	}
	free, holder := staging.Never, ""
	if len(copies) > 0 {
		d.p.Some(copies[0], func(id string) bool {
			h := c.machines[id]
			if h != nil && c.mine(h) && !c.barred(h) && c.couldHold(r, h) && c.zoneOK(r, h.claim.Zone) && d.p.Holds(id, copies) {
				if at := c.freeIn(r, h); at < free {
					free, holder = at, id
				}
			}
			return free > 0
		})
	}
	w := r.waiting[index]
	if w != nil && c.now < w.stopped {
		return true // others are being stopped for it
	}
	stop := staging.Never
	clear, victims := (*machine)(nil), []taskKey(nil)
	if r.spec.Priority > job.Low {
		if clear, victims = c.victims(r, true); clear != nil {
			stop = seconds(c.cfg.Facts.Workers.Report / 4)
			for _, v := range victims {
				stop = max(stop, seconds(2*clear.bound[v].spec.CheckpointSaveS))
			}
		}
	}
	waited := time.Duration(0)
	if at, ok := d.since[k]; ok {
		waited = c.now - at
	}
	switch staging.Choose(fetch, free, stop, waited) {
	case staging.WaitThere:
		if _, ok := d.since[k]; !ok {
			d.since[k] = c.now
		}
		if w == nil {
			c.wait(r, &waiter{key: k, machine: holder})
		}
		return true
	case staging.ClearThere:
		if w == nil {
			w = &waiter{key: k, machine: clear.id}
			c.wait(r, w)
		}
		c.preemptOn(r, w, clear, victims)
		return true
	}
	delete(d.since, k)
	return false
}

// staged bounds how many waiting jobs, and machines of each, one look stages for.
const staged = 16

// tick stages for what waits, for gangs that are gathered, and for what is
// announced.
func (d *data) tick() {
	if d == nil || d.c.now < d.tickAt {
		return
	}
	c := d.c
	d.tickAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
	for k := range d.since {
		if r := c.jobs[k.id]; r == nil || r.final() || r.task(c, k.index).Phase != job.Pending {
			delete(d.since, k)
		}
	}
	seen := 0
	for _, r := range c.turns {
		if len(r.spec.Inputs) == 0 || r.bound+r.finished >= r.spec.Tasks {
			continue
		}
		if seen++; seen > staged {
			break
		}
		if len(r.block) > 0 { // a gang's machines are chosen
			for _, id := range r.block {
				if m := c.machines[id]; m != nil && c.mine(m) {
					d.bound(m, r.spec)
				}
			}
			continue
		}
		if len(r.line) > 0 {
			d.stageFor(r)
		}
	}
	d.withdraw()
	d.announce()
	d.p.Tick(c.now)
}

// withdraw takes back what was brought for tasks that were placed elsewhere:
// what nobody waits for must not take the file servers' rate from others.
func (d *data) withdraw() {
	c := d.c
	list := make([]ahead, 0, len(d.ahead))
	for a := range d.ahead {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y ahead) int {
		return cmp.Or(cmp.Compare(x.machine, y.machine), cmp.Compare(x.copy, y.copy))
	})
	for _, a := range list {
		id := d.ahead[a]
		if d.p.Holds(a.machine, []staging.ID{a.copy}) {
			delete(d.ahead, a) // it is there
			continue
		}
		if r := c.jobs[id]; r != nil && !r.final() && r.bound+r.finished < r.spec.Tasks {
			continue
		}
		delete(d.ahead, a)
		if !d.needed(a) {
			d.p.Unwant(c.now, a.machine, a.copy)
		}
	}
}

// needed tells whether a task on the machine reads the copy, or announced work
// will.
func (d *data) needed(a ahead) bool {
	if m := d.c.machines[a.machine]; m != nil {
		for _, r := range m.bound {
			if slices.Contains(d.copies(r.spec), a.copy) {
				return true
			}
		}
	}
	for _, x := range d.announced {
		if v := d.sets[x.Set+"/"+x.Version]; v != nil && staging.ID(v.CopyID()) == a.copy {
			return true
		}
	}
	return false
}

// met tells whether announced work has come: as many tasks that read the version
// and are as urgent have been placed as machines were asked for.
func (d *data) met(a *announcement) bool {
	placed, name := 0, a.Set+"/"+a.Version
	for _, r := range d.c.jobs {
		if r.spec.Team == a.Team && r.spec.Priority >= protocol.PriorityOf(a.Priority) && slices.Contains(r.spec.Inputs, name) {
			placed += r.bound + r.finished
		}
	}
	return placed >= a.Machines
}

// stageFor brings the inputs of a job that waits to the machines on which its
// tasks can start soonest.
func (d *data) stageFor(r *record) {
	c := d.c
	copies := d.copies(r.spec)
	var list []staging.Candidate
	start := c.rnd.IntN(max(1, len(c.ours)))
	for i := 0; i < len(c.ours) && len(list) < compared; i++ {
		m := c.ours[(start+i)%len(c.ours)]
		if c.barred(m) || !c.couldHold(r, m) || !c.zoneOK(r, m.claim.Zone) {
			continue
		}
		if at := c.freeIn(r, m); at < staging.Never {
			list = append(list, staging.Candidate{Machine: m.id, Free: at})
		}
	}
	bring := staging.Place(list, min(len(r.line), staged), func(m string) time.Duration { return d.p.Expect(c.now, m, copies) },
		func(m string) bool { return d.p.Holds(m, copies) })
	for _, m := range bring {
		for _, id := range copies {
			d.ahead[ahead{m, id}] = r.spec.ID
			d.p.Want(c.now, m, id, class(r.spec.Priority), r.spec.Team, 0)
		}
	}
}

// announce stages for work that will come. Each controller takes its share, by
// the number of its machines; a record is kept until the work has come or its
// time has passed by a lease.
func (d *data) announce() {
	c := d.c
	wall := c.wall.UnixMilli()
	for _, name := range sortedKeys(d.announced) {
		a := d.announced[name]
		v := d.sets[a.Set+"/"+a.Version]
		if v == nil {
			continue
		}
		id := staging.ID(v.CopyID())
		by := c.now + time.Duration(a.AtMS-wall)*time.Millisecond
		if over := c.now - by; over > seconds(c.cfg.Facts.Workers.Lease) || d.met(a) {
			if !a.ending && c.successor(c.cfg.Node) == c.cfg.Node && c.leads() {
				a.ending = true
				c.store.Txn(budget.Background, []protocol.Compare{{Key: keyStaging + name, ModRevision: a.stamp}}, []protocol.Op{{Delete: keyStaging + name}},
					func(bookkeeping.TxnOutcome, []string, uint64) { a.ending = false })
			}
			continue
		}
		all := 0
		for _, n := range c.holders.count {
			all += n
		}
		share := a.Machines
		if all > 0 {
			share = (a.Machines*len(c.ours) + all - 1) / all
		}
		x := staging.Announcement{Copy: id, By: by, Machines: share}
		if c.now < x.Begin(v.Bytes, c.cfg.Operator.Staging.RateMBPerS*1e6, c.cfg.Operator.Staging.PeerStreams) {
			continue
		}
		have := 0
		var list []staging.Candidate
		for _, m := range c.ours {
			if c.barred(m) || a.Zone != nil && m.claim.Zone != *a.Zone {
				continue
			}
			if d.p.Holds(m.id, []staging.ID{id}) {
				have++
			} else if len(list) < compared {
				list = append(list, staging.Candidate{Machine: m.id, Free: time.Duration(len(m.bound)) * time.Second})
			}
		}
		held, coming := d.p.Holders(id)
		if want := share - have - coming; want > 0 && held < a.Machines {
			for _, m := range staging.Place(list, want+coming, func(m string) time.Duration { return d.p.Expect(c.now, m, []staging.ID{id}) }, func(string) bool { return false }) {
				d.p.Promise(c.now, m, id, class(protocol.PriorityOf(a.Priority)), a.Team, by)
			}
		}
	}
}

// route answers requests about data sets; false if path is none of them.
func (d *data) route(id uint64, method, path string, body []byte) bool {
	path, query, _ := strings.Cut(path, "?")
	if path != protocol.PathDataSets && path != protocol.PathStagings {
		return false
	}
	if d == nil {
		return false // as in a version that knows nothing of them
	}
	c := d.c
	switch {
	case !c.store.Loaded():
		c.refuse(id, 503, "starting")
	case path == protocol.PathDataSets && method == "GET":
		q, _ := url.ParseQuery(query)
		names, more := after(d.sets, q.Get("from"), func(*protocol.DataSet) bool { return true })
		out := protocol.DataSetPage{DataSets: []protocol.DataSet{}, Truncated: more}
		for _, n := range names {
			out.DataSets = append(out.DataSets, *d.sets[n])
		}
		c.answer(id, 200, out, 0)
	case method != "POST":
		c.refuse(id, 405, "use POST")
	case path == protocol.PathDataSets:
		d.register(id, body)
	default:
		d.promise(id, body)
	}
	return true
}

// register keeps a version. Versions never change: the same one again is known,
// another one of its name is refused.
func (d *data) register(id uint64, body []byte) {
	c := d.c
	s := &protocol.DataSet{}
	err := json.Unmarshal(body, s)
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		c.refuse(id, 400, err.Error())
		return
	}
	slices.Sort(s.Sources)
	s.AtMS = c.wall.UnixMilli()
	name := s.Set + "/" + s.Version
	tell := func(status int) {
		switch v := d.sets[name]; {
		case v == nil:
			c.refuse(id, 503, "the outcome is not known yet")
		case v.Digest != s.Digest:
			c.refuse(id, 409, "the version exists with other contents; versions never change")
		default:
			c.answer(id, status, v, 0)
		}
	}
	if d.sets[name] != nil {
		tell(200)
		return
	}
	c.store.Txn(budget.UserRequests, []protocol.Compare{{Key: keyData + name}}, []protocol.Op{{Put: keyData + name, Value: encode(s)}},
		func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case bookkeeping.Committed:
				tell(201)
			case bookkeeping.Conflict, bookkeeping.Unknown:
				c.store.Refresh(budget.UserRequests, keyData+name, func(bool) { tell(200) })
			default:
				c.refuse(id, 503, "the state service can't be written now")
			}
		})
}

// promise keeps an announcement.
func (d *data) promise(id uint64, body []byte) {
	c := d.c
	a := &announcement{}
	err := json.Unmarshal(body, &a.Staging)
	if err == nil {
		err = a.Check()
	}
	if err != nil {
		c.refuse(id, 400, err.Error())
		return
	}
	v := d.sets[a.Set+"/"+a.Version]
	if a.Version == protocol.LatestVersion {
		v = d.latest[a.Set]
	}
	switch {
	case c.teams[a.Team] == nil:
		c.refuse(id, 422, "crew: unknown team")
		return
	case v == nil:
		c.refuse(id, 422, "version: no such version is registered")
		return
	}
	a.Version, a.AtMS = v.Version, c.wall.UnixMilli()+int64(a.ByS*1000)
	key := keyStaging + a.ID
	c.store.Txn(budget.UserRequests, []protocol.Compare{{Key: key}}, []protocol.Op{{Put: key, Value: encode(a)}},
		func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case bookkeeping.Committed:
				c.answer(id, 201, a.Staging, 0)
			case bookkeeping.Conflict: // known already
				c.answer(id, 200, a.Staging, 0)
			default:
				c.refuse(id, 503, "the state service can't be written now")
			}
		})
}
