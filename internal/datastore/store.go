// Package datastore is a machine's store of data sets: it fetches versions
// from file servers and other machines, keeps them within its capacity, places them
// in tasks' folders and serves their chunks.
//
// It owns one folder. A copy is visible when every chunk was verified and synced,
// by one rename; what a crash leaves behind is checked again chunk by chunk and
// fetched on, or removed, and never read. Copies that tasks use are pinned;
// the others make room, the least recently used first.
//
// plan.go decides which chunk is asked of which source; fetch.go asks, and target.go
// writes; held.go loads, lists and places copies; evict.go makes room; serve.go answers
// other machines; store.go opens the store and reads chunks.
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

// Config holds the settings of a store.
type Config struct {
	// Dir is the store's folder; it is made if it does not exist.
	Dir string
	// Capacity is how many bytes copies may take.
	Capacity int64
	// FetchRate and ServeRate bound the bytes a second that are fetched, and
	// served to other machines; 0: unbounded.
	FetchRate, ServeRate float64
	// Serving is how many requests of other machines are served at a time; 0: 8.
	Serving int
	// Streams is how many chunks of a copy are fetched at a time; 0: 4.
	Streams int
	// Patience is how long a source may send nothing before it is given up; 0: 5 s.
	Patience time.Duration
}

// Want is a copy that the store is to have, and the sources it can be fetched from.
type Want struct {
	ID      dataset.ID
	Digest  dataset.Hash
	Set     string
	Version string
	Sources []Source
	// Urgent fetches go first; others are paused meanwhile.
	Urgent bool
}

// Event tells of something that the store did, for traces and checks. Events of a
// source alone have no ID.
type Event struct {
	At     time.Time
	Kind   string // begin, chunk, visible, pause, resume, aside, evict, drop, quit (a fetch that nobody wants any more), fail
	ID     dataset.ID
	Source string
	Urgent bool
}

// Errors that callers decide by.
var (
	// ErrFull says that no room can be made for a copy.
	ErrFull = errors.New("no room for the copy: the others are in use")
	// ErrDropped says that a fetch was given up because nobody wants the copy.
	ErrDropped = errors.New("nobody wants the copy any more")
	// ErrNotHere says that the store does not have the whole copy.
	ErrNotHere = errors.New("the copy is not here")
)

// Store is a machine's store. It is safe for concurrent use. Whoever opens it closes
// it.
type Store struct {
	cfg        Config
	log        *slog.Logger
	client     *http.Client
	fetchLimit *rate.Limiter
	serveLimit *rate.Limiter
	disk       disk
	begun      time.Time
	// Observe is called for each event, often under the store's lock: it must not call
	// the store. It may be set before the first Fetch.
	Observe func(Event)

	mu       sync.Mutex
	sources  *sources
	copies   map[dataset.ID]*heldCopy
	fetches  map[dataset.ID]*fetching
	chunks   map[dataset.Hash][]chunkPlace // of copies that are here
	pins     map[dataset.ID]int
	serving  int
	useCount uint64
	urgent   int // fetches that are urgent
	closed   bool
	stats    Stats
}

// Stats counts what a store has, and what it did since it was opened.
type Stats struct {
	Fetched, Served, Shared int64 // bytes from sources, to other machines, and from other copies here
	Damaged, Retries        int64 // requests for chunks that brought damaged bytes, or failed
	Evicted, Refused        int64 // copies removed, and refused for want of room
	Copies                  int
	Bytes, Partial          int64 // bytes of copies, and verified bytes of fetches
}

const (
	copiesDir   = "copies"
	partialDir  = "partial"
	manifestDir = "manifests"
	trashDir    = "trash"
)

