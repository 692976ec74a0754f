package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// restartCycles is the number of times that an engine is replaced, restartStreams the number of streams that
	// clients begin each time.
	restartCycles, restartStreams = 5, 18
	// decodeEngines of the service with one prefill engine make one engine less than 0.15 of it.
	decodeEngines = 6
	// restartTime is the time from the end of the engine to the start of its next process.
	restartTime = time.Second
)

// caseRestarted lets an engine crash and start again under its id with another version of its software, which crashes soon,
// while clients send requests for streams that may be resumed. With TROUBLE=same the version is the former one.
func caseRestarted(s *site) int {
	address := map[string]string{}
	engineArgs := func(id, phase, version string, more ...string) []string {
		if address[id] == "" {
			address[id] = s.freeAddress("127.0.0.1")
		}
		return append([]string{"engine", "--id", id, "--address", address[id], "--phase", phase, "--version", version, "--store", s.store}, more...)
	}
	const replaced = "i-d1"
	s.start(nil, engineArgs("i-p1", "prefill", "v1")...)
	for i := 2; i <= decodeEngines; i++ {
		s.start(nil, engineArgs(fmt.Sprintf("i-d%d", i), "decode", "v1")...)
	}
	present := s.start(nil, engineArgs(replaced, "decode", "v1")...)
	s.configure(7)
	v := s.startVMs(1)[0]
	time.Sleep(leadTime)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []received
	send := func() {
		for range restartStreams {
			clients.Go(func() {
				got := s.stream(v, fmt.Sprintf("%016x", rand.Uint64()))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, got)
			})
		}
	}
	send()
	clients.Wait()
	for range restartCycles {
		time.Sleep(2 * time.Second)
		if !s.trouble {
			send()
			clients.Wait()
			continue
		}
		version := "v2"
		if s.variant == "same" {
			version = "v1"
		}
		writeLine("engine crashes and starts again under its id", map[string]any{"engine": replaced, "version": version})
		s.end(present)
		time.Sleep(restartTime)
		present = s.start(nil, engineArgs(replaced, "decode", version, "--break-after", "6")...)
		s.await(replaced, func() bool { return s.listens(address[replaced]) })
		send()
		clients.Wait()
		time.Sleep(2 * time.Second)
		s.end(present)
		writeLine("engine is put back to its former version", map[string]any{"engine": replaced, "version": "v1"})
		present = s.start(nil, engineArgs(replaced, "decode", "v1")...)
		time.Sleep(4 * time.Second)
	}
	result, complete := ruleHeld, 0
	for _, got := range answers {
		if got.status != 200 || !got.complete {
			continue
		}
		complete++
		if strings.Contains(got.body, "data: v1") && strings.Contains(got.body, "data: v2") {
			writeLine("a complete stream is joined from two versions", map[string]any{"request": got.id})
			result = ruleBroken
		}
	}
	writeLine("streams", map[string]any{"sent": len(answers), "complete": complete})
	if complete < restartStreams {
		return notRun
	}
	return result
}
