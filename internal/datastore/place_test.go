package datastore

import (
	"bytes"
	"context"
	"errors"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"silvergate/internal/dataset"
	"silvergate/internal/fakeserver"
)

// heldVersion is a version that a test store holds.
type heldVersion struct {
	files    map[string][]byte
	manifest *dataset.Manifest
	want     Want
}

// openStoreWithVersion opens a store in dir that has fetched one version of several chunks.
func openStoreWithVersion(t *testing.T, dir string) (*Store, heldVersion) {
	t.Helper()
	root := t.TempDir()
	server := startServer(t, root, fakeserver.Faults{})
	held := heldVersion{files: map[string][]byte{"roster.txt": randomBytes(1, 2<<20+17), "routes/north": randomBytes(2, 5000), "empty": {}}}
	held.manifest, held.want = publishVersion(t, root, "roster", "1", held.files)
	held.want = withSources(held.want, Source{server.Address(), false})
	s := openTestStore(t, dir, 1<<30)
	if err := fetchAndWait(s, held.want); err != nil {
		t.Fatal(err)
	}
	return s, held
}

// placeCopy places the version in a new folder and returns the folder.
func placeCopy(t *testing.T, s *Store, held heldVersion) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "task", "in")
	if err := s.Place(context.Background(), PlaceRequest{ID: held.want.ID, Dir: dir}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// overwrite changes a file in place, as dd conv=notrunc does, and gives it back the
// modification time that it had.
func overwrite(t *testing.T, path string, offset int64, data string) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.WriteAt([]byte(data), offset)
	if err := errors.Join(err, f.Close(), os.Chtimes(path, time.Time{}, info.ModTime())); err != nil {
		t.Fatal(err)
	}
}

// requirePublished checks that a folder's files are as they were published.
func requirePublished(t *testing.T, dir string, held heldVersion, who string) {
	t.Helper()
	if err := dataset.VerifyTree(dir, held.manifest); err != nil {
		t.Errorf("%s reads files that differ from what was published: %v", who, err)
	}
}

// TestATasksWritesReachNobodyElse guards against tasks that share the files of their inputs
// with one another, with later tasks, with the store or with other machines.
func TestATasksWritesReachNobodyElse(t *testing.T) {
	for name, write := range map[string]func(t *testing.T, dir string){
		"in place, the time kept": func(t *testing.T, dir string) {
			overwrite(t, filepath.Join(dir, "roster.txt"), 100, "taken")
			overwrite(t, filepath.Join(dir, "routes", "north"), 100, "taken")
		},
		"truncated and written": func(t *testing.T, dir string) {
			if err := os.WriteFile(filepath.Join(dir, "roster.txt"), []byte("taken"), 0o600); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) { checkWritesStayPrivate(t, write) })
	}
}

// checkWritesStayPrivate has a task write to its inputs, and checks what everybody else reads.
func checkWritesStayPrivate(t *testing.T, write func(t *testing.T, dir string)) {
	storeDir := filepath.Join(t.TempDir(), "s")
	s, held := openStoreWithVersion(t, storeDir)
	writer, beside := placeCopy(t, s, held), placeCopy(t, s, held)
	write(t, writer)
	requirePublished(t, beside, held, "a task that runs beside the writer")
	requireLaterTask(t, s, held, "a task that starts after the write")

	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := Answer(r.Context(), s, strings.TrimPrefix(r.URL.Path, dataset.ChunkPath))
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	defer peer.Close()
	other := openTestStore(t, filepath.Join(t.TempDir(), "other"), 1<<30)
	if err := fetchAndWait(other, withSources(held.want, Source{strings.TrimPrefix(peer.URL, "http://"), true})); err != nil {
		t.Errorf("another machine can't fetch the copy: %v", err)
	} else {
		requireLaterTask(t, other, held, "a task on another machine")
	}

	s.Close()
	requireLaterTask(t, openTestStore(t, storeDir, 1<<30), held, "a task after the agent's restart")
	if got, err := os.ReadFile(filepath.Join(writer, "roster.txt")); err != nil || !bytes.Contains(got, []byte("taken")) {
		t.Errorf("the writer's own file has lost the write: %v", err)
	}
}