// Open opens the store in cfg.Dir, or makes one. Copies that are damaged are removed.
// An error is one of reading or changing the folder.
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
	s := &Store{cfg: cfg, log: log, begun: time.Now(), copies: map[dataset.ID]*heldCopy{}, fetches: map[dataset.ID]*fetching{},
		chunks: map[dataset.Hash][]chunkPlace{}, pins: map[dataset.ID]int{},
		disk: osDisk{}, fetchLimit: limiter(cfg.FetchRate), serveLimit: limiter(cfg.ServeRate)}
	s.sources = newSources(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), func(address string) {
		s.log.Error("a source served damaged bytes and is put aside", "source", address, "for", asideFor)
		s.emit(Event{Kind: "aside", Source: address})
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

// limiter returns a limiter of so many bytes a second; 0: unbounded.
func limiter(perS float64) *rate.Limiter {
	if perS <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perS), max(dataset.ChunkSize, int(perS/10)))
}

// manifestPath is the path of a copy's manifest.
func (s *Store) manifestPath(id dataset.ID) string {
	return filepath.Join(s.cfg.Dir, manifestDir, string(id)+".json")
}

// file is the path of a copy's file below one of the store's folders.
func (s *Store) file(where string, id dataset.ID, f *dataset.File) string {
	return filepath.Join(s.cfg.Dir, where, string(id), filepath.FromSlash(f.Path))
}

// now is the time since the store was opened.
func (s *Store) now() time.Duration { return time.Since(s.begun) }

// emit calls Observe.
func (s *Store) emit(e Event) {
	if s.Observe != nil {
		e.At = time.Now()
		s.Observe(e)
	}
}

// addCopy makes a copy known; the lock is held, or nobody else knows the store.
func (s *Store) addCopy(id dataset.ID, h *heldCopy) {
	s.copies[id] = h
	for i := range h.manifest.Files {
		for k, c := range h.manifest.Files[i].Chunks {
			s.chunks[c] = append(s.chunks[c], chunkPlace{id, i, k})
		}
	}
}

// removeCopy forgets a copy; the lock is held.
func (s *Store) removeCopy(id dataset.ID) {
	h := s.copies[id]
	if h == nil {
		return // two tasks found it changed at the same time
	}
	delete(s.copies, id)
	for i := range h.manifest.Files {
		for _, c := range h.manifest.Files[i].Chunks {
			s.chunks[c] = slices.DeleteFunc(s.chunks[c], func(p chunkPlace) bool { return p.id == id })
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

// findChunk tells where a chunk lies, and in which copy; nil if it is not here. The
// lock is held.
func (s *Store) findChunk(c dataset.Hash) (chunkPlace, *heldCopy) {
	if all := s.chunks[c]; len(all) > 0 {
		return all[len(all)-1], s.copies[all[len(all)-1].id]
	}
	return chunkPlace{}, nil
}

// Chunk reads a chunk for another machine, at the rate of Config.ServeRate. ok is
// false when the store does not have it, or not any more as it should be; busy is true
// when too many are being served or ctx ends before its turn. The caller owns data.
func (s *Store) Chunk(ctx context.Context, h dataset.Hash) (data []byte, ok, busy bool) {
	s.mu.Lock()
	p, c := s.findChunk(h)
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
	data = readChunk(s.file(copiesDir, p.id, &c.manifest.Files[p.file]), &c.manifest.Files[p.file], p.chunk, h)
	if data == nil {
		return nil, false, false
	}
	if s.serveLimit.WaitN(ctx, len(data)) != nil {
		return nil, true, true
	}
	return data, true, false
}

// Manifest reads a copy's manifest for another machine; false if the store does not
// have the copy. The caller owns the bytes.
func (s *Store) Manifest(id dataset.ID) ([]byte, bool) {
	if !s.Here(id) {
		return nil, false
	}
	raw, err := os.ReadFile(s.manifestPath(id))
	return raw, err == nil
}

// chunkLen is the length in bytes of a file's chunk.
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

// Stats returns a copy of the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Copies = len(s.copies)
	for _, h := range s.copies {
		st.Bytes += h.bytes
	}
	for _, f := range s.fetches {
		st.Partial += f.verifiedBytes
	}
	return st
}

// Close ends all fetches with ErrDropped and waits for them; what they got stays, for
// another time. Copies can still be read.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	var all []*fetching
	for _, f := range s.fetches {
		f.end(ErrDropped)
		all = append(all, f)
	}
	s.mu.Unlock()
	for _, f := range all {
		<-f.finished
	}
	s.client.CloseIdleConnections()
}
