// Package agent is silvergate's worker on a real machine: it reports to the
// controllers, runs tasks as process groups and ends them whole.
//
// Worker is the protocol, a state machine without I/O that owns the attempts;
// runner owns processes; images owns the cache of images; outside is what
// outlives the machine. Agent connects them to the network and the clock.
//
// Nothing runs longer than the machine's lease: when the agent hangs or is
// gone, a watchdog process of its own ends all tasks. A restarted agent ends
// what an earlier one left and begins a new session after that, so the new
// session is evidence that the old one's tasks are gone.
package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"silvergate/internal/archive/ship"
	"silvergate/internal/job"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// Config is what an agent is told, in YAML.
type Config struct {
	Worker      string `yaml:"stoker"`
	MachineType string `yaml:"rig"`
	Zone        string `yaml:"depot"`
	Spot        bool   `yaml:"casual"`
	// Listen is the address for direct commands; with port 0 the system
	// chooses one, which is kept for the machine's life.
	Listen string `yaml:"listen"`
	// Dir is the machine's folder. It must be absolute.
	Dir         string       `yaml:"dir"`
	Controllers []Controller `yaml:"controllers"`
	Workers     Periods      `yaml:"workers"`
	Room        Room         `yaml:"room"`
	LocalGB     float64      `yaml:"localGb"` // room for images
	Images      []Image      `yaml:"images"`
	OutsideDir  string       `yaml:"outside"` // folder that all machines share
	Nice        NiceLevels   `yaml:"nice"`
	OpenFiles   uint64       `yaml:"open_files"` // limit of each task; 0: as inherited
	Metrics     bool         `yaml:"metrics"`
	Environment []string     `yaml:"environment"` // NAME=value, for every task
	// Staging switches the store of data sets on; nil: off.
	Staging *Staging `yaml:"staging,omitempty"`
	// Archive has what tasks write kept; nil: off.
	Archive *ship.Config `yaml:"archive,omitempty"`
	// GiveUpS is how long after its last answered report the agent ends, in
	// seconds; 0: never.
	GiveUpS float64 `yaml:"give_up_s"`
}

// NiceLevels is the nice level of tasks by urgency.
type NiceLevels struct {
	Prod     int `yaml:"prod"`
	Urgent   int `yaml:"urgent"`
	Standard int `yaml:"standard"`
	Idle     int `yaml:"idle"`
}

func (n NiceLevels) of(urgency string) int {
	switch urgency {
	case "prod":
		return n.Prod
	case "urgent":
		return n.Urgent
	case "standard":
		return n.Standard
	}
	return n.Idle
}

// DefaultConfig returns what holds for fields that a file does not name.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", Workers: Periods{3, 18, 35, 4}, LocalGB: 10, Nice: NiceLevels{0, 0, 5, 15}, OpenFiles: 4096}
}

// Check names the first field that can't be.
func (c *Config) Check() error {
	switch {
	case !protocol.ValidName(c.Worker):
		return errors.New("stoker: missing or not a name")
	case c.MachineType == "":
		return errors.New("rig: missing")
	case c.Zone == "":
		return errors.New("depot: missing")
	case !filepath.IsAbs(c.Dir):
		return errors.New("dir: must be absolute")
	case c.OutsideDir != "" && !filepath.IsAbs(c.OutsideDir):
		return errors.New("outside: must be absolute")
	case len(c.Controllers) == 0:
		return errors.New("controllers: missing")
	case !(c.LocalGB > 0):
		return errors.New("localGb: must be above 0")
	}
	for i, n := range c.Controllers {
		if n.Name == "" {
			return fmt.Errorf("controllers[%d].node_name: missing", i)
		}
		if _, err := netip.ParseAddrPort(n.Address); err != nil {
			return fmt.Errorf("controllers[%d].address: %q is not an IP address with a port", i, n.Address)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"workers.report_s", c.Workers.Heartbeat}, {"workers.lease_s", c.Workers.Lease}, {"workers.gang_wait_s", c.Workers.GangWait},
		{"workers.gang_peer_s", c.Workers.GangPeer}, {"room.cpus", c.Room.CPUs}, {"room.ramGb", c.Room.RAM}} {
		if !(f.v > 0) {
			return fmt.Errorf("%s: must be above 0", f.name)
		}
	}
	if c.Staging != nil {
		if err := c.Staging.check(); err != nil {
			return err
		}
	}
	if c.Archive != nil {
		if err := c.Archive.Check(); err != nil {
			return fmt.Errorf("archive.%w", err)
		}
	}
	return CheckImages(c.Images)
}

