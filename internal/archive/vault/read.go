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

func (v *Vault) find(key string) (l loc, err error) {
	err = v.view(func(tx *bolt.Tx) error {
		raw := tx.Bucket(bucketRec).Get([]byte(key))
		if raw == nil {
			return ErrNotHere
		}
		l, err = readLoc([]byte(key), raw)
		return err
	})
	return l, err
}

// Has tells whether a record is here.
func (v *Vault) Has(k archive.Key) bool {
	_, err := v.find(k.String())
	return err == nil
}

// Get reads a record and checks it. A damaged one is taken out of the index.
func (v *Vault) Get(k archive.Key) (archive.Record, error) {
	key := k.String()
	for {
		l, err := v.find(key)
		if err != nil {
			return archive.Record{}, err
		}
		r, err := v.read(key, l)
		if err == nil {
			return r, nil
		}
		if again, err2 := v.find(key); err2 == nil && again != l {
			continue // moved while it was read
		}
		if !errors.Is(err, checksum.ErrDamaged) {
			return archive.Record{}, err
		}
		v.bad(k, l, err)
		return archive.Record{}, err
	}
}

func (v *Vault) read(key string, l loc) (archive.Record, error) {
	buf := make([]byte, l.size)
	v.mu.RLock()
	vol := v.vols[l.vol]
	if vol == nil {
		v.mu.RUnlock()
		return archive.Record{}, fmt.Errorf("%s: no volume %d: %w", key, l.vol, checksum.ErrDamaged)
	}
	_, err := vol.f.ReadAt(buf, l.pos)
	v.mu.RUnlock()
	if err != nil {
		return archive.Record{}, fmt.Errorf("%s: %w: %w", key, err, checksum.ErrDamaged)
	}
	r, err := archive.ReadFrame(bytes.NewReader(buf))
	if err == nil && r.Key.String() != key {
		err = errors.New("another record lies there")
	}
	if err != nil {
		return archive.Record{}, fmt.Errorf("%s at %d of %s is %w: %w", key, l.pos, v.path(l.vol), checksum.ErrDamaged, err)
	}
	return r, nil
}

// bad takes a damaged record out of the index and keeps its volume.
func (v *Vault) bad(k archive.Key, l loc, why error) {
	v.log.Error("a record is damaged; it counts as missing and its volume is kept as it is", "key", k.String(), "volume", v.path(l.vol), "pos", l.pos, "err", why)
	out := false
	err := v.db.Update(func(tx *bolt.Tx) error {
		key := []byte(k.String())
		raw := tx.Bucket(bucketRec).Get(key)
		if now, err := readLoc(key, raw); err != nil || now != l {
			return nil
		}
		out = true
		if err := tx.Bucket(bucketBad).Put(key, l.bytes()); err != nil {
			return err
		}
		return v.unlist(tx, k.String(), nil)
	})
	if err != nil || !out {
		return
	}
	v.mu.Lock()
	if vol := v.vols[l.vol]; vol != nil {
		vol.live, vol.bad = vol.live-l.size, true
	}
	v.stats.Records, v.stats.Bytes, v.stats.Damaged = v.stats.Records-1, v.stats.Bytes-l.size, v.stats.Damaged+1
	v.mu.Unlock()
	v.cfg.Removed(l.info(k))
}

// Info is a record as the index has it.
type Info struct {
	Key   archive.Key
	Bytes int64
	At    time.Time
}

// Keys lists the records whose keys begin with prefix and come after from, in
// order, no more than limit.
func (v *Vault) Keys(prefix, from string, limit int) (out []Info, more bool, err error) {
	err = v.view(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketRec).Cursor()
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
			l, err := readLoc(k, raw)
			if err != nil {
				return err
			}
			key, err := archive.ParseKey(string(k))
			if err != nil {
				return err
			}
			out = append(out, l.info(key))
		}
		return nil
	})
	return out, more, err
}

// Find lists the attempts that have a label, of those whose names begin with
// prefix, after one of them, no more than limit.
func (v *Vault) Find(label, prefix, from string, limit int) (out []string, more bool, err error) {
	head := label + "\x00"
	err = v.view(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketBy).Cursor()
		for k, _ := c.Seek([]byte(head + max(prefix, from))); k != nil && strings.HasPrefix(string(k), head+prefix); k, _ = c.Next() {
			a := string(k[len(head):])
			if a == from {
				continue
			}
			if len(out) == limit {
				more = true
				return nil
			}
			out = append(out, a)
		}
		return nil
	})
	return out, more, err
}

// Labelled tells whether an attempt has a label.
func (v *Vault) Labelled(label, attempt string) (ok bool) {
	_ = v.view(func(tx *bolt.Tx) error {
		key := []byte(label + "\x00" + attempt)
		k, _ := tx.Bucket(bucketBy).Cursor().Seek(key)
		ok = bytes.Equal(k, key)
		return nil
	})
	return ok
}
