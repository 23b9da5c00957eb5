package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"silvergate/internal/goldentest"
	"silvergate/internal/job"
)

// goldenMessages maps the name of a golden file to its message, for every message of the HTTP interfaces. A file
// keeps its name when the type is renamed.
var goldenMessages = map[string]any{
	"submission":         Submission{},
	"submission-extra":   job.Extra{},
	"job-state":          JobState{},
	"report":             Heartbeat{},
	"report-answer":      HeartbeatResponse{},
	"direct-orders":      DirectCommands{},
	"redirect":           Redirect{},
	"flavors":            MachineTypes{},
	"rental":             RentalRequest{},
	"names":              MachineNames{},
	"rental-list":        RentalList{},
	"entry-page":         KeyValuePage{},
	"transaction":        Txn{},
	"transaction-result": TxnResult{},
	"watch-result":       WatchResult{},
	"grant":              LeaseRequest{},
	"granted":            LeaseResponse{},
	"problem":            ErrorResponse{},
	"data-set":           DataSet{},
	"data-set-page":      DataSetPage{},
	"staging":            Staging{},
	"description":        JobDescription{},
	"gang-places":        GangMembers{},
	"job-page":           JobPage{},
	"node-page":          MachinePage{},
}

// TestGoldenMessages compares the JSON of every message, with all fields set, with its golden file, byte for byte.
// Go names may change freely; a change of a tag's name, of the order of fields or of a type changes bytes.
func TestGoldenMessages(t *testing.T) {
	for name, message := range goldenMessages {
		t.Run(name, func(t *testing.T) {
			filled := filledValue(t, reflect.TypeOf(message))
			encoded := Encode(filled.Interface())
			golden := goldenBytes(t, name, encoded)
			if !bytes.Equal(encoded, golden) {
				t.Errorf("encoded\n%s\nthe golden file has\n%s", encoded, golden)
			}
			for _, decoder := range decoders {
				decoded := reflect.New(filled.Type())
				if err := decoder.decode(golden, decoded.Interface()); err != nil {
					t.Errorf("%s: %v", decoder.name, err)
				}
				if !reflect.DeepEqual(decoded.Elem().Interface(), filled.Interface()) {
					t.Errorf("%s decoded %+v, want %+v", decoder.name, decoded.Elem(), filled)
				}
			}
		})
	}
}

// TestGoldenZeroValues compares the JSON of the zero value of every message, and of the structs that it consists
// of, with its golden file, byte for byte: it shows which fields are left out when empty.
func TestGoldenZeroValues(t *testing.T) {
	for name, message := range goldenMessages {
		t.Run(name, func(t *testing.T) {
			var zeros []any
			for _, structure := range structsWithin(reflect.TypeOf(message)) {
				zeros = append(zeros, reflect.Zero(structure).Interface())
			}
			encoded := Encode(zeros)
			if golden := goldenBytes(t, name+"-zero", encoded); !bytes.Equal(encoded, golden) {
				t.Errorf("encoded\n%s\nthe golden file has\n%s", encoded, golden)
			}
		})
	}
}

// TestEveryMessageIsGolden checks that a golden file covers every wire struct of this package.
func TestEveryMessageIsGolden(t *testing.T) {
	covered := map[string]bool{}
	for _, message := range goldenMessages {
		for _, structure := range structsWithin(reflect.TypeOf(message)) {
			covered[structure.Name()] = true
		}
	}
	declared := declaredMessages(t)
	if len(declared) == 0 {
		t.Error("found no wire struct")
	}
	for _, name := range declared {
		if !covered[name] {
			t.Errorf("%s is neither in goldenMessages nor part of a message that is", name)
		}
	}
}

// TestParseExtraReadsGolden checks that ParseExtra reads the field names that the golden file has.
func TestParseExtraReadsGolden(t *testing.T) {
	want := filledValue(t, reflect.TypeFor[job.Extra]()).Addr().Interface()
	got, err := ParseExtra(goldenBytes(t, "submission-extra", Encode(want)))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("ParseExtra returned %+v, want %+v", got, want)
	}
}