// Files of a machine's folder that others read.
const (
	// AddressFile holds the address for direct commands once it is known.
	AddressFile = "address"
	// PreemptionFile holds the time, in milliseconds of the day's clock, at which
	// the cloud takes the machine back. The provider writes it.
	PreemptionFile = "recall"
	stateFile      = "worker.json"
)

// persistedState is what an agent must know after it was killed.
type persistedState struct {
	Epoch        uint64 `json:"shift"`
	FencingToken uint64 `json:"baton"`
	Port         int    `json:"port"`
}

// Stats counts what an agent did.
type Stats struct {
	Heartbeats, Answered, Launched, Epochs uint64
	TaskEnds                               map[string]uint64 // by cause
	Tasks, Live                            int
	Usage                                  proc.Usage
	Archive                                *ship.Stats // nil: no archive
}

// Agent is a running worker.
type Agent struct {
	cfg             Config
	log             *slog.Logger
	taskCommand     []string // starts this program for a task; see ExecTask
	watchdogCommand []string // starts it as a watchdog; see Watchdog
	server          *transport.Server
	pool            *transport.Pool
	runner          *runner
	images          *imageStore
	outsideStore    outsideStore
	startedAt       time.Duration // boot clock

	mu               sync.Mutex
	worker           *Worker
	persisted        persistedState
	timer            *time.Timer
	lastSweepAt      time.Time
	answeredAt       time.Duration // when a report was last answered
	inputs           *inputStore   // nil: no data sets
	keeper           *outputKeeper // nil: no archive
	gangMembers      map[TaskAttempt][]protocol.GangMember
	lastCheckpoints  map[TaskAttempt]int // a task's newest checkpoint when it was told to stop
	watchdog         *os.File            // to the watchdog
	watchdogLeaseEnd time.Duration       // the end of the lease, as the watchdog knows it
	stats            Stats
	stopped          bool
	fatalErr         error
	// Extra answers paths that are not the protocol's, such as /metrics.
	Extra func(id uint64, method, path string) bool
}

// New makes an agent. self is this program; it is started again for each task.
func New(cfg Config, self string, log *slog.Logger) (*Agent, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(cfg.Dir, tasksDir), 0o700); err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, log: log, pool: transport.NewPool(32), outsideStore: outsideStore{cfg.OutsideDir}, startedAt: bootClock(),
		taskCommand: []string{self, "task-exec"}, watchdogCommand: []string{self, "agent-watchdog", cfg.Dir},
		gangMembers: map[TaskAttempt][]protocol.GangMember{}, lastCheckpoints: map[TaskAttempt]int{}}
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
	a.runner = &runner{dir: cfg.Dir, exec: a.taskCommand, log: log, tasks: map[TaskAttempt]*task{}, exited: a.taskExited}
	if a.images, err = newImageStore(filepath.Join(cfg.Dir, "images"), int64(cfg.LocalGB*1e9), cfg.Images); err != nil {
		return nil, err
	}
	a.images.wanted = func(name string) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.worker.Wanted(name)
	}
	a.images.evicted = func(name string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.worker.Evicted(name)
	}
	if cfg.Staging != nil {
		if a.inputs, err = newInputStore(a); err != nil {
			return nil, err
		}
	}
	if cfg.Archive != nil {
		if a.keeper, err = newOutputKeeper(a); err != nil {
			return nil, err
		}
		a.runner.holds = a.keeper.holds
	}
	a.server = transport.NewServer(&a.mu, a, 10*time.Second, 256)
	return a, nil
}

func (a *Agent) clock() time.Duration { return bootClock() - a.startedAt }

