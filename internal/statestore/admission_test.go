package statestore

import (
	"strings"
	"testing"
	"time"
)

// TestRefusalsKeepTheirStatusAndText pins the status and the body of refusals, which
// clients and people read. Some bodies contain the Go type that a request was decoded
// into, so renaming a field of that type would change them.
func TestRefusalsKeepTheirStatusAndText(t *testing.T) {
	longKey := strings.Repeat("k", 201)
	cases := []struct {
		name, method, path, query, body string
		status                          int
		want                            string
	}{
		{"unknown path", "GET", "/nothing", "", "", 404, `{"error":"no such path"}`},
		{"wrong method for a key", "POST", "/keys/a", "", "", 405, `{"error":"use GET"}`},
		{"wrong method for a list", "POST", "/keys", "", "", 405, `{"error":"use GET"}`},
		{"wrong method for a transaction", "GET", "/txn", "", "", 405, `{"error":"use POST"}`},
		{"wrong method for a lease", "GET", "/grants", "", "", 405, `{"error":"use POST"}`},
		{"wrong method for a watch", "POST", "/watch", "", "", 405, `{"error":"use GET"}`},
		{"empty key", "GET", "/keys/", "", "", 400, `{"error":"key: must have 1 to 200 bytes"}`},
		{"long key", "GET", "/keys/" + longKey, "", "", 400, `{"error":"key: must have 1 to 200 bytes"}`},
		{"key with a space", "GET", "/keys/a%20b", "", "", 400, `{"error":"key: must be text without spaces"}`},
		{"key with a bad escape", "GET", "/keys/a%2", "", "", 400, `{"error":"key: invalid URL escape \"%2\""}`},
		{"malformed query", "GET", "/keys", "a=%2", "", 400, `{"error":"the query is malformed"}`},
		{"long prefix", "GET", "/keys", "under=" + longKey, "", 400, `{"error":"under: must be text of at most 200 bytes"}`},
		{"long start of a page", "GET", "/keys", "from=" + longKey, "", 400, `{"error":"from: must be text of at most 200 bytes"}`},
		{"page of no keys", "GET", "/keys", "page=0", "", 400, `{"error":"page: must be at least 1"}`},
		{"page that is no number", "GET", "/keys", "page=x", "", 400, `{"error":"page: must be a number from 0 to 4611686018427387904"}`},
		{"watch from no number", "GET", "/watch", "from=-1", "", 400, `{"error":"from: must be a number from 0 to 18446744073709551615"}`},
		{"watch that blocks too long", "GET", "/watch", "blockMs=60001", "", 400, `{"error":"blockMs: must be a number from 0 to 60000"}`},
		{"transaction that is no object", "POST", "/txn", "", "[]", 400, `{"error":"the body is not a JSON object"}`},
		{"malformed transaction", "POST", "/txn", "", "{", 400, `{"error":"the body is malformed: unexpected end of JSON input"}`},
		{"comparisons of a wrong type", "POST", "/txn", "", `{"if":7}`, 400, `{"error":"the body is malformed: json: cannot unmarshal number into Go struct field .if of type []struct { Key *string \"json:\\\"key\\\"\"; Stamp *uint64 \"json:\\\"stamp\\\"\" }"}`},
		{"comparison of a wrong type", "POST", "/txn", "", `{"if":[7]}`, 400, `{"error":"the body is malformed: json: cannot unmarshal number into Go struct field .if of type struct { Key *string \"json:\\\"key\\\"\"; Stamp *uint64 \"json:\\\"stamp\\\"\" }"}`},
		{"compared revision of a wrong type", "POST", "/txn", "", `{"if":[{"key":"a","stamp":"x"}]}`, 400, `{"error":"the body is malformed: json: cannot unmarshal string into Go struct field .if.stamp of type uint64"}`},
		{"operation of a wrong type", "POST", "/txn", "", `{"then":[7]}`, 400, `{"error":"the body is malformed: json: cannot unmarshal number into Go struct field .then of type struct { Write *string \"json:\\\"write\\\"\"; Data json.RawMessage \"json:\\\"data\\\"\"; Permit *uint64 \"json:\\\"permit\\\"\"; Drop *string \"json:\\\"drop\\\"\" }"}`},
		{"written key of a wrong type", "POST", "/txn", "", `{"then":[{"write":7}]}`, 400, `{"error":"the body is malformed: json: cannot unmarshal number into Go struct field .then.write of type string"}`},
		{"lease of a wrong type", "POST", "/txn", "", `{"then":[{"permit":-1}]}`, 400, `{"error":"the body is malformed: json: cannot unmarshal number -1 into Go struct field .then.permit of type uint64"}`},
		{"too many operations", "POST", "/txn", "", `{"then":[{},{},{}]}`, 400, `{"error":"then: more than 2 writes and drops"}`},
		{"too many comparisons", "POST", "/txn", "", `{"if":[{},{},{},{},{},{},{},{},{}]}`, 400, `{"error":"if: more than 8 conditions"}`},
		{"comparison without a key", "POST", "/txn", "", `{"if":[{"stamp":1}]}`, 400, `{"error":"if[0]: key or stamp is missing"}`},
		{"comparison without a revision", "POST", "/txn", "", `{"if":[{"key":"a"}]}`, 400, `{"error":"if[0]: key or stamp is missing"}`},
		{"comparison of a bad key", "POST", "/txn", "", `{"if":[{"key":"a","stamp":1},{"key":"a b","stamp":1}]}`, 400, `{"error":"if[1].key: must be text without spaces"}`},
		{"neither write nor drop", "POST", "/txn", "", `{"then":[{}]}`, 400, `{"error":"then[0]: must have either write or drop"}`},
		{"both write and drop", "POST", "/txn", "", `{"then":[{"write":"a","data":1,"drop":"b"}]}`, 400, `{"error":"then[0]: must have either write or drop"}`},
		{"write without data", "POST", "/txn", "", `{"then":[{"write":"a"}]}`, 400, `{"error":"then[0].data: missing"}`},
		{"large data", "POST", "/txn", "", `{"then":[{"write":"a","data":"` + strings.Repeat("x", 2048) + `"}]}`, 400, `{"error":"then[0].data: larger than 1 KiB"}`},
		{"write of a bad key", "POST", "/txn", "", `{"then":[{"drop":"a"},{"write":"","data":1}]}`, 400, `{"error":"then[1].write: must have 1 to 200 bytes"}`},
		{"drop of a bad key", "POST", "/txn", "", `{"then":[{"drop":""}]}`, 400, `{"error":"then[0].drop: must have 1 to 200 bytes"}`},
		{"write with an unknown lease", "POST", "/txn", "", `{"then":[{"write":"a","data":1,"permit":9}]}`, 400, `{"error":"no such lease"}`},
		{"lease that is no object", "POST", "/grants", "", "7", 400, `{"error":"the body is not a JSON object"}`},
		{"lease of a wrong type", "POST", "/grants", "", `{"ttlMs":"x"}`, 400, `{"error":"the body is malformed: json: cannot unmarshal string into Go struct field .ttlMs of type int64"}`},
		{"lease without a duration", "POST", "/grants", "", `{}`, 400, `{"error":"ttlMs: must be from 100 to 600000"}`},
		{"lease too short", "POST", "/grants", "", `{"ttlMs":99}`, 400, `{"error":"ttlMs: must be from 100 to 600000"}`},
		{"lease too long", "POST", "/grants", "", `{"ttlMs":600001}`, 400, `{"error":"ttlMs: must be from 100 to 600000"}`},
		{"malformed lease number", "POST", "/grants/x/touch", "", "", 400, `{"error":"the grant's number is malformed"}`},
		{"unknown action on a lease", "POST", "/grants/1/other", "", "", 404, `{"error":"no such path"}`},
		{"wrong method for a renewal", "GET", "/grants/1/touch", "", "", 405, `{"error":"method not allowed"}`},
		{"wrong method for an end", "POST", "/grants/1", "", "", 405, `{"error":"method not allowed"}`},
		{"renewal of an unknown lease", "POST", "/grants/9/touch", "", "", 404, `{"error":"no such lease"}`},
		{"end of an unknown lease", "DELETE", "/grants/9", "", "", 404, `{"error":"no such lease"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limits := Limits{RPS: 10, WriteRPS: 6, ValueKB: 1, TxnOps: 2}
			a := newAdmission(limits, map[uint64]time.Duration{1: time.Second})
			got := a.admit(0, c.method, c.path, c.query, []byte(c.body))
			if got.status != c.status || string(got.body) != c.want {
				t.Errorf("got %d, `%s`", got.status, got.body)
			}
		})
	}
}

// TestRateRefusalsCarryRetryAfter covers the three refusals after which a client repeats its
// request: each must carry Retry-After and be counted.
func TestRateRefusalsCarryRetryAfter(t *testing.T) {
	limits := Limits{RPS: 4, WriteRPS: 3, ValueKB: 1, TxnOps: 3}
	cases := []struct {
		name   string
		before func(a *admission)
		status int
		want   string
	}{
		{"no request left", func(a *admission) { a.requests.tokens = 0 }, 429, `{"error":"more than 4 requests a second"}`},
		{"no change left", func(a *admission) { a.changes.tokens = 0 }, 429, `{"error":"more than 3 writes a second"}`},
		{"the disk is behind", func(a *admission) { a.pendingWrites = 4 }, 503, `{"error":"the disk can't follow; nothing was done"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAdmission(limits, nil)
			c.before(a)
			got := a.admit(0, "POST", "/txn", "", []byte(`{"then":[{"drop":"a"}]}`))
			if got.status != c.status || string(got.body) != c.want || got.retryAfter != 1 || a.refused != 1 {
				t.Errorf("got %d, `%s`, retry after %d s, %d counted as refused", got.status, got.body, got.retryAfter, a.refused)
			}
		})
	}
}

