package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverProcessVariable is set in the environment of a process that this test starts as a server.
const serverProcessVariable = "CALLERCONN_TEST_SERVER"

// serveAnswerProcess is the server of TestAnswerOfAKilledProcessIsReset, in a process of its own. It begins an answer
// that ends with its connection, and never ends it.
func serveAnswerProcess() {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println("listening", listener.Addr())
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnContext: NewContext}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = ResetOnClose(r.Context(), true)
		_, _ = io.WriteString(w, "begun\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	_ = server.Serve(New().Listener(listener))
}

// Guards against an answer that looks complete because the kernel closes the connections of a killed process in order.
func TestAnswerOfAKilledProcessIsReset(t *testing.T) {
	process := exec.CommandContext(t.Context(), os.Args[0])
	process.Env = append(os.Environ(), serverProcessVariable+"=1")
	output, err := process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	address, lines := "", bufio.NewScanner(output)
	for address == "" && lines.Scan() {
		if found, ok := strings.CutPrefix(lines.Text(), "listening "); ok {
			address = found
		}
	}
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(caller, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(caller)
	for line := ""; line != "begun\n"; {
		line, err = reader.ReadString('\n')
		assert.NilError(t, err)
	}
	assert.NilError(t, process.Process.Kill())
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.NilError(t, caller.Close())
	_ = process.Wait()
}
