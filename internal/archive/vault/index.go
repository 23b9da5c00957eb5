package vault

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"silvergate/internal/archive"
	"silvergate/internal/checksum"
)

var (
	bucketRec = []byte("rec") // key: location, sealed
	bucketBy  = []byte("by")  // label, 0, attempt
	bucketBad = []byte("bad") // key, volume, position of what was found damaged
)

func options(readOnly bool) *bolt.Options {
	return &bolt.Options{Timeout: time.Second, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
}

// verify reads an index whole before it is opened for writing: bbolt itself then
// walks it in a goroutine of its own, where a damaged page ends the process.
func verify(path string) error {
	st, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	damaged := func(format string, args ...any) error {
		return fmt.Errorf("%s is %w: %.300s", path, checksum.ErrDamaged, fmt.Sprintf(format, args...))
	}
	if st.Size() < 4*int64(os.Getpagesize()) {
		return damaged("it has %d bytes only", st.Size())
	}
	var file *os.File
	var db *bolt.DB
	err = checksum.Guard(path, func() (err error) {
		o := options(true)
		o.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := os.OpenFile(name, flag, mode)
			file = f
			return f, err
		}
		if db, err = bolt.Open(path, 0o600, o); err != nil {
			if errors.Is(err, berrors.ErrTimeout) {
				return fmt.Errorf("%s: another process has it open", path)
			}
			return damaged("%v", err)
		}
		return db.View(func(tx *bolt.Tx) error {
			if tx.Size() > st.Size() {
				return damaged("it has %d bytes of %d", st.Size(), tx.Size())
			}
			for _, name := range [][]byte{bucketRec, bucketBy, bucketBad} {
				b := tx.Bucket(name)
				if b == nil {
					return damaged("its part %q is missing", name)
				}
				var last []byte
				if err := b.ForEach(func(k, _ []byte) error {
					if last != nil && bytes.Compare(k, last) <= 0 {
						return damaged("its keys are out of order")
					}
					last = append(last[:0], k...)
					return nil
				}); err != nil {
					return err
				}
			}
			return nil
		})
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

// openIndex opens the index and reads all of it. fresh tells that it was made just
// now: an empty file is one, too.
func (v *Vault) openIndex(path string) (fresh bool, err error) {
	db, err := bolt.Open(path, 0o600, options(false))
	if err != nil {
		return false, err
	}
	v.db = db
	db.MaxBatchDelay = 0
	if err := db.Update(func(tx *bolt.Tx) error {
		fresh = tx.Bucket(bucketRec) == nil
		for _, b := range [][]byte{bucketRec, bucketBy, bucketBad} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return false, err
	}
	type entry struct {
		k archive.Key
		l loc
	}
	var all []entry
	if err := db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketRec).ForEach(func(k, raw []byte) error {
			l, err := readLoc(k, raw)
			if err != nil {
				return fmt.Errorf("%s: the entry of %.100q is %w", path, k, checksum.ErrDamaged)
			}
			key, err := archive.ParseKey(string(k))
			if err != nil {
				return fmt.Errorf("%s: %w: %w", path, err, checksum.ErrDamaged)
			}
			all = append(all, entry{key, l})
			return nil
		})
	}); err != nil {
		_ = db.Close()
		v.db = nil
		return false, err
	}
	var lost []string
	for _, e := range all {
		vol := v.vols[e.l.vol]
		if vol == nil {
			lost = append(lost, e.k.String())
			continue
		}
		if info, err := vol.f.Stat(); err != nil || info.Size() < e.l.pos+e.l.size {
			lost = append(lost, e.k.String())
			continue
		}
		v.enter(e.k, e.l)
	}
	if len(lost) > 0 {
		v.log.Error("records are not where the index has them: a volume is gone or cut off; they count as missing", "records", len(lost), "first", lost[0])
		v.stats.Damaged += int64(len(lost))
		return false, db.Update(func(tx *bolt.Tx) error {
			for _, k := range lost {
				if err := v.unlist(tx, k, nil); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return fresh, nil
}

// enter counts a record in.
func (v *Vault) enter(k archive.Key, l loc) {
	vol := v.vols[l.vol]
	vol.size = max(vol.size, l.pos+l.size)
	vol.live += l.size
	v.stats.Records++
	v.stats.Bytes += l.size
	v.cfg.Added(l.info(k))
}

func (l loc) info(k archive.Key) Info { return Info{k, l.size, time.UnixMilli(l.at)} }

func (l loc) bytes() []byte {
	b := binary.BigEndian.AppendUint32(nil, l.vol)
	b = binary.BigEndian.AppendUint64(b, uint64(l.pos))
	b = binary.BigEndian.AppendUint32(b, uint32(l.size))
	return binary.BigEndian.AppendUint64(b, uint64(l.at))
}

func readLoc(key, stored []byte) (loc, error) {
	b, ok := checksum.Open(key, stored)
	if !ok || len(b) != 24 {
		return loc{}, checksum.ErrDamaged
	}
	return loc{binary.BigEndian.Uint32(b), int64(binary.BigEndian.Uint64(b[4:])), int64(binary.BigEndian.Uint32(b[12:])), int64(binary.BigEndian.Uint64(b[16:]))}, nil
}

// view reads the index. Guards against a page that is damaged while it is open,
// which makes bbolt panic.
func (v *Vault) view(do func(tx *bolt.Tx) error) error {
	return checksum.Guard(v.db.Path(), func() error { return v.db.View(do) })
}

// list and unlist change the index in a transaction.
func (v *Vault) list(tx *bolt.Tx, r *archive.Record, l loc) error {
	key := []byte(r.Key.String())
	if err := tx.Bucket(bucketRec).Put(key, checksum.Append(key, l.bytes())); err != nil {
		return err
	}
	for _, label := range v.cfg.Labels(r) {
		if err := tx.Bucket(bucketBy).Put([]byte(label+"\x00"+r.Key.Attempt.String()), nil); err != nil {
			return err
		}
	}
	return nil
}

func (v *Vault) unlist(tx *bolt.Tx, key string, r *archive.Record) error {
	if r != nil {
		for _, label := range v.cfg.Labels(r) {
			if err := tx.Bucket(bucketBy).Delete([]byte(label + "\x00" + r.Key.Attempt.String())); err != nil {
				return err
			}
		}
	}
	return tx.Bucket(bucketRec).Delete([]byte(key))
}
