package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a model engine, or for a plain server if it has no phase.
type engine struct {
	site                       *site
	id, service, zone, version string
	address                    string
	server                     *http.Server
	conns                      *connections

	mu      sync.Mutex
	phase   string
	seq     int
	born    int64
	state   string
	gone    bool
	handles map[string]bool
	orders  int
}

// plainWork is the time that a plain server takes for a request.
const plainWork = 60 * time.Millisecond

// streamEvents is the number of events of a stream, eventGap the time between two.
const (
	streamEvents = 120
	eventGap     = 50 * time.Millisecond
)

func (s *site) startEngine(id, service, zone, version, phase string) *engine {
	e := &engine{
		site: s, id: id, service: service, zone: zone, version: version, phase: phase,
		born: time.Now().UnixMilli(), state: "ready", handles: make(map[string]bool),
	}
	e.open("127.0.0.1:0")
	go e.beat()
	return e
}

// open serves the engine's address.
func (e *engine) open(address string) {
	listener := listen(address)
	e.address = listener.Addr().String()
	e.conns = &connections{}
	e.server = &http.Server{Handler: e, ConnState: e.conns.track}
	go func() { _ = e.server.Serve(listener) }()
}

// connections are the open connections of a server.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]bool)
	}
	if state == http.StateClosed {
		delete(c.open, conn)
		return
	}
	c.open[conn] = true
}

// reset resets all connections.
func (c *connections) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// beat writes the engine's entry until it is gone.
func (e *engine) beat() {
	for e.write() {
		time.Sleep(heartbeat)
	}
}

func (e *engine) write() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	e.seq++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 12,
		"state": e.state, "coldLeftMs": 0, "seq": e.seq, "born": e.born,
	}
	if e.phase != "" {
		entry["phase"] = e.phase
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	value, _ := json.Marshal(entry)
	e.site.store.put("keyed.servers", e.id, value)
	return true
}

// drain writes that the engine leaves. It goes on serving.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.write()
}

// stopBeats ends the engine's entries.
func (e *engine) stopBeats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
}

// crash ends the engine for good: its connections are reset, its entry lapses after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.conns.reset()
	_ = e.server.Close()
	go func() {
		time.Sleep(3 * heartbeat)
		e.site.store.put("keyed.servers", e.id, nil)
	}()
}

// restart resets all connections of the engine, as a crash does, and starts it again under its id and address with
// a version, after it was down for a time. Its first entry follows after a delay.
func (e *engine) restart(version string, down, entry time.Duration) {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.conns.reset()
	_ = e.server.Close()
	time.Sleep(down)
	e.mu.Lock()
	e.version, e.seq, e.orders, e.born, e.gone = version, 0, 0, time.Now().UnixMilli(), false
	e.handles = make(map[string]bool)
	e.mu.Unlock()
	e.open(e.address)
	e.site.record.add("%s is back as %s", e.id, version)
	go func() {
		time.Sleep(entry)
		e.beat()
	}()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		answer(w, map[string]any{"phase": e.phase, "busy": false, "seq": e.orders, "born": e.born})
	case r.URL.Path == "/-/order":
		e.order(w, body)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		e.takeHandle(strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case r.Header.Get("X-Stage") == "prefill":
		handle := e.id + "-" + id
		e.mu.Lock()
		e.handles[handle] = true
		e.mu.Unlock()
		answer(w, map[string]any{"kvHandle": handle, "tokens": 100, "version": 1})
	case e.phase != "":
		e.stream(w, r, id)
	default:
		e.site.record.add("run %s at %s of %s: %s %s", id, e.id, e.service, r.Method, r.URL.Path)
		e.site.ran(id)
		time.Sleep(plainWork)
		w.Header().Set("X-Response-Stamp", e.id)
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

func (e *engine) takeHandle(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.handles[handle]
	delete(e.handles, handle)
	return held
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Phase, Holder string
		Fence         uint64
	}
	_ = json.Unmarshal(body, &order)
	e.mu.Lock()
	e.orders++
	if order.Phase != "" {
		e.phase = order.Phase
	}
	e.mu.Unlock()
	e.site.record.add("order to %s: %s by %s with fencing token %d", e.id, order.Phase, order.Holder, order.Fence)
	w.WriteHeader(http.StatusAccepted)
}

// stream runs a request and sends the events that follow Last-Event-Id. Each event names the engine's
// service and version, so that a caller can tell of which text it is a part.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	if source := r.Header.Get("X-Kv-Source"); source != "" {
		_, handle, _ := strings.Cut(source, "/")
		if !e.site.takeHandle(handle) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	e.site.record.add("run %s at %s of %s %s from event %d on", id, e.id, e.service, version, after+1)
	e.site.ran(id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", e.id)
	control := http.NewResponseController(w)
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: text of %s %s\n\n", n, e.service, version); err != nil {
			return
		}
		if control.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}
