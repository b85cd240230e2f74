package testbed

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// gatedService is an endpoint.Service whose calls pass through a Latch.
type gatedService struct {
	endpoint.Service
	gate *Latch
}

// Call implements endpoint.Service. A call that blocks in a frozen daemon is
// sent after the thaw.
func (s *gatedService) Call(ctx context.Context, address string, call endpoint.ServiceCall) (endpoint.ServiceAnswer, error) {
	_ = s.gate.awaitThaw(ctx)
	if s.gate.isCut(SideServices) {
		return endpoint.ServiceAnswer{}, &endpoint.UnreachableError{Address: address, Err: &CutError{Side: SideServices}}
	}
	answer, err := s.Service.Call(ctx, address, call)
	_ = s.gate.awaitThaw(ctx)
	return answer, err
}
