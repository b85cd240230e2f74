package view

import "sync/atomic"

// Store holds the current view and replaces it atomically.
type Store struct {
	current atomic.Pointer[View]
}

// NewStore returns a store with an empty view.
func NewStore() *Store {
	s := &Store{}
	s.current.Store(&View{})
	return s
}

// Load returns the newest view.
func (s *Store) Load() *View { return s.current.Load() }

// Publish replaces the view.
func (s *Store) Publish(v *View) { s.current.Store(v) }
