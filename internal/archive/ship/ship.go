package ship

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/time/rate"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/identity"
	"silvergate/internal/protocol"
)

// Config is what a machine is told of the archive, in YAML.
type Config struct {
	Members  []node.Member `yaml:"members"`
	Replicas int           `yaml:"replicas"`
	// Certs is the folder with the agent's certificate.
	Certs string `yaml:"certs"`
	// BoundS is how old output may be before it is shipped, in seconds: a machine
	// that is lost with its disk costs what came after.
	BoundS float64 `yaml:"bound_s"`
	// RateMBPerS bounds what is shipped, and UrgentMBPerS does while inputs of an
	// urgent task are being fetched; 0: unbounded.
	RateMBPerS   float64 `yaml:"rate_mb_per_s"`
	UrgentMBPerS float64 `yaml:"urgent_mb_per_s"`
	// SpoolMB is how much may wait to be shipped; what is beyond is given up, and
	// told as a gap.
	SpoolMB float64 `yaml:"spool_mb"`
	// FileMB is how large a file may be that is kept.
	FileMB float64 `yaml:"file_mb"`
	// FilesMax is how many files of an attempt are kept.
	FilesMax int `yaml:"files_max"`
}

// DefaultConfig returns what holds for fields that a file does not name.
func DefaultConfig() Config {
	return Config{Replicas: 3, BoundS: 1, RateMBPerS: 50, UrgentMBPerS: 1, SpoolMB: 1000, FileMB: 1000, FilesMax: 1000}
}

// Check names the first field that can't be.
func (c *Config) Check() error {
	if err := node.CheckMembers(c.Members); err != nil {
		return err
	}
	switch {
	case c.Replicas < 1:
		return errors.New("replicas: must be at least 1")
	case c.Certs == "":
		return errors.New("certs: missing")
	case !(c.BoundS >= 0.05):
		return errors.New("bound_s: must be at least 0.05")
	case !(c.RateMBPerS >= 0) || !(c.UrgentMBPerS >= 0):
		return errors.New("rate_mb_per_s, urgent_mb_per_s: must not be negative")
	case !(c.SpoolMB > 0):
		return errors.New("spool_mb: must be above 0")
	case !(c.FileMB > 0) || c.FileMB*1e6 > archive.MaxFile:
		return fmt.Errorf("file_mb: must be above 0 and at most %d", int64(archive.MaxFile)/1e6)
	case c.FilesMax < 0:
		return errors.New("files_max: must not be negative")
	}
	return nil
}

// follow is an attempt whose output is followed.
type follow struct {
	a       archive.Attempt
	dir     string
	grant   archive.Grant
	proof   archive.Record // the grant, as nodes keep it: it goes with every batch
	acc     account
	urgent  bool
	streams map[string]*follower
	dirty   bool
	final   bool // its files were looked at after its end
	busy    bool // its files are being shipped
	tried   time.Time
	saved   time.Time
}

// Stats counts what was shipped.
type Stats struct {
	Attempts int
	Left     int64 // bytes that wait
	Shipped  int64 // bytes of output that a quorum has
	Packed   int64 // bytes that went out for them, to each node
	Files    int64
	GivenUp  int64 // bytes
	Refused  int64 // records
	OldestMS int64 // age of the oldest output that waits
}

// Shipper follows the attempts of a machine.
type Shipper struct {
	cfg    Config
	log    *slog.Logger
	keep   *identity.Keeper
	w      *Writer
	limit  *rate.Limiter
	ctx    context.Context
	stop   context.CancelFunc
	wait   sync.WaitGroup
	wakeup chan struct{}
	// Urgent tells whether inputs of an urgent task are being fetched.
	Urgent func() bool

	mu    sync.Mutex
	all   map[archive.Attempt]*follow
	stats Stats
}

// New makes a shipper; Start starts it.
func New(cfg Config, log *slog.Logger) (*Shipper, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	k, err := identity.NewKeeper(cfg.Certs, log)
	if err != nil {
		return nil, err
	}
	s := &Shipper{cfg: cfg, log: log, keep: k, w: NewWriter(k, cfg.Members, cfg.Replicas, log), limit: rate.NewLimiter(rate.Inf, batchBytes),
		wakeup: make(chan struct{}, 1), all: map[archive.Attempt]*follow{}, Urgent: func() bool { return false }}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// Start begins to ship.
func (s *Shipper) Start() {
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		s.loop()
	}()
	go func() {
		defer s.wait.Done()
		s.revocations()
	}()
}

