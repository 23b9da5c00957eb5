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
		sp.Shape, sp.Tasks = job.Array, 2*s.c.pageTasks()
		page := func(num, finished int, stamp uint64) protocol.News {
			tasks := make([]job.Task, s.c.pageTasks())
			for i := range finished {
				tasks[i] = job.Task{Phase: job.Finished, Try: 1}
			}
			return protocol.News{Write: pageKey(sp.ID, num), Data: writePage(tasks), Stamp: stamp}
		}
		n := s.c.pageTasks()
		s.pass(100 * time.Millisecond)
		p := protocol.EntryPage{Ledger: 100, Entries: []protocol.Entry{
			{Key: keyJob + sp.ID, Data: encode(storedJob{sp, job.Open, 1, home}), Stamp: 90},
			{Key: keyMember + "n0", Data: encode(member{1, 0, 0, latestFormat}), Stamp: 91}}}
		for num := range 2 {
			w := page(num, n-1, 92+uint64(num))
			p.Entries = append(p.Entries, protocol.Entry{Key: w.Write, Data: w.Data, Stamp: w.Stamp})
		}
		s.reply(protocol.PathKeys+"?", "", 200, p)
		s.pass(200 * time.Millisecond)
		s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Ledger: 110, News: []protocol.News{page(0, n, 105), page(1, n, 106)}})
		s.pass(time.Second)
		said := 0
		for _, k := range s.todo {
			var txn protocol.Txn
			if k.Path == protocol.PathTxn && protocol.Decode(k.Body, &txn) == nil && len(txn.Then) == 1 && txn.Then[0].Write == keyJob+sp.ID {
				said++
			}
		}
		if want := map[string]int{"n1": 1, "n0": 0}[home]; said != want {
			t.Errorf("kept by %s: %d transactions call the job done, want %d", home, said, want)
		}
		if home == "n1" {
			s.reply(protocol.PathTxn, `"write":"`+keyJob+sp.ID, 200, protocol.TxnResult{Ledger: 111})
			s.ans = nil
			s.take(s.c.Request(s.clock(), 1, "GET", protocol.PathRuns+"/"+sp.ID, nil))
			var r protocol.RunState
			if len(s.ans) != 1 || protocol.Decode(s.ans[0].Body, &r) != nil || r.Status != string(job.Done) {
				t.Errorf("the user is told %+v", s.ans)
			}
		}
	}
}
