package main

import (
	"fmt"
	"sync"
	"time"
)

// joinedCanary lets an engine of a newer version join and run streams while the partition that holds the router's
// record of versions is down. Then all VMs are killed, and that engine is lost with them.
func joinedCanary(s *site, trouble string) []string {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	for i, zone := range zones {
		s.engines = append(s.engines, s.startEngine(fmt.Sprintf("i-%d", i), "pool", zone, "v1", "decode"))
	}
	s.configure(1, fmt.Sprintf(resumableRoute, `"service":"pool"`), engineService("pool"))
	s.addVMs(zones...)
	for _, v := range s.vms {
		v.start()
	}
	s.awaitReady()
	time.Sleep(8 * time.Second)
	s.record.add("the router's record of versions: %s", s.store.newest("keyed.builds", "pool"))
	down := func(is bool) {
		s.record.add("partition of keyed.builds down: %v", is)
		s.store.set(func() { s.store.downTopics["keyed.builds"] = is })
	}
	if trouble != "0" && trouble != "writable" {
		down(true)
	}
	canary := s.startEngine("i-new", "pool", "a", "v2", "decode")
	s.mu.Lock()
	s.engines = append(s.engines, canary)
	s.mu.Unlock()
	s.record.add("%s joins as v2", canary.id)
	time.Sleep(3100 * time.Millisecond)
	var disruption sync.WaitGroup
	if trouble != "0" {
		disruption.Go(func() {
			time.Sleep(700 * time.Millisecond)
			s.record.add("%s is lost", canary.id)
			canary.crash()
			time.Sleep(2700 * time.Millisecond)
			s.record.add("all VMs are killed")
			for _, v := range s.vms {
				v.kill()
			}
			time.Sleep(1100 * time.Millisecond)
			for _, v := range s.vms {
				v.start()
			}
			s.record.add("the VMs start")
			time.Sleep(300 * time.Millisecond)
			down(false)
			s.record.add("the router's record of versions: %s", s.store.newest("keyed.builds", "pool"))
		})
	}
	found := all(24, func(i int) string {
		t := s.follow(fmt.Sprintf("s%02d", i), s.vms[i%2], s.vms[(i+1)%6], request{method: "POST", path: "/res/1", tokens: "100,1440"}, 14*time.Second)
		return t.check()
	})
	disruption.Wait()
	return found
}
