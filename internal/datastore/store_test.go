package datastore

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/dataset"
	"silvergate/internal/fakeserver"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// publishVersion publishes files as a version in a file server's root.
func publishVersion(t testing.TB, root, set, version string, files map[string][]byte) (*dataset.Manifest, Want) {
	t.Helper()
	dir := t.TempDir()
	for name, data := range files {
		path := filepath.Join(dir, name)
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, data, 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	m, err := dataset.Build(dir, set, version, nil)
	if err != nil {
		t.Fatal(err)
	}
	digest, err := dataset.Publish(dir, root, m)
	if err != nil {
		t.Fatal(err)
	}
	return m, Want{ID: dataset.IDOf(digest), Digest: digest, Set: set, Version: version}
}

func randomBytes(seed uint64, n int) []byte {
	b := make([]byte, n)
	c := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = c.Read(b)
	return b
}

func startServer(t testing.TB, root string, x fakeserver.Faults) *fakeserver.FileServer {
	f, err := fakeserver.Serve("127.0.0.1:0", root, 1)
	if err != nil {
		t.Fatal(err)
	}
	f.SetFaults(x)
	t.Cleanup(f.Close)
	return f
}

func openTestStore(t testing.TB, dir string, capacity int64) *Store {
	s, err := Open(Config{Dir: dir, Capacity: capacity, StallTimeout: 300 * time.Millisecond}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func fetchAndWait(s *Store, w Want) error {
	got := make(chan error, 1)
	s.Fetch(w, func(err error) { got <- err })
	select {
	case err := <-got:
		return err
	case <-time.After(time.Minute):
		return errors.New("the fetch did not end within a minute")
	}
}

// withSources returns w with sources.
func withSources(w Want, sources ...Source) Want {
	w.Sources = sources
	return w
}

// TestFetchThroughFaults guards against damaged copies from bad sources. It fetches from
// a server that damages, cuts, fails and stalls answers, from one that doesn't answer and
// from one that is slow; the placed files must be as published.
func TestFetchThroughFaults(t *testing.T) {
	root := t.TempDir()
	bad := startServer(t, root, fakeserver.Faults{Damage: 0.1, Truncate: 0.15, WrongLength: 0.1, Error: 0.15, Stall: 0.1, StallFor: 2 * time.Second})
	slow := startServer(t, root, fakeserver.Faults{BytesPerS: 60e6})
	unresponsive := startServer(t, root, fakeserver.Faults{})
	unresponsive.SetUnresponsive(true)
	for i := range 4 {
		m, w := publishVersion(t, root, "set", fmt.Sprint(i),
			map[string][]byte{"a/one": randomBytes(uint64(i), 3<<20+17), "empty": nil, "two": randomBytes(uint64(i)+100, 5<<20)})
		s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
		var mu sync.Mutex
		aside := map[string]bool{}
		s.Observe = func(e Event) {
			mu.Lock()
			defer mu.Unlock()
			if e.Kind == "aside" {
				aside[e.Source] = true
			}
			if e.Kind == "chunk" && aside[e.Source] {
				t.Errorf("a chunk from %s was accepted after that source had served damaged bytes", e.Source)
			}
		}
		if err := fetchAndWait(s, withSources(w, Source{bad.Address(), false}, Source{unresponsive.Address(), false}, Source{slow.Address(), false})); err != nil {
			t.Fatal(err)
		}
		place := filepath.Join(t.TempDir(), "task", "in")
		if err := s.Place(context.Background(), PlaceRequest{ID: w.ID, Dir: place}); err != nil {
			t.Fatal(err)
		}
		if err := dataset.VerifyTree(place, m); err != nil {
			t.Fatal(err)
		}
	}
	// The only source always serves damaged bytes: the fetch keeps trying, and no copy
	// becomes visible.
	bad.SetFaults(fakeserver.Faults{Damage: 1})
	_, w := publishVersion(t, root, "set", "x", map[string][]byte{"f": randomBytes(9, 2<<20)})
	s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
	failed := make(chan error, 1)
	s.Fetch(withSources(w, Source{bad.Address(), false}), func(err error) { failed <- err })
	select {
	case err := <-failed:
		t.Fatalf("a fetch whose only source is damaged ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	if s.Has(w.ID) || s.Place(context.Background(), PlaceRequest{ID: w.ID, Dir: filepath.Join(t.TempDir(), "x")}) == nil {
		t.Fatal("a damaged copy is visible")
	}
	// A good source is added to the fetch, which then succeeds.
	s.Fetch(withSources(w, Source{slow.Address(), false}), nil)
	if err := <-failed; err != nil {
		t.Fatal(err)
	}
	if err := fetchAndWait(openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30),
		withSources(Want{ID: w.ID, Digest: w.Digest, Set: "none", Version: "1"}, Source{slow.Address(), false})); err == nil {
		t.Fatal("a version that no source has was fetched")
	}
}

// TestMain makes the test binary fetch DATASTORE_WANT into DATASTORE_DIR if they are set,
// so that a test can run the fetch in a process of its own and kill it. If DATASTORE_PLACE is
// set, it places copies below that folder, one after the other.
func TestMain(m *testing.M) {
	if dir := os.Getenv("DATASTORE_PLACE"); dir != "" {
		placeUntilKilled(dataset.ID(os.Getenv("DATASTORE_COPY")), os.Getenv("DATASTORE_DIR"), dir)
	}
	if raw := os.Getenv("DATASTORE_WANT"); raw != "" {
		var w Want
		_ = json.Unmarshal([]byte(raw), &w)
		s, err := Open(Config{Dir: os.Getenv("DATASTORE_DIR"), Capacity: 1 << 30}, discardLog)
		if err == nil {
			err = fetchAndWait(s, w)
		}
		fmt.Println(err)
		time.Sleep(time.Minute)
	}
	_ = flag.Set("rapid.seed", "20261201") // so that results are reproducible
	_ = flag.Set("rapid.checks", "60")
	os.Exit(m.Run())
}

// TestKilledAtAnyMoment kills a fetch at random moments and overwrites some of the bytes
// that it left, as a power cut does. It guards against a visible copy that differs from
// the published version, and against fetching correct chunks again.
func TestKilledAtAnyMoment(t *testing.T) {
	root, dir := t.TempDir(), filepath.Join(t.TempDir(), "s")
	srv := startServer(t, root, fakeserver.Faults{BytesPerS: 100e6})
	const size = 24 << 20
	m, w := publishVersion(t, root, "set", "1", map[string][]byte{"a": randomBytes(1, size/2), "b": randomBytes(2, size/2)})
	w = withSources(w, Source{srv.Address(), false})
	raw, _ := json.Marshal(w)
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 8 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "DATASTORE_WANT="+string(raw), "DATASTORE_DIR="+dir)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(10+rnd.IntN(60)) * time.Millisecond)
		cmd.Process.Kill()
		cmd.Wait()
		s := openTestStore(t, dir, 1<<30)
		if s.Has(w.ID) {
			if err := dataset.VerifyTree(filepath.Join(dir, copiesDir, string(w.ID)), m); err != nil {
				t.Fatal(err)
			}
		}
		s.Close()
		// A power cut can leave pages that were never written to the disk.
		for _, f := range []string{"a", "b"} {
			path := filepath.Join(dir, partialDir, string(w.ID), f)
			if h, err := os.OpenFile(path, os.O_WRONLY, 0); err == nil && rnd.IntN(3) == 0 {
				_, _ = h.WriteAt(make([]byte, 4096), rnd.Int64N(size/2-4096))
				h.Close()
			}
		}
	}
	s := openTestStore(t, dir, 1<<30)
	if err := fetchAndWait(s, w); err != nil {
		t.Fatal(err)
	}
	place := filepath.Join(t.TempDir(), "in")
	if err := s.Place(context.Background(), PlaceRequest{ID: w.ID, Dir: place}); err != nil {
		t.Fatal(err)
	}
	if err := dataset.VerifyTree(place, m); err != nil {
		t.Fatal(err)
	}
	// Each kill loses the four chunks under way, and each overwritten page one chunk.
	if sent := srv.SentBytes.Load(); sent > size+8*(4+2)*dataset.ChunkSize {
		t.Errorf("%d bytes were sent for %d: correct chunks were fetched again", sent, size)
	}
}

