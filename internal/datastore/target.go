package datastore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"silvergate/internal/dataset"
)

// target writes a copy that is being fetched into its folder of partial copies.
type target struct {
	store    *Store
	fetch    *fetching
	manifest *dataset.Manifest
	// firstChunks holds for each file the number of its first chunk, counted over all
	// files.
	firstChunks []int
}

// filePath returns the path of file i.
func (t *target) filePath(i int) string {
	return t.store.filePath(partialDir, t.fetch.want.ID, &t.manifest.Files[i])
}

// locate returns the file, the index in the file and the size of chunk n, counted over
// all files.
func (t *target) locate(n int) (file, chunk, size int) {
	lo, hi := 0, len(t.firstChunks)
	for hi-lo > 1 {
		if mid := (lo + hi) / 2; t.firstChunks[mid] <= n {
			lo = mid
		} else {
			hi = mid
		}
	}
	// An empty file has no chunks and the same first chunk number as the next file.
	for len(t.manifest.Files[lo].Chunks) <= n-t.firstChunks[lo] {
		lo++
	}
	return lo, n - t.firstChunks[lo], chunkLen(&t.manifest.Files[lo], n-t.firstChunks[lo])
}

// prepare creates the files, keeps the correct chunks that an earlier fetch left, takes
// chunks from other copies, and returns the numbers of the chunks that must be fetched.
func (t *target) prepare() (missing []int, err error) {
	n := 0
	for i := range t.manifest.Files {
		f := &t.manifest.Files[i]
		t.firstChunks = append(t.firstChunks, n)
		path := t.filePath(i)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return nil, t.wrapDiskFull(err)
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
			return nil, t.wrapDiskFull(err)
		}
		old, err := file.Stat()
		if err == nil && old.Size() != f.Size {
			err = file.Truncate(f.Size)
		}
		if err != nil {
			file.Close()
			return nil, t.wrapDiskFull(err)
		}
		for k, want := range f.Chunks {
			buf := make([]byte, chunkLen(f, k))
			at := int64(k) * dataset.ChunkSize
			// A part that was never written is a hole and reads as zeros.
			if old.Size() > at {
				if _, err := file.ReadAt(buf, at); err == nil && dataset.Sum(buf) == want {
					n++
					continue
				}
			}
			if data := t.localChunk(want); data != nil {
				if err := t.store.disk.WriteAt(file, data, at); err != nil {
					file.Close()
					return nil, t.wrapDiskFull(err)
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

// linkShared clones or links file i from another copy that has the same file. It
// reports whether it did.
func (t *target) linkShared(i int) bool {
	f := &t.manifest.Files[i]
	if len(f.Chunks) == 0 || exists(t.filePath(i)) {
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
	from := t.store.filePath(copiesDir, p.id, &h.manifest.Files[p.file])
	for k, want := range f.Chunks {
		if readChunk(from, f, k, want) == nil {
			return false
		}
	}
	return cloneOrLink(from, t.filePath(i)) == nil
}

// exists reports whether there is anything at a path.
func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

// localChunk reads a chunk from another copy. It returns nil if no copy has the chunk.
func (t *target) localChunk(h dataset.Hash) []byte {
	t.store.mu.Lock()
	p, c := t.store.findChunk(h)
	t.store.mu.Unlock()
	if c == nil {
		return nil
	}
	data := readChunk(t.store.filePath(copiesDir, p.id, &c.manifest.Files[p.file]), &c.manifest.Files[p.file], p.chunk, h)
	if data == nil {
		return nil
	}
	t.store.mu.Lock()
	t.store.stats.Shared += int64(len(data))
	t.store.mu.Unlock()
	return data
}

// wrapDiskFull wraps an error of a full disk in ErrFull and counts it as a refused copy;
// it returns other errors unchanged. Other programs can fill the disk although the store
// is within its capacity.
func (t *target) wrapDiskFull(err error) error {
	if !isDiskFull(err) {
		return err
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.store.stats.Refused++
	return fmt.Errorf("%w: %w", ErrFull, err)
}

// writeChunk writes verified chunk n. If the disk is full, it evicts one copy and tries
// once more.
func (t *target) writeChunk(n int, data []byte) error {
	file, chunk, _ := t.locate(n)
	for try := 0; ; try++ {
		f, err := os.OpenFile(t.filePath(file), os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		err = t.store.disk.WriteAt(f, data, int64(chunk)*dataset.ChunkSize)
		if err = errors.Join(err, f.Close()); err == nil {
			return nil
		}
		if !isDiskFull(err) || try > 0 {
			return t.wrapDiskFull(err)
		}
		// Another program fills the disk: evict one copy that is not in use, and
		// try once more.
		t.store.mu.Lock()
		err = t.store.makeRoom(t.store.cfg.Capacity - t.store.used() + 1)
		t.store.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// publish makes the copy durable and then visible to the store's users.
func (t *target) publish() error {
	id := t.fetch.want.ID
	from := filepath.Join(t.store.cfg.Dir, partialDir, string(id))
	d, err := os.Open(from)
	if err != nil {
		return err
	}
	err = errors.Join(t.store.disk.Sync(d), d.Close())
	if err != nil {
		return t.wrapDiskFull(err)
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
	t.store.useCounter++
	t.store.addCopy(id, &heldCopy{manifest: t.manifest, bytes: t.manifest.Bytes(), lastUse: t.store.useCounter, fileModTimes: times})
	t.store.emit(Event{Kind: "visible", ID: id, Urgent: t.fetch.want.Urgent})
	return nil
}
