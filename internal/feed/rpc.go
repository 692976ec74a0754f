package feed

import (
	"context"
	"math"
	"time"

	"connectrpc.com/connect"

	feedv1 "github.com/ospreyshed/ospreyshed/api/feed/v1"
	"github.com/ospreyshed/ospreyshed/api/feed/v1/feedv1connect"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// NewPeers returns the Peers that call other VMs with a dialer.
func NewPeers(dialer peer.Dialer) Peers { return remotePeers{dialer} }

type remotePeers struct{ dialer peer.Dialer }

// Follow implements Peers.
func (p remotePeers) Follow(ctx context.Context, source membership.Member, request Request) (Response, error) {
	client := feedv1connect.NewFeedServiceClient(p.dialer.HTTPClient(), p.dialer.BaseURL(source.Address), peer.ClientOptions()...)
	response, err := client.Follow(ctx, connect.NewRequest(requestToProto(&request)))
	if err != nil {
		return Response{}, err
	}
	return responseFromProto(response.Msg), nil
}

// Handler returns the handler for the peer listener.
func (s *Service) Handler() peer.Handler {
	path, handler := feedv1connect.NewFeedServiceHandler(server{s}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

type server struct{ service *Service }

// Follow implements feedv1connect.FeedServiceHandler.
func (h server) Follow(ctx context.Context, request *connect.Request[feedv1.FollowRequest]) (*connect.Response[feedv1.FollowResponse], error) {
	response := h.service.Serve(ctx, requestFromProto(request.Msg))
	return connect.NewResponse(responseToProto(&response)), nil
}

func requestToProto(request *Request) *feedv1.FollowRequest {
	encoded := &feedv1.FollowRequest{HoldUs: microseconds(request.Hold)}
	for _, known := range request.Topics {
		encoded.Topics = append(encoded.Topics, &feedv1.TopicState{
			Topic: known.Topic, Era: known.Era, Next: known.Next, Whole: known.Whole, AgeUs: microseconds(known.Age),
		})
	}
	return encoded
}

func requestFromProto(encoded *feedv1.FollowRequest) Request {
	request := Request{Hold: duration(encoded.GetHoldUs())}
	for _, state := range encoded.GetTopics() {
		request.Topics = append(request.Topics, Known{
			Topic: state.GetTopic(), Era: state.GetEra(), Next: state.GetNext(), Whole: state.GetWhole(), Age: duration(state.GetAgeUs()),
		})
	}
	return request
}

func responseToProto(response *Response) *feedv1.FollowResponse {
	// Held is rounded down, so that the state is never taken for newer than it is.
	encoded := &feedv1.FollowResponse{HeldUs: uint64(response.Held / time.Microsecond)}
	for i := range response.Topics {
		u := &response.Topics[i]
		topic := &feedv1.TopicUpdate{
			Topic: u.Topic, Era: u.update.era, Next: u.update.next, Whole: u.update.whole, AgeUs: microseconds(u.Age), Digest: u.update.digest,
		}
		for _, e := range u.update.entries {
			topic.Entries = append(topic.Entries, &feedv1.Entry{Key: e.Key, Value: e.Value, Change: uint64(e.changed), Missing: e.missing})
		}
		encoded.Topics = append(encoded.Topics, topic)
	}
	return encoded
}

func responseFromProto(encoded *feedv1.FollowResponse) Response {
	response := Response{Held: duration(encoded.GetHeldUs())}
	for _, topic := range encoded.GetTopics() {
		u := update{era: topic.GetEra(), next: topic.GetNext(), whole: topic.GetWhole(), digest: topic.GetDigest()}
		for _, e := range topic.GetEntries() {
			u.entries = append(u.entries, updateEntry{Record{e.GetKey(), e.GetValue()}, changeNumber(e.GetChange()), e.GetMissing()})
		}
		response.Topics = append(response.Topics, TopicUpdate{Topic: topic.GetTopic(), Age: duration(topic.GetAgeUs()), update: u})
	}
	return response
}

// microseconds rounds up, so that an age is never understated.
func microseconds(d time.Duration) uint64 {
	us := uint64(max(0, d) / time.Microsecond)
	if d%time.Microsecond > 0 {
		us++
	}
	return us
}

// duration converts microseconds, those beyond the range to the longest duration.
func duration(us uint64) time.Duration {
	if us > uint64(math.MaxInt64/int64(time.Microsecond)) {
		return math.MaxInt64
	}
	return time.Duration(us) * time.Microsecond
}
