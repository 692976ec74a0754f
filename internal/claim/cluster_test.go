package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errPartitioned = errors.New("partitioned")

func testSettings() Settings {
	return Settings{
		KeyWindow:        time.Hour,
		ClockSkew:        time.Second,
		LogRetention:     2 * time.Hour,
		ClaimTimeout:     defaultClaimTimeout,
		AppendTimeout:    defaultAppendTimeout,
		AppendsPerSecond: defaultAppendsPerSecond,
		OutcomeDelay:     defaultOutcomeDelay,
		ExecuteWithin:    defaultExecuteWithin,
		RetryAfter:       defaultRetryAfter,
		MaxBatch:         defaultMaxBatch,
		ShardIdle:        defaultShardIdle,
		MaxBoundKeys:     1000,
	}
}

// cluster is a set of VMs in one process with a network between them.
type cluster struct {
	log      *fakeLog
	settings Settings
	delay    time.Duration

	incarnations atomic.Uint64

	mu          sync.Mutex
	vms         []*vm
	partitioned map[[2]string]bool
	drop        float64
	rng         *rand.Rand
	zones       []string
	// answers starts an answer registry at each VM.
	answers bool
}

type vm struct {
	cluster *cluster
	member  membership.Member
	claims  *Claims
	answers *AnswerRegistry
	// hidden are the VMs that are missing from this VM's view.
	hidden map[string]bool
	killed bool
}

func newCluster(seed int64, settings Settings) *cluster {
	return &cluster{
		log:         newFakeLog(seed),
		settings:    settings,
		delay:       time.Millisecond,
		partitioned: make(map[[2]string]bool),
		rng:         rand.New(rand.NewSource(seed + 1)),
		zones:       []string{"a", "b", "c"},
	}
}

// start adds a VM; a name that was used before gets a new incarnation.
func (c *cluster) start(t assert.TestingT, name, zone string) *vm {
	incarnation := c.incarnations.Add(1)
	v := &vm{cluster: c, hidden: make(map[string]bool)}
	v.member = membership.Member{VM: name, Zone: zone, Address: fmt.Sprintf("%s/%d", name, incarnation), Incarnation: incarnation, State: membership.Alive}
	var err error
	v.claims, err = New(Dependencies{Log: c.log, View: v, Peers: v, Timeline: timeline.Discard}, c.settings)
	assert.NilError(t, err)
	c.mu.Lock()
	c.vms = append(c.vms, v)
	c.mu.Unlock()
	if c.answers {
		v.startAnswers(t)
	}
	return v
}

// startAnswers starts a VM's answer registry; the VM accepts calls once the
// registry is set.
func (v *vm) startAnswers(t assert.TestingT) {
	zones := func() []string { return v.cluster.zones }
	registry, err := NewAnswerRegistry(AnswerDependencies{View: v, Peers: v, Zones: zones}, v.cluster.settings)
	assert.NilError(t, err)
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	v.answers = registry
}

// kill stops a VM without flushing its background work.
func (v *vm) kill() {
	v.cluster.mu.Lock()
	v.killed = true
	answers := v.answers
	v.cluster.mu.Unlock()
	v.claims.Stop()
	if answers != nil {
		answers.Stop()
	}
}

// isolate hides all other VMs from the view of one.
func (c *cluster) isolate(v *vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.vms {
		v.hidden[other.member.VM] = other != v
	}
}

func (c *cluster) stop() {
	for _, v := range c.vms {
		v.kill()
	}
}

func (v *vm) Self() membership.Member {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.member
}

func (v *vm) Members() []membership.Member {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	var members []membership.Member
	for _, other := range v.cluster.vms {
		if !other.killed && !v.hidden[other.member.VM] {
			members = append(members, other.member)
		}
	}
	return members
}

// reach returns the VM at an address, or an error if the network loses the call.
func (v *vm) reach(ctx context.Context, address string) (*vm, error) {
	background.Pause(ctx, v.cluster.delay)
	c := v.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.vms {
		if other.member.Address == address && other.serves() && !v.killed && !c.partitioned[[2]string{v.member.VM, other.member.VM}] && c.rng.Float64() >= c.drop {
			return other, nil
		}
	}
	return nil, errPartitioned
}

// serves reports whether a VM accepts calls; the caller holds the lock.
func (v *vm) serves() bool {
	return !v.killed && (v.answers != nil || !v.cluster.answers)
}

// call makes a call to a peer; the response can be lost after the call took
// effect.
func call[Q, P any](ctx context.Context, v *vm, address string, serve func(*vm, context.Context, Q) (P, error), request Q) (P, error) {
	var none P
	other, err := v.reach(ctx, address)
	if err != nil {
		return none, err
	}
	response, err := serve(other, ctx, request)
	if err != nil {
		return none, err
	}
	if _, err := v.reach(ctx, address); err != nil {
		return none, err
	}
	return response, nil
}

func (v *vm) Submit(ctx context.Context, address string, q *claimv1.SubmitRequest) (*claimv1.SubmitResponse, error) {
	return call(ctx, v, address, func(o *vm, ctx context.Context, q *claimv1.SubmitRequest) (*claimv1.SubmitResponse, error) {
		return o.claims.Serve(ctx, q)
	}, q)
}

func (v *vm) Update(ctx context.Context, address string, q *claimv1.UpdateRequest) (*claimv1.UpdateResponse, error) {
	return call(ctx, v, address, func(o *vm, ctx context.Context, q *claimv1.UpdateRequest) (*claimv1.UpdateResponse, error) {
		return o.answers.Update(ctx, q)
	}, q)
}

func (v *vm) Replicate(ctx context.Context, address string, q *claimv1.ReplicateRequest) (*claimv1.ReplicateResponse, error) {
	return call(ctx, v, address, func(o *vm, _ context.Context, q *claimv1.ReplicateRequest) (*claimv1.ReplicateResponse, error) {
		return o.answers.Replicate(q)
	}, q)
}

func (v *vm) TakeOver(ctx context.Context, address string, q *claimv1.TakeOverRequest) (*claimv1.TakeOverResponse, error) {
	return call(ctx, v, address, func(o *vm, _ context.Context, q *claimv1.TakeOverRequest) (*claimv1.TakeOverResponse, error) {
		return o.answers.TakeOver(q)
	}, q)
}

// newKey returns a key that was issued now.
func newKey(n int) Key {
	return Key{Team: "band", Key: strconv.FormatInt(time.Now().UnixMilli(), 10) + "-" + strconv.Itoa(n)}
}

// mustClaim claims a key and checks the kind of decision.
func mustClaim(t *testing.T, v *vm, key Key, kind Kind) Decision {
	t.Helper()
	decision, err := v.claims.Claim(context.Background(), key)
	assert.NilError(t, err)
	assert.Equal(t, decision.Kind, kind, "%s instead of %s", decision.Kind, kind)
	return decision
}

// flush waits until a VM's outcomes are recorded.
func flush(t *testing.T, v *vm) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(t, v.claims.Flush(ctx))
}
