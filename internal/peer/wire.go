package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The wire forms below are frozen. Links carry them as gob and recordings as CBOR, and
// both match fields by their names, silently: a field that is renamed here arrives
// empty at a controller of another version. Fields may be added, never renamed.

// WireMessage is the form of a Message on links and in recordings.
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

type wireBeat struct {
	FreshMS   int64
	Hungry    bool
	Lit, Dark []string
	Deaf      []string
	Unkept    []string
	Rows      []wireRow
}

// wireRow has JSON tags because CBOR names fields by them; gob does not.
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

type wireZoneWord struct {
	Zone    string `json:"zone"`
	Held    int    `json:"held"`
	HeardMS int64  `json:"heardMs"`
	Lost    bool   `json:"lost"`
}

type wireAsk struct {
	At     time.Duration
	Ledger uint64
	Life   int64
}

type wireVouch struct {
	At        time.Duration
	Cancelled []string
	Life      int64
}

type wireForward struct {
	Job   string
	Tasks []int
}

type wireDraw struct {
	Job      string
	Machines []string
}

type wireOffer struct {
	Job      string
	Machines []wireOffered
}

type wireOffered struct {
	Machine string
	Session uint64
}

type wireCarry struct {
	Life      int64
	ID        uint64
	Method    string
	Path      string
	Body      []byte
	TimeoutMS int64
}

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

type wirePass struct {
	From, To string
	Ask      *wireAsk
	Vouch    *wireVouch
}

// Wire is the message in its form on links.
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

// Message is the message that a wire form stands for.
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

// MarshalCBOR writes the form that stands in recordings.
func (m Message) MarshalCBOR() ([]byte, error) {
	w := m.Wire()
	return cbor.Marshal(&w)
}

// UnmarshalCBOR reads the form that stands in recordings.
func (m *Message) UnmarshalCBOR(data []byte) error {
	var w WireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return err
	}
	*m = w.Message()
	return nil
}
