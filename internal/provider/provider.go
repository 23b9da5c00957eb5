// Package provider is a local cloud whose machines are agent processes on this
// machine. It rents them out through the protocol's cloud interface, starts and
// watches their agents, preempts spot machines and ends machines with all their
// tasks.
//
// Market decides and owns the records; Provider stores them in a file (bbolt)
// before it answers, and does all other I/O. A request's name is stored for
// ever, so a repeated request rents nothing, even after a restart. After a
// restart, agents are found again by PID and start time. In place of an agent
// that is gone another one is started, which kills the tasks that the earlier
// agent left before it begins a new agent epoch.
package provider

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	bolt "go.etcd.io/bbolt"

	"silvergate/internal/agent"
	"silvergate/internal/proc"
	"silvergate/internal/transport"
)

// Config is a provider's configuration, in YAML.
type Config struct {
	Listen string        `yaml:"listen"`
	Dir    string        `yaml:"dir"` // absolute
	RPS    float64       `yaml:"rps"`
	Types  []MachineType `yaml:"types"`
	Spot   Spot          `yaml:"spot"`
	// Agent is the agent configuration of every machine, except for the fields that differ.
	Agent   agent.Config `yaml:"agent"`
	Metrics bool         `yaml:"metrics"`
	// SwitchOff switches the machines off when the provider is stopped. They
	// stay rented, and come up again with the provider.
	SwitchOff bool `yaml:"switch_off"`
	// Authority is the folder of the site's authority, which issues each machine's
	// certificate; "": machines have none.
	Authority string `yaml:"authority,omitempty"`
}

// DefaultConfig returns the values of fields that a configuration file does not set.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:8443", RPS: 20, Spot: Spot{NoticeS: 30}, Agent: agent.DefaultConfig()}
}

// Check returns an error that names the first field with an impossible value.
func (c *Config) Check() error {
	if !filepath.IsAbs(c.Dir) {
		return errors.New("dir: must be absolute")
	}
	if !(c.RPS >= 1) {
		return errors.New("rps: must be at least 1")
	}
	if err := CheckTypes(c.Types); err != nil {
		return err
	}
	a := c.agent(&Machine{Name: "i-0", MachineType: c.Types[0].Name, Zone: "any"}, &c.Types[0])
	if err := a.Check(); err != nil {
		return fmt.Errorf("agent.%w", err)
	}
	return nil
}

// PathPreemptions is the path at which an operator preempts machines: POST
// {"stokers":[...],"noticeS":30}. It is not part of the protocol.
const PathPreemptions = "/recalls"

var (
	bucketMachines = []byte("machines")
	bucketRentals  = []byte("hires")
	bucketNext     = []byte("next")
)

// Limits of the provider's server.
const (
	requestTimeout = 10 * time.Second
	maxConnections = 256
)

// Provider is a running cloud.
type Provider struct {
	cfg        Config
	executable string
	log        *slog.Logger
	db         *bolt.DB
	server     *transport.Server
	// Extra answers paths that are not the protocol's, such as /metrics. It reports whether it
	// has answered the request.
	Extra func(id uint64, method, path string) bool

	mu      sync.Mutex
	market  *Market
	agents  map[string]proc.ID
	waiting map[string][]func() // by machine: called when it has ended
	work    machineWork
	timer   *time.Timer
	closed  bool
	failed  error
	stats   Stats
	// certsCheckedAt is when the machines' certificates were last checked for renewal.
	certsCheckedAt time.Time
}

// machineWork counts, by machine, the goroutines that write to a machine's folder or start its
// agent. The provider's lock guards it.
type machineWork struct {
	byMachine map[string]int
	ended     *sync.Cond // signals that one of them has ended
}

// Stats counts what a provider has done.
type Stats struct {
	Requests, Refused, Rented, Ended, Restarted uint64
	Machines                                    map[string]int // by status
	Paid                                        float64
}

