package vault

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"silvergate/internal/archive"
	"silvergate/internal/checksum"
	"silvergate/internal/proptest"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "20") // each check syncs a few hundred times; run more by hand with -rapid.checks
	proptest.Main(m)
}

// quiet discards log lines.
var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// segment returns a segment record whose data and key depend on n and size.
func segment(job, n int, size int) archive.Record {
	s := archive.Segment{WriteTimes: []archive.WriteTime{{To: size, At: int64(n)}}, Data: make([]byte, size)}
	for i := range s.Data {
		s.Data[i] = byte(i*31 + n*7 + i*i*n)
	}
	return archive.NewRecord(archive.Attempt{Job: fmt.Sprintf("wk-%06d", job), Task: n % 3, Try: 1, Machine: "m"}, archive.KindSegment,
		archive.FormatPosition(archive.Stdout, int64(n)<<20, size), s.Encode())
}

// grant returns a grant record of the job's first task.
func grant(job int) archive.Record {
	a := archive.Attempt{Job: fmt.Sprintf("wk-%06d", job), Task: 0, Try: 1, Machine: "m"}
	return archive.NewRecord(a, archive.KindGrant, "", archive.Encode(archive.Grant{Attempt: a, Terms: archive.Terms{Owner: archive.Owner{Team: "office"}, Class: "x"}}))
}

// faultyDisk is a disk on which a test can make writes or syncs fail by setting write or
// sync. A failing write stores half of its bytes and reports a full disk; a failing sync
// reports an exhausted quota.
type faultyDisk struct {
	osDisk
	write, sync atomic.Bool
}

func (d *faultyDisk) WriteAt(f *os.File, b []byte, off int64) error {
	if d.write.Load() {
		_, _ = f.WriteAt(b[:len(b)/2], off)
		return &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return d.osDisk.WriteAt(f, b, off)
}

func (d *faultyDisk) Sync(f *os.File) error {
	if d.sync.Load() {
		return syscall.EDQUOT
	}
	return d.osDisk.Sync(f)
}

// listedKeys holds the keys that a vault reported by Config.Added and not by
// Config.Removed since.
type listedKeys struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (h *listedKeys) config(dir string) Config {
	h.keys = map[string]bool{}
	return Config{Dir: dir, VolumeBytes: 4 << 10,
		Labels: func(r *archive.Record) []string {
			if r.Key.Kind != archive.KindGrant {
				return nil
			}
			return []string{"team/office"}
		},
		Added: func(i RecordInfo) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.keys[i.Key.String()] = true
		},
		Removed: func(i RecordInfo) {
			h.mu.Lock()
			defer h.mu.Unlock()
			delete(h.keys, i.Key.String())
		}}
}

