package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// benchmarkPool returns a coordinator of 15 prefill and 74 decode engines whose memory is
// granted, and the attempts that hold it. Demands of a number of teams wait, two of each
// kind and team.
func benchmarkPool(b *testing.B, teams int) (*Coordinator, []engine.AttemptID, func(n uint64) Demand) {
	b.Helper()
	c := NewCoordinator(Settings{Model: contendedModel(), Options: Options{MemoryOverTime: true, SelfPrefill: true}})
	var states []EngineState
	for i := range 89 {
		s := EngineState{
			Name: fmt.Sprintf("e%02d", i), Role: configuration.RoleDecode, Slots: contendedSlots,
			Pieces: contendedMemory, PieceTokens: 1, LinkBytesPerSecond: simLink,
		}
		if i%6 == 0 {
			s.Role = configuration.RolePrefill
		}
		states = append(states, s)
	}
	c.SetEngines(start, states)
	demand := func(n uint64) Demand {
		kind := routineKind
		if n%2 == 0 {
			kind = urgentKind
		}
		d := Demand{
			ID:   engine.AttemptID{VM: "vm", Incarnation: 1, Request: n, Attempt: 1},
			Team: fmt.Sprintf("team%04d", n/2%uint64(teams)), Share: 1e5, Class: kind.name, Priority: kind.priority,
			Order: configuration.OrderAny, PromptTokens: 2900 + int(n*37%3600), OutputTokens: 250,
			Weights: configuration.Weights{WastedPrefill: 1}, Strict: true, Urgency: kind.priority,
		}
		return d
	}
	var held []engine.AttemptID
	n := uint64(0)
	for ; c.queue.len() == 0; n++ {
		if o := c.Submit(start, demand(n)); o.Grant != nil {
			decode(c, start, o.ID)
			held = append(held, o.ID)
		}
	}
	c.PauseGrants()
	for ; c.queue.len() < 4*teams; n++ {
		c.Submit(start, demand(n))
	}
	c.ResumeGrants()
	return c, held, func(i uint64) Demand { return demand(n + i) }
}

// BenchmarkPass measures one pass over the waiting demands of many teams in which none
// can be granted, as every few milliseconds while demands wait.
func BenchmarkPass(b *testing.B) {
	for _, teams := range []int{16, 1100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c, _, _ := benchmarkPool(b, teams)
			b.ReportAllocs()
			for b.Loop() {
				c.Tick(start.Add(time.Millisecond))
			}
		})
	}
}

// BenchmarkServe measures one request in that pool: its submission, the release of another
// one and the grants that follow.
func BenchmarkServe(b *testing.B) {
	for _, teams := range []int{16, 1100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c, held, demand := benchmarkPool(b, teams)
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				c.Submit(start, demand(i))
				c.Progress(start, Progress{ID: held[0], Kind: Released, Tokens: 100})
				held = held[1:]
				for _, o := range c.Tick(start) {
					if o.Grant != nil {
						decode(c, start, o.ID)
						held = append(held, o.ID)
					}
				}
				if i%256 == 0 {
					clear(c.ledger.tombstones)
				}
			}
		})
	}
}
