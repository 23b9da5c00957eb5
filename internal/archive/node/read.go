package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/vault"
	"silvergate/internal/identity"
)

// Row is what a node has of an attempt: its small records, and which parts of its
// streams.
type Row struct {
	Attempt string                     `json:"attempt"`
	Records []RawRecord                `json:"records,omitempty"`
	Cover   map[string][]archive.Range `json:"cover,omitempty"`
	Files   []RawRecord                `json:"files,omitempty"`
}

// RawRecord is a record in JSON.
type RawRecord struct {
	Key     string `json:"key"`
	Payload []byte `json:"payload"`
}

// Rows is a page of them.
type Rows struct {
	Rows []Row  `json:"rows"`
	Last string `json:"last,omitempty"` // the page ends after it; "": the last page
}

// rowsPage bounds a page, in attempts.
const rowsPage = 200

// rows lists attempts here that have a label, of a job if it is named, after an
// attempt. A reader's label is their own: what belongs to others is not even looked
// at for them, and takes as long as what is not there.
func (n *Node) rows(job, label, from string, files bool) (out Rows, err error) {
	out.Rows = []Row{}
	prefix := ""
	if job != "" {
		prefix = job + "/"
	}
	names, more, err := n.vault.Find(label, prefix, from, rowsPage)
	if err != nil {
		return out, err
	}
	for _, name := range names {
		row, err := n.row(name, files)
		if err != nil {
			return out, err
		}
		out.Rows = append(out.Rows, row)
	}
	if more {
		out.Last = names[len(names)-1]
	}
	return out, nil
}

// row reads what is here of an attempt.
func (n *Node) row(name string, files bool) (Row, error) {
	row := Row{Attempt: name, Cover: map[string][]archive.Range{}}
	from := ""
	for {
		infos, more, err := n.vault.Keys(name+"/", from, 1000)
		if err != nil {
			return row, err
		}
		for _, i := range infos {
			from = i.Key.String()
			switch i.Key.Kind {
			case archive.KindSegment:
				if stream, at, size, err := i.Key.Place(); err == nil {
					row.Cover[stream] = archive.Join(row.Cover[stream], archive.Range{From: at, To: at + int64(size)})
				}
			case archive.KindGrant, archive.KindEnd, archive.KindExpired, archive.KindGap, archive.KindFile:
				if r, err := n.vault.Get(i.Key); err == nil {
					raw := RawRecord{from, r.Payload}
					if i.Key.Kind != archive.KindFile {
						row.Records = append(row.Records, raw)
					} else if files {
						row.Files = append(row.Files, raw)
					}
				}
			}
		}
		if !more {
			return row, nil
		}
	}
}

func (n *Node) localRows(w http.ResponseWriter, r *http.Request, _ string) {
	q := r.URL.Query()
	rows, err := n.rows(q.Get("job"), q.Get("label"), q.Get("from"), q.Get("files") == "true")
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the index can't be read now")
		return
	}
	answer(w, rows)
}

// Answered tells how far an answer can be trusted.
type Answered struct {
	// Whole is false when so many nodes are silent that what they acknowledged may
	// be missing here.
	Whole  bool     `json:"whole"`
	Silent []string `json:"silent,omitempty"`
}

// gather asks all nodes, this one too, and hands each answer on.
func gather[T any](ctx context.Context, n *Node, target string, own func() (T, error), take func(from string, v T)) Answered {
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	a := Answered{}
	ask := func(name string, get func() (T, error)) {
		defer wait.Done()
		v, err := get()
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			n.log.Debug("a node does not answer", "node", name, "err", err)
			a.Silent = append(a.Silent, name)
			return
		}
		take(name, v)
	}
	for name, p := range n.peers {
		wait.Add(1)
		go ask(name, func() (v T, err error) { return v, p.ask(ctx, target, &v) })
	}
	wait.Add(1)
	go ask(n.cfg.Name, own)
	wait.Wait()
	slices.Sort(a.Silent)
	a.Whole = n.members.Whole(len(n.members.Names) - len(a.Silent))
	return a
}

