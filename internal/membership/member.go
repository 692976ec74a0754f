// Package membership defines an entry VM's view of which entry VMs are alive.
//
// Views may differ between VMs, and no safety property depends on their
// agreement: a view decides where a message is sent, never whether an action is
// safe.
package membership

// State is the state of a member in the view of another VM.
type State string

// The states of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Gone    State = "gone"
)

// Member is an entry VM as it appears in a view.
type Member struct {
	// VM is the entry VM's name.
	VM string
	// Zone is its availability zone.
	Zone string
	// Address is its address for peers, an IP address and port.
	Address string
	// Incarnation increases with each start of the VM's process; 0 if unknown.
	Incarnation uint64
	State       State
	// Draining reports that the VM finishes its requests and accepts no new ones.
	Draining bool
}

// Available reports whether the VM is alive and accepts new work.
func (m Member) Available() bool { return m.State == Alive && !m.Draining }

// View is one VM's view of the members. The returned slices are immutable and
// sorted by VM name; they include the VM itself.
type View interface {
	// Self returns this VM.
	Self() Member
	// Members returns all members that are alive or suspect.
	Members() []Member
}

// Static is a View that never changes.
type Static struct {
	This Member
	All  []Member
}

// Self implements View.
func (s Static) Self() Member { return s.This }

// Members implements View.
func (s Static) Members() []Member { return s.All }
