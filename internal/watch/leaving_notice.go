package watch

import "github.com/plantainmux/plantainmux/internal/fleet"

// leavingNotice publishes the VMs that a daemon's list marks as leaving.
type leavingNotice struct {
	_   struct{} `cbor:",toarray"`
	VMs []fleet.VMID
}
