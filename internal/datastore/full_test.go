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

// quota is a disk that is full from its nth write on, for so many writes, and
// takes half of what is written first, as a real one does.
type quota struct {
	osDisk
	writes, from, many atomic.Int64
}

func (q *quota) full() bool {
	n := q.writes.Add(1)
	return n > q.from.Load() && n <= q.from.Load()+q.many.Load()
}

func (q *quota) WriteAt(f *os.File, b []byte, off int64) error {
	if q.full() {
		_, _ = f.WriteAt(b[:len(b)/2], off)
		return &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return q.osDisk.WriteAt(f, b, off)
}

func (q *quota) Replace(path string, b []byte) error {
	if q.full() {
		return &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	}
	return q.osDisk.Replace(path, b)
}

func (q *quota) Sync(dir *os.File) error {
	if q.full() {
		return syscall.EDQUOT
	}
	return q.osDisk.Sync(dir)
}

// whole tells whether a copy is here and as it was published.
func whole(s *Store, id dataset.ID, files map[string][]byte) error {
	if !s.Here(id) {
		return errors.New("not here")
	}
	for name, want := range files {
		got, err := os.ReadFile(filepath.Join(s.cfg.Dir, copiesDir, string(id), name))
		if err != nil || !bytes.Equal(got, want) {
			return fmt.Errorf("%s is not as published: %v", name, err)
		}
	}
	return nil
}

// TestDiskFullAtAnyWrite guards against a disk that is full though the account
// says otherwise, at any write and for any while: nothing is shown that is not
// whole, what was here stays, the error names the cause, and when there is room
// again the copy comes.
func TestDiskFullAtAnyWrite(t *testing.T) {
	root := t.TempDir()
	src := Source{server(t, root, fakeserver.Faults{}).Address(), false}
	common := random(9, 1<<20)
	one := map[string][]byte{"common": common, "own": random(1, 300_000)}
	two := map[string][]byte{"common": append([]byte("x"), common...), "own": random(2, 2<<20), "empty": {}}
	_, a := publish(t, root, "set", "1", one)
	_, b := publish(t, root, "set", "2", two)
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "s")
		if err != nil {
			rt.Fatal(err)
		}
		s, err := Open(Config{Dir: dir, Capacity: 64 << 20}, quiet)
		if err != nil {
			rt.Fatal(err)
		}
		defer s.Close()
		q := &quota{}
		s.disk = q
		if err := get(s, from(a, src)); err != nil {
			rt.Fatal(err)
		}
		s.Pin(a.ID)
		q.from.Store(q.writes.Load() + rapid.Int64Range(0, 12).Draw(rt, "from"))
		q.many.Store(rapid.Int64Range(1, 30).Draw(rt, "many"))
		err = get(s, from(b, src))
		switch {
		case err == nil:
			if err := whole(s, b.ID, two); err != nil {
				rt.Fatal(err)
			}
		case !errors.Is(err, ErrFull):
			rt.Fatalf("a full disk is told as %v", err)
		default:
			refused++
			if s.Here(b.ID) {
				rt.Fatal("a copy is shown for which there was no room")
			}
		}
		if err := whole(s, a.ID, one); err != nil {
			rt.Fatalf("the copy that was here: %v", err)
		}
		q.many.Store(0)
		if err := get(s, from(b, src)); err != nil {
			rt.Fatalf("with room again: %v", err)
		}
		if err := whole(s, b.ID, two); err != nil {
			rt.Fatal(err)
		}
	})
	if refused == 0 {
		t.Error("the disk was never full")
	}
}

// TestRealFullDisk does the same on a small file system, where this process may
// make one.
func TestRealFullDisk(t *testing.T) {
	dir := t.TempDir()
	if err := unix.Mount("tmpfs", dir, "tmpfs", 0, "size=3m"); err != nil {
		t.Skipf("no file system of a test's own here: %v", err)
	}
	defer unix.Unmount(dir, unix.MNT_DETACH)
	root := t.TempDir()
	src := Source{server(t, root, fakeserver.Faults{}).Address(), false}
	small, large := map[string][]byte{"f": random(1, 1<<20)}, map[string][]byte{"f": random(2, 4<<20)}
	_, a := publish(t, root, "set", "1", small)
	_, b := publish(t, root, "set", "2", large)
	s := open(t, filepath.Join(dir, "s"), 64<<20)
	if err := get(s, from(a, src)); err != nil {
		t.Fatal(err)
	}
	s.Pin(a.ID)
	if err := get(s, from(b, src)); !errors.Is(err, ErrFull) || s.Here(b.ID) {
		t.Errorf("4 MiB on a disk of 3: %v, here %v", err, s.Here(b.ID))
	}
	if err := whole(s, a.ID, small); err != nil {
		t.Error(err)
	}
}
