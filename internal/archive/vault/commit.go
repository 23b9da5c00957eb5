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

type put struct {
	recs []archive.Record
	drop []string
	move map[string]loc // records to be written anew, from where they lay
	done chan error
}

// commitBytes bounds what one sync writes.
const commitBytes = 16 << 20

// Put keeps records: when it returns nil, all are on disk, whatever is killed. Ones
// that are here already are kept once. The caller has checked them.
func (v *Vault) Put(ctx context.Context, recs []archive.Record) error {
	for i := range recs {
		// Guards against an index that can't be read again: each entry must be one
		// that the next start takes for whole.
		if _, err := archive.ParseKey(recs[i].Key.String()); err != nil {
			return err
		}
	}
	return v.submit(ctx, &put{recs: recs, done: make(chan error, 1)})
}

// Drop takes records out for good. Their room comes back as volumes are emptied.
func (v *Vault) Drop(ctx context.Context, keys []string) error {
	return v.submit(ctx, &put{drop: keys, done: make(chan error, 1)})
}

func (v *Vault) submit(ctx context.Context, p *put) error {
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

// commitAll is the one writer.
func (v *Vault) commitAll() {
	defer close(v.done)
	for {
		var first *put
		select {
		case first = <-v.queue:
		case <-v.stop:
			return
		}
		group, size := []*put{first}, sizeOf(first)
		for more := true; more && size < commitBytes; {
			select {
			case p := <-v.queue:
				group, size = append(group, p), size+sizeOf(p)
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

func sizeOf(p *put) (n int) {
	for i := range p.recs {
		n += archive.FrameSize(&p.recs[i])
	}
	return n
}

type written struct {
	rec *archive.Record
	loc loc
	was *loc // moved from there
}

// commit writes a group's records, syncs them and then the index.
func (v *Vault) commit(group []*put) (err error) {
	begun := time.Now()
	var add []written
	var drop []string
	seen := map[string]bool{}
	for _, p := range group {
		for i := range p.recs {
			key := p.recs[i].Key.String()
			if seen[key] {
				continue
			}
			seen[key] = true
			if old, ok := p.move[key]; ok {
				if now, err := v.find(key); err != nil || now != old {
					continue // dropped, or moved, meanwhile
				}
				add = append(add, written{rec: &p.recs[i], was: &old})
				continue
			}
			if _, err := v.find(key); err == nil {
				continue
			}
			add = append(add, written{rec: &p.recs[i]})
		}
		drop = append(drop, p.drop...)
	}
	if err := v.write(add); err != nil {
		return err
	}
	type gone struct {
		key archive.Key
		loc loc
	}
	var removed []gone
	var records []archive.Record // of what is dropped, for its labels
	for _, key := range drop {
		k, err := archive.ParseKey(key)
		if err != nil {
			return err
		}
		var r archive.Record
		if k.Kind == archive.KindGrant {
			if r, err = v.Get(k); err != nil {
				r = archive.Record{Key: k}
			}
		}
		records = append(records, r)
	}
	err = v.db.Update(func(tx *bolt.Tx) error {
		removed = removed[:0]
		for i := range add {
			if err := v.list(tx, add[i].rec, add[i].loc); err != nil {
				return err
			}
		}
		for i, key := range drop {
			raw := tx.Bucket(bucketRec).Get([]byte(key))
			if raw == nil {
				continue
			}
			l, err := readLoc([]byte(key), raw)
			if err != nil {
				return err
			}
			k, err := archive.ParseKey(key)
			if err != nil {
				return err
			}
			var r *archive.Record
			if records[i].Payload != nil {
				r = &records[i]
			}
			if err := v.unlist(tx, key, r); err != nil {
				return err
			}
			removed = append(removed, gone{k, l})
		}
		return nil
	})
	if err != nil {
		// The volume's tail is nobody's now.
		return errors.Join(full(err), v.rewind())
	}
	v.mu.Lock()
	for _, w := range add {
		vol := v.vols[w.loc.vol]
		vol.size, vol.live = max(vol.size, w.loc.pos+w.loc.size), vol.live+w.loc.size
		if w.was != nil {
			v.vols[w.was.vol].live -= w.was.size
			continue
		}
		v.stats.Records, v.stats.Bytes, v.stats.Written = v.stats.Records+1, v.stats.Bytes+w.loc.size, v.stats.Written+w.loc.size
	}
	for _, g := range removed {
		v.vols[g.loc.vol].live -= g.loc.size
		v.stats.Records, v.stats.Bytes = v.stats.Records-1, v.stats.Bytes-g.loc.size
	}
	v.stats.Commits++
	v.stats.LastCommitMic = time.Since(begun).Microseconds()
	v.mu.Unlock()
	for _, w := range add {
		if w.was == nil {
			v.cfg.Added(w.loc.info(w.rec.Key))
		}
	}
	for _, g := range removed {
		v.cfg.Removed(g.loc.info(g.key))
	}
	return nil
}

// write appends records to the volumes and syncs those.
func (v *Vault) write(add []written) error {
	if len(add) == 0 {
		return nil
	}
	now := time.Now().UnixMilli()
	var buf []byte
	vol := v.vols[v.cur] // only this goroutine changes which volumes there are
	pos := vol.size
	flush := func() error {
		if len(buf) == 0 {
			return nil
		}
		err := v.disk.WriteAt(vol.f, buf, pos-int64(len(buf)))
		if err == nil {
			err = v.disk.Sync(vol.f)
		}
		buf = buf[:0]
		return err
	}
	for i := range add {
		w := &add[i]
		if pos >= v.cfg.VolumeBytes {
			err := flush()
			if err == nil {
				err = v.begin()
			}
			if err != nil {
				return errors.Join(full(err), v.rewind())
			}
			vol, pos = v.vols[v.cur], 0
		}
		n := len(buf)
		buf = archive.AppendFrame(buf, w.rec)
		size := int64(len(buf) - n)
		w.loc = loc{v.cur, pos, size, now}
		if w.was != nil {
			w.loc.at = w.was.at
		}
		pos += size
	}
	if err := flush(); err != nil {
		return errors.Join(full(err), v.rewind())
	}
	return nil
}

// rewind gives up what was written and not acknowledged. If it
// can't be cut off, another volume is begun at the next chance.
func (v *Vault) rewind() error {
	vol := v.vols[v.cur]
	if err := vol.f.Truncate(vol.size); err != nil {
		return v.begin()
	}
	return nil
}

func full(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}
