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

// startScale starts the program's scale command in a process of its own.
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

// checkNothingLeft fails the test if a process that a run started still exists two seconds after the
// run. It knows these processes by the run's mark, the value of proc.MarkEnv, which they inherit in
// their environment. They get two seconds because an agent's watchdog ends just after its agent.
func checkNothingLeft(t *testing.T, mark string) {
	t.Helper()
	for until := time.Now().Add(2 * time.Second); proc.CountMarked(mark) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("%d processes of the run still exist after its end", proc.CountMarked(mark))
			proc.KillMarked(mark, 10*time.Second)
			return
		}
	}
}

// TestScaleSmall runs the small scenario, in which a controller is killed and machines die and
// restart. It guards against broken rules, abandoned jobs, processes that end by themselves and
// processes that are left over. It checks no times.
func TestScaleSmall(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "run")
	cmd, out := startScale(t, dir)
	if err := cmd.Wait(); err != nil {
		t.Fatalf("scale: %v\n%s", err, out)
	}
	var r scale.Result
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	if !r.Completed || r.Violations > 0 || len(r.Cells) != 1 || len(r.Processes) != 4 {
		t.Fatalf("the run is not complete, or broke a rule: %+v", r)
	}
	c := r.Cells[0]
	if c.Accepted == 0 || c.Starts == 0 || c.GivenUp > 0 || len(c.Samples) == 0 || r.States[0].Changes == 0 {
		t.Errorf("the cell did no work, or gave up some: %+v", c)
	}
	killed := 0
	for _, p := range r.Processes {
		killed += p.Killed
		if p.UnexpectedExits > 0 {
			t.Errorf("%s ended by itself", p.Name)
		}
	}
	if killed != 1 {
		t.Errorf("%d controllers were killed, want 1", killed)
	}
	checkNothingLeft(t, dir)
}

// TestScaleInterrupted guards against a run that is interrupted with SIGINT, as by Ctrl-C, and counts
// as complete or leaves processes behind.
func TestScaleInterrupted(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "run")
	cmd, out := startScale(t, dir)
	time.Sleep(3 * time.Second)
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err == nil {
		t.Errorf("an interrupted run reported success: %s", out)
	}
	checkNothingLeft(t, dir)
}

// TestScaleRefusesBadInput guards against bad arguments that are accepted, or whose error does not
// name what is wrong in one line.
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
			t.Errorf("arguments %v: printed %q, error %v", c.args, out, err)
		}
	}
}
