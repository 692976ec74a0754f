package reservation

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// network connects services in one process and can partition VMs from the
// others.
type network struct {
	mu          sync.Mutex
	services    map[string]*Service
	members     []membership.Member
	partitioned map[string]bool
	// dropResponses is the number of reservations that take effect although
	// their response is lost.
	dropResponses int
	cancel        context.CancelFunc
}

// node is the membership view and the dialer of one VM.
type node struct {
	network *network
	self    membership.Member
}

func (n node) Self() membership.Member { return n.self }

func (n node) Members() []membership.Member {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return append([]membership.Member(nil), n.network.members...)
}

func (n node) HTTPClient() connect.HTTPClient { return n }

func (n node) BaseURL(address string) string { return "http://" + address }

// Do serves the request in this process.
func (n node) Do(request *http.Request) (*http.Response, error) {
	target := request.URL.Hostname()
	n.network.mu.Lock()
	service, ok := n.network.services[target]
	blocked := n.network.partitioned[n.self.VM] || n.network.partitioned[target]
	n.network.mu.Unlock()
	if blocked {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if !ok {
		return nil, &url.Error{Op: "Post", URL: target, Err: errors.New("connection refused")}
	}
	recorder := httptest.NewRecorder()
	service.Handler().Handler.ServeHTTP(recorder, request)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.network.dropResponses > 0 && service.params.View.Self().VM == target && isReserve(request) {
		n.network.dropResponses--
		return nil, errors.New("connection reset")
	}
	return recorder.Result(), nil
}

func isReserve(request *http.Request) bool {
	return request.URL.Path == "/ospreyshed.reservation.v1.ReservationService/Reserve"
}

// remove removes a VM from the network and from the members.
func (n *network) remove(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.services, vm)
	for i, m := range n.members {
		if m.VM == vm {
			n.members = append(n.members[:i:i], n.members[i+1:]...)
			return
		}
	}
}

// startNetwork starts services named a-1, a-2 ... in zone a, and likewise in
// zones b and c.
func startNetwork(t *testing.T, fleet Fleet, sizes map[string]int) *network {
	n := &network{services: map[string]*Service{}, partitioned: map[string]bool{}}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range sizes[zone] {
			vm := fmt.Sprintf("%s-%d", zone, i+1)
			n.members = append(n.members, membership.Member{VM: vm, Zone: zone, Address: vm + ":1", Incarnation: 1, State: membership.Alive})
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	n.cancel = cancel
	vmCount := len(n.members)
	for _, m := range n.members {
		self := node{n, m}
		endpoints := endpoint.NewRegistry(timeline.Discard)
		n.services[m.VM] = New(Params{
			View: self, Dialer: self, Fleet: func() Fleet { return fleet },
			Limits: endpoints, Facts: endpoints, VMCount: func() int { return vmCount },
		})
	}
	for _, s := range n.services {
		go s.Run(ctx)
	}
	time.Sleep(time.Second)
	return n
}

// restart replaces a VM's service by a new one that knows a fleet of its own.
func (n *network) restart(ctx context.Context, vm string, fleet func() Fleet) *Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.members, func(m membership.Member) bool { return m.VM == vm })
	n.members[i].Incarnation++
	self := node{n, n.members[i]}
	vmCount := len(n.members)
	n.services[vm] = New(Params{
		View: self, Dialer: self, Fleet: fleet,
		Limits: endpoint.NewRegistry(timeline.Discard), VMCount: func() int { return vmCount },
	})
	go n.services[vm].Run(ctx)
	return n.services[vm]
}

// owner returns the VM that owns the model in zone a, and one that does not.
func (n *network) owner() (owner, other string) {
	for _, vm := range []string{"a-1", "a-2", "a-3"} {
		if s, ok := n.services[vm]; ok && s.ownsModel("m") {
			owner = vm
		} else if ok {
			other = vm
		}
	}
	return owner, other
}

func releaseProgress(id engine.AttemptID) scheduling.Progress {
	return scheduling.Progress{ID: id, Kind: scheduling.Released, Tokens: 100}
}

// finishPrefill reports the end of the prefill and the first token of an
// attempt.
func finishPrefill(s *Service, id engine.AttemptID) {
	s.Progress(scheduling.Progress{ID: id, Kind: scheduling.PrefillDone, Tokens: 1000})
	s.Progress(scheduling.Progress{ID: id, Kind: scheduling.FirstTokenSeen})
}

