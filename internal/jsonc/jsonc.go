// Package jsonc is a strict decoder for JSON with comments and trailing commas.
//
// It reports syntax errors, unknown fields, wrong types and duplicate keys. All
// findings of an input are collected in one report, each with its file, line and
// JSON path. Field names are case-sensitive, and null is not accepted as a value.
package jsonc

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// Limits of an input.
const (
	// MaxBytes is the maximum size of an input in bytes.
	MaxBytes = 4 << 20
	// MaxDepth is the maximum nesting depth of objects and arrays.
	MaxDepth = 64
)

// Decode decodes data into target, a non-nil pointer, and adds all findings to
// the report. Fields that the input does not contain keep their value in target.
// The file name is only used in findings. The returned lines are never nil.
func Decode(file string, data []byte, target any, report *finding.Report) *Lines {
	lines := newLines(data)
	if problem := tooLarge(data); problem != "" {
		report.Add(finding.Finding{Place: finding.Place{File: file, Line: 1}, Problem: problem})
		return lines
	}
	root, err := hujson.Parse(data)
	if err != nil {
		report.Add(syntaxFinding(file, err))
		return lines
	}
	d := &decoder{file: file, lines: lines, report: report}
	d.indexValue("", &root)
	d.value("", &root, reflect.ValueOf(target).Elem())
	return lines
}

// tooLarge returns a description of the limit that the input exceeds, or "".
func tooLarge(data []byte) string {
	if len(data) > MaxBytes {
		return "the input is larger than " + strconv.Itoa(MaxBytes) + " bytes"
	}
	if depth(data) > MaxDepth {
		return "objects and arrays are nested deeper than " + strconv.Itoa(MaxDepth) + " levels"
	}
	return ""
}

// syntaxFinding converts a syntax error of hujson to a finding. The text of the
// error starts with "hujson: line L, column C: ".
func syntaxFinding(file string, err error) finding.Finding {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	place := finding.Place{File: file}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if number, after, ok := strings.Cut(rest, ", "); ok {
			place.Line, _ = strconv.Atoi(number)
			text = after
		}
	}
	return finding.Finding{Place: place, Problem: "syntax error: " + text}
}
