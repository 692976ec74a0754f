package main

import (
	"encoding/json"
	"fmt"
	"io"
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
	// events and pause are the length of a stream and the time between two events.
	events int
	pause  time.Duration

	mu    sync.Mutex
	phase string
	seq   int
}

func (s *site) newEngine(id, service, version string) *engine {
	e := &engine{id: id, service: service, version: version, record: s.record, events: 40, pause: 50 * time.Millisecond, phase: "decode"}
	e.address = s.serve(e)
	return e
}

// entry is the engine's registration.
func (e *engine) entry(zone, state string, seq int) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": e.version, "slots": 12, "state": state, "coldLeftMs": 0,
		"phase": e.phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": seq, "born": startMs,
	}
}

// keepRegistered renews the entry until the end of the program.
func (e *engine) keepRegistered(to *store, zone string) {
	for seq := 1; ; seq++ {
		to.putJSON("keyed.servers", e.id, e.entry(zone, "ready", seq))
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		e.report(w)
	case r.URL.Path == "/-/order":
		e.order(w, r)
	case r.Header.Get("X-Stage") != "" || r.Header.Get("X-Kv-Source") != "":
		// No engine of these deployments runs prefill.
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
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "born": startMs,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	e.record.line("%s gets an order", e.id)
	w.WriteHeader(http.StatusBadRequest)
}

// run sends the events of a stream after the one that the client has.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id, after := r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id")
	e.record.line("%s (%s %s) runs %s, request %s, Last-Event-Id %q", e.id, e.service, e.version, r.URL.Path, id, after)
	w.Header().Set("X-Response-Stamp", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(after)
	for n := last + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, e.service, e.version, n); err != nil {
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