// Stop ends shipping; what waits stays on disk.
func (s *Shipper) Stop() {
	if s == nil {
		return
	}
	s.stop()
	s.wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.all {
		s.save(f)
	}
}

func nowMS() int64 { return time.Now().UnixMilli() }

// Begin follows an attempt whose folder is there. The grant is on disk when it
// returns: it is called before the program starts, so that whatever that writes can
// be shipped, also when everything is killed at once.
func (s *Shipper) Begin(g archive.Grant, dir string) error {
	if s == nil {
		return nil
	}
	if err := g.Attempt.Check(); err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(dir, grantFile), archive.Encode(g), 0o600); err != nil {
		return err
	}
	return s.Resume(g.Attempt, dir)
}

// Resume follows an attempt that an earlier life of the agent began with; without a
// grant in its folder there is nothing to follow.
func (s *Shipper) Resume(a archive.Attempt, dir string) error {
	raw, err := os.ReadFile(filepath.Join(dir, grantFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	f := &follow{a: a, dir: dir, streams: map[string]*follower{}}
	if err == nil {
		err = json.Unmarshal(raw, &f.grant)
	}
	if err == nil && f.grant.Attempt != a {
		err = errors.New("it is for another attempt")
	}
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(dir, grantFile), err)
	}
	f.proof = archive.NewRecord(a, archive.KindGrant, "", archive.Encode(f.grant))
	f.urgent = protocol.IsUrgent(f.grant.Urgency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all[a] != nil {
		return nil
	}
	if raw, err = os.ReadFile(filepath.Join(dir, AccountFile)); err == nil {
		if err := json.Unmarshal(raw, &f.acc); err != nil {
			// Damaged: everything is shipped again, and put together by readers.
			s.log.Error("an account is damaged; the attempt is shipped anew", "attempt", a.String(), "err", err)
			f.acc = account{}
		}
	}
	if f.acc.Whole || f.acc.Gone != "" {
		return nil
	}
	if f.acc.Began == 0 {
		f.acc.Began = nowMS()
	}
	if f.acc.Streams == nil {
		f.acc.Streams = map[string]*Cursor{}
	}
	for _, name := range archive.Streams {
		fl := &follower{}
		if c := f.acc.Streams[name]; c != nil {
			fl.Cursor = *c
		}
		f.streams[name] = fl
	}
	f.dirty = true
	s.save(f)
	s.all[a] = f
	s.wake()
	return nil
}

// Ended says that an attempt's processes are gone and what became of it; nothing
// is written any more. The attempt is followed until all is kept.
func (s *Shipper) Ended(a archive.Attempt, cause string, code int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.all[a]
	if f == nil || f.acc.End != nil {
		return
	}
	f.acc.End = &archive.End{Cause: cause, Code: code, Began: f.acc.Began, At: nowMS()}
	f.dirty = true
	s.save(f)
	s.wake()
}

// Holds tells whether an attempt's folder is still needed.
func (s *Shipper) Holds(a archive.Attempt) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[a] != nil
}

// Left is how many attempts that are over have something to ship.
func (s *Shipper) Left() (n int) {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.all {
		if f.acc.End != nil {
			n++
		}
	}
	return n
}

// Stats returns the counters.
func (s *Shipper) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stats
	t.Attempts = len(s.all)
	now := nowMS()
	for _, f := range s.all {
		for _, fl := range f.streams {
			t.Left += fl.left()
			if at := fl.since(); at > 0 {
				t.OldestMS = max(t.OldestMS, now-at)
			}
		}
	}
	return t
}

func (s *Shipper) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// revocations asks the nodes for the newest list.
func (s *Shipper) revocations() {
	for i := 0; ; i++ {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(node.RevocationsEvery):
		}
		r := s.w.nodes[i%len(s.w.nodes)]
		if raw, err := r.get(s.ctx, node.PathRevocations); err == nil {
			if _, err := s.keep.Learn(raw); err != nil {
				s.log.Error("a node's list of revocations can't be used", "node", r.name, "err", err)
			}
		}
	}
}
