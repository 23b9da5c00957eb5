package proc

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/google/renameio/v2"
)

// ErrNoProcess says that a field of a record can't be a process's.
var ErrNoProcess = errors.New("names no process")

// Record returns a function for Start that writes down who a process is. A reader
// of the file finds all of it or nothing.
func Record(path string) func(ID) error {
	return func(id ID) error {
		raw, err := json.Marshal(id)
		if err != nil {
			return err
		}
		return renameio.WriteFile(path, raw, 0o600)
	}
}

// ReadRecord reads who a process is. The error of a damaged file names the file and the field; that
// of a file that is not there is fs.ErrNotExist.
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
