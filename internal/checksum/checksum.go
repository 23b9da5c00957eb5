// Package checksum puts a checksum behind stored values, so that damage is
// noticed: xxHash64 over the key and the value.
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

// Guard does what reads a mapped file, and turns what damage makes that do, a
// panic or a fault, into an error that wraps ErrDamaged.
func Guard(path string, do func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s is %w: %.300v; it was left as it is", path, ErrDamaged, r)
		}
	}()
	return do()
}

// Size is how much a checksum takes.
const Size = 8

func sum(key, value []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum64()
}

// Append appends the checksum of a value that is stored under a key.
func Append(key, value []byte) []byte {
	return binary.BigEndian.AppendUint64(value, sum(key, value))
}

// Open returns the value without its checksum; ok is false if that differs.
func Open(key, stored []byte) (value []byte, ok bool) {
	if len(stored) < Size {
		return nil, false
	}
	value = stored[:len(stored)-Size]
	return value, binary.BigEndian.Uint64(stored[len(value):]) == sum(key, value)
}
