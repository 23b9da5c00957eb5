package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/identity"
)

// Attempt is a reader's view of an attempt. Its JSON is part of the response at
// PathAttempts.
type Attempt struct {
	archive.Attempt
	archive.Owner
	Class   string                     `json:"class"`
	Urgency string                     `json:"urgency"`
	At      int64                      `json:"atMs"` // the time in its grant: when the machine started it, Unix time in milliseconds
	End     *archive.End               `json:"end,omitempty"`
	Expired *archive.Expired           `json:"expired,omitempty"`
	Cover   map[string][]archive.Range `json:"cover,omitempty"`
	Files   []archive.File             `json:"files,omitempty"`
}

// Attempts is a page of attempts, sorted by their names. The next page begins after the
// attempt Next, which is "" if this is the last page.
type Attempts struct {
	Completeness
	Attempts []Attempt `json:"attempts"`
	Next     string    `json:"next,omitempty"`
}

// attemptState is the merged state of an attempt from the answers of all nodes.
type attemptState struct {
	grant   *archive.Grant
	end     *archive.End
	expired archive.Expired
	gaps    map[string][]archive.Gap
	cover   map[string][]archive.Range
	files   map[string]archive.File // by key
}

// add merges a record into the state. It ignores invalid records.
func (s *attemptState) add(n *Node, key string, payload []byte) {
	r := archive.Record{Payload: payload}
	var err error
	if r.Key, err = archive.ParseKey(key); err != nil || r.Check() != nil {
		return
	}
	switch r.Key.Kind {
	case archive.KindGrant:
		if g, err := n.grantKey.Verify(payload); err == nil {
			s.grant = &g
		}
	case archive.KindEnd:
		var e archive.End
		// An attempt can have two ends, for example after an agent was killed: the later one counts.
		if json.Unmarshal(payload, &e) == nil && (s.end == nil || e.At > s.end.At) {
			s.end = &e
		}
	case archive.KindExpired:
		var e archive.Expired
		if json.Unmarshal(payload, &e) == nil {
			s.expired = archive.MergeExpired(s.expired, e)
		}
	case archive.KindGap:
		var g archive.Gap
		if stream, _, _, err := r.Key.StreamPosition(); err == nil && json.Unmarshal(payload, &g) == nil && !slices.Contains(s.gaps[stream], g) {
			s.gaps[stream] = append(s.gaps[stream], g)
		}
	case archive.KindFile:
		var f archive.File
		if json.Unmarshal(payload, &f) == nil {
			s.files[key] = f
		}
	}
}

// newAttemptState returns an empty state.
func newAttemptState() *attemptState {
	return &attemptState{gaps: map[string][]archive.Gap{}, cover: map[string][]archive.Range{}, files: map[string]archive.File{}}
}

// view returns a reader's view of the attempt. The grant must be known.
func (s *attemptState) view(a archive.Attempt) Attempt {
	v := Attempt{Attempt: a, Owner: s.grant.Owner, Class: s.grant.Class, Urgency: s.grant.Urgency, At: s.grant.At, End: s.end, Cover: s.cover}
	if s.expired.Reason != "" {
		v.Expired = &s.expired
	}
	for _, f := range s.files {
		v.Files = append(v.Files, f)
	}
	slices.SortFunc(v.Files, func(a, b archive.File) int { return strings.Compare(a.Path, b.Path) })
	return v
}

// mergeRows merges what a node stores of attempts into their states, by the attempts' names.
func (n *Node) mergeRows(states map[string]*attemptState, rows []Row) {
	for i := range rows {
		row := &rows[i]
		s := states[row.Attempt]
		if s == nil {
			s = newAttemptState()
			states[row.Attempt] = s
		}
		for _, r := range append(row.Records, row.Files...) {
			s.add(n, r.Key, r.Payload)
		}
		for stream, ranges := range row.Cover {
			for _, r := range ranges {
				s.cover[stream] = archive.AddRange(s.cover[stream], r)
			}
		}
	}
}

