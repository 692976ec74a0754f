// Package vmlist reads the platform's lagging list of live and leaving VMs.
package vmlist

import (
	"context"
	"time"
)

// State is the platform's view of a VM.
type State string

// The states of a listed VM. A VM that is gone is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// List is the platform's answer.
type List struct {
	// Time is the platform's clock when the answer was made.
	Time time.Time
	VMs  []VM
}

// Service fetches the list. Implementations are safe for concurrent use.
type Service interface {
	List(ctx context.Context) (List, error)
}
