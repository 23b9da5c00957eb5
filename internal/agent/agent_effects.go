package agent

import (
	"syscall"
	"time"
)

// perform carries out the effects of a step; the lock is held.
func (a *Agent) perform(e Effects) {
	if e.Token > a.persisted.FencingToken {
		a.persisted.FencingToken = e.Token
		a.persist()
	}
	a.extendWatchdog(e.LeaseEnd)
	if e.EndAll {
		a.log.Info("lease expired", "epoch", a.worker.Epoch())
		go a.endAllTasks()
	}
	a.signalTasks(e)
	a.fetchWanted(e)
	a.fetchInputs(e)
	a.startTasks(e)
	a.forget(e.Forget)
	if e.Heartbeat != nil {
		a.sendHeartbeat(e.Heartbeat)
	}
	a.rescheduleTick()
}

// signalTasks kills, stops and checkpoints attempts; the lock is held.
func (a *Agent) signalTasks(e Effects) {
	for _, k := range e.Kill {
		a.runner.kill(k)
	}
	for _, k := range e.Stop {
		a.attempts.lastCheckpoints[k] = a.shared.last(k.Job, k.Index)
		a.runner.signal(k, syscall.SIGTERM)
	}
	for _, k := range e.Checkpoint {
		a.runner.signal(k, syscall.SIGUSR1)
	}
}

// fetchWanted starts fetching job descriptions and images, and cancels the fetches of
// images that no task waits for any more; the lock is held.
func (a *Agent) fetchWanted(e Effects) {
	for _, name := range e.CancelFetches {
		a.images.cancelFetch(name)
	}
	for _, id := range e.FetchDescriptions {
		a.fetchDescription(id, 0)
	}
	for _, name := range e.FetchImages {
		a.log.Debug("fetching", "image", name)
		a.images.fetch(name, func(err error) {
			if err != nil {
				a.log.Error("image can't be fetched", "image", name, "error", err)
			}
			a.step(func() Effects { return a.worker.ImageFetched(a.clock(), name, err) })
		})
	}
}

// fetchInputs has the store of data sets carry out the effects that concern it, and fails
// the inputs of attempts on a machine without a store; the lock is held.
func (a *Agent) fetchInputs(e Effects) {
	if a.inputs == nil {
		for _, k := range e.FetchInputs { // the site has data sets, this machine has no store
			go a.step(func() Effects { return a.worker.InputsFetched(a.clock(), k, errNoStore, false) })
		}
	}
	a.inputs.apply(e)
}

// startTasks starts attempts, and queries the states of the other tasks of gangs;
// the lock is held.
func (a *Agent) startTasks(e Effects) {
	for _, k := range e.Start {
		a.stats.Launched++
		d := a.worker.Description(k.Job)
		go a.startTask(a.worker.Epoch(), k, d)
	}
	for _, k := range e.AskGang {
		go a.askGangMembers(k, a.worker.Description(k.Job))
	}
}

// forget deletes the agent's records of attempts that the worker has forgotten, and prunes
// the folders of ended attempts; the lock is held.
func (a *Agent) forget(attempts []TaskAttempt) {
	for _, k := range attempts {
		delete(a.attempts.gangMembers, k)
		delete(a.attempts.lastCheckpoints, k)
	}
	if len(attempts) > 0 {
		go a.runner.prune()
	}
}

// rescheduleTick sets the timer to the time of the worker's next tick, but at most
// sweepPeriod or one second from now; the lock is held.
func (a *Agent) rescheduleTick() {
	if a.schedule.timer == nil || a.shutdown.begun {
		return
	}
	next := min(a.worker.NextTick()-a.clock(), a.sweepPeriod(), time.Second)
	a.schedule.timer.Reset(max(next, time.Millisecond))
}

// sweepPeriod returns the time between two of the periodic checks in tick: of connections,
// memory, inputs and the preemption notice.
func (a *Agent) sweepPeriod() time.Duration { return seconds(a.cfg.Workers.Heartbeat / 6) }

// step passes an event to the worker and carries out its effects.
func (a *Agent) step(event func() Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.shutdown.begun {
		a.checkWatchdog()
		a.perform(event())
	}
}
