package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silvergate/internal/proc"
	"silvergate/internal/protocol"
)

// slowEndEnv has the test binary stand in for a program that takes long to end.
const slowEndEnv = "AGENT_TEST_SLOW_END"

// A program that holds inotify instances with watches stays in state D for some tenths of
// a second after a SIGKILL, with its memory and so its environment gone, as one does that
// holds the memory of an accelerator.
func init() {
	if os.Getenv(slowEndEnv) == "" {
		return
	}
	for range 60 {
		fd, err := unix.InotifyInit()
		if err != nil {
			break // the user's limit; fewer do, too
		}
		if _, err := unix.InotifyAddWatch(fd, os.TempDir(), unix.IN_CREATE); err != nil {
			break
		}
	}
	fmt.Println("ready")
	time.Sleep(time.Hour)
}

// agentProcess is an agent that runs as a process of its own, so that it can be killed.
type agentProcess struct {
	t          *testing.T
	cfg        Config
	configFile string
	cmd        *exec.Cmd
	controller *fakeController
}

func newAgentProcess(t *testing.T, c *fakeController, cfg Config) *agentProcess {
	raw, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p := &agentProcess{t: t, cfg: cfg, configFile: filepath.Join(t.TempDir(), "agent.json"), controller: c}
	if err := os.WriteFile(p.configFile, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	t.Cleanup(func() {
		p.kill()
		EndTasks(cfg.Dir)
	})
	return p
}

func (p *agentProcess) start() {
	p.t.Helper()
	p.cmd = exec.Command(os.Args[0], "agent", p.configFile)
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *agentProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// taskFile is a file in an attempt's folder.
func (p *agentProcess) taskFile(attempt, name string) string {
	return filepath.Join(p.cfg.Dir, tasksDir, attempt, name)
}

// awaitOutput waits until a task has written that it is ready.
func (p *agentProcess) awaitOutput(attempt string) {
	p.t.Helper()
	p.controller.await("the program's word", func() bool {
		raw, _ := os.ReadFile(p.taskFile(attempt, stdout))
		return strings.Contains(string(raw), "ready")
	})
}

// awaitProcess waits until a task has written the number of a process, and identifies it.
func (p *agentProcess) awaitProcess(path string) (id proc.ID) {
	p.t.Helper()
	p.controller.await(path, func() bool {
		raw, _ := os.ReadFile(path)
		pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
		if err != nil {
			return false
		}
		id, err = proc.Identify(pid)
		return err == nil
	})
	return id
}

// watchdog finds the process that guards the agent's tasks.
func (p *agentProcess) watchdog() proc.ID {
	p.t.Helper()
	names, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		p.t.Fatal(err)
	}
	for _, name := range names {
		raw, _ := os.ReadFile(name)
		if !bytes.Contains(raw, []byte("agent-watchdog\x00"+p.cfg.Dir+"\x00")) {
			continue
		}
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(name)))
		id, err := proc.Identify(pid)
		if err != nil {
			p.t.Fatal(err)
		}
		return id
	}
	p.t.Fatal("no watchdog")
	return proc.ID{}
}

// processState is what the kernel shows of a process of which a thread is left; empty
// when it is over.
func processState(pid int) string {
	tasks, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	for _, task := range tasks {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/stat", pid, task.Name()))
		if err == nil && !strings.Contains(string(raw), ") Z") && !strings.Contains(string(raw), ") X") {
			command, _ := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
			environment, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
			return fmt.Sprintf("%s, command %q, %d bytes of environment, %v", strings.TrimSpace(string(raw)), command, len(environment), err)
		}
	}
	return ""
}

