package node

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"silvergate/internal/archive"
	"silvergate/internal/archive/vault"
	"silvergate/internal/identity"
)

// SegmentList is what a node stores of a stream from an offset on: the keys of its segments,
// in order. More reports whether there are further segments. Its JSON is the response at PathCuts.
type SegmentList struct {
	Keys    []string    `json:"keys"`
	Records []RawRecord `json:"records"` // the attempt's grants, ends, expiry records and gaps
	More    bool        `json:"more"`
}

// segmentsPage is the maximum number of segments in a list; pageBytes is about the number
// of bytes in a page for a reader.
const (
	segmentsPage = 500
	pageBytes    = 1 << 20
)

// listSegments lists what this node stores of a stream from an offset on. The list is empty
// if the attempt does not have the label.
func (n *Node) listSegments(a archive.Attempt, label, stream string, from int64) (SegmentList, error) {
	out := SegmentList{Keys: []string{}}
	name := a.String()
	if !n.vault.HasLabel(label, name) {
		return out, nil
	}
	for _, kind := range []archive.Kind{archive.KindGrant, archive.KindEnd, archive.KindExpired, archive.KindGap} {
		infos, _, err := n.vault.List(name+"/"+string(rune(kind))+"/", "", 1000)
		if err != nil {
			return out, err
		}
		for _, i := range infos {
			if r, err := n.vault.Get(i.Key); err == nil {
				out.Records = append(out.Records, RawRecord{i.Key.String(), r.Payload})
			}
		}
	}
	// A segment that begins up to MaxSegment bytes earlier can extend past the offset.
	begin := max(0, from-archive.MaxSegment)
	prefix := name + "/s/" + stream + "."
	infos, more, err := n.vault.List(prefix, name+"/s/"+archive.FormatPosition(stream, begin, 0), segmentsPage)
	if err != nil {
		return out, err
	}
	for _, i := range infos {
		if _, at, size, err := i.Key.StreamPosition(); err == nil && at+int64(size) > from {
			out.Keys = append(out.Keys, i.Key.String())
		}
	}
	out.More = more
	return out, nil
}

// serveSegments responds to another node with what this one stores of a stream.
func (n *Node) serveSegments(w http.ResponseWriter, r *http.Request, _ string) {
	a, stream, from, ok := parseStreamQuery(r.URL.Query())
	if !ok {
		writeError(w, http.StatusBadRequest, "not a place in a stream")
		return
	}
	segments, err := n.listSegments(a, r.URL.Query().Get("label"), stream, from)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the index can't be read now")
		return
	}
	writeJSON(w, segments)
}

// parseStreamQuery parses the attempt, the stream and the offset of a request. ok reports
// whether they are valid.
func parseStreamQuery(q url.Values) (a archive.Attempt, stream string, from int64, ok bool) {
	a, err := archive.ParseAttempt(q.Get("attempt"))
	stream = q.Get("stream")
	if q.Get("from") != "" {
		var err2 error
		if from, err2 = strconv.ParseInt(q.Get("from"), 10, 63); err2 != nil {
			return a, "", 0, false
		}
	}
	return a, stream, from, err == nil && from >= 0 && slices.Contains(archive.Streams, stream)
}

// Piece is a piece of a stream with its data. At is when its bytes were written, Unix time
// in milliseconds.
type Piece struct {
	archive.Piece
	At   int64  `json:"atMs,omitempty"`
	Data []byte `json:"data,omitempty"`
}

// Stream is a page of a stream. Its JSON is the response at PathStream.
type Stream struct {
	Completeness
	Pieces []Piece `json:"pieces"`
	Next   int64   `json:"next"` // the offset of the next page, in bytes
	More   bool    `json:"more"` // more of the stream is available now
	Ended  bool    `json:"over"` // the attempt has ended, and this is the last page
}

// gatheredStream is what the nodes that answered have of an attempt's stream, merged.
type gatheredStream struct {
	state          *attemptState
	holders        map[string][]string // nodes that have a segment, by its key
	missing        map[string][]string // nodes that should have a segment and do not, by its key
	incompleteFrom int64               // if not -1, some node may have unlisted segments from this offset on
	completeness   Completeness
}

