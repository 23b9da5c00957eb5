// Package checksum protects stored values by a checksum, xxHash64 over the key and the
// value, so that damage is noticed. It is no protection against forgery.
package checksum

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
)

// ErrDamaged marks a file whose contents contradict its checksums. It is left
// as it is.
var ErrDamaged = errors.New("damaged")

// Size is the number of bytes of a checksum.
const Size = 8

// Append appends the checksum of a value that is stored under a key, and returns the
// result as append does: it may use the value's array.
func Append(key, value []byte) []byte {
	return binary.BigEndian.AppendUint64(value, sum(key, value))
}

// Open returns a stored value without its checksum, and shares its array; ok is false,
// and the value is not to be used, if the checksum does not match.
func Open(key, stored []byte) (value []byte, ok bool) {
	if len(stored) < Size {
		return nil, false
	}
	value, storedSum := stored[:len(stored)-Size], stored[len(stored)-Size:]
	return value, binary.BigEndian.Uint64(storedSum) == sum(key, value)
}

// sum has a zero byte between the key and the value, so that a byte that is moved from one
// to the other is noticed.
func sum(key, value []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum64()
}

// Guard calls read, which reads the mapped file at path, and returns its error. If damage
// in the file makes read panic or fault, the error wraps ErrDamaged. It guards only the
// calling goroutine.
func Guard(path string, read func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if r := recover(); r != nil {
			// What a panic says may hold whole pages.
			err = fmt.Errorf("%s is %w: %.300v; it was left as it is", path, ErrDamaged, r)
		}
	}()
	return read()
}
