package stateclient

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"silvergate/internal/protocol"
)

const (
	// scanTimeout is the time limit of reading one page of keys.
	scanTimeout = 2 * callTimeout
	// scanPageSize is the most keys that a page may have, as the request states it.
	scanPageSize = "1000"
	// mirrorRetryDelay is the pause before the mirror's next read after one has failed.
	mirrorRetryDelay = callTimeout / 5
	// watchBlock is how long the service keeps a watch open while there are no events.
	watchBlock = time.Second
	// watchTimeout is the time limit of a watch: watchBlock and the time of two calls.
	watchTimeout = watchBlock + 2*callTimeout
	// watchShareDivisor divides a controller's share of the request rate: opening watches may
	// use a quarter of the share.
	watchShareDivisor = 4
)

// mirror is a copy of all keys under MirroredPrefix. A scan fills it page by page, at the start
// and whenever the watch has lost changes; after that the watch keeps it up to date.
type mirror struct {
	revisions map[string]uint64 // mod revision of each key
	// tombstones holds the revisions at which keys were deleted ahead of the watch.
	tombstones map[string]uint64

	scan          *scan // nil when none is under way
	scanInFlight  bool  // a page is being read
	watchInFlight bool  // the watch is open
	nextReadAt    time.Duration

	loaded          bool // a scan has finished
	consistent      bool // see Consistent
	appliedRevision uint64
	freshAt         time.Duration // see FreshAt

	watchSpacing time.Duration // least time between two openings of the watch
}

// scan is the state of reading all keys by pages.
type scan struct {
	seenKeys map[string]bool
	lastKey  string // the next page begins after it
	revision uint64 // of the first page, 0 until that is read
}

func newMirror(requestRate float64, controllers int) mirror {
	sharers := float64(max(1, controllers))
	return mirror{
		revisions:    map[string]uint64{},
		tombstones:   map[string]uint64{},
		watchSpacing: time.Duration(watchShareDivisor * sharers / requestRate * float64(time.Second)),
	}
}

// Loaded reports whether all records have been read at least once.
func (c *Client) Loaded() bool { return c.mirror.loaded }

// Rescanning reports whether a scan of the records is under way. The changes applied meanwhile
// may be incomplete: a scan shows the present value of a key, not each change that led to it.
func (c *Client) Rescanning() bool { return c.mirror.scan != nil }

// Consistent reports whether the mirror equals a state that the service once had, apart from
// writes of this client that are ahead of the watch. The mirror is not consistent from the
// start of a scan until the watch has brought what changed during the scan: a later page may
// show the effect of a change that was made after an earlier page was read.
func (c *Client) Consistent() bool { return c.mirror.consistent }

// AppliedRevision returns the revision up to which the mirror is complete.
func (c *Client) AppliedRevision() uint64 { return c.mirror.appliedRevision }

// FreshAt returns the time at which the mirror was last known to be complete.
func (c *Client) FreshAt() time.Duration { return c.mirror.freshAt }

// ModRevision returns the revision of the last change of a mirrored key, or 0 if the key does
// not exist.
func (c *Client) ModRevision(key string) uint64 { return c.mirror.revisions[key] }

// StaleAfter returns the age of FreshAt from which at least one watch has certainly
// failed: each stays open for watchBlock at most, and the next one is opened at once.
func (c *Client) StaleAfter() time.Duration { return 5 * watchBlock / 2 }

// WatchSpacing returns the least time between two openings of the watch.
func (c *Client) WatchSpacing() time.Duration { return c.mirror.watchSpacing }

// syncMirror sends the mirror's next read, a page of the scan or a watch, if it is due, no
// other read is in flight and the request budget allows it.
func (c *Client) syncMirror() {
	m := &c.mirror
	if m.scanInFlight || m.watchInFlight || c.now < m.nextReadAt || !c.limiter.SpendRead() {
		return
	}
	if m.scan == nil && !m.loaded {
		m.startScan()
	}
	if m.scan != nil {
		c.readPage()
	} else {
		c.openWatch()
	}
}

func (m *mirror) startScan() { m.scan = &scan{seenKeys: map[string]bool{}} }

// readPage reads the scan's next page.
func (c *Client) readPage() {
	c.mirror.scanInFlight = true
	c.Send(protocol.Call{
		Target:  protocol.ToStateService,
		Method:  http.MethodGet,
		Timeout: scanTimeout,
		Path: protocol.PathKeys + "?under=" + MirroredPrefix +
			"&from=" + url.QueryEscape(c.mirror.scan.lastKey) + "&page=" + scanPageSize,
	}, c.handlePage)
}

