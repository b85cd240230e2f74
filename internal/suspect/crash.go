package suspect

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Crash is the crash of one group while a request was in progress on it.
type Crash struct {
	Fingerprint uint64              `json:"fingerprint"`
	DataCentre  fleet.DataCentre    `json:"data_centre"`
	Group       fleet.FencingNumber `json:"group"`
	Alone       bool                `json:"alone"` // no other suspect ran on the group
	At          time.Time           `json:"at"`
}

// groupKey identifies a group across data centres.
type groupKey struct {
	dataCentre fleet.DataCentre
	group      fleet.FencingNumber
}
