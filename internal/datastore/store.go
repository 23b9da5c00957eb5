// Package datastore is a machine's store of data sets: it fetches versions
// from file servers and other machines, keeps them within its room, places them
// in tasks' folders and serves their chunks.
//
// It owns one folder. A copy is visible when every chunk was verified and synced,
// by one rename; what a crash leaves behind is checked again chunk by chunk and
// gone on with, or thrown away, and never read. Copies that tasks use are pinned;
// the others make room, those used longest ago first.
//
// plan.go decides which chunk is asked of whom; store.go keeps the account;
// fetch.go does the asking.
package datastore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"silvergate/internal/dataset"
)

// Config is what a store is told.
type Config struct {
	Dir string
	// Capacity is how many bytes copies may take.
	Capacity int64
	// FetchRate and ServeRate bound the bytes a second that are fetched, and
	// served to other machines; 0: unbounded.
	FetchRate, ServeRate float64
	// Serving is how many requests of other machines are served at a time.
	Serving int
	// Streams is how many chunks are fetched at a time.
	Streams int
	// Patience is how long a source may say nothing.
	Patience time.Duration
}

// Want is a copy that is to be here.
type Want struct {
	ID      dataset.ID
	Digest  dataset.Hash
	Set     string
	Version string
	Sources []Source
	// Urgent fetches go first; others stand still meanwhile.
	Urgent bool
}

// Event tells of something that happened, for whoever checks it.
type Event struct {
	At     time.Time
	Kind   string // begin, chunk, visible, pause, resume, aside, evict, drop, quit (a fetch that nobody wants any more), fail
	ID     dataset.ID
	Source string
	Urgent bool
}

// Errors.
var (
	// ErrFull is a copy for which no room can be made.
	ErrFull = errors.New("no room for the copy: the others are in use")
	// ErrDropped is a fetch that was given up because nobody wants it.
	ErrDropped = errors.New("nobody wants the copy any more")
	// ErrNotHere is a copy that is not whole here.
	ErrNotHere = errors.New("the copy is not here")
)

// Store is a machine's store.
type Store struct {
	cfg    Config
	log    *slog.Logger
	client *http.Client
	fetch  *rate.Limiter
	serve  *rate.Limiter
	disk   disk
	begun  time.Time
	// Observe, if set before anything is wanted, is told of events.
	Observe func(Event)

	mu      sync.Mutex
	src     *sources
	copies  map[dataset.ID]*held
	pulls   map[dataset.ID]*fetching
	chunks  map[dataset.Hash][]place // of copies that are here
	pins    map[dataset.ID]int
	serving int
	uses    uint64
	urgent  int // fetches that are urgent
	closed  bool
	stats   Stats
}

// Stats counts what a store did.
type Stats struct {
	Fetched, Served, Shared int64 // bytes
	Damaged, Retries        int64
	Evicted, Refused        int64
	Copies                  int
	Bytes, Partial          int64
}

const (
	copiesDir   = "copies"
	partialDir  = "partial"
	manifestDir = "manifests"
	trashDir    = "trash"
)

// Open opens the store in cfg.Dir, or makes one.
func Open(cfg Config, log *slog.Logger) (*Store, error) {
	if cfg.Streams <= 0 {
		cfg.Streams = 4
	}
	if cfg.Serving <= 0 {
		cfg.Serving = 8
	}
	if cfg.Patience <= 0 {
		cfg.Patience = 5 * time.Second
	}
	s := &Store{cfg: cfg, log: log, begun: time.Now(), copies: map[dataset.ID]*held{}, pulls: map[dataset.ID]*fetching{},
		chunks: map[dataset.Hash][]place{}, pins: map[dataset.ID]int{},
		disk: osDisk{}, fetch: limiter(cfg.FetchRate), serve: limiter(cfg.ServeRate)}
	s.src = newSources(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), func(address string) {
		s.log.Error("a source served damaged bytes and is put aside", "source", address, "for", asideFor)
		s.tell(Event{Kind: "aside", Source: address})
	})
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: perSource, IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: cfg.Patience, DisableCompression: true}}
	for _, d := range []string{copiesDir, partialDir, manifestDir} {
		if err := os.MkdirAll(filepath.Join(cfg.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	if err := os.RemoveAll(filepath.Join(cfg.Dir, trashDir)); err != nil {
		return nil, err
	}
	return s, s.load()
}

func limiter(perS float64) *rate.Limiter {
	if perS <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perS), max(dataset.ChunkSize, int(perS/10)))
}

