package scale

import (
	"fmt"
	"sync"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/hollow"
	"silvergate/internal/protocol"
)

// Rules that the checker knows, by the protocol's names.
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

// checker holds a cell's users and hollow workers to the protocol's rules. Tasks of
// real agents are not seen by it. It may be called from many goroutines.
//
// A task counts as on its machine while it runs; the wait of a gang's task for the
// others, with its image there, is not counted, which errs towards missing a broken quota.
type checker struct {
	cancelWithin time.Duration
	teamLimit    float64 // of each team, in accelerators; 0: none
	now          func() time.Duration

	mu              sync.Mutex
	jobs            map[string]*jobRecord
	teams           map[string]float64 // accelerators in use
	violationCounts map[string]int
	firstViolations []string
}

// jobRecord is what the checker knows of a job.
type jobRecord struct {
	spec        *submission
	accepted    bool
	final       string         // the last status that a user saw of a job that is over
	cancelled   bool           // its user saw that
	cancelledAt time.Duration  // when a user first heard so
	runningOn   map[int]string // where each task runs
	completed   map[int]bool   // tasks that completed
	starts      int
}

func newChecker(s *Scenario, now func() time.Duration) *checker {
	return &checker{cancelWithin: time.Duration(s.Periods.Cancel * float64(time.Second)), teamLimit: s.TeamLimit, now: now,
		jobs: map[string]*jobRecord{}, teams: map[string]float64{}, violationCounts: map[string]int{}}
}

// maxDescribedViolations bounds how many breaks are described.
const maxDescribedViolations = 20

// recordViolation notes a broken rule; the lock is held.
func (c *checker) recordViolation(rule, format string, args ...any) {
	c.violationCounts[rule]++
	if len(c.firstViolations) < maxDescribedViolations {
		c.firstViolations = append(c.firstViolations, fmt.Sprintf("%.3f s %s: ", c.now().Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

// submitted notes a job before it is submitted for the first time.
func (c *checker) submitted(s *submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[s.ID] = &jobRecord{spec: s, runningOn: map[int]string{}, completed: map[int]bool{}}
}

// started takes that a task runs on a machine; it returns how many of the job's
// tasks have started so far.
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
		c.recordViolation(ruleRanCancelled, "%s starts on %s, %s after its user was told", k, m.Name, c.now()-j.cancelledAt)
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

// checkPlacement judges a start by the job's own demands; the lock is held.
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

// stopped takes that a task is gone from its machine.
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

// observeStatus takes what a user sees of a job: the status of a 200, or "" for a 404.
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
		// A task on a real agent is not seen; its completion can't be judged.
		if missing := j.spec.Tasks - len(j.completed); missing > 0 && !j.spec.plan.real {
			c.recordViolation(ruleNotDone, "%s is called done, and %d of its tasks did not complete", id, missing)
		}
		j.final = status
	case statusCancelled:
		if !j.spec.progress.cancelRequested {
			c.recordViolation(ruleWentBack, "%s is called cancelled, and its user did not cancel it", id)
		}
		if !j.cancelled {
			j.cancelled, j.cancelledAt = true, c.now()
		}
		j.final = status
	}
}

// checkCancelledJobs looks for tasks of cancelled jobs that outlive the time that they may have.
func (c *checker) checkCancelledJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.cancelled && len(j.runningOn) > 0 && c.now() > j.cancelledAt+c.cancelWithin && !j.spec.progress.overdueReported {
			j.spec.progress.overdueReported = true
			c.recordViolation(ruleRanCancelled, "%s has %d tasks, %s after its user was told", id, len(j.runningOn), c.now()-j.cancelledAt)
		}
	}
}

// describe is the job's description, for workers.
func (c *checker) describe(id string) (*protocol.JobDescription, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.spec.description(), true
	}
	return nil, false
}

// runTime is how long a task runs.
func (c *checker) runTime(id string, index int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.spec.runTime(index)
	}
	return 0
}

// cancelRequested notes that a job's user asks to cancel it.
func (c *checker) cancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		j.spec.progress.cancelRequested = true
	}
}

// violations lists the broken rules with their counts, and the first breaks in words.
func (c *checker) violations() (map[string]int, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violationCounts, c.firstViolations
}

// submission is a job's, nil if nobody has submitted it.
func (c *checker) submission(id string) *submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.spec
	}
	return nil
}
