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

// Config holds a machine's settings of the archive, as the YAML file has them.
type Config struct {
	Members  []node.Member `yaml:"members"`  // all nodes
	Replicas int           `yaml:"replicas"` // nodes that keep each record
	// Certs is the folder with the agent's certificate.
	Certs string `yaml:"certs"`
	// BoundS is how old output may be before it is shipped, in seconds: a machine
	// that is lost with its disk costs what came after.
	BoundS float64 `yaml:"bound_s"`
	// RateMBPerS bounds what is shipped, in megabytes a second, and UrgentMBPerS
	// does while inputs of an urgent task are being fetched; 0: unbounded.
	RateMBPerS   float64 `yaml:"rate_mb_per_s"`
	UrgentMBPerS float64 `yaml:"urgent_mb_per_s"`
	// SpoolMB is how much may wait to be shipped, in megabytes; what is beyond is
	// given up, and recorded as a gap.
	SpoolMB float64 `yaml:"spool_mb"`
	// FileMB is how large a file may be that is kept, in megabytes.
	FileMB float64 `yaml:"file_mb"`
	// FilesMax is how many files of an attempt are kept.
	FilesMax int `yaml:"files_max"`
}

// DefaultConfig returns the values of the settings that a file does not name.
func DefaultConfig() Config {
	return Config{Replicas: 3, BoundS: 1, RateMBPerS: 50, UrgentMBPerS: 1, SpoolMB: 1000, FileMB: 1000, FilesMax: 1000}
}

// Check returns an error that names the first invalid field, or nil.
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

// followedAttempt is an attempt whose output is followed. Shipper.mu guards it, but
// for its first four fields, which do not change.
type followedAttempt struct {
	attempt     archive.Attempt
	dir         string
	grant       archive.Grant
	grantRecord archive.Record // the grant, as nodes keep it: it goes with every batch
	progress    progress
	urgent      bool
	streams     map[string]*streamFollower
	unsaved     bool
	outputFinal bool // its files were looked at after its end
	finishing   bool // its files are being shipped
	lastFinish  time.Time
	lastSaved   time.Time
}

// Stats counts what a shipper follows and what it shipped since New.
type Stats struct {
	Attempts int
	Left     int64 // bytes that wait to be shipped
	Shipped  int64 // bytes of output that a quorum has
	Packed   int64 // bytes that went out for them, to each node
	Files    int64
	GivenUp  int64 // bytes
	Refused  int64 // records
	OldestMS int64 // age of the oldest output that waits, in milliseconds
}

// Shipper follows the attempts of a machine. It is safe for concurrent use. Where a
// method says nothing else, a nil Shipper does nothing. Whoever starts it stops it.
type Shipper struct {
	cfg          Config
	log          *slog.Logger
	certificates *identity.Keeper
	writer       *Writer
	limit        *rate.Limiter
	ctx          context.Context
	stop         context.CancelFunc
	wait         sync.WaitGroup
	wakeup       chan struct{}
	// Urgent tells whether inputs of an urgent task are being fetched. It may be
	// replaced before Start.
	Urgent func() bool

	mu       sync.Mutex
	attempts map[archive.Attempt]*followedAttempt
	stats    Stats
}

