package datastore

import (
	"errors"
	"os"
	"path/filepath"
	"slices"

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
		t.firstChunks = append(t.firstChunks, n)
		missing, err = t.prepareFile(i, missing)
		if err != nil {
			return nil, t.store.wrapDiskFull(err)
		}
		n += len(t.manifest.Files[i].Chunks)
	}
	return missing, nil
}

// prepareFile creates file i and appends the numbers of its missing chunks to missing.
func (t *target) prepareFile(i int, missing []int) ([]int, error) {
	f := &t.manifest.Files[i]
	path := t.filePath(i)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, err
	}
	t.cloneShared(i)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode(f))
	if err != nil {
		return nil, err
	}
	missing, err = t.fillFromDisk(file, i, missing)
	return missing, errors.Join(err, file.Close())
}

// fillFromDisk keeps the correct chunks of file i, writes those that other copies have, and
// appends the numbers of the others to missing.
func (t *target) fillFromDisk(file *os.File, i int, missing []int) ([]int, error) {
	f := &t.manifest.Files[i]
	old, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if old.Size() != f.Size {
		if err := file.Truncate(f.Size); err != nil {
			return nil, err
		}
	}
	buf := make([]byte, dataset.ChunkSize)
	for k, want := range f.Chunks {
		at := int64(k) * dataset.ChunkSize
		// A part that was never written is a hole and reads as zeros.
		if old.Size() > at && readVerified(file, buf[:chunkLen(f, k)], f, k, want) == nil {
			continue
		}
		data := t.localChunk(want)
		if data == nil {
			missing = append(missing, t.firstChunks[i]+k)
			continue
		}
		if err := t.store.disk.WriteAt(file, data, at); err != nil {
			return nil, err
		}
	}
	return missing, nil
}

// fileMode returns the permissions of a copy's file.
func fileMode(f *dataset.File) os.FileMode {
	if f.Exec {
		return 0o700
	}
	return 0o600
}

// cloneShared clones file i from another copy that has the same file, if the file system can
// clone files. Without a clone, the chunks are copied one by one. The caller verifies what the
// file holds.
func (t *target) cloneShared(i int) {
	f := &t.manifest.Files[i]
	if len(f.Chunks) == 0 || exists(t.filePath(i)) {
		return
	}
	t.store.mu.Lock()
	p, h := t.store.findChunk(f.Chunks[0])
	if h == nil || p.chunk != 0 || !slices.Equal(h.manifest.Files[p.file].Chunks, f.Chunks) {
		t.store.mu.Unlock()
		return
	}
	t.store.pins[p.id]++
	t.store.mu.Unlock()
	defer t.store.Unpin(p.id)
	from, err := os.Open(t.store.filePath(copiesDir, p.id, &h.manifest.Files[p.file]))
	if err != nil {
		return
	}
	defer from.Close()
	to, err := os.OpenFile(t.filePath(i), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode(f))
	if err != nil {
		return
	}
	defer to.Close()
	if t.store.disk.Clone(to, from) != nil {
		return
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.store.stats.Shared += f.Size
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
	data := t.store.readChunk(p, c, h)
	if data == nil {
		return nil
	}
	t.store.mu.Lock()
	t.store.stats.Shared += int64(len(data))
	t.store.mu.Unlock()
	return data
}

// writeChunk writes verified chunk n.
func (t *target) writeChunk(n int, data []byte) error {
	file, chunk, _ := t.locate(n)
	f, err := os.OpenFile(t.filePath(file), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	err = t.store.writeAt(f, data, int64(chunk)*dataset.ChunkSize)
	return errors.Join(err, f.Close())
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
		return t.store.wrapDiskFull(err)
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if err := os.Rename(from, filepath.Join(t.store.cfg.Dir, copiesDir, string(id))); err != nil {
		return err
	}
	t.fetch.reservedBytes = 0
	t.store.useCounter++
	t.store.addCopy(id, &heldCopy{manifest: t.manifest, bytes: t.manifest.Bytes(), lastUse: t.store.useCounter})
	t.store.emit(Event{Kind: "visible", ID: id, Urgent: t.fetch.want.Urgent})
	return nil
}
