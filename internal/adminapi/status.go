package adminapi

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Status is the state of a daemon as it reports it to operators.
type Status struct {
	Daemon         fleet.DaemonID     `json:"daemon"`
	DataCentre     fleet.DataCentre   `json:"data_centre"`
	Ready          bool               `json:"ready"`
	Draining       bool               `json:"draining"`
	ConfigVersion  infra.Offset       `json:"config_version"`
	ConfigSource   string             `json:"config_source"`             // log or peer
	ConfigTookMS   int64              `json:"config_took_ms"`            // from its publication, by the publisher's clock, until it was in force here, by this daemon's clock
	RefusedStreams []string           `json:"refused_streams,omitempty"` // log streams that contradict records already applied
	Peers          []fleet.DaemonID   `json:"peers"`
	Links          []peer.LinkStatus  `json:"links"`
	DataCentres    []fleet.DataCentre `json:"data_centres"` // other data centres with a reachable daemon
	Streams        []StreamStatus     `json:"streams"`
	Models         []ModelStatus      `json:"models"`
	Groups         []view.GroupStatus `json:"groups"`
}

// readiness returns whether the daemon accepts requests, as text.
func (s *Status) readiness() string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}
