package agent

import (
	"fmt"
	"slices"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TaskAttempt identifies an attempt of a task.
type TaskAttempt struct {
	Job     string
	Index   int
	Attempt int
}

// TaskName returns the task's name in the protocol.
func (k TaskAttempt) TaskName() string { return job.TaskName(k.Job, k.Index) }

// String returns job.index.attempt, which is also the name of the attempt's folder.
func (k TaskAttempt) String() string { return fmt.Sprintf("%s.%d.%d", k.Job, k.Index, k.Attempt) }

// phase is the state of an attempt. reportedStates gives the state of the protocol
// that each phase is reported as.
type phase int

const (
	describing phase = iota // its job's description is being fetched
	fetching                // its image and inputs are being fetched
	waiting                 // for the other tasks of its gang
	running
	finished      // gang: its program has completed, programs of other tasks have not yet
	checkpointing // asked to stop; may save a checkpoint first
	checkpointed  // gang: it has saved a checkpoint, other tasks have not yet
	ending        // killed; its processes are not all gone yet
	ended
)

type taskState struct {
	id               TaskAttempt
	description      *protocol.JobDescription // nil while describing
	phase            phase
	cause            string
	checkpointed     bool
	phaseSince       time.Duration // when the phase began
	stopRequestedAt  time.Duration // when the attempt was first asked to stop
	killAt           time.Duration // checkpointing: when the attempt is killed even if it has not saved
	finalCause       string        // ending: the cause to report when the processes are gone
	gangCompleteAt   time.Duration // gang: when all tasks were last seen in an expected state
	nextGangCheckAt  time.Duration // gang: when the other tasks' agents are queried next
	nextCheckpointAt time.Duration // when the next periodic checkpoint is requested; 0: never
	needsInputs      bool          // some inputs are not present yet
	grant            string        // archive grant that came with the launch
	peerStates       map[int]string
}

// hasProcess reports whether the attempt has a process.
func (task *taskState) hasProcess() bool {
	return task.phase == running || task.phase == checkpointing || task.phase == ending
}

// allPeersIn reports whether every other task of the gang is in one of the states.
func (task *taskState) allPeersIn(states ...string) bool {
	for i := range task.description.Tasks {
		if i != task.id.Index && !slices.Contains(states, task.peerStates[i]) {
			return false
		}
	}
	return true
}
