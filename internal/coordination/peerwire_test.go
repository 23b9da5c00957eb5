package coordination

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"silvergate/internal/peer"
)

// Peer messages cross links as gob and stand in recordings as CBOR. Both match fields by
// their names. The types here are a copy of those that controllers in service and
// recordings use; they change only with the protocol, never with the code.

type frozenMessage struct {
	Beat    *frozenBeat
	Ask     *frozenAsk
	Vouch   *frozenVouch
	Forward *frozenForward
	Return  *frozenForward
	Draw    *frozenDraw
	Offer   *frozenOffer
	Carry   *frozenCarry
	Carried *frozenCarried
	Pass    *frozenPass
}

type frozenBeat struct {
	FreshMS   int64
	Hungry    bool
	Lit, Dark []string
	Deaf      []string
	Unkept    []string
	Rows      []frozenRow
}

// frozenRow has the tags of the base: CBOR names fields by them, gob does not.
type frozenRow struct {
	Node    string           `json:"node"`
	AgeMS   int64            `json:"ageMs"`
	StateMS int64            `json:"stateMs"`
	FreshMS int64            `json:"freshMs"`
	Deaf    bool             `json:"deaf"`
	Hungry  bool             `json:"hungry"`
	Hears   []string         `json:"hears"`
	Zones   []frozenZoneWord `json:"zones"`
	CloudMS int64            `json:"cloudMs"`
	NoCloud bool             `json:"noCloud"`
}

type frozenZoneWord struct {
	Zone    string `json:"zone"`
	Held    int    `json:"held"`
	HeardMS int64  `json:"heardMs"`
	Lost    bool   `json:"lost"`
}

type frozenAsk struct {
	At     time.Duration
	Ledger uint64
	Life   int64
}

type frozenVouch struct {
	At        time.Duration
	Cancelled []string
	Life      int64
}

type frozenForward struct {
	Job   string
	Tasks []int
}

type frozenDraw struct {
	Job      string
	Machines []string
}

type frozenOffer struct {
	Job      string
	Machines []frozenOffered
}

type frozenOffered struct {
	Machine string
	Session uint64
}

type frozenCarry struct {
	Life      int64
	ID        uint64
	Method    string
	Path      string
	Body      []byte
	TimeoutMS int64
}

type frozenCarried struct {
	Life       int64
	ID         uint64
	Sum        uint64
	Status     int
	Sent       bool
	RetryAfter int
	Body       []byte
	Large      bool
}

type frozenPass struct {
	From, To string
	Ask      *frozenAsk
	Vouch    *frozenVouch
}

// frozenMessages has a message of each kind, by the name of its field, with every field set.
func frozenMessages() map[string]frozenMessage {
	ask := &frozenAsk{At: 90 * time.Second, Ledger: 1 << 41, Life: 1767225600000000007}
	vouch := &frozenVouch{At: 91 * time.Second, Cancelled: []string{"wk-000003", "wk-000011"}, Life: 1767225600000000008}
	row := frozenRow{Node: "n1", AgeMS: 11, StateMS: 12, FreshMS: 13, Deaf: true, Hungry: true, Hears: []string{"n2", "n3"},
		Zones: []frozenZoneWord{{Zone: "z-a", Held: 14, HeardMS: 15, Lost: true}}, CloudMS: 16, NoCloud: true}
	return map[string]frozenMessage{
		"Beat": {Beat: &frozenBeat{FreshMS: 7, Hungry: true, Lit: []string{"z-a"}, Dark: []string{"z-b", "z-c"},
			Deaf: []string{"i-000001"}, Unkept: []string{"i-000002", "i-000003"}, Rows: []frozenRow{row}}},
		"Ask":     {Ask: ask},
		"Vouch":   {Vouch: vouch},
		"Forward": {Forward: &frozenForward{Job: "wk-000004", Tasks: []int{1, 2, 100000}}},
		"Return":  {Return: &frozenForward{Job: "wk-000005", Tasks: []int{3}}},
		"Draw":    {Draw: &frozenDraw{Job: "wk-000006", Machines: []string{"i-000004", "i-000005"}}},
		"Offer":   {Offer: &frozenOffer{Job: "wk-000007", Machines: []frozenOffered{{Machine: "i-000006", Session: 1 << 60}}}},
		"Carry":   {Carry: &frozenCarry{Life: 21, ID: 22, Method: "POST", Path: "/txn", Body: []byte(`{"if":[]}`), TimeoutMS: 23}},
		"Carried": {Carried: &frozenCarried{Life: 31, ID: 32, Sum: 1 << 63, Status: 200, Sent: true, RetryAfter: 33, Body: []byte(`{}`), Large: true}},
		"Pass":    {Pass: &frozenPass{From: "n2", To: "n3", Ask: ask, Vouch: vouch}},
	}
}

// peerFormat is an encoding of peer messages.
type peerFormat struct {
	name      string
	marshal   func(v any) ([]byte, error)
	unmarshal func(data []byte, v any) error
}

