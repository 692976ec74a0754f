package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// maxEventWait limits how long a read of cache events waits (long poll).
const maxEventWait = time.Minute

type eventsResponse struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

func (h *handler) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		httpserver.WriteError(w, http.StatusBadRequest, "from: %v", err)
		return
	}
	wait, err := parseWait(r.URL.Query().Get("wait_ms"))
	if err != nil {
		httpserver.WriteError(w, http.StatusBadRequest, "wait_ms: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	httpserver.WriteJSON(w, http.StatusOK, h.engine.readEvents(ctx, from))
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, err
	}
	return min(time.Duration(milliseconds)*time.Millisecond, maxEventWait), nil
}

// readEvents returns the visible events from a sequence number on. If there are
// none, it waits for one until ctx ends, unless from is past the next sequence
// number.
func (e *Engine) readEvents(ctx context.Context, from uint64) eventsResponse {
	for {
		e.mu.Lock()
		events, next, pending := e.events.read(from)
		added := e.events.added
		closed := e.closed
		e.mu.Unlock()
		if len(events) > 0 || next < from || closed || ctx.Err() != nil {
			return eventsResponse{Next: next, Events: append([]CacheEvent{}, events...)}
		}
		e.awaitEvent(ctx, added, pending)
	}
}

// awaitEvent waits until an event is added or, if one is pending, until it becomes
// visible after the duration pending. It also returns when ctx ends or the engine
// is closed.
func (e *Engine) awaitEvent(ctx context.Context, added <-chan struct{}, pending time.Duration) {
	var visible <-chan time.Time
	if pending > 0 {
		timer := time.NewTimer(pending)
		defer timer.Stop()
		visible = timer.C
	}
	select {
	case <-added:
	case <-visible:
	case <-e.stopped:
	case <-ctx.Done():
	}
}
