package coordination

import (
	"slices"
	"sort"
	"time"

	"silvergate/internal/job"
)

// queuedTask is a task in a machine's queue. Each entry names its machine, but the queues of
// all our machines are stored together, by job and in the order of the jobs: a job's tasks are
// alike, so a machine that does not fit one of them fits none.
type queuedTask struct {
	key              taskKey
	machine          string
	expiresAt        time.Duration // a task handed off by a peer is dropped after this time; 0: not handed off
	nextPreemptionAt time.Duration // tasks were stopped to make room for it: no further preemption before this time
}

// enqueue puts each task into the queue of a random machine of ours that could hold it. If there is
// no such machine, tasks of our own jobs are queued without a machine, and tasks from a peer are
// dropped. A task from a peer stays queued until expiresAt, which is 0 for tasks of our own jobs.
func (c *Core) enqueue(r *jobRecord, tasks []int, expiresAt time.Duration) {
	if len(tasks) == 0 {
		return
	}
	for _, i := range tasks {
		if queued := r.queuedByIndex[i]; queued != nil {
			queued.expiresAt = max(queued.expiresAt, expiresAt)
			continue
		}
		queued := &queuedTask{key: taskKey{r.spec.ID, i}, expiresAt: expiresAt}
		if m := c.machineThatCouldHold(r); m != nil {
			queued.machine = m.id
		} else if expiresAt > 0 {
			return // no machine here could hold it
		}
		c.scheduler.enqueueTask(r, queued)
	}
}

// enqueueTask puts a task into its job's queue, and the job into the queued jobs by urgency.
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

// dequeueTask removes a task from the queue, if it is queued.
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

// placeQueuedTasks implements step 5 of the thesis: it places on a machine with room the most
// urgent tasks that fit, from this machine's queue or from those of others.
func (c *Core) placeQueuedTasks(m *machine) {
	for i := 0; i < len(c.scheduler.queuedJobs) && c.hasRoom(m); {
		r := c.scheduler.queuedJobs[i]
		for c.fits(r, m) {
			at := slices.IndexFunc(r.queue, func(queued *queuedTask) bool { return c.placeable(r, queued.key.index) })
			if at < 0 || c.staging.waitsForWarmMachine(r, r.queue[at].key.index, m) {
				break
			}
			c.placeTask(r, r.queue[at].key.index, m) // removes the task from the queue
		}
		if i < len(c.scheduler.queuedJobs) && c.scheduler.queuedJobs[i] == r {
			i++
		}
	}
}

// pruneQueues sorts the queued jobs by urgency and removes the tasks that are expired or no
// longer pending, and all tasks of jobs that are over.
func (c *Core) pruneQueues() {
	slices.SortStableFunc(c.scheduler.queuedJobs, compareUrgency)
	for _, r := range slices.Clone(c.scheduler.queuedJobs) {
		for _, queued := range slices.Clone(r.queue) {
			index := queued.key.index
			expired := queued.expiresAt > 0 && c.now > queued.expiresAt
			if expired || r.final() || r.task(c, index).Phase != job.Pending {
				c.scheduler.dequeueTask(r, index)
			}
		}
	}
}

// retryQueuedTasks probes peers again for the queued tasks of our own jobs once
// PublishInterval has passed: machines may have become free at other controllers. Tasks beyond
// their job's dispatch window, which shrinks as more urgent jobs arrive, leave the queue.
func (c *Core) retryQueuedTasks() {
	for _, r := range slices.Clone(c.scheduler.queuedJobs) {
		var retry, dropped []int
		for position, queued := range r.queue {
			index := queued.key.index
			due := r.dispatchAfter[index] + c.cfg.Operator.PublishInterval
			switch {
			case queued.expiresAt != 0 || c.now < queued.nextPreemptionAt || c.now < due:
			case position >= r.dispatchWindow && c.isResponsibleFor(r):
				dropped = append(dropped, index)
			default:
				retry = append(retry, index)
			}
		}
		for _, i := range dropped {
			c.scheduler.dequeueTask(r, i)
			delete(r.dispatchAfter, i)
		}
		for _, i := range retry {
			r.deferDispatch(i, c.now)
			c.scheduler.dequeueTask(r, i)
		}
		c.probe(r, retry)
	}
}

// runsBefore reports whether x is queued before y. Exception "urgency": the thesis's queue is
// first-in first-out; here a higher priority goes first, and among equal priorities the job
// with the earlier latest start.
func runsBefore(x, y *jobRecord) bool { return compareUrgency(x, y) < 0 }
