package stateclient

import (
	"net/http"
	"strconv"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// TxnOutcome is what is known about the execution of a transaction.
type TxnOutcome int

const (
	// Committed means that all comparisons held and all operations were executed.
	Committed TxnOutcome = iota
	// Conflict means that nothing was executed because at least one comparison failed.
	Conflict
	// NotExecuted means that nothing was executed and nothing will be.
	NotExecuted
	// LeaseExpired means that nothing was executed because the lease of a put does not
	// exist any more, for which the service refused the request.
	LeaseExpired
	// Unknown means that the transaction may have been, or may yet be, executed.
	Unknown
)

var txnOutcomeNames = [...]string{
	Committed:    "committed",
	Conflict:     "conflict",
	NotExecuted:  "not executed",
	LeaseExpired: "lease expired",
	Unknown:      "unknown",
}

// String returns the outcome's name.
func (o TxnOutcome) String() string {
	if o < 0 || int(o) >= len(txnOutcomeNames) {
		return "TxnOutcome(" + strconv.Itoa(int(o)) + ")"
	}
	return txnOutcomeNames[o]
}

// TxnCallback is called with the result of a transaction. After Conflict, failedKeys are the
// keys whose comparison failed. revision is that of the transaction after Committed, that of
// the service after Conflict, and otherwise 0.
type TxnCallback = func(outcome TxnOutcome, failedKeys []string, revision uint64)

// txnReply is the decoded reply to a transaction; see TxnCallback.
type txnReply struct {
	outcome    TxnOutcome
	failedKeys []string
	revision   uint64
}

// Txn queues a transaction that executes all of ops if every comparison holds, and otherwise
// nothing. done is called once; after Committed the mirror already has the changes. If the
// budget does not allow the request in time, the outcome is NotExecuted.
func (c *Client) Txn(class ratelimit.Class, compares []protocol.Compare, ops []protocol.Op, done TxnCallback) {
	c.enqueue(&request{
		class:    class,
		method:   http.MethodPost,
		path:     protocol.PathTxn,
		body:     protocol.Encode(protocol.Txn{Compares: compares, Ops: ops}),
		changes:  float64(len(ops)),
		deadline: c.now + txnQueueTimeout(class),
		done: func(reply protocol.Reply) {
			result := decodeTxnReply(reply)
			if result.outcome == Committed {
				c.applyOps(ops, result.revision)
			}
			done(result.outcome, result.failedKeys, result.revision)
		},
	})
}

func decodeTxnReply(reply protocol.Reply) txnReply {
	var result protocol.TxnResult
	switch reply.Status {
	case http.StatusOK:
		if protocol.DecodeState(reply.Body, &result) != nil {
			return txnReply{outcome: Unknown}
		}
		return txnReply{outcome: Committed, revision: result.Revision}
	case http.StatusConflict:
		// The status alone means that nothing was executed, so a decoding error doesn't matter.
		_ = protocol.DecodeState(reply.Body, &result)
		return txnReply{outcome: Conflict, failedKeys: result.Failed, revision: result.Revision}
	case http.StatusBadRequest:
		return txnReply{outcome: LeaseExpired}
	case 0: // no reply
		if reply.Sent {
			return txnReply{outcome: Unknown}
		}
	}
	return txnReply{outcome: NotExecuted}
}

// applyOps applies a committed transaction to the mirror, ahead of the watch.
func (c *Client) applyOps(ops []protocol.Op, revision uint64) {
	for _, op := range ops {
		if op.Put != "" {
			c.applyChange(op.Put, op.Value, revision)
		} else {
			c.applyChange(op.Delete, nil, revision)
		}
	}
}
