package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvergate/internal/soak"
)

// runMainEnv has the test binary be the program: a site starts it for each part.
const runMainEnv = "SILVERGATE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestSiteSurvivesKills runs a small soak: everything is killed twice while jobs
// come in, run and end.
func TestSiteSurvivesKills(t *testing.T) {
	r, err := soak.Run(soak.Options{Self: os.Args[0], Env: []string{runMainEnv + "=1"}, Dir: filepath.Join(t.TempDir(), "site"),
		Jobs: 8, Kills: 2, Seed: 1, Between: 2 * time.Second, Limit: 2 * time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if len(r.Broken) > 0 || r.Accepted != 8 || r.Effects < r.Tasks || r.Tasks != 20 || r.Kills != 2 || r.Kept == 0 {
		t.Errorf("%+v", r)
	}
}

// TestDemo runs what the README promises to somebody new.
func TestDemo(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "site")
	run := func(args ...string) (string, error) {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), runMainEnv+"=1")
		var out bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &out
		err := cmd.Run()
		return out.String(), err
	}
	out, err := run("up", "--dir", dir, "--demo")
	if err != nil || strings.Count(out, "hello from task") != 3 {
		t.Fatalf("%v\n%s", err, out)
	}
	// What it stored is sound, and a changed byte is named with its own status.
	file := filepath.Join(dir, "state", "state.db")
	if out, err := run("state", "check", file); err != nil || !strings.Contains(out, "is sound") {
		t.Errorf("%v %s", err, out)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	clear(raw[2*os.Getpagesize():]) // all but the file's own head
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = run("state", "check", file)
	if x, ok := err.(*exec.ExitError); !ok || x.ExitCode() != exitDamaged || !strings.Contains(out, file) {
		t.Errorf("%v %s", err, out)
	}
	out, err = run("up", "--dir", dir, "--demo")
	if x, ok := err.(*exec.ExitError); !ok || x.ExitCode() != exitDamaged || !strings.Contains(out, "damaged") {
		t.Errorf("a site with a damaged store: %v %s", err, out)
	}
}

// TestJobFiles reads jobs as people write them.
func TestJobFiles(t *testing.T) {
	for _, c := range []struct{ file, want string }{
		{"loads: 2\ncommand: [a]\n", ""},
		{`{"ref":"wk-000001"}`, "jobclass"},
		{"lods: 2\n", "lods"},
		{"loads: 0\n", "loads"},
		{"cpus: -1\n", "cpus"},
		{"urgency: soon\n", "urgency"},
		{"command: a\n", "line 2"},
		{"loads: 1\n---\nloads: 2\n", "more than one document"},
		{"inputs: [{set: a, version: latest, place: /etc}]\n", "inputs[0].place"},
		{"loads: 1\nloads: 2\n", "already"},
	} {
		raw := c.file
		if raw[0] != '{' {
			raw = "crew: a\n" + raw
		}
		_, err := readJob([]byte(raw))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q: %v, expected %q", c.file, err, c.want)
		}
	}
}
