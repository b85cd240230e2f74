package endpoint

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Engine is the interface of the model engines. Addresses are IP and port.
type Engine interface {
	Report(ctx context.Context, address string) (fleet.MemberReport, error)
	// Control sends an order and returns the engine's report after it. It fails
	// with StaleFencingError when the engine has seen a higher number.
	Control(ctx context.Context, address string, order ControlOrder) (fleet.MemberReport, error)
	// Generate starts an attempt. Its failures are UnreachableError (no byte was
	// sent), NotRunError (the engine proved that it did not run) and BrokenError.
	Generate(ctx context.Context, address string, request GenerateRequest) (Stream, error)
	// Cancel ends an attempt that the engine may still be running. A broken
	// stream alone does not, so that it can be resumed.
	Cancel(ctx context.Context, address, attempt string) error
}
