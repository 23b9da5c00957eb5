// Package losses tells where the time of lost tasks went: from the moment a task
// was last heard of until it runs again, step by step, out of the controllers'
// debug logs. It answers, after an incident, how much of that time was
// the protocol's, the machines' and the images', and how much was ours.
//
// It holds what it has read and nothing else: logs go in line by line, a report comes
// out. The steps' names are the messages that the core writes.
package losses

import "time"

// Step is a part of the way from a loss to the next start.
type Step int

// Steps, in their order, and what bounds each of them. Steps is how many there are.
const (
	Detect    Step = iota // last heard of until evidence: the protocol's, but for a cloud's answer that was asked for late
	Commit                // evidence until its end is committed: the state service's budget
	Placement             // until there is a machine for it: room, or work that went before
	Bind                  // until that is committed: the state service's budget
	Dispatch              // until the machine is told
	Startup               // until it is seen running: image, inputs, and the wait for the heartbeat
	Steps     = 6
)

var stepNames = [Steps]string{"evidence", "commit ending", "room", "commit start", "tell", "image"}

// String is the step's name in reports, "unknown" for a value that is none.
func (s Step) String() string {
	if s < 0 || s >= Steps {
		return "unknown"
	}
	return stepNames[s]
}

// Loss is one lost attempt and its way back.
type Loss struct {
	Task, Class, Reason string
	Priority            int
	LastHeard           time.Duration        // last heard of
	Took                [Steps]time.Duration // by step
	Restarted           bool                 // it runs again; else the log ends, or the job, before
	// Confirmed: something followed from the evidence. A controller that is cut off
	// judges leases that peers keep up, and can't commit what it finds.
	Confirmed bool
}

// End is when the task ran again, or when it was last heard of here.
func (l *Loss) End() time.Duration {
	until := l.LastHeard
	for _, took := range l.Took {
		until += took
	}
	return until
}

// EarliestRestart is when the task would have run again had its end and its start been
// committed, and room been there, at once: what is left is the evidence that the
// protocol asks for and the image on the machine that it got.
func (l *Loss) EarliestRestart() time.Duration { return l.LastHeard + l.Took[Detect] + l.Took[Startup] }

// Reader takes lines and keeps the losses. Use NewReader.
type Reader struct {
	first      time.Time            // of the first line
	recovering map[string]*recovery // by task
	lost       []*Loss
	lines      int
	lastEvent  time.Duration // of all events
}

// recovery is the way back of a lost task that does not run yet.
type recovery struct {
	loss      *Loss
	step      Step          // the one under way
	stepStart time.Duration // when that began
}

// advance ends the step under way and begins another that comes after it.
func (w *recovery) advance(to Step, at time.Duration) {
	if w.step < Commit || w.step >= to {
		return
	}
	w.loss.Took[w.step] += max(0, at-w.stepStart)
	w.step, w.stepStart, w.loss.Confirmed = to, at, true
}

// NewReader makes a Reader that has read nothing.
func NewReader() *Reader { return &Reader{recovering: map[string]*recovery{}} }

// nextSteps is the step that begins with a message.
var nextSteps = map[string]Step{Ended: Placement, Placing: Bind, Bound: Dispatch, Launch: Startup, Began: Steps}

// Add takes an event. Events of several controllers may come in any order that
// keeps each task's own.
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

// addEvidence takes that an attempt's end is known.
func (r *Reader) addEvidence(e Event) {
	if e.Done {
		delete(r.recovering, e.Task)
		return
	}
	if !isLoss(e.Reason) {
		return
	}
	if w := r.recovering[e.Task]; w != nil && w.step == Commit {
		return // told again
	}
	loss := &Loss{Task: e.Task, Class: e.Class, Reason: e.Reason, Priority: e.Priority, LastHeard: e.At - e.Silent}
	loss.Took[Detect] = e.Silent
	r.lost = append(r.lost, loss)
	r.recovering[e.Task] = &recovery{loss: loss, step: Commit, stepStart: e.At}
}
