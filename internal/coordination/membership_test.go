package coordination

import (
	"testing"
	"time"
)

// TestAnOlderPublicationIsWrittenOver guards against an unanswered write of a member record that is
// executed after newer ones. The write is unconditional, so the older record would stay until the
// length of the idle list changes.
func TestAnOlderPublicationIsWrittenOver(t *testing.T) {
	s := newSim(t, 41_000, 0)
	s.run(30 * time.Second)
	n := s.controllers[0]
	older := encode(member{Incarnation: n.core.incarnation - 1, IdleMachines: 99, Machines: 0, Format: latestFormat})
	s.state.revision++
	s.state.apply(keyMember+n.name, older, n.core.membership.lease, s.state.revision)
	s.run(40 * time.Second)
	if got := s.state.keys[keyMember+n.name].value; string(got) == string(older) {
		t.Errorf("ten seconds later the record is still %s", got)
	}
}
