// Package upstream provides an HTTP/1.1 client for endpoints with a pool of
// persistent connections.
//
// http.Transport retries requests by itself when a pooled connection breaks, which
// is not safe for a request that may run at most once. This client sends each
// request once, reports whether the endpoint may have received it, and closes any
// connection that carries unsolicited bytes.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options are the settings of a Client.
type Options struct {
	// DialTimeout limits the time to open a new connection.
	DialTimeout time.Duration
	// UnackedTimeout closes a connection whose peer does not acknowledge bytes.
	UnackedTimeout time.Duration
	// ProbePeriod is the period of keep-alive probes on silent connections, which
	// detect within three periods that a connection was cut without notice; 0 disables
	// the probes.
	ProbePeriod time.Duration
	// IdleTimeout is how long an idle connection stays in the pool. An endpoint can
	// shorten it by a Keep-Alive header.
	IdleTimeout time.Duration
	// MaxIdle limits the number of idle connections to one address.
	MaxIdle int
}

// Counters count exchanges. The zero value is ready to use.
type Counters struct {
	// Dialed counts new connections, DialFailed failed attempts to open one.
	Dialed, DialFailed atomic.Int64
	// Reused counts exchanges on pooled connections.
	Reused atomic.Int64
	// Stale counts pooled connections that were found closed or with unsolicited bytes.
	Stale atomic.Int64
	// Late counts responses that arrived after their requests had been given up.
	Late atomic.Int64
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	// Counters are read by the metrics.
	Counters Counters

	options Options

	// late are the waits for responses to requests that were given up, lateCount their number.
	late      sync.WaitGroup
	lateCount atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client with an empty connection pool.
func NewClient(options Options) *Client {
	return &Client{options: options, idle: make(map[string][]*conn)}
}

// Request is one message to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as it is sent.
	Target string
	// Host is the value of the Host header; if empty, the address is used.
	Host string
	// Header is sent unchanged; it must contain neither Host nor Content-Length.
	Header http.Header
	Body   []byte
	// MaxIdle limits how long a pooled connection may have been idle to be used
	// for this request; 0 sets no limit.
	MaxIdle time.Duration
	// Permit is asked once a connection is open, right before the request is sent; its error
	// prevents that. If it is nil, the request is sent.
	Permit func() error
	// Late receives the header of a response that arrives shortly after ctx has ended, in a
	// goroutine of its own; the body cannot be read. If it is nil, such responses are dropped.
	Late func(response *Response)
}

// Do sends a request and returns once the response's header has arrived. Cancelling
// ctx ends the exchange at once, also while the body is read. The error is of type
// NotSent, of which Withheld is a kind, or InDoubt. The response must be closed.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := c.connection(ctx, address, request.MaxIdle)
	if err != nil {
		return nil, NotSent.Wrap(err, "connection to %s", address)
	}
	if request.Permit != nil {
		if err := request.Permit(); err != nil {
			connection.close()
			return nil, Withheld.Wrap(err, "request to %s", address)
		}
	}
	return connection.exchange(ctx, request)
}

// connection returns a pooled connection or a new one.
func (c *Client) connection(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for pooled := c.takeIdle(address, maxIdle); pooled != nil; pooled = c.takeIdle(address, maxIdle) {
		if pooled.usable() {
			c.Counters.Reused.Add(1)
			return pooled, nil
		}
		c.Counters.Stale.Add(1)
		pooled.close()
	}
	return c.dial(ctx, address)
}

// Refuses reports whether nothing listens at an address. A connection that is opened to
// find out is pooled.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	opened, err := c.dial(ctx, address)
	if err == nil {
		c.putIdle(opened, c.options.IdleTimeout)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         c.options.DialTimeout,
		KeepAlive:       -1,
		KeepAliveConfig: keepAliveConfig(c.options.ProbePeriod),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUnackedTimeout(raw, c.options.UnackedTimeout)
		},
	}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.Counters.DialFailed.Add(1)
		return nil, err
	}
	c.Counters.Dialed.Add(1)
	return newConn(c, address, socket), nil
}

// unansweredProbes is the number of unanswered keep-alive probes after which a
// connection is closed.
const unansweredProbes = 2

func keepAliveConfig(period time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: period > 0, Idle: period, Interval: period, Count: unansweredProbes}
}

// takeIdle removes the most recently used connection from the pool. It returns nil
// if no connection has been idle for a short enough time, and closes those that it
// rejects.
func (c *Client) takeIdle(address string, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for pooled := c.idle[address]; len(pooled) > 0; pooled = c.idle[address] {
		last := pooled[len(pooled)-1]
		c.idle[address] = pooled[:len(pooled)-1]
		if now.Before(last.expires) && (maxIdle == 0 || now.Sub(last.idleSince) <= maxIdle) {
			return last
		}
		last.close()
	}
	delete(c.idle, address)
	return nil
}

// putIdle returns a connection to the pool. It closes the connection if the pool is
// full or the connection must not stay idle.
func (c *Client) putIdle(k *conn, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.address]) >= c.options.MaxIdle || idleTimeout <= 0 {
		k.close()
		return
	}
	k.idleSince = time.Now()
	k.expires = k.idleSince.Add(idleTimeout)
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Sweep closes pooled connections whose idle timeout has passed.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, pooled := range c.idle {
		live := pooled[:0]
		for _, k := range pooled {
			if now.Before(k.expires) {
				live = append(live, k)
				continue
			}
			k.close()
		}
		c.idle[address] = live
		if len(live) == 0 {
			delete(c.idle, address)
		}
	}
}

// Close closes all pooled connections and waits for late responses.
func (c *Client) Close() {
	c.Sweep(time.Now().Add(time.Hour))
	c.late.Wait()
}
