package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Handler receives soft state of a topic. It must not block.
type Handler func(from fleet.DaemonID, body cbor.RawMessage)
