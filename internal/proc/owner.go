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

// Owner names all processes that belong to something: those of the process groups on
// record, and those that carry its mark.
type Owner struct {
	Mark    string // they carry it, or one that begins with it and a slash
	Leaders []ID   // of its process groups, as far as they are on record
	Since   uint64 // none of them started earlier, in ticks since the boot; 0 if that is not known
}

// SweepReport is what a sweep of an owner's processes saw and did.
type SweepReport struct {
	Leaders   int           // that were on record and alive
	Members   int           // found by their group or their parents
	Marked    int           // found by their mark
	Undecided int           // could not be told at the first look
	Signalled int           // were sent SIGKILL, each as often as it was found
	Looks     int           // at processes
	Passes    int           // over all processes
	Took      time.Duration // until all were gone, or timeout was over
}

// LogValue groups the figures of a sweep in a log line.
func (r SweepReport) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("leaders", r.Leaders), slog.Int("members", r.Members), slog.Int("marked", r.Marked), slog.Int("undecided", r.Undecided),
		slog.Int("signalled", r.Signalled), slog.Int("looks", r.Looks), slog.Int("passes", r.Passes), slog.Int64("took_us", r.Took.Microseconds()))
}

// Remaining is a process that is not known to be gone.
type Remaining struct {
	ID     ID
	Reason Reason
	Err    error // with ReasonUnreadable
}

func (r Remaining) String() string {
	if r.Err != nil {
		return fmt.Sprintf("process %d: %s: %v", r.ID.PID, r.Reason, r.Err)
	}
	return fmt.Sprintf("process %d: %s", r.ID.PID, r.Reason)
}

// RemainingError tells which processes of an owner are left, or may be.
type RemainingError struct {
	Left []Remaining
}

func (e *RemainingError) Error() string {
	const most = 4
	var parts []string
	for _, r := range e.Left[:min(len(e.Left), most)] {
		parts = append(parts, r.String())
	}
	return fmt.Sprintf("%d processes are not known to be gone: %s", len(e.Left), strings.Join(parts, "; "))
}

// ErrStillForking says that a sweep had no end of new processes to look at.
var ErrStillForking = errors.New("processes are started faster than they can be looked at")

// End ends all processes of the owner. It returns no error once all of them are
// known to be gone, and otherwise, when timeout is over, says what is left and why.
func (o Owner) End(timeout time.Duration) (SweepReport, error) {
	began := time.Now()
	s := sweep{owner: o, until: began.Add(timeout)}
	err := s.run()
	s.report.Took = time.Since(began)
	return s.report, err
}

// Count tells how many processes of the owner there are, threads apart, and signals none.
func (o Owner) Count(timeout time.Duration) (int, error) {
	s := sweep{owner: o, classify: o.classify, until: time.Now().Add(timeout), countOnly: true}
	err := s.pass()
	return len(s.found), err
}

// KillMarked ends all processes that carry a mark, or one below it, and waits
// until they are gone, but no longer than timeout. It returns how many are
// not known to be gone.
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

// CountMarked tells how many processes carry a mark, or one below it, and have not ended.
func CountMarked(mark string) int {
	const timeout = time.Second
	n, _ := Owner{Mark: mark}.Count(timeout)
	return n
}

// sweep is one run of Owner.End.
type sweep struct {
	owner     Owner
	classify  func(pid int) observation
	until     time.Time
	countOnly bool // signals nobody
	report    SweepReport

	found     []ID          // in this pass, the owner's
	undecided []observation // in this pass, to be looked at again
}

func (s *sweep) run() error {
	if err := s.endDescendants(); err != nil {
		return err
	}
	s.killGroups()
	s.classify = s.owner.classify
	return s.endFound()
}

// endFound ends what passes find, until one finds nothing.
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

// killGroups ends the process groups on record whose leaders are there, each as a whole.
func (s *sweep) killGroups() {
	for _, leader := range s.owner.Leaders {
		_ = KillGroup(leader, syscall.SIGKILL) // what it could not end is found by the passes
	}
}

// awaitFound waits until what the pass found is over.
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

// pass looks at every process and signals those of the owner. See the package's comment
// for why a pass that finds none proves that there is none.
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
		// What is decided only now may have forked meanwhile, so the chase goes on after it.
		if err := s.resolveUndecided(); err != nil {
			return err
		}
	}
}

// catchUp looks at every number that was given after the given one, until there is none. It
// returns the last number.
func (s *sweep) catchUp(seen int) (int, error) {
	for {
		newest, err := newestPID()
		switch {
		case err != nil:
			return 0, err
		case newest == seen:
			return seen, nil
		case newest < seen || !time.Now().Before(s.until): // the numbers began anew: so must the pass
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

// visitListed looks at a process that /proc lists, and ends it if it is the owner's.
func (s *sweep) visitListed(pid int) {
	s.report.Looks++
	s.apply(s.classify(pid))
}

// visitNewPID looks at the process or thread of a number that was given just now.
func (s *sweep) visitNewPID(number int) {
	s.report.Looks++
	seen := s.classify(number)
	if seen.class != gone && seen.class != foreign && isThread(number) {
		return
	}
	s.apply(seen)
}

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

func (s *sweep) end(id ID) {
	s.found = append(s.found, id)
	if s.countOnly {
		return
	}
	s.report.Signalled++
	_ = id.Signal(syscall.SIGKILL) // whether it ends is what awaitFound sees
}

// resolveUndecided looks again at what could not be told, until it can be told or is over.
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

// examineUntilDecided looks at a process until it shows whose it is, or is over, or timeout
// is. It does not sleep longer than the process lives.
func (s *sweep) examineUntilDecided(seen observation) observation {
	const first, longest = time.Millisecond, 16 * time.Millisecond
	for pause := first; seen.class == undecided && time.Now().Before(s.until); pause = min(2*pause, longest) {
		s.report.Looks++
		if seen = s.classify(seen.id.PID); seen.class == undecided {
			seen.id.Await(time.Now().Add(pause))
		}
	}
	return seen
}
