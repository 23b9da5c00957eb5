package datastore

import (
	"errors"
	"os"
	"syscall"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// disk is what tests let fail as on a full disk: every write of a store goes through
// it.
type disk interface {
	// WriteAt writes a part of a copy.
	WriteAt(f *os.File, b []byte, off int64) error
	// Replace writes a small file whole or not at all, durably.
	Replace(path string, b []byte) error
	// Sync makes all that was written in a folder's file system durable, which is
	// when some file systems first find out that they are full.
	Sync(dir *os.File) error
}

type osDisk struct{}

func (osDisk) WriteAt(f *os.File, b []byte, off int64) error {
	_, err := f.WriteAt(b, off)
	return err
}

func (osDisk) Replace(path string, b []byte) error { return renameio.WriteFile(path, b, 0o600) }

func (osDisk) Sync(dir *os.File) error { return unix.Syncfs(int(dir.Fd())) }

// isDiskFull tells whether an error means that the disk is full.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
