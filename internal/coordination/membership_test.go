package coordination

import (
	"testing"
	"time"
)

// TestAnOlderPublicationIsWrittenOver guards against a publication without an answer that is executed
// after newer ones: it has no condition, and would stay until the list's length changes.
func TestAnOlderPublicationIsWrittenOver(t *testing.T) {
	s := newSim(t, 41_000, 0)
	s.run(30 * time.Second)
	n := s.nodes[0]
	older := encode(member{Incarnation: n.core.incarnation - 1, IdleMachines: 99, Machines: 0, Format: latestFormat})
	s.kv.rev++
	s.kv.change(keyMember+n.name, older, n.core.membership.lease, s.kv.rev)
	s.run(40 * time.Second)
	if got := s.kv.keys[keyMember+n.name].data; string(got) == string(older) {
		t.Errorf("ten seconds later the record is still %s", got)
	}
}
