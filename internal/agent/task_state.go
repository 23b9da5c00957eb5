package agent

import (
	"fmt"
	"slices"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TaskAttempt names an attempt of a task on this machine.
type TaskAttempt struct {
	Job     string
	Index   int
	Attempt int
}

// TaskName is the wire name of the task.
func (k TaskAttempt) TaskName() string { return job.TaskName(k.Job, k.Index) }

// String is the key as job.index.attempt, which also names the attempt's folder.
func (k TaskAttempt) String() string { return fmt.Sprintf("%s.%d.%d", k.Job, k.Index, k.Attempt) }

// phase is where an attempt stands. The first ones are reported as they are
// named in the protocol.
type phase int

const (
	describing phase = iota // its job's description is being asked for
	fetching                // its image is
	waiting                 // for the other tasks of its gang
	running
	finished      // gang: its program completed, those of others did not yet
	checkpointing // asked to stop, and may save a checkpoint
	checkpointed  // gang: it has saved, others have not yet
	ending        // asked to end; its processes are not gone yet
	ended
)

type taskState struct {
	id               TaskAttempt
	description      *protocol.JobDescription // nil while describing
	phase            phase
	cause            string
	checkpointed     bool
	phaseSince       time.Duration // of the phase
	stopRequestedAt  time.Duration // first asked to stop
	killAt           time.Duration // checkpointing: when it is ended all the same
	finalCause       string        // ending: the cause to report when it is gone
	gangCompleteAt   time.Duration // gang: when all of it was last seen as it should be
	nextGangCheckAt  time.Duration // gang: when the others are asked next
	nextCheckpointAt time.Duration // when it is to save by itself
	needsInputs      bool          // inputs that are not here yet
	grant            string        // that came with the launch; for the archive
	peerStates       map[int]string
}

// hasProcess tells whether the attempt has a program that runs.
func (task *taskState) hasProcess() bool {
	return task.phase == running || task.phase == checkpointing || task.phase == ending
}

// allPeersIn tells whether every other task of the gang is in one of the states.
func (task *taskState) allPeersIn(states ...string) bool {
	for i := range task.description.Tasks {
		if i != task.id.Index && !slices.Contains(states, task.peerStates[i]) {
			return false
		}
	}
	return true
}
