package evidence

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// KindDigest is the kind of the records in an evidence stream.
const KindDigest logstream.Kind = "digest"

// StreamName returns the name of a data centre's evidence stream.
func StreamName(dataCentre fleet.DataCentre) string {
	return "evidence." + string(dataCentre)
}

// Digest summarises the activity of one daemon between From and To. Times are Unix
// milliseconds by the daemon's clock.
type Digest struct {
	Daemon        fleet.DaemonID                   `json:"daemon"`
	DataCentre    fleet.DataCentre                 `json:"data_centre"`
	From          int64                            `json:"from"`
	To            int64                            `json:"to"`
	Final         bool                             `json:"final"` // the daemon's last digest, after a planned stop
	Answers       Answers                          `json:"answers"`
	Groups        map[fleet.FencingNumber]GroupUse `json:"groups"`
	LeavingStarts uint64                           `json:"leaving_starts"` // attempts started on a leaving endpoint after the allowed delay
	CutRequests   uint64                           `json:"cut_requests"`   // requests aborted by a planned stop
	Versions      []VersionInForce                 `json:"versions"`       // changes of the configuration in force
	Refusals      map[string]uint64                `json:"refusals"`       // by reason
}
