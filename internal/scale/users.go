package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// Statuses of jobs that are over, as controllers answer them.
const (
	statusDone      = "done"
	statusCancelled = "cancelled"
)

// Timeouts and periods of users, from the protocol. submitRetryTimeout is how long a user retries
// a submission; minRetryDelay is the shortest wait before a retry.
const (
	requestTimeout     = 5 * time.Second
	pollTimeout        = 2 * time.Second
	pollPeriod         = 5 * time.Second
	submitRetryTimeout = 60 * time.Second
	minRetryDelay      = time.Second
)

// submission is a job as its user submits it. plan and progress are the run's own and are not sent.
type submission struct {
	ID       string `json:"ref"`
	Class    string `json:"jobclass"`
	Team     string `json:"crew"`
	Shape    string `json:"shape"`
	Priority string `json:"urgency"`
	Tasks    int    `json:"loads"`
	resources
	Image               string   `json:"kit"`
	ImageGB             float64  `json:"sizeGb"`
	MachineTypes        []string `json:"rigs"`
	OneZone             bool     `json:"oneZone"`
	Spread              bool     `json:"apart"`
	Spot                bool     `json:"casual"`
	EstimateS           float64  `json:"etaS"`
	CheckpointIntervalS float64  `json:"waypointS"`
	CheckpointSaveS     float64  `json:"stowS"`

	plan     jobPlan
	progress jobProgress
}

