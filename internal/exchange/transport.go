package exchange

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// Transport sends an attempt to an endpoint. It fails with NotSentError,
// NotRunError or BrokenError.
type Transport interface {
	Send(ctx context.Context, target *placement.Target, call Call) (*Answer, error)
}
