package engine

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Desired is the state that an order requests.
type Desired struct {
	Role     configuration.Role `json:"role"`
	Model    string             `json:"model"`
	Version  string             `json:"version"`
	Adapters []string           `json:"adapters"`
}

func (d *Desired) equal(other *Desired) bool {
	return d.Role == other.Role && d.Model == other.Model && d.Version == other.Version &&
		slices.Equal(d.Adapters, other.Adapters)
}

// Order requests a state of an engine.
type Order struct {
	Fencing uint64  `json:"fencing"`
	OrderID string  `json:"order_id"`
	Desired Desired `json:"desired"`
}

// OrderState is the outcome of an order.
type OrderState string

// Outcomes of an order.
const (
	OrderAccepted     OrderState = "accepted"
	OrderInForce      OrderState = "in-force"
	OrderStaleFencing OrderState = "stale-fencing"
)

// State is the body of the response with an engine's state.
type State struct {
	Desired
	Fencing       uint64 `json:"fencing"`
	Busy          bool   `json:"busy"`
	Leaving       bool   `json:"leaving"`
	ChecksFencing bool   `json:"checks_fencing"`
}

// orderState is the state in force and the order being carried out.
type orderState struct {
	inForce Desired
	fencing uint64
	pending *Desired
	timer   *time.Timer
}

func newOrderState(o *Options) orderState {
	adapters := append([]string{}, o.Adapters...)
	return orderState{inForce: Desired{Role: o.Role, Model: o.Model, Version: o.Version, Adapters: adapters}}
}

func (s *orderState) current() *Desired { return &s.inForce }

func (s *orderState) busy() bool { return s.pending != nil }

func (s *orderState) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.pending = nil
}

// Order starts to carry out an order. If the desired state is already pending, or
// is in force and nothing is pending, the order only sets the fencing number. Order
// returns OrderStaleFencing and the engine's latest fencing number if the engine
// checks fencing numbers and the order's is lower. A later order replaces one that
// is being carried out.
func (e *Engine) Order(order Order) (OrderState, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && order.Fencing < e.state.fencing {
		e.counts.OrdersStale++
		return OrderStaleFencing, e.state.fencing
	}
	e.state.fencing = order.Fencing
	desired := order.Desired
	desired.Adapters = append([]string{}, desired.Adapters...)
	if desired.equal(&e.state.inForce) && !e.state.busy() {
		return OrderInForce, order.Fencing
	}
	if e.state.busy() && desired.equal(e.state.pending) {
		return OrderAccepted, order.Fencing
	}
	e.counts.OrdersAccepted = append(e.counts.OrdersAccepted, order.OrderID)
	e.startOrder(&desired)
	return OrderAccepted, order.Fencing
}

// startOrder starts to carry out an order.
func (e *Engine) startOrder(desired *Desired) {
	e.state.stop()
	e.state.pending = desired
	e.state.timer = time.AfterFunc(e.options.OrderDuration.D(), func() { e.completeOrder(desired) })
	e.recordLoad()
}

// completeOrder puts an order in force unless it was replaced.
func (e *Engine) completeOrder(desired *Desired) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.pending != desired {
		return
	}
	e.state.inForce = *desired
	e.state.pending = nil
	e.recordLoad()
}

// State returns the state in force, without lag.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := State{
		Desired:       e.state.inForce,
		Fencing:       e.state.fencing,
		Busy:          e.state.busy(),
		Leaving:       e.faults.Leaving,
		ChecksFencing: e.options.ChecksFencing,
	}
	state.Adapters = append([]string{}, state.Adapters...)
	return state
}
