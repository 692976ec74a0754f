package fleet

import (
	"sync"
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// Store publishes the configuration and the fleet. Writers replace parts of it;
// readers load an immutable state without a lock.
type Store struct {
	table atomic.Pointer[routing.Table]
	view  atomic.Pointer[View]

	mu        sync.Mutex
	instances []Instance
	entryVMs  []EntryVM
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	s := &Store{}
	s.view.Store(NewView(nil, nil, nil))
	return s
}

// Table returns the configuration in force, nil while none is known.
func (s *Store) Table() *routing.Table { return s.table.Load() }

// View returns the fleet as it is known now.
func (s *Store) View() *View { return s.view.Load() }

// SetTable puts a configuration in force unless a later version is. It reports
// whether it did.
func (s *Store) SetTable(table *routing.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.table.Load(); current != nil && table.Version <= current.Version {
		return false
	}
	s.table.Store(table)
	s.publish()
	return true
}

// SetInstances replaces the endpoints.
func (s *Store) SetInstances(instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances
	s.publish()
}

// SetEntryVMs replaces the processes of this kind.
func (s *Store) SetEntryVMs(vms []EntryVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryVMs = vms
	s.publish()
}

// publish makes a new view; the lock is held.
func (s *Store) publish() {
	s.view.Store(NewView(s.table.Load(), s.instances, s.entryVMs))
}
