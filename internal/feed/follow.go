package feed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// followerGraceFactor times the grace of a topic is how long a VM keeps a key that is missing
// according to its source. It is longer than the source's grace, so that the source decides.
const followerGraceFactor = 2

// Peers calls other VMs.
type Peers interface {
	// Follow returns what a VM knows beyond the request.
	Follow(ctx context.Context, source membership.Member, request Request) (Response, error)
}

// Request says what a follower knows.
type Request struct {
	Topics []Known
	// Hold is the time after which the response is sent even if nothing is newer.
	Hold time.Duration
}

// Known is what a follower knows of a topic.
type Known struct {
	Topic string
	// Era and Next are the era of the store and the offset up to which it knows the topic;
	// Whole says that it needs the whole state. VMs of earlier releases name no era.
	Era, Next uint64
	Whole     bool
	// Age is the time since the store confirmed that state.
	Age time.Duration
}

// Response is what a source knows beyond a request.
type Response struct {
	// Held is the time from the arrival of the request to the response.
	Held   time.Duration
	Topics []TopicUpdate
}

// TopicUpdate brings a follower's state of a topic up to date.
type TopicUpdate struct {
	Topic string
	// Age is the time from the store's confirmation of the state to the response.
	Age    time.Duration
	update update
}

// follow calls a source and applies what is newer.
func (s *Service) follow(ctx context.Context, next step) {
	sent := s.params.Clock()
	hold := next.until.Sub(sent)
	callCtx, cancel := context.WithTimeout(ctx, hold+followMargin)
	defer cancel()
	response, err := s.params.Peers.Follow(callCtx, next.source, s.request(sent, hold))
	if ctx.Err() != nil {
		return
	}
	if err != nil && next.recovering {
		background.Pause(ctx, recoveringPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && !s.adopt(sent, &response) {
		err = NothingNewer.New("%s", next.source.VM)
	}
	if err == nil {
		s.counters.Updates.Add(1)
		s.planner.sourceAnswered(next.source.VM)
		return
	}
	now := s.params.Clock()
	if next.storeDue && !now.Before(next.until) {
		return
	}
	s.counters.SourcesFailed.Add(1)
	s.planner.sourceFailed(now, next.source.VM)
	s.params.Log.Change("source of the store's state failed", logrus.Fields{
		"source": next.source.VM, "age_ms": s.oldest(now).Milliseconds(), "error": err.Error(),
	})
}

// request returns what this VM knows.
func (s *Service) request(now time.Time, hold time.Duration) Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := Request{Hold: hold}
	for _, t := range s.topics {
		request.Topics = append(request.Topics, Known{
			Topic: t.Name,
			Era:   t.replica.era,
			Next:  t.replica.next,
			Whole: !t.replica.listed || t.differs,
			Age:   t.age(now),
		})
	}
	return request
}

// adopt applies a response to a request that was sent at a time, and reports whether
// anything was newer. The lock must be held.
func (s *Service) adopt(sent time.Time, response *Response) bool {
	newer := false
	for i := range response.Topics {
		u := &response.Topics[i]
		if t := s.topicNamed(u.Topic); t != nil && s.adoptTopic(t, sent.Add(response.Held-u.Age), &u.update) {
			newer = true
		}
	}
	return newer
}

// adoptTopic applies the update of one topic, which the store confirmed at a time or
// later. The response was made at the time of sending plus the time for which the call
// was held, or later, so that this time is not too late.
func (s *Service) adoptTopic(t *topicState, confirmed time.Time, u *update) bool {
	if u.era < t.replica.era || t.replica.listed && t.replica.older(u.era, u.next) {
		return false
	}
	if u.era > t.replica.era && t.applied {
		if !u.whole {
			t.differs = true
			return true
		}
		s.recordEra(t, u.era, u.next)
	}
	changes, same := t.replica.adopt(*u, s.params.Clock().Add(followerGraceFactor*t.LapseGrace))
	s.apply(t, changes)
	// A whole state replaces any other, even if this version computes another digest.
	if t.differs = !same && !u.whole; t.differs {
		s.counters.WholeStates.Add(1)
		// The age improves once the whole state is here.
		return true
	}
	newer := confirmed.After(t.confirmed) || len(changes) > 0
	if t.outage && newer {
		s.params.Log.Change("store is back", logrus.Fields{"topic": t.Name, "offset": u.next, "source": s.source})
	}
	s.confirm(t, confirmed)
	return newer
}

// Serve answers a follower as soon as this VM knows anything newer, or when the hold
// time has passed.
func (s *Service) Serve(ctx context.Context, request Request) Response {
	s.counters.Served.Add(1)
	arrived := s.params.Clock()
	timer := time.NewTimer(min(request.Hold, maxHold))
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.params.Clock()
		response, advanced := s.respond(now, now.Sub(arrived), &request), s.advanced
		s.mu.Unlock()
		if len(response.Topics) > 0 {
			return response
		}
		select {
		case <-ctx.Done():
			return response
		case <-s.stopped:
			return response
		case <-timer.C:
			return response
		case <-advanced:
		}
	}
}

// respond returns what is newer than a request that was held for some time: anything
// that has changed, or a state that was confirmed considerably later. Topics with the
// smallest MaxAge decide on the latter together, since the reader renews them one
// shortly after the other. Whole states beyond the limit are left out. The lock must be
// held.
func (s *Service) respond(now time.Time, held time.Duration, request *Request) Response {
	response := Response{Held: held}
	changed := false
	var theirs, ours time.Duration
	for _, known := range request.Topics {
		t := s.topicNamed(known.Topic)
		if t == nil || t.confirmed.IsZero() || t.behind(&known) {
			continue
		}
		whole := known.Whole || known.Era != 0 && known.Era != t.replica.era
		u := TopicUpdate{Topic: t.Name, Age: t.age(now), update: t.replica.updateSince(known.Next, whole)}
		if u.update.whole && !s.wholeStates.AllowN(now, min(u.update.size(), wholeBurst)) {
			continue
		}
		changed = changed || known.Whole || len(u.update.entries) > 0
		if t.MaxAge == s.planner.maxAge {
			theirs = max(theirs, saturatingAdd(known.Age, held))
			ours = max(ours, u.Age)
		}
		response.Topics = append(response.Topics, u)
	}
	if !changed && float64(theirs-ours) < serveGain*float64(s.planner.maxAge) {
		response.Topics = nil
	}
	return response
}

// behind reports whether the state is older than what a follower knows. One that names no
// era is compared by its offset.
func (t *topicState) behind(known *Known) bool {
	if known.Era != 0 && known.Era != t.replica.era {
		return t.replica.era < known.Era
	}
	return t.replica.next < known.Next && !known.Whole
}

func (s *Service) topicNamed(name string) *topicState {
	for _, t := range s.topics {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func saturatingAdd(a, b time.Duration) time.Duration {
	if sum := a + b; sum >= a {
		return sum
	}
	return a
}
