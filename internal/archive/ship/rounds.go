package ship

import (
	"cmp"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"silvergate/internal/archive"
)

// batchBytes is the size in bytes at which no more segments are added to a batch.
const batchBytes = 4 << 20

// loop observes the files and ships the output that is due, until Stop is called.
func (s *Shipper) loop() {
	bound := time.Duration(s.cfg.BoundS * float64(time.Second))
	ticker := time.NewTicker(bound / 4)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.wakeup:
		}
		s.observeFiles()
		for s.ctx.Err() == nil && s.shipBatch() {
		}
	}
}

// observeFiles records the present sizes of the attempts' files, gives up output that
// exceeds the spool's quota, and saves the progress of attempts whose last save is older
// than saveInterval.
func (s *Shipper) observeFiles() {
	s.mu.Lock()
	all := make([]*followedAttempt, 0, len(s.attempts))
	for _, f := range s.attempts {
		all = append(all, f)
	}
	s.mu.Unlock()
	now := nowMS()
	var backlogs []attemptBacklog
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
	s.stats.Observations++
	for _, f := range all {
		backlogs = append(backlogs, f.backlog())
	}
	for i, n := range bytesToDrop(backlogs, int64(s.cfg.SpoolMB*1e6)) {
		for _, name := range archive.Streams {
			follower := all[i].streams[name]
			dropped := min(n, follower.unshipped())
			if dropped <= 0 {
				continue
			}
			follower.giveUp(dropped, now, archive.GapQuota)
			n -= dropped
			s.stats.GivenUp += dropped
			all[i].unsaved = true
			s.log.Warn("the spool is full; output is given up", "attempt", all[i].attempt.String(), "stream", name, "bytes", dropped)
		}
	}
	for _, f := range all {
		if time.Since(f.lastSaved) > saveInterval {
			s.save(f)
		}
	}
}

// backlog returns how much of the attempt waits to be shipped. The caller holds
// Shipper.mu.
func (f *followedAttempt) backlog() attemptBacklog {
	b := attemptBacklog{attempt: f.attempt, urgent: f.urgent, ended: f.progress.End != nil}
	for _, follower := range f.streams {
		b.unshipped += follower.unshipped()
		if at := follower.oldestUnshipped(); at > 0 && (b.oldestAt == 0 || at < b.oldestAt) {
			b.oldestAt = at
		}
	}
	return b
}

// finishRetryInterval is the shortest time between two tries to store an attempt's end.
const finishRetryInterval = time.Second

// sentRecord names the stream whose progress send updates when nodes have stored a record.
// The zero value is for a record that changes no stream's progress, such as a grant.
type sentRecord struct {
	attempt *followedAttempt
	stream  string
	bytes   int64 // of the stream, for a segment
	isGap   bool
}

// streamCut is the part of a stream that a batch ships: the gaps and the next segment.
type streamCut struct {
	attempt    *followedAttempt
	stream     string
	fileOffset int64
	offset     int64 // in the stream
	bytes      int64
	writeTimes []archive.WriteTime
	gaps       []archive.Gap
}

// shipBatch ships a batch of the output that is due. For ended attempts whose output is
// shipped completely, it starts finish in the background. It returns false if no output was
// due or none was stored.
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

// selectDue returns the output to ship now, up to about batchBytes, and the ended
// attempts whose output is shipped completely, as many as may be finished at a time. It marks the
// latter as finishing.
func (s *Shipper) selectDue() (cuts []streamCut, ended []*followedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var backlogs []attemptBacklog
	for _, f := range s.attempts {
		backlogs = append(backlogs, f.backlog())
	}
	size, finishing := int64(0), 0
	bound := int64(s.cfg.BoundS * 1000)
	for _, b := range due(backlogs, nowMS(), bound/2) {
		f := s.attempts[b.attempt]
		pending := false
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
			pending = pending || follower.unshipped() > 0 || len(follower.Gaps) > 0
		}
		if f.finishing {
			finishing++
		} else if f.outputFinal && !pending && time.Since(f.lastFinish) > finishRetryInterval {
			ended = append(ended, f)
		}
	}
	ended = chooseToFinish(ended, maxFinishing-finishing)
	for _, f := range ended {
		f.finishing, f.lastFinish = true, time.Now()
	}
	return cuts, ended
}

