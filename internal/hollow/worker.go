package hollow

import (
	"io"
	"net/http"
	"sync"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// worker is one hollow worker. No goroutine that holds one worker's lock takes another
// worker's lock.
type worker struct {
	fleet   *Fleet
	machine Machine
	address string
	server  *http.Server

	mu             sync.Mutex
	state          *agent.Worker
	timer          *time.Timer
	running        map[agent.TaskAttempt]*time.Timer
	fetchingImages map[string]bool // images being fetched, by name
	lastAnsweredAt time.Duration   // when a heartbeat was last answered with 200
	stopped        bool
}

// step passes an event to the worker's state machine and applies the effects that it returns.
// It does nothing once the worker is stopped.
func (w *worker) step(event func(now time.Duration) agent.Effects) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.applyEffects(event(w.fleet.clock()))
	}
}

// applyEffects applies the effects of an event. The caller holds w.mu.
func (w *worker) applyEffects(e agent.Effects) {
	if e.EndAll {
		w.leaseExpired()
	}
	for _, k := range e.Kill {
		w.endTask(k, 0)
	}
	for _, k := range e.Stop {
		w.endTask(k, checkpointStopTime)
	}
	for _, name := range e.CancelFetches {
		delete(w.fetchingImages, name)
	}
	for _, id := range e.FetchDescriptions {
		w.describe(id)
	}
	for _, name := range e.FetchImages {
		w.fetchImage(name)
	}
	for _, k := range e.Start {
		w.start(k)
	}
	for _, k := range e.AskGang {
		go w.askGang(k)
	}
	if e.Heartbeat != nil {
		w.sendHeartbeat(e.Heartbeat)
	}
	w.armTimer()
}

// checkpointStopTime is how long a task takes to end when it is asked to save a checkpoint first.
const checkpointStopTime = 100 * time.Millisecond

// armTimer sets the timer to the time at which the state machine is next due.
func (w *worker) armTimer() {
	wait := max(w.state.NextTick()-w.fleet.clock(), time.Millisecond)
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, func() { w.step(w.state.Tick) })
		return
	}
	w.timer.Reset(wait)
}

// stepAfter passes an event to the worker's state machine after a delay.
func (w *worker) stepAfter(wait time.Duration, event func(now time.Duration) agent.Effects) *time.Timer {
	return time.AfterFunc(wait, func() { w.step(event) })
}

func (w *worker) describe(id string) {
	w.stepAfter(time.Millisecond, func(now time.Duration) agent.Effects {
		d, known := w.fleet.observer.Describe(id)
		if known && d.Shape == job.Gang {
			defer w.registerGangAttempts(id)
		}
		return w.state.DescriptionFetched(now, id, d, !known)
	})
}

// registerGangAttempts registers the worker for the attempts of a gang whose description has
// just come in.
func (w *worker) registerGangAttempts(id string) {
	for _, k := range w.state.Attempts(id) {
		w.fleet.joinGang(w, k)
	}
}

func (w *worker) fetchImage(name string) {
	w.fetchingImages[name] = true
	wait := time.Duration(w.imageSizeGB(name) / w.machine.PullGBPerS * float64(time.Second))
	w.stepAfter(wait, func(now time.Duration) agent.Effects {
		if !w.fetchingImages[name] {
			return w.state.Tick(now)
		}
		delete(w.fetchingImages, name)
		return w.state.ImageFetched(now, name, nil)
	})
}

// imageSizeGB returns the size of an image that a task of this worker needs.
func (w *worker) imageSizeGB(name string) float64 {
	for _, d := range w.state.Descriptions() {
		if d.Image == name {
			return d.ImageGB
		}
	}
	return 0
}

func (w *worker) start(k agent.TaskAttempt) {
	wait := w.fleet.observer.RunTime(k.Job, k.Index)
	if wait > 0 {
		w.running[k] = w.stepAfter(wait, func(now time.Duration) agent.Effects { return w.exited(now, k, true) })
	} else {
		w.running[k] = nil
	}
	w.fleet.observer.Started(&w.machine, k)
}

// endTask ends a task that was asked to end, after a delay.
func (w *worker) endTask(k agent.TaskAttempt, wait time.Duration) {
	if t := w.running[k]; t != nil {
		t.Stop()
	}
	w.stepAfter(wait, func(now time.Duration) agent.Effects { return w.exited(now, k, false) })
}

// exited records that a task's program has ended, by its run time or because it was asked to,
// and tells the state machine. A gang's task stays registered for GangWait, so that its peers
// can still learn its state. The caller holds w.mu.
func (w *worker) exited(now time.Duration, k agent.TaskAttempt, done bool) agent.Effects {
	if _, running := w.running[k]; !running {
		return w.state.Tick(now)
	}
	delete(w.running, k)
	w.fleet.observer.Stopped(&w.machine, k, done)
	code := 0
	if !done {
		code = 1
	}
	if d := w.state.Description(k.Job); d != nil && d.Shape == job.Gang {
		defer w.stepAfter(time.Duration(w.fleet.periods.GangWait*float64(time.Second)), func(now time.Duration) agent.Effects {
			w.fleet.leaveGang(w, k)
			return w.state.Tick(now)
		})
	}
	return w.state.Exited(now, k, agent.Exit{Code: code})
}

