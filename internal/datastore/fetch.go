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

// fetching is the state of a fetch. The store's lock guards the fields that change.
type fetching struct {
	want          Want
	waiters       []func(error) // called when the fetch has finished
	reservedBytes int64
	totalBytes    int64
	verifiedBytes int64 // including those found on this machine
	fetchedBytes  int64 // from sources
	startedAt     time.Time
	plan          *fetchPlan
	ctx           context.Context
	cancel        context.CancelCauseFunc
	// pause cancels the requests of a fetch that must wait for an urgent one.
	pause    context.CancelFunc
	wakeups  chan struct{}
	finished chan struct{}
}

// abort ends a fetch with the error why. The caller may hold the store's lock.
func (f *fetching) abort(why error) { f.cancel(why) }

// wake makes the fetch check again which requests it may send.
func (f *fetching) wake() {
	select {
	case f.wakeups <- struct{}{}:
	default:
	}
}

// Fetch fetches a copy in the background, unless the store has it, and then calls done
// once from a goroutine of the store. If the copy is already being fetched, Fetch joins
// that fetch: it adds the sources of w, and makes the fetch urgent if w is urgent. done
// may be nil, as nobody waits for a copy that is staged ahead. done is called with nil
// if the store has the copy, with an error that wraps ErrFull if there is no room, with
// ErrCancelled if the fetch was cancelled or the store is closed, and with another error
// if no source has the copy or this machine's disk fails.
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
		go done(ErrCancelled)
		return
	}
	f := s.fetches[w.ID]
	if f != nil && f.ctx.Err() != nil {
		// The fetch was just cancelled: joining it would end this request with
		// ErrCancelled. Start a new fetch once it has finished.
		go func() {
			<-f.finished
			s.Fetch(w, done)
		}()
		return
	}
	if f == nil {
		f = &fetching{want: w, startedAt: time.Now(), wakeups: make(chan struct{}, 1), finished: make(chan struct{})}
		f.ctx, f.cancel = context.WithCancelCause(context.Background())
		s.fetches[w.ID] = f
		s.emit(Event{Kind: "begin", ID: w.ID, Urgent: w.Urgent})
		if w.Urgent {
			s.addUrgent(1)
		}
		go s.runFetch(f)
	} else {
		f.want.Sources = mergeSources(f.want.Sources, w.Sources)
		if f.plan != nil {
			f.plan.addSources(w.Sources)
		}
		if w.Urgent && !f.want.Urgent {
			f.want.Urgent = true
			s.emit(Event{Kind: "begin", ID: w.ID, Urgent: true})
			s.addUrgent(1)
		}
		f.wake()
	}
	f.waiters = append(f.waiters, done)
}

