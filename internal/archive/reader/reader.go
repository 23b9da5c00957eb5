// Package reader is the archive's client for users. It asks one node after the other until
// one answers, follows pages, and merges a job's output in the order of time.
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

// Client reads from the archive with one identity's certificate. It is safe for concurrent
// use.
type Client struct {
	members []node.Member
	http    map[string]*http.Client
}

// New returns a client of the nodes that connects with the given credentials, which the caller
// still owns. timeout limits each request.
func New(credentials *identity.Credentials, members []node.Member, timeout time.Duration) *Client {
	c := &Client{members: members, http: map[string]*http.Client{}}
	for _, m := range members {
		c.http[m.Name] = &http.Client{Timeout: timeout, Transport: &http.Transport{
			TLSClientConfig: credentials.ClientConfig(identity.Node, m.Name), MaxIdleConnsPerHost: 2,
			IdleConnTimeout: time.Minute, TLSHandshakeTimeout: 3 * time.Second}}
	}
	return c
}

// ErrNotFound means that something does not exist, or that the client's identity may not see
// it.
var ErrNotFound = errors.New("not found, or not readable with this certificate")

// maxAnswer is the maximum size of a response, in bytes.
const maxAnswer = 64 << 20

// get requests a path from one node after the other until one answers with status 200, 400 or 404.
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

// requestNode sends a request to one node and returns the body and the status of the
// response.
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

// EachNode sends a request to every node in turn and calls handle with each response, or with an
// error if the node did not respond with status 200. It is for requests about the nodes
// themselves.
func (c *Client) EachNode(ctx context.Context, method, path string, body []byte, handle func(name string, raw []byte, err error)) {
	for _, m := range c.members {
		raw, status, err := c.requestNode(ctx, m, method, path, body)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, bytes.TrimSpace(raw))
		}
		handle(m.Name, raw, err)
	}
}

// Query selects attempts; an empty field matches all. Day is a date in UTC such
// as 2006-01-02. With Files the attempts come with their files.
type Query struct {
	Job, Team, Customer, Class, Machine, Day string
	Files                                    bool
}

// Attempts lists attempts, sorted by job, task and try. completeness reports whether all
// acknowledged records could be read. An error means that no node answered a request, or
// that one rejected it; what was read before the error is returned, too.
func (c *Client) Attempts(ctx context.Context, q Query) (out []node.Attempt, completeness node.Completeness, err error) {
	completeness.Complete = true
	v := url.Values{"job": {q.Job}, "team": {q.Team}, "customer": {q.Customer}, "class": {q.Class}, "machine": {q.Machine}, "day": {q.Day}, "files": {strconv.FormatBool(q.Files)}}
	for from := ""; ; {
		v.Set("from", from)
		raw, err := c.get(ctx, node.PathAttempts, v)
		if err != nil {
			return out, completeness, err
		}
		var p node.Attempts
		if err := json.Unmarshal(raw, &p); err != nil {
			return out, completeness, err
		}
		completeness = mergeCompleteness(completeness, p.Completeness)
		out = append(out, p.Attempts...)
		if p.Next == "" || p.Next <= from {
			return out, completeness, nil
		}
		from = p.Next
	}
}

// mergeCompleteness returns how complete two responses are together.
func mergeCompleteness(a, b node.Completeness) node.Completeness {
	a.Complete = a.Complete && b.Complete
	for _, s := range b.Unresponsive {
		if !slices.Contains(a.Unresponsive, s) {
			a.Unresponsive = append(a.Unresponsive, s)
		}
	}
	return a
}

// Page reads the page of a stream that begins at an offset in bytes. It returns ErrNotFound if the
// attempt does not exist or may not be read, and an error if no node answers.
func (c *Client) Page(ctx context.Context, a archive.Attempt, stream string, from int64) (p node.Stream, err error) {
	raw, err := c.get(ctx, node.PathStream, url.Values{"attempt": {a.String()}, "stream": {stream}, "from": {strconv.FormatInt(from, 10)}})
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(raw, &p)
}