// New makes a shipper. It returns an error if the settings are invalid or the
// certificate can't be read. Start starts it.
func New(cfg Config, log *slog.Logger) (*Shipper, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	k, err := identity.NewKeeper(cfg.Certs, log)
	if err != nil {
		return nil, err
	}
	s := &Shipper{
		cfg:          cfg,
		log:          log,
		certificates: k,
		writer:       NewWriter(k, cfg.Members, cfg.Replicas, log),
		limit:        rate.NewLimiter(rate.Inf, batchBytes),
		wakeup:       make(chan struct{}, 1),
		attempts:     map[archive.Attempt]*followedAttempt{},
		Urgent:       func() bool { return false },
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// Start begins to ship in the background. The shipper must not be nil; Start is
// called once.
func (s *Shipper) Start() {
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		s.loop()
	}()
	go func() {
		defer s.wait.Done()
		s.pollRevocations()
	}()
}

// Stop waits for what is under way and saves the progress of all attempts; what was
// not shipped stays on disk.
func (s *Shipper) Stop() {
	if s == nil {
		return
	}
	s.stop()
	s.wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.attempts {
		s.save(f)
	}
}

// nowMS is the time now, Unix time in milliseconds.
func nowMS() int64 { return time.Now().UnixMilli() }

// Begin follows an attempt whose folder exists. The grant is on disk when it
// returns: it is called before the program starts, so that whatever that writes can
// be shipped, also when everything is killed at once. Its errors are those of an
// invalid attempt and of writing the grant.
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

// Resume follows an attempt that the agent began with before it was restarted.
// Without a grant in its folder, or if all is shipped, there is nothing to follow and
// no error; a grant that can't be read is an error.
func (s *Shipper) Resume(a archive.Attempt, dir string) error {
	raw, err := os.ReadFile(filepath.Join(dir, grantFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	f := &followedAttempt{attempt: a, dir: dir, streams: map[string]*streamFollower{}}
	if err == nil {
		err = json.Unmarshal(raw, &f.grant)
	}
	if err == nil && f.grant.Attempt != a {
		err = errors.New("it is for another attempt")
	}
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(dir, grantFile), err)
	}
	f.grantRecord = archive.NewRecord(a, archive.KindGrant, "", archive.Encode(f.grant))
	f.urgent = protocol.IsUrgent(f.grant.Urgency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a] != nil {
		return nil
	}
	if raw, err = os.ReadFile(filepath.Join(dir, AccountFile)); err == nil {
		if err := json.Unmarshal(raw, &f.progress); err != nil {
			// Damaged: everything is shipped again, and put together by readers.
			s.log.Error("an account is damaged; the attempt is shipped anew", "attempt", a.String(), "error", err)
			f.progress = progress{}
		}
	}
	if f.progress.Complete || f.progress.GivenUp != "" {
		return nil
	}
	if f.progress.Began == 0 {
		f.progress.Began = nowMS()
	}
	if f.progress.Streams == nil {
		f.progress.Streams = map[string]*Cursor{}
	}
	for _, name := range archive.Streams {
		follower := &streamFollower{}
		if c := f.progress.Streams[name]; c != nil {
			follower.Cursor = *c
		}
		f.streams[name] = follower
	}
	f.unsaved = true
	s.save(f)
	s.attempts[a] = f
	s.wake()
	return nil
}

// Ended says that an attempt's processes have ended and what became of it; nothing
// is written any more. The attempt is followed until all is stored.
func (s *Shipper) Ended(a archive.Attempt, cause string, code int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.attempts[a]
	if f == nil || f.progress.End != nil {
		return
	}
	f.progress.End = &archive.End{Cause: cause, Code: code, Began: f.progress.Began, At: nowMS()}
	f.unsaved = true
	s.save(f)
	s.wake()
}

// Holds tells whether an attempt is still followed, so that its folder is needed.
func (s *Shipper) Holds(a archive.Attempt) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[a] != nil
}

// Left returns how many ended attempts have something to ship.
func (s *Shipper) Left() (n int) {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.attempts {
		if f.progress.End != nil {
			n++
		}
	}
	return n
}

// Stats returns a copy of the counters. The shipper must not be nil.
func (s *Shipper) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stats
	t.Attempts = len(s.attempts)
	now := nowMS()
	for _, f := range s.attempts {
		for _, follower := range f.streams {
			t.Left += follower.unshipped()
			if at := follower.oldestUnshipped(); at > 0 {
				t.OldestMS = max(t.OldestMS, now-at)
			}
		}
	}
	return t
}

// wake lets the loop ship without waiting for its next turn.
func (s *Shipper) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// pollRevocations asks one node after the other for the newest list of pollRevocations.
func (s *Shipper) pollRevocations() {
	for i := 0; ; i++ {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(node.RevocationsEvery):
		}
		r := s.writer.nodes[i%len(s.writer.nodes)]
		if raw, err := r.get(s.ctx, node.PathRevocations); err == nil {
			if _, err := s.certificates.Learn(raw); err != nil {
				s.log.Error("a node's list of revocations can't be used", "node", r.name, "error", err)
			}
		}
	}
}
