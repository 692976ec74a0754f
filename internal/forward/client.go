package forward

import (
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	maxIdlePerEndpoint = 64
	idleTimeout        = 30 * time.Second
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// newClient returns a client; with single every request gets a connection of
// its own, so that net/http never repeats a request by itself.
func newClient(single bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// endToEnd copies headers without those that concern one connection only.
func endToEnd(from http.Header) http.Header {
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
