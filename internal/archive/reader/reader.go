// Package reader reads the archive for people: it asks one node after the other,
// follows pages, and merges a job's output in the order of time.
package reader

import (
	"bytes"
	"cmp"
	"container/heap"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/blake3"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/identity"
)

// Client reads with a party's certificate. It is safe for concurrent use.
type Client struct {
	members []node.Member
	http    map[string]*http.Client
}

// New makes a client of the nodes that connects with the certificate of k, which
// stays the caller's. timeout bounds each request.
func New(k *identity.Keeper, members []node.Member, timeout time.Duration) *Client {
	c := &Client{members: members, http: map[string]*http.Client{}}
	for _, m := range members {
		c.http[m.Name] = &http.Client{Timeout: timeout, Transport: &http.Transport{TLSClientConfig: k.Dial(identity.Node, m.Name), MaxIdleConnsPerHost: 2,
			IdleConnTimeout: time.Minute, TLSHandshakeTimeout: 3 * time.Second}}
	}
	return c
}

// ErrNotFound says that something does not exist, or that whoever asks may not see
// it.
var ErrNotFound = errors.New("no such thing, or not yours to read")

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

// get asks one node after the other until one answers.
func (c *Client) get(ctx context.Context, path string, q url.Values) ([]byte, error) {
	var last error
	for _, m := range c.members {
		raw, status, err := c.requestNode(ctx, m, http.MethodGet, path+"?"+q.Encode(), nil)
		switch {
		case err == nil && status == http.StatusOK:
			return raw, nil
		case err == nil && status == http.StatusNotFound:
			return nil, ErrNotFound
		case err == nil && status == http.StatusBadRequest:
			var p struct {
				Error string `json:"error"`
			}
			_ = json.Unmarshal(raw, &p)
			return nil, errors.New(p.Error)
		case err == nil:
			err = fmt.Errorf("status %d", status)
		}
		last = errors.Join(last, fmt.Errorf("%s: %w", m.Name, err))
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// requestNode asks one node and returns the body and the status of its answer.
func (c *Client) requestNode(ctx context.Context, m node.Member, method, target string, body []byte) ([]byte, int, error) {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+m.Address+target, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	a, err := c.http[m.Name].Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	return raw, a.StatusCode, err
}

// Each asks every node in turn and calls take with each answer, or with an error if
// the node did not answer with status 200; it is for what each knows of itself.
func (c *Client) Each(ctx context.Context, method, path string, body []byte, handle func(name string, raw []byte, err error)) {
	for _, m := range c.members {
		raw, status, err := c.requestNode(ctx, m, method, path, body)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, bytes.TrimSpace(raw))
		}
		handle(m.Name, raw, err)
	}
}

// Query says which attempts are wanted; empty fields fit all. Day is a date in UTC such
// as 2006-01-02. With Files the attempts come with their files.
type Query struct {
	Job, Team, Customer, Class, Machine, Day string
	Files                                    bool
}

// Attempts lists attempts, in the order of jobs, tasks and attempts. answered tells
// whether all that was acknowledged could be read. An error is that of the nodes, none
// of which answered; what was read before it is returned, too.
func (c *Client) Attempts(ctx context.Context, q Query) (out []node.Attempt, answered node.Answered, err error) {
	answered.Whole = true
	v := url.Values{"job": {q.Job}, "team": {q.Team}, "customer": {q.Customer}, "class": {q.Class}, "machine": {q.Machine}, "day": {q.Day}, "files": {strconv.FormatBool(q.Files)}}
	for from := ""; ; {
		v.Set("from", from)
		raw, err := c.get(ctx, node.PathAttempts, v)
		if err != nil {
			return out, answered, err
		}
		var p node.Attempts
		if err := json.Unmarshal(raw, &p); err != nil {
			return out, answered, err
		}
		answered = mergeAnswered(answered, p.Answered)
		out = append(out, p.Attempts...)
		if p.Next == "" || p.Next <= from {
			return out, answered, nil
		}
		from = p.Next
	}
}

