// Package agent implements silvergate's worker on a real machine: it sends
// heartbeats to the controllers, runs each task as a process group and, when the
// task ends, kills all processes of the task.
//
// Worker is the protocol: a state machine without I/O that owns the attempts.
// runner owns the processes, imageStore the cache of images, and sharedStore the
// data that outlives the machine. Agent connects them to the network and the
// clock.
//
// No task runs longer than the machine's lease: if the agent hangs or dies, a
// separate watchdog process kills all tasks. A restarted agent first kills the
// tasks that the previous agent left behind and only then begins a new agent
// epoch, so the new epoch is evidence that the tasks of the old one are gone.
package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"silvergate/internal/archive/ship"
	"silvergate/internal/datastore"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// maxConnections bounds the number of connections that an agent has open at a time.
const maxConnections = 32

// Limits of the agent's own HTTP server.
const (
	requestTimeout       = 10 * time.Second
	maxServedConnections = 256
)

// Stats holds an agent's counters and current usage.
type Stats struct {
	Heartbeats, Answered, Launched, Epochs uint64
	TaskEnds                               map[string]uint64 // by cause
	Tasks, Live                            int
	Usage                                  proc.Usage
	Archive                                *ship.Stats      // nil: no archive
	Data                                   *datastore.Stats // nil: no store of data sets
}

// Agent is a running worker.
type Agent struct {
	cfg         Config
	log         *slog.Logger
	taskCommand []string // starts this program as a task's process; see ExecTask
	// watchdogCommand starts this program as a watchdog; see Watchdog.
	watchdogCommand []string
	server          *transport.Server
	pool            *transport.Pool
	runner          *runner
	images          *imageStore
	shared          sharedStore

	mu        sync.Mutex // guards the fields below; the server uses it as its lock too
	worker    *Worker
	persisted persistedState
	schedule  schedule
	inputs    *inputStore    // nil: no data sets
	outputs   *outputShipper // nil: no archive
	attempts  attemptRecords
	watchdog  *watchdogProcess // nil while none is running
	stats     Stats
	shutdown  shutdownState
	// Extra serves paths outside the protocol, such as /metrics. It reports whether it
	// handled the request.
	Extra func(id uint64, method, path string) bool
}

// schedule holds the agent's points in time and the timer of its next tick.
type schedule struct {
	startedAt   time.Duration // on the boot clock; the zero point of the worker's clock
	answeredAt  time.Duration // when a heartbeat was last answered with status 200, on the worker's clock
	lastSweepAt time.Time
	timer       *time.Timer
}

// attemptRecords holds what the agent itself records about attempts, until the worker
// forgets them (Effects.Forget).
type attemptRecords struct {
	gangMembers     map[TaskAttempt][]protocol.GangMember
	lastCheckpoints map[TaskAttempt]int // number of the newest checkpoint when the task was asked to stop
}

// shutdownState records whether the agent is shutting down, and the error that caused it.
type shutdownState struct {
	begun bool
	err   error
}

// New returns an agent that is ready to Run. It fails if the configuration is invalid or if
// the files that an earlier agent left in the machine's folder are unusable. executable is the
// path of this program, which is started again for each task and for the watchdog.
func New(cfg Config, executable string, log *slog.Logger) (*Agent, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(cfg.Dir, tasksDir), 0o700); err != nil {
		return nil, err
	}
	a := &Agent{
		cfg: cfg, log: log, pool: transport.NewPool(maxConnections), shared: sharedStore{cfg.SharedDir},
		taskCommand:     []string{executable, "task-exec"},
		watchdogCommand: []string{executable, "agent-watchdog", cfg.Dir},
		schedule:        schedule{startedAt: bootClock()},
		attempts:        attemptRecords{gangMembers: map[TaskAttempt][]protocol.GangMember{}, lastCheckpoints: map[TaskAttempt]int{}},
	}
	a.stats.TaskEnds = map[string]uint64{}
	raw, err := os.ReadFile(filepath.Join(cfg.Dir, stateFile))
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return nil, err
	default:
		if err := json.Unmarshal(raw, &a.persisted); err != nil {
			return nil, fmt.Errorf("%s: damaged: %w; return the machine to its provider", filepath.Join(cfg.Dir, stateFile), err)
		}
	}
	a.runner = &runner{dir: cfg.Dir, exec: a.taskCommand, log: log, tasks: map[TaskAttempt]*task{}, exited: a.taskExited, needsFolder: a.needsFolder}
	if a.images, err = newImageStore(filepath.Join(cfg.Dir, "images"), int64(cfg.LocalGB*1e9), cfg.Images); err != nil {
		return nil, err
	}
	a.images.needed = func(name string) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.worker.NeedsImage(name)
	}
	a.images.onEvict = func(name string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.worker.ImageEvicted(name)
	}
	if cfg.Staging != nil {
		if a.inputs, err = newInputStore(a); err != nil {
			return nil, err
		}
	}
	if cfg.Archive != nil {
		if a.outputs, err = newOutputShipper(a); err != nil {
			return nil, err
		}
	}
	a.server = transport.NewServer(&a.mu, a, requestTimeout, maxServedConnections)
	return a, nil
}

