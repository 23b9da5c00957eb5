package datastore

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"silvergate/internal/dataset"
)

// PlaceRequest says which copy a task gets, and where.
type PlaceRequest struct {
	ID dataset.ID
	// Dir is the folder for the files. It must not exist.
	Dir string
	// Urgent placements make all others wait until they are done.
	Urgent bool
}

// Place puts a copy's files into a folder, which it creates. The files are the task's own:
// neither the store nor another task shares them, so what a task writes to its inputs reaches
// nobody else. They are cloned where the file system can, and copied elsewhere. Each chunk is
// verified on its way, after it is out of everybody's reach.
//
// If the store does not have the copy, the error wraps ErrNotHeld, and so it does if the copy
// has changed on disk; the store then removes the copy. If the disk is full, it wraps ErrFull.
// If ctx ends before all files are there, it is ctx's error. After an error the folder does
// not exist.
func (s *Store) Place(ctx context.Context, r PlaceRequest) error {
	s.mu.Lock()
	held := s.copies[r.ID]
	if held == nil {
		s.mu.Unlock()
		return ErrNotHeld
	}
	s.useCounter++
	held.lastUse = s.useCounter
	s.pins[r.ID]++
	s.mu.Unlock()
	defer s.Unpin(r.ID)
	if r.Urgent {
		s.urgentPlacements.begin()
		defer s.urgentPlacements.end()
	}
	s.emit(Event{Kind: "place", ID: r.ID, Urgent: r.Urgent})
	now := time.Now()
	_ = os.Chtimes(filepath.Join(s.cfg.Dir, copiesDir, string(r.ID)), now, now)
	err := s.placeFiles(ctx, r, held)
	s.countPlacement(held, time.Since(now), err)
	var damaged *damagedError
	switch {
	case errors.As(err, &damaged):
		return s.discard(r.ID, held, err)
	case err != nil:
		return s.wrapDiskFull(err)
	}
	s.emit(Event{Kind: "placed", ID: r.ID, Urgent: r.Urgent})
	return nil
}

// countPlacement counts a placement that took some time, and logs it.
func (s *Store) countPlacement(held *heldCopy, took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.PlaceTime += took
	if err != nil {
		return
	}
	s.stats.Placements++
	s.log.Debug("a task has got its copy", "set", held.manifest.Set, "version", held.manifest.Version, "bytes", held.bytes, "ms", took.Milliseconds())
}

// placeFiles creates the folder of a placement with its files, and removes it after an error.
func (s *Store) placeFiles(ctx context.Context, r PlaceRequest, held *heldCopy) (err error) {
	if err := os.MkdirAll(filepath.Dir(r.Dir), 0o700); err != nil {
		return err
	}
	if err := os.Mkdir(r.Dir, 0o700); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.RemoveAll(r.Dir))
		}
	}()
	p := placer{store: s, ctx: ctx, request: r, buf: make([]byte, dataset.ChunkSize)}
	for i := range held.manifest.Files {
		if err := p.placeFile(&held.manifest.Files[i]); err != nil {
			return err
		}
	}
	return nil
}

// damagedError reports that a file of a copy can't be read as it was published.
type damagedError struct {
	path  string
	cause error
}

func (e *damagedError) Error() string { return e.path + ": " + e.cause.Error() }

func (e *damagedError) Unwrap() error { return e.cause }

// placer writes the files of one placement.
type placer struct {
	store   *Store
	ctx     context.Context
	request PlaceRequest
	buf     []byte // of the size of a chunk
}

// placeFile gives the task its own file.
func (p *placer) placeFile(f *dataset.File) error {
	to := filepath.Join(p.request.Dir, filepath.FromSlash(f.Path))
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return err
	}
	src, err := os.Open(p.store.filePath(copiesDir, p.request.ID, f))
	if errors.Is(err, fs.ErrNotExist) {
		return &damagedError{f.Path, err}
	}
	if err != nil {
		return err
	}
	defer src.Close()
	dst, err := os.OpenFile(to, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode(f))
	if err != nil {
		return err
	}
	err = p.fillFile(dst, src, f)
	return errors.Join(err, dst.Close())
}

// fillFile clones src to dst and verifies the clone, or else verifies and copies src chunk by
// chunk. Either way the bytes that are verified can't change any more before the task has them.
func (p *placer) fillFile(dst, src *os.File, f *dataset.File) error {
	cloned := p.store.disk.Clone(dst, src) == nil
	if cloned {
		src = dst
	}
	info, err := src.Stat()
	if err != nil {
		return err
	}
	if info.Size() != f.Size {
		return &damagedError{f.Path, fmt.Errorf("it has %d bytes instead of %d", info.Size(), f.Size)}
	}
	for k, want := range f.Chunks {
		if err := p.awaitTurn(); err != nil {
			return err
		}
		chunk := p.buf[:chunkLen(f, k)]
		offset := int64(k) * dataset.ChunkSize
		if err := readVerified(src, chunk, offset, want); err != nil {
			return &damagedError{f.Path, fmt.Errorf("chunk %d: %w", k, err)}
		}
		if cloned {
			continue
		}
		if err := p.store.writeAt(dst, chunk, offset); err != nil {
			return err
		}
	}
	return nil
}

// awaitTurn waits until the placement may go on: one that is not urgent waits for all urgent
// ones. It returns an error if the placement was cancelled.
func (p *placer) awaitTurn() error {
	if p.request.Urgent {
		return p.ctx.Err()
	}
	select {
	case <-p.ctx.Done():
		return p.ctx.Err()
	case <-p.store.urgentPlacements.none():
		return p.ctx.Err()
	}
}

// activityGate lets others wait until no activity is under way. It is safe for concurrent use.
type activityGate struct {
	mu     sync.Mutex
	active int
	idle   chan struct{} // closed while no activity is under way
}

func newActivityGate() *activityGate {
	g := &activityGate{idle: make(chan struct{})}
	close(g.idle)
	return g
}

// begin records that an activity begins; end must be called when it is over.
func (g *activityGate) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active++; g.active == 1 {
		g.idle = make(chan struct{})
	}
}

// end records that an activity is over.
func (g *activityGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active--; g.active == 0 {
		close(g.idle)
	}
}

// none returns a channel that is closed once no activity is under way.
func (g *activityGate) none() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// discard removes a copy that has changed on disk, unless another caller has already removed
// it, and returns an error that wraps ErrNotHeld.
func (s *Store) discard(id dataset.ID, held *heldCopy, cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := fmt.Errorf("%w: it has changed on disk: %w", ErrNotHeld, cause)
	if s.copies[id] != held {
		return err
	}
	s.log.Error("a copy has changed on disk and is removed", "copy", id, "error", cause)
	return errors.Join(err, s.evict(id))
}
