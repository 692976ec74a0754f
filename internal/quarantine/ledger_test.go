package quarantine

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// at returns a crash under requests with some parts, whose age is as of a time.
func (l *ledger) crashed(at time.Duration, engine string, parts ...string) {
	l.merge(at, Facts{Crashes: []Crash{{Service: "pool", Engine: engine, Parts: parts}}})
}

// answered merges a sound answer that was requested at a time.
func (l *ledger) answered(at time.Duration, part string) {
	l.merge(at, Facts{Sounds: []Sound{{Service: "pool", Part: part}}})
}

// quarantined returns the parts of all verdicts.
func (l *ledger) quarantined() string {
	var all []string
	for _, v := range l.verdicts() {
		all = append(all, strings.Join(v.parts, "+"))
	}
	return strings.Join(all, " ")
}

// Wrong verdicts hold sound requests back, missing ones let a part crash every engine.
func TestVerdicts(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		facts func(l *ledger)
		want  string
	}{
		"two crashes": {func(l *ledger) {
			l.crashed(0, "e1", "x")
			l.crashed(s, "e2", "x")
		}, ""},
		"three crashes": {func(l *ledger) {
			l.crashed(0, "e1", "x")
			l.crashed(s, "e2", "x")
			l.crashed(2*s, "e3", "x")
		}, "x"},
		"one engine, reported by three VMs": {func(l *ledger) {
			l.crashed(0, "e1", "x")
			l.crashed(s, "e1", "x", "y")
			l.crashed(2*s, "e1", "x", "z")
		}, ""},
		"engines that end at the same moment": {func(l *ledger) {
			for i := range 5 {
				l.crashed(time.Duration(i)*50*time.Millisecond, fmt.Sprint("e", i), "x")
			}
		}, ""},
		"a part of sound requests beside it": {func(l *ledger) {
			l.answered(0, "a")
			for i := range 3 {
				l.crashed(s+time.Duration(i)*s, fmt.Sprint("e", i), "a", "x")
			}
		}, "x"},
		"a sound answer after the crashes": {func(l *ledger) {
			for i := range 3 {
				l.crashed(time.Duration(i)*s, fmt.Sprint("e", i), "a", "x")
			}
			l.answered(3*s, "a")
		}, "x"},
		"a sound answer long before the crashes": {func(l *ledger) {
			l.answered(0, "x")
			for i := range 3 {
				l.crashed(10*s+time.Duration(i)*s, fmt.Sprint("e", i), "x")
			}
		}, "x"},
		"parts that no crash tells apart": {func(l *ledger) {
			for i := range 3 {
				l.crashed(time.Duration(i)*s, fmt.Sprint("e", i), "a", "x")
			}
		}, "a+x"},
		"a crash that tells them apart": {func(l *ledger) {
			for i := range 3 {
				l.crashed(time.Duration(i)*s, fmt.Sprint("e", i), "a", "x")
			}
			l.crashed(3*s, "e4", "x")
		}, "x"},
		"a bystander at each crash": {func(l *ledger) {
			for i := range 4 {
				parts := []string{"b", "x"}
				l.crashed(time.Duration(i)*s, fmt.Sprint("e", i), parts[1-min(i, 1):]...)
			}
		}, "x"},
		"two parts": {func(l *ledger) {
			for i := range 3 {
				l.crashed(time.Duration(i)*s, fmt.Sprint("e", i), "x")
				l.crashed(time.Duration(i)*s+s/2, fmt.Sprint("f", i), "y")
			}
		}, "x y"},
		"crashes under unrelated requests": {func(l *ledger) {
			for i := range 20 {
				l.crashed(time.Duration(i)*s, fmt.Sprint("e", i), fmt.Sprint("p", i%10))
			}
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			c.facts(l)
			assert.Equal(t, l.quarantined(), c.want)
		})
	}
}

// Facts that are merged in another order must not lead VMs to other verdicts.
func TestVerdictsDoNotDependOnTheOrderOfFacts(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var facts []Facts
		for i := range 30 {
			age := time.Duration(random.Int64N(int64(20 * time.Second)))
			part := fmt.Sprint("p", random.IntN(6))
			if random.IntN(3) == 0 {
				facts = append(facts, Facts{Sounds: []Sound{{Service: "pool", Part: part, Age: age.Truncate(time.Second)}}})
				continue
			}
			facts = append(facts, Facts{Crashes: []Crash{{Service: "pool", Engine: fmt.Sprint("e", i), Parts: sortedSet([]string{part, fmt.Sprint("p", random.IntN(6))}), Age: age}}})
		}
		ledgers := [2]*ledger{newLedger(), newLedger()}
		for _, l := range ledgers {
			random.Shuffle(len(facts), func(i, j int) { facts[i], facts[j] = facts[j], facts[i] })
			for _, f := range facts {
				l.merge(time.Minute, f)
			}
		}
		assert.Equal(t, ledgers[0].quarantined(), ledgers[1].quarantined(), "seed %d", seed)
		assert.Equal(t, ledgers[0].digest(), ledgers[1].digest(), "seed %d", seed)
	}
}

// VMs that repeat facts to each other must not keep them alive for ever.
func TestFactsAreForgottenByVMsThatRepeatThem(t *testing.T) {
	const delay, period = 20 * time.Millisecond, time.Second
	a, b := newLedger(), newLedger()
	a.crashed(0, "e1", "x")
	a.answered(0, "x")
	now := time.Duration(0)
	for now < Retention+2*period {
		now += period
		for _, pair := range [][2]*ledger{{a, b}, {b, a}} {
			f := pair[0].all(now)
			pair[1].merge(now+delay, f)
		}
		a.expire(now)
		b.expire(now)
	}
	assert.Equal(t, len(a.crashes)+len(b.crashes)+len(a.sounds)+len(b.sounds), 0)
}

// A message of another VM must not fill the memory.
func TestFactsAreBounded(t *testing.T) {
	l := newLedger()
	for i := range 2 * maxCrashes {
		l.crashed(time.Duration(i)*time.Second, fmt.Sprint("e", i), "x")
	}
	assert.Equal(t, len(l.crashes), maxCrashes)
	assert.Assert(t, l.crashes[crashKey{"pool", fmt.Sprint("e", 2*maxCrashes-1)}] != nil)
	long := strings.Repeat("x", maxNameBytes+1)
	for _, c := range []Crash{
		{Engine: "e", Parts: []string{"x"}}, {Service: "s", Parts: []string{"x"}}, {Service: "s", Engine: "e"},
		{Service: "s", Engine: long, Parts: []string{"x"}}, {Service: "s", Engine: "e", Parts: []string{"x", long}},
		{Service: "s", Engine: "e", Parts: make([]string, maxParts+1)}, {Service: "s", Engine: "e", Parts: []string{"x"}, Age: -1},
	} {
		news := l.merge(0, Facts{Crashes: []Crash{c}})
		assert.Assert(t, news.Empty())
	}
}
