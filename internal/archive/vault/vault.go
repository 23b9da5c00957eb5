// Package vault is an archive node's storage: a set of records on one disk.
//
// A vault owns a folder. It appends records, each with its checksum, to append-only
// files called volumes, and keeps the location of each record in an index (bbolt).
// A record is stored, and may be acknowledged, once the volume is synced and then the
// index's transaction is synced: a record in a volume that the index does not list was
// never acknowledged. Changes that arrive during a sync share the next one.
//
// A damaged record is logged and removed from the index, so that it counts as missing
// and is fetched again from another node; its bytes stay on disk unchanged while the
// vault is open. A damaged index is moved aside and rebuilt from the volumes.
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

// Config holds the settings of a vault.
type Config struct {
	// Dir is the vault's folder; Open creates it if it does not exist.
	Dir string
	// VolumeBytes is the size in bytes at which the vault stops appending to a volume
	// and begins the next; 0 means 64 MiB.
	VolumeBytes int64
	// Labels returns the labels by which FindAttempts lists a record's attempt. nil means
	// none.
	Labels func(*archive.Record) []string
	// Added is called for each record after it was entered into the index, and Removed
	// after it was removed from it; either may be nil. Open calls Added for every record.
	// Later calls come from the writer, and Removed also from a reader that finds a
	// damaged record, so both must be safe for concurrent use.
	Added, Removed func(RecordInfo)
}

// Errors that callers check for.
var (
	// ErrNotFound means that the vault does not have the record.
	ErrNotFound = errors.New("no such record here")
	// ErrFull means that the disk has no room for a change. Nothing of the change was
	// stored; records stored before are not affected.
	ErrFull = errors.New("the disk is full")
	// ErrClosed means that the vault was closed.
	ErrClosed = errors.New("the vault is closed")
)

// Stats counts what a vault holds and what it did since it was opened. A node serves
// it as JSON under its fields' Go names.
type Stats struct {
	Records, Bytes, Volumes  int64
	Commits, Written         int64 // commits, and the bytes of records that they added
	Damaged                  int64 // records found damaged since Open
	Rebuilt                  bool  // Open rebuilt the index from the volumes
	Compacted, LastCommitMic int64 // volumes compacted; duration of the last commit in microseconds
}

// Vault is an open vault. It is safe for concurrent use. The caller of Open closes it.
type Vault struct {
	cfg  Config
	log  *slog.Logger
	db   *bolt.DB
	disk disk
	lock *os.File

	queue chan *change
	done  chan struct{} // closed when the writer has ended
	stop  chan struct{} // closed by Close

	mu      sync.RWMutex // guards the fields below; volume files are opened and removed under it
	volumes map[uint32]*volumeFile
	current uint32 // the volume that new records are appended to
	stats   Stats
}

// volumeFile is an open volume.
type volumeFile struct {
	file    *os.File
	size    int64 // offset in bytes of the end of the last record that the index lists
	live    int64 // bytes of the records that the index lists
	damaged bool  // a damaged record was found in the file; it is not removed while the vault is open
}

// recordLocation is the location of a record's frame: its volume, and its offset and
// size in that volume in bytes. It also holds when the record was stored.
type recordLocation struct {
	volumeID uint32
	offset   int64
	size     int64
	storedAt int64 // Unix time in milliseconds
}

// disk holds the file system calls in which tests inject errors.
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

// Names in the vault's folder.
const (
	indexFile  = "index.db"
	volumesDir = "volumes"
	lockName   = "lock"
)

const (
	// defaultVolumeBytes is used if Config.VolumeBytes is not set.
	defaultVolumeBytes = 64 << 20
	// queuedChanges is how many changes can wait for the writer before Put and Drop block.
	queuedChanges = 64
)

// Open opens the vault in cfg.Dir, or creates one, and calls cfg.Added for every record
// in it. It moves a damaged index aside and rebuilds it from the volumes. Open fails
// if another process has the vault open. The caller closes the vault.
func Open(cfg Config, log *slog.Logger) (*Vault, error) {
	return open(cfg, log, osDisk{})
}

