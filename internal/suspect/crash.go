package suspect

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Crash is the crash of one group while a request was in progress on it. Its parts are left out
// if the request had been writing its answer for a while: they are no cause then.
type Crash struct {
	Subject
	DataCentre fleet.DataCentre    `json:"data_centre"`
	Group      fleet.FencingNumber `json:"group"`
	Alone      bool                `json:"alone"` // no other suspect ran on the group
	At         time.Time           `json:"at"`
}

func (c Crash) key() GroupKey { return GroupKey{DataCentre: c.DataCentre, Group: c.Group} }
