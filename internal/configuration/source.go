package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// ParseBundle reads a bundle from a file's content, JSON with comments, and
// validates it. The error is a *finding.Error whose findings name the file's lines.
func ParseBundle(file string, content []byte) (Bundle, error) {
	root, err := hujson.Parse(content)
	if err != nil {
		return Bundle{}, findingAt(file, 0, err.Error())
	}
	standard := root.Clone()
	standard.Standardize()
	bundle, err := decodeBundle(file, content, standard.Pack())
	if err != nil {
		return Bundle{}, err
	}
	return bundle, locate(Validate(bundle), file, content, &root)
}

// decodeBundle decodes standard JSON whose byte offsets equal those of the content.
func decodeBundle(file string, content, standard []byte) (Bundle, error) {
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var bundle Bundle
	err := decoder.Decode(&bundle)
	if err == nil {
		return bundle, nil
	}
	offset := decoder.InputOffset()
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		offset = typeError.Offset
	}
	return Bundle{}, findingAt(file, lineAt(content, int(offset)), err.Error())
}

func findingAt(file string, line int, problem string) error {
	var report finding.Report
	report.Add(finding.Finding{Place: finding.Place{File: file, Line: line}, Problem: problem})
	return report.Err()
}

// locate adds file and line to the findings of err.
func locate(err error, file string, content []byte, root *hujson.Value) error {
	var found *finding.Error
	if !errors.As(err, &found) {
		return err
	}
	var report finding.Report
	for _, f := range found.Findings {
		report.Add(f)
	}
	report.Locate(file, func(path string) int { return lineOf(path, content, root) })
	return report.Err()
}

// lineOf returns the line of the value at a JSON path, or of the nearest enclosing
// value that exists.
func lineOf(path string, content []byte, root *hujson.Value) int {
	for pointer := pointerOf(path); pointer != ""; pointer = pointer[:strings.LastIndex(pointer, "/")] {
		if value := root.Find(pointer); value != nil {
			return lineAt(content, value.StartOffset)
		}
	}
	return lineAt(content, root.StartOffset)
}

var arrayIndex = regexp.MustCompile(`\[(\d+)\]`)

// pointerOf converts a path such as "teams[2].name" into a JSON pointer.
func pointerOf(path string) string {
	dotted := arrayIndex.ReplaceAllString(path, ".$1")
	return "/" + strings.ReplaceAll(dotted, ".", "/")
}

func lineAt(content []byte, offset int) int {
	offset = min(max(offset, 0), len(content))
	return 1 + bytes.Count(content[:offset], []byte("\n"))
}
