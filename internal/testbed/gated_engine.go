package testbed

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// gatedEngine is an endpoint.Engine whose calls pass through a Latch.
type gatedEngine struct {
	endpoint.Engine
	gate *Latch
}

// Report implements endpoint.Engine.
func (e *gatedEngine) Report(ctx context.Context, address string) (fleet.MemberReport, error) {
	if err := e.admit(ctx, address); err != nil {
		return fleet.MemberReport{}, err
	}
	report, err := e.Engine.Report(ctx, address)
	if interrupted := e.gate.awaitThaw(ctx); interrupted != nil {
		return report, &endpoint.BrokenError{Address: address, Err: interrupted}
	}
	return report, err
}

// Control implements endpoint.Engine. An order that blocks in a frozen daemon
// is sent after the thaw even if ctx has ended, as by a paused process that resumes.
func (e *gatedEngine) Control(ctx context.Context, address string, order endpoint.ControlOrder) (fleet.MemberReport, error) {
	e.gate.awaitOrder()
	if e.gate.isCut(SideEngines) {
		return fleet.MemberReport{}, &endpoint.UnreachableError{Address: address, Err: &CutError{Side: SideEngines}}
	}
	return e.Engine.Control(context.WithoutCancel(ctx), address, order)
}

// Generate implements endpoint.Engine.
func (e *gatedEngine) Generate(ctx context.Context, address string, request endpoint.GenerateRequest) (endpoint.Stream, error) {
	if err := e.admit(ctx, address); err != nil {
		return nil, err
	}
	return e.Engine.Generate(ctx, address, request)
}

// admit blocks while frozen and fails if ctx has ended or engines are cut off.
func (e *gatedEngine) admit(ctx context.Context, address string) error {
	if err := e.gate.awaitThaw(ctx); err != nil {
		return &endpoint.UnreachableError{Address: address, Err: err}
	}
	if e.gate.isCut(SideEngines) {
		return &endpoint.UnreachableError{Address: address, Err: &CutError{Side: SideEngines}}
	}
	return nil
}
