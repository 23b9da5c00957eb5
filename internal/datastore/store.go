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
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
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

type held struct {
	m     *dataset.Manifest
	bytes int64
	used  uint64
	times []time.Time // of the files, when they were verified
}

// place is where a chunk lies.
type place struct {
	id    dataset.ID
	file  int
	chunk int
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

// load takes up what is on disk: copies were whole when they got their names.
func (s *Store) load() error {
	names, err := os.ReadDir(filepath.Join(s.cfg.Dir, copiesDir))
	if err != nil {
		return err
	}
	type old struct {
		id dataset.ID
		h  *held
		at time.Time
	}
	var found []old
	for _, e := range names {
		id := dataset.ID(e.Name())
		h, err := s.readHeld(id)
		if err != nil {
			s.log.Error("a copy can't be used and is thrown away", "copy", id, "err", err)
			if err := s.trash(copiesDir, id); err != nil {
				return err
			}
			continue
		}
		at := time.Time{}
		if info, err := e.Info(); err == nil {
			at = info.ModTime()
		}
		found = append(found, old{id, h, at})
	}
	slices.SortFunc(found, func(a, b old) int { return a.at.Compare(b.at) })
	for _, f := range found {
		s.uses++
		f.h.used = s.uses
		s.enter(f.id, f.h)
	}
	return nil
}

func (s *Store) readHeld(id dataset.ID) (*held, error) {
	if !dataset.ValidID(string(id)) {
		return nil, errors.New("not a copy's name")
	}
	raw, err := os.ReadFile(s.manifestPath(id))
	if err != nil {
		return nil, err
	}
	if dataset.IDOf(dataset.Sum(raw)) != id {
		return nil, errors.New("its manifest is damaged")
	}
	m, err := dataset.Parse(raw)
	if err != nil {
		return nil, err
	}
	h := &held{m: m, bytes: m.Bytes()}
	h.times, err = s.times(copiesDir, id, m)
	return h, err
}

// times are the files' times of change, and proves that all are there with
// their sizes.
func (s *Store) times(where string, id dataset.ID, m *dataset.Manifest) ([]time.Time, error) {
	var out []time.Time
	for i := range m.Files {
		info, err := os.Stat(s.file(where, id, &m.Files[i]))
		if err != nil {
			return nil, err
		}
		if info.Size() != m.Files[i].Size {
			return nil, fmt.Errorf("%s has %d bytes instead of %d", m.Files[i].Path, info.Size(), m.Files[i].Size)
		}
		out = append(out, info.ModTime())
	}
	return out, nil
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

// trash takes a folder out of sight in one step and then removes it.
func (s *Store) trash(where string, id dataset.ID) error {
	trash := filepath.Join(s.cfg.Dir, trashDir)
	if err := os.MkdirAll(trash, 0o700); err != nil {
		return err
	}
	to, err := os.MkdirTemp(trash, "")
	if err != nil {
		return err
	}
	if err := os.Rename(filepath.Join(s.cfg.Dir, where, string(id)), filepath.Join(to, "x")); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if where == copiesDir {
		_ = os.Remove(s.manifestPath(id))
	}
	return os.RemoveAll(to)
}

// used is what copies and fetches take; the lock is held.
func (s *Store) used() (n int64) {
	for _, h := range s.copies {
		n += h.bytes
	}
	for _, f := range s.pulls {
		n += f.reserved
	}
	return n
}

// room makes room for more bytes; the lock is held.
func (s *Store) room(more int64) error {
	for s.used()+more > s.cfg.Capacity {
		var oldest dataset.ID
		for id, h := range s.copies {
			if s.pins[id] == 0 && (oldest == "" || h.used < s.copies[oldest].used) {
				oldest = id
			}
		}
		if oldest == "" {
			s.stats.Refused++
			return fmt.Errorf("%w: %d bytes wanted, %d of %d taken", ErrFull, more, s.used(), s.cfg.Capacity)
		}
		if err := s.evict(oldest); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) evict(id dataset.ID) error {
	s.leave(id)
	s.stats.Evicted++
	s.tell(Event{Kind: "evict", ID: id})
	return s.trash(copiesDir, id)
}

// Here tells whether a copy is whole here.
func (s *Store) Here(id dataset.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[id] != nil
}

// Pin keeps a copy, and what is fetched of it, until as many Unpin calls.
func (s *Store) Pin(id dataset.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins[id]++
}

// Unpin undoes a Pin.
func (s *Store) Unpin(id dataset.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins[id]--; s.pins[id] <= 0 {
		delete(s.pins, id)
	}
}

// Drop removes a copy that no task uses, and ends a fetch that no task waits
// for. It returns false if it is in use.
func (s *Store) Drop(id dataset.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins[id] > 0 {
		return false
	}
	if f := s.pulls[id]; f != nil {
		f.end(ErrDropped)
	}
	if s.copies[id] != nil {
		s.tell(Event{Kind: "drop", ID: id})
		if err := s.evict(id); err != nil {
			s.log.Error("a copy can't be removed", "copy", id, "err", err)
		}
	}
	return true
}

// Held lists the copies that are here, in the order of their use, the latest
// first.
func (s *Store) Held() []dataset.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []dataset.ID
	for id := range s.copies {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b dataset.ID) int {
		if x, y := s.copies[a].used, s.copies[b].used; x != y {
			return int(int64(y) - int64(x))
		}
		return strings.Compare(string(a), string(b))
	})
	return out
}

// Digest is the same for two stores that hold the same copies.
func (s *Store) Digest() string {
	ids := s.Held()
	slices.Sort(ids)
	return DigestOf(ids)
}

// DigestOf is the digest of a sorted list of copies.
func DigestOf(ids []dataset.ID) string {
	h := xxhash.New()
	for _, id := range ids {
		_, _ = h.WriteString(string(id))
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Progress is how far a fetch is.
type Progress struct {
	ID    dataset.ID
	Done  int64
	Total int64 // 0 while the manifest is not here
	Rate  float64
}

// Pulls lists the fetches that are under way.
func (s *Store) Pulls() []Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Progress
	for id, f := range s.pulls {
		p := Progress{ID: id, Done: f.done, Total: f.total}
		if d := time.Since(f.began).Seconds(); d > 0 {
			p.Rate = float64(f.got) / d
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Progress) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Place puts a copy's files into a folder, which must not exist. Files are
// cloned where the file system can, so that a task that writes to its inputs
// changes its own; elsewhere they are linked, and a copy whose files were written
// to is noticed before its next use and thrown away.
func (s *Store) Place(id dataset.ID, dir string) error {
	s.mu.Lock()
	h := s.copies[id]
	if h == nil {
		s.mu.Unlock()
		return ErrNotHere
	}
	s.uses++
	h.used = s.uses
	s.pins[id]++
	s.mu.Unlock()
	defer s.Unpin(id)
	now := time.Now()
	_ = os.Chtimes(filepath.Join(s.cfg.Dir, copiesDir, string(id)), now, now)
	times, err := s.times(copiesDir, id, h.m)
	if err == nil && !slices.EqualFunc(times, h.times, time.Time.Equal) {
		err = errors.New("its files were written to")
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.log.Error("a copy is not what it was and is thrown away", "copy", id, "err", err)
		return errors.Join(ErrNotHere, s.evict(id))
	}
	if err := os.MkdirAll(filepath.Dir(dir), 0o700); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	for i := range h.m.Files {
		f := &h.m.Files[i]
		to := filepath.Join(dir, filepath.FromSlash(f.Path))
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return err
		}
		if err := cloneOrLink(s.file(copiesDir, id, f), to); err != nil {
			return err
		}
	}
	return nil
}

func cloneOrLink(from, to string) error {
	src, err := os.Open(from)
	if err != nil {
		return err
	}
	defer src.Close()
	info, err := src.Stat()
	if err != nil {
		return err
	}
	dst, err := os.OpenFile(to, os.O_CREATE|os.O_EXCL|os.O_WRONLY, info.Mode().Perm()|0o200)
	if err != nil {
		return err
	}
	err = unix.IoctlFileClone(int(dst.Fd()), int(src.Fd()))
	if err == nil {
		return dst.Close()
	}
	if err := errors.Join(dst.Close(), os.Remove(to)); err != nil {
		return err
	}
	return os.Link(from, to)
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

// disk is what can find the disk full: every write of a store goes through it.
type disk interface {
	// WriteAt writes a part of a copy.
	WriteAt(f *os.File, b []byte, off int64) error
	// Replace writes a small file whole or not at all, durably.
	Replace(path string, b []byte) error
	// Sync makes all that was written in a folder's file system durable, which is
	// when some file systems first find out that they are full.
	Sync(dir *os.File) error
}

type osDisk struct{}

func (osDisk) WriteAt(f *os.File, b []byte, off int64) error {
	_, err := f.WriteAt(b, off)
	return err
}
func (osDisk) Replace(path string, b []byte) error { return renameio.WriteFile(path, b, 0o600) }
func (osDisk) Sync(dir *os.File) error             { return unix.Syncfs(int(dir.Fd())) }

// full tells whether an error means that the disk is full.
func full(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
