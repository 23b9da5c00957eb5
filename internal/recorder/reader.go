package recorder

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Reader reads one segment. It is not safe for concurrent use.
type Reader struct {
	Header  Header
	source  io.Reader
	zstd    *zstd.Decoder
	decoder *cbor.Decoder // of the current frame; nil: the next frame must be read first
	offset  int64         // of the next frame, in bytes
}

// NewReader returns a Reader for the segment in r and reads the segment's header. The caller
// closes r.
func NewReader(r io.Reader) (*Reader, error) {
	magic := make([]byte, len(Magic))
	if _, err := io.ReadFull(r, magic); err != nil || string(magic) != Magic {
		return nil, errors.New("not a recording: it does not begin as one")
	}
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxFrame))
	if err != nil {
		return nil, fmt.Errorf("making the decompressor: %w", err)
	}
	s := &Reader{source: r, zstd: decompressor, offset: int64(len(Magic))}
	raw, err := s.readFrame()
	if err != nil {
		return nil, fmt.Errorf("header: %w", err)
	}
	if err := modes.dec.Unmarshal(raw, &s.Header); err != nil {
		return nil, fmt.Errorf("header: %w", err)
	}
	if s.Header.Version != version {
		return nil, fmt.Errorf("header: version %d; this program reads %d", s.Header.Version, version)
	}
	return s, nil
}

// readFrame returns the decompressed items of the next frame. The error is io.EOF if there
// is no further frame, and ErrTorn if the frame is cut off.
func (s *Reader) readFrame() ([]byte, error) {
	var head [frameHead]byte
	switch n, err := io.ReadFull(s.source, head[:]); {
	case n == 0 && errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, ErrTorn
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return nil, fmt.Errorf("byte %d: a frame of %d bytes; at most %d are possible", s.offset, size, maxFrame)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(s.source, raw); err != nil {
		return nil, ErrTorn
	}
	if crc32.Checksum(raw, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("byte %d: the frame's checksum is wrong", s.offset)
	}
	items, err := s.zstd.DecodeAll(raw, nil)
	if err != nil {
		return nil, fmt.Errorf("byte %d: %w", s.offset, err)
	}
	s.offset += frameHead + int64(size)
	return items, nil
}

// Next reads the next input into in, whose body belongs to the caller. It returns io.EOF
// after the last input, and ErrTorn if the last frame is cut off.
func (s *Reader) Next(in *Input) error {
	for {
		if s.decoder != nil {
			*in = Input{}
			switch err := s.decoder.Decode(in); {
			case err == nil:
				return nil
			case !errors.Is(err, io.EOF):
				return fmt.Errorf("before byte %d: %w", s.offset, err)
			}
			s.decoder = nil
		}
		raw, err := s.readFrame()
		if err != nil {
			return err
		}
		s.decoder = modes.dec.NewDecoder(&bytesReader{raw})
	}
}

// bytesReader is a bytes.Reader that has only the method Read, because the decoder would
// also use the other methods.
type bytesReader struct{ rest []byte }

func (r *bytesReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}