// mergeAnswered returns how complete two answers are together.
func mergeAnswered(a, b node.Answered) node.Answered {
	a.Whole = a.Whole && b.Whole
	for _, s := range b.Silent {
		if !slices.Contains(a.Silent, s) {
			a.Silent = append(a.Silent, s)
		}
	}
	return a
}

// Page reads a stream's page from an offset in bytes on. It returns ErrNotFound if the
// attempt does not exist or may not be read, and an error if no node answers.
func (c *Client) Page(ctx context.Context, a archive.Attempt, stream string, from int64) (p node.Stream, err error) {
	raw, err := c.get(ctx, node.PathStream, url.Values{"attempt": {a.String()}, "stream": {stream}, "from": {strconv.FormatInt(from, 10)}})
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(raw, &p)
}

// File reads a kept file, writes it to a writer, and compares it with its digest. After
// an error, what was written is not to be used.
func (c *Client) File(ctx context.Context, a archive.Attempt, f *archive.File, to io.Writer) error {
	sum := blake3.New()
	for chunk := 0; chunk < len(f.Chunks); {
		raw, err := c.get(ctx, node.PathFile, url.Values{"attempt": {a.String()}, "path": {f.Path}, "chunk": {strconv.Itoa(chunk)}})
		if err != nil {
			return err
		}
		if len(raw) == 0 || len(raw)%archive.ChunkSize != 0 && chunk+len(raw)/archive.ChunkSize+1 != len(f.Chunks) {
			return fmt.Errorf("%s: a node sent %d bytes of it", f.Path, len(raw))
		}
		_, _ = sum.Write(raw)
		if _, err := to.Write(raw); err != nil {
			return err
		}
		chunk += (len(raw) + archive.ChunkSize - 1) / archive.ChunkSize
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != f.Digest {
		return fmt.Errorf("%s: what was read is not what was kept", f.Path)
	}
	return nil
}

// Line is a line of output, or what is known of a part that is not there.
type Line struct {
	archive.Attempt
	Stream string    `json:"stream"`
	At     time.Time `json:"at"`   // when it was written
	From   int64     `json:"from"` // its offset in the stream, in bytes
	Text   string    `json:"text"`
	// Note is set, and Text empty, where output is missing.
	Note string `json:"note,omitempty"`
	// Cut tells that the line has no end: it is longer than a Line may be, or the
	// stream is interrupted or ended there.
	Cut bool `json:"cut,omitempty"`
}

// maxLine is the length in bytes from which a line is returned in parts.
const maxLine = 64 << 10

// Cursor reads one stream line by line. It is not safe for concurrent use. It need not
// be closed.
type Cursor struct {
	client  *Client
	Attempt archive.Attempt
	Stream  string
	Ended   bool // the attempt has ended and all was read
	Whole   bool // all that was acknowledged was there to be read

	nextOffset  int64 // from which the next page is asked for
	partial     []byte
	partialAt   time.Time // of partial
	partialFrom int64     // of partial
	lines       []Line
	exhausted   bool // the stream has no more now
}

// Open returns a cursor at the start of a stream. It asks no node yet.
func (c *Client) Open(a archive.Attempt, stream string) *Cursor {
	return &Cursor{client: c, Attempt: a, Stream: stream, Whole: true}
}

// Peek returns the next line without taking it, or nil if there is none now. The line
// is the cursor's and holds until Next. Its errors are those of Page.
func (u *Cursor) Peek(ctx context.Context) (*Line, error) {
	for len(u.lines) == 0 && !u.exhausted {
		p, err := u.client.Page(ctx, u.Attempt, u.Stream, u.nextOffset)
		if err != nil {
			return nil, err
		}
		u.Whole = u.Whole && p.Whole
		for _, x := range p.Pieces {
			u.addPiece(&x)
		}
		u.nextOffset = p.Next
		if !p.More {
			u.exhausted, u.Ended = true, p.Over
			if p.Over {
				u.endLine(true)
			}
		}
	}
	if len(u.lines) == 0 {
		return nil, nil
	}
	return &u.lines[0], nil
}

// Next takes the line that Peek returned; there must be one.
func (u *Cursor) Next() { u.lines = u.lines[1:] }

// Again lets Peek ask for more, after there was none.
func (u *Cursor) Again() { u.exhausted = u.Ended }

// endLine ends the line that is being read.
func (u *Cursor) endLine(cut bool) {
	if len(u.partial) > 0 {
		u.lines = append(u.lines, Line{Attempt: u.Attempt, Stream: u.Stream, At: u.partialAt, From: u.partialFrom, Text: string(u.partial), Cut: cut})
		u.partial = nil
	}
}

// addPiece adds the lines of a piece.
func (u *Cursor) addPiece(x *node.Piece) {
	if x.What != archive.PieceData {
		u.endLine(true)
		note := x.What
		if x.Reason != "" {
			note += ": " + x.Reason
		}
		if n := x.To - x.From; n > 0 {
			note = fmt.Sprintf("%d bytes %s", n, note)
		}
		at := u.partialAt
		if u.partialAt.IsZero() && x.At > 0 {
			at = time.UnixMilli(x.At)
		}
		u.lines = append(u.lines, Line{Attempt: u.Attempt, Stream: u.Stream, At: at, From: x.From, Note: note})
		u.partialFrom = x.To
		return
	}
	data, at := x.Data, time.UnixMilli(x.At)
	pos := x.From
	for len(data) > 0 {
		if len(u.partial) == 0 {
			u.partialFrom, u.partialAt = pos, at
		}
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			u.partial = append(u.partial, data...)
			if len(u.partial) >= maxLine {
				u.endLine(true)
			}
			return
		}
		u.partial = append(u.partial, data[:n]...)
		u.lines = append(u.lines, Line{Attempt: u.Attempt, Stream: u.Stream, At: u.partialAt, From: u.partialFrom, Text: string(u.partial)})
		u.partial = nil
		data, pos = data[n+1:], pos+int64(n)+1
	}
}

