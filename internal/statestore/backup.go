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

// PathBackup is where a backup is asked for. It is not part of the protocol:
// POST with a BackupRequest writes a consistent snapshot under its name into the
// service's backup folder while it goes on serving, and is answered with a BackupSummary.
const PathBackup = "/backup"

const (
	backupSuffix    = ".db"
	defaultBackupDir  = "backups" // in the store's folder
	maxBackupNameLength = 100       // of a name
)

// BackupRequest asks for a backup.
type BackupRequest struct {
	// Name has 1 to 100 letters, digits, - and _. It must be new.
	Name string `json:"name"`
}

// BackupSummary describes a store's file that was read completely and found undamaged.
type BackupSummary struct {
	File     string `json:"file"`
	Revision uint64 `json:"ledger"` // of the last change
	Keys     uint64 `json:"keys"`   // number of keys
	Bytes    int64  `json:"bytes"`  // size of the file
}

// checkBackupName returns what is wrong with a name. It names a file in one folder
// and can't lead out of it.
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

// serveBackup serves PathBackup. The backup is written by a goroutine of its own, one at a
// time. The lock must be held.
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

// writeBackup writes a backup and answers the request for it. It takes the lock only to
// answer.
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

// backup writes a snapshot and checks it before it gets its name. The error wraps
// fs.ErrExist if that name is taken.
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

// writeSnapshot writes a snapshot durably, or removes what it has written of it.
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

// Check reads all of a store's file or backup, which no service may have open, and
// compares it with its checksums. It changes nothing. The error wraps ErrDamaged if the
// file is damaged.
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

// restoreRevisionGap is how far a restored store's revision lies ahead of its backup's:
// further than any store gets between two backups, so that a revision given out
// after the backup is never given out again. Workers' fencing tokens are revisions, and
// must not go back. The ids of leases have the same gap.
const restoreRevisionGap = 1 << 40

// Restore makes a store in dir from a backup. All keys get a new revision above any
// that the lost store can have given out, so that whoever still holds an old
// one is refused. Leases are not restored, nor the keys attached to them. A store that
// exists in dir is never replaced. The error wraps ErrDamaged if the backup is damaged.
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
		return BackupSummary{}, fmt.Errorf("make the store: %w", err)
	}
	return Check(path)
}

// restoreInto puts the keys of a backup without a lease into a new store, and returns its
// header.
func (d *disk) restoreInto(tx *bolt.Tx) (header, error) {
	revision := d.header.Revision + restoreRevisionGap
	h := header{
		Revision:        revision,
		LastLease:       d.header.LastLease + restoreRevisionGap,
		CompactRevision: revision, // there are no events of it
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