// requireLaterTask checks what a task reads that starts now.
func requireLaterTask(t *testing.T, s *Store, held heldVersion, who string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "in")
	if err := s.Place(context.Background(), PlaceRequest{ID: held.want.ID, Dir: dir}); err != nil {
		t.Errorf("%s can't start: %v", who, err)
		return
	}
	requirePublished(t, dir, held, who)
}

// TestACopyThatChangedOnDiskIsNotPlaced guards against a task that reads a copy whose file was
// changed on the machine's disk, whatever its modification time says.
func TestACopyThatChangedOnDiskIsNotPlaced(t *testing.T) {
	for _, restart := range []bool{false, true} {
		storeDir := filepath.Join(t.TempDir(), "s")
		s, held := openStoreWithVersion(t, storeDir)
		overwrite(t, filepath.Join(storeDir, copiesDir, string(held.want.ID), "roster.txt"), 1<<20+5, "damage")
		if restart {
			s.Close()
			s = openTestStore(t, storeDir, 1<<30)
		}
		dir := filepath.Join(t.TempDir(), "in")
		if err := s.Place(context.Background(), PlaceRequest{ID: held.want.ID, Dir: dir}); !errors.Is(err, ErrNotHeld) || s.Has(held.want.ID) {
			t.Errorf("restarted %v: a changed copy was placed, or is kept: %v", restart, err)
		}
		if err := fetchAndWait(s, held.want); err != nil {
			t.Fatal(err)
		}
		requirePublished(t, placeCopy(t, s, held), held, "a task after the copy was fetched again")
	}
}

// TestVersionsShareNoFile guards against versions with a common file that share one file on
// disk: what changes it in one copy would change the other.
func TestVersionsShareNoFile(t *testing.T) {
	root := t.TempDir()
	source := Source{startServer(t, root, fakeserver.Faults{}).Address(), false}
	common := randomBytes(3, 2<<20)
	s := openTestStore(t, filepath.Join(t.TempDir(), "s"), 1<<30)
	var infos []os.FileInfo
	for _, version := range []string{"1", "2"} {
		_, want := publishVersion(t, root, "set", version, map[string][]byte{"common": common, "own": []byte(version)})
		if err := fetchAndWait(s, withSources(want, source)); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(filepath.Join(s.cfg.Dir, copiesDir, string(want.ID), "common"))
		if err != nil {
			t.Fatal(err)
		}
		infos = append(infos, info)
	}
	if os.SameFile(infos[0], infos[1]) {
		t.Error("two versions share a file")
	}
	if shared := s.Stats().Shared; shared != int64(len(common)) {
		t.Errorf("%d bytes were taken from the other version, not %d", shared, len(common))
	}
}

// hookDisk is a disk that calls beforeWrite with the number of each write, from 1 on.
type hookDisk struct {
	osDisk
	writes      atomic.Int64
	beforeWrite func(n int64)
}

func (d *hookDisk) WriteAt(f *os.File, b []byte, off int64) error {
	d.beforeWrite(d.writes.Add(1))
	return d.osDisk.WriteAt(f, b, off)
}

// cloneDisk is a disk whose file system can clone files, as far as callers can tell.
type cloneDisk struct {
	osDisk
	clones, written atomic.Int64
}

func (d *cloneDisk) Clone(to, from *os.File) error {
	d.clones.Add(1)
	_, err := io.Copy(to, from)
	return err
}

func (d *cloneDisk) WriteAt(f *os.File, b []byte, off int64) error {
	d.written.Add(int64(len(b)))
	return d.osDisk.WriteAt(f, b, off)
}

// TestClonesAreVerified guards against a task that reads a damaged copy where the file system
// can clone, and against bytes that are copied there all the same.
func TestClonesAreVerified(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	disk := &cloneDisk{}
	s.disk = disk
	requirePublished(t, placeCopy(t, s, held), held, "a task with clones")
	if disk.clones.Load() != int64(len(held.files)) || disk.written.Load() != 0 {
		t.Errorf("%d files cloned and %d bytes copied, not %d and 0", disk.clones.Load(), disk.written.Load(), len(held.files))
	}
	overwrite(t, filepath.Join(s.cfg.Dir, copiesDir, string(held.want.ID), "roster.txt"), 1<<20+5, "damage")
	dir := filepath.Join(t.TempDir(), "in")
	if err := s.Place(context.Background(), PlaceRequest{ID: held.want.ID, Dir: dir}); !errors.Is(err, ErrNotHeld) || exists(dir) {
		t.Errorf("a damaged copy was placed, or its folder is left: %v", err)
	}
}

