package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/renameio/v2"
	"go.yaml.in/yaml/v3"
	"gopkg.in/natefinch/lumberjack.v2"

	"silvergate/deploy"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/statestore"
	"silvergate/internal/transport"
)

// Site is a site on this machine. Open locks and prepares it, Start runs it and Stop ends it.
type Site struct {
	Dir           string
	Ports         *Ports
	cfg           *Config
	executable    string
	log           *slog.Logger
	lock          *os.File
	parts         []*part
	startRequests chan func() // to the one thread that starts processes
	fatal         chan error
	stop          context.CancelFunc
	wait          sync.WaitGroup
}

// part is one process of the site, such as a controller.
type part struct {
	name string
	args []string
	log  io.WriteCloser
}

// stopTimeout is how long a part may take to end after a signal.
const stopTimeout = 10 * time.Second

// Open locks and prepares the site in a folder, which it creates if there is none. Settings that
// are not nil replace those of the site; a new site without settings gets those of
// deploy/up.yaml. Processes that an earlier run left are ended.
func Open(dir string, settings []byte, executable string, log *slog.Logger) (*Site, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	for _, d := range []string{dir, filepath.Join(dir, LogsDir), filepath.Join(dir, runDir), filepath.Join(dir, outsideDir)} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, err
		}
	}
	s := &Site{Dir: dir, executable: executable, log: log, startRequests: make(chan func()), fatal: make(chan error, 1)}
	if s.lock, err = os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(s.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		s.lock.Close()
		return nil, fmt.Errorf("%s: another silvergate up runs this site", dir)
	}
	path := filepath.Join(dir, siteFile)
	raw, err := os.ReadFile(path)
	switch {
	case settings != nil:
		raw = settings
	case errors.Is(err, os.ErrNotExist):
		raw = deploy.Up
	case err != nil:
		return nil, err
	}
	if s.cfg, err = Parse(raw); err != nil {
		s.lock.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := renameio.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	nodes := 0
	if s.cfg.Archive != nil {
		nodes = s.cfg.Archive.Nodes
	}
	if s.Ports, err = choosePorts(dir, s.cfg.Controllers, nodes); err != nil {
		return nil, err
	}
	if err := s.certify(); err != nil {
		return nil, err
	}
	if err := s.endLeftovers(); err != nil {
		return nil, err
	}
	return s, s.writeConfigs()
}

// endLeftovers ends the parts of an earlier run that still exist. It finds them by their records
// in the run folder. Machines have no records there: the provider finds them itself.
func (s *Site) endLeftovers() error {
	old, err := os.ReadDir(filepath.Join(s.Dir, runDir))
	if err != nil {
		return err
	}
	for _, e := range old {
		path := filepath.Join(s.Dir, runDir, e.Name())
		id, err := proc.ReadRecord(path)
		if err != nil && filepath.Ext(path) == ".json" {
			s.log.Error("the record of a process of an earlier run can't be read", "error", err)
		}
		if err == nil && id.Alive() {
			s.log.Info("ending a process of an earlier run", "part", strings.TrimSuffix(e.Name(), ".json"), "pid", id.PID)
			if err := id.Signal(syscall.SIGKILL); err != nil {
				return err
			}
			if !id.Await(time.Now().Add(stopTimeout)) {
				return fmt.Errorf("process %d of an earlier run can't be ended", id.PID)
			}
		}
		_ = os.Remove(path)
	}
	return nil
}

// writeConfigs writes each part's configuration and adds the part.
func (s *Site) writeConfigs() error {
	l := layout{s.Dir, s.Ports}
	yamlFile := func(name string, v any) (string, error) {
		raw, err := yaml.Marshal(v)
		if err != nil {
			return "", err
		}
		path := filepath.Join(s.Dir, runDir, name)
		return path, renameio.WriteFile(path, raw, 0o600)
	}
	add := func(name string, args ...string) {
		s.parts = append(s.parts, &part{name: name, args: args, log: &lumberjack.Logger{
			Filename: filepath.Join(s.Dir, LogsDir, name+".log"), MaxSize: 10, MaxBackups: 3}})
	}
	state, err := yamlFile("state.yaml", l.state(s.cfg))
	if err != nil {
		return err
	}
	add("state", "state", "serve", "--settings", state)
	cloud, err := yamlFile("cloud.yaml", l.provider(s.cfg))
	if err != nil {
		return err
	}
	add("cloud", "provider", "--settings", cloud)
	if s.cfg.Staging != nil {
		add("files", "data", "serve", "--root", DataRoot(s.Dir), "--listen", s.Ports.FileServer())
	}
	if x := s.cfg.Archive; x != nil {
		for i := range x.Nodes {
			path, err := yamlFile(archiveName(i)+".yaml", l.archiveNode(s.cfg, i))
			if err != nil {
				return err
			}
			add(archiveName(i), "archive", "serve", "--settings", path)
		}
	}
	operator, err := yamlFile("operator.yaml", l.operator(s.cfg))
	if err != nil {
		return err
	}
	for i := range s.cfg.Controllers {
		raw, err := json.MarshalIndent(l.controller(s.cfg, i), "", "  ")
		if err != nil {
			return err
		}
		path := filepath.Join(s.Dir, runDir, nodeName(i)+".settings")
		if err := renameio.WriteFile(path, raw, 0o600); err != nil {
			return err
		}
		add(nodeName(i), "--operator", operator, "--config", path)
	}
	return nil
}

