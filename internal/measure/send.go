package measure

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/caller"
)

// sender sends planned requests at their intended send times.
type sender struct {
	balancer *balancer
	// keys are the teams' bearer keys.
	keys map[string]string
	// answerTimeout limits the time from sending a request to the end of its
	// answer.
	answerTimeout time.Duration
	// progress is called after every request; nil disables it.
	progress func(r *record)
}

// idlePerVM is the maximum number of idle connections per entry VM.
const idlePerVM = 256

// run sends all requests, waits for their answers and returns the records in
// the order of the requests. The end of ctx cancels all requests in flight and
// skips those that are not yet sent.
func (s *sender) run(ctx context.Context, start time.Time, requests []plannedRequest) []record {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerVM}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	records := make([]record, len(requests))
	var calls sync.WaitGroup
	for i := range requests {
		r := &requests[i]
		if !sleepUntil(ctx, start.Add(r.at)) {
			records = records[:i]
			break
		}
		calls.Go(func() {
			records[i] = s.send(ctx, client, start, r)
			if s.progress != nil {
				s.progress(&records[i])
			}
		})
	}
	calls.Wait()
	return records
}

// send sends one request and reads its answer.
func (s *sender) send(ctx context.Context, client *http.Client, start time.Time, r *plannedRequest) record {
	limit := s.answerTimeout
	disconnects := r.disconnectAfter > 0
	if disconnects {
		limit = r.disconnectAfter
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	delay := max(time.Since(start.Add(r.at)), 0)
	answer, err := caller.New(s.balancer.pick(r.vm), s.keys[r.Team], client).Do(ctx, caller.Request{
		Method:  r.class.Method,
		Path:    pathOf(r),
		Body:    bodyOf(r),
		Stream:  r.class.ModelBacked(),
		Class:   r.class.Name,
		Key:     r.key,
		Attempt: r.attempt(),
	})
	return newRecord(r, delay, &answer, err, disconnects)
}

// sleepUntil sleeps until a time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