func runFleet(t *testing.T, slots int, sizes map[string]int, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(t, smallFleet{slots}, sizes)
		defer n.cancel()
		test(t, n)
	})
}

func TestGrantsOfAllVMsStayWithinTheSlots(t *testing.T) {
	runFleet(t, 5, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		type granted struct {
			s  *Service
			id engine.AttemptID
		}
		grants := make(chan granted, 30)
		for i := range 30 {
			vm := fmt.Sprintf("a-%d", i%3+1)
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				d := demand(vm, uint64(i))
				d.QueueLimit = 0
				g, err := n.services[vm].Reserve(t.Context(), d)
				if err != nil {
					return
				}
				finishPrefill(n.services[vm], g.ID)
				grants <- granted{n.services[vm], g.ID}
			}()
		}
		for i := range 30 {
			time.Sleep(time.Second)
			assert.Equal(t, len(grants), min(5, 30-i), "grants differ from slots after %d releases", i)
			g := <-grants
			assert.Equal(t, g.id.Request, uint64(i), "out of order")
			g.s.Progress(releaseProgress(g.id))
		}
	})
}

func TestNewOwnerCountsGrantsMadeByThePreviousOwner(t *testing.T) {
	runFleet(t, 1, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		owner, other := n.owner()
		s := n.services[other]
		first, err := s.Reserve(t.Context(), demand(other, 1))
		assert.NilError(t, err)
		finishPrefill(s, first.ID)
		n.remove(owner)
		time.Sleep(time.Second)

		done := make(chan error, 1)
		go func() {
			_, err := s.Reserve(t.Context(), demand(other, 2))
			done <- err
		}()
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(done), 0, "the new owner granted a slot that is held")
		s.Progress(releaseProgress(first.ID))
		assert.NilError(t, <-done)
	})
}

func TestWaitingDemandsFollowTheOwner(t *testing.T) {
	runFleet(t, 1, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		joining, _ := n.owner()
		all, service := n.members, n.services[joining]
		n.remove(joining)
		time.Sleep(time.Second)
		previous, other := n.owner()
		s := n.services[other]
		first, err := s.Reserve(t.Context(), demand(other, 1))
		assert.NilError(t, err)
		finishPrefill(s, first.ID)
		type outcome struct {
			request uint64
			err     error
		}
		order := make(chan outcome, 2)
		for i := range uint64(2) {
			go func() {
				time.Sleep(time.Duration(i+1) * 10 * time.Millisecond)
				g, err := s.Reserve(t.Context(), demand(other, 2+i))
				if err == nil {
					finishPrefill(s, g.ID)
				}
				order <- outcome{g.ID.Request, err}
			}()
		}
		time.Sleep(time.Second)
		n.mu.Lock()
		n.members, n.services[joining] = all, service
		n.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(order), 0, "granted a slot that is held")
		assert.Assert(t, !n.services[previous].ownsModel("m"))
		s.Progress(releaseProgress(first.ID))
		assert.Equal(t, <-order, outcome{request: 2})
		s.Progress(releaseProgress(demand(other, 2).ID))
		assert.Equal(t, <-order, outcome{request: 3})
	})
}

func TestGrantExpiredDuringAPartitionIsRestoredByHeartbeats(t *testing.T) {
	runFleet(t, 2, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		owner, other := n.owner()
		s := n.services[other]
		first, err := s.Reserve(t.Context(), demand(other, 1))
		assert.NilError(t, err)
		finishPrefill(s, first.ID)
		sched, err := n.services[owner].ownedScheduler("m")
		assert.NilError(t, err)
		for _, partitioned := range []bool{true, false} {
			n.mu.Lock()
			n.partitioned[other] = partitioned
			n.mu.Unlock()
			time.Sleep(5 * time.Second)
			assert.Equal(t, sched.headroom(&scheduling.Demand{}) == 1.0, partitioned, "partitioned: %t", partitioned)
		}
	})
}

