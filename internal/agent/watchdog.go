package agent

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silvergate/internal/proc"
)

// watchdogFile holds the identity of the process that guards a machine's tasks.
const watchdogFile = "watchdog.json"

// watchdogPeriod is the longest time for which a watchdog does not look at the clock, and
// the time between two sweeps after a lease's end.
const watchdogPeriod = time.Second

// watchdogState is the watchdog process itself.
type watchdogState struct {
	dir         string
	deadlineFD  int           // carries the deadlines
	partialLine []byte        // the beginning of a line
	deadline    time.Duration // boot clock; 0: none was told yet
	sweptAt     time.Time     // for this deadline
}

// Watchdog ends all tasks of a machine when its agent's lease is over or the
// agent is gone: an agent that hangs can't do that itself. deadlines carries
// times of the boot clock, in nanoseconds, a line each.
//
// A deadline that was written before the one ahead of it had passed is heeded, however
// late this process gets to read it. The agent counts on that: when it was late itself, it
// takes the tasks to be ended (Agent.extendWatchdog).
func Watchdog(dir string, deadlines *os.File) error {
	if err := proc.Hold(); err != nil {
		return err
	}
	if err := os.Chdir("/"); err != nil {
		return err
	}
	g := watchdogState{dir: dir, deadlineFD: int(deadlines.Fd())}
	for {
		open, err := g.step()
		if err != nil || !open {
			endUntilGone(taskOwner(dir, slog.Default()), slog.Default())
			return err
		}
	}
}

// step waits for a line or the deadline, whichever is first. It returns false when the
// agent is gone.
func (g *watchdogState) step() (open bool, err error) {
	// The clock is read before the pipe: what was written before the deadline is there.
	late := g.deadline > 0 && bootClock() >= g.deadline
	readable, err := g.poll(g.wait(late))
	switch {
	case err != nil:
		return false, fmt.Errorf("deadlines: %w", err)
	case readable:
		return g.read()
	case late && time.Since(g.sweptAt) >= watchdogPeriod:
		if err := EndTasks(g.dir); err != nil {
			slog.Error("the lease is over, and processes can't be ended", "error", err)
		}
		g.sweptAt = time.Now()
	}
	return true, nil
}

// wait is how long the watchdog may wait for the next line.
func (g *watchdogState) wait(late bool) time.Duration {
	switch {
	case late:
		return max(0, watchdogPeriod-time.Since(g.sweptAt))
	case g.deadline > 0:
		return min(g.deadline-bootClock(), watchdogPeriod)
	}
	return watchdogPeriod
}

func (g *watchdogState) poll(wait time.Duration) (readable bool, err error) {
	if wait > 0 {
		wait += time.Millisecond // poll counts whole ones
	}
	watched := []unix.PollFd{{Fd: int32(g.deadlineFD), Events: unix.POLLIN}}
	n, err := unix.Poll(watched, int(max(0, wait)/time.Millisecond))
	if errors.Is(err, unix.EINTR) {
		return false, nil
	}
	return n > 0, err
}

// read takes what the pipe holds. The last line counts.
func (g *watchdogState) read() (open bool, err error) {
	chunk := make([]byte, 4096)
	n, err := unix.Read(g.deadlineFD, chunk)
	if n <= 0 {
		return errors.Is(err, unix.EINTR) || errors.Is(err, unix.EAGAIN), nil
	}
	g.partialLine = append(g.partialLine, chunk[:n]...)
	for {
		line, rest, whole := bytes.Cut(g.partialLine, []byte{'\n'})
		if !whole {
			return true, nil
		}
		g.partialLine = rest
		nanoseconds, err := strconv.ParseInt(string(line), 10, 64)
		if err != nil {
			slog.Error("a deadline is passed over, the one before stays", "error", err)
			continue
		}
		g.deadline, g.sweptAt = time.Duration(nanoseconds), time.Time{}
	}
}

// bootClock is a steady clock that goes on while the machine sleeps: others
// take a lease to be over then, too.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the kernel has had it since 2011
	}
	return time.Duration(t.Nano())
}

// watchdogProcess is the agent's side of a watchdog. Each agent epoch has a watchdog of its
// own, and the one before is gone before the epoch begins: a watchdog that is late can't end
// tasks of an epoch that it does not know.
type watchdogProcess struct {
	id       proc.ID
	pipe     *os.File      // carries the deadlines to it
	leaseEnd time.Duration // that was told last, by the worker's clock
	deadline time.Duration // the same by the boot clock, with the delay; 0: none was told yet
	ended    chan struct{} // closed when it is over and its end was heeded
}

// deadlinePassed tells whether the watchdog may have ended the tasks.
func (w *watchdogProcess) deadlinePassed() bool { return w.deadline > 0 && bootClock() >= w.deadline }

