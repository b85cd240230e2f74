package spill

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/admit"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/relay"
)

const retryAfterDraining = time.Second

// Server runs requests that other data centres forward.
type Server struct {
	gate  *admit.Gate
	relay *relay.Relay

	mu       sync.Mutex
	draining bool
	running  sync.WaitGroup
}

// NewServer returns a server and registers its handler with the mesh.
func NewServer(mesh peer.Mesh, gate *admit.Gate, runs *relay.Relay) *Server {
	s := &Server{gate: gate, relay: runs}
	mesh.HandleOpen(peer.MethodGenerate, s.generate)
	return s
}

// Drain refuses new requests and waits until the requests in progress have ended.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running.Add(1)
	return true
}

func (s *Server) generate(ctx context.Context, _ fleet.DaemonID, body cbor.RawMessage, send func(any) error) error {
	var r Request
	if err := cbor.Unmarshal(body, &r); err != nil {
		return send(Answer{Refusal: refusal.New(refusal.Malformed, 0, "the forwarded request cannot be read")})
	}
	if !s.begin() {
		return send(Answer{Refusal: refusal.New(refusal.Draining, retryAfterDraining, "this daemon is stopping")})
	}
	defer s.running.Done()
	if refused := s.run(ctx, r, send); refused != nil {
		return send(Answer{Refusal: refused})
	}
	return nil
}

func (s *Server) run(ctx context.Context, r Request, send func(any) error) *refusal.Refusal {
	req := r.received(time.Now())
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	admission, refused := s.gate.Admit(ctx, req)
	if refused != nil {
		return refused
	}
	refused = s.relay.Run(ctx, req, &sink{attempt: r.Attempt, send: send}, admission)
	admission.Done(refused == nil)
	return refused
}