// persist makes the session's number, the token and the port durable.
func (a *Agent) persist() {
	raw, err := json.Marshal(a.persisted)
	if err == nil {
		err = renameio.WriteFile(filepath.Join(a.cfg.Dir, stateFile), raw, 0o600)
	}
	if err != nil {
		a.fail(err)
	}
}

// fail ends the agent, and with it, by the watchdog, its tasks: a machine that
// can't keep its session's number must not go on under it.
func (a *Agent) fail(err error) {
	if a.fatalErr == nil {
		a.fatalErr = err
		a.log.Error("stopping", "error", err)
		go a.server.Stop()
	}
}

// Run serves until Stop is called or the machine fails.
func (a *Agent) Run() error {
	a.runner.clear() // whatever an earlier agent left
	a.keeper.open()
	if err := a.startWatchdog(); err != nil {
		return fmt.Errorf("watchdog: %w", err)
	}
	listen := a.cfg.Listen
	if host, port, err := net.SplitHostPort(listen); err == nil && port == "0" && a.persisted.Port != 0 {
		listen = net.JoinHostPort(host, strconv.Itoa(a.persisted.Port))
	}
	a.server.Ready = func(addrs []net.Addr) { a.begin(addrs[0].String()) }
	err := a.server.Run(listen, "")
	a.mu.Lock()
	a.stopped = true
	if a.timer != nil {
		a.timer.Stop()
	}
	failed := a.fatalErr
	a.mu.Unlock()
	a.inputs.close()
	a.runner.clear()
	a.keeper.close()
	a.watchdog.Close()
	return errors.Join(failed, err)
}

// Stop ends the agent and its tasks, as a machine that is switched off.
func (a *Agent) Stop() { a.server.Stop() }

// begin starts the session; the server holds the lock.
func (a *Agent) begin(address string) {
	a.persisted.Epoch++
	if ap, err := netip.ParseAddrPort(address); err == nil {
		a.persisted.Port = int(ap.Port())
	}
	a.persist()
	if err := renameio.WriteFile(filepath.Join(a.cfg.Dir, AddressFile), []byte(address), 0o600); err != nil {
		a.fail(err)
	}
	me := protocol.Heartbeat{Worker: a.cfg.Worker, Address: address, MachineType: a.cfg.MachineType, Zone: a.cfg.Zone, Spot: a.cfg.Spot}
	a.startedAt = bootClock()
	a.worker = NewWorker(me, a.cfg.Room, a.cfg.Workers, a.cfg.Controllers, a.persisted.Epoch, a.persisted.FencingToken, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	a.runner.open(a.persisted.Epoch)
	a.stats.Epochs++
	a.log.Info("serving", "listen", address, "epoch", a.persisted.Epoch)
	a.timer = time.AfterFunc(0, a.tick)
}

func (a *Agent) startWatchdog() error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd := exec.Command(a.watchdogCommand[0], a.watchdogCommand[1:]...)
	cmd.Stdin, cmd.Stderr = r, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	err = cmd.Start()
	r.Close()
	if err != nil {
		w.Close()
		return err
	}
	a.mu.Lock()
	a.watchdog, a.watchdogLeaseEnd = w, 0
	a.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		a.mu.Lock()
		stopped := a.stopped
		a.mu.Unlock()
		if !stopped {
			// Guards against tasks that nobody would end if the agent hung.
			a.log.Error("the watchdog is gone; another is started")
			time.Sleep(100 * time.Millisecond)
			if err := a.startWatchdog(); err != nil {
				a.mu.Lock()
				a.fail(fmt.Errorf("watchdog: %w", err))
				a.mu.Unlock()
			}
		}
	}()
	return nil
}

func (a *Agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	now := time.Now()
	a.pool.Expire(now)
	if now.Sub(a.lastSweepAt) > seconds(a.cfg.Workers.Heartbeat/6) {
		a.lastSweepAt = now
		a.server.Sweep(now)
		a.stats.Usage = a.runner.watch()
		a.inputs.refresh(false)
		a.worker.SetUnshipped(a.keeper.left())
		if at, ok := a.checkPreemption(); ok {
			a.perform(a.worker.Preempt(a.clock(), at))
		}
		// Guards against machines that go on for ever when the site that they
		// belong to was killed and never started again.
		if g := seconds(a.cfg.GiveUpS); g > 0 && a.clock() > a.answeredAt+g {
			a.log.Info("no controller answers; switching off", "seconds", a.cfg.GiveUpS)
			a.cfg.GiveUpS = 0
			go a.server.Stop()
		}
	}
	a.perform(a.worker.Tick(a.clock()))
}

