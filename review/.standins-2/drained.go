package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// drainedStreams is the number of streams that clients begin each time, drainedCycles the number of engines that
	// drain one after the other.
	drainedStreams, drainedCycles = 48, 3
	// allowedCuts is the number of requests from kept connections that may go without an answer.
	allowedCuts = 3
)

// caseDrained empties engines, which complete their streams, while clients read streams that end with their connections
// and may not be resumed.
func caseDrained(s *site) int {
	engine := func(id, phase string) func() {
		args := []string{
			"engine", "--id", id, "--address", s.freeAddress("127.0.0.1"), "--phase", phase, "--store", s.store, "--varied", "--interval", "150ms",
		}
		cmd := s.start(nil, append(args, s.unframed()...)...)
		return func() {
			if err := cmd.Process.Signal(syscall.SIGUSR2); err != nil {
				panic(err)
			}
		}
	}
	engine("i-p1", "prefill")
	var drain []func()
	for i := range decodeEngines {
		drain = append(drain, engine(fmt.Sprintf("i-d%d", i+1), "decode"))
	}
	s.configure(7)
	v := s.startVMs(1)[0]
	time.Sleep(6 * time.Second)

	var mu sync.Mutex
	var answers []received
	for n := range drainedCycles {
		var clients sync.WaitGroup
		for range drainedStreams {
			clients.Go(func() {
				client := &http.Client{Timeout: 14 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
				defer client.CloseIdleConnections()
				// The first request makes the connection a kept one.
				s.sendBy(client, v, http.MethodGet, "/unknown/", newID(), "", nil, time.Second)
				id := newID()
				got := s.sendBy(client, v, http.MethodPost, "/single/2f", id, "prompt of "+id, streamHeader(id), 14*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, got)
			})
		}
		time.Sleep(time.Second)
		if s.trouble {
			drain[n]()
			engine(fmt.Sprintf("i-d%d", decodeEngines+n+1), "decode")
		}
		clients.Wait()
		time.Sleep(3 * time.Second)
	}
	whole := map[any]bool{}
	for _, line := range s.find("run complete") {
		whole[line["request"]] = true
	}
	complete, cuts := 0, 0
	for _, got := range answers {
		switch {
		case got.status == 200 && got.complete:
			complete++
		case got.status == 200 && got.kept && whole[got.id] && errors.Is(got.err, io.ErrUnexpectedEOF):
			writeLine("a connection was closed without the whole answer that the engine had completed", map[string]any{
				"request": got.id, "pieces": strings.Count(got.body, "id: "),
			})
			cuts++
		}
	}
	writeLine("streams", map[string]any{"sent": len(answers), "complete": complete, "cut": cuts})
	switch {
	case complete < drainedStreams:
		return notRun
	case cuts > allowedCuts:
		return ruleBroken
	}
	return ruleHeld
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
