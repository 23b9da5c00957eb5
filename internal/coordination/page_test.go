package coordination

import (
	"encoding/json"
	"testing"
	"time"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
)

// writePage returns the record of a page, for tests that put pages into the state service.
func writePage(tasks []job.Task) json.RawMessage { return pagecodec.EncodeCompact(tasks) }

// TestPagesUseListFormWithEarlierVersions guards against a rolling upgrade in which a peer can't
// read a page: no page is written in compact form until every peer has published that it reads
// that form.
func TestPagesUseListFormWithEarlierVersions(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(time.Second)
	c := s.controllers[0].core
	clear(c.membership.formats)
	tasks := []job.Task{{Phase: job.Bound, Attempt: 1, Machine: "m", Epoch: 1}}
	if b := c.encodePage(tasks); b[0] != '[' {
		t.Errorf("no peer's format is known, but %s was written", b)
	}
	for i, p := range c.cfg.Peers {
		c.applyMember(p.Node, json.RawMessage(`{"l":1,"i":0,"m":0,"f":1}`))
		if b := c.encodePage(tasks); (b[0] == '[') != (i < len(c.cfg.Peers)-1) {
			t.Errorf("the formats of %d of %d peers are known, but %s was written", i+1, len(c.cfg.Peers), b)
		}
	}
	c.applyMember(c.cfg.Peers[0].Node, json.RawMessage(`{"l":2,"i":0,"m":0}`))
	if b := c.encodePage(tasks); b[0] != '[' {
		t.Errorf("a peer was downgraded to an earlier version, but %s was written", b)
	}
}
