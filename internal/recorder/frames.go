package recorder

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// segmentWriter writes frames into segments. Only the goroutine of its Writer uses it.
type segmentWriter struct {
	writer  *Writer
	encoder *zstd.Encoder
	out     io.WriteCloser // the current segment; nil: none yet
	written int64          // bytes in the current segment
	next    int            // number of the next segment
	frame   []byte         // encoding buffer
}

// run writes frames until the recording is closed.
func (w *Writer) run() {
	defer close(w.done)
	encoder, err := newEncoder()
	if err != nil {
		w.fail(err)
	}
	s := &segmentWriter{writer: w, encoder: encoder}
	for raw := range w.frames {
		if w.Err() != nil {
			continue // a recording with missing inputs can't be replayed
		}
		if err := s.write(raw); err != nil {
			w.fail(fmt.Errorf("recorder.dir: %w", err))
			continue
		}
		select {
		case w.spare <- raw:
		default:
		}
		w.addSize(len(raw), len(s.frame))
	}
	s.close()
}

// newEncoder returns an encoder tuned for speed and low memory use, because it runs in the
// core's process.
func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(frameBytes),
		zstd.WithLowerEncoderMem(true),
		zstd.WithNoEntropyCompression(true))
}

func (w *Writer) addSize(raw, stored int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rawBytes += int64(raw)
	w.storedBytes += int64(stored)
}

// write writes a frame, in a new segment if the current one is full.
func (s *segmentWriter) write(raw []byte) error {
	if s.out == nil || s.written > s.writer.options.Segment {
		s.close()
		if err := s.begin(); err != nil {
			return err
		}
	}
	s.frame = appendFrame(s.encoder, s.frame[:0], raw)
	if _, err := s.out.Write(s.frame); err != nil {
		return err
	}
	s.written += int64(len(s.frame))
	return nil
}

// begin opens a new segment, writes its header, and removes old segments.
func (s *segmentWriter) begin() error {
	header := s.writer.header
	header.Segment = s.next
	head, err := cbor.Marshal(header)
	if err != nil {
		return fmt.Errorf("encoding a segment's header: %w", err)
	}
	out, err := s.writer.openSegment(s.next)
	if err != nil {
		return err
	}
	s.out = out
	n, err := out.Write(appendFrame(s.encoder, []byte(Magic), head))
	if err != nil {
		return err
	}
	s.written = int64(n)
	s.next++
	return s.writer.removeOldest()
}

// close closes the current segment. It ignores errors: each frame's write was checked, and
// a reader detects a frame that is cut off.
func (s *segmentWriter) close() {
	if s.out != nil {
		_ = s.out.Close()
		s.out = nil
	}
}
