package suspect

import "github.com/plantainmux/plantainmux/internal/fleet"

// GroupKey identifies a group for as long as it has the same members in the same incarnations, so
// that it can crash once.
type GroupKey struct {
	DataCentre fleet.DataCentre // empty if Group is unique in the fleet
	Group      fleet.FencingNumber
}
