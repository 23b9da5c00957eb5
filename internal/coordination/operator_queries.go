package coordination

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"

	"silvergate/internal/archive"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// queryHandler answers queries: for users the status of jobs, and for workers and operators a
// job's description, the members of a gang, and lists. It only reads records. It holds the
// waiting status queries, and a small cache of jobs' extension fields, which never change.
type queryHandler struct {
	core        *Core
	grantKey    archive.GrantKey           // nil if the site has no archive
	extras      map[string]json.RawMessage // cached records of extension fields, by job
	extrasByAge []string                   // the jobs in extras, the oldest entry first
	extrasBytes int                        // total size of extras

	statusQueries       []statusQuery // waiting, the oldest first
	statusQueryInFlight bool
}

func newQueryHandler(c *Core) *queryHandler {
	v := &queryHandler{core: c, extras: map[string]json.RawMessage{}}
	if a := c.cfg.Operator.Archive; a != nil {
		v.grantKey = a.Key
	}
	return v
}

// maxCacheBytes returns the maximum size of the cache, a hundredth of the process's memory.
func (v *queryHandler) maxCacheBytes() int {
	return int(v.core.cfg.Facts.Limits.RAMMB * (1 << 20) / 100)
}

// cacheExtra adds a job's extension fields to the cache, and evicts the oldest entries while the
// cache is too large.
func (v *queryHandler) cacheExtra(jobID string, data json.RawMessage) {
	if _, ok := v.extras[jobID]; ok {
		return
	}
	v.extras[jobID] = data
	v.extrasByAge = append(v.extrasByAge, jobID)
	v.extrasBytes += len(data)
	for v.extrasBytes > v.maxCacheBytes() && len(v.extrasByAge) > 1 {
		oldest := v.extrasByAge[0]
		v.extrasByAge = v.extrasByAge[1:]
		v.extrasBytes -= len(v.extras[oldest])
		delete(v.extras, oldest)
	}
}

// parseExtra parses a submission's extension fields and returns their record, nil if there are
// none. It adds the versions of the inputs to spec, and marks it as extended.
func (v *queryHandler) parseExtra(spec *job.Spec, body []byte) (json.RawMessage, error) {
	extra, err := protocol.ParseExtra(body)
	if err != nil || extra == nil {
		return nil, err
	}
	if missing := v.core.staging.resolve(spec, extra); missing != "" {
		if v.core.staging == nil {
			return nil, fmt.Errorf("inputs: this site has no data sets (staging is off)")
		}
		return nil, fmt.Errorf("inputs: no data set %s is registered", missing)
	}
	data := encode(extra)
	if float64(len(data)) > v.core.cfg.Facts.State.ValueKB*1024 {
		return nil, fmt.Errorf("command, env and inputs: together larger than %g KiB", v.core.cfg.Facts.State.ValueKB)
	}
	spec.Extended = true
	return data, nil
}

// routeJobQuery answers a query of a job's description or of a gang's members. It returns false
// if verb is neither of these, or the job's id is invalid.
func (v *queryHandler) routeJobQuery(id uint64, jobID, verb string) bool {
	attemptText, isGang := strings.CutPrefix(verb, protocol.PathGang+"/")
	if verb != protocol.PathDescription && !isGang || !protocol.ValidJobID(jobID) {
		return false
	}
	c := v.core
	if c.refuseWhileLoading(id) {
		return true
	}
	v.withJob(id, jobID, func(r *jobRecord) {
		if attempt, err := strconv.Atoi(attemptText); isGang && err == nil {
			members := v.gangMembers(r, attempt)
			c.respondEncoded(id, http.StatusOK, members.Encode(), 0)
			return
		}
		v.describe(id, r)
	})
	return true
}

// withJob calls do with a job's record, or refuses request id if there is none. A record that the
// mirror lacks is read from the state service, as a launch can reach a worker before the job's
// record reaches this controller's mirror.
func (v *queryHandler) withJob(id uint64, jobID string, do func(*jobRecord)) {
	c := v.core
	if r := c.jobs.byID[jobID]; r != nil {
		do(r)
		return
	}
	c.state.Refresh(ratelimit.OtherWork, keyJob+jobID, func(ok bool) {
		switch r := c.jobs.byID[jobID]; {
		case !ok:
			c.refuse(id, http.StatusServiceUnavailable, "the job can't be read now")
		case r == nil:
			c.refuse(id, http.StatusNotFound, "no such job")
		default:
			do(r)
		}
	})
}

