package suspect

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Crash is one group that died while a request was in progress on it.
type Crash struct {
	Fingerprint uint64              `json:"fingerprint"`
	DataCentre  fleet.DataCentre    `json:"data_centre"`
	Group       fleet.FencingNumber `json:"group"`
	Alone       bool                `json:"alone"` // no other suspect ran on the group
	At          time.Time           `json:"at"`
}

// place tells groups of different data centres apart.
type place struct {
	dataCentre fleet.DataCentre
	group      fleet.FencingNumber
}
