package statestore

import (
	"bytes"
	"encoding/binary"

	"silvergate/internal/checksum"
)

// The store's file is a bbolt database with these buckets. Numbers in it are fixed-size
// and big-endian, and every stored value ends with a checksum over its key and the value.
// The header also holds the number of keys and a digest over all of them, so that a lost
// page is detected as well as a changed one: bbolt itself checks only its two meta pages.
var (
	bucketHeader = []byte("head")   // headerKey -> header
	bucketKeys   = []byte("keys")   // key -> keyRecord
	bucketEvents = []byte("news")   // revision and number within the commit -> changeEvent
	bucketLeases = []byte("grants") // lease id -> TTL in ms
	headerKey    = []byte("head")

	allBuckets = [][]byte{bucketHeader, bucketKeys, bucketEvents, bucketLeases}
)

// Sizes of stored keys and values, without their checksums.
const (
	numberSize       = 8
	eventKeySize     = 2 * numberSize
	headerSize       = 7 * numberSize
	recordHeaderSize = 2 * numberSize // numbers before a key's value
	keyLengthSize    = 2              // length of the changed key, before the key
)

// In a stored event, the changed key is followed by one of these bytes, which says whether
// a value follows.
const (
	eventDeleted byte = iota
	eventPut
)

// header is the stored summary of the file's contents.
type header struct {
	Revision        uint64 // revision of the last change
	LastLease       uint64 // id of the last lease that was granted
	CompactRevision uint64 // highest revision of the dropped events
	Events          uint64 // number of retained events
	Leases          uint64 // number of leases
	Keys            uint64 // number of keys
	Digest          uint64 // exclusive or of the checksums of all keys' records
}

// keyRecord is what is stored for a key: its value, its revision and its lease, if any.
type keyRecord struct {
	modRevision, lease uint64
	value              []byte
}

// changeEvent is one change of a key; value is nil if the key was deleted.
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

// encodeRecord returns the stored form of a key's record: two numbers, the value and the
// checksum.
func encodeRecord(key []byte, r keyRecord) []byte {
	b := make([]byte, 0, recordHeaderSize+len(r.value)+checksum.Size)
	b = binary.BigEndian.AppendUint64(b, r.modRevision)
	b = binary.BigEndian.AppendUint64(b, r.lease)
	return checksum.Append(key, append(b, r.value...))
}

// decodeRecord decodes a key's stored record without copying the value. It returns false if
// the record does not match its checksum.
func decodeRecord(key, stored []byte) (keyRecord, bool) {
	b, ok := checksum.Open(key, stored)
	if !ok || len(b) < recordHeaderSize {
		return keyRecord{}, false
	}
	return keyRecord{decode64(b), decode64(b[numberSize:]), b[recordHeaderSize:]}, true
}

// encodeChange returns the stored form of an event: the length of the changed key, the key,
// eventPut or eventDeleted, the value and the checksum.
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

// decodeChange decodes a stored event. It returns false if the event does not match its
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

// fields returns pointers to the header's fields in their stored order.
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

// decode sets h to a stored header. It returns false if the stored header does not match its
// checksum.
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
