package coordination

import (
	"encoding/json"
	"fmt"
	"net/http"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// submit handles a job's submission. The user chose the job's id, so that a submission
// can be repeated: one of a known job is answered with the job's state.
func (c *Core) submit(id uint64, body []byte) {
	jobID, err := protocol.SubmissionID(body)
	if err != nil {
		c.refuse(id, http.StatusBadRequest, err.Error())
		return
	}
	if c.refuseWhileLoading(id) {
		return
	}
	if c.jobs.byID[jobID] != nil {
		c.queryJob(id, jobID)
		return
	}
	if c.cutOff() {
		c.refuse(id, http.StatusServiceUnavailable, "the state service can't be reached now")
		return
	}
	spec, extra, refusal := c.parseSubmission(body)
	switch {
	case refusal == nil:
		c.commitSubmission(id, jobID, spec, extra)
	case refusal.status == http.StatusServiceUnavailable:
		c.refuse(id, refusal.status, refusal.reason)
	default:
		c.refuseUnlessKnown(id, jobID, refusal)
	}
}

// submissionRefusal is why a submission is not accepted.
type submissionRefusal struct {
	status int
	reason string
}

// parseSubmission reads and checks a submission, and returns the record of its extension
// fields, nil when there are none. A malformed one is a bad request; one that could never
// run is unprocessable.
func (c *Core) parseSubmission(body []byte) (*job.Spec, json.RawMessage, *submissionRefusal) {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		return nil, nil, &submissionRefusal{http.StatusBadRequest, err.Error()}
	}
	extra, err := c.queries.parseExtra(spec, body)
	if err != nil {
		return nil, nil, &submissionRefusal{http.StatusBadRequest, err.Error()}
	}
	if len(c.catalogue.types) == 0 {
		return nil, nil, &submissionRefusal{http.StatusServiceUnavailable, "the machine types are not known yet"}
	}
	if err := c.checkFeasible(spec); err != nil {
		return nil, nil, &submissionRefusal{http.StatusUnprocessableEntity, err.Error()}
	}
	return spec, extra, nil
}

// refuseUnlessKnown refuses a submission once the state service has shown that the job
// does not exist. A known job is never refused, whatever its repetition says: the mirror
// may lag, so the record itself decides.
func (c *Core) refuseUnlessKnown(id uint64, jobID string, refusal *submissionRefusal) {
	c.state.Refresh(ratelimit.UserRequests, keyJob+jobID, func(ok bool) {
		switch r := c.jobs.byID[jobID]; {
		case !ok:
			c.refuse(id, http.StatusServiceUnavailable, "can't tell now")
		case r != nil:
			c.respond(id, http.StatusOK, c.jobState(r), 0)
		default:
			c.respondUnknownJob(id, jobID, refusal.status, refusal.reason)
		}
	})
}

// commitSubmission writes the job's record, provided that there is none yet.
func (c *Core) commitSubmission(id uint64, jobID string, spec *job.Spec, extra json.RawMessage) {
	key := keyJob + jobID
	record := storedJob{spec, job.Open, c.wallTime.UnixMilli(), c.cfg.Node}
	ops := []protocol.Op{{Put: key, Value: encode(record)}}
	if extra != nil {
		ops = append(ops, protocol.Op{Put: keyJobExtra + jobID, Value: extra})
	}
	notExists := []protocol.Compare{{Key: key}}
	c.state.Txn(ratelimit.UserRequests, notExists, ops, func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
		switch outcome {
		case stateclient.Committed:
			c.submissionCommitted(id, jobID, spec)
		case stateclient.Conflict, stateclient.Unknown:
			c.rereadSubmission(id, jobID)
		default:
			c.refuse(id, http.StatusServiceUnavailable, "the state service can't be written now")
		}
	})
}

func (c *Core) submissionCommitted(id uint64, jobID string, spec *job.Spec) {
	c.Stats.Submitted++
	c.log.Debug("accepted", "job", jobID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
	c.respond(id, http.StatusCreated, protocol.JobState{ID: jobID, Status: protocol.JobQueued}, 0)
	c.dispatchJob(c.jobs.byID[jobID])
}

// rereadSubmission answers a submission whose job is known already, or whose transaction
// has an unknown outcome: the record tells.
func (c *Core) rereadSubmission(id uint64, jobID string) {
	c.state.Refresh(ratelimit.UserRequests, keyJob+jobID, func(ok bool) {
		if r := c.jobs.byID[jobID]; ok && r != nil {
			c.respond(id, http.StatusOK, c.jobState(r), 0)
			return
		}
		c.refuse(id, http.StatusServiceUnavailable, "the outcome is not known yet")
	})
}

// checkFeasible tells why a job can never run, nil if it can.
func (c *Core) checkFeasible(s *job.Spec) error {
	t := c.jobs.teams[s.Team]
	if t == nil {
		return fmt.Errorf("crew: unknown team %q", s.Team)
	}
	zones := c.feasibleZones(s)
	if len(zones) == 0 {
		return fmt.Errorf("no allowed machine type holds a task")
	}
	// The tasks of a gang and of a service are there at the same time; an array's may come one after another.
	if s.Spread && s.Shape != job.Array && s.Tasks > s.SpreadLimit() && (s.OneZone || len(zones) < 2) {
		return fmt.Errorf("apart: at most %d of %d tasks may be in one zone, and only one is allowed that holds them", s.SpreadLimit(), s.Tasks)
	}
	concurrentTasks := 1.0
	if s.Shape != job.Array {
		concurrentTasks = float64(s.Tasks)
	}
	if !t.withinLimit(usage{}.plus(s, concurrentTasks)) {
		return fmt.Errorf("the job needs more than the limit of team %q", s.Team)
	}
	return nil
}

// feasibleZones are the zones in which a machine of an allowed type can hold a task of the job.
func (c *Core) feasibleZones(s *job.Spec) map[string]bool {
	zones := map[string]bool{}
	for name, machineType := range c.catalogue.types {
		if !s.AllowsMachineType(name) || !typeHolds(machineType, s) {
			continue
		}
		for _, zone := range machineType.Zones {
			if s.Zone == "" || s.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// typeHolds tells whether an empty machine of a type has room for a task of the job.
func typeHolds(t *protocol.MachineType, s *job.Spec) bool {
	return s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.MemoryGB <= t.MemoryGB
}
