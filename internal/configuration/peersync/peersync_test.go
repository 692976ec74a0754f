package peersync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	"github.com/ospreyshed/ospreyshed/internal/team"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network carries calls between VMs in memory. It is a peer.Dialer whose
// addresses are the VMs' names.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// bytes counts the bytes of request and response bodies.
	bytes atomic.Int64
}

func (n *network) HTTPClient() connect.HTTPClient  { return n }
func (n *network) BaseURL(address string) string   { return "http://" + address }
func (n *network) add(name string, h http.Handler) { n.set(name, h) }
func (n *network) remove(name string)              { n.set(name, nil) }
func (n *network) set(name string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[name] = h
}

// Do implements connect.HTTPClient.
func (n *network) Do(request *http.Request) (*http.Response, error) {
	n.mu.Lock()
	handler := n.handlers[request.URL.Host]
	n.mu.Unlock()
	if handler == nil {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	n.bytes.Add(max(0, request.ContentLength) + int64(recorder.Body.Len()))
	return recorder.Result(), nil
}

// vm is an entry VM with its Store.
type vm struct {
	store *configuration.Store
	view  membership.Static
}

func newVM(n *network, i int, zone string, members []membership.Member) *vm {
	view := membership.Static{This: membership.Member{VM: fmt.Sprintf("vm-%d", i), Zone: zone}, All: members}
	v := &vm{store: configuration.NewStore(timeline.Discard), view: view}
	handler := NewServer(v.store, view).Handler()
	mux := http.NewServeMux()
	mux.Handle(handler.Path, handler.Handler)
	n.add(view.This.VM, mux)
	return v
}

func (v *vm) sync(ctx context.Context, n *network) {
	_ = NewSyncer(v.store, v.view, n, rand.New(rand.NewPCG(1, 2))).Run(ctx)
}

// fixture is a network of three VMs in two zones. Only the first VM reads the log.
type fixture struct {
	log     *logtest.Log
	network *network
	vms     []*vm
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{log: logtest.New(logtest.Options{}), network: &network{handlers: map[string]http.Handler{}}}
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	zones := []string{"zone-a", "zone-b", "zone-b"}
	var members []membership.Member
	for i, zone := range zones {
		name := fmt.Sprintf("vm-%d", i)
		members = append(members, membership.Member{VM: name, Address: name, Zone: zone})
	}
	for i, zone := range zones {
		v := newVM(f.network, i, zone, members)
		f.vms = append(f.vms, v)
		f.tasks.Go(func() { v.sync(ctx, f.network) })
	}
	f.tasks.Go(func() { _ = f.vms[0].store.Follow(ctx, f.log) })
	return f
}

func (f *fixture) stop() {
	f.cancel()
	f.tasks.Wait()
}

func (f *fixture) publish(t *testing.T, bundle configuration.Bundle) {
	appender, err := logservice.NewAppender(f.log, logservice.AppenderOptions{})
	assert.NilError(t, err)
	defer appender.Close()
	report, err := configuration.NewPublisher(f.log, appender, "operator").Publish(t.Context(), bundle)
	assert.NilError(t, err)
	assert.Assert(t, report.Accepted() && len(report.Results) > 0)
}

func bundleOf(teams int, share float64) configuration.Bundle {
	bundle := configuration.Bundle{Format: configuration.Format, Fleet: configuration.Fleet{
		Zones: []configuration.Zone{{Name: "zone-a"}, {Name: "zone-b"}},
		Times: configuration.Times{
			DrainLimit: configuration.Duration(time.Minute), LogRetention: configuration.Duration(time.Hour),
			KeyWindow: configuration.Duration(time.Minute),
		},
	}}
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		bundle.Teams = append(bundle.Teams, configuration.Team{
			Name: name, KeyDigests: []string{team.DigestOf(name).String()},
			Weights: configuration.Weights{Goodput: 1}, Share: share,
		})
	}
	return bundle
}

func TestVMsWithoutTheLogFollowPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.stop()
		f.publish(t, bundleOf(500, 1))
		time.Sleep(4 * time.Second)
		subject := configuration.TeamSubject("team-400")
		for _, v := range f.vms {
			assert.Equal(t, v.store.Snapshot().Version(subject), uint64(1))
		}
		f.publish(t, bundleOf(500, 2))
		time.Sleep(3 * time.Second)
		for i, v := range f.vms {
			assert.Equal(t, v.store.Snapshot().Version(subject), uint64(2), "vm-%d", i)
		}
	})
}

func TestEqualStatesExchangeSmallMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.stop()
		f.publish(t, bundleOf(500, 1))
		time.Sleep(10500 * time.Millisecond)
		before := f.network.bytes.Load()
		time.Sleep(10 * time.Second)
		sent := f.network.bytes.Load() - before
		assert.Assert(t, sent > 0 && sent <= 10*3*2*50, "%d bytes in 10 s", sent)
	})
}

func TestUnreachablePeersDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.stop()
		f.network.remove("vm-1")
		f.publish(t, bundleOf(3, 1))
		time.Sleep(4 * time.Second)
		assert.Equal(t, f.vms[2].store.Snapshot().Version(configuration.FleetSubject), uint64(1))
	})
}

// TestStalePeersDoNotCompleteAVMDuringTheLogGrace guards against a starting VM
// that serves the versions of stale peers although it can read the log.
func TestStalePeersDoNotCompleteAVMDuringTheLogGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.publish(t, bundleOf(3, 1))
		time.Sleep(4 * time.Second)
		f.stop()
		f.publish(t, bundleOf(3, 2))
		fresh := newVM(f.network, 9, "zone-b", f.vms[0].view.All)
		ctx, cancel := context.WithCancel(t.Context())
		defer f.tasks.Wait()
		defer cancel()
		f.tasks.Go(func() { fresh.sync(ctx, f.network) })
		time.Sleep(time.Second + 500*time.Millisecond)
		assert.Assert(t, fresh.store.Snapshot() == nil)
		f.tasks.Go(func() { _ = fresh.store.Follow(ctx, f.log) })
		synctest.Wait()
		assert.Equal(t, fresh.store.Snapshot().Version(configuration.TeamSubject("team-0")), uint64(2))
	})
}

func TestIncompletePeersDoNotMarkEachOtherComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.publish(t, bundleOf(3, 1))
		time.Sleep(4 * time.Second)
		pulled, err := NewRemote(f.network, "vm-0").Pull(t.Context())
		assert.NilError(t, err)
		f.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer f.tasks.Wait()
		defer cancel()
		members := []membership.Member{{VM: "vm-7", Address: "vm-7"}, {VM: "vm-8", Address: "vm-8"}}
		first, second := newVM(f.network, 7, "", members), newVM(f.network, 8, "", members)
		first.store.ApplyPeer(pulled.Records)
		f.tasks.Go(func() { first.sync(ctx, f.network) })
		f.tasks.Go(func() { second.sync(ctx, f.network) })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(second.store.All()), 4)
		assert.Assert(t, first.store.Snapshot() == nil && second.store.Snapshot() == nil)
	})
}

func TestRemoteReportsWhatIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.stop()
		remote := NewRemote(f.network, "vm-2")
		report, err := remote.InForce(t.Context(), nil)
		assert.NilError(t, err)
		assert.Assert(t, !report.Serving && !report.Reached(nil))
		f.publish(t, bundleOf(2, 1))
		time.Sleep(4 * time.Second)
		report, err = remote.InForce(t.Context(), nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, report, InForce{VM: "vm-2", Zone: "zone-b", Serving: true, Versions: map[string]uint64{
			"fleet": 1, "team/team-0": 1, "team/team-1": 1,
		}})
		assert.Assert(t, report.Reached(map[string]uint64{"fleet": 1}))
		assert.Assert(t, !report.Reached(map[string]uint64{"fleet": 2}))
		pulled, err := remote.Pull(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, pulled.Complete && len(pulled.Records) == 3)
	})
}
