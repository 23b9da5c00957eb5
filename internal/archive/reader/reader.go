// Package reader reads the archive for people: it asks one node after the other,
// follows pages, and tells a job's output in the order of time.
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

// Client reads with a party's certificate.
type Client struct {
	members []node.Member
	http    map[string]*http.Client
}

// New makes a client of the nodes.
func New(k *identity.Keeper, members []node.Member, timeout time.Duration) *Client {
	c := &Client{members: members, http: map[string]*http.Client{}}
	for _, m := range members {
		c.http[m.Name] = &http.Client{Timeout: timeout, Transport: &http.Transport{TLSClientConfig: k.Dial(identity.Node, m.Name), MaxIdleConnsPerHost: 2,
			IdleConnTimeout: time.Minute, TLSHandshakeTimeout: 3 * time.Second}}
	}
	return c
}

// ErrNotFound is what is not there, or not for whoever asks.
var ErrNotFound = errors.New("no such thing, or not yours to read")

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

func (c *Client) get(ctx context.Context, path string, q url.Values) ([]byte, error) {
	var last error
	for _, m := range c.members {
		raw, status, err := c.getOne(ctx, m, http.MethodGet, path+"?"+q.Encode(), nil)
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

func (c *Client) getOne(ctx context.Context, m node.Member, method, target string, body []byte) ([]byte, int, error) {
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

// Each asks every node; it is for what each knows of itself.
func (c *Client) Each(ctx context.Context, method, path string, body []byte, take func(name string, raw []byte, err error)) {
	for _, m := range c.members {
		raw, status, err := c.getOne(ctx, m, method, path, body)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, bytes.TrimSpace(raw))
		}
		take(m.Name, raw, err)
	}
}

// Query says which attempts are wanted; empty fields fit all.
type Query struct {
	Job, Team, Customer, Class, Machine, Day string
	Files                                    bool
}

// Attempts lists attempts, in the order of jobs, tasks and tries. answered tells
// whether all that is known was there to be read.
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
		answered = add(answered, p.Answered)
		out = append(out, p.Attempts...)
		if p.Next == "" || p.Next <= from {
			return out, answered, nil
		}
		from = p.Next
	}
}

func add(a, b node.Answered) node.Answered {
	a.Whole = a.Whole && b.Whole
	for _, s := range b.Silent {
		if !slices.Contains(a.Silent, s) {
			a.Silent = append(a.Silent, s)
		}
	}
	return a
}

// Page reads a stream's page from an offset on.
func (c *Client) Page(ctx context.Context, a archive.Attempt, stream string, from int64) (p node.Stream, err error) {
	raw, err := c.get(ctx, node.PathStream, url.Values{"attempt": {a.String()}, "stream": {stream}, "from": {strconv.FormatInt(from, 10)}})
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(raw, &p)
}

// File reads a kept file and compares it with its digest.
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
	At     time.Time `json:"at"`
	From   int64     `json:"from"`
	Text   string    `json:"text"`
	// Note is set, and Text empty, where output is missing.
	Note string `json:"note,omitempty"`
	// Cut is a line without an end: the stream goes on elsewhere, or ended there.
	Cut bool `json:"cut,omitempty"`
}

// maxLine bounds a line; a longer one is told in parts.
const maxLine = 64 << 10

// Cursor reads one stream line by line.
type Cursor struct {
	c       *Client
	Attempt archive.Attempt
	Stream  string
	Over    bool // the attempt has ended and all was read
	Whole   bool // all that was acknowledged was there to be read

	pos   int64 // of what is asked for next
	rest  []byte
	at    time.Time // of rest
	from  int64     // of rest
	lines []Line
	dry   bool // there is nothing more now
}

// Open begins to read a stream.
func (c *Client) Open(a archive.Attempt, stream string) *Cursor {
	return &Cursor{c: c, Attempt: a, Stream: stream, Whole: true}
}

// Peek is the next line, or nil if there is none now.
func (u *Cursor) Peek(ctx context.Context) (*Line, error) {
	for len(u.lines) == 0 && !u.dry {
		p, err := u.c.Page(ctx, u.Attempt, u.Stream, u.pos)
		if err != nil {
			return nil, err
		}
		u.Whole = u.Whole && p.Whole
		for _, x := range p.Pieces {
			u.take(&x)
		}
		u.pos = p.Next
		if !p.More {
			u.dry, u.Over = true, p.Over
			if p.Over {
				u.flush(true)
			}
		}
	}
	if len(u.lines) == 0 {
		return nil, nil
	}
	return &u.lines[0], nil
}

// Next takes the line that Peek told.
func (u *Cursor) Next() { u.lines = u.lines[1:] }

// Again has the stream asked for more, after it had none.
func (u *Cursor) Again() { u.dry = u.Over }

func (u *Cursor) flush(cut bool) {
	if len(u.rest) > 0 {
		u.lines = append(u.lines, Line{Attempt: u.Attempt, Stream: u.Stream, At: u.at, From: u.from, Text: string(u.rest), Cut: cut})
		u.rest = nil
	}
}

func (u *Cursor) take(x *node.Piece) {
	if x.What != archive.PieceData {
		u.flush(true)
		note := x.What
		if x.Reason != "" {
			note += ": " + x.Reason
		}
		if n := x.To - x.From; n > 0 {
			note = fmt.Sprintf("%d bytes %s", n, note)
		}
		at := u.at
		if u.at.IsZero() && x.At > 0 {
			at = time.UnixMilli(x.At)
		}
		u.lines = append(u.lines, Line{Attempt: u.Attempt, Stream: u.Stream, At: at, From: x.From, Note: note})
		u.from = x.To
		return
	}
	data, at := x.Data, time.UnixMilli(x.At)
	pos := x.From
	for len(data) > 0 {
		if len(u.rest) == 0 {
			u.from, u.at = pos, at
		}
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			u.rest = append(u.rest, data...)
			if len(u.rest) >= maxLine {
				u.flush(true)
			}
			return
		}
		u.rest = append(u.rest, data[:n]...)
		u.lines = append(u.lines, Line{Attempt: u.Attempt, Stream: u.Stream, At: u.at, From: u.from, Text: string(u.rest)})
		u.rest = nil
		data, pos = data[n+1:], pos+int64(n)+1
	}
}

// merged orders cursors by their next line.
type merged []*Cursor

func (m merged) Len() int { return len(m) }
func (m merged) Less(i, j int) bool {
	a, b := &m[i].lines[0], &m[j].lines[0]
	if c := a.At.Compare(b.At); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(a.Attempt.String(), b.Attempt.String()); c != 0 {
		return c < 0
	}
	return strings.Compare(a.Stream, b.Stream) < 0
}
func (m merged) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *merged) Push(x any)   { *m = append(*m, x.(*Cursor)) }
func (m *merged) Pop() any {
	x := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return x
}

// Merge tells the lines of streams in the order of time; within a stream they stay
// in their own order, whatever a machine's clock did. It ends when no stream has
// more now.
func Merge(ctx context.Context, all []*Cursor, each func(*Line) error) error {
	var m merged
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
