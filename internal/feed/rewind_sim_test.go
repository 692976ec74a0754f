package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// rewindSeeds is the number of schedules of faults, rewindFaults that of faults in each.
	rewindSeeds  = 60
	rewindFaults = 12
	// rewriteTime is the time within which the operator and the endpoints write again what
	// the store has lost.
	rewriteTime = 2 * time.Second
)

// rewindWriters are the operator and the endpoints: they know what they wrote last.
type rewindWriters struct {
	sim    *sim
	random *rand.Rand
	newest map[string]map[string]string
	number int
}

func (w *rewindWriters) write(topic, key, value string) {
	w.newest[topic][key] = value
	w.sim.store.put(topic, key, value)
}

func (w *rewindWriters) changeConfiguration() {
	w.number++
	w.write(configTopic, "config", fmt.Sprintf("v%03d", w.number))
}

func (w *rewindWriters) changeEndpoint() {
	w.number++
	state := []string{"ready", "draining"}[w.random.IntN(2)]
	w.write(endpointTopic, fmt.Sprintf("e%d", w.random.IntN(20)), fmt.Sprintf("%s %d", state, w.number))
}

// rewrite writes again what the store has lost, at different times. The operator writes the
// same version, the endpoints register anew.
func (w *rewindWriters) rewrite() {
	time.Sleep(time.Duration(w.random.Int64N(int64(rewriteTime / 2))))
	if w.sim.store.holds(configTopic, "config") != w.newest[configTopic]["config"] {
		w.write(configTopic, "config", w.newest[configTopic]["config"])
	}
	for n := range 20 {
		key := fmt.Sprintf("e%d", n)
		if known := w.newest[endpointTopic][key]; known != "" && w.sim.store.holds(endpointTopic, key) != known {
			state, sequence := "", 0
			_, _ = fmt.Sscan(known, &state, &sequence)
			w.number++
			w.write(endpointTopic, key, fmt.Sprintf("%s %d", state, w.number))
		}
	}
}

// holds returns the store's newest value of a key.
func (s *simStore) holds(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.topics[topic].newest[key].Value)
}

// fault brings about one fault and ends it again.
func (w *rewindWriters) fault() {
	s, vm := w.sim, w.sim.vms[w.random.IntN(len(w.sim.vms))]
	duration := time.Duration(w.random.Int64N(int64(2 * time.Second)))
	switch w.random.IntN(6) {
	case 0:
		s.kill(vm)
		time.Sleep(duration)
		s.start(vm)
	case 1:
		s.silence(vm)
		time.Sleep(duration)
		s.setCut(nil)
		s.store.setTrouble(nil)
	case 2:
		s.store.setTrouble(func(string) simTrouble { return simTrouble{delay: 300 * time.Millisecond} })
		time.Sleep(duration)
		s.store.setTrouble(nil)
	case 3:
		s.store.setTrouble(func(name string) simTrouble { return simTrouble{refuse: name != vm.member.VM} })
		time.Sleep(duration)
		s.store.setTrouble(nil)
	default:
		w.rewind(duration)
	}
}

// rewind lets the store be away for a time and come back from a copy that was made some
// changes ago, while a VM may be killed.
func (w *rewindWriters) rewind(away time.Duration) {
	s := w.sim
	copied := s.store.ends()
	for range 1 + w.random.IntN(4) {
		w.changeConfiguration()
		w.changeEndpoint()
		time.Sleep(time.Duration(w.random.Int64N(int64(700 * time.Millisecond))))
	}
	if w.random.IntN(3) > 0 {
		s.store.setTrouble(func(string) simTrouble { return simTrouble{refuse: true} })
		time.Sleep(away)
	}
	s.store.rewind(copied)
	s.store.setTrouble(nil)
	if w.random.IntN(2) == 0 {
		vm := s.vms[w.random.IntN(len(s.vms))]
		s.kill(vm)
		s.start(vm)
	}
	w.rewrite()
}

// Returns of the store from older copies meet kills, silence, a slow store and one that turns
// VMs away: no VM may go back to anything older, and once the faults are over every VM must
// know all that was written, and a change within the bound.
func TestRewindsBesideOtherFaults(t *testing.T) {
	for seed := range uint64(rewindSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, 2, 4, func(s *sim) {
				w := &rewindWriters{
					sim: s, random: rand.New(rand.NewPCG(seed, 1)), number: 10,
					newest: map[string]map[string]string{configTopic: {}, endpointTopic: {}},
				}
				time.Sleep(time.Second)
				w.changeConfiguration()
				for range rewindFaults {
					w.fault()
					w.changeEndpoint()
					time.Sleep(time.Duration(w.random.Int64N(int64(time.Second))))
				}
				time.Sleep(rewriteTime + 4*simMaxAge)
				w.changeConfiguration()
				w.changeEndpoint()
				changed := time.Now()
				time.Sleep(simMaxAge)
				s.assertKnown(configTopic, "config", w.newest[configTopic]["config"], changed, []*simVM{nil, nil})
				for _, vm := range s.vms {
					assert.Assert(t, !vm.wentBack, "%s went back", vm.member.VM)
					for key, want := range w.newest[endpointTopic] {
						got := s.value(vm, endpointTopic, key).value
						assert.Equal(t, state(got), state(want), "%s at %s", key, vm.member.VM)
					}
				}
			})
		})
	}
}

// state returns the state of an endpoint without its sequence number.
func state(value string) (state string) {
	_, _ = fmt.Sscan(value, &state)
	return state
}
