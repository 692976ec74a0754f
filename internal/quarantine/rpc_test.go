package quarantine

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// serve serves handlers for peers on loopback and returns calls to them.
func serve(t *testing.T, handlers ...peer.Handler) (Peers, membership.Member) {
	t.Helper()
	options := peer.Options{Listen: "127.0.0.1:0"}
	server, err := peer.NewServer(options, handlers...)
	assert.NilError(t, err)
	assert.NilError(t, server.Start())
	dialer := peer.NewDialer(options)
	t.Cleanup(func() {
		dialer.Close()
		assert.NilError(t, server.Shutdown(context.Background()))
	})
	return NewPeers(dialer), membership.Member{VM: "vm-b", Address: server.Addr().String()}
}

// newTestSharer returns a sharer that is not run.
func newTestSharer(t *testing.T) (*sharer, *fakeStore) {
	t.Helper()
	self := membership.Member{VM: "vm-b", Zone: "b", State: membership.Alive}
	log := decisionlog.Discard()
	t.Cleanup(log.Close)
	store := newFakeStore()
	return newSharer(shareParams{
		view:  membership.Static{This: self, All: []membership.Member{self}},
		store: store, log: log, clock: time.Now, random: rand.New(rand.NewPCG(1, 1)),
	}), store
}

// testFacts returns crashes with three parts each, and a sound for each.
func testFacts(crashes int) Facts {
	var f Facts
	for n := range crashes {
		part := func(of int) string { return fmt.Sprintf("%016x", uint64(n*3+of)+1<<60) }
		f.Crashes = append(f.Crashes, Crash{
			Service: "repertoire-check", Engine: fmt.Sprintf("i-%010x/%d", n, 3),
			Parts: []string{part(0), part(1), part(2)}, Age: time.Duration(n) * time.Second,
		})
	}
	return f
}

func TestFactsPassOverTheTransport(t *testing.T) {
	sharer, store := newTestSharer(t)
	peers, to := serve(t, sharer.Handler())
	sent := testFacts(3)
	sent.Sounds = []Sound{{Service: "writer", Part: "0001", Age: 1500 * time.Millisecond}}
	response, err := peers.Exchange(t.Context(), to, Message{Facts: sent})
	assert.NilError(t, err)
	assert.DeepEqual(t, response, Message{})
	response, err = peers.Exchange(t.Context(), to, Message{Digest: emptyDigest})
	assert.NilError(t, err)
	assert.Equal(t, response.Digest, store.digest())
	assert.Equal(t, response.Facts.size(), sent.size())
	lacking := sent.without(response.Facts)
	assert.Assert(t, lacking.Empty())
	assert.Assert(t, response.Facts.Sounds[0].Age >= sent.Sounds[0].Age)
}

// The flag must arrive, since a zone gets a fact from other zones only by it.
func TestForwardPassesOverTheTransport(t *testing.T) {
	sharer, _ := newTestSharer(t)
	peers, to := serve(t, sharer.Handler())
	_, err := peers.Exchange(t.Context(), to, Message{Facts: testFacts(2), Forward: true})
	assert.NilError(t, err)
	assert.Equal(t, sharer.counters.Forwarded.Load(), int64(2))
	_, err = peers.Exchange(t.Context(), to, Message{Facts: testFacts(3)})
	assert.NilError(t, err)
	assert.Equal(t, sharer.counters.Forwarded.Load(), int64(2))
	assert.Equal(t, sharer.counters.Received.Load(), int64(3))
}

// During an upgrade some VMs do not serve the call, which must not count as a failure.
func TestVMsOfAnEarlierVersionAreUnserved(t *testing.T) {
	peers, to := serve(t)
	_, err := peers.Exchange(t.Context(), to, Message{Facts: testFacts(1)})
	assert.Assert(t, errorx.IsOfType(err, Unserved), "%v", err)
}

// Two VMs that received the parts of one crash in different orders must have equal facts.
func TestPartsArriveSortedAndOnce(t *testing.T) {
	f := Facts{Crashes: []Crash{{Service: "writer", Engine: "i-1", Parts: []string{"b", "a", "b"}}}}
	assert.DeepEqual(t, factsFromProto(factsToProto(f)).Crashes[0].Parts, []string{"a", "b"})
}

// An age beyond the range of its field must not come out as a young one.
func TestAgesStayWithinTheirField(t *testing.T) {
	assert.Equal(t, ageToProto(-time.Second), uint32(0))
	assert.Equal(t, ageToProto(90*24*time.Hour), uint32(math.MaxUint32))
	assert.Equal(t, ageFromProto(ageToProto(1234*time.Millisecond)), 1234*time.Millisecond)
}

// BenchmarkBytes measures the encoded bytes of an exchange between VMs with equal facts,
// and of one that brings all facts, without framing.
func BenchmarkBytes(b *testing.B) {
	const digest = math.MaxUint64
	for _, crashes := range []int{0, 1, 20} {
		b.Run(fmt.Sprint(crashes), func(b *testing.B) {
			request, equal, whole := Message{Digest: digest}, Message{Digest: digest}, Message{Digest: digest, Facts: testFacts(crashes)}
			for b.Loop() {
				requestToProto(request)
			}
			size := proto.Size(requestToProto(request))
			b.ReportMetric(float64(size+proto.Size(responseToProto(equal))), "B/equal")
			b.ReportMetric(float64(size+proto.Size(responseToProto(whole))), "B/whole")
			b.ReportMetric(float64(proto.Size(requestToProto(Message{Facts: testFacts(crashes)}))), "B/delivery")
		})
	}
}
