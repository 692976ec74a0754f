package openai

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	ordersPath = "/v1/orders"
	statePath  = "/v1/state"
)

// wireDesired is a desired state or a state in force.
type wireDesired struct {
	Role     configuration.Role `json:"role"`
	Model    string             `json:"model"`
	Version  string             `json:"version"`
	Adapters []string           `json:"adapters"`
}

type wireOrder struct {
	Fencing uint64      `json:"fencing"`
	OrderID string      `json:"order_id"`
	Desired wireDesired `json:"desired"`
}

type wireOrderResponse struct {
	State engine.OrderResult `json:"state"`
}

type wireState struct {
	wireDesired
	Fencing       uint64 `json:"fencing"`
	Busy          bool   `json:"busy"`
	Leaving       bool   `json:"leaving"`
	ChecksFencing bool   `json:"checks_fencing"`
}

// Order sends an order. The error is engine.StaleFencing if the engine has seen
// a higher fencing number. After an error without the trait engine.NotRun the
// engine may still carry out the order.
func (c *Client) Order(ctx context.Context, order engine.Order) (engine.OrderResult, error) {
	wire := wireOrder{Fencing: order.Fencing, OrderID: order.ID, Desired: wireDesired(order.Desired)}
	wire.Desired.Adapters = append([]string{}, wire.Desired.Adapters...)
	body, err := json.Marshal(wire)
	if err != nil {
		return "", engine.BadRequest.Wrap(err, "order %s", order.ID)
	}
	response, err := c.post(ctx, ordersPath, "", body)
	if errorx.IsOfType(err, engine.Cancelled) {
		return "", engine.StaleFencing.Wrap(err, "order %s", order.ID)
	}
	if err != nil {
		return "", err
	}
	defer response.Close()
	var result wireOrderResponse
	if err := decodeJSON(response, &result, "state"); err != nil {
		return "", engine.Unavailable.Wrap(err, "answer to order %s", order.ID)
	}
	if !slices.Contains([]engine.OrderResult{engine.OrderAccepted, engine.OrderInForce}, result.State) {
		return "", engine.Unavailable.New("order %s was answered %q", order.ID, result.State)
	}
	return result.State, nil
}

// State reads the engine's state in force.
func (c *Client) State(ctx context.Context) (engine.State, error) {
	var wire wireState
	if err := c.get(ctx, statePath, &wire, "role", "model"); err != nil {
		return engine.State{}, err
	}
	return engine.State{
		Desired:       engine.Desired(wire.wireDesired),
		Fencing:       wire.Fencing,
		Busy:          wire.Busy,
		Leaving:       wire.Leaving,
		ChecksFencing: wire.ChecksFencing,
	}, nil
}
