package coordination

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/staging"
	"silvergate/internal/stateclient"
)

// announcement is the stored record of expected work and the data that it will read.
type announcement struct {
	protocol.Staging
	AtMS             int64 `json:"atMs"` // when the copies should be in place, in Unix milliseconds
	revision         uint64
	deletionInFlight bool // the record is being deleted
}

// applyStaging applies a change of an announcement's record from the mirror; raw is nil if the record
// was deleted.
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

// announceWork handles a request that announces work, for which copies of a version should be in
// place by a given time. The user chooses the announcement's ID, so the request can be repeated.
func (d *stagingCoordinator) announceWork(id uint64, body []byte) {
	c := d.core
	a := &announcement{}
	err := json.Unmarshal(body, &a.Staging)
	if err == nil {
		err = a.Check()
	}
	if err != nil {
		c.refuse(id, http.StatusBadRequest, err.Error())
		return
	}
	v := d.lookup(a.Set, a.Version)
	switch {
	case c.jobs.teams[a.Team] == nil:
		c.refuse(id, http.StatusUnprocessableEntity, "crew: unknown team")
		return
	case v == nil:
		c.refuse(id, http.StatusUnprocessableEntity, "version: no such version is registered")
		return
	}
	a.Version, a.AtMS = v.Version, c.wallTime.UnixMilli()+int64(a.ByS*1000)
	key := keyStaging + a.ID
	c.state.Txn(ratelimit.UserRequests, []protocol.Compare{{Key: key}}, []protocol.Op{{Put: key, Value: encode(a)}},
		func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
			switch outcome {
			case stateclient.Committed:
				c.respond(id, http.StatusCreated, a.Staging, 0)
			case stateclient.Conflict: // already announced
				c.respond(id, http.StatusOK, a.Staging, 0)
			default:
				c.refuse(id, http.StatusServiceUnavailable, "the state service can't be written now")
			}
		})
}

// announcementMet reports whether the announced work has arrived: of the team's tasks that read the
// version and have at least the announced priority, at least as many are placed or finished as
// machines were announced.
func (d *stagingCoordinator) announcementMet(a *announcement) bool {
	placed, name := 0, dataSetName(a.Set, a.Version)
	for _, r := range d.core.jobs.byID {
		if r.spec.Team == a.Team && r.spec.Priority >= protocol.PriorityByName(a.Priority) && slices.Contains(r.spec.Inputs, name) {
			placed += r.bound + r.finished
		}
	}
	return placed >= a.Machines
}

// stageAnnounced plans fetches for announced work. Each controller plans a share in proportion to the
// number of its machines. A record is kept until the work has arrived or is overdue by more than the
// workers' lease.
func (d *stagingCoordinator) stageAnnounced() {
	c := d.core
	wallMS := c.wallTime.UnixMilli()
	for _, name := range sortedKeys(d.announced) {
		a := d.announced[name]
		v := d.sets[dataSetName(a.Set, a.Version)]
		if v == nil {
			continue
		}
		neededBy := c.now + time.Duration(a.AtMS-wallMS)*time.Millisecond
		overdue := c.now - neededBy
		if overdue > seconds(c.cfg.Facts.Workers.Lease) || d.announcementMet(a) {
			d.endAnnouncement(name, a)
			continue
		}
		d.stageShare(a, v, neededBy)
	}
}

// endAnnouncement deletes an announcement's record if this controller leads the fleet, unless a
// deletion is in flight.
func (d *stagingCoordinator) endAnnouncement(name string, a *announcement) {
	c := d.core
	if a.deletionInFlight || c.responsibleController(c.cfg.Node) != c.cfg.Node || !c.isLeader() {
		return
	}
	a.deletionInFlight = true
	key := keyStaging + name
	compares := []protocol.Compare{{Key: key, ModRevision: a.revision}}
	ops := []protocol.Op{{Delete: key}}
	c.state.Txn(ratelimit.Background, compares, ops, func(stateclient.TxnOutcome, []string, uint64) { a.deletionInFlight = false })
}

// stageShare plans fetches for this controller's share of an announcement's copies once it is time
// to begin.
func (d *stagingCoordinator) stageShare(a *announcement, v *protocol.DataSet, neededBy time.Duration) {
	c := d.core
	id := staging.ID(v.CopyID())
	share := d.ownShare(a.Machines)
	plan := staging.Announcement{Copy: id, NeededBy: neededBy, Machines: share}
	operator := c.cfg.Operator.Staging
	if c.now < plan.FetchStart(v.Bytes, operator.RateMBPerS*bytesPerMB, operator.PeerStreams) {
		return
	}
	holders, candidates := d.announcementCandidates(a, id)
	held, coming := d.planner.HolderCounts(id)
	missing := share - holders - coming
	if missing <= 0 || held >= a.Machines {
		return
	}
	wait := func(machine string) time.Duration { return d.planner.ExpectedTime(c.now, machine, []staging.ID{id}) }
	holds := func(string) bool { return false } // the candidates include no holders
	class := stagingClass(protocol.PriorityByName(a.Priority))
	for _, machine := range staging.Place(candidates, missing+coming, wait, holds) {
		d.planner.Prefetch(c.now, machine, id, class, a.Team, neededBy)
	}
}

// ownShare returns this controller's share of a number of machines, in proportion to the machines
// that it owns, rounded up.
func (d *stagingCoordinator) ownShare(machines int) int {
	c := d.core
	all := 0
	for _, n := range c.machines.ownership.machinesByOwner {
		all += n
	}
	if all == 0 {
		return machines
	}
	return (machines*len(c.machines.own) + all - 1) / all
}

// announcementCandidates returns the number of this controller's machines that hold the copy, and
// other machines that could fetch it. It assumes that machines with fewer tasks are free sooner.
func (d *stagingCoordinator) announcementCandidates(a *announcement, id staging.ID) (holders int, candidates []staging.Candidate) {
	c := d.core
	for _, m := range c.machines.own {
		if c.unschedulable(m) || a.Zone != nil && m.claim.Zone != *a.Zone {
			continue
		}
		if d.planner.Holds(m.id, []staging.ID{id}) {
			holders++
		} else if len(candidates) < maxCandidates {
			free := time.Duration(len(m.bound)) * time.Second
			candidates = append(candidates, staging.Candidate{Machine: m.id, FreeIn: free})
		}
	}
	return holders, candidates
}
