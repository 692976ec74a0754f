package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// engineProcessVariable is set in the environment of a process that this test starts as an engine.
const engineProcessVariable = "RELAY_TEST_ENGINE"

// serveEngineProcess is the endpoint of tests that kill it, in a process of its own. It sends a number of events
// without a length or chunks and goes on forever.
func serveEngineProcess(count int) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println("listening", listener.Addr())
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", idHeader, r.Header.Get(idHeader), eventText(count))
		fmt.Println("sent")
	})}
	_ = server.Serve(listener)
}

// startEngineProcess starts an endpoint that sends a number of events, and returns its address and a function that
// kills it once it has sent them, after other functions.
func startEngineProcess(t *testing.T, count int) (address string, kill func(before ...func())) {
	t.Helper()
	process := exec.CommandContext(t.Context(), os.Args[0])
	process.Env = append(os.Environ(), engineProcessVariable+"="+strconv.Itoa(count))
	output, err := process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		if found, ok := strings.CutPrefix(lines.Text(), "listening "); ok {
			address = found
			break
		}
	}
	assert.Assert(t, address != "", "the engine did not start")
	var once sync.Once
	kill = func(before ...func()) {
		once.Do(func() {
			lines.Scan()
			for _, run := range before {
				run()
			}
			_ = process.Process.Kill()
			_ = process.Wait()
		})
	}
	t.Cleanup(func() { kill() })
	return address, kill
}

// Guards against a stream that looks complete although its engine's process was killed: the kernel closes its
// connections in order, unlike a stand-in that resets them.
func TestStreamOfAKilledEngineIsNotComplete(t *testing.T) {
	for _, route := range []routing.Route{check, dossier} {
		s := newFixture(t, grant("e1", "e1"), grant("e2", "e2"))
		address, kill := startEngineProcess(t, 2)
		s.add("e1", "pool", configuration.RoleDecode, address)
		s.endpoint("e2", "pool", configuration.RoleDecode, events(3))
		go func() {
			for !strings.Contains(s.reserver.kinds(), "first-token") && t.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			kill()
		}()
		caller := s.serve(route, work)
		if route.Resumable {
			assert.Equal(t, caller.outcome, "stream")
			assert.Equal(t, caller.body, eventText(3))
			continue
		}
		assert.Equal(t, caller.outcome, "aborted")
		assert.Equal(t, caller.body, eventText(2))
	}
}
