// Package hollow simulates thousands of workers in one process. Each hollow worker speaks the
// full worker protocol (heartbeats, agent epochs, sequence numbers, fencing tokens, leases,
// direct commands) with the same state machine as the real agent, but runs no programs:
// fetching an image and running a task only take time.
//
// Gang tasks learn the states of their peers inside the process, without requests. Heartbeats
// share a pool of connections, so a fleet opens fewer connections than as many real machines
// would.
package hollow

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// Machine describes the machine that a hollow worker simulates.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Resources        agent.Room
	// PullGBPerS is how fast the machine fetches images, in GB a second.
	PullGBPerS float64
}

// Observer supplies the jobs' descriptions and run times, and is told what happens on the
// fleet's machines. Its methods are called from many goroutines.
type Observer interface {
	// Describe returns a job's description; false: nobody has submitted it.
	Describe(id string) (*protocol.JobDescription, bool)
	// RunTime returns how long a task runs; 0: until it is stopped.
	RunTime(id string, index int) time.Duration
	// Started is called when a task starts on a machine, and Stopped when it no longer runs
	// there. done reports whether it completed.
	Started(m *Machine, k agent.TaskAttempt)
	Stopped(m *Machine, k agent.TaskAttempt, done bool)
	// LeaseEnded is called when a worker's lease ends while it has live tasks.
	LeaseEnded(m *Machine, tasks int)
}

// Stats counts what the fleet did.
type Stats struct {
	Heartbeats, Answered, Redirected, Refused, Unanswered atomic.Int64
	// BytesOut and BytesIn are the bytes of heartbeats and of their answers: the bodies, and
	// headerBytes each as an estimate of the headers.
	BytesOut, BytesIn atomic.Int64
	Commands          atomic.Int64
	// Copies counts the copies of direct commands that arrived, CopiesExecuted those that were executed.
	Copies, CopiesExecuted atomic.Int64
	ExpiredEpochs          atomic.Int64 // agent epochs that ended because their lease did
	AnswerNanos            atomic.Int64 // total time until the answer, over all answered heartbeats
}

// headerBytes is the approximate size of the headers of a request or a response, with its
// first line.
const headerBytes = 110

// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// expirePeriod is how often the fleet looks for heartbeats whose timeout has passed.
const expirePeriod = 250 * time.Millisecond

// Fleet is a set of hollow workers. It is safe for concurrent use. The caller must call Close.
type Fleet struct {
	Stats Stats

	controllers []agent.Controller
	periods     agent.Periods
	observer    Observer
	listenIP    string
	startedAt   time.Time
	pool        *transport.Pool
	done        chan struct{}

	copies copySettings

	mu      sync.Mutex
	workers map[string]*worker
	gangs   map[gangAttempt]map[*worker]bool
	closed  bool
}

// gangAttempt identifies an attempt of a gang.
type gangAttempt struct {
	job     string
	attempt int
}

// NewFleet returns an empty fleet, whose workers send heartbeats to the controllers. Workers
// listen at ports of listenIP, a loopback address. connections bounds how many connections
// are open for heartbeats.
func NewFleet(controllers []agent.Controller, periods agent.Periods, listenIP string, connections int, observer Observer) *Fleet {
	f := &Fleet{controllers: controllers, periods: periods, observer: observer, listenIP: listenIP, startedAt: time.Now(), pool: transport.NewPool(connections),
		done: make(chan struct{}), workers: map[string]*worker{}, gangs: map[gangAttempt]map[*worker]bool{}}
	go f.expire()
	return f
}

// expire fails the heartbeats whose timeout has passed, until the fleet is closed.
func (f *Fleet) expire() {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.pool.Expire(now)
		case <-f.done:
			return
		}
	}
}

func (f *Fleet) clock() time.Duration { return time.Since(f.startedAt) }

// Add starts a worker. seed determines the worker's random numbers. Add fails if no port is
// free or the fleet is closed.
func (f *Fleet) Add(m Machine, seed uint64) error {
	listener, err := net.Listen("tcp4", f.listenIP+":0")
	if err != nil {
		return fmt.Errorf("worker %s: %w", m.Name, err)
	}
	w := &worker{fleet: f, machine: m, address: listener.Addr().String(), running: map[agent.TaskAttempt]*time.Timer{}, fetchingImages: map[string]bool{}}
	identity := protocol.Heartbeat{Worker: m.Name, Address: w.address, MachineType: m.Type, Zone: m.Zone, Spot: m.Spot}
	w.state = agent.NewWorker(identity, m.Resources, f.periods, f.controllers, 1, 0, rand.New(rand.NewPCG(seed, uint64(len(m.Name)))))
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: heartbeatTimeout, ErrorLog: nil}
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		listener.Close()
		return errors.New("the fleet is closed")
	}
	f.workers[m.Name] = w
	f.mu.Unlock()
	go func() { _ = w.server.Serve(listener) }()
	w.step(func(now time.Duration) agent.Effects { return w.state.Tick(now) })
	return nil
}

