package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// VMState is the state of one VM in the fold.
type VMState struct {
	Group fleet.FencingNumber `json:"group"` // NoGroup when free
	Fence fleet.FencingNumber `json:"fence"` // offset of the last record that granted or released the VM
	// ReuseDelayMillis is how long a proposer waits before it assigns the released
	// VM to a new group. It counts on its own clock from when it first read the
	// release.
	ReuseDelayMillis int64 `json:"rest_millis"`
}
