package coordination

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// simUser is the user of one job.
type simUser struct {
	jobStarts
	cancellation
	s               *sim
	spec            *job.Spec
	body            []byte        // submission
	runtimeS        float64       // of the first task, in seconds
	runtimeStepS    float64       // by which each task runs longer than the one before, in seconds
	dataSetCopy     string        // ID of the copy that the job reads; empty: none
	done            []bool        // by task index
	failsEverywhere bool          // its tasks fail on every machine
	failures        int           // tasks that failed
	submittedAt     time.Duration // of the first submission
	accepted        bool
	acceptedAfter   time.Duration // time from the first submission to its acceptance
	known           bool          // an answer has shown that the job is accepted
	lastAnsweredAt  time.Duration // time of the last answer to a query
	finalStatus     string        // as shown by an answer; empty: none yet
	capacityWait    idleCapacityWait
}

// jobStarts records the starts of a job's tasks.
type jobStarts struct {
	firstStartAt       time.Duration // of any task; 0: none
	startDelay         time.Duration // from the submission to the first start, not counting outages
	outageAtSubmission time.Duration // simCounts.outage at the submission
	tasksStarted       int           // tasks that have started at least once
	gangsStarted       int           // attempts in which all tasks of the gang ran together, if simOptions.gangsWait is set
	lastStarts         []lastStart   // by task index
	restarts           int           // starts of tasks that had started on a machine that is still up in the same agent epoch
}

// cancellation records the cancellation of a job.
type cancellation struct {
	cancelRequested bool
	cancelVia       *simController // controller that gets the request; nil: any
	cancelledAt     time.Duration  // when the cancellation was confirmed to the user; 0: not yet
	lastActiveAt    time.Duration  // when a task was last seen active after cancelledAt
}

// submit has a user submit a job whose tasks run for runtimeS seconds, and cancel it after cancelAfter unless that
// is 0.
func (s *sim) submit(spec *job.Spec, runtimeS float64, cancelAfter time.Duration) *simUser {
	u := &simUser{s: s, spec: spec, runtimeS: runtimeS, submittedAt: s.now, done: make([]bool, spec.Tasks),
		jobStarts: jobStarts{outageAtSubmission: s.counts.outage}}
	shapes := map[job.Shape]string{job.Array: "batch", job.Gang: "ensemble", job.Service: "standing"}
	urgencies := []string{"idle", "standard", "urgent", "prod"}
	var zone any
	if spec.Zone != "" {
		zone = spec.Zone
	}
	urgency := urgencies[spec.Priority]
	if s.defects.productionAsLow && spec.Priority == job.Production {
		urgency = urgencies[job.Low]
	}
	body := map[string]any{"ref": spec.ID, "jobclass": spec.Class, "crew": spec.Team, "shape": shapes[spec.Shape], "urgency": urgency,
		"loads": spec.Tasks, "cpus": spec.CPUs, "accelerators": spec.GPUs, "ramGb": spec.MemoryGB, "kit": "img", "sizeGb": 1.0, "rigs": spec.MachineTypes, "depot": zone,
		"oneZone": spec.OneZone, "apart": spec.Spread, "casual": spec.Spot, "etaS": runtimeS, "waypointS": 0.0, "stowS": 0.0, "dueS": nil}
	if s.options.dataSets != nil && s.now > 15*time.Second { // the data sets are registered by then
		set := s.options.dataSets[s.random.IntN(len(s.options.dataSets))]
		u.dataSetCopy = set.CopyID()
		body["inputs"] = []map[string]string{{"set": set.Set, "version": set.Version, "place": "in"}}
	}
	u.body, _ = json.Marshal(body)
	s.users[spec.ID] = u
	u.sendSubmission()
	if cancelAfter > 0 {
		s.after(cancelAfter, u.cancel)
	}
	return u
}

// knownStatus is the furthest status of a job that any answer has shown: none, accepted, or its final status.
// Answers to queries that are sent later must not fall behind it.
type knownStatus struct {
	known bool
	final string
}

func (u *simUser) knownStatus() knownStatus { return knownStatus{u.known, u.finalStatus} }

// sendSubmission submits the job, retries until it is answered, and then polls the job.
func (u *simUser) sendSubmission() {
	s, before := u.s, u.knownStatus()
	s.anyController().request("users", "POST", protocol.PathJobs, u.body, func(st int, body []byte) {
		switch st {
		case 200, 201:
			if !u.accepted {
				u.acceptedAfter = s.now - u.submittedAt
			}
			u.accepted = true
			u.checkAnswer(body, before)
			s.after(s.randomMillis(500, 5000), u.poll)
			if s.random.IntN(8) == 0 { // a late repetition
				s.after(s.randomMillis(1000, 90_000), u.sendSubmission)
			}
		case 400, 422:
			if u.accepted {
				s.addViolation("forgotten", "repeated submission of %s: %d %s", u.spec.ID, st, body)
			} else {
				s.addViolation("refused", "%s: %d %s", u.spec.ID, st, body)
			}
		default:
			s.after(time.Second, u.sendSubmission)
		}
	})
}

