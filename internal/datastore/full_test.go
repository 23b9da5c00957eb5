package datastore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"silvergate/internal/dataset"
	"silvergate/internal/fakeserver"
)

// fullDisk is a disk that lets the first fullFrom writes pass and is full for the next
// fullWrites ones. A WriteAt that fails writes half of its bytes, as on a real disk.
type fullDisk struct {
	osDisk
	writes, fullFrom, fullWrites atomic.Int64
}

func (q *fullDisk) isFull() bool {
	n := q.writes.Add(1)
	return n > q.fullFrom.Load() && n <= q.fullFrom.Load()+q.fullWrites.Load()
}

func (q *fullDisk) WriteAt(f *os.File, b []byte, off int64) error {
	if q.isFull() {
		_, _ = f.WriteAt(b[:len(b)/2], off)
		return &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return q.osDisk.WriteAt(f, b, off)
}

func (q *fullDisk) Replace(path string, b []byte) error {
	if q.isFull() {
		return &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	}
	return q.osDisk.Replace(path, b)
}

func (q *fullDisk) Sync(dir *os.File) error {
	if q.isFull() {
		return syscall.EDQUOT
	}
	return q.osDisk.Sync(dir)
}

// verifyCopy returns an error unless the store has a copy and its files are as they were
// published.
func verifyCopy(s *Store, id dataset.ID, files map[string][]byte) error {
	if !s.Has(id) {
		return errors.New("the store does not have the copy")
	}
	for name, want := range files {
		got, err := os.ReadFile(filepath.Join(s.cfg.Dir, copiesDir, string(id), name))
		if err != nil || !bytes.Equal(got, want) {
			return fmt.Errorf("file %s is not as published: %v", name, err)
		}
	}
	return nil
}

// TestDiskFullAtAnyWrite guards against damage by a disk that is full although the store
// is within its capacity, from any write on and for any number of writes. No partial copy
// may become visible, the copies in the store must stay, the error must wrap ErrFull, and
// once there is room again the copy must be fetched.
func TestDiskFullAtAnyWrite(t *testing.T) {
	root := t.TempDir()
	src := Source{startServer(t, root, fakeserver.Faults{}).Address(), false}
	common := randomBytes(9, 1<<20)
	one := map[string][]byte{"common": common, "own": randomBytes(1, 300_000)}
	two := map[string][]byte{"common": append([]byte("x"), common...), "own": randomBytes(2, 2<<20), "empty": {}}
	_, a := publishVersion(t, root, "set", "1", one)
	_, b := publishVersion(t, root, "set", "2", two)
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "s")
		if err != nil {
			rt.Fatal(err)
		}
		s, err := Open(Config{Dir: dir, Capacity: 64 << 20}, discardLog)
		if err != nil {
			rt.Fatal(err)
		}
		defer s.Close()
		q := &fullDisk{}
		s.disk = q
		if err := fetchAndWait(s, withSources(a, src)); err != nil {
			rt.Fatal(err)
		}
		s.Pin(a.ID)
		q.fullFrom.Store(q.writes.Load() + rapid.Int64Range(0, 12).Draw(rt, "from"))
		q.fullWrites.Store(rapid.Int64Range(1, 30).Draw(rt, "many"))
		err = fetchAndWait(s, withSources(b, src))
		switch {
		case err == nil:
			if err := verifyCopy(s, b.ID, two); err != nil {
				rt.Fatal(err)
			}
		case !errors.Is(err, ErrFull):
			rt.Fatalf("a full disk gives the error %v, not ErrFull", err)
		default:
			refused++
			if s.Has(b.ID) {
				rt.Fatal("a copy is visible for which there was no room")
			}
		}
		if err := verifyCopy(s, a.ID, one); err != nil {
			rt.Fatalf("the copy that was in the store before: %v", err)
		}
		q.fullWrites.Store(0)
		if err := fetchAndWait(s, withSources(b, src)); err != nil {
			rt.Fatalf("the fetch when there is room again: %v", err)
		}
		if err := verifyCopy(s, b.ID, two); err != nil {
			rt.Fatal(err)
		}
	})
	if refused == 0 {
		t.Error("no fetch failed because of a full disk")
	}
}

// TestRealFullDisk guards against the same damage as TestDiskFullAtAnyWrite, on a small real
// file system. It is skipped where this process may not mount one.
func TestRealFullDisk(t *testing.T) {
	dir := t.TempDir()
	if err := unix.Mount("tmpfs", dir, "tmpfs", 0, "size=3m"); err != nil {
		t.Skipf("a tmpfs can't be mounted here: %v", err)
	}
	defer unix.Unmount(dir, unix.MNT_DETACH)
	root := t.TempDir()
	src := Source{startServer(t, root, fakeserver.Faults{}).Address(), false}
	small, large := map[string][]byte{"f": randomBytes(1, 1<<20)}, map[string][]byte{"f": randomBytes(2, 4<<20)}
	_, a := publishVersion(t, root, "set", "1", small)
	_, b := publishVersion(t, root, "set", "2", large)
	s := openTestStore(t, filepath.Join(dir, "s"), 64<<20)
	if err := fetchAndWait(s, withSources(a, src)); err != nil {
		t.Fatal(err)
	}
	s.Pin(a.ID)
	if err := fetchAndWait(s, withSources(b, src)); !errors.Is(err, ErrFull) || s.Has(b.ID) {
		t.Errorf("4 MiB on a disk of 3 MiB: error %v, in the store %v", err, s.Has(b.ID))
	}
	if err := verifyCopy(s, a.ID, small); err != nil {
		t.Error(err)
	}
}
