package peersync

import (
	"context"

	"connectrpc.com/connect"

	configurationv1 "github.com/ospreyshed/ospreyshed/api/configuration/v1"
	"github.com/ospreyshed/ospreyshed/api/configuration/v1/configurationv1connect"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// Server serves the state of a Store to peers.
type Server struct {
	store   *configuration.Store
	members membership.View
}

var _ configurationv1connect.ConfigurationServiceHandler = (*Server)(nil)

// NewServer returns a Server for this VM.
func NewServer(store *configuration.Store, members membership.View) *Server {
	return &Server{store: store, members: members}
}

// Handler returns the handler of the service for the peer listener.
func (s *Server) Handler() peer.Handler {
	path, handler := configurationv1connect.NewConfigurationServiceHandler(s, append(peer.HandlerOptions(), connect.WithReadMaxBytes(maxRequestBytes))...)
	return peer.Handler{Path: path, Handler: handler}
}

// Compare implements configurationv1connect.ConfigurationServiceHandler.
func (s *Server) Compare(
	_ context.Context, request *connect.Request[configurationv1.CompareRequest],
) (*connect.Response[configurationv1.CompareResponse], error) {
	complete := s.store.Complete()
	versions := s.store.All()
	own := digestsOf(versions)
	response := &configurationv1.CompareResponse{Complete: complete, Equal: own.total() == request.Msg.GetDigest()}
	theirs := request.Msg.GetBuckets()
	if response.GetEqual() || len(theirs) != bucketCount {
		return connect.NewResponse(response), nil
	}
	for _, current := range versions {
		bucket := bucketOf(current.Record.Subject)
		if own.buckets[bucket] != theirs[bucket] {
			response.Positions = append(response.Positions, positionToWire(current))
		}
	}
	return connect.NewResponse(response), nil
}

// Fetch implements configurationv1connect.ConfigurationServiceHandler.
func (s *Server) Fetch(
	_ context.Context, request *connect.Request[configurationv1.FetchRequest],
) (*connect.Response[configurationv1.FetchResponse], error) {
	response := new(configurationv1.FetchResponse)
	size := 0
	for _, subject := range request.Msg.GetSubjects() {
		current, ok := s.store.Current(subject)
		if !ok {
			continue
		}
		size += len(current.Record.Document)
		if size > maxFetchBytes && len(response.Records) > 0 {
			break
		}
		response.Records = append(response.Records, recordToWire(current))
	}
	return connect.NewResponse(response), nil
}

// InForce implements configurationv1connect.ConfigurationServiceHandler.
func (s *Server) InForce(
	_ context.Context, request *connect.Request[configurationv1.InForceRequest],
) (*connect.Response[configurationv1.InForceResponse], error) {
	self := s.members.Self()
	response := &configurationv1.InForceResponse{Vm: self.VM, Zone: self.Zone}
	snapshot := s.store.Snapshot()
	if snapshot == nil {
		return connect.NewResponse(response), nil
	}
	response.Serving = true
	response.Generation = snapshot.Generation()
	subjects := request.Msg.GetSubjects()
	if len(subjects) == 0 {
		subjects = snapshot.Subjects()
	}
	for _, subject := range subjects {
		response.Versions = append(response.Versions, &configurationv1.SubjectVersion{
			Subject: subject, Version: snapshot.Version(subject),
		})
	}
	return connect.NewResponse(response), nil
}
