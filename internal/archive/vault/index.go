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

// The index's buckets.
var (
	bucketRecords = []byte("rec") // key: location, with its checksum
	bucketLabels  = []byte("by")  // label, zero byte, attempt: nothing
	bucketDamaged = []byte("bad") // key: location of a record that was found damaged
)

// indexOptions are how the index is opened. Opening waits at most a second for
// another process that has it open.
func indexOptions(readOnly bool) *bolt.Options {
	return &bolt.Options{Timeout: time.Second, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
}

// minIndexPages is the size of the smallest index that bbolt makes, in pages.
const minIndexPages = 4

// indexBuckets are the buckets that an index must have.
var indexBuckets = [][]byte{bucketRecords, bucketLabels, bucketDamaged}

// damagedIndex returns an error that wraps checksum.ErrDamaged.
func damagedIndex(path, format string, args ...any) error {
	return fmt.Errorf("%s is %w: %.300s", path, checksum.ErrDamaged, fmt.Sprintf(format, args...))
}

// verifyIndex reads an index whole before it is opened for writing: bbolt itself
// then walks it in a goroutine of its own, where a damaged page ends the process.
// An index that does not exist is no error; a damaged one is checksum.ErrDamaged.
func verifyIndex(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() < minIndexPages*int64(os.Getpagesize()) {
		return damagedIndex(path, "it has %d bytes only", info.Size())
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
		// The mapping that a panic leaves behind keeps the lock.
		_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
		_ = file.Close()
	}
	return err
}

// verifyBuckets reads every entry of an index file of fileSize bytes and checks
// that keys are in order.
func verifyBuckets(tx *bolt.Tx, path string, fileSize int64) error {
	if tx.Size() > fileSize {
		return damagedIndex(path, "it has %d bytes of %d", fileSize, tx.Size())
	}
	for _, name := range indexBuckets {
		bucket := tx.Bucket(name)
		if bucket == nil {
			return damagedIndex(path, "its part %q is missing", name)
		}
		var last []byte
		err := bucket.ForEach(func(key, _ []byte) error {
			if last != nil && bytes.Compare(key, last) <= 0 {
				return damagedIndex(path, "its keys are out of order")
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

// indexEntry is a record as the index lists it.
type indexEntry struct {
	key      archive.Key
	location recordLocation
}

// openIndex opens the index, reads all of it and counts the records. fresh tells
// that it was made just now; an empty file counts as such, too.
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
	v.log.Error("records are not where the index has them: a volume is gone or cut off; they count as missing", "records", len(lost), "first", lost[0])
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

// createBuckets makes the buckets that an index lacks. fresh tells that it had none
// for records.
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
// An entry that can't be read is checksum.ErrDamaged.
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

// countEntries counts the listed records and returns the keys of those whose
// volume is missing or too short.
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
// calls Config.Added. It takes no lock: only openAll and what it calls use it.
func (v *Vault) countStored(k archive.Key, location recordLocation) {
	volume := v.volumes[location.volumeID]
	volume.size = max(volume.size, location.offset+location.size)
	volume.live += location.size
	v.stats.Records++
	v.stats.Bytes += location.size
	v.cfg.Added(location.info(k))
}

// info returns the index's view of the record that lies here.
func (l recordLocation) info(key archive.Key) Info {
	return Info{Key: key, Bytes: l.size, At: time.UnixMilli(l.storedAt)}
}

// encodedLocationBytes is the length of a stored location, without its checksum.
const encodedLocationBytes = 24

// encode returns the stored form: volume, offset, size and time, big-endian.
func (l recordLocation) encode() []byte {
	b := binary.BigEndian.AppendUint32(nil, l.volumeID)
	b = binary.BigEndian.AppendUint64(b, uint64(l.offset))
	b = binary.BigEndian.AppendUint32(b, uint32(l.size))
	return binary.BigEndian.AppendUint64(b, uint64(l.storedAt))
}

// decodeLocation reads a location as encode and checksum.Append stored it under a
// key, or returns checksum.ErrDamaged.
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

// viewIndex reads the index. Guards against a page that is damaged while it is open,
// which makes bbolt panic.
//
// The path is the vault's own and not bbolt's, which clears its as it closes: a node that
// stops may still be answering a reader.
func (v *Vault) viewIndex(do func(tx *bolt.Tx) error) error {
	path := filepath.Join(v.cfg.Dir, indexFile)
	return checksum.Guard(path, func() error { return v.db.View(do) })
}

// labelKey is the key under which the index lists an attempt by a label.
func labelKey(label, attempt string) []byte { return []byte(label + "\x00" + attempt) }

// addEntry enters a record and its labels into the index.
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

// removeEntry takes a record out of the index, and its labels too if r is not nil.
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
