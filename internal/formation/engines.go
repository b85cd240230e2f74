package formation

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/ledger"
)

// Engines sends orders and state requests to endpoints. Both methods return a
// GoneError if the addressed incarnation of the endpoint no longer exists; Order
// returns a RefusedError if the endpoint's state does not permit the order. After
// any other error the state of the endpoint is unknown.
type Engines interface {
	// Order sends an order. A nil error means that the endpoint has started to
	// execute it or is already in the requested state.
	Order(ctx context.Context, order Order) error
	// Report requests the current state of an endpoint.
	Report(ctx context.Context, to ledger.Member) (Report, error)
}
