package vault

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/archive"
)

// change is what one caller wants kept, dropped or moved. The writer commits it
// whole and sends the result on done, which has room for it.
type change struct {
	records []archive.Record
	drop    []string
	move    map[string]recordLocation // records to be written anew, from where they lay
	done    chan error
}

// commitBytes is the size in bytes from which a commit takes no more changes.
const commitBytes = 16 << 20

// Put stores records. When it returns nil, all of them are synced to disk. Records
// whose keys are stored already are not written again. The caller has checked the
// records and does not change them until Put returns.
//
// It returns ErrFull if the disk has no room, ErrClosed if the vault was closed
// first, and ctx's error if ctx ended before the records were queued; once they are
// queued, ctx is not looked at.
func (v *Vault) Put(ctx context.Context, records []archive.Record) error {
	for i := range records {
		// Guards against an index that can't be read again: each entry must be one
		// that the next start takes for whole.
		if _, err := archive.ParseKey(records[i].Key.String()); err != nil {
			return err
		}
	}
	return v.submit(ctx, &change{records: records, done: make(chan error, 1)})
}

// Drop removes the records with these keys; keys that are not stored are passed
// over. The disk space comes back as volumes are compacted. Its errors are those of
// Put, and that of a key that can't be parsed.
func (v *Vault) Drop(ctx context.Context, keys []string) error {
	return v.submit(ctx, &change{drop: keys, done: make(chan error, 1)})
}

// submit queues a change and waits for its commit.
func (v *Vault) submit(ctx context.Context, p *change) error {
	select {
	case v.queue <- p:
	case <-v.stop:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-p.done:
		return err
	case <-v.done:
		select {
		case err := <-p.done:
			return err
		default:
			return ErrClosed
		}
	}
}

// commitLoop is the one writer: it commits changes until the vault is closed. Those
// that wait in the queue share a commit, up to commitBytes.
func (v *Vault) commitLoop() {
	defer close(v.done)
	for {
		var first *change
		select {
		case first = <-v.queue:
		case <-v.stop:
			return
		}
		group, size := []*change{first}, changeBytes(first)
		for more := true; more && size < commitBytes; {
			select {
			case p := <-v.queue:
				group, size = append(group, p), size+changeBytes(p)
			default:
				more = false
			}
		}
		err := v.commit(group)
		for _, p := range group {
			p.done <- err
		}
		if err == nil {
			v.compact()
		}
	}
}

// changeBytes returns the bytes that a change writes.
func changeBytes(p *change) (n int) {
	for i := range p.records {
		n += archive.FrameSize(&p.records[i])
	}
	return n
}

// appendedRecord is a record that a commit appends to a volume.
type appendedRecord struct {
	record    *archive.Record
	location  recordLocation
	movedFrom *recordLocation // moved from there
}

// removal is a record that a commit took out of the index.
type removal struct {
	key      archive.Key
	location recordLocation
}

// pendingDrop is a record that is to be taken out of the index. record holds its
// payload if its labels must go too, and has none otherwise.
type pendingDrop struct {
	key    string
	record archive.Record
}

// commit writes a group's records, syncs them and then the index.
func (v *Vault) commit(group []*change) error {
	begun := time.Now()
	added := v.selectNew(group)
	if err := v.appendRecords(added); err != nil {
		return err
	}
	drops, err := v.readDropped(group)
	if err != nil {
		return err
	}
	removed, err := v.updateIndex(added, drops)
	if err != nil {
		// No index entry refers to the volume's tail now.
		return errors.Join(wrapDiskFull(err), v.discardTail())
	}
	v.countCommit(added, removed, begun)
	v.notify(added, removed)
	return nil
}

// selectNew returns the records of a group that must be written: each key once,
// without those that are stored already, and of the moved ones those that still
// lie where the move found them.
func (v *Vault) selectNew(group []*change) (added []appendedRecord) {
	seen := map[string]bool{}
	for _, c := range group {
		for i := range c.records {
			key := c.records[i].Key.String()
			if seen[key] {
				continue
			}
			seen[key] = true
			if old, ok := c.move[key]; ok {
				if now, err := v.find(key); err != nil || now != old {
					continue // dropped, or moved, meanwhile
				}
				added = append(added, appendedRecord{record: &c.records[i], movedFrom: &old})
				continue
			}
			if _, err := v.find(key); err == nil {
				continue
			}
			added = append(added, appendedRecord{record: &c.records[i]})
		}
	}
	return added
}

