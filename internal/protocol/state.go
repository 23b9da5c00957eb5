package protocol

import "encoding/json"

// Paths of the state service's interface.
const (
	// PathKeys returns a key or a page of keys.
	PathKeys = "/keys"
	// PathTxn accepts transactions.
	PathTxn = "/txn"
	// PathLeases accepts requests for leases; each lease has a path of its own below it.
	PathLeases = "/grants"
	// PathKeepAlive is appended to a lease's path to renew the lease.
	PathKeepAlive = "touch"
	// PathWatch returns the changes after a revision, as soon as there are any.
	PathWatch = "/watch"
)

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"data"`
	// ModRevision is the revision of the key's last change.
	ModRevision uint64 `json:"stamp"`
	Lease       uint64 `json:"permit"` // the key is deleted when it ends; 0: none
	// Revision is the store's revision as of the read of a single key, whether or not the
	// key exists. A KeyValuePage has its own.
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

// Compare requires a key to have the given mod revision; 0 means that the key must not
// exist.
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
	// Failed lists the keys whose comparisons did not hold. If it is empty, the transaction
	// is committed.
	Failed []string `json:"failed"`
}

// WatchResult answers a watch.
type WatchResult struct {
	Revision uint64       `json:"ledger"` // after which the next watch continues
	Events   []WatchEvent `json:"news"`
}

// WatchEvent is one change of a key: a write with its value, or a deletion.
type WatchEvent struct {
	Put         string          `json:"write"`
	Delete      string          `json:"drop"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// LeaseRequest asks for a lease, which ends when it has not been kept alive for TTLMs.
type LeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseResponse answers a LeaseRequest.
type LeaseResponse struct {
	Lease uint64 `json:"permit"` // its id
}
