// Package provider is a cloud of machines that are agent processes on this
// machine: it rents them by the protocol's cloud interface, starts and watches
// their agents, takes spot machines back and ends machines whole.
//
// Market decides and owns the records; Provider keeps them in a file (bbolt)
// before it answers, and does the rest. A request's name is remembered for
// ever, so a repeated one rents nothing, also after a restart. Agents are found
// again by process number and start time; one that can't be is ended with all
// its tasks before another takes its place.
package provider

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/agent"
	"silvergate/internal/checksum"
	"silvergate/internal/identity"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// Config is what a provider is told, in YAML.
type Config struct {
	Listen string  `yaml:"listen"`
	Dir    string  `yaml:"dir"` // absolute
	RPS    float64 `yaml:"rps"`
	Types  []Type  `yaml:"types"`
	Spot   Spot    `yaml:"spot"`
	// Agent is what every machine's agent is told, but for what differs.
	Agent   agent.Config `yaml:"agent"`
	Metrics bool         `yaml:"metrics"`
	// SwitchOff has the machines switched off when the provider is told to
	// end. They are rented still, and come up again with it.
	SwitchOff bool `yaml:"switch_off"`
	// Authority is the folder of the site's authority, which issues each machine's
	// certificate; "": machines have none.
	Authority string `yaml:"authority,omitempty"`
}

// DefaultConfig returns what holds for fields that a file does not name.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:8443", RPS: 20, Spot: Spot{NoticeS: 30}, Agent: agent.DefaultConfig()}
}

// Check names the first field that can't be.
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
	a := c.agent(&Machine{Name: "i-0", Rig: c.Types[0].SKU, Depot: "any"}, &c.Types[0])
	if err := a.Check(); err != nil {
		return fmt.Errorf("agent.%w", err)
	}
	return nil
}

// PathRecalls is where an operator has machines taken back: POST
// {"stokers":[...],"noticeS":30}. It is not part of the protocol.
const PathRecalls = "/recalls"

// Names in the provider's folder.
const (
	fileName    = "provider.db"
	machinesDir = "machines"
	endedDir    = "ended"
	agentFile   = "agent.json"
	configFile  = "agent.yaml"
	logFile     = "agent.log"
	certsDir    = "certs"
	keptEnded   = 50 // folders of machines that are gone
)

var (
	bucketMachines = []byte("machines")
	bucketHires    = []byte("hires")
	bucketNext     = []byte("next")
)

// Provider is a running cloud.
type Provider struct {
	cfg    Config
	self   string
	log    *slog.Logger
	db     *bolt.DB
	server *transport.Server
	// Extra answers paths that are not the protocol's, such as /metrics.
	Extra func(id uint64, method, path string) bool

	mu      sync.Mutex
	m       *Market
	agents  map[string]proc.ID
	waiting map[string][]func() // for a machine's end
	timer   *time.Timer
	closed  bool
	failed  error
	stats   Stats
	// certified is when the machines' certificates were last looked at.
	certified time.Time
}

// Stats counts what a provider did.
type Stats struct {
	Requests, Refused, Rented, Ended, Restarted uint64
	Machines                                    map[string]int // by status
	Paid                                        float64
}

