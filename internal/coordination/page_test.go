package coordination

import (
	"encoding/json"
	"testing"
	"time"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
)

// writePage is a page's record, for tests that put pages into the state service.
func writePage(tasks []job.Task) json.RawMessage { return pagecodec.EncodeCompact(tasks) }

// TestPagesUseListFormWithEarlierVersions guards a rolling upgrade: as long as a
// peer has not published that it reads the compact form, none is written.
func TestPagesUseListFormWithEarlierVersions(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(time.Second)
	c := s.controllers[0].core
	clear(c.membership.formats)
	tasks := []job.Task{{Phase: job.Bound, Attempt: 1, Machine: "m", Epoch: 1}}
	if b := c.encodePage(tasks); b[0] != '[' {
		t.Errorf("peers are not known, and %s was written", b)
	}
	for i, p := range c.cfg.Peers {
		c.applyMember(p.Node, json.RawMessage(`{"l":1,"i":0,"m":0,"f":1}`))
		if b := c.encodePage(tasks); (b[0] == '[') != (i < len(c.cfg.Peers)-1) {
			t.Errorf("with %d of %d peers known, %s was written", i+1, len(c.cfg.Peers), b)
		}
	}
	c.applyMember(c.cfg.Peers[0].Node, json.RawMessage(`{"l":2,"i":0,"m":0}`))
	if b := c.encodePage(tasks); b[0] != '[' {
		t.Errorf("a peer went back to an earlier version, and %s was written", b)
	}
}
