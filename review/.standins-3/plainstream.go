package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamHost   = "notes.example"
	streamEvents = 40
	// eventBytes is the size of an event's data. A stream is larger than what the sockets of one connection hold.
	eventBytes = 8 << 10
	eventPause = 5 * time.Millisecond
	// resetBytes is the number of bytes of an answer after which its connection is reset: about half of it.
	resetBytes = streamEvents * eventBytes / 2
	heartbeat  = 1200 * time.Millisecond
)

// streamServer is a server of a service without models. Its streams may be taken up with Last-Event-Id.
type streamServer struct {
	id, address string
	record      *record
	load        load
}

// ServeHTTP implements http.Handler.
func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.load.state(w)
	if serveHealth(w, r, s.id, false) {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id, after := r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id")
	s.record.line("%s runs %s %s, request %s, Last-Event-Id %q", s.id, r.Method, r.URL.Path, id, after)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	defer s.load.begin()()
	last, _ := strconv.Atoi(after)
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: notes v1 %d %s\n\n", n, n, strings.Repeat("x", eventBytes)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

// keepRegistered renews the server's entry until the end of the program.
func (s *streamServer) keepRegistered(to *store, service, zone string) {
	for seq := 1; ; seq++ {
		to.putJSON("keyed.servers", s.id, map[string]any{
			"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": 12, "state": "ready",
			"coldLeftMs": 0, "seq": seq, "born": startMs,
		})
		time.Sleep(heartbeat)
	}
}

// startMs is the start of the servers.
var startMs = time.Now().UnixMilli()

// answer is what a client got of one request.
type answer struct {
	status int
	ids    []int
	err    error
}

// requestStream sends one client attempt and reads its answer.
func requestStream(address, path, id, after string) answer {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil) //nolint:noctx // The client has a timeout.
	check(err)
	request.Host = streamHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "14000")
	if after != "" {
		request.Header.Set("Last-Event-Id", after)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 14 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode}
	if a.status != http.StatusOK {
		return a
	}
	a.ids, a.err = readEvents(response)
	return a
}

// readEvents reads the events that arrive completely.
func readEvents(response *http.Response) (ids []int, err error) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	pending := 0
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			pending, err = strconv.Atoi(text)
			if err != nil {
				return ids, err
			}
		}
		if line == "" && pending > 0 {
			ids, pending = append(ids, pending), 0
		}
	}
	return ids, lines.Err()
}

// playPlainStream lets clients take up streams of a service without models whose connections were reset.
//
// Rule ORDER: in a stream a piece is missing or comes twice.
func playPlainStream(r *record, trouble bool) int {
	s := newSite(r, "a", "b", "c")
	defer s.close()
	for i, zone := range []string{"a", "b"} {
		server := &streamServer{id: fmt.Sprintf("i-notes-%d", i), record: r, load: load{slots: 12}}
		server.address = s.serve(server)
		go server.keepRegistered(s.store, "notes", zone)
	}
	s.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-notes", "host": streamHost, "pathPrefix": "/notes/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 1000,
			"priority": 1, "service": "notes", "maxAttempts": 2, "sticky": false, "resumable": true, "gapAimMs": 300,
		}},
		"services": []any{map[string]any{"name": "notes", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   limits,
	})
	s.startAll()
	time.Sleep(4 * time.Second)

	const clientsPerVM = 4
	var mu sync.Mutex
	var clients sync.WaitGroup
	broken := 0
	for i, vm := range s.vms {
		for c := range clientsPerVM {
			// Half of the connections of the first VM are reset.
			limit := int64(0)
			if trouble && i == 0 && c%2 == 0 {
				limit = resetBytes
			}
			next := s.vms[(i+1)%len(s.vms)]
			clients.Go(func() {
				if !s.playClient(fmt.Sprintf("client-%d-%d", i, c), vm, next, limit) {
					mu.Lock()
					defer mu.Unlock()
					broken++
				}
			})
		}
	}
	clients.Wait()
	return broken
}

// playClient requests a stream and takes it up at another VM if its connection is reset. It reports whether the events
// are those of the stream, each once and in order.
func (s *site) playClient(name string, vm, next *entryVM, resetAfter int64) bool {
	first := requestStream(s.resetAfter(vm.front, resetAfter), "/notes/"+name, name+"-1", "")
	s.record.line("%s at %s: status %d, events %v, error %v", name, vm.name, first.status, first.ids, first.err)
	events := first.ids
	if first.err != nil && len(first.ids) > 0 {
		last := first.ids[len(first.ids)-1]
		second := requestStream(next.front, "/notes/"+name, name+"-2", strconv.Itoa(last))
		s.record.line("%s takes up at %s after event %d: status %d, events %v, error %v", name, next.name, last, second.status, second.ids, second.err)
		if second.status != http.StatusOK || second.err != nil {
			return true // Refused or broken off: no piece is missing or comes twice in what looks complete.
		}
		events = append(events, second.ids...)
	} else if first.err != nil || first.status != http.StatusOK {
		unable("%s: status %d, %v", name, first.status, errors.Join(first.err))
	}
	want := make([]int, streamEvents)
	for i := range want {
		want[i] = i + 1
	}
	if slices.Equal(events, want) {
		return true
	}
	s.record.line("ORDER broken for %s: the client has the events %v", name, events)
	return false
}
