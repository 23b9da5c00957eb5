package statestore

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// TestBackupAndRestore writes a backup while the service runs and restores it. It guards
// against a restored store that accepts a revision of the lost one: revisions are fencing
// tokens and must not go back.
func TestBackupAndRestore(t *testing.T) {
	dir := t.TempDir()
	address, stop := serve(t, dir, unlimited)
	pool := transport.NewPool(4)
	put := func(value int) (revision uint64) {
		t.Helper()
		status, body := sendRequest(pool, address, "POST", "/txn", protocol.Txn{Ops: []protocol.Op{{Put: "a", Value: protocol.Encode(value)}}})
		var r protocol.TxnResult
		if json.Unmarshal(body, &r) != nil || status != 200 {
			t.Fatalf("%d %s", status, body)
		}
		return r.Revision
	}
	first := put(1)
	status, body := sendRequest(pool, address, "POST", PathBackup, BackupRequest{"one"})
	var saved BackupSummary
	if json.Unmarshal(body, &saved) != nil || status != 200 || saved.Revision != first {
		t.Fatalf("%d %s", status, body)
	}
	for _, c := range []struct {
		why, name string
		want      int
	}{
		{"taken", "one", 409},
		{"out of the folder", "../one", 400},
		{"empty", "", 400},
	} {
		if status, body := sendRequest(pool, address, "POST", PathBackup, BackupRequest{c.name}); status != c.want {
			t.Errorf("%s name: %d %s, want %d", c.why, status, body, c.want)
		}
	}
	last := put(2)
	stop()
	if _, err := Restore(saved.File, dir); err == nil {
		t.Error("Restore replaced an existing store")
	}
	restored := filepath.Join(t.TempDir(), "other")
	if _, err := Restore(saved.File, restored); err != nil {
		t.Fatal(err)
	}
	address, _ = serve(t, restored, unlimited)
	_, body = sendRequest(pool, address, "GET", "/keys/a", nil)
	var e protocol.KeyValue
	if json.Unmarshal(body, &e) != nil || string(e.Value) != "1" || e.ModRevision <= last {
		t.Errorf("restored key: %s", body)
	}
	stale := protocol.Txn{Compares: []protocol.Compare{{Key: "a", ModRevision: first}}, Ops: []protocol.Op{{Delete: "a"}}}
	if status, _ := sendRequest(pool, address, "POST", "/txn", stale); status != 409 {
		t.Errorf("a comparison with an old revision was answered %d, want 409", status)
	}
	if status, _ := sendRequest(pool, address, "GET", fmt.Sprintf("/watch?from=%d", last), nil); status != 410 {
		t.Errorf("a watch from an old revision was answered %d, want 410", status)
	}
}
