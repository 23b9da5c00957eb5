package datastore

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvergate/internal/dataset"
	"silvergate/internal/fakeserver"
)

// heldVersion is a version that a test store holds.
type heldVersion struct {
	files    map[string][]byte
	manifest *dataset.Manifest
	want     Want
}

// openStoreWithVersion opens a store in dir that has fetched one version of several chunks.
func openStoreWithVersion(t *testing.T, dir string) (*Store, heldVersion) {
	t.Helper()
	root := t.TempDir()
	server := startServer(t, root, fakeserver.Faults{})
	held := heldVersion{files: map[string][]byte{"roster.txt": randomBytes(1, 2<<20+17), "routes/north": randomBytes(2, 5000), "empty": {}}}
	held.manifest, held.want = publishVersion(t, root, "roster", "1", held.files)
	held.want = withSources(held.want, Source{server.Address(), false})
	s := openTestStore(t, dir, 1<<30)
	if err := fetchAndWait(s, held.want); err != nil {
		t.Fatal(err)
	}
	return s, held
}

// placeCopy places the version in a new folder and returns the folder.
func placeCopy(t *testing.T, s *Store, held heldVersion) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "task", "in")
	if err := s.Place(held.want.ID, dir); err != nil {
		t.Fatal(err)
	}
	return dir
}

// overwrite changes a file in place, as dd conv=notrunc does, and gives it back the
// modification time that it had.
func overwrite(t *testing.T, path string, offset int64, data string) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.WriteAt([]byte(data), offset)
	if err := errors.Join(err, f.Close(), os.Chtimes(path, time.Time{}, info.ModTime())); err != nil {
		t.Fatal(err)
	}
}

// requirePublished checks that a folder's files are as they were published.
func requirePublished(t *testing.T, dir string, held heldVersion, who string) {
	t.Helper()
	if err := dataset.VerifyTree(dir, held.manifest); err != nil {
		t.Errorf("%s reads files that differ from what was published: %v", who, err)
	}
}

// TestATasksWritesReachNobodyElse guards against tasks that share the files of their inputs
// with one another, with later tasks, with the store or with other machines.
func TestATasksWritesReachNobodyElse(t *testing.T) {
	for name, write := range map[string]func(t *testing.T, dir string){
		"in place, the time kept": func(t *testing.T, dir string) {
			overwrite(t, filepath.Join(dir, "roster.txt"), 100, "taken")
			overwrite(t, filepath.Join(dir, "routes", "north"), 100, "taken")
		},
		"truncated and written": func(t *testing.T, dir string) {
			if err := os.WriteFile(filepath.Join(dir, "roster.txt"), []byte("taken"), 0o600); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) { checkWritesStayPrivate(t, write) })
	}
}

// checkWritesStayPrivate has a task write to its inputs, and checks what everybody else reads.
func checkWritesStayPrivate(t *testing.T, write func(t *testing.T, dir string)) {
	storeDir := filepath.Join(t.TempDir(), "s")
	s, held := openStoreWithVersion(t, storeDir)
	writer, beside := placeCopy(t, s, held), placeCopy(t, s, held)
	write(t, writer)
	requirePublished(t, beside, held, "a task that runs beside the writer")
	requireLaterTask(t, s, held, "a task that starts after the write")

	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := Answer(r.Context(), s, strings.TrimPrefix(r.URL.Path, dataset.ChunkPath))
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	defer peer.Close()
	other := openTestStore(t, filepath.Join(t.TempDir(), "other"), 1<<30)
	if err := fetchAndWait(other, withSources(held.want, Source{strings.TrimPrefix(peer.URL, "http://"), true})); err != nil {
		t.Errorf("another machine can't fetch the copy: %v", err)
	} else {
		requireLaterTask(t, other, held, "a task on another machine")
	}

	s.Close()
	requireLaterTask(t, openTestStore(t, storeDir, 1<<30), held, "a task after the agent's restart")
	if got, err := os.ReadFile(filepath.Join(writer, "roster.txt")); err != nil || !bytes.Contains(got, []byte("taken")) {
		t.Errorf("the writer's own file has lost the write: %v", err)
	}
}

// requireLaterTask checks what a task reads that starts now.
func requireLaterTask(t *testing.T, s *Store, held heldVersion, who string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "in")
	if err := s.Place(held.want.ID, dir); err != nil {
		t.Errorf("%s can't start: %v", who, err)
		return
	}
	requirePublished(t, dir, held, who)
}

// TestACopyThatChangedOnDiskIsNotPlaced guards against a task that reads a copy whose file was
// changed on the machine's disk, whatever its modification time says.
func TestACopyThatChangedOnDiskIsNotPlaced(t *testing.T) {
	for _, restart := range []bool{false, true} {
		storeDir := filepath.Join(t.TempDir(), "s")
		s, held := openStoreWithVersion(t, storeDir)
		overwrite(t, filepath.Join(storeDir, copiesDir, string(held.want.ID), "roster.txt"), 1<<20+5, "damage")
		if restart {
			s.Close()
			s = openTestStore(t, storeDir, 1<<30)
		}
		dir := filepath.Join(t.TempDir(), "in")
		if err := s.Place(held.want.ID, dir); !errors.Is(err, ErrNotHeld) || s.Has(held.want.ID) {
			t.Errorf("restarted %v: a changed copy was placed, or is kept: %v", restart, err)
		}
		if err := fetchAndWait(s, held.want); err != nil {
			t.Fatal(err)
		}
		requirePublished(t, placeCopy(t, s, held), held, "a task after the copy was fetched again")
	}
}

// TestVersionsShareNoFile guards against versions with a common file that share one file on
// disk: what changes it in one copy would change the other.
func TestVersionsShareNoFile(t *testing.T) {
	root := t.TempDir()
	source := Source{startServer(t, root, fakeserver.Faults{}).Address(), false}
	common := randomBytes(3, 2<<20)
	s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
	var infos []os.FileInfo
	for _, version := range []string{"1", "2"} {
		_, want := publishVersion(t, root, "set", version, map[string][]byte{"common": common, "own": []byte(version)})
		if err := fetchAndWait(s, withSources(want, source)); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(filepath.Join(s.cfg.Dir, copiesDir, string(want.ID), "common"))
		if err != nil {
			t.Fatal(err)
		}
		infos = append(infos, info)
	}
	if os.SameFile(infos[0], infos[1]) {
		t.Error("two versions share a file")
	}
	if shared := s.Stats().Shared; shared != int64(len(common)) {
		t.Errorf("%d bytes were taken from the other version, not %d", shared, len(common))
	}
}
