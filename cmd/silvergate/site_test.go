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

// runMainEnv is the environment variable that makes the test binary run the program's main
// function. A site in a test starts the test binary for each of its processes.
const runMainEnv = "SILVERGATE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runSoak runs a soak whose site starts the test binary for each of its processes, and whose jobs may take two
// minutes after the last kill.
func runSoak(t *testing.T, options soak.Options) soak.Result {
	t.Helper()
	options.Executable, options.Env = os.Args[0], []string{runMainEnv + "=1"}
	options.Dir = filepath.Join(t.TempDir(), "site")
	options.Limit = 2 * time.Minute
	r, err := soak.Run(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("result of the soak: %+v", r)
	return r
}

// TestSiteSurvivesKills guards against accepted jobs that are lost or run otherwise than
// promised when all processes of a site are killed. A small soak kills them twice while
// jobs are submitted, run and end.
func TestSiteSurvivesKills(t *testing.T) {
	r := runSoak(t, soak.Options{Jobs: 8, Kills: 2, Seed: 1, MeanKillInterval: 2 * time.Second})
	if len(r.Broken) > 0 || r.Accepted != 8 || r.Effects < r.Tasks || r.Tasks != 20 || r.Kills != 2 || r.Kept == 0 {
		t.Errorf("the soak broke a promise, or is not complete: %+v", r)
	}
}

// TestOutputOfEndedTasksIsKeptOnADisruptedSite guards against files that are lost with a machine because the
// controllers delete it before its output is in the archive.
func TestOutputOfEndedTasksIsKeptOnADisruptedSite(t *testing.T) {
	r := runSoak(t, soak.Options{Jobs: 24, Disruptions: 12, Seed: 61, MeanKillInterval: 2 * time.Second})
	if len(r.Broken) > 0 || r.Accepted != 24 || r.Disruptions != 12 || r.Kept < r.Tasks {
		t.Errorf("the soak broke a promise, or is not complete: %+v", r)
	}
}

// TestCopiedLaunchesRunNothing guards against an attempt that runs twice on a real site because a copy of its launch
// arrives after its worker was told to forget it: of each direct launch up to three copies reach the agent within 6 s.
func TestCopiedLaunchesRunNothing(t *testing.T) {
	r := runSoak(t, soak.Options{Jobs: 24, Seed: 3, CopyLaunches: true})
	if len(r.Broken) > 0 || r.Accepted != 24 || r.Copies < r.Tasks {
		t.Errorf("a copied launch ran something, or none arrived in time: %+v", r)
	}
}

// TestDemo guards against a demonstration that fails for new users, who run it as the README
// says, and against a damaged store that is not reported as such.
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
		t.Fatalf("up --demo: %v\n%s", err, out)
	}
	// The store is sound after the run. When its bytes have changed, check names the file and
	// ends with the exit status for damage.
	file := filepath.Join(dir, "state", "state.db")
	if out, err := run("state", "check", file); err != nil || !strings.Contains(out, "is sound") {
		t.Errorf("check of a sound store: %v %s", err, out)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	clear(raw[2*os.Getpagesize():]) // all but the two pages of metadata at its start
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = run("state", "check", file)
	if x, ok := err.(*exec.ExitError); !ok || x.ExitCode() != exitDamaged || !strings.Contains(out, file) {
		t.Errorf("check of a damaged store: %v %s", err, out)
	}
	out, err = run("up", "--dir", dir, "--demo")
	if x, ok := err.(*exec.ExitError); !ok || x.ExitCode() != exitDamaged || !strings.Contains(out, "damaged") {
		t.Errorf("start of a site with a damaged store: %v %s", err, out)
	}
}

// TestJobFiles guards against job files that are refused though valid, or whose error does not
// name the field or line at fault.
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
			t.Errorf("job file %q: error %v, want %q", c.file, err, c.want)
		}
	}
}
