package testbed

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// latchedService is the interface of plain services behind a latch.
type latchedService struct {
	endpoint.Service
	latch *Latch
}

// Call implements endpoint.Service. A call that waits in a frozen daemon is
// sent when it thaws.
func (s *latchedService) Call(ctx context.Context, address string, call endpoint.ServiceCall) (endpoint.ServiceAnswer, error) {
	_ = s.latch.pass(ctx)
	if s.latch.isCut(SideServices) {
		return endpoint.ServiceAnswer{}, &endpoint.UnreachableError{Address: address, Err: &CutError{Side: SideServices}}
	}
	answer, err := s.Service.Call(ctx, address, call)
	_ = s.latch.pass(ctx)
	return answer, err
}
