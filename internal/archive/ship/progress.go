package ship

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"silvergate/internal/archive"
)

// Names in an attempt's folder.
const (
	// AccountFile holds how far an attempt was shipped, grantFile its grant.
	AccountFile = "archive.json"
	grantFile   = "grant.json"
	// WorkDir is the working directory of the attempt's program.
	WorkDir = "work"
)

// progress is how far an attempt was shipped, as AccountFile has it. Old or lost, it
// costs shipping some of it again. Began is a Unix time in milliseconds.
type progress struct {
	Began    int64              `json:"beganMs"`
	Streams  map[string]*Cursor `json:"streams"`
	End      *archive.End       `json:"end,omitempty"`
	Files    []archive.File     `json:"files,omitempty"` // that are stored
	Complete bool               `json:"whole,omitempty"` // all is stored, the end too
	GivenUp  string             `json:"gone,omitempty"`  // why it was given up
}

// save writes an attempt's progress; the lock is held. It is not synced: an older
// one only costs shipping again.
func (s *Shipper) save(f *followedAttempt) {
	if !f.unsaved {
		return
	}
	for name, follower := range f.streams {
		c := follower.Cursor
		c.Gaps = slices.Clone(c.Gaps)
		f.progress.Streams[name] = &c
	}
	raw, err := json.Marshal(f.progress)
	if err == nil {
		tmp := filepath.Join(f.dir, "."+AccountFile)
		if err = os.WriteFile(tmp, raw, 0o600); err == nil {
			err = os.Rename(tmp, filepath.Join(f.dir, AccountFile))
		}
	}
	if err != nil {
		s.log.Error("an attempt's account can't be kept", "attempt", f.attempt.String(), "error", err)
		return
	}
	f.unsaved, f.lastSaved = false, time.Now()
}

// saveInterval is how often the progress of an attempt that writes on is saved: after
// a kill what was shipped since is shipped again.
const saveInterval = 5 * time.Second
