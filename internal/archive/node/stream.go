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

// Cuts is what a node has of a stream from an offset on.
type Cuts struct {
	Keys    []string    `json:"keys"`
	Records []RawRecord `json:"records"` // the attempt's small ones
	More    bool        `json:"more"`
}

// cutsPage bounds a list of segments; pageBytes what a reader is given at a time.
const (
	cutsPage  = 500
	pageBytes = 1 << 20
)

func (n *Node) cuts(a archive.Attempt, label, stream string, from int64) (Cuts, error) {
	out := Cuts{Keys: []string{}}
	name := a.String()
	if !n.vault.Labelled(label, name) {
		return out, nil
	}
	for _, kind := range []archive.Kind{archive.KindGrant, archive.KindEnd, archive.KindExpired, archive.KindGap} {
		infos, _, err := n.vault.Keys(name+"/"+string(rune(kind))+"/", "", 1000)
		if err != nil {
			return out, err
		}
		for _, i := range infos {
			if r, err := n.vault.Get(i.Key); err == nil {
				out.Records = append(out.Records, RawRecord{i.Key.String(), r.Payload})
			}
		}
	}
	// A segment that begins earlier can reach so far.
	begin := max(0, from-archive.MaxSegment)
	prefix := name + "/s/" + stream + "."
	infos, more, err := n.vault.Keys(prefix, name+"/s/"+archive.At(stream, begin, 0), cutsPage)
	if err != nil {
		return out, err
	}
	for _, i := range infos {
		if _, at, size, err := i.Key.Place(); err == nil && at+int64(size) > from {
			out.Keys = append(out.Keys, i.Key.String())
		}
	}
	out.More = more
	return out, nil
}

func (n *Node) localCuts(w http.ResponseWriter, r *http.Request, _ string) {
	a, stream, from, ok := place(r.URL.Query())
	if !ok {
		refuse(w, http.StatusBadRequest, "not a place in a stream")
		return
	}
	cuts, err := n.cuts(a, r.URL.Query().Get("label"), stream, from)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the index can't be read now")
		return
	}
	answer(w, cuts)
}

