package datastore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"silvergate/internal/dataset"
)

// target is the folder into which a copy is fetched.
type target struct {
	s *Store
	f *fetching
	m *dataset.Manifest
	// starts is the number of each file's first chunk, over all files.
	starts []int
}

func (t *target) path(i int) string { return t.s.file(partialDir, t.f.want.ID, &t.m.Files[i]) }

// at finds a chunk by its number over all files.
func (t *target) at(n int) (file, chunk, size int) {
	lo, hi := 0, len(t.starts)
	for hi-lo > 1 {
		if mid := (lo + hi) / 2; t.starts[mid] <= n {
			lo = mid
		} else {
			hi = mid
		}
	}
	// Empty files have no chunks and share their start with the next one.
	for len(t.m.Files[lo].Chunks) <= n-t.starts[lo] {
		lo++
	}
	return lo, n - t.starts[lo], chunkLen(&t.m.Files[lo], n-t.starts[lo])
}

// prepare makes the files, keeps what an earlier fetch left that is right, takes
// what other copies hold, and returns the chunks that must be fetched.
func (t *target) prepare() (missing []int, err error) {
	n := 0
	for i := range t.m.Files {
		f := &t.m.Files[i]
		t.starts = append(t.starts, n)
		path := t.path(i)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return nil, t.failed(err)
		}
		if t.share(i) {
			n += len(f.Chunks)
			continue
		}
		mode := os.FileMode(0o600)
		if f.Exec {
			mode = 0o700
		}
		file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, mode)
		if err != nil {
			return nil, t.failed(err)
		}
		old, err := file.Stat()
		if err == nil && old.Size() != f.Size {
			err = file.Truncate(f.Size)
		}
		if err != nil {
			file.Close()
			return nil, t.failed(err)
		}
		for k, want := range f.Chunks {
			buf := make([]byte, chunkLen(f, k))
			at := int64(k) * dataset.ChunkSize
			// What was never written is a hole and reads as zeros.
			if old.Size() > at {
				if _, err := file.ReadAt(buf, at); err == nil && dataset.Sum(buf) == want {
					n++
					continue
				}
			}
			if data := t.local(want); data != nil {
				if err := t.s.disk.WriteAt(file, data, at); err != nil {
					file.Close()
					return nil, t.failed(err)
				}
			} else {
				missing = append(missing, n)
			}
			n++
		}
		if err := file.Close(); err != nil {
			return nil, err
		}
	}
	return missing, nil
}

// share links a file that another copy holds whole.
func (t *target) share(i int) bool {
	f := &t.m.Files[i]
	if len(f.Chunks) == 0 || exists(t.path(i)) {
		return false
	}
	t.s.mu.Lock()
	p, h := t.s.find(f.Chunks[0])
	ok := h != nil && p.chunk == 0
	if ok {
		o := &h.m.Files[p.file]
		ok = o.Size == f.Size && o.Exec == f.Exec && len(o.Chunks) == len(f.Chunks)
		for k := range f.Chunks {
			ok = ok && o.Chunks[k] == f.Chunks[k]
		}
	}
	if ok {
		t.s.pins[p.id]++
		t.s.stats.Shared += f.Size
	}
	t.s.mu.Unlock()
	if !ok {
		return false
	}
	defer t.s.Unpin(p.id)
	from := t.s.file(copiesDir, p.id, &h.m.Files[p.file])
	for k, want := range f.Chunks {
		if readChunk(from, f, k, want) == nil {
			return false
		}
	}
	return cloneOrLink(from, t.path(i)) == nil
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

// local reads a chunk from another copy.
func (t *target) local(h dataset.Hash) []byte {
	t.s.mu.Lock()
	p, c := t.s.find(h)
	t.s.mu.Unlock()
	if c == nil {
		return nil
	}
	data := readChunk(t.s.file(copiesDir, p.id, &c.m.Files[p.file]), &c.m.Files[p.file], p.chunk, h)
	if data == nil {
		return nil
	}
	t.s.mu.Lock()
	t.s.stats.Shared += int64(len(data))
	t.s.mu.Unlock()
	return data
}

// failed makes room when the disk is full, though the account says otherwise,
// and says what to do.
func (t *target) failed(err error) error {
	if !full(err) {
		return err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.stats.Refused++
	return fmt.Errorf("%w: %w", ErrFull, err)
}

// write writes a chunk that was verified.
func (t *target) write(n int, data []byte) error {
	file, chunk, _ := t.at(n)
	for try := 0; ; try++ {
		f, err := os.OpenFile(t.path(file), os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		err = t.s.disk.WriteAt(f, data, int64(chunk)*dataset.ChunkSize)
		if err = errors.Join(err, f.Close()); err == nil {
			return nil
		}
		if !full(err) || try > 0 {
			return t.failed(err)
		}
		// Somebody else fills the disk: one copy that is not in use makes
		// room, once.
		t.s.mu.Lock()
		err = t.s.room(t.s.cfg.Capacity - t.s.used() + 1)
		t.s.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// publish makes the copy durable and then visible.
func (t *target) publish() error {
	id := t.f.want.ID
	from := filepath.Join(t.s.cfg.Dir, partialDir, string(id))
	d, err := os.Open(from)
	if err != nil {
		return err
	}
	err = errors.Join(t.s.disk.Sync(d), d.Close())
	if err != nil {
		return t.failed(err)
	}
	times, err := t.s.times(partialDir, id, t.m)
	if err != nil {
		return err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if err := os.Rename(from, filepath.Join(t.s.cfg.Dir, copiesDir, string(id))); err != nil {
		return err
	}
	t.f.reserved = 0
	t.s.uses++
	t.s.enter(id, &held{m: t.m, bytes: t.m.Bytes(), used: t.s.uses, times: times})
	t.s.tell(Event{Kind: "visible", ID: id, Urgent: t.f.want.Urgent})
	return nil
}
