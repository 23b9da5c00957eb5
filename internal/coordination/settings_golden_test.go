package coordination

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"silvergate/internal/config"
)

// fill sets every exported field in v that is encoded to a non-zero value, derived from next where
// the type allows, so that the values differ. The operators' settings are not part of the JSON but are encoded as
// YAML, so they are set too.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.IsExported() && (field.Tag.Get("json") != "-" || field.Type == reflect.TypeFor[config.Operator]()) && field.Tag.Get("yaml") != "-" {
				fill(v.Field(i), next)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("value-%d", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		if v.Type() == reflect.TypeFor[time.Duration]() {
			v.SetInt(int64(time.Duration(*next) * time.Second))
			return
		}
		v.SetInt(int64(*next))
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	default:
		panic(fmt.Sprintf("unsupported type of a setting: %v", v.Type()))
	}
}

// TestSettingsInRecordingsKeepTheirBytes checks that a recording's header holds every setting, in
// the form of the golden files, and that decoding these gives the same settings.
func TestSettingsInRecordingsKeepTheirBytes(t *testing.T) {
	var want config.Settings
	next := 0
	fill(reflect.ValueOf(&want).Elem(), &next)
	header, err := RecordingHeader(&want, "v1.2.3", 7, [2]uint64{8, 9})
	if err != nil {
		t.Fatal(err)
	}
	settings := golden(t, "recordings/settings.json", func() []byte { return header.Settings })
	operator := golden(t, "recordings/operator.yaml", func() []byte { return header.Operator })
	requireSameBytes(t, header.Settings, settings)
	requireSameBytes(t, header.Operator, operator)
	var got config.Settings
	if err := json.Unmarshal(settings, &got); err != nil {
		t.Fatal(err)
	}
	if err := yaml.Unmarshal(operator, &got.Operator); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v, want %+v", got, want)
	}
}
