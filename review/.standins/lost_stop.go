package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const plainRoute = `{"name":"once","host":"h.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":800,"sloMs":300,"priority":2,` +
	`"service":"desk","maxAttempts":1}`

// lostStop stops the VMs in turn. The settings file of each changes several times right before that, and each
// change is told by SIGHUP. A VM that is still there after the grace is killed, as the platform does.
func lostStop(s *site, trouble string) []string {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	for i := range 3 {
		s.engines = append(s.engines, s.startEngine(fmt.Sprintf("d-%d", i), "desk", zones[2*i], "v1", ""))
	}
	s.configure(1, plainRoute, plainService("desk"))
	s.addVMs(zones...)
	l := &lostCheck{site: s, term: make(map[*vm]time.Time)}
	for round := range 2 {
		l.roll(round, trouble)
	}
	return l.lost
}

// roll starts all VMs, and stops them in turn while callers send requests.
func (l *lostCheck) roll(round int, trouble string) {
	s := l.site
	for _, v := range s.vms {
		v.start()
	}
	s.awaitReady()
	time.Sleep(4 * time.Second)
	l.mu.Lock()
	clear(l.term)
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var working sync.WaitGroup
	for i, v := range s.vms {
		for n := range 6 {
			working.Go(func() { l.call(ctx, v, fmt.Sprintf("r%d-%d-%d", round, i, n)) })
		}
	}
	for _, v := range s.vms {
		working.Go(func() { l.stop(v, trouble) })
		time.Sleep(2 * time.Second)
	}
	time.Sleep(grace)
	cancel()
	working.Wait()
}

// lostCheck collects what breaks the rules around stops.
type lostCheck struct {
	site *site

	mu   sync.Mutex
	term map[*vm]time.Time
	lost []string
}

// settingsChanges is the number of changes of the settings file before a stop, settingsGap the time between two. A
// sleep would be longer.
const (
	settingsChanges = 40
	settingsGap     = 40 * time.Microsecond
)

func (l *lostCheck) stop(v *vm, trouble string) {
	s := l.site
	if trouble != "0" {
		for range settingsChanges {
			v.signal(syscall.SIGHUP)
			for changed := time.Now(); time.Since(changed) < settingsGap; {
			}
		}
	}
	v.signal(syscall.SIGTERM)
	sent := time.Now()
	s.record.add("SIGTERM to %s", v.name)
	l.mu.Lock()
	l.term[v] = sent
	l.mu.Unlock()
	time.Sleep(4 * time.Second)
	if v.running() && v.ready() {
		s.record.add("%s is still ready 4 s after SIGTERM", v.name)
	}
	select {
	case <-v.ended:
		s.record.add("%s has ended %.1f s after SIGTERM", v.name, time.Since(sent).Seconds())
		return
	case <-time.After(time.Until(sent.Add(grace))):
	}
	s.record.add("SIGKILL to %s after the grace", v.name)
	v.kill()
}

// call sends requests one after the other on a kept connection until the VM is gone.
func (l *lostCheck) call(ctx context.Context, v *vm, name string) {
	s := l.site
	c := newCaller()
	for n := 0; ctx.Err() == nil; n++ {
		r := request{id: fmt.Sprintf("%s-%d", name, n), method: "POST", path: "/once/1", deadlineMs: 1500}
		sent := time.Now()
		response, err := c.client.Do(s.newRequest(v, r))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err == nil {
			s.record.add("answered %s by %s: %d, stamp %s", r.id, v.name, response.StatusCode, response.Header.Get("X-Response-Stamp"))
			time.Sleep(60 * time.Millisecond)
			continue
		}
		s.record.add("answered %s by %s: none (%v); runs %d", r.id, v.name, err, s.runsOf(r.id))
		if s.runsOf(r.id) == 0 {
			return
		}
		l.mu.Lock()
		if term, stopped := l.term[v]; stopped && sent.Sub(term) > 3*time.Second {
			l.lost = append(l.lost, fmt.Sprintf("LOST: %s, sent to %s %.1f s after its SIGTERM, ran and its connection ended without an answer", r.id, v.name, sent.Sub(term).Seconds()))
		}
		l.mu.Unlock()
		return
	}
}
