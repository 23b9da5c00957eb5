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

// prepareVolumes removes volumes without live records and chooses the volume to append
// to. It begins a new volume if the current one is missing, full, or has a tail that the
// index does not list: such a volume is left unchanged.
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

// compact removes volumes without live records. It also moves the records of one volume
// of which less than a quarter is live to the current volume, so that the next compact
// can remove it. It skips the current volume and volumes in which a damaged record was
// found. It runs in the writer's goroutine.
func (v *Vault) compact() {
	v.mu.Lock()
	var sparse uint32
	for _, id := range sortedIDs(v.volumes) {
		volume := v.volumes[id]
		if id == v.current || volume.damaged {
			continue
		}
		if volume.live == 0 {
			volume.file.Close()
			if err := os.Remove(v.volumePath(id)); err != nil {
				v.log.Error("cannot remove an empty volume", "volume", v.volumePath(id), "error", err)
				continue
			}
			delete(v.volumes, id)
			continue
		}
		if sparse == 0 && volume.live*4 < volume.size {
			sparse = id
		}
	}
	v.mu.Unlock()
	if sparse == 0 {
		return
	}
	var keys []string
	var locations []recordLocation
	_ = v.viewIndex(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketRecords).ForEach(func(k, raw []byte) error {
			if location, err := decodeLocation(k, raw); err == nil && location.volumeID == sparse {
				keys, locations = append(keys, string(k)), append(locations, location)
			}
			return nil
		})
	})
	moved := &change{move: map[string]recordLocation{}}
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
		moved.records, moved.move[key] = append(moved.records, r), locations[i]
	}
	if err := v.commit([]*change{moved}); err != nil {
		v.log.Error("cannot compact a volume now", "volume", v.volumePath(sparse), "error", err)
		return
	}
	v.mu.Lock()
	v.stats.Compacted++
	v.mu.Unlock()
}

// sortedIDs returns the volumes' numbers in ascending order.
func sortedIDs(m map[uint32]*volumeFile) []uint32 {
	out := make([]uint32, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// rebuild builds the index from the volumes. This also restores records that were never
// acknowledged and records that were dropped. The former do no harm; the node drops the
// latter again: expired records because the Expired records that cover them are restored
// too, and strays when it next hands them over to other nodes.
func (v *Vault) rebuild() error {
	for _, id := range sortedIDs(v.volumes) {
		raw, err := os.ReadFile(v.volumePath(id))
		if err != nil {
			return err
		}
		now := time.Now().UnixMilli()
		type recoveredRecord struct {
			record   archive.Record
			location recordLocation
		}
		var all []recoveredRecord
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
			all = append(all, recoveredRecord{r, location})
			pos += int(location.size)
		}
		if damaged > 0 {
			v.log.Error("a volume has damaged ranges or an unacknowledged tail; it is kept unchanged", "volume", v.volumePath(id), "places", damaged)
			v.volumes[id].damaged = true
		}
		var fresh []recoveredRecord
		if err := v.db.Update(func(tx *bolt.Tx) error {
			fresh = fresh[:0]
			for i := range all {
				if tx.Bucket(bucketRecords).Get([]byte(all[i].record.Key.String())) != nil {
					continue
				}
				if err := v.addEntry(tx, &all[i].record, all[i].location); err != nil {
					return err
				}
				fresh = append(fresh, all[i])
			}
			return nil
		}); err != nil {
			return err
		}
		for _, f := range fresh {
			v.countStored(f.record.Key, f.location)
		}
	}
	return nil
}

// Scrub reads and checks the records after the key from, or from the first record if
// from is "", until it has read about size bytes. It returns the last key that it read,
// from which the next call continues, or "" if it reached the end. It also returns how
// many records it checked and how many of these were damaged. It removes damaged records
// from the index. It returns an error only if the index can't be read.
func (v *Vault) Scrub(from string, size int64) (last string, checked, damaged int, err error) {
	for size > 0 {
		infos, more, err := v.List("", from, 100)
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
