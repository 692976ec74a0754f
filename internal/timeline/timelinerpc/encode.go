package timelinerpc

import (
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	timelinev1 "github.com/ospreyshed/ospreyshed/api/timeline/v1"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func encodeBatch(batch *timeline.Batch) *timelinev1.EventsResponse {
	response := &timelinev1.EventsResponse{
		Vm:          batch.VM,
		Incarnation: batch.Incarnation,
		Events:      make([]*timelinev1.Event, len(batch.Events)),
		Next:        batch.Next,
		Dropped:     batch.Dropped,
		More:        batch.More,
	}
	for i := range batch.Events {
		response.Events[i] = encodeEvent(&batch.Events[i])
	}
	return response
}

func encodeEvent(event *timeline.Event) *timelinev1.Event {
	return &timelinev1.Event{
		Sequence:  event.Sequence,
		Wall:      timestamppb.New(event.Wall),
		Monotonic: durationpb.New(event.Monotonic),
		Request:   event.Request,
		Kind:      string(event.Kind),
		Detail:    event.Detail,
	}
}

func decodeBatch(response *timelinev1.EventsResponse) timeline.Batch {
	batch := timeline.Batch{
		VM:          response.GetVm(),
		Incarnation: response.GetIncarnation(),
		Events:      make([]timeline.Event, len(response.GetEvents())),
		Next:        response.GetNext(),
		Dropped:     response.GetDropped(),
		More:        response.GetMore(),
	}
	for i, event := range response.GetEvents() {
		batch.Events[i] = decodeEvent(response, event)
	}
	return batch
}

func decodeEvent(response *timelinev1.EventsResponse, event *timelinev1.Event) timeline.Event {
	return timeline.Event{
		Sequence:    event.GetSequence(),
		Wall:        event.GetWall().AsTime(),
		Monotonic:   event.GetMonotonic().AsDuration(),
		VM:          response.GetVm(),
		Incarnation: response.GetIncarnation(),
		Request:     event.GetRequest(),
		Kind:        timeline.Kind(event.GetKind()),
		Detail:      event.GetDetail(),
	}
}
