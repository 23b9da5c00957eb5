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

// Config holds a machine's archive settings, as in the YAML file.
type Config struct {
	Members  []node.Member `yaml:"members"`  // all archive nodes
	Replicas int           `yaml:"replicas"` // how many nodes store each record
	// Certs is the folder with the agent's certificate.
	Certs string `yaml:"certs"`
	// BoundS bounds the age of output that is not shipped, in seconds. If a machine is
	// lost with its disk, output that is younger than BoundS may be lost.
	BoundS float64 `yaml:"bound_s"`
	// RateMBPerS bounds how much is shipped, in megabytes per second. UrgentMBPerS
	// bounds it while inputs of an urgent task are being fetched. 0 means no bound.
	RateMBPerS   float64 `yaml:"rate_mb_per_s"`
	UrgentMBPerS float64 `yaml:"urgent_mb_per_s"`
	// SpoolMB is how much output may wait to be shipped, in megabytes. Output beyond it
	// is given up and recorded as a gap.
	SpoolMB float64 `yaml:"spool_mb"`
	// FileMB is the size in megabytes of the largest file that is stored.
	FileMB float64 `yaml:"file_mb"`
	// FilesMax is how many files of an attempt are stored.
	FilesMax int `yaml:"files_max"`
}

// DefaultConfig returns the values of the settings that the YAML file does not set.
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

// followedAttempt is an attempt whose output is followed. Shipper.mu guards its fields
// except storedChunks and the first four, which do not change.
type followedAttempt struct {
	attempt     archive.Attempt
	dir         string
	grant       archive.Grant
	grantRecord archive.Record // the grant as nodes store it; it is sent with every batch
	progress    progress
	urgent      bool
	streams     map[string]*streamFollower
	unsaved     bool      // progress has changed since it was saved
	outputFinal bool      // the output files were observed after the attempt's end
	finishing   bool      // finish is running
	lastFinish  time.Time // when finish was last started
	lastSaved   time.Time
	// storedChunks holds the digests of the files' chunks that a quorum has stored, so that a
	// file whose shipping is interrupted goes on where it was. Only finish uses it.
	storedChunks map[string]bool
}

// Stats counts what a shipper follows, and what it has shipped since New.
type Stats struct {
	Attempts int
	Left     int64 // bytes that wait to be shipped
	Shipped  int64 // bytes of output that a quorum stored
	Packed   int64 // bytes of the records sent for this output; each send counts once, not once per node
	Files    int64
	GivenUp  int64 // bytes of output
	Refused  int64 // records
	OldestMS int64 // age of the oldest output that waits, in milliseconds
	// Observations is how many times the sizes of all files were observed.
	Observations int64
}

// Shipper follows the attempts of a machine. It is safe for concurrent use. Unless a
// method says otherwise, calling it on a nil Shipper does nothing. The caller of Start
// calls Stop.
type Shipper struct {
	cfg         Config
	log         *slog.Logger
	credentials *identity.Credentials
	writer      *Writer
	limit       *rate.Limiter
	ctx         context.Context
	stop        context.CancelFunc
	wait        sync.WaitGroup
	wakeup      chan struct{}
	// Urgent reports whether inputs of an urgent task are being fetched. It may be
	// replaced before Start.
	Urgent func() bool

	mu       sync.Mutex
	attempts map[archive.Attempt]*followedAttempt
	stats    Stats
}

