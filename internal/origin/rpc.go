package origin

import (
	"context"
	"time"

	"connectrpc.com/connect"

	originv1 "github.com/ospreyshed/ospreyshed/api/origin/v1"
	"github.com/ospreyshed/ospreyshed/api/origin/v1/originv1connect"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// NewPeers returns the Peers that call other VMs with a dialer.
func NewPeers(dialer peer.Dialer) Peers { return remotePeers{dialer} }

type remotePeers struct{ dialer peer.Dialer }

func (p remotePeers) client(m membership.Member) originv1connect.OriginServiceClient {
	return originv1connect.NewOriginServiceClient(p.dialer.HTTPClient(), p.dialer.BaseURL(m.Address), peer.ClientOptions()...)
}

// Replicate implements Peers.
func (p remotePeers) Replicate(ctx context.Context, to membership.Member, records []Copy) error {
	_, err := p.client(to).Replicate(ctx, connect.NewRequest(&originv1.ReplicateRequest{Records: recordsToProto(records)}))
	return err
}

// Lookup implements Peers. A VM of an earlier version, which does not serve the call,
// has no record.
func (p remotePeers) Lookup(ctx context.Context, to membership.Member, stream string) (Copy, bool, error) {
	response, err := p.client(to).Lookup(ctx, connect.NewRequest(&originv1.LookupRequest{Stream: stream}))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return Copy{}, false, nil
	}
	if err != nil || response.Msg.GetRecord() == nil {
		return Copy{}, false, err
	}
	return copyFromProto(response.Msg.GetRecord()), true, nil
}

// Archive implements Peers. The error is NotServed for a VM of an earlier version.
func (p remotePeers) Archive(ctx context.Context, to membership.Member, records []Copy) error {
	_, err := p.client(to).Archive(ctx, connect.NewRequest(&originv1.ArchiveRequest{Records: recordsToProto(records)}))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return NotServed.Wrap(err, "%s", to.VM)
	}
	return err
}

// Handler returns the handler for the peer listener.
func (s *Service) Handler() peer.Handler {
	path, handler := originv1connect.NewOriginServiceHandler(server{s}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

type server struct{ service *Service }

// Replicate implements originv1connect.OriginServiceHandler.
func (h server) Replicate(_ context.Context, request *connect.Request[originv1.ReplicateRequest]) (*connect.Response[originv1.ReplicateResponse], error) {
	encoded := request.Msg.GetRecords()
	if len(encoded) > maxBatch {
		h.service.counters.Rejected.Add(int64(len(encoded)))
		return nil, connect.NewError(connect.CodeInvalidArgument, TooMany.New("%d records, at most %d are accepted", len(encoded), maxBatch))
	}
	h.service.Accept(recordsFromProto(encoded))
	return connect.NewResponse(&originv1.ReplicateResponse{}), nil
}

// Lookup implements originv1connect.OriginServiceHandler.
func (h server) Lookup(_ context.Context, request *connect.Request[originv1.LookupRequest]) (*connect.Response[originv1.LookupResponse], error) {
	response := &originv1.LookupResponse{}
	if record, known := h.service.Answer(request.Msg.GetStream()); known {
		response.Record = copyToProto(&record)
	}
	return connect.NewResponse(response), nil
}

// Archive implements originv1connect.OriginServiceHandler.
func (h server) Archive(ctx context.Context, request *connect.Request[originv1.ArchiveRequest]) (*connect.Response[originv1.ArchiveResponse], error) {
	encoded := request.Msg.GetRecords()
	if len(encoded) > maxBatch {
		h.service.counters.Rejected.Add(int64(len(encoded)))
		return nil, connect.NewError(connect.CodeInvalidArgument, TooMany.New("%d records, at most %d are accepted", len(encoded), maxBatch))
	}
	if err := h.service.Archive(ctx, recordsFromProto(encoded)); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&originv1.ArchiveResponse{}), nil
}

func recordsToProto(records []Copy) []*originv1.Record {
	encoded := make([]*originv1.Record, len(records))
	for i := range records {
		encoded[i] = copyToProto(&records[i])
	}
	return encoded
}

func recordsFromProto(encoded []*originv1.Record) []Copy {
	records := make([]Copy, len(encoded))
	for i, record := range encoded {
		records[i] = copyFromProto(record)
	}
	return records
}

func copyToProto(c *Copy) *originv1.Record {
	return &originv1.Record{
		Stream: c.Stream, Service: c.Service, Build: c.Build, Revision: c.Revision,
		AgeMs: uint32(max(0, c.Age) / time.Millisecond),
	}
}

func copyFromProto(record *originv1.Record) Copy {
	return Copy{
		Origin: Origin{
			Stream: record.GetStream(), Service: record.GetService(), Build: record.GetBuild(), Revision: record.GetRevision(),
		},
		Age: time.Duration(record.GetAgeMs()) * time.Millisecond,
	}
}
