package peer

import "github.com/plantainmux/plantainmux/internal/fleet"

// remoteState is what a daemon tells its peers of itself when it changes.
type remoteState struct {
	_           struct{} `cbor:",toarray"`
	Leaving     bool
	DataCentres []fleet.DataCentre // other data centres that it has a link to
}
