package datastore

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// disk writes a store's files, so that tests can simulate a full disk.
type disk interface {
	// WriteAt writes a part of a file of a copy.
	WriteAt(f *os.File, b []byte, off int64) error
	// RemoveAll removes a folder with all that is in it.
	RemoveAll(path string) error
	// Clone makes an empty file share the blocks of another until one of the two is
	// written to. Not all file systems can.
	Clone(to, from *os.File) error
	// Replace writes a small file atomically and durably.
	Replace(path string, b []byte) error
	// Sync makes all data durable that was written to the file system of a folder.
	// Some file systems report only then that they are full.
	Sync(dir *os.File) error
}

type osDisk struct{}

// Free space that the store's chunks leave to the agent, which ends with all its tasks if it
// can't write its own state: a share of the file system, but no more than maxReservedBytes.
const (
	reservedShare    = 1.0 / 20
	maxReservedBytes = 256 << 20
)

// errReserve means that only the reserved space of a file system is left.
var errReserve = errors.New("the disk is full but for a reserve")

func (osDisk) WriteAt(f *os.File, b []byte, off int64) error {
	if err := checkReserve(f, int64(len(b))); err != nil {
		return &os.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	_, err := f.WriteAt(b, off)
	return err
}

// checkReserve returns errReserve if a write of more bytes to a file would use the reserved
// space of its file system.
func checkReserve(f *os.File, more int64) error {
	var stat unix.Statfs_t
	if err := unix.Fstatfs(int(f.Fd()), &stat); err != nil {
		return err
	}
	size := int64(stat.Blocks) * stat.Bsize
	free := int64(stat.Bavail) * stat.Bsize
	if free-more < min(int64(float64(size)*reservedShare), maxReservedBytes) {
		return errReserve
	}
	return nil
}

func (osDisk) RemoveAll(path string) error { return os.RemoveAll(path) }

func (osDisk) Clone(to, from *os.File) error {
	return unix.IoctlFileClone(int(to.Fd()), int(from.Fd()))
}

func (osDisk) Replace(path string, b []byte) error { return renameio.WriteFile(path, b, 0o600) }

func (osDisk) Sync(dir *os.File) error { return unix.Syncfs(int(dir.Fd())) }

// isDiskFull reports whether an error means that there is no more space for the store.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, errReserve)
}

// writeAt writes a part of a file. If the disk is full, because other programs fill it although
// the store is within its capacity, it evicts one copy that is not in use and tries once more.
func (s *Store) writeAt(f *os.File, data []byte, offset int64) error {
	err := s.disk.WriteAt(f, data, offset)
	if !isDiskFull(err) {
		return err
	}
	s.mu.Lock()
	err = s.makeRoom(s.cfg.Capacity - s.used() + 1)
	s.mu.Unlock()
	if err := errors.Join(err, s.emptyTrash()); err != nil {
		return err
	}
	return s.wrapDiskFull(s.disk.WriteAt(f, data, offset))
}

// wrapDiskFull wraps an error of a full disk in ErrFull and counts it as a refused copy;
// it returns other errors unchanged.
func (s *Store) wrapDiskFull(err error) error {
	if !isDiskFull(err) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused++
	return fmt.Errorf("%w: %w", ErrFull, err)
}
