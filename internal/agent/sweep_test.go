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

// slowEndEnv is the environment variable that makes the test binary act as a program that takes
// long to end.
const slowEndEnv = "AGENT_TEST_SLOW_END"

// A program that holds inotify instances with watches stays in state D for some tenths of
// a second after SIGKILL. Its memory, and with it its environment, is already gone then. A
// program that holds memory of an accelerator behaves in the same way.
func init() {
	if os.Getenv(slowEndEnv) == "" {
		return
	}
	for range 60 {
		fd, err := unix.InotifyInit()
		if err != nil {
			break // the user's limit is reached; fewer instances suffice
		}
		if _, err := unix.InotifyAddWatch(fd, os.TempDir(), unix.IN_CREATE); err != nil {
			break
		}
	}
	fmt.Println("ready")
	time.Sleep(time.Hour)
}

// agentProcess is an agent that runs as a separate process, so that it can be killed.
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

// taskFile returns the path of a file in an attempt's folder.
func (p *agentProcess) taskFile(attempt, name string) string {
	return filepath.Join(p.cfg.Dir, tasksDir, attempt, name)
}

// awaitOutput waits until a task has written "ready".
func (p *agentProcess) awaitOutput(attempt string) {
	p.t.Helper()
	p.controller.await("the program's output", func() bool {
		raw, _ := os.ReadFile(p.taskFile(attempt, stdout))
		return strings.Contains(string(raw), "ready")
	})
}

// awaitProcess waits until a task has written the number of a process to a file, and returns the
// process's identity.
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

// watchdog returns the identity of the agent's watchdog process.
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

// processState describes a process of which at least one thread is alive. It returns an empty
// string if the process is over.
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

// An agent is killed while its task holds files that the kernel takes long to close. The
// watchdog or the next agent sends SIGKILL, the kernel releases the process's memory, and
// from then on /proc/PID/environ shows no mark while /proc/PID/stat shows state D. The sweep
// took that for the end of the process. The first heartbeat of the next agent epoch, which is
// evidence that nothing of the previous epoch runs, was sent while the process still held its
// files. On a loaded machine any program is in that state for long enough: 2 of 640 runs of
// TestNoTaskOutlivesItsAgentOrLease beside 14 busy processes failed for this reason.
func TestTheNextEpochWaitsForAnEndingTask(t *testing.T) {
	c := newFakeController(t)
	c.add("wk-000001", `echo $$ > pid; exec env `+slowEndEnv+`=1 `+testBinary(t), nil)
	p := newAgentProcess(t, c, testConfig(t, c))
	c.send(launch("wk-000001", 0))
	id := p.awaitProcess(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	p.awaitOutput("wk-000001.0.1")
	c.await("the running task", func() bool { return len(c.last.Tasks) == 1 && c.last.Tasks[0].Status == protocol.TaskRunning })
	var early string
	var reportedAt, goneAt time.Time
	c.mu.Lock()
	epoch := c.last.AgentEpoch
	c.onHeartbeat = func(r protocol.Heartbeat) {
		if r.AgentEpoch > epoch && reportedAt.IsZero() {
			reportedAt = time.Now()
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
		return !goneAt.IsZero() && !reportedAt.IsZero()
	})
	if early != "" {
		t.Fatalf("the next epoch was reported, and the process lived for another %v: %s", goneAt.Sub(reportedAt), early)
	}
}

// A program ends and leaves a child outside its process group that takes long to end. The
// sweep after the program's end took the dying child for gone, as above: the end of the task was
// announced while the child still existed, and its resources could be given to another task.
func TestAnEndingIsAnnouncedWhenTheChildrenAreGone(t *testing.T) {
	k := TaskAttempt{"wk-000001", 0, 1}
	dir := t.TempDir()
	pidFile := filepath.Join(dir, "pid")
	exited := make(chan string, 1)
	r := &runner{dir: dir, exec: []string{os.Args[0], "task-exec"}, log: discardLog, tasks: map[TaskAttempt]*task{}}
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
		t.Fatalf("the end was announced while a child still existed: %s", state)
	}
}

// An agent is killed, and its watchdog does not notice that until the next agent has begun an
// epoch and runs a task, for example because the watchdog gets no CPU time. The watchdog then
// found its pipe closed and killed all tasks that carry the machine's mark: those of the new
// epoch, which nobody had asked to end. They were reported with cause "error", as if their
// programs had failed. (The test delays the watchdog by holding the pipe open, because a stopped
// watchdog would get SIGHUP at the end of its parent.)
func TestALateWatchdogLeavesTheNextEpochAlone(t *testing.T) {
	c := newFakeController(t)
	c.add("wk-000001", `echo $$ > pid; exec sleep 1000`, nil)
	c.add("wk-000002", `echo $$ > pid; exec sleep 1000`, nil)
	cfg := testConfig(t, c)
	cfg.Workers.Lease = 60 // so that the watchdog's deadline has no effect
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
		t.Errorf("a task of the previous epoch still runs: %s", state)
	}
	c.send(launch("wk-000002", 0))
	second := p.awaitProcess(p.taskFile("wk-000002.0.1", workDir+"/pid"))
	pipe.Close()
	time.Sleep(time.Second) // several sweeps long
	if !second.Alive() {
		t.Error("the watchdog of the previous epoch killed a task of the current one")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.causes) > 0 {
		t.Errorf("tasks have ended: %v", c.causes)
	}
}

