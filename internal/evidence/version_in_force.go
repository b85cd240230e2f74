package evidence

import "github.com/plantainmux/plantainmux/internal/infra"

// VersionInForce is a configuration version and the time at which a daemon put it
// in force.
type VersionInForce struct {
	Version infra.Offset `json:"version"`
	At      int64        `json:"at"` // Unix milliseconds
}
