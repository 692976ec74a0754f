// Package timelinerpc serves and reads the timelines of other processes over
// connect-go.
package timelinerpc

import (
	"context"

	"connectrpc.com/connect"

	timelinev1 "github.com/ospreyshed/ospreyshed/api/timeline/v1"
	"github.com/ospreyshed/ospreyshed/api/timeline/v1/timelinev1connect"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// maxEvents bounds the number of events in one response.
const maxEvents = 5000

// NewHandler returns a handler that serves the events of a ring to peers.
func NewHandler(ring *timeline.Ring) peer.Handler {
	path, handler := timelinev1connect.NewTimelineServiceHandler(&service{ring}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

type service struct {
	ring *timeline.Ring
}

// Events implements TimelineServiceHandler.
func (s *service) Events(_ context.Context, request *connect.Request[timelinev1.EventsRequest]) (*connect.Response[timelinev1.EventsResponse], error) {
	batch := s.ring.Since(s.query(request.Msg))
	return connect.NewResponse(encodeBatch(&batch)), nil
}

func (s *service) query(request *timelinev1.EventsRequest) timeline.Query {
	query := timeline.Query{
		After:   request.GetAfter(),
		Request: request.GetRequest(),
		Limit:   maxEvents,
	}
	if limit := request.GetLimit(); limit > 0 && limit < maxEvents {
		query.Limit = int(limit)
	}
	if i := request.GetIncarnation(); i != 0 && i != s.ring.Incarnation() {
		query.After = 0
	}
	return query
}
