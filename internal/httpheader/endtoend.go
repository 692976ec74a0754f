// Package httpheader tells the headers of a message from those of one connection.
package httpheader

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd copies headers without those that concern one connection only. The
// copy is never nil.
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
