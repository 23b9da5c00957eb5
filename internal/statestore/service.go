// Package statestore is silvergate's state service: a small strongly consistent
// key-value store with revisions, conditional transactions, leases and watches,
// spoken to as PROTOCOL says.
//
// It owns one file (bbolt). A change is answered after it is on disk; changes
// that wait share one sync. The revision never goes back, and a restart gives
// every lease its full time again. Damage is detected by checksums over every
// record and a digest of them all, named, and never written over. The process
// ends when the disk fails under it: what it had not answered may or may not
// have been done, which is what its clients are prepared for.
//
// The type admission decides on requests and does no I/O; disk reads and writes
// the file and does nothing else; Service connects them to the network.
package statestore

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"silvergate/internal/transport"
)

// requestReadTimeout is how long a client may take to send a request.
const requestReadTimeout = 10 * time.Second

// Stats counts what the service did, and what it holds.
type Stats struct {
	Requests, Refused, Commits, Changes uint64
	Keys, Revision, Leases              uint64
	Watches, Queued                     int
	CommitSeconds                       float64 // total time of commits
}

// Service is a running state service. Its goroutines are the server's event loop, which
// calls Serve; the writer (commitLoop); the timer's (tick); and one while a backup is
// written. They share one lock, mu, which the server holds when it calls Serve. The
// writer lets go of it while it is busy with the disk, and the backup takes it only to
// answer.
type Service struct {
	cfg    Config
	log    *slog.Logger
	disk   *disk
	server *transport.Server
	start  time.Time
	// Extra answers paths that are not the protocol's, such as /metrics. It
	// is called with the lock held and returns false for what it doesn't know. It must
	// be set before Run.
	Extra func(id uint64, method, path string) bool

	mu               sync.Mutex // guards all fields below, and the server
	admission        *admission
	pending          []request  // that the writer has not taken yet
	workAvailable    *sync.Cond // signalled when pending or closed change; uses mu
	timer            *time.Timer
	nextTickAt       time.Duration // since start; 0 while none is scheduled
	stats            Stats
	backupInProgress bool
	failure           error
	closed           bool

	writerDone chan struct{} // closed when the writer has ended
}

// Open opens the store in cfg.Dir, or makes one. The error wraps ErrDamaged if its file
// is damaged. Run must be called to close the store again.
func Open(cfg Config, log *slog.Logger) (*Service, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d, err := openDisk(cfg.Dir, retainedChanges)
	if err != nil {
		return nil, err
	}
	s := &Service{
		cfg:        cfg,
		log:        log,
		disk:       d,
		start:      time.Now(),
		admission:  newAdmission(cfg.Limits, d.ttls),
		writerDone: make(chan struct{}),
	}
	s.workAvailable = sync.NewCond(&s.mu)
	s.server = transport.NewServer(&s.mu, s, requestReadTimeout, cfg.MaxSockets)
	s.stats.Revision, s.stats.Keys = d.header.Revision, d.header.Keys
	return s, nil
}

// Run serves until the disk or the network fails or Stop is called, and closes the store.
// ready, if not nil, is called once with the address. Run must be called only once.
func (s *Service) Run(ready func(addr net.Addr)) error {
	opened := s.disk.header // before the writer changes it
	s.server.Ready = func(a []net.Addr) {
		s.log.Info("serving", "listen", a[0].String(), "file", s.disk.path, "revision", opened.Revision, "keys", opened.Keys)
		if ready != nil {
			ready(a[0])
		}
	}
	go s.commitLoop()
	s.mu.Lock()
	s.timer = time.AfterFunc(0, s.tick)
	s.mu.Unlock()
	err := s.server.Run(s.cfg.Listen, "")
	s.mu.Lock()
	s.closed = true
	s.timer.Stop()
	s.workAvailable.Signal()
	failed := s.failure
	s.mu.Unlock()
	<-s.writerDone
	return errors.Join(failed, err, s.disk.close())
}

// Stop ends Run. Whatever was answered is on disk already. It may be called from any
// goroutine.
func (s *Service) Stop() { s.server.Stop() }

// AnswerAs answers a request that Extra took; the lock must be held, as it is in Extra.
func (s *Service) AnswerAs(id uint64, contentType string, body []byte) {
	s.server.AnswerAs(id, contentType, body)
}

// Stats returns the counters; the lock must be held, as it is in Extra.
func (s *Service) Stats() Stats {
	stats := s.stats
	stats.Watches = len(s.admission.watchers)
	stats.Queued = s.admission.pendingWrites
	stats.Leases = uint64(len(s.admission.leases))
	stats.Refused = s.admission.refused
	return stats
}

// tick lets time pass: leases and watches expire.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.server.Sweep(time.Now())
	s.advance()
	for _, w := range s.admission.takeExpiredWatchers() {
		s.answerWatchers([]*watcher{w}) // each with the latest revision
	}
	s.nextTickAt = 0
	s.scheduleTick()
}

// advance sets admission's clock, and has the writer remove the leases that have expired.
func (s *Service) advance() {
	for _, lease := range s.admission.advance(time.Since(s.start)) {
		s.admission.pendingWrites++
		s.submit(request{leaseToRemove: lease, respond: func(result) {}})
	}
}

// scheduleTick has the next tick come at admission's next deadline.
func (s *Service) scheduleTick() {
	// Guards against a clock that is looked at too seldom once a lease is
	// granted: admission would take the pause for an outage and extend it.
	if at := s.admission.nextDeadline(); s.nextTickAt == 0 || at < s.nextTickAt {
		s.nextTickAt = at
		s.timer.Reset(max(time.Millisecond, at-time.Since(s.start)))
	}
}

// fail ends the service. Guards against going on after a failed sync: the pages
// that the system could not write may look written from then on.
func (s *Service) fail(err error) {
	if s.failure == nil {
		s.failure = err
		s.log.Error("stopping", "error", err)
		go s.server.Stop()
	}
}
