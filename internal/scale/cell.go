package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/agent"
	"silvergate/internal/hollow"
	"silvergate/internal/protocol"
	"silvergate/internal/provider"
)

// CellSettings are the settings of a cell process, which it reads from a YAML file.
// State and Cloud are the ports of the cell's state service and cloud.
type CellSettings struct {
	Scenario *Scenario `yaml:"scenario"`
	Number   int       `yaml:"number"`
	State    int       `yaml:"state"`
	Cloud    int       `yaml:"cloud"`
	// Controllers lists the controllers' ports for workers and users.
	Controllers []int  `yaml:"controllers"`
	Dir         string `yaml:"dir"`
}

// agentProcess is the process of a real agent, with its uptime and processor time as last measured.
type agentProcess struct {
	cmd       *exec.Cmd
	startedAt time.Time
	uptime    time.Duration
	cpu       time.Duration
}

// cell is the state of a cell process. It implements hollow.Observer for its fleet.
type cell struct {
	scenario   *Scenario
	layout     *cellLayout
	dir        string
	executable string
	log        *slog.Logger
	startedAt  time.Time
	checker    *checker
	fleet      *hollow.Fleet
	cloud      *cloud
	users      *users

	mu       sync.Mutex
	measured measurements
	agents   agentProcesses
}

// measurements holds what a cell has measured so far.
type measurements struct {
	samples      []Sample
	starts       int
	leaseKilled  int                                // tasks killed because a lease ended
	acceptance   *hdrhistogram.Histogram            // time from submission to acceptance
	firstStart   map[string]*hdrhistogram.Histogram // time from submission to the job's first task start, by urgency
	taskStart    map[string]*hdrhistogram.Histogram // time from submission to each task's first start, by urgency
	started      map[string]map[int]bool            // indexes of the tasks that have started, by job
	workerUptime float64                            // total uptime of all workers, in seconds
}

// agentProcesses holds a cell's real agents.
type agentProcesses struct {
	running map[string]*agentProcess // by machine name
	all     []*agentProcess          // including those that have ended
	result  AgentsResult
}

// Intervals of a cell process: between two samples, and between two checks whether jobs are over
// or calls have timed out.
const (
	samplePeriod    = time.Second
	drainPollPeriod = 250 * time.Millisecond
)

// realImage is the image of the jobs that run on real agents. Its program is sleep.
const realImage = "sleeper"

// RunCell runs one cell of a scenario and returns what it measured. It returns when the
// users' jobs are over, when the drain time has passed, or when stop is closed.
func RunCell(settings CellSettings, executable string, log *slog.Logger, stop <-chan struct{}) (*CellResult, error) {
	s := settings.Scenario
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &cell{scenario: s, dir: settings.Dir, executable: executable, log: log, startedAt: time.Now(),
		layout:   &cellLayout{scenario: s, number: settings.Number, statePort: settings.State, cloudPort: settings.Cloud, controllerPorts: settings.Controllers},
		measured: measurements{acceptance: newHistogram(), firstStart: map[string]*hdrhistogram.Histogram{}, taskStart: map[string]*hdrhistogram.Histogram{}, started: map[string]map[int]bool{}},
		agents:   agentProcesses{running: map[string]*agentProcess{}}}
	c.checker = newChecker(s, c.now)
	c.fleet = hollow.NewFleet(c.layout.controllerAddresses(), c.layout.periods(), c.layout.workerIP(), heartbeatConnections(s), c)
	defer c.fleet.Close()
	c.cloud = newCloud(s, s.Seed+uint64(settings.Number), log)
	c.cloud.boot, c.cloud.remove = c.boot, c.remove
	if err := c.cloud.serve(loopback(settings.Cloud)); err != nil {
		return nil, fmt.Errorf("cloud: %w", err)
	}
	defer c.cloud.close()
	defer c.endAgents()
	c.users = newUsers(c)
	if err := c.awaitControllers(); err != nil {
		return nil, err
	}
	c.runScenario(stop)
	return c.result(), nil
}

// awaitControllers waits until every controller is up, and sets the start time from which
// users and faults are scheduled.
func (c *cell) awaitControllers() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, n := range c.layout.controllerAddresses() {
		if err := awaitUp(ctx, n.Address); err != nil {
			return fmt.Errorf("%s is not up: %w", n.Name, err)
		}
	}
	c.startedAt = time.Now()
	return nil
}

// heartbeatConnections is how many connections the hollow workers of a cell share for heartbeats.
func heartbeatConnections(s *Scenario) int {
	return s.Controllers * max(16, s.Controller.MaxSockets/4)
}

func (c *cell) now() time.Duration { return time.Since(c.startedAt) }

