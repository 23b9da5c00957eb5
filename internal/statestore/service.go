// Package statestore is silvergate's state service: a small strongly consistent
// key-value store with revisions, conditional transactions, leases and watches,
// spoken to as PROTOCOL says.
//
// It owns one file (bbolt). A change is answered after it is on disk; changes
// that wait share one sync. The ledger never goes back, and a restart gives
// every lease its full time again. Damage is detected by checksums over every
// record and a digest of them all, named, and never written over. The process
// ends when the disk fails under it: what it had not answered may or may not
// have been done, which is what its clients are prepared for.
//
// Decisions (machine) do no I/O; disk does nothing else; service connects them
// to the network.
package statestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// Config is what a state service is told.
type Config struct {
	// Listen is the address to serve at, an IP address with a port.
	Listen string `yaml:"listen"`
	// Dir is the folder of the store's file.
	Dir string `yaml:"dir"`
	// Limits are the service's limits.
	Limits Limits `yaml:"limits"`
	// BackupDir is where backups are written; default: backups in Dir.
	BackupDir string `yaml:"backup_dir"`
	// MaxSockets is the most connections.
	MaxSockets int `yaml:"max_sockets"`
	// Metrics switches GET /metrics on.
	Metrics bool `yaml:"metrics"`
}

// DefaultConfig returns what holds for fields that a file does not name.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:2379", Dir: "state", MaxSockets: 1024,
		Limits: Limits{RPS: 1000, WriteRPS: 500, ValueKB: 16, TxnOps: 24}}
}

// Check names the first field that can't be.
func (c *Config) Check() error {
	if c.Dir == "" {
		return errors.New("dir: missing")
	}
	if c.MaxSockets < 8 {
		return errors.New("max_sockets: must be at least 8")
	}
	return c.Limits.Check()
}

// Stats counts what the service did.
type Stats struct {
	Requests, Refused, Commits, Changes uint64
	Keys, Revision, Leases              uint64
	Watches, Queued                     int
	FileBytes                           int64
	CommitS                             float64 // total time of commits
}

// Service is a running state service.
type Service struct {
	cfg    Config
	log    *slog.Logger
	disk   *disk
	server *transport.Server
	start  time.Time
	// Extra answers paths that are not the protocol's, such as /metrics. It
	// is called with the lock held and returns false for what it doesn't know.
	Extra func(id uint64, method, path string) bool

	mu        sync.Mutex
	admission *admission
	pending   []request // for the writer
	wake      *sync.Cond
	timer     *time.Timer
	tickAt    time.Duration // when the next tick comes
	stats     Stats
	saving    bool // a backup is being written
	failed    error
	closed    bool
	idle      chan struct{} // closed when the writer has ended
}

// Open opens the store in cfg.Dir, or makes one. A damaged file is an error
// that wraps ErrDamaged.
func Open(cfg Config, log *slog.Logger) (*Service, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d, err := openDisk(cfg.Dir, retainedChanges)
	if err != nil {
		return nil, err
	}
	s := &Service{cfg: cfg, log: log, disk: d, start: time.Now(), admission: newAdmission(cfg.Limits, d.ttls), idle: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	s.server = transport.NewServer(&s.mu, s, 10*time.Second, cfg.MaxSockets)
	s.stats.Revision, s.stats.Keys = d.header.Revision, d.header.Keys
	return s, nil
}

// Run serves until the disk or the network fails or Stop is called. ready, if
// not nil, is told the address.
func (s *Service) Run(ready func(addr net.Addr)) error {
	s.server.Ready = func(a []net.Addr) {
		s.log.Info("serving", "listen", a[0].String(), "file", s.disk.path, "revision", s.disk.header.Revision, "keys", s.disk.header.Keys)
		if ready != nil {
			ready(a[0])
		}
	}
	go s.write()
	s.mu.Lock()
	s.timer = time.AfterFunc(0, s.tick)
	s.mu.Unlock()
	err := s.server.Run(s.cfg.Listen, "")
	s.mu.Lock()
	s.closed = true
	s.timer.Stop()
	s.wake.Signal()
	failed := s.failed
	s.mu.Unlock()
	<-s.idle
	return errors.Join(failed, err, s.disk.close())
}

// Stop ends Run. What was answered is on disk already.
func (s *Service) Stop() { s.server.Stop() }

// AnswerAs answers a request of Extra; the lock must be held.
func (s *Service) AnswerAs(id uint64, contentType string, body []byte) {
	s.server.AnswerAs(id, contentType, body)
}

// Stats returns the counters; the lock must be held, as it is in Extra.
func (s *Service) Stats() Stats {
	st := s.stats
	st.Watches, st.Queued, st.Leases, st.Refused = len(s.admission.watches), s.admission.queued, uint64(len(s.admission.leases)), s.admission.refused
	return st
}

func (s *Service) advance() {
	for _, id := range s.admission.advance(time.Since(s.start)) {
		s.admission.queued++
		s.submit(request{expiredLeases: id, respond: func(result) {}})
	}
}

func (s *Service) submit(o request) {
	s.pending = append(s.pending, o)
	s.wake.Signal()
}

// tick lets time pass: grants and watches end.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.server.Sweep(time.Now())
	s.advance()
	for _, w := range s.admission.expired() {
		s.notify(w, nil)
	}
	s.tickAt = 0
	s.arm()
}

