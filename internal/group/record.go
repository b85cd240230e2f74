package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Record is the state of one group in the fold. It holds no time: the clocks of
// the daemons that write to the stream differ, so each daemon measures ages from
// when it first saw the record.
type Record struct {
	fleet.Group
	Addresses        map[fleet.VMID]string       `json:"addresses"` // of the members at the time of the form
	Boots            map[fleet.VMID]fleet.BootID `json:"boots"`     // nil until the group is ready
	Draining         bool                        `json:"draining"`  // gets no new requests; running ones may finish
	ReuseDelayMillis int64                       `json:"rest_millis"`
}

// IsReady reports whether a ready record was applied, so all members had loaded.
func (r *Record) IsReady() bool {
	return r.Boots != nil
}