func testBinary(t *testing.T) string {
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// An agent is killed while its task holds what the kernel takes long to close. The
// watchdog or the next agent sends SIGKILL, the process lets go of its memory, and from
// then on /proc/PID/environ shows no mark while /proc/PID/stat shows state D. The sweep
// took that for the end, and the next agent epoch's first heartbeat, which is evidence
// that nothing of the epoch before runs, came while the process still held its files.
// Beside load any program is in that state for long enough: of 640 runs of
// TestNoTaskOutlivesItsAgentOrLease beside 14 busy processes two failed so.
func TestTheNextEpochWaitsForAnEndingTask(t *testing.T) {
	c := newFakeController(t)
	c.addJob("wk-000001", `echo $$ > pid; exec env `+slowEndEnv+`=1 `+testBinary(t), nil)
	p := newAgentProcess(t, c, testConfig(t, c))
	c.send(launch("wk-000001", 0))
	id := p.awaitProcess(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	p.awaitOutput("wk-000001.0.1")
	c.await("the running task", func() bool { return len(c.last.Tasks) == 1 && c.last.Tasks[0].Status == protocol.TaskRunning })
	var early string
	var toldAt, goneAt time.Time
	c.mu.Lock()
	epoch := c.last.AgentEpoch
	c.onHeartbeat = func(r protocol.Heartbeat) {
		if r.AgentEpoch > epoch && toldAt.IsZero() {
			toldAt = time.Now()
			early = processState(id.PID)
		}
	}
	c.mu.Unlock()
	p.kill()
	p.start()
	c.await("the end of the process", func() bool {
		if goneAt.IsZero() && processState(id.PID) == "" {
			goneAt = time.Now()
		}
		return !goneAt.IsZero() && !toldAt.IsZero()
	})
	if early != "" {
		t.Fatalf("the next epoch was told, and the process lived for %v more: %s", goneAt.Sub(toldAt), early)
	}
}

// A program ends and leaves a child outside its group that takes long to end. The sweep
// after the task's end took the dying child for gone, as above: the ending was announced
// while the child was there, and the task's room could be given to another.
func TestAnEndingIsAnnouncedWhenTheChildrenAreGone(t *testing.T) {
	k := TaskAttempt{"wk-000001", 0, 1}
	dir := t.TempDir()
	pidFile := filepath.Join(dir, "pid")
	exited := make(chan string, 1)
	r := &runner{dir: dir, taskCommand: []string{os.Args[0], "task-exec"}, log: discardLog, tasks: map[TaskAttempt]*task{}}
	r.exited = func(TaskAttempt, int, bool) {
		raw, _ := os.ReadFile(pidFile)
		pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
		if err != nil {
			t.Error(err)
		}
		exited <- processState(pid)
	}
	if err := os.MkdirAll(r.folder(k), 0o700); err != nil {
		t.Fatal(err)
	}
	script := "setsid env " + slowEndEnv + "=1 " + testBinary(t) + " > said & echo $! > pid; until [ -s said ]; do sleep 0.01; done"
	r.setEpoch(1)
	err := r.start(1, k, program{Argv: []string{"/bin/sh", "-c", script}, Env: append(os.Environ(), proc.MarkEnv+"="+r.processMarker(k)), Dir: dir}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if state := <-exited; state != "" {
		t.Fatalf("announced while a child was there: %s", state)
	}
}

// An agent is killed, and its watchdog does not notice until the next agent has begun an
// epoch and runs a task, as when it gets no processor. Then it finds its pipe closed and
// ended all tasks that carry the machine's mark: those of the new epoch, which nobody had
// told to end. They were reported with cause "error", as if their programs had failed.
// (The test holds the pipe open: a watchdog that is stopped gets SIGHUP with its parent's
// end.)
func TestALateWatchdogLeavesTheNextEpochAlone(t *testing.T) {
	c := newFakeController(t)
	c.addJob("wk-000001", `echo $$ > pid; exec sleep 1000`, nil)
	c.addJob("wk-000002", `echo $$ > pid; exec sleep 1000`, nil)
	cfg := testConfig(t, c)
	cfg.Workers.Lease = 60 // the watchdog's own clock has no part in this
	p := newAgentProcess(t, c, cfg)
	c.send(launch("wk-000001", 0))
	first := p.awaitProcess(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	c.mu.Lock()
	epoch := c.last.AgentEpoch
	c.mu.Unlock()
	pipe, err := os.OpenFile(fmt.Sprintf("/proc/%d/fd/0", p.watchdog().PID), os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	p.kill()
	p.start()
	c.await("the next epoch", func() bool { return c.last.AgentEpoch > epoch })
	if state := processState(first.PID); state != "" {
		t.Errorf("a task of the epoch before: %s", state)
	}
	c.send(launch("wk-000002", 0))
	second := p.awaitProcess(p.taskFile("wk-000002.0.1", workDir+"/pid"))
	pipe.Close()
	time.Sleep(time.Second) // several sweeps long
	if !second.Alive() {
		t.Error("the watchdog of the epoch before ended a task of this one")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.causes) > 0 {
		t.Errorf("endings: %v", c.causes)
	}
}

// An agent stands still for a moment between the answer to a heartbeat, which prolongs its
// lease, and the line that tells the watchdog so. The watchdog ends the tasks at the end
// of the lease that it knows. The agent wakes within its own lease and goes on with the
// epoch: it reported the tasks with cause "error", as if their programs had failed. Of 640
// runs of TestNoTaskOutlivesItsAgentOrLease beside load two failed so: "a new session
// without tasks: never; causes map[wk-000001/0#1:error]", 33 heartbeats of the same epoch
// later. The test holds the agent's lock in that moment.
func TestAnEpochWhoseTasksTheWatchdogEndedIsOver(t *testing.T) {
	c := newFakeController(t)
	cfg := testConfig(t, c)
	cfg.Workers.Lease = 1.5
	c.addJob("wk-000001", `echo $$ > pid; exec sleep 1000`, nil)
	a := runAgent(t, cfg)
	c.send(launch("wk-000001", 0))
	p := &agentProcess{t: t, cfg: cfg, controller: c}
	id := p.awaitProcess(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	c.await("the running task", func() bool { return len(c.last.Tasks) == 1 && c.last.Tasks[0].Status == protocol.TaskRunning })
	for a.mu.Lock(); a.clock()-a.worker.epoch.answeredAt < 300*time.Millisecond; a.mu.Lock() {
		a.mu.Unlock() // until the watchdog's deadline is well ahead of a new lease's end
		time.Sleep(10 * time.Millisecond)
	}
	epoch := a.worker.epoch.number
	sentAt := a.clock()
	for until := time.Now().Add(20 * time.Second); id.Alive() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if id.Alive() {
		t.Error("the watchdog ended nothing")
	}
	a.worker.epoch.answeredAt = sentAt // as of an answer that had just come
	a.perform(a.worker.takeEffects())
	a.mu.Unlock()
	c.await("a new epoch without tasks", func() bool { return c.last.AgentEpoch > epoch && len(c.last.Tasks) == 0 })
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.causes) > 0 {
		t.Errorf("told of a task that the watchdog ended: %v", c.causes)
	}
}

// checkProcessEndsWithEpoch runs a task whose script writes the number of a process, starts the agent anew,
// and demands that the process is gone when the next epoch is told.
func checkProcessEndsWithEpoch(t *testing.T, script string) {
	t.Helper()
	c := newFakeController(t)
	c.addJob("wk-000001", script, nil)
	p := newAgentProcess(t, c, testConfig(t, c))
	c.send(launch("wk-000001", 0))
	id := p.awaitProcess(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	defer func() { _ = id.Signal(syscall.SIGKILL) }()
	c.await("the running task", func() bool { return len(c.last.Tasks) == 1 && c.last.Tasks[0].Status == protocol.TaskRunning })
	c.mu.Lock()
	epoch := c.last.AgentEpoch
	c.mu.Unlock()
	p.kill()
	p.start()
	c.await("the next epoch", func() bool { return c.last.AgentEpoch > epoch })
	if state := processState(id.PID); state != "" {
		t.Fatalf("the next epoch was told, and it runs on: %s", state)
	}
}

// A program leaves its process group and drops its environment, as daemons do: neither its
// group nor a mark tells whose it is. The sweep passed it over, the next epoch was reported,
// and it ran on ("S 1 18174 18174", a child of process 1 in a session of its own).
func TestAProgramThatDropsGroupAndEnvironmentEnds(t *testing.T) {
	checkProcessEndsWithEpoch(t, `setsid env -i sleep 1000 & echo $! > pid.new; mv pid.new pid; wait`)
}

// The same program is started twice removed: its parent has ended, so that its agent's
// next life can't tell from its parents either, unless the task's program was handed it.
func TestAnOrphanThatDropsGroupAndEnvironmentEnds(t *testing.T) {
	checkProcessEndsWithEpoch(t, `(setsid env -i sleep 1000 & echo $! > pid.new; mv pid.new pid); exec sleep 1000`)
}

// A task's program ends by itself and leaves such a process, beside another task that runs
// and has one, too. The first is gone when its task's ending is told; the other lives.
func TestWhatAnEndedProgramLeavesEnds(t *testing.T) {
	c := newFakeController(t)
	const leaves = `(setsid env -i sleep 1000 & echo $! > pid.new; mv pid.new pid)`
	c.addJob("wk-000001", leaves, nil)
	c.addJob("wk-000002", leaves+`; exec sleep 1000`, nil)
	p := newAgentProcess(t, c, testConfig(t, c))
	c.send(launch("wk-000002", 0))
	other := p.awaitProcess(p.taskFile("wk-000002.0.1", workDir+"/pid"))
	defer func() { _ = other.Signal(syscall.SIGKILL) }()
	c.send(launch("wk-000001", 0))
	c.await("the ending", func() bool { return c.causes["wk-000001/0#1"] != "" })
	raw, err := os.ReadFile(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	if state := processState(pid); state != "" {
		t.Errorf("the ending was told, and it runs on: %s", state)
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	if cause := c.causes["wk-000001/0#1"]; cause != protocol.CauseDone || !other.Alive() {
		t.Errorf("ended with %q; the other task's process lives: %v", cause, other.Alive())
	}
}

// An agent that is started again listens where it did before, so that controllers reach it
// there. While it was away another process may have got that port, for a connection
// of its own that lasts a moment. The agent ended at once: "a new session without tasks: never;
// causes map[]", no heartbeat after its end, once in 320 runs of
// TestNoTaskOutlivesItsAgentOrLease beside load, and here each time.
func TestAnAgentWaitsForItsPort(t *testing.T) {
	c := newFakeController(t)
	p := newAgentProcess(t, c, testConfig(t, c))
	c.await("a heartbeat", func() bool { return c.last.AgentEpoch > 0 })
	c.mu.Lock()
	epoch, address := c.last.AgentEpoch, c.last.Address
	c.mu.Unlock()
	p.kill()
	taken, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { taken.Close() })
	p.start()
	c.await("the next epoch", func() bool { return c.last.AgentEpoch > epoch })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Address != address {
		t.Errorf("listens at %s, where no controller looks for it; before at %s", c.last.Address, address)
	}
}
