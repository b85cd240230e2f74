package peer

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// remoteState is the state that a daemon announces to its peers on every
// change.
type remoteState struct {
	Leaving        bool               `cbor:"1,keyasint,omitempty"` // the daemon is stopping
	DataCentres    []fleet.DataCentre `cbor:"2,keyasint,omitempty"` // other data centres that the daemon has a link to
	LogUnreachable bool               `cbor:"3,keyasint,omitempty"` // the daemon cannot read the platform's log
	CutOff         bool               `cbor:"4,keyasint,omitempty"` // the daemon is cut off from the endpoints
}

func (s remoteState) equals(other remoteState) bool {
	return s.Leaving == other.Leaving && s.LogUnreachable == other.LogUnreachable && s.CutOff == other.CutOff && slices.Equal(s.DataCentres, other.DataCentres)
}
