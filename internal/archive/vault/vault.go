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
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
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

// loc is where a record's frame lies.
type loc struct {
	vol  uint32
	pos  int64
	size int64
	at   int64 // when it came, in milliseconds
}

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
