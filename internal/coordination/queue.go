package coordination

import (
	"slices"
	"sort"
	"time"
)

// queuedTask is a task in a machine's line. The lines of our machines are kept by
// job, in the order of the jobs' turns: a job's tasks are alike, so what one of
// them can't use none of them can. Each entry names its machine.
type queuedTask struct {
	key              taskKey
	machine          string
	expiresAt        time.Duration // handed over by a peer: kept until then
	nextPreemptionAt time.Duration // stops were ordered for it: no others before
}

// enqueue binds tasks to the line of a random machine of ours that could hold
// them.
func (c *Core) enqueue(r *jobRecord, tasks []int, until time.Duration) {
	if len(tasks) == 0 {
		return
	}
	for _, i := range tasks {
		if queued := r.queuedByIndex[i]; queued != nil {
			queued.expiresAt = max(queued.expiresAt, until)
			continue
		}
		queued := &queuedTask{key: taskKey{r.spec.ID, i}, expiresAt: until}
		if m := c.machineThatCouldHold(r); m != nil {
			queued.machine = m.id
		} else if until > 0 {
			return // nothing here could hold it
		}
		c.scheduler.enqueueTask(r, queued)
	}
}

// enqueueTask puts a task into a line.
func (s *scheduler) enqueueTask(r *jobRecord, queued *queuedTask) {
	i := queued.key.index
	if r.queuedByIndex == nil {
		r.queuedByIndex = map[int]*queuedTask{}
	}
	r.queuedByIndex[i] = queued
	s.queuedTasks++
	at := sort.Search(len(r.queue), func(j int) bool { return r.queue[j].key.index > i })
	r.queue = slices.Insert(r.queue, at, queued)
	if len(r.queue) == 1 {
		at := sort.Search(len(s.queuedJobs), func(j int) bool { return runsBefore(r, s.queuedJobs[j]) })
		s.queuedJobs = slices.Insert(s.queuedJobs, at, r)
	}
}

func (s *scheduler) dequeueTask(r *jobRecord, index int) {
	if r.queuedByIndex[index] == nil {
		return
	}
	delete(r.queuedByIndex, index)
	s.queuedTasks--
	at := sort.Search(len(r.queue), func(j int) bool { return r.queue[j].key.index >= index })
	r.queue = slices.Delete(r.queue, at, at+1)
	if len(r.queue) > 0 {
		return
	}
	r.queue, r.queuedByIndex = nil, nil
	if at := slices.Index(s.queuedJobs, r); at >= 0 {
		s.queuedJobs = slices.Delete(s.queuedJobs, at, at+1)
	}
}

// placeQueuedTasks is step 5: a joining machine takes the oldest tasks it can hold,
// from its own line or another's.
func (c *Core) placeQueuedTasks(m *machine) {
	for i := 0; i < len(c.scheduler.queuedJobs) && c.hasRoom(m); {
		r := c.scheduler.queuedJobs[i]
		for c.fits(r, m) {
			at := slices.IndexFunc(r.queue, func(w *queuedTask) bool { return c.placeable(r, w.key.index) })
			if at < 0 || c.staging.waitsForWarmMachine(r, r.queue[at].key.index, m) {
				break
			}
			c.placeTask(r, r.queue[at].key.index, m) // takes it out of the line
		}
		if i < len(c.scheduler.queuedJobs) && c.scheduler.queuedJobs[i] == r {
			i++
		}
	}
}

// runsBefore orders the lines. Exception "urgency": the design's line is first-in
// first-out; here a higher priority goes first, and within it the job whose
// turn comes earlier.
func runsBefore(x, y *jobRecord) bool { return compareUrgency(x, y) < 0 }
