package dataset

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPublishedVersionsNeverChange guards against publishing other contents under an
// existing version, against publishing a file that has changed since the manifest was
// built, and against changes that VerifyTree doesn't notice.
func TestPublishedVersionsNeverChange(t *testing.T) {
	dir, root := t.TempDir(), t.TempDir()
	write := func(name, data string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(data), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("a/b", "one")
	write("c", strings.Repeat("x", ChunkSize+1))
	m, err := Build(dir, "set", "1", nil)
	if err != nil || len(m.Files) != 2 || len(m.Files[1].Chunks) != 2 {
		t.Fatalf("%+v %v", m, err)
	}
	digest, err := Publish(dir, root, m)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Publish(dir, root, m); err != nil || again != digest {
		t.Errorf("publishing the same contents again: %v", err)
	}
	if err := VerifyTree(filepath.Join(root, "sets/set/1", FilesDir), m); err != nil {
		t.Error(err)
	}
	write("a/b", "two")
	if _, err := Publish(dir, t.TempDir(), m); err == nil || !strings.Contains(err.Error(), "changed") {
		t.Errorf("publishing a file that has changed since the manifest was built: %v", err)
	}
	other, _ := Build(dir, "set", "1", nil)
	if _, err := Publish(dir, root, other); err == nil || !strings.Contains(err.Error(), "never change") {
		t.Errorf("publishing other contents under the same version: %v", err)
	}
	if err := VerifyTree(dir, m); err == nil || !strings.Contains(err.Error(), "a/b") {
		t.Errorf("verifying a changed tree: %v", err)
	}
}

// FuzzManifest checks that every manifest that Parse accepts is in canonical form and has
// only paths inside the data set and sizes that are not negative.
func FuzzManifest(f *testing.F) {
	m := &Manifest{Set: "s", Version: "1", Files: []File{{Path: "a/b", Size: 3, Chunks: []Hash{Sum([]byte("one"))}}, {Path: "c", Chunks: []Hash{}}}}
	raw, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	for _, bad := range []string{`{}`, `{"set":"s","version":"latest","files":[]}`,
		strings.Replace(string(raw), "a/b", "../b", 1), strings.Replace(string(raw), `"size":3`, `"size":-3`, 1), string(raw) + " "} {
		f.Add([]byte(bad))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Parse(raw)
		if err != nil {
			return
		}
		if again, err := m.Encode(); err != nil || string(again) != string(raw) {
			t.Fatalf("not in canonical form: it is written as %s, error %v", again, err)
		}
		for _, x := range m.Files {
			if !filepath.IsLocal(x.Path) || x.Size < 0 {
				t.Fatalf("a file with a path outside the data set or a negative size: %+v", x)
			}
		}
		if !json.Valid(raw) {
			t.Fatal("the manifest is not JSON")
		}
	})
}
