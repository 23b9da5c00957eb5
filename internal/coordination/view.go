package coordination

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"strings"

	"silvergate/internal/archive"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// queryHandler answers what workers and operators ask beyond the protocol: a job's
// description, where a gang's tasks are, and lists. It reads the records and
// changes none; it owns a small cache of descriptions, which never change.
type queryHandler struct {
	core        *Core
	grantKey    archive.GrantKey           // nil: no archive
	extras      map[string]json.RawMessage // descriptions' extras
	extrasByAge []string                   // of known, the oldest first
	extrasBytes int

	statusQueries       []statusQuery
	statusQueryInFlight bool
}

func newQueryHandler(c *Core) *queryHandler {
	v := &queryHandler{core: c, extras: map[string]json.RawMessage{}}
	if a := c.cfg.Operator.Archive; a != nil {
		v.grantKey = a.Key
	}
	return v
}

// cacheBytes is what descriptions may take: a hundredth of the process's
// memory.
func (v *queryHandler) cacheBytes() int { return int(v.core.cfg.Facts.Limits.RAMMB * (1 << 20) / 100) }

func (v *queryHandler) cacheExtra(ref string, data json.RawMessage) {
	if _, ok := v.extras[ref]; ok {
		return
	}
	v.extras[ref], v.extrasByAge, v.extrasBytes = data, append(v.extrasByAge, ref), v.extrasBytes+len(data)
	for v.extrasBytes > v.cacheBytes() && len(v.extrasByAge) > 1 {
		v.extrasBytes -= len(v.extras[v.extrasByAge[0]])
		delete(v.extras, v.extrasByAge[0])
		v.extrasByAge = v.extrasByAge[1:]
	}
}

// extra reads a submission's extension fields and returns their record, nil
// when there are none.
func (v *queryHandler) extra(spec *job.Spec, body []byte) (json.RawMessage, error) {
	x, err := protocol.ParseExtra(body)
	if err != nil || x == nil {
		return nil, err
	}
	if missing := v.core.staging.resolve(spec, x); missing != "" {
		if v.core.staging == nil {
			return nil, fmt.Errorf("inputs: this site has no data sets (staging is off)")
		}
		return nil, fmt.Errorf("inputs: no data set %s is registered", missing)
	}
	data := encode(x)
	if float64(len(data)) > v.core.cfg.Facts.State.ValueKB*1024 {
		return nil, fmt.Errorf("command, env and inputs: together larger than %g KiB", v.core.cfg.Facts.State.ValueKB)
	}
	spec.Extended = true
	return data, nil
}

// job answers questions about one job; false if verb is none of them.
func (v *queryHandler) job(id uint64, ref, verb string) bool {
	attempt, isGang := strings.CutPrefix(verb, protocol.PathGang+"/")
	if verb != protocol.PathDescription && !isGang || !protocol.ValidJobID(ref) {
		return false
	}
	c := v.core
	if !c.state.Loaded() {
		c.refuse(id, 503, "starting")
		return true
	}
	answer := func(r *jobRecord) {
		if n, err := strconv.Atoi(attempt); isGang && err == nil {
			c.respond(id, 200, v.gang(r, n), 0)
		} else {
			v.describe(id, r)
		}
	}
	if r := c.jobs.byID[ref]; r != nil {
		answer(r)
		return true
	}
	// A launch can reach a worker before the job's record reaches us.
	c.state.Refresh(ratelimit.OtherWork, keyJob+ref, func(ok bool) {
		switch r := c.jobs.byID[ref]; {
		case !ok:
			c.refuse(id, 503, "the job can't be read now")
		case r == nil:
			c.refuse(id, 404, "no such job")
		default:
			answer(r)
		}
	})
	return true
}

func (v *queryHandler) describe(id uint64, r *jobRecord) {
	c, s := v.core, r.spec
	d := protocol.JobDescription{ID: s.ID, Class: s.Class, Team: s.Team, Shape: s.Shape, Priority: protocol.PriorityName(s.Priority),
		Tasks: s.Tasks, CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Image: s.Image, ImageGB: s.ImageGB, CheckpointIntervalS: s.CheckpointIntervalS, CheckpointSaveS: s.CheckpointSaveS,
		Complete: s.Shape == job.Gang && (r.finished > 0 || r.status == job.Done)}
	v.withExtra(id, r, func(x *job.Extra) {
		if d.Extra = x; x == nil {
			v.grantTerms(&d)
			c.respond(id, 200, d, 0)
			return
		}
		for _, in := range d.Extra.Inputs {
			var s *protocol.DataSet
			if c.staging != nil {
				s = c.staging.sets[in.Set+"/"+in.Version]
			}
			if s == nil {
				c.refuse(id, 503, "an input's record is not known yet")
				return
			}
			d.Inputs = append(d.Inputs, protocol.InputCopy{DataSet: *s, Path: in.Path})
		}
		v.grantTerms(&d)
		c.respond(id, 200, d, 0)
	})
}

// withExtra has a job's extension fields, nil if it has none; request id is refused
// when they can't be had.
func (v *queryHandler) withExtra(id uint64, r *jobRecord, do func(*job.Extra)) {
	c, s := v.core, r.spec
	if !s.Extended {
		do(nil)
		return
	}
	give := func(data json.RawMessage) {
		x := &job.Extra{}
		if protocol.Decode(data, x) != nil {
			c.log.Error("unreadable record", "key", keyExtra+s.ID)
			c.refuse(id, 503, "the job's description is unreadable")
			return
		}
		do(x)
	}
	if data, ok := v.extras[s.ID]; ok {
		give(data)
		return
	}
	c.state.ReadUnmirrored(ratelimit.OtherWork, keyExtra+s.ID, func(data json.RawMessage, ok bool) {
		if !ok || data == nil {
			c.refuse(id, 503, "the job's description can't be read now")
			return
		}
		v.cacheExtra(s.ID, data)
		give(data)
	})
}

