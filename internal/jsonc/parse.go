package jsonc

import (
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// Parse decodes data into target like Decode and then calls validate, which
// adds its findings by JSON path. All findings come back in one *finding.Error.
// What validate finds at or below a value that could not be decoded is left
// out, and validate is not called after a syntax error.
func Parse(file string, data []byte, target any, validate func(*finding.Report)) error {
	var report finding.Report
	lines := Decode(file, data, target, &report)
	if !lines.parsed() {
		return report.Err()
	}
	undecoded := report.Findings()
	var validation finding.Report
	validate(&validation)
	for _, found := range validation.Findings() {
		if !coversPath(undecoded, found.Path) {
			report.Add(found)
		}
	}
	report.Locate(file, lines.Line)
	return report.Err()
}

// coversPath reports whether a path is that of a finding or lies below it.
func coversPath(findings []finding.Finding, path string) bool {
	for _, f := range findings {
		rest, below := strings.CutPrefix(path, f.Path)
		if below && (rest == "" || f.Path == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