var peerFormats = []peerFormat{
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

// encodePeerMessage and decodePeerMessage are what the product does with a message: on a
// link with gob, in a recording with CBOR.
func encodePeerMessage(f peerFormat, m peer.Message) ([]byte, error) {
	if f.name == "gob" {
		return f.marshal(m.Wire())
	}
	return f.marshal(&m)
}

func decodePeerMessage(f peerFormat, data []byte) (m peer.Message, err error) {
	if f.name == "gob" {
		var w peer.WireMessage
		err = f.unmarshal(data, &w)
		return w.Message(), err
	}
	err = f.unmarshal(data, &m)
	return m, err
}

// TestFrozenMessagesAreComplete checks that each kind of message has a golden file, and
// that no field of it lacks a value.
func TestFrozenMessagesAreComplete(t *testing.T) {
	messages := frozenMessages()
	kinds := reflect.TypeFor[frozenMessage]()
	if len(messages) != kinds.NumField() {
		t.Errorf("%d messages of %d kinds", len(messages), kinds.NumField())
	}
	if n := reflect.TypeFor[peer.Message]().NumField(); n != kinds.NumField() {
		t.Errorf("the product has %d kinds of messages, not %d", n, kinds.NumField())
	}
	for kind, m := range messages {
		for i := range kinds.NumField() {
			if name := kinds.Field(i).Name; (name == kind) == reflect.ValueOf(m).Field(i).IsNil() {
				t.Errorf("the message for %s: field %s is set where it should not be, or the reverse", kind, name)
			}
		}
		requireNoZeroFields(t, kind, reflect.ValueOf(m).FieldByName(kind).Interface())
	}
}

// TestPeerMessagesKeepTheirBytes has the product read each golden message and write it
// again: nothing is lost on either way.
func TestPeerMessagesKeepTheirBytes(t *testing.T) {
	for kind, want := range frozenMessages() {
		for _, format := range peerFormats {
			t.Run(kind+"."+format.name, func(t *testing.T) { checkPeerMessage(t, kind, want, format) })
		}
	}
}

func checkPeerMessage(t *testing.T, kind string, want frozenMessage, format peerFormat) {
	data := golden(t, "peer/"+kind+"."+format.name, func() []byte {
		data, err := format.marshal(&want)
		if err != nil {
			t.Fatal(err)
		}
		return data
	})
	var original frozenMessage
	if err := format.unmarshal(data, &original); err != nil || !reflect.DeepEqual(original, want) {
		t.Fatalf("the golden file holds %+v, not %+v: %v", original, want, err)
	}
	m, err := decodePeerMessage(format, data)
	if err != nil {
		t.Fatal(err)
	}
	requireOneWholeKind(t, m)
	again, err := encodePeerMessage(format, m)
	if err != nil {
		t.Fatal(err)
	}
	var back frozenMessage
	if err := format.unmarshal(again, &back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back, want) {
		t.Errorf("came back as %+v, not %+v", reflect.ValueOf(back).FieldByName(kind), reflect.ValueOf(want).FieldByName(kind))
	}
	// Digests of effects in recordings are over these bytes. gob numbers its types by the
	// order of their use in the process, so its bytes need not be the same.
	if format.name == "cbor" && !bytes.Equal(again, data) {
		t.Errorf("written as\n%x, not\n%x", again, data)
	}
}

// requireOneWholeKind checks that exactly one field of a decoded message is set, and that
// no field below it lacks a value: one that the product has beyond the golden file would.
func requireOneWholeKind(t *testing.T, m peer.Message) {
	t.Helper()
	set := 0
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if v.Field(i).IsNil() {
			continue
		}
		set++
		if zero := zeroFields(v.Type().Field(i).Name, v.Field(i)); len(zero) > 0 {
			t.Errorf("without a value: %v", zero)
		}
	}
	if set != 1 {
		t.Errorf("%d fields of the message are set: %+v", set, m)
	}
}

// TestPeerLinkKeepsItsBytes reads and writes all kinds on one stream, as a link does
// after its greeting: type descriptions cross once.
func TestPeerLinkKeepsItsBytes(t *testing.T) {
	messages := frozenMessages()
	kinds := sortedKeys(messages)
	data := golden(t, "peer/link.gob", func() []byte {
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
		t.Fatalf("greeting %q: %v", from, err)
	}
	stream := peerFormat{
		name:      "gob",
		marshal:   func(v any) ([]byte, error) { return nil, enc.Encode(v) },
		unmarshal: func(_ []byte, v any) error { return in.Decode(v) },
	}
	for _, kind := range kinds {
		m, err := decodePeerMessage(stream, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := encodePeerMessage(stream, m); err != nil {
			t.Fatal(err)
		}
		var back frozenMessage
		if err := dec.Decode(&back); err != nil || !reflect.DeepEqual(back, messages[kind]) {
			t.Errorf("%s came back as %+v: %v", kind, back, err)
		}
	}
}
