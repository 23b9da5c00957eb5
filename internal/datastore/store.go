// Package datastore is a machine's store of data sets. It fetches versions from file
// servers and other machines, keeps the copies within its capacity, places them in
// tasks' folders and serves their chunks.
//
// A store owns one folder. A copy becomes visible by one rename after every chunk was
// verified and synced. The partial copy that a crash leaves behind is never read as a
// copy: a later fetch verifies it chunk by chunk and fetches the rest. Copies that tasks
// still have to be given are pinned; the others are evicted to make room, the least recently
// used first.
//
// plan.go decides which chunk is requested from which source, fetch.go sends the
// requests, and target.go writes the chunks. held.go loads and lists copies, partial.go counts
// what unfinished fetches leave, place.go gives tasks files of their own, placements.go counts
// and removes these, evict.go makes room, serve.go answers other machines, and store.go opens
// the store and reads chunks.
package datastore

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
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
	// Dir is the store's folder; Open creates it if it does not exist.
	Dir string
	// Capacity is how many bytes the copies and the fetches may take.
	Capacity int64
	// PlacedCapacity is how many bytes of copies the tasks' own files may take, beside
	// Capacity; 0: as many as Capacity.
	PlacedCapacity int64
	// FetchRate and ServeRate bound the bytes per second that are fetched, and
	// that are served to other machines; 0: unbounded.
	FetchRate, ServeRate float64
	// ServeStreams is how many requests of other machines are served at a time; 0: 8.
	ServeStreams int
	// Streams is how many chunks of a copy are fetched at a time; 0: 4.
	Streams int
	// StallTimeout is how long a source may send nothing before its request is given up;
	// 0: 5 s.
	StallTimeout time.Duration
}

// Want is a request for a copy, with the sources from which it can be fetched.
type Want struct {
	ID      dataset.ID
	Digest  dataset.Hash
	Set     string
	Version string
	Sources []Source
	// Urgent makes the fetch urgent: while any urgent fetch is under way, all others are
	// paused.
	Urgent bool
}

// Event records an action of the store, for traces and checks. An event that concerns
// only a source has no ID.
type Event struct {
	At     time.Time
	Kind   string // begin, chunk, visible, pause, resume, aside, evict, drop, quit (a fetch was cancelled), fail, place, placed
	ID     dataset.ID
	Source string
	Urgent bool
}

// Errors that callers distinguish.
var (
	// ErrFull means that no room can be made for a copy.
	ErrFull = errors.New("no room for the copy: all other copies are in use, or the disk is full")
	// ErrCancelled means that a fetch was cancelled because the copy is no longer needed.
	ErrCancelled = errors.New("the fetch was cancelled: the copy is no longer needed")
	// ErrNotHeld means that the store does not have the whole copy.
	ErrNotHeld = errors.New("the store does not have the copy")
)

// Store is a machine's store of copies. It is safe for concurrent use. The caller of
// Open must call Close.
type Store struct {
	cfg      Config
	log      *slog.Logger
	network  network
	disk     disk
	openedAt time.Time
	// Observe is called for each event, often with the store's lock held, so it must not
	// call the store. It may be set only before the first Fetch.
	Observe func(Event)

	mu      sync.Mutex
	sources *sources
	copies  map[dataset.ID]*heldCopy
	fetches map[dataset.ID]*fetching
	// idlePartials are the partial copies that no fetch is completing, with their disk space.
	idlePartials map[dataset.ID]int64
	chunks       map[dataset.Hash][]chunkLocation // chunks of the copies
	pins         map[dataset.ID]int
	placements   placementTable
	trash        trash
	serving      int
	useCounter   uint64
	urgent       int // number of urgent fetches
	closed       bool
	stats        Stats
}

// network sends the store's requests, and limits the rates at which it receives and serves data.
type network struct {
	client     *http.Client
	fetchLimit *rate.Limiter
	serveLimit *rate.Limiter
}

// Stats counts the store's contents, and its work since it was opened.
type Stats struct {
	Fetched, Served, Shared int64         // bytes from sources, to other machines, and from other copies in the store
	Damaged, Retries        int64         // requests for chunks that returned damaged bytes, or no chunk
	Evicted, Refused        int64         // copies removed, and fetches refused for want of room
	Placements              int64         // copies that were placed for a task
	PlaceTime               time.Duration // time that placements took, those that failed included
	Copied                  int64         // bytes that placements copied, because the file system could not clone
	Placed                  int64         // bytes that the tasks' own files take now
	Copies                  int
	Bytes, Partial          int64 // bytes of copies, and verified bytes of fetches
}

