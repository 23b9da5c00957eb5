package protocol

import (
	"encoding/json"
	"strings"
	"testing"
)

// changedBody returns the body of a valid message with the given fields replaced. A nil change removes the field.
func changedBody(t *testing.T, valid map[string]any, changes map[string]any) []byte {
	t.Helper()
	for field, value := range changes {
		if value == nil {
			delete(valid, field)
			continue
		}
		valid[field] = value
	}
	body, err := json.Marshal(valid)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// requireErrorText fails unless err has exactly the given text.
func requireErrorText(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want %q", want)
	}
	if err.Error() != want {
		t.Errorf("the error is\n%s\nwant\n%s", err, want)
	}
}

// TestSubmissionErrorTexts checks the error texts that users see, byte for byte.
func TestSubmissionErrorTexts(t *testing.T) {
	long := strings.Repeat("x", 201)
	tests := []struct {
		name    string
		changes map[string]any
		want    string
	}{
		{"no id", map[string]any{"ref": nil}, "ref: missing or not of the form wk-000000"},
		{"bad id", map[string]any{"ref": "wk-12"}, "ref: missing or not of the form wk-000000"},
		{"id of another type", map[string]any{"ref": 7}, "the body is not a valid submission: json: cannot unmarshal number into Go struct field .ref of type string"},
		{"no class", map[string]any{"jobclass": nil}, "jobclass: missing, empty or too long"},
		{"empty team", map[string]any{"crew": ""}, "crew: missing, empty or too long"},
		{"long image", map[string]any{"kit": long}, "kit: missing, empty or too long"},
		{"class of another type", map[string]any{"jobclass": 7}, "the body is not a valid submission: json: cannot unmarshal number into Go struct field Submission.jobclass of type string"},
		{"no CPUs", map[string]any{"cpus": nil}, "cpus: missing or not an amount"},
		{"no GPUs", map[string]any{"accelerators": nil}, "accelerators: missing or not an amount"},
		{"negative memory", map[string]any{"ramGb": -1.5}, "ramGb: missing or not an amount"},
		{"huge image", map[string]any{"sizeGb": 1e300}, "sizeGb: missing or not an amount"},
		{"no estimate", map[string]any{"etaS": nil}, "etaS: missing or not an amount"},
		{"no checkpoint interval", map[string]any{"waypointS": nil}, "waypointS: missing or not an amount"},
		{"no time to save", map[string]any{"stowS": nil}, "stowS: missing or not an amount"},
		{"one zone missing", map[string]any{"oneZone": nil}, "oneZone: missing"},
		{"spread missing", map[string]any{"apart": nil}, "apart: missing"},
		{"spot missing", map[string]any{"casual": nil}, "casual: missing"},
		{"no tasks", map[string]any{"loads": 0}, "loads: missing or not between 1 and 100000"},
		{"too many tasks", map[string]any{"loads": 100_001}, "loads: missing or not between 1 and 100000"},
		{"no shape", map[string]any{"shape": nil}, "shape: missing"},
		{"unknown shape", map[string]any{"shape": "round"}, "shape: unknown"},
		{"no priority", map[string]any{"urgency": nil}, "urgency: missing"},
		{"unknown priority", map[string]any{"urgency": "now"}, "urgency: unknown"},
		{"negative deadline", map[string]any{"dueS": -1}, "dueS: not an amount"},
		{"empty zone", map[string]any{"depot": ""}, "depot: empty or too long"},
		{"long zone", map[string]any{"depot": long}, "depot: empty or too long"},
		{"first of two: class before amounts", map[string]any{"cpus": nil, "jobclass": nil}, "jobclass: missing, empty or too long"},
		{"first of two: amounts before flags", map[string]any{"oneZone": nil, "stowS": nil}, "stowS: missing or not an amount"},
		{"first of two: flags before tasks", map[string]any{"loads": nil, "casual": nil}, "casual: missing"},
		{"first of two: tasks before shape", map[string]any{"shape": nil, "loads": nil}, "loads: missing or not between 1 and 100000"},
		{"first of two: shape before priority", map[string]any{"urgency": nil, "shape": "x"}, "shape: unknown"},
		{"first of two: priority before deadline", map[string]any{"dueS": -1, "urgency": "x"}, "urgency: unknown"},
		{"first of two: deadline before zone", map[string]any{"depot": "", "dueS": -1}, "dueS: not an amount"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseSubmission(changedBody(t, validSubmission(), test.changes))
			requireErrorText(t, err, test.want)
		})
	}
}

