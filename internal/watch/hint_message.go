package watch

import "github.com/plantainmux/plantainmux/internal/fleet"

// hintMessage requests an immediate poll of a VM from its watchers.
type hintMessage struct {
	_  struct{} `cbor:",toarray"`
	VM fleet.VMID
}