// stream responds with a page of a stream. A reader without access gets the same response as
// for a stream that does not exist.
func (n *Node) stream(w http.ResponseWriter, r *http.Request, who identity.Identity) {
	a, stream, from, ok := parseStreamQuery(r.URL.Query())
	if !ok {
		writeError(w, http.StatusBadRequest, "attempt, stream or from is not what it should be")
		return
	}
	g := n.gatherSegments(r.Context(), a, readableLabel(who), stream, from)
	grant := g.state.grant
	if grant == nil || !archive.Access(who, archive.Read, grant.Owner, "") {
		n.audit(who, archive.Read, a.String(), grant == nil)
		notFound(w)
		return
	}
	n.audit(who, archive.Read, a.String(), true)
	n.count(func(s *Stats) { s.Reads++ })
	n.repairLater(g.missing)
	out, err := n.streamPage(r.Context(), g, stream, from)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "a part of it can't be read now")
		return
	}
	writeJSON(w, out)
}

// streamPage returns a page of a gathered stream from an offset on, with about pageBytes of
// data. If a segment can't be read, the page ends before it; if the page would then be empty,
// streamPage returns an error.
func (n *Node) streamPage(ctx context.Context, g *gatheredStream, stream string, from int64) (Stream, error) {
	out := Stream{Completeness: g.completeness, Pieces: []Piece{}, Next: from}
	parts, keys, more := g.parts()
	out.More = more
	total := 0
	for _, p := range g.assemble(parts, stream) {
		if p.To >= 0 && p.To <= from && p.To > p.From || p.From < from && p.From == p.To {
			continue
		}
		p.From = max(p.From, from)
		if total >= pageBytes {
			out.More = true
			break
		}
		if p.State != archive.PieceData {
			if g.mayStillArrive(p, parts) {
				break
			}
			out.Pieces = append(out.Pieces, Piece{Piece: p})
			out.Next = max(out.Next, p.To)
			continue
		}
		key := keys[p.Ref]
		pieces, err := n.segmentPieces(ctx, key, g.holders[key.String()], p)
		if err != nil {
			n.log.Error("a segment can't be read", "key", key.String(), "error", err)
			if len(out.Pieces) > 0 {
				out.More = true
				break
			}
			return Stream{}, err
		}
		out.Pieces = append(out.Pieces, pieces...)
		out.Next = p.To
		total += int(p.To - p.From)
	}
	out.Ended = g.state.end != nil && !out.More
	return out, nil
}

// parts returns the gathered segments that begin before incompleteFrom, and their keys, which
// are indexed by the Ref of each part. more reports whether segments were left out.
func (g *gatheredStream) parts() (parts []archive.Part, keys []archive.Key, more bool) {
	for name := range g.holders {
		key, err := archive.ParseKey(name)
		if err != nil {
			continue
		}
		_, at, size, err := key.StreamPosition()
		if err != nil || g.incompleteFrom >= 0 && at >= g.incompleteFrom {
			more = true
			continue
		}
		parts = append(parts, archive.Part{From: at, To: at + int64(size), Ref: len(keys)})
		keys = append(keys, key)
	}
	return parts, keys, more
}

// assemble returns the pieces of the stream, from its parts, its gaps and its expiry. The
// stream's length is known if the attempt has ended and no segments were left out.
func (g *gatheredStream) assemble(parts []archive.Part, stream string) []archive.Piece {
	s := g.state
	size := int64(-1)
	if s.end != nil && g.incompleteFrom < 0 {
		size = s.end.Sizes[stream]
	}
	upto := s.expired.Upto[stream]
	if s.expired.All && s.end != nil {
		upto = s.end.Sizes[stream]
	}
	return archive.Assemble(parts, s.gaps[stream], upto, s.expired.Reason, size)
}

// mayStillArrive reports whether a piece is the missing tail of a stream whose attempt is still
// running: the segments of the tail may not have been shipped yet.
func (g *gatheredStream) mayStillArrive(p archive.Piece, parts []archive.Part) bool {
	return p.State == archive.PieceMissing && g.state.end == nil &&
		!slices.ContainsFunc(parts, func(x archive.Part) bool { return x.From >= p.To })
}

// gatherSegments asks all nodes for their segments of a stream from an offset on.
func (n *Node) gatherSegments(ctx context.Context, a archive.Attempt, label, stream string, from int64) *gatheredStream {
	g := &gatheredStream{state: newAttemptState(), holders: map[string][]string{}, incompleteFrom: -1}
	q := url.Values{"attempt": {a.String()}, "label": {label}, "stream": {stream}, "from": {strconv.FormatInt(from, 10)}}
	var answered []string
	local := func() (SegmentList, error) { return n.listSegments(a, label, stream, from) }
	g.completeness = gather(ctx, n, PathCuts+"?"+q.Encode(), local, func(name string, c SegmentList) {
		answered = append(answered, name)
		g.add(n, name, c)
	})
	g.missing = g.missingAt(answered, n.members.NodesFor(archive.PlacementUnit(a)))
	return g
}

