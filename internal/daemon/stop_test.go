package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// slowdown makes answers of engines last longer than the balancer's lag.
const slowdown = 4

// firstVM returns the name of a VM of a site and its address for callers.
func firstVM(site *localsite.Site) (name, address string) {
	name = site.Bundle.Fleet.VMs[0].Name
	return name, site.VMs[name].CallerAddr()
}

// stopVM stops a VM in the background and returns the channel for the outcome.
func stopVM(site *localsite.Site, name string) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- site.StopVM(context.Background(), name) }()
	return stopped
}

// dialInterval is the time between two connections, in which the first is accepted.
const dialInterval = 20 * time.Millisecond

// lastAccepted connects until nothing listens any more, and returns the last connection
// but one. The last one may not have been accepted as the listener closed.
func lastAccepted(t *testing.T, address string) net.Conn {
	t.Helper()
	var open []net.Conn
	for {
		connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		if err != nil {
			break
		}
		open = append(open, connection)
		time.Sleep(dialInterval)
	}
	last := len(open) - 2
	for i, connection := range open {
		if i != last {
			assert.NilError(t, connection.Close())
		}
	}
	return open[last]
}

// A server that shuts down closed connections from which it had just read a request.
func TestStopAnswersRequestsThatComeAfterTheBalancersLag(t *testing.T) {
	site := startSite(t)
	name, address := firstVM(site)
	stopped := stopVM(site, name)
	late := lastAccepted(t, address)
	_, err := fmt.Fprintf(late, "GET /rosters/7 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n\r\n", examples.QuickstartKey)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, <-stopped)
	assert.NilError(t, late.Close())
}

// A stop must neither cut off the requests of a connection that carries several, nor wait
// for one that carries none.
func TestStopFinishesRequestsOfBothProtocols(t *testing.T) {
	for name, protocols := range map[string]func(*http.Protocols){
		"HTTP/1": func(p *http.Protocols) { p.SetHTTP1(true) },
		"HTTP/2": func(p *http.Protocols) { p.SetUnencryptedHTTP2(true) },
	} {
		t.Run(name, func(t *testing.T) {
			site := startSite(t)
			vm, address := firstVM(site)
			var chosen http.Protocols
			protocols(&chosen)
			busy, idle := &http.Transport{Protocols: &chosen}, &http.Transport{Protocols: &chosen}
			defer busy.CloseIdleConnections()
			defer idle.CloseIdleConnections()
			roster, err := caller.New(address, examples.QuickstartKey, &http.Client{Transport: idle}).Do(t.Context(), caller.Request{Method: http.MethodGet, Path: "/rosters/7"})
			assert.NilError(t, err)
			assert.Assert(t, roster.OK())
			for _, e := range site.Platform.Engines {
				e.SetFaults(engine.Faults{Slow: slowdown})
			}
			answered := make(chan error, 1)
			go func() {
				answer, err := caller.New(address, examples.QuickstartKey, &http.Client{Transport: busy}).Do(t.Context(), caller.Request{
					Method: http.MethodPost, Path: "/v1/completions",
					Body: []byte(`{"model":"drafter","prompt":"a stop"}`),
				})
				if err == nil && !answer.OK() {
					err = fmt.Errorf("%+v", answer)
				}
				answered <- err
			}()
			for site.Platform.Totals().PiecesHeld == 0 {
				time.Sleep(time.Millisecond)
			}
			stopped := stopVM(site, vm)
			assert.NilError(t, <-answered)
			assert.NilError(t, <-stopped)
		})
	}
}
