package statestore

import (
	"encoding/json"
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/protocol"
)

// tamper changes a store's file directly, bypassing the package's writer.
func tamper(t *testing.T, path string, change func(tx *bolt.Tx) error) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(db.Update(change), db.Close()); err != nil {
		t.Fatal(err)
	}
}

// TestRecordsThatContradictTheHeaderAreDamage guards against lost and stale pages that are
// not detected. The records on such pages match their checksums, so only the counts, the
// digest and the revisions in the header reveal the damage.
func TestRecordsThatContradictTheHeaderAreDamage(t *testing.T) {
	putRecord := func(tx *bolt.Tx, key string, r keyRecord) error {
		return tx.Bucket(bucketKeys).Put([]byte(key), encodeRecord([]byte(key), r))
	}
	cases := []struct {
		name   string
		change func(tx *bolt.Tx) error
		want   string
	}{
		{"a bucket is missing", func(tx *bolt.Tx) error { return tx.DeleteBucket(bucketEvents) }, `its part "news" is missing`},
		{"the header is missing", func(tx *bolt.Tx) error { return tx.Bucket(bucketHeader).Delete(headerKey) }, "its head does not match its checksum"},
		{"a lease is missing that no key has", func(tx *bolt.Tx) error { return tx.Bucket(bucketLeases).Delete(encode64(2)) }, "it holds 1 grants where its head says 2"},
		{"a key's lease is missing", func(tx *bolt.Tx) error {
			h := header{Revision: 2, LastLease: 2, Leases: 1, Keys: 2, Events: 2}
			return errors.Join(tx.Bucket(bucketLeases).Delete(encode64(1)), tx.Bucket(bucketHeader).Put(headerKey, h.encode()))
		}, `key "a" is attached to grant 1, which is missing`},
		{"a key is missing", func(tx *bolt.Tx) error { return tx.Bucket(bucketKeys).Delete([]byte("b")) }, "it holds 1 keys where its head says 2"},
		{"a key has an older record", func(tx *bolt.Tx) error {
			return putRecord(tx, "b", keyRecord{modRevision: 1, value: []byte("0")})
		}, "it holds 2 keys where its head says 2, or others than its digest says"},
		{"a key has a later record", func(tx *bolt.Tx) error {
			return putRecord(tx, "b", keyRecord{modRevision: 3, value: []byte("0")})
		}, `key "b" does not match its checksum`},
		{"an event is missing", func(tx *bolt.Tx) error {
			k, _ := tx.Bucket(bucketEvents).Cursor().First()
			return tx.Bucket(bucketEvents).Delete(k)
		}, "it holds 1 changes where its head says 2"},
		{"an event is later than the header", func(tx *bolt.Tx) error {
			k := append(encode64(3), encode64(0)...)
			return tx.Bucket(bucketEvents).Put(k, encodeChange(k, changeEvent{key: "b", revision: 3}))
		}, "does not match its checksum"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			d, err := openDisk(dir, retainedChanges)
			if err != nil {
				t.Fatal(err)
			}
			put := func(key string, lease uint64) request {
				return request{txn: &protocol.Txn{Ops: []protocol.Op{{Put: key, Value: json.RawMessage("1"), Lease: lease}}}}
			}
			_, _, err = d.commit([]request{{ttl: time.Second}, {ttl: time.Second}, put("a", 1), put("b", 0)})
			if err := errors.Join(err, d.close()); err != nil {
				t.Fatal(err)
			}
			tamper(t, filepath.Join(dir, FileName), c.change)
			d, err = openDisk(dir, retainedChanges)
			if err == nil {
				d.close()
			}
			if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want damage: %s", err, c.want)
			}
		})
	}
}
