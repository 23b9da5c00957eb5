package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	fast "github.com/segmentio/encoding/json"
)

// Heartbeats and the calls of the state service, hundreds a second, and the records are
// read and written with a faster library than encoding/json. Submissions are not: they
// are rare, and their errors are shown to users.

// requireObject returns ErrNotObject unless a body can be a JSON object. It looks at the first
// byte alone.
func requireObject(body []byte) error {
	if text := bytes.TrimLeft(body, " \t\r\n"); len(text) == 0 || text[0] != '{' {
		return ErrNotObject
	}
	return nil
}

// DecodeObject reads a request's JSON object into v, with errors that are for people:
// ErrNotObject, or one that wraps that of encoding/json. Unknown fields are ignored.
func DecodeObject(body []byte, v any) error {
	if err := requireObject(body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("the body is malformed: %w", err)
	}
	return nil
}

// maxNesting is far deeper than any message of the protocols goes.
const maxNesting = 32

// Decode reads a message from outside into v. Like encoding/json it ignores unknown
// fields and refuses what follows the value. It returns ErrNestedTooDeeply before it
// decodes anything.
func Decode(data []byte, v any) error {
	// Guards against 64 KiB of opening brackets, which would cost a small
	// controller a second of its CPU share and 32 MB of stack.
	if nestingDepth(data) > maxNesting {
		return ErrNestedTooDeeply
	}
	return fast.Unmarshal(data, v)
}

// nestingDepth is how deep objects and arrays go in data, at the most.
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
// into data, which must not change as long as they are used.
func DecodeState(data []byte, v any) error {
	rest, err := fast.Parse(data, v, fast.DontCopyRawMessage)
	if err == nil && len(rest) > 0 {
		err = errors.New("more than one value")
	}
	return err
}

// Encode writes one of our own messages or records. It panics on types that JSON does
// not have, which none of ours contains.
func Encode(v any) json.RawMessage {
	encoded, err := fast.Append(nil, v, fast.EscapeHTML|fast.SortMapKeys|fast.TrustRawMessage)
	if err != nil {
		panic(err)
	}
	return encoded
}
