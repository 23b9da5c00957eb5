package recorder

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options bound a recording.
type Options struct {
	Dir     string        // of the segments
	Max     int64         // bytes that all segments of a node may take; the oldest are removed
	Segment int64         // bytes after which a new segment is begun
	Flush   time.Duration // how long an input may wait until it is written
}

// frameBytes is how many raw bytes end a frame, if the flush interval does not.
const frameBytes = 256 << 10

// maxWaitingFrames is how many frames may wait for the disk.
const maxWaitingFrames = 16

// Writer records one incarnation of a core. Put is called under the core's lock: it
// encodes into a buffer. A goroutine of the writer compresses and writes, so that a slow
// disk does not delay the core; one that is too slow for long ends the recording.
//
// Put and Close must not be called concurrently; Err and Size may be called at any time.
type Writer struct {
	options     Options
	header      Header
	buffer      bytes.Buffer  // of the next frame
	bufferSince time.Duration // when its first input came
	inputs      uint64
	closed      bool

	frames chan []byte   // to the goroutine that writes
	spare  chan []byte   // from it: a buffer to be used again
	done   chan struct{} // closed when it has ended

	mu          sync.Mutex
	err         error
	rawBytes    int64
	storedBytes int64

	openSegment  func(segment int) (io.WriteCloser, error)
	removeOldest func() error // keeps to Options.Max
}

// NewWriter records into files in o.Dir, which is made if it is missing. The caller
// closes the writer after the last input, which ends the goroutine that writes.
func NewWriter(o Options, h Header) (*Writer, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recorder.dir: %w", err)
	}
	w := newWriter(o, h)
	w.openSegment = func(segment int) (io.WriteCloser, error) {
		return os.OpenFile(filepath.Join(o.Dir, segmentName(h.Node, h.Life, segment)), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	}
	w.removeOldest = func() error { return removeOldest(o.Dir, h.Node, o.Max) }
	go w.run()
	return w, nil
}

// NewMemory records into out as one segment without bounds, for tests. As with NewWriter,
// Close ends the goroutine that writes.
func NewMemory(out io.Writer, h Header) *Writer {
	w := newWriter(Options{Segment: 1 << 40, Flush: time.Hour}, h)
	w.openSegment = func(int) (io.WriteCloser, error) { return nopCloser{out}, nil }
	w.removeOldest = func() error { return nil }
	go w.run()
	return w
}

// nopCloser is a writer whose Close does nothing.
type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

func newWriter(o Options, h Header) *Writer {
	h.Version = version
	return &Writer{
		options: o,
		header:  h,
		frames:  make(chan []byte, maxWaitingFrames),
		spare:   make(chan []byte, 1),
		done:    make(chan struct{}),
	}
}

// Put records an input. The bytes of its body are copied. After a failure, which Err tells
// of, nothing more is recorded.
func (w *Writer) Put(in *Input) {
	if w.closed {
		return
	}
	if w.buffer.Len() == 0 {
		w.bufferSince = in.Steady
	}
	if err := modes.enc.MarshalToBuffer(in, &w.buffer); err != nil {
		w.fail(fmt.Errorf("an input can't be encoded: %w", err))
		return
	}
	w.inputs++
	if w.buffer.Len() >= frameBytes || in.Steady-w.bufferSince >= w.options.Flush {
		w.endFrame()
	}
}

// endFrame hands the buffer over as a frame.
func (w *Writer) endFrame() {
	if w.buffer.Len() == 0 {
		return
	}
	select {
	case w.frames <- w.buffer.Bytes():
		select {
		case b := <-w.spare:
			w.buffer = *bytes.NewBuffer(b[:0])
		default:
			w.buffer = bytes.Buffer{}
		}
	default:
		w.fail(fmt.Errorf("the disk is too slow for the recording, which ends after %d inputs", w.inputs))
		w.buffer.Reset()
	}
}

// fail ends the recording with the first failure.
func (w *Writer) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

// Err tells why the recording has ended, nil while it goes on.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Size is how many bytes were recorded, before and after compression.
func (w *Writer) Size() (raw, stored int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rawBytes, w.storedBytes
}

// Close writes what waits, ends the recording and returns Err. It may be called again.
func (w *Writer) Close() error {
	if !w.closed {
		w.closed = true
		w.endFrame()
		close(w.frames)
	}
	<-w.done
	return w.Err()
}
