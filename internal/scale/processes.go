package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ProcessResult is what one process of a run has used.
type ProcessResult struct {
	Name            string  `json:"name"`
	CPUS            float64 `json:"cpuS"`
	CoreMs          float64 `json:"coreMs"` // processor time for each second that it was up, in ms
	PeakMB          float64 `json:"peakMb"`
	UnexpectedExits int     `json:"ended"` // how often the process ended by itself
	Killed          int     `json:"killed"`
	uptimeS         float64
}

// process is one of the processes of a run. It may be started several times.
type process struct {
	name string
	args []string

	mu         sync.Mutex
	cmd        *exec.Cmd
	result     ProcessResult
	earlierCPU time.Duration // processor time of all starts before the latest
	lastUsage  usage
	startedAt  time.Time
	shouldRun  bool
	exited     chan struct{}
	exitErr    error
}

// addProcess adds a process to the run and starts it. Its output goes to a log file in the
// cell's folder.
func (r *run) addProcess(c *cellLayout, name string, args ...string) error {
	p := &process{name: name, args: args}
	p.result.Name = name
	r.processes = append(r.processes, p)
	return r.launch(p, r.cellDir(c))
}

func (r *run) launch(p *process, dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.Executable, p.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.startedAt, p.shouldRun, p.exited = cmd, time.Now(), true, make(chan struct{})
	exited := p.exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return p.cmd != nil
	}
}

// measure records what the process has used and returns its resident memory in bytes.
func (p *process) measure() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	u, ok := readUsage(p.cmd.Process.Pid)
	if !ok || u.rss == 0 {
		return 0
	}
	p.lastUsage = u
	p.result.PeakMB = max(p.result.PeakMB, float64(u.rss)/(1<<20))
	return u.rss
}

// accumulateUsage adds the last measured processor time and the uptime of a process that has
// ended to its totals.
func (p *process) accumulateUsage() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlierCPU += p.lastUsage.cpu
	p.result.uptimeS += time.Since(p.startedAt).Seconds()
	p.lastUsage = usage{}
	p.cmd = nil
}

// end ends a process: it sends the signal, waits up to endTimeout, and then sends SIGKILL to
// the process group. restartControllers does not start the process again.
func (p *process) end(signal syscall.Signal) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.shouldRun = false
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = syscall.Kill(cmd.Process.Pid, signal)
	select {
	case <-exited:
	case <-time.After(endTimeout):
	}
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	<-exited
	p.accumulateUsage()
}

// endAll ends all processes: the cell processes first, since they end their own real agents.
func (r *run) endAll() {
	var wait sync.WaitGroup
	for _, first := range []bool{true, false} {
		for _, p := range r.processes {
			if strings.HasPrefix(p.name, "cell-") == first {
				wait.Add(1)
				go func() {
					defer wait.Done()
					p.end(syscall.SIGTERM)
				}()
			}
		}
		wait.Wait()
	}
}
