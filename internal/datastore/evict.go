package datastore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"silvergate/internal/dataset"
)

// trash removes a copy from folder, which is copiesDir or partialDir. It first moves the copy
// into the trash folder by one rename, so that a crash leaves no partly removed copy.
func (s *Store) trash(folder string, id dataset.ID) error {
	trash := filepath.Join(s.cfg.Dir, trashDir)
	if err := os.MkdirAll(trash, 0o700); err != nil {
		return err
	}
	to, err := os.MkdirTemp(trash, "")
	if err != nil {
		return err
	}
	if err := os.Rename(filepath.Join(s.cfg.Dir, folder, string(id)), filepath.Join(to, "x")); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if folder == copiesDir {
		_ = os.Remove(s.manifestPath(id))
	}
	return os.RemoveAll(to)
}

// used returns how many bytes the copies take and the fetches have reserved. The
// caller holds the lock.
func (s *Store) used() (n int64) {
	for _, h := range s.copies {
		n += h.bytes
	}
	for _, f := range s.fetches {
		n += f.reservedBytes
	}
	return n
}

// makeRoom evicts the least recently used unpinned copies until there is room for more
// bytes. If that isn't possible, it returns an error that wraps ErrFull. The caller
// holds the lock.
func (s *Store) makeRoom(more int64) error {
	for s.used()+more > s.cfg.Capacity {
		var oldest dataset.ID
		for id, h := range s.copies {
			if s.pins[id] == 0 && (oldest == "" || h.lastUse < s.copies[oldest].lastUse) {
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

// evict removes a copy. The caller holds the lock.
func (s *Store) evict(id dataset.ID) error {
	s.removeCopy(id)
	s.stats.Evicted++
	s.emit(Event{Kind: "evict", ID: id})
	return s.trash(copiesDir, id)
}

// Has reports whether the store has the whole copy.
func (s *Store) Has(id dataset.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[id] != nil
}

// Pin protects a copy and the fetch of it from being removed until Unpin was called as
// often as Pin. The store need not have the copy yet.
func (s *Store) Pin(id dataset.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins[id]++
}

// Unpin undoes one call of Pin.
func (s *Store) Unpin(id dataset.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins[id]--; s.pins[id] <= 0 {
		delete(s.pins, id)
	}
}

// Drop removes a copy and ends the fetch of it, unless the copy is pinned. It reports
// whether the copy was not pinned.
func (s *Store) Drop(id dataset.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins[id] > 0 {
		return false
	}
	if f := s.fetches[id]; f != nil {
		f.abort(ErrCancelled)
	}
	if s.copies[id] != nil {
		s.emit(Event{Kind: "drop", ID: id})
		if err := s.evict(id); err != nil {
			s.log.Error("a dropped copy can't be removed from the disk", "copy", id, "error", err)
		}
	}
	return true
}
