package statestore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"silvergate/internal/checksum"
)

// FileName is the name of the store's file in its folder.
const FileName = "state.db"

// ErrDamaged marks a file whose contents do not match its checksums. The file is left
// as it is.
var ErrDamaged = checksum.ErrDamaged

const (
	dirMode  = 0o700
	fileMode = 0o600
	// lockTimeout is how long opening waits for a file that another process has open.
	lockTimeout = time.Second
	// minPages is how many pages a file has at least: two meta pages, the list of free
	// pages, and the root page of the buckets.
	minPages = 4
	// unfinishedSuffix is added to the name of a file until it is complete.
	unfinishedSuffix = ".new"
)

// disk is the store's file. get, scan, changes and backup read a snapshot and may be
// called by any goroutine, also during a commit. Only one goroutine, the writer, may call
// commit, and from its first commit on only the writer may access header and leaseKeys.
type disk struct {
	db             *bolt.DB
	path           string
	retainedEvents int // maximum number of events kept for watches
	header         header
	leaseKeys      map[uint64]map[string]bool // the keys attached to each lease
	ttls           map[uint64]time.Duration   // of all leases, as of when the file was opened
}

// openDisk opens the store in dir, or creates one, and checks all of its contents.
func openDisk(dir string, retainedEvents int) (*disk, error) {
	path := filepath.Join(dir, FileName)
	_, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		empty := func(*bolt.Tx) (header, error) { return header{}, nil }
		if err := createDisk(dir, path, empty); err != nil {
			return nil, fmt.Errorf("create the store: %w", err)
		}
	case err != nil:
		return nil, fmt.Errorf("find the store: %w", err)
	}
	d := &disk{path: path, retainedEvents: retainedEvents}
	// The whole file is read before it is opened for writing. When bbolt opens a file for
	// writing, it walks the pages in a goroutine of its own, and a panic that damage causes
	// there can't be turned into an error.
	if err := d.open(true); err != nil {
		return nil, err
	}
	if err := d.close(); err != nil {
		return nil, fmt.Errorf("close %s after its check: %w", path, err)
	}
	if err := d.open(false); err != nil {
		return nil, err
	}
	return d, nil
}

// createDisk creates a store's file, with the keys that fill puts and the header that fill
// returns. The file gets its final name only when it is complete, so that a file of that name
// is never unfinished. The error wraps fs.ErrExist if the file exists already.
func createDisk(dir, path string, fill func(tx *bolt.Tx) (header, error)) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("create its folder: %w", err)
	}
	unfinished := path + unfinishedSuffix
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove the unfinished file of an interrupted start: %w", err)
	}
	db, err := bolt.Open(unfinished, fileMode, boltOptions(false))
	if err != nil {
		return fmt.Errorf("%s: %w", unfinished, err)
	}
	err = db.Update(func(tx *bolt.Tx) error { return createBuckets(tx, fill) })
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("%s: %w", unfinished, err)
	}
	return publish(unfinished, path)
}

func createBuckets(tx *bolt.Tx, fill func(tx *bolt.Tx) (header, error)) error {
	for _, name := range allBuckets {
		if _, err := tx.CreateBucket(name); err != nil {
			return fmt.Errorf("create the bucket %s: %w", name, err)
		}
	}
	h, err := fill(tx)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketHeader).Put(headerKey, h.encode())
}

// publish gives a complete file its final name and syncs the folder. If a file of that name
// has appeared meanwhile, it is kept, because os.Link does not replace files; the error then
// wraps fs.ErrExist.
func publish(unfinished, path string) error {
	if err := os.Link(unfinished, path); err != nil {
		return err // it names both paths and the call
	}
	return errors.Join(os.Remove(unfinished), syncDir(filepath.Dir(path)))
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func boltOptions(readOnly bool) *bolt.Options {
	// NoFreelistSync: bbolt rebuilds the list of free pages at the start instead of
	// writing it with every commit.
	return &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
}

// damaged returns an error that wraps ErrDamaged and describes the damage.
func (d *disk) damaged(format string, args ...any) error {
	// The description is cut off because texts of bbolt may contain whole pages.
	return fmt.Errorf("%s is %w: %.300s; it was left as it is: restore a backup into another folder (silvergate state restore)", d.path, ErrDamaged, fmt.Sprintf(format, args...))
}

// guard calls access, which uses the file, and returns its error. If a damaged page makes
// bbolt panic or fault, guard returns an error that wraps ErrDamaged.
func (d *disk) guard(access func() error) error { return checksum.Guard(d.path, access) }

// open opens the file. If readOnly is set, it also checks the whole file and sets the
// header, the TTLs and the keys of the leases. On an error the file is closed and unlocked.
func (d *disk) open(readOnly bool) error {
	var file *os.File
	err := d.guard(func() error { return d.openAndCheck(readOnly, &file) })
	if err == nil {
		return nil
	}
	if d.db != nil {
		_ = d.guard(d.db.Close)
		d.db = nil
	}
	if file != nil { // bbolt opened the file before it failed
		// After a panic the file stays mapped, and the mapping keeps the lock, so
		// closing the file alone would not release it.
		_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
		_ = file.Close()
	}
	return err
}

// openAndCheck does the work of open, without the clean-up after an error. It sets *file as
// soon as the file is open, because it may panic after that.
func (d *disk) openAndCheck(readOnly bool, file **os.File) error {
	// Guards against a file that was cut off: bbolt would initialize an empty file as a
	// new database, and read beyond the end of a file that is too short.
	info, err := os.Stat(d.path)
	if err != nil {
		return fmt.Errorf("open the store: %w", err)
	}
	size := info.Size()
	if size < minPages*int64(os.Getpagesize()) {
		return d.damaged("it has %d bytes only", size)
	}
	// Stores the opened file in *file, so that open can unlock it if bolt.Open panics.
	options := boltOptions(readOnly)
	options.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		f, err := os.OpenFile(name, flag, mode)
		*file = f
		return f, err
	}
	d.db, err = bolt.Open(d.path, fileMode, options)
	if errors.Is(err, berrors.ErrTimeout) {
		return fmt.Errorf("%s: another process has it open", d.path)
	}
	if err != nil {
		return d.damaged("%v", err)
	}
	return d.db.View(func(tx *bolt.Tx) error {
		if tx.Size() > size {
			return d.damaged("it has %d bytes of %d", size, tx.Size())
		}
		if !readOnly {
			return nil // openDisk has just verified it
		}
		return d.verify(tx)
	})
}

func (d *disk) close() error { return d.guard(d.db.Close) }