func (w *worker) askGang(k agent.TaskAttempt) {
	states := w.fleet.gangStates(k)
	w.step(func(now time.Duration) agent.Effects { return w.state.GangStatesReceived(now, k, states) })
}

// leaseExpired ends all tasks because the lease has ended. The caller holds w.mu.
func (w *worker) leaseExpired() {
	_, live := w.state.Count()
	w.fleet.Stats.ExpiredEpochs.Add(1)
	if live > 0 {
		w.fleet.observer.LeaseEnded(&w.machine, live)
	}
	w.endAllTasks()
	w.stepAfter(time.Millisecond, w.state.EpochEnded)
}

// endAllTasks ends all tasks at once, and the fetching of images. The caller holds w.mu.
func (w *worker) endAllTasks() {
	for k, t := range w.running {
		if t != nil {
			t.Stop()
		}
		w.fleet.observer.Stopped(&w.machine, k, false)
		w.fleet.leaveGang(w, k)
	}
	clear(w.running)
	clear(w.fetchingImages)
}

// restart ends all tasks and begins the next agent epoch at once.
func (w *worker) restart() {
	w.step(func(now time.Duration) agent.Effects {
		w.endAllTasks()
		return w.state.Restarted(now)
	})
}

// stop ends the worker, its tasks and its server for good.
func (w *worker) stop() {
	w.mu.Lock()
	w.stopped = true
	w.endAllTasks()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Unlock()
	_ = w.server.Close()
}

// scheduleCopy has a copy of executed direct commands arrive later, if they are in the share of those that are copied.
func (w *worker) scheduleCopy(body []byte) {
	if delay, ok := w.fleet.copies.delay(); ok {
		time.AfterFunc(delay, func() { w.receiveCopy(body) })
	}
}

// receiveCopy executes a copy of direct commands, unless the worker is stopped or refuses them.
func (w *worker) receiveCopy(body []byte) {
	w.step(func(now time.Duration) agent.Effects {
		status, _, e := w.state.ExecuteDirectCommands(now, body)
		w.fleet.Stats.Copies.Add(1)
		if status == http.StatusOK {
			w.fleet.Stats.CopiesExecuted.Add(1)
		}
		return e
	})
}

func (w *worker) sendHeartbeat(s *agent.HeartbeatSend) {
	stats := &w.fleet.Stats
	stats.Heartbeats.Add(1)
	stats.BytesOut.Add(int64(len(s.Body) + headerBytes))
	sent := w.fleet.clock()
	w.fleet.pool.Start(transport.Call{Addr: s.Controller.Address, Method: http.MethodPost, Target: protocol.PathHeartbeat, Body: s.Body, Timeout: heartbeatTimeout,
		Done: func(r *transport.Response, _ bool, err error) {
			w.step(func(now time.Duration) agent.Effects {
				if err != nil {
					stats.Unanswered.Add(1)
					return w.state.HeartbeatAnswered(now, s, 0, nil)
				}
				stats.BytesIn.Add(int64(len(r.Body) + headerBytes))
				switch r.Status {
				case http.StatusOK:
					stats.Answered.Add(1)
					stats.AnswerNanos.Add(int64(now - sent))
					w.lastAnsweredAt = now
				case http.StatusMisdirectedRequest:
					stats.Redirected.Add(1)
				default:
					stats.Refused.Add(1)
				}
				return w.state.HeartbeatAnswered(now, s, r.Status, r.Body)
			})
		}})
}

// ServeHTTP handles direct commands and requests for the worker's status.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBody))
	if err != nil {
		http.Error(out, "the body can't be read", http.StatusBadRequest)
		return
	}
	status, answer := w.serve(r.Method, r.URL.Path, body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(answer)
}

func (w *worker) serve(method, path string, body []byte) (status int, answer []byte) {
	problem := func(status int, why string) (int, []byte) {
		return status, protocol.Encode(protocol.ErrorResponse{Error: why})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var e agent.Effects
	switch {
	case w.stopped:
		return problem(http.StatusServiceUnavailable, "the machine is gone")
	case path == protocol.PathCommands && method == http.MethodPost:
		w.fleet.Stats.Commands.Add(1)
		status, answer, e = w.state.ExecuteDirectCommands(w.fleet.clock(), body)
		if status == http.StatusOK {
			w.scheduleCopy(body)
		}
	case path == protocol.PathStatus && method == http.MethodGet:
		var err error
		if answer, e, err = w.state.Status(w.fleet.clock()); err != nil {
			return problem(http.StatusServiceUnavailable, err.Error())
		}
		status = http.StatusOK
	default:
		return problem(http.StatusNotFound, "no such path")
	}
	w.applyEffects(e)
	return status, answer
}
