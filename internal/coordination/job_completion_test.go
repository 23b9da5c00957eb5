package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestAJobWhosePagesEndAtOnceIsDone guards against a job whose tasks have all completed and that is
// never marked as done: the last completions of two of its pages are committed at once, and
// neither transaction includes the other's completion. Seen with a job of 25,000 tasks, on a day
// of our own on carbura-iasi-fleet and on random days on shiftbook-akl-ops (citysweep 0.0).
func TestAJobWhosePagesEndAtOnceIsDone(t *testing.T) {
	for _, test := range []struct {
		name         string
		owner        string
		transactions int // that mark the job as done
	}{
		{"owned by this controller", "n1", 1},
		{"owned by another controller", "n0", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newScript(t)
			spec := singleServiceSpec()
			tasksPerPage := s.core.tasksPerPage()
			spec.Shape = job.Array
			spec.Tasks = 2 * tasksPerPage
			s.loadTwoPages(spec, test.owner)
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 110, Events: []protocol.WatchEvent{
				finishedPage(spec.ID, 0, tasksPerPage, tasksPerPage, 105),
				finishedPage(spec.ID, 1, tasksPerPage, tasksPerPage, 106),
			}})
			s.advance(time.Second)
			if got := s.transactionsOnJob(spec.ID); got != test.transactions {
				t.Errorf("%d transactions mark the job as done, want %d", got, test.transactions)
			}
			if test.transactions == 0 {
				return
			}
			s.reply(protocol.PathTxn, `"write":"`+keyJob+spec.ID, 200, protocol.TxnResult{Revision: 111})
			s.responses = nil
			s.collect(s.core.Request(s.clock(), 1, "GET", protocol.PathJobs+"/"+spec.ID, nil))
			var state protocol.JobState
			if len(s.responses) != 1 || protocol.Decode(s.responses[0].Body, &state) != nil || state.Status != string(job.Done) {
				t.Errorf("the answer to the user's status query is %+v, want the job done", s.responses)
			}
		})
	}
}

// loadTwoPages has the controller read a job of two pages, in each of which all tasks but one have
// finished.
func (s *script) loadTwoPages(spec *job.Spec, owner string) {
	tasksPerPage := s.core.tasksPerPage()
	s.advance(100 * time.Millisecond)
	records := protocol.KeyValuePage{Revision: 100, KeyValues: []protocol.KeyValue{
		{Key: keyJob + spec.ID, Value: encode(storedJob{spec, job.Open, 1, owner}), ModRevision: 90},
		{Key: keyMember + "n0", Value: encode(member{1, 0, 0, latestFormat}), ModRevision: 91}}}
	for number := range 2 {
		event := finishedPage(spec.ID, number, tasksPerPage-1, tasksPerPage, 92+uint64(number))
		records.KeyValues = append(records.KeyValues, protocol.KeyValue{Key: event.Put, Value: event.Value, ModRevision: event.ModRevision})
	}
	s.reply(protocol.PathKeys+"?", "", 200, records)
	s.advance(200 * time.Millisecond)
}

// finishedPage returns a change of a page in which the first finished tasks have finished.
func finishedPage(jobID string, number, finished, size int, revision uint64) protocol.WatchEvent {
	tasks := make([]job.Task, size)
	for i := range finished {
		tasks[i] = job.Task{Phase: job.Finished, Attempt: 1}
	}
	return protocol.WatchEvent{Put: pageKey(jobID, number), Value: writePage(tasks), ModRevision: revision}
}

// transactionsOnJob returns the number of sent transactions that write only a job's record.
func (s *script) transactionsOnJob(jobID string) int {
	count := 0
	for _, call := range s.openCalls {
		var txn protocol.Txn
		if call.Path != protocol.PathTxn || protocol.Decode(call.Body, &txn) != nil {
			continue
		}
		if len(txn.Ops) == 1 && txn.Ops[0].Put == keyJob+jobID {
			count++
		}
	}
	return count
}
