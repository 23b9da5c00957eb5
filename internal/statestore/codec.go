package statestore

import (
	"bytes"
	"encoding/binary"

	"silvergate/internal/checksum"
)

// The store's file is a bbolt database with these buckets. Numbers in it are fixed-size
// and big-endian, and every stored value ends with the checksum of its key and itself.
// The header holds the number and a digest of all keys besides, so that a lost page is
// noticed as well as a changed one: bbolt itself checks its two meta pages only.
var (
	bucketHeader = []byte("head")   // headerKey: header
	bucketKeys   = []byte("keys")   // key: keyRecord
	bucketEvents = []byte("news")   // revision and a number within a commit: changeEvent
	bucketLeases = []byte("grants") // lease: its TTL in ms
	headerKey    = []byte("head")

	allBuckets = [][]byte{bucketHeader, bucketKeys, bucketEvents, bucketLeases}
)

// Sizes of stored keys and values, without their checksums.
const (
	numberSize       = 8
	eventKeySize     = 2 * numberSize
	headerSize       = 7 * numberSize
	recordHeaderSize = 2 * numberSize // before the value
	keyLengthSize  = 2              // of the key's length
)

// An event's key is followed by one byte that tells whether a value follows.
const (
	eventDeleted byte = iota
	eventPut
)

// header is what the file says of itself.
type header struct {
	Revision        uint64 // revision of the last change
	LastLease       uint64 // the last lease's id
	CompactRevision uint64 // the highest revision of which events were dropped
	Events          uint64 // number of events kept
	Leases          uint64 // number of leases
	Keys            uint64 // number of keys
	Digest          uint64 // of all keys' records: the exclusive or of their checksums
}

// keyRecord is a key's stored value.
type keyRecord struct {
	modRevision, lease uint64
	value              []byte
}

// changeEvent is one change of a key; value is nil when it was deleted.
type changeEvent struct {
	key      string
	value    []byte
	revision uint64
}

func encode64(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// decode64 reads the number at the beginning of b.
func decode64(b []byte) uint64 { return binary.BigEndian.Uint64(b[:numberSize]) }

// storedChecksum returns the checksum that a stored value ends with.
func storedChecksum(stored []byte) uint64 { return decode64(stored[len(stored)-checksum.Size:]) }

// encodeRecord returns what is stored for a key: two numbers and the value.
func encodeRecord(key []byte, r keyRecord) []byte {
	b := make([]byte, 0, recordHeaderSize+len(r.value)+checksum.Size)
	b = binary.BigEndian.AppendUint64(b, r.modRevision)
	b = binary.BigEndian.AppendUint64(b, r.lease)
	return checksum.Append(key, append(b, r.value...))
}

// decodeRecord decodes what is stored for a key, without copying the value; false if it
// does not match its checksum.
func decodeRecord(key, stored []byte) (keyRecord, bool) {
	b, ok := checksum.Open(key, stored)
	if !ok || len(b) < recordHeaderSize {
		return keyRecord{}, false
	}
	return keyRecord{decode64(b), decode64(b[numberSize:]), b[recordHeaderSize:]}, true
}

// encodeChange returns what is stored for an event: its key with its length, whether it
// is a put, and the value.
func encodeChange(eventKey []byte, c changeEvent) []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(len(c.key)))
	b = append(b, c.key...)
	if c.value != nil {
		b = append(append(b, eventPut), c.value...)
	} else {
		b = append(b, eventDeleted)
	}
	return checksum.Append(eventKey, b)
}

// decodeChange decodes what is stored for an event; false if it does not match its
// checksum.
func decodeChange(eventKey, stored []byte) (changeEvent, bool) {
	b, ok := checksum.Open(eventKey, stored)
	if !ok || len(b) <= keyLengthSize || len(eventKey) != eventKeySize {
		return changeEvent{}, false
	}
	kindAt := keyLengthSize + int(binary.BigEndian.Uint16(b))
	if len(b) <= kindAt {
		return changeEvent{}, false
	}
	c := changeEvent{key: string(b[keyLengthSize:kindAt]), revision: decode64(eventKey)}
	if b[kindAt] == eventPut {
		c.value = bytes.Clone(b[kindAt+1:])
	}
	return c, true
}

// fields lists the header's fields in their stored order.
func (h *header) fields() []*uint64 {
	return []*uint64{&h.Revision, &h.LastLease, &h.CompactRevision, &h.Events, &h.Leases, &h.Keys, &h.Digest}
}

func (h *header) encode() []byte {
	var b []byte
	for _, field := range h.fields() {
		b = binary.BigEndian.AppendUint64(b, *field)
	}
	return checksum.Append(headerKey, b)
}

// decode sets the header to a stored one; false if that does not match its checksum.
func (h *header) decode(stored []byte) bool {
	b, ok := checksum.Open(headerKey, stored)
	if !ok || len(b) != headerSize {
		return false
	}
	for i, field := range h.fields() {
		*field = decode64(b[numberSize*i:])
	}
	return true
}
