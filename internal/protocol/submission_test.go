package protocol

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvergate/internal/job"
)

// validSubmission returns the fields of a submission with every field present.
func validSubmission() map[string]any {
	return map[string]any{
		"ref": "wk-000412", "jobclass": "train", "crew": "vision", "shape": "ensemble", "urgency": "urgent", "loads": 16,
		"cpus": 8.0, "accelerators": 1.0, "ramGb": 64.0, "kit": "img-07", "sizeGb": 6.2, "rigs": []string{"g8"}, "depot": nil,
		"oneZone": true, "apart": false, "casual": true, "etaS": 240.0, "waypointS": 30.0, "stowS": 4.0, "dueS": 900.0,
	}
}

// optionalFields are the fields of a submission that may be absent.
var optionalFields = []string{"rigs", "depot", "dueS"}

func parseFields(fields map[string]any) (*job.Spec, error) {
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return ParseSubmission(body)
}

func TestParseSubmission(t *testing.T) {
	spec, err := parseFields(validSubmission())
	if err != nil {
		t.Fatal(err)
	}
	if spec.ID != "wk-000412" || spec.Shape != job.Gang || spec.Priority != job.High || spec.Tasks != 16 || !spec.OneZone || !spec.Spot || spec.Zone != "" ||
		!spec.AllowsMachineType("g8") || spec.AllowsMachineType("g4") || *spec.DeadlineS != 900 {
		t.Fatalf("ParseSubmission returned %+v", spec)
	}
	for _, optional := range optionalFields {
		t.Run("without "+optional, func(t *testing.T) {
			fields := validSubmission()
			delete(fields, optional)
			if _, err := parseFields(fields); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestParseSubmissionNamesEveryBadField removes any field or sets it to a wrong value, and checks that the error
// names it.
func TestParseSubmissionNamesEveryBadField(t *testing.T) {
	optional := map[string]bool{}
	for _, field := range optionalFields {
		optional[field] = true
	}
	wrong := []any{-1.5, "x", "", true, []int{1}, map[string]int{"a": 1}, 1e300}
	rapid.Check(t, func(t *rapid.T) {
		fields := validSubmission()
		names := []string{"ref", "jobclass", "crew", "shape", "urgency", "loads", "cpus", "accelerators", "ramGb", "kit", "sizeGb",
			"rigs", "depot", "oneZone", "apart", "casual", "etaS", "waypointS", "stowS", "dueS"}
		name := rapid.SampledFrom(names).Draw(t, "field")
		if !optional[name] && rapid.Bool().Draw(t, "absent") {
			delete(fields, name)
			if _, err := parseFields(fields); err == nil || !strings.Contains(err.Error(), name) {
				t.Fatalf("%s is absent, and the error is %v", name, err)
			}
			return
		}
		value := rapid.SampledFrom(wrong).Draw(t, "value")
		original := fields[name]
		fields[name] = value
		_, err := parseFields(fields)
		_, wantsText := original.(string)
		if isValidValue(name, original, value) {
			if err != nil {
				t.Fatalf("%s = %v: %v", name, value, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), name) {
			t.Fatalf("%s = %v (string field: %v): the error is %v", name, value, wantsText, err)
		}
	})
}

// isValidValue reports whether a value of the test's list is valid for the field: any
// flag for a flag, or any text that is not empty for a field of free text.
func isValidValue(name string, original, value any) bool {
	_, wantsFlag := original.(bool)
	_, isFlag := value.(bool)
	if wantsFlag && isFlag {
		return true
	}
	text, isText := value.(string)
	return (name == "jobclass" || name == "crew" || name == "kit" || name == "depot") && isText && text != ""
}

func TestParseSubmissionRefusesOtherBodies(t *testing.T) {
	tests := []struct{ name, body string }{
		{"empty", ""},
		{"null", "null"},
		{"a list", "[]"},
		{"a number", "7"},
		{"a text", `"wk-000001"`},
		{"cut off", "{"},
		{"followed by more", `{"ref":"wk-000001"} x`},
		{"id is a number", `{"ref":7}`},
		{"id is too short", `{"ref":"wk-12"}`},
		{"id has another prefix", `{"ref":"job-000001"}`},
		{"id has a letter", `{"ref":"wk-00000a"}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ParseSubmission([]byte(test.body)); err == nil {
				t.Errorf("ParseSubmission accepted %q", test.body)
			}
		})
	}
}

func TestParseSubmissionBoundsTasks(t *testing.T) {
	tests := []struct {
		name  string
		tasks any
		valid bool
	}{
		{"none", 0, false},
		{"one", 1, true},
		{"the most", MaxTasks, true},
		{"one too many", MaxTasks + 1, false},
		{"a fraction", 1.5, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fields := validSubmission()
			fields["loads"] = test.tasks
			if _, err := parseFields(fields); (err == nil) != test.valid {
				t.Errorf("%v tasks: %v", test.tasks, err)
			}
		})
	}
}

// TestErrorsHaveTypes checks that callers can tell errors apart with errors.Is and errors.As.
func TestErrorsHaveTypes(t *testing.T) {
	var field *FieldError
	_, err := ParseExtra([]byte(`{"inputs":[{}]}`))
	if !errors.As(err, &field) || field.Field != "inputs[0].set" {
		t.Errorf("the error is %#v, want a FieldError for inputs[0].set", err)
	}
	if _, err := ParseSubmission([]byte("[]")); !errors.Is(err, ErrNotObject) {
		t.Errorf("the error is %#v, want ErrNotObject", err)
	}
	var syntax *json.SyntaxError
	if _, err := ParseSubmission([]byte("{")); !errors.As(err, &syntax) {
		t.Errorf("the error is %#v, want one that wraps a json.SyntaxError", err)
	}
}
