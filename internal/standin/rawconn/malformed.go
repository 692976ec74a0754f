package rawconn

import "fmt"

// malformedStatusLines are status lines that HTTP/1.1 does not permit.
var malformedStatusLines = []string{
	"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 +20 None", "HTTP/1.1 -00 None", "HTTP/1.1 007 None", "HTTP/1.1 099 None",
	"HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK",
	"HTTP/1.1  OK", "HTTP/1.1", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/11 200 OK", "ICY 200 OK",
	"HTTP/1.1 200 O\x01K", "HTTP/1.1 200 OK\x00", " HTTP/1.1 200 OK", "\x01HTTP/1.1 200 OK",
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
