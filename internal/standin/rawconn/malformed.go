package rawconn

import "fmt"

// malformedStatusLines are status lines that HTTP/1.1 does not permit.
var malformedStatusLines = []string{
	"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 +20 None", "HTTP/1.1 -00 None", "HTTP/1.1 007 None", "HTTP/1.1 099 None",
	"HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK",
	"HTTP/1.1  OK", "HTTP/1.1", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/11 200 OK", "ICY 200 OK",
	"HTTP/1.1 200 O\x01K", "HTTP/1.1 200 OK\x00", " HTTP/1.1 200 OK", "\x01HTTP/1.1 200 OK",
}

// malformedLines are header lines that HTTP/1.1 does not permit. The last ones continue the line before them.
var malformedLines = []string{
	"X Field: 1", "X-Field : 1", "X-Field  : 1", "X-Field\t: 1", "X\tField: 1", "X-\x01Field: 1", "\x00: 1", "X-Field\x7f: 1",
	"X\rField: 1", "X-F\xc3\xa9ld: 1", "X-Field", ": 1", " : 1", "X-Field: a\x01b", "X-Field: a\x00",
	"Content-Length : 5", "Transfer-Encoding : chunked", "Connection : keep-alive", "Content Length: 5",
	" X-Field: 1", "\tX-Field: 1", "  ", " Content-Length: 5", " Transfer-Encoding: chunked",
}

// MalformedStatusLines returns answers, by their status lines, that HTTP/1.1 does not permit: alone, and followed by a
// whole answer. Apart from the status line each one is a whole answer with the given header lines and body.
func MalformedStatusLines(header, body string) map[string]string {
	all := make(map[string]string)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for _, line := range malformedStatusLines {
		all[fmt.Sprintf("%q", line)] = line + "\r\n" + header + length + "\r\n" + body
		all[fmt.Sprintf("%q, then an answer", line)] = line + "\r\n" + header + "\r\nHTTP/1.1 200 OK\r\n" + header + length + "\r\n" + body
	}
	return all
}

// MalformedHeaderLines returns answers, by what is wrong with them, with a header line that HTTP/1.1 does not permit: in
// the answer itself, alone or followed by a whole one, or in an interim one before it. Apart from that each one is a whole
// answer with the given header lines and body.
func MalformedHeaderLines(header, body string) map[string]string {
	all := make(map[string]string)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const status, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"
	for _, line := range malformedLines {
		line += "\r\n"
		all[fmt.Sprintf("first line %q", line)] = status + line + header + length + "\r\n" + body
		all[fmt.Sprintf("line %q", line)] = status + header + line + length + "\r\n" + body
		all[fmt.Sprintf("last line %q", line)] = status + header + length + line + "\r\n" + body
		all[fmt.Sprintf("line %q, then an answer", line)] = status + header + line + "Content-Length: 0\r\n\r\n" + status + header + length + "\r\n" + body
		all[fmt.Sprintf("line %q, unframed", line)] = status + header + line + "\r\n" + body
		all[fmt.Sprintf("line %q of an interim answer", line)] = interim + "Link: x\r\n" + line + "\r\n" + status + header + length + "\r\n" + body
		all[fmt.Sprintf("line %q after an interim answer", line)] = interim + "\r\n" + status + header + line + length + "\r\n" + body
	}
	return all
}