// open is Open with a disk that tests can replace.
func open(cfg Config, log *slog.Logger, d disk) (*Vault, error) {
	if cfg.VolumeBytes <= 0 {
		cfg.VolumeBytes = defaultVolumeBytes
	}
	if cfg.Labels == nil {
		cfg.Labels = func(*archive.Record) []string { return nil }
	}
	if cfg.Added == nil {
		cfg.Added = func(RecordInfo) {}
	}
	if cfg.Removed == nil {
		cfg.Removed = func(RecordInfo) {}
	}
	if err := os.MkdirAll(filepath.Join(cfg.Dir, volumesDir), 0o700); err != nil {
		return nil, err
	}
	v := &Vault{
		cfg:     cfg,
		log:     log,
		disk:    d,
		queue:   make(chan *change, queuedChanges),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
		volumes: map[uint32]*volumeFile{},
	}
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
	go v.commitLoop()
	return v, nil
}

// closeFiles closes the index, the volumes and the lock.
func (v *Vault) closeFiles() {
	if v.db != nil {
		_ = v.db.Close()
	}
	for _, volume := range v.volumes {
		volume.file.Close()
	}
	v.lock.Close()
}

// openAll opens the volumes and the index, rebuilds the index if it is missing or
// damaged, and removes or creates volumes as needed.
func (v *Vault) openAll() error {
	if err := v.openVolumes(); err != nil {
		return err
	}
	fresh, err := v.openOrReplaceIndex()
	if err != nil {
		return err
	}
	if fresh && len(v.volumes) > 0 {
		if err := v.rebuild(); err != nil {
			return fmt.Errorf("rebuilding the index: %w", err)
		}
		v.stats.Rebuilt = true
	}
	return v.prepareVolumes()
}

// openVolumes opens all volumes in the folder. The volume with the highest number
// becomes the current one.
func (v *Vault) openVolumes() error {
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
		v.volumes[id] = &volumeFile{file: f}
		v.current = max(v.current, id)
	}
	return nil
}

// openOrReplaceIndex opens the index. It moves a damaged index aside and creates an
// empty one in its place. fresh reports whether the index is new.
func (v *Vault) openOrReplaceIndex() (fresh bool, err error) {
	path := filepath.Join(v.cfg.Dir, indexFile)
	if err = verifyIndex(path); err == nil {
		fresh, err = v.openIndex(path)
	}
	if !errors.Is(err, checksum.ErrDamaged) {
		return fresh, err
	}
	aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
	v.log.Error("the index is damaged; moved it aside, rebuilding it from the volumes", "file", path, "aside", aside, "error", err)
	if err := os.Rename(path, aside); err != nil {
		return false, err
	}
	return v.openIndex(path)
}

// volumeName returns the name of a volume's file.
func volumeName(id uint32) string { return fmt.Sprintf("%08d.vol", id) }

// volumePath returns the path of a volume's file.
func (v *Vault) volumePath(id uint32) string {
	return filepath.Join(v.cfg.Dir, volumesDir, volumeName(id))
}

// beginVolume creates a volume, to which new records are appended from then on.
func (v *Vault) beginVolume() error {
	id := v.current + 1
	f, err := os.OpenFile(v.volumePath(id), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(v.volumePath(id)))
	if err == nil {
		err = dir.Sync()
		dir.Close()
	}
	if err != nil {
		f.Close()
		_ = os.Remove(v.volumePath(id))
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.volumes[id], v.current = &volumeFile{file: f}, id
	return nil
}

// Stats returns a copy of the counters.
func (v *Vault) Stats() Stats {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.stats
	s.Volumes = int64(len(v.volumes))
	return s
}

// Close waits for the commit in progress, closes the files and releases the folder.
// A change whose caller has no result yet may be stored or not; its caller gets
// ErrClosed. Further calls of Close do nothing. It always returns nil.
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
