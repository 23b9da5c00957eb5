package coordination

import (
	"time"

	"silvergate/internal/protocol"
)

// catalogue holds the cloud's machine types. Submissions can't be judged without them.
type catalogue struct {
	types           map[string]*protocol.MachineType
	dueAt           time.Duration
	requestInFlight bool
}

func newCatalogue() catalogue {
	return catalogue{types: map[string]*protocol.MachineType{}}
}

// update takes the machine types that the cloud or the record tells of.
func (g *catalogue) update(types *protocol.MachineTypes) {
	for _, t := range types.MachineTypes {
		if known := g.types[t.Name]; known != nil {
			*known = t // machines point to it
		} else {
			g.types[t.Name] = &t
		}
	}
}
