package statestore

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/conformance"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

var wide = Limits{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 12}

// serve runs a service on dir until the test ends, or stop is called.
func serve(t testing.TB, dir string, l Limits) (addr string, stop func()) {
	t.Helper()
	s, err := Open(Config{Listen: "127.0.0.1:0", Dir: dir, Limits: l, MaxSockets: 256}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- s.Run(func(a net.Addr) { ready <- a.String() }) }()
	addr = <-ready
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
	return addr, stop
}

func do(pool *transport.Pool, addr, method, path string, body any) (int, []byte) {
	var b []byte
	if body != nil {
		b = protocol.Encode(body)
	}
	r, _, err := pool.Do(addr, method, path, b, time.Minute)
	if err != nil {
		return 0, nil
	}
	return r.Status, r.Body
}

// TestDiskAgreesWithModel applies drawn orders in drawn batches, opens the file
// again now and then, and compares all that can be read with a plain map.
func TestDiskAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "statestore")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		keep := rapid.IntRange(1, 20).Draw(t, "keep")
		d, err := openDisk(dir, keep)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { d.close() }()
		type val struct {
			data          string
			stamp, permit uint64
		}
		model, ledger, grants := map[string]val{}, uint64(0), map[uint64]bool{}
		var log []changeEvent
		key := rapid.SampledFrom([]string{"a", "a/b", "a/c", "b", "ab"})
		for range rapid.IntRange(1, 30).Draw(t, "commits") {
			var batch []request
			var check []func(o result)
			for range rapid.IntRange(1, 4).Draw(t, "orders") {
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					batch = append(batch, request{ttl: time.Second})
					check = append(check, func(o result) { grants[o.lease] = true })
				case 1:
					id := rapid.Uint64Range(1, 6).Draw(t, "grant")
					batch = append(batch, request{expiredLeases: id})
					check = append(check, func(o result) {
						if o.leaseNotFound == grants[id] {
							t.Fatalf("grant %d gone: %v", id, o.leaseNotFound)
						}
						delete(grants, id)
						changed := false
						for _, k := range sorted(model) {
							if model[k].permit == id {
								changed = true
								delete(model, k)
								log = append(log, changeEvent{k, nil, ledger + 1})
							}
						}
						if changed {
							ledger++
						}
					})
				default:
					txn := &protocol.Txn{}
					for range rapid.IntRange(0, 2).Draw(t, "conds") {
						k := key.Draw(t, "key")
						txn.Compares = append(txn.Compares, protocol.Compare{Key: k, ModRevision: rapid.SampledFrom([]uint64{0, model[k].stamp}).Draw(t, "stamp")})
					}
					for range rapid.IntRange(0, 3).Draw(t, "ops") {
						if k := key.Draw(t, "key"); rapid.Bool().Draw(t, "drop") {
							txn.Ops = append(txn.Ops, protocol.Op{Delete: k})
						} else {
							v := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value"))
							txn.Ops = append(txn.Ops, protocol.Op{Put: k, Value: json.RawMessage(v), Lease: rapid.Uint64Range(0, 3).Draw(t, "permit")})
						}
					}
					batch = append(batch, request{txn: txn})
					check = append(check, func(o result) {
						var failed []string
						for _, c := range txn.Compares {
							if model[c.Key].stamp != c.ModRevision {
								failed = append(failed, c.Key)
							}
						}
						noLease := false
						for _, op := range txn.Ops {
							noLease = noLease || op.Lease != 0 && !grants[op.Lease]
						}
						if o.leaseExpired != noLease || !noLease && !slices.Equal(failed, o.failed) {
							t.Fatalf("%+v: %+v, expected failed %v, no lease %v", txn, o, failed, noLease)
						}
						if noLease || failed != nil {
							return
						}
						changed := false
						for _, op := range txn.Ops {
							if op.Put != "" {
								model[op.Put] = val{string(op.Value), ledger + 1, op.Lease}
								log = append(log, changeEvent{op.Put, op.Value, ledger + 1})
								changed = true
							} else if _, ok := model[op.Delete]; ok {
								delete(model, op.Delete)
								log = append(log, changeEvent{op.Delete, nil, ledger + 1})
								changed = true
							}
						}
						if changed {
							ledger++
						}
						if o.revision != ledger {
							t.Fatalf("ledger %d, expected %d", o.revision, ledger)
						}
					})
				}
			}
			out, _, err := d.commit(batch)
			if err != nil {
				t.Fatal(err)
			}
			for i := range out {
				check[i](out[i])
			}
			if rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				if err := d.close(); err != nil {
					t.Fatal(err)
				}
				if d, err = openDisk(dir, keep); err != nil {
					t.Fatal(err)
				}
				if len(d.ttls) != len(grants) {
					t.Fatalf("%d grants, expected %d", len(d.ttls), len(grants))
				}
			}
			var got []string
			if at, err := d.scan("", "", func(k []byte, r keyRecord) bool {
				got = append(got, string(k))
				if (model[string(k)] != val{string(r.value), r.modRevision, r.lease}) {
					t.Fatalf("%s: %+v, expected %+v", k, r, model[string(k)])
				}
				return true
			}); err != nil || at != ledger || !slices.Equal(got, sorted(model)) {
				t.Fatalf("%v at %d: %v; expected %v at %d", got, at, err, sorted(model), ledger)
			}
			from := rapid.Uint64Range(0, ledger).Draw(t, "from")
			var seen []changeEvent
			_, kept, err := d.changes(from, func(c changeEvent) { seen = append(seen, c) })
			var want []changeEvent
			for _, c := range log {
				if c.revision > from {
					want = append(want, c)
				}
			}
			if err != nil || !kept && len(want) <= keep || kept && fmt.Sprint(seen) != fmt.Sprint(want) {
				t.Fatalf("changes after %d (kept %v): %v %v, expected %v", from, kept, err, seen, want)
			}
		}
	})
}

