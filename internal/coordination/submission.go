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

// submit handles a job's submission. Users choose the job's id, so a submission can be
// repeated: a submission of a known job is answered with the job's state.
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
	case refusal == nil && c.memoryExhausted():
		c.refuse(id, http.StatusServiceUnavailable, "there is no memory for further jobs")
	case refusal == nil:
		c.commitSubmission(id, jobID, spec, extra)
	case refusal.status == http.StatusServiceUnavailable:
		c.refuse(id, refusal.status, refusal.reason)
	default:
		c.refuseUnlessKnown(id, jobID, refusal)
	}
}

// submissionRefusal is the response to a submission that is not accepted.
type submissionRefusal struct {
	status int
	reason string
}

// parseSubmission parses and checks a submission. It returns the job's spec and the record of
// its extension fields, nil if there are none. A malformed submission is a bad request; a job
// that could never run is unprocessable.
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
// does not exist. A repeated submission of a known job is never refused, whatever it contains:
// the mirror may lag, so the job's record is reread first.
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

// commitSubmission writes the job's record on condition that it does not exist yet.
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

// rereadSubmission answers a submission whose job exists already, or whose transaction has an
// unknown outcome: it rereads the job's record to find out.
func (c *Core) rereadSubmission(id uint64, jobID string) {
	c.state.Refresh(ratelimit.UserRequests, keyJob+jobID, func(ok bool) {
		if r := c.jobs.byID[jobID]; ok && r != nil {
			c.respond(id, http.StatusOK, c.jobState(r), 0)
			return
		}
		c.refuse(id, http.StatusServiceUnavailable, "the outcome is not known yet")
	})
}

// checkFeasible returns an error that says why a job can never run, or nil if it can.
func (c *Core) checkFeasible(s *job.Spec) error {
	t := c.jobs.teams[s.Team]
	if t == nil {
		return fmt.Errorf("crew: unknown team %q", s.Team)
	}
	zones := c.feasibleZones(s)
	if len(zones) == 0 {
		return fmt.Errorf("no allowed machine type holds a task")
	}
	// The tasks of a gang or a service run at the same time; those of an array may run one after another.
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

// feasibleZones returns the zones in which a machine of an allowed type can hold a task of the job.
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

// typeHolds reports whether an empty machine of a type has room for a task of the job.
func typeHolds(t *protocol.MachineType, s *job.Spec) bool {
	return s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.MemoryGB <= t.MemoryGB
}
