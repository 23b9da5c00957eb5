package coordination

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"silvergate/internal/dataset"
	"silvergate/internal/datastore"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/staging"
)

// stagingCoordinator connects the core with the planner of data sets: it turns records
// and heartbeats into what the planner knows, and the planner's answers into expected
// times and fetch orders. It owns the planner and the mirror of the data sets. A nil one
// is a site without data sets: its methods do nothing, and tasks start without waiting.
type stagingCoordinator struct {
	core         *Core
	planner      *staging.Planner
	sets         map[string]*protocol.DataSet // by set/version
	latest       map[string]*protocol.DataSet // by set
	byCopy       map[staging.ID]*protocol.DataSet
	announced    map[string]*announcement
	waitingSince map[taskKey]time.Duration // tasks that wait for a machine that holds their inputs
	prefetchJobs map[prefetch]string       // the job for which a copy is fetched before a task is bound
	tickAt       time.Duration
}

// prefetch is a copy that a machine fetches.
type prefetch struct {
	machine string
	copy    staging.ID
}

func newStagingCoordinator(c *Core) *stagingCoordinator {
	s := c.cfg.Operator.Staging
	if s == nil {
		return nil
	}
	cfg := staging.Config{
		Controllers:    1 + len(c.cfg.Peers),
		ServerStreams:  s.ServerStreams,
		PeerStreams:    s.PeerStreams,
		MachineStreams: s.MachineStreams,
		Rate:           s.RateMBPerS * bytesPerMB,
		Report:         seconds(c.cfg.Facts.Workers.Report),
	}
	return &stagingCoordinator{
		core:         c,
		planner:      staging.New(cfg, digestOfCopies, c.random),
		sets:         map[string]*protocol.DataSet{},
		latest:       map[string]*protocol.DataSet{},
		byCopy:       map[staging.ID]*protocol.DataSet{},
		announced:    map[string]*announcement{},
		waitingSince: map[taskKey]time.Duration{},
		prefetchJobs: map[prefetch]string{},
	}
}

// bytesPerMB converts rates in MB/s.
const bytesPerMB = 1e6

// digestOfCopies is the digest with which a machine sums up the copies that it holds.
func digestOfCopies(ids []staging.ID) string {
	out := make([]dataset.ID, len(ids))
	for i, id := range ids {
		out[i] = dataset.ID(id)
	}
	return datastore.DigestOf(out)
}

// dataSetName is a version's name in jobs' inputs and in record keys.
func dataSetName(set, version string) string { return set + "/" + version }

// applySet takes the record of a data set's version. Versions are never deleted.
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
	if latest := d.latest[s.Set]; latest == nil || newer(s, latest) {
		d.latest[s.Set] = s
	}
	d.planner.SetCopy(d.core.now, staging.Copy{ID: staging.ID(s.CopyID()), Bytes: s.Bytes, Servers: s.Sources})
}

// newer orders the versions of a set by the time of their registration, and equal times
// by name: all controllers must agree.
func newer(a, b *protocol.DataSet) bool {
	return a.AtMS > b.AtMS || a.AtMS == b.AtMS && a.Version > b.Version
}

// lookup finds a version, which may be "latest"; nil if it is not registered.
func (d *stagingCoordinator) lookup(set, version string) *protocol.DataSet {
	if version == protocol.LatestVersion {
		return d.latest[set]
	}
	return d.sets[dataSetName(set, version)]
}

// resolve replaces "latest" in a job's inputs by the version that it stands for now, and
// returns the first input that is not registered, "" if all are.
func (d *stagingCoordinator) resolve(s *job.Spec, x *job.Extra) (missing string) {
	for i := range x.Inputs {
		in := &x.Inputs[i]
		if d == nil {
			return in.Set
		}
		v := d.lookup(in.Set, in.Version)
		if v == nil {
			return dataSetName(in.Set, in.Version)
		}
		in.Version = v.Version
		s.Inputs = append(s.Inputs, dataSetName(v.Set, v.Version))
	}
	return ""
}

// copies are the ids of the registered versions that a job's tasks read.
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

