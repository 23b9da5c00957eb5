package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"silvergate/internal/goldentest"
)

// The golden folders were written by an agent of an earlier build: the machine's folder and
// the folder that all machines share. Attempt 1 of task 0 of job wk-000001 has completed;
// that of wk-000002 has saved checkpoint 7 and failed. Only the root of the paths and the
// boot ID have been replaced since. The tests use the wire format of messages and the
// format of the settings file literally.
const (
	goldenMachine = "testdata/golden/machine"
	goldenOutside = "testdata/golden/outside"
	goldenJob     = "wk-000001"
	goldenSaving  = "wk-000002"
)

var goldenScripts = map[string]string{
	goldenJob:    "echo attempt $SILVERGATE_TRY; echo complaint >&2",
	goldenSaving: "echo resumed from $SILVERGATE_RESUME; [ -n \"$SILVERGATE_RESUME\" ] || { touch $SILVERGATE_CHECKPOINTS/7.complete; exit 3; }",
}

// wireController answers heartbeats with the queued commands and serves job descriptions.
type wireController struct {
	mu       sync.Mutex
	commands []string
	last     map[string]any // heartbeat
	ended    map[string]string
}

func (c *wireController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, script := range goldenScripts {
		if strings.Contains(r.URL.Path, "/"+id) {
			text, _ := json.Marshal(script)
			fmt.Fprintf(w, `{"ref":%q,"jobclass":"quoter","crew":"office","shape":"array","urgency":"idle","loads":9,"cpus":0.1,"accelerators":0,"ramGb":0.5,`+
				`"kit":"sh","sizeGb":0,"waypointS":100,"stowS":1,"extra":{"command":["/bin/sh","-c",%s]}}`, id, text)
			return
		}
	}
	body, _ := io.ReadAll(r.Body)
	c.last = map[string]any{}
	if json.Unmarshal(body, &c.last) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if loads, ok := c.last["loads"].([]any); ok {
		for _, l := range loads {
			if load := l.(map[string]any); load["status"] == "ended" {
				c.ended[fmt.Sprintf("%v#%v", load["load"], load["try"])] = fmt.Sprint(load["cause"])
			}
		}
	}
	fmt.Fprintf(w, `{"baton":9,"orders":[%s]}`, strings.Join(c.commands, ","))
	c.commands = nil
}

// launch launches an attempt of a job's task 0 and returns the cause of its end.
func (c *wireController) launch(t *testing.T, id string, attempt int) string {
	t.Helper()
	c.mu.Lock()
	c.commands = append(c.commands, fmt.Sprintf(`{"verb":"launch","load":"%s/0","try":%d}`, id, attempt))
	c.mu.Unlock()
	name := fmt.Sprintf("%s/0#%d", id, attempt)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		cause := c.ended[name]
		c.mu.Unlock()
		if cause != "" {
			return cause
		}
	}
	t.Fatalf("%s has not ended; last heartbeat %v", name, c.last)
	return ""
}

