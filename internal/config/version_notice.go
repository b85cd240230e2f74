package config

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// VersionNotice is the message that announces the version in force on a daemon to
// its peers.
type VersionNotice struct {
	Version    infra.Offset     `cbor:"1,keyasint"`
	DataCentre fleet.DataCentre `cbor:"2,keyasint"` // of the sending daemon
	Digest     uint64           `cbor:"3,keyasint"` // InForce.Digest
}

// FetchRequest asks a peer for the configuration in force.
type FetchRequest struct {
	Above infra.Offset `cbor:"1,keyasint"` // version in force on the requesting daemon
}
