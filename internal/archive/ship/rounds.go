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

// batchBytes is the size in bytes from which a batch takes no more segments.
const batchBytes = 4 << 20

// loop observes the files and ships what is due until Stop.
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
		s.observeFiles()
		for s.ctx.Err() == nil && s.shipBatch() {
		}
	}
}

// observeFiles notes how long the files are now, gives up what the spool has no room
// for, and saves the progress of attempts for which that is due.
func (s *Shipper) observeFiles() {
	s.mu.Lock()
	all := make([]*followedAttempt, 0, len(s.attempts))
	for _, f := range s.attempts {
		all = append(all, f)
	}
	s.mu.Unlock()
	now := nowMS()
	var needs []attemptBacklog
	for _, f := range all {
		s.mu.Lock()
		ended := f.progress.End != nil
		s.mu.Unlock()
		for _, name := range archive.Streams {
			info, err := os.Stat(filepath.Join(f.dir, name))
			s.mu.Lock()
			follower := f.streams[name]
			switch {
			case err == nil:
				follower.observe(info.Size(), now)
			case !errors.Is(err, fs.ErrNotExist):
				s.log.Error("output can't be read", "attempt", f.attempt.String(), "stream", name, "error", err)
			}
			s.mu.Unlock()
		}
		s.mu.Lock()
		f.outputFinal = ended
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range all {
		needs = append(needs, f.backlog())
	}
	for i, n := range bytesToDrop(needs, int64(s.cfg.SpoolMB*1e6)) {
		for _, name := range archive.Streams {
			follower := all[i].streams[name]
			k := min(n, follower.unshipped())
			if k <= 0 {
				continue
			}
			follower.giveUp(k, now, archive.GapQuota)
			n -= k
			s.stats.GivenUp += k
			all[i].unsaved = true
			s.log.Warn("the spool is full; output is given up", "attempt", all[i].attempt.String(), "stream", name, "bytes", k)
		}
	}
	for _, f := range all {
		if time.Since(f.lastSaved) > saveInterval {
			s.save(f)
		}
	}
}

// backlog is what the attempt has to ship; the lock is held.
func (f *followedAttempt) backlog() attemptBacklog {
	w := attemptBacklog{attempt: f.attempt, urgent: f.urgent, ended: f.progress.End != nil}
	for _, follower := range f.streams {
		w.unshipped += follower.unshipped()
		if at := follower.oldestUnshipped(); at > 0 && (w.oldestAt == 0 || at < w.oldestAt) {
			w.oldestAt = at
		}
	}
	return w
}

// finishRetryInterval is how long after an attempt's end could not be stored it is tried again.
const finishRetryInterval = time.Second

// sentRecord is what follows for its attempt when a record is stored. The zero value
// is a record from which nothing follows.
type sentRecord struct {
	attempt *followedAttempt
	stream  string
	bytes   int64 // of the stream
	isGap   bool
}

// streamCut is what is to be shipped of a stream: its gaps and its next segment.
type streamCut struct {
	attempt    *followedAttempt
	stream     string
	fileOffset int64
	offset     int64 // in the stream
	bytes      int64
	writeTimes []archive.WriteTime
	gaps       []archive.Gap
}

// shipBatch ships a batch of what is due; false if nothing was, or nothing was
// stored.
func (s *Shipper) shipBatch() bool {
	cuts, ended := s.selectDue()
	for _, f := range ended {
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.finish(f)
		}()
	}
	records, sent := s.makeRecords(cuts)
	if len(records) == 0 {
		return false
	}
	return s.send(records, sent)
}

// selectDue returns what is to be shipped now, up to about batchBytes, and the ended
// attempts whose output is shipped: those are marked as finishing.
func (s *Shipper) selectDue() (cuts []streamCut, ended []*followedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var needs []attemptBacklog
	for _, f := range s.attempts {
		needs = append(needs, f.backlog())
	}
	size := int64(0)
	bound := int64(s.cfg.BoundS * 1000)
	for _, need := range due(needs, nowMS(), bound/2) {
		f := s.attempts[need.attempt]
		open := false
		for _, name := range archive.Streams {
			follower := f.streams[name]
			if n, times := follower.nextSegment(); (n > 0 || len(follower.Gaps) > 0) && size < batchBytes {
				cuts = append(cuts, streamCut{
					attempt:    f,
					stream:     name,
					fileOffset: follower.File,
					offset:     follower.Shipped,
					bytes:      n,
					writeTimes: times,
					gaps:       slices.Clone(follower.Gaps),
				})
				size += n
			}
			open = open || follower.unshipped() > 0 || len(follower.Gaps) > 0
		}
		if f.outputFinal && !open && !f.finishing && time.Since(f.lastFinish) > finishRetryInterval {
			f.finishing, f.lastFinish = true, time.Now()
			ended = append(ended, f)
		}
	}
	return cuts, ended
}

