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

	"silvergate/internal/protocol"
	"silvergate/internal/sealed"
)

// FileName is the store's file in its folder.
const FileName = "state.db"

// Buckets of the file. Every record ends with its checksum, and the head holds
// the number and a digest of all keys, so that a lost page is noticed as well
// as a changed one: bbolt itself checks its two meta pages only.
var (
	bucketHead   = []byte("head")
	bucketKeys   = []byte("keys")
	bucketNews   = []byte("news")
	bucketGrants = []byte("grants")
	headKey      = []byte("head")
)

// ErrDamaged marks a file whose contents contradict its checksums. It is left
// as it is.
var ErrDamaged = sealed.ErrDamaged

// head is what the file says of itself.
type head struct {
	Ledger uint64 // revision of the last change
	Grant  uint64 // the last grant's number
	Floor  uint64 // the highest revision of which changes were dropped
	News   uint64 // number of changes kept
	Grants uint64 // number of grants
	Keys   uint64 // number of keys
	Digest uint64 // of all keys' records, order not minding
}

// record is a key's stored value.
type record struct {
	stamp, permit uint64
	data          []byte
}

// change is one change of a key; data is nil when it was dropped.
type change struct {
	key   string
	data  []byte
	stamp uint64
}

type disk struct {
	db   *bolt.DB
	path string
	keep int // changes kept for watches
	head head
	// attached lists the keys of each grant. It is the writer's alone.
	attached map[uint64]map[string]bool
	ttls     map[uint64]time.Duration // of all grants, as of opening
}