// readDropped returns what a group drops. Grants are read, since their labels come
// from their payload; one that can't be read leaves its labels behind.
func (v *Vault) readDropped(group []*change) (drops []pendingDrop, err error) {
	for _, c := range group {
		for _, key := range c.drop {
			parsed, err := archive.ParseKey(key)
			if err != nil {
				return nil, err
			}
			var record archive.Record
			if parsed.Kind == archive.KindGrant {
				if record, err = v.Get(parsed); err != nil {
					record = archive.Record{Key: parsed}
				}
			}
			drops = append(drops, pendingDrop{key, record})
		}
	}
	return drops, nil
}

// updateIndex enters and removes records in one transaction. It returns the
// removed ones that the index had.
func (v *Vault) updateIndex(added []appendedRecord, drops []pendingDrop) (removed []removal, err error) {
	err = v.db.Update(func(tx *bolt.Tx) error {
		for i := range added {
			if err := v.addEntry(tx, added[i].record, added[i].location); err != nil {
				return err
			}
		}
		for i := range drops {
			entry, found, err := v.dropEntry(tx, &drops[i])
			if err != nil {
				return err
			}
			if found {
				removed = append(removed, entry)
			}
		}
		return nil
	})
	return removed, err
}

// dropEntry removes a record from the index; found tells whether it was there.
func (v *Vault) dropEntry(tx *bolt.Tx, d *pendingDrop) (removed removal, found bool, err error) {
	raw := tx.Bucket(bucketRecords).Get([]byte(d.key))
	if raw == nil {
		return removal{}, false, nil
	}
	location, err := decodeLocation([]byte(d.key), raw)
	if err != nil {
		return removal{}, false, err
	}
	key, err := archive.ParseKey(d.key)
	if err != nil {
		return removal{}, false, err
	}
	var labelled *archive.Record
	if d.record.Payload != nil {
		labelled = &d.record
	}
	if err := v.removeEntry(tx, d.key, labelled); err != nil {
		return removal{}, false, err
	}
	return removal{key, location}, true, nil
}

// countCommit adds a commit to the counters and to the volumes' live bytes.
func (v *Vault) countCommit(added []appendedRecord, removed []removal, begun time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range added {
		volume := v.volumes[w.location.volumeID]
		volume.size = max(volume.size, w.location.offset+w.location.size)
		volume.live += w.location.size
		if w.movedFrom != nil {
			v.volumes[w.movedFrom.volumeID].live -= w.movedFrom.size
			continue
		}
		v.stats.Records++
		v.stats.Bytes += w.location.size
		v.stats.Written += w.location.size
	}
	for _, r := range removed {
		v.volumes[r.location.volumeID].live -= r.location.size
		v.stats.Records--
		v.stats.Bytes -= r.location.size
	}
	v.stats.Commits++
	v.stats.LastCommitMic = time.Since(begun).Microseconds()
}

// notify calls Config.Added and Config.Removed for what a commit changed. A moved
// record is neither.
func (v *Vault) notify(added []appendedRecord, removed []removal) {
	for _, w := range added {
		if w.movedFrom == nil {
			v.cfg.Added(w.location.info(w.record.Key))
		}
	}
	for _, r := range removed {
		v.cfg.Removed(r.location.info(r.key))
	}
}

// appendRecords appends records to the volumes and syncs those.
func (v *Vault) appendRecords(add []appendedRecord) error {
	if len(add) == 0 {
		return nil
	}
	now := time.Now().UnixMilli()
	var buf []byte
	volume := v.volumes[v.current] // only this goroutine changes which volumes there are
	pos := volume.size
	flush := func() error {
		if len(buf) == 0 {
			return nil
		}
		err := v.disk.WriteAt(volume.file, buf, pos-int64(len(buf)))
		if err == nil {
			err = v.disk.Sync(volume.file)
		}
		buf = buf[:0]
		return err
	}
	for i := range add {
		w := &add[i]
		if pos >= v.cfg.VolumeBytes {
			err := flush()
			if err == nil {
				err = v.beginVolume()
			}
			if err != nil {
				return errors.Join(wrapDiskFull(err), v.discardTail())
			}
			volume, pos = v.volumes[v.current], 0
		}
		n := len(buf)
		buf = archive.AppendFrame(buf, w.record)
		size := int64(len(buf) - n)
		w.location = recordLocation{v.current, pos, size, now}
		if w.movedFrom != nil {
			w.location.storedAt = w.movedFrom.storedAt
		}
		pos += size
	}
	if err := flush(); err != nil {
		return errors.Join(wrapDiskFull(err), v.discardTail())
	}
	return nil
}

// discardTail cuts off what was written and not acknowledged. If that fails, it begins
// another volume.
func (v *Vault) discardTail() error {
	volume := v.volumes[v.current]
	if err := volume.file.Truncate(volume.size); err != nil {
		return v.beginVolume()
	}
	return nil
}

// wrapDiskFull adds ErrFull to an error of a full disk or an exhausted quota.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}