// TestPlacingOnAFullDisk guards against a placement on a full disk that gives a task part of its
// files, loses the copy, or ends with an error that does not say what is wrong.
func TestPlacingOnAFullDisk(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		disk := &fullDisk{}
		disk.fullFrom.Store(rapid.Int64Range(0, 3).Draw(rt, "from"))
		disk.fullWrites.Store(rapid.Int64Range(1, 4).Draw(rt, "many"))
		s.disk = disk
		dir := filepath.Join(t.TempDir(), fmt.Sprint("in", refused))
		err := s.Place(context.Background(), PlaceRequest{ID: held.want.ID, Dir: dir})
		switch {
		case err == nil:
			requirePublished(t, dir, held, "a task on a nearly full disk")
		case !errors.Is(err, ErrFull) || exists(dir):
			rt.Fatalf("the error does not say that the disk is full, or part of the files is left: %v", err)
		default:
			refused++
		}
		s.disk = osDisk{}
		if err := verifyCopy(s, held.want.ID, held.files); err != nil {
			rt.Fatal(err)
		}
		requireLaterTask(t, s, held, "a task once there is room")
	})
	if refused == 0 {
		t.Error("no placement met the full disk")
	}
}

// TestACancelledPlacementLeavesNothing guards against files of a task that was stopped while its
// inputs were placed.
func TestACancelledPlacementLeavesNothing(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	for n := int64(1); n <= 3; n++ {
		ctx, cancel := context.WithCancel(context.Background())
		s.disk = &hookDisk{beforeWrite: func(write int64) {
			if write == n {
				cancel()
			}
		}}
		dir := filepath.Join(t.TempDir(), "in")
		if err := s.Place(ctx, PlaceRequest{ID: held.want.ID, Dir: dir}); !errors.Is(err, context.Canceled) || exists(dir) {
			t.Errorf("cancelled at write %d: error %v, folder left: %v", n, err, exists(dir))
		}
		cancel()
	}
}

// TestUrgentPlacementsGoFirst guards against an urgent task that waits while the inputs of
// others are copied.
func TestUrgentPlacementsGoFirst(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	placing, release := make(chan struct{}), make(chan struct{})
	disk := &hookDisk{beforeWrite: func(n int64) {
		if n == 1 { // the urgent task's first chunk
			close(placing)
			<-release
		}
	}}
	s.disk = disk
	place := func(urgent bool) chan error {
		placed := make(chan error, 1)
		dir := filepath.Join(t.TempDir(), "in")
		go func() {
			placed <- s.Place(context.Background(), PlaceRequest{ID: held.want.ID, Dir: dir, Urgent: urgent})
		}()
		return placed
	}
	urgent := place(true)
	<-placing
	other := place(false)
	time.Sleep(50 * time.Millisecond)
	if n := disk.writes.Load(); n != 1 {
		t.Errorf("a task that is not urgent had %d chunks copied while an urgent one waited for its own", n-1)
	}
	close(release)
	if err := errors.Join(<-urgent, <-other); err != nil {
		t.Fatal(err)
	}
}

// removePlacements removes the files of all tasks.
func removePlacements(t interface{ Fatal(...any) }, s *Store) {
	for _, p := range s.Placements() {
		if err := s.RemovePlacement(p); err != nil {
			t.Fatal(err)
		}
	}
}

