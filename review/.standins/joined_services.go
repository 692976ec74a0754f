package main

import (
	"fmt"
	"time"
)

const resumableRoute = `{"name":"res","host":"h.example","pathPrefix":"/res/","kind":"streaming","timeoutMs":14000,"sloMs":1000,"priority":1,%s,` +
	`"maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":300}`

// joinedServices moves a resumable route from one pool of model engines to another while streams run, and kills
// one of six entry VMs a little later than configMs after that. Callers take the broken streams up at another VM.
func joinedServices(s *site, trouble string) []string {
	for _, service := range []string{"pool-1", "pool-2"} {
		for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
			phase := "decode"
			if i%2 == 0 {
				phase = "prefill"
			}
			s.engines = append(s.engines, s.startEngine(fmt.Sprintf("i-%s-%d", service, i), service, zone, "v1", phase))
		}
	}
	services := engineService("pool-1") + "," + engineService("pool-2")
	s.configure(1, fmt.Sprintf(resumableRoute, `"service":"pool-1"`), services)
	s.addVMs("a", "a", "b", "b", "c", "c")
	for _, v := range s.vms {
		v.start()
	}
	s.awaitReady()
	time.Sleep(8 * time.Second)
	if trouble != "0" {
		go func() {
			time.Sleep(time.Second)
			if trouble != "kill" {
				s.configure(2, fmt.Sprintf(resumableRoute, `"service":"pool-2"`), services)
			}
			time.Sleep((configMs + 300) * time.Millisecond)
			if trouble != "config" {
				s.record.add("%s is killed", s.vms[0].name)
				s.vms[0].kill()
			}
		}()
	}
	return all(12, func(i int) string {
		t := s.follow(fmt.Sprintf("s%02d", i), s.vms[0], s.vms[1+i%5], request{method: "POST", path: "/res/1", tokens: "100,1440"}, 14*time.Second)
		return t.check()
	})
}
