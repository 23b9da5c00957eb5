package vault

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"silvergate/internal/archive"
	"silvergate/internal/checksum"
)

// The buckets of the index, each with its keys and values.
var (
	bucketRecords = []byte("rec") // record key: location with a checksum
	bucketLabels  = []byte("by")  // label, zero byte, attempt: empty value
	bucketDamaged = []byte("bad") // record key: location of a record that was found damaged
)

// indexOptions returns the options for opening the index. Opening waits at most a
// second for another process that has the index open.
func indexOptions(readOnly bool) *bolt.Options {
	return &bolt.Options{Timeout: time.Second, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
}

// minIndexPages is the size in pages of the smallest index that bbolt creates.
const minIndexPages = 4

// indexBuckets are the buckets that an index must have.
var indexBuckets = [][]byte{bucketRecords, bucketLabels, bucketDamaged}

// damagedIndex returns an error that wraps checksum.ErrDamaged and says what is wrong.
func damagedIndex(path, format string, args ...any) error {
	return fmt.Errorf("%s is %w: %.300s", path, checksum.ErrDamaged, fmt.Sprintf(format, args...))
}

// verifyIndex reads the whole index before it is opened for writing. When bbolt opens a
// file for writing, it walks the file in its own goroutine, where a damaged page panics
// and ends the process. verifyIndex returns nil if the index does not exist, and
// checksum.ErrDamaged if it is damaged.
func verifyIndex(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() < minIndexPages*int64(os.Getpagesize()) {
		return damagedIndex(path, "it has only %d bytes", info.Size())
	}
	var file *os.File
	var db *bolt.DB
	err = checksum.Guard(path, func() (err error) {
		readOnly := indexOptions(true)
		readOnly.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := os.OpenFile(name, flag, mode)
			file = f
			return f, err
		}
		if db, err = bolt.Open(path, 0o600, readOnly); err != nil {
			if errors.Is(err, berrors.ErrTimeout) {
				return fmt.Errorf("%s: another process has it open", path)
			}
			return damagedIndex(path, "%v", err)
		}
		return db.View(func(tx *bolt.Tx) error { return verifyBuckets(tx, path, info.Size()) })
	})
	if db != nil {
		err = errors.Join(err, checksum.Guard(path, db.Close))
	}
	if err != nil && file != nil {
		// After a panic bbolt's memory mapping stays, and with it the lock on the file.
		_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
		_ = file.Close()
	}
	return err
}