// Attempt is what a reader is told of an attempt.
type Attempt struct {
	archive.Attempt
	archive.Owner
	Class   string                     `json:"class"`
	Urgency string                     `json:"urgency"`
	At      int64                      `json:"atMs"` // when it was granted
	End     *archive.End               `json:"end,omitempty"`
	Expired *archive.Expired           `json:"expired,omitempty"`
	Cover   map[string][]archive.Range `json:"cover,omitempty"`
	Files   []archive.File             `json:"files,omitempty"`
}

// Attempts is a page of them.
type Attempts struct {
	Answered
	Attempts []Attempt `json:"attempts"`
	Next     string    `json:"next,omitempty"`
}

// state is what all nodes together know of an attempt.
type state struct {
	grant *archive.Grant
	end   *archive.End
	gone  archive.Expired
	gaps  map[string][]archive.Gap
	cover map[string][]archive.Range
	files map[string]archive.File // by key
}

// enter takes a record in.
func (s *state) enter(n *Node, key string, payload []byte) {
	r := archive.Record{Payload: payload}
	var err error
	if r.Key, err = archive.ParseKey(key); err != nil || r.Check() != nil {
		return
	}
	switch r.Key.Kind {
	case archive.KindGrant:
		if g, err := n.key.Open(payload); err == nil {
			s.grant = &g
		}
	case archive.KindEnd:
		var e archive.End
		// Of two, as after an agent that was killed, the later is the one that counts.
		if json.Unmarshal(payload, &e) == nil && (s.end == nil || e.At > s.end.At) {
			s.end = &e
		}
	case archive.KindExpired:
		var e archive.Expired
		if json.Unmarshal(payload, &e) == nil {
			s.gone = archive.MergeExpired(s.gone, e)
		}
	case archive.KindGap:
		var g archive.Gap
		if stream, _, _, err := r.Key.Place(); err == nil && json.Unmarshal(payload, &g) == nil && !slices.Contains(s.gaps[stream], g) {
			s.gaps[stream] = append(s.gaps[stream], g)
		}
	case archive.KindFile:
		var f archive.File
		if json.Unmarshal(payload, &f) == nil {
			s.files[key] = f
		}
	}
}

func newState() *state {
	return &state{gaps: map[string][]archive.Gap{}, cover: map[string][]archive.Range{}, files: map[string]archive.File{}}
}

func (s *state) view(a archive.Attempt) Attempt {
	v := Attempt{Attempt: a, Owner: s.grant.Owner, Class: s.grant.Class, Urgency: s.grant.Urgency, At: s.grant.At, End: s.end, Cover: s.cover}
	if s.gone.Reason != "" {
		v.Expired = &s.gone
	}
	for _, f := range s.files {
		v.Files = append(v.Files, f)
	}
	slices.SortFunc(v.Files, func(a, b archive.File) int { return strings.Compare(a.Path, b.Path) })
	return v
}

// page reads a page of attempts from all nodes, before anything is judged.
func (n *Node) page(ctx context.Context, job, label, from string, files bool) (states map[string]*state, last string, a Answered) {
	q := url.Values{"job": {job}, "label": {label}, "from": {from}, "files": {strconv.FormatBool(files)}}
	states = map[string]*state{}
	a = gather(ctx, n, PathRows+"?"+q.Encode(), func() (Rows, error) { return n.rows(job, label, from, files) }, func(_ string, page Rows) {
		if page.Last != "" && (last == "" || page.Last < last) {
			last = page.Last
		}
		for i := range page.Rows {
			row := &page.Rows[i]
			s := states[row.Attempt]
			if s == nil {
				s = newState()
				states[row.Attempt] = s
			}
			for _, r := range append(row.Records, row.Files...) {
				s.enter(n, r.Key, r.Payload)
			}
			for stream, ranges := range row.Cover {
				for _, r := range ranges {
					s.cover[stream] = archive.Join(s.cover[stream], r)
				}
			}
		}
	})
	for name := range states { // beyond the shortest page others may have more
		if last != "" && name > last {
			delete(states, name)
		}
	}
	return states, last, a
}