// startWatchdog starts the watchdog of the present epoch.
func (a *Agent) startWatchdog() error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd := exec.Command(a.watchdogCommand[0], a.watchdogCommand[1:]...)
	cmd.Stdin, cmd.Stderr = r, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	id, err := proc.Start(cmd, proc.Record(filepath.Join(a.cfg.Dir, watchdogFile)))
	r.Close()
	if err != nil {
		w.Close()
		return err
	}
	dog := &watchdogProcess{id: id, pipe: w, ended: make(chan struct{})}
	a.mu.Lock()
	a.watchdog = dog
	a.mu.Unlock()
	go func() {
		defer close(dog.ended)
		_ = cmd.Wait()
		a.watchdogEnded(dog, cmd.ProcessState.Exited())
	}()
	return nil
}

// watchdogEnded starts another watchdog in place of one that is gone though it is needed.
// One that ended by itself has ended the tasks before.
func (a *Agent) watchdogEnded(dog *watchdogProcess, byItself bool) {
	a.mu.Lock()
	needed := a.watchdog == dog && !a.shutdown.begun
	if needed {
		a.watchdog = nil
		if byItself || dog.deadlinePassed() {
			a.endEpoch("the watchdog is gone and may have ended the tasks")
		}
	}
	a.mu.Unlock()
	dog.pipe.Close()
	if !needed {
		return
	}
	// Guards against tasks that nobody would end if the agent hung.
	a.log.Error("the watchdog is gone; another is started")
	time.Sleep(100 * time.Millisecond)
	if err := a.startWatchdog(); err != nil {
		a.mu.Lock()
		a.fail(fmt.Errorf("watchdog: %w", err))
		a.mu.Unlock()
	}
}

// replaceWatchdog ends the watchdog of the epoch that is over, and starts one for the
// next. There are no tasks at that time.
func (a *Agent) replaceWatchdog() error {
	a.mu.Lock()
	dog := a.watchdog
	a.watchdog = nil
	a.mu.Unlock()
	if dog != nil {
		if err := dog.id.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-dog.ended
	}
	return a.startWatchdog()
}

// endWatchdog has the watchdog of an agent that stops end, too.
func (a *Agent) endWatchdog() {
	a.mu.Lock()
	dog := a.watchdog
	a.watchdog = nil
	a.mu.Unlock()
	if dog != nil {
		dog.pipe.Close()
	}
}

// endEarlierWatchdog ends the watchdog that an earlier agent process left, and returns
// when it is gone.
func endEarlierWatchdog(dir string) error {
	id, err := proc.ReadRecord(filepath.Join(dir, watchdogFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return fmt.Errorf("%w; remove it once no process guards the machine", err)
	}
	if err := id.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if !id.Await(time.Now().Add(sweepTimeout)) {
		return fmt.Errorf("process %d of an earlier agent: %s", id.PID, proc.ReasonRunning)
	}
	return nil
}

// extendWatchdog tells the watchdog a new end of the lease; the lock is held.
func (a *Agent) extendWatchdog(leaseEnd time.Duration) {
	dog := a.watchdog
	if dog == nil || leaseEnd == dog.leaseEnd {
		return
	}
	// The worker itself ends tasks at this moment; the watchdog is for
	// when it can't, a little later. It must not hold the agent up.
	deadline := a.schedule.startedAt + leaseEnd + seconds(a.cfg.Workers.Lease/100)
	_ = dog.pipe.SetWriteDeadline(time.Now().Add(minHeartbeatInterval))
	if _, err := fmt.Fprintf(dog.pipe, "%d\n", int64(deadline)); err != nil {
		a.log.Error("the watchdog does not read; it is ended", "error", err)
		_ = dog.id.Signal(syscall.SIGKILL) // watchdogEnded starts another
		return
	}
	if dog.deadlinePassed() {
		a.endEpoch("the watchdog was told of the lease too late")
	}
	dog.leaseEnd, dog.deadline = leaseEnd, deadline
}

// endEpoch ends the agent epoch though its lease runs, because the watchdog may have ended its
// tasks: to report these would name their programs as the cause. The lock is held.
func (a *Agent) endEpoch(why string) {
	if a.worker != nil && a.worker.EndEpoch() {
		a.log.Info("agent epoch ended", "epoch", a.worker.Epoch(), "reason", why)
		go a.endAllTasks()
	}
}

// checkWatchdog ends the epoch if the watchdog's deadline has passed unnoticed; the lock
// is held.
func (a *Agent) checkWatchdog() {
	if a.watchdog != nil && a.watchdog.deadlinePassed() {
		a.endEpoch("the watchdog's deadline has passed")
	}
}