// New returns a shipper, which Start starts. It returns an error if the settings are
// invalid or the certificate can't be read.
func New(cfg Config, log *slog.Logger) (*Shipper, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	credentials, err := identity.OpenCredentials(cfg.Certs, log)
	if err != nil {
		return nil, err
	}
	s := &Shipper{
		cfg:         cfg,
		log:         log,
		credentials: credentials,
		writer:      NewWriter(credentials, cfg.Members, cfg.Replicas, log),
		limit:       rate.NewLimiter(rate.Inf, batchBytes),
		wakeup:      make(chan struct{}, 1),
		attempts:    map[archive.Attempt]*followedAttempt{},
		Urgent:      func() bool { return false },
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// Start starts shipping in the background. The shipper must not be nil, and Start must
// be called only once.
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

// Stop cancels and awaits the shipping in progress, and saves the progress of all
// attempts. Output that was not shipped stays on disk.
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

// nowMS returns the present Unix time in milliseconds.
func nowMS() int64 { return time.Now().UnixMilli() }

// Follow starts following an attempt whose folder exists. The caller calls it before the
// attempt's program starts. When Follow returns, the grant is on disk, so that all of the
// program's output can be shipped even if everything is killed at the same time. Follow
// returns an error if the attempt is invalid or the grant can't be written.
func (s *Shipper) Follow(g archive.Grant, dir string) error {
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

// Resume follows an attempt that the agent began to follow before it was restarted. It
// does nothing if there is no grant in the attempt's folder, or if the attempt was shipped
// completely or given up. It returns an error if the grant can't be read.
func (s *Shipper) Resume(a archive.Attempt, dir string) error {
	raw, err := os.ReadFile(filepath.Join(dir, grantFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	f := &followedAttempt{attempt: a, dir: dir, streams: map[string]*streamFollower{}, storedChunks: map[string]bool{}}
	if err == nil {
		err = json.Unmarshal(raw, &f.grant)
	}
	if err == nil && f.grant.Attempt != a {
		err = errors.New("the grant is for another attempt")
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
	if raw, err = os.ReadFile(filepath.Join(dir, ProgressFile)); err == nil {
		if err := json.Unmarshal(raw, &f.progress); err != nil {
			// Everything is shipped again, and readers merge the segments.
			s.log.Error("an attempt's saved progress is damaged; shipping the whole attempt again", "attempt", a.String(), "error", err)
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

// RecordEnd records that an attempt's processes have ended, with the cause and the exit code;
// they write nothing more. The attempt is followed until everything is stored.
func (s *Shipper) RecordEnd(a archive.Attempt, cause string, code int) {
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

// Follows reports whether an attempt is still followed and its folder therefore needed.
func (s *Shipper) Follows(a archive.Attempt) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[a] != nil
}

// KeepsFiles reports whether an attempt is still followed and files of its working directory
// are to be shipped.
func (s *Shipper) KeepsFiles(a archive.Attempt) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.attempts[a]
	return f != nil && len(f.grant.Keep) > 0
}

// FollowedAttempts returns the attempts that are not shipped completely, each with the time at which
// its end was recorded. The time is zero for an attempt that is not known to have ended. The shipper must
// not be nil.
func (s *Shipper) FollowedAttempts() map[archive.Attempt]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	followed := map[archive.Attempt]time.Time{}
	for attempt, f := range s.attempts {
		followed[attempt] = time.Time{}
		if f.progress.End != nil {
			followed[attempt] = time.UnixMilli(f.progress.End.At)
		}
	}
	return followed
}

// UnshippedAttempts returns how many ended attempts are not shipped completely.
func (s *Shipper) UnshippedAttempts() (n int) {
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
	stats := s.stats
	stats.Attempts = len(s.attempts)
	now := nowMS()
	for _, f := range s.attempts {
		for _, follower := range f.streams {
			stats.Left += follower.unshipped()
			if at := follower.oldestUnshipped(); at > 0 {
				stats.OldestMS = max(stats.OldestMS, now-at)
			}
		}
	}
	return stats
}

// wake lets the loop ship without waiting for its ticker.
func (s *Shipper) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// pollRevocations asks the nodes in turn for the newest list of revoked certificates,
// until Stop is called.
func (s *Shipper) pollRevocations() {
	for i := 0; ; i++ {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(node.RevocationsEvery):
		}
		r := s.writer.nodes[i%len(s.writer.nodes)]
		if raw, err := r.get(s.ctx, node.PathRevocations); err == nil {
			if _, err := s.credentials.ReceiveRevocations(raw); err != nil {
				s.log.Error("cannot use a node's list of revocations", "node", r.name, "error", err)
			}
		}
	}
}
