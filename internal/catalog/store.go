package catalog

import "sync/atomic"

// Store holds the catalog in force.
type Store struct {
	current atomic.Pointer[Catalog]
}

// Load returns the catalog in force, nil before the first.
func (s *Store) Load() *Catalog { return s.current.Load() }

// Put puts a catalog in force if its version is higher, and reports whether it
// did: configuration never goes back within a process.
func (s *Store) Put(next *Catalog) bool {
	for {
		old := s.current.Load()
		if old != nil && next.Version <= old.Version {
			return false
		}
		if s.current.CompareAndSwap(old, next) {
			return true
		}
	}
}