// Open opens the provider's file, or makes one, and takes up the machines that
// are there. self is this program, which is started again for each agent.
func Open(cfg Config, self string, log *slog.Logger) (*Provider, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	for _, d := range []string{machinesDir, endedDir} {
		if err := os.MkdirAll(filepath.Join(cfg.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	path := filepath.Join(cfg.Dir, fileName)
	if err := check(path); err != nil {
		return nil, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p := &Provider{cfg: cfg, self: self, log: log, db: db, agents: map[string]proc.ID{}, waiting: map[string][]func(){}}
	if err := p.load(path); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	p.server = transport.NewServer(&p.mu, p, 10*time.Second, 256)
	return p, nil
}

// create makes an empty file. It gets its name when it is complete: one that is
// there is never taken for an unfinished one.
func create(path string) error {
	tmp := path + ".new"
	if err := os.RemoveAll(tmp); err != nil {
		return err
	}
	db, err := bolt.Open(tmp, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return err
	}
	if err := db.Close(); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// check reads all of the file before it is opened for writing: damage is named,
// and nothing is written over it. If there is none, one is made.
func check(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return create(path)
	}
	if err != nil {
		return err
	}
	damaged := func(format string, args ...any) error {
		return fmt.Errorf("%s is %w: %s; it was left as it is: move it away and the cloud begins without machines", path, checksum.ErrDamaged, fmt.Sprintf(format, args...))
	}
	if info.Size() < 4*int64(os.Getpagesize()) {
		return damaged("it has %d bytes only", info.Size())
	}
	return checksum.Guard(path, func() error {
		db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, ReadOnly: true})
		if errors.Is(err, berrors.ErrTimeout) {
			return fmt.Errorf("%s: another process has it open", path)
		}
		if err != nil {
			return damaged("%v", err)
		}
		defer db.Close()
		return db.View(func(tx *bolt.Tx) error {
			if tx.Size() > info.Size() {
				return damaged("it has %d bytes of %d", info.Size(), tx.Size())
			}
			return tx.ForEach(func(_ []byte, b *bolt.Bucket) error {
				return b.ForEach(func(k, v []byte) error {
					if _, ok := checksum.Open(k, v); !ok {
						return damaged("record %q does not match its checksum", k)
					}
					return nil
				})
			})
		})
	})
}

// load reads the records.
func (p *Provider) load(path string) error {
	var hires []*Hire
	var machines []*Machine
	var next uint64
	err := p.db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bucketMachines, bucketHires, bucketNext} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		read := func(bucket []byte, take func(raw []byte) error) error {
			return tx.Bucket(bucket).ForEach(func(k, v []byte) error {
				raw, ok := checksum.Open(k, v)
				if ok {
					ok = take(raw) == nil
				}
				if !ok {
					return fmt.Errorf("%s is damaged: record %q does not match its checksum; it was left as it is", path, k)
				}
				return nil
			})
		}
		return errors.Join(
			read(bucketMachines, func(raw []byte) error {
				x := &Machine{}
				machines = append(machines, x)
				return json.Unmarshal(raw, x)
			}),
			read(bucketHires, func(raw []byte) error {
				h := &Hire{}
				hires = append(hires, h)
				return json.Unmarshal(raw, h)
			}),
			read(bucketNext, func(raw []byte) error { return json.Unmarshal(raw, &next) }))
	})
	if err != nil {
		return err
	}
	p.m = NewMarket(p.cfg.Types, p.cfg.Spot, p.cfg.RPS, hires, machines, next, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return nil
}

// store makes what a step changed durable.
func (p *Provider) store(e Effects, gone ...string) error {
	if len(e.Store) == 0 && e.Hire == nil && len(gone) == 0 {
		return nil
	}
	return p.db.Update(func(tx *bolt.Tx) error {
		put := func(bucket []byte, key string, v any) error {
			raw, err := json.Marshal(v)
			if err != nil {
				return err
			}
			return tx.Bucket(bucket).Put([]byte(key), checksum.Append([]byte(key), raw))
		}
		for _, x := range e.Store {
			if err := put(bucketMachines, x.Name, x); err != nil {
				return err
			}
		}
		for _, n := range gone {
			if err := tx.Bucket(bucketMachines).Delete([]byte(n)); err != nil {
				return err
			}
		}
		if e.Hire != nil {
			return errors.Join(put(bucketHires, e.Hire.Name, e.Hire), put(bucketNext, "next", p.m.next))
		}
		return nil
	})
}

// fail ends the provider: what could not be stored must not be answered.
func (p *Provider) fail(err error) {
	if p.failed == nil {
		p.failed = err
		p.log.Error("stopping", "error", err)
		go p.server.Stop()
	}
}

