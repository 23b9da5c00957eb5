package vault

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/archive"
	"silvergate/internal/checksum"
)

// find returns a record's location, or ErrNotFound if the index does not list the record.
func (v *Vault) find(key string) (location recordLocation, err error) {
	err = v.viewIndex(func(tx *bolt.Tx) error {
		raw := tx.Bucket(bucketRecords).Get([]byte(key))
		if raw == nil {
			return ErrNotFound
		}
		location, err = decodeLocation([]byte(key), raw)
		return err
	})
	return location, err
}

// Has reports whether the index lists a record. It returns false also if the index
// can't be read.
func (v *Vault) Has(k archive.Key) bool {
	_, err := v.find(k.String())
	return err == nil
}

// Get reads a record and checks its frame's checksum. It returns ErrNotFound if the
// vault does not have the record, and checksum.ErrDamaged if the record is damaged, in
// which case Get removes it from the index. The caller owns the result.
func (v *Vault) Get(k archive.Key) (archive.Record, error) {
	key := k.String()
	for {
		location, err := v.find(key)
		if err != nil {
			return archive.Record{}, err
		}
		r, err := v.read(key, location)
		if err == nil {
			return r, nil
		}
		if current, err2 := v.find(key); err2 == nil && current != location {
			continue // compaction moved the record during the read
		}
		if !errors.Is(err, checksum.ErrDamaged) {
			return archive.Record{}, err
		}
		v.removeDamaged(k, location, err)
		return archive.Record{}, err
	}
}

// read reads the record with a key from its location.
func (v *Vault) read(key string, location recordLocation) (archive.Record, error) {
	buf := make([]byte, location.size)
	v.mu.RLock()
	volume := v.volumes[location.volumeID]
	if volume == nil {
		v.mu.RUnlock()
		return archive.Record{}, fmt.Errorf("%s: no volume %d: %w", key, location.volumeID, checksum.ErrDamaged)
	}
	_, err := volume.file.ReadAt(buf, location.offset)
	v.mu.RUnlock()
	if err != nil {
		return archive.Record{}, fmt.Errorf("%s: %w: %w", key, err, checksum.ErrDamaged)
	}
	r, err := archive.ReadFrame(bytes.NewReader(buf))
	if err == nil && r.Key.String() != key {
		err = errors.New("the location holds another record")
	}
	if err != nil {
		return archive.Record{}, fmt.Errorf("%s at %d of %s is %w: %w", key, location.offset, v.volumePath(location.volumeID), checksum.ErrDamaged, err)
	}
	return r, nil
}

// removeDamaged removes a damaged record from the index and marks its volume as damaged,
// so that the volume is not removed while the vault is open.
func (v *Vault) removeDamaged(k archive.Key, location recordLocation, why error) {
	v.log.Error("a record is damaged; it counts as missing and its volume is kept unchanged",
		"key", k.String(), "volume", v.volumePath(location.volumeID), "pos", location.offset, "error", why)
	removed := false
	err := v.db.Update(func(tx *bolt.Tx) error {
		key := []byte(k.String())
		raw := tx.Bucket(bucketRecords).Get(key)
		if now, err := decodeLocation(key, raw); err != nil || now != location {
			return nil
		}
		removed = true
		if err := tx.Bucket(bucketDamaged).Put(key, location.encode()); err != nil {
			return err
		}
		return v.removeEntry(tx, k.String(), nil)
	})
	if err != nil || !removed {
		return
	}
	v.mu.Lock()
	if volume := v.volumes[location.volumeID]; volume != nil {
		volume.live, volume.damaged = volume.live-location.size, true
	}
	v.stats.Records, v.stats.Bytes, v.stats.Damaged = v.stats.Records-1, v.stats.Bytes-location.size, v.stats.Damaged+1
	v.mu.Unlock()
	v.cfg.Removed(location.info(k))
}

// RecordInfo describes a stored record from its index entry.
type RecordInfo struct {
	Key      archive.Key
	Bytes    int64     // size of its frame
	StoredAt time.Time // when it was stored
}

// List lists the records whose keys begin with prefix and come after from, in the
// order of their keys, at most limit. more reports whether there are others. List
// returns an error only if the index can't be read.
func (v *Vault) List(prefix, from string, limit int) (out []RecordInfo, more bool, err error) {
	err = v.viewIndex(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketRecords).Cursor()
		begin := prefix
		if from > begin {
			begin = from
		}
		for k, raw := c.Seek([]byte(begin)); k != nil && strings.HasPrefix(string(k), prefix); k, raw = c.Next() {
			if string(k) == from {
				continue
			}
			if len(out) == limit {
				more = true
				return nil
			}
			location, err := decodeLocation(k, raw)
			if err != nil {
				return err
			}
			key, err := archive.ParseKey(string(k))
			if err != nil {
				return err
			}
			out = append(out, location.info(key))
		}
		return nil
	})
	return out, more, err
}

// FindAttempts lists the attempts that have a label and whose names begin with prefix and come
// after from, in order, at most limit. more reports whether there are others. FindAttempts
// returns an error only if the index can't be read.
func (v *Vault) FindAttempts(label, prefix, from string, limit int) (out []string, more bool, err error) {
	head := label + "\x00"
	err = v.viewIndex(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketLabels).Cursor()
		for k, _ := c.Seek([]byte(head + max(prefix, from))); k != nil && strings.HasPrefix(string(k), head+prefix); k, _ = c.Next() {
			attempt := string(k[len(head):])
			if attempt == from {
				continue
			}
			if len(out) == limit {
				more = true
				return nil
			}
			out = append(out, attempt)
		}
		return nil
	})
	return out, more, err
}

// HasLabel reports whether an attempt has a label. It returns false also if the index
// can't be read.
func (v *Vault) HasLabel(label, attempt string) (ok bool) {
	_ = v.viewIndex(func(tx *bolt.Tx) error {
		key := labelKey(label, attempt)
		k, _ := tx.Bucket(bucketLabels).Cursor().Seek(key)
		ok = bytes.Equal(k, key)
		return nil
	})
	return ok
}
