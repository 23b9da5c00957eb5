package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// fetchDescription requests a job's description from one controller after the other,
// beginning with the one that the worker sends heartbeats to. asked is the number of
// controllers that were asked before.
func (a *Agent) fetchDescription(id string, asked int) {
	n := len(a.cfg.Controllers)
	controller := a.cfg.Controllers[(a.worker.heartbeats.controller+asked)%n]
	a.pool.Start(transport.Call{Addr: controller.Address, Method: http.MethodGet,
		Target: protocol.PathJobs + "/" + id + "/" + protocol.PathDescription, Timeout: answerTimeout,
		Done: func(r *transport.Response, _ bool, err error) {
			var d protocol.JobDescription
			switch {
			case err == nil && r.Status == http.StatusOK && protocol.Decode(r.Body, &d) == nil:
				a.step(func() Effects { return a.worker.DescriptionFetched(a.clock(), id, &d, false) })
			case err == nil && r.Status == http.StatusNotFound:
				a.step(func() Effects { return a.worker.DescriptionFetched(a.clock(), id, nil, true) })
			case asked+1 < n:
				a.mu.Lock()
				defer a.mu.Unlock()
				if !a.shutdown.begun {
					a.fetchDescription(id, asked+1)
				}
			default:
				a.log.Info("no controller has returned the job's description; retrying", "job", id)
				time.AfterFunc(seconds(a.cfg.Workers.Heartbeat/4), func() {
					a.step(func() Effects { return a.worker.DescriptionFetched(a.clock(), id, nil, false) })
				})
			}
		}})
}

// startTask starts an attempt's program, unless the task has already been done.
func (a *Agent) startTask(epoch uint64, k TaskAttempt, d *protocol.JobDescription) {
	if d == nil {
		return
	}
	if d.Shape == job.Array && a.shared.done(k.Job, k.Index) {
		a.log.Info("the task was already done", "task", k.TaskName(), "attempt", k.Attempt)
		a.programEnded(k, Exit{})
		return
	}
	p, err := a.taskProgram(k, d)
	if err == nil {
		a.outputs.begin(k, d)
		err = a.runner.start(epoch, k, p, d.MemoryGB)
	}
	if errors.Is(err, errWrongEpoch) {
		a.outputs.ended(k, "its session was over", -1)
		return
	}
	if err != nil {
		a.log.Error("a task can't be started", "task", k.TaskName(), "attempt", k.Attempt, "error", err)
		_ = os.WriteFile(filepath.Join(a.runner.folder(k), stderr), []byte("silvergate: "+err.Error()+"\n"), 0o600)
		a.programEnded(k, Exit{Code: -1})
		return
	}
	a.log.Info("started", "task", k.TaskName(), "attempt", k.Attempt, "command", p.Argv[0])
	// A kill that arrived while the process was being started found no process to signal.
	a.mu.Lock()
	task := a.worker.tasks[k]
	late := task == nil || task.phase != running
	a.mu.Unlock()
	if late {
		a.runner.kill(k)
	}
}

// taskProgram creates an attempt's folder, in which its inputs may be already, and returns the
// program to run in it.
func (a *Agent) taskProgram(k TaskAttempt, d *protocol.JobDescription) (p program, err error) {
	folder, image, ok := a.images.folder(d.Image)
	if !ok {
		return p, errors.New("its image was evicted")
	}
	dir := a.runner.folder(k)
	p.Dir = filepath.Join(dir, workDir)
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return p, err
	}
	x := d.Extra
	if x == nil {
		x = &job.Extra{}
	}
	if len(x.Inputs) != len(d.Inputs) {
		return p, errNoStore // the controller knows no data sets: nothing was prepared
	}
	command := x.Command
	if len(command) == 0 {
		command = image.Command
	}
	if len(command) == 0 {
		return p, fmt.Errorf("neither the job nor its image %s has a command", d.Image)
	}
	p.Argv = append([]string(nil), command...)
	if p.Argv[0], err = findProgram(command[0], folder); err != nil {
		return p, err
	}
	p.Nice, p.Files = a.cfg.Nice.forPriority(d.Priority), a.cfg.OpenFiles
	env := map[string]string{"PATH": os.Getenv("PATH"), "HOME": p.Dir, "LANG": "C.UTF-8"}
	for _, v := range a.cfg.Environment {
		name, value, _ := strings.Cut(v, "=")
		env[name] = value
	}
	for name, value := range x.Env {
		env[name] = value
	}
	reserved := map[string]string{"JOB": k.Job, "TASK": strconv.Itoa(k.Index), "TRY": strconv.Itoa(k.Attempt), "LOADS": strconv.Itoa(d.Tasks),
		"IMAGE": folder, "MACHINE": a.cfg.Worker, "ZONE": a.cfg.Zone, "CPUS": fmt.Sprint(d.CPUs), "ACCELERATORS": fmt.Sprint(d.GPUs), "RAM_GB": fmt.Sprint(d.MemoryGB)}
	if d.CheckpointIntervalS > 0 && a.cfg.SharedDir != "" {
		if reserved["CHECKPOINTS"], err = a.shared.prepare(k.Job, k.Index); err != nil {
			return p, err
		}
		if n := a.shared.resume(k.Job, k.Index, d.Tasks, d.Shape == job.Gang); n > 0 {
			reserved["RESUME"] = strconv.Itoa(n)
		}
	}
	for name, value := range reserved {
		env[protocol.ReservedEnv+name] = value
	}
	env[proc.MarkEnv] = a.runner.processMarker(k)
	for _, name := range slices.Sorted(maps.Keys(env)) {
		p.Env = append(p.Env, name+"="+env[name])
	}
	return p, nil
}

