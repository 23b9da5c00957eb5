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

// Faults describes how a file server misbehaves. Each is a probability for a response.
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

// FileServer serves the data sets below a root. It is safe for concurrent use;
// Close must be called.
type FileServer struct {
	root string
	srv  *http.Server
	addr string

	mu           sync.Mutex
	faults       Faults
	random       *rand.Rand
	unresponsive bool // accepts connections and answers nothing
	bandwidthFreeAt         time.Time
	done         chan struct{}

	// Sent is how many bytes of files were sent.
	Sent atomic.Int64
	// Requests counts requests.
	Requests atomic.Int64
}

// Serve starts a file server on an address; the seed determines its faults.
func Serve(listen, root string, seed uint64) (*FileServer, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	f := &FileServer{root: root, addr: l.Addr().String(), random: rand.New(rand.NewPCG(seed, 1)), done: make(chan struct{})}
	f.srv = &http.Server{Handler: f, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	go f.srv.Serve(l)
	return f, nil
}

// Address returns the host and port at which it listens.
func (f *FileServer) Address() string { return f.addr }

// Set replaces the faults.
func (f *FileServer) Set(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// SetUnresponsive has it accept connections and answer nothing, as behind a
// network partition, or ends that.
func (f *FileServer) SetUnresponsive(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive = on
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

func (f *FileServer) wait(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-f.done:
	}
}

// ServeHTTP serves one request, well or as the faults have it.
func (f *FileServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Requests.Add(1)
	f.mu.Lock()
	faults, unresponsive := f.faults, f.unresponsive
	luck := f.random.Float64()
	f.mu.Unlock()
	if unresponsive {
		f.wait(r, time.Minute)
		panic(http.ErrAbortHandler)
	}
	name := path.Clean(r.URL.Path)
	if (r.Method != http.MethodGet && r.Method != http.MethodHead) || !strings.HasPrefix(name, dataset.SetsPath) || strings.Contains(name, "/.") {
		http.Error(w, "no such file", http.StatusNotFound)
		return
	}
	if luck -= faults.Error; luck < 0 {
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
	if luck >= faults.Damage+faults.Short+faults.Lie+faults.Stall && faults.BytesPerS == 0 {
		http.ServeContent(&countingWriter{ResponseWriter: w, sent: &f.Sent}, r, "", info.ModTime(), file)
		return
	}
	recorded := responseRecorder{header: http.Header{}}
	http.ServeContent(&recorded, r, "", info.ModTime(), file)
	f.send(w, r, &recorded, f.injectFault(&recorded, faults, luck), faults)
}

// noPosition is a position that no response reaches.
const noPosition = -1

// disruption is where a response stalls or is cut off; never if it isn't.
type disruption struct {
	stallAt, cutAt int
}

// injectFault chooses a fault by luck, from 0 to 1, and makes it in a response or
// says where the response is to be disrupted.
func (f *FileServer) injectFault(recorded *responseRecorder, faults Faults, luck float64) disruption {
	body := recorded.body.Bytes()
	d := disruption{stallAt: noPosition, cutAt: noPosition}
	switch {
	case luck < faults.Damage && len(body) > 0:
		f.mu.Lock()
		for range 1 + f.random.IntN(3) {
			body[f.random.IntN(len(body))] ^= byte(1 + f.random.IntN(255))
		}
		f.mu.Unlock()
	case luck < faults.Damage+faults.Short:
		d.cutAt = len(body) / 2
	case luck < faults.Damage+faults.Short+faults.Lie:
		recorded.header.Set("Content-Length", fmt.Sprint(len(body)+1+len(body)/3))
	case luck < faults.Damage+faults.Short+faults.Lie+faults.Stall:
		d.stallAt = len(body) / 2
	}
	return d
}

// pieceBytes is how much of a disturbed response is written at a time.
const pieceBytes = 64 << 10

// send writes a recorded response piece by piece.
func (f *FileServer) send(w http.ResponseWriter, r *http.Request, recorded *responseRecorder, d disruption, faults Faults) {
	for k, v := range recorded.header {
		w.Header()[k] = v
	}
	w.WriteHeader(max(recorded.status, http.StatusOK))
	body := recorded.body.Bytes()
	for at := 0; at < len(body); at += pieceBytes {
		if d.cutAt >= 0 && at >= d.cutAt {
			panic(http.ErrAbortHandler)
		}
		if d.stallAt >= 0 && at >= d.stallAt {
			d.stallAt = noPosition
			f.wait(r, faults.StallFor)
		}
		n := min(pieceBytes, len(body)-at)
		if faults.BytesPerS > 0 {
			f.wait(r, f.reserveBandwidth(n, faults.BytesPerS))
		}
		if _, err := w.Write(body[at : at+n]); err != nil {
			return
		}
		f.Sent.Add(int64(n))
	}
	if d.cutAt >= 0 {
		panic(http.ErrAbortHandler)
	}
}

// reserveBandwidth is how long a piece of n bytes waits so that the server keeps its rate.
func (f *FileServer) reserveBandwidth(n int, rate float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.bandwidthFreeAt.Before(now) {
		f.bandwidthFreeAt = now
	}
	f.bandwidthFreeAt = f.bandwidthFreeAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return f.bandwidthFreeAt.Sub(now)
}

// responseRecorder holds a response back, to be changed before it is sent.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) Header() http.Header         { return r.header }
func (r *responseRecorder) WriteHeader(s int)           { r.status = s }
func (r *responseRecorder) Write(b []byte) (int, error) { return r.body.Write(b) }

// countingWriter counts the bytes of a response that are sent as they are.
type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.ResponseWriter.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// ReadFrom keeps the copy in pieces, so that what was sent is counted.
func (c *countingWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
