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

// The golden files are a store and its backup, which an earlier build wrote, and the
// content that readContent must return for them.
const (
	goldenFolder   = "testdata/"
	goldenStore    = "state.db.gz"
	goldenBackup   = "backup.db.gz"
	goldenContent  = "state.txt"    // of the store and of the backup
	goldenRestored = "restored.txt" // of a store that is restored from the backup
)

// goldenRetainedEvents is how many changes the golden store retains: fewer than
// goldenRequests make, so that some were dropped.
const goldenRetainedEvents = 6

// goldenRequests returns requests that put keys, replace and delete some of them, and grant
// leases, one of which is removed.
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

// writeGoldenStore creates a store in dir and commits goldenRequests to it.
func writeGoldenStore(t *testing.T, dir string) *disk {
	t.Helper()
	d, err := openDisk(dir, goldenRetainedEvents)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range goldenRequests() { // each in a commit of its own
		if _, _, err := d.commit([]request{r}); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// updateGoldenFiles rewrites the golden files if GOLDEN_UPDATE is 1.
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

// pack returns the compressed contents of a file.
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

// unpack writes the decompressed contents of a golden file to path.
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

// readContent returns all that the package reads from the store in dir: a line each for the
// header and every lease, key and retained change.
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
	if _, retained, err := d.changes(h.CompactRevision, func(c changeEvent) {
		fmt.Fprintf(&b, "change %s stamp=%d dropped=%v %s\n", c.key, c.revision, c.value == nil, c.value)
	}); err != nil || !retained {
		t.Fatal(retained, err)
	}
	return b.String()
}

func requireContent(t *testing.T, dir, name string) {
	t.Helper()
	want := goldentest.Read(t, goldenFolder+name)
	if got := readContent(t, dir); got != string(want) {
		t.Errorf("got content\n%s\nwant\n%s", got, want)
	}
}

// storedBytes returns the keys and values in all buckets of a file in hexadecimal. It reads
// the file with bbolt, not with the package's code.
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

// TestGoldenStore guards against changes of the file's format. It requires that a store of an
// earlier build has the same content when it is read now and accepts further commits, and
// that the same requests write the same bytes now.
func TestGoldenStore(t *testing.T) {
	updateGoldenFiles(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "state.db") // the name is part of the format
	unpack(t, goldenStore, path)
	want := storedBytes(t, path)
	requireContent(t, dir, goldenContent)

	rewrittenDir := t.TempDir()
	if err := writeGoldenStore(t, rewrittenDir).close(); err != nil {
		t.Fatal(err)
	}
	if got := storedBytes(t, filepath.Join(rewrittenDir, "state.db")); got != want {
		t.Errorf("wrote\n%s\nwant\n%s", got, want)
	}

	d, err := openDisk(dir, goldenRetainedEvents)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	results, _, err := d.commit([]request{{leaseToRemove: 1}, {ttl: time.Second}, {txn: &protocol.Txn{Compares: []protocol.Compare{{Key: "sg/m/n1"}}}}})
	if err != nil || results[0].leaseNotFound || results[1].lease != 3 || results[2].failed != nil {
		t.Errorf("commit to the golden store: results %+v, error %v", results, err)
	}
}

// TestGoldenBackup guards against changes of the format of backups: it checks and restores a
// backup that an earlier build wrote.
func TestGoldenBackup(t *testing.T) {
	updateGoldenFiles(t)
	backup := filepath.Join(t.TempDir(), "golden.db")
	unpack(t, goldenBackup, backup)
	saved, err := Check(backup)
	if err != nil || saved.Revision != 7 || saved.Keys != 4 {
		t.Errorf("summary %+v, error %v, want revision 7 and 4 keys", saved, err)
	}
	restored := filepath.Join(t.TempDir(), "restored")
	if _, err := Restore(backup, restored); err != nil {
		t.Fatal(err)
	}
	requireContent(t, restored, goldenRestored)

	backupAsStore := t.TempDir() // a backup is a complete store file
	unpack(t, goldenBackup, filepath.Join(backupAsStore, "state.db"))
	requireContent(t, backupAsStore, goldenContent)
}