// startWireAgent runs an agent in a machine's folder until the returned function stop is
// called.
func startWireAgent(t *testing.T, dir, outside string) (c *wireController, stop func()) {
	t.Helper()
	c = &wireController{ended: map[string]string{}}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	cfg := DefaultConfig()
	settings := fmt.Sprintf(`{stoker: i-1, rig: small, depot: north, dir: %q, outside: %q, room: {cpus: 8, ramGb: 8}, images: [{name: sh, command: [/bin/true]}],
		workers: {report_s: 0.6, lease_s: 3, gang_wait_s: 5, gang_peer_s: 1}, controllers: [{node_name: n, address: %q}]}`, dir, outside, server.Listener.Addr())
	if err := yaml.Unmarshal([]byte(strings.ReplaceAll(settings, "\t", " ")), &cfg); err != nil {
		t.Fatal(err)
	}
	a, err := New(cfg, os.Args[0], slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- a.Run() }()
	stop = sync.OnceFunc(func() {
		a.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return c, stop
}

// copyGolden copies the golden folders to temporary folders and writes a free port to the
// agent's stored state. It returns the folders and that state.
func copyGolden(t *testing.T) (dir, outside, state string) {
	t.Helper()
	root := t.TempDir()
	dir, outside = filepath.Join(root, "machine"), filepath.Join(root, "outside")
	for to, from := range map[string]string{dir: goldenMachine, outside: goldenOutside} {
		if err := os.CopyFS(to, os.DirFS(from)); err != nil {
			t.Fatal(err)
		}
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	_ = listener.Close()
	stored := string(goldentest.Read(t, goldenMachine+"/worker.json"))
	at := strings.LastIndex(stored, ":")
	state = fmt.Sprintf("%s:%d}", stored[:at], port)
	if err := os.WriteFile(filepath.Join(dir, "worker.json"), []byte(state), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir, outside, state
}

// TestGoldenMachineGoesOn runs an agent in copies of the golden folders and launches both jobs
// again. The agent must begin the next agent epoch with the stored token and port, must not repeat
// the completed task, must resume the other one from its checkpoint, and must write files with
// the same fields.
func TestGoldenMachineGoesOn(t *testing.T) {
	dir, outside, state := copyGolden(t)
	if !strings.HasPrefix(state, `{"shift":1,"baton":9,"port":`) {
		t.Fatalf("the golden state is %s", state)
	}
	c, stop := startWireAgent(t, dir, outside)
	if cause := c.launch(t, goldenJob, 2); cause != "done" {
		t.Errorf("a task that has completed before ended with cause %s", cause)
	}
	if cause := c.launch(t, goldenSaving, 2); cause != "done" {
		t.Errorf("a task that has saved a checkpoint ended with cause %s", cause)
	}
	stop()
	if c.last["shift"] != 2.0 || c.last["baton"] != 9.0 || !strings.HasSuffix(state, fmt.Sprintf(":%s}", c.last["address"].(string)[len("127.0.0.1:"):])) {
		t.Errorf("the heartbeat is %v, which does not match the golden state %s", c.last, state)
	}
	want := strings.Replace(state, `"shift":1`, `"shift":2`, 1)
	if got, err := os.ReadFile(filepath.Join(dir, "worker.json")); err != nil || string(got) != want {
		t.Errorf("the stored state is %s, not %s: %v", got, want, err)
	}
	if _, err := os.Stat(filepath.Join(dir, "tasks", goldenJob+".0.2", "exec.json")); err == nil {
		t.Error("a task that has completed before ran again")
	}
	for name, want := range map[string]string{goldenJob + ".0.1/stdout": "attempt 1\n", goldenJob + ".0.1/stderr": "complaint\n", goldenSaving + ".0.2/stdout": "resumed from 7\n"} {
		if got, err := os.ReadFile(filepath.Join(dir, "tasks", name)); err != nil || string(got) != want {
			t.Errorf("%s is %q, not %q: %v", name, got, want, err)
		}
	}
	// The new attempt's files have the same fields as the golden ones.
	for _, name := range []string{"exec.json", "process.json"} {
		got, want := jsonNames(t, filepath.Join(dir, "tasks", goldenSaving+".0.2", name)), jsonNames(t, filepath.Join(goldenMachine, "tasks", goldenSaving+".0.1", name))
		if !slices.Equal(got, want) {
			t.Errorf("%s has the fields %v, not %v", name, got, want)
		}
	}
}

// jsonNames returns the field names of the JSON object in a file, in order.
func jsonNames(t *testing.T, path string) (names []string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	for name := range object {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return bytes.Index(raw, []byte(`"`+a+`":`)) - bytes.Index(raw, []byte(`"`+b+`":`))
	})
	return names
}

// TestGoldenProcessIsFound records a running process in the golden format and has EndTasks
// kill it, as an agent does with the processes that an earlier agent left behind.
func TestGoldenProcessIsFound(t *testing.T) {
	dir, _, _ := copyGolden(t)
	sleep := exec.Command("/bin/sleep", "60")
	sleep.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := sleep.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- sleep.Wait() }()
	t.Cleanup(func() { _ = sleep.Process.Kill() })
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", sleep.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join("tasks", goldenJob+".0.1", "process.json")
	if names, want := jsonNames(t, filepath.Join(goldenMachine, path)), []string{"pid", "start", "boot"}; !reflect.DeepEqual(names, want) {
		t.Fatalf("the golden record has the fields %v, not %v", names, want)
	}
	// The start time is the 22nd field; the second field ends with a parenthesis.
	start := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))[19]
	record := fmt.Sprintf(`{"pid":%d,"start":%s,"boot":%q}`, sleep.Process.Pid, start, strings.TrimSpace(string(boot)))
	if err := os.WriteFile(filepath.Join(dir, path), []byte(record), 0o600); err != nil {
		t.Fatal(err)
	}
	EndTasks(dir)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the recorded process is still running")
	}
}
