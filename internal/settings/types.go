package settings

import (
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pollenford/pollenford/internal/finding"
)

// settingsType is the Go type that a settings document must match.
var settingsType = reflect.TypeFor[Settings]()

// checkType reports every unknown field and every value of the wrong type in a decoded JSON value, with its place.
// encoding/json would report only the first.
func checkType(out *finding.List, place string, value any, want reflect.Type) {
	if value == nil {
		return // null leaves the zero value; Validate reports it where a value is required
	}
	switch want.Kind() {
	case reflect.Pointer:
		checkType(out, place, value, want.Elem())
	case reflect.Struct:
		checkObject(out, place, value, want)
	case reflect.Slice:
		checkArray(out, place, value, want)
	case reflect.Map:
		checkMap(out, place, value, want)
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			out.Add(place, "must be true or false")
		}
	case reflect.Float64:
		if _, ok := value.(float64); !ok {
			out.Add(place, "must be a number")
		}
	case reflect.String:
		if _, ok := value.(string); !ok {
			out.Add(place, "must be a string")
		}
	case reflect.Int64:
		if n, ok := value.(float64); !ok || n != math.Trunc(n) {
			out.Add(place, "must be a whole number")
		}
	default:
		out.Add(place, "has an unsupported type %s", want)
	}
}

func checkObject(out *finding.List, place string, value any, want reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		out.Add(place, "must be an object")
		return
	}
	fields := jsonFields(want)
	for _, name := range slices.Sorted(maps.Keys(object)) {
		field, known := fields[name]
		at := place + finding.Pointer(name)
		if !known {
			out.Add(at, "unknown field")
			continue
		}
		checkType(out, at, object[name], field)
	}
}

func checkArray(out *finding.List, place string, value any, want reflect.Type) {
	array, ok := value.([]any)
	if !ok {
		out.Add(place, "must be an array")
		return
	}
	for i, element := range array {
		checkType(out, place+finding.Pointer(strconv.Itoa(i)), element, want.Elem())
	}
}

func checkMap(out *finding.List, place string, value any, want reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		out.Add(place, "must be an object")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		checkType(out, place+finding.Pointer(name), object[name], want.Elem())
	}
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}
