package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// answering answers all calls with the needed credit.
type answering struct{}

func (answering) Take(_ context.Context, _ membership.Member, request *quotav1.TakeRequest) (*quotav1.TakeResponse, error) {
	response := &quotav1.TakeResponse{Incarnation: 1}
	for _, c := range request.GetClaims() {
		response.Leases = append(response.Leases, &quotav1.Lease{Units: c.GetNeeded(), ValidNs: int64(leaseTime), Established: true})
	}
	return response, nil
}

// BenchmarkCost measures the processor time of a request at the VM that asks, of a claim at the
// owner, and of a periodic check with 1,100 teams, without transport at 400 VMs.
func BenchmarkCost(b *testing.B) {
	members, all := fleetOf(map[string]int{"a": 100, "b": 100, "c": 200})
	log := decisionlog.Discard()
	defer log.Close()
	plenty := team.Quota{Unit: team.Tokens, PerSecond: 1e12, Burst: 1e12}
	s := New(Params{
		VM: "a-0", Incarnation: 1, View: membership.Static{All: members}, Announced: func() Announced { return all },
		Quota: func(string) (team.Quota, uint64, bool) { return plenty, 1, true }, Peers: answering{}, Log: log, Clock: time.Now,
	})
	sender := team.Team{Name: "team-1", Quota: plenty}
	b.Run("request", func(b *testing.B) {
		for b.Loop() {
			s.Take(b.Context(), &sender, 3400, false, 0)
		}
	})
	request := &quotav1.TakeRequest{Vm: "vm-10-1-0-35", Incarnation: 1_800_000_000_000, Configuration: 60_000, Claims: []*quotav1.Claim{
		{Team: "team-1", Needed: 3400, Wanted: 3400, PatienceNs: int64(200 * time.Millisecond)},
	}}
	b.Run("claim", func(b *testing.B) {
		for b.Loop() {
			response, _ := s.Answer(request)
			b.ReportMetric(float64(proto.Size(request)+proto.Size(response)), "B/call")
		}
	})
	for i := range 1100 {
		s.account(fmt.Sprint("team-", i), time.Now(), 1).established = true
	}
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			s.check()
		}
	})
	b.Run("order", func(b *testing.B) {
		for b.Loop() {
			s.revision++
			for name, a := range s.accounts {
				s.nextOf(name, a)
			}
		}
	})
}
