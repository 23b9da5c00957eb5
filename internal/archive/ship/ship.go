package ship

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"github.com/zeebo/blake3"
	"golang.org/x/time/rate"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/identity"
	"silvergate/internal/protocol"
)

// Config is what a machine is told of the archive, in YAML.
type Config struct {
	Members  []node.Member `yaml:"members"`
	Replicas int           `yaml:"replicas"`
	// Certs is the folder with the agent's certificate.
	Certs string `yaml:"certs"`
	// BoundS is how old output may be before it is shipped, in seconds: a machine
	// that is lost with its disk costs what came after.
	BoundS float64 `yaml:"bound_s"`
	// RateMBPerS bounds what is shipped, and UrgentMBPerS does while inputs of an
	// urgent task are being fetched; 0: unbounded.
	RateMBPerS   float64 `yaml:"rate_mb_per_s"`
	UrgentMBPerS float64 `yaml:"urgent_mb_per_s"`
	// SpoolMB is how much may wait to be shipped; what is beyond is given up, and
	// told as a gap.
	SpoolMB float64 `yaml:"spool_mb"`
	// FileMB is how large a file may be that is kept.
	FileMB float64 `yaml:"file_mb"`
	// FilesMax is how many files of an attempt are kept.
	FilesMax int `yaml:"files_max"`
}

// DefaultConfig returns what holds for fields that a file does not name.
func DefaultConfig() Config {
	return Config{Replicas: 3, BoundS: 1, RateMBPerS: 50, UrgentMBPerS: 1, SpoolMB: 1000, FileMB: 1000, FilesMax: 1000}
}

// Check names the first field that can't be.
func (c *Config) Check() error {
	if err := node.CheckMembers(c.Members); err != nil {
		return err
	}
	switch {
	case c.Replicas < 1:
		return errors.New("replicas: must be at least 1")
	case c.Certs == "":
		return errors.New("certs: missing")
	case !(c.BoundS >= 0.05):
		return errors.New("bound_s: must be at least 0.05")
	case !(c.RateMBPerS >= 0) || !(c.UrgentMBPerS >= 0):
		return errors.New("rate_mb_per_s, urgent_mb_per_s: must not be negative")
	case !(c.SpoolMB > 0):
		return errors.New("spool_mb: must be above 0")
	case !(c.FileMB > 0) || c.FileMB*1e6 > archive.MaxFile:
		return fmt.Errorf("file_mb: must be above 0 and at most %d", int64(archive.MaxFile)/1e6)
	case c.FilesMax < 0:
		return errors.New("files_max: must not be negative")
	}
	return nil
}

// Names in an attempt's folder.
const (
	// AccountFile is how far an attempt was shipped, grantFile its grant.
	AccountFile = "archive.json"
	grantFile   = "grant.json"
	// WorkDir is the working directory of the attempt's program.
	WorkDir = "work"
)

// account is what is kept of an attempt on disk. Old or lost, it costs shipping
// some of it again.
type account struct {
	Began   int64              `json:"beganMs"`
	Streams map[string]*Cursor `json:"streams"`
	End     *archive.End       `json:"end,omitempty"`
	Files   []archive.File     `json:"files,omitempty"` // that are kept
	Whole   bool               `json:"whole,omitempty"` // all is kept, the end too
	Gone    string             `json:"gone,omitempty"`  // why it is given up
}

// follow is an attempt whose output is followed.
type follow struct {
	a       archive.Attempt
	dir     string
	grant   archive.Grant
	proof   archive.Record // the grant, as nodes keep it: it goes with every batch
	acc     account
	urgent  bool
	streams map[string]*follower
	dirty   bool
	final   bool // its files were looked at after its end
	busy    bool // its files are being shipped
	tried   time.Time
	saved   time.Time
}

// Stats counts what was shipped.
type Stats struct {
	Attempts int
	Left     int64 // bytes that wait
	Shipped  int64 // bytes of output that a quorum has
	Packed   int64 // bytes that went out for them, to each node
	Files    int64
	GivenUp  int64 // bytes
	Refused  int64 // records
	OldestMS int64 // age of the oldest output that waits
}

// Shipper follows the attempts of a machine.
type Shipper struct {
	cfg    Config
	log    *slog.Logger
	keep   *identity.Keeper
	w      *Writer
	limit  *rate.Limiter
	ctx    context.Context
	stop   context.CancelFunc
	wait   sync.WaitGroup
	wakeup chan struct{}
	// Urgent tells whether inputs of an urgent task are being fetched.
	Urgent func() bool

	mu    sync.Mutex
	all   map[archive.Attempt]*follow
	stats Stats
}

