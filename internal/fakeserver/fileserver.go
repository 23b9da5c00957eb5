// Package fakeserver contains fakes of external systems: file servers that serve data
// sets over HTTP with range requests, and that can fail in the ways real ones do.
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

// Faults describes how a file server misbehaves. Damage, Truncate, WrongLength, Error and Stall are
// probabilities that a response has that fault.
type Faults struct {
	Damage      float64 // some bytes of the body are changed
	Truncate    float64 // the body ends in the middle and the connection is closed
	WrongLength float64 // Content-Length is larger than the body
	Error       float64 // the status is 500
	Stall       float64 // the body pauses in the middle for StallFor
	// StallFor is how long a response with the fault Stall pauses.
	StallFor time.Duration
	// BytesPerS limits the rate of all responses together; 0 means no limit.
	BytesPerS float64
}

// FileServer serves the data sets in a root folder. It is safe for concurrent use. Close
// must be called to stop it.
type FileServer struct {
	root string
	srv  *http.Server
	addr string

	mu              sync.Mutex
	faults          Faults
	random          *rand.Rand
	unresponsive    bool          // accepts connections and answers nothing
	bandwidthFreeAt time.Time     // the pieces sent so far use up BytesPerS until this time
	done            chan struct{} // closed by Close

	// SentBytes is the number of bytes of files that were sent.
	SentBytes atomic.Int64
	// Requests is the number of requests received.
	Requests atomic.Int64
}

// Serve starts a file server that listens on an address. The seed determines which responses
// have faults.
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

// Address returns the host and port that the server listens on.
func (f *FileServer) Address() string { return f.addr }

// SetFaults replaces the faults of subsequent requests.
func (f *FileServer) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetUnresponsive sets whether the server accepts connections but answers nothing, as a
// server behind a network partition does.
func (f *FileServer) SetUnresponsive(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive = on
}

// Close stops the server and closes its connections. It may be called repeatedly.
func (f *FileServer) Close() {
	select {
	case <-f.done:
	default:
		close(f.done)
	}
	f.srv.Close()
}

// wait waits for d, or until the request is cancelled or the server is closed.
func (f *FileServer) wait(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-f.done:
	}
}

// ServeHTTP serves one request, with a fault if the request's random number selects one.
func (f *FileServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Requests.Add(1)
	f.mu.Lock()
	faults, unresponsive := f.faults, f.unresponsive
	randomValue := f.random.Float64()
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
	if randomValue -= faults.Error; randomValue < 0 {
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
	if randomValue >= faults.Damage+faults.Truncate+faults.WrongLength+faults.Stall && faults.BytesPerS == 0 {
		http.ServeContent(&countingWriter{ResponseWriter: w, sent: &f.SentBytes}, r, "", info.ModTime(), file)
		return
	}
	recorded := responseRecorder{header: http.Header{}}
	http.ServeContent(&recorded, r, "", info.ModTime(), file)
	f.send(w, r, &recorded, f.injectFault(&recorded, faults, randomValue), faults)
}

// noPosition is an offset that no response reaches.
const noPosition = -1

// disruption holds the offsets at which a response stalls or is cut off; noPosition if it
// does not.
type disruption struct {
	stallAt, cutAt int
}

// injectFault selects a fault by a random number from 0 to 1. It either changes the recorded
// response or returns where send must disrupt it.
func (f *FileServer) injectFault(recorded *responseRecorder, faults Faults, randomValue float64) disruption {
	body := recorded.body.Bytes()
	d := disruption{stallAt: noPosition, cutAt: noPosition}
	switch {
	case randomValue < faults.Damage && len(body) > 0:
		f.mu.Lock()
		for range 1 + f.random.IntN(3) {
			body[f.random.IntN(len(body))] ^= byte(1 + f.random.IntN(255))
		}
		f.mu.Unlock()
	case randomValue < faults.Damage+faults.Truncate:
		d.cutAt = len(body) / 2
	case randomValue < faults.Damage+faults.Truncate+faults.WrongLength:
		recorded.header.Set("Content-Length", fmt.Sprint(len(body)+1+len(body)/3))
	case randomValue < faults.Damage+faults.Truncate+faults.WrongLength+faults.Stall:
		d.stallAt = len(body) / 2
	}
	return d
}

// pieceBytes is how much of a recorded response is written at a time.
const pieceBytes = 64 << 10

// send writes a recorded response piece by piece, with its disruption and at the limited
// rate.
func (f *FileServer) send(w http.ResponseWriter, r *http.Request, recorded *responseRecorder, d disruption, faults Faults) {
	for k, v := range recorded.header {
		w.Header()[k] = v
	}
	w.WriteHeader(max(recorded.status, http.StatusOK))
	body := recorded.body.Bytes()
	for offset := 0; offset < len(body); offset += pieceBytes {
		if d.cutAt >= 0 && offset >= d.cutAt {
			panic(http.ErrAbortHandler)
		}
		if d.stallAt >= 0 && offset >= d.stallAt {
			d.stallAt = noPosition
			f.wait(r, faults.StallFor)
		}
		n := min(pieceBytes, len(body)-offset)
		if faults.BytesPerS > 0 {
			f.wait(r, f.reserveBandwidth(n, faults.BytesPerS))
		}
		if _, err := w.Write(body[offset : offset+n]); err != nil {
			return
		}
		f.SentBytes.Add(int64(n))
	}
	if d.cutAt >= 0 {
		panic(http.ErrAbortHandler)
	}
}

// reserveBandwidth reserves the time that n bytes take at the rate, and returns how long to
// wait before sending them, so that all responses together stay below the rate.
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

// responseRecorder buffers a response so that it can be changed before it is sent.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) Header() http.Header         { return r.header }
func (r *responseRecorder) WriteHeader(s int)           { r.status = s }
func (r *responseRecorder) Write(b []byte) (int, error) { return r.body.Write(b) }

// countingWriter counts the bytes of a response that is sent without a fault.
type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.ResponseWriter.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// ReadFrom copies r through Write, so that the bytes are counted piece by piece while they
// are sent.
func (c *countingWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