// attempts lists what a reader may see. Everything is gathered first and judged
// after, so that what is denied takes as long as what is not there.
func (n *Node) attempts(w http.ResponseWriter, r *http.Request, who identity.Identity) {
	q := r.URL.Query()
	job, from := q.Get("job"), q.Get("from")
	label, ok := narrow(who, q)
	if from != "" {
		if _, err := archive.ParseAttempt(from); err != nil {
			ok = false
		}
	}
	if !ok {
		refuse(w, http.StatusBadRequest, "job, team, customer, class, machine, day or from is not what it should be")
		return
	}
	states, last, a := n.page(r.Context(), job, label, from, q.Get("files") == "true")
	out := Attempts{Answered: a, Attempts: []Attempt{}, Next: last}
	for name, s := range states {
		if s.grant == nil {
			continue
		}
		if !archive.Access(who, archive.Read, s.grant.Owner, "") {
			continue
		}
		at, err := archive.ParseAttempt(name)
		if err != nil || !fits(s.grant, q) {
			continue
		}
		out.Attempts = append(out.Attempts, s.view(at))
	}
	slices.SortFunc(out.Attempts, func(a, b Attempt) int { return strings.Compare(a.Attempt.String(), b.Attempt.String()) })
	n.count(func(s *Stats) { s.Reads++ })
	what := job
	if what == "" {
		what = strings.ReplaceAll(label, "\x00", "/")
	}
	n.log.Info("access", "who", who.String(), "verb", string(archive.Read), "what", what, "found", len(out.Attempts))
	answer(w, out)
}

// narrow chooses the label under which to look. A customer's and a team's own
// narrows the most; nothing of others is looked at for them.
func narrow(who identity.Identity, q url.Values) (label string, ok bool) {
	for _, f := range []string{"job", "team", "customer", "class", "machine", "day"} {
		if v := q.Get(f); len(v) > 200 || strings.ContainsAny(v, "\x00/") {
			return "", false
		}
	}
	switch {
	case who.Kind == identity.Customer:
		return own(who), true
	case q.Get("customer") != "" && (q.Get("team") != "" || who.Kind == identity.Team):
		team := q.Get("team")
		if who.Kind == identity.Team {
			team = who.Name
		}
		return labelCustomer(team, q.Get("customer")), true
	case who.Kind == identity.Team:
		return labelTeam(who.Name), true
	case who.Kind != identity.Operator && who.Kind != identity.Node:
		return own(who), true
	case q.Get("machine") != "":
		return "machine\x00" + q.Get("machine"), true
	case q.Get("day") != "":
		return "day\x00" + q.Get("day"), true
	case q.Get("class") != "":
		return "class\x00" + q.Get("class"), true
	case q.Get("team") != "":
		return labelTeam(q.Get("team")), true
	}
	return "all", true
}

// own is the label of all that somebody may read.
func own(who identity.Identity) string {
	switch who.Kind {
	case identity.Customer:
		return labelCustomer(who.Name, who.Customer)
	case identity.Team:
		return labelTeam(who.Name)
	case identity.Operator, identity.Node:
		return "all"
	}
	return "nothing"
}

// fits tells whether an attempt is what was asked for.
func fits(g *archive.Grant, q url.Values) bool {
	for f, v := range map[string]string{"team": g.Team, "customer": g.Customer, "class": g.Class, "machine": g.Machine, "day": time.UnixMilli(g.At).UTC().Format("2006-01-02")} {
		if want := q.Get(f); want != "" && want != v {
			return false
		}
	}
	return true
}

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
