package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	weightsClients = 8
	// beforeCrash is the time from the requests to the crash of the engine.
	beforeCrash = 700 * time.Millisecond
)

// madeBy returns the versions of the weights that made the events.
func (d *draft) madeBy() []string {
	var found []string
	for _, text := range d.texts {
		_, version, _ := strings.Cut(text, " by weights ")
		if !slices.Contains(found, version) {
			found = append(found, version)
		}
	}
	return found
}

// playWeights lets an engine crash during its streams while the engines of its service have weights of two versions.
//
// Rule ORDER: pieces of two runs are joined.
func playWeights(r *record, trouble bool) int {
	zones := []string{"a", "b", "c"}
	s := newSite(r, zones...)
	defer s.close()
	engines := make([]*engine, 2*len(zones))
	for i := range engines {
		zone := zones[i%len(zones)]
		engines[i] = s.newEngine(fmt.Sprintf("i-north-%d", i), "north", "v1")
		if i >= len(zones) {
			// The weights are exchanged engine by engine: one of each zone has the new ones.
			engines[i].weights = 2
		}
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
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	var clients sync.WaitGroup
	broken := 0
	for c := range weightsClients {
		clients.Go(func() {
			name := fmt.Sprintf("c0ffee%02d", c)
			d := requestDraft(s.vms[0].front, "/drafts/"+name, name+"01", "", strings.NewReader("a prompt"))
			r.line("%s: status %d, X-Weight-Versions %q, %d events by weights %v, %d marks, complete %t", name, d.status, d.weights, len(d.texts), d.madeBy(), d.marks, d.complete)
			if d.complete && len(d.madeBy()) > 1 && d.marks == 0 {
				r.line("ORDER broken for %s: its stream is joined of weights %v, and nothing in the answer shows it", name, d.madeBy())
				mu.Lock()
				defer mu.Unlock()
				broken++
			}
		})
	}
	if trouble {
		time.Sleep(beforeCrash)
		engines[0].crash()
	}
	clients.Wait()
	return broken
}
