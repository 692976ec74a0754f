package reservation

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// admitTimeout limits a call to the VM that admits calls to an endpoint. Zones are some
// milliseconds apart.
const admitTimeout = 100 * time.Millisecond

// Admit reports whether this VM may send a call to a plain endpoint now. If the endpoint names
// a limit, one VM of its zone admits the calls of all VMs; while that VM does not answer, this VM
// keeps to a static share. If the call is not admitted, wait is the time after which to ask
// again.
func (s *Service) Admit(ctx context.Context, to *configuration.Endpoint) (wait time.Duration, admitted bool) {
	if s.params.Limits == nil {
		return 0, true
	}
	limit, _ := s.params.Limits.Limit(to.Name)
	if !limit.Named {
		return 0, true
	}
	now := time.Now()
	if wait := s.limits.closedFor(now, to.Name); wait > 0 {
		return wait, false
	}
	decision, err := s.askAdmitter(ctx, to, false)
	if err != nil {
		s.counters.AdmissionFallbacks.Add(1)
		decision = s.limits.admitFromShare(now, to.Name, rateOf(limit), s.params.VMCount())
	}
	if !decision.admitted {
		s.limits.close(now, to.Name, decision.wait)
	}
	return decision.wait, decision.admitted
}

// ReportLimit tells the VM that admits calls to a plain endpoint what this VM knows of its
// limit. It does not block. A report that is lost is made up for by the next call.
func (s *Service) ReportLimit(of *configuration.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.params.Limits == nil || s.runContext == nil || s.runContext.Err() != nil {
		return
	}
	ctx := s.runContext
	s.background.Go(func() { _, _ = s.askAdmitter(ctx, of, true) })
}

// askAdmitter asks the VM that admits calls to an endpoint, or only passes on what this VM knows
// of the endpoint's limit.
func (s *Service) askAdmitter(ctx context.Context, to *configuration.Endpoint, reportOnly bool) (admission, error) {
	admitter, ok := s.admitter(to)
	if !ok {
		return admission{}, OwnerUnreachable.New("no member admits calls to %s", to.Name)
	}
	limit, at := s.params.Limits.Limit(to.Name)
	if admitter.VM == s.self().VM {
		return s.admitForAll(time.Now(), to.Name, limit, at, reportOnly), nil
	}
	if s.limits.isSilent(time.Now(), admitter.VM) {
		return admission{}, OwnerSilent.New("%s did not answer lately", admitter.VM)
	}
	client, err := s.client(admitter.VM)
	if err != nil {
		return admission{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	response, err := client.Admit(callCtx, connect.NewRequest(&reservationv1.AdmitRequest{
		Endpoint: to.Name, Limit: limitToProto(limit, at), ReportOnly: reportOnly,
	}))
	if ctx.Err() == nil {
		s.limits.answered(time.Now(), admitter.VM, err == nil)
	}
	if err != nil {
		return admission{}, err
	}
	known, knownAt := limitFromProto(response.Msg.GetLimit())
	s.params.Limits.ObserveLimit(to.Name, known, knownAt)
	return admission{admitted: response.Msg.GetAdmitted(), wait: time.Duration(response.Msg.GetWaitNs())}, nil
}

// admitter returns the VM that admits the calls of all VMs to an endpoint: a VM of the
// endpoint's zone, which is cut off from other zones together with it, or of the first zone if
// its own has none.
func (s *Service) admitter(to *configuration.Endpoint) (membership.Member, bool) {
	members := s.params.View.Members()
	if len(members) == 0 {
		return membership.Member{}, false
	}
	zone := to.Zone
	if !slices.ContainsFunc(members, func(m membership.Member) bool { return m.Zone == zone }) {
		zone = slices.MinFunc(members, func(x, y membership.Member) int { return cmp.Compare(x.Zone, y.Zone) }).Zone
	}
	return s.router.ownerOf(routeKey{zone, limitedService(to.Service)})
}

// limitedService is the name under which the calls to a plain service have an owner. It differs
// from the names of models.
func limitedService(service string) string { return "limits\x00" + service }

// admitForAll decides about a call of any VM, which knows a limit of the endpoint from a time
// on.
func (s *Service) admitForAll(now time.Time, name string, claimed endpoint.Limit, at time.Time, reportOnly bool) admission {
	s.params.Limits.ObserveLimit(name, claimed, at)
	limit, _ := s.params.Limits.Limit(name)
	if !limit.Named || reportOnly {
		return admission{admitted: true}
	}
	decision := s.limits.admitOwned(now, name, rateOf(limit))
	if decision.admitted {
		s.counters.Admitted.Add(1)
	} else {
		s.counters.NotAdmitted.Add(1)
	}
	return decision
}

// Admit implements the Connect service.
func (h server) Admit(
	_ context.Context, request *connect.Request[reservationv1.AdmitRequest],
) (*connect.Response[reservationv1.AdmitResponse], error) {
	s, name := h.service, request.Msg.GetEndpoint()
	if s.params.Limits == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, NotOwner.New("%s admits no calls", s.self().VM))
	}
	claimed, at := limitFromProto(request.Msg.GetLimit())
	decision := s.admitForAll(time.Now(), name, claimed, at, request.Msg.GetReportOnly())
	limit, knownAt := s.params.Limits.Limit(name)
	return connect.NewResponse(&reservationv1.AdmitResponse{
		Admitted: decision.admitted, WaitNs: int64(decision.wait), Limit: limitToProto(limit, knownAt),
	}), nil
}

func limitToProto(limit endpoint.Limit, at time.Time) *reservationv1.Limit {
	return &reservationv1.Limit{Named: limit.Named, PerSecond: limit.PerSecond, AgeNs: int64(time.Since(at))}
}

func limitFromProto(l *reservationv1.Limit) (endpoint.Limit, time.Time) {
	limit := endpoint.Limit{Named: l.GetNamed(), PerSecond: l.GetPerSecond()}
	return limit, time.Now().Add(-time.Duration(l.GetAgeNs()))
}