// add merges what a node has of the stream.
func (g *gatheredStream) add(n *Node, name string, c SegmentList) {
	for _, r := range c.Records {
		g.state.add(n, r.Key, r.Payload)
	}
	last := int64(-1)
	for _, key := range c.Keys {
		g.holders[key] = append(g.holders[key], name)
		if k, err := archive.ParseKey(key); err == nil {
			_, last, _, _ = k.StreamPosition()
		}
	}
	if c.More && last >= 0 && (g.incompleteFrom < 0 || last < g.incompleteFrom) {
		g.incompleteFrom = last
	}
}

// missingAt returns, by the key of a segment, the replicas that answered and lack it.
func (g *gatheredStream) missingAt(answered, replicas []string) map[string][]string {
	missing := map[string][]string{}
	for _, replica := range replicas {
		if !slices.Contains(answered, replica) {
			continue
		}
		for key, names := range g.holders {
			if !slices.Contains(names, replica) {
				missing[key] = append(missing[key], replica)
			}
		}
	}
	return missing
}

// readRecord reads a record from the local vault, or else from one of the holders.
func (n *Node) readRecord(ctx context.Context, k archive.Key, holders []string) (archive.Record, error) {
	r, err := n.vault.Get(k)
	for _, name := range holders {
		if err == nil {
			break
		}
		p := n.peers[name]
		if p == nil {
			continue
		}
		var records []archive.Record
		if records, err = p.fetch(ctx, []string{k.String()}); err == nil && len(records) == 1 && records[0].Key == k {
			return records[0], nil
		}
		if err == nil {
			// The node lost the record after listing it and returned none. Without this
			// error, an empty record would be returned and stored, which once happened.
			err = fmt.Errorf("%s: %w", name, vault.ErrNotFound)
		}
	}
	return r, err
}

// segmentPieces reads the range of p from a segment and splits it at the segment's write times.
func (n *Node) segmentPieces(ctx context.Context, k archive.Key, holders []string, p archive.Piece) (out []Piece, err error) {
	r, err := n.readRecord(ctx, k, holders)
	if err != nil {
		return nil, err
	}
	seg, err := archive.DecodeSegment(r.Payload)
	if err != nil {
		return nil, err
	}
	_, begin, _, err := k.StreamPosition()
	if err != nil {
		return nil, err
	}
	pos := p.From
	for _, m := range seg.WriteTimes {
		to := min(begin+int64(m.To), p.To)
		if to <= pos {
			continue
		}
		out = append(out, Piece{archive.Piece{From: pos, To: to}, m.At, seg.Data[pos-begin : to-begin]})
		pos = to
	}
	return out, nil
}

// file responds with the bytes of up to 8 whole chunks of an archived file, from the requested
// chunk on.
func (n *Node) file(w http.ResponseWriter, r *http.Request, who identity.Identity) {
	q := r.URL.Query()
	a, err := archive.ParseAttempt(q.Get("attempt"))
	from, err2 := strconv.Atoi(q.Get("chunk"))
	if err != nil || err2 != nil || from < 0 || len(q.Get("path")) > 2000 {
		writeError(w, http.StatusBadRequest, "attempt, path or chunk is not what it should be")
		return
	}
	s := n.gatherAttempt(r.Context(), a, readableLabel(who))
	if s == nil || s.grant == nil || !archive.Access(who, archive.Read, s.grant.Owner, "") {
		n.audit(who, archive.Read, a.String(), s == nil || s.grant == nil)
		notFound(w)
		return
	}
	n.audit(who, archive.Read, a.String(), true)
	n.count(func(s *Stats) { s.Reads++ })
	for _, f := range s.files {
		if f.Path != q.Get("path") || from >= max(1, len(f.Chunks)) {
			continue
		}
		var out []byte
		for _, digest := range f.Chunks[from:min(len(f.Chunks), from+8)] {
			k := archive.Key{Attempt: archive.FilesAttempt(a.Job), Kind: archive.KindChunk, Digest: digest}
			record, err := n.readRecord(r.Context(), k, n.members.NodesFor(archive.PlacementUnit(k.Attempt)))
			if err != nil {
				n.log.Error("a chunk can't be read", "key", k.String(), "error", err)
				writeError(w, http.StatusServiceUnavailable, "a part of it can't be read now")
				return
			}
			out = append(out, record.Payload...)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(out)
		return
	}
	notFound(w)
}
