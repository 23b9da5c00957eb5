package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The wire forms below are frozen. Links carry them as gob and recordings as CBOR, and
// both match fields by name without reporting a mismatch: a field that is renamed here
// arrives empty at a controller of another version. Fields may be added, never renamed.
// The types are named after the fields that hold them, and gob sends those names, too.
// convert.go maps all of them to the messages that the code works with; frozen_test.go
// has an independent copy of them.

// WireMessage is the form of a Message on links and in recordings. Exactly one field is
// set, or none in a message of a kind that a later version has added.
type WireMessage struct {
	Beat    *wireBeat
	Ask     *wireAsk
	Vouch   *wireVouch
	Forward *wireForward
	Return  *wireForward
	Draw    *wireDraw
	Offer   *wireOffer
	Carry   *wireCarry
	Carried *wireCarried
	Pass    *wirePass
}

// wireBeat is the wire form of a Heartbeat.
type wireBeat struct {
	FreshMS   int64
	Hungry    bool
	Lit, Dark []string
	Deaf      []string
	Unkept    []string
	Rows      []wireRow
}

// wireRow is the wire form of a connectivity.LinkReport. It has JSON tags because CBOR names
// fields by them; gob does not.
type wireRow struct {
	Node    string         `json:"node"`
	AgeMS   int64          `json:"ageMs"`
	StateMS int64          `json:"stateMs"`
	FreshMS int64          `json:"freshMs"`
	Deaf    bool           `json:"deaf"`
	Hungry  bool           `json:"hungry"`
	Hears   []string       `json:"hears"`
	Zones   []wireZoneWord `json:"zones"`
	CloudMS int64          `json:"cloudMs"`
	NoCloud bool           `json:"noCloud"`
}

// wireZoneWord is the wire form of a connectivity.ZoneReport.
type wireZoneWord struct {
	Zone    string `json:"zone"`
	Held    int    `json:"held"`
	HeardMS int64  `json:"heardMs"`
	Lost    bool   `json:"lost"`
}

// wireAsk is the wire form of a CancellationQuery.
type wireAsk struct {
	At     time.Duration
	Ledger uint64
	Life   int64
}

// wireVouch is the wire form of a CancellationReply.
type wireVouch struct {
	At        time.Duration
	Cancelled []string
	Life      int64
}

// wireForward is the wire form of a TaskHandoff, both for a handoff and for its return.
type wireForward struct {
	Job   string
	Tasks []int
}

// wireDraw is the wire form of a RoomRequest.
type wireDraw struct {
	Job      string
	Machines []string
}

// wireOffer is the wire form of a RoomOffer.
type wireOffer struct {
	Job      string
	Machines []wireOffered
}

// wireOffered is the wire form of an OfferedMachine.
type wireOffered struct {
	Machine string
	Session uint64
}

// wireCarry is the wire form of a connectivity.RelayRequest.
type wireCarry struct {
	Life      int64
	ID        uint64
	Method    string
	Path      string
	Body      []byte
	TimeoutMS int64
}

// wireCarried is the wire form of a connectivity.RelayResponse.
type wireCarried struct {
	Life       int64
	ID         uint64
	Sum        uint64
	Status     int
	Sent       bool
	RetryAfter int
	Body       []byte
	Large      bool
}

// wirePass is the wire form of a ForwardedMessage.
type wirePass struct {
	From, To string
	Ask      *wireAsk
	Vouch    *wireVouch
}

// Wire returns the wire form of the message. It shares slices with the message, which
// must not change before it is encoded.
func (m Message) Wire() WireMessage {
	return WireMessage{
		Beat:    m.Heartbeat.wire(),
		Ask:     m.CancellationQuery.wire(),
		Vouch:   m.CancellationReply.wire(),
		Forward: m.Handoff.wire(),
		Return:  m.HandoffReturn.wire(),
		Draw:    m.RoomRequest.wire(),
		Offer:   m.RoomOffer.wire(),
		Carry:   wireRelayRequest(m.RelayRequest),
		Carried: wireRelayResponse(m.RelayResponse),
		Pass:    m.Forwarded.wire(),
	}
}

// Message returns the message that has this wire form. It shares slices with the form.
func (w *WireMessage) Message() Message {
	return Message{
		Heartbeat:         w.Beat.message(),
		CancellationQuery: w.Ask.message(),
		CancellationReply: w.Vouch.message(),
		Handoff:           w.Forward.message(),
		HandoffReturn:     w.Return.message(),
		RoomRequest:       w.Draw.message(),
		RoomOffer:         w.Offer.message(),
		RelayRequest:      w.Carry.message(),
		RelayResponse:     w.Carried.message(),
		Forwarded:         w.Pass.message(),
	}
}

// MarshalCBOR encodes the message as recordings hold it.
func (m Message) MarshalCBOR() ([]byte, error) {
	w := m.Wire()
	return cbor.Marshal(&w)
}

// UnmarshalCBOR decodes a message as recordings hold it.
func (m *Message) UnmarshalCBOR(data []byte) error {
	var w WireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return err
	}
	*m = w.Message()
	return nil
}