// runScenario submits jobs and injects faults for the scenario's duration. It then waits
// until the jobs are over, for the drain time at most.
func (c *cell) runScenario(stop <-chan struct{}) {
	over := make(chan struct{})
	go c.sample(over)
	go c.scheduleFaults(over)
	go c.expireCalls(over)
	submitted := make(chan struct{})
	go func() {
		c.users.run(over)
		close(submitted)
	}()
	wait := func(until time.Duration, done func() bool) bool {
		for c.now() < until && !done() {
			select {
			case <-stop:
				return false
			case <-time.After(drainPollPeriod):
			}
		}
		return true
	}
	end := time.Duration(c.scenario.DurationS * float64(time.Second))
	if wait(end, func() bool { return false }) {
		<-submitted
		wait(end+time.Duration(c.scenario.DrainS*float64(time.Second)), c.drained)
	}
	close(over)
	c.users.followers.Wait()
}

// drained reports whether users have seen the end of all accepted jobs, except services.
func (c *cell) drained() bool {
	c.users.mu.Lock()
	defer c.users.mu.Unlock()
	for _, s := range c.users.openJobs {
		if s.Shape != "standing" {
			return false
		}
	}
	return true
}

// expireCalls fails the users' calls whose timeout has passed, and at the end of the run
// all calls.
func (c *cell) expireCalls(over <-chan struct{}) {
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.users.pool.Expire(now)
		case <-over:
			c.users.pool.Expire(time.Now().Add(time.Hour))
			return
		}
	}
}

// sample records the cell's state and checks the cancelled jobs, once a second.
func (c *cell) sample(over <-chan struct{}) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.checker.checkCancelledJobs()
			tasks, answered := c.fleet.Running()
			workers := len(c.fleet.Names(""))
			c.mu.Lock()
			c.measured.samples = append(c.measured.samples, Sample{AtS: c.now().Seconds(), Starts: c.measured.starts, Running: tasks, Workers: workers, Answered: answered,
				Heartbeats: c.fleet.Stats.Heartbeats.Load(), LeaseKilled: c.measured.leaseKilled})
			c.measured.workerUptime += float64(workers) * samplePeriod.Seconds()
			c.measureAgents()
			c.mu.Unlock()
		case <-over:
			return
		}
	}
}

// measureAgents records the memory and processor time that the real agents have used so
// far. The caller holds c.mu.
func (c *cell) measureAgents() {
	for _, a := range c.agents.running {
		if u, ok := readUsage(a.cmd.Process.Pid); ok {
			c.agents.result.PeakMB = max(c.agents.result.PeakMB, float64(u.rss)/(1<<20))
			a.uptime, a.cpu = time.Since(a.startedAt), u.cpu
		}
	}
}

// agentsResult sums up what the real agents have used. The caller holds c.mu.
func (c *cell) agentsResult() AgentsResult {
	var uptime, cpu time.Duration
	for _, a := range c.agents.all {
		uptime, cpu = uptime+a.uptime, cpu+a.cpu
	}
	if uptime > 0 {
		c.agents.result.CoreMs = 1000 * cpu.Seconds() / uptime.Seconds()
	}
	return c.agents.result
}

// scheduleFaults injects the faults of workers at their times. The process that started
// the run injects the faults of controllers.
func (c *cell) scheduleFaults(over <-chan struct{}) {
	for i := range c.scenario.Faults {
		f := c.scenario.Faults[i]
		if f.Kind == FaultControllerKill {
			continue
		}
		go func() {
			select {
			case <-time.After(time.Duration(f.AtS*float64(time.Second)) - c.now()):
				c.injectFault(f, over)
			case <-over:
			}
		}()
	}
}

// injectFault injects a fault of workers, which lasts until its ForS or the run is over.
func (c *cell) injectFault(f Fault, over <-chan struct{}) {
	switch f.Kind {
	case FaultWorkersLost:
		names := c.affectedWorkers(f)
		c.fleet.Remove(names...)
		c.cloud.machinesLost(names)
	case FaultWorkersRestart:
		c.restartWorkers(c.affectedWorkers(f), f.ForS, over)
	case FaultCommandsCopied:
		c.copyCommands(f, over)
	}
}

// affectedWorkers returns the share of a zone's workers that a fault affects.
func (c *cell) affectedWorkers(f Fault) []string {
	names := c.fleet.Names(f.Zone)
	slices.Sort(names)
	names = names[:int(float64(len(names))*f.Share)]
	c.log.Info("fault", "kind", f.Kind, "workers", len(names))
	return names
}

// restartWorkers restarts workers one after the other over a time in seconds.
func (c *cell) restartWorkers(names []string, forS float64, over <-chan struct{}) {
	for i, name := range names {
		c.fleet.Restart(name)
		select {
		case <-time.After(time.Duration(forS / float64(len(names)) * float64(time.Second))):
		case <-over:
			c.log.Info("the run ended during a rolling restart", "restarted", i+1)
			return
		}
	}
}

// copyCommands has copies of direct commands arrive.
func (c *cell) copyCommands(f Fault, over <-chan struct{}) {
	c.log.Info("fault", "kind", f.Kind, "share", f.Share)
	c.fleet.CopyCommands(f.Share, c.scenario.Seed)
	select {
	case <-time.After(time.Duration(f.ForS * float64(time.Second))):
	case <-over:
	}
	c.fleet.CopyCommands(0, c.scenario.Seed)
	stats := &c.fleet.Stats
	c.log.Info("copies of commands", "arrived", stats.Copies.Load(), "executed", stats.CopiesExecuted.Load())
}

