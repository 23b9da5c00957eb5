package statestore

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/protocol"
)

// storeModel is the expected state of a store: plain maps and every change ever made.
type storeModel struct {
	keys     map[string]modelValue
	revision uint64
	leases   map[uint64]bool
	history  []changeEvent
}

type modelValue struct {
	value           string
	revision, lease uint64
}

func (m *storeModel) put(op protocol.Op, revision uint64) {
	m.keys[op.Put] = modelValue{string(op.Value), revision, op.Lease}
	m.history = append(m.history, changeEvent{op.Put, op.Value, revision})
}

// delete deletes a key and reports whether it existed.
func (m *storeModel) delete(key string, revision uint64) bool {
	if _, exists := m.keys[key]; !exists {
		return false
	}
	delete(m.keys, key)
	m.history = append(m.history, changeEvent{key, nil, revision})
	return true
}

// removeLease requires that the result of a lease's removal agrees with the model, and removes
// the lease and its keys from the model.
func (m *storeModel) removeLease(t *rapid.T, lease uint64, got result) {
	if got.leaseNotFound == m.leases[lease] {
		t.Fatalf("removal of lease %d: not found is %v, which the model contradicts", lease, got.leaseNotFound)
	}
	delete(m.leases, lease)
	next, changed := m.revision+1, false
	for _, key := range slices.Sorted(maps.Keys(m.keys)) {
		if m.keys[key].lease == lease {
			m.delete(key, next)
			changed = true
		}
	}
	if changed {
		m.revision = next
	}
}

// applyTxn requires that a transaction's result agrees with the model, and applies the
// transaction to the model.
func (m *storeModel) applyTxn(t *rapid.T, txn *protocol.Txn, got result) {
	var failed []string
	for _, c := range txn.Compares {
		if m.keys[c.Key].revision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	leaseMissing := false
	for _, op := range txn.Ops {
		leaseMissing = leaseMissing || op.Lease != 0 && !m.leases[op.Lease]
	}
	if got.leaseExpired != leaseMissing || !leaseMissing && !slices.Equal(failed, got.failed) {
		t.Fatalf("%+v: result %+v, expected failed compares %v, missing lease %v", txn, got, failed, leaseMissing)
	}
	if leaseMissing || failed != nil {
		return
	}
	next, changed := m.revision+1, false
	for _, op := range txn.Ops {
		if op.Put != "" {
			m.put(op, next)
			changed = true
		} else if m.delete(op.Delete, next) {
			changed = true
		}
	}
	if changed {
		m.revision = next
	}
	if got.revision != m.revision {
		t.Fatalf("revision %d, expected %d", got.revision, m.revision)
	}
}

var randomKey = rapid.SampledFrom([]string{"a", "a/b", "a/c", "b", "ab"})

// randomTxn returns a random transaction, about half of whose comparisons hold.
func (m *storeModel) randomTxn(t *rapid.T) *protocol.Txn {
	txn := &protocol.Txn{}
	for range rapid.IntRange(0, 2).Draw(t, "compares") {
		key := randomKey.Draw(t, "key")
		revision := rapid.SampledFrom([]uint64{0, m.keys[key].revision}).Draw(t, "revision")
		txn.Compares = append(txn.Compares, protocol.Compare{Key: key, ModRevision: revision})
	}
	for range rapid.IntRange(0, 3).Draw(t, "ops") {
		key := randomKey.Draw(t, "key")
		if rapid.Bool().Draw(t, "delete") {
			txn.Ops = append(txn.Ops, protocol.Op{Delete: key})
			continue
		}
		value := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value"))
		lease := rapid.Uint64Range(0, 3).Draw(t, "lease")
		txn.Ops = append(txn.Ops, protocol.Op{Put: key, Value: json.RawMessage(value), Lease: lease})
	}
	return txn
}

// randomRequest returns a random request and a function that checks its result and applies the
// request to the model.
func (m *storeModel) randomRequest(t *rapid.T) (request, func(result)) {
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return request{ttl: time.Second}, func(got result) { m.leases[got.lease] = true }
	case 1:
		lease := rapid.Uint64Range(1, 6).Draw(t, "lease")
		return request{leaseToRemove: lease}, func(got result) { m.removeLease(t, lease, got) }
	default:
		txn := m.randomTxn(t)
		return request{txn: txn}, func(got result) { m.applyTxn(t, txn, got) }
	}
}

// commitRandomBatch commits random requests in one batch, checks their results and applies
// the requests to the model.
func (m *storeModel) commitRandomBatch(t *rapid.T, d *disk) {
	var batch []request
	var apply []func(result)
	for range rapid.IntRange(1, 4).Draw(t, "requests") {
		r, applyResult := m.randomRequest(t)
		batch = append(batch, r)
		apply = append(apply, applyResult)
	}
	results, _, err := d.commit(batch)
	if err != nil {
		t.Fatal(err)
	}
	for i := range results {
		apply[i](results[i])
	}
}

// requireKeys requires that a scan of all keys agrees with the model.
func (m *storeModel) requireKeys(t *rapid.T, d *disk) {
	var got []string
	revision, err := d.scan("", "", func(k []byte, r keyRecord) bool {
		got = append(got, string(k))
		if want := m.keys[string(k)]; want != (modelValue{string(r.value), r.modRevision, r.lease}) {
			t.Fatalf("%s: %+v, expected %+v", k, r, want)
		}
		return true
	})
	want := slices.Sorted(maps.Keys(m.keys))
	if err != nil || revision != m.revision || !slices.Equal(got, want) {
		t.Fatalf("%v at %d: %v; expected %v at %d", got, revision, err, want, m.revision)
	}
}

// requireChanges requires that the changes after a random revision agree with the model. The
// store may report them as dropped only if they are more than it retains.
func (m *storeModel) requireChanges(t *rapid.T, d *disk, retainedEvents int) {
	from := rapid.Uint64Range(0, m.revision).Draw(t, "from")
	var got, want []changeEvent
	_, retained, err := d.changes(from, func(c changeEvent) { got = append(got, c) })
	for _, c := range m.history {
		if c.revision > from {
			want = append(want, c)
		}
	}
	if err != nil || !retained && len(want) <= retainedEvents || retained && fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("changes after %d (retained %v): %v %v, expected %v", from, retained, err, got, want)
	}
}

// TestDiskAgreesWithModel guards against results, keys, leases or changes that differ from a
// plain map's. It commits random batches of random requests, sometimes reopens the file, and
// compares all that can be read with the model.
func TestDiskAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "statestore")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		retainedEvents := rapid.IntRange(1, 20).Draw(t, "retained events")
		d, err := openDisk(dir, retainedEvents)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { d.close() }()
		model := &storeModel{keys: map[string]modelValue{}, leases: map[uint64]bool{}}
		for range rapid.IntRange(1, 30).Draw(t, "commits") {
			model.commitRandomBatch(t, d)
			if rapid.IntRange(0, 4).Draw(t, "reopen") == 0 {
				if err := d.close(); err != nil {
					t.Fatal(err)
				}
				if d, err = openDisk(dir, retainedEvents); err != nil {
					t.Fatal(err)
				}
				if len(d.ttls) != len(model.leases) {
					t.Fatalf("%d leases, expected %d", len(d.ttls), len(model.leases))
				}
			}
			model.requireKeys(t, d)
			model.requireChanges(t, d, retainedEvents)
		}
	})
}