// findProgram returns the path of a program, which it looks up in the image first and then in the agent's
// PATH.
func findProgram(name, image string) (string, error) {
	if filepath.IsAbs(name) {
		return name, nil
	}
	if image != "" && filepath.IsLocal(name) {
		for _, p := range []string{filepath.Join(image, name), filepath.Join(image, "bin", name)} {
			if info, err := os.Stat(p); err == nil && !info.IsDir() {
				return p, nil
			}
		}
	}
	if strings.Contains(name, "/") {
		return "", fmt.Errorf("%s: not in the image", name)
	}
	return exec.LookPath(name)
}

// taskExited handles the end of all processes of an attempt: it determines how the program ended,
// and stores that an array's task is done.
func (a *Agent) taskExited(k TaskAttempt, code int, memoryExceeded bool) {
	a.mu.Lock()
	d, lastCheckpoint := a.worker.Description(k.Job), a.attempts.lastCheckpoints[k]
	a.mu.Unlock()
	x := Exit{Code: code, Saved: a.shared.dir != "" && a.shared.last(k.Job, k.Index) > lastCheckpoint}
	if memoryExceeded {
		x.Code = -1
	}
	if d != nil && d.Shape == job.Array && x.Code == 0 && a.shared.dir != "" {
		// The result is durable before it is reported: otherwise the task would run
		// again if a heartbeat were lost.
		if a.isRunning(k) {
			if err := a.shared.complete(k.Job, k.Index); err != nil {
				a.log.Error("the result of a task can't be stored", "task", k.TaskName(), "error", err)
			}
		}
	}
	a.programEnded(k, x)
}

// isRunning reports whether an attempt is in phase running, that is, was not asked to stop.
func (a *Agent) isRunning(k TaskAttempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	task := a.worker.tasks[k]
	return task != nil && task.phase == running
}

func (a *Agent) programEnded(k TaskAttempt, x Exit) {
	cause := "the lease was over"
	defer func() { a.outputs.ended(k, cause, x.Code) }()
	a.step(func() Effects {
		e := a.worker.Exited(a.clock(), k, x)
		if task := a.worker.tasks[k]; task != nil && task.phase == ended {
			a.stats.TaskEnds[task.cause]++
			cause = task.cause
			a.log.Info("ended", "task", k.TaskName(), "attempt", k.Attempt, "cause", task.cause, "code", x.Code, "saved", task.checkpointed)
		}
		return e
	})
}

// askGangMembers queries the states of a gang's other tasks from their agents.
func (a *Agent) askGangMembers(k TaskAttempt, d *protocol.JobDescription) {
	if d == nil {
		return
	}
	a.mu.Lock()
	members := a.attempts.gangMembers[k]
	controller := a.cfg.Controllers[a.worker.heartbeats.controller]
	states := a.worker.GangStates(k.Job, k.Attempt)
	a.mu.Unlock()
	path := fmt.Sprintf("%s/%s/%s/%d", protocol.PathJobs, k.Job, protocol.PathGang, k.Attempt)
	timeout := seconds(a.cfg.Workers.GangPeer / 2)
	// Until this attempt runs, its gang can still get a task on another machine.
	if len(members) < d.Tasks || !a.isRunning(k) {
		if r, _, err := a.pool.Do(controller.Address, http.MethodGet, path, nil, timeout); err == nil && r.Status == http.StatusOK {
			var p protocol.GangMembers
			if protocol.Decode(r.Body, &p) == nil && len(p.Members) >= len(members) {
				members = p.Members
			}
		}
	}
	addresses := map[string]bool{}
	for _, p := range members {
		if p.Machine != a.cfg.Worker && p.Address != "" {
			addresses[p.Address] = true
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for address := range addresses {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r, _, err := a.pool.Do(address, http.MethodGet, fmt.Sprintf("%s%s/%d", pathGang, k.Job, k.Attempt), nil, timeout)
			if err != nil || r.Status != http.StatusOK {
				return
			}
			var peerStates map[int]string
			if json.Unmarshal(r.Body, &peerStates) == nil {
				mu.Lock()
				defer mu.Unlock()
				for i, s := range peerStates {
					states[i] = s
				}
			}
		}()
	}
	wait.Wait()
	a.step(func() Effects {
		a.attempts.gangMembers[k] = members
		return a.worker.GangStatesReceived(a.clock(), k, states)
	})
}

// pathGang is the path prefix of the requests by which agents query one another about an attempt
// of a gang.
const pathGang = "/gang/"
