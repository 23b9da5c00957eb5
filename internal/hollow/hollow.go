// Package hollow runs thousands of workers in one process: each speaks the
// worker's protocol in full (heartbeats, agent epochs, sequence numbers, fencing tokens,
// leases, direct commands), by the same state machine as the real agent, and runs no programs.
// Images and tasks take time and nothing else.
//
// Gang tasks learn of one another inside the process. Heartbeats share a pool of
// connections, so a fleet opens fewer of them than as many real machines would.
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

// Machine is what a hollow worker pretends to be.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Room             agent.Room
	// PullGBPerS is how fast it fetches images, in GB a second.
	PullGBPerS float64
}

// Observer learns what happens on the fleet's machines. Calls come from many
// goroutines.
type Observer interface {
	// Describe returns a job's description; false: nobody has submitted it.
	Describe(id string) (*protocol.JobDescription, bool)
	// RunTime is how long a task runs; 0: until it is stopped.
	RunTime(id string, index int) time.Duration
	// Started and Stopped bracket the time for which a task is on a machine. done
	// tells that it completed.
	Started(m *Machine, k agent.TaskAttempt)
	Stopped(m *Machine, k agent.TaskAttempt, done bool)
	// LeaseEnded tells that a worker's lease ended with live tasks on it.
	LeaseEnded(m *Machine, tasks int)
}

// Stats counts what the fleet did.
type Stats struct {
	Heartbeats, Answered, Redirected, Refused, Unanswered atomic.Int64
	// BytesOut and BytesIn are the bodies and about the heads of heartbeats and their answers.
	BytesOut, BytesIn atomic.Int64
	Commands          atomic.Int64
	ExpiredEpochs     atomic.Int64 // that ended by their lease
	AnswerNanos       atomic.Int64 // time until answers, of answered heartbeats
}

// headerBytes is about what the head of a request or a response takes.
const headerBytes = 110

// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// expirePeriod is the time between two looks at calls that are late.
const expirePeriod = 250 * time.Millisecond

// Fleet is a set of hollow workers. It is safe for concurrent use; Close must be
// called.
type Fleet struct {
	Stats Stats

	controllers []agent.Controller
	periods     agent.Periods
	observer    Observer
	listenIP    string
	startedAt   time.Time
	pool        *transport.Pool
	done        chan struct{}

	mu      sync.Mutex
	workers map[string]*worker
	gangs   map[gangAttempt]map[*worker]bool
	closed  bool
}

// gangAttempt names an attempt of a gang.
type gangAttempt struct {
	job     string
	attempt int
}

// NewFleet makes an empty fleet that sends heartbeats to the controllers. Workers listen at
// ports of listenIP, a loopback address; connections bounds how many are open for heartbeats.
func NewFleet(controllers []agent.Controller, periods agent.Periods, listenIP string, connections int, observer Observer) *Fleet {
	f := &Fleet{controllers: controllers, periods: periods, observer: observer, listenIP: listenIP, startedAt: time.Now(), pool: transport.NewPool(connections),
		done: make(chan struct{}), workers: map[string]*worker{}, gangs: map[gangAttempt]map[*worker]bool{}}
	go f.expire()
	return f
}

// expire gives calls up that are late.
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

// Add starts a worker. seed determines the worker's random numbers. It fails if no
// port is free or the fleet is closed.
func (f *Fleet) Add(m Machine, seed uint64) error {
	listener, err := net.Listen("tcp4", f.listenIP+":0")
	if err != nil {
		return fmt.Errorf("worker %s: %w", m.Name, err)
	}
	w := &worker{fleet: f, machine: m, address: listener.Addr().String(), running: map[agent.TaskAttempt]*time.Timer{}, fetchingImages: map[string]bool{}}
	me := protocol.Heartbeat{Worker: m.Name, Address: w.address, MachineType: m.Type, Zone: m.Zone, Spot: m.Spot}
	w.state = agent.NewWorker(me, m.Room, f.periods, f.controllers, 1, 0, rand.New(rand.NewPCG(seed, uint64(len(m.Name)))))
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

// Remove ends workers without notice, as machines that are deleted or die.
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

// Restart ends what runs on a worker and begins its next agent epoch, as a machine
// whose agent is restarted.
func (f *Fleet) Restart(name string) {
	f.mu.Lock()
	w := f.workers[name]
	f.mu.Unlock()
	if w != nil {
		w.restart()
	}
}

// Names lists the workers of a zone, or all if zone is empty, in no order.
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

// Address is where a worker listens, "" if there is none of that name.
func (f *Fleet) Address(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[name]; w != nil {
		return w.address
	}
	return ""
}

// Running counts the tasks that run now, and the workers that a controller has answered
// within the last two heartbeat periods.
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

// Close ends all workers.
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

// joinGang notes that a worker holds a task of a gang's attempt.
func (f *Fleet) joinGang(w *worker, k agent.TaskAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := gangAttempt{k.Job, k.Attempt}
	if f.gangs[at] == nil {
		f.gangs[at] = map[*worker]bool{}
	}
	f.gangs[at][w] = true
}

// leaveGang notes that it does not any more.
func (f *Fleet) leaveGang(w *worker, k agent.TaskAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := gangAttempt{k.Job, k.Attempt}
	if delete(f.gangs[at], w); len(f.gangs[at]) == 0 {
		delete(f.gangs, at)
	}
}

// gangStates asks the workers of a gangStates's attempt how its tasks are.
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
			for index, state := range w.state.Gang(k.Job, k.Attempt) {
				states[index] = state
			}
		}
		w.mu.Unlock()
	}
	return states
}
