package scale

import (
	"fmt"
	"sync"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/hollow"
	"silvergate/internal/protocol"
)

// Rules that the checker checks, by their names in the protocol.
const (
	ruleRanTwice     = "ran_twice"
	ruleQuota        = "quota"
	ruleWrongPlace   = "wrong_place"
	ruleRanCancelled = "ran_cancelled"
	ruleNotDone      = "not_done"
	ruleWentBack     = "went_back"
	ruleForgotten    = "forgotten"
	ruleInvented     = "invented"
)

// checker checks what a cell's users and hollow workers see against the protocol's rules.
// It does not see tasks on real agents. It is safe for concurrent use.
//
// A task counts as on its machine, and against its team's quota, while it runs. A gang task
// that has its image and still waits for its peers is not counted, so the checker may
// miss a broken quota.
type checker struct {
	cancelWithin time.Duration
	teamLimit    float64 // limit of each team, in accelerators; 0: none
	now          func() time.Duration

	mu              sync.Mutex
	jobs            map[string]*jobRecord
	teams           map[string]float64 // accelerators in use, by team
	violationCounts map[string]int
	firstViolations []string
}

// jobRecord is what the checker knows about a job.
type jobRecord struct {
	spec        *submission
	accepted    bool
	final       string         // the final status that a user last saw; empty: none so far
	cancelled   bool           // a user has seen that the job is cancelled
	cancelledAt time.Duration  // when a user first saw that
	runningOn   map[int]string // the machine that each running task is on, by task index
	completed   map[int]bool   // indexes of the tasks that completed
	starts      int
}

func newChecker(s *Scenario, now func() time.Duration) *checker {
	return &checker{cancelWithin: time.Duration(s.Periods.Cancel * float64(time.Second)), teamLimit: s.TeamLimit, now: now,
		jobs: map[string]*jobRecord{}, teams: map[string]float64{}, violationCounts: map[string]int{}}
}

// maxDescribedViolations bounds how many violations are described. All are counted.
const maxDescribedViolations = 20

