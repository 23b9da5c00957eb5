package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	fast "github.com/segmentio/encoding/json"
)

// Heartbeats and calls of the state service, of which there are hundreds a second, and
// records are encoded and decoded with a library that is faster than encoding/json.
// Submissions are not: they are rare, and users see the decoder's errors.

// requireObject returns ErrNotObject unless a body can be a JSON object. It looks only at
// the first byte that is not white space.
func requireObject(body []byte) error {
	if text := bytes.TrimLeft(body, " \t\r\n"); len(text) == 0 || text[0] != '{' {
		return ErrNotObject
	}
	return nil
}

// DecodeObject reads a request's JSON object into v. Its errors are meant for users:
// ErrNotObject, or one that wraps the error of encoding/json. Unknown fields are ignored.
func DecodeObject(body []byte, v any) error {
	if err := requireObject(body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("the body is malformed: %w", err)
	}
	return nil
}

// maxNesting is a depth far beyond that of any message of the protocols.
const maxNesting = 32

// Decode reads a message from outside into v. Like encoding/json it ignores unknown
// fields and refuses data after the value. It checks for ErrNestedTooDeeply before it
// decodes anything.
func Decode(data []byte, v any) error {
	// Guards against 64 KiB of opening brackets, which would cost a small
	// controller a second of its CPU share and 32 MB of stack.
	if nestingDepth(data) > maxNesting {
		return ErrNestedTooDeeply
	}
	return fast.Unmarshal(data, v)
}

// nestingDepth returns the greatest depth of nested objects and arrays in data.
func nestingDepth(data []byte) int {
	deepest, depth, quoted := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch character := data[i]; {
		case quoted:
			if character == '\\' {
				i++
			} else if character == '"' {
				quoted = false
			}
		case character == '"':
			quoted = true
		case character == '{' || character == '[':
			depth++
			deepest = max(deepest, depth)
		case character == '}' || character == ']':
			depth--
		}
	}
	return deepest
}

// DecodeState reads a response of the state service into v. Raw messages in v point
// into data, which must not change while they are in use.
func DecodeState(data []byte, v any) error {
	rest, err := fast.Parse(data, v, fast.DontCopyRawMessage)
	if err == nil && len(rest) > 0 {
		err = errors.New("more than one value")
	}
	return err
}

// Encode returns the JSON of one of our own messages or records. It panics on types that
// JSON cannot represent; none of our messages and records contains one.
func Encode(v any) json.RawMessage {
	encoded, err := fast.Append(nil, v, fast.EscapeHTML|fast.SortMapKeys|fast.TrustRawMessage)
	if err != nil {
		panic(err)
	}
	return encoded
}