// File reads an archived file, writes it to a writer, and compares it with its digest. After
// an error, the caller must not use what was written.
func (c *Client) File(ctx context.Context, a archive.Attempt, f *archive.File, to io.Writer) error {
	sum := blake3.New()
	for chunk := 0; chunk < len(f.Chunks); {
		raw, err := c.get(ctx, node.PathFile, url.Values{"attempt": {a.String()}, "path": {f.Path}, "chunk": {strconv.Itoa(chunk)}})
		if err != nil {
			return err
		}
		if len(raw) == 0 || len(raw)%archive.ChunkSize != 0 && chunk+len(raw)/archive.ChunkSize+1 != len(f.Chunks) {
			return fmt.Errorf("%s: a node sent %d bytes, which are not whole chunks", f.Path, len(raw))
		}
		_, _ = sum.Write(raw)
		if _, err := to.Write(raw); err != nil {
			return err
		}
		chunk += (len(raw) + archive.ChunkSize - 1) / archive.ChunkSize
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != f.Digest {
		return fmt.Errorf("%s: the contents do not match the digest", f.Path)
	}
	return nil
}

// Line is a line of output, or a note about a range of missing output.
type Line struct {
	archive.Attempt
	Stream string    `json:"stream"`
	At     time.Time `json:"at"`   // when it was written
	From   int64     `json:"from"` // its offset in the stream, in bytes
	Text   string    `json:"text"`
	// Note is set, and Text empty, where output is missing.
	Note string `json:"note,omitempty"`
	// Cut reports whether the line has no newline: it is longer than maxLine, or the
	// stream is interrupted or ends there.
	Cut bool `json:"cut,omitempty"`
}

// maxLine is the length in bytes from which a line is returned in several parts.
const maxLine = 64 << 10

// Cursor reads a stream line by line. It is not safe for concurrent use. It need not be
// closed.
type Cursor struct {
	client   *Client
	Attempt  archive.Attempt
	Stream   string
	Ended    bool // the attempt has ended and the whole stream was read
	Complete bool // every acknowledged record could be read

	nextOffset  int64 // offset of the next page
	partial     []byte
	partialAt   time.Time // when partial was written
	partialFrom int64     // offset of partial
	lines       []Line
	exhausted   bool // the stream has no further data now
}

// Open returns a cursor at the start of a stream. It sends no request.
func (c *Client) Open(a archive.Attempt, stream string) *Cursor {
	return &Cursor{client: c, Attempt: a, Stream: stream, Complete: true}
}

// Peek returns the next line without advancing, or nil if there is none now. The line belongs
// to the cursor and is valid until Next. Its errors are those of Page.
func (u *Cursor) Peek(ctx context.Context) (*Line, error) {
	for len(u.lines) == 0 && !u.exhausted {
		p, err := u.client.Page(ctx, u.Attempt, u.Stream, u.nextOffset)
		if err != nil {
			return nil, err
		}
		u.Complete = u.Complete && p.Complete
		for _, x := range p.Pieces {
			u.addPiece(&x)
		}
		u.nextOffset = p.Next
		if !p.More {
			u.exhausted, u.Ended = true, p.Ended
			if p.Ended {
				u.endLine(true)
			}
		}
	}
	if len(u.lines) == 0 {
		return nil, nil
	}
	return &u.lines[0], nil
}

// Next advances past the line that Peek returned. Peek must have returned one.
func (u *Cursor) Next() { u.lines = u.lines[1:] }

// Resume makes Peek request more lines after it returned none, unless the stream has ended.
func (u *Cursor) Resume() { u.exhausted = u.Ended }

// endLine ends the partial line, if any, and queues it. cut becomes its Cut.
func (u *Cursor) endLine(cut bool) {
	if len(u.partial) > 0 {
		u.lines = append(u.lines, Line{Attempt: u.Attempt, Stream: u.Stream, At: u.partialAt, From: u.partialFrom, Text: string(u.partial), Cut: cut})
		u.partial = nil
	}
}

// addPiece queues the lines of a piece, or a note for a piece without data.
func (u *Cursor) addPiece(x *node.Piece) {
	if x.State != archive.PieceData {
		u.endLine(true)
		note := x.State
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

// cursorHeap is a heap of cursors, ordered by the time of their next line.
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

// Merge calls each with the lines of all streams in the order of time. Lines of one stream stay in
// their order even if the machine's clock stepped back. Merge returns when no stream has
// further lines now, or with the first error of a cursor or of each. The line is valid only
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