const (
	copiesDir   = "copies"
	partialDir  = "partial"
	manifestDir = "manifests"
	// placementDir has the records of the folders that hold files of tasks.
	placementDir = "placements"
	trashDir     = "trash"
)

// Open opens the store in cfg.Dir, or creates one. It removes copies that can't be used.
// It returns an error if the folder can't be read or changed.
func Open(cfg Config, log *slog.Logger) (*Store, error) {
	if cfg.Streams <= 0 {
		cfg.Streams = 4
	}
	if cfg.ServeStreams <= 0 {
		cfg.ServeStreams = 8
	}
	if cfg.PlacedCapacity <= 0 {
		cfg.PlacedCapacity = cfg.Capacity
	}
	if cfg.StallTimeout <= 0 {
		cfg.StallTimeout = 5 * time.Second
	}
	s := &Store{cfg: cfg, log: log, openedAt: time.Now(), copies: map[dataset.ID]*heldCopy{}, fetches: map[dataset.ID]*fetching{}, idlePartials: map[dataset.ID]int64{},
		chunks: map[dataset.Hash][]chunkLocation{}, pins: map[dataset.ID]int{}, placements: newPlacementTable(),
		disk: osDisk{}, network: network{fetchLimit: newLimiter(cfg.FetchRate), serveLimit: newLimiter(cfg.ServeRate)}}
	s.sources = newSources(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), func(address string) {
		s.log.Error("a source served damaged bytes and is put aside", "source", address, "for", setAsideDuration)
		s.emit(Event{Kind: "aside", Source: address})
	})
	s.network.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxRequestsPerSource, IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: cfg.StallTimeout, DisableCompression: true}}
	for _, d := range []string{copiesDir, partialDir, manifestDir, placementDir} {
		if err := os.MkdirAll(filepath.Join(cfg.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	if err := os.RemoveAll(filepath.Join(cfg.Dir, trashDir)); err != nil {
		return nil, err
	}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, errors.Join(s.loadPartials(), s.loadPlacements())
}

// newLimiter returns a limiter of bytesPerSecond; 0: unbounded.
func newLimiter(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(dataset.ChunkSize, int(bytesPerSecond/10)))
}

// manifestPath returns the path of a copy's manifest.
func (s *Store) manifestPath(id dataset.ID) string {
	return filepath.Join(s.cfg.Dir, manifestDir, string(id)+".json")
}

// filePath returns the path of a copy's file. folder is copiesDir or partialDir.
func (s *Store) filePath(folder string, id dataset.ID, f *dataset.File) string {
	return filepath.Join(s.cfg.Dir, folder, string(id), filepath.FromSlash(f.Path))
}

// now returns the time since the store was opened.
func (s *Store) now() time.Duration { return time.Since(s.openedAt) }

// emit passes an event to Observe.
func (s *Store) emit(e Event) {
	if s.Observe != nil {
		e.At = time.Now()
		s.Observe(e)
	}
}

// addCopy adds a copy and its chunks to the store's maps. The caller holds the lock, or
// is Open.
func (s *Store) addCopy(id dataset.ID, h *heldCopy) {
	s.copies[id] = h
	for i := range h.manifest.Files {
		for k, c := range h.manifest.Files[i].Chunks {
			s.chunks[c] = append(s.chunks[c], chunkLocation{id, i, k})
		}
	}
}

// removeCopy removes a copy and its chunks from the store's maps. The caller holds the
// lock.
func (s *Store) removeCopy(id dataset.ID) {
	h := s.copies[id]
	if h == nil {
		return // already removed: two tasks found at the same time that the copy had changed
	}
	delete(s.copies, id)
	for i := range h.manifest.Files {
		for _, c := range h.manifest.Files[i].Chunks {
			s.chunks[c] = slices.DeleteFunc(s.chunks[c], func(p chunkLocation) bool { return p.id == id })
			if len(s.chunks[c]) == 0 {
				delete(s.chunks, c)
			}
		}
	}
}

// Urgent reports whether an urgent fetch is under way.
func (s *Store) Urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.urgent > 0
}

