package peersync

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

const (
	// syncPeriod is the interval between rounds.
	syncPeriod = time.Second
	// syncTimeout bounds the exchange with one peer.
	syncTimeout = time.Second
	// logGrace is how long a starting VM waits for the log to be read before it
	// accepts the state of a peer as complete. Peers that cannot reach the log may
	// be stale.
	logGrace = 2 * time.Second
)

// Syncer pulls newer versions from peers into a Store.
type Syncer struct {
	store   *configuration.Store
	members membership.View
	dialer  peer.Dialer
	random  *rand.Rand

	pulls, failures, records expvar.Int
}

// NewSyncer returns a Syncer that starts with Run. The peers of each round are
// chosen with random.
func NewSyncer(store *configuration.Store, members membership.View, dialer peer.Dialer, random *rand.Rand) *Syncer {
	return &Syncer{store: store, members: members, dialer: dialer, random: random}
}

// Vars returns the counters of the Syncer.
func (s *Syncer) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("pulls", &s.pulls)
	vars.Set("failed_pulls", &s.failures)
	vars.Set("records", &s.records)
	return vars
}

// Run pulls from peers until the context ends and returns the context's error.
func (s *Syncer) Run(ctx context.Context) error {
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	start := time.Now()
	for {
		s.round(ctx, time.Since(start) >= logGrace)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// round pulls from the chosen peers concurrently. It marks the Store as complete
// only after all pulls, so that the Store then holds the newest of all versions.
func (s *Syncer) round(ctx context.Context, mayComplete bool) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var pulls sync.WaitGroup
	var complete atomic.Bool
	for _, member := range s.choose() {
		pulls.Go(func() {
			if s.pullFrom(ctx, member) {
				complete.Store(true)
			}
		})
	}
	pulls.Wait()
	if mayComplete && complete.Load() {
		s.store.MarkComplete()
	}
}

// choose returns one peer of this VM's availability zone and one of another zone,
// or all peers while this VM's state is not complete.
func (s *Syncer) choose() []membership.Member {
	self := s.members.Self()
	var local, remote []membership.Member
	for _, member := range s.members.Members() {
		switch {
		case member.VM == self.VM:
		case member.Zone == self.Zone:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	if !s.store.Complete() {
		return append(local, remote...)
	}
	return append(s.pick(local), s.pick(remote)...)
}

func (s *Syncer) pick(members []membership.Member) []membership.Member {
	if len(members) == 0 {
		return nil
	}
	chosen := s.random.IntN(len(members))
	return members[chosen : chosen+1 : chosen+1]
}

// pullFrom applies the versions of a peer that supersede those of the Store. It
// reports whether the Store now includes the complete state of the peer.
func (s *Syncer) pullFrom(ctx context.Context, member membership.Member) bool {
	s.pulls.Add(1)
	pulled, err := pull(ctx, newClient(s.dialer, member.Address), s.store.All())
	if err != nil {
		s.failures.Add(1)
	}
	s.records.Add(int64(len(pulled.Records)))
	s.store.ApplyPeer(pulled.Records)
	return err == nil && pulled.Complete
}
