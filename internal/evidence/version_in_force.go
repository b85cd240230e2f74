package evidence

import "github.com/plantainmux/plantainmux/internal/infra"

// VersionInForce says when a daemon put a configuration in force.
type VersionInForce struct {
	Version infra.Offset `json:"version"`
	At      int64        `json:"at"` // Unix milliseconds
}
