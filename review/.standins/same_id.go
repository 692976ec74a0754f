package main

import (
	"fmt"
	"time"
)

// sameID lets the last engine of version v1 crash and start again under its id with version v2, which all other
// engines have already. It is down for a second, and its first entry follows half a heartbeat after its start. Callers take the streams that it ran up again.
func sameID(s *site, trouble string) []string {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	for i, zone := range zones {
		phase, version := "decode", "v2"
		if i == 1 {
			version = "v1"
		}
		s.engines = append(s.engines, s.startEngine(fmt.Sprintf("i-%d", i), "pool", zone, version, phase))
	}
	s.configure(1, fmt.Sprintf(resumableRoute, `"service":"pool"`), engineService("pool"))
	s.addVMs(zones...)
	for _, v := range s.vms {
		v.start()
	}
	s.awaitReady()
	time.Sleep(8 * time.Second)
	if trouble != "0" {
		go func() {
			time.Sleep(2 * time.Second)
			s.record.add("%s crashes", s.engines[1].id)
			version := "v2"
			if trouble == "same" {
				version = "v1"
			}
			s.engines[1].restart(version, time.Second, heartbeat/2)
		}()
	}
	return all(24, func(i int) string {
		t := s.follow(fmt.Sprintf("s%02d", i), s.vms[i%6], s.vms[(i+1)%6], request{method: "POST", path: "/res/1", tokens: "100,1440"}, 14*time.Second)
		return t.check()
	})
}
