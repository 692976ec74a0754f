package jsonc

import (
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// fields are the fields of a struct, indexed by JSON name.
type fields struct {
	byName map[string][]int
	// names are sorted.
	names []string
}

func fieldsOf(t reflect.Type) fields {
	found := fields{byName: map[string][]int{}}
	for _, field := range reflect.VisibleFields(t) {
		name := jsonName(field)
		if name == "" {
			continue
		}
		found.byName[name] = field.Index
		found.names = append(found.names, name)
	}
	slices.Sort(found.names)
	return found
}

// jsonName returns the name of a field in JSON, or "" if it has none.
func jsonName(field reflect.StructField) string {
	if !field.IsExported() || field.Anonymous {
		return ""
	}
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	switch name {
	case "-":
		return ""
	case "":
		return field.Name
	}
	return name
}

// kindName returns the JSON type of an input value for a finding.
func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '[':
		return "an array"
	default:
		return "an object"
	}
}

// typeName returns the JSON type that a Go type accepts, for a finding.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "a boolean"
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a value"
	}
}
