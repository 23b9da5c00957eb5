package coordination

import (
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// gangRun is an attempt of a gang, as simulated if simOptions.gangsWait is set: its tasks wait for each other, run
// together, and exit if one of them is gone.
type gangRun struct {
	u       *simUser
	attempt int
}

// joinGang has a gang's task wait for the other tasks of its attempt, and starts the gang once all are there.
func (w *simWorker) joinGang(u *simUser, task *simTask) {
	s := w.s
	task.status = protocol.TaskWaiting
	generation := task.generation
	s.after(seconds(s.facts.Workers.GangWait), func() {
		if task.generation == generation && task.status == protocol.TaskWaiting && !w.dead {
			w.endTask(task, protocol.CauseGangTimeout)
		}
	})
	run := gangRun{u: u, attempt: task.attempt}
	if run.countTasks(protocol.TaskWaiting) == u.spec.Tasks {
		run.start()
	}
}

// forEachTask calls do for each task of the run that has a status, on machines that are not gone.
func (g *gangRun) forEachTask(status protocol.TaskState, do func(*simWorker, *simTask)) {
	for _, w := range g.u.s.cloud.sortedMachines() {
		for _, name := range sortedKeys(w.tasks) {
			if task := w.tasks[name]; !w.dead && task.jobID == g.u.spec.ID && task.attempt == g.attempt && task.status == status {
				do(w, task)
			}
		}
	}
}

// countTasks counts the run's tasks that have a status.
func (g *gangRun) countTasks(status protocol.TaskState) (n int) {
	g.forEachTask(status, func(*simWorker, *simTask) { n++ })
	return n
}

// start has all tasks of the run run, and completes them together unless one is lost before.
func (g *gangRun) start() {
	s := g.u.s
	g.forEachTask(protocol.TaskWaiting, func(_ *simWorker, task *simTask) { task.status = protocol.TaskRunning })
	g.u.gangsStarted++
	g.watch(s.now + seconds(g.u.runtimeS))
}

// watch ends the run's tasks when it is complete, or when one of them is gone.
func (g *gangRun) watch(completeAt time.Duration) {
	s := g.u.s
	cause := ""
	switch {
	case g.countTasks(protocol.TaskRunning) < g.u.spec.Tasks:
		cause = protocol.CauseGangMemberLost
	case s.now >= completeAt:
		cause = protocol.CauseDone
		g.u.completeAll()
	default:
		s.after(500*time.Millisecond, func() { g.watch(completeAt) })
		return
	}
	g.forEachTask(protocol.TaskRunning, func(w *simWorker, task *simTask) { w.endTask(task, cause) })
	if cause == protocol.CauseDone {
		g.u.taskEnded()
	}
}

// waitsForGang reports whether a job's tasks wait for each other in the simulation.
func (s *sim) waitsForGang(spec *job.Spec) bool {
	return s.options.gangsWait && spec.Shape == job.Gang && spec.Tasks > 1
}
