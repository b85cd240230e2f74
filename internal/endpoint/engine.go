package endpoint

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Engine is a client of model engines. Addresses consist of IP and port.
type Engine interface {
	Report(ctx context.Context, address string) (fleet.MemberReport, error)
	// Control sends an order and returns the engine's report after executing it. It
	// fails with a StaleFencingError if the engine has seen a higher fencing number.
	Control(ctx context.Context, address string, order ControlOrder) (fleet.MemberReport, error)
	// Generate starts or resumes an attempt. It fails with an UnreachableError (no
	// byte was sent), a NotRunError (the engine confirmed that the request did not
	// run), an AttemptLostError (nothing to resume) or a BrokenError (the request may
	// have run).
	Generate(ctx context.Context, address string, request GenerateRequest) (Stream, error)
	// Cancel stops an attempt that the engine may still be running. A broken stream
	// alone does not stop it, so that it can be resumed.
	Cancel(ctx context.Context, address, attempt string) error
}
