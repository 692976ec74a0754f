// Package upstream exchanges HTTP/1.1 messages with endpoints over kept
// connections.
//
// http.Transport repeats requests on its own when a kept connection breaks. A
// request that may run at most once needs more: this client sends each request
// once, tells whether an endpoint can have received it, and gives up any
// connection that carries bytes which no request asked for.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options are the settings of a Client.
type Options struct {
	// DialTimeout bounds the time to get a new connection.
	DialTimeout time.Duration
	// UnackedTimeout closes a connection whose peer does not acknowledge bytes.
	UnackedTimeout time.Duration
	// ProbePeriod is the period of probes on connections that carry nothing, by
	// which a connection that was cut without notice is found within three periods;
	// 0 for no probes.
	ProbePeriod time.Duration
	// IdleTimeout is how long a connection is kept where the endpoint names no time.
	IdleTimeout time.Duration
	// MaxIdle bounds the kept connections to one address.
	MaxIdle int
}

// Counters count exchanges. The zero value is ready to use.
type Counters struct {
	// Dialed counts new connections, DialFailed those that could not be made.
	Dialed, DialFailed atomic.Int64
	// Reused counts exchanges on kept connections.
	Reused atomic.Int64
	// Stale counts kept connections that were found closed or with stray bytes.
	Stale atomic.Int64
}

// Client does exchanges. It is safe for concurrent use.
type Client struct {
	// Counters are read by the metrics.
	Counters Counters

	options Options

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{options: options, idle: make(map[string][]*conn)}
}

// Request is one message to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as it is sent.
	Target string
	// Host names the host that is meant; empty stands for the address.
	Host string
	// Header is sent as it is; it names neither the host nor the body's length.
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a kept connection may have been idle to be used
	// for this request; 0 sets no bound.
	MaxIdle time.Duration
}

// Do sends a request and returns once the response's header has arrived. The end
// of ctx closes the connection, also while the body is read. The error is
// NotSent or InDoubt. The response must be closed.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := c.connection(ctx, address, request.MaxIdle)
	if err != nil {
		return nil, NotSent.Wrap(err, "connection to %s", address)
	}
	return connection.exchange(ctx, request)
}

// connection returns a kept connection or a new one.
func (c *Client) connection(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for kept := c.takeIdle(address, maxIdle); kept != nil; kept = c.takeIdle(address, maxIdle) {
		if kept.usable() {
			c.Counters.Reused.Add(1)
			return kept, nil
		}
		c.Counters.Stale.Add(1)
		kept.close()
	}
	return c.dial(ctx, address)
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

// unansweredProbes is the number of probes without an answer that ends a connection.
const unansweredProbes = 2

func keepAliveConfig(period time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: period > 0, Idle: period, Interval: period, Count: unansweredProbes}
}

// takeIdle removes the connection that was used last from the kept ones.
func (c *Client) takeIdle(address string, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for kept := c.idle[address]; len(kept) > 0; kept = c.idle[address] {
		last := kept[len(kept)-1]
		c.idle[address] = kept[:len(kept)-1]
		if now.Before(last.expires) && (maxIdle == 0 || now.Sub(last.idleSince) <= maxIdle) {
			return last
		}
		last.close()
	}
	delete(c.idle, address)
	return nil
}

// putIdle stores a connection for later requests.
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

// Sweep closes kept connections whose time has passed.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.idle {
		live := kept[:0]
		for _, k := range kept {
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

// Close closes all kept connections.
func (c *Client) Close() { c.Sweep(time.Now().Add(time.Hour)) }
