package scale

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// endTimeout is how long a process may take to end after a signal before SIGKILL.
const endTimeout = 3 * time.Second

// endProcess ends a process and its process group. It sends SIGTERM to the process, waits up
// to endTimeout, and then sends SIGKILL to the group.
func endProcess(cmd *exec.Cmd) {
	if cmd.Process == nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	_ = syscall.Kill(cmd.Process.Pid, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(endTimeout):
	}
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	<-ended
}

// usage is the processor time that a process has used so far, and its resident memory.
type usage struct {
	cpu time.Duration
	rss uint64 // bytes
}

// ticksPerSecond is the unit of processor time in /proc (USER_HZ).
const ticksPerSecond = 100

// readUsage reads the usage of a process from /proc. ok is false if the process is gone.
func readUsage(pid int) (u usage, ok bool) {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return u, false
	}
	_, rest, found := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 11, 12, 21 // field indexes after the process name, see proc(5)
	if !found || len(fields) <= pages {
		return u, false
	}
	number := func(i int) uint64 {
		v, _ := strconv.ParseUint(fields[i], 10, 64)
		return v
	}
	u.cpu = time.Duration(number(user)+number(system)) * time.Second / ticksPerSecond
	u.rss = number(pages) * uint64(os.Getpagesize())
	return u, true
}

// totalMemory returns the machine's memory in bytes, or 0 if it can't be read.
func totalMemory() uint64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for entry := range strings.Lines(string(raw)) {
		if rest, found := strings.CutPrefix(entry, "MemTotal:"); found {
			kb, _ := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
