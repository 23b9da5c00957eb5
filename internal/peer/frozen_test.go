package peer

import "time"

// Links carry peer messages as gob and recordings hold them as CBOR. Both match fields by
// their names. The types here are a copy of those that deployed controllers and existing
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

// frozenRow has the JSON tags of the type it copies: CBOR names fields by them, gob does not.
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

// frozenMessages returns a message of each kind, with every field set, under the name of the
// kind's field.
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
