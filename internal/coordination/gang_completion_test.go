package coordination

import (
	"strings"
	"testing"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestGangWithACompletedTaskIsDone guards against a gang that is never done: one task is on record as completed,
// another lost sight of it and ended as its gang was gone, and a third was released before. The other tasks must count
// as completed too, and none may be started again.
func TestGangWithACompletedTaskIsDone(t *testing.T) {
	s := newScript(t)
	gang := &job.Spec{ID: "wk-700001", Class: "gng", Team: "blue", Shape: job.Gang, Tasks: 3, Priority: job.High, CPUs: 1, MemoryGB: 1}
	s.driveToOwnedMachine(
		protocol.WatchEvent{Put: keyJob + gang.ID, Value: encode(storedJob{gang, job.Open, 1, "n1"}), ModRevision: 125},
		protocol.WatchEvent{Put: pageKey(gang.ID, 0), Value: writePage([]job.Task{{Phase: job.Finished, Attempt: 1}, boundTask(1), {Attempt: 1}}), ModRevision: 126})
	s.now += s.core.sweepPeriod()
	s.sendHeartbeat(120, 3, protocol.TaskStatus{Task: gang.ID + "/1", Attempt: 1, Status: protocol.TaskEnded, Cause: protocol.CauseGangMemberLost})
	for i := range uint64(4) {
		s.advance(s.core.sweepPeriod())
		for _, call := range s.openCalls {
			body := string(call.Body)
			if call.Path == protocol.PathTxn && strings.Contains(body, pageKey(gang.ID, 0)) {
				s.reply(protocol.PathTxn, pageKey(gang.ID, 0), 200, protocol.TxnResult{Revision: 140 + i})
				break
			}
		}
	}
	r := s.core.jobs.byID[gang.ID]
	if r.status != job.Done || r.finished != 3 {
		t.Errorf("the gang is %s, %d of 3 tasks have completed, %d are bound", r.status, r.finished, r.bound)
	}
	for _, call := range s.openCalls {
		if strings.Contains(string(call.Body), `"try":2`) {
			t.Errorf("a task was started again: %s", call.Body)
		}
	}
}
