package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// TestGangGetsABlockCleared guards against gangs that wait for ever while arrays occupy the
// machines: machines of several controllers, all with tasks of lower priority, must be
// cleared for the gang that holds the reservation, so that it starts soon.
func TestGangGetsABlockCleared(t *testing.T) {
	s := newSim(t, 23, 0)
	s.facts.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	s.advertised = s.facts
	s.submitLowArrays(4)
	s.run(90 * time.Second)
	gang := s.submit(&job.Spec{ID: "wk-700000", Class: "gng", Team: "red", Shape: job.Gang, Tasks: 3, Priority: job.High,
		CPUs: 2, GPUs: 2, MemoryGB: 1, Spot: true, OneZone: true, MachineTypes: []string{"small", "large"}}, 5, 0)
	s.run(105 * time.Second)
	for i, d := range gang.done {
		if !d {
			t.Errorf("task %d of the gang has not run 15 s after its submission", i)
		}
	}
	s.reportViolations(t)
}

// TestGangWithoutABlockLetsOthersStart guards against a gang that holds the reservation for
// more than a minute although no zone has enough machines for it: smaller gangs of other
// controllers must start meanwhile.
func TestGangWithoutABlockLetsOthersStart(t *testing.T) {
	s := newSim(t, 41, 0)
	s.facts.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	s.advertised = s.facts
	gang := func(id string, tasks int) *simUser {
		return s.submit(&job.Spec{ID: id, Class: "gng", Team: "red", Shape: job.Gang, Tasks: tasks, Priority: job.High,
			CPUs: 16, GPUs: 2, MemoryGB: 1, Spot: true, OneZone: true, MachineTypes: []string{"small"}}, 5, 0)
	}
	s.submitLowArrays(4)
	s.run(60 * time.Second)
	gang("wk-700000", 6) // more than fit into a zone, which has four small machines
	s.run(63 * time.Second)
	var small []*simUser
	for i := range 4 {
		small = append(small, gang(fmt.Sprintf("wk-71000%d", i), 2))
	}
	s.run(100 * time.Second)
	for _, u := range small {
		if !u.done[0] {
			t.Errorf("%s has not run", u.spec.ID)
		}
	}
	s.reportViolations(t)
}
