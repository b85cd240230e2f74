package catalog

import "sync/atomic"

// Store holds the current catalog. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Catalog]
}

// Load returns the current catalog, nil before the first Put.
func (s *Store) Load() *Catalog { return s.current.Load() }

// Put replaces the current catalog if the new one has a higher version, and reports
// whether it did. The configuration version never decreases within a process.
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
