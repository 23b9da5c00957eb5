package agent

import (
	"archive/tar"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvergate/internal/conformance"
	"silvergate/internal/job"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
)

// TestMain makes the test binary act as the agent's program: tests start it again as a task's
// process, as a watchdog, and as an agent that can be killed.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 {
		var err error
		switch os.Args[1] {
		case "task-exec":
			err = ExecTask(os.Args[2])
		case "agent-watchdog":
			err = Watchdog(os.Args[2], os.Stdin)
		case "soak-task":
			if err = soakTask(os.Args[2], os.Args[3], os.Args[4], os.Args[5]); err == nil {
				os.Exit(0)
			}
		case "agent":
			var cfg Config
			raw, _ := os.ReadFile(os.Args[2])
			if err = json.Unmarshal(raw, &cfg); err == nil {
				var a *Agent
				if a, err = New(cfg, os.Args[0], discardLog); err == nil {
					err = a.Run()
				}
			}
		}
		if os.Args[1] == "task-exec" || os.Args[1] == "agent-watchdog" || os.Args[1] == "agent" || os.Args[1] == "soak-task" {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	// Generated inputs come from a fixed seed, so that results are reproducible.
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// fakeController answers heartbeats with the queued commands, serves job descriptions, and
// records the last heartbeat and the causes of ended attempts.
type fakeController struct {
	t           *testing.T
	srv         *httptest.Server
	mu          sync.Mutex
	commands    []protocol.Command
	jobs        map[string]protocol.JobDescription
	last        protocol.Heartbeat
	causes      map[string]string // by "task#attempt"
	unavailable bool
	onHeartbeat func(r protocol.Heartbeat)
}

func newFakeController(t *testing.T) *fakeController {
	c := &fakeController{t: t, jobs: map[string]protocol.JobDescription{}, causes: map[string]string{}}
	c.srv = httptest.NewServer(http.HandlerFunc(c.serve))
	t.Cleanup(c.srv.Close)
	return c
}

func (c *fakeController) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ref, ok := strings.CutPrefix(r.URL.Path, protocol.PathJobs+"/"); ok {
		if d, ok := c.jobs[strings.TrimSuffix(ref, "/"+protocol.PathDescription)]; ok {
			_ = json.NewEncoder(w).Encode(d)
			return
		}
		w.WriteHeader(404)
		return
	}
	var rep protocol.Heartbeat
	_ = json.NewDecoder(r.Body).Decode(&rep)
	c.last = rep
	if c.onHeartbeat != nil {
		c.onHeartbeat(rep)
	}
	for _, task := range rep.Tasks {
		if task.Status == protocol.TaskEnded {
			cause := task.Cause
			if task.Checkpointed {
				cause += "+saved"
			}
			c.causes[fmt.Sprintf("%s#%d", task.Task, task.Attempt)] = cause
		}
	}
	if c.unavailable {
		w.WriteHeader(503)
		return
	}
	_ = json.NewEncoder(w).Encode(protocol.HeartbeatResponse{FencingToken: 1, Commands: append([]protocol.Command{}, c.commands...)})
	c.commands = nil
}

func (c *fakeController) send(o ...protocol.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, o...)
}

// await waits until a condition holds, and fails the test after 20 seconds without it.
func (c *fakeController) await(what string, ok func() bool) {
	c.t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		holds := ok()
		c.mu.Unlock()
		if holds {
			return
		}
		if time.Now().After(until) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.t.Fatalf("%s: did not happen; causes %v, last heartbeat %+v", what, c.causes, c.last)
		}
	}
}

