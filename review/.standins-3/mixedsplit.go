package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// mixedClients is the number of clients at the VM whose connections are reset. Half of the connections are.
const mixedClients = 24

// playMixedSplit lets clients take up streams of a route that is split over a service of engines and one without
// models, after their connections were reset.
//
// Rule ORDER: pieces of two runs are joined.
func playMixedSplit(r *record, trouble bool) int {
	s := newSite(r, "a", "b", "c")
	defer s.close()
	for i, zone := range []string{"a", "b", "c"} {
		go s.newEngine(fmt.Sprintf("i-north-%d", i), "north", "v1").keepRegistered(s.store, zone)
	}
	for i, zone := range []string{"a", "b"} {
		server := &streamServer{id: fmt.Sprintf("i-notes-%d", i), record: r, load: load{slots: 12}}
		server.address = s.serve(server)
		go server.keepRegistered(s.store, "notes", zone)
	}
	s.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-drafts", "host": splitHost, "pathPrefix": "/drafts/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 1000,
			"priority": 1, "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 300,
			"trafficSplit": []any{map[string]any{"service": "north", "weight": 50}, map[string]any{"service": "notes", "weight": 50}},
		}},
		"services": []any{
			engineService("north"), map[string]any{"name": "notes", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits": limits,
	})
	s.startAll()
	time.Sleep(6 * time.Second)

	var mu sync.Mutex
	var clients sync.WaitGroup
	broken := 0
	for c := range mixedClients {
		limit := int64(0)
		if trouble && c%2 == 0 {
			limit = resetBytes
		}
		clients.Go(func() {
			if !s.playMixed(fmt.Sprintf("%08x", 0x9e3779b1*uint32(c+1)), limit) {
				mu.Lock()
				defer mu.Unlock()
				broken++
			}
		})
	}
	clients.Wait()
	return broken
}

// playMixed requests a stream at the first VM and takes it up at another one if its connection is reset. It reports
// whether all events that the client has come from one service.
func (s *site) playMixed(name string, resetAfter int64) bool {
	vm, other := s.vms[0], s.vms[1]
	d := requestDraft(s.resetAfter(vm.front, resetAfter), "/drafts/"+name, name+"01", "", strings.NewReader("a prompt"))
	s.record.line("%s at %s: status %d, %d events by %v, complete %t", name, vm.name, d.status, len(d.texts), d.services(), d.complete)
	if len(d.texts) == 0 || d.complete {
		return len(d.services()) <= 1
	}
	second := requestDraft(other.front, "/drafts/"+name, name+"02", d.lastID, strings.NewReader("a prompt"))
	s.record.line("%s takes up at %s after event %s: status %d, %d events by %v, complete %t",
		name, other.name, d.lastID, second.status, len(second.texts), second.services(), second.complete)
	joined := draft{texts: slices.Concat(d.texts, second.texts)}
	if second.status != http.StatusOK || len(joined.services()) == 1 {
		return true
	}
	s.record.line("ORDER broken for %s: its stream is joined of %v", name, joined.services())
	return false
}