// TestPlacedFilesAreCountedAndBounded guards against tasks' own files that fill the disk without
// the store knowing, also after a restart of the agent.
func TestPlacedFilesAreCountedAndBounded(t *testing.T) {
	storeDir := filepath.Join(t.TempDir(), "s")
	s, held := openStoreWithVersion(t, storeDir)
	size := held.manifest.Bytes()
	s.cfg.PlacedCapacity = 2*size + size/2
	placeCopy(t, s, held)
	placeCopy(t, s, held)
	dir := filepath.Join(t.TempDir(), "in")
	third := PlaceRequest{ID: held.want.ID, Dir: dir}
	if err := s.Place(context.Background(), third); !errors.Is(err, ErrFull) || exists(dir) {
		t.Errorf("a third copy where two have room: error %v, folder left: %v", err, exists(dir))
	}
	if st := s.Stats(); st.Placed != 2*size || st.Copied != 2*size || st.Placements != 2 {
		t.Errorf("%+v: two copies of %d bytes are not counted", st, size)
	}
	s.Close()
	s, err := Open(Config{Dir: storeDir, Capacity: 1 << 30, PlacedCapacity: 2*size + size/2}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if st := s.Stats(); st.Placed != 2*size {
		t.Errorf("%d bytes count as placed after a restart, not %d", st.Placed, 2*size)
	}
	if err := s.Place(context.Background(), third); !errors.Is(err, ErrFull) {
		t.Errorf("a third copy after a restart: %v", err)
	}
	removePlacements(t, s)
	if st := s.Stats(); st.Placed != 0 {
		t.Errorf("%d bytes count as placed when all are removed", st.Placed)
	}
	if err := s.Place(context.Background(), third); err != nil {
		t.Errorf("a copy when there is room again: %v", err)
	}
}

// TestWhatTasksAddToTheirInputsStays guards against the loss of files that a task has written
// beside its inputs, and of files elsewhere to which it has made a link.
func TestWhatTasksAddToTheirInputsStays(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	dir, elsewhere := placeCopy(t, s, held), t.TempDir()
	moved := placeCopy(t, s, held)
	err := errors.Join(os.WriteFile(filepath.Join(dir, "result"), []byte("own"), 0o600),
		os.WriteFile(filepath.Join(elsewhere, "north"), []byte("foreign"), 0o600),
		os.WriteFile(filepath.Join(elsewhere, "roster.txt"), []byte("foreign"), 0o600),
		os.RemoveAll(filepath.Join(dir, "routes")), os.Symlink(elsewhere, filepath.Join(dir, "routes")),
		os.RemoveAll(moved), os.Symlink(elsewhere, moved))
	if err != nil {
		t.Fatal(err)
	}
	removePlacements(t, s)
	for _, path := range []string{filepath.Join(dir, "result"), filepath.Join(elsewhere, "north"), filepath.Join(elsewhere, "roster.txt")} {
		if !exists(path) {
			t.Errorf("%s is gone, which is not of the copy", path)
		}
	}
	if exists(filepath.Join(dir, "roster.txt")) || s.Stats().Placed != 0 {
		t.Error("the copy's files are left, or count as placed")
	}
}

// placeUntilKilled places a copy again and again, for TestKilledWhilePlacing.
func placeUntilKilled(id dataset.ID, storeDir, dir string) {
	s, err := Open(Config{Dir: storeDir, Capacity: 1 << 30}, discardLog)
	for n := 0; err == nil; n++ {
		err = s.Place(context.Background(), PlaceRequest{ID: id, Dir: filepath.Join(dir, fmt.Sprint(n), "in"), Owner: "killed"})
	}
	fmt.Println(err)
	os.Exit(1)
}

// TestKilledWhilePlacing kills the process at random moments while it places copies. It guards
// against folders that nobody knows of any more, and against damage to the store's copy.
func TestKilledWhilePlacing(t *testing.T) {
	storeDir := filepath.Join(t.TempDir(), "s")
	s, held := openStoreWithVersion(t, storeDir)
	random := rand.New(rand.NewPCG(7, 8))
	cut := 0
	for range 8 {
		s.Close()
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "DATASTORE_PLACE="+dir, "DATASTORE_DIR="+storeDir, "DATASTORE_COPY="+string(held.want.ID))
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		s = openTestStore(t, storeDir, 1<<30)
		folders, _ := filepath.Glob(filepath.Join(dir, "*", "in"))
		for _, folder := range folders {
			if dataset.VerifyTree(folder, held.manifest) != nil {
				cut++
			}
		}
		if recorded := len(s.Placements()); recorded < len(folders) {
			t.Errorf("%d folders have files of tasks, and %d are recorded", len(folders), recorded)
		}
		for _, p := range s.Placements() {
			if p.Owner != "killed" {
				t.Errorf("the owner is %q", p.Owner)
			}
		}
		removePlacements(t, s)
		if left, _ := filepath.Glob(filepath.Join(dir, "*", "in")); len(left) > 0 || s.Stats().Placed != 0 {
			t.Errorf("folders left: %v; %d bytes count as placed", left, s.Stats().Placed)
		}
		requireLaterTask(t, s, held, "a task after the kill")
		removePlacements(t, s)
	}
	t.Logf("%d of 8 kills met a placement halfway", cut)
}