func (c *fakeController) add(id, script string, change func(*protocol.JobDescription)) {
	d := protocol.JobDescription{ID: id, Shape: job.Array, Tasks: 9, CPUs: 0.1, MemoryGB: 0.5, Image: "sh", Priority: "idle",
		Extra: &job.Extra{Command: []string{"/bin/sh", "-c", script}}}
	if change != nil {
		change(&d)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = d
}

func testConfig(t *testing.T, c *fakeController) Config {
	cfg := DefaultConfig()
	cfg.Worker, cfg.MachineType, cfg.Zone = "i-1", "r", "z"
	cfg.Dir, cfg.SharedDir = filepath.Join(t.TempDir(), "m"), t.TempDir()
	cfg.Controllers = []Controller{{"n", c.srv.Listener.Addr().String()}}
	cfg.Workers = Periods{Heartbeat: 0.6, Lease: 3, GangWait: 5, GangPeer: 1}
	cfg.Resources = Room{CPUs: 8, RAM: 8}
	cfg.Images = []Image{{Name: "sh", Command: []string{"/bin/true"}}}
	return cfg
}

func launch(id string, i int) protocol.Command {
	return protocol.Command{Verb: "launch", Task: job.TaskName(id, i), Attempt: 1}
}

func runAgent(t *testing.T, cfg Config) *Agent {
	a, err := New(cfg, os.Args[0], discardLog)
	if err != nil {
		t.Fatal(err)
	}
	startAgent(t, a)
	return a
}

// startAgent runs an agent until the test ends.
func startAgent(t *testing.T, a *Agent) {
	ended := make(chan error, 1)
	go func() { ended <- a.Run() }()
	t.Cleanup(func() {
		a.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestTasksRunAndEndWhole runs real programs: one that succeeds, one that
// fails, one that uses too much memory, one whose child leaves its process group,
// one that saves a checkpoint, and one that doesn't exist. It also launches a task
// with an unknown image and one of an unknown job.
func TestTasksRunAndEndWhole(t *testing.T) {
	c := newFakeController(t)
	cfg := testConfig(t, c)
	c.add("wk-000001", `echo "task $SILVERGATE_TASK says $WORD"; pwd`, func(d *protocol.JobDescription) { d.Extra.Env = map[string]string{"WORD": "hello"} })
	c.add("wk-000002", `exit 3`, nil)
	c.add("wk-000003", `exec awk 'BEGIN { s = "x"; while (length(s) < 400000000) s = s s; while (1) {} }'`, func(d *protocol.JobDescription) { d.MemoryGB = 0.1 })
	c.add("wk-000004", `setsid sleep 1000 & echo $! > left; sleep 1000 & wait`, nil)
	c.add("wk-000005", `trap 'echo saved > $SILVERGATE_CHECKPOINTS/7; touch $SILVERGATE_CHECKPOINTS/7.complete; exit 0' TERM; echo ready; while :; do sleep 0.05; done`,
		func(d *protocol.JobDescription) { d.CheckpointIntervalS, d.CheckpointSaveS = 100, 1 })
	c.add("wk-000006", ``, func(d *protocol.JobDescription) { d.Extra.Command = []string{"no-such-program"} })
	c.add("wk-000007", ``, func(d *protocol.JobDescription) { d.Image = "unknown" })
	runAgent(t, cfg)
	for i := 1; i <= 8; i++ { // the controller doesn't know the job of the last one
		c.send(launch(fmt.Sprintf("wk-%06d", i), 0))
	}
	file := func(i int, name string) string {
		b, _ := os.ReadFile(filepath.Join(cfg.Dir, tasksDir, fmt.Sprintf("wk-%06d.0.1", i), name))
		return string(b)
	}
	c.await("the ends of the first tasks", func() bool { return len(c.causes) == 6 })
	for i, want := range []string{"", "done", "error", "error", "", "", "error", "error", "unknown"} {
		if got := c.causes[fmt.Sprintf("wk-%06d/0#1", i)]; got != want {
			t.Errorf("job %d: %q, expected %q", i, got, want)
		}
	}
	if out := file(1, stdout); !strings.Contains(out, "task 0 says hello") || !strings.Contains(out, filepath.Join(cfg.Dir, tasksDir)) {
		t.Errorf("output: %q", out)
	}
	if !strings.Contains(file(6, stderr), "no-such-program") {
		t.Errorf("the reason why the program was not started is missing: %q", file(6, stderr))
	}
	c.await("the program's child process", func() bool { return file(4, workDir+"/left") != "" && strings.Contains(file(5, stdout), "ready") })
	left, _ := strconv.Atoi(strings.TrimSpace(file(4, workDir+"/left")))
	id, err := proc.Identify(left)
	if err != nil {
		t.Fatal(err)
	}
	grace := 10.0
	c.send(protocol.Command{Verb: "kill", Task: "wk-000004/0", Attempt: 1}, protocol.Command{Verb: "kill", Task: "wk-000005/0", Attempt: 1, GracePeriodS: &grace})
	c.await("the kills", func() bool { return len(c.causes) == 8 })
	if c.causes["wk-000004/0#1"] != "stopped" || id.Alive() {
		t.Errorf("killed task: cause %s, its child alive: %v", c.causes["wk-000004/0#1"], id.Alive())
	}
	if c.causes["wk-000005/0#1"] != "stopped+saved" || (sharedStore{cfg.SharedDir}).resume("wk-000005", 0, 9, false) != 7 {
		t.Errorf("task that saved a checkpoint: cause %s", c.causes["wk-000005/0#1"])
	}
	// The result is stored: when the same task is launched again, its program does not run again.
	c.send(protocol.Command{Verb: "forget", Task: "wk-000001/0", Attempt: 1}, protocol.Command{Verb: "launch", Task: "wk-000001/0", Attempt: 2})
	c.await("the repeated task", func() bool { return c.causes["wk-000001/0#2"] == "done" })
	if exists(filepath.Join(cfg.Dir, tasksDir, "wk-000001.0.2", execFile)) {
		t.Error("a task that was done ran again")
	}
}

// TestNoTaskOutlivesItsAgentOrLease kills an agent, and suspends another one, while
// a task is running. The task must end at once in the first case, and when the lease
// expires in the second.
func TestNoTaskOutlivesItsAgentOrLease(t *testing.T) {
	for _, how := range []string{"killed", "hangs"} {
		t.Run(how, func(t *testing.T) {
			c := newFakeController(t)
			cfg := testConfig(t, c)
			cfg.Workers.Lease = 1.5
			c.add("wk-000001", `echo $$ > pid; exec sleep 1000`, nil)
			raw, _ := json.Marshal(cfg)
			file := filepath.Join(t.TempDir(), "agent.json")
			if err := os.WriteFile(file, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			start := func() *exec.Cmd {
				cmd := exec.Command(os.Args[0], "agent", file)
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				return cmd
			}
			cmd := start()
			defer func() {
				cmd.Process.Kill()
				cmd.Wait()
				EndTasks(cfg.Dir)
			}()
			c.send(launch("wk-000001", 0))
			var id proc.ID
			c.await("the task", func() bool {
				b, _ := os.ReadFile(filepath.Join(cfg.Dir, tasksDir, "wk-000001.0.1", workDir, "pid"))
				pid, err := strconv.Atoi(strings.TrimSpace(string(b)))
				if err == nil {
					id, err = proc.Identify(pid)
				}
				return err == nil && len(c.last.Tasks) == 1 && c.last.Tasks[0].Status == protocol.TaskRunning
			})
			// From now on a heartbeat of a later agent epoch is evidence that the task is gone.
			early := false
			c.mu.Lock()
			epoch := c.last.AgentEpoch
			c.onHeartbeat = func(r protocol.Heartbeat) { early = early || r.AgentEpoch > epoch && id.Alive() }
			c.mu.Unlock()
			if how == "killed" {
				cmd.Process.Kill()
				cmd.Wait()
				cmd = start()
			} else {
				cmd.Process.Signal(syscall.SIGSTOP)
				c.await("the end of the task whose agent hangs", func() bool { return !id.Alive() })
				cmd.Process.Signal(syscall.SIGCONT)
			}
			c.await("a new epoch without tasks", func() bool { return c.last.AgentEpoch > epoch && len(c.last.Tasks) == 0 })
			if id.Alive() || early {
				t.Fatalf("the task is still running: %v; a new epoch was reported while it was running: %v", id.Alive(), early)
			}
		})
	}
}

// TestImagesStayInside unpacks archives that would write outside the image, are too
// large, contain other things than files, folders and symbolic links, or are missing.
// None may leave a file behind, neither outside nor as an image.
func TestImagesStayInside(t *testing.T) {
	archive := func(headers ...tar.Header) string {
		path := filepath.Join(t.TempDir(), "image.tar")
		f, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		w := tar.NewWriter(f)
		for _, h := range headers {
			h.Mode = 0o755
			if h.Typeflag == tar.TypeReg {
				h.Size = 4
			}
			if err := w.WriteHeader(&h); err != nil {
				t.Fatal(err)
			}
			if h.Typeflag == tar.TypeReg {
				_, _ = w.Write([]byte("evil"))
			}
		}
		if err := errors.Join(w.Close(), f.Close()); err != nil {
			t.Fatal(err)
		}
		return path
	}
	out := filepath.Join(t.TempDir(), "out")
	for name, path := range map[string]string{
		"parent":  archive(tar.Header{Name: "../../evil", Typeflag: tar.TypeReg}),
		"root":    archive(tar.Header{Name: "/evil", Typeflag: tar.TypeReg}),
		"link":    archive(tar.Header{Name: "l", Linkname: filepath.Dir(out), Typeflag: tar.TypeSymlink}, tar.Header{Name: "l/out", Typeflag: tar.TypeReg}),
		"device":  archive(tar.Header{Name: "d", Typeflag: tar.TypeChar}),
		"hard":    archive(tar.Header{Name: "h", Linkname: "/etc/passwd", Typeflag: tar.TypeLink}),
		"large":   archive(tar.Header{Name: "a", Typeflag: tar.TypeReg}, tar.Header{Name: "b", Typeflag: tar.TypeReg}),
		"missing": filepath.Join(t.TempDir(), "none.tar"),
	} {
		dir := t.TempDir()
		c, err := newImageStore(dir, 7, []Image{{Name: "x", Path: path}})
		if err != nil {
			t.Fatal(err)
		}
		c.needed, c.onEvict = func(string) bool { return true }, func(string) {}
		got := make(chan error, 1)
		c.fetch("x", func(err error) { got <- err })
		if err := <-got; err == nil {
			t.Errorf("%s: fetched without an error", name)
		}
		if _, _, ok := c.folder("x"); ok || exists(out) {
			t.Errorf("%s: the image, or a file outside it, exists", name)
		}
		if left, _ := os.ReadDir(dir); len(left) > 0 {
			t.Errorf("%s: left behind in the cache: %v", name, left)
		}
	}
	good := archive(tar.Header{Name: "bin/run", Typeflag: tar.TypeReg})
	c, _ := newImageStore(t.TempDir(), 100, []Image{{Name: "x", Path: good}})
	c.needed, c.onEvict = func(string) bool { return true }, func(string) {}
	got := make(chan error, 1)
	c.fetch("x", func(err error) { got <- err })
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	folder, _, _ := c.folder("x")
	if p, err := findProgram("run", folder); err != nil || !strings.HasPrefix(p, folder) {
		t.Errorf("program of the image: %s %v", p, err)
	}
}

// TestConformsToProtocol runs the protocol's conformance cases for workers against an agent.
func TestConformsToProtocol(t *testing.T) {
	conformance.Run(t, conformance.Worker, true, func(t *testing.T) conformance.Target {
		c := newFakeController(t)
		c.unavailable = true // the conformance cases send the commands
		c.add("wk-000001", "exec sleep 1000", func(d *protocol.JobDescription) { d.CPUs = 4 })
		cfg := testConfig(t, c)
		cfg.Workers.Lease = 60
		a := runAgent(t, cfg)
		var addr string
		c.await("the address", func() bool {
			b, _ := os.ReadFile(filepath.Join(a.cfg.Dir, AddressFile))
			addr = string(b)
			return addr != ""
		})
		return conformance.HTTP{Address: addr, Second: 300 * time.Millisecond}
	})
}
