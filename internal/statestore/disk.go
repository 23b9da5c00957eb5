package statestore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"silvergate/internal/checksum"
	"silvergate/internal/protocol"
)

// FileName is the store's file in its folder.
const FileName = "state.db"

// Buckets of the file. Every record ends with its checksum, and the head holds
// the number and a digest of all keys, so that a lost page is noticed as well
// as a changed one: bbolt itself checks its two meta pages only.
var (
	bucketHeader = []byte("head")
	bucketKeys   = []byte("keys")
	bucketEvents = []byte("news")
	bucketLeases = []byte("grants")
	headerKey    = []byte("head")
)

// ErrDamaged marks a file whose contents contradict its checksums. It is left
// as it is.
var ErrDamaged = checksum.ErrDamaged

// header is what the file says of itself.
type header struct {
	Revision        uint64 // revision of the last change
	LastLease       uint64 // the last grant's number
	CompactRevision uint64 // the highest revision of which changes were dropped
	Events          uint64 // number of changes kept
	Leases          uint64 // number of grants
	Keys            uint64 // number of keys
	Digest          uint64 // of all keys' records, order not minding
}

// keyRecord is a key's stored value.
type keyRecord struct {
	modRevision, lease uint64
	value              []byte
}

// changeEvent is one change of a key; data is nil when it was dropped.
type changeEvent struct {
	key      string
	value    []byte
	revision uint64
}

type disk struct {
	db             *bolt.DB
	path           string
	retainedEvents int // changes kept for watches
	header         header
	// attached lists the keys of each grant. It is the writer's alone.
	leaseKeys map[uint64]map[string]bool
	ttls      map[uint64]time.Duration // of all grants, as of opening
}

// openDisk opens the store in dir, or makes one, and checks all of it.
func openDisk(dir string, keep int) (*disk, error) {
	path := filepath.Join(dir, FileName)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		if err := createDisk(dir, path, func(*bolt.Tx) (header, error) { return header{}, nil }); err != nil {
			return nil, err
		}
	} else if err != nil {
		return nil, err
	}
	d := &disk{path: path, retainedEvents: keep}
	// All of it is read before it is opened for writing: to do that, bbolt
	// walks the pages in a goroutine of its own, where damage is a panic that
	// nobody could turn into an error.
	if err := d.open(true); err != nil {
		return nil, err
	}
	if err := d.close(); err != nil {
		return nil, err
	}
	if err := d.open(false); err != nil {
		return nil, err
	}
	return d, nil
}

