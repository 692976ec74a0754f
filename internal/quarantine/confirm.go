package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// confirmTimeout limits the time to find out whether an engine's process has ended.
	confirmTimeout = time.Second
	// endRetention is how long the outcome is remembered.
	endRetention = 5 * time.Second
	// maxConfirming limits the engines that are asked at the same time.
	maxConfirming = 64
)

// engineEnd is the end of an engine's connections under requests that it had just begun to
// answer.
type engineEnd struct {
	at      time.Duration
	address string
	parts   []string
	// confirmed tells whether the process has ended, nil while that is not known.
	confirmed *bool
}

// suspect finds out whether the engine of a broken attempt has crashed, and records the
// crash with the parts of all requests that it had just begun to answer.
func (s *Service) suspect(a *Attempt) {
	key := crashKey{a.request.name, a.engine}
	s.mu.Lock()
	now := s.now()
	end := s.ends[key]
	if end == nil {
		if s.stopped || len(s.ends) >= maxConfirming {
			s.mu.Unlock()
			return
		}
		end = &engineEnd{at: now, address: a.address}
		s.ends[key] = end
		s.running.Go(func() { s.confirm(key, end) })
	}
	end.parts = append(end.parts, a.request.parts...)
	crashed := end.confirmed != nil && *end.confirmed
	s.mu.Unlock()
	if crashed {
		s.recordCrash(key, end)
	}
}

// confirm asks whether an engine's process has ended. Others at its address may have
// broken off a connection without that.
func (s *Service) confirm(key crashKey, end *engineEnd) {
	ctx, cancel := context.WithTimeout(s.stopping, confirmTimeout)
	defer cancel()
	ended := s.params.Engines.Refuses(ctx, end.address)
	s.mu.Lock()
	end.confirmed = &ended
	s.mu.Unlock()
	if ended {
		s.counters.Crashes.Add(1)
		s.recordCrash(key, end)
	}
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
