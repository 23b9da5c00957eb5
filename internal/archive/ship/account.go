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
	// AccountFile is how far an attempt was shipped, grantFile its grant.
	AccountFile = "archive.json"
	grantFile   = "grant.json"
	// WorkDir is the working directory of the attempt's program.
	WorkDir = "work"
)

// account is what is kept of an attempt on disk. Old or lost, it costs shipping
// some of it again.
type account struct {
	Began   int64              `json:"beganMs"`
	Streams map[string]*Cursor `json:"streams"`
	End     *archive.End       `json:"end,omitempty"`
	Files   []archive.File     `json:"files,omitempty"` // that are kept
	Whole   bool               `json:"whole,omitempty"` // all is kept, the end too
	Gone    string             `json:"gone,omitempty"`  // why it is given up
}

// save writes an attempt's account; the lock is held. It is not synced: an older
// one only costs shipping again.
func (s *Shipper) save(f *follow) {
	if !f.dirty {
		return
	}
	for name, fl := range f.streams {
		c := fl.Cursor
		c.Gaps = slices.Clone(c.Gaps)
		f.acc.Streams[name] = &c
	}
	raw, err := json.Marshal(f.acc)
	if err == nil {
		tmp := filepath.Join(f.dir, "."+AccountFile)
		if err = os.WriteFile(tmp, raw, 0o600); err == nil {
			err = os.Rename(tmp, filepath.Join(f.dir, AccountFile))
		}
	}
	if err != nil {
		s.log.Error("an attempt's account can't be kept", "attempt", f.a.String(), "err", err)
		return
	}
	f.dirty, f.saved = false, time.Now()
}

// saveEvery is how often the account of an attempt that writes on is kept: after a
// kill what was shipped since goes out again.
const saveEvery = 5 * time.Second
