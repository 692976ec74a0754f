package jsonc

import (
	"sort"
	"strconv"
	"strings"
)

// Lines gives the line of each value of an input by its JSON path.
type Lines struct {
	// starts are the offsets at which the lines start.
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
// "classes[2].targets.first_token". A path that the input lacks gets the line
// of the closest value around it, and 0 if there is none.
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

// parsed reports whether the input was free of syntax errors.
func (l *Lines) parsed() bool { return len(l.byPath) > 0 }

// lineAt returns the line of a byte offset.
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

// Member returns the path of an object's member. Names other than letters,
// digits, "_" and "-" are written as a quoted index.
func Member(path, name string) string {
	if !plainName(name) {
		return path + "[" + strconv.Quote(name) + "]"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// Element returns the path of an array's element.
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
