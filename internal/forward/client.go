package forward

import (
	"net/url"
	"strings"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/httpheader"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	maxIdlePerEndpoint = 64
	idleTimeout        = 30 * time.Second
	// probePeriod is the period of keep-alive probes; an endpoint that was cut off without notice
	// is found within three periods if the deadline of the call is later.
	probePeriod = 15 * time.Second
)

// newUpstream returns the client for connections to plain services. Replies are matched to their
// calls by X-Request-Id.
func newUpstream() *upstream.Client {
	return upstream.NewClient(upstream.Options{
		DialTimeout: dialTimeout,
		ProbePeriod: probePeriod,
		IdleTimeout: idleTimeout,
		MaxIdle:     maxIdlePerEndpoint,
		IDHeader:    requestIDHeader,
	})
}

// newRequest builds the request to an endpoint. A service need not repeat X-Request-Id: a reply
// without it counts on a connection that has carried no other call.
func newRequest(call *Call, address string) (*upstream.Request, error) {
	target, err := url.Parse("http://" + address + call.Path)
	if err != nil {
		return nil, BadRequest.Wrap(err, "%s", call.RequestID)
	}
	path := target.RequestURI()
	if strings.ContainsAny(path, " \r\n") {
		return nil, BadRequest.New("%s: the path %q cannot be sent", call.RequestID, path)
	}
	header := httpheader.EndToEnd(call.Header)
	for _, name := range replacedHeaders {
		header.Del(name)
	}
	header.Set(requestIDHeader, call.RequestID)
	if call.Key != "" {
		header.Set(keyHeader, call.Key)
	}
	return &upstream.Request{
		Method:        call.Class.Method,
		Target:        path,
		Header:        header,
		Body:          call.Body,
		NewConnection: call.Class.Repeat == configuration.NeverRepeat,
		IDOptional:    true,
	}, nil
}

// replacedHeaders are the end-to-end headers of a caller that are not passed on as they are.
var replacedHeaders = []string{"Authorization", keyHeader, "Host", "Content-Length"}
