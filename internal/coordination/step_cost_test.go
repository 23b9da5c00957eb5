package coordination

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// largeDeploymentCore returns a simulated deployment of hundreds of machines that run tasks, one of
// its controllers, and a machine of that controller with at least two tasks.
func largeDeploymentCore(t testing.TB) (*sim, *Core, *machine) {
	s := newLargeDeploymentSim(t, 31)
	s.submitLargeLoad(80 * time.Second)
	s.run(60 * time.Second)
	c := s.controllers[0].core
	if len(c.machines.byID) < 150 || len(c.machines.own) < 20 {
		t.Fatalf("only %d machines, %d of them owned by the controller", len(c.machines.byID), len(c.machines.own))
	}
	for _, m := range c.machines.own {
		if len(m.bound) >= 2 && m.tokenSeen && !m.launchInDoubt && len(m.stops) == 0 {
			return s, c, m
		}
	}
	t.Fatal("no machine of the controller runs two tasks")
	return nil, nil, nil
}

// TestCostOfAHeartbeat bounds the allocations for handling a heartbeat that reports no changes. The
// deployment is large enough that a loop over all machines or jobs would exceed the bound.
func TestCostOfAHeartbeat(t *testing.T) {
	s, c, m := largeDeploymentCore(t)
	r := protocol.Heartbeat{Worker: m.id, Address: m.claim.Address, MachineType: m.claim.MachineType, Zone: m.claim.Zone, Spot: m.claim.Spot,
		AgentEpoch: m.epoch, Sequence: m.sequence, FencingToken: m.token}
	for _, k := range m.boundTasks() {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: job.TaskName(k.job, k.index), Attempt: m.bound[k].task(c, k.index).Attempt, Status: protocol.TaskRunning})
	}
	var bodies [][]byte
	for range 202 {
		r.Sequence++
		bodies = append(bodies, encode(r))
	}
	n := 0
	answered := 0
	allocs := testing.AllocsPerRun(200, func() {
		e := c.Request(s.controllers[0].clock(), uint64(1e9)+uint64(n), http.MethodPost, protocol.PathHeartbeat, bodies[n])
		for _, a := range e.Responses {
			if a.Status == http.StatusOK {
				answered++
			}
		}
		n++
	})
	t.Logf("%.1f allocations for a heartbeat with %d tasks", allocs, len(r.Tasks))
	if answered < 200 {
		t.Fatalf("only %d heartbeats were answered", answered)
	}
	if limit := 15 + 3*float64(len(r.Tasks)); allocs > limit {
		t.Errorf("%.1f allocations for a heartbeat, the bound is %.0f", allocs, limit)
	}
}

// TestCostOfAWatchedChange bounds the allocations for applying a page in which one task has changed.
// Every controller applies about twenty such pages per second.
func TestCostOfAWatchedChange(t *testing.T) {
	_, c, _ := largeDeploymentCore(t)
	var p *page
	for _, id := range sortedKeys(c.jobs.open) {
		for _, q := range c.jobs.open[id].pages {
			if len(q.tasks) >= 20 && (p == nil || len(q.tasks) > len(p.tasks)) {
				p = q
			}
		}
	}
	if p == nil {
		t.Fatal("no large page")
	}
	tasks := slices.Clone(p.tasks)
	var pages [][]byte
	for i := range 202 {
		tasks[7] = job.Task{Phase: job.Finished, Attempt: 1000 + i}
		pages = append(pages, writePage(tasks))
	}
	n := 0
	name := fmt.Sprintf("%s/%d", p.jobID, p.number)
	allocs := testing.AllocsPerRun(200, func() {
		c.applyPage(name, pages[n], p.revision+1)
		n++
	})
	t.Logf("%.1f allocations for a page of %d tasks", allocs, len(tasks))
	if p.tasks[7].Attempt != 1000+200 {
		t.Fatalf("the page was not applied: %+v", p.tasks[7])
	}
	if allocs > 4 {
		t.Errorf("%.1f allocations for a page, the bound is 4", allocs)
	}
}

