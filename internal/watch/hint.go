package watch

import "github.com/plantainmux/plantainmux/internal/fleet"

// hint asks the watchers of a VM to poll it at once.
type hint struct {
	_  struct{} `cbor:",toarray"`
	VM fleet.VMID
}
