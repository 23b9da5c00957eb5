package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestAJobWhosePagesEndAtOnceIsDone guards against a job of 25,000 tasks that all
// completed and that was never called done (carbura-iasi-fleet, a day of our own;
// shiftbook-akl-ops, drawn days: citysweep 0.0): the last endings of two pages were
// committed at once, and neither transaction held the other's.
func TestAJobWhosePagesEndAtOnceIsDone(t *testing.T) {
	for _, home := range []string{"n1", "n0"} {
		s := newScript(t)
		sp := lateSpec()
		sp.Shape, sp.Tasks = job.Array, 2*s.c.tasksPerPage()
		page := func(num, finished int, revision uint64) protocol.WatchEvent {
			tasks := make([]job.Task, s.c.tasksPerPage())
			for i := range finished {
				tasks[i] = job.Task{Phase: job.Finished, Attempt: 1}
			}
			return protocol.WatchEvent{Put: pageKey(sp.ID, num), Value: writePage(tasks), ModRevision: revision}
		}
		n := s.c.tasksPerPage()
		s.pass(100 * time.Millisecond)
		p := protocol.KeyValuePage{Revision: 100, KeyValues: []protocol.KeyValue{
			{Key: keyJob + sp.ID, Value: encode(storedJob{sp, job.Open, 1, home}), ModRevision: 90},
			{Key: keyMember + "n0", Value: encode(member{1, 0, 0, latestFormat}), ModRevision: 91}}}
		for num := range 2 {
			w := page(num, n-1, 92+uint64(num))
			p.KeyValues = append(p.KeyValues, protocol.KeyValue{Key: w.Put, Value: w.Value, ModRevision: w.ModRevision})
		}
		s.reply(protocol.PathKeys+"?", "", 200, p)
		s.pass(200 * time.Millisecond)
		s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 110, Events: []protocol.WatchEvent{page(0, n, 105), page(1, n, 106)}})
		s.pass(time.Second)
		said := 0
		for _, k := range s.todo {
			var txn protocol.Txn
			if k.Path == protocol.PathTxn && protocol.Decode(k.Body, &txn) == nil && len(txn.Ops) == 1 && txn.Ops[0].Put == keyJob+sp.ID {
				said++
			}
		}
		if want := map[string]int{"n1": 1, "n0": 0}[home]; said != want {
			t.Errorf("kept by %s: %d transactions call the job done, want %d", home, said, want)
		}
		if home == "n1" {
			s.reply(protocol.PathTxn, `"write":"`+keyJob+sp.ID, 200, protocol.TxnResult{Revision: 111})
			s.ans = nil
			s.take(s.c.Request(s.clock(), 1, "GET", protocol.PathJobs+"/"+sp.ID, nil))
			var r protocol.JobState
			if len(s.ans) != 1 || protocol.Decode(s.ans[0].Body, &r) != nil || r.Status != string(job.Done) {
				t.Errorf("the user is told %+v", s.ans)
			}
		}
	}
}