// TestADamagedPlacementRecordIsNamed guards against a store that does not open because of a
// damaged record, or that removes files by it.
func TestADamagedPlacementRecordIsNamed(t *testing.T) {
	storeDir := filepath.Join(t.TempDir(), "s")
	s, held := openStoreWithVersion(t, storeDir)
	dir := placeCopy(t, s, held)
	s.Close()
	for _, damage := range []string{"", "{", `{"dir":"/","files":["etc"]}`, `{"dir":"` + dir + `","bytes":-1}`} {
		if err := os.WriteFile(s.placementPath(dir), []byte(damage), 0o600); err != nil {
			t.Fatal(err)
		}
		var log bytes.Buffer
		opened, err := Open(Config{Dir: storeDir, Capacity: 1 << 30}, slog.New(slog.NewTextHandler(&log, nil)))
		if err != nil {
			t.Fatal(err)
		}
		opened.Close()
		if len(opened.Placements()) > 0 || !strings.Contains(log.String(), filepath.Base(s.placementPath(dir))) {
			t.Errorf("%q: %d placements; the log says %s", damage, len(opened.Placements()), log.String())
		}
	}
	requirePublished(t, dir, held, "the task")
}

// slowRemovals is a disk on which the removal of a copy takes until the channel is closed.
type slowRemovals struct {
	osDisk
	removing chan struct{}
	release  chan struct{}
}

func (d *slowRemovals) RemoveAll(path string) error {
	close(d.removing)
	<-d.release
	return d.osDisk.RemoveAll(path)
}

// TestHeartbeatsDoNotWaitForRemovals guards against heartbeats, which tell what the store holds,
// that wait until the files of a large copy are removed.
func TestHeartbeatsDoNotWaitForRemovals(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	disk := &slowRemovals{removing: make(chan struct{}), release: make(chan struct{})}
	s.disk = disk
	dropped, answered := make(chan bool, 1), make(chan bool, 1)
	go func() { dropped <- s.Drop(held.want.ID) }()
	<-disk.removing
	go func() { answered <- s.Digest() != "" && !s.Has(held.want.ID) }()
	select {
	case ok := <-answered:
		if !ok {
			t.Error("a copy that is being removed counts as held")
		}
	case <-time.After(time.Second):
		t.Error("the store does not answer while a copy is being removed")
	}
	close(disk.release)
	<-dropped
}

// freeSpaceDisk records the least free space, in bytes, after its writes.
type freeSpaceDisk struct {
	osDisk
	t     *testing.T
	least atomic.Int64
}

func (d *freeSpaceDisk) WriteAt(f *os.File, b []byte, off int64) error {
	err := d.osDisk.WriteAt(f, b, off)
	var stat unix.Statfs_t
	if statErr := unix.Fstatfs(int(f.Fd()), &stat); statErr != nil {
		d.t.Error(statErr)
	}
	d.least.Store(min(d.least.Load(), int64(stat.Bavail)*stat.Bsize))
	return err
}

// TestPlacingLeavesRoomForTheAgent guards against copies for tasks that fill the disk to the last
// block: an agent that can't write its own state ends, with all its tasks. It is skipped where
// this process may not mount a file system.
func TestPlacingLeavesRoomForTheAgent(t *testing.T) {
	const megabytes = 32
	dir := t.TempDir()
	if err := unix.Mount("tmpfs", dir, "tmpfs", 0, fmt.Sprintf("size=%dm", megabytes)); err != nil {
		t.Skipf("a tmpfs can't be mounted here: %v", err)
	}
	defer unix.Unmount(dir, unix.MNT_DETACH)
	s, held := openStoreWithVersion(t, filepath.Join(dir, "s"))
	disk := &freeSpaceDisk{t: t}
	disk.least.Store(megabytes << 20)
	s.disk = disk
	var err error
	for n := 0; err == nil && n < 100; n++ {
		err = s.Place(context.Background(), PlaceRequest{ID: held.want.ID, Dir: filepath.Join(dir, fmt.Sprint(n), "in")})
	}
	if !errors.Is(err, ErrFull) {
		t.Fatalf("copies were placed on a small disk for ever: %v", err)
	}
	if least := disk.least.Load(); least < megabytes<<20/20 {
		t.Errorf("%d bytes were free at one time, less than a twentieth of the disk", least)
	}
	if err := verifyCopy(s, held.want.ID, held.files); err != nil {
		t.Error(err)
	}
}

