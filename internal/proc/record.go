package proc

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/google/renameio/v2"
)

// ErrNoProcess is the error for a record with a field that no process can have.
var ErrNoProcess = errors.New("names no process")

// Record returns a function for Start that writes the identity of a process to a file. The
// file is replaced atomically: a reader finds a whole record or none.
func Record(path string) func(ID) error {
	return func(id ID) error {
		raw, err := json.Marshal(id)
		if err != nil {
			return err
		}
		return renameio.WriteFile(path, raw, 0o600)
	}
}

// ReadRecord reads the identity that Record wrote. The error for a damaged file names the file
// and, if a value is impossible, the field; the error for a missing file is fs.ErrNotExist.
func ReadRecord(path string) (ID, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return ID{}, err
	}
	var id ID
	if err := json.Unmarshal(raw, &id); err != nil {
		return ID{}, fmt.Errorf("%s: damaged: %w", path, err)
	}
	for field, missing := range map[string]bool{"pid": id.PID <= 1, "start": id.Start == 0, "boot": id.Boot == ""} {
		if missing {
			return ID{}, fmt.Errorf("%s: %s: %w", path, field, ErrNoProcess)
		}
	}
	return id, nil
}