// checkAnswer checks an answer against the user's knowledge of the job and updates it. before is what was known when
// the request was sent.
func (u *simUser) checkAnswer(body []byte, before knownStatus) {
	previous := u.knownStatus()
	defer func() {
		if u.known = true; previous != u.knownStatus() {
			u.queryEverywhere()
		}
	}()
	var state protocol.JobState
	if json.Unmarshal(body, &state) != nil || state.ID != u.spec.ID {
		u.s.addViolation("format", "%s: %q", u.spec.ID, body)
		return
	}
	allDone := u.countDone() == len(u.done)
	if before.final != "" && state.Status != before.final || u.finalStatus != "" && state.Status != u.finalStatus && (state.Status == "done" || state.Status == "cancelled") {
		u.s.addViolation("went_back", "%s was %s, is %s", u.spec.ID, cmp.Or(before.final, u.finalStatus), state.Status)
	}
	switch state.Status {
	case "done":
		if !allDone {
			u.s.addViolation("not_done", "%s", u.spec.ID)
		}
		u.finalStatus = "done"
	case "cancelled":
		if !u.cancelRequested {
			u.s.addViolation("went_back", "%s is cancelled, which nobody requested", u.spec.ID)
		}
		u.finalStatus = "cancelled"
		if u.cancelledAt == 0 {
			u.cancelledAt = u.s.now
		}
	}
}

// poll queries the job every few seconds until it has ended, and sometimes after that.
func (u *simUser) poll() {
	s, before := u.s, u.knownStatus()
	s.anyController().request("users", "GET", protocol.PathJobs+"/"+u.spec.ID, nil, func(st int, body []byte) {
		u.checkQueryAnswer(st, body, before)
		if u.finalStatus == "" || s.random.IntN(4) == 0 {
			s.after(s.randomMillis(2000, 5000), u.poll)
		}
	})
}

// cancel cancels the job, and retries until the cancellation is accepted.
func (u *simUser) cancel() {
	s := u.s
	u.cancelRequested = true
	before := u.knownStatus()
	n := u.cancelVia
	if n == nil || n.core == nil {
		n = s.anyController()
	}
	n.request("users", "POST", protocol.PathJobs+"/"+u.spec.ID+"/abort", nil, func(st int, body []byte) {
		if !u.cancelAnswered(st, body, before) {
			s.after(time.Second, u.cancel)
		}
	})
}

// cancelAgain sends one more cancellation for a job that has ended or was cancelled before.
func (u *simUser) cancelAgain() {
	before := u.knownStatus()
	u.s.anyController().request("users", "POST", protocol.PathJobs+"/"+u.spec.ID+"/abort", nil, func(st int, b []byte) { u.cancelAnswered(st, b, before) })
}

// cancelAnswered checks the answer to a cancellation and reports whether the cancellation was accepted.
func (u *simUser) cancelAnswered(st int, body []byte, before knownStatus) bool {
	if st == 404 && before.known {
		u.s.addViolation("forgotten", "cancellation of %s answered with 404", u.spec.ID)
	}
	if st == 200 {
		u.checkAnswer(body, before)
	}
	return st == 200
}

// resubmit submits the job once more to a controller. Once an answer has shown that the job is accepted, no
// controller may refuse it or accept it as a new job.
func (u *simUser) resubmit(n *simController, body []byte) {
	before := u.knownStatus()
	n.request("users", "POST", protocol.PathJobs, body, func(st int, b []byte) {
		switch {
		case st == 200 || st == 201 && !before.known:
			u.accepted = true
			u.checkAnswer(b, before)
		case before.known && (st == 201 || st == 400 || st == 422 || st == 404):
			u.s.addViolation("forgotten", "repeated submission of %s: %d %s", u.spec.ID, st, b)
		}
	})
}

// queryEverywhere has the user query all controllers within milliseconds. Some users also submit or cancel again.
func (u *simUser) queryEverywhere() {
	s := u.s
	if !s.faults.queryEverywhere {
		return
	}
	for _, n := range s.controllers {
		for range 2 {
			s.faultCounts.concurrentQueries++
			s.after(s.randomMillis(0, 60), func() { u.queryAt(n) })
		}
		switch s.random.IntN(8) {
		case 0:
			s.after(s.randomMillis(0, 60), func() { u.resubmit(n, u.body) })
		case 1:
			if u.cancelRequested || u.finalStatus == "done" {
				s.after(s.randomMillis(0, 60), u.cancelAgain)
			}
		}
	}
}

// countDone returns the number of a job's tasks that are done.
func (u *simUser) countDone() (done int) {
	for _, d := range u.done {
		if d {
			done++
		}
	}
	return done
}

// completeAll marks all tasks of a gang as done: they complete together.
func (u *simUser) completeAll() {
	for i := range u.done {
		u.done[i] = true
	}
}

// taskEnded is called when a task completes. When the last task of a job completes, some users cancel, query or
// resubmit the job.
func (u *simUser) taskEnded() {
	s := u.s
	if u.countDone() < len(u.done) {
		return
	}
	if s.faults.cancelAtEnd == 0 || s.random.Float64() >= s.faults.cancelAtEnd {
		return
	}
	s.faultCounts.requestsAtEnd++
	for range 1 + s.random.IntN(2) {
		s.after(s.randomMillis(0, 1500), func() {
			switch s.random.IntN(3) {
			case 0:
				u.sendSubmission()
			case 1:
				u.cancel()
			}
			u.queryEverywhere()
		})
	}
}

// queryUnknownJobs queries a job that nobody has submitted, every few seconds.
func (s *sim) queryUnknownJobs() {
	id := fmt.Sprintf("wk-%06d", 900000+s.random.IntN(1000))
	s.anyController().request("users", "GET", protocol.PathJobs+"/"+id, nil, func(st int, _ []byte) {
		if st == 200 {
			s.addViolation("invented", "%s", id)
		}
	})
	s.after(s.randomMillis(3000, 9000), s.queryUnknownJobs)
}
