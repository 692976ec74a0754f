// Package finding collects the problems of an input together with their places,
// so that all of them are reported at once instead of only the first.
//
// A Report collects findings while an input is checked and is converted to an
// error at the end. A report without findings is not an error.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place is the position in an input to which a finding refers.
type Place struct {
	// File is the name of the input file, empty if the input is not a file.
	File string `json:"file,omitempty"`
	// Line is the line number, starting at 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Path is the JSON path of the value, for example "classes[2].targets.first_token".
	Path string `json:"path,omitempty"`
}

// Finding is one problem at one place.
type Finding struct {
	Place
	// Problem describes what is wrong and, where possible, what is allowed.
	Problem string `json:"problem"`
}

// String formats the finding as "file:line: path: problem".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path)
		b.WriteString(": ")
	}
	b.WriteString(f.Problem)
	return b.String()
}

// Report collects findings. The zero value is ready to use.
type Report struct {
	findings []Finding
}

// Add appends a finding.
func (r *Report) Add(f Finding) {
	r.findings = append(r.findings, f)
}

// Addf appends a finding for a JSON path without file and line.
func (r *Report) Addf(path, format string, args ...any) {
	r.Add(Finding{Place: Place{Path: path}, Problem: fmt.Sprintf(format, args...)})
}

// Len returns the number of findings.
func (r *Report) Len() int { return len(r.findings) }

// Findings returns the findings sorted by file, line and path.
func (r *Report) Findings() []Finding {
	sorted := slices.Clone(r.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Path, b.Path),
		)
	})
	return sorted
}

// Locate sets the file and line of every finding that has none. The function
// line returns the line of a JSON path, or 0 if it is unknown.
func (r *Report) Locate(file string, line func(path string) int) {
	for i := range r.findings {
		f := &r.findings[i]
		if f.File == "" {
			f.File = file
		}
		if f.Line == 0 {
			f.Line = line(f.Path)
		}
	}
}

// Err returns an *Error with all findings, or nil if there are none.
func (r *Report) Err() error {
	if len(r.findings) == 0 {
		return nil
	}
	return &Error{Findings: r.Findings()}
}

// Error is an error with at least one finding.
type Error struct {
	// Findings are sorted by file, line and path.
	Findings []Finding
}

// Error returns all findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