// TestCostOfAnIdleTick bounds the allocations for a tick at which no work is due.
func TestCostOfAnIdleTick(t *testing.T) {
	s, c, _ := largeDeploymentCore(t)
	clock := s.controllers[0].clock()
	c.Tick(clock)
	if c.sweep.nextAt <= clock.Steady {
		t.Fatal("a sweep is due")
	}
	allocs := testing.AllocsPerRun(200, func() { c.Tick(clock) })
	t.Logf("%.1f allocations", allocs)
	if allocs > 8 {
		t.Errorf("%.1f allocations for an idle tick, the bound is 8", allocs)
	}
}

// TestJobOrderAgreesWithPlainSort compares the incrementally maintained order of jobs with a complete
// sort, after jobs have been submitted and finished.
func TestJobOrderAgreesWithPlainSort(t *testing.T) {
	s, c, _ := largeDeploymentCore(t)
	for at := 100 * time.Second; at < 130*time.Second; at += 3 * time.Second {
		s.run(at)
		c.updateJobOrder()
		var plain []*jobRecord
		for _, r := range c.jobs.open {
			if !r.final() {
				plain = append(plain, r)
			}
		}
		slices.SortFunc(plain, compareUrgency)
		if !slices.Equal(plain, c.jobs.openByUrgency) {
			t.Fatalf("%v: the order by urgency is wrong: %d jobs in it, %d are open", at, len(c.jobs.openByUrgency), len(plain))
		}
		if !slices.IsSortedFunc(c.jobs.openByAge, compareAge) || len(c.jobs.openByAge) != len(c.jobs.open) {
			t.Fatalf("%v: the order by age is wrong: %d jobs in it, %d are open", at, len(c.jobs.openByAge), len(c.jobs.open))
		}
	}
}

// TestMemoryOfJobsThatAreOver guards against memory use that grows with every task ever submitted:
// for a finished or cancelled job the controller keeps only counts. A placement that reaches the
// mirror after the end of its job must still be recorded.
func TestMemoryOfJobsThatAreOver(t *testing.T) {
	s, c, _ := largeDeploymentCore(t)
	s.run(130 * time.Second)
	over, retained := 0, 0
	for _, id := range sortedKeys(c.jobs.byID) {
		r := c.jobs.byID[id]
		if !r.final() {
			continue
		}
		over++
		for _, p := range r.pages {
			if p.tasks != nil && !slices.ContainsFunc(p.tasks, func(t job.Task) bool { return t.Phase == job.Bound }) {
				retained++
			}
		}
		if st := c.jobState(r); r.status == job.Done && (*st.Done != r.spec.Tasks || r.finished != r.spec.Tasks) {
			t.Errorf("%s: %d of %d tasks are done", id, r.finished, r.spec.Tasks)
		}
	}
	t.Logf("%d jobs are over", over)
	if over < 10 || retained > 0 {
		t.Errorf("%d jobs are over, want at least 10; %d of their pages are still in memory", over, retained)
	}
	_, c, m := largeDeploymentCore(t)
	var open *jobRecord
	for _, id := range sortedKeys(c.jobs.open) {
		if r := c.jobs.open[id]; r.bound > 1 && len(r.pages) == 1 && r.spec.Shape == job.Array {
			open = r
		}
	}
	if open == nil {
		t.Fatal("no array job has two bound tasks")
	}
	p := open.pages[0]
	before := writePage(p.tasks)
	for i := range p.tasks {
		if p.tasks[i].Phase == job.Bound {
			c.applyPage(open.spec.ID+"/0", writePage(nil), p.revision)
			break
		}
	}
	c.applyJob(open.spec.ID, encode(storedJob{open.spec, job.Cancelled, open.submittedAtMS, open.owner}), open.revision+1)
	if p.tasks != nil || open.bound != 0 {
		t.Fatalf("a job whose page was emptied and that was cancelled still has %d bound tasks", open.bound)
	}
	c.propose(open, 0, taskTransition{machine: m.id, proof: fencing.Ended})
	c.flushPages(p, nil)
	if len(p.queue) > 0 || c.writer.dirtyPages[p] {
		t.Error("a change to a page that was dropped from memory stays queued forever")
	}
	finished := open.finished
	c.applyPage(open.spec.ID+"/0", before, p.revision+1)
	again := writePage(p.tasks)
	if string(again) != string(before) || open.bound < 2 || open.finished < finished {
		t.Errorf("page %s was applied as %s, %d tasks bound, %d finished", before, again, open.bound, open.finished)
	}
}
