package main

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvergate/deploy"
	"silvergate/internal/dataset"
	"silvergate/internal/fakeserver"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
	"silvergate/internal/stagecheck"
)

// TestStagingUnderFaults guards against tasks that read wrong data and against urgent
// fetches that start late. It runs urgent and other jobs on a site whose file servers
// damage data, cut it off, stall and stop responding; a version is superseded and a
// controller is killed meanwhile. Both checkers of stagecheck then check the run.
func TestStagingUnderFaults(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "site")
	settings := filepath.Join(t.TempDir(), "site.yaml")
	yaml := strings.Replace(string(deploy.Up), "    patience_s: 3 ", "    trace: true\n    patience_s: 0.5 ", 1)
	if err := os.WriteFile(settings, []byte(yaml), 0o600); err != nil {
		t.Fatal(err)
	}
	up := exec.Command(os.Args[0], "up", "--dir", dir, "--settings", settings)
	up.Env = append(os.Environ(), runMainEnv+"=1")
	if err := up.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- up.Wait() }()
	stop := func() {
		up.Process.Signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(30 * time.Second):
			up.Process.Kill()
		}
	}
	defer stop()
	root := t.TempDir()
	bad, err := fakeserver.Serve("127.0.0.1:0", root, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	bad.SetFaults(fakeserver.Faults{Damage: 0.02, Truncate: 0.1, WrongLength: 0.05, Error: 0.1, Stall: 0.05, StallFor: time.Second})
	slow, err := fakeserver.Serve("127.0.0.1:0", root, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.SetFaults(fakeserver.Faults{BytesPerS: 30e6, Stall: 0.02, StallFor: time.Second})

	k := newClient()
	k.site = dir
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if _, err := k.versions(); err == nil {
			break
		} else if time.Now().After(until) {
			t.Fatal(err)
		}
	}
	want := map[string]string{}
	rnd := rand.NewChaCha8([32]byte{1})
	publish := func(set, version string) {
		folder := t.TempDir()
		for i, size := range []int{3<<20 + 11, 100, 5 << 20} {
			data := make([]byte, size)
			_, _ = rnd.Read(data)
			name := fmt.Sprintf("f%d", i)
			if err := os.WriteFile(filepath.Join(folder, name), data, 0o644); err != nil {
				t.Fatal(err)
			}
			want[set+"/"+version+" "+name] = fmt.Sprintf("%x", sha256.Sum256(data))
		}
		m, err := dataset.Build(folder, set, version, nil)
		if err != nil {
			t.Fatal(err)
		}
		digest, err := dataset.Publish(folder, root, m)
		if err != nil {
			t.Fatal(err)
		}
		v := protocol.DataSet{Set: set, Version: version, Digest: digest.String(), Bytes: m.Bytes(), Sources: []string{bad.Address(), slow.Address()}}
		if err := k.post(protocol.PathDataSets, v, &v); err != nil {
			t.Fatal(err)
		}
	}
	var refs []string
	submit := func(i int, urgency, set, version string) {
		// Each line of output names the version that the job asked for, so that the hashes
		// that it read can be compared with that version's.
		job := fmt.Sprintf(`
ref: wk-%06d
crew: office
urgency: %s
loads: 2
cpus: 1
kit: base
etaS: 2
inputs: [{set: %s, version: %s, place: in}]
command: [/bin/sh, -c, 'for f in in/*; do echo "%s/%s $(basename $f) $(sha256sum < $f | cut -d" " -f1)"; done; sleep 0.5']
`, i, urgency, set, version, set, version)
		body, err := readJob([]byte(job))
		if err != nil {
			t.Fatal(err)
		}
		s, err := k.submit(body)
		if err != nil {
			t.Fatal(err)
		}
		refs = append(refs, s.ID)
	}
	for i := range 4 {
		publish(fmt.Sprint("set", i), "1")
	}
	for i := range 10 {
		submit(i, []string{"idle", "urgent"}[i%2], fmt.Sprint("set", i%4), "1")
		time.Sleep(100 * time.Millisecond)
	}
	publish("set0", "2") // while version 1 is being fetched and read
	a := protocol.Staging{ID: "morning", Set: "set0", Version: "2", Team: "office", Priority: "urgent", ByS: 3, Machines: 2}
	if err := k.post(protocol.PathStagings, a, &a); err != nil {
		t.Fatal(err)
	}
	slow.SetUnresponsive(true)
	time.Sleep(time.Second)
	if s := (&site.Site{Dir: dir}); s.PID("stoker-1") != 0 {
		syscall.Kill(s.PID("stoker-1"), syscall.SIGKILL)
	}
	slow.SetUnresponsive(false)
	for i := range 6 {
		submit(100+i, "urgent", "set0", []string{"2", "1"}[i%2])
	}
	for _, ref := range refs {
		if s, err := k.wait(ref, 2*time.Minute, func(protocol.JobState) {}); err != nil || s.Status != "done" {
			t.Fatalf("job %s is not done: %+v %v", ref, s, err)
		}
	}
	s := &site.Site{Dir: dir}
	var lines []string
	for _, ref := range refs {
		files, err := s.Outputs(ref)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, strings.Split(strings.TrimSpace(string(b)), "\n")...)
		}
	}
	lines = deleteEmpty(lines)
	stop()
	if wrong, n := stagecheck.CheckReads(lines, want); len(wrong) > 0 || n < 16*2*3 {
		t.Errorf("%d reads checked, wrong ones: %v", n, wrong)
	}
	var files []string
	for _, where := range []string{"machines", "ended"} {
		found, _ := filepath.Glob(filepath.Join(dir, "cloud", where, "*", "data", "events.jsonl"))
		files = append(files, found...)
	}
	events, err := stagecheck.ReadEvents(files)
	if err != nil {
		t.Fatal(err)
	}
	// A heartbeat period is a second, but a test machine may stall for longer through no
	// fault of the site, so the limit here is a whole lease. The measured delay is in the
	// log below, and in docs/results.md.
	wrong, n, latest := stagecheck.CheckStarts(events, 10*time.Second)
	if len(wrong) > 0 || n < 11*2 {
		t.Errorf("%d urgent fetches checked, wrong ones: %v", n, wrong)
	}
	t.Logf("%d reads and %d urgent fetches checked, %d events, the latest fetch began %v after it could have", len(lines), n, len(events), latest)
}

// deleteEmpty returns the lines that are not empty.
func deleteEmpty(lines []string) (out []string) {
	for _, l := range lines {
		if l != "" {
			out = append(out, l)
		}
	}
	return out
}