// place reads what a request for a stream names.
func place(q url.Values) (a archive.Attempt, stream string, from int64, ok bool) {
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

// Piece is a piece of a stream as a reader gets it.
type Piece struct {
	archive.Piece
	At   int64  `json:"atMs,omitempty"`
	Data []byte `json:"data,omitempty"`
}

// Stream is a page of a stream.
type Stream struct {
	Answered
	Pieces []Piece `json:"pieces"`
	Next   int64   `json:"next"` // where to go on
	More   bool    `json:"more"` // there is more now
	Over   bool    `json:"over"` // the attempt has ended, and this is all
}

// stream answers with a piece of a stream.
func (n *Node) stream(w http.ResponseWriter, r *http.Request, who identity.Identity) {
	a, stream, from, ok := place(r.URL.Query())
	if !ok {
		refuse(w, http.StatusBadRequest, "attempt, stream or from is not what it should be")
		return
	}
	s, has, missing, horizon, got := n.gatherCuts(r.Context(), a, own(who), stream, from)
	if s.grant == nil || !archive.Access(who, archive.Read, s.grant.Owner, "") {
		n.audit(who, archive.Read, a.String(), s.grant == nil)
		notFound(w)
		return
	}
	n.audit(who, archive.Read, a.String(), true)
	n.count(func(s *Stats) { s.Reads++ })
	n.mendLater(missing)
	out := Stream{Answered: got, Pieces: []Piece{}, Next: from}
	var parts []archive.Part
	var keys []archive.Key
	for key := range has {
		k, err := archive.ParseKey(key)
		if err != nil {
			continue
		}
		_, at, size, err := k.Place()
		if err != nil || horizon >= 0 && at >= horizon {
			out.More = true
			continue
		}
		parts, keys = append(parts, archive.Part{From: at, To: at + int64(size), Ref: len(keys)}), append(keys, k)
	}
	size := int64(-1)
	if s.end != nil && horizon < 0 {
		size = s.end.Sizes[stream]
	}
	upto, why := s.gone.Upto[stream], s.gone.Reason
	if s.gone.All && s.end != nil {
		upto = s.end.Sizes[stream]
	}
	total := 0
	for _, p := range archive.Assemble(parts, s.gaps[stream], upto, why, size) {
		if p.To >= 0 && p.To <= from && p.To > p.From || p.From < from && p.From == p.To {
			continue
		}
		p.From = max(p.From, from)
		if total >= pageBytes {
			out.More = true
			break
		}
		if p.What != archive.PieceData {
			if p.What == archive.PieceMissing && s.end == nil && !slices.ContainsFunc(parts, func(x archive.Part) bool { return x.From >= p.To }) {
				break
			}
			out.Pieces = append(out.Pieces, Piece{Piece: p})
			out.Next = max(out.Next, p.To)
			continue
		}
		pieces, err := n.body(r.Context(), keys[p.Ref], has[keys[p.Ref].String()], p)
		if err != nil {
			n.log.Error("a segment can't be read", "key", keys[p.Ref].String(), "err", err)
			if len(out.Pieces) > 0 {
				out.More = true
				break
			}
			refuse(w, http.StatusServiceUnavailable, "a part of it can't be read now")
			return
		}
		out.Pieces, out.Next, total = append(out.Pieces, pieces...), p.To, total+int(p.To-p.From)
	}
	out.Over = s.end != nil && !out.More
	answer(w, out)
}

// gatherCuts asks all nodes for an attempt's stream. has tells who has which
// segment, missing who of its nodes lacks which; beyond horizon, if it is not -1,
// some node may have more.
func (n *Node) gatherCuts(ctx context.Context, a archive.Attempt, label, stream string, from int64) (s *state, has map[string][]string, missing map[string][]string, horizon int64, got Answered) {
	s, has, horizon = newState(), map[string][]string{}, -1
	q := url.Values{"attempt": {a.String()}, "label": {label}, "stream": {stream}, "from": {strconv.FormatInt(from, 10)}}
	var answered []string
	got = gather(ctx, n, PathCuts+"?"+q.Encode(), func() (Cuts, error) { return n.cuts(a, label, stream, from) }, func(name string, c Cuts) {
		answered = append(answered, name)
		for _, r := range c.Records {
			s.enter(n, r.Key, r.Payload)
		}
		last := int64(-1)
		for _, key := range c.Keys {
			has[key] = append(has[key], name)
			if k, err := archive.ParseKey(key); err == nil {
				_, last, _, _ = k.Place()
			}
		}
		if c.More && last >= 0 && (horizon < 0 || last < horizon) {
			horizon = last
		}
	})
	missing = map[string][]string{}
	for _, owner := range n.members.Of(archive.Unit(a)) {
		if !slices.Contains(answered, owner) {
			continue
		}
		for key, names := range has {
			if !slices.Contains(names, owner) {
				missing[key] = append(missing[key], owner)
			}
		}
	}
	return s, has, missing, horizon, got
}

// record reads a record from here, or from one of those that have it.
func (n *Node) record(ctx context.Context, k archive.Key, has []string) (archive.Record, error) {
	r, err := n.vault.Get(k)
	for _, name := range has {
		if err == nil {
			break
		}
		p := n.peers[name]
		if p == nil {
			continue
		}
		var recs []archive.Record
		if recs, err = p.fetch(ctx, []string{k.String()}); err == nil && len(recs) == 1 && recs[0].Key == k {
			return recs[0], nil
		}
		if err == nil {
			// Guards against a record made of nothing: a node that has lost it since
			// it was asked answers with none, and that was once kept as a record.
			err = fmt.Errorf("%s: %w", name, vault.ErrNotHere)
		}
	}
	return r, err
}

// body reads a segment's part, cut at its marks.
func (n *Node) body(ctx context.Context, k archive.Key, has []string, p archive.Piece) (out []Piece, err error) {
	r, err := n.record(ctx, k, has)
	if err != nil {
		return nil, err
	}
	seg, err := archive.DecodeSegment(r.Payload)
	if err != nil {
		return nil, err
	}
	_, begin, _, err := k.Place()
	if err != nil {
		return nil, err
	}
	pos := p.From
	for _, m := range seg.Marks {
		to := min(begin+int64(m.To), p.To)
		if to <= pos {
			continue
		}
		out = append(out, Piece{archive.Piece{From: pos, To: to}, m.At, seg.Data[pos-begin : to-begin]})
		pos = to
	}
	return out, nil
}

// file answers with a piece of a kept file: whole chunks, as bytes.
func (n *Node) file(w http.ResponseWriter, r *http.Request, who identity.Identity) {
	q := r.URL.Query()
	a, err := archive.ParseAttempt(q.Get("attempt"))
	from, err2 := strconv.Atoi(q.Get("chunk"))
	if err != nil || err2 != nil || from < 0 || len(q.Get("path")) > 2000 {
		refuse(w, http.StatusBadRequest, "attempt, path or chunk is not what it should be")
		return
	}
	states, _, _ := n.page(r.Context(), a.Job, own(who), "", true)
	s := states[a.String()]
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
			k := archive.Key{Attempt: archive.Files(a.Job), Kind: archive.KindChunk, Digest: digest}
			rec, err := n.record(r.Context(), k, n.members.Of(archive.Unit(k.Attempt)))
			if err != nil {
				n.log.Error("a chunk can't be read", "key", k.String(), "err", err)
				refuse(w, http.StatusServiceUnavailable, "a part of it can't be read now")
				return
			}
			out = append(out, rec.Payload...)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(out)
		return
	}
	notFound(w)
}
