package datastore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Placement is a folder with a task's own files of a copy.
type Placement struct {
	// Owner names the task.
	Owner string
	dir   string
	bytes int64 // reserved for files that are not clones
	// finished is false while Place still works on the files.
	finished bool
}

// placementTable holds the placements of a store. The store's lock guards byDir and bytes.
type placementTable struct {
	byDir map[string]*Placement
	bytes int64 // that the placements take
	// released is closed, and replaced, when a placement is removed.
	released chan struct{}
	// urgent counts the placements under way that make all others wait.
	urgent *activityGate
	// removals makes RemovePlacement remove the files of one placement at a time.
	removals sync.Mutex
}

func newPlacementTable() placementTable {
	return placementTable{byDir: map[string]*Placement{}, released: make(chan struct{}), urgent: newActivityGate()}
}

// placementRecord is a placement on disk. It is written before the first file, so that a store
// that is opened after a crash knows of all files that it has placed.
type placementRecord struct {
	Owner string   `json:"owner"`
	Dir   string   `json:"dir"`
	Bytes int64    `json:"bytes"`
	Files []string `json:"files"` // slash-separated paths in the folder
}

// placementPath returns the path of a placement's record. A folder has one placement at most.
func (s *Store) placementPath(dir string) string {
	return filepath.Join(s.cfg.Dir, placementDir, fmt.Sprintf("%016x.json", xxhash.Sum64String(dir)))
}

// recordPlacement records a placement that is about to be made.
func (s *Store) recordPlacement(r PlaceRequest, held *heldCopy) (*Placement, error) {
	record := placementRecord{Owner: r.Owner, Dir: r.Dir, Bytes: held.bytes}
	for i := range held.manifest.Files {
		record.Files = append(record.Files, held.manifest.Files[i].Path)
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	if err := s.disk.Replace(s.placementPath(r.Dir), raw); err != nil {
		return nil, err
	}
	p := &Placement{Owner: r.Owner, dir: r.Dir}
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier := s.placements.byDir[r.Dir]; earlier != nil { // of a folder that is gone
		s.placements.bytes -= earlier.bytes
	}
	s.placements.byDir[r.Dir] = p
	return p, nil
}

// awaitPlacedRoom reserves room for the files of a placement that must be copied. If there is
// none, it waits for at most timeout until other placements are removed.
func (s *Store) awaitPlacedRoom(ctx context.Context, p *Placement, bytes int64, timeout time.Duration) error {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	for {
		released, err := s.reservePlaced(p, bytes)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-released:
		case <-expired.C:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stats.Refused++
			return err
		}
	}
}

// reservePlaced reserves room for the files of a placement that must be copied. If there is
// none, it returns an error that wraps ErrFull, and a channel that is closed when some is
// released.
func (s *Store) reservePlaced(p *Placement, bytes int64) (released <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placements.bytes+bytes > s.cfg.PlacedCapacity {
		return s.placements.released, fmt.Errorf("%w: %d bytes wanted for a task's own files, %d of %d taken",
			ErrFull, bytes, s.placements.bytes, s.cfg.PlacedCapacity)
	}
	p.bytes = bytes
	s.placements.bytes += bytes
	return nil, nil
}

// finishPlacement records that all files of a placement are written.
func (s *Store) finishPlacement(p *Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.finished = true
	s.stats.Copied += p.bytes
}

// abandonPlacement removes the folder of a placement that failed. If that fails, too, the
// placement stays on record, to be removed as that of a task that is over.
func (s *Store) abandonPlacement(p *Placement) error {
	err := s.disk.RemoveAll(p.dir)
	if err == nil {
		return s.forgetPlacement(p)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.finished = true
	return err
}

// forgetPlacement removes the record of a placement whose files are gone, and releases its room.
func (s *Store) forgetPlacement(p *Placement) error {
	if err := os.Remove(s.placementPath(p.dir)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placements.byDir[p.dir] == p {
		delete(s.placements.byDir, p.dir)
		s.placements.bytes -= p.bytes
		close(s.placements.released)
		s.placements.released = make(chan struct{})
	}
	return nil
}

// loadPlacements reads the records of the placements that an earlier store left. Their files
// may be incomplete.
func (s *Store) loadPlacements() error {
	entries, err := os.ReadDir(filepath.Join(s.cfg.Dir, placementDir))
	if err != nil {
		return err
	}
	for _, e := range entries {
		record, err := s.readPlacement(e.Name())
		if err != nil {
			s.log.Error("the record of a task's files is skipped; their room is not counted", "error", err)
			continue
		}
		s.placements.byDir[record.Dir] = &Placement{Owner: record.Owner, dir: record.Dir, bytes: record.Bytes, finished: true}
		s.placements.bytes += record.Bytes
	}
	return nil
}

// readPlacement reads a placement's record and checks it.
func (s *Store) readPlacement(name string) (record placementRecord, err error) {
	file := filepath.Join(s.cfg.Dir, placementDir, name)
	raw, err := os.ReadFile(file)
	if err != nil {
		return record, err
	}
	if err := json.Unmarshal(raw, &record); err != nil {
		return record, fmt.Errorf("%s: %w", file, err)
	}
	switch {
	case !filepath.IsAbs(record.Dir) || s.placementPath(record.Dir) != file:
		return record, fmt.Errorf("%s: dir: not the folder that the record is named after", file)
	case record.Bytes < 0:
		return record, fmt.Errorf("%s: bytes: negative", file)
	}
	return record, nil
}

// Placements returns the folders that hold files of tasks, those left by a crash included, but
// not those that Place still works on.
func (s *Store) Placements() (out []*Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.placements.byDir {
		if p.finished {
			out = append(out, p)
		}
	}
	return out
}

// RemovePlacement removes the copy's files from a task's folder, and the folder if nothing else
// is in it. What the task has added stays. The task must be over. It does nothing if the
// placement was removed before.
func (s *Store) RemovePlacement(p *Placement) error {
	s.placements.removals.Lock()
	defer s.placements.removals.Unlock()
	s.mu.Lock()
	current := s.placements.byDir[p.dir] == p
	s.mu.Unlock()
	if !current {
		return nil
	}
	record, err := s.readPlacement(filepath.Base(s.placementPath(p.dir)))
	if err != nil {
		return err
	}
	if err := removeFiles(record.Dir, record.Files); err != nil {
		return err
	}
	return s.forgetPlacement(p)
}

// removeFiles removes regular files from a folder, and the folders that are empty then. It
// follows no link that leads out of the folder: a task may have put one there.
func removeFiles(dir string, files []string) error {
	if info, err := os.Lstat(dir); err != nil || !info.IsDir() {
		if err == nil || errors.Is(err, fs.ErrNotExist) {
			return nil // the task has moved it away
		}
		return err
	}
	root, err := os.OpenRoot(dir)
	if err != nil {
		return err
	}
	defer root.Close()
	folders := map[string]bool{}
	for _, name := range files {
		for folder := path.Dir(name); folder != "."; folder = path.Dir(folder) {
			folders[folder] = true
		}
		info, err := root.Lstat(name)
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		if err := root.Remove(name); err != nil {
			return err
		}
	}
	for _, folder := range slices.Backward(slices.Sorted(maps.Keys(folders))) { // a folder sorts after its parent
		_ = root.Remove(folder) // fails if something is in it
	}
	_ = os.Remove(dir)
	return nil
}
