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

// watchdogFile holds the identity of a machine's watchdog process.
const watchdogFile = "watchdog.json"

// watchdogPeriod is the maximum time between two checks of the clock by a watchdog, and the
// time between two sweeps after the end of a lease.
const watchdogPeriod = time.Second

// watchdogState is the state of a watchdog process.
type watchdogState struct {
	dir         string
	deadlineFD  int           // the pipe that carries the deadlines
	partialLine []byte        // the part of a line that was read so far
	deadline    time.Duration // on the boot clock; 0: none was received yet
	sweptAt     time.Time     // time of the last sweep for this deadline
}

// Watchdog kills all tasks of a machine when its agent's lease expires or the
// agent dies: an agent that hangs can't do that itself. deadlines carries times of
// the boot clock, in nanoseconds, one per line.
//
// A deadline that was written before the previous one passed always takes effect, however
// late this process reads it. The agent relies on that: if it wrote a deadline in time, it does
// not assume that the tasks have been killed at the previous one (Agent.extendWatchdog).
func Watchdog(dir string, deadlines *os.File) error {
	if err := proc.WaitForRelease(); err != nil {
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

// step waits for a line or the deadline, whichever comes first. It returns false when the
// agent is gone.
func (g *watchdogState) step() (open bool, err error) {
	// The clock is read before the pipe, so that a line written before the deadline is found.
	late := g.deadline > 0 && bootClock() >= g.deadline
	readable, err := g.poll(g.wait(late))
	switch {
	case err != nil:
		return false, fmt.Errorf("deadlines: %w", err)
	case readable:
		return g.read()
	case late && time.Since(g.sweptAt) >= watchdogPeriod:
		if err := EndTasks(g.dir); err != nil {
			slog.Error("the lease has expired, but processes can't be ended", "error", err)
		}
		g.sweptAt = time.Now()
	}
	return true, nil
}

// wait returns how long the watchdog may wait for the next line.
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
		wait += time.Millisecond // poll takes whole milliseconds
	}
	watched := []unix.PollFd{{Fd: int32(g.deadlineFD), Events: unix.POLLIN}}
	n, err := unix.Poll(watched, int(max(0, wait)/time.Millisecond))
	if errors.Is(err, unix.EINTR) {
		return false, nil
	}
	return n > 0, err
}

// read reads from the pipe. The last complete line sets the deadline. read returns false when the
// agent has closed the pipe or reading fails.
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
			slog.Error("ignoring an invalid deadline; the previous one remains", "error", err)
			continue
		}
		g.deadline, g.sweptAt = time.Duration(nanoseconds), time.Time{}
	}
}

// bootClock returns the time of a monotonic clock that also advances while the machine
// sleeps, because for the controllers a lease expires during that time, too.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2011
	}
	return time.Duration(t.Nano())
}

// watchdogProcess is the agent's handle of its watchdog. Each agent epoch has a watchdog of
// its own, and the previous watchdog is gone before the epoch begins: a delayed watchdog can't
// kill tasks of an epoch that it does not know.
type watchdogProcess struct {
	id       proc.ID
	pipe     *os.File      // carries the deadlines to the watchdog
	leaseEnd time.Duration // the lease's end that was sent last, on the worker's clock
	deadline time.Duration // leaseEnd on the boot clock plus a hundredth of the lease; 0: none was sent yet
	ended    chan struct{} // closed when the process has ended and watchdogEnded has returned
}

// deadlinePassed reports whether the deadline has passed, so that the watchdog may have killed the tasks.
func (w *watchdogProcess) deadlinePassed() bool { return w.deadline > 0 && bootClock() >= w.deadline }

// startWatchdog starts the watchdog of the current agent epoch.
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
	watchdog := &watchdogProcess{id: id, pipe: w, ended: make(chan struct{})}
	a.mu.Lock()
	a.watchdog = watchdog
	a.mu.Unlock()
	go func() {
		defer close(watchdog.ended)
		_ = cmd.Wait()
		a.watchdogEnded(watchdog, cmd.ProcessState.Exited())
	}()
	return nil
}

