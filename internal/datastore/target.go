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
	store    *Store
	fetch    *fetching
	manifest *dataset.Manifest
	// starts is the number of each file's first chunk, over all files.
	starts []int
}

// path is the path of the file with number i.
func (t *target) path(i int) string {
	return t.store.file(partialDir, t.fetch.want.ID, &t.manifest.Files[i])
}

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
	for len(t.manifest.Files[lo].Chunks) <= n-t.starts[lo] {
		lo++
	}
	return lo, n - t.starts[lo], chunkLen(&t.manifest.Files[lo], n-t.starts[lo])
}

// prepare makes the files, keeps what an earlier fetch left that is right, takes
// what other copies hold, and returns the chunks that must be fetched.
func (t *target) prepare() (missing []int, err error) {
	n := 0
	for i := range t.manifest.Files {
		f := &t.manifest.Files[i]
		t.starts = append(t.starts, n)
		path := t.path(i)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return nil, t.failed(err)
		}
		if t.linkShared(i) {
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
			if data := t.localChunk(want); data != nil {
				if err := t.store.disk.WriteAt(file, data, at); err != nil {
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

// linkShared clones or links a file that another copy holds whole.
func (t *target) linkShared(i int) bool {
	f := &t.manifest.Files[i]
	if len(f.Chunks) == 0 || exists(t.path(i)) {
		return false
	}
	t.store.mu.Lock()
	p, h := t.store.findChunk(f.Chunks[0])
	ok := h != nil && p.chunk == 0
	if ok {
		o := &h.manifest.Files[p.file]
		ok = o.Size == f.Size && o.Exec == f.Exec && len(o.Chunks) == len(f.Chunks)
		for k := range f.Chunks {
			ok = ok && o.Chunks[k] == f.Chunks[k]
		}
	}
	if ok {
		t.store.pins[p.id]++
		t.store.stats.Shared += f.Size
	}
	t.store.mu.Unlock()
	if !ok {
		return false
	}
	defer t.store.Unpin(p.id)
	from := t.store.file(copiesDir, p.id, &h.manifest.Files[p.file])
	for k, want := range f.Chunks {
		if readChunk(from, f, k, want) == nil {
			return false
		}
	}
	return cloneOrLink(from, t.path(i)) == nil
}

// exists tells whether there is anything at a path.
func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

// localChunk reads a chunk from another copy.
func (t *target) localChunk(h dataset.Hash) []byte {
	t.store.mu.Lock()
	p, c := t.store.findChunk(h)
	t.store.mu.Unlock()
	if c == nil {
		return nil
	}
	data := readChunk(t.store.file(copiesDir, p.id, &c.manifest.Files[p.file]), &c.manifest.Files[p.file], p.chunk, h)
	if data == nil {
		return nil
	}
	t.store.mu.Lock()
	t.store.stats.Shared += int64(len(data))
	t.store.mu.Unlock()
	return data
}

// failed adds ErrFull to an error of a full disk, and counts it: others can fill the
// disk although the store is within its capacity.
func (t *target) failed(err error) error {
	if !isDiskFull(err) {
		return err
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.store.stats.Refused++
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
		err = t.store.disk.WriteAt(f, data, int64(chunk)*dataset.ChunkSize)
		if err = errors.Join(err, f.Close()); err == nil {
			return nil
		}
		if !isDiskFull(err) || try > 0 {
			return t.failed(err)
		}
		// Somebody else fills the disk: one copy that is not in use makes
		// room, once.
		t.store.mu.Lock()
		err = t.store.makeRoom(t.store.cfg.Capacity - t.store.used() + 1)
		t.store.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// publish makes the copy durable and then visible.
func (t *target) publish() error {
	id := t.fetch.want.ID
	from := filepath.Join(t.store.cfg.Dir, partialDir, string(id))
	d, err := os.Open(from)
	if err != nil {
		return err
	}
	err = errors.Join(t.store.disk.Sync(d), d.Close())
	if err != nil {
		return t.failed(err)
	}
	times, err := t.store.modTimes(partialDir, id, t.manifest)
	if err != nil {
		return err
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if err := os.Rename(from, filepath.Join(t.store.cfg.Dir, copiesDir, string(id))); err != nil {
		return err
	}
	t.fetch.reservedBytes = 0
	t.store.useCount++
	t.store.addCopy(id, &heldCopy{manifest: t.manifest, bytes: t.manifest.Bytes(), lastUse: t.store.useCount, modTimes: times})
	t.store.emit(Event{Kind: "visible", ID: id, Urgent: t.fetch.want.Urgent})
	return nil
}
