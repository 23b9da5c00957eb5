package coordination

import (
	"slices"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// pagedJob applies the record of an array of three pages to a core and returns it.
func pagedJob(t *testing.T, c *Core) *jobRecord {
	t.Helper()
	spec := &job.Spec{ID: "wk-000001", Team: "blue", Shape: job.Array, Tasks: 3 * c.tasksPerPage()}
	c.applyJob(spec.ID, encode(storedJob{spec, job.Open, 1, "n1"}), 1)
	r := c.jobs.byID[spec.ID]
	if len(r.pages) != 0 {
		t.Fatalf("%d pages of a job that was never started are in memory", len(r.pages))
	}
	return r
}

// pageOfFinished returns the record of a page of finished tasks.
func pageOfFinished(tasks int) []byte {
	return writePage(slices.Repeat([]job.Task{{Phase: job.Finished, Attempt: 1}}, tasks))
}

// TestPendingTasksOfAPartlyPlacedJob checks that pages in memory and pages that are not yield their pending
// tasks in order, also if the loop creates pages.
func TestPendingTasksOfAPartlyPlacedJob(t *testing.T) {
	c := mirroringCore()
	r := pagedJob(t, c)
	size := c.tasksPerPage()
	c.applyPage("wk-000001/1", writePage([]job.Task{{Phase: job.Finished, Attempt: 1}, {}, {Phase: job.Bound, Attempt: 1, Machine: "i-1", Epoch: 1}}), 2)
	var got []int
	for i := range r.pendingTasks() {
		c.pageOf(r, i)
		got = append(got, i)
	}
	var want []int
	for i := range r.spec.Tasks {
		if i != size && i != size+2 {
			want = append(want, i)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("pending tasks %v, want all but %d and %d", got, size, size+2)
	}
	if len(r.pages) != 3 {
		t.Errorf("%d pages are in memory, want 3", len(r.pages))
	}
}

// TestFinishedPagesLeaveMemory guards against an open array whose memory grows with the tasks that have
// completed: a page of finished tasks keeps its count alone, and an unfinished one is as it was.
func TestFinishedPagesLeaveMemory(t *testing.T) {
	c := mirroringCore()
	r := pagedJob(t, c)
	size := c.tasksPerPage()
	for i, name := range []string{"wk-000001/0", "wk-000001/1"} {
		c.applyPage(name, pageOfFinished(size-i), uint64(2+i))
	}
	if r.finished != 2*size-1 || r.findPage(0).tasks != nil || r.findPage(1).tasks == nil {
		t.Fatalf("%d tasks finished, page 0 in memory: %v, page 1: %v", r.finished, r.findPage(0).tasks != nil, r.findPage(1).tasks != nil)
	}
	if phase := r.task(c, 0).Phase; phase != job.Finished {
		t.Errorf("a finished task is %q", phase)
	}
	for i := range r.pendingTasks() {
		if i < 2*size-1 {
			t.Fatalf("task %d is pending", i)
		}
	}
	// A record that is read again changes nothing.
	c.applyPage("wk-000001/0", pageOfFinished(size), 9)
	if r.finished != 2*size-1 || r.findPage(0).tasks != nil {
		t.Errorf("after the page was read again, %d tasks are finished", r.finished)
	}
	// A late transition of a finished task is dropped, and nothing stays queued.
	c.propose(r, 0, taskTransition{machine: "i-1", attempt: 1})
	c.flushPages(r.findPage(0), nil)
	if len(r.findPage(0).queue) > 0 || len(c.writer.dirtyPages) > 0 {
		t.Error("a transition of a finished task stays queued")
	}
}

// TestDispatchWindowShrinks guards against queues that keep the tasks of every job that was once the most
// urgent: as more urgent jobs arrive, the tasks in dispatch stay within their bound, and each job keeps one.
func TestDispatchWindowShrinks(t *testing.T) {
	s := newScript(t)
	c := s.core
	s.advance(100 * time.Millisecond)
	s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 1})
	jobs := c.maxTasksInDispatch()/(maxPagesInFlight*c.tasksPerPage()) + 20
	for _, record := range waitingArrays(jobs, 10_000) { // each is older, and so more urgent, than those before
		c.applyChange(record.Key, record.Value, record.ModRevision)
		s.advance(c.sweepPeriod())
	}
	s.advance(2 * c.cfg.Operator.PublishInterval)
	if limit := c.maxTasksInDispatch() + jobs; c.scheduler.queuedTasks > limit {
		t.Errorf("%d tasks of %d jobs are queued, the bound is %d", c.scheduler.queuedTasks, jobs, limit)
	}
	for _, id := range sortedKeys(c.jobs.open) {
		if len(c.jobs.open[id].queue) == 0 {
			t.Errorf("no task of %s is queued", id)
		}
	}
}

// TestFirstPageOfAJobWithZoneConstraints guards against controllers that place tasks of one job on different
// pages at the same time, in zones that exclude each other: the transaction that writes one page rewrites the job's
// record, also while no other page is in memory.
func TestFirstPageOfAJobWithZoneConstraints(t *testing.T) {
	c := mirroringCore()
	r := pagedJob(t, c)
	r.spec.OneZone = true
	batch := c.newTxnBatch(c.pageOf(r, 0))
	c.newPageDraft(batch, c.pageOf(r, 0)).write()
	writesJob := func(op protocol.Op) bool { return op.Put == keyJob+r.spec.ID }
	if !slices.ContainsFunc(batch.ops, writesJob) {
		t.Errorf("the transaction does not write the job's record: %v", batch.ops)
	}
}
