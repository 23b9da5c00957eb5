// Package proc starts processes that can be found again after whoever started
// them was killed, and ends them whole.
//
// A process is known by its number, its start time and the boot it belongs to,
// never by its name. It is started held: it runs nothing of its own until its
// starter has written down who it is, and ends by itself if the starter dies
// before. What a process starts is found by a mark in its environment. Linux
// only: it reads /proc.
package proc

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ID names a process for ever.
type ID struct {
	PID   int    `json:"pid"`
	Start uint64 `json:"start"` // ticks since the boot
	Boot  string `json:"boot"`
}

var boot = sync.OnceValue(func() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
})

// stat is what /proc says of a process.
type stat struct {
	state byte
	ppid  int
	group int
	start uint64
}

func readStat(pid int) (stat, error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return stat{}, err
	}
	// The name is in brackets and may hold anything, brackets too.
	i := bytes.LastIndexByte(b, ')')
	f := strings.Fields(string(b[i+1:]))
	if i < 0 || len(f) < 20 {
		return stat{}, fmt.Errorf("process %d: unreadable state", pid)
	}
	s := stat{state: f[0][0]}
	s.ppid, _ = strconv.Atoi(f[1])
	s.group, _ = strconv.Atoi(f[2])
	s.start, err = strconv.ParseUint(f[19], 10, 64)
	return s, err
}

// Identify tells who runs under a number now.
func Identify(pid int) (ID, error) {
	s, err := readStat(pid)
	return ID{pid, s.start, boot()}, err
}

// Alive tells whether the process still runs. One that has ended and was not
// waited for does not.
func (id ID) Alive() bool {
	if id.PID <= 0 || id.Boot != boot() {
		return false
	}
	s, err := readStat(id.PID)
	return err == nil && s.start == id.Start && s.state != 'Z' && s.state != 'X'
}

// Signal sends a signal to the process, and does nothing if it is gone.
func (id ID) Signal(sig syscall.Signal) error {
	if id.PID <= 0 || id.Boot != boot() {
		return nil
	}
	// A descriptor of the process can't come to mean another one between the
	// look at its start time and the signal.
	fd, err := unix.PidfdOpen(id.PID, 0)
	if err != nil {
		if errors.Is(err, unix.ESRCH) || errors.Is(err, unix.EINVAL) {
			return nil
		}
		if !id.Alive() {
			return nil
		}
		return ignoreGone(syscall.Kill(id.PID, sig))
	}
	defer unix.Close(fd)
	if !id.Alive() {
		return nil
	}
	return ignoreGone(unix.PidfdSendSignal(fd, sig, nil, 0))
}

func ignoreGone(err error) error {
	if errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return err
}

// holdFD is where a held process waits for its starter's word.
const holdFD = 3

// holdEnv tells a process that it is held.
const holdEnv = "SILVERGATE_HELD"

// Start starts a command held. keep is called with its identity and must write
// it down; if it fails, or this process dies meanwhile, the command ends
// without having done anything. The command must call Hold first.
func Start(cmd *exec.Cmd, keep func(ID) error) (ID, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return ID{}, err
	}
	defer w.Close()
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, holdEnv+"=1")
	cmd.ExtraFiles = append([]*os.File{r}, cmd.ExtraFiles...)
	err = cmd.Start()
	r.Close()
	if err != nil {
		return ID{}, err
	}
	id, err := Identify(cmd.Process.Pid)
	if err == nil && keep != nil {
		err = keep(id)
	}
	if err == nil {
		_, err = w.Write([]byte{1})
	}
	if err != nil {
		w.Close() // lets it end
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return ID{}, err
	}
	return id, nil
}

// Hold waits for the word of a starter, in a process that was started held; in
// any other it returns at once. It returns an error when the starter is gone.
func Hold() error {
	if os.Getenv(holdEnv) == "" {
		return nil
	}
	if err := os.Unsetenv(holdEnv); err != nil {
		return err
	}
	f := os.NewFile(holdFD, "starter")
	defer f.Close()
	if n, err := f.Read(make([]byte, 1)); n != 1 {
		return fmt.Errorf("the starting process is gone: %w", err)
	}
	return nil
}

// MarkEnv is the variable that marks all that belongs to something, so that it
// can be found when its process group can't tell.
const MarkEnv = "SILVERGATE_MARK"

// marked lists the processes whose environment carries a mark, or one that
// begins with it and goes on with a slash.
func marked(mark string) []int {
	var out []int
	for _, pid := range pids() {
		b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/environ")
		if err != nil {
			continue
		}
		for _, v := range bytes.Split(b, []byte{0}) {
			m, ok := strings.CutPrefix(string(v), MarkEnv+"=")
			if ok && (m == mark || strings.HasPrefix(m, mark+"/")) {
				out = append(out, pid)
			}
		}
	}
	return out
}

// CountMarked tells how many processes carry a mark, or one below it, and have not ended.
func CountMarked(mark string) (n int) {
	for _, pid := range marked(mark) {
		if id, err := Identify(pid); err == nil && id.Alive() {
			n++
		}
	}
	return n
}

func pids() []int {
	d, err := os.Open("/proc")
	if err != nil {
		return nil
	}
	defer d.Close()
	names, _ := d.Readdirnames(-1)
	var out []int
	for _, n := range names {
		if pid, err := strconv.Atoi(n); err == nil && pid != os.Getpid() {
			out = append(out, pid)
		}
	}
	return out
}

// KillMarked ends all processes that carry a mark, or one below it, and waits
// until they are gone, but no longer than patience. It returns how many are
// left.
func KillMarked(mark string, patience time.Duration) (left int) {
	until := time.Now().Add(patience)
	for {
		left = 0
		for _, pid := range marked(mark) {
			id, err := Identify(pid)
			if err != nil || !id.Alive() {
				continue
			}
			left++
			_ = id.Signal(syscall.SIGKILL)
		}
		if left == 0 || time.Now().After(until) {
			return left
		}
		time.Sleep(patience / 200)
	}
}

// KillGroup sends a signal to a process group whose leader is there, if only as
// one that has ended and was not waited for. Without its leader the number may
// have come to mean another group: what is left of it is found by its mark.
func KillGroup(leader ID, sig syscall.Signal) error {
	if leader.PID <= 1 || leader.Boot != boot() {
		return nil
	}
	if s, err := readStat(leader.PID); err != nil || s.start != leader.Start {
		return nil
	}
	return ignoreGone(syscall.Kill(-leader.PID, sig))
}

// AwaitEnd returns when a child has ended, without taking its end: it stays
// there, and its group's number with it, until it is waited for.
func AwaitEnd(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// Usage is what process groups hold and have used.
type Usage struct {
	RSS     uint64        // bytes of memory that are resident
	CPU     time.Duration // processor time of the processes that still run
	Members int
}

// Groups sums up the resident memory of process groups in one look at /proc.
func Groups() map[int]Usage {
	out := map[int]Usage{}
	page := uint64(os.Getpagesize())
	for _, pid := range pids() {
		b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
		if err != nil {
			continue
		}
		i := bytes.LastIndexByte(b, ')')
		f := strings.Fields(string(b[i+1:]))
		if i < 0 || len(f) < 22 {
			continue
		}
		group, _ := strconv.Atoi(f[2])
		user, _ := strconv.ParseUint(f[11], 10, 64)
		system, _ := strconv.ParseUint(f[12], 10, 64)
		rss, _ := strconv.ParseUint(f[21], 10, 64)
		u := out[group]
		u.RSS += rss * page
		u.CPU += time.Duration(user+system) * (time.Second / 100)
		u.Members++
		out[group] = u
	}
	return out
}
