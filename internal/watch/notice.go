package watch

import "github.com/plantainmux/plantainmux/internal/fleet"

// notice names the VMs that a daemon's list gives as leaving.
type notice struct {
	_   struct{} `cbor:",toarray"`
	VMs []fleet.VMID
}
