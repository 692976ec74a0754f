package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// plainEngines is the number of engines of the plain service; one of them is less than 0.15.
	plainEngines = 7
	// flapCycles is the number of times that an engine crashes, flapRequests the number of requests each time.
	flapCycles, flapRequests = 8, 21
)

// caseFlapping lets an engine of a plain service crash and start again at once, while it sends answers that end with
// their connections.
func caseFlapping(s *site) int {
	args := func(id, address string) []string {
		engine := []string{"engine", "--id", id, "--address", address, "--phase", "none", "--service", "app", "--store", s.store, "--interval", "60ms"}
		return append(engine, s.unframed()...)
	}
	const flapping = "i-a1"
	address := s.freeAddress("127.0.0.1")
	for i := 2; i <= plainEngines; i++ {
		s.start(nil, args(fmt.Sprintf("i-a%d", i), s.freeAddress("127.0.0.1"))...)
	}
	present := s.start(nil, args(flapping, address)...)
	s.configure(7)
	v := s.startVMs(1)[0]
	time.Sleep(leadTime)

	var mu sync.Mutex
	var answers []received
	for range flapCycles {
		var clients sync.WaitGroup
		for range flapRequests {
			clients.Go(func() {
				got := s.send(v, http.MethodGet, "/safe/2f", fmt.Sprintf("%016x", rand.Uint64()), "", nil, 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, got)
			})
		}
		time.Sleep(150 * time.Millisecond)
		if s.trouble {
			writeLine("an engine crashes and starts again", map[string]any{"engine": flapping})
			_ = present.Process.Kill()
			s.awaitQuickly(func() bool { return !s.runs(present) })
			present = s.start(nil, args(flapping, address)...)
		}
		clients.Wait()
		time.Sleep(4 * time.Second)
	}
	result, complete := ruleHeld, 0
	last := fmt.Sprintf("part %d of", answerParts)
	for _, got := range answers {
		switch {
		case got.status != 200 || !got.complete:
		case strings.Contains(got.body, last):
			complete++
		default:
			writeLine("a success without the engine's whole body", map[string]any{"request": got.id, "body": got.body})
			result = ruleBroken
		}
	}
	writeLine("requests", map[string]any{"sent": len(answers), "complete": complete})
	if complete < flapRequests {
		return notRun
	}
	return result
}

// awaitQuickly waits for a condition that is expected at once.
func (s *site) awaitQuickly(condition func() bool) {
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
}
