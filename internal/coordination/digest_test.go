package coordination

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvergate/internal/peer"
)

// digestVariable is the environment variable that names the file to which each simulated day
// appends a line with the digest of its effects.
const digestVariable = "SIM_DIGEST"

// effectsDigest hashes every effect of every core on a simulated day, in order. Two versions of the
// core with the same digest for a day behaved identically on that day.
type effectsDigest struct {
	day     string // name of the test and seed
	hash    *xxhash.Digest
	effects int
	buffer  []byte
}

// digestLines serializes the writing of lines by days that are simulated in parallel, and counts
// the days of one test that have the same seed.
var digestLines = struct {
	sync.Mutex
	days map[string]int
}{days: map[string]int{}}

// newEffectsDigest returns a digest whose line is written at the end of the test. It returns nil, a
// digest that ignores all effects, unless SIM_DIGEST is set.
func newEffectsDigest(t testing.TB, seed uint64) *effectsDigest {
	file := os.Getenv(digestVariable)
	if file == "" {
		return nil
	}
	d := &effectsDigest{day: fmt.Sprintf("%s %d", t.Name(), seed), hash: xxhash.New()}
	t.Cleanup(func() {
		if err := d.appendLine(file); err != nil {
			t.Error(err)
		}
	})
	return d
}

// add hashes the effects of one step of a controller at a time.
func (d *effectsDigest) add(node string, now time.Duration, e Effects) {
	if d == nil {
		return
	}
	count := len(e.Responses) + len(e.Calls) + len(e.Sends)
	if count == 0 {
		return
	}
	if d.effects == 0 {
		d.day = numberDay(d.day)
	}
	d.effects += count
	d.buffer = appendValue(d.buffer[:0], reflect.ValueOf(node))
	d.buffer = appendValue(d.buffer, reflect.ValueOf(now))
	d.buffer = appendValue(d.buffer, reflect.ValueOf(e))
	_, _ = d.hash.Write(d.buffer)
}

// numberDay appends a number to the second and further days of one test with the same seed, so that
// their lines differ.
func numberDay(day string) string {
	digestLines.Lock()
	defer digestLines.Unlock()
	digestLines.days[day]++
	if nth := digestLines.days[day]; nth > 1 {
		return fmt.Sprintf("%s#%d", day, nth)
	}
	return day
}

// appendLine appends the day's line to the file. It writes no line for a simulation without effects.
func (d *effectsDigest) appendLine(file string) error {
	if d.effects == 0 {
		return nil
	}
	digestLines.Lock()
	defer digestLines.Unlock()
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(f, "%s %016x %d\n", d.day, d.hash.Sum64(), d.effects); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// appendValue encodes a value's kinds, lengths, nilness and contents, in the order of its fields. It
// omits names of types and fields, so that renaming them changes no digest, and sorts the entries of
// maps.
func appendValue(b []byte, v reflect.Value) []byte {
	b = append(b, byte(v.Kind()))
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return append(b, 1)
		}
		return append(b, 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.LittleEndian.AppendUint64(b, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return binary.LittleEndian.AppendUint64(b, v.Uint())
	case reflect.Float32, reflect.Float64:
		return binary.LittleEndian.AppendUint64(b, math.Float64bits(v.Float()))
	case reflect.String:
		return append(appendLength(b, v.Len()), v.String()...)
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return append(b, 0)
		}
		return appendValue(append(b, 1), v.Elem())
	case reflect.Slice:
		if v.IsNil() {
			return append(b, 0)
		}
		return appendElements(append(b, 1), v)
	case reflect.Array:
		return appendElements(b, v)
	case reflect.Map:
		if v.IsNil() {
			return append(b, 0)
		}
		return appendEntries(append(b, 1), v)
	case reflect.Struct:
		b = appendLength(b, v.NumField())
		for i := range v.NumField() {
			b = appendValue(b, v.Field(i))
		}
		return b
	default:
		panic(fmt.Sprintf("an effect contains a %v, which the digest does not support", v.Type()))
	}
}

func appendLength(b []byte, n int) []byte { return binary.LittleEndian.AppendUint64(b, uint64(n)) }

func appendElements(b []byte, v reflect.Value) []byte {
	b = appendLength(b, v.Len())
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		return append(b, v.Bytes()...)
	}
	for i := range v.Len() {
		b = appendValue(b, v.Index(i))
	}
	return b
}

func appendEntries(b []byte, v reflect.Value) []byte {
	var entries [][]byte
	for it := v.MapRange(); it.Next(); {
		entries = append(entries, appendValue(appendValue(nil, it.Key()), it.Value()))
	}
	slices.SortFunc(entries, bytes.Compare)
	b = appendLength(b, len(entries))
	for _, entry := range entries {
		b = append(b, entry...)
	}
	return b
}

// TestDigestsOfDifferentEffectsDiffer checks that various differences between effects change the digest, and
// that names and the order of maps don't.
func TestDigestsOfDifferentEffectsDiffer(t *testing.T) {
	encoded := func(v any) string { return string(appendValue(nil, reflect.ValueOf(v))) }
	base := func() Effects {
		return Effects{
			Responses: []Response{{ID: 1, Status: 200, Body: []byte("{}"), RetryAfter: 2}},
			Sends:     []Outgoing{{To: "n1", Message: peer.Message{Handoff: &peer.TaskHandoff{Job: "j", Tasks: []int{1, 2}}}}},
		}
	}
	for name, change := range map[string]func(e *Effects){
		"status":       func(e *Effects) { e.Responses[0].Status = 201 },
		"body":         func(e *Effects) { e.Responses[0].Body = []byte("[]") },
		"urgent":       func(e *Effects) { e.Responses[0].Urgent = true },
		"recipient":    func(e *Effects) { e.Sends[0].To = "n2" },
		"order":        func(e *Effects) { slices.Reverse(e.Sends[0].Message.Handoff.Tasks) },
		"kind":         func(e *Effects) { m := &e.Sends[0].Message; m.HandoffReturn, m.Handoff = m.Handoff, nil },
		"empty or nil": func(e *Effects) { e.Sends[0].Message.Heartbeat = &peer.Heartbeat{} },
		"none":         func(e *Effects) { e.Sends = nil },
	} {
		changed := base()
		change(&changed)
		if encoded(changed) == encoded(base()) {
			t.Errorf("%s: the difference does not change the digest", name)
		}
	}
	type before struct{ Lit map[string]int }
	type after struct{ Heard map[string]int }
	if encoded(before{map[string]int{"a": 1, "b": 2}}) != encoded(after{map[string]int{"b": 2, "a": 1}}) {
		t.Error("the digest depends on names or on the order of a map")
	}
}