// describe answers with the job's description: all that a worker needs to run the job's tasks.
func (v *queryHandler) describe(id uint64, r *jobRecord) {
	description := descriptionOf(r)
	v.withExtra(id, r, func(extra *job.Extra) {
		description.Extra = extra
		if extra != nil && !v.addInputs(&description) {
			v.core.refuse(id, http.StatusServiceUnavailable, "an input's record is not known yet")
			return
		}
		v.addGrantTerms(&description)
		v.core.respond(id, http.StatusOK, description, 0)
	})
}

// descriptionOf returns a job's description without its extension fields.
func descriptionOf(r *jobRecord) protocol.JobDescription {
	s := r.spec
	return protocol.JobDescription{
		ID:                  s.ID,
		Class:               s.Class,
		Team:                s.Team,
		Shape:               s.Shape,
		Priority:            protocol.PriorityName(s.Priority),
		Tasks:               s.Tasks,
		CPUs:                s.CPUs,
		GPUs:                s.GPUs,
		MemoryGB:            s.MemoryGB,
		Image:               s.Image,
		ImageGB:             s.ImageGB,
		CheckpointIntervalS: s.CheckpointIntervalS,
		CheckpointSaveS:     s.CheckpointSaveS,
		Complete:            s.Shape == job.Gang && (r.finished > 0 || r.status == job.Done),
	}
}

// addInputs adds the data sets of a job's inputs to its description. It returns false if the
// record of one of them is not known yet.
func (v *queryHandler) addInputs(d *protocol.JobDescription) bool {
	for _, input := range d.Extra.Inputs {
		if v.core.staging == nil {
			return false
		}
		set := v.core.staging.sets[dataSetName(input.Set, input.Version)]
		if set == nil {
			return false
		}
		d.Inputs = append(d.Inputs, protocol.InputCopy{DataSet: *set, Path: input.Path})
	}
	return true
}

// withExtra calls do with a job's extension fields, nil if it has none. It refuses request id if
// they can't be read.
func (v *queryHandler) withExtra(id uint64, r *jobRecord, do func(*job.Extra)) {
	c, s := v.core, r.spec
	if !s.Extended {
		do(nil)
		return
	}
	decodeExtra := func(data json.RawMessage) {
		extra := &job.Extra{}
		if protocol.Decode(data, extra) != nil {
			c.log.Error("unreadable record", "key", keyJobExtra+s.ID)
			c.refuse(id, http.StatusServiceUnavailable, "the job's description is unreadable")
			return
		}
		do(extra)
	}
	if data, ok := v.extras[s.ID]; ok {
		decodeExtra(data)
		return
	}
	c.state.ReadUnmirrored(ratelimit.OtherWork, keyJobExtra+s.ID, func(data json.RawMessage, ok bool) {
		if !ok || data == nil {
			c.refuse(id, http.StatusServiceUnavailable, "the job's description can't be read now")
			return
		}
		v.cacheExtra(s.ID, data)
		decodeExtra(data)
	})
}

// addGrantTerms adds the job's half of the archive grant, the seal of its terms, to a
// description.
func (v *queryHandler) addGrantTerms(d *protocol.JobDescription) {
	if v.grantKey != nil {
		d.Grant = v.grantKey.SealTerms(d.ID, archive.TermsOf(d))
	}
}

// sealLaunchGrant returns the attempt's half of the archive grant, the seal of its launch, or "" if
// the site has no archive. It is called where launches are issued: by the machine's owner, for
// tasks that the records show as bound to the machine.
func (v *queryHandler) sealLaunchGrant(m *machine, k taskKey, attempt int) string {
	if v.grantKey == nil {
		return ""
	}
	return v.grantKey.SealLaunch(archive.Attempt{Job: k.job, Task: k.index, Try: attempt, Machine: m.id})
}

// gangMembers returns the machines that the tasks of an attempt are bound to in the mirror.
func (v *queryHandler) gangMembers(r *jobRecord, attempt int) protocol.GangMembers {
	out := protocol.GangMembers{Members: []protocol.GangMember{}}
	for _, p := range r.pages {
		for i := range p.tasks {
			t := &p.tasks[i]
			if t.Phase != job.Bound || t.Attempt != attempt {
				continue
			}
			out.Members = append(out.Members, protocol.GangMember{
				Index:   p.firstTask + i,
				Machine: t.Machine,
				Address: v.core.machine(t.Machine).claim.Address,
			})
		}
	}
	return out
}

// maxListEntries is the maximum number of entries in a page of a list: with the longest names,
// the page stays below the maximum length of a response.
const maxListEntries = 100