// cursorHeap orders cursors by their next line.
type cursorHeap []*Cursor

func (m cursorHeap) Len() int { return len(m) }
func (m cursorHeap) Less(i, j int) bool {
	a, b := &m[i].lines[0], &m[j].lines[0]
	if c := a.At.Compare(b.At); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(a.Attempt.String(), b.Attempt.String()); c != 0 {
		return c < 0
	}
	return strings.Compare(a.Stream, b.Stream) < 0
}
func (m cursorHeap) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *cursorHeap) Push(x any)   { *m = append(*m, x.(*Cursor)) }
func (m *cursorHeap) Pop() any {
	x := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return x
}

// Merge calls each with the lines of streams in the order of time; within a stream they stay
// in their own order, whatever a machine's clock did. It ends when no stream has
// more now, or with the first error of a cursor or of each. The line is only to be used
// until each returns.
func Merge(ctx context.Context, all []*Cursor, each func(*Line) error) error {
	var m cursorHeap
	for _, u := range all {
		l, err := u.Peek(ctx)
		if err != nil {
			return fmt.Errorf("%s %s: %w", u.Attempt, u.Stream, err)
		}
		if l != nil {
			m = append(m, u)
		}
	}
	heap.Init(&m)
	for len(m) > 0 {
		u := m[0]
		last := u.lines[0]
		if err := each(&last); err != nil {
			return err
		}
		u.Next()
		l, err := u.Peek(ctx)
		if err != nil {
			return fmt.Errorf("%s %s: %w", u.Attempt, u.Stream, err)
		}
		if l == nil {
			heap.Pop(&m)
			continue
		}
		if l.At.Before(last.At) {
			l.At = last.At
		}
		heap.Fix(&m, 0)
	}
	return nil
}