// Start starts all parts and watches them until Stop.
func (s *Site) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() {
		// The kernel kills a part when the thread that started it ends (Pdeathsig), so
		// that no part outlives a killed silvergate up. So one thread starts all parts
		// and lives as long as the site runs.
		runtime.LockOSThread()
		for do := range s.startRequests {
			do()
		}
	}()
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		s.sweepOutsideRegularly(ctx)
	}()
	go func() {
		defer s.wait.Done()
		s.renewCerts(ctx)
	}()
	for _, p := range s.parts {
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.watch(ctx, p)
		}()
	}
}

// Fatal returns the channel for an error after which the site can't continue.
func (s *Site) Fatal() <-chan error { return s.fatal }

// watch runs a part, and starts it again whenever it ends, with exponential backoff. The
// backoff is reset if the part has run for a while.
func (s *Site) watch(ctx context.Context, p *part) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 200*time.Millisecond, 8*time.Second
	for ctx.Err() == nil {
		at := time.Now()
		err := s.run(ctx, p)
		if ctx.Err() != nil {
			return
		}
		var x *exec.ExitError
		if errors.As(err, &x) && x.ExitCode() == ExitDamaged {
			// A damaged store is not started again and again: an operator has to
			// decide what to do with it.
			select {
			case s.fatal <- fmt.Errorf("%s: its storage is %w; see %s", p.name, statestore.ErrDamaged, s.LogFile(p.name)):
			default:
			}
			return
		}
		if time.Since(at) > 4*b.MaxInterval {
			b.Reset()
		}
		pause := b.NextBackOff()
		s.log.Error("a part ended and will be started again", "part", p.name, "error", err, "after", pause.Round(time.Millisecond), "log", s.LogFile(p.name))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// ExitDamaged is the exit status of a part whose storage is damaged.
const ExitDamaged = 3

// LogFile returns the path of a part's log.
func (s *Site) LogFile(part string) string { return filepath.Join(s.Dir, LogsDir, part+".log") }

// run starts a part and waits until it ends. When ctx ends, run stops the part.
func (s *Site) run(ctx context.Context, p *part) error {
	cmd := exec.Command(s.executable, p.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.Dir, p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	var id proc.ID
	select {
	case s.startRequests <- func() {
		var err error
		id, err = proc.Start(cmd, proc.Record(filepath.Join(s.Dir, runDir, p.name+".json")))
		started <- err
	}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := <-started; err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	_ = id.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		return err
	case <-time.After(stopTimeout):
		s.log.Error("a part did not end after SIGTERM and is killed", "part", p.name)
		_ = id.Signal(syscall.SIGKILL)
		return <-ended
	}
}

// PID returns the PID of a part, for tests that kill it; 0 if the part does not run.
func (s *Site) PID(part string) int {
	id, err := proc.ReadRecord(filepath.Join(s.Dir, runDir, part+".json"))
	if err != nil || !id.Alive() {
		return 0
	}
	return id.PID
}

// Stop ends all parts and switches the machines off. The site can be opened again.
func (s *Site) Stop() {
	s.stop()
	s.wait.Wait()
	close(s.startRequests)
	for _, p := range s.parts {
		p.log.Close()
		_ = os.Remove(filepath.Join(s.Dir, runDir, p.name+".json"))
	}
	s.lock.Close()
}

// Ready waits until a controller serves. It returns an error when ctx ends or the site fails.
func (s *Site) Ready(ctx context.Context) error {
	pool := transport.NewPool(4)
	for {
		for _, a := range s.Ports.Addresses() {
			if get(pool, a, protocol.PathHealth) != nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the site did not come up in time: %w; see %s", ctx.Err(), filepath.Join(s.Dir, LogsDir))
		case err := <-s.fatal:
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// get requests a path from a controller, with a timeout of one second. It returns nil if there
// is no answer or its status is not 200.
func get(pool *transport.Pool, address, path string) *transport.Response {
	stop := time.AfterFunc(time.Second, func() { pool.Expire(time.Now().Add(time.Minute)) })
	defer stop.Stop()
	r, _, err := pool.Do(address, "GET", path, nil, time.Second)
	if err != nil || r.Status != 200 {
		return nil
	}
	return r
}

// StateFile returns the path of the state service's file.
func (s *Site) StateFile() string { return filepath.Join(s.Dir, "state", statestore.FileName) }

// Outputs lists the files with the standard output of a job's tasks, one for each attempt, on
// running machines and on machines that ended recently.
func (s *Site) Outputs(jobID string) ([]string, error) {
	var out []string
	for _, where := range []string{"machines", "ended"} {
		found, err := filepath.Glob(filepath.Join(s.Dir, "cloud", where, "*", "tasks", jobID+".*", "stdout"))
		if err != nil {
			return nil, err
		}
		out = append(out, found...)
	}
	return out, nil
}
