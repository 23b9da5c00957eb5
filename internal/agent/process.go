package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silvergate/internal/proc"
)

// Names in a machine's folder, and a limit on its task folders.
const (
	tasksDir       = "tasks"
	stdout         = "stdout"
	stderr         = "stderr"
	workDir        = "work"
	procFile       = "process.json"
	execFile       = "exec.json"
	maxKeptFolders = 200 // folders of attempts; only those of ended attempts are removed
)

// program describes the process of an attempt: its command, environment, working directory and
// limits.
type program struct {
	Argv  []string `json:"argv"`
	Env   []string `json:"env"`
	Dir   string   `json:"dir"`
	Nice  int      `json:"nice"`
	Files uint64   `json:"files"`
}

// ExecTask runs first in a task's process: it waits until the agent has recorded
// the process's identity, applies the limits and replaces itself by the program
// described in the file at path. It returns only if that fails.
func ExecTask(path string) error {
	if err := proc.WaitForRelease(); err != nil {
		return err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var p program
	if err := json.Unmarshal(raw, &p); err != nil {
		return err
	}
	if err := syscall.Setpriority(syscall.PRIO_PROCESS, 0, p.Nice); err != nil && p.Nice != 0 {
		return fmt.Errorf("nice level %d: %w", p.Nice, err)
	}
	// Core dumps are disabled: nobody may read a task's memory, and dumps would fill the disk.
	if err := syscall.Setrlimit(unix.RLIMIT_CORE, &syscall.Rlimit{}); err != nil {
		return fmt.Errorf("setting the limit of core files: %w", err)
	}
	if p.Files > 0 {
		if err := syscall.Setrlimit(unix.RLIMIT_NOFILE, &syscall.Rlimit{Cur: p.Files, Max: p.Files}); err != nil {
			return fmt.Errorf("setting the limit of open files: %w", err)
		}
	}
	if err := os.Chdir(p.Dir); err != nil {
		return err
	}
	if err := proc.BecomeSubreaper(); err != nil {
		return fmt.Errorf("adopting orphaned descendants: %w", err)
	}
	return fmt.Errorf("%s: %w", p.Argv[0], syscall.Exec(p.Argv[0], p.Argv, p.Env))
}

// runner owns the processes of a machine's tasks: it starts programs as process
// groups, enforces their memory limits and kills all processes of a task at its end.
type runner struct {
	dir  string // the machine's folder
	exec []string
	log  *slog.Logger
	// exited is called when all processes of an attempt are gone.
	exited func(k TaskAttempt, code int, memoryExceeded bool)
	// needsFolder reports whether an attempt's folder must not be removed yet.
	needsFolder func(k TaskAttempt) bool

	mu        sync.Mutex
	tasks     map[TaskAttempt]*task
	epoch     uint64     // the agent epoch whose tasks may be started; 0: none
	starting  int        // number of tasks being started
	decreased *sync.Cond // signals that tasks or starting decreased; nil until the first waiter
}

var errWrongEpoch = errors.New("the attempt's agent epoch is over")

type task struct {
	id             proc.ID
	memoryLimit    uint64 // bytes; 0: no limit
	memoryExceeded bool   // killed because it exceeded its memory limit
}

func (r *runner) folder(k TaskAttempt) string { return filepath.Join(r.dir, tasksDir, k.String()) }

func (r *runner) processMarker(k TaskAttempt) string { return r.dir + "/" + k.String() }

// setEpoch allows only tasks of the given agent epoch to be started.
func (r *runner) setEpoch(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch = epoch
}

// start starts an attempt's program. Its output goes to files, which outlive both
// the program and the agent.
func (r *runner) start(epoch uint64, k TaskAttempt, p program, ramGB float64) error {
	r.mu.Lock()
	if r.epoch != epoch {
		r.mu.Unlock()
		return errWrongEpoch
	}
	r.starting++
	r.mu.Unlock()
	t, cmd, err := r.spawn(k, p, ramGB)
	r.mu.Lock()
	r.starting--
	if err == nil {
		r.tasks[k] = t
	}
	r.signalDecrease()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	go r.wait(k, t, cmd)
	return nil
}

func (r *runner) spawn(k TaskAttempt, p program, ramGB float64) (*task, *exec.Cmd, error) {
	dir := r.folder(k)
	out, err := os.OpenFile(filepath.Join(dir, stdout), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer out.Close()
	errs, err := os.OpenFile(filepath.Join(dir, stderr), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer errs.Close()
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, execFile)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, nil, err
	}
	cmd := exec.Command(r.exec[0], append(r.exec[1:len(r.exec):len(r.exec)], path)...)
	cmd.Env = append(os.Environ(), proc.MarkEnv+"="+r.processMarker(k))
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, out, errs
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	t := &task{memoryLimit: uint64(ramGB * (1 << 30))}
	t.id, err = proc.Start(cmd, proc.Record(filepath.Join(dir, procFile)))
	return t, cmd, err
}

// wait waits until a program has ended, kills the processes that it left behind and calls
// r.exited.
func (r *runner) wait(k TaskAttempt, t *task, cmd *exec.Cmd) {
	if err := proc.AwaitEnd(t.id.PID); err != nil {
		r.log.Error("waiting for the end of a program failed", "task", k.String(), "error", err)
	}
	// The program is reaped only after all its processes are gone: as long as it is not
	// reaped, the number of its process group can't be reused for another group.
	log := r.log.With("task", k.String())
	endUntilGone(proc.Owner{Mark: r.processMarker(k), Leaders: []proc.ID{t.id}, Since: t.id.Start}, log)
	// A running program adopts its own orphans, so the orphans that the agent has adopted
	// belong to programs that have ended, this one or another.
	retryUntilGone(log, proc.EndOrphans)
	code := exitCode(cmd.Wait())
	r.mu.Lock()
	delete(r.tasks, k)
	memoryExceeded := t.memoryExceeded
	r.signalDecrease()
	r.mu.Unlock()
	r.exited(k, code, memoryExceeded)
}

// exitCode returns a program's exit code, or -1 if a signal ended it.
func exitCode(err error) int {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit) && exit.ExitCode() > 0:
		return exit.ExitCode()
	}
	return -1
}

