package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// defaultTag is the struct tag that holds a field's default as text: a string's
// or duration's content, or the JSON of a number or boolean.
const defaultTag = "default"

// ApplyDefaults sets every field that holds its zero value and has a "default"
// tag to that default, in structs, pointers and slices below target, a non-nil
// pointer to a struct. A zero that an input gives is therefore replaced too. It
// panics if a tag does not fit its field.
func ApplyDefaults(target any) {
	applyDefaults(reflect.ValueOf(target).Elem())
}

func applyDefaults(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			applyDefaults(v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			applyDefaults(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			applyFieldDefault(v.Type().Field(i), v.Field(i))
		}
	}
}

func applyFieldDefault(field reflect.StructField, v reflect.Value) {
	if !field.IsExported() {
		return
	}
	text, ok := field.Tag.Lookup(defaultTag)
	if ok && v.IsZero() {
		setDefault(field, v, text)
	}
	applyDefaults(v)
}

// setDefault decodes the text as JSON and, if that fails, as a JSON string.
func setDefault(field reflect.StructField, v reflect.Value, text string) {
	if json.Unmarshal([]byte(text), v.Addr().Interface()) == nil {
		return
	}
	quoted, err := json.Marshal(text)
	if err == nil {
		err = json.Unmarshal(quoted, v.Addr().Interface())
	}
	if err != nil {
		panic(fmt.Sprintf("default of field %s: %s", field.Name, err))
	}
}
