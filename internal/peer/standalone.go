package peer

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Standalone is the Mesh of a daemon without peers.
type Standalone struct {
	self fleet.DaemonID
}

// NewStandalone returns a mesh of one daemon.
func NewStandalone(self fleet.DaemonID) *Standalone {
	return &Standalone{self: self}
}

// Self implements Mesh.
func (s *Standalone) Self() fleet.DaemonID { return s.self }

// Live implements Mesh.
func (s *Standalone) Live() []fleet.DaemonID { return []fleet.DaemonID{s.self} }

// LogReaders implements Mesh.
func (s *Standalone) LogReaders() []fleet.DaemonID { return s.Live() }

// EndpointReachers implements Mesh.
func (s *Standalone) EndpointReachers() []fleet.DaemonID { return s.Live() }

// DataCentres implements Mesh.
func (s *Standalone) DataCentres() []fleet.DataCentre { return nil }

// Publish implements Mesh.
func (s *Standalone) Publish(Topic, Scope, any) {}

// PublishDeferred implements Mesh.
func (s *Standalone) PublishDeferred(Topic, Scope, any) {}

// Subscribe implements Mesh.
func (s *Standalone) Subscribe(Topic, Handler) {}

// Call implements Mesh.
func (s *Standalone) Call(_ context.Context, to fleet.DaemonID, _ Method, _, _ any) error {
	return &UnreachableError{Daemon: to}
}

// HandleCall implements Mesh.
func (s *Standalone) HandleCall(Method, CallHandler) {}

// OpenStream implements Mesh.
func (s *Standalone) OpenStream(_ context.Context, to fleet.DataCentre, _ Method, _ any) (Stream, error) {
	return nil, &UnreachableError{DataCentre: to}
}

// OpenStreamTo implements Mesh.
func (s *Standalone) OpenStreamTo(_ context.Context, to fleet.DaemonID, _ Method, _ any) (Stream, error) {
	return nil, &UnreachableError{Daemon: to}
}

// HandleStream implements Mesh.
func (s *Standalone) HandleStream(Method, StreamHandler) {}