// arm has the next tick come when the machine is due.
func (s *Service) arm() {
	// Guards against a clock that is looked at too seldom once a grant is
	// given: the machine would take the pause for an outage and extend it.
	if at := s.admission.due(); s.tickAt == 0 || at < s.tickAt {
		s.tickAt = at
		s.timer.Reset(max(time.Millisecond, at-time.Since(s.start)))
	}
}

// Serve takes a request; the server holds the lock.
func (s *Service) Serve(id uint64, r *transport.Request) {
	s.advance()
	defer s.arm()
	if r.Path == PathBackup {
		s.backup(id, r)
		return
	}
	if s.Extra != nil && s.Extra(id, r.Method, r.Path) {
		return
	}
	s.stats.Requests++
	v := s.admission.request(id, r.Method, r.Path, r.Query, r.Body)
	switch {
	case v.status != 0:
		s.server.Answer(id, v.status, v.body, v.retryAfter)
	case v.request != nil:
		o := *v.request
		o.respond = func(res result) { s.answer(id, &o, res) }
		s.submit(o)
	case v.get != "":
		rec, found, ledger, err := s.disk.get(v.get)
		switch {
		case err != nil:
			s.fail(err)
		case !found:
			s.json(id, http.StatusNotFound, struct {
				Ledger uint64 `json:"ledger"`
			}{ledger})
		default:
			s.json(id, http.StatusOK, keyValue{v.get, rec.value, rec.modRevision, rec.lease})
		}
	case v.list != nil:
		s.list(id, v.list)
	case v.watcher != nil:
		s.readWatch(v.watcher)
	}
}

type keyValue struct {
	Key         string `json:"key"`
	Value       raw    `json:"data"`
	ModRevision uint64 `json:"stamp"`
	Lease       uint64 `json:"permit,omitempty"`
}

// raw is JSON that was checked when it came in.
type raw = json.RawMessage

func (s *Service) json(id uint64, status int, v any) {
	s.server.Answer(id, status, protocol.Encode(v), 0)
}

func (s *Service) list(id uint64, l *listRequest) {
	page := struct {
		Entries   []keyValue `json:"entries"`
		Truncated bool       `json:"truncated"`
		Ledger    uint64     `json:"ledger"`
	}{Entries: []keyValue{}}
	size := 100
	ledger, err := s.disk.scan(l.under, l.from, func(k []byte, r keyRecord) bool {
		// Escaping a key and its numbers takes at most this much.
		n := len(r.value) + 6*len(k) + 80
		if len(page.Entries) == l.page || size+n > maxPageBytes {
			page.Truncated = true
			return false
		}
		size += n
		page.Entries = append(page.Entries, keyValue{string(k), append(raw(nil), r.value...), r.modRevision, r.lease})
		return true
	})
	if err != nil {
		s.fail(err)
		return
	}
	page.Ledger = ledger
	s.json(id, http.StatusOK, page)
}

// readWatch answers a watch that has something to tell, and parks any other.
func (s *Service) readWatch(w *watcher) {
	r, kept, err := s.eventsSince(w)
	switch {
	case err != nil:
		s.fail(err)
	case !kept:
		v := errorDecision(http.StatusGone, "changes after %d are not kept any more; read the keys again", w.from)
		s.server.Answer(w.id, v.status, v.body, 0)
	case len(r.Events) > 0 || !s.admission.park(w):
		s.json(w.id, http.StatusOK, r)
	}
}

