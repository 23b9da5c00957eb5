package recorder

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Options bound a recording.
type Options struct {
	Dir     string        // of the segments
	Max     int64         // bytes that all segments of a node may take; the oldest go first
	Segment int64         // bytes after which a new segment is begun
	Flush   time.Duration // inputs wait no longer than this to be written
}

// frameBytes is how many raw bytes make a frame, if time does not.
const frameBytes = 256 << 10

// waiting is how many frames may wait for the disk.
const waiting = 16

// Writer records one life of a core. Put is called under the core's lock: it encodes
// into a buffer. A goroutine of the writer compresses and writes, so that a slow disk
// does not hold up the core; one that is too slow for long ends the recording.
type Writer struct {
	o      Options
	header Header
	buf    bytes.Buffer
	spare  chan []byte   // a buffer to fill again
	since  time.Duration // when the first input of the buffer came
	frames chan []byte
	done   chan struct{}
	n      uint64
	closed bool

	mu     sync.Mutex
	err    error
	bytes  int64 // raw
	stored int64

	open func(segment int) (io.WriteCloser, error) // of a new segment
	tidy func() error                              // keeps to Max
}

// NewWriter records into files in o.Dir.
func NewWriter(o Options, h Header) (*Writer, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recorder.dir: %w", err)
	}
	w := newWriter(o, h)
	w.open = func(segment int) (io.WriteCloser, error) {
		return os.OpenFile(filepath.Join(o.Dir, name(h.Node, h.Life, segment)), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	}
	w.tidy = func() error { return tidy(o.Dir, h.Node, o.Max) }
	go w.run()
	return w, nil
}

// NewMemory records into what open gives, for tests: nothing is bounded.
func NewMemory(out io.Writer, h Header) *Writer {
	w := newWriter(Options{Segment: 1 << 40, Flush: time.Hour}, h)
	w.open = func(int) (io.WriteCloser, error) { return keep{out}, nil }
	w.tidy = func() error { return nil }
	go w.run()
	return w
}

type keep struct{ io.Writer }

func (keep) Close() error { return nil }

func newWriter(o Options, h Header) *Writer {
	h.Version = version
	return &Writer{o: o, header: h, frames: make(chan []byte, waiting), done: make(chan struct{}), spare: make(chan []byte, 1)}
}

// name is a segment's file name; names of a node sort by time.
func name(node string, life int64, segment int) string {
	return fmt.Sprintf("%s-%020d-%06d.rec", node, life, segment)
}

// Segments lists the files of a node's recordings in a folder, oldest first; of all
// nodes if node is "".
func Segments(dir, node string) ([]string, error) {
	all, err := filepath.Glob(filepath.Join(dir, "*.rec"))
	if err != nil {
		return nil, err
	}
	var out []string
	for _, f := range all {
		if n, ok := nodeOf(f); ok && (node == "" || n == node) {
			out = append(out, f)
		}
	}
	sort.Strings(out)
	return out, nil
}

// nodeOf takes a segment's name apart.
func nodeOf(file string) (string, bool) {
	parts := strings.Split(strings.TrimSuffix(filepath.Base(file), ".rec"), "-")
	if len(parts) < 3 {
		return "", false
	}
	for _, p := range parts[len(parts)-2:] {
		if _, err := strconv.ParseUint(p, 10, 64); err != nil {
			return "", false
		}
	}
	return strings.Join(parts[:len(parts)-2], "-"), true
}

// tidy removes a node's oldest segments until the rest takes no more than limit.
func tidy(dir, node string, limit int64) error {
	files, err := Segments(dir, node)
	if err != nil {
		return err
	}
	total := int64(0)
	sizes := make([]int64, len(files))
	for i, f := range files {
		if st, err := os.Stat(f); err == nil {
			sizes[i] = st.Size()
			total += sizes[i]
		}
	}
	for i := 0; i < len(files)-1 && total > limit; i++ {
		if err := os.Remove(files[i]); err != nil {
			return err
		}
		total -= sizes[i]
	}
	return nil
}

// Put records an input. The bytes of its body are copied.
func (w *Writer) Put(in *Input) {
	if w.closed {
		return
	}
	if w.buf.Len() == 0 {
		w.since = in.Steady
	}
	if err := modes.enc.MarshalToBuffer(in, &w.buf); err != nil {
		w.fail(fmt.Errorf("an input can't be encoded: %w", err))
		return
	}
	w.n++
	if w.buf.Len() >= frameBytes || in.Steady-w.since >= w.o.Flush {
		w.cut()
	}
}

// cut hands the buffer over as a frame.
func (w *Writer) cut() {
	if w.buf.Len() == 0 {
		return
	}
	select {
	case w.frames <- w.buf.Bytes():
		select {
		case b := <-w.spare:
			w.buf = *bytes.NewBuffer(b[:0])
		default:
			w.buf = bytes.Buffer{}
		}
	default:
		w.fail(fmt.Errorf("the disk is too slow for the recording, which ends after %d inputs", w.n))
		w.buf.Reset()
	}
}

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
	return w.bytes, w.stored
}

// Close writes what waits and ends the recording; a second call does nothing more.
func (w *Writer) Close() error {
	if !w.closed {
		w.closed = true
		w.cut()
		close(w.frames)
	}
	<-w.done
	return w.Err()
}

func (w *Writer) run() {
	defer close(w.done)
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(frameBytes), zstd.WithLowerEncoderMem(true), zstd.WithNoEntropyCompression(true))
	if err != nil {
		w.fail(err)
	}
	var out io.WriteCloser
	written, segment := int64(0), 0
	var frame []byte
	for raw := range w.frames {
		if w.Err() != nil {
			continue // what is missing in the middle can't be put through a core
		}
		if out == nil || written > w.o.Segment {
			if out != nil {
				_ = out.Close()
			}
			if out, written, err = w.begin(enc, segment); err != nil {
				w.fail(fmt.Errorf("recorder.dir: %w", err))
				continue
			}
			segment++
		}
		frame = appendFrame(enc, frame[:0], raw)
		if _, err := out.Write(frame); err != nil {
			w.fail(fmt.Errorf("recorder.dir: %w", err))
			continue
		}
		written += int64(len(frame))
		select {
		case w.spare <- raw:
		default:
		}
		w.mu.Lock()
		w.bytes, w.stored = w.bytes+int64(len(raw)), w.stored+int64(len(frame))
		w.mu.Unlock()
	}
	if out != nil {
		_ = out.Close()
	}
}

// begin makes a segment with its header, and tells how large that is.
func (w *Writer) begin(enc *zstd.Encoder, segment int) (io.WriteCloser, int64, error) {
	h := w.header
	h.Segment = segment
	head, err := cbor.Marshal(h)
	if err != nil {
		return nil, 0, err
	}
	out, err := w.open(segment)
	if err != nil {
		return nil, 0, err
	}
	n, err := out.Write(appendFrame(enc, []byte(Magic), head))
	if err == nil {
		err = w.tidy()
	}
	return out, int64(n), err
}
