package measure

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// testBundle returns a configuration with a model that has 2 prefill engines and 1
// decode engine, and a team that has a model-backed and a plain class.
func testBundle() *configuration.Bundle {
	second := configuration.Duration(time.Second)
	return &configuration.Bundle{
		Fleet: configuration.Fleet{
			Models: []configuration.Model{{
				Name:                    "m",
				PrefillTokensPerSecond:  1000,
				TokenInterval:           configuration.Duration(10 * time.Millisecond),
				TokenIntervalPerRequest: configuration.Duration(5 * time.Millisecond),
			}},
			Endpoints: []configuration.Endpoint{
				{Name: "p1", Kind: configuration.KindEngine, Model: "m", Role: configuration.RolePrefill},
				{Name: "p2", Kind: configuration.KindEngine, Model: "m", Role: configuration.RolePrefill},
				{Name: "d1", Kind: configuration.KindEngine, Model: "m", Role: configuration.RoleDecode, Slots: 10},
				{Name: "s1", Kind: configuration.KindPlain, Service: "s"},
			},
		},
		Teams: []configuration.Team{{Name: "t", Classes: []configuration.Class{
			{
				Name: "text", Model: "m", Method: "POST", Path: "/v1/completions", Key: configuration.KeyOptional, MaxOutputTokens: 30,
				Targets: configuration.Targets{FirstToken: second, BetweenTokens: configuration.Duration(30 * time.Millisecond)},
			},
			{
				Name: "book", Service: "s", Method: "POST", Path: "/book", Key: configuration.KeyRequired, Repeat: configuration.NeverRepeat,
				Targets: configuration.Targets{WholeAnswer: second},
			},
		}}},
	}
}

func testLoad() *Load {
	return &Load{
		Classes: []ClassLoad{
			{Team: "t", Class: "text", Weight: 1, PromptTokens: engine.Range{Min: 50, Max: 150}, SharedTokens: 20},
			{Team: "t", Class: "book", Weight: 3},
		},
		RepeatShare:  0.5,
		RepeatWithin: configuration.Duration(time.Second),
		GoneShare:    0.1,
		GoneWithin:   configuration.Duration(time.Second),
	}
}

func planOf(t *testing.T, seed uint64, length time.Duration) []plannedRequest {
	t.Helper()
	load := testLoad()
	classes, err := offeredClasses(testBundle(), load)
	assert.NilError(t, err)
	return newPlanner(load, classes, 3, seed).plan(time.UnixMilli(1e12), 100, length)
}

func TestCapacityIsThatOfTheSmallerPool(t *testing.T) {
	load := testLoad()
	capacity, err := CapacityOf(testBundle(), load, engine.Range{Min: 20, Max: 40})
	assert.NilError(t, err)
	// A quarter of the requests has 100 prompt tokens on average.
	assert.Equal(t, capacity.Prefill, 2000/25.0)
	// The target allows 5 concurrent requests at 30 ms per token. The class limits
	// the 10 longest of the 21 lengths to 30 tokens.
	output := (20.0 + 21 + 22 + 23 + 24 + 25 + 26 + 27 + 28 + 29 + 11*30) / 21 / 4
	assert.Assert(t, math.Abs(capacity.Decode-5/0.030/output) < 1e-9, "%f", capacity.Decode)
	assert.Equal(t, capacity.Rate(), min(capacity.Prefill, capacity.Decode))
	load.Classes = load.Classes[1:]
	_, err = CapacityOf(testBundle(), load, engine.Range{Min: 1, Max: 1})
	assert.ErrorType(t, err, isType(NoCapacity))
	load.Classes[0].Class = "absent"
	_, err = CapacityOf(testBundle(), load, engine.Range{Min: 1, Max: 1})
	assert.ErrorType(t, err, isType(UnknownClass))
}

func TestArrivalsHaveTheRateAndItsBursts(t *testing.T) {
	const rate = 200.0
	burst := Burst{Start: configuration.Duration(10 * time.Second), Duration: configuration.Duration(10 * time.Second), Factor: 3}
	times := arrivals(rand.New(rand.NewPCG(1, 1)), rate, 30*time.Second, []Burst{burst})
	inside := 0
	for _, at := range times {
		if at >= 10*time.Second && at < 20*time.Second {
			inside++
		}
	}
	// The tolerance is five standard deviations of a Poisson count.
	assert.Assert(t, math.Abs(float64(inside)-6000) < 5*math.Sqrt(6000), "%d", inside)
	outside := len(times) - inside
	assert.Assert(t, math.Abs(float64(outside)-4000) < 5*math.Sqrt(4000), "%d", outside)
}

func TestPlanIsDeterministicForASeed(t *testing.T) {
	one, same, other := planOf(t, 1, 5*time.Second), planOf(t, 1, 5*time.Second), planOf(t, 2, 5*time.Second)
	assert.Equal(t, len(one), len(same))
	for i := range one {
		assert.Equal(t, one[i].at, same[i].at)
		assert.Equal(t, one[i].key, same[i].key)
		assert.Equal(t, one[i].prompt, same[i].prompt)
	}
	assert.Assert(t, one[0].at != other[0].at)
}

func TestRepeatsReuseTheKeyAtAnotherVM(t *testing.T) {
	originals := make(map[string]plannedRequest)
	repeats, disconnects := 0, 0
	for _, r := range planOf(t, 1, 10*time.Second) {
		assert.Equal(t, r.key != "", r.Class == "book")
		if r.disconnectAfter > 0 {
			disconnects++
		}
		if r.key == "" {
			continue
		}
		_, err := claim.ParseKey(claim.Key{Team: r.Team, Key: r.key})
		assert.NilError(t, err)
		original, known := originals[r.key]
		assert.Equal(t, r.repeat, known)
		if known {
			repeats++
			assert.Assert(t, r.vm != original.vm)
			assert.Assert(t, r.at >= original.at)
			assert.Equal(t, r.number, original.number)
			continue
		}
		originals[r.key] = r
	}
	assert.Assert(t, repeats > 200 && disconnects > 50, "%d repeats, %d disconnects", repeats, disconnects)
}

func TestPromptsAreUniqueAndShareAPrefix(t *testing.T) {
	seen := make(map[string]bool)
	prefix := ""
	for _, r := range planOf(t, 1, 5*time.Second) {
		if r.prompt == "" {
			continue
		}
		tokens := engine.Tokens(r.prompt)
		assert.Assert(t, tokens >= 50 && tokens <= 150, "%d", tokens)
		shared := r.prompt[:20*engine.BytesPerToken]
		assert.Assert(t, prefix == "" || prefix == shared)
		prefix = shared
		assert.Assert(t, !seen[r.prompt])
		seen[r.prompt] = true
		assert.Assert(t, strings.Contains(string(bodyOf(&r)), r.prompt))
	}
	assert.Assert(t, len(seen) > 50)
}

func TestBalancerSkipsRemovedVMs(t *testing.T) {
	b := newBalancer([]string{"a", "b", "c"})
	assert.Equal(t, b.pick(1), "b")
	b.remove(1)
	b.remove(2)
	assert.Equal(t, b.pick(1), "a")
	b.remove(0)
	assert.Equal(t, b.pick(1), "b")
}