func (a *Agent) clock() time.Duration { return bootClock() - a.schedule.startedAt }

// persist writes the agent epoch, the fencing token and the port to disk.
func (a *Agent) persist() {
	raw, err := json.Marshal(a.persisted)
	if err == nil {
		err = renameio.WriteFile(filepath.Join(a.cfg.Dir, stateFile), raw, 0o600)
	}
	if err != nil {
		a.fail(err)
	}
}

// fail stops the agent, and Run then kills the agent's tasks: for example, a machine
// that can't store its agent epoch must not keep running in that epoch.
func (a *Agent) fail(err error) {
	if a.shutdown.err == nil {
		a.shutdown.err = err
		a.log.Error("stopping", "error", err)
		go a.server.Stop()
	}
}

// Run serves until Stop is called or the agent fails.
func (a *Agent) Run() error {
	if err := proc.BecomeSubreaper(); err != nil {
		return fmt.Errorf("adopting orphaned task processes: %w", err)
	}
	a.runner.clear() // kills the tasks that an earlier agent left
	if err := endEarlierWatchdog(a.cfg.Dir); err != nil {
		return fmt.Errorf("watchdog: %w", err)
	}
	a.outputs.open()
	if err := a.startWatchdog(); err != nil {
		return fmt.Errorf("watchdog: %w", err)
	}
	a.server.Ready = func(addrs []net.Addr) { a.beginEpoch(addrs[0].String()) }
	err := a.server.Run(a.listenAddress(), "")
	a.mu.Lock()
	a.shutdown.begun = true
	if a.schedule.timer != nil {
		a.schedule.timer.Stop()
	}
	failed := a.shutdown.err
	a.mu.Unlock()
	a.inputs.close()
	a.runner.clear()
	a.outputs.close()
	a.endWatchdog()
	return errors.Join(failed, err)
}

// listenAddress returns the address to listen on. If the configured port is 0, it is the port
// that the agent had before, because controllers send commands there until they claim the
// machine again. If another process has taken that port meanwhile, listenAddress waits up to
// the length of a lease for it to become free.
func (a *Agent) listenAddress() string {
	host, port, err := net.SplitHostPort(a.cfg.Listen)
	if err != nil || port != "0" || a.persisted.Port == 0 {
		return a.cfg.Listen
	}
	const period = 100 * time.Millisecond
	address := net.JoinHostPort(host, strconv.Itoa(a.persisted.Port))
	for until := time.Now().Add(seconds(a.cfg.Workers.Lease)); time.Now().Before(until); time.Sleep(period) {
		probe, err := net.Listen("tcp", address)
		if err == nil {
			_ = probe.Close()
			break
		}
		a.log.Debug("the previous port is taken", "listen", address, "error", err)
	}
	return address
}

// Stop ends the agent and its tasks, as switching the machine off would.
func (a *Agent) Stop() { a.server.Stop() }

