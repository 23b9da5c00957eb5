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
	"golang.org/x/sys/unix"

	"silvergate/internal/dataset"
)

// heldCopy is a whole copy in the store.
type heldCopy struct {
	manifest     *dataset.Manifest
	bytes        int64
	lastUse      uint64
	fileModTimes []time.Time // modification times of the files when they were verified
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
	h := &heldCopy{manifest: m, bytes: m.Bytes()}
	h.fileModTimes, err = s.modTimes(copiesDir, id, m)
	return h, err
}

// modTimes returns the modification times of a copy's files. folder is copiesDir or
// partialDir. It returns an error unless all files exist and have the sizes of the manifest.
func (s *Store) modTimes(folder string, id dataset.ID, m *dataset.Manifest) ([]time.Time, error) {
	var out []time.Time
	for i := range m.Files {
		info, err := os.Stat(s.filePath(folder, id, &m.Files[i]))
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

// Place puts a copy's files into a folder, which must not exist and which Place creates.
// Files are cloned where the file system supports it, so that a task that writes to its
// inputs changes only its own files. Elsewhere files are hard-linked, and Place checks
// before each use whether a task has written to the copy's files; it then removes the
// copy. In this case, and if the store does not have the copy, the error wraps
// ErrNotHeld. The folder belongs to the caller, who also removes it after an error.
func (s *Store) Place(id dataset.ID, dir string) error {
	s.mu.Lock()
	h := s.copies[id]
	if h == nil {
		s.mu.Unlock()
		return ErrNotHeld
	}
	s.useCounter++
	h.lastUse = s.useCounter
	s.pins[id]++
	s.mu.Unlock()
	defer s.Unpin(id)
	now := time.Now()
	_ = os.Chtimes(filepath.Join(s.cfg.Dir, copiesDir, string(id)), now, now)
	times, err := s.modTimes(copiesDir, id, h.manifest)
	if err == nil && !slices.EqualFunc(times, h.fileModTimes, time.Time.Equal) {
		err = errors.New("a task has written to its files")
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.log.Error("a copy has changed on disk and is removed", "copy", id, "error", err)
		return errors.Join(ErrNotHeld, s.evict(id))
	}
	if err := os.MkdirAll(filepath.Dir(dir), 0o700); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	for i := range h.manifest.Files {
		f := &h.manifest.Files[i]
		to := filepath.Join(dir, filepath.FromSlash(f.Path))
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return err
		}
		if err := cloneOrLink(s.filePath(copiesDir, id, f), to); err != nil {
			return err
		}
	}
	return nil
}

// cloneOrLink clones a file, or hard-links it if the file system can't clone.
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
