package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// VMState is what the fold knows of one VM.
type VMState struct {
	Group     fleet.FencingNumber `json:"group"` // NoGroup when free
	Fence     fleet.FencingNumber `json:"fence"` // offset of the last record that granted or released the VM
	RestUntil time.Time           `json:"rest_until"`
}
