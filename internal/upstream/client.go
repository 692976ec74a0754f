// Package upstream provides an HTTP/1.1 client for endpoints with a pool of
// persistent connections.
//
// http.Transport retries requests by itself when a pooled connection breaks, which
// is not safe for a request that may run at most once. This client sends each
// request once, reports whether the endpoint may have received it, and closes any
// connection that carries unsolicited bytes.
//
// An endpoint may write an earlier response once more, where the next one is due. If the
// client has the name of the header that identifies requests, it takes no response for that
// of another call: see Options.IDHeader.
package upstream

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sweepPeriod is the interval at which Run closes expired idle connections.
const sweepPeriod = time.Second

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
	// MaxIdleTotal limits the number of idle connections to all addresses; 0 sets no limit.
	MaxIdleTotal int
	// IDHeader is the header that identifies a request and that endpoints return in its
	// response. A response with another ID fails the exchange with an error of type Foreign.
	// Calls with the same ID use different connections, and a call without an ID has a connection
	// of its own, since an earlier response could be taken for theirs. If it is empty,
	// responses are not matched.
	IDHeader string
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
	// Foreign counts responses that did not name the request they were due for, also late ones.
	Foreign atomic.Int64
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	// Counters are read by the metrics.
	Counters Counters

	options Options

	// late are the waits for responses to requests that were given up.
	late sync.WaitGroup

	// idSeed is the seed of the hashes of IDs.
	idSeed maphash.Seed

	mu   sync.Mutex
	idle map[string][]*conn
	// idleTotal is the number of connections in idle.
	idleTotal int
	// lateCount is the number of waits in late.
	lateCount int
	// closed is set once Close was called: no connection is pooled and no late response awaited from then on.
	closed bool
}

// NewClient returns a client with an empty connection pool.
func NewClient(options Options) *Client {
	return &Client{options: options, idSeed: maphash.MakeSeed(), idle: make(map[string][]*conn)}
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
	// NewConnection sends the request on a new connection, which carries no other request.
	NewConnection bool
	// IDOptional permits a response that does not name the request if the connection has carried no
	// other one: some services name none, or make IDs of their own. The connection is then not
	// used again.
	IDOptional bool
	// Permit is asked once a connection is open, right before the request is sent; its error
	// prevents that. If it is nil, the request is sent.
	Permit func() error
	// Late receives the header of a response that arrives shortly after ctx has ended, in a
	// goroutine of its own; the body cannot be read. If it is nil, such responses are dropped.
	Late func(response *Response)
}

// Do sends a request and returns once the response's header has arrived. Cancelling
// ctx ends the exchange at once, also while the body is read. The error is of type
// NotSent, of which Withheld is a kind, or InDoubt, of which GivenUp and Foreign are kinds. The
// response must be closed.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := c.connection(ctx, address, request)
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

// connection returns a pooled connection on which no earlier response can be taken for that of the
// request, or a new one.
func (c *Client) connection(ctx context.Context, address string, request *Request) (*conn, error) {
	id := c.idOf(request)
	if request.NewConnection || c.options.IDHeader != "" && id == "" {
		return c.dial(ctx, address)
	}
	for pooled := c.takeIdle(address, request.MaxIdle, id); pooled != nil; pooled = c.takeIdle(address, request.MaxIdle, id) {
		if pooled.usable() {
			c.Counters.Reused.Add(1)
			return pooled, nil
		}
		c.Counters.Stale.Add(1)
		pooled.close()
	}
	return c.dial(ctx, address)
}

// idOf returns the ID by which the response to a request is recognized, empty if it has none.
func (c *Client) idOf(request *Request) string {
	if c.options.IDHeader == "" {
		return ""
	}
	return request.Header.Get(c.options.IDHeader)
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

// takeIdle removes the most recently used connection from the pool that has carried no
// request with the ID. It returns nil if none of those has been idle for a short enough time, and
// closes those that have been idle for too long.
func (c *Client) takeIdle(address string, maxIdle time.Duration, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	pooled := c.idle[address]
	for i, k := range slices.Backward(pooled) {
		switch {
		case !now.Before(k.expires) || maxIdle > 0 && now.Sub(k.idleSince) > maxIdle:
			k.close()
		case k.carried(id):
			continue
		default:
			c.setIdle(address, slices.Delete(pooled, i, i+1))
			return k
		}
		pooled = slices.Delete(pooled, i, i+1)
	}
	c.setIdle(address, pooled)
	return nil
}

// setIdle replaces the pool of an address. The lock must be held.
func (c *Client) setIdle(address string, pooled []*conn) {
	c.idleTotal += len(pooled) - len(c.idle[address])
	if len(pooled) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = pooled
}

// putIdle returns a connection to the pool. It closes the connection if the pool is full, or if the
// connection must not stay idle or has carried maxCarried requests.
func (c *Client) putIdle(k *conn, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := len(c.idle[k.address]) >= c.options.MaxIdle || c.options.MaxIdleTotal > 0 && c.idleTotal >= c.options.MaxIdleTotal
	if c.closed || full || idleTimeout <= 0 || len(k.ids) >= maxCarried {
		k.close()
		return
	}
	k.idleSince = time.Now()
	k.expires = k.idleSince.Add(idleTimeout)
	c.setIdle(k.address, append(c.idle[k.address], k))
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
		c.setIdle(address, live)
	}
}

// Run closes expired idle connections until ctx ends, then all of them.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	defer c.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.Sweep(now)
		}
	}
}

// beginLate counts a wait for a late response. It returns false if there are maxLate already or the client is closed,
// since a wait that begins during late.Wait is a misuse of sync.WaitGroup.
func (c *Client) beginLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.lateCount >= maxLate {
		return false
	}
	c.lateCount++
	c.late.Add(1)
	return true
}

// endLate ends a wait for a late response.
func (c *Client) endLate() {
	c.mu.Lock()
	c.lateCount--
	c.mu.Unlock()
	c.late.Done()
}

// Close closes all pooled connections and waits for late responses. An exchange that ends later closes its connection.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Sweep(time.Now().Add(time.Hour))
	c.late.Wait()
}
