package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// VMState is what the fold knows of one VM.
type VMState struct {
	Group fleet.FencingNumber `json:"group"` // NoGroup when free
	Fence fleet.FencingNumber `json:"fence"` // offset of the last record that granted or released the VM
	// RestMillis is how long a proposer waits, by its own clock and from its own
	// first sight of the release, before it names the VM in a form.
	RestMillis int64 `json:"rest_millis"`
}
