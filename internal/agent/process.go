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

// Names in a machine's folder.
const (
	tasksDir       = "tasks"
	stdout         = "stdout"
	stderr         = "stderr"
	workDir        = "work"
	procFile       = "process.json"
	execFile       = "exec.json"
	maxKeptFolders = 200 // folders of attempts that are over
)

// program is what is run for an attempt.
type program struct {
	Argv  []string `json:"argv"`
	Env   []string `json:"env"`
	Dir   string   `json:"dir"`
	Nice  int      `json:"nice"`
	Files uint64   `json:"files"`
}

// ExecTask is what a task's process does first: it waits until its agent has
// written down who it is, takes its limits on and becomes the program described
// in the file at path. It returns only if that fails.
func ExecTask(path string) error {
	if err := proc.Hold(); err != nil {
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
	// A dump of a task's memory is nobody's to read, and would fill the disk.
	if err := syscall.Setrlimit(unix.RLIMIT_CORE, &syscall.Rlimit{}); err != nil {
		return fmt.Errorf("limit of core files: %w", err)
	}
	if p.Files > 0 {
		if err := syscall.Setrlimit(unix.RLIMIT_NOFILE, &syscall.Rlimit{Cur: p.Files, Max: p.Files}); err != nil {
			return fmt.Errorf("limit of open files: %w", err)
		}
	}
	if err := os.Chdir(p.Dir); err != nil {
		return err
	}
	if err := proc.KeepOrphans(); err != nil {
		return fmt.Errorf("descendants: %w", err)
	}
	return fmt.Errorf("%s: %w", p.Argv[0], syscall.Exec(p.Argv[0], p.Argv, p.Env))
}

// runner owns the processes of a machine: it starts programs as process groups,
// watches their memory and ends them whole.
type runner struct {
	dir         string // of the machine
	taskCommand []string
	log         *slog.Logger
	// exited is called when all processes of an attempt are gone.
	exited func(k TaskAttempt, code int, memory bool)
	// needsFolder tells of attempts whose folders are still needed; nil: none are.
	needsFolder func(k TaskAttempt) bool

	mu        sync.Mutex
	tasks     map[TaskAttempt]*task
	epoch     uint64     // whose tasks may be started
	starting  int        // being started
	decreased *sync.Cond // tells that there are fewer of tasks or starting; nil before anyone waits
}

var errWrongEpoch = errors.New("its session is over")

type task struct {
	id             proc.ID
	memoryLimit    uint64 // bytes; 0: no limit
	memoryExceeded bool   // ended for its memory
}

func (r *runner) folder(k TaskAttempt) string { return filepath.Join(r.dir, tasksDir, k.String()) }

func (r *runner) processMarker(k TaskAttempt) string { return r.dir + "/" + k.String() }

// setEpoch allows the tasks of an agent epoch to be started, and of no other.
func (r *runner) setEpoch(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch = epoch
}

// start starts a program. Its output goes to files, so that what it wrote
// outlives it and the agent.
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
	cmd := exec.Command(r.taskCommand[0], append(r.taskCommand[1:len(r.taskCommand):len(r.taskCommand)], path)...)
	cmd.Env = append(os.Environ(), proc.MarkEnv+"="+r.processMarker(k))
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, out, errs
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	t := &task{memoryLimit: uint64(ramGB * (1 << 30))}
	t.id, err = proc.Start(cmd, proc.Record(filepath.Join(dir, procFile)))
	return t, cmd, err
}

// wait waits until a program has ended, and ends what it left behind.
func (r *runner) wait(k TaskAttempt, t *task, cmd *exec.Cmd) {
	if err := proc.AwaitEnd(t.id.PID); err != nil {
		r.log.Error("a program's end can't be waited for", "task", k.String(), "error", err)
	}
	// The program is not waited for before all is gone: until then its group's number
	// means its group.
	log := r.log.With("task", k.String())
	endUntilGone(proc.Owner{Mark: r.processMarker(k), Leaders: []proc.ID{t.id}, Since: t.id.Start}, log)
	// A program keeps its orphans while it runs, so those that the agent was handed are of
	// programs that have ended, this one or another.
	retryUntilGone(log, proc.EndOrphans)
	code := exitCode(cmd.Wait())
	r.mu.Lock()
	delete(r.tasks, k)
	memory := t.memoryExceeded
	r.signalDecrease()
	r.mu.Unlock()
	r.exited(k, code, memory)
}

// exitCode is how a program ended; -1 if it was ended by a signal.
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

// kill ends an attempt whole. Its end is announced by exited.
func (r *runner) kill(k TaskAttempt) { r.signal(k, syscall.SIGKILL) }

// checkMemory ends the attempts that hold more memory than they asked for, and
// returns what all hold.
func (r *runner) checkMemory() (total proc.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tasks) == 0 {
		return total
	}
	groups := proc.Groups()
	for k, t := range r.tasks {
		u := groups[t.id.PID]
		total.RSS, total.CPU, total.Members = total.RSS+u.RSS, total.CPU+u.CPU, total.Members+u.Members
		if t.memoryLimit > 0 && u.RSS > t.memoryLimit && !t.memoryExceeded {
			t.memoryExceeded = true
			r.log.Info("task ended for its memory", "task", k.String(), "resident_bytes", u.RSS, "limit_bytes", t.memoryLimit)
			_ = proc.KillGroup(t.id, syscall.SIGKILL)
		}
	}
	return total
}

// endAll ends everything on the machine, also what an earlier agent started.
// Nothing is started from then on, until open allows it.
func (r *runner) endAll() {
	r.setEpoch(0)
	r.awaitCondition(func() bool { return r.starting == 0 })
	endUntilGone(taskOwner(r.dir, r.log), r.log)
	r.awaitCondition(func() bool { return len(r.tasks) == 0 })
}

// awaitCondition waits until a condition on tasks or starting holds.
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

// signalDecrease wakes who waits in awaitFewer; the lock is held.
func (r *runner) signalDecrease() {
	if r.decreased != nil {
		r.decreased.Broadcast()
	}
}

// prune removes the oldest folders of attempts that are over.
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
	var over []old
	for _, d := range dirs {
		k, ok := parseTaskAttempt(d.Name())
		r.mu.Lock()
		_, live := r.tasks[k]
		r.mu.Unlock()
		if info, err := os.Stat(filepath.Join(root, d.Name(), execFile)); ok && !live && err == nil && (r.needsFolder == nil || !r.needsFolder(k)) {
			over = append(over, old{d.Name(), info.ModTime()})
		}
	}
	sort.Slice(over, func(i, j int) bool { return over[i].at.Before(over[j].at) })
	for i := 0; i < len(over) && len(dirs)-i > maxKeptFolders; i++ {
		_ = os.RemoveAll(filepath.Join(root, over[i].name))
	}
}

// parseTaskAttempt undoes TaskAttempt.String.
func parseTaskAttempt(s string) (TaskAttempt, bool) {
	f := strings.Split(s, ".")
	if len(f) != 3 {
		return TaskAttempt{}, false
	}
	index, err1 := strconv.Atoi(f[1])
	attempt, err2 := strconv.Atoi(f[2])
	return TaskAttempt{f[0], index, attempt}, err1 == nil && err2 == nil
}

// exists tells whether there is a file.
func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, fs.ErrNotExist)
}
