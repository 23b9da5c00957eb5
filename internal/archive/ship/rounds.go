package ship

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"silvergate/internal/archive"
)

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
		marks  []archive.WriteTime
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
		seg := archive.Segment{WriteTimes: c.marks, Data: data}
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