// verifyBuckets reads every entry of an index file of fileSize bytes, and checks that
// no bucket is missing and that keys are in order.
func verifyBuckets(tx *bolt.Tx, path string, fileSize int64) error {
	if tx.Size() > fileSize {
		return damagedIndex(path, "the file has %d bytes of %d", fileSize, tx.Size())
	}
	for _, name := range indexBuckets {
		bucket := tx.Bucket(name)
		if bucket == nil {
			return damagedIndex(path, "bucket %q is missing", name)
		}
		var last []byte
		err := bucket.ForEach(func(key, _ []byte) error {
			if last != nil && bytes.Compare(key, last) <= 0 {
				return damagedIndex(path, "the keys are out of order")
			}
			last = append(last[:0], key...)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// indexEntry is a record's entry in the index.
type indexEntry struct {
	key      archive.Key
	location recordLocation
}

// openIndex opens the index, reads all of it and counts the records. It removes the
// entries of records whose volume is missing or too short. fresh reports whether the
// index was created by this call; an empty file counts as new, too.
func (v *Vault) openIndex(path string) (fresh bool, err error) {
	db, err := bolt.Open(path, 0o600, indexOptions(false))
	if err != nil {
		return false, err
	}
	v.db = db
	db.MaxBatchDelay = 0
	if fresh, err = createBuckets(db); err != nil {
		return false, err
	}
	entries, err := readEntries(db, path)
	if err != nil {
		_ = db.Close()
		v.db = nil
		return false, err
	}
	lost := v.countEntries(entries)
	if len(lost) == 0 {
		return fresh, nil
	}
	v.log.Error("the index lists records whose volume is missing or truncated; they count as missing", "records", len(lost), "first", lost[0])
	v.stats.Damaged += int64(len(lost))
	return false, db.Update(func(tx *bolt.Tx) error {
		for _, key := range lost {
			if err := v.removeEntry(tx, key, nil); err != nil {
				return err
			}
		}
		return nil
	})
}

// createBuckets creates the buckets that an index lacks. fresh reports whether the index
// had no bucket for records before.
func createBuckets(db *bolt.DB) (fresh bool, err error) {
	err = db.Update(func(tx *bolt.Tx) error {
		fresh = tx.Bucket(bucketRecords) == nil
		for _, name := range indexBuckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	return fresh, nil
}

// readEntries returns all records that the index lists, in the order of their keys.
// It returns checksum.ErrDamaged if an entry can't be read.
func readEntries(db *bolt.DB, path string) (entries []indexEntry, err error) {
	err = db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketRecords).ForEach(func(k, raw []byte) error {
			location, err := decodeLocation(k, raw)
			if err != nil {
				return fmt.Errorf("%s: the entry of %.100q is %w", path, k, checksum.ErrDamaged)
			}
			key, err := archive.ParseKey(string(k))
			if err != nil {
				return fmt.Errorf("%s: %w: %w", path, err, checksum.ErrDamaged)
			}
			entries = append(entries, indexEntry{key, location})
			return nil
		})
	})
	return entries, err
}

// countEntries adds the listed records to the counters. It leaves out records whose
// volume is missing or too short, and returns their keys.
func (v *Vault) countEntries(entries []indexEntry) (lost []string) {
	for _, e := range entries {
		volume := v.volumes[e.location.volumeID]
		if volume == nil {
			lost = append(lost, e.key.String())
			continue
		}
		if info, err := volume.file.Stat(); err != nil || info.Size() < e.location.offset+e.location.size {
			lost = append(lost, e.key.String())
			continue
		}
		v.countStored(e.key, e.location)
	}
	return lost
}

// countStored adds a stored record to its volume's size and to the counters, and
// calls Config.Added. It takes no lock, as it is only called while the vault is opened.
func (v *Vault) countStored(k archive.Key, location recordLocation) {
	volume := v.volumes[location.volumeID]
	volume.size = max(volume.size, location.offset+location.size)
	volume.live += location.size
	v.stats.Records++
	v.stats.Bytes += location.size
	v.cfg.Added(location.info(k))
}

// info describes the record with this key and location to callers.
func (l recordLocation) info(key archive.Key) RecordInfo {
	return RecordInfo{Key: key, Bytes: l.size, StoredAt: time.UnixMilli(l.storedAt)}
}

// encodedLocationBytes is the length of a stored location, without its checksum.
const encodedLocationBytes = 24

// encode returns the stored form: volume, offset, size and storage time, big-endian.
func (l recordLocation) encode() []byte {
	b := binary.BigEndian.AppendUint32(nil, l.volumeID)
	b = binary.BigEndian.AppendUint64(b, uint64(l.offset))
	b = binary.BigEndian.AppendUint32(b, uint32(l.size))
	return binary.BigEndian.AppendUint64(b, uint64(l.storedAt))
}

// decodeLocation decodes a location that encode and checksum.Append stored under a
// key. It returns checksum.ErrDamaged if the checksum or the length is wrong.
func decodeLocation(key, stored []byte) (recordLocation, error) {
	b, ok := checksum.Open(key, stored)
	if !ok || len(b) != encodedLocationBytes {
		return recordLocation{}, checksum.ErrDamaged
	}
	return recordLocation{
		volumeID: binary.BigEndian.Uint32(b),
		offset:   int64(binary.BigEndian.Uint64(b[4:])),
		size:     int64(binary.BigEndian.Uint32(b[12:])),
		storedAt: int64(binary.BigEndian.Uint64(b[16:])),
	}, nil
}

// viewIndex runs read in a read-only transaction of the index. It turns a panic, which
// bbolt raises for a page that is damaged while the index is open, into an error.
//
// The path in the error comes from the settings: bbolt clears its own path when the index
// is closed, and a node that is stopping may still answer a reader after that.
func (v *Vault) viewIndex(read func(tx *bolt.Tx) error) error {
	path := filepath.Join(v.cfg.Dir, indexFile)
	return checksum.Guard(path, func() error { return v.db.View(read) })
}

// labelKey returns the key under which the index lists an attempt for a label.
func labelKey(label, attempt string) []byte { return []byte(label + "\x00" + attempt) }

// addEntry adds a record and its labels to the index.
func (v *Vault) addEntry(tx *bolt.Tx, r *archive.Record, location recordLocation) error {
	key := []byte(r.Key.String())
	if err := tx.Bucket(bucketRecords).Put(key, checksum.Append(key, location.encode())); err != nil {
		return err
	}
	for _, label := range v.cfg.Labels(r) {
		if err := tx.Bucket(bucketLabels).Put(labelKey(label, r.Key.Attempt.String()), nil); err != nil {
			return err
		}
	}
	return nil
}

// removeEntry removes a record from the index, and its labels too if r is not nil.
func (v *Vault) removeEntry(tx *bolt.Tx, key string, r *archive.Record) error {
	if r != nil {
		for _, label := range v.cfg.Labels(r) {
			if err := tx.Bucket(bucketLabels).Delete(labelKey(label, r.Key.Attempt.String())); err != nil {
				return err
			}
		}
	}
	return tx.Bucket(bucketRecords).Delete([]byte(key))
}
