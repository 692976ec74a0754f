package configuration

import "sync/atomic"

// Store holds the configuration in force. Readers take a snapshot without locks.
type Store struct {
	current atomic.Pointer[Snapshot]
}

// Snapshot returns the configuration in force, nil while there is none.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }
