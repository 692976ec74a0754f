// Package membership keeps each entry VM's view of which entry VMs are alive.
//
// Views differ between VMs and nothing that must hold rests on their agreement:
// they decide where a message goes, never whether an action is safe.
package membership

// State is what a VM believes of another.
type State string

// The states of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Gone    State = "gone"
)

// Member is an entry VM as seen from here.
type Member struct {
	// VM is the entry VM's name.
	VM string
	// Zone is its availability zone.
	Zone string
	// Address is its address for peers, an IP number and port.
	Address string
	// Incarnation rises with each start of the VM's process; 0 if unknown.
	Incarnation uint64
	State       State
	// Draining says that the VM finishes its requests and takes no new ones.
	Draining bool
}

// Available reports whether the VM is alive and takes new work.
func (m Member) Available() bool { return m.State == Alive && !m.Draining }

// View yields members. Snapshots are immutable and sorted by VM name; the VM
// itself is among them.
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