// watchdogEnded handles the end of a watchdog process. If the watchdog is still needed, it starts
// another one. A watchdog that exited by itself has killed the tasks before that.
func (a *Agent) watchdogEnded(watchdog *watchdogProcess, byItself bool) {
	a.mu.Lock()
	needed := a.watchdog == watchdog && !a.shutdown.begun
	if needed {
		a.watchdog = nil
		if byItself || watchdog.deadlinePassed() {
			a.endEpoch("the watchdog is gone and may have killed the tasks")
		}
	}
	a.mu.Unlock()
	watchdog.pipe.Close()
	if !needed {
		return
	}
	// Guards against tasks that would keep running if the agent hung.
	a.log.Error("the watchdog is gone; starting another one")
	time.Sleep(100 * time.Millisecond)
	if err := a.startWatchdog(); err != nil {
		a.mu.Lock()
		a.fail(fmt.Errorf("watchdog: %w", err))
		a.mu.Unlock()
	}
}

// replaceWatchdog kills the watchdog of the agent epoch that is over, and starts one for the
// next epoch. No tasks exist at that time.
func (a *Agent) replaceWatchdog() error {
	a.mu.Lock()
	watchdog := a.watchdog
	a.watchdog = nil
	a.mu.Unlock()
	if watchdog != nil {
		if err := watchdog.id.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-watchdog.ended
	}
	return a.startWatchdog()
}

// endWatchdog ends the watchdog of an agent that is shutting down, by closing its pipe.
func (a *Agent) endWatchdog() {
	a.mu.Lock()
	watchdog := a.watchdog
	a.watchdog = nil
	a.mu.Unlock()
	if watchdog != nil {
		watchdog.pipe.Close()
	}
}

// endEarlierWatchdog kills the watchdog that an earlier agent process left behind, and returns
// when that watchdog is gone.
func endEarlierWatchdog(dir string) error {
	id, err := proc.ReadRecord(filepath.Join(dir, watchdogFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return fmt.Errorf("%w; remove the file once no watchdog of this machine is running", err)
	}
	if err := id.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if !id.Await(time.Now().Add(sweepTimeout)) {
		return fmt.Errorf("watchdog process %d of an earlier agent: %s", id.PID, proc.ReasonRunning)
	}
	return nil
}

// extendWatchdog sends a new end of the lease to the watchdog; the lock is held.
func (a *Agent) extendWatchdog(leaseEnd time.Duration) {
	watchdog := a.watchdog
	if watchdog == nil || leaseEnd == watchdog.leaseEnd {
		return
	}
	// The worker itself ends the tasks at the end of the lease. The watchdog does so
	// slightly later, in case the worker can't. The write must not block the agent.
	deadline := a.schedule.startedAt + leaseEnd + seconds(a.cfg.Workers.Lease/100)
	_ = watchdog.pipe.SetWriteDeadline(time.Now().Add(minHeartbeatInterval))
	if _, err := fmt.Fprintf(watchdog.pipe, "%d\n", int64(deadline)); err != nil {
		a.log.Error("the watchdog does not read its pipe; killing it", "error", err)
		_ = watchdog.id.Signal(syscall.SIGKILL) // watchdogEnded starts another
		return
	}
	if watchdog.deadlinePassed() {
		a.endEpoch("the new end of the lease was sent to the watchdog too late")
	}
	watchdog.leaseEnd, watchdog.deadline = leaseEnd, deadline
}

// endEpoch ends the agent epoch although its lease is still valid, because the watchdog may have
// killed its tasks: reporting these would blame their programs. The lock is held.
func (a *Agent) endEpoch(why string) {
	if a.worker != nil && a.worker.EndEpoch() {
		a.log.Info("agent epoch ended", "epoch", a.worker.Epoch(), "reason", why)
		go a.endAllTasks()
	}
}

// checkWatchdog ends the agent epoch if the watchdog's deadline has passed without the agent
// having noticed; the lock is held.
func (a *Agent) checkWatchdog() {
	if a.watchdog != nil && a.watchdog.deadlinePassed() {
		a.endEpoch("the watchdog's deadline has passed")
	}
}
