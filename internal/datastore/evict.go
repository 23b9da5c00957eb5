package datastore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"silvergate/internal/dataset"
)

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
