package metrics

import (
	"expvar"
	"fmt"
	"reflect"
	"strings"
	"sync/atomic"
	"unicode"
)

// Fields publishes the fields of a struct under their names in snake case. The
// argument is a pointer to the struct. Fields panics if a field is neither an
// atomic.Int64 nor an atomic.Uint64.
func Fields(counters any) *expvar.Map {
	values := new(expvar.Map)
	v := reflect.ValueOf(counters).Elem()
	for i := range v.NumField() {
		name := snakeCase(v.Type().Field(i).Name)
		switch field := v.Field(i).Addr().Interface().(type) {
		case *atomic.Int64:
			values.Set(name, expvar.Func(func() any { return field.Load() }))
		case *atomic.Uint64:
			values.Set(name, expvar.Func(func() any { return field.Load() }))
		default:
			panic(fmt.Sprintf("metrics: field %s is not an atomic integer", v.Type().Field(i).Name))
		}
	}
	return values
}

// Snapshot publishes the integer fields of a struct, including those of embedded
// structs, under their names in snake case. The function read returns the current
// values and must be safe for concurrent use.
func Snapshot[T any](read func() T) *expvar.Map {
	values := new(expvar.Map)
	for _, field := range reflect.VisibleFields(reflect.TypeFor[T]()) {
		if field.Anonymous {
			continue
		}
		values.Set(snakeCase(field.Name), expvar.Func(func() any {
			return reflect.ValueOf(read()).FieldByIndex(field.Index).Interface()
		}))
	}
	return values
}

// snakeCase converts a Go name such as "InFlight" to "in_flight".
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
