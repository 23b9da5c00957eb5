package datastore

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"silvergate/internal/dataset"
)

// blockUnit is the unit in bytes of a file's block count.
const blockUnit = 512

// diskUse returns the disk space that a file takes, in bytes; 0 if it can't be read. Files of
// partial copies have their full length from the beginning, so their length says nothing.
func diskUse(path string) int64 {
	info, err := os.Lstat(path)
	if err != nil {
		return 0
	}
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Blocks * blockUnit
	}
	return info.Size()
}

// partialBytes returns the disk space that a partial copy takes.
func (s *Store) partialBytes(id dataset.ID) (n int64) {
	_ = filepath.WalkDir(filepath.Join(s.cfg.Dir, partialDir, string(id)), func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			n += diskUse(path)
		}
		return nil
	})
	return n
}

// loadPartials counts the partial copies on disk. Later fetches complete them, or they are
// removed when the store needs the room.
func (s *Store) loadPartials() error {
	entries, err := os.ReadDir(filepath.Join(s.cfg.Dir, partialDir))
	if err != nil {
		return err
	}
	for _, e := range entries {
		if id := dataset.ID(e.Name()); dataset.ValidID(e.Name()) {
			s.idlePartials[id] = s.partialBytes(id)
		}
	}
	return nil
}

// keepPartial counts what a fetch that failed or was cancelled leaves on disk.
func (s *Store) keepPartial(f *fetching) {
	n := s.partialBytes(f.want.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.reservedBytes = 0
	if n > 0 {
		s.idlePartials[f.want.ID] = n
	}
}

// evictPartial removes a partial copy that no fetch is completing, and reports whether there was
// one. The caller holds the lock, and calls emptyTrash once it has released it.
func (s *Store) evictPartial() (bool, error) {
	for id := range s.idlePartials {
		delete(s.idlePartials, id)
		return true, s.moveToTrash(partialDir, id)
	}
	return false, nil
}
