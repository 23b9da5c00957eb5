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

// endTimeout is how long a process that was asked to end may take.
const endTimeout = 3 * time.Second

// endProcess ends a process and its group: by SIGTERM, then by SIGKILL.
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

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	rss uint64 // bytes
}

// ticksPerSecond is the unit of processor time in /proc (USER_HZ).
const ticksPerSecond = 100

// readUsage reads a process's use; ok is false when it is gone.
func readUsage(pid int) (u usage, ok bool) {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return u, false
	}
	_, rest, found := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 11, 12, 21 // after the name, see proc(5)
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

// totalMemory is the machine's, in bytes; 0 if it can't be read.
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