// TestNothingAcknowledgedIsLost guards against losing acknowledged records. It runs random
// puts, drops, full disks, kills that leave a part of an unacknowledged record at the end of
// a volume, and damaged indexes, and compares the vault with what it acknowledged.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "vault")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		h, d := &listedKeys{}, &faultyDisk{}
		v, err := open(h.config(dir), quiet, d)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { v.Close() }()
		acknowledged := map[string]archive.Record{}
		mayExist := map[string]bool{} // dropped or not acknowledged; a rebuilt index may list them
		ctx := context.Background()
		n := 0
		randomRecords := func() (out []archive.Record) {
			for range rapid.IntRange(1, 5).Draw(t, "records") {
				n++
				if rapid.IntRange(0, 4).Draw(t, "grant") == 0 {
					out = append(out, grant(n%6))
				} else {
					out = append(out, segment(n%6, n, rapid.IntRange(1, 2000).Draw(t, "size")))
				}
			}
			return out
		}
		check := func() {
			for key, want := range acknowledged {
				got, err := v.Get(want.Key)
				if err != nil || string(got.Payload) != string(want.Payload) {
					t.Fatalf("%s: %v", key, err)
				}
			}
			all, _, err := v.List("", "", 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range all {
				if _, ok := acknowledged[i.Key.String()]; !ok && !mayExist[i.Key.String()] {
					t.Fatalf("the vault lists %s, which was never acknowledged", i.Key)
				}
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			if len(h.keys) != len(all) || int64(len(all)) != v.Stats().Records {
				t.Fatalf("the index lists %d records, %d were reported as added, %d are counted", len(all), len(h.keys), v.Stats().Records)
			}
		}
		reopen := func(damage func()) {
			if err := v.Close(); err != nil {
				t.Fatal(err)
			}
			damage()
			if v, err = open(h.config(dir), quiet, d); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"put": func(*rapid.T) {
				records := randomRecords()
				if err := v.Put(ctx, records); err != nil {
					t.Fatal(err)
				}
				for _, r := range records {
					acknowledged[r.Key.String()] = r
				}
			},
			"put on a full disk": func(t *rapid.T) {
				records := randomRecords()
				which := rapid.SampledFrom([]*atomic.Bool{&d.write, &d.sync}).Draw(t, "which")
				fresh := slices.ContainsFunc(records, func(r archive.Record) bool { return !v.Has(r.Key) })
				which.Store(true)
				err := v.Put(ctx, records)
				which.Store(false)
				if fresh && !errors.Is(err, ErrFull) {
					t.Fatalf("Put on a full disk returned %v, want ErrFull", err)
				}
				for _, r := range records { // not acknowledged: a rebuild may restore it from the volumes
					if _, ok := acknowledged[r.Key.String()]; !ok {
						mayExist[r.Key.String()] = true
					}
				}
			},
			"drop": func(t *rapid.T) {
				var keys []string
				for key := range acknowledged {
					keys = append(keys, key)
				}
				slices.Sort(keys)
				keys = keys[:rapid.IntRange(0, len(keys)).Draw(t, "n")]
				if err := v.Drop(ctx, keys); err != nil {
					t.Fatal(err)
				}
				for _, key := range keys {
					delete(acknowledged, key)
					mayExist[key] = true
				}
			},
			"killed while it wrote": func(t *rapid.T) {
				r := segment(7, 1_000_000+n, 500)
				raw := archive.AppendFrame(nil, &r)
				cut := rapid.IntRange(1, len(raw)).Draw(t, "cut")
				mayExist[r.Key.String()] = true
				path := v.volumePath(v.current)
				reopen(func() {
					f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
					if err != nil {
						t.Fatal(err)
					}
					defer f.Close()
					if _, err := f.Write(raw[:cut]); err != nil {
						t.Fatal(err)
					}
				})
			},
			"index damaged": func(t *rapid.T) {
				reopen(func() {
					path := filepath.Join(dir, indexFile)
					raw, err := os.ReadFile(path)
					if err != nil {
						t.Fatal(err)
					}
					switch rapid.IntRange(0, 2).Draw(t, "how") {
					case 0:
						raw = raw[:rapid.IntRange(0, len(raw)-1).Draw(t, "cut")]
					case 1:
						for i := range min(len(raw), 8192) { // both of bbolt's meta pages
							raw[i] ^= 0x55
						}
					case 2:
						err = os.Remove(path)
					}
					if _, gone := os.Stat(path); gone == nil && err == nil {
						err = os.WriteFile(path, raw, 0o600)
					}
					if err != nil {
						t.Fatal(err)
					}
				})
			},
		})
	})
}

