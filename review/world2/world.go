//go:build review

// Command world plays the platform, the clients and the servers of a small deployment for the
// cases of the review, around the project's own controllers.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

type facts struct {
	Count      int      `json:"count"`
	Zones      []string `json:"zones"`
	Teams      []team   `json:"teams"`
	Objectives []any    `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	} `json:"workers"`
	State struct {
		RPS      float64 `json:"rps"`
		WriteRPS float64 `json:"write_rps"`
		ValueKB  float64 `json:"value_kb"`
		TxnOps   int     `json:"txn_ops"`
	} `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Limits struct {
		CPU        float64 `json:"cpu"`
		RAMMB      float64 `json:"ram_mb"`
		MaxSockets int     `json:"max_sockets"`
	} `json:"limits"`
	TimeBoundMS float64 `json:"time_bound_ms"`
}

// Job is a job as its user submits it.
type Job struct {
	Ref          string   `json:"ref"`
	Jobclass     string   `json:"jobclass"`
	Crew         string   `json:"crew"`
	Shape        string   `json:"shape"`
	Urgency      string   `json:"urgency"`
	Loads        int      `json:"loads"`
	CPUs         float64  `json:"cpus"`
	Accelerators float64  `json:"accelerators"`
	RAMGb        float64  `json:"ramGb"`
	Kit          string   `json:"kit"`
	SizeGb       float64  `json:"sizeGb"`
	Rigs         []string `json:"rigs"`
	Depot        *string  `json:"depot"`
	OneZone      bool     `json:"oneZone"`
	Apart        bool     `json:"apart"`
	Casual       bool     `json:"casual"`
	EtaS         float64  `json:"etaS"`
	WaypointS    float64  `json:"waypointS"`
	StowS        float64  `json:"stowS"`
	DueS         *float64 `json:"dueS"`
	RunS         float64  `json:"-"`
}

// Node is a controller.
type Node struct {
	Name, Bind, Back, Zone, settings string
	mu                               sync.Mutex
	cmd                              *exec.Cmd
	ended                            chan struct{}
	MemoryKills                      int
	MaxMB                            float64
	Starts                           int
}

// World is a deployment.
type World struct {
	dir    string
	facts  *facts
	state  *StateService
	cloud  *Cloud
	nodes  []*Node
	record *os.File
	start  time.Time

	mu            sync.Mutex
	jobs          map[string]*Job
	on            map[string]string // task -> machine that it is on
	done          map[string]int    // job -> tasks that have completed
	doneTask      map[string]bool
	started       map[string]int // job -> starts
	broken        []string
	refusals      map[int]int
	killed        atomic.Int64
	gangs         map[string]map[string]bool // by job and attempt, the tasks that wait or run
	gangStarted   map[string]bool
	gangDone      map[string]bool
	gangBroken    map[string]time.Time // when a running gang lost a task
	largestGang   int
	largestReport int
	largestAnswer int
	closing       atomic.Bool
}

func (w *World) seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Log writes a line to the record.
func (w *World) Log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.WriteString(line)
}

// Break notes that a rule is broken.
func (w *World) Break(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.broken = append(w.broken, s)
	w.mu.Unlock()
	w.Log("RULE BROKEN: %s", s)
}

// TaskOn notes that a task begins to be on a machine.
func (w *World) TaskOn(load string, try int, k *Worker) {
	w.mu.Lock()
	other, was := w.on[load]
	w.on[load] = k.m.Ref
	id, _, _ := strings.Cut(load, "/")
	w.started[id]++
	first := w.started[id] <= 3
	w.mu.Unlock()
	if first {
		w.Log("task %s, try %d, starts on %s", load, try, k.m.Ref)
	}
	if was && other != k.m.Ref {
		w.Break("ran_twice: %s starts on %s while it is on %s", load, k.m.Ref, other)
	}
}

// TaskOff notes that a task is no longer on a machine.
func (w *World) TaskOff(load, machine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.on[load] == machine {
		delete(w.on, load)
	}
}

// TaskDone notes that a task has completed.
func (w *World) TaskDone(load, machine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.doneTask[load] {
		w.doneTask[load] = true
		id, _, _ := strings.Cut(load, "/")
		w.done[id]++
	}
}

// GangWaits notes that a task of a gang waits for the others of its attempt.
func (w *World) GangWaits(load string, try int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(load, "/")
	k := fmt.Sprint(id, "#", try)
	if w.gangs[k] == nil {
		w.gangs[k] = map[string]bool{}
	}
	w.gangs[k][load] = true
	if n := len(w.gangs[k]); n > w.largestGang {
		w.largestGang = n
	}
}

// GangLeft notes that a task of a gang no longer waits or runs.
func (w *World) GangLeft(load string, try int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(load, "/")
	k := fmt.Sprint(id, "#", try)
	switch {
	case !w.gangStarted[k]:
		delete(w.gangs[k], load)
	case !w.gangDone[k] && w.gangBroken[k].IsZero():
		w.gangBroken[k] = time.Now()
	}
}

// GangEnds notes that a task of a gang has completed, and with it all.
func (w *World) GangEnds(j *Job, try int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gangDone[fmt.Sprint(j.Ref, "#", try)] = true
}

