package protocol

import "encoding/json"

// Paths of the state service's interface.
const (
	// PathKeys gives a key or a page of keys.
	PathKeys = "/keys"
	// PathTxn takes transactions.
	PathTxn = "/txn"
	// PathLeases takes requests for leases; below it each lease has a path of its own.
	PathLeases = "/grants"
	// PathKeepAlive follows a lease's path.
	PathKeepAlive = "touch"
	// PathWatch gives the changes after a revision, as soon as there are any.
	PathWatch = "/watch"
)

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"data"`
	// ModRevision is the revision of the key's last change.
	ModRevision uint64 `json:"stamp"`
	Lease       uint64 `json:"permit"` // the key goes with it; 0: none
	// Revision is the store's, as of the read of a single key, also of one that does not
	// exist; a page has its own.
	Revision uint64 `json:"ledger"`
}

// KeyValuePage is a page of keys, in their order.
type KeyValuePage struct {
	KeyValues []KeyValue `json:"entries"`
	Truncated bool       `json:"truncated"` // there are more after the last
	Revision  uint64     `json:"ledger"`
}

// Txn is a transaction: if all comparisons hold, all operations are applied as one
// revision.
type Txn struct {
	Compares []Compare `json:"if"`
	Ops      []Op      `json:"then,omitempty"`
}

// Compare demands that a key has a mod revision; 0 means that it does not exist.
type Compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Op writes a key, or deletes one. Exactly one of Put and Delete names it.
type Op struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Revision uint64 `json:"ledger"`
	// Failed are the keys whose comparisons did not hold; with none it is committed.
	Failed []string `json:"failed"`
}

// WatchResult answers a watch.
type WatchResult struct {
	Revision uint64       `json:"ledger"` // to go on from
	Events   []WatchEvent `json:"news"`
}

// WatchEvent is one change of a key: a write with its value, or a deletion.
type WatchEvent struct {
	Put         string          `json:"write"`
	Delete      string          `json:"drop"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// LeaseRequest asks for a lease, which ends when it was not kept alive for a time.
type LeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseResponse answers a LeaseRequest.
type LeaseResponse struct {
	Lease uint64 `json:"permit"` // its number
}