// TestADamagedCopyIsNoSource guards against a machine that goes on telling that it holds a copy
// although it can't serve a chunk of it, which the disk has damaged.
func TestADamagedCopyIsNoSource(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	overwrite(t, filepath.Join(s.cfg.Dir, copiesDir, string(held.want.ID), "roster.txt"), 1<<20+5, "damage")
	chunks := held.manifest.Files[slices.IndexFunc(held.manifest.Files, func(f dataset.File) bool { return f.Path == "roster.txt" })].Chunks
	if _, ok, _ := s.Chunk(context.Background(), chunks[0]); !ok || !s.Has(held.want.ID) {
		t.Error("a sound chunk was not served, or the copy is gone")
	}
	if _, ok, busy := s.Chunk(context.Background(), chunks[1]); ok || busy || s.Has(held.want.ID) {
		t.Errorf("a damaged chunk was served: %v; the store has the copy: %v", ok, s.Has(held.want.ID))
	}
	if err := fetchAndWait(s, held.want); err != nil {
		t.Fatal(err)
	}
	requireLaterTask(t, s, held, "a task after the copy was fetched again")
}

// TestAPlacementWaitsForRoom guards against tasks that are sent from machine to machine, an attempt
// each, although the room for their inputs will be free in a moment.
func TestAPlacementWaitsForRoom(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	s.cfg.PlacedCapacity = held.manifest.Bytes()
	placeCopy(t, s, held)
	dir := filepath.Join(t.TempDir(), "in")
	request := PlaceRequest{ID: held.want.ID, Dir: dir, RoomTimeout: 20 * time.Millisecond}
	if err := s.Place(context.Background(), request); !errors.Is(err, ErrFull) || exists(dir) {
		t.Errorf("a second copy where one has room: error %v, folder left: %v", err, exists(dir))
	}
	request.RoomTimeout = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Place(ctx, request); !errors.Is(err, context.Canceled) || exists(dir) {
		t.Errorf("a placement that is cancelled while it waits: error %v, folder left: %v", err, exists(dir))
	}
	placed := make(chan error, 1)
	go func() { placed <- s.Place(context.Background(), request) }()
	select {
	case err := <-placed:
		t.Fatalf("a second copy did not wait for room: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	removePlacements(t, s)
	if err := <-placed; err != nil {
		t.Fatal(err)
	}
	requirePublished(t, dir, held, "the task that waited")
}

// brokenRemovals is a disk on which no folder can be removed.
type brokenRemovals struct{ osDisk }

func (brokenRemovals) RemoveAll(path string) error {
	return &os.PathError{Op: "remove", Path: path, Err: syscall.EIO}
}

// TestAFailedPlacementThatStaysIsCounted guards against files of a failed placement that can't be
// removed at once, and that nobody knows of any more.
func TestAFailedPlacementThatStaysIsCounted(t *testing.T) {
	s, held := openStoreWithVersion(t, filepath.Join(t.TempDir(), "s"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.disk = brokenRemovals{}
	dir := filepath.Join(t.TempDir(), "in")
	if err := s.Place(ctx, PlaceRequest{ID: held.want.ID, Dir: dir}); !errors.Is(err, context.Canceled) || !exists(dir) {
		t.Fatalf("the placement: %v, folder left: %v", err, exists(dir))
	}
	if placed := s.Stats().Placed; placed != held.manifest.Bytes() || len(s.Placements()) != 1 {
		t.Errorf("%d bytes count as placed, in %d placements", placed, len(s.Placements()))
	}
	removePlacements(t, s)
	if exists(dir) || s.Stats().Placed != 0 {
		t.Errorf("the folder is left: %v; %d bytes count as placed", exists(dir), s.Stats().Placed)
	}
}
