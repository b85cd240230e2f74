package testbed

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// latchedEngine is the interface of the engines behind a latch.
type latchedEngine struct {
	endpoint.Engine
	latch *Latch
}

// Report implements endpoint.Engine.
func (e *latchedEngine) Report(ctx context.Context, address string) (fleet.MemberReport, error) {
	if err := e.enter(ctx, address); err != nil {
		return fleet.MemberReport{}, err
	}
	report, err := e.Engine.Report(ctx, address)
	if held := e.latch.pass(ctx); held != nil {
		return report, &endpoint.BrokenError{Address: address, Err: held}
	}
	return report, err
}

// Control implements endpoint.Engine. An order that waits in a frozen daemon is
// sent when it thaws, as late as a paused process would.
func (e *latchedEngine) Control(ctx context.Context, address string, order endpoint.ControlOrder) (fleet.MemberReport, error) {
	e.latch.passOrder()
	if e.latch.isCut(SideEngines) {
		return fleet.MemberReport{}, &endpoint.UnreachableError{Address: address, Err: &CutError{Side: SideEngines}}
	}
	return e.Engine.Control(context.WithoutCancel(ctx), address, order)
}

// Generate implements endpoint.Engine.
func (e *latchedEngine) Generate(ctx context.Context, address string, request endpoint.GenerateRequest) (endpoint.Stream, error) {
	if err := e.enter(ctx, address); err != nil {
		return nil, err
	}
	return e.Engine.Generate(ctx, address, request)
}

func (e *latchedEngine) enter(ctx context.Context, address string) error {
	if err := e.latch.pass(ctx); err != nil {
		return &endpoint.UnreachableError{Address: address, Err: err}
	}
	if e.latch.isCut(SideEngines) {
		return &endpoint.UnreachableError{Address: address, Err: &CutError{Side: SideEngines}}
	}
	return nil
}