// checkPreemption reads the provider's notice.
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

// perform carries out effects; the lock is held.
func (a *Agent) perform(e Effects) {
	if e.Token > a.persisted.FencingToken {
		a.persisted.FencingToken = e.Token
		a.persist()
	}
	if a.watchdog != nil && e.Lease != a.watchdogLeaseEnd {
		// The worker itself ends tasks at this moment; the watchdog is for
		// when it can't, a little later. It must not hold the agent up: one
		// that hears nothing ends the tasks too early, not too late.
		a.watchdogLeaseEnd = e.Lease
		late := a.startedAt + e.Lease + seconds(a.cfg.Workers.Lease/100)
		_ = a.watchdog.SetWriteDeadline(time.Now().Add(soonest))
		_, _ = fmt.Fprintf(a.watchdog, "%d\n", int64(late))
	}
	if e.EndAll {
		a.log.Info("lease expired", "epoch", a.worker.Epoch())
		go a.endAllTasks()
	}
	for _, k := range e.Kill {
		a.runner.kill(k)
	}
	for _, k := range e.Stop {
		a.lastCheckpoints[k] = a.outsideStore.last(k.Job, k.Index)
		a.runner.signal(k, syscall.SIGTERM)
	}
	for _, k := range e.Checkpoint {
		a.runner.signal(k, syscall.SIGUSR1)
	}
	for _, name := range e.Leave {
		a.images.leave(name)
	}
	for _, id := range e.Describe {
		a.fetchDescription(id, 0)
	}
	for _, name := range e.Fetch {
		a.log.Debug("fetching", "image", name)
		a.images.fetch(name, func(err error) {
			if err != nil {
				a.log.Error("image can't be had", "image", name, "error", err)
			}
			a.step(func() Effects { return a.worker.Fetched(a.clock(), name, err) })
		})
	}
	if a.inputs == nil {
		for _, k := range e.Inputs { // of a site that has data sets
			go a.step(func() Effects { return a.worker.Brought(a.clock(), k, errNoStore, false) })
		}
	}
	a.inputs.do(e)
	for _, k := range e.Start {
		a.stats.Launched++
		d := a.worker.Description(k.Job)
		go a.startTask(a.worker.Epoch(), k, d)
	}
	for _, k := range e.AskGang {
		go a.askGangMembers(k, a.worker.Description(k.Job))
	}
	for _, k := range e.Forget {
		delete(a.gangMembers, k)
		delete(a.lastCheckpoints, k)
	}
	if len(e.Forget) > 0 {
		go a.runner.prune()
	}
	if e.Heartbeat != nil {
		a.sendHeartbeat(e.Heartbeat)
	}
	if a.timer != nil && !a.stopped {
		next := min(a.worker.Due()-a.clock(), seconds(a.cfg.Workers.Heartbeat/6), time.Second)
		a.timer.Reset(max(next, time.Millisecond))
	}
}

// step feeds an event to the worker and carries out what follows.
func (a *Agent) step(event func() Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped {
		a.perform(event())
	}
}

func (a *Agent) sendHeartbeat(s *HeartbeatSend) {
	a.stats.Heartbeats++
	a.inputs.told()
	a.pool.Start(transport.Call{Addr: s.Controller.Address, Method: http.MethodPost, Target: protocol.PathHeartbeat, Body: s.Body, Timeout: patience,
		Done: func(r *transport.Response, _ bool, err error) {
			a.step(func() Effects {
				if err != nil {
					a.log.Debug("report not answered", "node", s.Controller.Name, "error", err)
					return a.worker.Answered(a.clock(), s, 0, nil)
				}
				if r.Status == http.StatusOK {
					a.stats.Answered++
					a.answeredAt = a.clock()
				}
				return a.worker.Answered(a.clock(), s, r.Status, r.Body)
			})
		}})
}