// addUrgent adds delta to the number of urgent fetches. The first urgent fetch pauses all
// non-urgent ones at once, and the end of the last one resumes them. The caller holds
// the lock.
func (s *Store) addUrgent(delta int) {
	was := s.urgent > 0
	s.urgent += delta
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

// runFetch fetches a copy and then calls the functions that wait for it.
func (s *Store) runFetch(f *fetching) {
	err := s.fetchCopy(f)
	if err != nil {
		s.keepPartial(f)
	}
	s.mu.Lock()
	delete(s.fetches, f.want.ID)
	if f.want.Urgent {
		s.addUrgent(-1)
	}
	waiters := f.waiters
	switch {
	case errors.Is(err, ErrCancelled):
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

// fetchCopy makes room for a copy, fetches its missing chunks and publishes it.
func (s *Store) fetchCopy(f *fetching) error {
	m, raw, err := s.fetchManifest(f)
	if err != nil {
		return err
	}
	id := f.want.ID
	size := m.Bytes()
	s.mu.Lock()
	f.totalBytes = size
	delete(s.idlePartials, id) // part of what is reserved from now on
	err = s.makeRoom(size)
	if err == nil {
		f.reservedBytes = size
	}
	s.mu.Unlock()
	if err := errors.Join(err, s.emptyTrash()); err != nil {
		return err
	}
	t := &target{store: s, fetch: f, manifest: m}
	if err := s.disk.Replace(s.manifestPath(id), raw); err != nil {
		return s.wrapDiskFull(err)
	}
	missing, err := t.prepare()
	if err != nil {
		return err
	}
	s.mu.Lock()
	f.plan = newFetchPlan(missing, f.want.Sources)
	for i := range missing {
		_, _, n := t.locate(missing[i])
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

// fetchManifest reads the copy's manifest from this disk or from a source. It asks the
// sources again until one has the manifest, all lack it, or the fetch ends. Any source
// will do, because the digest shows whether the manifest is the right one.
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
			return nil, nil, errors.New("no source of the copy is known")
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

// manifestReply is the result of asking a source for a manifest.
type manifestReply struct {
	asked    bool // false: the source's back-off was not over, so it was not asked
	outcome  Outcome
	wait     time.Duration // until the source may be asked again
	manifest *dataset.Manifest
	raw      []byte
}

// askManifest asks a source for the copy's manifest, unless the source's back-off is
// not over.
func (s *Store) askManifest(f *fetching, source Source) manifestReply {
	s.mu.Lock()
	backOff := s.sources.get(source.Address).notBefore - s.now()
	if backOff <= 0 {
		s.sources.beginRequest(source.Address)
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
	reply.raw, reply.outcome = s.request(f.ctx, source, path, "", dataset.MaxManifest)
	if reply.outcome == Good {
		var err error
		if reply.manifest, err = dataset.Decode(reply.raw, f.want.Digest); err != nil {
			reply.outcome = Damaged
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources.endRequest(s.now(), source.Address, reply.outcome, 0, 0)
	reply.wait = max(0, s.sources.get(source.Address).notBefore-s.now())
	return reply
}

// sleep waits for d, or until the fetch is woken or ends. It returns an error if the
// fetch has ended.
func (s *Store) sleep(f *fetching, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-f.ctx.Done():
		return context.Cause(f.ctx)
	case <-t.C:
	case <-f.wakeups:
	}
	return nil
}

// request sends one request and reads at most limit bytes of the answer. It gives up
// if the source sends nothing for Config.StallTimeout.
func (s *Store) request(ctx context.Context, src Source, path, byteRange string, limit int) ([]byte, Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := time.AfterFunc(s.cfg.StallTimeout, cancel)
	defer stallTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+src.Address+path, nil)
	if err != nil {
		return nil, Failed
	}
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	r, err := s.network.client.Do(req)
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
			stallTimer.Reset(s.cfg.StallTimeout)
			if data = append(data, buf[:n]...); len(data) > limit {
				return nil, Failed // the body is longer than it may be
			}
			if s.network.fetchLimit.WaitN(ctx, n) != nil {
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

// chunkResult is the result of fetching a chunk. err is a failure of this machine.
type chunkResult struct {
	chunk   int
	from    Source
	outcome Outcome
	err     error
}

// fetchChunks fetches the missing chunks, at most Config.Streams at a time.
func (s *Store) fetchChunks(f *fetching, t *target) error {
	results := make(chan chunkResult, s.cfg.Streams)
	inFlight := 0
	defer func() {
		f.abort(ErrCancelled) // has no effect if the fetch was aborted before
		for ; inFlight > 0; inFlight-- {
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
			for inFlight < s.cfg.Streams {
				chunk, from, w, ok := f.plan.nextRequest(s.now(), s.sources)
				if !ok {
					if w > 0 {
						wait = w
					}
					break
				}
				inFlight++
				go s.fetchChunk(ctx, t, chunk, from, results)
			}
		}
		exhausted := f.plan.exhausted()
		s.mu.Unlock()
		if exhausted {
			return fmt.Errorf("no source has all chunks of version %s of data set %s", f.want.Version, f.want.Set)
		}
		timer := time.NewTimer(wait)
		select {
		case <-f.ctx.Done():
			timer.Stop()
			return context.Cause(f.ctx)
		case r := <-results:
			inFlight--
			if r.err != nil {
				timer.Stop()
				return r.err
			}
			s.mu.Lock()
			complete := f.plan.finishRequest(r.chunk, r.from, r.outcome)
			s.mu.Unlock()
			if complete {
				timer.Stop()
				return nil
			}
		case <-f.wakeups:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// fetchChunk fetches chunk n, counted over all files, from a source, verifies it and
// writes it.
func (s *Store) fetchChunk(ctx context.Context, t *target, n int, from Source, results chan<- chunkResult) {
	file, chunk, size := t.locate(n)
	f := &t.manifest.Files[file]
	want := f.Chunks[chunk]
	began := time.Now()
	var data []byte
	var o Outcome
	if from.Peer {
		data, o = s.request(ctx, from, dataset.ChunkPath+want.String(), "", size)
	} else {
		path := dataset.SetsPath + url.PathEscape(t.manifest.Set) + "/" + url.PathEscape(t.manifest.Version) + "/" + dataset.FilesDir
		for _, part := range strings.Split(f.Path, "/") {
			path += "/" + url.PathEscape(part)
		}
		at := int64(chunk) * dataset.ChunkSize
		data, o = s.request(ctx, from, path, fmt.Sprintf("bytes=%d-%d", at, at+int64(size)-1), size)
	}
	switch {
	case o == Good && (len(data) != size || dataset.Sum(data) != want):
		o = Damaged
		if len(data) < size {
			o = Failed // the answer was cut off; the bytes so far may be right
		}
	case o != Good && ctx.Err() != nil:
		o = Stopped
	}
	var err error
	if o == Good {
		err = t.writeChunk(n, data)
	}
	s.mu.Lock()
	if o == Good && ctx.Err() != nil {
		// The chunk arrived while an urgent fetch paused this one. A paused fetch
		// must take no chunk, so the chunk is fetched again later.
		o = Stopped
	}
	s.sources.endRequest(s.now(), from.Address, o, len(data), time.Since(began))
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
	results <- chunkResult{n, from, o, err}
}
