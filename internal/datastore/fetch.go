package datastore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"silvergate/internal/dataset"
)

// fetching is a copy that is being fetched. The store's lock guards what changes of it.
type fetching struct {
	want          Want
	waiters       []func(error) // called when the fetch has finished
	reservedBytes int64
	totalBytes    int64
	verifiedBytes int64 // those found here included
	fetchedBytes  int64 // from sources
	began         time.Time
	plan          *fetchPlan
	ctx           context.Context
	cancel        context.CancelCauseFunc
	// pause ends the requests of a fetch that must wait for an urgent one.
	pause    context.CancelFunc
	wakeup   chan struct{}
	finished chan struct{}
}

// end ends a fetch for a reason; the store's lock may be held.
func (f *fetching) end(why error) { f.cancel(why) }

// wake lets the fetch look again at what it may do.
func (f *fetching) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// Fetch has a copy fetched in the background, unless the store has it, and then calls
// done from a goroutine of the store, once. A copy that is wanted again meanwhile is
// fetched once; sources are added, and it becomes urgent if any Want is. done may be
// nil: what is staged has nobody who waits. It gets nil if the store has the copy, an
// error that wraps ErrFull if there is no room, ErrDropped if the fetch was given up
// or the store is closed, and another error if no source has the copy or this
// machine's disk fails.
func (s *Store) Fetch(w Want, done func(error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done == nil {
		done = func(error) {}
	}
	if s.copies[w.ID] != nil {
		go done(nil)
		return
	}
	if s.closed {
		go done(ErrDropped)
		return
	}
	f := s.fetches[w.ID]
	if f != nil && f.ctx.Err() != nil {
		// Guards against joining a fetch that was just given up: whoever wants
		// the copy now would be told that nobody does.
		go func() {
			<-f.finished
			s.Fetch(w, done)
		}()
		return
	}
	if f == nil {
		f = &fetching{want: w, began: time.Now(), wakeup: make(chan struct{}, 1), finished: make(chan struct{})}
		f.ctx, f.cancel = context.WithCancelCause(context.Background())
		s.fetches[w.ID] = f
		s.emit(Event{Kind: "begin", ID: w.ID, Urgent: w.Urgent})
		if w.Urgent {
			s.setUrgent(1)
		}
		go s.run(f)
	} else {
		f.want.Sources = merge(f.want.Sources, w.Sources)
		if f.plan != nil {
			f.plan.add(w.Sources)
		}
		if w.Urgent && !f.want.Urgent {
			f.want.Urgent = true
			s.emit(Event{Kind: "begin", ID: w.ID, Urgent: true})
			s.setUrgent(1)
		}
		f.wake()
	}
	f.waiters = append(f.waiters, done)
}

// setUrgent counts the urgent fetches. The first one pauses all others at once, and the last one lets them go on; the lock is held.
func (s *Store) setUrgent(d int) {
	was := s.urgent > 0
	s.urgent += d
	if is := s.urgent > 0; is == was {
		return
	}
	for id, f := range s.fetches {
		if f.want.Urgent {
			continue
		}
		if s.urgent > 0 {
			s.emit(Event{Kind: "pause", ID: id})
			if f.pause != nil {
				f.pause()
			}
		} else {
			s.emit(Event{Kind: "resume", ID: id})
			f.wake()
		}
	}
}

// run fetches a copy and calls those who wait for it.
func (s *Store) run(f *fetching) {
	err := s.fetchCopy(f)
	s.mu.Lock()
	delete(s.fetches, f.want.ID)
	if f.want.Urgent {
		s.setUrgent(-1)
	}
	waiters := f.waiters
	switch {
	case errors.Is(err, ErrDropped):
		s.emit(Event{Kind: "quit", ID: f.want.ID})
	case err != nil:
		s.log.Error("a copy can't be fetched", "copy", f.want.ID, "set", f.want.Set, "version", f.want.Version, "error", err)
		s.emit(Event{Kind: "fail", ID: f.want.ID})
	}
	s.mu.Unlock()
	close(f.finished)
	for _, done := range waiters {
		done(err)
	}
}

// fetchCopy makes room for a copy, fetches what is missing of it and publishes it.
func (s *Store) fetchCopy(f *fetching) error {
	m, raw, err := s.fetchManifest(f)
	if err != nil {
		return err
	}
	id := f.want.ID
	size := m.Bytes()
	s.mu.Lock()
	f.totalBytes = size
	err = s.makeRoom(size)
	if err == nil {
		f.reservedBytes = size
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	t := &target{store: s, fetch: f, manifest: m}
	if err := s.disk.Replace(s.manifestPath(id), raw); err != nil {
		return t.failed(err)
	}
	missing, err := t.prepare()
	if err != nil {
		return err
	}
	s.mu.Lock()
	f.plan = newFetchPlan(missing, f.want.Sources)
	for i := range missing {
		_, _, n := t.at(missing[i])
		f.verifiedBytes -= int64(n)
	}
	f.verifiedBytes += size
	s.mu.Unlock()
	if len(missing) > 0 {
		if err := s.fetchChunks(f, t); err != nil {
			return err
		}
	}
	return t.publish()
}

// fetchManifest reads the copy's manifest from this disk or a source, and asks the
// sources again until one has it, all lack it, or the fetch ends. The digest says
// whether it is the right one, so any source will do.
func (s *Store) fetchManifest(f *fetching) (*dataset.Manifest, []byte, error) {
	if raw, err := os.ReadFile(s.manifestPath(f.want.ID)); err == nil {
		if m, err := dataset.Decode(raw, f.want.Digest); err == nil {
			return m, raw, nil
		}
	}
	for {
		s.mu.Lock()
		from := append([]Source(nil), f.want.Sources...)
		s.mu.Unlock()
		if len(from) == 0 {
			return nil, nil, errors.New("no source is known")
		}
		absent := 0
		wait := longestPause
		for _, source := range from {
			reply := s.askManifest(f, source)
			wait = min(wait, reply.wait)
			if !reply.asked {
				continue
			}
			if reply.outcome == Good {
				return reply.manifest, reply.raw, nil
			}
			if reply.outcome == Missing {
				absent++
			}
			if err := context.Cause(f.ctx); err != nil {
				return nil, nil, err
			}
		}
		if absent == len(from) {
			return nil, nil, fmt.Errorf("no source has version %s of data set %s", f.want.Version, f.want.Set)
		}
		if err := s.sleep(f, max(wait, firstPause)); err != nil {
			return nil, nil, err
		}
	}
}

// manifestReply is what came of asking a source for a manifest.
type manifestReply struct {
	asked    bool // false: the source must not be asked yet
	outcome  Outcome
	wait     time.Duration // until the source may be asked again
	manifest *dataset.Manifest
	raw      []byte
}

// askManifest asks a source for the copy's manifest, unless it backs off.
func (s *Store) askManifest(f *fetching, source Source) manifestReply {
	s.mu.Lock()
	backOff := s.sources.of(source.Address).notBefore - s.now()
	if backOff <= 0 {
		s.sources.begin(source.Address)
	}
	s.mu.Unlock()
	if backOff > 0 {
		return manifestReply{wait: backOff}
	}
	path := dataset.SetsPath + url.PathEscape(f.want.Set) + "/" + url.PathEscape(f.want.Version) + "/" + dataset.ManifestName
	if source.Peer {
		path = dataset.ChunkPath + "manifest/" + string(f.want.ID)
	}
	reply := manifestReply{asked: true}
	reply.raw, reply.outcome = s.ask(f.ctx, source, path, "", dataset.MaxManifest)
	if reply.outcome == Good {
		var err error
		if reply.manifest, err = dataset.Decode(reply.raw, f.want.Digest); err != nil {
			reply.outcome = Damaged
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources.end(s.now(), source.Address, reply.outcome, 0, 0)
	reply.wait = max(0, s.sources.of(source.Address).notBefore-s.now())
	return reply
}

// sleep waits, until something about the fetch changes or it is ended.
func (s *Store) sleep(f *fetching, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-f.ctx.Done():
		return context.Cause(f.ctx)
	case <-t.C:
	case <-f.wakeup:
	}
	return nil
}

// ask sends one request and reads at most limit bytes of its answer. It gives
// up when nothing comes for as long as the store's patience.
func (s *Store) ask(ctx context.Context, src Source, path, byteRange string, limit int) ([]byte, Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(s.cfg.Patience, cancel)
	defer quiet.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+src.Address+path, nil)
	if err != nil {
		return nil, Failed
	}
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	r, err := s.client.Do(req)
	if err != nil {
		return nil, Failed
	}
	defer r.Body.Close()
	switch {
	case r.StatusCode == http.StatusNotFound:
		return nil, Missing
	case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests:
		return nil, Busy
	case byteRange != "" && r.StatusCode != http.StatusPartialContent, byteRange == "" && r.StatusCode != http.StatusOK:
		return nil, Failed
	}
	var data []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			quiet.Reset(s.cfg.Patience)
			if data = append(data, buf[:n]...); len(data) > limit {
				return nil, Failed // it lies about its length
			}
			if s.fetchLimit.WaitN(ctx, n) != nil {
				return nil, Failed
			}
		}
		if errors.Is(err, io.EOF) {
			return data, Good
		}
		if err != nil {
			return nil, Failed
		}
	}
}

