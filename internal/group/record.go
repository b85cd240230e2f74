package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Record is what the fold knows of one group. It holds no time: the clocks of
// the daemons that write to the stream differ, so each daemon measures ages from
// its own first sight of a record.
type Record struct {
	fleet.Group
	Addresses  map[fleet.VMID]string       `json:"addresses"` // of the members when the group was formed
	Boots      map[fleet.VMID]fleet.BootID `json:"boots"`     // nil until the group is ready
	Draining   bool                        `json:"draining"`  // gets no new work; its requests may finish
	RestMillis int64                       `json:"rest_millis"`
}

// IsReady reports whether the group was recorded as loaded.
func (r *Record) IsReady() bool {
	return r.Boots != nil
}
