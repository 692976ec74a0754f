package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	splitHost = "drafts.example"
	// steadyTime is the time for which the configuration is in force before the clients come.
	steadyTime = 66 * time.Second
	// beforeKill is the time from the first bytes of the requests to the kill of their VM.
	beforeKill   = uploadTime + 900*time.Millisecond
	splitClients = 12
	// The clients send their prompts over slow links: uploadParts of partBytes within uploadTime, 0.8 Mbit/s.
	uploadParts = 20
	partBytes   = 5000
	uploadTime  = time.Second
)

// slowBody is the body of a client with a slow link.
type slowBody struct{ parts int }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == uploadParts {
		return 0, io.EOF
	}
	if b.parts > 0 {
		time.Sleep(uploadTime / (uploadParts - 1))
	}
	b.parts++
	return copy(p, strings.Repeat("p", min(partBytes, len(p)))), nil
}

// draft is what a client has of a stream: the texts of its events in order.
type draft struct {
	status int
	// weights is the header X-Weight-Versions, marks counts the events that carry it.
	weights  string
	marks    int
	texts    []string
	lastID   string
	complete bool
}

// requestDraft sends one client attempt and reads its events. It names the last event that the client has, if any.
func requestDraft(address, path, id, after string, body io.Reader) draft {
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
	check(err)
	request.Host = splitHost
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "14000", "X-Model": "m", "X-Token-Count": "300,480", "X-Prompt-Prefix": "aa:100," + id + ":200",
	} {
		request.Header.Set(name, value)
	}
	if after != "" {
		request.Header.Set("Last-Event-Id", after)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return draft{}
	}
	defer func() { _ = response.Body.Close() }()
	d := draft{status: response.StatusCode, weights: response.Header.Get("X-Weight-Versions")}
	if d.status != http.StatusOK {
		return d
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	number, text := "", ""
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			number = value
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			text = value
		}
		if strings.HasPrefix(line, "x-weight-versions:") {
			d.marks++
		}
		if line == "" && number != "" {
			d.texts, d.lastID = append(d.texts, text), number
			number, text = "", ""
		}
	}
	d.complete = lines.Err() == nil
	return d
}

// services returns the services that made the events.
func (d *draft) services() []string {
	var names []string
	for _, text := range d.texts {
		name, _, _ := strings.Cut(text, " ")
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// playSplitTakeUp lets clients take up streams of a route that is split over two services of engines, after the VM
// that served them was killed.
//
// Rule ORDER: pieces of two runs are joined.
func playSplitTakeUp(r *record, trouble bool) int {
	s := newSite(r, "a", "b", "c", "a", "b", "c")
	defer s.close()
	for _, service := range []string{"north", "south"} {
		for i, zone := range []string{"a", "b", "c"} {
			go s.newEngine(fmt.Sprintf("i-%s-%d", service, i), service, "v1").keepRegistered(s.store, zone)
		}
	}
	s.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-drafts", "host": splitHost, "pathPrefix": "/drafts/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 1000,
			"priority": 1, "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 300,
			"trafficSplit": []any{map[string]any{"service": "north", "weight": 50}, map[string]any{"service": "south", "weight": 50}},
		}},
		"services": []any{engineService("north"), engineService("south")},
		"limits":   limits,
	})
	s.startAll()
	time.Sleep(steadyTime)

	killed, others := s.vms[0], s.vms[1:]
	var mu sync.Mutex
	var clients sync.WaitGroup
	broken := 0
	for c := range splitClients {
		clients.Go(func() {
			if !s.playDraft(fmt.Sprintf("c0ffee%02d", c), killed, others[c%len(others)]) {
				mu.Lock()
				defer mu.Unlock()
				broken++
			}
		})
	}
	if trouble {
		time.Sleep(beforeKill)
		killed.signal(syscall.SIGKILL)
		s.record.line("killed %s", killed.name)
	}
	clients.Wait()
	return broken
}

// playDraft requests a stream and takes it up at another VM if it breaks off. It reports whether all events that the
// client has come from one service.
func (s *site) playDraft(name string, vm, other *entryVM) bool {
	d := requestDraft(vm.front, "/drafts/"+name, name+"01", "", &slowBody{})
	s.record.line("%s at %s: status %d, %d events by %v, complete %t", name, vm.name, d.status, len(d.texts), d.services(), d.complete)
	if len(d.texts) == 0 || d.complete {
		return len(d.services()) <= 1
	}
	second := requestDraft(other.front, "/drafts/"+name, name+"02", d.lastID, &slowBody{})
	s.record.line("%s takes up at %s after event %s: status %d, %d events by %v, complete %t",
		name, other.name, d.lastID, second.status, len(second.texts), second.services(), second.complete)
	joined := draft{texts: slices.Concat(d.texts, second.texts)}
	if second.status != http.StatusOK || len(joined.services()) == 1 {
		return true
	}
	s.record.line("ORDER broken for %s: its stream is joined of %v", name, joined.services())
	return false
}
