package statestore

import (
	"encoding/json"
	"fmt"

	"silvergate/internal/protocol"
)

// A transaction is decoded into these types, whose pointers distinguish a missing field from
// a zero one. They are aliases of unnamed types and their field names must not change,
// because the decoder writes both into the errors that clients receive.
type (
	encodedCompare = struct {
		Key   *string `json:"key"`
		Stamp *uint64 `json:"stamp"`
	}
	encodedOp = struct {
		Write  *string         `json:"write"`
		Data   json.RawMessage `json:"data"`
		Permit *uint64         `json:"permit"`
		Drop   *string         `json:"drop"`
	}
	encodedTxn = struct {
		If   []encodedCompare `json:"if"`
		Then []encodedOp      `json:"then"`
	}
)

// decodeTxn decodes a transaction and checks it against the limits. Its errors are sent to
// the client.
func decodeTxn(body []byte, limits Limits) (*protocol.Txn, error) {
	var encoded encodedTxn
	if err := protocol.DecodeObject(body, &encoded); err != nil {
		return nil, err
	}
	if len(encoded.Then) > limits.TxnOps {
		return nil, fmt.Errorf("then: more than %d writes and drops", limits.TxnOps)
	}
	if maxCompares := comparesPerOp * limits.TxnOps; len(encoded.If) > maxCompares {
		return nil, fmt.Errorf("if: more than %d conditions", maxCompares)
	}
	txn := &protocol.Txn{}
	for i, c := range encoded.If {
		compare, err := decodeCompare(i, c)
		if err != nil {
			return nil, err
		}
		txn.Compares = append(txn.Compares, compare)
	}
	for i, o := range encoded.Then {
		op, err := decodeOp(i, o, limits)
		if err != nil {
			return nil, err
		}
		txn.Ops = append(txn.Ops, op)
	}
	return txn, nil
}

// decodeCompare decodes a transaction's comparison; index is its position, for errors.
func decodeCompare(index int, c encodedCompare) (protocol.Compare, error) {
	if c.Key == nil || c.Stamp == nil {
		return protocol.Compare{}, fmt.Errorf("if[%d]: key or stamp is missing", index)
	}
	if err := checkKey(*c.Key); err != nil {
		return protocol.Compare{}, fmt.Errorf("if[%d].key: %w", index, err)
	}
	return protocol.Compare{Key: *c.Key, ModRevision: *c.Stamp}, nil
}

// decodeOp decodes a transaction's operation; index is its position, for errors.
func decodeOp(index int, o encodedOp, limits Limits) (protocol.Op, error) {
	switch {
	case (o.Write == nil) == (o.Drop == nil):
		return protocol.Op{}, fmt.Errorf("then[%d]: must have either write or drop", index)
	case o.Write != nil && o.Data == nil:
		return protocol.Op{}, fmt.Errorf("then[%d].data: missing", index)
	case float64(len(o.Data)) > limits.ValueKB*1024:
		return protocol.Op{}, fmt.Errorf("then[%d].data: larger than %g KiB", index, limits.ValueKB)
	}
	if o.Drop != nil {
		if err := checkKey(*o.Drop); err != nil {
			return protocol.Op{}, fmt.Errorf("then[%d].drop: %w", index, err)
		}
		return protocol.Op{Delete: *o.Drop}, nil
	}
	if err := checkKey(*o.Write); err != nil {
		return protocol.Op{}, fmt.Errorf("then[%d].write: %w", index, err)
	}
	op := protocol.Op{Put: *o.Write, Value: o.Data}
	if o.Permit != nil {
		op.Lease = *o.Permit
	}
	return op, nil
}
