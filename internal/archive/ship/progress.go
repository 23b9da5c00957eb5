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
	// ProgressFile holds an attempt's progress, grantFile its grant.
	ProgressFile = "archive.json"
	grantFile    = "grant.json"
	// WorkDir is the working directory of the attempt's program.
	WorkDir = "work"
)

// progress is how far an attempt was shipped, as ProgressFile stores it. If it is old or
// lost, some of the attempt is shipped again. Began is a Unix time in milliseconds.
type progress struct {
	Began    int64              `json:"beganMs"`
	Streams  map[string]*Cursor `json:"streams"`
	End      *archive.End       `json:"end,omitempty"`
	Files    []archive.File     `json:"files,omitempty"` // files that are stored
	Complete bool               `json:"whole,omitempty"` // everything is stored, including the end
	GivenUp  string             `json:"gone,omitempty"`  // why the attempt was given up; empty if it was not
}

// save writes an attempt's progress to disk. The caller holds Shipper.mu. save does not
// sync the file: with older progress some output is only shipped again.
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
		tmp := filepath.Join(f.dir, "."+ProgressFile)
		if err = os.WriteFile(tmp, raw, 0o600); err == nil {
			err = os.Rename(tmp, filepath.Join(f.dir, ProgressFile))
		}
	}
	if err != nil {
		s.log.Error("cannot save an attempt's progress", "attempt", f.attempt.String(), "error", err)
		return
	}
	f.unsaved, f.lastSaved = false, time.Now()
}

// saveInterval is how often the progress of a running attempt is saved. After a kill,
// output that was shipped since the last save is shipped again.
const saveInterval = 5 * time.Second
