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

// prepareVolumes removes volumes that hold nothing, and chooses the one to append to: one
// with a tail that the index does not know is left as it is.
func (v *Vault) prepareVolumes() error {
	for id, volume := range v.volumes {
		if volume.live == 0 && !volume.damaged {
			volume.file.Close()
			if err := os.Remove(v.volumePath(id)); err != nil {
				return err
			}
			delete(v.volumes, id)
		}
	}
	if volume := v.volumes[v.current]; volume != nil {
		if info, err := volume.file.Stat(); err == nil && info.Size() == volume.size && volume.size < v.cfg.VolumeBytes {
			return nil
		}
	}
	return v.beginVolume()
}

// compact empties one volume of which little is left, and removes those that hold
// nothing. It runs in the writer.
func (v *Vault) compact() {
	v.mu.Lock()
	var thin uint32
	for _, id := range sortedIDs(v.volumes) {
		volume := v.volumes[id]
		if id == v.current || volume.damaged {
			continue
		}
		if volume.live == 0 {
			volume.file.Close()
			if err := os.Remove(v.volumePath(id)); err != nil {
				v.log.Error("an empty volume can't be removed", "volume", v.volumePath(id), "error", err)
				continue
			}
			delete(v.volumes, id)
			continue
		}
		if thin == 0 && volume.live*4 < volume.size {
			thin = id
		}
	}
	v.mu.Unlock()
	if thin == 0 {
		return
	}
	var keys []string
	var locations []recordLocation
	_ = v.viewIndex(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketRecords).ForEach(func(k, raw []byte) error {
			if location, err := decodeLocation(k, raw); err == nil && location.volumeID == thin {
				keys, locations = append(keys, string(k)), append(locations, location)
			}
			return nil
		})
	})
	p := &change{move: map[string]recordLocation{}}
	for i, key := range keys {
		k, err := archive.ParseKey(key)
		if err != nil {
			continue
		}
		r, err := v.read(key, locations[i])
		if err != nil {
			v.removeDamaged(k, locations[i], err)
			continue
		}
		p.records, p.move[key] = append(p.records, r), locations[i]
	}
	if err := v.commit([]*change{p}); err != nil {
		v.log.Error("a volume can't be emptied now", "volume", v.volumePath(thin), "error", err)
		return
	}
	v.mu.Lock()
	v.stats.Compacted++
	v.mu.Unlock()
}

func sortedIDs(m map[uint32]*volumeFile) []uint32 {
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
	for _, id := range sortedIDs(v.volumes) {
		raw, err := os.ReadFile(v.volumePath(id))
		if err != nil {
			return err
		}
		now := time.Now().UnixMilli()
		type found struct {
			r archive.Record
			l recordLocation
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
			location := recordLocation{id, int64(pos), int64(archive.FrameSize(&r)), now}
			r.Payload = bytes.Clone(r.Payload)
			all = append(all, found{r, location})
			pos += int(location.size)
		}
		if damaged > 0 {
			v.log.Error("a volume has damaged places, or a tail that was never acknowledged; it is kept as it is", "volume", v.volumePath(id), "places", damaged)
			v.volumes[id].damaged = true
		}
		var fresh []found
		if err := v.db.Update(func(tx *bolt.Tx) error {
			fresh = fresh[:0]
			for i := range all {
				if tx.Bucket(bucketRecords).Get([]byte(all[i].r.Key.String())) != nil {
					continue
				}
				if err := v.addEntry(tx, &all[i].r, all[i].l); err != nil {
					return err
				}
				fresh = append(fresh, all[i])
			}
			return nil
		}); err != nil {
			return err
		}
		for _, f := range fresh {
			v.countStored(f.r.Key, f.l)
		}
	}
	return nil
}

// Scrub reads and checks the records after the key from, "" being the start, until
// about size bytes are read. It returns the last key it read, from which the next
// call goes on, or "" if it reached the end, and how many records it checked and
// found damaged. Damaged ones are taken out of the index. An error is one of
// reading the index.
func (v *Vault) Scrub(from string, size int64) (last string, checked, damaged int, err error) {
	for size > 0 {
		infos, more, err := v.Keys("", from, 100)
		if err != nil {
			return from, checked, damaged, err
		}
		for _, i := range infos {
			r, err := v.Get(i.Key)
			if err == nil && r.Check() != nil {
				location, _ := v.find(i.Key.String())
				err = fmt.Errorf("%w: %w", r.Check(), checksum.ErrDamaged)
				v.removeDamaged(i.Key, location, err)
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
