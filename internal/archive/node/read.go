package node

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"silvergate/internal/archive"
)

// Row is what a node has of an attempt: its small records, and which ranges of its
// streams. Its JSON is that of PathRows.
type Row struct {
	Attempt string                     `json:"attempt"`
	Records []RawRecord                `json:"records,omitempty"`
	Cover   map[string][]archive.Range `json:"cover,omitempty"`
	Files   []RawRecord                `json:"files,omitempty"`
}

// RawRecord is a record's key and payload as JSON carries them.
type RawRecord struct {
	Key     string `json:"key"`
	Payload []byte `json:"payload"`
}

// Rows is a page of rows in the order of their attempts' names.
type Rows struct {
	Rows []Row  `json:"rows"`
	Last string `json:"last,omitempty"` // the page ends after it; "": the last page
}

// rowsPage bounds a page, in attempts.
const rowsPage = 200

// listRows lists attempts here that have a label, of a job if it is named, after an
// attempt. A reader's label is their own: what belongs to others is not even looked
// at for them, and takes as long as what is not there.
func (n *Node) listRows(job, label, from string, files bool) (out Rows, err error) {
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

// readRow reads what is here of an attempt.
func (n *Node) readRow(name string, files bool) (Row, error) {
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

// serveRows answers another node with a page of rows.
func (n *Node) serveRows(w http.ResponseWriter, r *http.Request, _ string) {
	q := r.URL.Query()
	rows, err := n.listRows(q.Get("job"), q.Get("label"), q.Get("from"), q.Get("files") == "true")
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the index can't be read now")
		return
	}
	writeJSON(w, rows)
}

// Answered tells how complete an answer is.
type Answered struct {
	// Whole is false when so many nodes are silent that what they acknowledged may
	// be missing here.
	Whole  bool     `json:"whole"`
	Silent []string `json:"silent,omitempty"`
}

// gather asks all nodes, this one too, and hands each answer on.
func gather[T any](ctx context.Context, n *Node, target string, local func() (T, error), handle func(from string, v T)) Answered {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
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
			n.log.Debug("a node does not answer", "node", name, "error", err)
			a.Silent = append(a.Silent, name)
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
	slices.Sort(a.Silent)
	a.Whole = n.members.Complete(len(n.members.Names) - len(a.Silent))
	return a
}
