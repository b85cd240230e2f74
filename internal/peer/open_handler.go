package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// OpenHandler serves a streamed call. The stream is complete when it returns
// nil.
type OpenHandler func(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage, send func(any) error) error
