package jsonc

import (
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// Parse decodes data into target like Decode and then calls validate, which adds
// its findings with their JSON paths. All findings are returned in one
// *finding.Error. Findings of validate at or below a path that already has a
// finding of Decode are dropped, because the value was not decoded. Parse does
// not call validate if the input exceeds a limit or has a syntax error.
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

// coversPath reports whether one of the findings is at path or at a parent of it.
func coversPath(findings []finding.Finding, path string) bool {
	for _, f := range findings {
		rest, below := strings.CutPrefix(path, f.Path)
		if below && (rest == "" || f.Path == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
