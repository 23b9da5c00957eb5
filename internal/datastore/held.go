package datastore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvergate/internal/dataset"
)

// heldCopy is a whole copy in the store.
type heldCopy struct {
	manifest *dataset.Manifest
	bytes    int64
	lastUse  uint64
}

// chunkLocation says where a chunk is stored: the copy, the file's index in its manifest
// and the chunk's index in the file.
type chunkLocation struct {
	id    dataset.ID
	file  int
	chunk int
}

// load reads the copies on disk, which were whole when they were renamed into the copies
// folder. It removes copies that can't be used.
func (s *Store) load() error {
	names, err := os.ReadDir(filepath.Join(s.cfg.Dir, copiesDir))
	if err != nil {
		return err
	}
	type old struct {
		id dataset.ID
		h  *heldCopy
		at time.Time
	}
	var found []old
	for _, e := range names {
		id := dataset.ID(e.Name())
		h, err := s.readHeld(id)
		if err != nil {
			s.log.Error("a copy on disk can't be used and is removed", "copy", id, "error", err)
			if err := errors.Join(s.moveToTrash(copiesDir, id), s.emptyTrash()); err != nil {
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
		s.useCounter++
		f.h.lastUse = s.useCounter
		s.addCopy(f.id, f.h)
	}
	return nil
}

// readHeld reads a copy's manifest and checks that its files are there.
func (s *Store) readHeld(id dataset.ID) (*heldCopy, error) {
	if !dataset.ValidID(string(id)) {
		return nil, errors.New("the folder's name is not a copy's ID")
	}
	raw, err := os.ReadFile(s.manifestPath(id))
	if err != nil {
		return nil, err
	}
	if dataset.IDOf(dataset.Sum(raw)) != id {
		return nil, errors.New("the manifest does not match the copy's ID")
	}
	m, err := dataset.Parse(raw)
	if err != nil {
		return nil, err
	}
	if err := s.checkSizes(id, m); err != nil {
		return nil, err
	}
	return &heldCopy{manifest: m, bytes: m.Bytes()}, nil
}

// checkSizes returns an error unless all files of a copy exist and have the sizes of the
// manifest. It doesn't read them: Place verifies what it gives to a task, and Chunk what it
// serves.
func (s *Store) checkSizes(id dataset.ID, m *dataset.Manifest) error {
	for i := range m.Files {
		info, err := os.Stat(s.filePath(copiesDir, id, &m.Files[i]))
		if err != nil {
			return err
		}
		if info.Size() != m.Files[i].Size {
			return fmt.Errorf("%s has %d bytes instead of %d", m.Files[i].Path, info.Size(), m.Files[i].Size)
		}
	}
	return nil
}

// Held returns the IDs of the copies in the store, the most recently used first.
func (s *Store) Held() []dataset.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []dataset.ID
	for id := range s.copies {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b dataset.ID) int {
		if x, y := s.copies[a].lastUse, s.copies[b].lastUse; x != y {
			return int(int64(y) - int64(x))
		}
		return strings.Compare(string(a), string(b))
	})
	return out
}

// Digest returns a digest of the set of copies in the store: stores with the same copies
// have the same digest.
func (s *Store) Digest() string {
	ids := s.Held()
	slices.Sort(ids)
	return DigestOf(ids)
}

// DigestOf returns the digest of a sorted list of copies as 16 hexadecimal digits.
func DigestOf(ids []dataset.ID) string {
	h := xxhash.New()
	for _, id := range ids {
		_, _ = h.WriteString(string(id))
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Progress is the progress of a fetch, in bytes.
type Progress struct {
	ID    dataset.ID
	Done  int64
	Total int64   // 0 until the manifest is there
	Rate  float64 // bytes per second from sources, since the fetch began
}

// Pulls returns the progress of the fetches under way, ordered by ID.
func (s *Store) Pulls() []Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Progress
	for id, f := range s.fetches {
		p := Progress{ID: id, Done: f.verifiedBytes, Total: f.totalBytes}
		if d := time.Since(f.startedAt).Seconds(); d > 0 {
			p.Rate = float64(f.fetchedBytes) / d
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Progress) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
