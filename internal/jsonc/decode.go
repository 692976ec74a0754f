package jsonc

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

type decoder struct {
	file   string
	lines  *Lines
	report *finding.Report
}

var (
	unmarshalerType     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// indexValue records the line of a value and of all values in it and reports
// duplicate keys.
func (d *decoder) indexValue(path string, v *hujson.Value) {
	d.lines.byPath[path] = d.lines.lineAt(v.StartOffset)
	switch content := v.Value.(type) {
	case *hujson.Object:
		d.indexMembers(path, content)
	case *hujson.Array:
		for i := range content.Elements {
			d.indexValue(Element(path, i), &content.Elements[i])
		}
	}
}

func (d *decoder) indexMembers(path string, object *hujson.Object) {
	first := map[string]int{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		line := d.lines.lineAt(member.Name.StartOffset)
		memberPath := Member(path, name)
		if earlier, ok := first[name]; ok {
			d.add(memberPath, line, "duplicate key, first given in line %d", earlier)
			continue
		}
		first[name] = line
		d.indexValue(memberPath, &member.Value)
		d.lines.byPath[memberPath] = line
	}
}

func memberName(member *hujson.ObjectMember) string {
	literal, _ := member.Name.Value.(hujson.Literal)
	return literal.String()
}

func (d *decoder) add(path string, line int, format string, args ...any) {
	place := finding.Place{File: d.file, Line: line, Path: path}
	d.report.Add(finding.Finding{Place: place, Problem: fmt.Sprintf(format, args...)})
}

func (d *decoder) addAt(path string, v *hujson.Value, format string, args ...any) {
	d.add(path, d.lines.lineAt(v.StartOffset), format, args...)
}

// value decodes one value of the input into target.
func (d *decoder) value(path string, v *hujson.Value, target reflect.Value) {
	switch {
	case hasUnmarshaler(target):
		d.leaf(path, v, target)
	case target.Kind() == reflect.Pointer:
		fresh := reflect.New(target.Type().Elem())
		d.value(path, v, fresh.Elem())
		target.Set(fresh)
	case target.Kind() == reflect.Struct:
		d.object(path, v, target)
	case target.Kind() == reflect.Map:
		d.mapValue(path, v, target)
	case target.Kind() == reflect.Slice:
		d.array(path, v, target)
	default:
		d.leaf(path, v, target)
	}
}

func hasUnmarshaler(target reflect.Value) bool {
	pointer := reflect.PointerTo(target.Type())
	return pointer.Implements(unmarshalerType) || pointer.Implements(textUnmarshalerType)
}

func (d *decoder) object(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addAt(path, v, "expected an object, found %s", kindName(v))
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		if seen[name] {
			continue
		}
		seen[name] = true
		index, known := fields.byName[name]
		if !known {
			d.addAt(Member(path, name), &member.Name, "unknown field; known are %s", strings.Join(fields.names, ", "))
			continue
		}
		d.value(Member(path, name), &member.Value, target.FieldByIndex(index))
	}
}

func (d *decoder) mapValue(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addAt(path, v, "expected an object, found %s", kindName(v))
		return
	}
	result := reflect.MakeMap(target.Type())
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(Member(path, name), &member.Value, element)
		result.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	}
	target.Set(result)
}

func (d *decoder) array(path string, v *hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addAt(path, v, "expected an array, found %s", kindName(v))
		return
	}
	result := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(Element(path, i), &array.Elements[i], result.Index(i))
	}
	target.Set(result)
}

// leaf decodes a value with encoding/json.
func (d *decoder) leaf(path string, v *hujson.Value, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		d.addAt(path, v, "expected %s, found null", typeName(target.Type()))
		return
	}
	plain := v.Clone()
	plain.Minimize()
	err := json.Unmarshal(plain.Pack(), target.Addr().Interface())
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &typeErr):
		d.addAt(path, v, "expected %s, found %s", typeName(target.Type()), typeErr.Value)
	default:
		d.addAt(path, v, "%s", err)
	}
}