func TestRetryAfterALostResponseTakesNoSecondSlot(t *testing.T) {
	runFleet(t, 2, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		owner, other := n.owner()
		n.mu.Lock()
		n.dropResponses = 1
		n.mu.Unlock()
		_, err := n.services[other].Reserve(t.Context(), demand(other, 1))
		assert.NilError(t, err)
		assert.Equal(t, n.dropResponses, 0)
		sched, err := n.services[owner].ownedScheduler("m")
		assert.NilError(t, err)
		assert.Equal(t, sched.headroom(&scheduling.Demand{}), 0.5)
	})
}

func TestUnresponsiveOwnerCausesFallbackToTheStaticShare(t *testing.T) {
	runFleet(t, 5, map[string]int{"a": 2}, func(t *testing.T, n *network) {
		owner, other := n.owner()
		n.mu.Lock()
		n.partitioned[owner] = true
		n.mu.Unlock()
		s := n.services[other]
		// Of five slots, the first of two VMs gets three.
		limit := 3 - s.shareIndex()
		for i := range limit {
			g, err := s.Reserve(t.Context(), demand(other, uint64(i)))
			assert.NilError(t, err)
			finishPrefill(s, g.ID)
		}
		short, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := s.Reserve(short, demand(other, 99))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, s.counters.Fallbacks.Load(), uint64(limit+1))
	})
}

func TestSuspectAndUnreachableOwnerIsReplaced(t *testing.T) {
	runFleet(t, 5, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		owner, other := n.owner()
		n.mu.Lock()
		n.partitioned[owner] = true
		for i := range n.members {
			if n.members[i].VM == owner {
				n.members[i].State = membership.Suspect
			}
		}
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		for i := range 5 {
			g, err := n.services[other].Reserve(t.Context(), demand(other, uint64(i)))
			assert.NilError(t, err)
			finishPrefill(n.services[other], g.ID)
		}
		assert.Equal(t, n.services[other].counters.Fallbacks.Load(), uint64(0))
	})
}

// startingFleet is what a VM knows that has just started.
type startingFleet struct {
	smallFleet
	// modelKnown and known report whether the configuration has been read, and
	// whether the registrations of engines have been read as well.
	modelKnown, known bool
}

func (f startingFleet) Known() bool { return f.known }

func (f startingFleet) Model(name string) (*configuration.Model, bool) {
	model, _ := f.smallFleet.Model(name)
	return model, f.modelKnown
}

func (f startingFleet) Models() []string {
	if !f.modelKnown {
		return nil
	}
	return f.smallFleet.Models()
}

func (f startingFleet) Engines(model string, role configuration.Role, zone string) []*configuration.Endpoint {
	if !f.known {
		return nil
	}
	return f.smallFleet.Engines(model, role, zone)
}

// runRestartedOwner runs a test with an owner that started again and does not know
// all of its fleet until learn is called.
func runRestartedOwner(t *testing.T, test func(t *testing.T, owner, other *Service, learn func(Fleet))) {
	for _, modelKnown := range []bool{false, true} {
		t.Run(fmt.Sprintf("model known=%t", modelKnown), func(t *testing.T) {
			runFleet(t, 5, map[string]int{"a": 2}, func(t *testing.T, n *network) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				var fleet atomic.Pointer[Fleet]
				learn := func(f Fleet) { fleet.Store(&f) }
				learn(startingFleet{smallFleet: smallFleet{5}, modelKnown: modelKnown})
				vm, other := n.owner()
				owner := n.restart(ctx, vm, func() Fleet { return *fleet.Load() })
				test(t, owner, n.services[other], learn)
			})
		})
	}
}

// The owner's answer is final for its peers, and it lacks engines that it has not read yet.
func TestRestartedOwnerRefusesNothingBeforeItKnowsTheEngines(t *testing.T) {
	runRestartedOwner(t, func(t *testing.T, owner, other *Service, learn func(Fleet)) {
		outcomes := make(chan error, 2)
		for i, s := range []*Service{owner, other} {
			go func() {
				_, err := s.Reserve(t.Context(), demand(s.self().VM, uint64(i)))
				outcomes <- err
			}()
		}
		time.Sleep(ownerSearchTimeout / 2)
		learn(smallFleet{5})
		for range cap(outcomes) {
			assert.NilError(t, <-outcomes)
		}
		assert.Equal(t, owner.counters.Fallbacks.Load()+other.counters.Fallbacks.Load(), uint64(0))
	})
}