// routeList answers an operator's request for a list. It returns false if path is not a list.
func (v *queryHandler) routeList(id uint64, path string) bool {
	path, query, _ := strings.Cut(path, "?")
	if path != protocol.PathJobList && path != protocol.PathMachineList {
		return false
	}
	c := v.core
	parameters, err := url.ParseQuery(query)
	if err != nil {
		c.refuse(id, http.StatusBadRequest, "the query is malformed")
		return true
	}
	if c.refuseWhileLoading(id) {
		return true
	}
	from := parameters.Get("from")
	if path == protocol.PathMachineList {
		c.respond(id, http.StatusOK, v.machinePage(from), 0)
	} else {
		c.respond(id, http.StatusOK, v.jobPage(from, parameters.Get("all") == "true"), 0)
	}
	return true
}

// namesAfter returns in order the first names of m that sort after from and whose values are
// wanted, at most maxListEntries of them, and whether there are more.
func namesAfter[T any](m map[string]T, from string, wanted func(T) bool) (names []string, more bool) {
	for name, value := range m {
		if name > from && wanted(value) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if len(names) > maxListEntries {
		return names[:maxListEntries], true
	}
	return names, false
}

// jobPage returns a page of the list of open jobs, or of all jobs, that starts after job from.
func (v *queryHandler) jobPage(from string, all bool) protocol.JobPage {
	c := v.core
	listed := c.jobs.open
	if all {
		listed = c.jobs.byID
	}
	names, more := namesAfter(listed, from, func(*jobRecord) bool { return true })
	out := protocol.JobPage{Jobs: []protocol.JobSummary{}, Truncated: more}
	for _, name := range names {
		out.Jobs = append(out.Jobs, v.jobSummary(name, c.jobs.byID[name]))
	}
	return out
}

func (v *queryHandler) jobSummary(jobID string, r *jobRecord) protocol.JobSummary {
	c := v.core
	state := c.jobState(r)
	return protocol.JobSummary{
		ID:         jobID,
		Status:     state.Status,
		Class:      r.spec.Class,
		Team:       r.spec.Team,
		Shape:      protocol.ShapeName(r.spec.Shape),
		Priority:   protocol.PriorityName(r.spec.Priority),
		Tasks:      r.spec.Tasks,
		Done:       *state.Done,
		Running:    *state.Running,
		AgeS:       float64(c.wallTime.UnixMilli()-r.submittedAtMS) / 1000,
		WaitingFor: v.waitReason(r),
	}
}

// waitReason returns what an open job's pending tasks wait for, as far as this controller
// knows, or "" if no task is pending.
func (v *queryHandler) waitReason(r *jobRecord) string {
	c := v.core
	t := c.jobs.teamOf(r)
	switch {
	case r.final() || r.unplacedTasks() <= 0:
		return ""
	case c.paused(r):
		return "a pause after failures, or the one task that is tried again"
	case t != nil && t.hasLimit() && !t.withinLimit(t.running.plus(r.spec, 1)):
		return "the limit of team " + r.spec.Team
	case r.owner != c.cfg.Node && len(r.queue) == 0:
		return "a place, by way of " + r.owner
	case r.spec.Shape == job.Gang && r.spec.Tasks > 1:
		return "room for all tasks at once"
	}
	return "room"
}

// machinePage returns a page of the list of claimed machines that starts after machine from.
func (v *queryHandler) machinePage(from string) protocol.MachinePage {
	c := v.core
	names, more := namesAfter(c.machines.byID, from, func(m *machine) bool { return m.token != 0 })
	out := protocol.MachinePage{Machines: []protocol.MachineSummary{}, Truncated: more}
	for _, name := range names {
		out.Machines = append(out.Machines, v.machineSummary(c.machines.byID[name]))
	}
	return out
}

func (v *queryHandler) machineSummary(m *machine) protocol.MachineSummary {
	c := v.core
	status := "ready"
	if drain, ok := c.machines.drains[m.id]; ok {
		status = "draining: " + drain.Reason
	}
	capacity := c.machineTypeOf(m)
	summary := protocol.MachineSummary{
		Machine:          m.id,
		MachineType:      m.claim.MachineType,
		Zone:             m.claim.Zone,
		Spot:             m.claim.Spot,
		Address:          m.claim.Address,
		Owner:            m.claim.Owner,
		Status:           status,
		Tasks:            len(m.bound),
		CPUCapacity:      capacity.CPUs,
		GPUCapacity:      capacity.GPUs,
		MemoryCapacityGB: capacity.MemoryGB,
	}
	for _, key := range m.boundTasks() { // in fixed order, so that equal inputs give equal floating-point sums
		s := m.bound[key].spec
		summary.CPUs += s.CPUs
		summary.GPUs += s.GPUs
		summary.MemoryGB += s.MemoryGB
	}
	return summary
}
