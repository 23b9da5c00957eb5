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

// fill gives every exported field below v a value of its own, in the order of the fields,
// but those that are not encoded. The operators' settings are left out of the JSON and
// encoded as YAML.
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
		panic(fmt.Sprintf("a setting of type %v", v.Type()))
	}
}

// TestSettingsInRecordingsKeepTheirBytes has every setting in a recording's header.
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
		t.Errorf("read as %+v, not %+v", got, want)
	}
}
