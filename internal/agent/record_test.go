package agent

import (
	"bytes"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silvergate/internal/proc"
)

// TestDamagedRecordsAreNamed reads process records that were cut off or filled with
// nonsense. Each error must name the file and the fault, and no record may identify a process
// that could be killed.
func TestDamagedRecordsAreNamed(t *testing.T) {
	const whole = `{"pid":4711,"start":99,"boot":"b"}`
	for name, c := range map[string]struct{ text, want string }{
		"empty":        {"", "damaged"},
		"half":         {whole[:len(whole)/2], "damaged"},
		"another type": {`{"pid":"x","start":99,"boot":"b"}`, "damaged"},
		"no process":   {`{"start":99,"boot":"b"}`, "pid: names no process"},
		"init":         {`{"pid":1,"start":99,"boot":"b"}`, "pid: names no process"},
		"no start":     {`{"pid":4711,"boot":"b"}`, "start: names no process"},
		"no boot":      {`{"pid":4711,"start":99}`, "boot: names no process"},
		"whole":        {whole, ""},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			folder := filepath.Join(dir, tasksDir, "wk-000001.0.1")
			if err := os.MkdirAll(folder, 0o700); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(folder, procFile)
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := proc.ReadRecord(path)
			var log bytes.Buffer
			owner := taskOwner(dir, slog.New(slog.NewTextHandler(&log, nil)))
			if c.want == "" {
				if err != nil || len(owner.Leaders) != 1 || log.Len() > 0 {
					t.Errorf("%v, %+v, %s", err, owner, &log)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, expected %s and %q", err, path, c.want)
			}
			if len(owner.Leaders) != 0 || !strings.Contains(log.String(), path) {
				t.Errorf("%+v, logged %s", owner, &log)
			}
		})
	}
	if _, err := proc.ReadRecord(filepath.Join(t.TempDir(), procFile)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing record: %v", err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, watchdogFile), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := endEarlierWatchdog(dir); err == nil || !strings.Contains(err.Error(), watchdogFile) {
		t.Errorf("a damaged record of a watchdog: %v", err)
	}
}