// beginEpoch starts a new agent epoch with a new worker; the server holds the lock.
func (a *Agent) beginEpoch(address string) {
	a.persisted.Epoch++
	if ap, err := netip.ParseAddrPort(address); err == nil {
		a.persisted.Port = int(ap.Port())
	}
	a.persist()
	if err := renameio.WriteFile(filepath.Join(a.cfg.Dir, AddressFile), []byte(address), 0o600); err != nil {
		a.fail(err)
	}
	identity := protocol.Heartbeat{Worker: a.cfg.Worker, Address: address, MachineType: a.cfg.MachineType, Zone: a.cfg.Zone, Spot: a.cfg.Spot}
	a.schedule.startedAt = bootClock()
	a.worker = NewWorker(identity, a.cfg.Resources, a.cfg.Workers, a.cfg.Controllers, a.persisted.Epoch, a.persisted.FencingToken,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	a.worker.SetFollowedAttempts(a.outputs.followed)
	a.runner.setEpoch(a.persisted.Epoch)
	a.stats.Epochs++
	a.log.Info("serving", "listen", address, "epoch", a.persisted.Epoch)
	a.schedule.timer = time.AfterFunc(0, a.tick)
}

func (a *Agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shutdown.begun {
		return
	}
	a.checkWatchdog()
	now := time.Now()
	a.pool.Expire(now)
	if now.Sub(a.schedule.lastSweepAt) > a.sweepPeriod() {
		a.schedule.lastSweepAt = now
		a.server.Sweep(now)
		a.stats.Usage = a.runner.checkMemory()
		a.inputs.refreshReport(false)
		a.inputs.removeEndedInputs()
		if at, ok := a.checkPreemption(); ok {
			a.perform(a.worker.Preempt(a.clock(), at))
		}
		// Guards against machines that run forever after their site was killed
		// and never restarted.
		if g := seconds(a.cfg.GiveUpS); g > 0 && a.clock() > a.schedule.answeredAt+g {
			a.log.Info("no controller answers; shutting down", "seconds", a.cfg.GiveUpS)
			a.cfg.GiveUpS = 0
			go a.server.Stop()
		}
	}
	a.perform(a.worker.Tick(a.clock()))
}

// checkPreemption reads the provider's preemption notice and returns the time, on the worker's
// clock, at which the machine is taken back.
func (a *Agent) checkPreemption() (time.Duration, bool) {
	raw, err := os.ReadFile(filepath.Join(a.cfg.Dir, PreemptionFile))
	if err != nil {
		return 0, false
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64)
	if err != nil {
		return 0, false
	}
	return a.clock() + time.Until(time.UnixMilli(ms)), true
}

// sendHeartbeat sends a heartbeat to a controller; the lock is held.
func (a *Agent) sendHeartbeat(s *HeartbeatSend) {
	a.stats.Heartbeats++
	a.inputs.heartbeatSent()
	a.pool.Start(transport.Call{Addr: s.Controller.Address, Method: http.MethodPost, Target: protocol.PathHeartbeat, Body: s.Body, Timeout: answerTimeout,
		Done: func(r *transport.Response, _ bool, err error) {
			a.step(func() Effects {
				if err != nil {
					a.log.Debug("heartbeat not answered", "node", s.Controller.Name, "error", err)
					return a.worker.HeartbeatAnswered(a.clock(), s, 0, nil)
				}
				if r.Status == http.StatusOK {
					a.stats.Answered++
					a.schedule.answeredAt = a.clock()
				}
				return a.worker.HeartbeatAnswered(a.clock(), s, r.Status, r.Body)
			})
		}})
}

// endAllTasks kills all tasks of the current agent epoch and begins the next one.
func (a *Agent) endAllTasks() {
	a.runner.clear()
	err := a.replaceWatchdog()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shutdown.begun {
		go a.endWatchdog() // Run may have called it before this watchdog started
		return
	}
	if err != nil {
		a.fail(fmt.Errorf("watchdog: %w", err))
		return
	}
	a.persisted.Epoch = a.worker.Epoch() + 1
	a.persist()
	if a.shutdown.err == nil {
		a.stats.Epochs++
		a.runner.setEpoch(a.persisted.Epoch)
		a.perform(a.worker.EpochEnded(a.clock()))
	}
}

// needsFolder reports whether an attempt's folder must stay: the attempt is not over, or the
// archive still reads the folder.
func (a *Agent) needsFolder(k TaskAttempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker.MayHaveProcesses(k) || a.outputs.needsFolder(k)
}

// Serve handles a request; the server holds the lock.
func (a *Agent) Serve(id uint64, r *transport.Request) {
	answerError := func(status int, why string) {
		retry := 0
		if status == http.StatusServiceUnavailable {
			retry = 1
		}
		a.server.Answer(id, status, protocol.Encode(protocol.ErrorResponse{Error: why}), retry)
	}
	a.checkWatchdog()
	switch {
	case r.Path == protocol.PathCommands && r.Method == http.MethodPost:
		status, body, e := a.worker.ExecuteDirectCommands(a.clock(), r.Body)
		a.perform(e)
		a.server.Answer(id, status, body, 0)
	case r.Path == protocol.PathStatus && r.Method == http.MethodGet:
		body, e, err := a.worker.Status(a.clock())
		a.perform(e)
		if err != nil {
			answerError(http.StatusServiceUnavailable, err.Error())
			return
		}
		a.server.Answer(id, http.StatusOK, body, 0)
	case strings.HasPrefix(r.Path, pathGang) && r.Method == http.MethodGet:
		jobID, attempt, _ := strings.Cut(r.Path[len(pathGang):], "/")
		n, err := strconv.Atoi(attempt)
		if err != nil || !protocol.ValidJobID(jobID) {
			answerError(http.StatusBadRequest, "the path must name a job and an attempt")
			return
		}
		a.server.Answer(id, http.StatusOK, protocol.Encode(a.worker.GangStates(jobID, n)), 0)
	case a.inputs.serve(id, r.Method, r.Path):
	case a.Extra != nil && a.Extra(id, r.Method, r.Path):
	case r.Path == protocol.PathCommands || r.Path == protocol.PathStatus:
		answerError(http.StatusMethodNotAllowed, "method not allowed")
	default:
		answerError(http.StatusNotFound, "no such path")
	}
}

// AnswerWithType answers a request that Extra accepted; the lock must be held.
func (a *Agent) AnswerWithType(id uint64, contentType string, body []byte) {
	a.server.AnswerWithType(id, contentType, body)
}

// Stats returns the agent's statistics; the lock must be held, as it is in Extra.
func (a *Agent) Stats() Stats {
	s := a.stats
	s.Tasks, s.Live = a.worker.Count()
	if a.outputs != nil {
		t := a.outputs.shipper.Stats()
		s.Archive = &t
	}
	if a.inputs != nil {
		t := a.inputs.store.Stats()
		s.Data = &t
	}
	return s
}
