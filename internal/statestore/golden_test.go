package statestore

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/goldentest"
	"silvergate/internal/protocol"
)

// The golden files are a store and its backup, written by an earlier build, and what is
// to be read from them.
const (
	goldenFolder   = "testdata/"
	goldenStore    = "state.db.gz"
	goldenBackup   = "backup.db.gz"
	goldenContent  = "state.txt"    // of the store and of the backup
	goldenRestored = "restored.txt" // of a store that is restored from the backup
)

// goldenRetainedEvents is how many changes the golden store keeps: fewer than were made.
const goldenRetainedEvents = 6

// goldenRequests write keys, replace and drop some, and make grants, of which one has ended.
func goldenRequests() []request {
	write := func(ops ...protocol.Op) request { return request{txn: &protocol.Txn{Ops: ops}} }
	return []request{
		{ttl: 10 * time.Second},
		{ttl: 1500 * time.Millisecond},
		write(protocol.Op{Put: "sg/m/n1", Value: json.RawMessage(`{"l":7}`), Lease: 1}, protocol.Op{Put: "sg/m/n2", Value: json.RawMessage(`{"l":8}`), Lease: 2}),
		write(protocol.Op{Put: "sg/j/wk-000001", Value: json.RawMessage(`{"st":"open"}`)}),
		write(protocol.Op{Put: "sg/p/wk-000001/0", Value: json.RawMessage(`"p0*3"`)}, protocol.Op{Put: "sg/x/i-1", Value: json.RawMessage(`null`)}),
		{txn: &protocol.Txn{Compares: []protocol.Compare{{Key: "sg/j/wk-000001", ModRevision: 2}}, Ops: []protocol.Op{{Put: "sg/j/wk-000001", Value: json.RawMessage(`{"st":"done"}`)}}}},
		{leaseToRemove: 2},
		write(protocol.Op{Delete: "sg/x/i-1"}),
		write(protocol.Op{Put: "sgx/d/wk-000001", Value: json.RawMessage(`{"command":["ü"]}`)}),
	}
}

// writeGoldenStore makes a store in dir by the golden orders.
func writeGoldenStore(t *testing.T, dir string) *disk {
	t.Helper()
	d, err := openDisk(dir, goldenRetainedEvents)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range goldenRequests() { // each in a commit of its own
		if _, _, err := d.commit([]request{o}); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// updateGoldenFiles writes them anew when GOLDEN_UPDATE=1 asks for it.
func updateGoldenFiles(t *testing.T) {
	t.Helper()
	if !goldentest.Updating() {
		return
	}
	dir := t.TempDir()
	d := writeGoldenStore(t, dir)
	saved, err := d.backup(dir, "golden")
	if err != nil {
		t.Fatal(err)
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	goldentest.Write(t, goldenFolder+goldenStore, pack(t, filepath.Join(dir, FileName)))
	goldentest.Write(t, goldenFolder+goldenBackup, pack(t, saved.File))
	goldentest.Write(t, goldenFolder+goldenContent, []byte(readContent(t, dir)))
	restored := filepath.Join(t.TempDir(), "restored")
	if _, err := Restore(saved.File, restored); err != nil {
		t.Fatal(err)
	}
	goldentest.Write(t, goldenFolder+goldenRestored, []byte(readContent(t, restored)))
}

// pack compresses a file.
func pack(t *testing.T, from string) []byte {
	t.Helper()
	raw, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(raw); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// unpack copies a golden file to path.
func unpack(t *testing.T, name, path string) {
	t.Helper()
	z, err := gzip.NewReader(bytes.NewReader(goldentest.Read(t, goldenFolder+name)))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// readContent tells all that the code reads from the store in dir, a line each.
func readContent(t *testing.T, dir string) string {
	t.Helper()
	d, err := openDisk(dir, goldenRetainedEvents)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	var b bytes.Buffer
	h := d.header
	fmt.Fprintf(&b, "head ledger=%d grant=%d floor=%d news=%d grants=%d keys=%d digest=%016x\n", h.Revision, h.LastLease, h.CompactRevision, h.Events, h.Leases, h.Keys, h.Digest)
	for _, id := range slices.Sorted(maps.Keys(d.ttls)) {
		fmt.Fprintf(&b, "grant %d ttl=%v keys=%v\n", id, d.ttls[id], slices.Sorted(maps.Keys(d.leaseKeys[id])))
	}
	if _, err := d.scan("", "", func(key []byte, r keyRecord) bool {
		fmt.Fprintf(&b, "key %s stamp=%d permit=%d %s\n", key, r.modRevision, r.lease, r.value)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	if _, kept, err := d.changes(h.CompactRevision, func(c changeEvent) {
		fmt.Fprintf(&b, "change %s stamp=%d dropped=%v %s\n", c.key, c.revision, c.value == nil, c.value)
	}); err != nil || !kept {
		t.Fatal(kept, err)
	}
	return b.String()
}

func requireContent(t *testing.T, dir, name string) {
	t.Helper()
	want := goldentest.Read(t, goldenFolder+name)
	if got := readContent(t, dir); got != string(want) {
		t.Errorf("read\n%s\nnot\n%s", got, want)
	}
}

// storedBytes tells what is in a file's buckets, byte by byte, without the package's reader.
func storedBytes(t *testing.T, path string) string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var b bytes.Buffer
	if err := db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bolt.Bucket) error {
			return bucket.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&b, "%s %x %x\n", name, k, v)
				return err
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestGoldenStore opens a store of an earlier build, reads the same content, and goes on
// with it. What is written now by the same orders are the same bytes.
func TestGoldenStore(t *testing.T) {
	updateGoldenFiles(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "state.db") // the name is part of the format
	unpack(t, goldenStore, path)
	want := storedBytes(t, path)
	requireContent(t, dir, goldenContent)

	anew := t.TempDir()
	if err := writeGoldenStore(t, anew).close(); err != nil {
		t.Fatal(err)
	}
	if got := storedBytes(t, filepath.Join(anew, "state.db")); got != want {
		t.Errorf("written as\n%s\nnot\n%s", got, want)
	}

	d, err := openDisk(dir, goldenRetainedEvents)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	out, _, err := d.commit([]request{{leaseToRemove: 1}, {ttl: time.Second}, {txn: &protocol.Txn{Compares: []protocol.Compare{{Key: "sg/m/n1"}}}}})
	if err != nil || out[0].leaseNotFound || out[1].lease != 3 || out[2].failed != nil {
		t.Errorf("went on with %+v: %v", out, err)
	}
}

// TestGoldenBackup checks and restores a backup of an earlier build.
func TestGoldenBackup(t *testing.T) {
	updateGoldenFiles(t)
	backup := filepath.Join(t.TempDir(), "golden.db")
	unpack(t, goldenBackup, backup)
	saved, err := Check(backup)
	if err != nil || saved.Revision != 7 || saved.Keys != 4 {
		t.Errorf("%+v: %v", saved, err)
	}
	restored := filepath.Join(t.TempDir(), "restored")
	if _, err := Restore(backup, restored); err != nil {
		t.Fatal(err)
	}
	requireContent(t, restored, goldenRestored)

	whole := t.TempDir() // a backup is a store itself
	unpack(t, goldenBackup, filepath.Join(whole, "state.db"))
	requireContent(t, whole, goldenContent)
}
