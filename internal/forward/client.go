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

// newClient returns a client. If single is set, each request uses a new
// connection, so that net/http never retries a request by itself.
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
