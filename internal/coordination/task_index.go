package coordination

import (
	"silvergate/internal/job"
	"silvergate/internal/losses"
)

// indexTask adds a mirrored task to the counts and indexes of its job, its team and the machine
// that it is bound to. boundRevision is the revision of its binding, 0 if that is not known.
func (c *Core) indexTask(r *jobRecord, k taskKey, t *job.Task, boundRevision uint64) {
	r.lastAttempt = max(r.lastAttempt, t.Attempt)
	switch t.Phase {
	case job.Bound:
		c.indexBoundTask(r, k, t, boundRevision)
	case job.Finished:
		r.finished++
	}
}

func (c *Core) indexBoundTask(r *jobRecord, k taskKey, t *job.Task, boundRevision uint64) {
	r.bound++
	if team := c.jobs.teamOf(r); team != nil {
		team.running = team.running.plus(r.spec, 1)
	}
	m := c.machine(t.Machine)
	m.bound[k] = r
	m.addUsage(r.spec, 1)
	r.tasksByZone[m.claim.Zone]++
	m.boundAt[k] = binding{c.now, boundRevision}
	c.recordImagePull(m, r.spec)
	c.staging.stageInputs(m, r.spec)
	if !isGang(r) {
		m.boundByPriority[r.spec.Priority]++
	}
	if r.spec.Shape == job.Service {
		m.services++
	}
	delete(r.dispatchAfter, k.index)
	c.scheduler.dequeueTask(r, k.index)
	if c.isOwn(m) {
		c.traceStart(losses.Bound, k.job, k.index, t.Attempt, m.id)
	}
	if t.Epoch == m.epoch {
		c.queueLaunch(m.id, k, t.Attempt) // also if a peer bound a task of a gang to our machine
	}
}

// unindexTask reverts indexTask for a task.
func (c *Core) unindexTask(r *jobRecord, k taskKey, t *job.Task) {
	switch t.Phase {
	case job.Bound:
		c.unindexBoundTask(r, k, t)
	case job.Finished:
		r.finished--
	}
}

func (c *Core) unindexBoundTask(r *jobRecord, k taskKey, t *job.Task) {
	r.bound--
	if team := c.jobs.teamOf(r); team != nil {
		team.running = team.running.plus(r.spec, -1)
	}
	m := c.machine(t.Machine)
	if !isGang(r) {
		m.boundByPriority[r.spec.Priority]--
	}
	if r.spec.Shape == job.Service {
		m.services--
	}
	delete(m.bound, k)
	if c.isOwn(m) {
		m.unforgotten++
	}
	if len(m.bound) == 0 {
		m.emptySince = c.now
	}
	delete(m.runningSince, k)
	delete(m.pulling, k)
	delete(m.boundAt, k)
	delete(m.stops, k)
	if m.vacated[k] == nil {
		m.addUsage(r.spec, -1)
	}
	delete(m.vacated, k)
	r.tasksByZone[m.claim.Zone]--
}
