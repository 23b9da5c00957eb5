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