func sorted[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// TestDamageIsNamed changes bytes of a file, and cuts it off, and demands that
// it is refused by name and left alone, or read exactly as it was.
func TestDamageIsNamed(t *testing.T) {
	dir := t.TempDir()
	d, err := openDisk(dir, 20)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 60 {
		txn := &protocol.Txn{Ops: []protocol.Op{{Put: fmt.Sprintf("k/%02d", i%40), Value: json.RawMessage(`"` + strings.Repeat("x", 40*i) + `"`)}}}
		if _, _, err := d.commit([]request{{txn: txn}}); err != nil {
			t.Fatal(err)
		}
	}
	contents := func(d *disk) string {
		var b strings.Builder
		at, err := d.scan("", "", func(k []byte, r keyRecord) bool {
			fmt.Fprintf(&b, "%s %d %s\n", k, r.modRevision, r.value)
			return true
		})
		fmt.Fprint(&b, at, err)
		return b.String()
	}
	want := contents(d)
	d.close()
	path := filepath.Join(dir, FileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for i := range 400 {
		raw := slices.Clone(good)
		if i%20 == 0 {
			raw = raw[:rnd.IntN(len(raw))]
		} else {
			// A run of bytes, as a bad sector makes it.
			at := rnd.IntN(len(raw))
			for n := 1 << rnd.IntN(10); n > 0 && at < len(raw); n, at = n-1, at+1 {
				raw[at] ^= byte(1 + rnd.IntN(255))
			}
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := openDisk(dir, 20)
		switch {
		case err == nil:
			got := contents(d)
			// An older meta page that is whole is what a crash leaves too.
			if got != want && d.header.Revision == 60 {
				t.Fatalf("case %d: damage was read as contents", i)
			}
			d.close()
		case !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), path):
			t.Fatalf("case %d: %v", i, err)
		default:
			refused++
			if now, _ := os.ReadFile(path); !slices.Equal(now, raw) {
				t.Fatalf("case %d: the damaged file was written to", i)
			}
		}
	}
	if refused < 100 {
		t.Fatalf("only %d of 400 were refused", refused)
	}
}

// TestGrantsEndOnTimeAndNeverForOurFault drives the machine's clock.
func TestGrantsEndOnTimeAndNeverForOurFault(t *testing.T) {
	m := newAdmission(wide, map[uint64]time.Duration{1: time.Second})
	step := func(until time.Duration) (ended []uint64) {
		for m.now < until {
			ended = append(ended, m.advance(min(until, m.nextDeadline()))...)
		}
		return ended
	}
	if e := step(999 * time.Millisecond); len(e) != 0 {
		t.Fatalf("ended early: %v", e)
	}
	if v := m.admit(0, "POST", "/grants/1/touch", "", nil); v.status != 200 {
		t.Fatalf("touch: %d", v.status)
	}
	if e := step(1998 * time.Millisecond); len(e) != 0 {
		t.Fatalf("ended early after a touch: %v", e)
	}
	// The process stands still for longer than the lease.
	if e := m.advance(m.now + 5*time.Second); len(e) != 0 {
		t.Fatalf("ended for our own pause: %v", e)
	}
	at := m.now
	if e := step(at + 999*time.Millisecond); len(e) != 0 {
		t.Fatalf("not the full time after a pause: %v", e)
	}
	if e := step(at + 1000*time.Millisecond); !slices.Equal(e, []uint64{1}) {
		t.Fatalf("did not end in time: %v", e)
	}
	if v := m.admit(0, "POST", "/grants/1/touch", "", nil); v.status != 404 {
		t.Fatalf("touch after the end: %d", v.status)
	}
	if v := m.admit(0, "POST", "/txn", "", []byte(`{"then":[{"write":"a","data":1,"permit":1}]}`)); v.status != 400 {
		t.Fatalf("write with an ended grant: %d", v.status)
	}
}

// TestRates demands bursts of a second's worth and no more.
func TestRates(t *testing.T) {
	m := newAdmission(Limits{RPS: 10, WriteRPS: 6, ValueKB: 1, TxnOps: 3}, nil)
	count := func(do func() int) (ok int) {
		for do() != 429 {
			ok++
		}
		return ok
	}
	get := func() int { return m.admit(0, "GET", "/keys/a", "", nil).status }
	put := func() int {
		return m.admit(0, "POST", "/txn", "", []byte(`{"then":[{"drop":"a"},{"drop":"b"},{"drop":"c"}]}`)).status
	}
	if n := count(put); n != 2 {
		t.Errorf("%d transactions of 3 at 6 writes a second", n)
	}
	m.pendingWrites = 0
	if n := count(get); n != 7 { // one was refused for its writes
		t.Errorf("%d more requests", n)
	}
	m.advance(500 * time.Millisecond)
	if n := count(get); n != 5 {
		t.Errorf("%d requests after half a second", n)
	}
	m.advance(time.Hour)
	if n := count(get); n != 10 {
		t.Errorf("%d requests after an hour", n)
	}
}

// The test binary serves when it is told a folder: it can then be killed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201") // so that a verdict repeats
	if dir := os.Getenv("STATESTORE_DIR"); dir != "" {
		s, err := Open(Config{Listen: "127.0.0.1:0", Dir: dir, Limits: wide, MaxSockets: 64}, quiet)
		if err == nil {
			err = s.Run(func(a net.Addr) { fmt.Println(a) })
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestKilledAtAnyMoment kills the service while clients write, and demands that
// all it answered is there afterwards, in order and once, and that the ledger
// has not gone back.
func TestKilledAtAnyMoment(t *testing.T) {
	rounds := 6
	if testing.Short() {
		rounds = 2
	}
	dir := t.TempDir()
	rnd := rand.New(rand.NewPCG(3, 4))
	const clients = 4
	var answered [clients]int // the last number whose write was answered
	ledger := uint64(0)
	for round := range rounds {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "STATESTORE_DIR="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		var addr string
		if _, err := fmt.Fscanln(out, &addr); err != nil {
			cmd.Process.Kill()
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				pool := transport.NewPool(2)
				for n := answered[c] + 1; ; n++ {
					key := fmt.Sprintf("c%d/%06d", c, n)
					st, body := do(pool, addr, "POST", "/txn", protocol.Txn{Ops: []protocol.Op{{Put: key, Value: protocol.Encode(n)}}})
					if st != 200 {
						return
					}
					var r protocol.TxnResult
					_ = json.Unmarshal(body, &r)
					mu.Lock()
					answered[c] = n
					ledger = max(ledger, r.Revision)
					mu.Unlock()
				}
			}()
		}
		time.Sleep(time.Duration(20+rnd.IntN(150)) * time.Millisecond)
		cmd.Process.Kill()
		cmd.Wait()
		wg.Wait()
		d, err := openDisk(dir, retainedChanges)
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if d.header.Revision < ledger {
			t.Fatalf("round %d: the ledger went back from %d to %d", round, ledger, d.header.Revision)
		}
		for c := range clients {
			have := 0
			prefix := fmt.Sprintf("c%d/", c)
			if _, err := d.scan(prefix, "", func(k []byte, r keyRecord) bool {
				have++
				return string(k) == fmt.Sprintf("%s%06d", prefix, have)
			}); err != nil {
				t.Fatal(err)
			}
			// One more than answered may have been written.
			if have < answered[c] || have > answered[c]+1 {
				t.Fatalf("round %d: client %d got %d answers, %d are there", round, c, answered[c], have)
			}
			answered[c] = have
		}
		if err := d.close(); err != nil {
			t.Fatal(err)
		}
	}
	if answered[0] == 0 {
		t.Fatal("nothing was written")
	}
}

// TestBackupAndRestore backs up while writes go on, and demands that a restored
// store refuses every stamp of the lost one.
func TestBackupAndRestore(t *testing.T) {
	dir := t.TempDir()
	addr, stop := serve(t, dir, wide)
	pool := transport.NewPool(4)
	write := func(i int) uint64 {
		st, body := do(pool, addr, "POST", "/txn", protocol.Txn{Ops: []protocol.Op{{Put: "a", Value: protocol.Encode(i)}}})
		var r protocol.TxnResult
		if json.Unmarshal(body, &r) != nil || st != 200 {
			t.Fatalf("%d %s", st, body)
		}
		return r.Revision
	}
	first := write(1)
	st, body := do(pool, addr, "POST", PathBackup, BackupRequest{"one"})
	var saved BackupSummary
	if json.Unmarshal(body, &saved) != nil || st != 200 || saved.Revision != first {
		t.Fatalf("%d %s", st, body)
	}
	for _, name := range []string{"one", "../one", ""} {
		if st, _ := do(pool, addr, "POST", PathBackup, BackupRequest{name}); st != 409 && st != 400 {
			t.Errorf("backup %q: %d", name, st)
		}
	}
	last := write(2)
	stop()
	if _, err := Restore(saved.File, dir); err == nil {
		t.Error("a store that exists was replaced")
	}
	other := filepath.Join(t.TempDir(), "other")
	if _, err := Restore(saved.File, other); err != nil {
		t.Fatal(err)
	}
	addr, _ = serve(t, other, wide)
	_, body = do(pool, addr, "GET", "/keys/a", nil)
	var e protocol.KeyValue
	if json.Unmarshal(body, &e) != nil || string(e.Value) != "1" || e.ModRevision <= last {
		t.Errorf("restored: %s", body)
	}
	if st, _ := do(pool, addr, "POST", "/txn", protocol.Txn{Compares: []protocol.Compare{{Key: "a", ModRevision: first}}, Ops: []protocol.Op{{Delete: "a"}}}); st != 409 {
		t.Errorf("an old stamp was taken: %d", st)
	}
	if st, _ := do(pool, addr, "GET", fmt.Sprintf("/watch?from=%d", last), nil); st != 410 {
		t.Errorf("an old watch went on: %d", st)
	}
}

// FuzzTxn demands that whatever is accepted keeps to the limits.
func FuzzTxn(f *testing.F) {
	for _, s := range []string{`{}`, `{"if":[{"key":"a","stamp":0}],"then":[{"write":"a/b","data":{"x":[1]},"permit":7},{"drop":"c"}]}`,
		`{"then":[{"write":"a"}]}`, `{"then":[{"write":"a","drop":"b","data":1}]}`, `[]`, `{"if":[{"key":"a b","stamp":-1}]}`, "null"} {
		f.Add([]byte(s))
	}
	limits := Limits{RPS: 100, WriteRPS: 100, ValueKB: 0.1, TxnOps: 2}
	f.Fuzz(func(t *testing.T, body []byte) {
		txn, err := decodeTxn(body, limits)
		if err != nil {
			return
		}
		if len(txn.Ops) > 2 || len(txn.Compares) > 8 {
			t.Fatalf("too much: %+v", txn)
		}
		for _, o := range txn.Ops {
			if (o.Put == "") == (o.Delete == "") || checkKey(o.Put+o.Delete) != nil || len(o.Value) > 102 || o.Put != "" && !json.Valid(o.Value) {
				t.Fatalf("bad: %+v", o)
			}
		}
	})
}

// BenchmarkChanges has clients write one key each as fast as they get answers,
// with a watch open: changes a second, and how late the watch tells.
func BenchmarkChanges(b *testing.B) {
	for _, clients := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			addr, _ := serve(b, b.TempDir(), wide)
			per := max(1, b.N/clients)
			sent := make([]time.Time, per*clients+1)
			var mu sync.Mutex
			var late []time.Duration
			var wg sync.WaitGroup
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				pool := transport.NewPool(1)
				for from, left := uint64(0), per*clients; left > 0; {
					_, body := do(pool, addr, "GET", fmt.Sprintf("/watch?under=c&from=%d&blockMs=1000", from), nil)
					var r protocol.WatchResult
					if json.Unmarshal(body, &r) != nil {
						return
					}
					now := time.Now()
					mu.Lock()
					for _, n := range r.Events {
						var i int
						_ = json.Unmarshal(n.Value, &i)
						late = append(late, now.Sub(sent[i]))
					}
					mu.Unlock()
					left -= len(r.Events)
					from = r.Revision
				}
			}()
			b.ResetTimer()
			for c := range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					pool := transport.NewPool(1)
					for n := range per {
						i := c*per + n
						mu.Lock()
						sent[i] = time.Now()
						mu.Unlock()
						do(pool, addr, "POST", "/txn", protocol.Txn{Ops: []protocol.Op{{Put: fmt.Sprintf("c%d/%d", c, n%100), Value: protocol.Encode(i)}}})
					}
				}()
			}
			wg.Wait()
			<-ended
			b.ReportMetric(float64(per*clients)/b.Elapsed().Seconds(), "changes/s")
			slices.Sort(late)
			b.ReportMetric(float64(late[len(late)/2].Microseconds())/1000, "watch-p50-ms")
			b.ReportMetric(float64(late[len(late)*99/100].Microseconds())/1000, "watch-p99-ms")
		})
	}
}

// BenchmarkFileSize writes values of 300 bytes to a thousand keys, fifty to a
// sync, and reports the file's size: with -benchtime 1000000x, of a million
// changes.
func BenchmarkFileSize(b *testing.B) {
	d, err := openDisk(b.TempDir(), retainedChanges)
	if err != nil {
		b.Fatal(err)
	}
	defer d.close()
	value := json.RawMessage(`"` + strings.Repeat("x", 298) + `"`)
	for n := 0; n < b.N; {
		var batch []request
		for range 50 {
			batch = append(batch, request{txn: &protocol.Txn{Ops: []protocol.Op{{Put: fmt.Sprintf("k/%d", n*7919%1000), Value: value}}}})
			n++
		}
		if _, _, err := d.commit(batch); err != nil {
			b.Fatal(err)
		}
	}
	st, err := os.Stat(d.path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(st.Size())/1e6, "file-MB")
}

// TestConformsToProtocol plays the protocol's sentences.
func TestConformsToProtocol(t *testing.T) {
	conformance.Run(t, conformance.State, true, func(t *testing.T) conformance.Target {
		addr, _ := serve(t, t.TempDir(), wide)
		return conformance.HTTP{Address: addr, Second: time.Second}
	})
}