// resources are what each task of a job needs. The struct is embedded, so that its JSON
// fields stand among the job's other fields.
type resources struct {
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"accelerators"`
	MemoryGB float64 `json:"ramGb"`
}

// jobPlan holds a job's randomly chosen future. It is chosen before the job is submitted.
type jobPlan struct {
	meanRunS float64 // mean run time of a task
	seed     uint64
	real     bool          // the job's tasks run on real agents
	cancelAt time.Duration // when its user cancels it; 0: never
}

// jobProgress is what the run knows about a submitted job.
type jobProgress struct {
	submittedAt     time.Duration  // when its user first tried to submit it
	cancelRequested bool           // its user has asked to cancel it
	overdueReported bool           // the checker has already reported that it runs too long after its cancellation
	zones           map[int]string // the zone in which each task last started, by index, for the checker
}

// shapes maps the shapes' names on the wire to those of package job.
var shapes = map[string]job.Shape{"batch": job.Array, "ensemble": job.Gang, "standing": job.Service}

// description returns the job's description, as a worker fetches it.
func (s *submission) description() *protocol.JobDescription {
	return &protocol.JobDescription{ID: s.ID, Class: s.Class, Team: s.Team, Shape: shapes[s.Shape], Priority: s.Priority, Tasks: s.Tasks,
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Image: s.Image, ImageGB: s.ImageGB}
}

// runTime returns how long a task runs: from 0.5 to 1.5 times the mean, the same for every
// attempt of a task and for all tasks of a gang. It returns 0 for services, which run until
// they are stopped.
func (s *submission) runTime(index int) time.Duration {
	if s.Shape == "standing" {
		return 0
	}
	if s.Shape == "ensemble" {
		index = 0
	}
	share := rand.New(rand.NewPCG(s.plan.seed, uint64(index))).Float64()
	return time.Duration(s.plan.meanRunS * (0.5 + share) * float64(time.Second))
}

// users simulates a cell's users, who submit jobs, poll their status and cancel some.
type users struct {
	cell        *cell
	pool        *transport.Pool
	controllers []string // the controllers' addresses
	random      *rand.Rand

	mu           sync.Mutex
	jobCount     int // jobs made so far
	requestCount int // requests sent to controllers
	openJobs     map[string]*submission
	accepted     int
	givenUp      int
	finished     int
	followers    sync.WaitGroup
}

// idDigits is how many digits a job's number has.
const idDigits = 9

func newUsers(c *cell) *users {
	u := &users{cell: c, pool: transport.NewPool(userConnections), random: rand.New(rand.NewPCG(c.scenario.Seed, uint64(100+c.layout.number))), openJobs: map[string]*submission{}}
	for _, n := range c.layout.controllerAddresses() {
		u.controllers = append(u.controllers, n.Address)
	}
	return u
}

// userConnections bounds how many connections a cell's users open.
const userConnections = 256

// newSubmission makes the next job of a class, with random team, image, run times and
// cancellation.
func (u *users) newSubmission(l *Load) *submission {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.jobCount++
	s := &submission{ID: fmt.Sprintf("wk-%0*d", idDigits, u.cell.layout.number*10_000_000+u.jobCount), Class: l.Class, Team: teamName(u.random.IntN(u.cell.scenario.Teams)),
		Shape: l.Shape, Priority: l.Urgency, Tasks: l.Tasks, resources: resources{CPUs: l.CPUs, GPUs: l.GPUs, MemoryGB: l.RAM}, Image: fmt.Sprintf("%s-%d", l.Class, u.random.IntN(l.Images)),
		ImageGB: l.ImageGB, MachineTypes: []string{hollowType}, OneZone: l.OneZone, EstimateS: l.RunS,
		plan: jobPlan{meanRunS: l.RunS, seed: u.random.Uint64(), real: l.Real}}
	if l.Real {
		s.MachineTypes, s.Image = []string{realType}, realImage
	}
	if l.Cancelled > 0 && u.random.Float64() < l.Cancelled {
		s.plan.cancelAt = u.cell.now() + time.Duration(u.random.Float64()*(l.RunS+10)*float64(time.Second))
	}
	return s
}

// run submits jobs until the scenario's duration is over. Users then go on following the jobs
// that are not over, until stop is closed.
func (u *users) run(stop <-chan struct{}) {
	s := u.cell.scenario
	var arrivals sync.WaitGroup
	for i := range s.Load {
		l := &s.Load[i]
		for range l.Initial {
			u.startJob(l, stop)
		}
		if l.PerS > 0 {
			arrivals.Add(1)
			go func() {
				defer arrivals.Done()
				u.submitArrivals(l, stop)
			}()
		}
	}
	arrivals.Wait()
}

// submitArrivals submits jobs of a class at random times, as a Poisson process, until the
// scenario's duration is over.
func (u *users) submitArrivals(l *Load, stop <-chan struct{}) {
	end := time.Duration(u.cell.scenario.DurationS * float64(time.Second))
	for {
		u.mu.Lock()
		wait := time.Duration(u.random.ExpFloat64() / l.PerS * float64(time.Second))
		u.mu.Unlock()
		if u.cell.now()+wait > end {
			return
		}
		select {
		case <-time.After(wait):
			u.startJob(l, stop)
		case <-stop:
			return
		}
	}
}

// startJob makes a job of a class and starts a goroutine that submits and follows it.
func (u *users) startJob(l *Load, stop <-chan struct{}) {
	s := u.newSubmission(l)
	u.cell.checker.submitted(s)
	u.followers.Add(1)
	go func() {
		defer u.followers.Done()
		u.follow(s, stop)
	}()
}

// follow submits a job and polls it until it is over or stop is closed. If the job's plan says
// so, it cancels the job.
func (u *users) follow(s *submission, stop <-chan struct{}) {
	s.progress.submittedAt = u.cell.now()
	if !u.submit(s, stop) {
		return
	}
	u.mu.Lock()
	u.openJobs[s.ID] = s
	u.mu.Unlock()
	for {
		wait := pollPeriod
		if s.plan.cancelAt > 0 {
			wait = min(wait, max(s.plan.cancelAt-u.cell.now(), 10*time.Millisecond))
		}
		select {
		case <-time.After(wait):
		case <-stop:
			return
		}
		var over bool
		if s.plan.cancelAt > 0 && u.cell.now() >= s.plan.cancelAt {
			over = u.cancel(s)
		} else {
			over = u.poll(s)
		}
		if over {
			u.mu.Lock()
			delete(u.openJobs, s.ID)
			u.finished++
			u.mu.Unlock()
			return
		}
	}
}

// pickController returns the address of the next controller, round robin.
func (u *users) pickController() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requestCount++
	return u.controllers[u.requestCount%len(u.controllers)]
}

// request sends a request to the next controller. It returns the HTTP status, or 0 if there was
// no answer, the job's status, and how long to wait before a retry.
func (u *users) request(method, path string, body []byte, timeout time.Duration) (code int, status string, retry time.Duration) {
	r, _, err := u.pool.Do(u.pickController(), method, path, body, timeout)
	if err != nil {
		return 0, "", minRetryDelay
	}
	var state protocol.JobState
	_ = json.Unmarshal(r.Body, &state)
	return r.Status, state.Status, max(minRetryDelay, time.Duration(r.RetryAfter)*time.Second)
}

// submit submits a job, with retries for submitRetryTimeout. It reports whether the job was
// accepted.
func (u *users) submit(s *submission, stop <-chan struct{}) bool {
	body := protocol.Encode(s)
	for {
		code, status, retry := u.request(http.MethodPost, protocol.PathJobs, body, requestTimeout)
		switch {
		case code == http.StatusCreated || code == http.StatusOK:
			u.cell.checker.observeStatus(s.ID, status)
			u.cell.recordAcceptance(u.cell.now() - s.progress.submittedAt)
			u.mu.Lock()
			u.accepted++
			u.mu.Unlock()
			return true
		case code == http.StatusBadRequest || code == http.StatusUnprocessableEntity || u.cell.now()-s.progress.submittedAt > submitRetryTimeout:
			u.mu.Lock()
			u.givenUp++
			u.mu.Unlock()
			return false
		}
		select {
		case <-time.After(retry):
		case <-stop:
			return false
		}
	}
}

// poll asks for a job's status and reports whether the job is over.
func (u *users) poll(s *submission) bool {
	code, status, _ := u.request(http.MethodGet, protocol.PathJobs+"/"+s.ID, nil, pollTimeout)
	switch code {
	case http.StatusOK:
		u.cell.checker.observeStatus(s.ID, status)
	case http.StatusNotFound:
		u.cell.checker.observeStatus(s.ID, "")
	}
	return code == http.StatusOK && (status == statusDone || status == statusCancelled)
}

// cancel asks to cancel a job and reports whether the controller confirmed it.
func (u *users) cancel(s *submission) bool {
	u.cell.checker.cancelRequested(s.ID)
	code, status, _ := u.request(http.MethodPost, protocol.PathJobs+"/"+s.ID+"/"+protocol.PathCancel, nil, requestTimeout)
	if code != http.StatusOK {
		return false
	}
	u.cell.checker.observeStatus(s.ID, status)
	return true
}

// counts returns how many jobs were accepted, how many were given up because they were not
// accepted, and how many users have seen to be over.
func (u *users) counts() (accepted, givenUp, finished int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted, u.givenUp, u.finished
}
