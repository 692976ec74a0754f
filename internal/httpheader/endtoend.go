// Package httpheader separates end-to-end headers from hop-by-hop headers.
package httpheader

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy without the hop-by-hop headers, including those that the
// Connection header names. The copy is never nil.
func EndToEnd(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	return header
}
