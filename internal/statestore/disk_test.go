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

// diskContents returns all keys that can be read, or the error.
func diskContents(d *disk) string {
	var b strings.Builder
	revision, err := d.scan("", "", func(k []byte, r keyRecord) bool {
		fmt.Fprintf(&b, "%s %d %s\n", k, r.modRevision, r.value)
		return true
	})
	fmt.Fprint(&b, revision, err)
	return b.String()
}

// writeStoreToDamage makes a store in dir of 60 commits that put 40 keys.
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

// damageAtRandom returns a copy that is cut off, or of which some bytes in a row differ as
// in a bad sector.
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

// TestDamagedFileIsRefusedAndLeftAlone changes bytes of a file, and cuts it off, and
// demands that it is refused by name and left alone, or read exactly as it was.
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
			// An older meta page that is whole is what a crash leaves too.
			if got != want && d.header.Revision == 60 {
				t.Fatalf("case %d: damage was read as contents", i)
			}
			d.close()
		case !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), path):
			t.Fatalf("case %d: %v", i, err)
		default:
			refused++
			if now, _ := os.ReadFile(path); !slices.Equal(now, damaged) {
				t.Fatalf("case %d: the damaged file was written to", i)
			}
		}
	}
	if refused < minRefused {
		t.Fatalf("only %d of %d were refused", refused, cases)
	}
}

// BenchmarkFileSize writes values of 300 bytes to a thousand keys, fifty to a
// sync, and reports the file's size: with -benchtime 1000000x, of a million
// changes.
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