// makeRecords makes the records of a batch and says what follows from each: the grant
// of each attempt before its first record, and each stream's gaps before its segment.
func (s *Shipper) makeRecords(cuts []streamCut) (records []archive.Record, sent []sentRecord) {
	granted := map[*followedAttempt]bool{}
	for i := range cuts {
		c := &cuts[i]
		if !granted[c.attempt] {
			granted[c.attempt] = true
			records = append(records, c.attempt.grantRecord)
			sent = append(sent, sentRecord{})
		}
		for _, g := range c.gaps {
			name := archive.At(c.stream, g.From, 0)
			records = append(records, archive.NewRecord(c.attempt.attempt, archive.KindGap, name, archive.Encode(g)))
			sent = append(sent, sentRecord{attempt: c.attempt, stream: c.stream, isGap: true})
		}
		if c.bytes == 0 {
			continue
		}
		data, err := readRange(filepath.Join(c.attempt.dir, c.stream), c.fileOffset, c.bytes)
		if err != nil {
			s.log.Error("output can't be read", "attempt", c.attempt.attempt.String(), "stream", c.stream, "error", err)
			s.giveUpUnreadable(c)
			continue
		}
		segment := archive.Segment{WriteTimes: c.writeTimes, Data: data}
		name := archive.At(c.stream, c.offset, int(c.bytes))
		records = append(records, archive.NewRecord(c.attempt.attempt, archive.KindSegment, name, segment.Encode()))
		sent = append(sent, sentRecord{attempt: c.attempt, stream: c.stream, bytes: c.bytes})
	}
	return records, sent
}

// giveUpUnreadable gives up output of an ended attempt that can't be read. Of one that
// runs it is read again.
func (s *Shipper) giveUpUnreadable(c *streamCut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended := c.attempt.progress.End != nil; ended {
		c.attempt.streams[c.stream].giveUp(c.bytes, nowMS(), archive.GapUnread)
		c.attempt.unsaved = true
	}
}

// readRange reads n bytes of a file from an offset on.
func readRange(path string, from, n int64) ([]byte, error) {
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

// waitForRate waits until so many bytes may go out.
func (s *Shipper) waitForRate(size int) error {
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

// totalFrameSize returns the length of records' frames in bytes.
func totalFrameSize(records []archive.Record) (n int) {
	for i := range records {
		n += archive.FrameSize(&records[i])
	}
	return n
}

// send has records stored by a quorum and notes those that are, or that are refused;
// anyStored tells whether something was.
func (s *Shipper) send(records []archive.Record, sent []sentRecord) (anyStored bool) {
	size := totalFrameSize(records)
	if s.waitForRate(size) != nil {
		return false
	}
	kept, refused := s.writer.Put(s.ctx, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Packed += int64(size)
	for i, w := range sent {
		if w.attempt == nil {
			continue
		}
		follower := w.attempt.streams[w.stream]
		if refused[i] {
			s.stats.Refused++
			s.log.Error("nodes refuse an attempt's output; it is given up", "attempt", w.attempt.attempt.String())
			w.attempt.progress.GivenUp, w.attempt.unsaved = "refused by the archive", true
			s.save(w.attempt)
			delete(s.attempts, w.attempt.attempt)
			continue
		}
		if !kept[i] {
			continue
		}
		anyStored = true
		w.attempt.unsaved = true
		if w.isGap {
			follower.Gaps = follower.Gaps[1:] // in the order in which they went out
			continue
		}
		follower.advance(w.bytes)
		s.stats.Shipped += w.bytes
	}
	return anyStored
}
