// Package fakeserver holds stand-ins for systems outside: file servers that serve
// data sets over HTTP with ranges, and that can be as bad as real ones.
package fakeserver

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"silvergate/internal/dataset"
)

// Faults say how a file server misbehaves. Each is a probability for a response.
type Faults struct {
	Damage float64 // some bytes are changed
	Short  float64 // it ends in the middle and closes the connection
	Lie    float64 // the length is wrong
	Error  float64 // 500
	Stall  float64 // it stops in the middle, for StallFor
	// StallFor is how long.
	StallFor time.Duration
	// BytesPerS bounds all responses together; 0: unbounded.
	BytesPerS float64
}

// FileServer serves the data sets below a root.
type FileServer struct {
	root string
	srv  *http.Server
	addr string

	mu     sync.Mutex
	faults Faults
	rnd    *rand.Rand
	dark   bool // accepts connections and answers nothing
	free   time.Time
	done   chan struct{}

	// Sent is how many bytes of files were sent.
	Sent atomic.Int64
	// Requests counts requests.
	Requests atomic.Int64
}

// Serve starts a file server on an address.
func Serve(listen, root string, seed uint64) (*FileServer, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	f := &FileServer{root: root, addr: l.Addr().String(), rnd: rand.New(rand.NewPCG(seed, 1)), done: make(chan struct{})}
	f.srv = &http.Server{Handler: f, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	go f.srv.Serve(l)
	return f, nil
}

// Address is where it listens.
func (f *FileServer) Address() string { return f.addr }

// Set changes how it misbehaves.
func (f *FileServer) Set(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// Dark has it accept connections and say nothing, as behind a cut.
func (f *FileServer) Dark(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dark = on
}

// Close ends it and its connections.
func (f *FileServer) Close() {
	select {
	case <-f.done:
	default:
		close(f.done)
	}
	f.srv.Close()
}

func (f *FileServer) sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-f.done:
	}
}

// ServeHTTP serves one request.
func (f *FileServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Requests.Add(1)
	f.mu.Lock()
	x, dark := f.faults, f.dark
	luck := f.rnd.Float64()
	f.mu.Unlock()
	if dark {
		f.sleep(r, time.Minute)
		panic(http.ErrAbortHandler)
	}
	name := path.Clean(r.URL.Path)
	if (r.Method != http.MethodGet && r.Method != http.MethodHead) || !strings.HasPrefix(name, dataset.SetsPath) || strings.Contains(name, "/.") {
		http.Error(w, "no such file", http.StatusNotFound)
		return
	}
	if luck -= x.Error; luck < 0 {
		http.Error(w, "trouble", http.StatusInternalServerError)
		return
	}
	file, err := os.Open(filepath.Join(f.root, filepath.FromSlash(name)))
	if err != nil {
		http.Error(w, "no such file", http.StatusNotFound)
		return
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil || !info.Mode().IsRegular() {
		http.Error(w, "no such file", http.StatusNotFound)
		return
	}
	var rec recorder
	rec.header = http.Header{}
	if luck >= x.Damage+x.Short+x.Lie+x.Stall && x.BytesPerS == 0 {
		n := &counter{ResponseWriter: w, sent: &f.Sent}
		http.ServeContent(n, r, "", info.ModTime(), file)
		return
	}
	http.ServeContent(&rec, r, "", info.ModTime(), file)
	body := rec.body.Bytes()
	stallAt, cutAt := -1, -1
	switch {
	case luck < x.Damage && len(body) > 0:
		f.mu.Lock()
		for range 1 + f.rnd.IntN(3) {
			body[f.rnd.IntN(len(body))] ^= byte(1 + f.rnd.IntN(255))
		}
		f.mu.Unlock()
	case luck < x.Damage+x.Short:
		cutAt = len(body) / 2
	case luck < x.Damage+x.Short+x.Lie:
		rec.header.Set("Content-Length", fmt.Sprint(len(body)+1+len(body)/3))
	case luck < x.Damage+x.Short+x.Lie+x.Stall:
		stallAt = len(body) / 2
	}
	for k, v := range rec.header {
		w.Header()[k] = v
	}
	w.WriteHeader(max(rec.status, http.StatusOK))
	const piece = 64 << 10
	for at := 0; at < len(body); at += piece {
		if cutAt >= 0 && at >= cutAt {
			panic(http.ErrAbortHandler)
		}
		if stallAt >= 0 && at >= stallAt {
			stallAt = -1
			f.sleep(r, x.StallFor)
		}
		n := min(piece, len(body)-at)
		if x.BytesPerS > 0 {
			f.sleep(r, f.share(n, x.BytesPerS))
		}
		if _, err := w.Write(body[at : at+n]); err != nil {
			return
		}
		f.Sent.Add(int64(n))
	}
	if cutAt >= 0 {
		panic(http.ErrAbortHandler)
	}
}

// share is how long a piece waits for its turn of the server's rate.
func (f *FileServer) share(n int, rate float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.free.Before(now) {
		f.free = now
	}
	f.free = f.free.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return f.free.Sub(now)
}

type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(s int)           { r.status = s }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

type counter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.ResponseWriter.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// ReadFrom keeps the copy in pieces, so that what was sent is counted.
func (c *counter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
