package formation

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

// Engines is the way to the endpoints. Both calls fail with GoneError if the
// endpoint's life is over; Order fails with RefusedError if the order does not fit
// the endpoint's state. Any other failure tells nothing.
type Engines interface {
	// Order gives an order. A nil result means that it has begun or that its aim
	// holds already.
	Order(ctx context.Context, order Order) error
	// Report asks an endpoint for its state.
	Report(ctx context.Context, to ledger.Member) (Report, error)
}
