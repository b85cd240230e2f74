package watch

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// reportItem is one daemon's own observation of one VM.
type reportItem struct {
	_         struct{} `cbor:",toarray"`
	Report    fleet.MemberReport
	Address   string
	Age       peer.Stamp // since the start of the last successful poll
	Failed    bool       // the last poll failed
	FailedAge peer.Stamp // since the start of that poll
}
