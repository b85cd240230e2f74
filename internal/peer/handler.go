package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Handler receives soft state. It must not block.
type Handler func(from fleet.DaemonID, body cbor.RawMessage)

// CallHandler answers a call.
type CallHandler func(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage) (any, error)

// OpenHandler answers a streamed call. The stream is whole when it returns nil.
type OpenHandler func(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage, send func(any) error) error
