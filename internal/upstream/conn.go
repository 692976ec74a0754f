package upstream

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// readBufferBytes is the size of a connection's read buffer; most events and
	// answers fit.
	readBufferBytes = 4 << 10
	// inlineBodyBytes is the size up to which a body is written before the
	// response is read. Socket buffers hold that much, so that the write does not
	// block on an endpoint that answers before it reads the body.
	inlineBodyBytes = 32 << 10
	// keepAliveShare is the share of the idle timeout stated by an endpoint for which
	// a connection is pooled, so that the endpoint does not close it while a request
	// is being sent.
	keepAliveShare = 0.75
	// lateTimeout is how long the response to a request that was given up is awaited. An
	// endpoint that works on until its connection is closed does so for no longer.
	lateTimeout = 100 * time.Millisecond
	// maxLate limits the connections on which such responses are awaited.
	maxLate = 256
	// maxCarried is the number of requests with an ID after which a connection is closed. It bounds
	// the memory for their IDs to 2 KiB a connection.
	maxCarried = 256
)

// conn is one connection to an endpoint. It carries one exchange at a time.
type conn struct {
	client  *Client
	address string
	socket  net.Conn
	heads   *headReader
	reader  *bufio.Reader
	// idleSince and expires are set while the connection is in the pool.
	idleSince, expires time.Time
	closing            sync.Once
	// longBody is set while the exchange has a body that may stay unread for long.
	longBody bool
	// single is set if the connection must not carry another exchange.
	single bool
	// named is set if the last response named its request.
	named bool
	// ids are hashes of the IDs of the requests that the connection has carried.
	ids []uint64
}

func newConn(client *Client, address string, socket net.Conn) *conn {
	heads := &headReader{source: socket}
	return &conn{
		client:  client,
		address: address,
		socket:  socket,
		heads:   heads,
		reader:  bufio.NewReaderSize(heads, readBufferBytes),
	}
}

func (k *conn) close() { k.closing.Do(func() { _ = k.socket.Close() }) }

// usable reports whether the connection is open and holds no unsolicited bytes.
func (k *conn) usable() bool {
	return k.reader.Buffered() == 0 && !Readable(k.socket)
}

// carried reports whether a request with the ID may have been sent on the connection.
func (k *conn) carried(id string) bool {
	return id != "" && slices.Contains(k.ids, maphash.String(k.client.idSeed, id))
}

// matches reports whether a response names the request, or none if the request has no ID. It counts those that
// do not.
func (k *conn) matches(request *Request, head *http.Response) bool {
	k.named = head.Header.Get(k.client.options.IDHeader) == k.client.idOf(request)
	if k.named || request.IDOptional && len(k.ids) == 1 {
		return true
	}
	k.client.Counters.Foreign.Add(1)
	return false
}

// exchange sends the request and reads the response's header.
func (k *conn) exchange(ctx context.Context, request *Request) (*Response, error) {
	if id := k.client.idOf(request); id != "" {
		k.ids = append(k.ids, maphash.String(k.client.idSeed, id))
	}
	k.single = request.NewConnection
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = k.socket.SetDeadline(time.Unix(1, 0))
	})
	written, err := k.send(request)
	if err != nil {
		stop()
		k.close()
		return nil, inDoubt(ctx).Wrap(err, "sending to %s", k.address)
	}
	head, err := k.readHead(request.Method) //nolint:bodyclose // The connection is closed in its place.
	if active := stop(); !active {
		<-interrupted
	}
	if err != nil {
		k.giveUp(request, ctx.Err() != nil)
		return nil, inDoubt(ctx).Wrap(err, "response of %s", k.address)
	}
	if !k.matches(request, head) {
		k.close()
		return nil, Foreign.New("%s answered another request", k.address)
	}
	return newResponse(k, head, written, context.AfterFunc(ctx, k.close)), nil
}

// inDoubt returns the type of the error of an exchange that has failed.
func inDoubt(ctx context.Context) *errorx.Type {
	if ctx.Err() != nil {
		return GivenUp
	}
	return InDoubt
}

// giveUp ends an exchange whose response's header has not arrived. The endpoint sees the end at once. If
// the exchange was cancelled, the response may be on its way and is awaited in the background.
func (k *conn) giveUp(request *Request, cancelled bool) {
	if !cancelled || request.Late == nil || k.closeWrite() != nil {
		k.close()
		return
	}
	if !k.client.beginLate() {
		k.close()
		return
	}
	go func() {
		defer k.client.endLate()
		k.awaitLate(request)
	}()
}

// closeWrite sends the end of the stream; what arrives can still be read.
func (k *conn) closeWrite() error {
	socket, ok := k.socket.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	return socket.CloseWrite()
}

// awaitLate waits for the header of a response to a request that was given up.
func (k *conn) awaitLate(request *Request) {
	defer k.close()
	if k.socket.SetReadDeadline(time.Now().Add(lateTimeout)) != nil {
		return
	}
	head, err := k.readHead(request.Method) //nolint:bodyclose // The connection is closed in its place.
	if err != nil || !k.matches(request, head) {
		return
	}
	k.client.Counters.Late.Add(1)
	request.Late(&Response{Status: head.StatusCode, Header: head.Header, head: head, conn: k, closed: true})
}

// send writes the request. A large body is written concurrently with reading the
// response; the returned channel then yields the outcome of the write.
func (k *conn) send(request *Request) (<-chan error, error) {
	var message bytes.Buffer
	writeHead(&message, request, k.address)
	if len(request.Body) <= inlineBodyBytes {
		message.Write(request.Body)
		_, err := k.socket.Write(message.Bytes())
		return nil, err
	}
	if err := k.awaitLongBody(); err != nil {
		return nil, err
	}
	if _, err := k.socket.Write(message.Bytes()); err != nil {
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := k.socket.Write(request.Body)
		written <- err
	}()
	return written, nil
}

// awaitLongBody lifts the limit on unacknowledged bytes for an exchange. The kernel also
// applies it to a peer that acknowledges all bytes but has no room for more, such as an
// endpoint that pauses or reads a long body later. The exchange's context still ends it.
func (k *conn) awaitLongBody() error {
	k.longBody = true
	return limitUnacked(k.socket, 0)
}

// endLongBody restores the limit after the exchange.
func (k *conn) endLongBody() error {
	if !k.longBody {
		return nil
	}
	k.longBody = false
	return limitUnacked(k.socket, k.client.options.UnackedTimeout)
}

// writeHead writes the request line and the header.
func writeHead(message *bytes.Buffer, request *Request, address string) {
	message.WriteString(request.Method)
	message.WriteByte(' ')
	message.WriteString(request.Target)
	message.WriteString(" HTTP/1.1\r\nHost: ")
	message.WriteString(cmp.Or(request.Host, address))
	message.WriteString("\r\n")
	_ = request.Header.Write(message)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(len(request.Body)))
		message.WriteString("\r\n")
	}
	message.WriteString("\r\n")
}
