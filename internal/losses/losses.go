// Package losses computes from the controllers' debug logs how long lost tasks took to run
// again: the time from when a task was last heard of until it runs again, split into steps.
// After an incident it shows how much of that time was due to the protocol, the machines and
// the images, and how much to the controllers.
//
// A Reader reads logs line by line and makes a report. It uses no other data. The steps are
// marked by log messages of the controller's core.
package losses

import "time"

// Step is a part of the time between a loss and the task's next start.
type Step int

// Steps in their order, with what each one waits for and what bounds it. Steps is the number
// of steps.
const (
	Detect    Step = iota // from last heard of to evidence of the end: the protocol, unless the cloud was asked late
	Commit                // until the end is committed: the state service's budget
	Placement             // until there is a machine for the task: room, or work that goes first
	Bind                  // until the placement is committed: the state service's budget
	Dispatch              // until the command to start the task goes to the machine
	Startup               // until the task is seen running: image, inputs, and the wait for the heartbeat
	Steps     = 6
)

var stepNames = [Steps]string{"evidence", "commit ending", "room", "commit start", "tell", "image"}

// String returns the step's name in reports, or "unknown" for a value that is not a step.
func (s Step) String() string {
	if s < 0 || s >= Steps {
		return "unknown"
	}
	return stepNames[s]
}

// Loss is one lost attempt and the steps until its task ran again.
type Loss struct {
	Task, Class, Reason string
	Priority            int
	LastHeard           time.Duration        // when the task was last heard of
	Took                [Steps]time.Duration // duration of each step
	Restarted           bool                 // the task ran again before the log or the job ended
	// Confirmed reports whether another step followed the evidence. A controller that is
	// cut off sees leases expire that its peers keep renewed, but can't commit the ends.
	Confirmed bool
}

// End returns when the task ran again or, if it did not, when its last completed step ended.
func (l *Loss) End() time.Duration {
	until := l.LastHeard
	for _, took := range l.Took {
		until += took
	}
	return until
}

// EarliestRestart returns when the task would have run again if there had been room at once,
// and if its end and its start had been committed at once. What remains is the time to get
// the evidence that the protocol requires, and the time to start on the assigned machine.
func (l *Loss) EarliestRestart() time.Duration { return l.LastHeard + l.Took[Detect] + l.Took[Startup] }

// Reader reads log lines and collects the losses. Use NewReader.
type Reader struct {
	first      time.Time            // time of the first line
	recovering map[string]*recovery // by task
	lost       []*Loss
	lines      int           // number of lines read
	lastEvent  time.Duration // time of the latest event
}

// recovery is the state of a lost task that does not run again yet.
type recovery struct {
	loss      *Loss
	step      Step          // the current step
	stepStart time.Duration // when the current step began
}

// advance ends the current step at the given time and begins step to. It does nothing if to
// is not after the current step.
func (w *recovery) advance(to Step, at time.Duration) {
	if w.step < Commit || w.step >= to {
		return
	}
	w.loss.Took[w.step] += max(0, at-w.stepStart)
	w.step, w.stepStart, w.loss.Confirmed = to, at, true
}

// NewReader returns a Reader that has read nothing.
func NewReader() *Reader { return &Reader{recovering: map[string]*recovery{}} }

// nextSteps maps each message to the step that begins with it.
var nextSteps = map[string]Step{Ended: Placement, Placing: Bind, Bound: Dispatch, Launch: Startup, Began: Steps}

// Add adds an event. Events of several controllers may be added in any order that keeps the
// order of each task's events.
func (r *Reader) Add(e Event) {
	r.lastEvent = max(r.lastEvent, e.At)
	if e.Msg == Evidence {
		r.addEvidence(e)
		return
	}
	next, known := nextSteps[e.Msg]
	w := r.recovering[e.Task]
	if !known || w == nil {
		return
	}
	w.advance(next, e.At)
	if w.step == Steps {
		w.loss.Restarted = true
		delete(r.recovering, e.Task)
	}
}

// addEvidence handles an event that says that an attempt's end is known.
func (r *Reader) addEvidence(e Event) {
	if e.Done {
		delete(r.recovering, e.Task)
		return
	}
	if !isLoss(e.Reason) {
		return
	}
	if w := r.recovering[e.Task]; w != nil && w.step == Commit {
		return // the same evidence again
	}
	loss := &Loss{Task: e.Task, Class: e.Class, Reason: e.Reason, Priority: e.Priority, LastHeard: e.At - e.SinceHeartbeat}
	loss.Took[Detect] = e.SinceHeartbeat
	r.lost = append(r.lost, loss)
	r.recovering[e.Task] = &recovery{loss: loss, step: Commit, stepStart: e.At}
}
