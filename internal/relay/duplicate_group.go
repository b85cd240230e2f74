package relay

import "github.com/plantainmux/plantainmux/internal/fleet"

// duplicateGroup is a group and the number of equal requests in progress on it.
type duplicateGroup struct {
	group fleet.FencingNumber
	count int
}
