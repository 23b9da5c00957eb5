package statestore

import (
	"fmt"
	"maps"
	"slices"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/checksum"
	"silvergate/internal/protocol"
)

// commit applies requests one after the other, each entirely or not at all, and makes
// their changes durable with one sync. The results are valid if commit returns without an
// error. After an error it is unknown which requests took effect until the file is opened
// again. Only one goroutine may call commit.
func (d *disk) commit(requests []request) (results []result, changes []changeEvent, err error) {
	err = d.guard(func() error {
		results, changes, err = d.commitUnguarded(requests)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	return results, changes, nil
}

func (d *disk) commitUnguarded(requests []request) ([]result, []changeEvent, error) {
	tx, err := d.db.Begin(true)
	if err != nil {
		return nil, nil, fmt.Errorf("begin: %w", err)
	}
	defer tx.Rollback() // no effect after Commit
	w := batchWriter{
		disk:   d,
		header: d.header,
		keys:   tx.Bucket(bucketKeys),
		events: tx.Bucket(bucketEvents),
		leases: tx.Bucket(bucketLeases),
	}
	var results []result
	for i := range requests {
		res, err := w.apply(&requests[i])
		if err != nil {
			return nil, nil, err
		}
		results = append(results, res)
	}
	if w.header == d.header {
		return results, nil, nil // no request changed anything: nothing to sync
	}
	if err := w.compact(); err != nil {
		return nil, nil, fmt.Errorf("drop old events: %w", err)
	}
	if err := tx.Bucket(bucketHeader).Put(headerKey, w.header.encode()); err != nil {
		return nil, nil, fmt.Errorf("write the header: %w", err)
	}
	if err := tx.Commit(); err != nil {
		return nil, nil, fmt.Errorf("write the pages: %w", err)
	}
	d.header = w.header
	return results, w.changes, nil
}

// batchWriter applies the requests of one commit.
type batchWriter struct {
	disk                 *disk
	header               header // becomes the disk's header after the commit
	keys, events, leases *bolt.Bucket
	changes              []changeEvent
}

func (w *batchWriter) apply(r *request) (result, error) {
	switch {
	case r.txn != nil:
		return w.applyTxn(r.txn)
	case r.leaseToRemove != 0:
		return w.removeLease(r.leaseToRemove)
	}
	w.header.LastLease++
	w.header.Leases++
	key := encode64(w.header.LastLease)
	value := checksum.Append(key, encode64(uint64(r.ttl.Milliseconds())))
	if err := w.leases.Put(key, value); err != nil {
		return result{}, fmt.Errorf("write lease %d: %w", w.header.LastLease, err)
	}
	return result{lease: w.header.LastLease, revision: w.header.Revision}, nil
}

func (w *batchWriter) applyTxn(txn *protocol.Txn) (result, error) {
	res := result{revision: w.header.Revision}
	for _, op := range txn.Ops {
		if op.Lease != 0 && w.leases.Get(encode64(op.Lease)) == nil {
			res.leaseExpired = true // regardless of the comparisons
			return res, nil
		}
	}
	failed, err := w.failedCompares(txn.Compares)
	if err != nil || failed != nil {
		res.failed = failed
		return res, err
	}
	err = w.withNextRevision(func(revision uint64) (changed bool, err error) {
		for _, op := range txn.Ops {
			opChanged, err := w.applyOp(op, revision)
			if err != nil {
				return false, err
			}
			changed = changed || opChanged
		}
		return changed, nil
	})
	res.revision = w.header.Revision
	return res, err
}

// failedCompares returns the keys whose comparison fails, in the order of the comparisons, or
// nil if none fails.
func (w *batchWriter) failedCompares(compares []protocol.Compare) (failed []string, err error) {
	for _, c := range compares {
		r, _, err := w.read(c.Key)
		if err != nil {
			return nil, err
		}
		if r.modRevision != c.ModRevision { // 0 for a key that does not exist
			failed = append(failed, c.Key)
		}
	}
	return failed, nil
}

// withNextRevision calls apply with the next revision, and makes it the current one
// if apply changes something.
func (w *batchWriter) withNextRevision(apply func(revision uint64) (changed bool, err error)) error {
	next := w.header.Revision + 1
	changed, err := apply(next)
	if err != nil {
		return err
	}
	if changed {
		w.header.Revision = next
	}
	return nil
}

// applyOp applies a put or a delete and reports whether it changed something, which deleting
// a key that does not exist does not.
func (w *batchWriter) applyOp(op protocol.Op, revision uint64) (changed bool, err error) {
	if op.Put != "" {
		return true, w.put(op, revision)
	}
	return w.delete(op.Delete, revision)
}

// removeLease removes a lease and deletes the keys attached to it, all in one revision.
func (w *batchWriter) removeLease(lease uint64) (result, error) {
	res := result{revision: w.header.Revision}
	key := encode64(lease)
	if w.leases.Get(key) == nil {
		res.leaseNotFound = true
		return res, nil
	}
	err := w.withNextRevision(func(revision uint64) (changed bool, err error) {
		for _, key := range slices.Sorted(maps.Keys(w.disk.leaseKeys[lease])) {
			existed, err := w.delete(key, revision)
			if err != nil {
				return false, err
			}
			changed = changed || existed
		}
		return changed, nil
	})
	if err != nil {
		return res, err
	}
	w.header.Leases--
	delete(w.disk.leaseKeys, lease)
	res.revision = w.header.Revision
	if err := w.leases.Delete(key); err != nil {
		return res, fmt.Errorf("remove lease %d: %w", lease, err)
	}
	return res, nil
}

// read returns a key's record as of the preceding requests of the batch.
func (w *batchWriter) read(key string) (r keyRecord, exists bool, err error) {
	stored := w.keys.Get([]byte(key))
	if stored == nil {
		return keyRecord{}, false, nil
	}
	r, ok := decodeRecord([]byte(key), stored)
	if !ok {
		return r, false, w.disk.damaged("key %q does not match its checksum", key)
	}
	return r, true, nil
}

// subtractRecord subtracts a key's record from the header's count and digest and detaches
// the key from its lease. It reports whether the key existed.
func (w *batchWriter) subtractRecord(key string) (existed bool, err error) {
	r, exists, err := w.read(key)
	if err != nil || !exists {
		return false, err
	}
	w.header.Keys--
	w.header.Digest ^= storedChecksum(w.keys.Get([]byte(key)))
	if r.lease != 0 {
		delete(w.disk.leaseKeys[r.lease], key)
	}
	return true, nil
}

func (w *batchWriter) put(op protocol.Op, revision uint64) error {
	if _, err := w.subtractRecord(op.Put); err != nil {
		return err
	}
	key := []byte(op.Put)
	stored := encodeRecord(key, keyRecord{revision, op.Lease, op.Value})
	w.header.Keys++
	w.header.Digest ^= storedChecksum(stored)
	if op.Lease != 0 {
		w.disk.attachKey(op.Lease, op.Put)
	}
	if err := w.keys.Put(key, stored); err != nil {
		return fmt.Errorf("put %q: %w", key, err)
	}
	return w.appendEvent(changeEvent{op.Put, op.Value, revision})
}

// delete deletes a key and reports whether it existed.
func (w *batchWriter) delete(key string, revision uint64) (existed bool, err error) {
	existed, err = w.subtractRecord(key)
	if err != nil || !existed {
		return false, err
	}
	if err := w.keys.Delete([]byte(key)); err != nil {
		return false, fmt.Errorf("delete %q: %w", key, err)
	}
	return true, w.appendEvent(changeEvent{key, nil, revision})
}

// appendEvent stores a change as an event for watches. The event's key consists of the
// revision and the change's number within the commit, which makes the keys of several
// changes in one revision distinct and keeps them in order.
func (w *batchWriter) appendEvent(c changeEvent) error {
	key := append(encode64(c.revision), encode64(uint64(len(w.changes)))...)
	w.changes = append(w.changes, c)
	w.header.Events++
	if err := w.events.Put(key, encodeChange(key, c)); err != nil {
		return fmt.Errorf("write the event of %q: %w", c.key, err)
	}
	return nil
}

// compact drops the oldest events until no more than disk.retainedEvents are left.
func (w *batchWriter) compact() error {
	cursor := w.events.Cursor()
	for k, _ := cursor.First(); k != nil && w.header.Events > uint64(w.disk.retainedEvents); k, _ = cursor.First() {
		w.header.CompactRevision = decode64(k)
		w.header.Events--
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// attachKey records that a key is to be deleted together with a lease.
func (d *disk) attachKey(lease uint64, key string) {
	if d.leaseKeys[lease] == nil {
		d.leaseKeys[lease] = map[string]bool{}
	}
	d.leaseKeys[lease][key] = true
}