// result is what came of asking for a chunk. err is a failure of this machine.
type result struct {
	chunk   int
	from    Source
	outcome Outcome
	err     error
}

// fetchChunks fetches the missing chunks, a few at a time.
func (s *Store) fetchChunks(f *fetching, t *target) error {
	results := make(chan result, s.cfg.Streams)
	flying := 0
	defer func() {
		f.end(ErrDropped) // has no effect on a fetch that is over
		for ; flying > 0; flying-- {
			<-results
		}
	}()
	var ctx context.Context
	for {
		wait := longestPause
		s.mu.Lock()
		if s.urgent == 0 || f.want.Urgent {
			if ctx == nil || ctx.Err() != nil {
				ctx, f.pause = context.WithCancel(f.ctx)
			}
			for flying < s.cfg.Streams {
				chunk, from, w, ok := f.plan.next(s.now(), s.sources)
				if !ok {
					if w > 0 {
						wait = w
					}
					break
				}
				flying++
				go s.fetchChunk(ctx, t, chunk, from, results)
			}
		}
		hopeless := f.plan.hopeless()
		s.mu.Unlock()
		if hopeless {
			return fmt.Errorf("no source has all of version %s of data set %s", f.want.Version, f.want.Set)
		}
		timer := time.NewTimer(wait)
		select {
		case <-f.ctx.Done():
			timer.Stop()
			return context.Cause(f.ctx)
		case r := <-results:
			flying--
			if r.err != nil {
				timer.Stop()
				return r.err
			}
			s.mu.Lock()
			whole := f.plan.finishRequest(r.chunk, r.from, r.outcome)
			s.mu.Unlock()
			if whole {
				timer.Stop()
				return nil
			}
		case <-f.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// fetchChunk asks a source for the chunk with number n over all files, verifies it
// and writes it.
func (s *Store) fetchChunk(ctx context.Context, t *target, n int, from Source, results chan<- result) {
	file, chunk, size := t.at(n)
	f := &t.manifest.Files[file]
	want := f.Chunks[chunk]
	began := time.Now()
	var data []byte
	var o Outcome
	if from.Peer {
		data, o = s.ask(ctx, from, dataset.ChunkPath+want.String(), "", size)
	} else {
		path := dataset.SetsPath + url.PathEscape(t.manifest.Set) + "/" + url.PathEscape(t.manifest.Version) + "/" + dataset.FilesDir
		for _, part := range strings.Split(f.Path, "/") {
			path += "/" + url.PathEscape(part)
		}
		at := int64(chunk) * dataset.ChunkSize
		data, o = s.ask(ctx, from, path, fmt.Sprintf("bytes=%d-%d", at, at+int64(size)-1), size)
	}
	switch {
	case o == Good && (len(data) != size || dataset.Sum(data) != want):
		o = Damaged
		if len(data) < size {
			o = Failed // cut off; what came may be right
		}
	case o != Good && ctx.Err() != nil:
		o = Stopped
	}
	var err error
	if o == Good {
		err = t.write(n, data)
	}
	s.mu.Lock()
	if o == Good && ctx.Err() != nil {
		// It came while an urgent fetch stopped this one: an order to stand
		// still is kept to the letter, and the chunk is asked for again.
		o = Stopped
	}
	s.sources.end(s.now(), from.Address, o, len(data), time.Since(began))
	switch o {
	case Good:
		t.fetch.verifiedBytes += int64(size)
		t.fetch.fetchedBytes += int64(size)
		s.stats.Fetched += int64(size)
		s.emit(Event{Kind: "chunk", ID: t.fetch.want.ID, Source: from.Address, Urgent: t.fetch.want.Urgent})
	case Damaged:
		s.stats.Damaged++
	case Failed, Missing, Busy:
		s.stats.Retries++
	}
	s.mu.Unlock()
	results <- result{n, from, o, err}
}