// GangDone reports whether a gang has completed.
func (w *World) GangDone(j *Job, try int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.Shape == "ensemble" && w.gangDone[fmt.Sprint(j.Ref, "#", try)]
}

// GangBroken reports whether a running gang has lost a task, and the others have noticed.
func (w *World) GangBroken(j *Job, try int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.gangBroken[fmt.Sprint(j.Ref, "#", try)]
	return j.Shape == "ensemble" && !at.IsZero() && time.Since(at) > w.seconds(w.facts.Workers.GangPeerS/2)
}

// GangComplete reports whether all tasks of a gang's attempt have come together.
func (w *World) GangComplete(j *Job, try int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := fmt.Sprint(j.Ref, "#", try)
	if len(w.gangs[k]) == j.Loads {
		w.gangStarted[k] = true
	}
	return w.gangStarted[k]
}

// IsDone reports whether a task has completed before.
func (w *World) IsDone(load string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doneTask[load]
}

// JobOf returns the description of a task's job, which its user uploads before it submits the job.
func (w *World) JobOf(load string) *Job {
	id, _, _ := strings.Cut(load, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// CountReport counts a report that was not answered with 200.
func (w *World) CountReport(status, size int) {
	w.mu.Lock()
	w.refusals[status]++
	n := w.refusals[status]
	w.mu.Unlock()
	if status != 421 && (n <= 5 || n%50 == 0) {
		w.Log("a report of %d bytes got %d (number %d)", size, status, n)
	}
}

func freePort() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// newWorld makes a deployment of three controllers.
func newWorld(recordPath string, f *facts, types []machineType, capacity map[string]int) *World {
	dir, err := os.MkdirTemp("", "world")
	must(err)
	record, err := os.Create(recordPath)
	must(err)
	w := &World{dir: dir, facts: f, record: record, start: time.Now(), jobs: map[string]*Job{}, on: map[string]string{}, done: map[string]int{},
		doneTask: map[string]bool{}, started: map[string]int{}, refusals: map[int]int{}, gangs: map[string]map[string]bool{}, gangStarted: map[string]bool{}, gangDone: map[string]bool{}, gangBroken: map[string]time.Time{}}
	w.state = startState(f)
	for i := range f.Count {
		w.nodes = append(w.nodes, &Node{Name: fmt.Sprintf("stoker-%d", i), Bind: freePort(), Back: freePort(), Zone: f.Zones[i%len(f.Zones)]})
	}
	w.cloud = startCloud(w, types, capacity)
	for _, n := range w.nodes {
		var peers []any
		for _, p := range w.nodes {
			if p != n {
				peers = append(peers, map[string]any{"node_name": p.Name, "site": p.Zone, "peer_addr": p.Back})
			}
		}
		b, err := json.MarshalIndent(map[string]any{"node_name": n.Name, "site": n.Zone, "bind": n.Bind, "back": n.Back, "peers": peers,
			"outside": map[string]any{"cloud": w.cloud.Addr, "state": w.state.Addr}, "facts": f}, "", " ")
		must(err)
		d := filepath.Join(dir, n.Name)
		must(os.MkdirAll(d, 0o700))
		n.settings = filepath.Join(d, "settings.json")
		must(os.WriteFile(n.settings, b, 0o600))
	}
	return w
}

// StartNode starts a controller as the platform does, and keeps it within its memory.
func (w *World) StartNode(n *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(w.dir, n.Name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	root, err := filepath.Abs(os.Getenv("ROOT"))
	must(err)
	cmd := exec.Command(filepath.Join(root, "target/silvergate"), "--config", n.settings)
	cmd.Dir = root
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+os.Getenv("NODE_LOG"))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	n.Starts++
	n.cmd = cmd
	ended := make(chan struct{})
	n.ended = ended
	w.Log("%s started", n.Name)
	go func() { cmd.Wait(); log.Close(); close(ended); w.Log("%s ended: %v", n.Name, cmd.ProcessState) }()
}

// KillNode kills a controller, with no signal that it could handle.
func (w *World) KillNode(n *Node) {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	cmd.Process.Kill()
	<-ended
}

// memoryMB returns what a process holds: its anonymous memory, without its program's pages.
func memoryMB(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// KeepWithinMemory does what DEPLOY says of memory: a process that exceeds the limit is killed
// and started again, restartS later.
func (w *World) KeepWithinMemory(restartS float64) {
	for _, n := range w.nodes {
		go func() {
			for range time.Tick(100 * time.Millisecond) {
				if w.closing.Load() {
					return
				}
				n.mu.Lock()
				cmd, ended := n.cmd, n.ended
				n.mu.Unlock()
				mb := memoryMB(cmd.Process.Pid)
				n.mu.Lock()
				n.MaxMB = max(n.MaxMB, mb)
				n.mu.Unlock()
				over := mb > w.facts.Limits.RAMMB
				if over {
					w.Log("%s holds %.1f MB of %.0f: killed by the platform", n.Name, mb, w.facts.Limits.RAMMB)
					n.mu.Lock()
					n.MemoryKills++
					n.mu.Unlock()
					cmd.Process.Kill()
				}
				select {
				case <-ended:
					time.Sleep(w.seconds(restartS))
					if !w.closing.Load() {
						w.StartNode(n)
					}
				default:
				}
			}
		}()
	}
}

// Memory returns a line about the memory of all controllers.
func (w *World) Memory() string {
	var parts []string
	for _, n := range w.nodes {
		n.mu.Lock()
		parts = append(parts, fmt.Sprintf("%s %.1f MB now, %.1f MB at most, killed for memory %d times", n.Name, memoryMB(n.cmd.Process.Pid), n.MaxMB, n.MemoryKills))
		n.mu.Unlock()
	}
	return strings.Join(parts, "; ")
}

// Close ends all controllers.
func (w *World) Close() {
	w.closing.Store(true)
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.ended
		}
		n.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

var userClient = func(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// Up returns the nodes that GET /up says can take requests.
func (w *World) Up() (up []*Node) {
	for _, n := range w.nodes {
		if res, err := userClient(time.Second).Get("http://" + n.Bind + "/up"); err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				up = append(up, n)
			}
		}
	}
	return up
}

// AwaitUp waits until n controllers are up.
func (w *World) AwaitUp(n int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if len(w.Up()) >= n {
			return true
		}
	}
	return false
}

// call sends a user's request. As the load balancer does, it tries up to three nodes until one accepts the connection.
func (w *World) call(method, path string, body []byte, timeout time.Duration) (int, map[string]any) {
	at := int(time.Now().UnixNano()/1000) % len(w.nodes)
	for i := range w.nodes {
		n := w.nodes[(at+i)%len(w.nodes)]
		c, err := net.DialTimeout("tcp4", n.Bind, 500*time.Millisecond)
		if err != nil {
			continue
		}
		c.Close()
		req, err := http.NewRequest(method, "http://"+n.Bind+path, bytes.NewReader(body))
		must(err)
		res, err := userClient(timeout).Do(req)
		if err != nil {
			return 0, nil
		}
		raw, _ := io.ReadAll(res.Body)
		res.Body.Close()
		v := map[string]any{}
		json.Unmarshal(raw, &v)
		return res.StatusCode, v
	}
	return 0, nil
}

// Submit submits a job as users do: for up to 60 s. It returns the last status.
func (w *World) Submit(j *Job) int {
	w.mu.Lock()
	w.jobs[j.Ref] = j
	w.mu.Unlock()
	body, err := json.Marshal(j)
	must(err)
	status := 0
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		var v map[string]any
		status, v = w.call("POST", "/v2/runs", body, 5*time.Second)
		if status == 200 || status == 201 || status == 400 || status == 422 {
			w.Log("user: submission of %s (%s, %d tasks) got %d %v", j.Ref, j.Jobclass, j.Loads, status, v)
			return status
		}
	}
	w.Log("user: submission of %s got %d to the end", j.Ref, status)
	return status
}