// recordViolation counts a broken rule and describes it, up to the bound. The caller holds
// c.mu.
func (c *checker) recordViolation(rule, format string, args ...any) {
	c.violationCounts[rule]++
	if len(c.firstViolations) < maxDescribedViolations {
		c.firstViolations = append(c.firstViolations, fmt.Sprintf("%.3f s %s: ", c.now().Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

// submitted records a job before it is submitted for the first time.
func (c *checker) submitted(s *submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[s.ID] = &jobRecord{spec: s, runningOn: map[int]string{}, completed: map[int]bool{}}
}

// started records that a task started on a machine, and checks the rules. It returns how
// often tasks of the job have started so far.
func (c *checker) started(m *hollow.Machine, k agent.TaskAttempt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[k.Job]
	if j == nil {
		c.recordViolation(ruleInvented, "%s starts, and nobody has submitted it", k)
		return 0
	}
	if other, on := j.runningOn[k.Index]; on {
		c.recordViolation(ruleRanTwice, "%s starts on %s while it is on %s", k, m.Name, other)
	}
	if j.cancelled && c.now() > j.cancelledAt+c.cancelWithin {
		c.recordViolation(ruleRanCancelled, "%s starts on %s, %s after its user saw that the job is cancelled", k, m.Name, c.now()-j.cancelledAt)
	}
	j.runningOn[k.Index] = m.Name
	j.starts++
	c.checkPlacement(j, m, k)
	team := j.spec.Team
	c.teams[team] += j.spec.GPUs
	if c.teamLimit > 0 && c.teams[team] > c.teamLimit+0.001 {
		c.recordViolation(ruleQuota, "%s uses %.1f of %.1f accelerators", team, c.teams[team], c.teamLimit)
	}
	return j.starts
}

// checkPlacement checks a task's machine against what the job asked for: the machine type,
// spot machines and one zone. The caller holds c.mu.
func (c *checker) checkPlacement(j *jobRecord, m *hollow.Machine, k agent.TaskAttempt) {
	if j.spec.progress.zones == nil {
		j.spec.progress.zones = map[int]string{}
	}
	if m.Type != j.spec.MachineTypes[0] || m.Spot && !j.spec.Spot {
		c.recordViolation(ruleWrongPlace, "%s starts on %s of type %s", k, m.Name, m.Type)
	}
	if j.spec.OneZone {
		for index := range j.runningOn {
			if zone, known := j.spec.progress.zones[index]; known && index != k.Index && zone != m.Zone {
				c.recordViolation(ruleWrongPlace, "%s starts in %s while task %d is in %s", k, m.Zone, index, zone)
				break
			}
		}
	}
	j.spec.progress.zones[k.Index] = m.Zone
}

// stopped records that a task no longer runs on a machine. done reports whether it completed.
func (c *checker) stopped(m *hollow.Machine, k agent.TaskAttempt, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[k.Job]
	if j == nil || j.runningOn[k.Index] != m.Name {
		return
	}
	delete(j.runningOn, k.Index)
	c.teams[j.spec.Team] -= j.spec.GPUs
	if done {
		j.completed[k.Index] = true
	}
}

// observeStatus checks what a user sees of a job: the status in a 200 response, or "" for
// a 404.
func (c *checker) observeStatus(id, status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case j == nil && status != "":
		c.recordViolation(ruleInvented, "%s is %s, and nobody has submitted it", id, status)
		return
	case j == nil:
		return
	case status == "" && j.accepted:
		c.recordViolation(ruleForgotten, "%s was accepted, and is unknown", id)
		return
	case status == "":
		return
	}
	j.accepted = true
	if j.final != "" && status != j.final {
		c.recordViolation(ruleWentBack, "%s was %s, and is %s", id, j.final, status)
	}
	switch status {
	case statusDone:
		// The checker does not see tasks on real agents, so it can't check that they completed.
		if missing := j.spec.Tasks - len(j.completed); missing > 0 && !j.spec.plan.real {
			c.recordViolation(ruleNotDone, "%s is reported as done, but %d of its tasks did not complete", id, missing)
		}
		j.final = status
	case statusCancelled:
		if !j.spec.progress.cancelRequested {
			c.recordViolation(ruleWentBack, "%s is reported as cancelled, but its user did not cancel it", id)
		}
		if !j.cancelled {
			j.cancelled, j.cancelledAt = true, c.now()
		}
		j.final = status
	}
}

// checkCancelledJobs checks that no task of a cancelled job still runs cancelWithin after a
// user saw that the job is cancelled. It reports a job at most once.
func (c *checker) checkCancelledJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.cancelled && len(j.runningOn) > 0 && c.now() > j.cancelledAt+c.cancelWithin && !j.spec.progress.overdueReported {
			j.spec.progress.overdueReported = true
			c.recordViolation(ruleRanCancelled, "%s still has %d tasks, %s after its user saw that the job is cancelled", id, len(j.runningOn), c.now()-j.cancelledAt)
		}
	}
}

// describe returns the job's description for workers; false: nobody has submitted it.
func (c *checker) describe(id string) (*protocol.JobDescription, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.spec.description(), true
	}
	return nil, false
}

// runTime returns how long a task runs; 0: until it is stopped, or nobody has submitted it.
func (c *checker) runTime(id string, index int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.spec.runTime(index)
	}
	return 0
}

// cancelRequested records that a job's user asks to cancel it.
func (c *checker) cancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		j.spec.progress.cancelRequested = true
	}
}

// violations returns how often each broken rule was broken, and descriptions of the first
// violations.
func (c *checker) violations() (map[string]int, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violationCounts, c.firstViolations
}

// submission returns a job's submission, or nil if nobody has submitted it.
func (c *checker) submission(id string) *submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.spec
	}
	return nil
}