// TestUrgentFetchDisplacesOthersAtOnce guards against an urgent fetch that shares the rate
// with a background fetch: it checks the events of a store where an urgent fetch begins
// during a background one.
func TestUrgentFetchDisplacesOthersAtOnce(t *testing.T) {
	root := t.TempDir()
	srv := startServer(t, root, fakeserver.Faults{BytesPerS: 60e6})
	_, back := publishVersion(t, root, "back", "1", map[string][]byte{"a": randomBytes(1, 20<<20)})
	_, fast := publishVersion(t, root, "fast", "1", map[string][]byte{"a": randomBytes(2, 6<<20)})
	s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
	var mu sync.Mutex
	var events []Event
	s.Observe = func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, e)
	}
	slow := make(chan error, 1)
	s.Fetch(withSources(back, Source{srv.Address(), false}), func(err error) { slow <- err })
	time.Sleep(50 * time.Millisecond)
	fast.Urgent = true
	if err := fetchAndWait(s, withSources(fast, Source{srv.Address(), false})); err != nil {
		t.Fatal(err)
	}
	if err := <-slow; err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	paused, order := false, []string{}
	for _, e := range events {
		switch {
		case e.Kind == "pause":
			paused = true
		case e.Kind == "resume":
			paused = false
		case e.Kind == "chunk" && e.ID == back.ID && paused:
			t.Error("a chunk of the background fetch was accepted during an urgent fetch")
		case e.Kind == "visible":
			order = append(order, string(e.ID))
		}
	}
	if !slices.Equal(order, []string{string(fast.ID), string(back.ID)}) {
		t.Errorf("the copies became visible in the order %v", order)
	}
}

