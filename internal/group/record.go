package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Record is what the fold knows of one group.
type Record struct {
	fleet.Group
	FormedAt   time.Time                   `json:"formed_at"`
	ReadyAt    time.Time                   `json:"ready_at"`
	Boots      map[fleet.VMID]fleet.BootID `json:"boots"` // nil until the group is ready
	RestMillis int64                       `json:"rest_millis"`
}

// IsReady reports whether the group was recorded as loaded.
func (r *Record) IsReady() bool {
	return r.Boots != nil
}
