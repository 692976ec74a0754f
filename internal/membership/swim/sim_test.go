package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "github.com/ospreyshed/ospreyshed/api/membership/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// simDelay is the largest one-way delay of the simulated network.
const simDelay = 20 * time.Millisecond

// sim runs machines on a simulated network and clock.
type sim struct {
	random *rand.Rand
	now    time.Time
	queue  simQueue
	order  int
	nodes  map[string]*simNode
	// bound holds the latest process at each address.
	bound map[string]*simNode
	// lost reports whether a message between two VMs is lost.
	lost func(from, to *simNode) bool
}

// simNode is one process of a VM.
type simNode struct {
	identity
	machine  *machine
	counters Counters
	down     bool
	paused   bool
	// deferred holds outcomes that are delivered at the end of a pause.
	deferred []func()
	// bytes and messages count the traffic of the VM, sent and received.
	bytes, messages int
	// gone holds the times at which incarnations were reported as gone.
	gone map[string]time.Time
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newSim(seed uint64) *sim {
	return &sim{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1_000_000, 0),
		nodes:  make(map[string]*simNode),
		bound:  make(map[string]*simNode),
		lost:   func(_, _ *simNode) bool { return false },
	}
}

// newFleet starts VMs distributed over zones, all with the first VM as their seed.
func newFleet(seed uint64, vms, zones int) *sim {
	s := newSim(seed)
	for i := range vms {
		s.start(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("zone-%c", 'a'+i%zones), simAddress(i))
	}
	return s
}

func simAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/200, i%200+1) }

// start starts a process of a VM, which replaces previous processes with its name or
// its address.
func (s *sim) start(vm, zone, address string) {
	n := &simNode{
		identity: identity{VM: vm, Zone: zone, Address: address, Incarnation: uint64(s.now.UnixNano())},
		gone:     make(map[string]time.Time),
	}
	n.machine = newMachine(s.now, n.identity, rand.New(rand.NewPCG(s.random.Uint64(), 2)), &n.counters)
	n.machine.candidates.seeds[simAddress(0)] = ""
	for _, previous := range []*simNode{s.nodes[vm], s.bound[address]} {
		if previous != nil {
			previous.down = true
		}
	}
	s.nodes[vm], s.bound[address] = n, n
	s.after(randomDuration(s.random, tickPeriod), func() { s.tick(n) })
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), order: s.order, run: run})
}

// run advances the clock and runs the events that become due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) tick(n *simNode) {
	if n.down {
		return
	}
	if !n.paused {
		s.send(n, n.machine.tick(s.now))
		s.recordChanges(n)
	}
	s.after(tickPeriod, func() { s.tick(n) })
}

// recordChanges records the members that the machine reports as gone.
func (s *sim) recordChanges(n *simNode) {
	for _, c := range n.machine.takeChanges(s.now) {
		if c.member.State == membership.Gone && c.previous != membership.Gone {
			n.gone[detailOf(&c.member)] = s.now
		}
	}
}

func (s *sim) pause(n *simNode, d time.Duration) {
	n.paused = true
	s.after(d, func() {
		n.paused = false
		for _, run := range n.deferred {
			run()
		}
		n.deferred = nil
	})
}

func (s *sim) send(n *simNode, calls []call) {
	for _, c := range calls {
		s.deliver(n, c)
	}
}

// deliver transmits a call and its response, or lets the call time out.
func (s *sim) deliver(n *simNode, c call) {
	finished := false
	finish := func(result outcome) {
		if finished || n.down {
			return
		}
		finished = true
		s.send(n, n.machine.handleOutcome(s.now, c.ID, result))
		s.recordChanges(n)
	}
	s.after(c.Timeout, func() {
		if n.paused {
			n.deferred = append(n.deferred, func() { finish(outcome{}) })
			return
		}
		finish(outcome{})
	})
	s.transmit(n, s.bound[c.Address], &c.Request, func(to *simNode) {
		s.serve(n, to, c, finish)
	})
}

// transmit delivers one message to a process if it is up.
func (s *sim) transmit(from, to *simNode, m *message, received func(to *simNode)) {
	from.count(m)
	if to == nil || to.down || s.lost(from, to) {
		return
	}
	s.after(randomDuration(s.random, simDelay), func() {
		if to.down || to.paused {
			return
		}
		to.count(m)
		received(to)
	})
}

func (n *simNode) count(m *message) {
	n.messages++
	n.bytes += encodedSize(m)
}

func encodedSize(m *message) int {
	return proto.Size(&membershipv1.ExchangeRequest{Envelope: messageToProto(m), Buckets: m.Buckets})
}

// serve passes a request to a machine and sends its response back.
func (s *sim) serve(from, to *simNode, c call, finish func(outcome)) {
	reply := func(response message, reached bool) {
		s.transmit(to, from, &response, func(*simNode) { finish(outcome{Response: &response, Reached: reached}) })
	}
	if c.Kind != callIndirect {
		response, err := to.machine.receive(s.now, &c.Request)
		s.recordChanges(to)
		if err == nil {
			reply(response, false)
		}
		return
	}
	response, made, err := to.machine.receiveIndirect(s.now, &c.Request, c.Target)
	if err != nil || made == nil {
		return
	}
	target := s.bound[made.Address]
	s.transmit(to, target, &made.Request, func(target *simNode) {
		pong, err := target.machine.receive(s.now, &made.Request)
		if err != nil {
			return
		}
		s.transmit(target, to, &pong, func(*simNode) {
			to.machine.handleOutcome(s.now, made.ID, outcome{Response: &pong})
			s.recordChanges(to)
			reply(response, pong.From.VM == c.Target)
		})
	})
}

// state returns the state and incarnation of a VM in the view of another one.
func (s *sim) state(of *simNode, vm string) (membership.State, uint64) {
	r, ok := of.machine.records[vm]
	if !ok {
		return membership.Gone, 0
	}
	return of.machine.effective(s.now, r), r.Incarnation
}

// wrongView describes the first wrong entry found in a view. It is empty if all
// views are right.
func (s *sim) wrongView() string {
	names := sortedKeys(s.nodes)
	for _, viewer := range names {
		n := s.nodes[viewer]
		if n.down {
			continue
		}
		for _, vm := range names {
			want := s.nodes[vm]
			state, incarnation := s.state(n, vm)
			if want.down && state != membership.Gone {
				return fmt.Sprintf("%s sees %s, which is down, as %s", viewer, vm, state)
			}
			if !want.down && (state != membership.Alive || incarnation != want.Incarnation) {
				return fmt.Sprintf("%s sees %s.%d as %s.%d", viewer, vm, want.Incarnation, state, incarnation)
			}
		}
	}
	return ""
}

// converge runs until all views are right and returns the time that it took, or
// the limit.
func (s *sim) converge(limit time.Duration) (time.Duration, string) {
	const step = 100 * time.Millisecond
	for took := time.Duration(0); ; took += step {
		wrong := s.wrongView()
		if wrong == "" || took >= limit {
			return took, wrong
		}
		s.run(step)
	}
}

// populateViews adds all VMs to all views, with no updates left to send.
func (s *sim) populateViews() {
	for _, n := range s.nodes {
		for _, vm := range sortedKeys(s.nodes) {
			n.machine.apply(s.now, s.nodes[vm].machine.self.update, n.Zone)
		}
		n.machine.broadcasts = newBroadcastQueue()
	}
}
