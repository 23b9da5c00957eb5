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

// Options say where a recording is stored and how large it may become.
type Options struct {
	Dir     string        // folder of the segments
	Max     int64         // bytes that all segments of a node may take; beyond it the oldest are removed
	Segment int64         // bytes after which a new segment begins
	Flush   time.Duration // how long an input may wait before it is written
}

// frameBytes is the size of the buffer, before compression, at which a frame ends, unless
// the flush interval ends it earlier.
const frameBytes = 256 << 10

// maxWaitingFrames is the number of frames that may wait to be written to disk.
const maxWaitingFrames = 16

// Writer records one incarnation of a core. Put is called with the core's lock held and only
// encodes the input into a buffer. A goroutine of the writer compresses the frames and
// writes them, so that a slow disk does not delay the core. If the disk is too slow for
// long, the recording ends.
//
// Put and Close must not be called concurrently; Err and Size may be called at any time.
type Writer struct {
	options     Options
	header      Header
	buffer      bytes.Buffer  // of the next frame
	bufferSince time.Duration // steady time of the first input in the buffer
	inputs      uint64
	closed      bool

	frames chan []byte   // to the writing goroutine
	spare  chan []byte   // from the writing goroutine: a buffer to reuse
	done   chan struct{} // closed when the writing goroutine has ended

	mu          sync.Mutex
	err         error
	rawBytes    int64
	storedBytes int64

	openSegment  func(segment int) (io.WriteCloser, error)
	removeOldest func() error // enforces Options.Max
}

// NewWriter returns a Writer that records into files in o.Dir, which it creates if it is
// missing. The caller closes the writer after the last input, which ends the writing
// goroutine.
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

// NewStreamWriter returns a Writer that records into out as one segment of unlimited size, for
// tests. As with NewWriter, Close ends the writing goroutine.
func NewStreamWriter(out io.Writer, h Header) *Writer {
	w := newWriter(Options{Segment: 1 << 40, Flush: time.Hour}, h)
	w.openSegment = func(int) (io.WriteCloser, error) { return nopCloser{out}, nil }
	w.removeOldest = func() error { return nil }
	go w.run()
	return w
}

// nopCloser is an io.WriteCloser whose Close does nothing.
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

// Put records an input. It copies the bytes of the body. After a failure, which Err returns,
// nothing more is recorded.
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

// endFrame passes the buffer to the writing goroutine as a frame. If too many frames are
// waiting, it ends the recording.
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

// fail ends the recording. Err returns the error of the first call.
func (w *Writer) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

// Err returns why the recording has failed, or nil if it has not.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Size returns the number of recorded bytes, before and after compression.
func (w *Writer) Size() (raw, stored int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rawBytes, w.storedBytes
}

// Close writes the waiting frames, ends the recording and returns Err. It may be called more
// than once.
func (w *Writer) Close() error {
	if !w.closed {
		w.closed = true
		w.endFrame()
		close(w.frames)
	}
	<-w.done
	return w.Err()
}
