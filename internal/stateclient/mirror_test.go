package stateclient

import (
	"fmt"
	"net/url"
	"testing"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// requireFrom fails the test unless a read begins after the given key or revision.
func requireFrom(t *testing.T, c *sentCall, want string) {
	t.Helper()
	u, err := url.Parse(c.call.Path)
	if err != nil {
		t.Fatal(err)
	}
	if got := u.Query().Get("from"); got != want {
		t.Fatalf("%s begins after %q, not %q", c.call.Path, got, want)
	}
}

func TestMirrorIsScannedByPagesAndKeptByWatch(t *testing.T) {
	h := newHarness(300, 120)
	h.Tick(time.Second)
	first := h.mustTake(t, protocol.PathKeys+"?")
	first.done(reply(200, protocol.KeyValuePage{Revision: 10, Truncated: true, KeyValues: []protocol.KeyValue{{Key: "sg/a", Value: quoted("1"), ModRevision: 3}}}))
	if h.Loaded() {
		t.Fatal("the mirror is loaded before the last page was read")
	}
	h.Tick(2 * time.Second)
	second := h.mustTake(t, protocol.PathKeys+"?")
	requireFrom(t, second, "sg/a")
	second.done(reply(200, protocol.KeyValuePage{Revision: 12, KeyValues: []protocol.KeyValue{{Key: "sg/b", Value: quoted("2"), ModRevision: 12}}}))
	// The watch starts at the first page's revision, so it brings changes between the
	// pages again. They must not be applied twice.
	h.Tick(3 * time.Second)
	watch := h.mustTake(t, protocol.PathWatch)
	requireFrom(t, watch, "10")
	watch.done(reply(200, protocol.WatchResult{Revision: 14, Events: []protocol.WatchEvent{
		{Put: "sg/b", Value: quoted("old"), ModRevision: 11},
		{Delete: "sg/a", ModRevision: 13},
		{Put: "sg/c", Value: quoted("3"), ModRevision: 14},
	}}))
	if fmt.Sprint(h.mirror) != `map[sg/b:"2" sg/c:"3"]` || h.AppliedRevision() != 14 || h.FreshAt() != 3*time.Second {
		t.Fatalf("the mirror is %v at revision %d, fresh at %v", h.mirror, h.AppliedRevision(), h.FreshAt())
	}
}

func TestMirrorIsScannedAgainWhenTheWatchHasLostChanges(t *testing.T) {
	h := newLoadedHarness(t, 10, map[string]uint64{"sg/a": 3, "sg/b": 4})
	h.Tick(2 * time.Second)
	h.mustTake(t, protocol.PathWatch).done(reply(410, nil))
	h.Tick(3 * time.Second)
	h.answerScan(t, 99, map[string]uint64{"sg/b": 50})
	if len(h.mirror) != 1 || h.ModRevision("sg/b") != 50 || h.ModRevision("sg/a") != 0 || h.AppliedRevision() != 99 {
		t.Fatalf("the mirror is %v at revision %d", h.mirror, h.AppliedRevision())
	}
}

// TestMirrorIsConsistentFromTheFirstWatchAfterAScan guards against decisions on a mirror
// whose pages were read at different revisions.
func TestMirrorIsConsistentFromTheFirstWatchAfterAScan(t *testing.T) {
	h := newLoadedHarness(t, 10, nil)
	if h.Consistent() || h.Rescanning() {
		t.Fatalf("after the scan: consistent %v, scanning %v", h.Consistent(), h.Rescanning())
	}
	h.Tick(2 * time.Second)
	h.mustTake(t, protocol.PathWatch).done(reply(200, protocol.WatchResult{Revision: 10}))
	if !h.Consistent() {
		t.Fatal("the mirror is not consistent after the watch")
	}
	h.Tick(3 * time.Second)
	h.mustTake(t, protocol.PathWatch).done(reply(410, nil))
	if h.Consistent() || !h.Rescanning() || !h.Loaded() {
		t.Fatalf("after lost changes: consistent %v, scanning %v, loaded %v", h.Consistent(), h.Rescanning(), h.Loaded())
	}
}

// TestMirrorKeepsOwnDeletionAgainstOlderEvents guards against a key that this client has deleted and
// that comes back into the mirror: the watch brings an older write of the key before the deletion.
func TestMirrorKeepsOwnDeletionAgainstOlderEvents(t *testing.T) {
	h := newLoadedHarness(t, 10, map[string]uint64{"sg/a": 3})
	h.Txn(ratelimit.Safety, nil, []protocol.Op{{Delete: "sg/a"}}, func(outcome TxnOutcome, _ []string, _ uint64) {
		if outcome != Committed {
			t.Error(outcome)
		}
	})
	h.Tick(2 * time.Second)
	h.mustTake(t, protocol.PathTxn).done(reply(200, protocol.TxnResult{Revision: 20}))
	h.mustTake(t, protocol.PathWatch).done(reply(200, protocol.WatchResult{Revision: 15, Events: []protocol.WatchEvent{{Put: "sg/a", Value: quoted("x"), ModRevision: 15}}}))
	if len(h.mirror) != 0 {
		t.Fatal(h.mirror)
	}
}
