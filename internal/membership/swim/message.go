package swim

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// update is the state of one VM as carried in a message.
type update struct {
	VM, Zone, Address string
	Incarnation       uint64
	// Refutation counts the changes that the VM itself announced in this
	// incarnation.
	Refutation uint64
	State      membership.State
	Draining   bool
}

// rank orders states; a higher one overrides a lower one of the same incarnation
// and refutation.
func rank(s membership.State) int {
	switch s {
	case membership.Gone:
		return 2
	case membership.Suspect:
		return 1
	default:
		return 0
	}
}

// compare orders updates of one VM; the higher one takes precedence.
func (u *update) compare(other *update) int {
	return cmp.Or(
		cmp.Compare(u.Incarnation, other.Incarnation),
		cmp.Compare(u.Refutation, other.Refutation),
		cmp.Compare(rank(u.State), rank(other.State)),
	)
}

// supersedes reports whether the update is newer than another one.
func (u *update) supersedes(other *update) bool { return u.compare(other) > 0 }

// valid reports whether the update is well-formed.
func (u *update) valid() bool {
	if !validName(u.VM) || !validName(u.Zone) || len(u.Address) > maxAddressBytes {
		return false
	}
	address, err := netip.ParseAddrPort(u.Address)
	return err == nil && address.Port() != 0 && u.Incarnation != 0
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// member returns the update as a member of a view.
func (u *update) member() membership.Member {
	return membership.Member{
		VM:          u.VM,
		Zone:        u.Zone,
		Address:     u.Address,
		Incarnation: u.Incarnation,
		State:       u.State,
		Draining:    u.Draining,
	}
}

// pulse is the highest known heartbeat count of a zone.
type pulse struct {
	Zone  string
	Count uint64
}

// message is the content of a request or a response between VMs.
type message struct {
	From     update
	Sequence uint64
	Updates  []update
	Pulses   []pulse
	// Buckets are the sender's digests; empty in a response to equal ones.
	Buckets []uint64
	// Truncated reports that a response leaves out members that differ.
	Truncated bool
}

// callKind is the kind of a call to another VM.
type callKind int

const (
	callPing callKind = iota
	callIndirect
	callExchange
)

// call is a call that the machine requests. Its outcome is passed to
// machine.handleOutcome.
type call struct {
	ID      uint64
	Kind    callKind
	Address string
	// VM is the member at the address, empty if unknown.
	VM string
	// Target is the member that an indirect ping is for.
	Target  string
	Request message
	Timeout time.Duration
}

// outcome is the result of a call.
type outcome struct {
	// Response is nil if the call failed.
	Response *message
	// Reached is the result of an indirect ping.
	Reached bool
}