// grantTerms adds to a description the half of the grant that is the job's.
func (v *queryHandler) grantTerms(d *protocol.JobDescription) {
	if v.grantKey != nil {
		d.Grant = v.grantKey.SealTerms(d.ID, archive.TermsOf(d))
	}
}

// grantLaunch adds to a launch the half that is the attempt's. It is called where
// launches are made: by the claim's holder, of what the records show bound.
func (v *queryHandler) grantLaunch(m *machine, k taskKey, attempt int) string {
	if v.grantKey == nil {
		return ""
	}
	return v.grantKey.SealLaunch(archive.Attempt{Job: k.job, Task: k.index, Try: attempt, Machine: m.id})
}

// gang tells where the tasks of an attempt are, as far as the mirror shows.
func (v *queryHandler) gang(r *jobRecord, attempt int) protocol.GangMembers {
	out := protocol.GangMembers{Members: []protocol.GangMember{}}
	for _, p := range r.pages {
		for i := range p.tasks {
			if t := &p.tasks[i]; t.Phase == job.Bound && t.Attempt == attempt {
				out.Members = append(out.Members, protocol.GangMember{Index: p.number*v.core.tasksPerPage() + i, Machine: t.Machine, Address: v.core.machine(t.Machine).claim.Address})
			}
		}
	}
	return out
}

// listPage is how many lines a list's page has at the most: with the longest
// names it stays below the longest line that a response may have.
const listPage = 100

// list answers an operator's list; false if path is none.
func (v *queryHandler) list(id uint64, path string) bool {
	path, query, _ := strings.Cut(path, "?")
	if path != protocol.PathJobList && path != protocol.PathMachineList {
		return false
	}
	c := v.core
	q, err := url.ParseQuery(query)
	if err != nil {
		c.refuse(id, 400, "the query is malformed")
		return true
	}
	if !c.state.Loaded() {
		c.refuse(id, 503, "starting")
		return true
	}
	if path == protocol.PathMachineList {
		c.respond(id, 200, v.nodes(q.Get("from")), 0)
	} else {
		c.respond(id, 200, v.jobs(q.Get("from"), q.Get("all") == "true"), 0)
	}
	return true
}

// after lists the first names of m that come after from, and whether there are
// more.
func after[T any](m map[string]T, from string, wanted func(T) bool) (names []string, more bool) {
	for n, x := range m {
		if n > from && wanted(x) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	if len(names) > listPage {
		return names[:listPage], true
	}
	return names, false
}

func (v *queryHandler) jobs(from string, all bool) protocol.JobPage {
	c := v.core
	which := c.jobs.open
	if all {
		which = c.jobs.byID
	}
	names, more := after(which, from, func(*jobRecord) bool { return true })
	out := protocol.JobPage{Jobs: []protocol.JobSummary{}, Truncated: more}
	for _, n := range names {
		r := c.jobs.byID[n]
		s := c.jobState(r)
		out.Jobs = append(out.Jobs, protocol.JobSummary{ID: n, Status: s.Status, Class: r.spec.Class, Team: r.spec.Team,
			Shape: protocol.ShapeName(r.spec.Shape), Priority: protocol.PriorityName(r.spec.Priority), Tasks: r.spec.Tasks,
			Done: *s.Done, Running: *s.Running, AgeS: float64(c.wallTime.UnixMilli()-r.submittedAtMS) / 1000, WaitingFor: v.waitReason(r)})
	}
	return out
}

// waitReason says what an open job's waiting tasks wait for, as far as this
// controller knows.
func (v *queryHandler) waitReason(r *jobRecord) string {
	c := v.core
	tm := c.jobs.teams[r.spec.Team]
	switch {
	case r.final() || r.bound+r.finished >= r.spec.Tasks:
		return ""
	case c.paused(r):
		return "a pause after failures, or the one task that is tried again"
	case tm != nil && tm.hasLimit() && !tm.withinLimit(tm.running.plus(r.spec, 1)):
		return "the limit of team " + r.spec.Team
	case r.owner != c.cfg.Node && len(r.queue) == 0:
		return "a place, by way of " + r.owner
	case r.spec.Shape == job.Gang && r.spec.Tasks > 1:
		return "room for all tasks at once"
	}
	return "room"
}

func (v *queryHandler) nodes(from string) protocol.MachinePage {
	c := v.core
	names, more := after(c.machines.byID, from, func(m *machine) bool { return m.token != 0 })
	out := protocol.MachinePage{Machines: []protocol.MachineSummary{}, Truncated: more}
	for _, n := range names {
		m := c.machines.byID[n]
		k := c.machineTypeOf(m)
		status := "ready"
		if d, ok := c.machines.drains[n]; ok {
			status = "draining: " + d.Reason
		}
		line := protocol.MachineSummary{Machine: n, MachineType: m.claim.MachineType, Zone: m.claim.Zone, Spot: m.claim.Spot, Address: m.claim.Address,
			Owner: m.claim.Owner, Status: status, Tasks: len(m.bound), CPUCapacity: k.CPUs, GPUCapacity: k.GPUs, MemoryCapacityGB: k.MemoryGB}
		for _, k := range m.tasks() { // in order, so that equal inputs give equal sums
			s := m.bound[k].spec
			line.CPUs, line.GPUs, line.MemoryGB = line.CPUs+s.CPUs, line.GPUs+s.GPUs, line.MemoryGB+s.MemoryGB
		}
		out.Machines = append(out.Machines, line)
	}
	return out
}
