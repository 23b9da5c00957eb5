package provider

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/goldentest"
)

// The golden file was written by the provider of an earlier build. The rental "first" has
// machines 1 to 3, of which 3 has failed. The rental "second" has the spot machines 4, which
// has got notice of its preemption, and 5, which is being preempted. records.txt lists the
// records. The tests use literal requests and settings, so that a change of either format fails.
const (
	goldenFile    = "testdata/golden/provider.db"
	goldenRecords = "testdata/golden/records.txt"
	// goldenRented is when the machines were rented, in milliseconds of the wall clock.
	goldenRented = 1_700_000_000_000
)

// goldenConfig returns the configuration of a provider whose machines take thirty years to
// come up.
func goldenConfig(t *testing.T, dir string) Config {
	t.Helper()
	cfg := DefaultConfig()
	settings := fmt.Sprintf(`{listen: "127.0.0.1:0", dir: %q, rps: 1000, agent: {controllers: [{node_name: n, address: "127.0.0.1:1"}]},
  types: [{sku: small, cpus: 1, ramGb: 1, localGb: 1, pullGbPerS: 1, hourly: 1.5, spotPrice: 0.25, startupS: 1.0e+9, depots: {north: 9, south: 9}}]}`, dir)
	if err := yaml.Unmarshal([]byte(settings), &cfg); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// goldenDump returns the records in a provider's file, one a line: bucket, key, value and checksum.
func goldenDump(t *testing.T, path string) string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var lines strings.Builder
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				end := max(0, len(value)-8)
				fmt.Fprintf(&lines, "%s %s %s %x\n", bucket, key, value[:end], value[end:])
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return lines.String()
}

// runningProvider is a provider that serves at url until stop is called.
type runningProvider struct {
	url  string
	stop func()
}

func startGoldenProvider(t *testing.T, dir string) *runningProvider {
	t.Helper()
	p, err := Open(goldenConfig(t, dir), os.Args[0], slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- p.Run(func(address net.Addr) { ready <- address.String() }) }()
	w := &runningProvider{stop: sync.OnceFunc(func() {
		p.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})}
	t.Cleanup(w.stop)
	select {
	case address := <-ready:
		w.url = "http://" + address
	case <-time.After(10 * time.Second):
		t.Fatal("the provider does not serve in time")
	}
	return w
}

// ask sends a GET, or a POST if there is a body, and returns the body of the answer.
func (w *runningProvider) ask(t *testing.T, path, body string) string {
	t.Helper()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s %s, %v", path, answer.Status, text, err)
	}
	return string(text)
}

// copyGoldenFile copies the golden file into a new folder for a provider.
func copyGoldenFile(t *testing.T) (dir, path string) {
	t.Helper()
	dir = t.TempDir()
	path = filepath.Join(dir, "provider.db")
	if err := os.WriteFile(path, goldentest.Read(t, goldenFile), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir, path
}

// withoutPreempted removes the machine that is being preempted from a dump: a provider that
// starts with the file ends that machine.
func withoutPreempted(dump string) string {
	lines := strings.SplitAfter(dump, "\n")
	return strings.Join(slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, "machines i-00000005 ") }), "")
}