// Open opens the provider's file, or creates one, and loads the machines in it. executable is
// the path of this program, which is started again for each agent.
func Open(cfg Config, executable string, log *slog.Logger) (*Provider, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	for _, d := range []string{machinesDir, endedDir} {
		if err := os.MkdirAll(filepath.Join(cfg.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(cfg.Dir, fileName)
	if err := checkFile(path); err != nil {
		return nil, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p := &Provider{cfg: cfg, executable: executable, log: log, db: db, agents: map[string]proc.ID{}, waiting: map[string][]func(){}}
	if err := p.load(path); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	p.work = machineWork{byMachine: map[string]int{}, ended: sync.NewCond(&p.mu)}
	p.server = transport.NewServer(&p.mu, p, requestTimeout, maxConnections)
	return p, nil
}

// fail stops the provider: a result that could not be stored must not be answered.
func (p *Provider) fail(err error) {
	if p.failed == nil {
		p.failed = err
		p.log.Error("stopping", "error", err)
		go p.server.Stop()
	}
}

// perform stores and carries out effects. It returns false if they could not be stored; the
// request that caused them must not be answered then. The lock is held.
func (p *Provider) perform(e Effects) bool {
	if err := p.store(e); err != nil {
		p.fail(err)
		return false
	}
	for _, n := range e.Notice {
		at := p.market.machines[n].PreemptionMS
		p.log.Info("machine preempted", "machine", n, "at", time.UnixMilli(at))
		if err := renameio.WriteFile(filepath.Join(p.dir(n), agent.PreemptionFile), []byte(strconv.FormatInt(at, 10)), 0o600); err != nil && !errors.Is(err, os.ErrNotExist) {
			p.log.Error("the preemption notice of a machine can't be written", "machine", n, "error", err)
		}
	}
	for _, n := range e.End {
		go p.end(n)
	}
	for _, n := range e.Start {
		go p.start(n)
	}
	return true
}

func (p *Provider) dir(name string) string { return filepath.Join(p.cfg.Dir, machinesDir, name) }

// Run serves until Stop is called or the disk or the network fails. Machines keep running when
// it returns: they belong to the cloud, not to this process.
func (p *Provider) Run(ready func(net.Addr)) error {
	p.mu.Lock()
	for _, n := range p.market.names() {
		x := p.market.machines[n]
		id, err := p.readAgent(n)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			p.log.Error("the record of a machine's agent can't be read", "machine", n, "error", err)
		}
		if err == nil && id.Alive() {
			p.agents[n] = id
			p.market.AgentUp(n, p.readAddress(n))
			p.log.Info("agent found again", "machine", n, "pid", id.PID)
		}
		if x.Ending { // the previous run did not finish ending it
			go p.end(n)
		}
	}
	p.timer = time.AfterFunc(0, p.tick)
	p.mu.Unlock()
	p.server.Ready = func(a []net.Addr) {
		p.log.Info("serving", "listen", a[0].String(), "machines", len(p.market.machines))
		if ready != nil {
			ready(a[0])
		}
	}
	err := p.server.Run(p.cfg.Listen, "")
	p.mu.Lock()
	p.closed = true
	p.timer.Stop()
	failed := p.failed
	p.mu.Unlock()
	return errors.Join(failed, err, p.db.Close())
}

// Stop ends Run, and switches the machines off if so configured.
func (p *Provider) Stop() {
	p.mu.Lock()
	p.closed = true
	agents := maps.Clone(p.agents)
	p.mu.Unlock()
	if p.cfg.SwitchOff {
		var wait sync.WaitGroup
		for n, id := range agents {
			wait.Add(1)
			go func() {
				defer wait.Done()
				endAgent(id)
				_ = p.endTasks(n) // an error is in the log; the next start ends the remaining tasks
			}()
		}
		wait.Wait()
	}
	p.server.Stop()
}

// Stats returns the counters; the lock must be held, as it is in Extra.
func (p *Provider) Stats() Stats {
	now := time.Now()
	s := p.stats
	s.Machines = map[string]int{}
	for _, l := range p.market.List(now, "", 1<<30).Machines {
		s.Machines[string(l.Status)]++
	}
	s.Paid = p.market.Paid(now)
	return s
}