// openDisk opens the store in dir, or makes one, and checks all of it.
func openDisk(dir string, keep int) (*disk, error) {
	path := filepath.Join(dir, FileName)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		if err := createDisk(dir, path, func(*bolt.Tx) (head, error) { return head{}, nil }); err != nil {
			return nil, err
		}
	} else if err != nil {
		return nil, err
	}
	d := &disk{path: path, keep: keep}
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
func createDisk(dir, path string, fill func(tx *bolt.Tx) (head, error)) error {
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
		for _, b := range [][]byte{bucketHead, bucketKeys, bucketNews, bucketGrants} {
			if _, err := tx.CreateBucket(b); err != nil {
				return err
			}
		}
		h, err := fill(tx)
		if err != nil {
			return err
		}
		return tx.Bucket(bucketHead).Put(headKey, h.encode())
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
func (d *disk) guard(do func() error) error { return sealed.Guard(d.path, do) }

func (d *disk) open(readOnly bool) error {
	var file *os.File
	err := d.guard(func() error {
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
			_ = d.guard(d.db.Close)
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
	for _, b := range [][]byte{bucketHead, bucketKeys, bucketNews, bucketGrants} {
		if tx.Bucket(b) == nil {
			return d.damaged("its part %q is missing", b)
		}
	}
	if !d.head.decode(tx.Bucket(bucketHead).Get(headKey)) {
		return d.damaged("its head does not match its checksum")
	}
	d.ttls, d.attached = map[uint64]time.Duration{}, map[uint64]map[string]bool{}
	if err := tx.Bucket(bucketGrants).ForEach(func(k, v []byte) error {
		body, ok := sealed.Open(k, v)
		if !ok || len(k) != 8 || len(body) != 8 {
			return d.damaged("grant %x does not match its checksum", k)
		}
		d.ttls[be(k)] = time.Duration(be(body)) * time.Millisecond
		return nil
	}); err != nil {
		return err
	}
	if n := uint64(len(d.ttls)); n != d.head.Grants {
		return d.damaged("it holds %d grants where its head says %d", n, d.head.Grants)
	}
	keys, digest := uint64(0), uint64(0)
	var last []byte
	if err := tx.Bucket(bucketKeys).ForEach(func(k, v []byte) error {
		r, ok := decodeRecord(k, v)
		if !ok || r.stamp > d.head.Ledger || bytes.Compare(k, last) <= 0 {
			return d.damaged("key %q does not match its checksum", k)
		}
		last = append(last[:0], k...)
		keys, digest = keys+1, digest^be(v[len(v)-8:])
		if r.permit != 0 {
			if _, ok := d.ttls[r.permit]; !ok {
				return d.damaged("key %q hangs on grant %d, which is missing", k, r.permit)
			}
			d.attach(r.permit, string(k))
		}
		return nil
	}); err != nil {
		return err
	}
	if keys != d.head.Keys || digest != d.head.Digest {
		return d.damaged("it holds %d keys where its head says %d, or others than its digest says", keys, d.head.Keys)
	}
	news, at := uint64(0), uint64(0)
	if err := tx.Bucket(bucketNews).ForEach(func(k, v []byte) error {
		if _, ok := decodeChange(k, v); !ok || be(k) < max(at, d.head.Floor) || be(k) > d.head.Ledger {
			return d.damaged("change %x does not match its checksum", k)
		}
		news, at = news+1, be(k)
		return nil
	}); err != nil {
		return err
	}
	if news != d.head.News {
		return d.damaged("it holds %d changes where its head says %d", news, d.head.News)
	}
	return nil
}

// scan calls each for the keys with a prefix that come after from, in order,
// until it returns false.
func (d *disk) scan(prefix, from string, each func(key []byte, r record) bool) (ledger uint64, err error) {
	err = d.guard(func() error {
		return d.db.View(func(tx *bolt.Tx) error {
			var h head
			if !h.decode(tx.Bucket(bucketHead).Get(headKey)) {
				return d.damaged("its head does not match its checksum")
			}
			ledger = h.Ledger
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
func (d *disk) get(key string) (r record, found bool, ledger uint64, err error) {
	ledger, err = d.scan(key, "", func(k []byte, got record) bool {
		if found = string(k) == key; found {
			r = got
			r.data = bytes.Clone(got.data)
		}
		return false
	})
	return r, found, ledger, err
}

// changes calls each for the changes after a revision, oldest first. It
// returns false when some of them are not kept any more.
func (d *disk) changes(from uint64, each func(c change)) (ledger uint64, kept bool, err error) {
	err = d.guard(func() error {
		return d.db.View(func(tx *bolt.Tx) error {
			var h head
			if !h.decode(tx.Bucket(bucketHead).Get(headKey)) {
				return d.damaged("its head does not match its checksum")
			}
			ledger, kept = h.Ledger, from >= h.Floor
			if !kept {
				return nil
			}
			c := tx.Bucket(bucketNews).Cursor()
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

// order is what the writer is to do: a transaction, a new grant, or the end of
// one.
type order struct {
	txn  *protocol.Txn
	ttl  time.Duration // of a new grant
	ends uint64        // the grant that ends
	done func(outcome)
}

// outcome is what came of an order.
type outcome struct {
	failed  []string // keys whose stamps differ
	noLease bool
	ledger  uint64
	grant   uint64
	gone    bool // the grant that was to end did not exist
}

// commit carries out orders one after the other, each whole or not at all, and
// makes their changes durable with one sync. The outcomes hold when it returns
// without an error; after an error nothing is known until the file is opened
// again.
func (d *disk) commit(orders []order) (out []outcome, changes []change, err error) {
	err = d.guard(func() error {
		tx, err := d.db.Begin(true)
		if err != nil {
			return err
		}
		defer tx.Rollback()
		w := writer{d: d, h: d.head, keys: tx.Bucket(bucketKeys), news: tx.Bucket(bucketNews), grants: tx.Bucket(bucketGrants)}
		for i := range orders {
			o, err := w.do(&orders[i])
			if err != nil {
				return err
			}
			out = append(out, o)
		}
		if w.h == d.head {
			return nil // only comparisons: nothing to sync
		}
		if err := w.trim(); err != nil {
			return err
		}
		if err := tx.Bucket(bucketHead).Put(headKey, w.h.encode()); err != nil {
			return err
		}
		if err := tx.Commit(); err != nil {
			return err
		}
		d.head, changes = w.h, w.changes
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	return out, changes, nil
}

// writer carries out the orders of one commit.
type writer struct {
	d                  *disk
	h                  head
	keys, news, grants *bolt.Bucket
	changes            []change
}

func (w *writer) do(o *order) (outcome, error) {
	switch {
	case o.txn != nil:
		return w.txn(o.txn)
	case o.ends != 0:
		return w.end(o.ends)
	}
	w.h.Grant, w.h.Grants = w.h.Grant+1, w.h.Grants+1
	k := be64(w.h.Grant)
	return outcome{grant: w.h.Grant, ledger: w.h.Ledger}, w.grants.Put(k, sealed.Append(k, be64(uint64(o.ttl.Milliseconds()))))
}

func (w *writer) txn(t *protocol.Txn) (outcome, error) {
	o := outcome{ledger: w.h.Ledger}
	for _, op := range t.Ops {
		if op.Lease != 0 && w.grants.Get(be64(op.Lease)) == nil {
			o.noLease = true // whatever the conditions
			return o, nil
		}
	}
	for _, c := range t.Compares {
		r, ok, err := w.read(c.Key)
		if err != nil {
			return o, err
		}
		if ok && r.stamp != c.ModRevision || !ok && c.ModRevision != 0 {
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
			err = w.write(op.Put, op.Value, op.Lease, w.h.Ledger+1)
		} else {
			did, err = w.drop(op.Delete, w.h.Ledger+1)
		}
		if err != nil {
			return o, err
		}
		changed = changed || did
	}
	if changed {
		w.h.Ledger++
	}
	o.ledger = w.h.Ledger
	return o, nil
}

// end ends a grant: its keys are gone with it, in one change.
func (w *writer) end(grant uint64) (outcome, error) {
	o := outcome{ledger: w.h.Ledger}
	k := be64(grant)
	if w.grants.Get(k) == nil {
		o.gone = true
		return o, nil
	}
	changed := false
	for _, key := range slices.Sorted(maps.Keys(w.d.attached[grant])) {
		did, err := w.drop(key, w.h.Ledger+1)
		if err != nil {
			return o, err
		}
		changed = changed || did
	}
	if changed {
		w.h.Ledger++
	}
	w.h.Grants--
	delete(w.d.attached, grant)
	o.ledger = w.h.Ledger
	return o, w.grants.Delete(k)
}

func (w *writer) read(key string) (record, bool, error) {
	v := w.keys.Get([]byte(key))
	if v == nil {
		return record{}, false, nil
	}
	r, ok := decodeRecord([]byte(key), v)
	if !ok {
		return r, false, w.d.damaged("key %q does not match its checksum", key)
	}
	return r, true, nil
}

// forget takes a key's old record out of the account.
func (w *writer) forget(key string) (there bool, err error) {
	old, there, err := w.read(key)
	if err != nil || !there {
		return false, err
	}
	v := w.keys.Get([]byte(key))
	w.h.Keys--
	w.h.Digest ^= be(v[len(v)-8:])
	if old.permit != 0 {
		delete(w.d.attached[old.permit], key)
	}
	return true, nil
}

func (w *writer) write(key string, data json.RawMessage, permit, stamp uint64) error {
	if _, err := w.forget(key); err != nil {
		return err
	}
	v := encodeRecord([]byte(key), record{stamp, permit, data})
	w.h.Keys++
	w.h.Digest ^= be(v[len(v)-8:])
	if permit != 0 {
		w.d.attach(permit, key)
	}
	if err := w.keys.Put([]byte(key), v); err != nil {
		return err
	}
	return w.tell(change{key, data, stamp})
}

func (w *writer) drop(key string, stamp uint64) (bool, error) {
	there, err := w.forget(key)
	if err != nil || !there {
		return false, err
	}
	if err := w.keys.Delete([]byte(key)); err != nil {
		return false, err
	}
	return true, w.tell(change{key, nil, stamp})
}

func (w *writer) tell(c change) error {
	k := append(be64(c.stamp), be64(uint64(len(w.changes)))...)
	w.changes = append(w.changes, c)
	w.h.News++
	return w.news.Put(k, encodeChange(k, c))
}

// trim drops the oldest changes beyond those that watches can go back.
func (w *writer) trim() error {
	c := w.news.Cursor()
	for k, _ := c.First(); k != nil && w.h.News > uint64(w.d.keep); k, _ = c.First() {
		w.h.Floor = be(k)
		w.h.News--
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (d *disk) attach(grant uint64, key string) {
	if d.attached[grant] == nil {
		d.attached[grant] = map[string]bool{}
	}
	d.attached[grant][key] = true
}

func (d *disk) close() error { return d.guard(d.db.Close) }

// ---- encodings: fixed big-endian numbers, then the data, then xxHash64 over
// the key and all before it.

func be64(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }
func be(b []byte) uint64   { return binary.BigEndian.Uint64(b[:8]) }

func encodeRecord(key []byte, r record) []byte {
	b := make([]byte, 0, 24+len(r.data))
	b = binary.BigEndian.AppendUint64(b, r.stamp)
	b = binary.BigEndian.AppendUint64(b, r.permit)
	return sealed.Append(key, append(b, r.data...))
}

func decodeRecord(key, v []byte) (record, bool) {
	b, ok := sealed.Open(key, v)
	if !ok || len(b) < 16 {
		return record{}, false
	}
	return record{be(b), be(b[8:]), b[16:]}, true
}

func encodeChange(key []byte, c change) []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(c.key)))
	b = append(b, c.key...)
	if c.data != nil {
		b = append(append(b, 1), c.data...)
	} else {
		b = append(b, 0)
	}
	return sealed.Append(key, b)
}

func decodeChange(key, v []byte) (change, bool) {
	b, ok := sealed.Open(key, v)
	if !ok || len(b) < 3 || len(key) != 16 {
		return change{}, false
	}
	n := int(binary.BigEndian.Uint16(b))
	if len(b) < n+3 {
		return change{}, false
	}
	c := change{key: string(b[2 : 2+n]), stamp: be(key)}
	if b[2+n] == 1 {
		c.data = bytes.Clone(b[3+n:])
	}
	return c, true
}

func (h *head) encode() []byte {
	var b []byte
	for _, v := range []uint64{h.Ledger, h.Grant, h.Floor, h.News, h.Grants, h.Keys, h.Digest} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return sealed.Append(headKey, b)
}

func (h *head) decode(v []byte) bool {
	b, ok := sealed.Open(headKey, v)
	if !ok || len(b) != 56 {
		return false
	}
	for i, p := range []*uint64{&h.Ledger, &h.Grant, &h.Floor, &h.News, &h.Grants, &h.Keys, &h.Digest} {
		*p = be(b[8*i:])
	}
	return true
}
