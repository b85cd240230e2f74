package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// CallHandler serves a call with one answer.
type CallHandler func(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage) (any, error)
