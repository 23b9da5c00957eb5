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

type held struct {
	m     *dataset.Manifest
	bytes int64
	used  uint64
	times []time.Time // of the files, when they were verified
}

// place is where a chunk lies.
type place struct {
	id    dataset.ID
	file  int
	chunk int
}

// load takes up what is on disk: copies were whole when they got their names.
func (s *Store) load() error {
	names, err := os.ReadDir(filepath.Join(s.cfg.Dir, copiesDir))
	if err != nil {
		return err
	}
	type old struct {
		id dataset.ID
		h  *held
		at time.Time
	}
	var found []old
	for _, e := range names {
		id := dataset.ID(e.Name())
		h, err := s.readHeld(id)
		if err != nil {
			s.log.Error("a copy can't be used and is thrown away", "copy", id, "err", err)
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
		s.uses++
		f.h.used = s.uses
		s.enter(f.id, f.h)
	}
	return nil
}

func (s *Store) readHeld(id dataset.ID) (*held, error) {
	if !dataset.ValidID(string(id)) {
		return nil, errors.New("not a copy's name")
	}
	raw, err := os.ReadFile(s.manifestPath(id))
	if err != nil {
		return nil, err
	}
	if dataset.IDOf(dataset.Sum(raw)) != id {
		return nil, errors.New("its manifest is damaged")
	}
	m, err := dataset.Parse(raw)
	if err != nil {
		return nil, err
	}
	h := &held{m: m, bytes: m.Bytes()}
	h.times, err = s.times(copiesDir, id, m)
	return h, err
}

// times are the files' times of change, and proves that all are there with
// their sizes.
func (s *Store) times(where string, id dataset.ID, m *dataset.Manifest) ([]time.Time, error) {
	var out []time.Time
	for i := range m.Files {
		info, err := os.Stat(s.file(where, id, &m.Files[i]))
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

// Held lists the copies that are here, in the order of their use, the latest
// first.
func (s *Store) Held() []dataset.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []dataset.ID
	for id := range s.copies {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b dataset.ID) int {
		if x, y := s.copies[a].used, s.copies[b].used; x != y {
			return int(int64(y) - int64(x))
		}
		return strings.Compare(string(a), string(b))
	})
	return out
}

// Digest is the same for two stores that hold the same copies.
func (s *Store) Digest() string {
	ids := s.Held()
	slices.Sort(ids)
	return DigestOf(ids)
}

// DigestOf is the digest of a sorted list of copies.
func DigestOf(ids []dataset.ID) string {
	h := xxhash.New()
	for _, id := range ids {
		_, _ = h.WriteString(string(id))
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Progress is how far a fetch is.
type Progress struct {
	ID    dataset.ID
	Done  int64
	Total int64 // 0 while the manifest is not here
	Rate  float64
}

// Pulls lists the fetches that are under way.
func (s *Store) Pulls() []Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Progress
	for id, f := range s.pulls {
		p := Progress{ID: id, Done: f.done, Total: f.total}
		if d := time.Since(f.began).Seconds(); d > 0 {
			p.Rate = float64(f.got) / d
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Progress) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Place puts a copy's files into a folder, which must not exist. Files are
// cloned where the file system can, so that a task that writes to its inputs
// changes its own; elsewhere they are linked, and a copy whose files were written
// to is noticed before its next use and thrown away.
func (s *Store) Place(id dataset.ID, dir string) error {
	s.mu.Lock()
	h := s.copies[id]
	if h == nil {
		s.mu.Unlock()
		return ErrNotHere
	}
	s.uses++
	h.used = s.uses
	s.pins[id]++
	s.mu.Unlock()
	defer s.Unpin(id)
	now := time.Now()
	_ = os.Chtimes(filepath.Join(s.cfg.Dir, copiesDir, string(id)), now, now)
	times, err := s.times(copiesDir, id, h.m)
	if err == nil && !slices.EqualFunc(times, h.times, time.Time.Equal) {
		err = errors.New("its files were written to")
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.log.Error("a copy is not what it was and is thrown away", "copy", id, "err", err)
		return errors.Join(ErrNotHere, s.evict(id))
	}
	if err := os.MkdirAll(filepath.Dir(dir), 0o700); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	for i := range h.m.Files {
		f := &h.m.Files[i]
		to := filepath.Join(dir, filepath.FromSlash(f.Path))
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return err
		}
		if err := cloneOrLink(s.file(copiesDir, id, f), to); err != nil {
			return err
		}
	}
	return nil
}

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
