package rawconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	// EndlessBytes is what an endless handler sends before it takes the caller for one that reads without end.
	EndlessBytes = 64 << 20
	// endlessBlock is the size of one write.
	endlessBlock = 32 << 10
)

// Endless returns a handler that answers one request with a beginning, in which ID stands for the request's, and a part
// that is repeated until the connection is closed. It calls a function after EndlessBytes.
func Endless(idHeader, beginning, part string, late func()) Handler {
	block := strings.Repeat(part, 1+endlessBlock/len(part))
	return func(_ int, requests *bufio.Reader, conn net.Conn) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, err = io.WriteString(conn, strings.ReplaceAll(beginning, "ID", request.Header.Get(idHeader)))
		for sent := 0; err == nil; sent += len(block) {
			if sent >= EndlessBytes {
				late()
			}
			_, err = io.WriteString(conn, block)
		}
	}
}
