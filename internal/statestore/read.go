package statestore

import (
	"bytes"

	bolt "go.etcd.io/bbolt"
)

// view calls read with a snapshot of the file and the snapshot's header.
func (d *disk) view(read func(tx *bolt.Tx, h header) error) error {
	return d.guard(func() error {
		return d.db.View(func(tx *bolt.Tx) error {
			var h header
			if err := d.readHeader(tx, &h); err != nil {
				return err
			}
			return read(tx, h)
		})
	})
}

func (d *disk) readHeader(tx *bolt.Tx, h *header) error {
	if !h.decode(tx.Bucket(bucketHeader).Get(headerKey)) {
		return d.damaged("its head does not match its checksum")
	}
	return nil
}

// scan calls each for the keys that have the prefix and sort after from, in order, until
// each returns false. The key and the record's value are only valid until each returns.
// revision is the revision of the snapshot.
func (d *disk) scan(prefix, from string, each func(key []byte, r keyRecord) bool) (revision uint64, err error) {
	err = d.view(func(tx *bolt.Tx, h header) error {
		revision = h.Revision
		start, prefixBytes := []byte(max(prefix, from)), []byte(prefix)
		cursor := tx.Bucket(bucketKeys).Cursor()
		for k, v := cursor.Seek(start); k != nil && bytes.HasPrefix(k, prefixBytes); k, v = cursor.Next() {
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
	return revision, err
}

// get reads one key. revision is the revision of the snapshot.
func (d *disk) get(key string) (r keyRecord, found bool, revision uint64, err error) {
	revision, err = d.scan(key, "", func(k []byte, got keyRecord) bool {
		if found = string(k) == key; found {
			r = got
			r.value = bytes.Clone(got.value)
		}
		return false
	})
	return r, found, revision, err
}

// changes calls each for the changes after a revision, oldest first. If some of these
// changes are not retained any more, it does not call each and returns retained as false.
// revision is the revision of the snapshot.
func (d *disk) changes(from uint64, each func(c changeEvent)) (revision uint64, retained bool, err error) {
	err = d.view(func(tx *bolt.Tx, h header) error {
		revision, retained = h.Revision, from >= h.CompactRevision
		if !retained {
			return nil
		}
		cursor := tx.Bucket(bucketEvents).Cursor()
		for k, v := cursor.Seek(encode64(from + 1)); k != nil; k, v = cursor.Next() {
			c, ok := decodeChange(k, v)
			if !ok {
				return d.damaged("change %x does not match its checksum", k)
			}
			each(c)
		}
		return nil
	})
	return revision, retained, err
}