// gatherPage reads a page of attempts from all nodes and merges it, without checking access.
func (n *Node) gatherPage(ctx context.Context, job, label, from string, files bool) (states map[string]*attemptState, last string, a Completeness) {
	q := url.Values{"job": {job}, "label": {label}, "from": {from}, "files": {strconv.FormatBool(files)}}
	states = map[string]*attemptState{}
	a = gather(ctx, n, PathRows+"?"+q.Encode(), func() (Rows, error) { return n.listRows(job, label, from, files) }, func(_ string, page Rows) {
		if page.Last != "" && (last == "" || page.Last < last) {
			last = page.Last
		}
		n.mergeRows(states, page.Rows)
	})
	for name := range states { // after the end of the page that ends first, states may be incomplete
		if last != "" && name > last {
			delete(states, name)
		}
	}
	return states, last, a
}

// gatherAttempt reads one attempt with a label, including its files, from all nodes and merges what they
// have, without checking access. It returns nil if no node has anything.
//
// Nodes of earlier versions do not know the parameter "attempt" and return a page of the job's attempts:
// "from" has it begin with this one.
func (n *Node) gatherAttempt(ctx context.Context, a archive.Attempt, label string) *attemptState {
	name := a.String()
	q := url.Values{"job": {a.Job}, "label": {label}, "from": {name[:len(name)-1]}, "files": {"true"}, "attempt": {name}}
	states := map[string]*attemptState{}
	gather(ctx, n, PathRows+"?"+q.Encode(), func() (Rows, error) { return n.listAttempt(name, label, true) }, func(_ string, page Rows) {
		n.mergeRows(states, page.Rows)
	})
	return states[name]
}

// attempts responds with the attempts that a reader may see. It gathers the page first and
// checks access afterwards, so that a denied request takes as long as one for something that
// does not exist.
func (n *Node) attempts(w http.ResponseWriter, r *http.Request, who identity.Identity) {
	q := r.URL.Query()
	job, from := q.Get("job"), q.Get("from")
	label, ok := searchLabel(who, q)
	if from != "" {
		if _, err := archive.ParseAttempt(from); err != nil {
			ok = false
		}
	}
	if !ok {
		writeError(w, http.StatusBadRequest, "job, team, customer, class, machine, day or from is not what it should be")
		return
	}
	states, last, a := n.gatherPage(r.Context(), job, label, from, q.Get("files") == "true")
	out := Attempts{Completeness: a, Attempts: []Attempt{}, Next: last}
	for name, s := range states {
		if s.grant == nil {
			continue
		}
		if !archive.Access(who, archive.Read, s.grant.Owner, "") {
			continue
		}
		at, err := archive.ParseAttempt(name)
		if err != nil || !matchesQuery(s.grant, q) {
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
	writeJSON(w, out)
}

// searchLabel returns the label to search by, and whether the query is valid. It prefers the
// most selective label. Customers and teams always search by a label of their own, so
// others' attempts are not even looked up for them.
func searchLabel(who identity.Identity, q url.Values) (label string, ok bool) {
	for _, f := range []string{"job", "team", "customer", "class", "machine", "day"} {
		if v := q.Get(f); len(v) > 200 || strings.ContainsAny(v, "\x00/") {
			return "", false
		}
	}
	switch {
	case who.Kind == identity.Customer:
		return readableLabel(who), true
	case q.Get("customer") != "" && (q.Get("team") != "" || who.Kind == identity.Team):
		team := q.Get("team")
		if who.Kind == identity.Team {
			team = who.Name
		}
		return labelCustomer(team, q.Get("customer")), true
	case who.Kind == identity.Team:
		return labelTeam(who.Name), true
	case who.Kind != identity.Operator && who.Kind != identity.Node:
		return readableLabel(who), true
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

// readableLabel returns the label of all attempts that an identity may read.
func readableLabel(who identity.Identity) string {
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

// matchesQuery reports whether an attempt's grant matches the filters of a query.
func matchesQuery(g *archive.Grant, q url.Values) bool {
	for f, v := range map[string]string{"team": g.Team, "customer": g.Customer, "class": g.Class, "machine": g.Machine, "day": time.UnixMilli(g.At).UTC().Format("2006-01-02")} {
		if want := q.Get(f); want != "" && want != v {
			return false
		}
	}
	return true
}