// An agent is suspended for a moment between the answer to a heartbeat, which extends its
// lease, and the line that sends the new deadline to the watchdog. The watchdog kills the tasks
// at the end of the lease that it knows. The agent, which woke up within its own lease, continued
// the epoch and reported the tasks with cause "error", as if their programs had failed. On a
// loaded machine 2 of 640 runs of TestNoTaskOutlivesItsAgentOrLease failed for this reason: the
// causes were map[wk-000001/0#1:error], and no new epoch had begun 33 heartbeats later. The test
// holds the agent's lock at that moment.
func TestAnEpochWhoseTasksTheWatchdogEndedIsOver(t *testing.T) {
	c := newFakeController(t)
	cfg := testConfig(t, c)
	cfg.Workers.Lease = 1.5
	c.add("wk-000001", `echo $$ > pid; exec sleep 1000`, nil)
	a := runAgent(t, cfg)
	c.send(launch("wk-000001", 0))
	p := &agentProcess{t: t, cfg: cfg, controller: c}
	id := p.awaitProcess(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	c.await("the running task", func() bool { return len(c.last.Tasks) == 1 && c.last.Tasks[0].Status == protocol.TaskRunning })
	for a.mu.Lock(); a.clock()-a.worker.epoch.answeredAt < 300*time.Millisecond; a.mu.Lock() {
		a.mu.Unlock() // until the watchdog's deadline is well before the end of a renewed lease
		time.Sleep(10 * time.Millisecond)
	}
	epoch := a.worker.epoch.number
	sentAt := a.clock()
	for until := time.Now().Add(20 * time.Second); id.Alive() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if id.Alive() {
		t.Error("the watchdog did not kill the task")
	}
	a.worker.epoch.answeredAt = sentAt // as if an answer had just arrived
	a.perform(a.worker.takeEffects())
	a.mu.Unlock()
	c.await("a new epoch without tasks", func() bool { return c.last.AgentEpoch > epoch && len(c.last.Tasks) == 0 })
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.causes) > 0 {
		t.Errorf("a task that the watchdog killed was reported: %v", c.causes)
	}
}

// checkProcessEndsWithEpoch runs a task whose script writes the number of a process, restarts the
// agent, and requires that the process is gone when the next epoch is reported.
func checkProcessEndsWithEpoch(t *testing.T, script string) {
	t.Helper()
	c := newFakeController(t)
	c.add("wk-000001", script, nil)
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
		t.Fatalf("the next epoch was reported, and the process still runs: %s", state)
	}
}

// A program leaves its process group and drops its environment, as daemons do, so that neither
// its group nor a mark shows which task it belongs to. The sweep missed it, and the next epoch was
// reported while it was still running ("S 1 18174 18174", a child of process 1 in a session of
// its own).
func TestAProgramThatDropsGroupAndEnvironmentEnds(t *testing.T) {
	checkProcessEndsWithEpoch(t, `setsid env -i sleep 1000 & echo $! > pid.new; mv pid.new pid; wait`)
}

// The same program is started by a parent that has ended, so that the restarted agent can't
// find it by its parents either, unless the task's program has adopted it.
func TestAnOrphanThatDropsGroupAndEnvironmentEnds(t *testing.T) {
	checkProcessEndsWithEpoch(t, `(setsid env -i sleep 1000 & echo $! > pid.new; mv pid.new pid); exec sleep 1000`)
}

// A task's program ends by itself and leaves behind a process that has dropped its group and
// environment. Another task that is still running has such a process, too. The first process
// must be gone when the end of its task is reported; the other one must stay alive.
func TestWhatAnEndedProgramLeavesEnds(t *testing.T) {
	c := newFakeController(t)
	const leaves = `(setsid env -i sleep 1000 & echo $! > pid.new; mv pid.new pid)`
	c.add("wk-000001", leaves, nil)
	c.add("wk-000002", leaves+`; exec sleep 1000`, nil)
	p := newAgentProcess(t, c, testConfig(t, c))
	c.send(launch("wk-000002", 0))
	other := p.awaitProcess(p.taskFile("wk-000002.0.1", workDir+"/pid"))
	defer func() { _ = other.Signal(syscall.SIGKILL) }()
	c.send(launch("wk-000001", 0))
	c.await("the end of the task", func() bool { return c.causes["wk-000001/0#1"] != "" })
	raw, err := os.ReadFile(p.taskFile("wk-000001.0.1", workDir+"/pid"))
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	if state := processState(pid); state != "" {
		t.Errorf("the end of the task was reported, and its process still runs: %s", state)
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	if cause := c.causes["wk-000001/0#1"]; cause != protocol.CauseDone || !other.Alive() {
		t.Errorf("ended with %q; the other task's process lives: %v", cause, other.Alive())
	}
}

// A restarted agent listens on its previous port, so that controllers reach it there. While
// it was down, another process may have got that port for a short-lived connection of its own.
// The agent then exited at once, and no heartbeat followed. This happened in 1 of 320 runs of
// TestNoTaskOutlivesItsAgentOrLease on a loaded machine (no new epoch, causes map[]), and in
// each run of this test.
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
		t.Errorf("the agent listens at %s, where controllers don't look for it; before at %s", c.last.Address, address)
	}
}
