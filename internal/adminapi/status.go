package adminapi

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Status is what a daemon says of itself.
type Status struct {
	Daemon         fleet.DaemonID     `json:"daemon"`
	DataCentre     fleet.DataCentre   `json:"data_centre"`
	Ready          bool               `json:"ready"`
	Draining       bool               `json:"draining"`
	ConfigVersion  infra.Offset       `json:"config_version"`
	ConfigSource   string             `json:"config_source"`             // log or peer
	ConfigTookMS   int64              `json:"config_took_ms"`            // from its publication until it was in force here, by both clocks
	RefusedStreams []string           `json:"refused_streams,omitempty"` // log streams that contradict what was applied
	Peers          []fleet.DaemonID   `json:"peers"`
	Links          []peer.LinkStatus  `json:"links"`
	DataCentres    []fleet.DataCentre `json:"data_centres"` // others that can be reached
	Streams        []StreamStatus     `json:"streams"`
	Models         []ModelStatus      `json:"models"`
	Groups         []view.GroupStatus `json:"groups"`
}

// phase says in one word whether the daemon takes requests.
func (s *Status) phase() string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}
