package jsonc

import "bytes"

// depth returns an upper bound of the nesting depth of objects and arrays. It
// works without recursion and is called before parsing, so that a malicious input
// cannot exhaust the stack of the parser.
func depth(data []byte) int {
	deepest, current := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '/':
			i = endOfComment(data, i)
		case '{', '[':
			current++
			deepest = max(deepest, current)
		case '}', ']':
			current--
		}
	}
	return deepest
}

// endOfString returns the index of the closing quote of the string that starts at
// i.
func endOfString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the index of the last byte of the comment that starts at
// i, or i if there is no comment.
func endOfComment(data []byte, i int) int {
	rest := data[i:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		return i + lengthUntil(rest, 2, "\n") - 1
	case bytes.HasPrefix(rest, []byte("/*")):
		return i + lengthUntil(rest, 2, "*/") - 1
	}
	return i
}

// lengthUntil returns the length of data up to the end of the first mark at or
// after the index from, or the length of all data if there is no such mark.
func lengthUntil(data []byte, from int, mark string) int {
	at := bytes.Index(data[from:], []byte(mark))
	if at < 0 {
		return len(data)
	}
	return from + at + len(mark)
}
