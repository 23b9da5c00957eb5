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

// ErrDamaged marks a file whose contents contradict its checksums. It is left
// as it is.
var ErrDamaged = checksum.ErrDamaged

const (
	dirMode  = 0o700
	fileMode = 0o600
	// lockTimeout is how long to wait for a file that another process has open.
	lockTimeout = time.Second
	// minPages is how many pages every file has: two meta pages, the list of free ones,
	// and the root of the buckets.
	minPages = 4
	// unfinishedSuffix is added to the name of a file until it is complete.
	unfinishedSuffix = ".new"
)

// disk is the store's file. get, scan, changes and backup read a snapshot and may be
// called by any goroutine, also during a commit. Only one goroutine, the writer, may call
// commit; header and leaseKeys are the writer's alone from its first commit on.
type disk struct {
	db             *bolt.DB
	path           string
	retainedEvents int // kept for watches
	header         header
	leaseKeys      map[uint64]map[string]bool // the keys attached to each lease
	ttls           map[uint64]time.Duration   // of all leases, as of opening
}

// openDisk opens the store in dir, or makes one, and checks all of it.
func openDisk(dir string, retainedEvents int) (*disk, error) {
	path := filepath.Join(dir, FileName)
	_, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		empty := func(*bolt.Tx) (header, error) { return header{}, nil }
		if err := createDisk(dir, path, empty); err != nil {
			return nil, fmt.Errorf("make the store: %w", err)
		}
	case err != nil:
		return nil, fmt.Errorf("look for the store: %w", err)
	}
	d := &disk{path: path, retainedEvents: retainedEvents}
	// All of it is read before it is opened for writing: to do that, bbolt
	// walks the pages in a goroutine of its own, where damage is a panic that
	// nobody could turn into an error.
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

// createDisk makes a store's file, with the keys that fill puts and the header that it
// returns. The file appears under its name when it is complete: one that exists is never
// taken for an unfinished one. The error wraps fs.ErrExist if there is one already.
func createDisk(dir, path string, fill func(tx *bolt.Tx) (header, error)) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("make its folder: %w", err)
	}
	unfinished := path + unfinishedSuffix
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove what an interrupted start left: %w", err)
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
			return fmt.Errorf("make the bucket %s: %w", name, err)
		}
	}
	h, err := fill(tx)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketHeader).Put(headerKey, h.encode())
}

// publish gives a complete file its name, durably. A file that has got that name meanwhile
// is kept, as linking refuses to replace it: the error then wraps fs.ErrExist.
func publish(unfinished, path string) error {
	if err := os.Link(unfinished, path); err != nil {
		return err // names both and the call
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
	// The list of free pages is found again at the start instead of being
	// written with every commit.
	return &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
}

// damaged returns an error that wraps ErrDamaged and tells what is wrong.
func (d *disk) damaged(format string, args ...any) error {
	// What bbolt says may hold whole pages.
	return fmt.Errorf("%s is %w: %.300s; it was left as it is: restore a backup into another folder (silvergate state restore)", d.path, ErrDamaged, fmt.Sprintf(format, args...))
}

// guard calls what reads the file, and turns what a damaged page makes bbolt do into an
// error.
func (d *disk) guard(do func() error) error { return checksum.Guard(d.path, do) }

// open opens the file; if only for reading, it checks all of it, too, and sets the header,
// the TTLs and the leases' keys. On an error the file is closed and unlocked.
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
	if file != nil { // unless bbolt got so far itself
		// The mapping that a panic leaves behind keeps the lock, so
		// closing alone would not give it back.
		_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
		_ = file.Close()
	}
	return err
}

// openAndCheck is open without what follows an error. It sets file as soon as the file is
// open, as it may end in a panic then.
func (d *disk) openAndCheck(readOnly bool, file **os.File) error {
	// Guards against a file that was cut off: bbolt would make an empty
	// one anew, and read beyond the end of a shorter one.
	info, err := os.Stat(d.path)
	if err != nil {
		return fmt.Errorf("open the store: %w", err)
	}
	size := info.Size()
	if size < minPages*int64(os.Getpagesize()) {
		return d.damaged("it has %d bytes only", size)
	}
	// Guards against a panic in Open, which would leave the file locked.
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
			return nil // was verified just before
		}
		return d.verify(tx)
	})
}

func (d *disk) close() error { return d.guard(d.db.Close) }
