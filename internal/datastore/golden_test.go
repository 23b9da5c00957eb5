package datastore

import (
	"context"
	"io/fs"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"silvergate/internal/dataset"
	"silvergate/internal/goldentest"
)

// The golden folder goldenStore is a store that an earlier build wrote. It holds one whole
// version, and of another version its manifest and one of its two files. Both versions
// were published on the file server whose folder is goldenServer.
const (
	goldenStore  = "testdata/golden/store"
	goldenServer = "testdata/golden/server"
)

// goldenWant returns a version on the golden server and its manifest.
func goldenWant(t *testing.T, version string) (Want, *dataset.Manifest) {
	t.Helper()
	raw := goldentest.Read(t, goldenServer+"/sets/prices/"+version+"/manifest.json")
	digest := dataset.Sum(raw)
	manifest, err := dataset.Decode(raw, digest)
	if err != nil {
		t.Fatal(err)
	}
	return Want{ID: dataset.IDOf(digest), Digest: digest, Set: "prices", Version: version}, manifest
}

// copyGoldenStore copies the golden store to a temporary folder, as tests write to it.
func copyGoldenStore(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(dir, os.DirFS(goldenStore)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// openStore opens the store in a folder.
func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(Config{Dir: dir, Capacity: 1 << 20, StallTimeout: 5 * time.Second}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// fetchFromGoldenServer serves the golden file server's folder and fetches a version from
// it.
func fetchFromGoldenServer(t *testing.T, s *Store, want Want) {
	t.Helper()
	source := httptest.NewServer(http.FileServer(http.Dir(goldenServer)))
	t.Cleanup(source.Close)
	want.Sources = []Source{{source.Listener.Addr().String(), false}}
	fetched := make(chan error, 1)
	s.Fetch(want, func(err error) { fetched <- err })
	select {
	case err := <-fetched:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the version was not fetched within 30 s")
	}
}

// requirePlaced places a copy in a task's folder and checks the files by its manifest.
func requirePlaced(t *testing.T, s *Store, want Want, manifest *dataset.Manifest) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "task", "in")
	if err := s.Place(context.Background(), PlaceRequest{ID: want.ID, Dir: dir}); err != nil {
		t.Fatal(err)
	}
	if err := dataset.VerifyTree(dir, manifest); err != nil {
		t.Error(err)
	}
}

// TestGoldenStore guards against a build that can't read the store of an earlier build,
// or that fetches the file again which a partial copy already has.
func TestGoldenStore(t *testing.T) {
	whole, wholeManifest := goldenWant(t, "1")
	partial, partialManifest := goldenWant(t, "2")
	dir := copyGoldenStore(t)
	s := openStore(t, dir)
	if held := s.Held(); !reflect.DeepEqual(held, []dataset.ID{whole.ID}) {
		t.Fatalf("the store holds %v, not %v", held, whole.ID)
	}
	if raw, ok := s.Manifest(whole.ID); !ok || dataset.Sum(raw) != whole.Digest {
		t.Errorf("the copy's manifest is %s", raw)
	}
	if digest, want := s.Digest(), strings.TrimSpace(string(goldentest.Read(t, "testdata/golden/digest.txt"))); digest != want {
		t.Errorf("the store's digest is %s, not %s", digest, want)
	}
	requirePlaced(t, s, whole, wholeManifest)

	// Only the missing file is fetched.
	fetchFromGoldenServer(t, s, partial)
	if missing := int64(len("of the second version")); s.Stats().Fetched != missing {
		t.Errorf("%d bytes were fetched, but %d were missing", s.Stats().Fetched, missing)
	}
	requirePlaced(t, s, partial, partialManifest)
	if left, err := os.ReadDir(filepath.Join(dir, "partial")); err != nil || len(left) > 0 {
		t.Errorf("the fetch left partial copies: %v, %v", left, err)
	}
}

// TestGoldenStoreIsWrittenAlike guards against a changed form of the files on disk: it
// fetches the whole version into a new store and compares its files with the golden ones.
func TestGoldenStoreIsWrittenAlike(t *testing.T) {
	whole, _ := goldenWant(t, "1")
	dir := t.TempDir()
	fetchFromGoldenServer(t, openStore(t, dir), whole)
	filesUnder := func(root string) map[string]string {
		files := map[string]string{}
		err := fs.WalkDir(os.DirFS(root), ".", func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.Contains(path, string(whole.ID)) {
				return err
			}
			raw, err := os.ReadFile(filepath.Join(root, path))
			files[path] = string(raw)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		return files
	}
	if got, want := filesUnder(dir), filesUnder(goldenStore); !reflect.DeepEqual(got, want) || len(want) != 3 {
		t.Errorf("the store wrote\n%q, not\n%q", got, want)
	}
}
