package team

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func entry(name string, quota Quota, keys ...string) Entry {
	e := Entry{Team: Team{Name: name, Quota: quota}}
	for _, key := range keys {
		e.Keys = append(e.Keys, DigestOf(key))
	}
	return e
}

// A key listed for two teams must not run requests as either of them, and the operator must see
// which teams are affected. A key listed twice for one team is sound.
func TestKeyOfSeveralTeamsBelongsToNone(t *testing.T) {
	d := NewDirectory([]Entry{
		entry("b", Quota{}, "own", "own", "shared", "shared"), entry("a", Quota{}, "shared"), entry("c", Quota{}, "shared"),
		entry("b", Quota{}, "second"),
	})
	assert.Equal(t, d.Find("own"), d.Team("b"))
	assert.Equal(t, d.Find("second"), d.Team("b"), "a name that is listed twice is one team")
	assert.Assert(t, d.Find("shared") == nil)
	assert.Assert(t, d.Find("other") == nil)
	assert.DeepEqual(t, d.SharedKeys(), [][]string{{"a", "b", "c"}})
	assert.Equal(t, d.Len(), 3)
}

// A share that is the plain rate would give a team without a limit almost nothing.
func TestSharesAreRelativeToTheMeanOfTheirUnit(t *testing.T) {
	d := NewDirectory([]Entry{
		entry("small", Quota{Unit: Tokens, PerSecond: 50_000}), entry("large", Quota{Unit: Tokens, PerSecond: 150_000}),
		entry("few", Quota{Unit: Requests, PerSecond: 3}), entry("free", Quota{}),
	})
	for name, share := range map[string]float64{"small": 0.5, "large": 1.5, "few": 1, "free": 1} {
		assert.Equal(t, d.Team(name).Share(), share, name)
	}
}

func TestCostOfARequest(t *testing.T) {
	tokens := Quota{Unit: Tokens, PlainTokens: 200}
	assert.Equal(t, tokens.Cost(1460, 80), int64(1540))
	assert.Equal(t, tokens.Cost(0, 0), int64(200))
	assert.Equal(t, Quota{Unit: Requests}.Cost(1460, 80), int64(1))
}

// Each row is one way in which a key could be denied that may be valid, or accepted that may be removed.
func TestVerdicts(t *testing.T) {
	d := NewDirectory([]Entry{entry("a", Quota{}, "known", "shared"), entry("b", Quota{}, "shared")})
	given := func(key string) Credential { return Credential{Present: true, Key: DigestOf(key)} }
	const fresh, outdated, expired = time.Second, 3 * time.Second, 6 * time.Second
	cases := []struct {
		name           string
		credential     Credential
		anonymous      bool
		age            time.Duration
		strict         bool
		team           string
		reason         Reason
		mayBeSentAgain bool
	}{
		{"known key", given("known"), false, fresh, true, "a", "", false},
		{"known key of an outdated configuration", given("known"), false, outdated, true, "a", "", false},
		{"known key that may be removed", given("known"), false, expired, true, "", Expired, true},
		{"known key just before the bound", given("known"), false, 4900 * time.Millisecond, true, "", Expired, true},
		{"known key in a partition", given("known"), false, time.Hour, false, "a", "", false},
		{"unknown key", given("other"), false, fresh, true, "", Unknown, false},
		{"unknown key that may be added", given("other"), false, outdated, false, "", Unknown, true},
		{"key of two teams", given("shared"), false, fresh, false, "", Shared, false},
		{"no key", Credential{}, false, fresh, false, "", Missing, false},
		{"no key at a route that may have become anonymous", Credential{}, false, outdated, false, "", Missing, true},
		{"malformed key", Credential{Present: true, Malformed: true}, false, fresh, false, "", Malformed, false},
		{"anonymous with a known key", given("known"), true, fresh, true, "a", "", false},
		{"anonymous with a key that may be removed", given("known"), true, expired, true, "", "", false},
		{"anonymous with an unknown key", given("other"), true, fresh, true, "", "", false},
		{"anonymous without a key", Credential{}, true, time.Hour, true, "", "", false},
	}
	for _, c := range cases {
		rules := Rules{ConfigurationTime: 2 * time.Second}
		if c.strict {
			rules.RevocationTime = 5 * time.Second
		}
		v := rules.Judge(d, c.credential, c.anonymous, c.age)
		name := ""
		if v.Team != nil {
			name = v.Team.Name
		}
		assert.Equal(t, name, c.team, c.name)
		assert.Equal(t, v.Reason, c.reason, c.name)
		assert.Equal(t, v.Outdated, c.mayBeSentAgain, c.name)
	}
	var none *Directory
	assert.Assert(t, Rules{RevocationTime: time.Second}.Judge(none, given("other"), false, time.Hour).Accepted(), "without teams no key is needed")
	assert.Equal(t, Rules{}.Judge(NewDirectory(nil), given("other"), false, 0).Reason, Unknown, "an empty list of teams knows no key")
}

// A request that is counted under another reason hides why keys are denied.
func TestVerdictsAreCountedByReason(t *testing.T) {
	var c Counters
	for _, v := range []Verdict{
		{Team: &Team{}}, {}, {Reason: Missing}, {Reason: Malformed}, {Reason: Unknown}, {Reason: Shared},
		{Reason: Unknown, Outdated: true}, {Reason: Expired, Outdated: true},
	} {
		c.Count(v)
	}
	for _, n := range []int64{
		c.Authenticated.Load(), c.Anonymous.Load(), c.Missing.Load(), c.Malformed.Load(), c.Unknown.Load(), c.Shared.Load(),
		c.Outdated.Load(), c.Expired.Load(),
	} {
		assert.Equal(t, n, int64(1))
	}
}

func TestDigestsAreReadAsWritten(t *testing.T) {
	digest, ok := ParseDigest(DigestOf("key").String())
	assert.Assert(t, ok)
	assert.Equal(t, digest, DigestOf("key"))
	_, ok = ParseDigest("ab")
	assert.Assert(t, !ok)
}
