package proc

import (
	"os"
	"syscall"
	"time"
)

// KillGroup sends a signal to a process group if its leader still exists, at least as a
// zombie. Once the leader is gone, the group's number may belong to another group, so
// nothing is sent; the remaining members can be found by their mark.
func KillGroup(leader ID, sig syscall.Signal) error {
	if leader.PID <= 1 || !leader.exists() {
		return nil
	}
	return ignoreGone(syscall.Kill(-leader.PID, sig))
}

// Usage is the memory, processor time and number of processes of a process group.
type Usage struct {
	RSS     uint64        // resident memory in bytes
	CPU     time.Duration // processor time of the processes that still run
	Members int
}

// UsageByGroup returns the usage of every process group by its number, from one scan of /proc.
func UsageByGroup() map[int]Usage {
	out := map[int]Usage{}
	page := uint64(os.Getpagesize())
	pids, err := listPIDs()
	if err != nil {
		return out
	}
	for _, pid := range pids {
		s, err := readStat(pid)
		if err != nil {
			continue // the process has ended meanwhile
		}
		usage := out[s.group]
		usage.RSS += s.resident * page
		usage.CPU += s.cpu
		usage.Members++
		out[s.group] = usage
	}
	return out
}