// TestExtraErrorTexts checks the error texts that users see, byte for byte.
func TestExtraErrorTexts(t *testing.T) {
	input := func(set, version, place any) map[string]any {
		return map[string]any{"set": set, "version": version, "place": place}
	}
	tests := []struct {
		name  string
		field string
		value any
		want  string
	}{
		{"arguments", "command", make([]string, 257), "command: more than 256 arguments"},
		{"empty program", "command", []string{""}, "command[0]: empty, too long or not text"},
		{"long argument", "command", []string{"a", strings.Repeat("x", 16<<10+1)}, "command[1]: empty, too long or not text"},
		{"argument with a zero byte", "command", []string{"a", "b\x00"}, "command[1]: empty, too long or not text"},
		{"command of another type", "command", 7, "the body is not a valid submission: json: cannot unmarshal number into Go struct field .command of type []string"},
		{"variable's name", "env", map[string]string{"1A": ""}, `env."1A": not the name of a variable, or one that silvergate sets`},
		{"reserved variable", "env", map[string]string{"SILVERGATE_X": ""}, `env."SILVERGATE_X": not the name of a variable, or one that silvergate sets`},
		{"long name of a variable", "env", map[string]string{strings.Repeat("-", 50): ""}, `env."` + strings.Repeat("-", 40) + `": not the name of a variable, or one that silvergate sets`},
		{"long value of a variable", "env", map[string]string{"A": strings.Repeat("x", 16<<10+1)}, "env.A: longer than 16384 bytes"},
		{"value of a variable with a zero byte", "env", map[string]string{"A": "\x00"}, "env.A: not text"},
		{"customer", "customer", "a b", "customer: not a name of letters, digits, '-', '_' and '.'"},
		{"long customer", "customer", strings.Repeat("x", 101), "customer: not a name of letters, digits, '-', '_' and '.'"},
		{"patterns", "keep", make([]string, 33), "keep: more than 32 patterns"},
		{"bad pattern", "keep", []string{"a", "["}, "keep[1]: not a pattern of files inside the working directory"},
		{"pattern that leads out", "keep", []string{"../a"}, "keep[0]: not a pattern of files inside the working directory"},
		{"inputs", "inputs", make([]map[string]any, 33), "inputs: more than 32"},
		{"input without a set", "inputs", []any{map[string]any{}}, "inputs[0].set: missing or not a name of letters, digits, '-', '_' and '.'"},
		{"input that is null", "inputs", []any{nil}, "inputs[0].set: missing or not a name of letters, digits, '-', '_' and '.'"},
		{"input with an empty version", "inputs", []any{input("s", "", "p")}, "inputs[0].version: missing or not a version"},
		{"input without a place", "inputs", []any{input("s", "v", nil)}, "inputs[0].place: missing or not a path inside the working directory"},
		{"input at the same place", "inputs", []any{input("s", "v", "a"), input("s", "w", "a")}, "inputs[1].place: overlaps another input's"},
		{"input above another", "inputs", []any{input("s", "v", "a/b"), input("s", "w", "a")}, "inputs[1].place: overlaps another input's"},
		{"input below another", "inputs", []any{input("s", "v", "a"), input("s", "w", "a/b")}, "inputs[1].place: overlaps another input's"},
		{"input of another type", "inputs", []any{7}, "the body is not a valid submission: json: cannot unmarshal number into Go struct field .inputs of type " +
			`struct { Set *string "json:\"set\""; Version *string "json:\"version\""; Place *string "json:\"place\"" }`},
		{"set of another type", "inputs", []any{input(7, "v", "a")}, "the body is not a valid submission: json: cannot unmarshal number into Go struct field .inputs.set of type string"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseExtra(changedBody(t, map[string]any{}, map[string]any{test.field: test.value}))
			requireErrorText(t, err, test.want)
		})
	}
}

// TestExtraNamesTheFirstBadField checks the order in which the extension fields are validated.
func TestExtraNamesTheFirstBadField(t *testing.T) {
	bad := []struct {
		field, json, want string
	}{
		{"command", `[""]`, "command[0]: empty, too long or not text"},
		{"env", `{"-":""}`, `env."-": not the name of a variable, or one that silvergate sets`},
		{"customer", `" "`, "customer: not a name of letters, digits, '-', '_' and '.'"},
		{"keep", `[""]`, "keep[0]: not a pattern of files inside the working directory"},
		{"inputs", `[{}]`, "inputs[0].set: missing or not a name of letters, digits, '-', '_' and '.'"},
	}
	for first := range bad {
		t.Run(bad[first].field, func(t *testing.T) {
			var fields []string
			for _, later := range bad[first:] {
				fields = append(fields, `"`+later.field+`":`+later.json)
			}
			_, err := ParseExtra([]byte("{" + strings.Join(fields, ",") + "}"))
			requireErrorText(t, err, bad[first].want)
		})
	}
}

// TestBodyErrorTexts checks the error texts for bodies that are not a JSON object of the right form.
func TestBodyErrorTexts(t *testing.T) {
	tests := []struct {
		name, body, want string
	}{
		{"empty", "", "the body is not a JSON object"},
		{"a list", " []", "the body is not a JSON object"},
		{"null", "null", "the body is not a JSON object"},
		{"cut off", "{", "the body is malformed: unexpected end of JSON input"},
		{"of another type", `{"error":7}`, "the body is malformed: json: cannot unmarshal number into Go struct field ErrorResponse.error of type string"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			requireErrorText(t, DecodeObject([]byte(test.body), &ErrorResponse{}), test.want)
		})
	}
	_, err := SubmissionID([]byte("[]"))
	requireErrorText(t, err, "the body is not a JSON object")
	_, err = ParseSubmission([]byte("{"))
	requireErrorText(t, err, "the body is not a valid submission: unexpected end of JSON input")
}