// TestGivenUpFetchIsTold guards against a cancelled urgent fetch that ends without an
// event: a reader of the events would think that it still pauses all other fetches.
func TestGivenUpFetchIsTold(t *testing.T) {
	root := t.TempDir()
	srv := startServer(t, root, fakeserver.Faults{BytesPerS: 1e6})
	_, w := publishVersion(t, root, "back", "1", map[string][]byte{"a": randomBytes(1, 8<<20)})
	s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
	events := make(chan Event, 100)
	s.Observe = func(e Event) { events <- e }
	w.Urgent = true
	ended := make(chan error, 1)
	s.Fetch(withSources(w, Source{srv.Address(), false}), func(err error) { ended <- err })
	s.Cancel(w.ID)
	if err := <-ended; !errors.Is(err, ErrCancelled) {
		t.Fatal(err)
	}
	var kinds []string
	for len(events) > 0 {
		kinds = append(kinds, (<-events).Kind)
	}
	if len(kinds) < 2 || kinds[0] != "begin" || kinds[len(kinds)-1] != "quit" {
		t.Errorf("the events are %v", kinds)
	}
}

// TestRoomPinsAndSharing fills a small store. It guards against evicting copies in use,
// fetching chunks that another copy has, and tasks that read what another task wrote.
func TestRoomPinsAndSharing(t *testing.T) {
	root := t.TempDir()
	srv := startServer(t, root, fakeserver.Faults{})
	src := Source{srv.Address(), false}
	common := randomBytes(50, 2<<20)
	var ws []Want
	for i := range 4 {
		_, w := publishVersion(t, root, "set", fmt.Sprint(i), map[string][]byte{"common": common, "own": randomBytes(uint64(i), 1<<20)})
		ws = append(ws, withSources(w, src))
	}
	s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 7<<20) // two copies of 3 MiB
	for _, w := range ws[:2] {
		if err := fetchAndWait(s, w); err != nil {
			t.Fatal(err)
		}
	}
	if st := s.Stats(); st.Fetched != 4<<20 || st.Shared != 2<<20 {
		t.Errorf("%+v: the file that two versions share was fetched twice", st)
	}
	s.Pin(ws[0].ID)
	if err := fetchAndWait(s, ws[2]); err != nil || !s.Has(ws[0].ID) || s.Has(ws[1].ID) {
		t.Errorf("the copy in use was evicted, or the unused one was not: %v %v", err, s.Held())
	}
	s.Pin(ws[2].ID)
	if err := fetchAndWait(s, ws[3]); !errors.Is(err, ErrFull) {
		t.Errorf("fetching a third copy with two in use: %v, not ErrFull", err)
	}
	if s.Drop(ws[0].ID) || !s.Has(ws[0].ID) {
		t.Error("a copy in use was dropped")
	}
	s.Unpin(ws[0].ID)
	if !s.Drop(ws[0].ID) || s.Has(ws[0].ID) {
		t.Error("a copy that is not in use was not dropped")
	}
	// A task that writes to its inputs must not change the inputs of other tasks.
	place := filepath.Join(t.TempDir(), "in")
	if err := s.Place(context.Background(), PlaceRequest{ID: ws[2].ID, Dir: place}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	if err := os.WriteFile(filepath.Join(place, "own"), []byte("changed"), 0o644); err != nil {
		t.Fatal(err)
	}
	s.Unpin(ws[2].ID)
	again := filepath.Join(t.TempDir(), "in")
	if err := s.Place(context.Background(), PlaceRequest{ID: ws[2].ID, Dir: again}); err != nil {
		t.Fatalf("placing a copy whose earlier task has written to its inputs: %v", err)
	}
	m, _ := dataset.Build(again, "set", "2", nil)
	if raw, _ := m.Encode(); dataset.Sum(raw) != ws[2].Digest {
		t.Error("a changed copy was placed")
	}
}

