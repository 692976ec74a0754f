package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a model engine of a service. It processes prompts itself, and its streams may be taken up with
// Last-Event-Id. Each event names the service and the software that made it.
type engine struct {
	id, address, service, version string
	record                        *record
	load                          load
	// weights is the version of the model's weights.
	weights int
	// events and pause are the length of a stream and the time between two events.
	events int
	pause  time.Duration

	mu    sync.Mutex
	phase string
	seq   int
	// beats counts the entries since the start at born.
	beats int
	born  int64
	// server is the listening process, crashed is set once it has ended.
	server  *http.Server
	crashed bool
}

func (s *site) newEngine(id, service, version string) *engine {
	e := &engine{id: id, service: service, record: s.record, load: load{slots: 12}, weights: 1, events: 40, pause: 50 * time.Millisecond, phase: "decode"}
	e.address = net.JoinHostPort(standInIP(), "0")
	e.begin(version)
	s.stopping = append(s.stopping, func() { _ = e.server.Close() })
	return e
}

// begin starts the engine's process with a version of its software.
func (e *engine) begin(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", e.address)
	check(err)
	e.address, e.version, e.seq, e.beats, e.born = listener.Addr().String(), version, 0, 0, time.Now().UnixMilli()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	e.record.line("%s starts with %s", e.id, version)
}

// crash ends the engine's process.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	_ = e.server.Close()
	e.record.line("%s crashes", e.id)
}

// beat writes the engine's entry.
func (e *engine) beat(to *store, zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.beats++
	to.putJSON("keyed.servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": e.version, "slots": 12, "state": "ready", "coldLeftMs": 0,
		"phase": e.phase, "models": []any{map[string]any{"name": "m", "version": e.weights, "adapters": []any{}}}, "seq": e.beats, "born": e.born,
	})
}

// keepRegistered renews the entry until the end of the program.
func (e *engine) keepRegistered(to *store, zone string) {
	for {
		e.beat(to, zone)
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.load.state(w)
	if serveHealth(w, r, e.id, false) {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.Itoa(e.weights) {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		e.report(w)
	case r.URL.Path == "/-/order":
		e.order(w, r)
	case r.Header.Get("X-Stage") != "":
		// All engines of these deployments run decode.
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.Header.Get("X-Kv-Source") != "":
		// No engine holds a KV cache for another one.
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		e.run(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": e.phase, "busy": false, "seq": e.seq, "waiting": 0, "numRunning": 0, "kvUsed": 0, "kvTotal": 33860, "kvHandles": 0,
		"models": []any{map[string]any{"name": "m", "version": e.weights, "adapters": []any{}}}, "born": e.born,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	e.record.line("%s gets an order", e.id)
	w.WriteHeader(http.StatusBadRequest)
}

// run sends the events of a stream after the one that the client has.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id, after := r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id")
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	e.record.line("%s (%s %s) runs %s, request %s, Last-Event-Id %q", e.id, e.service, version, r.URL.Path, id, after)
	w.Header().Set("X-Response-Stamp", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.Itoa(e.weights))
	defer e.load.begin()()
	last, _ := strconv.Atoi(after)
	for n := last + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d by weights %d\n\n", n, e.service, version, n, e.weights); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// engineService is the configuration of a service of engines.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 12, "kvCapacity": 33860, "kvTokenBytes": 131072, "linkMbps": 840000.0, "moves": false, "backups": false,
			"stride": 12, "most": 12, "kvTtlS": 0.5, "reconfigS": 6.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

// limits are the limits of a configuration.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