// Nothing else ends the search of peers for an owner that stays without engines.
func TestStaticShareReplacesAnOwnerThatNeverKnowsTheEngines(t *testing.T) {
	runRestartedOwner(t, func(t *testing.T, owner, other *Service, _ func(Fleet)) {
		_, err := other.Reserve(t.Context(), demand(other.self().VM, 1))
		assert.NilError(t, err)
		assert.Equal(t, other.counters.Fallbacks.Load(), uint64(1))
		_, err = owner.Reserve(t.Context(), demand(owner.self().VM, 2))
		assert.Equal(t, asRefusal(err).Reason, scheduling.RefusedNoEngine)
	})
}

// A model that does not exist must not be searched for.
func TestOwnerThatKnowsTheFleetRefusesUnknownModelsAtOnce(t *testing.T) {
	runRestartedOwner(t, func(t *testing.T, owner, other *Service, learn func(Fleet)) {
		learn(startingFleet{smallFleet: smallFleet{5}, known: true})
		for _, s := range []*Service{owner, other} {
			started := time.Now()
			_, err := s.Reserve(t.Context(), demand(s.self().VM, 1))
			assert.Equal(t, asRefusal(err).Reason, scheduling.RefusedNoEngine)
			assert.Equal(t, time.Since(started), time.Duration(0))
		}
	})
}

// spillFleet has engines in zone b only.
type spillFleet struct{ smallFleet }

func (f spillFleet) Engines(model string, role configuration.Role, zone string) []*configuration.Endpoint {
	if zone == "a" {
		return nil
	}
	return f.smallFleet.Engines(model, role, zone)
}

func (f spillFleet) Link(from, to string) (*configuration.Link, bool) {
	return &configuration.Link{From: from, To: to, OneWayDelay: configuration.Duration(3 * time.Millisecond)}, true
}

func TestZoneThatRefusedASpillCoolsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(t, spillFleet{smallFleet{2}}, map[string]int{"a": 1, "b": 1})
		defer n.cancel()
		s := n.services["a-1"]
		first, err := s.Reserve(t.Context(), demand("a-1", 1))
		assert.NilError(t, err)
		assert.Equal(t, first.Decode, "b-decode")
		finishPrefill(s, first.ID)
		time.Sleep(3 * scheduling.GrantLease)
		sched, err := n.services["b-1"].ownedScheduler("m")
		assert.NilError(t, err)
		assert.Equal(t, sched.headroom(&scheduling.Demand{}), 0.5, "the spilled grant was not renewed")

		_, err = s.Reserve(t.Context(), demand("a-1", 2))
		assert.NilError(t, err)
		started := time.Now()
		for i := range 3 {
			_, err = s.Reserve(t.Context(), demand("a-1", uint64(3+i)))
			assert.Assert(t, asRefusal(err) != nil)
		}
		assert.Equal(t, time.Since(started), time.Duration(0), "a spilled demand waited in the other zone")
		assert.Equal(t, s.counters.SpillsRefused.Load(), uint64(1), "a zone that had just refused was tried again")
	})
}

func TestHeartbeatOfAPreviousIncarnationIsRejected(t *testing.T) {
	s := localService()
	assert.NilError(t, s.checkIncarnation("vm-2", 2))
	assert.Assert(t, s.checkIncarnation("vm-2", 1) != nil)
	assert.NilError(t, s.checkIncarnation("vm-2", 2))
	assert.Equal(t, s.counters.StaleHeartbeats.Load(), uint64(1))
}

// BenchmarkHeartbeat reports the size of a heartbeat without HTTP headers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, held := range []int{10, 100} {
		for _, full := range []bool{true, false} {
			b.Run(fmt.Sprintf("held=%d/whole=%t", held, full), func(b *testing.B) {
				s := localService()
				for n := range held {
					d := demand("vm-1", uint64(1_000_000+n))
					s.holdings.add(routeKey{"a", "m"}, &d, scheduling.Grant{Prefill: "prefill-10", Decode: "decode-10"})
				}
				request := s.heartbeatRequest()
				for b.Loop() {
					request.Models = []*reservationv1.ModelHoldings{s.modelHoldings(routeKey{"a", "m"}, full)}
					_ = proto.Size(request)
				}
				b.ReportMetric(float64(proto.Size(request)), "B/heartbeat")
			})
		}
	}
}