// TestDamagedRecordIsReportedAndVolumeKept guards against a vault that serves a record with
// a changed byte, or overwrites it. The record must count as missing, and it can be stored
// again. Its volume must stay even after all records in the volume are dropped. The test
// also checks that Open detects a missing volume.
func TestDamagedRecordIsReportedAndVolumeKept(t *testing.T) {
	h, dir := &listedKeys{}, t.TempDir()
	v, err := Open(h.config(dir), quiet)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { v.Close() }()
	var records []archive.Record
	for i := range 6 {
		records = append(records, segment(1, i, 900))
	}
	if err := v.Put(context.Background(), records); err != nil {
		t.Fatal(err)
	}
	location, err := v.find(records[2].Key.String())
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(v.volumePath(location.volumeID), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteAt([]byte{0xff, 0xfe}, location.offset+location.size/2); err != nil {
		t.Fatal(err)
	}
	f.Close()
	last, checked, damaged, err := v.Scrub("", 1<<20)
	if last != "" || checked != 6 || damaged != 1 || err != nil {
		t.Fatal(last, checked, damaged, err)
	}
	if _, err := v.Get(records[2].Key); !errors.Is(err, ErrNotFound) || h.keys[records[2].Key.String()] {
		t.Errorf("Get of a damaged record returned %v, want ErrNotFound and a call of Removed", err)
	}
	if err := v.Put(context.Background(), records[2:3]); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, r := range records {
		if _, err := v.Get(r.Key); err != nil {
			t.Error(err)
		}
		keys = append(keys, r.Key.String())
	}
	if err := v.Drop(context.Background(), keys); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(v.volumePath(location.volumeID)); err != nil {
		t.Error("the damaged volume was removed:", err)
	}
	// Open must detect a missing volume.
	if err := v.Put(context.Background(), records); err != nil {
		t.Fatal(err)
	}
	location, _ = v.find(records[0].Key.String())
	gone := v.volumePath(location.volumeID)
	v.Close()
	if err := os.Remove(gone); err != nil {
		t.Fatal(err)
	}
	if v, err = Open(h.config(dir), quiet); err != nil {
		t.Fatal(err)
	}
	if _, err := v.Get(records[0].Key); !errors.Is(err, ErrNotFound) || v.Stats().Damaged == 0 {
		t.Errorf("Get of a record whose volume is missing returned %v, want ErrNotFound and a damaged count above 0", err)
	}
	if _, err := v.read(records[0].Key.String(), location); !errors.Is(err, checksum.ErrDamaged) {
		t.Error(err)
	}
}

// TestNothingWithoutAName guards against storing a record whose key can't be parsed: the
// next Open would treat the whole index as damaged.
func TestNothingWithoutAName(t *testing.T) {
	h, dir := &listedKeys{}, t.TempDir()
	v, err := Open(h.config(dir), quiet)
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Put(context.Background(), []archive.Record{{}}); err == nil {
		t.Error("Put stored a record without a key")
	}
	if err := v.Put(context.Background(), []archive.Record{grant(1)}); err != nil {
		t.Fatal(err)
	}
	v.Close()
	if v, err = Open(h.config(dir), quiet); err != nil || v.Stats().Rebuilt || v.Stats().Records != 1 {
		t.Fatalf("after reopening: error %v, stats %+v", err, v.Stats())
	}
	v.Close()
}

// TestCompactionFreesSpace guards against volumes that stay on disk after most of their
// records are dropped, and against labels that stay after their attempts are dropped.
func TestCompactionFreesSpace(t *testing.T) {
	h := &listedKeys{}
	v, err := Open(h.config(t.TempDir()), quiet)
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	ctx := context.Background()
	var keys []string
	for i := range 40 {
		records := []archive.Record{segment(i, i, 1500), grant(i)}
		if err := v.Put(ctx, records); err != nil {
			t.Fatal(err)
		}
		if i%8 > 0 {
			keys = append(keys, records[0].Key.String(), records[1].Key.String())
		}
	}
	before := v.Stats()
	if found, more, err := v.FindAttempts("team/office", "", "", 30); len(found) != 30 || !more || err != nil {
		t.Fatal(len(found), more, err)
	}
	if err := v.Drop(ctx, keys); err != nil {
		t.Fatal(err)
	}
	for i := range 30 { // each commit compacts one more volume
		if err := v.Put(ctx, []archive.Record{grant(100 + i%2)}); err != nil {
			t.Fatal(err)
		}
	}
	after := v.Stats()
	if after.Volumes*2 > before.Volumes || after.Compacted == 0 {
		t.Errorf("%d of %d volumes are left, %d were compacted", after.Volumes, before.Volumes, after.Compacted)
	}
	found, more, err := v.FindAttempts("team/office", "", "", 100)
	if len(found) != 7 || more || err != nil {
		t.Errorf("FindAttempts returned %d attempts, want 7: %v", len(found), err)
	}
	for _, i := range []int{0, 8, 32} {
		if _, err := v.Get(segment(i, i, 1500).Key); err != nil {
			t.Error(err)
		}
	}
}

// BenchmarkPut measures a vault's commits of 64 records of about 16 KB each.
// BenchmarkPlainWrite is the baseline: it appends the same bytes to a file and syncs it.
func BenchmarkPut(b *testing.B) {
	v, err := Open(Config{Dir: b.TempDir()}, quiet)
	if err != nil {
		b.Fatal(err)
	}
	defer v.Close()
	n := 0
	size := 0
	for b.Loop() {
		var records []archive.Record
		for range 64 {
			n++
			records = append(records, incompressibleRecord(n))
			size += archive.FrameSize(&records[len(records)-1])
		}
		if err := v.Put(context.Background(), records); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(int64(size / b.N))
}

// incompressibleRecord returns a record whose payload does not compress.
func incompressibleRecord(n int) archive.Record {
	p := make([]byte, 16<<10)
	x := uint64(n)*0x9e3779b97f4a7c15 + 1
	for i := range p {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		p[i] = byte(x)
	}
	return archive.NewRecord(archive.FilesAttempt(fmt.Sprintf("wk-%06d", n/64)), archive.KindChunk, "", p)
}

// BenchmarkPlainWrite measures appending 64 record frames to a file and syncing it.
func BenchmarkPlainWrite(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "plain"))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	n, pos := 0, int64(0)
	for b.Loop() {
		var buf []byte
		for range 64 {
			n++
			r := incompressibleRecord(n)
			buf = archive.AppendFrame(buf, &r)
		}
		if _, err := f.WriteAt(buf, pos); err != nil {
			b.Fatal(err)
		}
		pos += int64(len(buf))
		if err := (osDisk{}).Sync(f); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(pos / int64(b.N))
}
