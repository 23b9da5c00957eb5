// Package checksum adds a checksum to stored values, the xxHash64 of the key and the value,
// so that damage is detected. It does not protect against forgery.
package checksum

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
)

// ErrDamaged marks a file whose contents do not match its checksums. The file is left
// as it is.
var ErrDamaged = errors.New("damaged")

// Size is the size of a checksum in bytes.
const Size = 8

// Append appends the checksum of a key and its value to the value and returns the result.
// Like the built-in append, it may write to the value's underlying array.
func Append(key, value []byte) []byte {
	return binary.BigEndian.AppendUint64(value, sum(key, value))
}

// Open verifies a stored value and returns it without its checksum. The result shares the
// underlying array of stored. If ok is false, the checksum does not match and the value
// must not be used.
func Open(key, stored []byte) (value []byte, ok bool) {
	if len(stored) < Size {
		return nil, false
	}
	value, storedSum := stored[:len(stored)-Size], stored[len(stored)-Size:]
	return value, binary.BigEndian.Uint64(storedSum) == sum(key, value)
}

// sum returns the hash of the key, a zero byte and the value. Because of the zero byte, a
// byte that moves from the key to the value, or back, changes the hash.
func sum(key, value []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum64()
}

// Guard calls read, which reads the mapped file at path, and returns read's error. If read
// panics or faults because the file is damaged, Guard returns an error that wraps
// ErrDamaged. It covers only the calling goroutine, not those that read starts.
func Guard(path string, read func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if r := recover(); r != nil {
			// The panic's text is cut off because it may contain whole pages.
			err = fmt.Errorf("%s is %w: %.300v; it was left as it is", path, ErrDamaged, r)
		}
	}()
	return read()
}
