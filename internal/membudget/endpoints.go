package membudget

import "sync"

// minEndpointBytes is the least that a VM may have in flight to one endpoint however many VMs share
// the bound: about eighteen requests of today's 14 KB, more than an engine has slots.
const minEndpointBytes = 256 << 10

// Endpoints bounds the bytes of request bodies that endpoints hold at a time. It is safe for
// concurrent use. A nil value has no bound.
type Endpoints struct {
	counters *Counters
	// limit is for all VMs together.
	limit int64

	mu       sync.Mutex
	inFlight map[string]int64
}

// NewEndpoints returns a bound for each endpoint, for all VMs together.
func NewEndpoints(limit int64, counters *Counters) *Endpoints {
	return &Endpoints{counters: counters, limit: limit, inFlight: make(map[string]int64)}
}

// Begin records a body that is about to be sent to an endpoint by one of several VMs. It returns
// false if the body does not fit. A body beyond the bound is sent if the endpoint holds no other, since
// it would fit nowhere else either.
func (e *Endpoints) Begin(name string, n int64, vms int) (end func(), ok bool) {
	if e == nil || n == 0 {
		return func() {}, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.inFlight[name]
	if held > 0 && held+n > max(minEndpointBytes, e.limit/int64(max(1, vms))) {
		e.counters.EndpointsFull.Add(1)
		return nil, false
	}
	e.inFlight[name] = held + n
	return sync.OnceFunc(func() { e.end(name, n) }), true
}

func (e *Endpoints) end(name string, n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[name] -= n; e.inFlight[name] == 0 {
		delete(e.inFlight, name)
	}
}