// TestHeartbeatErrorTexts checks the error texts that workers log.
func TestHeartbeatErrorTexts(t *testing.T) {
	tests := []struct {
		name  string
		field string
		value any
		want  string
	}{
		{"no worker", "stoker", nil, "stoker: missing or not usable as a key"},
		{"worker with a slash", "stoker", "i/1", "stoker: missing or not usable as a key"},
		{"long worker", "stoker", strings.Repeat("i", 151), "stoker: missing or not usable as a key"},
		{"no machine type", "rig", nil, "rig: missing"},
		{"no zone", "depot", nil, "depot: missing"},
		{"no epoch", "shift", nil, "shift: missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			valid := map[string]any{"stoker": "i-1", "rig": "g", "depot": "a", "shift": 1}
			_, err := ParseHeartbeat(changedBody(t, valid, map[string]any{test.field: test.value}))
			requireErrorText(t, err, test.want)
		})
	}
}

// TestDataSetErrorTexts checks the error texts that operators see.
func TestDataSetErrorTexts(t *testing.T) {
	valid := func() DataSet {
		return DataSet{Set: "maps", Version: "v1", Digest: strings.Repeat("0a", 32), Bytes: 1, Sources: []string{"127.0.0.1:7000"}}
	}
	tests := []struct {
		name   string
		change func(set *DataSet)
		want   string
	}{
		{"no name", func(set *DataSet) { set.Set = "" }, "set: missing, too long or not a name"},
		{"long name", func(set *DataSet) { set.Set = strings.Repeat("s", 61) }, "set: missing, too long or not a name"},
		{"latest", func(set *DataSet) { set.Version = LatestVersion }, "version: missing, too long, not a name, or latest"},
		{"short digest", func(set *DataSet) { set.Digest = "0a" }, "digest: must have 64 hexadecimal digits"},
		{"capital digest", func(set *DataSet) { set.Digest = strings.Repeat("0A", 32) }, "digest: must have 64 hexadecimal digits"},
		{"negative size", func(set *DataSet) { set.Bytes = -1 }, "bytes: not a size"},
		{"huge size", func(set *DataSet) { set.Bytes = 1<<50 + 1 }, "bytes: not a size"},
		{"no source", func(set *DataSet) { set.Sources = nil }, "sources: none, or more than 16"},
		{"too many sources", func(set *DataSet) { set.Sources = make([]string, 17) }, "sources: none, or more than 16"},
		{"source without a port", func(set *DataSet) { set.Sources = append(set.Sources, "127.0.0.1") }, `sources[1]: "127.0.0.1" is not an IP address with a port`},
		{"long source", func(set *DataSet) { set.Sources[0] = strings.Repeat("s", 70) }, `sources[0]: "` + strings.Repeat("s", 60) + `" is not an IP address with a port`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			set := valid()
			if err := set.Check(); err != nil {
				t.Fatalf("Check refused the unchanged data set: %v", err)
			}
			test.change(&set)
			requireErrorText(t, set.Check(), test.want)
		})
	}
}

// TestStagingErrorTexts checks the error texts that operators see.
func TestStagingErrorTexts(t *testing.T) {
	tests := []struct {
		name   string
		change func(staging *Staging)
		want   string
	}{
		{"no id", func(staging *Staging) { staging.ID = "" }, "ref: missing, too long or not a name"},
		{"long id", func(staging *Staging) { staging.ID = strings.Repeat("i", 61) }, "ref: missing, too long or not a name"},
		{"no set", func(staging *Staging) { staging.Set = "" }, "set: missing or not a name"},
		{"no version", func(staging *Staging) { staging.Version = "-" }, "version: missing or not a name"},
		{"no team", func(staging *Staging) { staging.Team = "" }, "crew: missing"},
		{"unknown priority", func(staging *Staging) { staging.Priority = "now" }, "urgency: unknown"},
		{"more than a week", func(staging *Staging) { staging.ByS = 7*86400 + 1 }, "byS: missing, or more than a week"},
		{"in the past", func(staging *Staging) { staging.ByS = -1 }, "byS: missing, or more than a week"},
		{"no machines", func(staging *Staging) { staging.Machines = 0 }, "machines: missing, or not from 1 to 10000"},
		{"too many machines", func(staging *Staging) { staging.Machines = 10_001 }, "machines: missing, or not from 1 to 10000"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			staging := Staging{ID: "night", Set: "maps", Version: LatestVersion, Team: "red", Priority: "standard", ByS: 60, Machines: 4}
			if err := staging.Check(); err != nil {
				t.Fatalf("Check refused the unchanged announcement: %v", err)
			}
			test.change(&staging)
			requireErrorText(t, staging.Check(), test.want)
		})
	}
}
