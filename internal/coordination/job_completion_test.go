package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestAJobWhosePagesEndAtOnceIsDone guards against a job of 25,000 tasks that all
// completed and that was never called done (carbura-iasi-fleet, a day of our own;
// shiftbook-akl-ops, drawn days: citysweep 0.0): the last completions of two pages were
// committed at once, and neither transaction held the other's.
func TestAJobWhosePagesEndAtOnceIsDone(t *testing.T) {
	for _, test := range []struct {
		name         string
		owner        string
		transactions int // that call the job done
	}{
		{"owned by this controller", "n1", 1},
		{"owned by another controller", "n0", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newScript(t)
			spec := lateSpec()
			tasksPerPage := s.c.tasksPerPage()
			spec.Shape = job.Array
			spec.Tasks = 2 * tasksPerPage
			s.loadTwoPages(spec, test.owner)
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 110, Events: []protocol.WatchEvent{
				finishedPage(spec.ID, 0, tasksPerPage, tasksPerPage, 105),
				finishedPage(spec.ID, 1, tasksPerPage, tasksPerPage, 106),
			}})
			s.pass(time.Second)
			if got := s.transactionsOnJob(spec.ID); got != test.transactions {
				t.Errorf("%d transactions call the job done, want %d", got, test.transactions)
			}
			if test.transactions == 0 {
				return
			}
			s.reply(protocol.PathTxn, `"write":"`+keyJob+spec.ID, 200, protocol.TxnResult{Revision: 111})
			s.ans = nil
			s.take(s.c.Request(s.clock(), 1, "GET", protocol.PathJobs+"/"+spec.ID, nil))
			var state protocol.JobState
			if len(s.ans) != 1 || protocol.Decode(s.ans[0].Body, &state) != nil || state.Status != string(job.Done) {
				t.Errorf("the user is told %+v", s.ans)
			}
		})
	}
}

// loadTwoPages has the controller read a job of two pages, each but for one task finished.
func (s *script) loadTwoPages(spec *job.Spec, owner string) {
	tasksPerPage := s.c.tasksPerPage()
	s.pass(100 * time.Millisecond)
	records := protocol.KeyValuePage{Revision: 100, KeyValues: []protocol.KeyValue{
		{Key: keyJob + spec.ID, Value: encode(storedJob{spec, job.Open, 1, owner}), ModRevision: 90},
		{Key: keyMember + "n0", Value: encode(member{1, 0, 0, latestFormat}), ModRevision: 91}}}
	for number := range 2 {
		event := finishedPage(spec.ID, number, tasksPerPage-1, tasksPerPage, 92+uint64(number))
		records.KeyValues = append(records.KeyValues, protocol.KeyValue{Key: event.Put, Value: event.Value, ModRevision: event.ModRevision})
	}
	s.reply(protocol.PathKeys+"?", "", 200, records)
	s.pass(200 * time.Millisecond)
}

// finishedPage is a change of a page of which the first tasks have finished.
func finishedPage(jobID string, number, finished, size int, revision uint64) protocol.WatchEvent {
	tasks := make([]job.Task, size)
	for i := range finished {
		tasks[i] = job.Task{Phase: job.Finished, Attempt: 1}
	}
	return protocol.WatchEvent{Put: pageKey(jobID, number), Value: writePage(tasks), ModRevision: revision}
}

// transactionsOnJob counts the transactions sent that write a job's record alone.
func (s *script) transactionsOnJob(jobID string) int {
	count := 0
	for _, call := range s.todo {
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
