package localsite

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
)

// newBody returns a body that net/http cannot rewind and thus sends at most once.
func newBody(body []byte) io.Reader { return io.MultiReader(bytes.NewReader(body)) }

// countedConn adds the bytes of both directions to count.
type countedConn struct {
	net.Conn
	count *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

// countingRelay relays connections to an address and counts their bytes in both directions.
func countingRelay(b *testing.B, target string) (string, *atomic.Int64) {
	b.Helper()
	listener, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	count := new(atomic.Int64)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			dialed, err := new(net.Dialer).DialContext(b.Context(), "tcp", target)
			if err != nil {
				_ = accepted.Close()
				return
			}
			counted := countedConn{Conn: accepted, count: count}
			go copyAndClose(dialed, counted)
			go copyAndClose(counted, dialed)
		}
	}()
	return listener.Addr().String(), count
}

// copyAndClose copies to the end of a connection and then closes both.
func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// listedVMs returns list entries with names and addresses of realistic lengths.
func listedVMs(n int) []vmlist.VM {
	vms := make([]vmlist.VM, n)
	for i := range vms {
		vms[i] = vmlist.VM{
			Name:    fmt.Sprintf("decode-south-b-%04d", i),
			Address: fmt.Sprintf("10.20.%d.%d:7400", i/200, i%200),
			Zone:    fmt.Sprintf("south-%d", i%7),
			State:   vmlist.Live,
		}
	}
	return vms
}

// serveList serves an encoded list and returns a client for it.
func serveList(b *testing.B, encoded []byte) *vmlist.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(encoded)
	}))
	transport := &http.Transport{}
	b.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
	})
	return vmlist.NewClient(server.URL, transport)
}