// TestMachinesServeOneAnother lets one machine fetch from the file server and three others
// from that machine. It guards against using the file server where a machine can serve.
func TestMachinesServeOneAnother(t *testing.T) {
	root := t.TempDir()
	srv := startServer(t, root, fakeserver.Faults{})
	_, w := publishVersion(t, root, "set", "1", map[string][]byte{"a": randomBytes(1, 8<<20)})
	first := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
	if err := fetchAndWait(first, withSources(w, Source{srv.Address(), false})); err != nil {
		t.Fatal(err)
	}
	before := srv.SentBytes.Load()
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := Answer(r.Context(), first, strings.TrimPrefix(r.URL.Path, dataset.ChunkPath))
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	defer peer.Close()
	for range 3 {
		s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
		if err := fetchAndWait(s, withSources(w, Source{strings.TrimPrefix(peer.URL, "http://"), true}, Source{srv.Address(), false})); err != nil {
			t.Fatal(err)
		}
		if first.Digest() != s.Digest() {
			t.Error("the same copies have different digests")
		}
	}
	// Manifests and chunks came from the machine, except for requests that it refused
	// because it was busy.
	if more := srv.SentBytes.Load() - before; more > 4<<20 {
		t.Errorf("the file server sent %d more bytes", more)
	}
	for path, want := range map[string]int{"/chunks/xyz": 400, "/chunks/" + strings.Repeat("0", 64): 404,
		"/chunks/manifest/x": 400, "/chunks/manifest/" + strings.Repeat("0", 32): 404} {
		r, err := http.Get(peer.URL + path)
		if err != nil || r.StatusCode != want {
			t.Errorf("%s: %v %v", path, r, err)
		}
		r.Body.Close()
	}
	if _, ok, _ := first.Chunk(context.Background(), dataset.Sum([]byte("x"))); ok {
		t.Error("a chunk that the store does not have was served")
	}
}

// TestInterleavings makes random fetches, cancellations, crashes, drops and uses of copies
// of two versions of two sets. After each it checks that visible copies are as published,
// that copies in use stay, and that the copies fit into the capacity.
func TestInterleavings(t *testing.T) {
	root := t.TempDir()
	srv := startServer(t, root, fakeserver.Faults{})
	var ms []*dataset.Manifest
	var ws []Want
	for i := range 4 { // two sets with two versions each, which share a file
		m, w := publishVersion(t, root, fmt.Sprint("set", i%2), fmt.Sprint(i/2),
			map[string][]byte{"shared": randomBytes(uint64(i%2), 3000), "own": randomBytes(uint64(10+i), 2000+i)})
		ms, ws = append(ms, m), append(ws, withSources(w, Source{srv.Address(), false}))
	}
	base := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		dir := filepath.Join(base, fmt.Sprint(run))
		cfg := Config{Dir: dir, Capacity: 11_000, StallTimeout: time.Second} // two copies of 5,000 bytes
		s, err := Open(cfg, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		pins := map[int]int{}
		for step := range rapid.IntRange(3, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "version")
			id := ws[i].ID
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				err := fetchAndWait(s, ws[i])
				inUse := 0
				for j, n := range pins {
					if n > 0 && j != i && s.Has(ws[j].ID) {
						inUse++
					}
				}
				if err != nil && !(errors.Is(err, ErrFull) && inUse >= 2) {
					t.Fatal(err)
				}
			case 2:
				if s.Has(id) {
					s.Pin(id)
					pins[i]++
				}
			case 3:
				if pins[i] > 0 {
					s.Unpin(id)
					pins[i]--
				}
			case 4: // a fetch is cancelled
				s.Fetch(ws[i], nil)
				s.Cancel(id)
			case 5: // the agent is killed: tasks and their pins are gone
				s.Close()
				if s, err = Open(cfg, discardLog); err != nil {
					t.Fatal(err)
				}
				pins = map[int]int{}
			case 6:
				if dropped := s.Drop(id); dropped == (pins[i] > 0) {
					t.Fatalf("dropped: %v, with %d pins", dropped, pins[i])
				}
			}
			for j := range ws {
				if !s.Has(ws[j].ID) {
					if pins[j] > 0 {
						t.Fatalf("the copy of version %d is pinned, but the store does not have it", j)
					}
					continue
				}
				place := filepath.Join(dir, "task", fmt.Sprint(step, "-", j))
				if err := s.Place(context.Background(), PlaceRequest{ID: ws[j].ID, Dir: place}); err != nil {
					if s.Has(ws[j].ID) {
						t.Fatal(err)
					}
					continue // evicted between Has and Place
				}
				if err := dataset.VerifyTree(place, ms[j]); err != nil {
					t.Fatal(err)
				}
				removePlacements(t, s) // the task is over
			}
			if st := s.Stats(); st.Bytes > cfg.Capacity {
				t.Fatalf("the copies take %d bytes of %d", st.Bytes, cfg.Capacity)
			}
		}
	})
}
