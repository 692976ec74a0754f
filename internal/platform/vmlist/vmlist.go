// Package vmlist fetches the platform's list of live and leaving VMs. The list
// lags behind the actual state of the VMs.
package vmlist

import (
	"context"
	"time"
)

// State is the state of a VM according to the platform.
type State string

// States of a listed VM. A VM that is gone is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list. Its address has an IP number and a port, or is empty.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// List is one response of the platform.
type List struct {
	// Time is the platform's clock at the response.
	Time time.Time
	VMs  []VM
	// Unusable has why entries cannot be used, which are not among the VMs.
	Unusable []string
}

// Service fetches the list. Implementations are safe for concurrent use.
type Service interface {
	List(ctx context.Context) (List, error)
}
