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

// Statuses of jobs that are over.
const (
	statusDone      = "done"
	statusCancelled = "cancelled"
)

// Users' patience, from the protocol.
const (
	answerPatience = 5 * time.Second
	pollPatience   = 2 * time.Second
	pollPeriod     = 5 * time.Second
	retryFor       = 60 * time.Second
	leastRetry     = time.Second
)

// submission is a job as its user sends it, and what the run knows of it.
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

// resources are what each task of a job takes. They are embedded: on the wire they
// stand among the job's other fields.
type resources struct {
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"accelerators"`
	MemoryGB float64 `json:"ramGb"`
}

// jobPlan is what becomes of a job, as drawn before it is submitted.
type jobPlan struct {
	runS   float64 // mean run time of a task
	seed   uint64
	real   bool          // its tasks run on real agents
	endsAt time.Duration // when its user cancels it; 0: never
}

// jobProgress is what the run knows of a job that was submitted.
type jobProgress struct {
	submittedAt     time.Duration  // the first attempt to submit it
	cancelRequested bool           // its user has asked to cancel it
	overdue         bool           // the checker has complained already
	zones           map[int]string // where the tasks started last, for the checker
}

// shapes maps wire names to the model's.
var shapes = map[string]job.Shape{"batch": job.Array, "ensemble": job.Gang, "standing": job.Service}

// description is what a worker fetches of the job.
func (s *submission) description() *protocol.JobDescription {
	return &protocol.JobDescription{ID: s.ID, Class: s.Class, Team: s.Team, Shape: shapes[s.Shape], Priority: s.Priority, Tasks: s.Tasks,
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Image: s.Image, ImageGB: s.ImageGB}
}

// runTime is from half to one and a half of the mean, the same for every attempt of a
// task, and the same for all tasks of a gang.
func (s *submission) runTime(index int) time.Duration {
	if s.Shape == "standing" {
		return 0
	}
	if s.Shape == "ensemble" {
		index = 0
	}
	share := rand.New(rand.NewPCG(s.plan.seed, uint64(index))).Float64()
	return time.Duration(s.plan.runS * (0.5 + share) * float64(time.Second))
}

// users submit a cell's jobs, ask about them and cancel some.
type users struct {
	cell    *cell
	pool    *transport.Pool
	targets []string // the controllers' addresses
	random  *rand.Rand

	mu         sync.Mutex
	jobs       int // made so far
	nextTarget int // counts the requests to controllers
	open       map[string]*submission
	accepted   int
	givenUp    int
	finished   int
	wait       sync.WaitGroup
}

// idDigits is how many digits a job's number has.
const idDigits = 9

func newUsers(c *cell) *users {
	u := &users{cell: c, pool: transport.NewPool(userConnections), random: rand.New(rand.NewPCG(c.scenario.Seed, uint64(100+c.layout.number))), open: map[string]*submission{}}
	for _, n := range c.layout.nodes() {
		u.targets = append(u.targets, n.Address)
	}
	return u
}

// userConnections bounds the users' connections of a cell.
const userConnections = 256

// newSubmission makes the next job of a class, by chance.
func (u *users) newSubmission(l *Load) *submission {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.jobs++
	s := &submission{ID: fmt.Sprintf("wk-%0*d", idDigits, u.cell.layout.number*10_000_000+u.jobs), Class: l.Class, Team: teamName(u.random.IntN(u.cell.scenario.Teams)),
		Shape: l.Shape, Priority: l.Urgency, Tasks: l.Tasks, resources: resources{CPUs: l.CPUs, GPUs: l.GPUs, MemoryGB: l.RAM}, Image: fmt.Sprintf("%s-%d", l.Class, u.random.IntN(l.Images)),
		ImageGB: l.ImageGB, MachineTypes: []string{hollowType}, OneZone: l.OneZone, EstimateS: l.RunS,
		plan: jobPlan{runS: l.RunS, seed: u.random.Uint64(), real: l.Real}}
	if l.Real {
		s.MachineTypes, s.Image = []string{realType}, realImage
	}
	if l.Cancelled > 0 && u.random.Float64() < l.Cancelled {
		s.plan.endsAt = u.cell.now() + time.Duration(u.random.Float64()*(l.RunS+10)*float64(time.Second))
	}
	return s
}

// run submits until the scenario's duration is over. What is under way then goes on
// until stop is closed.
func (u *users) run(stop <-chan struct{}) {
	s := u.cell.scenario
	var arrivals sync.WaitGroup
	for i := range s.Load {
		l := &s.Load[i]
		for range l.Initial {
			u.begin(l, stop)
		}
		if l.PerS > 0 {
			arrivals.Add(1)
			go func() {
				defer arrivals.Done()
				u.arrive(l, stop)
			}()
		}
	}
	arrivals.Wait()
}

// arrive submits jobs of a class at drawn times.
func (u *users) arrive(l *Load, stop <-chan struct{}) {
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
			u.begin(l, stop)
		case <-stop:
			return
		}
	}
}

// begin has a user submit a job and follow it.
func (u *users) begin(l *Load, stop <-chan struct{}) {
	s := u.newSubmission(l)
	u.cell.checker.submitted(s)
	u.wait.Add(1)
	go func() {
		defer u.wait.Done()
		u.follow(s, stop)
	}()
}

// follow submits a job and asks about it until it is over.
func (u *users) follow(s *submission, stop <-chan struct{}) {
	s.progress.submittedAt = u.cell.now()
	if !u.submit(s, stop) {
		return
	}
	u.mu.Lock()
	u.open[s.ID] = s
	u.mu.Unlock()
	for {
		wait := pollPeriod
		if s.plan.endsAt > 0 {
			wait = min(wait, max(s.plan.endsAt-u.cell.now(), 10*time.Millisecond))
		}
		select {
		case <-time.After(wait):
		case <-stop:
			return
		}
		var over bool
		if s.plan.endsAt > 0 && u.cell.now() >= s.plan.endsAt {
			over = u.cancel(s)
		} else {
			over = u.poll(s)
		}
		if over {
			u.mu.Lock()
			delete(u.open, s.ID)
			u.finished++
			u.mu.Unlock()
			return
		}
	}
}

// target is the next controller's address, round robin.
func (u *users) target() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.nextTarget++
	return u.targets[u.nextTarget%len(u.targets)]
}

// ask sends a request and reads the answer's status.
func (u *users) ask(method, path string, body []byte, patience time.Duration) (code int, status string, retry time.Duration) {
	r, _, err := u.pool.Do(u.target(), method, path, body, patience)
	if err != nil {
		return 0, "", leastRetry
	}
	var state protocol.JobState
	_ = json.Unmarshal(r.Body, &state)
	return r.Status, state.Status, max(leastRetry, time.Duration(r.RetryAfter)*time.Second)
}

func (u *users) submit(s *submission, stop <-chan struct{}) bool {
	body := protocol.Encode(s)
	for {
		code, status, retry := u.ask(http.MethodPost, protocol.PathJobs, body, answerPatience)
		switch {
		case code == http.StatusCreated || code == http.StatusOK:
			u.cell.checker.answered(s.ID, status)
			u.cell.submitted(u.cell.now() - s.progress.submittedAt)
			u.mu.Lock()
			u.accepted++
			u.mu.Unlock()
			return true
		case code == http.StatusBadRequest || code == http.StatusUnprocessableEntity || u.cell.now()-s.progress.submittedAt > retryFor:
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

// poll asks for a job's state and tells whether it is over.
func (u *users) poll(s *submission) bool {
	code, status, _ := u.ask(http.MethodGet, protocol.PathJobs+"/"+s.ID, nil, pollPatience)
	switch code {
	case http.StatusOK:
		u.cell.checker.answered(s.ID, status)
	case http.StatusNotFound:
		u.cell.checker.answered(s.ID, "")
	}
	return code == http.StatusOK && (status == statusDone || status == statusCancelled)
}

func (u *users) cancel(s *submission) bool {
	u.cell.checker.cancelRequested(s.ID)
	code, status, _ := u.ask(http.MethodPost, protocol.PathJobs+"/"+s.ID+"/"+protocol.PathCancel, nil, answerPatience)
	if code != http.StatusOK {
		return false
	}
	u.cell.checker.answered(s.ID, status)
	return true
}

// counts tells how many jobs were accepted, given up on and seen to be over.
func (u *users) counts() (accepted, givenUp, finished int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted, u.givenUp, u.finished
}
