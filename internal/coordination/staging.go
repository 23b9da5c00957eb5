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

// stagingCoordinator connects the core with the staging planner: it passes records and
// heartbeats to the planner, and turns the planner's answers into expected waits and fetch
// orders. It owns the planner and the mirror of the data sets. It is nil at a site without
// data sets: its methods then do nothing, and tasks start without waiting.
type stagingCoordinator struct {
	core         *Core
	planner      *staging.Planner
	sets         map[string]*protocol.DataSet // by set/version
	latest       map[string]*protocol.DataSet // by set name
	byCopy       map[staging.ID]*protocol.DataSet
	announced    map[string]*announcement
	waitingSince map[taskKey]time.Duration // since when tasks wait for a machine that holds their inputs
	prefetchJobs map[prefetch]string       // IDs of the jobs for which copies are fetched before a task is bound
	nextTickAt   time.Duration
}

// prefetch is a copy that a machine fetches before a task that reads it is bound to the machine.
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
		ReportPeriod:   seconds(c.cfg.Facts.Workers.Heartbeat),
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

// bytesPerMB converts rates from MB/s to bytes per second.
const bytesPerMB = 1e6

// digestOfCopies returns the digest that a machine reports when it holds these copies.
func digestOfCopies(ids []staging.ID) string {
	out := make([]dataset.ID, len(ids))
	for i, id := range ids {
		out[i] = dataset.ID(id)
	}
	return datastore.DigestOf(out)
}

// dataSetName returns the name of a version in job inputs and record keys.
func dataSetName(set, version string) string { return set + "/" + version }

// applySet applies the record of a data set's version from the mirror. Versions are never deleted.
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

// newer reports whether version a of a set was registered after version b. Versions registered at
// the same time are ordered by name, so that all controllers agree.
func newer(a, b *protocol.DataSet) bool {
	return a.AtMS > b.AtMS || a.AtMS == b.AtMS && a.Version > b.Version
}

// lookup returns a version of a set, which may be "latest", or nil if it is not registered.
func (d *stagingCoordinator) lookup(set, version string) *protocol.DataSet {
	if version == protocol.LatestVersion {
		return d.latest[set]
	}
	return d.sets[dataSetName(set, version)]
}

// resolve replaces "latest" in a job's inputs with the currently latest version and adds the inputs
// to the job's spec. It returns the first input that is not registered, or "" if all are.
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

// copies returns the IDs of the registered versions that a job's tasks read.
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

// expectedWait returns how long a task of the job would wait for its inputs on a machine, in seconds.
func (d *stagingCoordinator) expectedWait(s *job.Spec, m *machine) float64 {
	if d == nil || len(s.Inputs) == 0 {
		return 0
	}
	return d.planner.ExpectedTime(d.core.now, m.id, d.copies(s)).Seconds()
}

// stagingClass returns the urgency class of fetches for a job of the given priority.
func stagingClass(p job.Priority) staging.Class {
	if p >= job.High {
		return staging.Urgent
	}
	return staging.Normal
}

// stageInputs plans the fetch of a job's inputs by the machine to which a task of the job was bound
// or is to be bound, if the machine belongs to this controller.
func (d *stagingCoordinator) stageInputs(m *machine, s *job.Spec) {
	if d == nil || len(s.Inputs) == 0 || !d.core.isOwn(m) {
		return
	}
	for _, id := range d.copies(s) {
		d.planner.RequestFetch(d.core.now, m.id, id, stagingClass(s.Priority), s.Team, 0)
	}
}

// machineLost removes from the planner a machine that was deleted or now belongs to another controller.
func (d *stagingCoordinator) machineLost(id string) {
	if d != nil {
		d.planner.RemoveMachine(d.core.now, id)
	}
}

// handleHeartbeat passes a machine's report on its data store to the planner, and returns the
// machine's fetch orders.
func (d *stagingCoordinator) handleHeartbeat(m *machine, r *protocol.StoreReport) *protocol.StoreOrders {
	if d == nil || r == nil {
		return nil
	}
	d.planner.SetMachine(m.id, m.claim.Zone, m.claim.Address)
	out := &protocol.StoreOrders{List: d.planner.HandleReport(d.core.now, m.id, plannerReport(r))}
	for _, order := range d.planner.Orders(m.id) {
		if len(out.Fetch) == maxFetchOrders {
			break // the length of a response is limited; later responses carry the rest
		}
		if v := d.byCopy[order.ID]; v != nil {
			out.Fetch = append(out.Fetch, protocol.StoreFetch{DataSet: *v, Urgent: order.Urgent, Peer: order.Peer, Server: order.Server})
		}
	}
	return out
}

