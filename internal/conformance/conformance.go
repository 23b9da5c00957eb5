// Package conformance holds the protocols' sentences about the state service,
// the cloud and the workers as tables of requests and answers, and plays them
// against whatever claims to speak them: the parts of the product, and the
// stand-ins that the core is tested with. So neither drifts from the page.
//
// A table is text. "==" begins a case and quotes the sentence; ">" sends a
// request, ">&" sends one and goes on; "<" awaits the answer of the oldest
// request that has none yet and compares it; ">~" is sent again until its answer
// is as it should be, for what takes its time; "~" lets time pass. A case marked
// "!" asks what only a product must refuse in form.
//
// An answer's pattern is JSON: objects may have further fields, "$x" takes a
// value the first time and must equal it from then on, ">$x" must be a larger
// number, "*" is anything, and {"#":n} a list of n. In requests, ${x} is what $x
// took, and ${x+1} and ${x-1} its neighbours.
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

// State, Cloud and Worker are the tables.
var (
	//go:embed state.txt
	State string
	//go:embed cloud.txt
	Cloud string
	//go:embed worker.txt
	Worker string
)

// Target is what a table is played against.
type Target interface {
	// Begin sends a request. The function awaits its answer; status 0 means
	// that none came.
	Begin(method, path, body string) func() (status int, answer string)
	Sleep(d time.Duration)
}

// Run plays a table. fresh gives a new target for each case; strict also plays
// the cases about form.
func Run(t *testing.T, table string, strict bool, fresh func(t *testing.T) Target) {
	name, lines := "", []string(nil)
	play := func() {
		if name == "" || strings.HasPrefix(name, "!") && !strict {
			return
		}
		steps := lines
		t.Run(strings.Trim(name, "! "), func(t *testing.T) { runCase(t, steps, fresh(t)) })
	}
	cases := 0
	for _, l := range strings.Split(table, "\n") {
		if rest, ok := strings.CutPrefix(l, "=="); ok {
			play()
			name, lines = strings.TrimSpace(rest), nil
			cases++
		} else if strings.TrimSpace(l) != "" {
			lines = append(lines, l)
		}
	}
	play()
	if cases == 0 {
		t.Fatal("an empty table")
	}
}

func runCase(t *testing.T, steps []string, target Target) {
	vars := map[string]any{}
	type request struct {
		line  string
		wait  func() (int, string)
		again func() func() (int, string) // nil: only once
	}
	var open []request
	checks := 0
	for _, line := range steps {
		mark, rest, _ := strings.Cut(line, " ")
		switch mark {
		case ">", ">&", ">~":
			method, rest, _ := strings.Cut(expandVariables(t, rest, vars), " ")
			path, body, _ := strings.Cut(rest, " ")
			r := request{line: line, wait: target.Begin(method, path, body)}
			if mark == ">~" {
				r.again = func() func() (int, string) { return target.Begin(method, path, body) }
			}
			open = append(open, r)
		case "<":
			if len(open) == 0 {
				t.Fatalf("%s: no request awaits an answer", line)
			}
			r := open[0]
			open = open[1:]
			want, pattern, _ := strings.Cut(rest, " ")
			var err error
			for tries := 0; tries == 0 || err != nil && r.again != nil && tries < 300; tries++ {
				if tries > 0 {
					target.Sleep(100 * time.Millisecond)
					r.wait = r.again()
				}
				status, answer := r.wait()
				if err = compareAnswer(status, answer, want, pattern, vars); err != nil {
					err = fmt.Errorf("%s\n got %d %.500s\nwant %s: %w", r.line, status, answer, rest, err)
				}
			}
			if err != nil {
				t.Fatal(err)
			}
			checks++
		case "~":
			d, err := time.ParseDuration(rest)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			target.Sleep(d)
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	if checks == 0 || len(open) > 0 {
		t.Fatalf("%d answers compared, %d requests left", checks, len(open))
	}
}

func compareAnswer(status int, answer, want, pattern string, vars map[string]any) error {
	if strconv.Itoa(status) != want {
		return errors.New("another status")
	}
	if pattern == "" {
		return nil
	}
	var p, v any
	if err := json.Unmarshal([]byte(pattern), &p); err != nil {
		return fmt.Errorf("the table: %w", err)
	}
	if err := json.Unmarshal([]byte(answer), &v); err != nil {
		return err
	}
	return matchPattern(p, v, vars)
}

var variable = regexp.MustCompile(`\$\{(\w+)([+-]1)?\}`)

func expandVariables(t *testing.T, s string, vars map[string]any) string {
	return variable.ReplaceAllStringFunc(s, func(m string) string {
		f := variable.FindStringSubmatch(m)
		v, ok := vars[f[1]]
		if !ok {
			t.Fatalf("%s: $%s was never taken", s, f[1])
		}
		if n, ok := v.(float64); ok {
			switch f[2] {
			case "+1":
				n++
			case "-1":
				n--
			}
			return strconv.FormatFloat(n, 'f', -1, 64)
		}
		return fmt.Sprint(v)
	})
}

func matchPattern(p, v any, vars map[string]any) error {
	switch p := p.(type) {
	case string:
		if name, ok := strings.CutPrefix(p, ">$"); ok {
			a, _ := vars[name].(float64)
			if b, ok := v.(float64); !ok || b <= a {
				return fmt.Errorf("%v is not above %v", v, a)
			}
			return nil
		}
		name, ok := strings.CutPrefix(p, "$")
		switch old, bound := vars[name]; {
		case p == "*":
			return nil
		case !ok:
		case bound && !reflect.DeepEqual(old, v):
			return fmt.Errorf("%v differs from %v", v, old)
		default:
			vars[name] = v
			return nil
		}
	case map[string]any:
		if n, ok := p["#"].(float64); ok {
			if l, ok := v.([]any); !ok || len(l) != int(n) {
				return fmt.Errorf("%.200v is not a list of %g", v, n)
			}
			return nil
		}
		m, ok := v.(map[string]any)
		if !ok {
			return fmt.Errorf("%.200v is not an object", v)
		}
		for k, x := range p {
			if _, there := m[k]; !there && x != nil {
				return fmt.Errorf("field %s is missing", k)
			}
			if err := matchPattern(x, m[k], vars); err != nil {
				return fmt.Errorf("%s: %w", k, err)
			}
		}
		return nil
	case []any:
		l, ok := v.([]any)
		if !ok || len(l) != len(p) {
			return fmt.Errorf("%.300v is not a list of %d", v, len(p))
		}
		for i := range p {
			if err := matchPattern(p[i], l[i], vars); err != nil {
				return fmt.Errorf("[%d]: %w", i, err)
			}
		}
		return nil
	}
	if !reflect.DeepEqual(p, v) {
		return fmt.Errorf("%v is not %v", v, p)
	}
	return nil
}