// endAllTasks ends the session's tasks and begins the next session.
func (a *Agent) endAllTasks() {
	a.runner.clear()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	a.persisted.Epoch = a.worker.Epoch() + 1
	a.persist()
	if a.fatalErr == nil {
		a.stats.Epochs++
		a.runner.open(a.persisted.Epoch)
		a.perform(a.worker.EpochEnded(a.clock()))
	}
}

// fetchDescription asks one controller after the other for a job's description. The
// first asked is the one that the worker reports to.
func (a *Agent) fetchDescription(id string, asked int) {
	n := len(a.cfg.Controllers)
	node := a.cfg.Controllers[(a.worker.controller+asked)%n]
	a.pool.Start(transport.Call{Addr: node.Address, Method: http.MethodGet, Target: protocol.PathJobs + "/" + id + "/" + protocol.PathDescription, Timeout: patience,
		Done: func(r *transport.Response, _ bool, err error) {
			var d protocol.JobDescription
			switch {
			case err == nil && r.Status == http.StatusOK && protocol.Decode(r.Body, &d) == nil:
				a.step(func() Effects { return a.worker.Described(a.clock(), id, &d, false) })
			case err == nil && r.Status == http.StatusNotFound:
				a.step(func() Effects { return a.worker.Described(a.clock(), id, nil, true) })
			case asked+1 < n:
				a.mu.Lock()
				defer a.mu.Unlock()
				if !a.stopped {
					a.fetchDescription(id, asked+1)
				}
			default:
				a.log.Info("a job's description can't be had now", "job", id)
				time.AfterFunc(seconds(a.cfg.Workers.Heartbeat/4), func() {
					a.step(func() Effects { return a.worker.Described(a.clock(), id, nil, false) })
				})
			}
		}})
}

// startTask starts an attempt's program.
func (a *Agent) startTask(session uint64, k TaskAttempt, d *protocol.JobDescription) {
	if d == nil {
		return
	}
	if d.Shape == job.Array && a.outsideStore.done(k.Job, k.Index) {
		a.log.Info("done before", "task", k.TaskName(), "attempt", k.Attempt)
		a.programEnded(k, Exit{})
		return
	}
	p, err := a.taskProgram(k, d)
	if err == nil {
		a.keeper.begin(k, d)
		err = a.runner.start(session, k, p, d.MemoryGB)
	}
	if errors.Is(err, errWrongEpoch) {
		a.keeper.ended(k, "its session was over", -1)
		return
	}
	if err != nil {
		a.log.Error("a task can't be started", "task", k.TaskName(), "attempt", k.Attempt, "error", err)
		_ = os.WriteFile(filepath.Join(a.runner.folder(k), stderr), []byte("silvergate: "+err.Error()+"\n"), 0o600)
		a.programEnded(k, Exit{Code: -1})
		return
	}
	a.log.Info("started", "task", k.TaskName(), "attempt", k.Attempt, "command", p.Argv[0])
	// A command that came while the process was being made found nobody.
	a.mu.Lock()
	l := a.worker.tasks[k]
	late := l == nil || l.phase != running
	a.mu.Unlock()
	if late {
		a.runner.kill(k)
	}
}

