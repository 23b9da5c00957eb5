package statestore

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"testing"
	"time"

	"silvergate/internal/conformance"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// unlimited holds limits with rates that no test reaches.
var unlimited = Limits{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 12}

// serveDirVariable is an environment variable. If it names a folder, the test binary runs a
// service on that folder instead of the tests, as a process that a test can kill.
const serveDirVariable = "STATESTORE_DIR"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201") // fixed, so that results are reproducible
	if dir := os.Getenv(serveDirVariable); dir != "" {
		s, err := Open(Config{Listen: "127.0.0.1:0", Dir: dir, Limits: unlimited, MaxSockets: 64}, discardLog)
		if err == nil {
			err = s.Run(func(address net.Addr) { fmt.Println(address) })
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// serve runs a service on dir until the test ends or stop is called.
func serve(t testing.TB, dir string, l Limits) (address string, stop func()) {
	t.Helper()
	s, err := Open(Config{Listen: "127.0.0.1:0", Dir: dir, Limits: l, MaxSockets: 256}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- s.Run(func(a net.Addr) { ready <- a.String() }) }()
	address = <-ready
	var once sync.Once
	stop = func() {
		once.Do(func() {
			s.Stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	return address, stop
}

// sendRequest sends a request and returns the response's status and body. The status is 0 if
// there is no response.
func sendRequest(pool *transport.Pool, address, method, path string, body any) (status int, response []byte) {
	var encoded []byte
	if body != nil {
		encoded = protocol.Encode(body)
	}
	r, _, err := pool.Do(address, method, path, encoded, time.Minute)
	if err != nil {
		return 0, nil
	}
	return r.Status, r.Body
}

// TestConformsToProtocol runs the conformance suite of the state protocol.
func TestConformsToProtocol(t *testing.T) {
	conformance.Run(t, conformance.State, true, func(t *testing.T) conformance.Target {
		address, _ := serve(t, t.TempDir(), unlimited)
		return conformance.HTTP{Address: address, Second: time.Second}
	})
}

// startProcess starts a process that serves dir, and returns it with its address.
func startProcess(t *testing.T, dir string) (process *exec.Cmd, address string) {
	t.Helper()
	process = exec.Command(os.Args[0])
	process.Env = append(os.Environ(), serveDirVariable+"="+dir)
	out, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fscanln(out, &address); err != nil {
		process.Process.Kill()
		t.Fatal(err)
	}
	return process, address
}

// numberedWrites tracks the writes of several clients, each of which puts keys numbered
// from 1.
type numberedWrites struct {
	mu       sync.Mutex
	answered []int  // number of each client's last write that was answered
	revision uint64 // highest revision that was answered
}

func numberedKey(client, number int) string { return fmt.Sprintf("c%d/%06d", client, number) }

// run writes as one client until a write is not answered with 200.
func (w *numberedWrites) run(address string, client int) {
	pool := transport.NewPool(2)
	for n := w.answered[client] + 1; ; n++ {
		txn := protocol.Txn{Ops: []protocol.Op{{Put: numberedKey(client, n), Value: protocol.Encode(n)}}}
		status, body := sendRequest(pool, address, "POST", "/txn", txn)
		if status != 200 {
			return
		}
		var r protocol.TxnResult
		_ = json.Unmarshal(body, &r)
		w.mu.Lock()
		w.answered[client] = n
		w.revision = max(w.revision, r.Revision)
		w.mu.Unlock()
	}
}

// requireStored requires that the store holds every answered write exactly once and in
// order. Each client may have one more write stored, which the service committed but was
// killed before it answered; requireStored counts that write as answered.
func (w *numberedWrites) requireStored(t *testing.T, d *disk) {
	t.Helper()
	if d.header.Revision < w.revision {
		t.Fatalf("the revision went back from %d to %d", w.revision, d.header.Revision)
	}
	for client, answered := range w.answered {
		stored := 0
		if _, err := d.scan(fmt.Sprintf("c%d/", client), "", func(k []byte, _ keyRecord) bool {
			stored++
			return string(k) == numberedKey(client, stored)
		}); err != nil {
			t.Fatal(err)
		}
		if stored < answered || stored > answered+1 {
			t.Fatalf("client %d got %d answers, but %d writes are stored", client, answered, stored)
		}
		w.answered[client] = stored
	}
}

// TestKilledServiceKeepsAcknowledgedWrites guards against answered writes that are lost,
// reordered or repeated, and against a revision that goes back, when the service's process is
// killed while clients write.
func TestKilledServiceKeepsAcknowledgedWrites(t *testing.T) {
	rounds := 6
	if testing.Short() {
		rounds = 2
	}
	const clients = 4
	dir := t.TempDir()
	rnd := rand.New(rand.NewPCG(3, 4))
	writes := &numberedWrites{answered: make([]int, clients)}
	for round := range rounds {
		t.Logf("round %d", round)
		process, address := startProcess(t, dir)
		var wg sync.WaitGroup
		for client := range clients {
			wg.Go(func() { writes.run(address, client) })
		}
		time.Sleep(time.Duration(20+rnd.IntN(150)) * time.Millisecond)
		process.Process.Kill()
		process.Wait()
		wg.Wait()
		d, err := openDisk(dir, retainedChanges)
		if err != nil {
			t.Fatal(err)
		}
		writes.requireStored(t, d)
		if err := d.close(); err != nil {
			t.Fatal(err)
		}
	}
	if writes.answered[0] == 0 {
		t.Fatal("no write of client 0 was answered")
	}
}

// watchDelays watches until it has received as many events as there are writes. It returns
// how long after the sending of its write each event arrived. The value of a write is its
// index in sent, which watchDelays reads with mu held.
func watchDelays(address string, sent []time.Time, mu *sync.Mutex, writes int) (delays []time.Duration) {
	pool := transport.NewPool(1)
	for from, left := uint64(0), writes; left > 0; {
		_, body := sendRequest(pool, address, "GET", fmt.Sprintf("/watch?under=c&from=%d&blockMs=1000", from), nil)
		var r protocol.WatchResult
		if json.Unmarshal(body, &r) != nil {
			break
		}
		now := time.Now()
		mu.Lock()
		for _, event := range r.Events {
			var i int
			_ = json.Unmarshal(event.Value, &i)
			delays = append(delays, now.Sub(sent[i]))
		}
		mu.Unlock()
		left -= len(r.Events)
		from = r.Revision
	}
	return delays
}

// BenchmarkChanges measures the changes per second while a watch is open, and how late the
// watch reports them. Each client writes one key at a time, as fast as it gets answers.
func BenchmarkChanges(b *testing.B) {
	for _, clients := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			address, _ := serve(b, b.TempDir(), unlimited)
			each := max(1, b.N/clients)
			sent := make([]time.Time, each*clients+1)
			var mu sync.Mutex
			var delays []time.Duration
			var writers, watcher sync.WaitGroup
			watcher.Go(func() { delays = watchDelays(address, sent, &mu, each*clients) })
			b.ResetTimer()
			for client := range clients {
				writers.Go(func() {
					pool := transport.NewPool(1)
					for n := range each {
						i := client*each + n
						mu.Lock()
						sent[i] = time.Now()
						mu.Unlock()
						sendRequest(pool, address, "POST", "/txn", protocol.Txn{Ops: []protocol.Op{{Put: fmt.Sprintf("c%d/%d", client, n%100), Value: protocol.Encode(i)}}})
					}
				})
			}
			writers.Wait()
			watcher.Wait()
			b.ReportMetric(float64(each*clients)/b.Elapsed().Seconds(), "changes/s")
			slices.Sort(delays)
			b.ReportMetric(float64(delays[len(delays)/2].Microseconds())/1000, "watch-p50-ms")
			b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds())/1000, "watch-p99-ms")
		})
	}
}