// maxFinishing is how many attempts are finished at a time. Each has one request to a node in flight, and
// a request beyond maxInFlight fails: one is left for the output of running attempts.
const maxFinishing = maxInFlight - 1

// chooseToFinish returns up to limit of the attempts: urgent ones first, then those that were tried the longest
// ago, so that attempts whose nodes don't answer delay no others for long, then those that ended first.
func chooseToFinish(attempts []*followedAttempt, limit int) []*followedAttempt {
	slices.SortFunc(attempts, func(a, b *followedAttempt) int {
		return cmp.Or(compareUrgency(a.urgent, b.urgent), a.lastFinish.Compare(b.lastFinish), cmp.Compare(a.progress.End.At, b.progress.End.At))
	})
	return attempts[:min(len(attempts), max(0, limit))]
}

// makeRecords reads the segments' data and returns the records of a batch, with a
// sentRecord for each. Each attempt's grant comes before its other records, and each
// stream's gaps come before its segment.
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
			name := archive.FormatPosition(c.stream, g.From, 0)
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
		name := archive.FormatPosition(c.stream, c.offset, int(c.bytes))
		records = append(records, archive.NewRecord(c.attempt.attempt, archive.KindSegment, name, segment.Encode()))
		sent = append(sent, sentRecord{attempt: c.attempt, stream: c.stream, bytes: c.bytes})
	}
	return records, sent
}

// giveUpUnreadable gives up output that can't be read if its attempt has ended. Output of
// a running attempt is read again later.
func (s *Shipper) giveUpUnreadable(c *streamCut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended := c.attempt.progress.End != nil; ended {
		c.attempt.streams[c.stream].giveUp(c.bytes, nowMS(), archive.GapUnread)
		c.attempt.unsaved = true
	}
}

// readRange reads n bytes of a file, starting at offset from.
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

// waitForRate waits until the rate limit allows sending size bytes. While inputs of an
// urgent task are being fetched, the limit is Config.UrgentMBPerS if that is lower than
// Config.RateMBPerS or the latter is 0.
func (s *Shipper) waitForRate(size int) error {
	mbPerS := s.cfg.RateMBPerS
	if s.Urgent() && (mbPerS == 0 || s.cfg.UrgentMBPerS < mbPerS) {
		mbPerS = s.cfg.UrgentMBPerS
	}
	limit := rate.Inf
	if mbPerS > 0 {
		limit = rate.Limit(mbPerS * 1e6)
	}
	s.limit.SetLimit(limit)
	for size > 0 {
		part := min(size, batchBytes)
		if err := s.limit.WaitN(s.ctx, part); err != nil {
			return err
		}
		size -= part
	}
	return nil
}

// totalFrameSize returns the size in bytes of all records' frames.
func totalFrameSize(records []archive.Record) (n int) {
	for i := range records {
		n += archive.FrameSize(&records[i])
	}
	return n
}

// send sends records to their nodes and updates the progress of their attempts. It gives
// up attempts of which a quorum refused a gap or a segment. anyStored reports whether a gap
// or a segment was stored.
func (s *Shipper) send(records []archive.Record, sent []sentRecord) (anyStored bool) {
	size := totalFrameSize(records)
	if s.waitForRate(size) != nil {
		return false
	}
	stored, refused := s.writer.Put(s.ctx, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Packed += int64(size)
	for i, r := range sent {
		if r.attempt == nil {
			continue
		}
		follower := r.attempt.streams[r.stream]
		if refused[i] {
			s.stats.Refused++
			s.log.Error("nodes refused an attempt's output; the attempt is given up", "attempt", r.attempt.attempt.String())
			r.attempt.progress.GivenUp, r.attempt.unsaved = "refused by the archive", true
			s.save(r.attempt)
			delete(s.attempts, r.attempt.attempt)
			continue
		}
		if !stored[i] {
			continue
		}
		anyStored = true
		r.attempt.unsaved = true
		if r.isGap {
			follower.Gaps = follower.Gaps[1:] // gaps are sent in the order of follower.Gaps
			continue
		}
		follower.advance(r.bytes)
		s.stats.Shipped += r.bytes
	}
	return anyStored
}