// New makes a shipper; Start starts it.
func New(cfg Config, log *slog.Logger) (*Shipper, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	k, err := identity.NewKeeper(cfg.Certs, log)
	if err != nil {
		return nil, err
	}
	s := &Shipper{cfg: cfg, log: log, keep: k, w: NewWriter(k, cfg.Members, cfg.Replicas, log), limit: rate.NewLimiter(rate.Inf, batchBytes),
		wakeup: make(chan struct{}, 1), all: map[archive.Attempt]*follow{}, Urgent: func() bool { return false }}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// Start begins to ship.
func (s *Shipper) Start() {
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		s.loop()
	}()
	go func() {
		defer s.wait.Done()
		s.revocations()
	}()
}

// Stop ends shipping; what waits stays on disk.
func (s *Shipper) Stop() {
	if s == nil {
		return
	}
	s.stop()
	s.wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.all {
		s.save(f)
	}
}

func nowMS() int64 { return time.Now().UnixMilli() }

// Begin follows an attempt whose folder is there. The grant is on disk when it
// returns: it is called before the program starts, so that whatever that writes can
// be shipped, also when everything is killed at once.
func (s *Shipper) Begin(g archive.Grant, dir string) error {
	if s == nil {
		return nil
	}
	if err := g.Attempt.Check(); err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(dir, grantFile), archive.Encode(g), 0o600); err != nil {
		return err
	}
	return s.Resume(g.Attempt, dir)
}

// Resume follows an attempt that an earlier life of the agent began with; without a
// grant in its folder there is nothing to follow.
func (s *Shipper) Resume(a archive.Attempt, dir string) error {
	raw, err := os.ReadFile(filepath.Join(dir, grantFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	f := &follow{a: a, dir: dir, streams: map[string]*follower{}}
	if err == nil {
		err = json.Unmarshal(raw, &f.grant)
	}
	if err == nil && f.grant.Attempt != a {
		err = errors.New("it is for another attempt")
	}
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(dir, grantFile), err)
	}
	f.proof = archive.NewRecord(a, archive.KindGrant, "", archive.Encode(f.grant))
	f.urgent = protocol.IsUrgent(f.grant.Urgency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all[a] != nil {
		return nil
	}
	if raw, err = os.ReadFile(filepath.Join(dir, AccountFile)); err == nil {
		if err := json.Unmarshal(raw, &f.acc); err != nil {
			// Damaged: everything is shipped again, and put together by readers.
			s.log.Error("an account is damaged; the attempt is shipped anew", "attempt", a.String(), "err", err)
			f.acc = account{}
		}
	}
	if f.acc.Whole || f.acc.Gone != "" {
		return nil
	}
	if f.acc.Began == 0 {
		f.acc.Began = nowMS()
	}
	if f.acc.Streams == nil {
		f.acc.Streams = map[string]*Cursor{}
	}
	for _, name := range archive.Streams {
		fl := &follower{}
		if c := f.acc.Streams[name]; c != nil {
			fl.Cursor = *c
		}
		f.streams[name] = fl
	}
	f.dirty = true
	s.save(f)
	s.all[a] = f
	s.wake()
	return nil
}

// Ended says that an attempt's processes are gone and what became of it; nothing
// is written any more. The attempt is followed until all is kept.
func (s *Shipper) Ended(a archive.Attempt, cause string, code int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.all[a]
	if f == nil || f.acc.End != nil {
		return
	}
	f.acc.End = &archive.End{Cause: cause, Code: code, Began: f.acc.Began, At: nowMS()}
	f.dirty = true
	s.save(f)
	s.wake()
}

// Holds tells whether an attempt's folder is still needed.
func (s *Shipper) Holds(a archive.Attempt) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[a] != nil
}

// Left is how many attempts that are over have something to ship.
func (s *Shipper) Left() (n int) {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.all {
		if f.acc.End != nil {
			n++
		}
	}
	return n
}

// Stats returns the counters.
func (s *Shipper) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stats
	t.Attempts = len(s.all)
	now := nowMS()
	for _, f := range s.all {
		for _, fl := range f.streams {
			t.Left += fl.left()
			if at := fl.since(); at > 0 {
				t.OldestMS = max(t.OldestMS, now-at)
			}
		}
	}
	return t
}