// boot starts a hollow worker or a real agent, by the machine's type, and returns its address.
func (c *cell) boot(m provider.Machine) (string, error) {
	if m.MachineType == realType {
		return c.bootAgent(m)
	}
	s := c.scenario
	err := c.fleet.Add(hollow.Machine{Name: m.Name, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, PullGBPerS: s.Machine.PullGBPerS,
		Resources: agent.Room{CPUs: s.Machine.CPUs, GPUs: s.Machine.GPUs, RAM: s.Machine.RAM}}, s.Seed^uint64(m.RentedMS))
	return c.fleet.Address(m.Name), err
}

// bootAgent starts a real agent as a process. The kernel sends that process SIGTERM when this
// one ends.
func (c *cell) bootAgent(m provider.Machine) (string, error) {
	allocator := &portAllocator{}
	port, err := allocator.allocate(0)
	allocator.release()
	if err != nil {
		return "", err
	}
	s := c.scenario
	cfg := agent.DefaultConfig()
	cfg.Worker, cfg.MachineType, cfg.Zone, cfg.Spot, cfg.Listen = m.Name, m.MachineType, m.Zone, m.Spot, loopback(port)
	cfg.Dir = filepath.Join(c.dir, "agents", m.Name)
	cfg.Controllers, cfg.Workers = c.layout.controllerAddresses(), c.layout.periods()
	cfg.Resources = agent.Room{CPUs: s.Machine.CPUs, GPUs: s.Machine.GPUs, RAM: s.Machine.RAM}
	image := filepath.Join(c.dir, "image") // an empty folder: sleep is the system's own program
	if err := os.MkdirAll(image, 0o700); err != nil {
		return "", err
	}
	cfg.Images = []agent.Image{{Name: realImage, Path: image, Command: []string{"sleep", fmt.Sprint(c.realTaskSeconds())}}}
	raw, err := yaml.Marshal(cfg)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return "", err
	}
	path := cfg.Dir + ".yaml"
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return "", err
	}
	cmd := exec.Command(c.executable, "agent", "--settings", path)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	log, err := os.Create(cfg.Dir + ".log")
	if err != nil {
		return "", err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return "", err
	}
	log.Close()
	c.mu.Lock()
	a := &agentProcess{cmd: cmd, startedAt: time.Now()}
	c.agents.running[m.Name], c.agents.all = a, append(c.agents.all, a)
	c.agents.result.Count++
	c.mu.Unlock()
	return cfg.Listen, nil
}

// realTaskSeconds is how long the program of a task on a real agent sleeps.
func (c *cell) realTaskSeconds() float64 {
	for i := range c.scenario.Load {
		if c.scenario.Load[i].Real {
			return c.scenario.Load[i].RunS
		}
	}
	return 1
}

// remove stops the hollow workers and real agents of machines that were deleted.
func (c *cell) remove(names []string) {
	c.fleet.Remove(names...)
	for _, name := range names {
		c.mu.Lock()
		a := c.agents.running[name]
		delete(c.agents.running, name)
		c.mu.Unlock()
		if a != nil {
			endProcess(a.cmd)
		}
	}
}

func (c *cell) endAgents() {
	c.mu.Lock()
	var names []string
	for name := range c.agents.running {
		names = append(names, name)
	}
	c.mu.Unlock()
	c.remove(names)
}

// Describe returns a job's description; false: nobody has submitted it.
func (c *cell) Describe(id string) (*protocol.JobDescription, bool) { return c.checker.describe(id) }

// RunTime returns how long a task runs; 0: until it is stopped.
func (c *cell) RunTime(id string, index int) time.Duration { return c.checker.runTime(id, index) }

// Started checks the start of a task against the rules and records how long after its
// job's submission it came.
func (c *cell) Started(m *hollow.Machine, k agent.TaskAttempt) {
	nth := c.checker.started(m, k)
	s := c.checker.submission(k.Job)
	if s == nil {
		return
	}
	wait := c.now() - s.progress.submittedAt
	c.mu.Lock()
	defer c.mu.Unlock()
	c.measured.starts++
	if nth == 1 {
		recordLatency(c.measured.firstStart, s.Priority, wait)
	}
	if c.measured.started[k.Job] == nil {
		c.measured.started[k.Job] = map[int]bool{}
	}
	if !c.measured.started[k.Job][k.Index] {
		c.measured.started[k.Job][k.Index] = true
		recordLatency(c.measured.taskStart, s.Priority, wait)
	}
}

// Stopped tells the checker that a task no longer runs on a machine.
func (c *cell) Stopped(m *hollow.Machine, k agent.TaskAttempt, done bool) {
	c.checker.stopped(m, k, done)
}

// LeaseEnded counts tasks that were killed because a worker's lease ended.
func (c *cell) LeaseEnded(_ *hollow.Machine, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.measured.leaseKilled += tasks
}

// recordAcceptance records how long a submission took to be accepted.
func (c *cell) recordAcceptance(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.measured.acceptance.RecordValue(clampMicros(took))
}
