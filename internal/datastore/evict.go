package datastore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"silvergate/internal/dataset"
)

// trash is the store's folder of copies that are being removed. A copy is moved there by one
// rename, so that a crash leaves no partly removed copy. Its files are removed later, without
// the store's lock, as that takes seconds for some GB and heartbeats wait for the lock.
type trash struct {
	mu      sync.Mutex // held while folders are removed
	folders []string   // the store's lock guards it
}

// moveToTrash moves a copy from folder, which is copiesDir or partialDir, into the trash. The
// caller holds the lock, or is Open, and calls emptyTrash once it has released the lock.
func (s *Store) moveToTrash(folder string, id dataset.ID) error {
	parent := filepath.Join(s.cfg.Dir, trashDir)
	if err := os.MkdirAll(parent, 0o700); err != nil {
		return err
	}
	to, err := os.MkdirTemp(parent, "")
	if err != nil {
		return err
	}
	s.trash.folders = append(s.trash.folders, to)
	if err := os.Rename(filepath.Join(s.cfg.Dir, folder, string(id)), filepath.Join(to, "x")); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if folder == copiesDir {
		_ = os.Remove(s.manifestPath(id))
	}
	return nil
}

// emptyTrash removes the files of all copies that were moved into the trash before the call.
// The caller must not hold the lock.
func (s *Store) emptyTrash() error {
	s.trash.mu.Lock()
	defer s.trash.mu.Unlock()
	s.mu.Lock()
	folders := s.trash.folders
	s.trash.folders = nil
	s.mu.Unlock()
	var err error
	for _, folder := range folders {
		err = errors.Join(err, s.disk.RemoveAll(folder))
	}
	return err
}

// used returns how many bytes the copies and the idle partial copies take and the fetches
// have reserved. The caller holds the lock.
func (s *Store) used() (n int64) {
	for _, h := range s.copies {
		n += h.bytes
	}
	for _, f := range s.fetches {
		n += f.reservedBytes
	}
	for _, bytes := range s.idlePartials {
		n += bytes
	}
	return n
}

// makeRoom removes partial copies that no fetch is completing, and then evicts the least
// recently used unpinned copies, until there is room for more bytes. If that isn't possible,
// it returns an error that wraps ErrFull. The caller holds the lock, and calls emptyTrash once
// it has released it.
func (s *Store) makeRoom(more int64) error {
	for s.used()+more > s.cfg.Capacity {
		removed, err := s.evictPartial()
		if err != nil {
			return err
		}
		if removed {
			continue
		}
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

// evict removes a copy from the store. The caller holds the lock, and calls emptyTrash once it
// has released it.
func (s *Store) evict(id dataset.ID) error {
	s.removeCopy(id)
	s.stats.Evicted++
	s.emit(Event{Kind: "evict", ID: id})
	return s.moveToTrash(copiesDir, id)
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
	if s.pins[id] > 0 {
		s.mu.Unlock()
		return false
	}
	if f := s.fetches[id]; f != nil {
		f.abort(ErrCancelled)
	}
	var err error
	if s.copies[id] != nil {
		s.emit(Event{Kind: "drop", ID: id})
		err = s.evict(id)
	}
	s.mu.Unlock()
	if err := errors.Join(err, s.emptyTrash()); err != nil {
		s.log.Error("a dropped copy can't be removed from the disk", "copy", id, "error", err)
	}
	return true
}
