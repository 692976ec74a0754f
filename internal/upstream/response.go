package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is an endpoint's response. Read returns io.EOF only after a body that
// is complete according to its framing. A body that ends with the connection has at least one
// byte, and the endpoint has the whole request: otherwise it may have broken off.
type Response struct {
	Status int
	Header http.Header
	// Framed is set if a length or chunks distinguish the body's end from a truncation, or if there is no body, as in
	// the response to a HEAD request.
	Framed bool
	// OnClose is called once by Close, unless it is nil.
	OnClose func()

	conn    *conn
	head    *http.Response
	written <-chan error
	stop    func() bool
	// sawBody is set once a byte of the body was read, sawEOF once it was read to its end.
	sawBody bool
	sawEOF  bool
	closed  bool
	// broken is why a body that has ended is not complete, nil if it is or has not ended.
	broken error
}

func newResponse(k *conn, head *http.Response, written <-chan error, stop func() bool) *Response {
	return &Response{
		Status:  head.StatusCode,
		Header:  head.Header,
		Framed:  head.ContentLength >= 0 || len(head.TransferEncoding) > 0 || head.Body == http.NoBody,
		conn:    k,
		head:    head,
		written: written,
		stop:    stop,
	}
}

// Read implements io.Reader.
func (r *Response) Read(p []byte) (int, error) {
	if r.broken != nil {
		return 0, r.broken
	}
	n, err := r.head.Body.Read(p)
	r.sawBody = r.sawBody || n > 0
	if err != io.EOF {
		return n, err
	}
	if !r.sawEOF {
		if r.broken = r.checkEnd(); r.broken != nil {
			return n, r.broken
		}
	}
	r.sawEOF = true
	return n, io.EOF
}

// checkEnd returns why a body that has ended is not complete, nil if it is.
func (r *Response) checkEnd() error {
	if r.Framed {
		return checkNames(r.head.Trailer)
	}
	return r.checkUnframedEnd()
}

// checkUnframedEnd returns why a body that ended with its connection may be truncated, nil if it is complete. It waits
// until the endpoint has the whole request. One that closes its connection before that breaks the exchange off, and
// the read of the response may get an end of file all the same: the kernel reports a reset once per socket, to the
// write of the request's body if that is in progress.
func (r *Response) checkUnframedEnd() error {
	if !r.sawBody {
		return io.ErrUnexpectedEOF
	}
	if r.written != nil {
		if err := <-r.written; err != nil {
			return errRequestUnread.Wrap(err, "%s", r.conn.address)
		}
	}
	return awaitAcked(r.conn.socket)
}

// Close ends the exchange. The connection returns to the pool if the response was
// read to its end and no further bytes have arrived.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if r.OnClose != nil {
		defer r.OnClose()
	}
	active := r.stop()
	if !active || !r.sawEOF || !r.reusable() || r.conn.endLongBody() != nil {
		r.conn.close()
		return
	}
	r.conn.client.putIdle(r.conn, r.idleTimeout())
}

// Abort ends the exchange at once; a concurrent Read returns an error.
func (r *Response) Abort() { r.conn.close() }

// reusable reports whether the connection may carry another exchange.
func (r *Response) reusable() bool {
	if r.head.Close || r.conn.single || !r.Framed || !r.identified() || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// identified reports whether the next response on the connection can be distinguished from this one, if responses
// are matched.
func (r *Response) identified() bool {
	return r.conn.client.options.IDHeader == "" || len(r.conn.ids) > 0 && r.conn.named
}

// idleTimeout returns how long the connection may stay in the pool.
func (r *Response) idleTimeout() time.Duration {
	timeout := r.conn.client.options.IdleTimeout
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			stated := time.Duration(seconds) * time.Second
			timeout = min(timeout, time.Duration(float64(stated)*keepAliveShare))
		}
	}
	return timeout
}
