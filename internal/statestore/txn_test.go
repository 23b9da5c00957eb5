package statestore

import (
	"encoding/json"
	"testing"
)

// FuzzTxn guards against transactions that decodeTxn accepts although they exceed the limits
// or are malformed.
func FuzzTxn(f *testing.F) {
	for _, s := range []string{
		`{}`,
		`{"if":[{"key":"a","stamp":0}],"then":[{"write":"a/b","data":{"x":[1]},"permit":7},{"drop":"c"}]}`,
		`{"then":[{"write":"a"}]}`,
		`{"then":[{"write":"a","drop":"b","data":1}]}`,
		`[]`,
		`{"if":[{"key":"a b","stamp":-1}]}`,
		"null",
	} {
		f.Add([]byte(s))
	}
	const maxValueBytes = 102 // 0.1 KiB
	limits := Limits{RPS: 100, WriteRPS: 100, ValueKB: 0.1, TxnOps: 2}
	f.Fuzz(func(t *testing.T, body []byte) {
		txn, err := decodeTxn(body, limits)
		if err != nil {
			return
		}
		if len(txn.Ops) > 2 || len(txn.Compares) > 8 {
			t.Fatalf("accepted too many operations or comparisons: %+v", txn)
		}
		for _, op := range txn.Ops {
			if (op.Put == "") == (op.Delete == "") || checkKey(op.Put+op.Delete) != nil || len(op.Value) > maxValueBytes || op.Put != "" && !json.Valid(op.Value) {
				t.Fatalf("accepted a malformed operation: %+v", op)
			}
		}
	})
}
