package load

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"silvergate/internal/proc"
)

// process is a process that a bench started.
type process struct {
	cmd *exec.Cmd
	id  proc.ID
}

// startProcess starts the silvergate program with arguments, and writes its output into a
// log file with the given name.
func startProcess(o Options, name string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(o.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(o.Executable, args...)}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	p.id, err = proc.Start(p.cmd, func(proc.ID) error { return nil })
	return p, err
}

// stop sends a signal and waits for the process to end. It does nothing if the process was
// already stopped or p is nil.
func (p *process) stop(sig syscall.Signal) {
	if p != nil && p.cmd != nil {
		_ = p.id.Signal(sig)
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// usage returns the process's CPU time and its resident memory in bytes, or zeros if
// they can't be read.
func (p *process) usage() (cpu time.Duration, rss int64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.id.PID))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, pages * int64(os.Getpagesize())
}