func (s *Shipper) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// save writes an attempt's account; the lock is held. It is not synced: an older
// one only costs shipping again.
func (s *Shipper) save(f *follow) {
	if !f.dirty {
		return
	}
	for name, fl := range f.streams {
		c := fl.Cursor
		c.Gaps = slices.Clone(c.Gaps)
		f.acc.Streams[name] = &c
	}
	raw, err := json.Marshal(f.acc)
	if err == nil {
		tmp := filepath.Join(f.dir, "."+AccountFile)
		if err = os.WriteFile(tmp, raw, 0o600); err == nil {
			err = os.Rename(tmp, filepath.Join(f.dir, AccountFile))
		}
	}
	if err != nil {
		s.log.Error("an attempt's account can't be kept", "attempt", f.a.String(), "err", err)
		return
	}
	f.dirty, f.saved = false, time.Now()
}

// batchBytes bounds what goes out at a time.
const batchBytes = 4 << 20

func (s *Shipper) loop() {
	bound := time.Duration(s.cfg.BoundS * float64(time.Second))
	t := time.NewTicker(bound / 4)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		case <-s.wakeup:
		}
		s.look()
		for s.ctx.Err() == nil && s.round() {
		}
	}
}

// look meets the files as they are.
func (s *Shipper) look() {
	s.mu.Lock()
	all := make([]*follow, 0, len(s.all))
	for _, f := range s.all {
		all = append(all, f)
	}
	s.mu.Unlock()
	now := nowMS()
	var wants []want
	for _, f := range all {
		s.mu.Lock()
		over := f.acc.End != nil
		s.mu.Unlock()
		for _, name := range archive.Streams {
			info, err := os.Stat(filepath.Join(f.dir, name))
			s.mu.Lock()
			fl := f.streams[name]
			switch {
			case err == nil:
				fl.saw(info.Size(), now)
			case !errors.Is(err, fs.ErrNotExist):
				s.log.Error("output can't be read", "attempt", f.a.String(), "stream", name, "err", err)
			}
			s.mu.Unlock()
		}
		s.mu.Lock()
		f.final = over
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range all {
		wants = append(wants, f.want())
	}
	for i, n := range spill(wants, int64(s.cfg.SpoolMB*1e6)) {
		for _, name := range archive.Streams {
			fl := all[i].streams[name]
			k := min(n, fl.left())
			if k <= 0 {
				continue
			}
			fl.giveUp(k, now, archive.GapQuota)
			n -= k
			s.stats.GivenUp += k
			all[i].dirty = true
			s.log.Warn("the spool is full; output is given up", "attempt", all[i].a.String(), "stream", name, "bytes", k)
		}
	}
	for _, f := range all {
		if time.Since(f.saved) > saveEvery {
			s.save(f)
		}
	}
}

// saveEvery is how often the account of an attempt that writes on is kept: after a
// kill what was shipped since goes out again.
const saveEvery = 5 * time.Second

// want is the attempt's need; the lock is held.
func (f *follow) want() want {
	w := want{attempt: f.a, urgent: f.urgent, over: f.acc.End != nil}
	for _, fl := range f.streams {
		w.left += fl.left()
		if at := fl.since(); at > 0 && (w.since == 0 || at < w.since) {
			w.since = at
		}
	}
	return w
}

// endEvery is how long after an attempt's end could not be kept it is tried again.
const endEvery = time.Second

// sent is a record on its way, and what follows when it is kept.
type sent struct {
	f      *follow
	stream string
	n      int64 // bytes of the stream
	gap    bool
}

// round ships a batch of what is due; false if nothing was, or nothing was kept.
func (s *Shipper) round() bool {
	s.mu.Lock()
	var wants []want
	for _, f := range s.all {
		wants = append(wants, f.want())
	}
	type cut struct {
		f      *follow
		stream string
		file   int64
		at     int64
		n      int64
		marks  []archive.Mark
		gaps   []archive.Gap
	}
	var cuts []cut
	var ends []*follow
	size := int64(0)
	bound := int64(s.cfg.BoundS * 1000)
	for _, w := range due(wants, nowMS(), bound/2) {
		f := s.all[w.attempt]
		open := false
		for _, name := range archive.Streams {
			fl := f.streams[name]
			if n, marks := fl.cut(); (n > 0 || len(fl.Gaps) > 0) && size < batchBytes {
				cuts = append(cuts, cut{f, name, fl.File, fl.Shipped, n, marks, slices.Clone(fl.Gaps)})
				size += n
			}
			open = open || fl.left() > 0 || len(fl.Gaps) > 0
		}
		if f.final && !open && !f.busy && time.Since(f.tried) > endEvery {
			f.busy, f.tried = true, time.Now()
			ends = append(ends, f)
		}
	}
	s.mu.Unlock()
	for _, f := range ends {
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.finish(f)
		}()
	}
	var recs []archive.Record
	var what []sent
	granted := map[*follow]bool{}
	for _, c := range cuts {
		if !granted[c.f] {
			granted[c.f] = true
			recs, what = append(recs, c.f.proof), append(what, sent{})
		}
		for _, g := range c.gaps {
			recs = append(recs, archive.NewRecord(c.f.a, archive.KindGap, archive.At(c.stream, g.From, 0), archive.Encode(g)))
			what = append(what, sent{f: c.f, stream: c.stream, gap: true})
		}
		if c.n == 0 {
			continue
		}
		data, err := readPart(filepath.Join(c.f.dir, c.stream), c.file, c.n)
		if err != nil {
			s.log.Error("output can't be read", "attempt", c.f.a.String(), "stream", c.stream, "err", err)
			s.mu.Lock()
			if over := c.f.acc.End != nil; over {
				c.f.streams[c.stream].giveUp(c.n, nowMS(), archive.GapUnread)
				c.f.dirty = true
			}
			s.mu.Unlock()
			continue
		}
		seg := archive.Segment{Marks: c.marks, Data: data}
		recs = append(recs, archive.NewRecord(c.f.a, archive.KindSegment, archive.At(c.stream, c.at, int(c.n)), seg.Encode()))
		what = append(what, sent{f: c.f, stream: c.stream, n: c.n})
	}
	if len(recs) == 0 {
		return false
	}
	return s.send(recs, what)
}

