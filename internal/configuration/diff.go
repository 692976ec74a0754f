package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is a value that differs between two versions of a document.
type Difference struct {
	// Path is the JSON path of the value.
	Path string `json:"path"`
	// InForce and Yours are the values in the version in force and in the refused
	// change, as JSON; empty if the document has no such value.
	InForce string `json:"in_force,omitempty"`
	Yours   string `json:"yours,omitempty"`
}

// String formats the difference in one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: in force %s, yours %s", d.Path, orNone(d.InForce), orNone(d.Yours))
}

func orNone(value string) string {
	if value == "" {
		return "nothing"
	}
	return value
}

// diff returns the differences between two documents in the order of their paths.
func diff(inForce, yours json.RawMessage) []Difference {
	var d differ
	d.compare("", decodeAny(inForce), decodeAny(yours))
	return d.found
}

// absent represents a value that a document does not have.
type absent struct{}

func decodeAny(document json.RawMessage) any {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var value any
	if len(document) == 0 || decoder.Decode(&value) != nil {
		return absent{}
	}
	return value
}

type differ struct {
	found []Difference
}

func (d *differ) compare(path string, inForce, yours any) {
	switch left := inForce.(type) {
	case map[string]any:
		if right, ok := yours.(map[string]any); ok {
			d.compareObjects(path, left, right)
			return
		}
	case []any:
		if right, ok := yours.([]any); ok {
			d.compareArrays(path, left, right)
			return
		}
	}
	left, right := jsonText(inForce), jsonText(yours)
	if left != right {
		d.found = append(d.found, Difference{Path: path, InForce: left, Yours: right})
	}
}

func (d *differ) compareObjects(path string, left, right map[string]any) {
	keys := slices.Collect(maps.Keys(left))
	for key := range right {
		if _, ok := left[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		d.compare(join(path, key), member(left, key), member(right, key))
	}
}

func (d *differ) compareArrays(path string, left, right []any) {
	for i := range max(len(left), len(right)) {
		d.compare(index(path, i), element(left, i), element(right, i))
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func member(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}
	return absent{}
}

func element(array []any, i int) any {
	if i < len(array) {
		return array[i]
	}
	return absent{}
}

func jsonText(value any) string {
	if _, ok := value.(absent); ok {
		return ""
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}
