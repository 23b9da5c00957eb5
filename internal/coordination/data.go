package coordination

import (
	"cmp"
	"encoding/json"
	"net/url"
	"slices"
	"strings"
	"time"

	"silvergate/internal/dataset"
	"silvergate/internal/datastore"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/staging"
	"silvergate/internal/stateclient"
)

// stagingCoordinator is the seam between the core and the planner of data sets: it turns
// records and reports into what the planner knows, and the planner's answers
// into expected times and orders. It owns the planner and the mirror of the
// versions. A nil one is a site without data sets: every method then does
// nothing, and nothing is different from what it was.
type stagingCoordinator struct {
	core      *Core
	planner   *staging.Planner
	sets      map[string]*protocol.DataSet // by set/version
	latest    map[string]*protocol.DataSet // by set
	byCopy    map[staging.ID]*protocol.DataSet
	announced map[string]*announcement
	since     map[taskKey]time.Duration // tasks that wait for a machine with their inputs
	warmedFor map[warmMachine]string    // the job for which a copy is brought before a task is bound
	tickAt    time.Duration
}

// warmMachine is a copy on its way to a machine.
type warmMachine struct {
	machine string
	copy    staging.ID
}

type announcement struct {
	protocol.Staging
	AtMS     int64 `json:"atMs"` // when it should be there, by the day's clock
	revision uint64
	ending   bool // its record's end is being written
}

const (
	keyData    = stateclient.MirroredPrefix + "d/"
	keyStaging = stateclient.MirroredPrefix + "s/"
)

func newStagingCoordinator(c *Core) *stagingCoordinator {
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
	return &stagingCoordinator{core: c, planner: staging.New(cfg, sum, c.random), sets: map[string]*protocol.DataSet{}, latest: map[string]*protocol.DataSet{}, byCopy: map[staging.ID]*protocol.DataSet{},
		announced: map[string]*announcement{}, since: map[taskKey]time.Duration{}, warmedFor: map[warmMachine]string{}}
}

// applySet and applyStaging take records.
func (d *stagingCoordinator) applySet(name string, raw json.RawMessage) {
	if d == nil || raw == nil {
		return
	}
	s := &protocol.DataSet{}
	if !decode(d.core.log, keyData+name, raw, s) || s.Check() != nil {
		return
	}
	d.sets[name] = s
	d.byCopy[staging.ID(s.CopyID())] = s
	if l := d.latest[s.Set]; l == nil || s.AtMS > l.AtMS || s.AtMS == l.AtMS && s.Version > l.Version {
		d.latest[s.Set] = s
	}
	d.planner.SetCopy(d.core.now, staging.Copy{ID: staging.ID(s.CopyID()), Bytes: s.Bytes, Servers: s.Sources})
}

func (d *stagingCoordinator) applyStaging(name string, raw json.RawMessage, revision uint64) {
	if d == nil {
		return
	}
	if raw == nil {
		delete(d.announced, name)
		return
	}
	a := &announcement{revision: revision}
	if decode(d.core.log, keyStaging+name, raw, a) {
		d.announced[name] = a
	}
}

