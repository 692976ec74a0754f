package forward

import (
	"net"
	"net/http"
	"time"
)

const (
	maxIdlePerEndpoint = 64
	idleTimeout        = 30 * time.Second
)

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
