package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// confirmTimeout limits the time to find out whether an engine's process has ended.
	confirmTimeout = time.Second
	// endRetention is how long the outcome is remembered. Another process that is registered at the
	// address in that time shows that the engine has ended.
	endRetention = 8 * time.Second
	// askAgainTime is the time after which an engine that had not ended is asked again.
	askAgainTime = 250 * time.Millisecond
	// maxConfirming limits the engines that are asked at the same time.
	maxConfirming = 64
)

// engineEnd is the end of an engine's connections under requests that it had just begun to
// answer.
type engineEnd struct {
	at      time.Duration
	address string
	parts   []string
	// confirmed is closed once it is known whether the process has ended.
	confirmed chan struct{}
	// ended is set if it has.
	ended bool
}

// pending reports whether it is not known yet whether the process has ended.
func (e *engineEnd) pending() bool {
	select {
	case <-e.confirmed:
		return false
	default:
		return true
	}
}

// suspect finds out whether the engine of a broken attempt has crashed, and records the
// crash with the parts of all requests that it had just begun to answer. The channel is closed once that
// is known; it is nil if it is not found out.
func (s *Service) suspect(a *Attempt) <-chan struct{} {
	key := crashKey{a.request.name, a.engine}
	s.mu.Lock()
	now := s.now()
	end := s.ends[key]
	if end == nil || !end.pending() && !end.ended && now-end.at >= askAgainTime {
		if s.stopped || end == nil && len(s.ends) >= maxConfirming {
			s.mu.Unlock()
			return nil
		}
		end = &engineEnd{at: now, address: a.address, confirmed: make(chan struct{})}
		s.ends[key] = end
		s.running.Go(func() { s.confirm(key, end) })
	}
	end.parts = append(end.parts, a.request.parts...)
	ended := end.ended
	s.mu.Unlock()
	if ended {
		s.recordCrash(key, end)
	}
	return end.confirmed
}

// confirm asks whether an engine's process has ended. Others at its address may have
// broken off a connection without that.
func (s *Service) confirm(key crashKey, end *engineEnd) {
	ctx, cancel := context.WithTimeout(s.stopping, confirmTimeout)
	defer cancel()
	ended := s.params.Engines.Refuses(ctx, end.address)
	s.mu.Lock()
	end.ended = ended
	s.mu.Unlock()
	if ended {
		s.counters.Crashes.Add(1)
		s.recordCrash(key, end)
	}
	close(end.confirmed)
}

// confirmReplaced records the crashes of engines that were back before they were asked: another process
// has their address now.
func (s *Service) confirmReplaced() {
	for key, end := range s.unconfirmed() {
		if !s.params.Engines.Replaced(key.engine, end.address) {
			continue
		}
		s.mu.Lock()
		end.ended = true
		s.mu.Unlock()
		s.counters.Crashes.Add(1)
		s.recordCrash(key, end)
	}
}

// unconfirmed returns the ends of connections whose engines listened when they were asked.
func (s *Service) unconfirmed() map[crashKey]*engineEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[crashKey]*engineEnd)
	for key, end := range s.ends {
		if !end.pending() && !end.ended {
			found[key] = end
		}
	}
	return found
}

// recordCrash records and shares a crash with the parts that are known so far.
func (s *Service) recordCrash(key crashKey, end *engineEnd) {
	s.mu.Lock()
	parts := sortedSet(end.parts)
	parts = parts[:min(len(parts), maxParts)]
	fact := Crash{Service: key.service, Engine: key.engine, Parts: parts, Age: s.now() - end.at}
	s.mu.Unlock()
	s.params.Log.Change("engine crashed under requests", logrus.Fields{"service": key.service, "endpoint": key.engine, "parts": parts})
	s.observe(Facts{Crashes: []Crash{fact}})
}
