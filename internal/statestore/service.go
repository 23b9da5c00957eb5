// Package statestore is silvergate's state service: a small strongly consistent
// key-value store with revisions, conditional transactions, leases and watches.
// PROTOCOL describes its HTTP interface.
//
// The service owns one file (bbolt). It answers a change after the change is on
// disk; changes that wait together share one sync. The revision never goes back,
// and after a restart every lease has its full TTL again. Damage to the file is
// detected by checksums over every record and a digest over all keys' records. It
// is reported as such and never written over. The process ends when the disk
// fails: requests that were not answered by then may or may not have taken effect,
// and clients have to be prepared for either.
//
// The type admission decides on requests and does no I/O; disk only reads and
// writes the file; Service connects them to the network.
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

// Stats holds counters since the start of the service, and the current size of its
// contents and queues.
type Stats struct {
	Requests, Refused, Commits, Changes uint64
	Keys, Revision, Leases              uint64
	Watches, Queued                     int
	CommitSeconds                       float64 // total time of commits
}

// Service is a running state service. Its goroutines are the server's event loop, which
// calls Serve; the writer (commitLoop); the timer, which calls tick; and one that writes a
// backup while a backup is in progress. They share one lock, mu, which the server holds
// when it calls Serve. The writer releases the lock during a commit to disk, and the backup
// takes the lock only for its answer.
type Service struct {
	cfg    Config
	log    *slog.Logger
	disk   *disk
	server *transport.Server
	start  time.Time
	// Extra answers requests for paths outside the protocol, such as /metrics. It is
	// called with the lock held and returns false for paths that it doesn't serve. It
	// must be set before Run.
	Extra func(id uint64, method, path string) bool

	mu               sync.Mutex // guards all fields below, and the server
	admission        *admission
	pending          []request  // writes that the writer has not taken yet
	workAvailable    *sync.Cond // signalled when pending or closed change; uses mu
	timer            *time.Timer
	nextTickAt       time.Duration // time since start; 0 if no tick is scheduled
	stats            Stats
	backupInProgress bool
	failure          error
	closed           bool

	writerDone chan struct{} // closed when the writer has ended
}

// Open opens the store in cfg.Dir, or creates one. The error wraps ErrDamaged if the store's
// file is damaged. Only Run closes the store again, so it must be called after Open.
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

// Run serves until the disk or the network fails or Stop is called, and then closes the
// store. It calls ready, if not nil, once with the address that it listens on. Run must be
// called only once.
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

// Stop makes Run return. All writes that were answered are on disk already. Stop may be
// called from any goroutine.
func (s *Service) Stop() { s.server.Stop() }

// AnswerWithType answers a request for which Extra returned true. The lock must be held, as it is
// in Extra.
func (s *Service) AnswerWithType(id uint64, contentType string, body []byte) {
	s.server.AnswerWithType(id, contentType, body)
}

// Stats returns the current statistics. The lock must be held, as it is in Extra.
func (s *Service) Stats() Stats {
	stats := s.stats
	stats.Watches = len(s.admission.watchers)
	stats.Queued = s.admission.pendingWrites
	stats.Leases = uint64(len(s.admission.leases))
	stats.Refused = s.admission.refused
	return stats
}

// tick advances admission's clock, expires leases and watches, and schedules the next tick.
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

// advance sets admission's clock and submits the removal of the leases that have expired.
func (s *Service) advance() {
	for _, lease := range s.admission.advance(time.Since(s.start)) {
		s.admission.pendingWrites++
		s.submit(request{leaseToRemove: lease, respond: func(result) {}})
	}
}

// scheduleTick schedules the next tick for admission's next deadline.
func (s *Service) scheduleTick() {
	// A tick that is scheduled already is moved to an earlier deadline. Otherwise the time
	// between two calls of advance could exceed maxClockGap once a lease is granted, and
	// admission would mistake the gap for a pause of the service and extend the lease.
	if at := s.admission.nextDeadline(); s.nextTickAt == 0 || at < s.nextTickAt {
		s.nextTickAt = at
		s.timer.Reset(max(time.Millisecond, at-time.Since(s.start)))
	}
}

// fail ends the service because of an error. The service can't go on after a failed sync:
// pages that the operating system could not write may look written afterwards.
func (s *Service) fail(err error) {
	if s.failure == nil {
		s.failure = err
		s.log.Error("stopping", "error", err)
		go s.server.Stop()
	}
}
