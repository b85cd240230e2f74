package relay

import "github.com/plantainmux/plantainmux/internal/fleet"

// copyPlace is a group with the number of copies of one request on it.
type copyPlace struct {
	group fleet.FencingNumber
	count int
}