// signal sends a signal to an attempt's process group.
func (r *runner) signal(k TaskAttempt, sig syscall.Signal) {
	r.mu.Lock()
	t := r.tasks[k]
	r.mu.Unlock()
	if t != nil {
		_ = proc.KillGroup(t.id, sig)
	}
}

// kill sends SIGKILL to an attempt's process group. The runner calls exited when all processes of
// the attempt are gone.
func (r *runner) kill(k TaskAttempt) { r.signal(k, syscall.SIGKILL) }

// checkMemory kills the attempts whose process group uses more memory than they requested,
// and returns the usage of the process groups of all attempts together.
func (r *runner) checkMemory() (total proc.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tasks) == 0 {
		return total
	}
	groups := proc.UsageByGroup()
	for k, t := range r.tasks {
		u := groups[t.id.PID]
		total.RSS, total.CPU, total.Members = total.RSS+u.RSS, total.CPU+u.CPU, total.Members+u.Members
		if t.memoryLimit > 0 && u.RSS > t.memoryLimit && !t.memoryExceeded {
			t.memoryExceeded = true
			r.log.Info("task killed: it exceeded its memory limit", "task", k.String(), "resident_bytes", u.RSS, "limit_bytes", t.memoryLimit)
			_ = proc.KillGroup(t.id, syscall.SIGKILL)
		}
	}
	return total
}

// clear kills all tasks on the machine, including those that an earlier agent started.
// No task can start from then on until setEpoch allows it.
func (r *runner) clear() {
	r.setEpoch(0)
	r.awaitCondition(func() bool { return r.starting == 0 })
	endUntilGone(taskOwner(r.dir, r.log), r.log)
	r.awaitCondition(func() bool { return len(r.tasks) == 0 })
}

// awaitCondition waits until a condition on r.tasks or r.starting holds.
func (r *runner) awaitCondition(holds func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decreased == nil {
		r.decreased = sync.NewCond(&r.mu)
	}
	for !holds() {
		r.decreased.Wait()
	}
}

// signalDecrease wakes the goroutines in awaitCondition; the lock is held.
func (r *runner) signalDecrease() {
	if r.decreased != nil {
		r.decreased.Broadcast()
	}
}

// prune removes the oldest folders of ended attempts until no more than maxKeptFolders
// folders are left. It skips folders that are still needed.
func (r *runner) prune() {
	root := filepath.Join(r.dir, tasksDir)
	dirs, err := os.ReadDir(root)
	if err != nil || len(dirs) <= maxKeptFolders {
		return
	}
	type old struct {
		name string
		at   time.Time
	}
	var removable []old
	for _, d := range dirs {
		k, ok := parseTaskAttempt(d.Name())
		if info, err := os.Stat(filepath.Join(root, d.Name(), execFile)); ok && err == nil && !r.needsFolder(k) {
			removable = append(removable, old{d.Name(), info.ModTime()})
		}
	}
	sort.Slice(removable, func(i, j int) bool { return removable[i].at.Before(removable[j].at) })
	for i := 0; i < len(removable) && len(dirs)-i > maxKeptFolders; i++ {
		_ = os.RemoveAll(filepath.Join(root, removable[i].name))
	}
}

// parseTaskAttempt parses the result of TaskAttempt.String.
func parseTaskAttempt(s string) (TaskAttempt, bool) {
	f := strings.Split(s, ".")
	if len(f) != 3 {
		return TaskAttempt{}, false
	}
	index, err1 := strconv.Atoi(f[1])
	attempt, err2 := strconv.Atoi(f[2])
	return TaskAttempt{f[0], index, attempt}, err1 == nil && err2 == nil
}

// exists reports whether there is a file at path, and returns true if that can't be determined.
func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, fs.ErrNotExist)
}
