package datastore

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"silvergate/internal/fakeserver"
)

// allocatedBytes returns the disk space of the regular files below a folder.
func allocatedBytes(t *testing.T, dir string) (n int64) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return err
		}
		n += diskUse(path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestCancelledFetchesFillNoDisk guards against the chunks of cancelled fetches, which stay on disk
// for a later fetch, taking more room than the store may, also after a restart.
func TestCancelledFetchesFillNoDisk(t *testing.T) {
	root, dir := t.TempDir(), filepath.Join(t.TempDir(), "s")
	server := startServer(t, root, fakeserver.Faults{BytesPerS: 40e6})
	const size, capacity = 6 << 20, 8 << 20
	s := openTestStore(t, dir, capacity)
	for version := range 4 {
		if version == 2 {
			s.Close()
			s = openTestStore(t, dir, capacity)
		}
		_, want := publishVersion(t, root, "set", string(rune('a'+version)), map[string][]byte{"f": randomBytes(uint64(version+1), size)})
		ended := make(chan error, 1)
		s.Fetch(withSources(want, Source{server.Address(), false}), func(err error) { ended <- err })
		for until := time.Now().Add(20 * time.Second); s.Stats().Partial < size/2; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("half of the copy was not fetched in 20 s")
			}
		}
		s.Cancel(want.ID)
		if err := <-ended; err != nil && !errors.Is(err, ErrCancelled) {
			t.Fatal(err)
		}
		if used := allocatedBytes(t, dir); used > capacity+1<<16 { // the manifests are small
			t.Errorf("after %d cancelled fetches the store takes %d bytes of %d", version+1, used, capacity)
		}
	}
	_, want := publishVersion(t, root, "set", "whole", map[string][]byte{"f": randomBytes(9, capacity)})
	if err := fetchAndWait(s, withSources(want, Source{server.Address(), false})); err != nil {
		t.Errorf("a copy that takes all the room can't be fetched: %v", err)
	}
	if entries, err := os.ReadDir(filepath.Join(dir, partialDir)); err != nil || len(entries) > 0 {
		t.Errorf("partial copies are left where a whole one needs the room: %v %v", entries, err)
	}
}