// expectedWait is how long a task would expectedWait for its inputs on a machine, in seconds.
func (d *stagingCoordinator) expectedWait(s *job.Spec, m *machine) float64 {
	if d == nil || len(s.Inputs) == 0 {
		return 0
	}
	return d.planner.Expect(d.core.now, m.id, d.copies(s)).Seconds()
}

// stagingClass is how urgent the data of a job with that priority is.
func stagingClass(p job.Priority) staging.Class {
	if p >= job.High {
		return staging.Urgent
	}
	return staging.Normal
}

// taskBound has a machine of this controller fetch the inputs of a task that was bound to it.
func (d *stagingCoordinator) taskBound(m *machine, s *job.Spec) {
	if d == nil || len(s.Inputs) == 0 || !d.core.isOwn(m) {
		return
	}
	for _, id := range d.copies(s) {
		d.planner.Want(d.core.now, m.id, id, stagingClass(s.Priority), s.Team, 0)
	}
}

// machineLost forgets the copies of a machine that is deleted or another controller's.
func (d *stagingCoordinator) machineLost(id string) {
	if d != nil {
		d.planner.Lost(d.core.now, id)
	}
}

// handleHeartbeat takes what a machine of this controller reports of its data store, and
// returns what it is to fetch.
func (d *stagingCoordinator) handleHeartbeat(m *machine, r *protocol.StoreReport) *protocol.StoreOrders {
	if d == nil || r == nil {
		return nil
	}
	d.planner.Join(m.id, m.claim.Zone, m.claim.Address)
	out := &protocol.StoreOrders{List: d.planner.Held(d.core.now, m.id, plannerReport(r))}
	for _, order := range d.planner.Orders(m.id) {
		if len(out.Fetch) == maxFetchOrders {
			break // a response has a maximum length; the rest comes with later ones
		}
		if v := d.byCopy[order.ID]; v != nil {
			out.Fetch = append(out.Fetch, protocol.StoreFetch{DataSet: *v, Urgent: order.Urgent, Peer: order.Peer, Server: order.Server})
		}
	}
	return out
}

// maxFetchOrders bounds the fetch orders in one response.
const maxFetchOrders = 64

// plannerReport translates a store's report for the planner.
func plannerReport(r *protocol.StoreReport) staging.Report {
	out := staging.Report{Digest: r.Digest, Listed: r.Listed}
	for _, id := range r.Copies {
		out.List = append(out.List, staging.ID(id))
	}
	for _, p := range r.Pulls {
		out.Pulls = append(out.Pulls, staging.Pull{ID: staging.ID(p.Copy), Done: p.Done, Total: p.Total, Rate: p.Rate})
	}
	for _, id := range r.Failed {
		out.Failed = append(out.Failed, staging.ID(id))
	}
	return out
}

// maxStagedJobs bounds the waiting jobs for which one tick fetches copies, and
// maxStagedMachines the machines for each.
const (
	maxStagedJobs     = 16
	maxStagedMachines = 16
)

// tick has copies fetched for queued jobs, for gangs whose machines are chosen, and for
// announced work, once in each half of a heartbeat period.
func (d *stagingCoordinator) tick() {
	if d == nil || d.core.now < d.tickAt {
		return
	}
	c := d.core
	d.tickAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
	d.forgetWaits()
	d.stageQueuedJobs()
	d.cancelUnneededPrefetches()
	d.stageAnnounced()
	d.planner.Tick(c.now)
}

// forgetWaits forgets the tasks that no longer wait for a place.
func (d *stagingCoordinator) forgetWaits() {
	c := d.core
	for k := range d.waitingSince {
		r := c.jobs.byID[k.job]
		if r == nil || r.final() || r.task(c, k.index).Phase != job.Pending {
			delete(d.waitingSince, k)
		}
	}
}

