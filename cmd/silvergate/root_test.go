package main

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silvergate/deploy"
	anode "silvergate/internal/archive/node"
	"silvergate/internal/config"
	"silvergate/internal/site"
)

// runCommand runs the program in this process with the given arguments. It returns what the command
// printed to standard output and standard error, and the error that it returned.
func runCommand(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.Execute()
	return out.String(), err
}

// TestCommandsExplainThemselves guards against a help text that lacks a command or a flag, and against
// bad arguments that are accepted or reported in more than one line.
func TestCommandsExplainThemselves(t *testing.T) {
	out, err := runCommand("--help")
	if err != nil || !strings.Contains(out, "submit") || !strings.Contains(out, "--config") {
		t.Fatalf("--help: printed %q, error %v", out, err)
	}
	for _, args := range [][]string{{}, {"validate"}, {"validate", "--config", "/nonexistent.json"}, {"show"}, {"show", "job-1"}, {"nonsense"}} {
		if out, err := runCommand(args...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("arguments %q: printed %q, error %v; want an error of one line", args, out, err)
		}
	}
}

// TestClientCommands guards against client commands that lose a controller's answer: a job's state,
// the text of an error, or the time to wait before the next try.
func TestClientCommands(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + r.URL.Path {
		case "GET/v2/runs/wk-000001":
			w.Write([]byte(`{"ref":"wk-000001","status":"running"}`))
		case "POST/v2/runs/wk-000001/abort":
			w.Write([]byte(`{"ref":"wk-000001","status":"cancelled"}`))
		case "POST/v2/runs":
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(503)
			w.Write([]byte(`{"error":"starting"}`))
		default:
			w.WriteHeader(404)
			w.Write([]byte(`{"error":"no such job"}`))
		}
	}))
	defer srv.Close()
	addr := srv.Listener.Addr().(*net.TCPAddr).String()
	if out, err := runCommand("show", "--address", addr, "wk-000001"); err != nil || !strings.Contains(out, "running") {
		t.Errorf("show: %q %v", out, err)
	}
	if out, err := runCommand("cancel", "--address", addr, "wk-000001"); err != nil || !strings.Contains(out, "cancelled") {
		t.Errorf("cancel: %q %v", out, err)
	}
	if _, err := runCommand("show", "--address", addr, "wk-000002"); err == nil || !strings.Contains(err.Error(), "404: no such job") {
		t.Errorf("show: %v", err)
	}
	file := filepath.Join(t.TempDir(), "job.json")
	body := `{"ref":"wk-000001","jobclass":"a","crew":"b","shape":"batch","urgency":"idle","loads":1,"cpus":1,"accelerators":0,"ramGb":1,"kit":"i","sizeGb":1,
	 "oneZone":false,"apart":false,"casual":false,"etaS":1,"waypointS":0,"stowS":0}`
	if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := runCommand("submit", "--address", addr, file); err == nil || !strings.Contains(err.Error(), "try again in 7 s") {
		t.Errorf("submit: %v", err)
	}
}

// TestDeployedSettings guards against settings under deploy/ that the program refuses, and against an
// error for bad settings that does not name the key at fault.
func TestDeployedSettings(t *testing.T) {
	c := anode.DefaultConfig()
	if err := config.DecodeYAML(deploy.Archive, &c); err != nil {
		t.Fatal(err)
	}
	if err := c.Check(); err != nil {
		t.Error(err)
	}
	if _, err := site.Parse(deploy.Up); err != nil {
		t.Error(err)
	}
	for _, bad := range []struct{ from, to, want string }{{"replicas: 3", "replicas: 0", "replicas"}, {"name: archive-0\n", "name: x\n", "name"}, {"keep_s: 86400", "keep_s: 86400, max_mb: 3", "retention.rules"},
		{"sync_s: 10", "sync_ss: 10", "sync_ss"}, {"10.0.0.2:8470", "10.0.0.2", "members[1].address"}} {
		c := anode.DefaultConfig()
		err := config.DecodeYAML([]byte(strings.Replace(string(deploy.Archive), bad.from, bad.to, 1)), &c)
		if err == nil {
			err = c.Check()
		}
		if err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("settings with %q: error %v, want one that names the key", bad.to, err)
		}
	}
}
