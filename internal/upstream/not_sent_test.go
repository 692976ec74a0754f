package upstream

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// Guards against a request that counts as not sent, and is refused with the promise that it has not run,
// although the endpoint got it: requests end at random times while connections are opened, reused and
// reset.
func TestRequestThatWasNotSentNeverArrives(t *testing.T) {
	const requests = 2000
	random := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	arrived := make(map[string]bool)
	resets := make([]bool, requests)
	for i := range resets {
		resets[i] = random.IntN(3) == 0
	}
	address := serveBeside(t, func(_ *testing.T, incoming *bufio.Reader, conn net.Conn) {
		for {
			// The request line is enough for an endpoint to begin its work.
			line, err := incoming.ReadString('\n')
			if err != nil {
				return
			}
			id := line[len("POST /"):]
			number, _ := strconv.Atoi(id[:len(id)-len(" HTTP/1.1\r\n")])
			mu.Lock()
			arrived[strconv.Itoa(number)] = true
			mu.Unlock()
			for line != "\r\n" {
				if line, err = incoming.ReadString('\n'); err != nil {
					return
				}
			}
			writeReply(conn, okAnswer)
			if resets[number] {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
		}
	})
	client := newTestClient(t)
	outcomes := make(map[string]int)
	var notSent []string
	for number := range requests {
		id := strconv.Itoa(number)
		ctx, cancel := context.WithCancel(t.Context())
		request := &Request{Method: http.MethodPost, Target: "/" + id, Header: http.Header{}}
		switch random.IntN(4) {
		case 0:
			// It may end while the connection is opened, the request written or the response awaited.
			time.AfterFunc(time.Duration(random.IntN(200))*time.Microsecond, cancel)
		case 1:
			request.Permit = func() error { return errors.New("not now") }
		case 2:
			request.Permit = func() error { cancel(); return nil }
		}
		response, err := client.Do(ctx, address, request)
		switch {
		case err == nil:
			outcomes["answered"]++
			_, _ = response.Read(make([]byte, 2))
			_, _ = response.Read(make([]byte, 1))
			response.Close()
		case errorx.IsOfType(err, NotSent):
			outcomes["not sent"]++
			notSent = append(notSent, id)
		default:
			outcomes["in doubt"]++
		}
		cancel()
	}
	// What is on its way arrives.
	client.Close()
	time.Sleep(50 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range notSent {
		assert.Assert(t, !arrived[id], "request %s arrived", id)
	}
	for _, outcome := range []string{"answered", "not sent", "in doubt"} {
		assert.Assert(t, outcomes[outcome] > 0, "%v", outcomes)
	}
	t.Log(outcomes, "arrived:", len(arrived))
}
