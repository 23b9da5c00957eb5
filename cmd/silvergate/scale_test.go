package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvergate/internal/proc"
	"silvergate/internal/scale"
)

// startScale starts the program's scale command.
func startScale(t *testing.T, dir string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "scale", "small", "--dir", dir, "--output", "json")
	cmd.Env = append(os.Environ(), runMainEnv+"=1", proc.MarkEnv+"="+dir)
	var out bytes.Buffer
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, &out
}

// checkNothingLeft fails if a process that a run has started is still there a moment after it. All of
// them inherit the mark of the run; an agent's watchdog ends just after its agent.
func checkNothingLeft(t *testing.T, mark string) {
	t.Helper()
	for until := time.Now().Add(2 * time.Second); proc.CountMarked(mark) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("%d processes of the run were left", proc.CountMarked(mark))
			proc.KillMarked(mark, 10*time.Second)
			return
		}
	}
}

// TestScaleSmall plays the small scenario: a controller is killed, machines die and restart.
// No timing is judged.
func TestScaleSmall(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "run")
	cmd, out := startScale(t, dir)
	if err := cmd.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var r scale.Result
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	if !r.Whole || r.Broken > 0 || len(r.Cells) != 1 || len(r.Processes) != 4 {
		t.Fatalf("%+v", r)
	}
	c := r.Cells[0]
	if c.Accepted == 0 || c.Starts == 0 || c.GivenUp > 0 || len(c.Samples) == 0 || r.States[0].Changes == 0 {
		t.Errorf("%+v", c)
	}
	killed := 0
	for _, p := range r.Processes {
		killed += p.Killed
		if p.Ended > 0 {
			t.Errorf("%s ended by itself", p.Name)
		}
	}
	if killed != 1 {
		t.Errorf("%d controllers were killed, want 1", killed)
	}
	checkNothingLeft(t, dir)
}

// TestScaleInterrupted ends a run early, as Ctrl-C does: all that it started is gone.
func TestScaleInterrupted(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "run")
	cmd, out := startScale(t, dir)
	time.Sleep(3 * time.Second)
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err == nil {
		t.Errorf("a run that was broken off counts as whole: %s", out)
	}
	checkNothingLeft(t, dir)
}

// TestScaleRefusesBadInput names what is wrong, in one line.
func TestScaleRefusesBadInput(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, []byte("name: x\nworkres: 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{bad, "--dir", filepath.Join(dir, "a")}, "workres"},
		{[]string{"nosuch", "--dir", filepath.Join(dir, "b")}, "scenario"},
		{[]string{"small", "--dir", bad + "/x"}, "dir"},
		{[]string{"small", "--dir", dir}, "dir"},
		{[]string{"small"}, "dir"},
	} {
		if out, err := runCommand(append([]string{"scale"}, c.args...)...); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %q %v", c.args, out, err)
		}
	}
}
