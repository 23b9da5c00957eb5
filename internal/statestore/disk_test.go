package statestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"silvergate/internal/protocol"
)

// diskContents returns all keys that scan returns, the revision and the error.
func diskContents(d *disk) string {
	var b strings.Builder
	revision, err := d.scan("", "", func(k []byte, r keyRecord) bool {
		fmt.Fprintf(&b, "%s %d %s\n", k, r.modRevision, r.value)
		return true
	})
	fmt.Fprint(&b, revision, err)
	return b.String()
}

// writeStoreToDamage creates a store in dir with 60 commits that put 40 keys.
func writeStoreToDamage(t *testing.T, dir string) (contents string) {
	t.Helper()
	d, err := openDisk(dir, 20)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	for i := range 60 {
		value := json.RawMessage(`"` + strings.Repeat("x", 40*i) + `"`)
		txn := &protocol.Txn{Ops: []protocol.Op{{Put: fmt.Sprintf("k/%02d", i%40), Value: value}}}
		if _, _, err := d.commit([]request{{txn: txn}}); err != nil {
			t.Fatal(err)
		}
	}
	return diskContents(d)
}

// damageAtRandom returns a copy of file that is cut off at a random position, or in which up
// to 512 consecutive bytes differ, as in a bad sector.
func damageAtRandom(rnd *rand.Rand, file []byte, cutOff bool) []byte {
	damaged := slices.Clone(file)
	if cutOff {
		return damaged[:rnd.IntN(len(damaged))]
	}
	at := rnd.IntN(len(damaged))
	for n := 1 << rnd.IntN(10); n > 0 && at < len(damaged); n, at = n-1, at+1 {
		damaged[at] ^= byte(1 + rnd.IntN(255))
	}
	return damaged
}

// TestDamagedFileIsRefusedAndLeftAlone guards against damage that is read as contents or
// written over. It changes bytes of a store's file or cuts it off. openDisk must either
// refuse the file, name its path and leave it unchanged, or read the original contents.
func TestDamagedFileIsRefusedAndLeftAlone(t *testing.T) {
	const (
		cases      = 400
		minRefused = 100
	)
	dir := t.TempDir()
	want := writeStoreToDamage(t, dir)
	path := filepath.Join(dir, FileName)
	undamaged, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for i := range cases {
		damaged := damageAtRandom(rnd, undamaged, i%20 == 0)
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := openDisk(dir, 20)
		switch {
		case err == nil:
			got := diskContents(d)
			// Damage to the latest meta page leaves the previous one valid, with an
			// older revision, as a crash does.
			if got != want && d.header.Revision == 60 {
				t.Fatalf("case %d: damaged contents were read without an error", i)
			}
			d.close()
		case !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), path):
			t.Fatalf("case %d: %v, want ErrDamaged with the file's path", i, err)
		default:
			refused++
			if now, _ := os.ReadFile(path); !slices.Equal(now, damaged) {
				t.Fatalf("case %d: the damaged file was written to", i)
			}
		}
	}
	if refused < minRefused {
		t.Fatalf("only %d of %d damaged files were refused", refused, cases)
	}
}

// BenchmarkFileSize writes values of 300 bytes to a thousand keys, with fifty changes per
// sync, and reports the file's size. With -benchtime 1000000x it makes a million changes.
func BenchmarkFileSize(b *testing.B) {
	d, err := openDisk(b.TempDir(), retainedChanges)
	if err != nil {
		b.Fatal(err)
	}
	defer d.close()
	value := json.RawMessage(`"` + strings.Repeat("x", 298) + `"`)
	for n := 0; n < b.N; {
		var batch []request
		for range 50 {
			key := fmt.Sprintf("k/%d", n*7919%1000)
			batch = append(batch, request{txn: &protocol.Txn{Ops: []protocol.Op{{Put: key, Value: value}}}})
			n++
		}
		if _, _, err := d.commit(batch); err != nil {
			b.Fatal(err)
		}
	}
	info, err := os.Stat(d.path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(info.Size())/1e6, "file-MB")
}
