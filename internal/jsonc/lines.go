package jsonc

import (
	"sort"
	"strconv"
	"strings"
)

// Lines maps the JSON paths of the values of an input to their lines.
type Lines struct {
	// starts are the byte offsets of the starts of the lines.
	starts []int
	byPath map[string]int
}

func newLines(data []byte) *Lines {
	l := &Lines{starts: []int{0}, byPath: map[string]int{}}
	for i, b := range data {
		if b == '\n' {
			l.starts = append(l.starts, i+1)
		}
	}
	return l
}

// Line returns the line of the value at a JSON path such as
// "classes[2].targets.first_token". If the input has no value at the path, Line
// returns the line of the closest enclosing value, or 0 if there is none.
func (l *Lines) Line(path string) int {
	for {
		if line, ok := l.byPath[path]; ok {
			return line
		}
		if path == "" {
			return 0
		}
		path = parent(path)
	}
}

// parsed reports whether the input was parsed, i.e. was within the limits and had
// no syntax errors.
func (l *Lines) parsed() bool { return len(l.byPath) > 0 }

// lineAt returns the line that contains a byte offset.
func (l *Lines) lineAt(offset int) int {
	return sort.SearchInts(l.starts, offset+1)
}

// parent strips the last element from a path.
func parent(path string) string {
	if strings.HasSuffix(path, "]") {
		return path[:strings.LastIndexByte(path, '[')]
	}
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		return path[:dot]
	}
	return ""
}

// Member returns the path of a member of the object at path. A name that is
// empty or has characters other than letters, digits, "_" and "-" is written as a
// quoted index.
func Member(path, name string) string {
	if !plainName(name) {
		return path + "[" + strconv.Quote(name) + "]"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// Element returns the path of an element of the array at path.
func Element(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}

func plainName(name string) bool {
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '_' && r != '-' {
			return false
		}
	}
	return name != ""
}
