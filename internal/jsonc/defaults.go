package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// defaultTag is the struct tag with the default value of a field: the text of a
// string or duration without quotes, or the JSON text of a number or boolean.
const defaultTag = "default"

// ApplyDefaults sets every field that has its zero value and a "default" tag to
// that default. It descends into the structs, pointers and slices below target, a
// non-nil pointer to a struct. An explicit zero in an input is replaced as well.
// ApplyDefaults panics if the value of a tag does not match the type of its field.
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

// setDefault decodes the text as JSON or, if that fails, as the content of a JSON
// string.
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
