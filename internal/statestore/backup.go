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
// POST with {"name":"..."} writes a consistent snapshot under that name into the
// service's backup folder while it goes on serving.
const PathBackup = "/backup"

// Backup asks for a backup, and Saved tells of it.
type Backup struct {
	Name string `json:"name"`
}

// BackupSummary is a backup that was written and checked.
type BackupSummary struct {
	File     string `json:"file"`
	Revision uint64 `json:"ledger"`
	Keys     uint64 `json:"keys"`
	Bytes    int64  `json:"bytes"`
}

// backupName tells what is wrong with a name. It names a file in one folder
// and can't lead out of it.
func backupName(s string) error {
	if s == "" || len(s) > 100 {
		return errors.New("name: must have 1 to 100 characters")
	}
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return errors.New("name: must be of letters, digits, - and _")
		}
	}
	return nil
}

// backup serves PathBackup.
func (s *Service) backup(id uint64, r *transport.Request) {
	var b Backup
	refuse := func(status int, format string, args ...any) {
		v := errorDecision(status, format, args...)
		s.server.Answer(id, v.status, v.body, v.retryAfter)
	}
	if r.Method != http.MethodPost {
		refuse(http.StatusMethodNotAllowed, "use POST")
		return
	}
	err := protocol.DecodeObject(r.Body, &b)
	if err == nil {
		err = backupName(b.Name)
	}
	if err != nil {
		refuse(http.StatusBadRequest, "%v", err)
		return
	}
	if s.saving {
		refuse(http.StatusServiceUnavailable, "another backup is being written")
		return
	}
	s.saving = true
	dir := s.cfg.BackupDir
	if dir == "" {
		dir = filepath.Join(s.cfg.Dir, "backups")
	}
	go func() {
		saved, err := s.disk.backup(dir, b.Name)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.saving = false
		switch {
		case errors.Is(err, fs.ErrExist):
			refuse(http.StatusConflict, "a backup of that name exists")
		case err != nil:
			s.log.Error("backup failed", "name", b.Name, "error", err)
			refuse(http.StatusInternalServerError, "%v", err)
		default:
			s.log.Info("backup written", "file", saved.File, "revision", saved.Revision, "bytes", saved.Bytes)
			s.json(id, http.StatusOK, saved)
		}
	}()
}

// backup writes a snapshot and reads it again before it gets its name.
func (d *disk) backup(dir, name string) (BackupSummary, error) {
	path := filepath.Join(dir, name+".db")
	tmp := path + ".new"
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return BackupSummary{}, err
	}
	if _, err := os.Lstat(path); err == nil {
		return BackupSummary{}, fs.ErrExist
	}
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return BackupSummary{}, err
	}
	err = d.recoverDamage(func() error {
		return d.db.View(func(tx *bolt.Tx) error {
			_, err := tx.WriteTo(f)
			return err
		})
	})
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return BackupSummary{}, errors.Join(err, os.Remove(tmp))
	}
	saved, err := Check(tmp)
	if err != nil {
		return BackupSummary{}, err
	}
	if err := os.Link(tmp, path); err != nil {
		return BackupSummary{}, err
	}
	saved.File = path
	return saved, errors.Join(os.Remove(tmp), syncDir(dir))
}

// Check reads all of a store's file, which no service may have open, and
// compares it with its checksums. It changes nothing.
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
	st, err := os.Stat(path)
	if err != nil {
		return BackupSummary{}, err
	}
	return BackupSummary{path, d.header.Revision, d.header.Keys, st.Size()}, nil
}

// restoreJump is how far a restored store's ledger lies ahead of its backup's:
// further than any store gets between two backups, so that a stamp given out
// after the backup is never given out again. Workers' tokens are stamps, and
// must not go back.
const restoreJump = 1 << 40

// Restore makes a store in dir from a backup. All keys get new stamps above any
// that the lost store can have given out, so that whoever still holds an old
// one is refused. Grants are not restored, nor what hung on them. A store that
// exists in dir is never replaced.
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
	err := createDisk(dir, path, func(tx *bolt.Tx) (header, error) {
		h := header{Revision: d.header.Revision + restoreJump, LastLease: d.header.LastLease + restoreJump, CompactRevision: d.header.Revision + restoreJump}
		keys := tx.Bucket(bucketKeys)
		var failed error
		_, err := d.scan("", "", func(k []byte, r keyRecord) bool {
			if r.lease != 0 {
				return true
			}
			v := encodeRecord(k, keyRecord{modRevision: h.Revision, value: r.value})
			h.Keys++
			h.Digest ^= be(v[len(v)-8:])
			failed = keys.Put(k, v)
			return failed == nil
		})
		return h, errors.Join(err, failed)
	})
	if err != nil {
		return BackupSummary{}, err
	}
	return Check(path)
}
