// Package vault is an archive node's storage: a set of records on one disk.
//
// It owns a folder. Records lie in volumes, files that are only appended to, each
// record with its checksum; where each lies stands in an index (bbolt). A record
// is kept, and may be acknowledged, when the volume is synced and then the index's
// transaction is: whatever a volume holds that the index does not know was never
// acknowledged. Changes that come while a sync is under way share the next one.
//
// What is damaged is named, taken out of the index, so that it counts as missing
// and comes back from another node, and left on disk as it is. An index that is
// damaged is put aside and made again out of the volumes.
package vault

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"silvergate/internal/archive"
	"silvergate/internal/checksum"
)

// Config is what a vault is told.
type Config struct {
	Dir string
	// VolumeBytes is how large a volume grows; 0: 64 MiB.
	VolumeBytes int64
	// Labels are the names under which a record's attempt is found again.
	Labels func(*archive.Record) []string
	// Added and Removed are told of keys, after the index has them or has them no
	// more.
	Added, Removed func(Info)
}

// Errors.
var (
	// ErrNotHere is a record that is not here.
	ErrNotHere = errors.New("no such record here")
	// ErrFull is a disk without room for what was to be written. Nothing of it
	// was kept, and what was there before is.
	ErrFull = errors.New("the disk is full")
	// ErrClosed is a vault that was closed.
	ErrClosed = errors.New("the vault is closed")
)

// Stats counts what a vault holds and did.
type Stats struct {
	Records, Bytes, Volumes  int64
	Commits, Written         int64 // syncs, bytes
	Damaged                  int64 // records found damaged in this life
	Rebuilt                  bool  // the index was made again at the start
	Compacted, LastCommitMic int64
}

// Vault is an open vault. It is safe for concurrent use.
type Vault struct {
	cfg  Config
	log  *slog.Logger
	db   *bolt.DB
	disk disk
	lock *os.File

	queue chan *put
	done  chan struct{}
	stop  chan struct{}

	mu    sync.RWMutex // guards the below; files are opened and removed under it
	vols  map[uint32]*volume
	cur   uint32 // the volume that is appended to
	stats Stats
}

type volume struct {
	f    *os.File
	size int64 // up to where the index knows it
	live int64 // of it, what is not dropped
	bad  bool  // damage was found in it: it is kept
}

type put struct {
	recs []archive.Record
	drop []string
	move map[string]loc // records to be written anew, from where they lay
	done chan error
}

// loc is where a record's frame lies.
type loc struct {
	vol  uint32
	pos  int64
	size int64
	at   int64 // when it came, in milliseconds
}

var (
	bucketRec = []byte("rec") // key: location, sealed
	bucketBy  = []byte("by")  // label, 0, attempt
	bucketBad = []byte("bad") // key, volume, position of what was found damaged
)

// disk is the file system as far as it can fail in tests.
type disk interface {
	WriteAt(f *os.File, b []byte, off int64) error
	Sync(f *os.File) error
}

type osDisk struct{}

func (osDisk) WriteAt(f *os.File, b []byte, off int64) error {
	_, err := f.WriteAt(b, off)
	return err
}

func (osDisk) Sync(f *os.File) error { return unix.Fdatasync(int(f.Fd())) }

// Names in the folder.
const (
	indexFile  = "index.db"
	volumesDir = "volumes"
	lockName   = "lock"
)

// commitBytes bounds what one sync writes.
const commitBytes = 16 << 20

// Open opens the vault in cfg.Dir, or makes one. Added is called for all that is
// there.
func Open(cfg Config, log *slog.Logger) (*Vault, error) {
	return open(cfg, log, osDisk{})
}

func open(cfg Config, log *slog.Logger, d disk) (*Vault, error) {
	if cfg.VolumeBytes <= 0 {
		cfg.VolumeBytes = 64 << 20
	}
	if cfg.Labels == nil {
		cfg.Labels = func(*archive.Record) []string { return nil }
	}
	if cfg.Added == nil {
		cfg.Added = func(Info) {}
	}
	if cfg.Removed == nil {
		cfg.Removed = func(Info) {}
	}
	if err := os.MkdirAll(filepath.Join(cfg.Dir, volumesDir), 0o700); err != nil {
		return nil, err
	}
	v := &Vault{cfg: cfg, log: log, disk: d, queue: make(chan *put, 64), done: make(chan struct{}), stop: make(chan struct{}), vols: map[uint32]*volume{}}
	var err error
	if v.lock, err = os.OpenFile(filepath.Join(cfg.Dir, lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(v.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		v.lock.Close()
		return nil, fmt.Errorf("%s: another process has this vault open", cfg.Dir)
	}
	if err := v.openAll(); err != nil {
		v.closeFiles()
		return nil, err
	}
	go v.commitAll()
	return v, nil
}

func (v *Vault) closeFiles() {
	if v.db != nil {
		_ = v.db.Close()
	}
	for _, vol := range v.vols {
		vol.f.Close()
	}
	v.lock.Close()
}

func (v *Vault) openAll() error {
	names, err := os.ReadDir(filepath.Join(v.cfg.Dir, volumesDir))
	if err != nil {
		return err
	}
	for _, e := range names {
		var id uint32
		if _, err := fmt.Sscanf(e.Name(), "%08d.vol", &id); err != nil || e.Name() != volumeName(id) {
			continue
		}
		f, err := os.OpenFile(filepath.Join(v.cfg.Dir, volumesDir, e.Name()), os.O_RDWR, 0)
		if err != nil {
			return err
		}
		v.vols[id] = &volume{f: f}
		v.cur = max(v.cur, id)
	}
	path := filepath.Join(v.cfg.Dir, indexFile)
	fresh := false
	if err = verify(path); err == nil {
		fresh, err = v.openIndex(path)
	}
	if errors.Is(err, checksum.ErrDamaged) {
		aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
		v.log.Error("the index is damaged; it is put aside and made again out of the volumes", "file", path, "aside", aside, "err", err)
		if err := os.Rename(path, aside); err != nil {
			return err
		}
		if fresh, err = v.openIndex(path); err != nil {
			return err
		}
	} else if err != nil {
		return err
	}
	if fresh && len(v.vols) > 0 {
		if err := v.rebuild(); err != nil {
			return fmt.Errorf("making the index again: %w", err)
		}
		v.stats.Rebuilt = true
	}
	return v.tidy()
}

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

func volumeName(id uint32) string { return fmt.Sprintf("%08d.vol", id) }

func (v *Vault) path(id uint32) string {
	return filepath.Join(v.cfg.Dir, volumesDir, volumeName(id))
}

// begin begins a new volume.
func (v *Vault) begin() error {
	id := v.cur + 1
	f, err := os.OpenFile(v.path(id), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(v.path(id)))
	if err == nil {
		err = dir.Sync()
		dir.Close()
	}
	if err != nil {
		f.Close()
		_ = os.Remove(v.path(id))
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vols[id], v.cur = &volume{f: f}, id
	return nil
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

// Stats returns the counters.
func (v *Vault) Stats() Stats {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.stats
	s.Volumes = int64(len(v.vols))
	return s
}

// Close ends the vault. What was not answered may be kept or not.
func (v *Vault) Close() error {
	select {
	case <-v.stop:
		return nil
	default:
	}
	close(v.stop)
	<-v.done
	v.closeFiles()
	return nil
}
