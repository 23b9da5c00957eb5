package node

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"silvergate/internal/archive"
)

// Row describes what a node stores of an attempt: its small records, and the ranges that it
// has of each stream. Its JSON is part of the response at PathRows.
type Row struct {
	Attempt string                     `json:"attempt"`
	Records []RawRecord                `json:"records,omitempty"`
	Cover   map[string][]archive.Range `json:"cover,omitempty"`
	Files   []RawRecord                `json:"files,omitempty"`
}

// RawRecord is a record's key and payload in JSON.
type RawRecord struct {
	Key     string `json:"key"`
	Payload []byte `json:"payload"`
}

// Rows is a page of rows, sorted by their attempts' names. Its JSON is the response at
// PathRows.
type Rows struct {
	Rows []Row  `json:"rows"`
	Last string `json:"last,omitempty"` // name of the page's last attempt; "" if this is the last page
}

// rowsPage is the maximum number of attempts on a page.
const rowsPage = 200

// listRows returns a page of the attempts stored here that have a label, after the attempt
// from. If job is not empty, it returns only attempts of that job. A reader's label covers
// only their own attempts: others' attempts are not even looked up, so a request for them takes
// as long as one for attempts that don't exist.
func (n *Node) listRows(job, label, from string, files bool) (out Rows, err error) {
	out.Rows = []Row{}
	prefix := ""
	if job != "" {
		prefix = job + "/"
	}
	names, more, err := n.vault.FindAttempts(label, prefix, from, rowsPage)
	if err != nil {
		return out, err
	}
	for _, name := range names {
		row, err := n.readRow(name, files)
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

// listAttempt returns the row of one attempt, or no row if the attempt does not have the label here.
func (n *Node) listAttempt(name, label string, files bool) (Rows, error) {
	out := Rows{Rows: []Row{}}
	if !n.vault.HasLabel(label, name) {
		return out, nil
	}
	row, err := n.readRow(name, files)
	if err == nil {
		out.Rows = append(out.Rows, row)
	}
	return out, err
}

// readRow reads what this node stores of an attempt. It includes file records only with
// files.
func (n *Node) readRow(name string, files bool) (Row, error) {
	row := Row{Attempt: name, Cover: map[string][]archive.Range{}}
	from := ""
	for {
		infos, more, err := n.vault.List(name+"/", from, 1000)
		if err != nil {
			return row, err
		}
		for _, i := range infos {
			from = i.Key.String()
			switch i.Key.Kind {
			case archive.KindSegment:
				if stream, at, size, err := i.Key.StreamPosition(); err == nil {
					row.Cover[stream] = archive.AddRange(row.Cover[stream], archive.Range{From: at, To: at + int64(size)})
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

// serveRows responds to another node with a page of rows, or with the row of one attempt.
func (n *Node) serveRows(w http.ResponseWriter, r *http.Request, _ string) {
	q := r.URL.Query()
	label, files := q.Get("label"), q.Get("files") == "true"
	var rows Rows
	var err error
	if attempt := q.Get("attempt"); attempt != "" {
		rows, err = n.listAttempt(attempt, label, files)
	} else {
		rows, err = n.listRows(q.Get("job"), label, q.Get("from"), files)
	}
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the index can't be read now")
		return
	}
	writeJSON(w, rows)
}

// Completeness describes how complete a response is.
type Completeness struct {
	// Complete is false if so many nodes did not answer that acknowledged records may be
	// missing from the response. Unresponsive lists the nodes that did not answer.
	Complete     bool     `json:"whole"`
	Unresponsive []string `json:"silent,omitempty"`
}

// gather calls local for this node and requests target from all other nodes, concurrently,
// and calls handle with each answer, one at a time.
func gather[T any](ctx context.Context, n *Node, target string, local func() (T, error), handle func(from string, v T)) Completeness {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	a := Completeness{}
	ask := func(name string, get func() (T, error)) {
		defer wait.Done()
		v, err := get()
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			n.log.Debug("a node did not answer", "node", name, "error", err)
			a.Unresponsive = append(a.Unresponsive, name)
			return
		}
		handle(name, v)
	}
	for name, p := range n.peers {
		wait.Add(1)
		go ask(name, func() (v T, err error) { return v, p.getJSON(ctx, target, &v) })
	}
	wait.Add(1)
	go ask(n.cfg.Name, local)
	wait.Wait()
	slices.Sort(a.Unresponsive)
	a.Complete = n.members.Complete(len(n.members.Names) - len(a.Unresponsive))
	return a
}
