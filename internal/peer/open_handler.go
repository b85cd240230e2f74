package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// OpenHandler answers a streamed call. The stream is whole when it returns nil.
type OpenHandler func(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage, send func(any) error) error
