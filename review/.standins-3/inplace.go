package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	inPlaceClients = 12
	// restartTime is the time from the end of the engine's process to its next start.
	restartTime = 100 * time.Millisecond
	// beforeStreams is the time from that start to the clients' requests, streamTime that from these to the kill.
	beforeStreams, streamTime = 30 * time.Millisecond, 250 * time.Millisecond
)

// versions returns the versions of the software that made the events.
func (d *draft) versions() []string {
	var found []string
	for _, text := range d.texts {
		if version := strings.Fields(text)[1]; !slices.Contains(found, version) {
			found = append(found, version)
		}
	}
	return found
}

// playInPlace lets an engine start again under its ID with a new version. The VM that serves streams which that version
// begins is killed, and their clients take them up at the other VMs.
//
// Rule ORDER: pieces of two runs are joined.
func playInPlace(r *record, trouble bool) int {
	zones := []string{"a", "b", "c"}
	s := newSite(r, zones...)
	defer s.close()
	engines := make([]*engine, len(zones))
	for i, zone := range zones {
		engines[i] = s.newEngine(fmt.Sprintf("i-north-%d", i), "north", "v1")
		go engines[i].keepRegistered(s.store, zone)
	}
	s.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-drafts", "host": splitHost, "pathPrefix": "/drafts/", "kind": "streaming", "timeoutMs": 14000, "sloMs": 1000,
			"priority": 1, "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 300, "service": "north",
		}},
		"services": []any{engineService("north")},
		"limits":   limits,
	})
	s.startAll()
	time.Sleep(8 * time.Second)

	engines[0].end()
	time.Sleep(restartTime)
	engines[0].begin("v2")
	engines[0].beat(s.store, zones[0])
	time.Sleep(beforeStreams)
	var mu sync.Mutex
	var clients sync.WaitGroup
	broken := 0
	for c := range inPlaceClients {
		clients.Go(func() {
			if !s.playInPlaceClient(fmt.Sprintf("c0ffee%02d", c), s.vms[0], s.vms[1+c%2]) {
				mu.Lock()
				defer mu.Unlock()
				broken++
			}
		})
	}
	if trouble {
		time.Sleep(streamTime)
		s.vms[0].signal(syscall.SIGKILL)
		r.line("killed %s", s.vms[0].name)
	}
	clients.Wait()
	return broken
}

// playInPlaceClient requests a stream and takes it up at another VM if it breaks off. It reports whether all events that
// the client has come from one version.
func (s *site) playInPlaceClient(name string, vm, other *entryVM) bool {
	d := requestDraft(vm.front, "/drafts/"+name, name+"01", "", strings.NewReader("a prompt"))
	s.record.line("%s at %s: status %d, %d events by %v, complete %t", name, vm.name, d.status, len(d.texts), d.versions(), d.complete)
	if len(d.texts) == 0 || d.complete {
		return len(d.versions()) <= 1
	}
	second := requestDraft(other.front, "/drafts/"+name, name+"02", d.lastID, strings.NewReader("a prompt"))
	s.record.line("%s takes up at %s after event %s: status %d, %d events by %v, complete %t",
		name, other.name, d.lastID, second.status, len(second.texts), second.versions(), second.complete)
	joined := draft{texts: slices.Concat(d.texts, second.texts)}
	if second.status != http.StatusOK || len(joined.versions()) == 1 {
		return true
	}
	s.record.line("ORDER broken for %s: its stream is joined of %v", name, joined.versions())
	return false
}