type watchEvent struct {
	Put         string `json:"write,omitempty"`
	Delete      string `json:"drop,omitempty"`
	Value       raw    `json:"data,omitempty"`
	ModRevision uint64 `json:"stamp"`
}

type watchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []watchEvent `json:"news"`
}

func (s *Service) eventsSince(w *watcher) (r watchResponse, kept bool, err error) {
	r.Events = []watchEvent{}
	r.Revision, kept, err = s.disk.changes(w.from, func(c changeEvent) {
		switch {
		case len(c.key) < len(w.under) || c.key[:len(w.under)] != w.under:
		case c.value != nil:
			r.Events = append(r.Events, watchEvent{Put: c.key, Value: c.value, ModRevision: c.revision})
		default:
			r.Events = append(r.Events, watchEvent{Delete: c.key, ModRevision: c.revision})
		}
	})
	return r, kept, err
}

// notify answers a watch with what there is now. Watches that ask for the same
// share the encoding, in told.
func (s *Service) notify(w *watcher, told map[watcher][]byte) {
	k := watcher{under: w.under, from: w.from}
	body := told[k]
	if body == nil {
		r, kept, err := s.eventsSince(w)
		if err != nil {
			s.fail(err)
			return
		}
		if !kept {
			v := errorDecision(http.StatusGone, "changes after %d are not kept any more; read the keys again", w.from)
			s.server.Answer(w.id, v.status, v.body, 0)
			return
		}
		body = protocol.Encode(r)
		if told != nil {
			told[k] = body
		}
	}
	s.server.Answer(w.id, http.StatusOK, body, 0)
}

// answer tells what came of an order.
func (s *Service) answer(id uint64, o *request, res result) {
	switch {
	case o.txn != nil && res.leaseExpired:
		v := errorDecision(http.StatusBadRequest, "no such lease")
		s.server.Answer(id, v.status, v.body, 0)
	case o.txn != nil && res.failed != nil:
		s.json(id, http.StatusConflict, protocol.TxnResult{Revision: res.revision, Failed: res.failed})
	case o.txn != nil:
		s.json(id, http.StatusOK, struct {
			Ledger uint64 `json:"ledger"`
		}{res.revision})
	case o.expiredLeases != 0 && res.leaseNotFound:
		v := errorDecision(http.StatusNotFound, "no such lease")
		s.server.Answer(id, v.status, v.body, 0)
	case o.expiredLeases != 0:
		s.server.Answer(id, http.StatusOK, []byte("{}"), 0)
	default:
		s.admission.leaseGranted(res.lease, o.ttl)
		s.json(id, http.StatusOK, protocol.LeaseResponse{Lease: res.lease})
	}
}

// write is the writer: it takes all orders that wait and makes them durable
// together.
func (s *Service) write() {
	defer close(s.idle)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for len(s.pending) == 0 && !s.closed {
			s.wake.Wait()
		}
		if s.closed {
			return
		}
		batch := s.pending
		s.pending = nil
		s.mu.Unlock()
		at := time.Now()
		results, changes, err := s.disk.commit(batch)
		took := time.Since(at)
		s.mu.Lock()
		if err != nil {
			s.fail(fmt.Errorf("commit: %w", err))
			return
		}
		s.admission.queued -= len(batch)
		s.stats.Commits++
		s.stats.CommitS += took.Seconds()
		s.stats.Changes += uint64(len(changes))
		s.stats.Revision, s.stats.Keys = s.disk.header.Revision, s.disk.header.Keys
		s.advance()
		for i := range batch {
			if batch[i].expiredLeases != 0 {
				s.admission.leaseRemoved(batch[i].expiredLeases)
			}
			batch[i].respond(results[i])
		}
		if len(changes) > 0 {
			told := map[watcher][]byte{}
			for _, w := range s.admission.wake(changes) {
				s.notify(w, told)
			}
		}
		s.arm()
	}
}

// fail ends the service. Guards against going on after a failed sync: the pages
// that the system could not write may look written from then on.
func (s *Service) fail(err error) {
	if s.failed == nil {
		s.failed = err
		s.log.Error("stopping", "error", err)
		go s.server.Stop()
	}
}
