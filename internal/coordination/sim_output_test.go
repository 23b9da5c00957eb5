package coordination

import (
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/config"
	"silvergate/internal/protocol"
)

// simOutputOptions are the settings of a day on which the output of tasks is shipped to an archive.
type simOutputOptions struct {
	shippingTime  time.Duration // how long the output of an attempt takes to be shipped after its end
	holdS         float64       // the controllers' setting hold_s
	earlierAgents bool          // agents leave out a count of 0, and count an end up to a sixth of a heartbeat period late
}

// simWorkerOutput is the output on a machine, and when the cloud takes the machine back.
type simWorkerOutput struct {
	lastEndAt      time.Duration // when the last attempt that had begun has ended
	unshippedUntil time.Duration // when all output of ended attempts is shipped
	takenBackAt    time.Duration // the cloud's notice; 0: none
}

// withOutput makes a day ship the output of its tasks, and configures the controllers that have not
// started yet with an archive.
func (s *sim) withOutput(options simOutputOptions) {
	s.options.output = &options
	for _, n := range s.controllers {
		n.archive = &config.Archive{GrantKey: "x", HoldS: options.holdS, Key: make([]byte, archive.KeySize)}
	}
}

// attemptEnds records that an attempt ends, before its state is changed. Its output then takes a while
// to be shipped.
func (w *simWorker) attemptEnds(task *simTask) {
	if options := w.s.options.output; options != nil && task.isActive() {
		w.output.lastEndAt = w.s.now
		w.output.unshippedUntil = max(w.output.unshippedUntil, w.s.now+options.shippingTime)
	}
}

// reportOutput writes into a heartbeat what it says of unshipped output.
func (w *simWorker) reportOutput(heartbeat *protocol.Heartbeat) {
	options, waiting := w.s.options.output, 0
	if w.output.unshippedUntil > w.s.now {
		waiting = 1
	}
	if options == nil || options.earlierAgents {
		notCountedYet := options != nil && w.s.now-w.output.lastEndAt < seconds(w.s.facts.Workers.Heartbeat/6)
		if waiting > 0 && !notCountedYet {
			heartbeat.Unshipped = &waiting
		}
		return
	}
	heartbeat.Unshipped = &waiting
	if waiting > 0 {
		heartbeat.UnshippedForS = (w.s.now - w.output.lastEndAt).Seconds()
	}
}

// takeBack announces that the cloud takes the machine back after the given time, and takes it back then.
func (w *simWorker) takeBack(notice time.Duration) {
	w.output.takenBackAt = w.s.now + notice
	w.s.after(notice, func() {
		if !w.dead {
			w.preempted = true
			w.die()
			delete(w.s.cloud.machines, w.name)
		}
	})
}

// checkOutputOfDeleted checks that a machine which the controllers delete has no unshipped output: that of
// an ended attempt may only be lost with the machine once hold_s is over, or if the records still bind a
// task to the machine, which is then lost with that task.
func (s *sim) checkOutputOfDeleted(w *simWorker) {
	options := s.options.output
	if options == nil || w.output.unshippedUntil <= s.now || s.now-w.output.lastEndAt >= seconds(options.holdS) {
		return
	}
	if leader := s.fleetLeader(); leader != nil {
		if m := leader.core.machines.byID[w.name]; m != nil && len(m.bound) > 0 {
			return
		}
	}
	s.addViolation("output", "%s was deleted %v after its last task, %v before its output was shipped (drained as %q)",
		w.name, s.now-w.output.lastEndAt, w.output.unshippedUntil-s.now, s.state.drainReasons[keyDrain+w.name])
}
