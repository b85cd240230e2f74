package config

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// VersionNotice tells peers which version is in force on a daemon.
type VersionNotice struct {
	Version    infra.Offset     `cbor:"1,keyasint"`
	DataCentre fleet.DataCentre `cbor:"2,keyasint"` // of the daemon
	Digest     uint64           `cbor:"3,keyasint"` // of the configuration
}

// FetchRequest asks for the configuration in force.
type FetchRequest struct {
	Above infra.Offset `cbor:"1,keyasint"` // version that the asker holds
}