// Remove stops workers without notice, like machines that are deleted or fail.
func (f *Fleet) Remove(names ...string) {
	for _, name := range names {
		f.mu.Lock()
		w := f.workers[name]
		delete(f.workers, name)
		f.mu.Unlock()
		if w != nil {
			w.stop()
		}
	}
}

// copySettings say of which share of the executed direct commands a copy arrives later.
type copySettings struct {
	mu     sync.Mutex
	share  float64
	random *rand.Rand
}

// earliestCopy and latestCopy bound how long after direct commands a copy of them arrives.
const (
	earliestCopy = 300 * time.Millisecond
	latestCopy   = 10 * time.Second
)

// CopyCommands has a copy of a random share of the direct commands arrive at their worker once more,
// some time after they were executed, until the next call. seed determines the random choices.
func (f *Fleet) CopyCommands(share float64, seed uint64) {
	f.copies.mu.Lock()
	defer f.copies.mu.Unlock()
	f.copies.share = share
	f.copies.random = rand.New(rand.NewPCG(seed, 3))
}

// delay returns how long after direct commands a copy of them arrives; ok is false if none does.
func (c *copySettings) delay() (delay time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.share == 0 || c.random.Float64() >= c.share {
		return 0, false
	}
	return earliestCopy + time.Duration(c.random.Int64N(int64(latestCopy-earliestCopy))), true
}

// Restart ends all tasks of a worker and begins its next agent epoch, like a machine whose
// agent is restarted.
func (f *Fleet) Restart(name string) {
	f.mu.Lock()
	w := f.workers[name]
	f.mu.Unlock()
	if w != nil {
		w.restart()
	}
}

// Names returns the names of the workers of a zone, or of all workers if zone is empty, in no
// particular order.
func (f *Fleet) Names(zone string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name, w := range f.workers {
		if zone == "" || w.machine.Zone == zone {
			out = append(out, name)
		}
	}
	return out
}

// Address returns the address at which a worker listens, or "" if there is no worker of that
// name.
func (f *Fleet) Address(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[name]; w != nil {
		return w.address
	}
	return ""
}

// Running returns how many tasks run now, and how many workers a controller has answered with
// 200 within the last two heartbeat periods.
func (f *Fleet) Running() (tasks, answered int) {
	f.mu.Lock()
	list := make([]*worker, 0, len(f.workers))
	for _, w := range f.workers {
		list = append(list, w)
	}
	f.mu.Unlock()
	since := f.clock() - time.Duration(f.periods.Heartbeat*2*float64(time.Second))
	for _, w := range list {
		w.mu.Lock()
		tasks += len(w.running)
		if w.lastAnsweredAt > 0 && w.lastAnsweredAt >= since {
			answered++
		}
		w.mu.Unlock()
	}
	return tasks, answered
}

// Close stops all workers.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	list := f.workers
	f.workers = map[string]*worker{}
	f.mu.Unlock()
	for _, w := range list {
		w.stop()
	}
	close(f.done)
}

// joinGang records that a worker has a task of a gang's attempt.
func (f *Fleet) joinGang(w *worker, k agent.TaskAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := gangAttempt{k.Job, k.Attempt}
	if f.gangs[key] == nil {
		f.gangs[key] = map[*worker]bool{}
	}
	f.gangs[key][w] = true
}

// leaveGang records that a worker no longer has a task of a gang's attempt.
func (f *Fleet) leaveGang(w *worker, k agent.TaskAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := gangAttempt{k.Job, k.Attempt}
	if delete(f.gangs[key], w); len(f.gangs[key]) == 0 {
		delete(f.gangs, key)
	}
}

// gangStates returns the states of the tasks of a gang's attempt, by index, as the workers that
// have these tasks report them.
func (f *Fleet) gangStates(k agent.TaskAttempt) map[int]string {
	f.mu.Lock()
	var list []*worker
	for w := range f.gangs[gangAttempt{k.Job, k.Attempt}] {
		list = append(list, w)
	}
	f.mu.Unlock()
	states := map[int]string{}
	for _, w := range list {
		w.mu.Lock()
		if !w.stopped {
			for index, state := range w.state.GangStates(k.Job, k.Attempt) {
				states[index] = state
			}
		}
		w.mu.Unlock()
	}
	return states
}
