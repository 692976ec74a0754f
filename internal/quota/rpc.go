package quota

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/api/quota/v1/quotav1connect"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

const (
	// maxEntries bounds the claims and the returns of one call.
	maxEntries = 4096
	// maxNameBytes bounds the names of teams and VMs.
	maxNameBytes = 256
)

// NewPeers returns the Peers that call other VMs with a dialer.
func NewPeers(dialer peer.Dialer) Peers { return remotePeers{dialer} }

type remotePeers struct{ dialer peer.Dialer }

// Take implements Peers.
func (p remotePeers) Take(ctx context.Context, to membership.Member, request *quotav1.TakeRequest) (*quotav1.TakeResponse, error) {
	client := quotav1connect.NewQuotaServiceClient(p.dialer.HTTPClient(), p.dialer.BaseURL(to.Address), peer.ClientOptions()...)
	response, err := client.Take(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Handler returns the handler for the peer listener.
func (s *Service) Handler() peer.Handler {
	path, handler := quotav1connect.NewQuotaServiceHandler(server{s}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

type server struct{ service *Service }

// Take implements quotav1connect.QuotaServiceHandler.
func (h server) Take(ctx context.Context, request *connect.Request[quotav1.TakeRequest]) (*connect.Response[quotav1.TakeResponse], error) {
	if !peer.CallerFrom(ctx).AuthorizedAs(request.Msg.GetVm()) {
		return nil, connect.NewError(connect.CodePermissionDenied, Invalid.New("vm: the caller is not %s", request.Msg.GetVm()))
	}
	response, err := h.service.Answer(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}

// Answer answers a call of another VM. The error names the first field that is not valid.
func (s *Service) Answer(request *quotav1.TakeRequest) (*quotav1.TakeResponse, error) {
	if err := check(request); err != nil {
		s.counters.Rejected.Add(1)
		return nil, err
	}
	s.counters.Served.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serveLocked(request), nil
}

// serveLocked answers a valid call. The lock must be held.
func (s *Service) serveLocked(request *quotav1.TakeRequest) *quotav1.TakeResponse {
	now := s.params.Clock()
	for _, r := range request.GetReturns() {
		if r.GetLeasedBy() == s.params.Incarnation {
			s.ledgerAt(now).refund(now, r.GetTeam(), r.GetUnits())
		}
	}
	response := &quotav1.TakeResponse{Incarnation: s.params.Incarnation}
	for _, c := range request.GetClaims() {
		lease, version := s.leaseTo(now, request.GetVm(), c)
		response.Leases = append(response.Leases, lease)
		response.Configuration = max(response.Configuration, version)
	}
	if len(request.GetClaims()) > 0 {
		s.noteConfiguration(request, response.GetConfiguration())
	}
	return response
}

// leaseTo decides one claim and returns the version of the configuration. The lock must be held.
func (s *Service) leaseTo(now time.Time, vm string, c *quotav1.Claim) (*quotav1.Lease, uint64) {
	quota, version, known := s.params.Quota(c.GetTeam())
	switch {
	case !known:
		s.counters.Unknown.Add(1)
		return &quotav1.Lease{Unknown: true}, version
	case !quota.Limited():
		return &quotav1.Lease{Unlimited: true}, version
	}
	d, established := s.ledgerAt(now).take(now, c.GetTeam(), quota, claim{
		vm: vm, needed: c.GetNeeded(), waiting: c.GetWaiting(), wanted: c.GetWanted(), patience: time.Duration(c.GetPatienceNs()), yields: c.GetYields(),
	}, s.params.Announced())
	return &quotav1.Lease{Units: d.units, ValidNs: int64(leaseTime), WaitNs: int64(d.wait), Established: established}, version
}

// noteConfiguration notes that a caller has a later configuration. The lock must be held.
func (s *Service) noteConfiguration(request *quotav1.TakeRequest, own uint64) {
	if request.GetConfiguration() <= own {
		return
	}
	s.counters.Behind.Add(1)
	if request.GetConfiguration() > s.newest {
		s.newest = request.GetConfiguration()
		s.params.Log.Change("quotas are of an earlier configuration than a caller's", logrus.Fields{
			"caller": request.GetVm(), "configuration": own, "callers_configuration": s.newest,
		})
	}
}

// check returns why a call cannot be used.
func check(request *quotav1.TakeRequest) error {
	if err := checkName("vm", request.GetVm()); err != nil {
		return err
	}
	if n := max(len(request.GetClaims()), len(request.GetReturns())); n > maxEntries {
		return Invalid.New("claims, returns: %d entries, at most %d are accepted", n, maxEntries)
	}
	for i, c := range request.GetClaims() {
		path := fmt.Sprintf("claims[%d]", i)
		if err := checkName(path+".team", c.GetTeam()); err != nil {
			return err
		}
		if c.GetNeeded() < 0 || c.GetNeeded() > maxCost {
			return Invalid.New("%s.needed: %d is not between 0 and %d", path, c.GetNeeded(), int64(maxCost))
		}
		if c.GetWanted() < c.GetNeeded() {
			return Invalid.New("%s.wanted: %d is less than the needed %d", path, c.GetWanted(), c.GetNeeded())
		}
	}
	for i, r := range request.GetReturns() {
		path := fmt.Sprintf("returns[%d]", i)
		if err := checkName(path+".team", r.GetTeam()); err != nil {
			return err
		}
		if r.GetUnits() < 0 || r.GetUnits() > 2*maxCost {
			return Invalid.New("%s.units: %d is not between 0 and %d", path, r.GetUnits(), int64(2*maxCost))
		}
	}
	return nil
}

func checkName(path, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return Invalid.New("%s: a name of %d bytes, between 1 and %d are accepted", path, len(name), maxNameBytes)
	}
	return nil
}
