// Package conformance holds the sentences of the protocols about the state service,
// the cloud and the workers as tables of requests and expected answers. It runs the
// tables against every implementation of a protocol: the parts of the product, and the
// stand-ins with which the core is tested. So neither drifts from the protocols' pages.
//
// A table is text. A line that begins with "==" begins a case and quotes the sentence.
// ">" sends a request, and ">&" one whose answer is compared only later. "<" waits for
// the answer to the oldest request that has none yet, and compares it. ">~" sends a
// request, and sends it again until its answer is the expected one, for effects that take
// time. "~" lets time pass. A case marked "!" is about the form of requests, which only
// the product must check.
//
// An answer's pattern is JSON. Objects may have further fields. "$x" stores the value
// where it first occurs, and must equal the stored value from then on. ">$x" must be a
// number larger than the stored one, "*" is any value, and {"#":n} is a list of n
// elements. In requests, ${x} stands for the value of $x, and ${x+1} and ${x-1} for the
// numbers next to it.
package conformance

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// State, Cloud and Worker are the tables of the three protocols.
var (
	//go:embed state.txt
	State string
	//go:embed cloud.txt
	Cloud string
	//go:embed worker.txt
	Worker string
)

// Target is an implementation that a table is run against.
type Target interface {
	// Send sends a request. The returned function waits for the answer; status 0
	// means that none came.
	Send(method, path, body string) func() (status int, answer string)
	Sleep(d time.Duration)
}

// Run runs each case of a table as a subtest. newTarget returns the target of one case;
// strict also runs the cases about the form of requests.
func Run(t *testing.T, table string, strict bool, newTarget func(t *testing.T) Target) {
	name, lines := "", []string(nil)
	runCollected := func() {
		if name == "" || strings.HasPrefix(name, "!") && !strict {
			return
		}
		steps := lines
		t.Run(strings.Trim(name, "! "), func(t *testing.T) { runCase(t, steps, newTarget(t)) })
	}
	cases := 0
	for _, line := range strings.Split(table, "\n") {
		if rest, ok := strings.CutPrefix(line, "=="); ok {
			runCollected()
			name, lines = strings.TrimSpace(rest), nil
			cases++
		} else if strings.TrimSpace(line) != "" {
			lines = append(lines, line)
		}
	}
	runCollected()
	if cases == 0 {
		t.Fatal("the table has no cases")
	}
}

func runCase(t *testing.T, steps []string, target Target) {
	vars := map[string]any{}
	type request struct {
		line   string
		wait   func() (int, string)
		resend func() func() (int, string) // nil: the request is sent only once
	}
	var pending []request
	checks := 0
	for _, line := range steps {
		marker, rest, _ := strings.Cut(line, " ")
		switch marker {
		case ">", ">&", ">~":
			method, rest, _ := strings.Cut(expandVariables(t, rest, vars), " ")
			path, body, _ := strings.Cut(rest, " ")
			r := request{line: line, wait: target.Send(method, path, body)}
			if marker == ">~" {
				r.resend = func() func() (int, string) { return target.Send(method, path, body) }
			}
			pending = append(pending, r)
		case "<":
			if len(pending) == 0 {
				t.Fatalf("%s: no request is waiting for an answer", line)
			}
			r := pending[0]
			pending = pending[1:]
			wantStatus, pattern, _ := strings.Cut(rest, " ")
			var err error
			for tries := 0; tries == 0 || err != nil && r.resend != nil && tries < 300; tries++ {
				if tries > 0 {
					target.Sleep(100 * time.Millisecond)
					r.wait = r.resend()
				}
				status, answer := r.wait()
				if err = compareAnswer(status, answer, wantStatus, pattern, vars); err != nil {
					err = fmt.Errorf("%s\n got %d %.500s\nwant %s: %w", r.line, status, answer, rest, err)
				}
			}
			if err != nil {
				t.Fatal(err)
			}
			checks++
		case "~":
			duration, err := time.ParseDuration(rest)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			target.Sleep(duration)
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	if checks == 0 || len(pending) > 0 {
		t.Fatalf("the case compares %d answers and leaves %d requests without one", checks, len(pending))
	}
}

func compareAnswer(status int, answer, wantStatus, pattern string, vars map[string]any) error {
	if strconv.Itoa(status) != wantStatus {
		return errors.New("the status differs")
	}
	if pattern == "" {
		return nil
	}
	var decodedPattern, value any
	if err := json.Unmarshal([]byte(pattern), &decodedPattern); err != nil {
		return fmt.Errorf("the pattern in the table is not valid: %w", err)
	}
	if err := json.Unmarshal([]byte(answer), &value); err != nil {
		return err
	}
	return matchPattern(decodedPattern, value, vars)
}

var variable = regexp.MustCompile(`\$\{(\w+)([+-]1)?\}`)

func expandVariables(t *testing.T, text string, vars map[string]any) string {
	return variable.ReplaceAllStringFunc(text, func(reference string) string {
		parts := variable.FindStringSubmatch(reference)
		value, ok := vars[parts[1]]
		if !ok {
			t.Fatalf("%s: $%s has no value yet", text, parts[1])
		}
		if n, ok := value.(float64); ok {
			switch parts[2] {
			case "+1":
				n++
			case "-1":
				n--
			}
			return strconv.FormatFloat(n, 'f', -1, 64)
		}
		return fmt.Sprint(value)
	})
}

func matchPattern(pattern, value any, vars map[string]any) error {
	switch pattern := pattern.(type) {
	case string:
		if name, ok := strings.CutPrefix(pattern, ">$"); ok {
			bound, _ := vars[name].(float64)
			if number, ok := value.(float64); !ok || number <= bound {
				return fmt.Errorf("%v is not a number above %v", value, bound)
			}
			return nil
		}
		name, ok := strings.CutPrefix(pattern, "$")
		switch stored, isStored := vars[name]; {
		case pattern == "*":
			return nil
		case !ok:
		case isStored && !reflect.DeepEqual(stored, value):
			return fmt.Errorf("%v differs from the earlier value %v", value, stored)
		default:
			vars[name] = value
			return nil
		}
	case map[string]any:
		if n, ok := pattern["#"].(float64); ok {
			if list, ok := value.([]any); !ok || len(list) != int(n) {
				return fmt.Errorf("%.200v is not a list of length %g", value, n)
			}
			return nil
		}
		object, ok := value.(map[string]any)
		if !ok {
			return fmt.Errorf("%.200v is not an object", value)
		}
		for field, fieldPattern := range pattern {
			if _, present := object[field]; !present && fieldPattern != nil {
				return fmt.Errorf("field %s is missing", field)
			}
			if err := matchPattern(fieldPattern, object[field], vars); err != nil {
				return fmt.Errorf("%s: %w", field, err)
			}
		}
		return nil
	case []any:
		list, ok := value.([]any)
		if !ok || len(list) != len(pattern) {
			return fmt.Errorf("%.300v is not a list of length %d", value, len(pattern))
		}
		for i := range pattern {
			if err := matchPattern(pattern[i], list[i], vars); err != nil {
				return fmt.Errorf("[%d]: %w", i, err)
			}
		}
		return nil
	}
	if !reflect.DeepEqual(pattern, value) {
		return fmt.Errorf("%v is not %v", value, pattern)
	}
	return nil
}