// structsWithin returns the struct types that a value of a type consists of, each once, the type itself first.
func structsWithin(root reflect.Type) []reflect.Type {
	var found []reflect.Type
	seen := map[reflect.Type]bool{}
	var visit func(reflect.Type)
	visit = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Map:
			visit(typ.Elem())
		case reflect.Struct:
			if seen[typ] {
				return
			}
			seen[typ] = true
			found = append(found, typ)
			for i := range typ.NumField() {
				visit(typ.Field(i).Type)
			}
		}
	}
	visit(root)
	return found
}

// declaredMessages returns the names of this package's struct types that have JSON tags.
func declaredMessages(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, taggedStructs(file)...)
	}
	return names
}

// taggedStructs returns the names of the file's struct types that have JSON tags.
func taggedStructs(file *ast.File) []string {
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isType := node.(*ast.TypeSpec)
		if !isType {
			return true
		}
		if structure, isStruct := spec.Type.(*ast.StructType); isStruct && hasTags(structure) {
			names = append(names, spec.Name.Name)
		}
		return true
	})
	return names
}

// hasTags reports whether any field has a JSON tag.
func hasTags(structure *ast.StructType) bool {
	for _, field := range structure.Fields.List {
		if field.Tag != nil && strings.Contains(field.Tag.Value, `json:"`) {
			return true
		}
	}
	return false
}

// decoders lists every decoder that the code reads messages with.
var decoders = []struct {
	name   string
	decode func(data []byte, message any) error
}{
	{"Decode", Decode},
	{"DecodeState", DecodeState},
	{"DecodeObject", DecodeObject},
	{"encoding/json", json.Unmarshal},
}

// goldenBytes reads a message's golden file. If an update is requested, it writes the file first.
func goldenBytes(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	line := func() []byte { return append(bytes.Clone(encoded), '\n') }
	golden := goldentest.File(t, "testdata/"+name+".json", line)
	return bytes.TrimSuffix(golden, []byte("\n"))
}

// filledValue returns a value of a type with every field set to a distinct value. The values follow the order of the
// fields, so that they do not depend on the fields' names.
func filledValue(t *testing.T, typ reflect.Type) reflect.Value {
	t.Helper()
	value := reflect.New(typ).Elem()
	filler := filler{t: t}
	filler.fill(value)
	return value
}

// filler sets values to consecutive numbers; count is the last one.
type filler struct {
	t     *testing.T
	count int
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// fill sets a value, and every value that it consists of, to something that is not zero.
func (f *filler) fill(value reflect.Value) {
	if value.Type() == rawMessage {
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.next()))
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		f.fillStruct(value)
	case reflect.Slice:
		f.fillSlice(value)
	case reflect.Map:
		f.fillMap(value)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	default:
		f.fillScalar(value)
	}
}

func (f *filler) fillStruct(structure reflect.Value) {
	for i := range structure.NumField() {
		f.fill(structure.Field(i))
	}
}

// fillSlice makes two elements, so that the golden file shows how they are separated.
func (f *filler) fillSlice(slice reflect.Value) {
	slice.Set(reflect.MakeSlice(slice.Type(), 2, 2))
	for i := range slice.Len() {
		f.fill(slice.Index(i))
	}
}

func (f *filler) fillMap(table reflect.Value) {
	table.Set(reflect.MakeMap(table.Type()))
	for range 2 {
		key := reflect.New(table.Type().Key()).Elem()
		element := reflect.New(table.Type().Elem()).Elem()
		f.fill(key)
		f.fill(element)
		table.SetMapIndex(key, element)
	}
}

func (f *filler) fillScalar(value reflect.Value) {
	number := f.next()
	switch {
	case value.Kind() == reflect.String:
		value.SetString(fmt.Sprintf("text%d", number))
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	case value.CanInt():
		value.SetInt(int64(number))
	case value.CanUint():
		value.SetUint(uint64(number))
	case value.CanFloat():
		value.SetFloat(float64(number) + 0.5)
	default:
		f.t.Fatalf("fill does not support values of type %s", value.Type())
	}
}

func (f *filler) next() int {
	f.count++
	return f.count
}