// maxFetchOrders is the maximum number of fetch orders in one response.
const maxFetchOrders = 64

// plannerReport converts a data store's report to the planner's type.
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

// maxStagedJobs is the maximum number of waiting jobs for which one tick plans fetches, and
// maxStagedMachines the maximum number of machines for each.
const (
	maxStagedJobs     = 16
	maxStagedMachines = 16
)

// tick plans fetches for queued jobs, for gangs whose machines are chosen and for announced work,
// every half heartbeat period.
func (d *stagingCoordinator) tick() {
	if d == nil || d.core.now < d.nextTickAt {
		return
	}
	c := d.core
	d.nextTickAt = c.now + seconds(c.cfg.Facts.Workers.Heartbeat/2)
	d.pruneWaits()
	d.stageQueuedJobs()
	d.cancelUnneededPrefetches()
	d.stageAnnounced()
	d.planner.Tick(c.now)
}

// pruneWaits deletes the waiting times of tasks that are no longer pending.
func (d *stagingCoordinator) pruneWaits() {
	c := d.core
	for k := range d.waitingSince {
		r := c.jobs.byID[k.job]
		if r == nil || r.final() || r.task(c, k.index).Phase != job.Pending {
			delete(d.waitingSince, k)
		}
	}
}

// stageQueuedJobs plans fetches for the most urgent jobs that have waiting tasks.
func (d *stagingCoordinator) stageQueuedJobs() {
	jobs := 0
	for _, r := range d.core.jobs.openByUrgency {
		if len(r.spec.Inputs) == 0 || r.unplacedTasks() <= 0 {
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

// stageForGang plans fetches of a gang's inputs by the machines chosen for it that belong to this
// controller.
func (d *stagingCoordinator) stageForGang(r *jobRecord) {
	c := d.core
	for _, id := range r.blockMachines {
		if m := c.machines.byID[id]; m != nil && c.isOwn(m) {
			d.stageInputs(m, r.spec)
		}
	}
}

// cancelUnneededPrefetches cancels fetches for tasks that were placed elsewhere. Copies that no task
// waits for must not take the file servers' bandwidth from other fetches.
func (d *stagingCoordinator) cancelUnneededPrefetches() {
	c := d.core
	for _, fetch := range d.sortedPrefetches() {
		if d.planner.Holds(fetch.machine, []staging.ID{fetch.copy}) {
			delete(d.prefetchJobs, fetch) // the fetch is complete
			continue
		}
		r := c.jobs.byID[d.prefetchJobs[fetch]]
		if r != nil && !r.final() && r.unplacedTasks() > 0 {
			continue
		}
		delete(d.prefetchJobs, fetch)
		if !d.copyNeeded(fetch) {
			d.planner.CancelFetch(c.now, fetch.machine, fetch.copy)
		}
	}
}

// sortedPrefetches returns the prefetches sorted by machine and copy.
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

// copyNeeded reports whether a task on the machine reads the copy, or announced work will read it.
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

// stageForQueue plans fetches of a queued job's inputs by the machines on which its tasks can start
// soonest.
func (d *stagingCoordinator) stageForQueue(r *jobRecord) {
	c := d.core
	copies := d.copies(r.spec)
	wait := func(machine string) time.Duration { return d.planner.ExpectedTime(c.now, machine, copies) }
	holds := func(machine string) bool { return d.planner.Holds(machine, copies) }
	chosen := staging.Place(d.queueCandidates(r), min(len(r.queue), maxStagedMachines), wait, holds)
	for _, machine := range chosen {
		for _, id := range copies {
			d.prefetchJobs[prefetch{machine, id}] = r.spec.ID
			d.planner.RequestFetch(c.now, machine, id, stagingClass(r.spec.Priority), r.spec.Team, 0)
		}
	}
}

// queueCandidates returns machines of this controller that are expected to have room for a task of
// the job, in order from a random machine on.
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
			candidates = append(candidates, staging.Candidate{Machine: m.id, FreeIn: free})
		}
	}
	return candidates
}
