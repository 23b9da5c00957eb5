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

// change holds the records that one caller stores, drops or moves. The writer commits
// a change as a whole and sends the result on done, which has a buffer of one.
type change struct {
	records []archive.Record
	drop    []string
	move    map[string]recordLocation // the present locations of the records that compaction rewrites
	done    chan error
}

// commitBytes is the size in bytes at which the writer stops adding changes to a commit.
const commitBytes = 16 << 20

// Put stores records. When it returns nil, all of them are synced to disk. Put does
// not write a record again whose key is already stored. The caller has checked the
// records and does not change them until Put returns.
//
// It returns ErrFull if the disk has no room, ErrClosed if the vault was closed
// first, and ctx's error if ctx ended before the records were queued; once they are
// queued, Put ignores ctx.
func (v *Vault) Put(ctx context.Context, records []archive.Record) error {
	for i := range records {
		// The next Open parses every key in the index, and treats the whole index as
		// damaged if it can't parse one.
		if _, err := archive.ParseKey(records[i].Key.String()); err != nil {
			return err
		}
	}
	return v.submit(ctx, &change{records: records, done: make(chan error, 1)})
}

// Drop removes the records with these keys and ignores keys that are not stored.
// Compaction frees the disk space later. Drop returns the errors of Put, and an error
// if a key can't be parsed.
func (v *Vault) Drop(ctx context.Context, keys []string) error {
	return v.submit(ctx, &change{drop: keys, done: make(chan error, 1)})
}

// submit queues a change and waits for its commit.
func (v *Vault) submit(ctx context.Context, c *change) error {
	select {
	case v.queue <- c:
	case <-v.stop:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-c.done:
		return err
	case <-v.done:
		select {
		case err := <-c.done:
			return err
		default:
			return ErrClosed
		}
	}
}

// commitLoop is the vault's only writer: it commits changes until the vault is closed.
// Changes that wait in the queue share a commit, up to commitBytes.
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
			case c := <-v.queue:
				group, size = append(group, c), size+changeBytes(c)
			default:
				more = false
			}
		}
		err := v.commit(group)
		for _, c := range group {
			c.done <- err
		}
		if err == nil {
			v.compact()
		}
	}
}

// changeBytes returns how many bytes a change writes.
func changeBytes(c *change) (n int) {
	for i := range c.records {
		n += archive.FrameSize(&c.records[i])
	}
	return n
}

// appendedRecord is a record that a commit appends to a volume.
type appendedRecord struct {
	record    *archive.Record
	location  recordLocation
	movedFrom *recordLocation // for a record that compaction moves; otherwise nil
}

// removal is a record that a commit removed from the index.
type removal struct {
	key      archive.Key
	location recordLocation
}

// pendingDrop is a record that a commit is about to remove from the index. record has
// the payload if the record's labels must be removed too, and no payload otherwise.
type pendingDrop struct {
	key    string
	record archive.Record
}

// commit writes and syncs the records of a group of changes, and then updates the index.
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
		// The transaction failed, so no index entry refers to the volume's tail.
		return errors.Join(wrapDiskFull(err), v.discardTail())
	}
	v.countCommit(added, removed, begun)
	v.notify(added, removed)
	return nil
}

// selectNew returns the records of a group that must be written, each key once. It
// leaves out records that are already stored, and moved records that are no longer
// where compaction found them.
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
					continue // dropped or moved in the meantime
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

// readDropped returns the records that a group drops. It reads the payload of grants,
// from which their labels are derived; the labels of a grant that can't be read stay
// in the index.
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

// updateIndex adds and removes records in one transaction. It returns the removed
// records, without those that the index did not list.
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

// dropEntry removes a record from the index. found reports whether the index listed it.
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

// countCommit updates the counters and the volumes' sizes and live bytes after a commit.
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

// notify calls Config.Added and Config.Removed for the records that a commit added and
// removed. A moved record counts as neither.
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

// appendRecords appends records to the volumes, syncs the volumes and sets the records'
// locations.
func (v *Vault) appendRecords(add []appendedRecord) error {
	if len(add) == 0 {
		return nil
	}
	now := time.Now().UnixMilli()
	var buf []byte
	volume := v.volumes[v.current] // only this goroutine adds and removes volumes, so no lock is needed
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

// discardTail truncates the current volume to its acknowledged records. If that fails,
// it begins another volume.
func (v *Vault) discardTail() error {
	volume := v.volumes[v.current]
	if err := volume.file.Truncate(volume.size); err != nil {
		return v.beginVolume()
	}
	return nil
}

// wrapDiskFull wraps an error of a full disk or an exhausted quota in ErrFull.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}
