package timelinerpc

import (
	"context"

	"connectrpc.com/connect"

	timelinev1 "github.com/ospreyshed/ospreyshed/api/timeline/v1"
	"github.com/ospreyshed/ospreyshed/api/timeline/v1/timelinev1connect"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Reader reads the events of one process incrementally. It is not safe for concurrent
// use.
type Reader struct {
	address     string
	request     string
	client      timelinev1connect.TimelineServiceClient
	after       uint64
	incarnation uint64
}

// NewReader returns a reader of the process at a peer address, an IP address and port.
// It selects the events of one request, or all events if request is empty.
func NewReader(dialer peer.Dialer, address, request string) *Reader {
	client := timelinev1connect.NewTimelineServiceClient(dialer.HTTPClient(), dialer.BaseURL(address), peer.ClientOptions()...)
	return &Reader{address: address, request: request, client: client}
}

// Address returns the peer address of the process.
func (r *Reader) Address() string { return r.address }

// Read returns the events recorded since the previous call; the first call returns all
// retained events. After a restart of the process Read starts again at the first event
// of the new incarnation.
func (r *Reader) Read(ctx context.Context) (timeline.Batch, error) {
	var all timeline.Batch
	for {
		batch, err := r.page(ctx)
		if err != nil {
			return all, err
		}
		all.VM = batch.VM
		all.Incarnation = batch.Incarnation
		all.Next = batch.Next
		all.Dropped += batch.Dropped
		all.Events = append(all.Events, batch.Events...)
		if !batch.More {
			return all, nil
		}
	}
}

func (r *Reader) page(ctx context.Context) (timeline.Batch, error) {
	response, err := r.client.Events(ctx, connect.NewRequest(&timelinev1.EventsRequest{
		After:       r.after,
		Request:     r.request,
		Incarnation: r.incarnation,
	}))
	if err != nil {
		return timeline.Batch{}, err
	}
	batch := decodeBatch(response.Msg)
	r.after = batch.Next
	r.incarnation = batch.Incarnation
	return batch, nil
}