// TestRatesAllowBurstsOfASecond checks that the token buckets admit a burst of one second's
// worth of requests or changes, and no more, even after a long idle time.
func TestRatesAllowBurstsOfASecond(t *testing.T) {
	a := newAdmission(Limits{RPS: 10, WriteRPS: 6, ValueKB: 1, TxnOps: 3}, nil)
	// admitted repeats a request until a rate limit refuses it, and returns how many were admitted.
	admitted := func(method, path, body string) (count int) {
		for a.admit(0, method, path, "", []byte(body)).status != 429 {
			count++
		}
		return count
	}
	reads := func() int { return admitted("GET", "/keys/a", "") }
	if n := admitted("POST", "/txn", `{"then":[{"drop":"a"},{"drop":"b"},{"drop":"c"}]}`); n != 2 {
		t.Errorf("admitted %d transactions of 3 writes at 6 writes a second, want 2", n)
	}
	a.pendingWrites = 0
	if n := reads(); n != 7 { // two were admitted, and one was refused for its writes
		t.Errorf("admitted %d more requests, want 7", n)
	}
	a.advance(500 * time.Millisecond)
	if n := reads(); n != 5 {
		t.Errorf("admitted %d requests after half a second, want 5", n)
	}
	a.advance(time.Hour)
	if n := reads(); n != 10 {
		t.Errorf("admitted %d requests after an hour, want 10", n)
	}
}