// Poll asks for a job's status once, and waits 2 s for the answer.
func (w *World) Poll(ref string) (int, string) {
	status, v := w.call("GET", "/v2/runs/"+ref, nil, 2*time.Second)
	s, _ := v["status"].(string)
	return status, s
}

func carbura() *facts {
	f := &facts{Count: 3, Zones: []string{"bacau", "iasi", "suceava"}, TimeBoundMS: 5, Objectives: []any{}}
	for _, t := range []team{{"dispecerat", 0, 0, 8, 50}, {"flota", 0, 0, 16, 50}, {"date", 0, 0, 16, 70}, {"clienti", 0, 0, 16, 40}, {"facturare", 0, 0, 8, 35}} {
		f.Teams = append(f.Teams, t)
	}
	f.Objectives = []any{
		map[string]any{"kind": "wait", "class": "ruteplan", "within_s": 12.0, "share": 0.88},
		map[string]any{"kind": "deadline", "class": "prognoza", "share": 0.93, "times": 1.0},
		map[string]any{"kind": "wait", "class": "antrenare", "within_s": 100.0, "share": 0.8},
		map[string]any{"kind": "guarantee", "within_s": 15.0, "share": 0.92},
	}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.GangWaitS, f.Workers.GangPeerS, f.Workers.CancelS = 3, 18, 35, 4, 48
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 250, 100, 16, 12
	f.Cloud.RPS, f.Cloud.ListLagS = 5, 8
	f.Limits.CPU, f.Limits.RAMMB, f.Limits.MaxSockets = 0.072, 125, 1500
	return f
}

func carburaTypes() ([]machineType, map[string]int) {
	zones := []string{"bacau", "iasi", "suceava"}
	types := []machineType{
		{"stejar", 24, 2, 192, 70, 0.2, 6.79, 2.86, 35, zones},
		{"brad", 64, 8, 256, 70, 0.6, 21.04, 8.43, 50, zones},
	}
	capacity := map[string]int{}
	for _, z := range zones {
		capacity[key("stejar", z, false)], capacity[key("stejar", z, true)] = 5, 2
		capacity[key("brad", z, false)], capacity[key("brad", z, true)] = 2, 1
	}
	return types, capacity
}
