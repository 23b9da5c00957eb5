package peer

import (
	"bytes"
	"encoding/gob"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"silvergate/internal/goldentest"
)

// wireFormat is an encoding of peer messages.
type wireFormat struct {
	name      string
	marshal   func(v any) ([]byte, error)
	unmarshal func(data []byte, v any) error
}

var wireFormats = []wireFormat{
	{name: "gob", marshal: marshalGob, unmarshal: unmarshalGob},
	{name: "cbor", marshal: cbor.Marshal, unmarshal: cbor.Unmarshal},
}

func marshalGob(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), err
}

func unmarshalGob(data []byte, v any) error {
	return gob.NewDecoder(bytes.NewReader(data)).Decode(v)
}

// encodeMessage and decodeMessage do what the product does with a message: on a link it
// uses gob, in a recording CBOR.
func encodeMessage(f wireFormat, m Message) ([]byte, error) {
	if f.name == "gob" {
		return f.marshal(m.Wire())
	}
	return f.marshal(&m)
}

func decodeMessage(f wireFormat, data []byte) (m Message, err error) {
	if f.name == "gob" {
		var w WireMessage
		err = f.unmarshal(data, &w)
		return w.Message(), err
	}
	err = f.unmarshal(data, &m)
	return m, err
}

// TestFrozenMessagesAreComplete checks that there is a frozen message, and so a golden
// file, of each kind, and that each message sets only the field of its kind and every field
// below it.
func TestFrozenMessagesAreComplete(t *testing.T) {
	messages := frozenMessages()
	kinds := reflect.TypeFor[frozenMessage]()
	if len(messages) != kinds.NumField() {
		t.Errorf("%d frozen messages for %d kinds", len(messages), kinds.NumField())
	}
	if n := reflect.TypeFor[Message]().NumField(); n != kinds.NumField() {
		t.Errorf("Message has %d kinds, the frozen copy has %d", n, kinds.NumField())
	}
	for kind, m := range messages {
		for i := range kinds.NumField() {
			if name := kinds.Field(i).Name; (name == kind) == reflect.ValueOf(m).Field(i).IsNil() {
				t.Errorf("the frozen message for %s: field %s is set and should not be, or is not set and should be", kind, name)
			}
		}
		goldentest.RequireNoZeroFields(t, kind, reflect.ValueOf(m).FieldByName(kind).Interface())
	}
}

// TestMessagesKeepTheirBytes checks that the product decodes each golden message and
// encodes it again without loss.
func TestMessagesKeepTheirBytes(t *testing.T) {
	for kind, want := range frozenMessages() {
		for _, format := range wireFormats {
			t.Run(kind+"."+format.name, func(t *testing.T) { checkMessage(t, kind, want, format) })
		}
	}
}

func checkMessage(t *testing.T, kind string, want frozenMessage, format wireFormat) {
	t.Helper()
	data := goldentest.File(t, "testdata/"+kind+"."+format.name, func() []byte {
		data, err := format.marshal(&want)
		if err != nil {
			t.Fatal(err)
		}
		return data
	})
	var original frozenMessage
	if err := format.unmarshal(data, &original); err != nil || !reflect.DeepEqual(original, want) {
		t.Fatalf("the golden file decodes to %+v, want %+v; error %v", original, want, err)
	}
	m, err := decodeMessage(format, data)
	if err != nil {
		t.Fatal(err)
	}
	requireOneCompleteField(t, m)
	encoded, err := encodeMessage(format, m)
	if err != nil {
		t.Fatal(err)
	}
	var decoded frozenMessage
	if err := format.unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("encoded again, the message decodes to %+v, want %+v", reflect.ValueOf(decoded).FieldByName(kind), reflect.ValueOf(want).FieldByName(kind))
	}
	// Recordings hold digests of effects, which are computed over these bytes. gob numbers
	// its types in the order of their use in the process, so its bytes may differ.
	if format.name == "cbor" && !bytes.Equal(encoded, data) {
		t.Errorf("encoded again as\n%x, want\n%x", encoded, data)
	}
}

// requireOneCompleteField checks that exactly one field of a decoded message is set, and that
// every field below it has a value. A field that the product has and the golden file lacks
// would have none.
func requireOneCompleteField(t *testing.T, m Message) {
	t.Helper()
	set := 0
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if v.Field(i).IsNil() {
			continue
		}
		set++
		if zero := goldentest.ZeroFields(v.Type().Field(i).Name, v.Field(i)); len(zero) > 0 {
			t.Errorf("fields without a value: %v", zero)
		}
	}
	if set != 1 {
		t.Errorf("%d fields of the message are set: %+v", set, m)
	}
}

// TestLinkKeepsItsBytes decodes and encodes all kinds on one stream, as a link does after
// its greeting: gob sends each type description only once per stream.
func TestLinkKeepsItsBytes(t *testing.T) {
	messages := frozenMessages()
	kinds := slices.Sorted(maps.Keys(messages))
	data := goldentest.File(t, "testdata/link.gob", func() []byte {
		var b bytes.Buffer
		enc := gob.NewEncoder(&b)
		if err := enc.Encode("n1"); err != nil {
			t.Fatal(err)
		}
		for _, kind := range kinds {
			if err := enc.Encode(messages[kind]); err != nil {
				t.Fatal(err)
			}
		}
		return b.Bytes()
	})
	var out bytes.Buffer
	in, enc, dec := gob.NewDecoder(bytes.NewReader(data)), gob.NewEncoder(&out), gob.NewDecoder(&out)
	var from string
	if err := in.Decode(&from); err != nil || from != "n1" {
		t.Fatalf("greeting %q, want the name n1; error %v", from, err)
	}
	stream := wireFormat{
		name:      "gob",
		marshal:   func(v any) ([]byte, error) { return nil, enc.Encode(v) },
		unmarshal: func(_ []byte, v any) error { return in.Decode(v) },
	}
	for _, kind := range kinds {
		m, err := decodeMessage(stream, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := encodeMessage(stream, m); err != nil {
			t.Fatal(err)
		}
		var decoded frozenMessage
		if err := dec.Decode(&decoded); err != nil || !reflect.DeepEqual(decoded, messages[kind]) {
			t.Errorf("%s, encoded again, decodes to %+v; error %v", kind, decoded, err)
		}
	}
}