func readPart(path string, from, n int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	buf := make([]byte, n)
	if _, err := f.ReadAt(buf, from); err != nil {
		return nil, err
	}
	return buf, nil
}

// pace waits until so many bytes may go out.
func (s *Shipper) pace(size int) error {
	r := s.cfg.RateMBPerS
	if s.Urgent() && (r == 0 || s.cfg.UrgentMBPerS < r) {
		r = s.cfg.UrgentMBPerS
	}
	l := rate.Inf
	if r > 0 {
		l = rate.Limit(r * 1e6)
	}
	s.limit.SetLimit(l)
	for size > 0 {
		part := min(size, batchBytes)
		if err := s.limit.WaitN(s.ctx, part); err != nil {
			return err
		}
		size -= part
	}
	return nil
}

func sizeOf(recs []archive.Record) (n int) {
	for i := range recs {
		n += archive.FrameSize(&recs[i])
	}
	return n
}

// send has records kept and takes note of those that are.
func (s *Shipper) send(recs []archive.Record, what []sent) (progress bool) {
	size := sizeOf(recs)
	if s.pace(size) != nil {
		return false
	}
	kept, refused := s.w.Put(s.ctx, recs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Packed += int64(size)
	for i, w := range what {
		if w.f == nil {
			continue
		}
		fl := w.f.streams[w.stream]
		if refused[i] {
			s.stats.Refused++
			s.log.Error("nodes refuse an attempt's output; it is given up", "attempt", w.f.a.String())
			w.f.acc.Gone, w.f.dirty = "refused by the archive", true
			s.save(w.f)
			delete(s.all, w.f.a)
			continue
		}
		if !kept[i] {
			continue
		}
		progress = true
		w.f.dirty = true
		if w.gap {
			fl.Gaps = fl.Gaps[1:] // in the order in which they went out
			continue
		}
		fl.acked(w.n)
		s.stats.Shipped += w.n
	}
	return progress
}

// keepAll has records kept that belong together, or fails.
func (s *Shipper) keepAll(recs []archive.Record) error {
	if err := s.pace(sizeOf(recs)); err != nil {
		return err
	}
	kept, refused := s.w.Put(s.ctx, recs)
	if slices.Contains(refused, true) {
		return errRefused
	}
	if slices.Contains(kept, false) {
		return errors.New("too few nodes keep it now")
	}
	return nil
}

// finish ships an ended attempt's files and then its end: with the end on record,
// all before it is kept.
func (s *Shipper) finish(f *follow) {
	s.mu.Lock()
	done := slices.Clone(f.acc.Files)
	s.mu.Unlock()
	files, err := s.keepFiles(f, done)
	if err == nil {
		s.mu.Lock()
		end := *f.acc.End
		end.Sizes = map[string]int64{}
		for name, fl := range f.streams {
			end.Sizes[name] = fl.Shipped
		}
		end.Files = len(files)
		s.mu.Unlock()
		err = s.keepAll([]archive.Record{f.proof, archive.NewRecord(f.a, archive.KindEnd, "", archive.Encode(end))})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.busy = false
	switch {
	case err == nil:
		f.acc.Whole, f.dirty = true, true
	case errors.Is(err, errRefused):
		s.log.Error("nodes refuse an attempt's end; it is given up", "attempt", f.a.String(), "err", err)
		f.acc.Gone, f.dirty = "refused by the archive", true
	default:
		s.log.Debug("an attempt's end is not kept yet", "attempt", f.a.String(), "err", err)
		return
	}
	s.save(f)
	delete(s.all, f.a)
}

// keepFiles ships the files that match the job's patterns. What the program left
// is data: links are not followed, and only regular files are read.
func (s *Shipper) keepFiles(f *follow, done []archive.File) ([]archive.File, error) {
	if len(f.grant.Keep) == 0 {
		return nil, nil
	}
	root, err := os.OpenRoot(filepath.Join(f.dir, WorkDir))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer root.Close()
	var names []string
	err = fs.WalkDir(root.FS(), ".", func(p string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() || !archive.SafePath(p) {
			return nil // what can't be read or named is not kept
		}
		if matches(f.grant.Keep, p) {
			names = append(names, p)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	if len(names) > s.cfg.FilesMax {
		s.log.Warn("more files than are kept", "attempt", f.a.String(), "files", len(names), "kept", s.cfg.FilesMax)
		names = names[:s.cfg.FilesMax]
	}
	for _, name := range names {
		if slices.ContainsFunc(done, func(x archive.File) bool { return x.Path == name }) {
			continue
		}
		file, err := s.keepFile(f, root, name)
		if err != nil {
			return done, err
		}
		if file == nil {
			continue
		}
		done = append(done, *file)
		s.mu.Lock()
		s.stats.Files++
		f.acc.Files, f.dirty = slices.Clone(done), true
		s.save(f)
		s.mu.Unlock()
	}
	return done, nil
}

// matches tells whether a path fits one of the patterns: part by part, and a
// pattern that names a folder takes all in it.
func matches(patterns []string, p string) bool {
	for _, pat := range patterns {
		if ok, _ := path.Match(pat, p); ok {
			return true
		}
		n := strings.Count(pat, "/") + 1
		if parts := strings.Split(p, "/"); len(parts) > n {
			if ok, _ := path.Match(pat, strings.Join(parts[:n], "/")); ok {
				return true
			}
		}
	}
	return false
}

// keepFile ships a file's chunks and then its record; nil is a file that is not
// kept.
func (s *Shipper) keepFile(f *follow, root *os.Root, name string) (*archive.File, error) {
	in, err := root.Open(name)
	if err != nil {
		return nil, nil
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil || !info.Mode().IsRegular() {
		return nil, nil
	}
	if info.Size() > int64(s.cfg.FileMB*1e6) {
		s.log.Warn("a file is too large to be kept", "attempt", f.a.String(), "file", name, "bytes", info.Size())
		return nil, nil
	}
	out := &archive.File{Path: name, Size: info.Size(), Mode: uint32(info.Mode().Perm()), At: info.ModTime().UnixMilli()}
	sum := blake3.New()
	shared := archive.NewRecord(archive.Files(f.a.Job), archive.KindGrant, "", f.proof.Payload)
	buf := make([]byte, archive.ChunkSize)
	for left := out.Size; left > 0; {
		n := min(left, archive.ChunkSize)
		if _, err := io.ReadFull(in, buf[:n]); err != nil {
			return nil, fmt.Errorf("%s: it has changed: %w", name, err)
		}
		_, _ = sum.Write(buf[:n])
		chunk := archive.NewRecord(archive.Files(f.a.Job), archive.KindChunk, "", buf[:n])
		if err := s.keepAll([]archive.Record{f.proof, shared, chunk}); err != nil {
			return nil, err
		}
		out.Chunks = append(out.Chunks, chunk.Key.Digest)
		left -= n
	}
	out.Digest = hex.EncodeToString(sum.Sum(nil))
	return out, s.keepAll([]archive.Record{f.proof, archive.NewRecord(f.a, archive.KindFile, "", archive.Encode(out))})
}

// revocations asks the nodes for the newest list.
func (s *Shipper) revocations() {
	for i := 0; ; i++ {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(node.RevocationsEvery):
		}
		r := s.w.nodes[i%len(s.w.nodes)]
		if raw, err := r.get(s.ctx, node.PathRevocations); err == nil {
			if _, err := s.keep.Learn(raw); err != nil {
				s.log.Error("a node's list of revocations can't be used", "node", r.name, "err", err)
			}
		}
	}
}