// do stores and carries out effects; it returns false when nothing may be
// answered. The lock is held.
func (p *Provider) do(e Effects) bool {
	if err := p.store(e); err != nil {
		p.fail(err)
		return false
	}
	for _, n := range e.Notice {
		at := p.m.machines[n].RecallMS
		p.log.Info("machine preempted", "machine", n, "at", time.UnixMilli(at))
		if err := renameio.WriteFile(filepath.Join(p.dir(n), agent.RecallFile), []byte(strconv.FormatInt(at, 10)), 0o600); err != nil && !errors.Is(err, os.ErrNotExist) {
			p.log.Error("a notice can't be given", "machine", n, "error", err)
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

// Run serves until Stop is called or the disk or the network fails. Machines
// stay when it ends: they are the cloud's, not this process's.
func (p *Provider) Run(ready func(net.Addr)) error {
	p.mu.Lock()
	for _, n := range p.m.names() {
		x := p.m.machines[n]
		raw, err := os.ReadFile(filepath.Join(p.dir(n), agentFile))
		var id proc.ID
		if err == nil && json.Unmarshal(raw, &id) == nil && id.Alive() {
			p.agents[n] = id
			p.m.Up(n, p.address(n))
			p.log.Info("agent found again", "machine", n, "pid", id.PID)
		}
		if x.Leaving { // its end was under way
			go p.end(n)
		}
	}
	p.timer = time.AfterFunc(0, p.tick)
	p.mu.Unlock()
	p.server.Ready = func(a []net.Addr) {
		p.log.Info("serving", "listen", a[0].String(), "machines", len(p.m.machines))
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
				agent.EndTasks(p.dir(n))
			}()
		}
		wait.Wait()
	}
	p.server.Stop()
}

// endAgent ends an agent and returns when it is gone.
func endAgent(id proc.ID) {
	for id.Alive() {
		_ = id.Signal(syscall.SIGKILL)
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *Provider) address(name string) string {
	raw, err := os.ReadFile(filepath.Join(p.dir(name), agent.AddressFile))
	if err != nil {
		return ""
	}
	return string(raw)
}

// lookPeriod is the time between two looks at the agents.
const lookPeriod = 250 * time.Millisecond

func (p *Provider) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	now := time.Now()
	p.server.Sweep(now)
	for n, id := range p.agents {
		switch x := p.m.machines[n]; {
		case x == nil || x.Leaving:
		case !id.Alive():
			delete(p.agents, n)
			p.log.Info("agent is gone", "machine", n, "pid", id.PID)
			p.stats.Restarted++
			p.do(p.m.Died(now, n))
		case x.address == "":
			p.m.Up(n, p.address(n))
		}
	}
	p.do(p.m.Tick(now))
	if now.Sub(p.certified) > time.Hour {
		p.certified = now
		go p.recertify()
	}
	p.timer.Reset(lookPeriod)
}

// agent is what a machine's agent is told.
func (c *Config) agent(x *Machine, t *Type) agent.Config {
	a := c.Agent
	a.Stoker, a.Rig, a.Depot, a.Casual = x.Name, x.Rig, x.Depot, x.Casual
	a.Dir = filepath.Join(c.Dir, machinesDir, x.Name)
	a.Room = agent.Room{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAM}
	a.LocalGB = t.LocalGB
	if a.Archive != nil {
		own := *a.Archive
		own.Certs = filepath.Join(a.Dir, certsDir)
		a.Archive = &own
	}
	return a
}

// certify gives a machine a certificate of its own, or a new one in good time.
func (p *Provider) certify(name, dir string) error {
	if p.cfg.Authority == "" {
		return nil
	}
	a, err := identity.Open(p.cfg.Authority)
	if err != nil {
		return err
	}
	return a.Ensure(identity.Identity{Kind: identity.Agent, Name: name}, filepath.Join(dir, certsDir))
}

// recertify renews the certificates of all machines that are there.
func (p *Provider) recertify() {
	p.mu.Lock()
	var names []string
	for n := range p.agents {
		names = append(names, n)
	}
	p.mu.Unlock()
	for _, n := range names {
		if dir := p.dir(n); exists(dir) {
			if err := p.certify(n, dir); err != nil {
				p.log.Error("a machine's certificate can't be renewed", "machine", n, "error", err)
			}
		}
	}
}

// start starts a machine's agent. Before it runs, who it is is on disk.
func (p *Provider) start(name string) {
	p.mu.Lock()
	x := p.m.machines[name]
	if x == nil || x.Leaving || p.closed {
		p.mu.Unlock()
		return
	}
	t := p.m.types[x.Rig]
	p.mu.Unlock()
	var id proc.ID
	err := fmt.Errorf("type %s is not offered any more", x.Rig)
	if t != nil {
		id, err = p.spawn(x, t)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.log.Error("an agent can't be started", "machine", name, "error", err)
		p.do(p.m.Died(time.Now(), name))
		return
	}
	p.agents[name] = id
	if p.closed && p.cfg.SwitchOff { // it came up while the others were switched off
		endAgent(id)
		return
	}
	p.log.Info("agent started", "machine", name, "pid", id.PID)
}

func (p *Provider) spawn(x *Machine, t *Type) (proc.ID, error) {
	dir := p.dir(x.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return proc.ID{}, err
	}
	if err := p.certify(x.Name, dir); err != nil {
		return proc.ID{}, err
	}
	raw, err := yaml.Marshal(p.cfg.agent(x, t))
	if err != nil {
		return proc.ID{}, err
	}
	path := filepath.Join(dir, configFile)
	if err := renameio.WriteFile(path, raw, 0o600); err != nil {
		return proc.ID{}, err
	}
	log, err := os.OpenFile(filepath.Join(dir, logFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return proc.ID{}, err
	}
	defer log.Close()
	cmd := exec.Command(p.self, "agent", "--settings", path)
	cmd.Dir, cmd.Stderr = dir, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	id, err := proc.Start(cmd, func(id proc.ID) error {
		raw, err := json.Marshal(id)
		if err != nil {
			return err
		}
		return renameio.WriteFile(filepath.Join(dir, agentFile), raw, 0o600)
	})
	if err == nil {
		go cmd.Wait()
	}
	return id, err
}

// end ends a machine with everything on it. Its agent's lease may be running:
// the tasks are gone when the record is, and not later.
func (p *Provider) end(name string) {
	dir := p.dir(name)
	raw, err := os.ReadFile(filepath.Join(dir, agentFile))
	var id proc.ID
	if err == nil && json.Unmarshal(raw, &id) == nil {
		endAgent(id)
	}
	// The watchdog does the same; whoever is first.
	for left := agent.EndTasks(dir); left > 0; left = agent.EndTasks(dir) {
		p.log.Error("processes of a machine can't be ended", "machine", name, "left", left)
	}
	if exists(dir) {
		p.bury(name, dir)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	delete(p.agents, name)
	p.m.Gone(time.Now(), name)
	if err := p.store(Effects{}, name); err != nil {
		p.fail(err)
		return
	}
	p.stats.Ended++
	p.log.Info("machine ended", "machine", name)
	for _, done := range p.waiting[name] {
		done()
	}
	delete(p.waiting, name)
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

// bury keeps the folders of the machines that ended last, for whoever asks why
// a task failed.
func (p *Provider) bury(name, dir string) {
	for _, large := range []string{"images", "data/copies", "data/partial"} {
		_ = os.RemoveAll(filepath.Join(dir, large))
	}
	root := filepath.Join(p.cfg.Dir, endedDir)
	if err := os.Rename(dir, filepath.Join(root, name)); err != nil {
		_ = os.RemoveAll(dir)
	}
	old, err := os.ReadDir(root)
	for i := 0; err == nil && i < len(old)-keptEnded; i++ {
		_ = os.RemoveAll(filepath.Join(root, old[i].Name()))
	}
}

// Serve takes a request; the server holds the lock.
func (p *Provider) Serve(id uint64, r *transport.Request) {
	if p.Extra != nil && p.Extra(id, r.Method, r.Path) {
		return
	}
	now := time.Now()
	p.stats.Requests++
	refuse := func(status int, format string, args ...any) {
		retry := 0
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			retry = 1
			p.stats.Refused++
		}
		p.server.Answer(id, status, protocol.Encode(protocol.ErrorResponse{Error: fmt.Sprintf(format, args...)}), retry)
	}
	if !p.m.Admit(now) {
		refuse(http.StatusTooManyRequests, "more than %g requests a second", p.cfg.RPS)
		return
	}
	switch {
	case r.Path == protocol.PathMachineTypes && r.Method == http.MethodGet:
		p.server.Answer(id, http.StatusOK, protocol.Encode(p.m.Flavors()), 0)
	case r.Path == protocol.PathRentals && r.Method == http.MethodPost:
		q, err := readRental(r.Body)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		names, e, err := p.m.Rent(now, q)
		switch {
		case errors.Is(err, ErrNoCapacity):
			refuse(http.StatusServiceUnavailable, "%v", err)
		case err != nil:
			refuse(http.StatusBadRequest, "%v", err)
		case p.do(e):
			p.stats.Rented += uint64(len(e.Store))
			p.server.Answer(id, http.StatusOK, protocol.Encode(protocol.MachineNames{Machines: names}), 0)
		}
	case r.Path == protocol.PathRentalsDelete && r.Method == http.MethodPost:
		names, err := readNames(r.Body)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		p.delete(id, names.Stokers)
	case r.Path == PathRecalls && r.Method == http.MethodPost:
		names, err := readNames(r.Body)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		if p.do(p.m.Recall(now, names.Stokers, time.Duration(names.NoticeS*float64(time.Second)))) {
			p.server.Answer(id, http.StatusOK, []byte("{}"), 0)
		}
	case r.Path == protocol.PathRentals && r.Method == http.MethodGet:
		from, page, err := readPage(r.Query)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		p.server.Answer(id, http.StatusOK, protocol.Encode(p.m.List(now, from, page)), 0)
	case slices.Contains([]string{protocol.PathMachineTypes, protocol.PathRentals, protocol.PathRentalsDelete, PathRecalls}, r.Path):
		refuse(http.StatusMethodNotAllowed, "method not allowed")
	default:
		refuse(http.StatusNotFound, "no such path")
	}
}

// delete answers when nothing of the machines is left.
func (p *Provider) delete(id uint64, names []string) {
	wait, e := p.m.Delete(names)
	left := len(wait)
	done := func() {
		if left--; left <= 0 {
			p.server.Answer(id, http.StatusOK, []byte("{}"), 0)
		}
	}
	for _, n := range wait {
		p.waiting[n] = append(p.waiting[n], done)
	}
	if p.do(e) && left == 0 {
		done()
	}
}

func readRental(body []byte) (r protocol.RentalRequest, err error) {
	var v struct {
		Hire   *string  `json:"hire"`
		Rig    *string  `json:"rig"`
		Depot  *string  `json:"depot"`
		Casual *bool    `json:"casual"`
		Number *float64 `json:"number"`
	}
	if err := protocol.DecodeObject(body, &v); err != nil {
		return r, err
	}
	switch {
	case v.Hire == nil || *v.Hire == "" || len(*v.Hire) > 200:
		return r, errors.New("hire: missing or too long")
	case v.Rig == nil:
		return r, errors.New("rig: missing")
	case v.Depot == nil:
		return r, errors.New("depot: missing")
	case v.Casual == nil:
		return r, errors.New("casual: missing")
	case v.Number == nil || *v.Number != float64(int(*v.Number)) || *v.Number < 1 || *v.Number > maxRental:
		return r, fmt.Errorf("number: missing or not between 1 and %d", maxRental)
	}
	return protocol.RentalRequest{RequestID: *v.Hire, MachineType: *v.Rig, Zone: *v.Depot, Spot: *v.Casual, Count: int(*v.Number)}, nil
}

type namesBody struct {
	Stokers []string `json:"stokers"`
	NoticeS float64  `json:"noticeS"`
}

func readNames(body []byte) (v namesBody, err error) {
	if err := protocol.DecodeObject(body, &v); err != nil {
		return v, err
	}
	switch {
	case v.Stokers == nil:
		return v, errors.New("stokers: missing")
	case len(v.Stokers) > maxDelete:
		return v, fmt.Errorf("stokers: more than %d names", maxDelete)
	case !(v.NoticeS >= 0 && v.NoticeS < 1e6):
		return v, errors.New("noticeS: not a duration")
	}
	return v, nil
}

func readPage(query string) (from string, page int, err error) {
	q, err := url.ParseQuery(query)
	if err != nil {
		return "", 0, errors.New("the query is malformed")
	}
	page = maxPage
	if s := q.Get("page"); s != "" {
		if page, err = strconv.Atoi(s); err != nil || page < 1 {
			return "", 0, errors.New("page: must be at least 1")
		}
	}
	return q.Get("from"), min(page, maxPage), nil
}

// AnswerAs answers a request of Extra; the lock must be held.
func (p *Provider) AnswerAs(id uint64, contentType string, body []byte) {
	p.server.AnswerAs(id, contentType, body)
}

// Stats returns the counters; the lock must be held, as it is in Extra.
func (p *Provider) Stats() Stats {
	now := time.Now()
	s := p.stats
	s.Machines = map[string]int{}
	for _, l := range p.m.List(now, "", 1<<30).Machines {
		s.Machines[string(l.Status)]++
	}
	s.Paid = p.m.Paid(now)
	return s
}
