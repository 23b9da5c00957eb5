package proc

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"time"
)

// Owner identifies a set of processes that belong together, such as those of a task: the
// members of its recorded process groups and the processes that carry its mark.
type Owner struct {
	Mark    string // its processes carry this mark, or one that begins with it and a slash
	Leaders []ID   // recorded leaders of its process groups
	Since   uint64 // none of its processes started earlier, in ticks since the boot; 0 if not known
}

// SweepReport counts what a sweep of an owner's processes found and did.
type SweepReport struct {
	Leaders      int           // recorded leaders that were alive
	Members      int           // processes found by their group or their parents
	Marked       int           // processes found by their mark
	Undecided    int           // processes that the first look could not classify
	Signalled    int           // SIGKILLs sent; a process counts each time it is found
	Examinations int           // number of times a process was examined
	Passes       int           // passes over all processes
	Took         time.Duration // until all processes were gone or the timeout expired
}

// LogValue returns the figures of a sweep as one group of log attributes.
func (r SweepReport) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("leaders", r.Leaders), slog.Int("members", r.Members), slog.Int("marked", r.Marked), slog.Int("undecided", r.Undecided),
		slog.Int("signalled", r.Signalled), slog.Int("looks", r.Examinations), slog.Int("passes", r.Passes), slog.Int64("took_us", r.Took.Microseconds()))
}

// Remaining is a process that is not known to be gone.
type Remaining struct {
	ID     ID
	Reason Reason
	Err    error // with ReasonUnreadable
}

// String returns the process's number, why it is not known to be gone, and the error if there is one.
func (r Remaining) String() string {
	if r.Err != nil {
		return fmt.Sprintf("process %d: %s: %v", r.ID.PID, r.Reason, r.Err)
	}
	return fmt.Sprintf("process %d: %s", r.ID.PID, r.Reason)
}

// RemainingError lists the processes of an owner that are, or may be, still there.
type RemainingError struct {
	Left []Remaining
}

// Error returns the number of remaining processes and describes the first few of them.
func (e *RemainingError) Error() string {
	const maxListed = 4
	var parts []string
	for _, r := range e.Left[:min(len(e.Left), maxListed)] {
		parts = append(parts, r.String())
	}
	return fmt.Sprintf("%d processes are not known to be gone: %s", len(e.Left), strings.Join(parts, "; "))
}

// ErrStillForking is returned when new processes appear faster than a sweep can examine them.
var ErrStillForking = errors.New("processes are started faster than they can be examined")

// End ends all processes of the owner. It returns without an error once all of them are known
// to be gone. After the timeout it returns an error that says what is left and why.
func (o Owner) End(timeout time.Duration) (SweepReport, error) {
	began := time.Now()
	s := sweep{owner: o, until: began.Add(timeout)}
	err := s.run()
	s.report.Took = time.Since(began)
	return s.report, err
}

// Count returns the number of processes of the owner, not counting threads. It signals none.
func (o Owner) Count(timeout time.Duration) (int, error) {
	s := sweep{owner: o, classify: o.classify, until: time.Now().Add(timeout), countOnly: true}
	err := s.pass()
	return len(s.found), err
}

// KillMarked ends all processes that carry a mark, or one that begins with it and a slash. It
// waits until they are gone, but no longer than timeout, and returns how many are not known
// to be gone.
func KillMarked(mark string, timeout time.Duration) (left int) {
	_, err := Owner{Mark: mark}.End(timeout)
	var remaining *RemainingError
	switch {
	case errors.As(err, &remaining):
		return len(remaining.Left)
	case err != nil:
		return 1
	}
	return 0
}

// CountMarked returns the number of processes that have not ended and carry a mark, or one that
// begins with it and a slash.
func CountMarked(mark string) int {
	const timeout = time.Second
	n, _ := Owner{Mark: mark}.Count(timeout)
	return n
}

// sweep is one run of Owner.End or Owner.Count.
type sweep struct {
	owner     Owner
	classify  func(pid int) observation
	until     time.Time
	countOnly bool // no process is signalled
	report    SweepReport

	found     []ID          // the owner's processes that this pass found
	undecided []observation // processes that this pass has to examine again
}

func (s *sweep) run() error {
	if err := s.endDescendants(); err != nil {
		return err
	}
	s.killGroups()
	s.classify = s.owner.classify
	return s.endFound()
}

