package proc

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Flags of a process in /proc/PID/stat (include/linux/sched.h).
const (
	flagExiting      = 0x00000004 // PF_EXITING
	flagKernelThread = 0x00200000 // PF_KTHREAD
)

// Fields of /proc/PID/stat after the name in brackets, counted from zero (proc(5) counts
// the PID as field 1 and the state as field 3).
const (
	fieldState    = 0
	fieldParent   = 1
	fieldGroup    = 2
	fieldFlags    = 6
	fieldUser     = 11
	fieldSystem   = 12
	fieldThreads  = 17
	fieldStart    = 19
	fieldResident = 21
	fieldEndCode  = 24
	fieldEnvStart = 47
	fieldEnvEnd   = 48
)

var errStat = errors.New("unreadable state")

// stat holds the fields of /proc/PID/stat of a process, or of one of its threads.
type stat struct {
	state    byte
	parent   int
	group    int
	flags    uint64
	threads  int
	start    uint64        // ticks since the boot
	cpu      time.Duration // processor time
	resident uint64        // pages
	// Memory addresses of the end of the program's code and of the start and end of its
	// environment; 0 while there is none. When the kernel replaces a program, it writes the
	// end of the code last.
	endCode, envStart, envEnd uint64
}

// withoutEnvironment reports whether the process was started with an empty environment. The
// environment's start and end are also equal while a program is being replaced, so the end of
// the code must be set as well.
func (s stat) withoutEnvironment() bool {
	return s.endCode != 0 && s.envStart != 0 && s.envStart == s.envEnd
}

// ended reports whether all threads of the process have ended. The state alone is not enough:
// a process whose main thread has ended is shown as a zombie while its other threads run.
func (s stat) ended() bool {
	return s.state == 'X' || s.state == 'Z' && s.threads <= 1
}

func readStat(pid int) (stat, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return stat{}, err
	}
	s, err := parseStat(raw)
	if err != nil {
		return stat{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return s, nil
}

func parseStat(raw []byte) (stat, error) {
	// The name is in brackets and may contain any character, including brackets.
	name := bytes.LastIndexByte(raw, ')')
	fields := strings.Fields(string(raw[name+1:]))
	if name < 0 || len(fields) <= fieldEnvEnd {
		return stat{}, errStat
	}
	var errs []error
	number := func(field int) uint64 {
		n, err := strconv.ParseUint(fields[field], 10, 64)
		errs = append(errs, err)
		return n
	}
	const tick = time.Second / 100
	s := stat{
		state:    fields[fieldState][0],
		parent:   int(number(fieldParent)),
		group:    int(number(fieldGroup)),
		flags:    number(fieldFlags),
		threads:  int(number(fieldThreads)),
		start:    number(fieldStart),
		cpu:      time.Duration(number(fieldUser)+number(fieldSystem)) * tick,
		resident: number(fieldResident),
		endCode:  number(fieldEndCode),
		envStart: number(fieldEnvStart),
		envEnd:   number(fieldEnvEnd),
	}
	return s, errors.Join(errs...)
}

// listPIDs lists the PIDs of all processes except this one.
func listPIDs() ([]int, error) {
	dir, err := os.Open("/proc")
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	var out []int
	for _, name := range names {
		if pid, err := strconv.Atoi(name); err == nil && pid != os.Getpid() {
			out = append(out, pid)
		}
	}
	return out, nil
}

// newestPID returns the number that the kernel assigned last, to a process or a thread.
func newestPID() (int, error) {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 5 {
		return 0, errors.New("/proc/loadavg: does not name the newest process")
	}
	return strconv.Atoi(fields[4])
}
