package peer

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Solo is the Mesh of a daemon without peers.
type Solo struct {
	self fleet.DaemonID
}

// NewSolo returns a mesh of one daemon.
func NewSolo(self fleet.DaemonID) *Solo {
	return &Solo{self: self}
}

// Self implements Mesh.
func (s *Solo) Self() fleet.DaemonID { return s.self }

// Live implements Mesh.
func (s *Solo) Live() []fleet.DaemonID { return []fleet.DaemonID{s.self} }

// WithLog implements Mesh.
func (s *Solo) WithLog() []fleet.DaemonID { return s.Live() }

// DataCentres implements Mesh.
func (s *Solo) DataCentres() []fleet.DataCentre { return nil }

// Publish implements Mesh.
func (s *Solo) Publish(Topic, Scope, any) {}

// PublishSoon implements Mesh.
func (s *Solo) PublishSoon(Topic, Scope, any) {}

// Subscribe implements Mesh.
func (s *Solo) Subscribe(Topic, Handler) {}

// Call implements Mesh.
func (s *Solo) Call(_ context.Context, to fleet.DaemonID, _ Method, _, _ any) error {
	return &UnreachableError{Daemon: to}
}

// HandleCall implements Mesh.
func (s *Solo) HandleCall(Method, CallHandler) {}

// Open implements Mesh.
func (s *Solo) Open(_ context.Context, to fleet.DataCentre, _ Method, _ any) (Stream, error) {
	return nil, &UnreachableError{DataCentre: to}
}

// HandleOpen implements Mesh.
func (s *Solo) HandleOpen(Method, OpenHandler) {}
