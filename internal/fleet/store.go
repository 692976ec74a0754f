package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// Store publishes the configuration and the fleet. Writers replace parts of them;
// readers load an immutable snapshot without a lock.
type Store struct {
	table atomic.Pointer[routing.Table]
	view  atomic.Pointer[View]

	mu        sync.Mutex
	instances []Instance
	// instancesKnown is set once the instances have been set.
	instancesKnown bool
	entryVMs       []EntryVM
	// departed are the names of instances that are no longer registered, oldest
	// first.
	departed []string
}

// maxDepartedNames bounds the names of departed instances that are kept.
const maxDepartedNames = 512

// NewStore returns a store without a configuration.
func NewStore() *Store {
	s := &Store{}
	s.view.Store(NewView(nil, nil, nil))
	return s
}

// Table returns the configuration in force, nil while none is known.
func (s *Store) Table() *routing.Table { return s.table.Load() }

// View returns the current snapshot of the fleet.
func (s *Store) View() *View { return s.view.Load() }

// SetTable puts a configuration that is not in use yet in force unless the same or a later version is
// already in force. It reports whether it did.
func (s *Store) SetTable(table *routing.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.table.Load(); current != nil && table.Version <= current.Version {
		return false
	}
	table.Follow(s.table.Load(), time.Now())
	s.table.Store(table)
	s.publish()
	return true
}

// SetInstances replaces the instances. From then on they are known, even if there are none.
func (s *Store) SetInstances(instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDepartures(instances)
	s.instances, s.instancesKnown = instances, true
	s.publish()
}

// recordDepartures adds the instances that are missing from the present ones to the
// departed ones and removes those that are back. The lock must be held.
func (s *Store) recordDepartures(present []Instance) {
	names := make(map[string]bool, len(present))
	for i := range present {
		names[present[i].Name] = true
	}
	for i := range s.instances {
		if name := s.instances[i].Name; !names[name] {
			s.departed = append(s.departed, name)
		}
	}
	s.departed = slices.DeleteFunc(s.departed, func(name string) bool { return names[name] })
	if excess := len(s.departed) - maxDepartedNames; excess > 0 {
		s.departed = slices.Delete(s.departed, 0, excess)
	}
}

// SetEntryVMs replaces the entry VMs.
func (s *Store) SetEntryVMs(vms []EntryVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryVMs = vms
	s.publish()
}

// publish builds and publishes a new view. The lock must be held.
func (s *Store) publish() {
	view := NewView(s.table.Load(), s.instances, s.entryVMs)
	view.known = s.table.Load() != nil && s.instancesKnown
	for _, name := range s.departed {
		view.departed[name] = true
	}
	s.view.Store(view)
}