// endFound runs passes, which end the processes they find, until a pass finds none.
func (s *sweep) endFound() error {
	for {
		err := s.pass()
		switch {
		case errors.Is(err, ErrStillForking) && time.Now().Before(s.until):
			continue
		case err != nil:
			return err
		case len(s.found) == 0:
			return nil
		}
		if err := s.awaitFound(); err != nil {
			return err
		}
		if !time.Now().Before(s.until) {
			return ErrStillForking
		}
	}
}

// killGroups ends each recorded process group whose leader still exists, as a whole.
func (s *sweep) killGroups() {
	for _, leader := range s.owner.Leaders {
		_ = KillGroup(leader, syscall.SIGKILL) // the passes find the processes that remain
	}
}

// awaitFound waits until the processes that the pass found have ended.
func (s *sweep) awaitFound() error {
	var left []Remaining
	for _, id := range s.found {
		if !id.Await(s.until) {
			left = append(left, Remaining{ID: id, Reason: ReasonRunning})
		}
	}
	if len(left) > 0 {
		return &RemainingError{left}
	}
	return nil
}

// pass examines every process and signals those of the owner. The package's comment explains
// why a pass that finds none proves that there is none.
func (s *sweep) pass() error {
	s.report.Passes++
	s.found, s.undecided = nil, nil
	newest, err := newestPID()
	if err != nil {
		return err
	}
	listed, err := listPIDs()
	if err != nil {
		return err
	}
	for _, pid := range listed {
		s.visitListed(pid)
	}
	for {
		if newest, err = s.catchUp(newest); err != nil || len(s.undecided) == 0 {
			return err
		}
		// A process that is classified only now may have forked meanwhile, so catchUp runs again.
		if err := s.resolveUndecided(); err != nil {
			return err
		}
	}
}

// catchUp examines every number that the kernel has assigned after seen, until there are no
// newer ones. It returns the last number.
func (s *sweep) catchUp(seen int) (int, error) {
	for {
		newest, err := newestPID()
		switch {
		case err != nil:
			return 0, err
		case newest == seen:
			return seen, nil
		case newest < seen || !time.Now().Before(s.until): // numbers wrapped around, so the pass must start again; or timed out
			return 0, ErrStillForking
		}
		for seen < newest {
			seen++
			if seen != os.Getpid() {
				s.visitNewPID(seen)
			}
		}
	}
}

// visitListed examines a process that /proc lists, and ends it if it is the owner's.
func (s *sweep) visitListed(pid int) {
	s.report.Examinations++
	s.apply(s.classify(pid))
}

// visitNewPID examines the process with a number that was just assigned. The number may be a
// thread's, which is skipped.
func (s *sweep) visitNewPID(number int) {
	s.report.Examinations++
	seen := s.classify(number)
	if seen.class != gone && seen.class != foreign && isThread(number) {
		return
	}
	s.apply(seen)
}

// apply counts an observation and ends the process, or notes it as undecided.
func (s *sweep) apply(seen observation) {
	switch seen.class {
	case member:
		s.report.Members++
		s.end(seen.id)
	case marked:
		s.report.Marked++
		s.end(seen.id)
	case undecided:
		s.report.Undecided++
		s.undecided = append(s.undecided, seen)
	case gone, foreign:
	}
}

// end notes a process of the owner as found and, unless the sweep only counts, kills it.
func (s *sweep) end(id ID) {
	s.found = append(s.found, id)
	if s.countOnly {
		return
	}
	s.report.Signalled++
	_ = id.Signal(syscall.SIGKILL) // awaitFound sees whether it ends
}

// resolveUndecided examines the undecided processes again, until each is classified or has ended.
func (s *sweep) resolveUndecided() error {
	var left []Remaining
	pending := s.undecided
	s.undecided = nil
	for _, seen := range pending {
		seen = s.examineUntilDecided(seen)
		if seen.class == undecided {
			left = append(left, Remaining{seen.id, seen.reason, seen.err})
			continue
		}
		s.apply(seen)
	}
	if len(left) > 0 {
		return &RemainingError{left}
	}
	return nil
}

// examineUntilDecided examines a process until it can be classified, has ended, or the timeout
// expires. The pause between two looks is cut short when the process ends.
func (s *sweep) examineUntilDecided(seen observation) observation {
	const first, longest = time.Millisecond, 16 * time.Millisecond
	for pause := first; seen.class == undecided && time.Now().Before(s.until); pause = min(2*pause, longest) {
		s.report.Examinations++
		if seen = s.classify(seen.id.PID); seen.class == undecided {
			seen.id.Await(time.Now().Add(pause))
		}
	}
	return seen
}