// findChunk returns the location of a chunk and the copy that holds it; the copy is nil
// if no copy holds the chunk. The caller holds the lock.
func (s *Store) findChunk(c dataset.Hash) (chunkLocation, *heldCopy) {
	if all := s.chunks[c]; len(all) > 0 {
		return all[len(all)-1], s.copies[all[len(all)-1].id]
	}
	return chunkLocation{}, nil
}

// Chunk reads a chunk for another machine, at the rate of Config.ServeRate. ok is false
// if the store does not have the chunk, or its bytes on disk have changed. busy is true
// if Config.ServeStreams requests are already being served, or ctx ends before the rate
// allows the answer. The caller owns data.
func (s *Store) Chunk(ctx context.Context, h dataset.Hash) (data []byte, ok, busy bool) {
	s.mu.Lock()
	p, c := s.findChunk(h)
	if c == nil {
		s.mu.Unlock()
		return nil, false, false
	}
	if s.serving >= s.cfg.ServeStreams {
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
	if data = s.readChunk(p, c, h); data == nil {
		return nil, false, false
	}
	if s.network.serveLimit.WaitN(ctx, len(data)) != nil {
		return nil, true, true
	}
	return data, true, false
}

// Manifest reads a copy's manifest for another machine. It returns false if the store
// does not have the copy. The caller owns the bytes.
func (s *Store) Manifest(id dataset.ID) ([]byte, bool) {
	if !s.Has(id) {
		return nil, false
	}
	raw, err := os.ReadFile(s.manifestPath(id))
	return raw, err == nil
}

// chunkLen returns the length of a file's chunk in bytes.
func chunkLen(f *dataset.File, chunk int) int {
	return int(min(dataset.ChunkSize, f.Size-int64(chunk)*dataset.ChunkSize))
}

// readChunk reads a chunk of a copy. It returns nil if that isn't possible. If the reason is
// that the copy has changed on disk, it removes the copy.
func (s *Store) readChunk(at chunkLocation, held *heldCopy, want dataset.Hash) []byte {
	f := &held.manifest.Files[at.file]
	src, err := s.openHeld(at.id, f)
	if err == nil {
		defer src.Close()
		buf := make([]byte, chunkLen(f, at.chunk))
		if err = readVerified(src, buf, f, at.chunk, want); err == nil {
			return buf
		}
	}
	var damaged *damagedError
	if errors.As(err, &damaged) {
		err = s.discard(at.id, held, err)
	}
	s.log.Debug("a chunk can't be read", "copy", at.id, "file", f.Path, "error", err)
	return nil
}

// openHeld opens a copy's file. A file that is missing is damage, as any other change.
func (s *Store) openHeld(id dataset.ID, f *dataset.File) (*os.File, error) {
	src, err := os.Open(s.filePath(copiesDir, id, f))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &damagedError{f.Path, err}
	}
	return src, err
}

// damagedError reports that a file of a copy can't be read as it was published.
type damagedError struct {
	path  string
	cause error
}

func (e *damagedError) Error() string { return e.path + ": " + e.cause.Error() }

func (e *damagedError) Unwrap() error { return e.cause }

// errChunkDiffers means that a chunk on disk does not have the hash of its manifest.
var errChunkDiffers = errors.New("a chunk differs from the manifest")

// readVerified fills buf, which has the chunk's length, with a chunk of a file. It returns a
// *damagedError unless the bytes have the hash want.
func readVerified(src *os.File, buf []byte, f *dataset.File, chunk int, want dataset.Hash) error {
	_, err := src.ReadAt(buf, int64(chunk)*dataset.ChunkSize)
	if err == nil && dataset.Sum(buf) != want {
		err = errChunkDiffers
	}
	if err != nil {
		return &damagedError{f.Path, fmt.Errorf("chunk %d: %w", chunk, err)}
	}
	return nil
}

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Copies = len(s.copies)
	st.Placed = s.placements.bytes
	for _, h := range s.copies {
		st.Bytes += h.bytes
	}
	for _, f := range s.fetches {
		st.Partial += f.verifiedBytes
	}
	return st
}

// Close ends all fetches with ErrCancelled and waits for them. The chunks that they
// fetched stay on disk for a later fetch. Copies can still be read.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	var all []*fetching
	for _, f := range s.fetches {
		f.abort(ErrCancelled)
		all = append(all, f)
	}
	s.mu.Unlock()
	for _, f := range all {
		<-f.finished
	}
	s.network.client.CloseIdleConnections()
}
