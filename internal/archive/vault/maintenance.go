package vault

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/archive"
	"silvergate/internal/checksum"
)

// tidy removes volumes that hold nothing, and chooses the one to append to: one
// with a tail that the index does not know is left as it is.
func (v *Vault) tidy() error {
	for id, vol := range v.vols {
		if vol.live == 0 && !vol.bad {
			vol.f.Close()
			if err := os.Remove(v.path(id)); err != nil {
				return err
			}
			delete(v.vols, id)
		}
	}
	if vol := v.vols[v.cur]; vol != nil {
		if info, err := vol.f.Stat(); err == nil && info.Size() == vol.size && vol.size < v.cfg.VolumeBytes {
			return nil
		}
	}
	return v.begin()
}

// compact empties one volume of which little is left, and removes those that hold
// nothing. It runs in the writer.
func (v *Vault) compact() {
	v.mu.Lock()
	var thin uint32
	for _, id := range sortedIDs(v.vols) {
		vol := v.vols[id]
		if id == v.cur || vol.bad {
			continue
		}
		if vol.live == 0 {
			vol.f.Close()
			if err := os.Remove(v.path(id)); err != nil {
				v.log.Error("an empty volume can't be removed", "volume", v.path(id), "err", err)
				continue
			}
			delete(v.vols, id)
			continue
		}
		if thin == 0 && vol.live*4 < vol.size {
			thin = id
		}
	}
	v.mu.Unlock()
	if thin == 0 {
		return
	}
	var keys []string
	var locs []loc
	_ = v.view(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketRec).ForEach(func(k, raw []byte) error {
			if l, err := readLoc(k, raw); err == nil && l.vol == thin {
				keys, locs = append(keys, string(k)), append(locs, l)
			}
			return nil
		})
	})
	p := &put{move: map[string]loc{}}
	for i, key := range keys {
		k, err := archive.ParseKey(key)
		if err != nil {
			continue
		}
		r, err := v.read(key, locs[i])
		if err != nil {
			v.bad(k, locs[i], err)
			continue
		}
		p.recs, p.move[key] = append(p.recs, r), locs[i]
	}
	if err := v.commit([]*put{p}); err != nil {
		v.log.Error("a volume can't be emptied now", "volume", v.path(thin), "err", err)
		return
	}
	v.mu.Lock()
	v.stats.Compacted++
	v.mu.Unlock()
}

func sortedIDs(m map[uint32]*volume) []uint32 {
	out := make([]uint32, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// rebuild makes the index out of the volumes. What a volume holds that was never
// acknowledged, or was dropped, comes back with it; the one does no harm, and the
// other goes again as the records that say so are there too.
func (v *Vault) rebuild() error {
	for _, id := range sortedIDs(v.vols) {
		raw, err := os.ReadFile(v.path(id))
		if err != nil {
			return err
		}
		now := time.Now().UnixMilli()
		type found struct {
			r archive.Record
			l loc
		}
		var all []found
		damaged := 0
		for pos := 0; pos < len(raw); {
			r, err := archive.ReadFrame(bytes.NewReader(raw[pos:]))
			if err != nil || r.Check() != nil {
				damaged++
				next := bytes.Index(raw[pos+1:], []byte("SGA1"))
				if next < 0 {
					break
				}
				pos += 1 + next
				continue
			}
			l := loc{id, int64(pos), int64(archive.FrameSize(&r)), now}
			r.Payload = bytes.Clone(r.Payload)
			all = append(all, found{r, l})
			pos += int(l.size)
		}
		if damaged > 0 {
			v.log.Error("a volume has damaged places, or a tail that was never acknowledged; it is kept as it is", "volume", v.path(id), "places", damaged)
			v.vols[id].bad = true
		}
		var fresh []found
		if err := v.db.Update(func(tx *bolt.Tx) error {
			fresh = fresh[:0]
			for i := range all {
				if tx.Bucket(bucketRec).Get([]byte(all[i].r.Key.String())) != nil {
					continue
				}
				if err := v.list(tx, &all[i].r, all[i].l); err != nil {
					return err
				}
				fresh = append(fresh, all[i])
			}
			return nil
		}); err != nil {
			return err
		}
		for _, f := range fresh {
			v.enter(f.r.Key, f.l)
		}
	}
	return nil
}

// Scrub reads records after a key and checks them, until about so many bytes are
// read; it returns the last key, "" at the end.
func (v *Vault) Scrub(from string, size int64) (last string, checked, damaged int, err error) {
	for size > 0 {
		infos, more, err := v.Keys("", from, 100)
		if err != nil {
			return from, checked, damaged, err
		}
		for _, i := range infos {
			r, err := v.Get(i.Key)
			if err == nil && r.Check() != nil {
				l, _ := v.find(i.Key.String())
				err = fmt.Errorf("%w: %w", r.Check(), checksum.ErrDamaged)
				v.bad(i.Key, l, err)
			}
			if errors.Is(err, checksum.ErrDamaged) {
				damaged++
			}
			checked++
			size -= i.Bytes
			from = i.Key.String()
			if size <= 0 {
				return from, checked, damaged, nil
			}
		}
		if !more {
			return "", checked, damaged, nil
		}
	}
	return from, checked, damaged, nil
}