// createDisk makes a store's file. It appears under its name when it is
// complete: a file that exists is never taken for an unfinished one.
func createDisk(dir, path string, fill func(tx *bolt.Tx) (header, error)) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	tmp := path + ".new"
	if err := os.Remove(tmp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bolt.Open(tmp, 0o600, boltOptions(false))
	if err != nil {
		return fmt.Errorf("%s: %w", tmp, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bucketHeader, bucketKeys, bucketEvents, bucketLeases} {
			if _, err := tx.CreateBucket(b); err != nil {
				return err
			}
		}
		h, err := fill(tx)
		if err != nil {
			return err
		}
		return tx.Bucket(bucketHeader).Put(headerKey, h.encode())
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("%s: %w", tmp, err)
	}
	// A name that came up meanwhile is kept: linking refuses to replace it.
	if err := os.Link(tmp, path); err != nil {
		return err
	}
	return errors.Join(os.Remove(tmp), syncDir(dir))
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func boltOptions(readOnly bool) *bolt.Options {
	// The list of free pages is found again at the start instead of being
	// written with every commit.
	return &bolt.Options{Timeout: time.Second, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
}

func (d *disk) damaged(format string, args ...any) error {
	// What bbolt says may hold whole pages.
	return fmt.Errorf("%s is %w: %.300s; it was left as it is: restore a backup into another folder (silvergate state restore)", d.path, ErrDamaged, fmt.Sprintf(format, args...))
}

// guard turns what a damaged page makes bbolt do into an error.
func (d *disk) recoverDamage(do func() error) error { return checksum.Guard(d.path, do) }

func (d *disk) open(readOnly bool) error {
	var file *os.File
	err := d.recoverDamage(func() error {
		// Guards against a file that was cut off: bbolt would make an empty
		// one anew, and read beyond the end of a shorter one.
		st, err := os.Stat(d.path)
		if err != nil {
			return err
		}
		if st.Size() < 4*int64(os.Getpagesize()) {
			return d.damaged("it has %d bytes only", st.Size())
		}
		// Guards against a panic in Open, which would leave the file locked.
		o := boltOptions(readOnly)
		o.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := os.OpenFile(name, flag, mode)
			file = f
			return f, err
		}
		if d.db, err = bolt.Open(d.path, 0o600, o); err != nil {
			if errors.Is(err, berrors.ErrTimeout) {
				return fmt.Errorf("%s: another process has it open", d.path)
			}
			return d.damaged("%v", err)
		}
		return d.db.View(func(tx *bolt.Tx) error {
			if tx.Size() > st.Size() {
				return d.damaged("it has %d bytes of %d", st.Size(), tx.Size())
			}
			if !readOnly {
				return nil // was verified just before
			}
			return d.verify(tx)
		})
	})
	if err != nil {
		if d.db != nil {
			_ = d.recoverDamage(d.db.Close)
			d.db = nil
		}
		if file != nil { // unless bbolt got so far itself
			// The mapping that a panic leaves behind keeps the lock, so
			// closing alone would not give it back.
			_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
			_ = file.Close()
		}
	}
	return err
}

// verify reads everything and compares it with its checksums.
func (d *disk) verify(tx *bolt.Tx) error {
	for _, b := range [][]byte{bucketHeader, bucketKeys, bucketEvents, bucketLeases} {
		if tx.Bucket(b) == nil {
			return d.damaged("its part %q is missing", b)
		}
	}
	if !d.header.decode(tx.Bucket(bucketHeader).Get(headerKey)) {
		return d.damaged("its head does not match its checksum")
	}
	d.ttls, d.leaseKeys = map[uint64]time.Duration{}, map[uint64]map[string]bool{}
	if err := tx.Bucket(bucketLeases).ForEach(func(k, v []byte) error {
		body, ok := checksum.Open(k, v)
		if !ok || len(k) != 8 || len(body) != 8 {
			return d.damaged("grant %x does not match its checksum", k)
		}
		d.ttls[be(k)] = time.Duration(be(body)) * time.Millisecond
		return nil
	}); err != nil {
		return err
	}
	if n := uint64(len(d.ttls)); n != d.header.Leases {
		return d.damaged("it holds %d grants where its head says %d", n, d.header.Leases)
	}
	keys, digest := uint64(0), uint64(0)
	var last []byte
	if err := tx.Bucket(bucketKeys).ForEach(func(k, v []byte) error {
		r, ok := decodeRecord(k, v)
		if !ok || r.modRevision > d.header.Revision || bytes.Compare(k, last) <= 0 {
			return d.damaged("key %q does not match its checksum", k)
		}
		last = append(last[:0], k...)
		keys, digest = keys+1, digest^be(v[len(v)-8:])
		if r.lease != 0 {
			if _, ok := d.ttls[r.lease]; !ok {
				return d.damaged("key %q hangs on grant %d, which is missing", k, r.lease)
			}
			d.attachKey(r.lease, string(k))
		}
		return nil
	}); err != nil {
		return err
	}
	if keys != d.header.Keys || digest != d.header.Digest {
		return d.damaged("it holds %d keys where its head says %d, or others than its digest says", keys, d.header.Keys)
	}
	news, at := uint64(0), uint64(0)
	if err := tx.Bucket(bucketEvents).ForEach(func(k, v []byte) error {
		if _, ok := decodeChange(k, v); !ok || be(k) < max(at, d.header.CompactRevision) || be(k) > d.header.Revision {
			return d.damaged("change %x does not match its checksum", k)
		}
		news, at = news+1, be(k)
		return nil
	}); err != nil {
		return err
	}
	if news != d.header.Events {
		return d.damaged("it holds %d changes where its head says %d", news, d.header.Events)
	}
	return nil
}

// scan calls each for the keys with a prefix that come after from, in order,
// until it returns false.
func (d *disk) scan(prefix, from string, each func(key []byte, r keyRecord) bool) (ledger uint64, err error) {
	err = d.recoverDamage(func() error {
		return d.db.View(func(tx *bolt.Tx) error {
			var h header
			if !h.decode(tx.Bucket(bucketHeader).Get(headerKey)) {
				return d.damaged("its head does not match its checksum")
			}
			ledger = h.Revision
			start := []byte(max(prefix, from))
			c := tx.Bucket(bucketKeys).Cursor()
			for k, v := c.Seek(start); k != nil && bytes.HasPrefix(k, []byte(prefix)); k, v = c.Next() {
				if string(k) <= from {
					continue
				}
				r, ok := decodeRecord(k, v)
				if !ok {
					return d.damaged("key %q does not match its checksum", k)
				}
				if !each(k, r) {
					return nil
				}
			}
			return nil
		})
	})
	return ledger, err
}

// get reads one key.
func (d *disk) get(key string) (r keyRecord, found bool, ledger uint64, err error) {
	ledger, err = d.scan(key, "", func(k []byte, got keyRecord) bool {
		if found = string(k) == key; found {
			r = got
			r.value = bytes.Clone(got.value)
		}
		return false
	})
	return r, found, ledger, err
}

// changes calls each for the changes after a revision, oldest first. It
// returns false when some of them are not kept any more.
func (d *disk) changes(from uint64, each func(c changeEvent)) (ledger uint64, kept bool, err error) {
	err = d.recoverDamage(func() error {
		return d.db.View(func(tx *bolt.Tx) error {
			var h header
			if !h.decode(tx.Bucket(bucketHeader).Get(headerKey)) {
				return d.damaged("its head does not match its checksum")
			}
			ledger, kept = h.Revision, from >= h.CompactRevision
			if !kept {
				return nil
			}
			c := tx.Bucket(bucketEvents).Cursor()
			for k, v := c.Seek(be64(from + 1)); k != nil; k, v = c.Next() {
				ch, ok := decodeChange(k, v)
				if !ok {
					return d.damaged("change %x does not match its checksum", k)
				}
				each(ch)
			}
			return nil
		})
	})
	return ledger, kept, err
}

// request is what the writer is to do: a transaction, a new grant, or the end of
// one.
type request struct {
	txn           *protocol.Txn
	ttl           time.Duration // of a new grant
	expiredLeases uint64        // the grant that ends
	respond       func(result)
}

// result is what came of an order.
type result struct {
	failed        []string // keys whose stamps differ
	leaseExpired  bool
	revision      uint64
	lease         uint64
	leaseNotFound bool // the grant that was to end did not exist
}

// commit carries out orders one after the other, each whole or not at all, and
// makes their changes durable with one sync. The outcomes hold when it returns
// without an error; after an error nothing is known until the file is opened
// again.
func (d *disk) commit(orders []request) (out []result, changes []changeEvent, err error) {
	err = d.recoverDamage(func() error {
		tx, err := d.db.Begin(true)
		if err != nil {
			return err
		}
		defer tx.Rollback()
		w := txnWriter{d: d, header: d.header, keys: tx.Bucket(bucketKeys), events: tx.Bucket(bucketEvents), leases: tx.Bucket(bucketLeases)}
		for i := range orders {
			o, err := w.apply(&orders[i])
			if err != nil {
				return err
			}
			out = append(out, o)
		}
		if w.header == d.header {
			return nil // only comparisons: nothing to sync
		}
		if err := w.compact(); err != nil {
			return err
		}
		if err := tx.Bucket(bucketHeader).Put(headerKey, w.header.encode()); err != nil {
			return err
		}
		if err := tx.Commit(); err != nil {
			return err
		}
		d.header, changes = w.header, w.changes
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	return out, changes, nil
}

// txnWriter carries out the orders of one commit.
type txnWriter struct {
	d                    *disk
	header               header
	keys, events, leases *bolt.Bucket
	changes              []changeEvent
}

func (w *txnWriter) apply(o *request) (result, error) {
	switch {
	case o.txn != nil:
		return w.txn(o.txn)
	case o.expiredLeases != 0:
		return w.expireLease(o.expiredLeases)
	}
	w.header.LastLease, w.header.Leases = w.header.LastLease+1, w.header.Leases+1
	k := be64(w.header.LastLease)
	return result{lease: w.header.LastLease, revision: w.header.Revision}, w.leases.Put(k, checksum.Append(k, be64(uint64(o.ttl.Milliseconds()))))
}

func (w *txnWriter) txn(t *protocol.Txn) (result, error) {
	o := result{revision: w.header.Revision}
	for _, op := range t.Ops {
		if op.Lease != 0 && w.leases.Get(be64(op.Lease)) == nil {
			o.leaseExpired = true // whatever the conditions
			return o, nil
		}
	}
	for _, c := range t.Compares {
		r, ok, err := w.read(c.Key)
		if err != nil {
			return o, err
		}
		if ok && r.modRevision != c.ModRevision || !ok && c.ModRevision != 0 {
			o.failed = append(o.failed, c.Key)
		}
	}
	if o.failed != nil {
		return o, nil
	}
	changed := false
	for _, op := range t.Ops {
		did, err := true, error(nil)
		if op.Put != "" {
			err = w.put(op.Put, op.Value, op.Lease, w.header.Revision+1)
		} else {
			did, err = w.delete(op.Delete, w.header.Revision+1)
		}
		if err != nil {
			return o, err
		}
		changed = changed || did
	}
	if changed {
		w.header.Revision++
	}
	o.revision = w.header.Revision
	return o, nil
}

// expireLease ends a grant: its keys are gone with it, in one change.
func (w *txnWriter) expireLease(grant uint64) (result, error) {
	o := result{revision: w.header.Revision}
	k := be64(grant)
	if w.leases.Get(k) == nil {
		o.leaseNotFound = true
		return o, nil
	}
	changed := false
	for _, key := range slices.Sorted(maps.Keys(w.d.leaseKeys[grant])) {
		did, err := w.delete(key, w.header.Revision+1)
		if err != nil {
			return o, err
		}
		changed = changed || did
	}
	if changed {
		w.header.Revision++
	}
	w.header.Leases--
	delete(w.d.leaseKeys, grant)
	o.revision = w.header.Revision
	return o, w.leases.Delete(k)
}

func (w *txnWriter) read(key string) (keyRecord, bool, error) {
	v := w.keys.Get([]byte(key))
	if v == nil {
		return keyRecord{}, false, nil
	}
	r, ok := decodeRecord([]byte(key), v)
	if !ok {
		return r, false, w.d.damaged("key %q does not match its checksum", key)
	}
	return r, true, nil
}

// detachKey takes a key's old record out of the account.
func (w *txnWriter) detachKey(key string) (there bool, err error) {
	old, there, err := w.read(key)
	if err != nil || !there {
		return false, err
	}
	v := w.keys.Get([]byte(key))
	w.header.Keys--
	w.header.Digest ^= be(v[len(v)-8:])
	if old.lease != 0 {
		delete(w.d.leaseKeys[old.lease], key)
	}
	return true, nil
}

func (w *txnWriter) put(key string, data json.RawMessage, permit, stamp uint64) error {
	if _, err := w.detachKey(key); err != nil {
		return err
	}
	v := encodeRecord([]byte(key), keyRecord{stamp, permit, data})
	w.header.Keys++
	w.header.Digest ^= be(v[len(v)-8:])
	if permit != 0 {
		w.d.attachKey(permit, key)
	}
	if err := w.keys.Put([]byte(key), v); err != nil {
		return err
	}
	return w.appendEvent(changeEvent{key, data, stamp})
}

func (w *txnWriter) delete(key string, stamp uint64) (bool, error) {
	there, err := w.detachKey(key)
	if err != nil || !there {
		return false, err
	}
	if err := w.keys.Delete([]byte(key)); err != nil {
		return false, err
	}
	return true, w.appendEvent(changeEvent{key, nil, stamp})
}

func (w *txnWriter) appendEvent(c changeEvent) error {
	k := append(be64(c.revision), be64(uint64(len(w.changes)))...)
	w.changes = append(w.changes, c)
	w.header.Events++
	return w.events.Put(k, encodeChange(k, c))
}

// compact drops the oldest changes beyond those that watches can go back.
func (w *txnWriter) compact() error {
	c := w.events.Cursor()
	for k, _ := c.First(); k != nil && w.header.Events > uint64(w.d.retainedEvents); k, _ = c.First() {
		w.header.CompactRevision = be(k)
		w.header.Events--
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (d *disk) attachKey(grant uint64, key string) {
	if d.leaseKeys[grant] == nil {
		d.leaseKeys[grant] = map[string]bool{}
	}
	d.leaseKeys[grant][key] = true
}

func (d *disk) close() error { return d.recoverDamage(d.db.Close) }

// ---- encodings: fixed big-endian numbers, then the data, then xxHash64 over
// the key and all before it.

func be64(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }
func be(b []byte) uint64   { return binary.BigEndian.Uint64(b[:8]) }

func encodeRecord(key []byte, r keyRecord) []byte {
	b := make([]byte, 0, 24+len(r.value))
	b = binary.BigEndian.AppendUint64(b, r.modRevision)
	b = binary.BigEndian.AppendUint64(b, r.lease)
	return checksum.Append(key, append(b, r.value...))
}

func decodeRecord(key, v []byte) (keyRecord, bool) {
	b, ok := checksum.Open(key, v)
	if !ok || len(b) < 16 {
		return keyRecord{}, false
	}
	return keyRecord{be(b), be(b[8:]), b[16:]}, true
}

func encodeChange(key []byte, c changeEvent) []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(c.key)))
	b = append(b, c.key...)
	if c.value != nil {
		b = append(append(b, 1), c.value...)
	} else {
		b = append(b, 0)
	}
	return checksum.Append(key, b)
}

func decodeChange(key, v []byte) (changeEvent, bool) {
	b, ok := checksum.Open(key, v)
	if !ok || len(b) < 3 || len(key) != 16 {
		return changeEvent{}, false
	}
	n := int(binary.BigEndian.Uint16(b))
	if len(b) < n+3 {
		return changeEvent{}, false
	}
	c := changeEvent{key: string(b[2 : 2+n]), revision: be(key)}
	if b[2+n] == 1 {
		c.value = bytes.Clone(b[3+n:])
	}
	return c, true
}

func (h *header) encode() []byte {
	var b []byte
	for _, v := range []uint64{h.Revision, h.LastLease, h.CompactRevision, h.Events, h.Leases, h.Keys, h.Digest} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return checksum.Append(headerKey, b)
}

func (h *header) decode(v []byte) bool {
	b, ok := checksum.Open(headerKey, v)
	if !ok || len(b) != 56 {
		return false
	}
	for i, p := range []*uint64{&h.Revision, &h.LastLease, &h.CompactRevision, &h.Events, &h.Leases, &h.Keys, &h.Digest} {
		*p = be(b[8*i:])
	}
	return true
}