// TestGoldenProvider opens the golden file, and checks that the machines are listed, that a
// repeated rental gets the same machines, and that the file keeps its other records.
func TestGoldenProvider(t *testing.T) {
	dir, path := copyGoldenFile(t)
	stored := string(goldentest.Read(t, goldenRecords))
	if dump := goldenDump(t, path); dump != stored {
		t.Fatalf("the golden file holds\n%s, not\n%s", dump, stored)
	}
	w := startGoldenProvider(t, dir)

	var list struct {
		Stokers []struct {
			Ref, Rig, Depot, Status string
			Casual                  bool
			AgeS                    float64
		}
	}
	if err := json.Unmarshal([]byte(w.ask(t, "/rentals", "")), &list); err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, machine := range list.Stokers {
		listed = append(listed, fmt.Sprint(machine.Ref, " ", machine.Rig, " ", machine.Depot, " ", machine.Casual, " ", machine.Status))
		if age := float64(time.Now().UnixMilli()-goldenRented) / 1000; machine.AgeS < age-60 || machine.AgeS > age+60 {
			t.Errorf("%s is %g s old, not %g", machine.Ref, machine.AgeS, age)
		}
	}
	want := []string{"i-00000001 small north false booting", "i-00000002 small north false booting", "i-00000003 small north false failed", "i-00000004 small south true booting"}
	if !slices.Equal(listed, want) {
		t.Errorf("listed\n%q, not\n%q", listed, want)
	}

	// A request that was granted before gets the same answer and rents nothing.
	again := w.ask(t, "/rentals", `{"hire":"first","rig":"small","depot":"north","casual":false,"number":3}`)
	if want := `{"stokers":["i-00000001","i-00000002","i-00000003"]}`; again != want {
		t.Errorf("the repeated rental got %s, not %s", again, want)
	}
	// The request is answered when nothing of the machine is left.
	w.ask(t, "/rentals/delete", `{"stokers":["i-00000005"]}`)
	w.stop()
	if got, want := goldenDump(t, path), withoutPreempted(stored); got != want {
		t.Errorf("the file holds\n%s, not\n%s", got, want)
	}
}

// TestGoldenRecordsRoundTrip checks that each record, decoded and encoded again, has the same
// bytes.
func TestGoldenRecordsRoundTrip(t *testing.T) {
	counts := map[string]int{}
	for line := range strings.Lines(string(goldentest.Read(t, goldenRecords))) {
		fields := strings.Fields(line)
		var record any
		switch fields[0] {
		case "hires":
			record = &RentalRecord{}
		case "machines":
			record = &Machine{}
		default:
			continue
		}
		counts[fields[0]]++
		if err := json.Unmarshal([]byte(fields[2]), record); err != nil {
			t.Fatal(err)
		}
		if again, err := json.Marshal(record); err != nil || string(again) != fields[2] {
			t.Errorf("%s is encoded as\n%s, not\n%s: %v", fields[1], again, fields[2], err)
		}
	}
	if counts["hires"] != 2 || counts["machines"] != 5 {
		t.Errorf("records: %v", counts)
	}
}

// TestGoldenProviderWritesTheSameFormat rents a new machine and preempts an old one, which
// rewrites its record, and checks the records that the provider writes.
func TestGoldenProviderWritesTheSameFormat(t *testing.T) {
	dir, path := copyGoldenFile(t)
	w := startGoldenProvider(t, dir)
	before := time.Now().UnixMilli()
	names := w.ask(t, "/rentals", `{"hire":"third","rig":"small","depot":"south","casual":true,"number":1}`)
	if want := `{"stokers":["i-00000006"]}`; names != want {
		t.Errorf("the next machine is %s, not %s", names, want)
	}
	w.ask(t, "/recalls", `{"stokers":["i-00000002"],"noticeS":3000}`)
	w.stop()
	dump := goldenDump(t, path)
	for _, want := range []string{
		`hires third {"name":"third","stokers":["i-00000006"]} `,
		`next next 6 `,
		`machines i-00000002 {"name":"i-00000002","rig":"small","depot":"north","casual":false,"rentedMs":1700000000000,"recallMs":AT,"noticed":true,"hourly":1.5} `,
		`machines i-00000006 {"name":"i-00000006","rig":"small","depot":"south","casual":true,"rentedMs":AT,"hourly":0.25} `,
	} {
		head, tail, timed := strings.Cut(want, "AT")
		_, rest, found := strings.Cut(dump, head)
		if timed && found {
			var at int64
			_, err := fmt.Sscanf(rest, "%d", &at)
			found = err == nil && at >= before && at <= before+3000_000+60_000 && strings.HasPrefix(rest, fmt.Sprint(at)+tail)
		}
		if !found {
			t.Errorf("the file holds\n%s, which lacks %s", dump, want)
		}
	}
}
