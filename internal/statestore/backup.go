package statestore

import (
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// PathBackup is the path of backup requests. It is not part of the protocol: on a POST
// with a BackupRequest, the service writes a consistent snapshot under the requested name
// into its backup folder while it goes on serving, and answers with a BackupSummary.
const PathBackup = "/backup"

const (
	backupSuffix        = ".db"
	defaultBackupDir    = "backups" // subfolder of the store's folder
	maxBackupNameLength = 100       // characters
)

// BackupRequest asks for a backup.
type BackupRequest struct {
	// Name has 1 to 100 letters, digits, - and _. No backup of that name may exist.
	Name string `json:"name"`
}

// BackupSummary describes a store's file or backup that was read completely and found
// undamaged.
type BackupSummary struct {
	File     string `json:"file"`
	Revision uint64 `json:"ledger"` // of the last change
	Keys     uint64 `json:"keys"`   // number of keys
	Bytes    int64  `json:"bytes"`  // size of the file
}

// checkBackupName returns an error that says why a name is invalid, or nil. The allowed
// characters ensure that the backup's file can't lie outside the backup folder.
func checkBackupName(name string) error {
	if name == "" || len(name) > maxBackupNameLength {
		return fmt.Errorf("name: must have 1 to %d characters", maxBackupNameLength)
	}
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return errors.New("name: must be of letters, digits, - and _")
		}
	}
	return nil
}

// serveBackup serves PathBackup. It starts a goroutine that writes the backup and answers
// the request; only one backup is written at a time. The lock must be held.
func (s *Service) serveBackup(id uint64, r *transport.Request) {
	if r.Method != http.MethodPost {
		s.answerError(id, http.StatusMethodNotAllowed, "use POST")
		return
	}
	var wanted BackupRequest
	err := protocol.DecodeObject(r.Body, &wanted)
	if err == nil {
		err = checkBackupName(wanted.Name)
	}
	if err != nil {
		s.answerError(id, http.StatusBadRequest, "%v", err)
		return
	}
	if s.backupInProgress {
		s.answerError(id, http.StatusServiceUnavailable, "another backup is being written")
		return
	}
	s.backupInProgress = true
	go s.writeBackup(id, wanted.Name)
}

// writeBackup writes a backup and answers the request for it. It takes the lock only for
// the answer.
func (s *Service) writeBackup(id uint64, name string) {
	dir := s.cfg.BackupDir
	if dir == "" {
		dir = filepath.Join(s.cfg.Dir, defaultBackupDir)
	}
	saved, err := s.disk.backup(dir, name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backupInProgress = false
	switch {
	case errors.Is(err, fs.ErrExist):
		s.answerError(id, http.StatusConflict, "a backup of that name exists")
	case err != nil:
		s.log.Error("backup failed", "name", name, "error", err)
		s.answerError(id, http.StatusInternalServerError, "%v", err)
	default:
		s.log.Info("backup written", "file", saved.File, "revision", saved.Revision, "bytes", saved.Bytes)
		s.answerJSON(id, http.StatusOK, saved)
	}
}

// backup writes a snapshot to a temporary file, checks it and gives it its final name. The
// error wraps fs.ErrExist if a backup of that name exists.
func (d *disk) backup(dir, name string) (BackupSummary, error) {
	path := filepath.Join(dir, name+backupSuffix)
	unfinished := path + unfinishedSuffix
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return BackupSummary{}, fmt.Errorf("make the folder of backups: %w", err)
	}
	if _, err := os.Lstat(path); err == nil {
		return BackupSummary{}, fmt.Errorf("%s: %w", path, fs.ErrExist)
	}
	if err := d.writeSnapshot(unfinished); err != nil {
		return BackupSummary{}, fmt.Errorf("write the backup: %w", err)
	}
	saved, err := Check(unfinished)
	if err != nil {
		return BackupSummary{}, fmt.Errorf("check the backup: %w", err)
	}
	if err := publish(unfinished, path); err != nil {
		return saved, fmt.Errorf("name the backup: %w", err)
	}
	saved.File = path
	return saved, nil
}

// writeSnapshot writes a snapshot to path and syncs it. On an error it removes the partial
// file.
func (d *disk) writeSnapshot(path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = d.guard(func() error {
		return d.db.View(func(tx *bolt.Tx) error {
			_, err := tx.WriteTo(f)
			return err
		})
	})
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return nil
}

// Check reads the whole file of a store or a backup, which no service may have open, and
// compares its contents with its checksums. It changes nothing. The error wraps ErrDamaged
// if the file is damaged.
func Check(path string) (BackupSummary, error) {
	d := &disk{path: path}
	if err := d.open(true); err != nil {
		return BackupSummary{}, err
	}
	defer d.close()
	err := d.db.View(func(tx *bolt.Tx) error {
		for err := range tx.Check() {
			return d.damaged("%v", err)
		}
		return nil
	})
	if err != nil {
		return BackupSummary{}, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return BackupSummary{}, fmt.Errorf("measure the file: %w", err)
	}
	return BackupSummary{path, d.header.Revision, d.header.Keys, info.Size()}, nil
}

// restoreRevisionGap is added to a backup's revision to get the revision of the restored
// store. It exceeds the number of revisions that any store uses between two backups, so
// that a revision issued after the backup is never issued again: the fencing tokens of
// workers are revisions and must not go back. The same gap is added to the ids of leases.
const restoreRevisionGap = 1 << 40

// Restore creates a store in dir from a backup. All keys get a new revision that is higher
// than any that the lost store can have issued, so that a client that still holds an old
// revision is refused. Leases and the keys attached to them are not restored. Restore never
// replaces an existing store in dir. The error wraps ErrDamaged if the backup is damaged.
func Restore(backup, dir string) (BackupSummary, error) {
	path := filepath.Join(dir, FileName)
	if _, err := os.Lstat(path); err == nil {
		return BackupSummary{}, fmt.Errorf("%s exists; move it away first", path)
	}
	d := &disk{path: backup}
	if err := d.open(true); err != nil {
		return BackupSummary{}, err
	}
	defer d.close()
	if err := createDisk(dir, path, d.restoreInto); err != nil {
		return BackupSummary{}, fmt.Errorf("create the store: %w", err)
	}
	return Check(path)
}

// restoreInto copies the keys of a backup that have no lease into a new store, and returns
// the new store's header.
func (d *disk) restoreInto(tx *bolt.Tx) (header, error) {
	revision := d.header.Revision + restoreRevisionGap
	h := header{
		Revision:        revision,
		LastLease:       d.header.LastLease + restoreRevisionGap,
		CompactRevision: revision, // no events are restored
	}
	keys := tx.Bucket(bucketKeys)
	var putErr error
	_, scanErr := d.scan("", "", func(key []byte, r keyRecord) bool {
		if r.lease != 0 {
			return true
		}
		stored := encodeRecord(key, keyRecord{modRevision: revision, value: r.value})
		h.Keys++
		h.Digest ^= storedChecksum(stored)
		putErr = keys.Put(key, stored)
		return putErr == nil
	})
	if err := errors.Join(scanErr, putErr); err != nil {
		return header{}, fmt.Errorf("copy the keys of the backup: %w", err)
	}
	return h, nil
}
