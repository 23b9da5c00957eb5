package datastore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"silvergate/internal/dataset"
)

// Place puts a copy's files into a folder, which must not exist and which Place creates. The
// files are the task's own: neither the store nor another task shares them, so what a task
// writes to its inputs reaches nobody else. They are cloned where the file system can, and
// copied elsewhere. Each chunk is verified on its way, after it is out of everybody's reach.
//
// If the store does not have the copy, the error wraps ErrNotHeld, and so it does if the copy
// has changed on disk; the store then removes the copy. If the disk is full, it wraps ErrFull.
// The folder belongs to the caller, who also removes it after an error.
func (s *Store) Place(id dataset.ID, dir string) error {
	s.mu.Lock()
	held := s.copies[id]
	if held == nil {
		s.mu.Unlock()
		return ErrNotHeld
	}
	s.useCounter++
	held.lastUse = s.useCounter
	s.pins[id]++
	s.mu.Unlock()
	defer s.Unpin(id)
	now := time.Now()
	_ = os.Chtimes(filepath.Join(s.cfg.Dir, copiesDir, string(id)), now, now)
	if err := os.MkdirAll(filepath.Dir(dir), 0o700); err != nil {
		return s.wrapDiskFull(err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		return s.wrapDiskFull(err)
	}
	buf := make([]byte, dataset.ChunkSize)
	for i := range held.manifest.Files {
		f := &held.manifest.Files[i]
		err := s.placeFile(s.filePath(copiesDir, id, f), filepath.Join(dir, filepath.FromSlash(f.Path)), f, buf)
		var damaged *damagedError
		if errors.As(err, &damaged) {
			return s.discard(id, held, err)
		}
		if err != nil {
			return s.wrapDiskFull(err)
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

// placeFile gives a task its own file at path to, with the contents of the file at path from.
// buf has room for a chunk.
func (s *Store) placeFile(from, to string, f *dataset.File, buf []byte) error {
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return err
	}
	src, err := os.Open(from)
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
	err = s.fillFile(dst, src, f, buf)
	return errors.Join(err, dst.Close())
}

// fillFile clones src to dst and verifies the clone, or else verifies and copies src chunk by
// chunk. Either way the bytes that are verified can't change any more before the task has them.
func (s *Store) fillFile(dst, src *os.File, f *dataset.File, buf []byte) error {
	cloned := s.disk.Clone(dst, src) == nil
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
		chunk := buf[:chunkLen(f, k)]
		offset := int64(k) * dataset.ChunkSize
		if err := readVerified(src, chunk, offset, want); err != nil {
			return &damagedError{f.Path, fmt.Errorf("chunk %d: %w", k, err)}
		}
		if cloned {
			continue
		}
		if err := s.writeAt(dst, chunk, offset); err != nil {
			return err
		}
	}
	return nil
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
