package proc

import (
	"os"
	"syscall"
	"time"
)

// KillGroup sends a signal to a process group whose leader is there, if only as
// one that has ended and was not waited for. Without its leader the number may
// have come to mean another group: what is left of it is found by its mark.
func KillGroup(leader ID, sig syscall.Signal) error {
	if leader.PID <= 1 || !leader.exists() {
		return nil
	}
	return ignoreGone(syscall.Kill(-leader.PID, sig))
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
	pids, err := listPIDs()
	if err != nil {
		return out
	}
	for _, pid := range pids {
		s, err := readStat(pid)
		if err != nil {
			continue // it has ended meanwhile
		}
		usage := out[s.group]
		usage.RSS += s.resident * page
		usage.CPU += s.cpu
		usage.Members++
		out[s.group] = usage
	}
	return out
}
