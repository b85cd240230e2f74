package peer

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// remoteState is what a daemon tells its peers of itself when it changes.
type remoteState struct {
	Leaving     bool               `cbor:"1,keyasint,omitempty"` // it is stopping
	DataCentres []fleet.DataCentre `cbor:"2,keyasint,omitempty"` // other data centres that it has a link to
	LogAway     bool               `cbor:"3,keyasint,omitempty"` // it cannot read the platform's log
}

func (s remoteState) equals(other remoteState) bool {
	return s.Leaving == other.Leaving && s.LogAway == other.LogAway && slices.Equal(s.DataCentres, other.DataCentres)
}