// handlePage applies a page. If the read failed, the same page is read again later.
func (c *Client) handlePage(reply protocol.Reply) {
	m := &c.mirror
	m.scanInFlight = false
	c.recordContact(reply)
	var page protocol.KeyValuePage
	if reply.Status != http.StatusOK || protocol.DecodeState(reply.Body, &page) != nil {
		m.nextReadAt = c.now + mirrorRetryDelay
		return
	}
	if m.scan.revision == 0 {
		m.scan.revision = page.Revision
	}
	for _, entry := range page.KeyValues {
		m.scan.seenKeys[entry.Key] = true
		m.scan.lastKey = entry.Key
		c.applyChange(entry.Key, entry.Value, entry.ModRevision)
	}
	if page.Truncated && len(page.KeyValues) > 0 {
		return
	}
	c.finishScan()
}

// finishScan deletes the keys that the scan has not found. The watch then starts at the first
// page's revision, as changes made after that may be missing from that page.
func (c *Client) finishScan() {
	m := &c.mirror
	for key, revision := range m.revisions {
		if !m.scan.seenKeys[key] && revision <= m.scan.revision {
			c.applyChange(key, nil, m.scan.revision)
		}
	}
	m.appliedRevision = max(m.appliedRevision, m.scan.revision)
	m.loaded = true
	m.scan = nil
}

// openWatch requests the changes after the applied revision.
func (c *Client) openWatch() {
	openedAt := c.now
	c.mirror.watchInFlight = true
	c.Send(protocol.Call{
		Target:  protocol.ToStateService,
		Method:  http.MethodGet,
		Timeout: watchTimeout,
		Path: protocol.PathWatch + "?under=" + MirroredPrefix +
			"&from=" + strconv.FormatUint(c.mirror.appliedRevision, 10) +
			"&blockMs=" + strconv.FormatInt(watchBlock.Milliseconds(), 10),
	}, func(reply protocol.Reply) { c.handleWatch(reply, openedAt) })
}

// handleWatch handles the reply to a watch that was opened at openedAt.
func (c *Client) handleWatch(reply protocol.Reply, openedAt time.Duration) {
	m := &c.mirror
	m.watchInFlight = false
	c.recordContact(reply)
	m.nextReadAt = openedAt + m.watchSpacing
	switch reply.Status {
	case http.StatusOK:
		var result protocol.WatchResult
		if protocol.DecodeState(reply.Body, &result) == nil {
			c.applyEvents(&result, openedAt)
		}
	case http.StatusGone: // the service no longer has all changes after the applied revision
		m.consistent = false
		m.startScan()
	default:
		m.nextReadAt = c.now + mirrorRetryDelay
	}
}

// applyEvents applies the changes of a watch. The mirror is then complete as of the time at
// which the watch was opened.
func (c *Client) applyEvents(result *protocol.WatchResult, openedAt time.Duration) {
	m := &c.mirror
	for _, event := range result.Events {
		if event.Put != "" {
			c.applyChange(event.Put, event.Value, event.ModRevision)
		} else {
			c.applyChange(event.Delete, nil, event.ModRevision)
		}
	}
	m.appliedRevision = max(m.appliedRevision, result.Revision)
	m.freshAt = openedAt
	m.consistent = true
	for key, revision := range m.tombstones {
		if revision <= m.appliedRevision {
			delete(m.tombstones, key)
		}
	}
}

// applyChange applies one change to the mirror, unless the mirror already has this or a newer
// change of the key. data is nil for a deleted key.
func (c *Client) applyChange(key string, data json.RawMessage, revision uint64) {
	m := &c.mirror
	if current, exists := m.revisions[key]; exists && current >= revision {
		return
	}
	if m.tombstones[key] >= revision {
		return
	}
	if data == nil {
		c.applyDelete(key, revision)
		return
	}
	m.revisions[key] = revision
	c.Apply(key, data, revision)
}

// applyDelete deletes a key. A deletion that the watch has yet to bring leaves a
// tombstone, so that an older write that the watch brings first is not applied.
func (c *Client) applyDelete(key string, revision uint64) {
	m := &c.mirror
	if revision > m.appliedRevision {
		m.tombstones[key] = revision
	}
	if _, exists := m.revisions[key]; !exists {
		return
	}
	delete(m.revisions, key)
	c.Apply(key, nil, revision)
}