// resolve replaces the inputs' versions by what they stand for now, and tells
// the first that is not known.
func (d *stagingCoordinator) resolve(s *job.Spec, x *job.Extra) (missing string) {
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
func (d *stagingCoordinator) copies(s *job.Spec) []staging.ID {
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
func (d *stagingCoordinator) wait(s *job.Spec, m *machine) float64 {
	if d == nil || len(s.Inputs) == 0 {
		return 0
	}
	return d.planner.Expect(d.core.now, m.id, d.copies(s)).Seconds()
}

// class is how urgent a job's data is.
func class(p job.Priority) staging.Class {
	if p >= job.High {
		return staging.Urgent
	}
	return staging.Normal
}

// taskBound has the inputs of a task that was placed on a machine of ours fetched.
func (d *stagingCoordinator) taskBound(m *machine, s *job.Spec) {
	if d == nil || len(s.Inputs) == 0 || !d.core.isOwn(m) {
		return
	}
	for _, id := range d.copies(s) {
		d.planner.Want(d.core.now, m.id, id, class(s.Priority), s.Team, 0)
	}
}

// machineLost forgets a machine.
func (d *stagingCoordinator) machineLost(id string) {
	if d != nil {
		d.planner.Lost(d.core.now, id)
	}
}

// handleHeartbeat takes what a machine of ours says of its store, and answers with what
// it is to fetch.
func (d *stagingCoordinator) handleHeartbeat(m *machine, r *protocol.StoreReport) *protocol.StoreOrders {
	if d == nil || r == nil {
		return nil
	}
	d.planner.Join(m.id, m.claim.Zone, m.claim.Address)
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
	out := &protocol.StoreOrders{List: d.planner.Held(d.core.now, m.id, in)}
	for _, o := range d.planner.Orders(m.id) {
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
func (c *Core) freeIn(r *jobRecord, m *machine) time.Duration {
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
		if at, ok := m.runningSince[k]; ok {
			left = max(0, left-(c.now-at))
		}
		soonest = min(soonest, left)
	}
	return soonest
}

// waitsForWarmMachine tells whether a task should not take room on a machine that lacks
// its inputs, since one that holds them will start it sooner: when it is free,
// or when lower work on it is stopped, which is then done. Exception "where the
// data is": the thesis's servers are alike. Entries are still compared among
// those that a pop would look at, and the wait is bounded by the fetch.
func (d *stagingCoordinator) waitsForWarmMachine(r *jobRecord, index int, m *machine) bool {
	if d == nil || len(r.spec.Inputs) == 0 || isGang(r) {
		return false
	}
	c, k := d.core, taskKey{r.spec.ID, index}
	copies := d.copies(r.spec)
	fetch := d.planner.Expect(c.now, m.id, copies)
	if fetch < c.sweepPeriod() {
		delete(d.since, k)
		return false
	}
	free, holder := staging.Never, ""
	if len(copies) > 0 {
		d.planner.Some(copies[0], func(id string) bool {
			h := c.machines.byID[id]
			if h != nil && c.isOwn(h) && !c.unschedulable(h) && c.couldHold(r, h) && c.zoneAllowed(r, h.claim.Zone) && d.planner.Holds(id, copies) {
				if at := c.freeIn(r, h); at < free {
					free, holder = at, id
				}
			}
			return free > 0
		})
	}
	w := r.queuedByIndex[index]
	if w != nil && c.now < w.nextPreemptionAt {
		return true // others are being stopped for it
	}
	stop := staging.Never
	clear, victims := (*machine)(nil), []taskKey(nil)
	if r.spec.Priority > job.Low {
		if clear, victims = c.cheapestVictims(r, true); clear != nil {
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
			c.scheduler.enqueueTask(r, &queuedTask{key: k, machine: holder})
		}
		return true
	case staging.ClearThere:
		if w == nil {
			w = &queuedTask{key: k, machine: clear.id}
			c.scheduler.enqueueTask(r, w)
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
func (d *stagingCoordinator) tick() {
	if d == nil || d.core.now < d.tickAt {
		return
	}
	c := d.core
	d.tickAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
	for k := range d.since {
		if r := c.jobs.byID[k.job]; r == nil || r.final() || r.task(c, k.index).Phase != job.Pending {
			delete(d.since, k)
		}
	}
	seen := 0
	for _, r := range c.jobs.openByUrgency {
		if len(r.spec.Inputs) == 0 || r.bound+r.finished >= r.spec.Tasks {
			continue
		}
		if seen++; seen > staged {
			break
		}
		if len(r.blockMachines) > 0 { // a gang's machines are chosen
			for _, id := range r.blockMachines {
				if m := c.machines.byID[id]; m != nil && c.isOwn(m) {
					d.taskBound(m, r.spec)
				}
			}
			continue
		}
		if len(r.queue) > 0 {
			d.stageFor(r)
		}
	}
	d.withdrawAnnouncements()
	d.announce()
	d.planner.Tick(c.now)
}

// withdrawAnnouncements takes back what was brought for tasks that were placed elsewhere:
// what nobody waits for must not take the file servers' rate from others.
func (d *stagingCoordinator) withdrawAnnouncements() {
	c := d.core
	list := make([]warmMachine, 0, len(d.warmedFor))
	for a := range d.warmedFor {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y warmMachine) int {
		return cmp.Or(cmp.Compare(x.machine, y.machine), cmp.Compare(x.copy, y.copy))
	})
	for _, a := range list {
		id := d.warmedFor[a]
		if d.planner.Holds(a.machine, []staging.ID{a.copy}) {
			delete(d.warmedFor, a) // it is there
			continue
		}
		if r := c.jobs.byID[id]; r != nil && !r.final() && r.bound+r.finished < r.spec.Tasks {
			continue
		}
		delete(d.warmedFor, a)
		if !d.needed(a) {
			d.planner.Unwant(c.now, a.machine, a.copy)
		}
	}
}

// needed tells whether a task on the machine reads the copy, or announced work
// will.
func (d *stagingCoordinator) needed(a warmMachine) bool {
	if m := d.core.machines.byID[a.machine]; m != nil {
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

// announcementMet tells whether announced work has come: as many tasks that read the version
// and are as urgent have been placed as machines were asked for.
func (d *stagingCoordinator) announcementMet(a *announcement) bool {
	placed, name := 0, a.Set+"/"+a.Version
	for _, r := range d.core.jobs.byID {
		if r.spec.Team == a.Team && r.spec.Priority >= protocol.PriorityOf(a.Priority) && slices.Contains(r.spec.Inputs, name) {
			placed += r.bound + r.finished
		}
	}
	return placed >= a.Machines
}

// stageFor brings the inputs of a job that waits to the machines on which its
// tasks can start soonest.
func (d *stagingCoordinator) stageFor(r *jobRecord) {
	c := d.core
	copies := d.copies(r.spec)
	var list []staging.Candidate
	start := c.random.IntN(max(1, len(c.machines.own)))
	for i := 0; i < len(c.machines.own) && len(list) < maxCandidates; i++ {
		m := c.machines.own[(start+i)%len(c.machines.own)]
		if c.unschedulable(m) || !c.couldHold(r, m) || !c.zoneAllowed(r, m.claim.Zone) {
			continue
		}
		if at := c.freeIn(r, m); at < staging.Never {
			list = append(list, staging.Candidate{Machine: m.id, Free: at})
		}
	}
	bring := staging.Place(list, min(len(r.queue), staged), func(m string) time.Duration { return d.planner.Expect(c.now, m, copies) },
		func(m string) bool { return d.planner.Holds(m, copies) })
	for _, m := range bring {
		for _, id := range copies {
			d.warmedFor[warmMachine{m, id}] = r.spec.ID
			d.planner.Want(c.now, m, id, class(r.spec.Priority), r.spec.Team, 0)
		}
	}
}

// announce stages for work that will come. Each controller takes its share, by
// the number of its machines; a record is kept until the work has come or its
// time has passed by a lease.
func (d *stagingCoordinator) announce() {
	c := d.core
	wall := c.wallTime.UnixMilli()
	for _, name := range sortedKeys(d.announced) {
		a := d.announced[name]
		v := d.sets[a.Set+"/"+a.Version]
		if v == nil {
			continue
		}
		id := staging.ID(v.CopyID())
		by := c.now + time.Duration(a.AtMS-wall)*time.Millisecond
		if over := c.now - by; over > seconds(c.cfg.Facts.Workers.Lease) || d.announcementMet(a) {
			if !a.ending && c.responsibleController(c.cfg.Node) == c.cfg.Node && c.isLeader() {
				a.ending = true
				c.state.Txn(ratelimit.Background, []protocol.Compare{{Key: keyStaging + name, ModRevision: a.revision}}, []protocol.Op{{Delete: keyStaging + name}},
					func(stateclient.TxnOutcome, []string, uint64) { a.ending = false })
			}
			continue
		}
		all := 0
		for _, n := range c.machines.ownership.machinesByOwner {
			all += n
		}
		share := a.Machines
		if all > 0 {
			share = (a.Machines*len(c.machines.own) + all - 1) / all
		}
		x := staging.Announcement{Copy: id, By: by, Machines: share}
		if c.now < x.Begin(v.Bytes, c.cfg.Operator.Staging.RateMBPerS*1e6, c.cfg.Operator.Staging.PeerStreams) {
			continue
		}
		have := 0
		var list []staging.Candidate
		for _, m := range c.machines.own {
			if c.unschedulable(m) || a.Zone != nil && m.claim.Zone != *a.Zone {
				continue
			}
			if d.planner.Holds(m.id, []staging.ID{id}) {
				have++
			} else if len(list) < maxCandidates {
				list = append(list, staging.Candidate{Machine: m.id, Free: time.Duration(len(m.bound)) * time.Second})
			}
		}
		held, coming := d.planner.Holders(id)
		if want := share - have - coming; want > 0 && held < a.Machines {
			for _, m := range staging.Place(list, want+coming, func(m string) time.Duration { return d.planner.Expect(c.now, m, []staging.ID{id}) }, func(string) bool { return false }) {
				d.planner.Promise(c.now, m, id, class(protocol.PriorityOf(a.Priority)), a.Team, by)
			}
		}
	}
}

// route answers requests about data sets; false if path is none of them.
func (d *stagingCoordinator) route(id uint64, method, path string, body []byte) bool {
	path, query, _ := strings.Cut(path, "?")
	if path != protocol.PathDataSets && path != protocol.PathStagings {
		return false
	}
	if d == nil {
		return false // as in a version that knows nothing of them
	}
	c := d.core
	switch {
	case !c.state.Loaded():
		c.refuse(id, 503, "starting")
	case path == protocol.PathDataSets && method == "GET":
		q, _ := url.ParseQuery(query)
		names, more := after(d.sets, q.Get("from"), func(*protocol.DataSet) bool { return true })
		out := protocol.DataSetPage{DataSets: []protocol.DataSet{}, Truncated: more}
		for _, n := range names {
			out.DataSets = append(out.DataSets, *d.sets[n])
		}
		c.respond(id, 200, out, 0)
	case method != "POST":
		c.refuse(id, 405, "use POST")
	case path == protocol.PathDataSets:
		d.register(id, body)
	default:
		d.announceWork(id, body)
	}
	return true
}

// register keeps a version. Versions never change: the same one again is known,
// another one of its name is refused.
func (d *stagingCoordinator) register(id uint64, body []byte) {
	c := d.core
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
	s.AtMS = c.wallTime.UnixMilli()
	name := s.Set + "/" + s.Version
	tell := func(status int) {
		switch v := d.sets[name]; {
		case v == nil:
			c.refuse(id, 503, "the outcome is not known yet")
		case v.Digest != s.Digest:
			c.refuse(id, 409, "the version exists with other contents; versions never change")
		default:
			c.respond(id, status, v, 0)
		}
	}
	if d.sets[name] != nil {
		tell(200)
		return
	}
	c.state.Txn(ratelimit.UserRequests, []protocol.Compare{{Key: keyData + name}}, []protocol.Op{{Put: keyData + name, Value: encode(s)}},
		func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case stateclient.Committed:
				tell(201)
			case stateclient.Conflict, stateclient.Unknown:
				c.state.Refresh(ratelimit.UserRequests, keyData+name, func(bool) { tell(200) })
			default:
				c.refuse(id, 503, "the state service can't be written now")
			}
		})
}

// announceWork keeps an announcement.
func (d *stagingCoordinator) announceWork(id uint64, body []byte) {
	c := d.core
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
	case c.jobs.teams[a.Team] == nil:
		c.refuse(id, 422, "crew: unknown team")
		return
	case v == nil:
		c.refuse(id, 422, "version: no such version is registered")
		return
	}
	a.Version, a.AtMS = v.Version, c.wallTime.UnixMilli()+int64(a.ByS*1000)
	key := keyStaging + a.ID
	c.state.Txn(ratelimit.UserRequests, []protocol.Compare{{Key: key}}, []protocol.Op{{Put: key, Value: encode(a)}},
		func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case stateclient.Committed:
				c.respond(id, 201, a.Staging, 0)
			case stateclient.Conflict: // known already
				c.respond(id, 200, a.Staging, 0)
			default:
				c.refuse(id, 503, "the state service can't be written now")
			}
		})
}