// taskProgram makes an attempt's folder and says what is to be run in it.
func (a *Agent) taskProgram(k TaskAttempt, d *protocol.JobDescription) (p program, err error) {
	folder, image, ok := a.images.folder(d.Image)
	if !ok {
		return p, errors.New("its image was evicted")
	}
	dir := a.runner.folder(k)
	p.Dir = filepath.Join(dir, workDir)
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return p, err
	}
	x := d.Extra
	if x == nil {
		x = &job.Extra{}
	}
	if err := a.inputs.place(p.Dir, d.Inputs, len(x.Inputs)); err != nil {
		return p, err
	}
	command := x.Command
	if len(command) == 0 {
		command = image.Command
	}
	if len(command) == 0 {
		return p, fmt.Errorf("neither the job nor its image %s has a command", d.Image)
	}
	p.Argv = append([]string(nil), command...)
	if p.Argv[0], err = find(command[0], folder); err != nil {
		return p, err
	}
	p.Nice, p.Files = a.cfg.Nice.of(d.Priority), a.cfg.OpenFiles
	env := map[string]string{"PATH": os.Getenv("PATH"), "HOME": p.Dir, "LANG": "C.UTF-8"}
	for _, v := range a.cfg.Environment {
		name, value, _ := strings.Cut(v, "=")
		env[name] = value
	}
	for name, value := range x.Env {
		env[name] = value
	}
	own := map[string]string{"JOB": k.Job, "TASK": strconv.Itoa(k.Index), "TRY": strconv.Itoa(k.Attempt), "LOADS": strconv.Itoa(d.Tasks),
		"IMAGE": folder, "MACHINE": a.cfg.Worker, "ZONE": a.cfg.Zone, "CPUS": fmt.Sprint(d.CPUs), "ACCELERATORS": fmt.Sprint(d.GPUs), "RAM_GB": fmt.Sprint(d.MemoryGB)}
	if d.CheckpointIntervalS > 0 && a.cfg.OutsideDir != "" {
		if own["CHECKPOINTS"], err = a.outsideStore.prepare(k.Job, k.Index); err != nil {
			return p, err
		}
		if n := a.outsideStore.resume(k.Job, k.Index, d.Tasks, d.Shape == job.Gang); n > 0 {
			own["RESUME"] = strconv.Itoa(n)
		}
	}
	for name, value := range own {
		env[protocol.ReservedEnv+name] = value
	}
	env[proc.MarkEnv] = a.runner.mark(k)
	for _, name := range slices.Sorted(maps.Keys(env)) {
		p.Env = append(p.Env, name+"="+env[name])
	}
	return p, nil
}

// find looks a program up: in the image, then where the agent finds its own.
func find(name, image string) (string, error) {
	if filepath.IsAbs(name) {
		return name, nil
	}
	if image != "" && filepath.IsLocal(name) {
		for _, p := range []string{filepath.Join(image, name), filepath.Join(image, "bin", name)} {
			if info, err := os.Stat(p); err == nil && !info.IsDir() {
				return p, nil
			}
		}
	}
	if strings.Contains(name, "/") {
		return "", fmt.Errorf("%s: not in the image", name)
	}
	return exec.LookPath(name)
}

// taskExited takes that an attempt's processes are gone.
func (a *Agent) taskExited(k TaskAttempt, code int, memory bool) {
	a.mu.Lock()
	d, before := a.worker.Description(k.Job), a.lastCheckpoints[k]
	a.mu.Unlock()
	x := Exit{Code: code, Saved: a.outsideStore.dir != "" && a.outsideStore.last(k.Job, k.Index) > before}
	if memory {
		x.Code = -1
	}
	if d != nil && d.Shape == job.Array && x.Code == 0 && a.outsideStore.dir != "" {
		// Durable before it is told: otherwise a lost report would have the
		// task run again.
		if l := a.running(k); l {
			if err := a.outsideStore.complete(k.Job, k.Index); err != nil {
				a.log.Error("a result can't be kept", "task", k.TaskName(), "error", err)
			}
		}
	}
	a.programEnded(k, x)
}

// running tells whether an attempt was left to complete.
func (a *Agent) running(k TaskAttempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.worker.tasks[k]
	return l != nil && l.phase == running
}

func (a *Agent) programEnded(k TaskAttempt, x Exit) {
	cause := "the lease was over"
	defer func() { a.keeper.ended(k, cause, x.Code) }()
	a.step(func() Effects {
		e := a.worker.Exited(a.clock(), k, x)
		if l := a.worker.tasks[k]; l != nil && l.phase == ended {
			a.stats.TaskEnds[l.cause]++
			cause = l.cause
			a.log.Info("ended", "task", k.TaskName(), "attempt", k.Attempt, "cause", l.cause, "code", x.Code, "saved", l.checkpointed)
		}
		return e
	})
}

