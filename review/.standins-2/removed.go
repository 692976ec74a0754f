package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// removedStreams is the number of streams that clients begin each time, removedCycles the number of engines that
	// leave one after the other.
	removedStreams, removedCycles = 18, 3
	// notice is the time from the removal of an engine's entry to its end: drainMs and a little longer.
	notice = 2300 * time.Millisecond
)

// caseRemoved takes engines away whose entries are removed without a report that they drain, while clients read
// streams that end with their connections.
func caseRemoved(s *site) int {
	engine := func(id, phase string) func() {
		address := s.freeAddress("127.0.0.1")
		args := []string{"engine", "--id", id, "--address", address, "--phase", phase, "--store", s.store, "--interval", "200ms"}
		cmd := s.start(nil, append(args, s.unframed()...)...)
		return func() {
			if err := cmd.Process.Signal(syscall.SIGUSR1); err != nil {
				panic(err)
			}
			time.Sleep(notice)
			s.end(cmd)
			writeLine("the engine is gone", map[string]any{"engine": id})
		}
	}
	engine("i-p1", "prefill")
	var leave []func()
	for i := range decodeEngines {
		leave = append(leave, engine(fmt.Sprintf("i-d%d", i+1), "decode"))
	}
	s.configure(7)
	v := s.startVMs(1)[0]
	time.Sleep(leadTime)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []received
	for n := range removedCycles {
		for range removedStreams {
			clients.Go(func() {
				got := s.stream(v, fmt.Sprintf("%016x", rand.Uint64()))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, got)
			})
		}
		time.Sleep(time.Second)
		if s.trouble {
			leave[n]()
			engine(fmt.Sprintf("i-d%d", decodeEngines+n+1), "decode")
		}
		clients.Wait()
		time.Sleep(4 * time.Second)
	}
	result, complete := ruleHeld, 0
	last := fmt.Sprintf("id: %d\n", streamEvents)
	for _, got := range answers {
		switch {
		case got.status != 200 || !got.complete:
		case strings.Contains(got.body, last):
			complete++
		default:
			writeLine("a stream ended as complete before its last piece", map[string]any{"request": got.id, "pieces": strings.Count(got.body, "id: ")})
			result = ruleBroken
		}
	}
	writeLine("streams", map[string]any{"sent": len(answers), "complete": complete})
	if complete < removedStreams {
		return notRun
	}
	return result
}
