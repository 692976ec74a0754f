package feed

import (
	"context"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// consultTimeout limits a call to a VM that is asked at the start.
	consultTimeout = 300 * time.Millisecond
	// maxConsulted is the number of VMs that are asked until one answers.
	maxConsulted = 3
)

// consult asks another VM, once after the start, for the whole state of the topics that
// ask for it. The store may have come back from an older copy shortly before, and a VM that
// reads it for its zone would not learn what the copy lacks.
func (s *Service) consult(ctx context.Context) {
	source, due := s.nextConsulted()
	if !due {
		return
	}
	sent := s.params.Clock()
	callCtx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	response, err := s.params.Peers.Follow(callCtx, source, s.consultation(sent))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.consulted[source.VM] = true
		return
	}
	s.consulted = nil
	s.adopt(sent, &response)
}

// nextConsulted returns the VM to ask next. The second result is false if there is none,
// this VM has not read the store yet, or no VM need be asked any more.
func (s *Service) nextConsulted() (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.consulted == nil || s.params.Peers == nil {
		return membership.Member{}, false
	}
	for _, t := range s.topics {
		if t.Consult && !t.replica.listed {
			return membership.Member{}, false
		}
	}
	if len(s.consulted) == maxConsulted {
		s.consulted = nil
		return membership.Member{}, false
	}
	var others []membership.Member
	for _, m := range s.params.View.Members() {
		if m.Available() && m.VM != s.planner.self && !s.consulted[m.VM] {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return membership.Member{}, false
	}
	return others[s.params.Random.IntN(len(others))], true
}

// consultation returns a request for the whole state of the topics that ask for it.
func (s *Service) consultation(now time.Time) Request {
	request := s.request(now, 0)
	topics := request.Topics
	request.Topics = nil
	for i, t := range s.topics {
		if t.Consult {
			topics[i].Whole = true
			request.Topics = append(request.Topics, topics[i])
		}
	}
	return request
}
