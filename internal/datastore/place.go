package datastore

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"silvergate/internal/dataset"
)

// PlaceRequest says which copy a task gets, and where.
type PlaceRequest struct {
	ID dataset.ID
	// Dir is the folder for the files. It must not exist.
	Dir string
	// Owner names the task whose files these are.
	Owner string
	// Urgent placements make all others wait until they are done.
	Urgent bool
	// RoomTimeout is how long to wait for other tasks' files to be removed if there is no room.
	RoomTimeout time.Duration
}

// Place puts a copy's files into a folder, which it creates. The files are the task's own:
// neither the store nor another task shares them, so what a task writes to its inputs reaches
// nobody else. They are cloned where the file system can, and copied elsewhere. Each chunk is
// verified on its way, after it is out of everybody's reach. The bytes that are copied count as
// placed until RemovePlacement.
//
// If the store does not have the copy, the error wraps ErrNotHeld, and so it does if the copy
// has changed on disk; the store then removes the copy. If the disk is full, or tasks' files
// would take more than Config.PlacedCapacity for longer than RoomTimeout, it wraps ErrFull. If ctx ends before all files
// are there, it is ctx's error. After an error the folder does not exist, but its
// parents may.
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
		s.placements.urgent.begin()
		defer s.placements.urgent.end()
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

// placeFiles records a placement, and creates its folder with its files. After an error it
// removes them again.
func (s *Store) placeFiles(ctx context.Context, r PlaceRequest, held *heldCopy) (err error) {
	if exists(r.Dir) {
		return &fs.PathError{Op: "place", Path: r.Dir, Err: fs.ErrExist}
	}
	placement, err := s.recordPlacement(r, held)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, s.abandonPlacement(placement))
		}
	}()
	if err := os.MkdirAll(r.Dir, 0o700); err != nil {
		return err
	}
	p := placer{store: s, ctx: ctx, request: r, buf: make([]byte, dataset.ChunkSize)}
	if err := p.place(placement, held.manifest.Files); err != nil {
		return err
	}
	s.finishPlacement(placement)
	return nil
}

// placer writes the files of one placement.
type placer struct {
	store   *Store
	ctx     context.Context
	request PlaceRequest
	buf     []byte // of the size of a chunk
}

// place creates all files, reserves room for those that could not be cloned, and fills and
// verifies them.
func (p *placer) place(placement *Placement, files []dataset.File) error {
	cloned := make([]bool, len(files))
	bytes := int64(0)
	for i := range files {
		var err error
		if cloned[i], err = p.createFile(&files[i]); err != nil {
			return err
		}
		if !cloned[i] {
			bytes += files[i].Size
		}
	}
	if err := p.store.awaitPlacedRoom(p.ctx, placement, bytes, p.request.RoomTimeout); err != nil {
		return err
	}
	for i := range files {
		if err := p.fillFile(&files[i], cloned[i]); err != nil {
			return err
		}
	}
	return nil
}

// targetPath returns the path of the task's own file.
func (p *placer) targetPath(f *dataset.File) string {
	return filepath.Join(p.request.Dir, filepath.FromSlash(f.Path))
}

// createFile creates the task's own file, as a clone if the file system can. It reports whether
// it is a clone; if not, the file is empty.
func (p *placer) createFile(f *dataset.File) (cloned bool, err error) {
	to := p.targetPath(f)
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return false, err
	}
	src, err := p.store.openHeld(p.request.ID, f)
	if err != nil {
		return false, err
	}
	defer src.Close()
	dst, err := os.OpenFile(to, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode(f))
	if err != nil {
		return false, err
	}
	cloned = p.store.disk.Clone(dst, src) == nil
	return cloned, dst.Close()
}

// fillFile verifies the task's own file if it is a clone, and else verifies the store's file and
// copies it chunk by chunk. Either way, what was verified can't change before the task has it.
func (p *placer) fillFile(f *dataset.File, cloned bool) error {
	dst, err := os.OpenFile(p.targetPath(f), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if cloned {
		return errors.Join(p.copyChunks(nil, dst, f), dst.Close())
	}
	src, err := p.store.openHeld(p.request.ID, f)
	if err != nil {
		return errors.Join(err, dst.Close())
	}
	defer src.Close()
	return errors.Join(p.copyChunks(dst, src, f), dst.Close())
}

// copyChunks verifies the chunks of src and copies them to dst, if that isn't nil.
func (p *placer) copyChunks(dst, src *os.File, f *dataset.File) error {
	info, err := src.Stat()
	if err != nil {
		return err
	}
	if info.Size() != f.Size {
		return &damagedError{f.Path, fmt.Errorf("it has %d bytes instead of %d", info.Size(), f.Size)}
	}
	for k, want := range f.Chunks {
		if err := p.waitForUrgent(); err != nil {
			return err
		}
		chunk := p.buf[:chunkLen(f, k)]
		if err := readVerified(src, chunk, f, k, want); err != nil {
			return err
		}
		if dst == nil {
			continue
		}
		if err := p.store.writeAt(dst, chunk, int64(k)*dataset.ChunkSize); err != nil {
			return err
		}
	}
	return nil
}

// waitForUrgent waits until the placement may go on: one that is not urgent waits for all urgent
// ones. It returns an error if the placement was cancelled.
func (p *placer) waitForUrgent() error {
	if p.request.Urgent {
		return p.ctx.Err()
	}
	select {
	case <-p.ctx.Done():
		return p.ctx.Err()
	case <-p.store.placements.urgent.none():
		return p.ctx.Err()
	}
}

// discard removes a copy that has changed on disk, unless another caller has already removed
// it, and returns an error that wraps ErrNotHeld.
func (s *Store) discard(id dataset.ID, held *heldCopy, cause error) error {
	err := fmt.Errorf("%w: it has changed on disk: %w", ErrNotHeld, cause)
	s.mu.Lock()
	if s.copies[id] == held {
		s.log.Error("a copy has changed on disk and is removed", "copy", id, "error", cause)
		err = errors.Join(err, s.evict(id))
	}
	s.mu.Unlock()
	return errors.Join(err, s.emptyTrash())
}
