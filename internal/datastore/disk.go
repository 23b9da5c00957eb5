package datastore

import (
	"errors"
	"os"
	"syscall"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// disk writes a store's chunks and manifests, so that tests can simulate a full disk.
type disk interface {
	// WriteAt writes a part of a file of a copy.
	WriteAt(f *os.File, b []byte, off int64) error
	// Replace writes a small file atomically and durably.
	Replace(path string, b []byte) error
	// Sync makes all data durable that was written to the file system of a folder.
	// Some file systems report only then that they are full.
	Sync(dir *os.File) error
}

type osDisk struct{}

func (osDisk) WriteAt(f *os.File, b []byte, off int64) error {
	_, err := f.WriteAt(b, off)
	return err
}

func (osDisk) Replace(path string, b []byte) error { return renameio.WriteFile(path, b, 0o600) }

func (osDisk) Sync(dir *os.File) error { return unix.Syncfs(int(dir.Fd())) }

// isDiskFull reports whether an error means that the disk is full.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