// stageQueuedJobs has copies fetched for the most urgent jobs that wait.
func (d *stagingCoordinator) stageQueuedJobs() {
	jobs := 0
	for _, r := range d.core.jobs.openByUrgency {
		if len(r.spec.Inputs) == 0 || r.bound+r.finished >= r.spec.Tasks {
			continue
		}
		if jobs++; jobs > maxStagedJobs {
			return
		}
		switch {
		case len(r.blockMachines) > 0:
			d.stageForGang(r)
		case len(r.queue) > 0:
			d.stageForQueue(r)
		}
	}
}

// stageForGang has the inputs of a gang fetched by the machines that are chosen for it.
func (d *stagingCoordinator) stageForGang(r *jobRecord) {
	c := d.core
	for _, id := range r.blockMachines {
		if m := c.machines.byID[id]; m != nil && c.isOwn(m) {
			d.taskBound(m, r.spec)
		}
	}
}

// cancelUnneededPrefetches withdraws the fetches for tasks that were placed elsewhere: copies
// that nobody waits for must not take the file servers' rate from others.
func (d *stagingCoordinator) cancelUnneededPrefetches() {
	c := d.core
	for _, fetch := range d.sortedPrefetches() {
		if d.planner.Holds(fetch.machine, []staging.ID{fetch.copy}) {
			delete(d.prefetchJobs, fetch) // the fetch is complete
			continue
		}
		r := c.jobs.byID[d.prefetchJobs[fetch]]
		if r != nil && !r.final() && r.bound+r.finished < r.spec.Tasks {
			continue
		}
		delete(d.prefetchJobs, fetch)
		if !d.copyNeeded(fetch) {
			d.planner.Unwant(c.now, fetch.machine, fetch.copy)
		}
	}
}

// sortedPrefetches are the fetches under way for tasks that are not bound, in a fixed order.
func (d *stagingCoordinator) sortedPrefetches() []prefetch {
	out := make([]prefetch, 0, len(d.prefetchJobs))
	for fetch := range d.prefetchJobs {
		out = append(out, fetch)
	}
	slices.SortFunc(out, func(a, b prefetch) int {
		return cmp.Or(cmp.Compare(a.machine, b.machine), cmp.Compare(a.copy, b.copy))
	})
	return out
}

// copyNeeded tells whether a task on the machine reads the copy, or announced work will.
func (d *stagingCoordinator) copyNeeded(fetch prefetch) bool {
	if m := d.core.machines.byID[fetch.machine]; m != nil {
		for _, r := range m.bound {
			if slices.Contains(d.copies(r.spec), fetch.copy) {
				return true
			}
		}
	}
	for _, a := range d.announced {
		if v := d.sets[dataSetName(a.Set, a.Version)]; v != nil && staging.ID(v.CopyID()) == fetch.copy {
			return true
		}
	}
	return false
}

// stageForQueue has the inputs of a queued job fetched by the machines on which its
// tasks can start soonest.
func (d *stagingCoordinator) stageForQueue(r *jobRecord) {
	c := d.core
	copies := d.copies(r.spec)
	wait := func(machine string) time.Duration { return d.planner.Expect(c.now, machine, copies) }
	holds := func(machine string) bool { return d.planner.Holds(machine, copies) }
	chosen := staging.Place(d.queueCandidates(r), min(len(r.queue), maxStagedMachines), wait, holds)
	for _, machine := range chosen {
		for _, id := range copies {
			d.prefetchJobs[prefetch{machine, id}] = r.spec.ID
			d.planner.Want(c.now, machine, id, stagingClass(r.spec.Priority), r.spec.Team, 0)
		}
	}
}

// queueCandidates are machines of this controller that will have room for a task of the
// job, from a start at random.
func (d *stagingCoordinator) queueCandidates(r *jobRecord) []staging.Candidate {
	c := d.core
	own := c.machines.own
	var candidates []staging.Candidate
	for m := range c.fromRandomStart(own) {
		if len(candidates) == maxCandidates {
			break
		}
		if c.unschedulable(m) || !c.couldHold(r, m) || !c.zoneAllowed(r, m.claim.Zone) {
			continue
		}
		if free := c.timeUntilRoom(r, m); free < staging.Never {
			candidates = append(candidates, staging.Candidate{Machine: m.id, Free: free})
		}
	}
	return candidates
}