// askGangMembers asks the agents of a gang's other tasks how they are.
func (a *Agent) askGangMembers(k TaskAttempt, d *protocol.JobDescription) {
	if d == nil {
		return
	}
	a.mu.Lock()
	places := a.gangMembers[k]
	node := a.cfg.Controllers[a.worker.controller]
	states := a.worker.Gang(k.Job, k.Attempt)
	a.mu.Unlock()
	path := fmt.Sprintf("%s/%s/%s/%d", protocol.PathJobs, k.Job, protocol.PathGang, k.Attempt)
	limit := seconds(a.cfg.Workers.GangPeer / 2)
	// Before it runs, a gang can still get a task on another machine.
	if len(places) < d.Tasks || !a.running(k) {
		if r, _, err := a.pool.Do(node.Address, http.MethodGet, path, nil, limit); err == nil && r.Status == http.StatusOK {
			var p protocol.GangMembers
			if protocol.Decode(r.Body, &p) == nil && len(p.Members) >= len(places) {
				places = p.Members
			}
		}
	}
	addresses := map[string]bool{}
	for _, p := range places {
		if p.Machine != a.cfg.Worker && p.Address != "" {
			addresses[p.Address] = true
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for address := range addresses {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r, _, err := a.pool.Do(address, http.MethodGet, fmt.Sprintf("%s%s/%d", pathGang, k.Job, k.Attempt), nil, limit)
			if err != nil || r.Status != http.StatusOK {
				return
			}
			var theirs map[int]string
			if json.Unmarshal(r.Body, &theirs) == nil {
				mu.Lock()
				defer mu.Unlock()
				for i, s := range theirs {
					states[i] = s
				}
			}
		}()
	}
	wait.Wait()
	a.step(func() Effects {
		a.gangMembers[k] = places
		return a.worker.Peers(a.clock(), k, states)
	})
}

// pathGang is where agents ask one another about a gang's attempt.
const pathGang = "/gang/"

// Serve takes a request; the server holds the lock.
func (a *Agent) Serve(id uint64, r *transport.Request) {
	problem := func(status int, why string) {
		retry := 0
		if status == http.StatusServiceUnavailable {
			retry = 1
		}
		a.server.Answer(id, status, protocol.Encode(protocol.ErrorResponse{Error: why}), retry)
	}
	switch {
	case r.Path == protocol.PathCommands && r.Method == http.MethodPost:
		status, body, e := a.worker.Direct(a.clock(), r.Body)
		a.perform(e)
		a.server.Answer(id, status, body, 0)
	case r.Path == protocol.PathStatus && r.Method == http.MethodGet:
		body, e, err := a.worker.Status(a.clock())
		a.perform(e)
		if err != nil {
			problem(http.StatusServiceUnavailable, err.Error())
			return
		}
		a.server.Answer(id, http.StatusOK, body, 0)
	case strings.HasPrefix(r.Path, pathGang) && r.Method == http.MethodGet:
		ref, try, _ := strings.Cut(r.Path[len(pathGang):], "/")
		n, err := strconv.Atoi(try)
		if err != nil || !protocol.ValidJobID(ref) {
			problem(http.StatusBadRequest, "the path must name a job and an attempt")
			return
		}
		a.server.Answer(id, http.StatusOK, protocol.Encode(a.worker.Gang(ref, n)), 0)
	case a.inputs.serve(id, r.Method, r.Path):
	case a.Extra != nil && a.Extra(id, r.Method, r.Path):
	case r.Path == protocol.PathCommands || r.Path == protocol.PathStatus:
		problem(http.StatusMethodNotAllowed, "method not allowed")
	default:
		problem(http.StatusNotFound, "no such path")
	}
}

// AnswerAs answers a request of Extra; the lock must be held.
func (a *Agent) AnswerAs(id uint64, contentType string, body []byte) {
	a.server.AnswerAs(id, contentType, body)
}

// Stats returns the counters; the lock must be held, as it is in Extra.
func (a *Agent) Stats() Stats {
	s := a.stats
	s.Tasks, s.Live = a.worker.Count()
	if a.keeper != nil {
		t := a.keeper.ship.Stats()
		s.Archive = &t
	}
	return s
}