func (s *Store) manifestPath(id dataset.ID) string {
	return filepath.Join(s.cfg.Dir, manifestDir, string(id)+".json")
}

func (s *Store) file(where string, id dataset.ID, f *dataset.File) string {
	return filepath.Join(s.cfg.Dir, where, string(id), filepath.FromSlash(f.Path))
}

func (s *Store) now() time.Duration { return time.Since(s.begun) }

func (s *Store) tell(e Event) {
	if s.Observe != nil {
		e.At = time.Now()
		s.Observe(e)
	}
}

// enter makes a copy known; the lock is held, or nobody else knows the store.
func (s *Store) enter(id dataset.ID, h *held) {
	s.copies[id] = h
	for i := range h.m.Files {
		for k, c := range h.m.Files[i].Chunks {
			s.chunks[c] = append(s.chunks[c], place{id, i, k})
		}
	}
}

// leave forgets a copy; the lock is held.
func (s *Store) leave(id dataset.ID) {
	h := s.copies[id]
	if h == nil {
		return // two tasks found it spoilt at the same time
	}
	delete(s.copies, id)
	for i := range h.m.Files {
		for _, c := range h.m.Files[i].Chunks {
			s.chunks[c] = slices.DeleteFunc(s.chunks[c], func(p place) bool { return p.id == id })
			if len(s.chunks[c]) == 0 {
				delete(s.chunks, c)
			}
		}
	}
}

// Urgent tells whether a copy that is urgent is being fetched.
func (s *Store) Urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.urgent > 0
}

// find tells where a chunk lies, and in which copy; nil if it is not here. The
// lock is held.
func (s *Store) find(c dataset.Hash) (place, *held) {
	if all := s.chunks[c]; len(all) > 0 {
		return all[len(all)-1], s.copies[all[len(all)-1].id]
	}
	return place{}, nil
}

// Chunk reads a chunk for another machine. ok is false when it is not here, busy
// when too many are being served.
func (s *Store) Chunk(ctx context.Context, h dataset.Hash) (data []byte, ok, busy bool) {
	s.mu.Lock()
	p, c := s.find(h)
	if c == nil {
		s.mu.Unlock()
		return nil, false, false
	}
	if s.serving >= s.cfg.Serving {
		s.mu.Unlock()
		return nil, true, true
	}
	s.serving++
	s.pins[p.id]++
	s.mu.Unlock()
	defer func() {
		s.Unpin(p.id)
		s.mu.Lock()
		s.serving--
		s.stats.Served += int64(len(data))
		s.mu.Unlock()
	}()
	data = readChunk(s.file(copiesDir, p.id, &c.m.Files[p.file]), &c.m.Files[p.file], p.chunk, h)
	if data == nil {
		return nil, false, false
	}
	if s.serve.WaitN(ctx, len(data)) != nil {
		return nil, true, true
	}
	return data, true, false
}

// Manifest reads a copy's manifest for another machine.
func (s *Store) Manifest(id dataset.ID) ([]byte, bool) {
	if !s.Here(id) {
		return nil, false
	}
	raw, err := os.ReadFile(s.manifestPath(id))
	return raw, err == nil
}

func chunkLen(f *dataset.File, chunk int) int {
	return int(min(dataset.ChunkSize, f.Size-int64(chunk)*dataset.ChunkSize))
}

// readChunk reads a chunk of a file; nil if it is not what it should be. A task
// may have written to what was linked into its folder.
func readChunk(path string, f *dataset.File, chunk int, want dataset.Hash) []byte {
	src, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer src.Close()
	buf := make([]byte, chunkLen(f, chunk))
	if _, err := src.ReadAt(buf, int64(chunk)*dataset.ChunkSize); err != nil || dataset.Sum(buf) != want {
		return nil
	}
	return buf
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Copies = len(s.copies)
	for _, h := range s.copies {
		st.Bytes += h.bytes
	}
	for _, f := range s.pulls {
		st.Partial += f.done
	}
	return st
}

// Close ends all fetches.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	var all []*fetching
	for _, f := range s.pulls {
		f.end(ErrDropped)
		all = append(all, f)
	}
	s.mu.Unlock()
	for _, f := range all {
		<-f.over
	}
	s.client.CloseIdleConnections()
}
